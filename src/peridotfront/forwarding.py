"""Forwarding of one routed request to an upstream, and of its answer back."""

import asyncio
from http import HTTPStatus

from .core.attempts import AttemptHistory, min_service_time_ms
from .core.gateway_events import (
    SlotRefused,
    SlotReleased,
    UpstreamBusy,
    UpstreamLeaving,
    UpstreamLimitRead,
)
from .core.messages import Grant, ReleaseCause
from .core.releases import build_release
from .core.upstream_answers import (
    AnswerHead,
    AnswerKind,
    ExecutionMark,
    classify_answer,
)
from .core.verdicts import Reason, Refusal, Verdict
from .event_relay import EventRelay
from .exceptions import (
    AnswerMalformed,
    CallerGone,
    ConnectFailed,
    InvalidRequest,
    RelayLost,
    RelayUnreachable,
    UpstreamError,
    UpstreamTimedOut,
)
from .exchanges import Exchange
from .failover import Failover
from .gateway_server import GatewayServer
from .http_client import UpstreamAnswer, UpstreamTimeouts
from .http_messages import Header
from .link_checker import LinkChecker
from .problems import problem, status_code_of
from .relay_client import UpstreamClients
from .request_log import RequestLog
from .routed_requests import (
    AdmittedRequest,
    RequestCodec,
    UpstreamNotice,
)
from .runtime import now_ms
from .send_attempt import SendAttempt
from .slot_finder import (
    EXHAUSTED_RETRY_MS,
    MAX_RETRY_AFTER_RATIO,
    GrantedSlot,
    SlotFinder,
)

CONNECT_MS = 300
MIN_LATE_CHECK_MS = 400
MAX_LATE_CHECK_MS = 1000
REJECTION_BODY_MS = 50
MAX_REJECTION_BYTES = 64 * 1024
REJECTION_CAUSES = {
    AnswerKind.REJECTED: ReleaseCause.REJECTED,
    AnswerKind.OTHER_UPSTREAM: ReleaseCause.OTHER_UPSTREAM,
}
MAX_ANSWER_BYTES = 4 * 1024 * 1024
NOT_RUN_STATUS = {
    Reason.RATE_LIMITED: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.INVALID_REQUEST: HTTPStatus.BAD_REQUEST,
}


async def respond_refusal(
    exchange: Exchange, codec: RequestCodec, status_code: int, refusal: Refusal
) -> None:
    """Send a refusal, with the codec's header field for the retry time.

    :raises CallerGone: if the caller's connection is closed.
    """
    headers, body = problem(status_code, refusal)
    fields = [field for field in headers if field.name != "retry-after"]
    if refusal.verdict is Verdict.NOT_RUN and refusal.retry_after_ms > 0:
        fields.append(codec.retry_after_header(refusal.retry_after_ms))
    await exchange.respond(status_code, fields, body)


class Forwarding:
    """Forwarding of one request to an upstream, or to several in sequence.

    :param server: server that grants slots.
    :param clients: clients for the upstreams.
    :param links: checker of this host's links to the upstreams.
    :param codec: codec for the headers and answers of the upstreams.
    :param exchange: exchange with the caller.
    :param admitted: the request with its route, service and account.

    ``first_ms`` is the time from the arrival of the request to the first part of the
    answer; -1 if there is none.
    """

    def __init__(
        self,
        server: GatewayServer,
        clients: UpstreamClients,
        links: LinkChecker,
        codec: RequestCodec,
        exchange: Exchange,
        admitted: AdmittedRequest,
    ):
        self._server = server
        self._clients = clients
        self._links = links
        self._codec = codec
        self._exchange = exchange
        self._admitted = admitted
        self._attempts = AttemptHistory(admitted.route)
        self._is_sent = False
        self._admitted_version = server.route_table.version
        self._log = RequestLog()
        self._slot_finder = SlotFinder(server, admitted, self._attempts, self._log)
        self._failover = Failover(
            self._slot_finder, links, admitted, exchange, self._may_continue, self._log
        )
        self._events = EventRelay(
            server, admitted, exchange, self._slot_finder, self._on_stream_started
        )
        self._failure: tuple[int, tuple[Header, ...], bytes] | None = None
        self.outcome = "unfinished"
        self.reason = Reason.NONE
        self.status_code = 0
        self.sends = 0
        self.first_ms = -1
        self._framing = ""

    @property
    def waited_ms(self) -> int:
        """Return the time spent waiting for slots."""
        return self._slot_finder.waited_ms

    @property
    def verdict(self) -> Verdict:
        """Return whether the request was, may have been or was not executed."""
        if self.is_complete:
            return Verdict.COMPLETED
        return Verdict.MAY_HAVE_RUN if self._is_sent else self._attempts.verdict

    @property
    def is_complete(self) -> bool:
        """Return whether the caller got a complete answer."""
        return self.outcome == "answered"

    async def run(self) -> None:
        """Forward the request, with retries, until the caller has an answer."""
        try:
            await self._run()
        finally:
            self._failover.abandon()

    def release(self) -> None:
        """Break the cycles of references, so that the body is freed at once.

        The object can't be used afterwards.
        """
        del self._failover, self._events

    async def _run(self) -> None:
        while True:
            if self._remaining_ms() < min_service_time_ms(self._admitted.route):
                await self._give_up(Reason.DEADLINE, 0)
                return
            slot = await self._take_slot()
            if slot is None:
                await self._give_up(Reason.DEADLINE, EXHAUSTED_RETRY_MS)
                return
            if isinstance(slot, SlotRefused):
                refusal = slot.refusal
                wait_ms = self._slot_finder.retry_wait_ms(refusal)
                if wait_ms is not None:
                    await asyncio.sleep(wait_ms / 1000)
                    continue
                await self._give_up(refusal.reason, refusal.retry_after_ms)
                return
            grant = slot.grant
            if not self._is_usable(grant):
                self._slot_finder.give_back(slot)
                self._attempts.exclude(grant.upstream)
                continue
            cause = await self._send(slot)
            if cause in (ReleaseCause.COMPLETED, None):
                return
            self._is_sent = False
            allow_retry = self._attempts.allow_retry(
                grant.upstream, grant.address, cause
            )
            if not (allow_retry and self._may_continue()):
                await self._give_up(_refusal_reason(cause), EXHAUSTED_RETRY_MS)
                return

    async def _take_slot(self) -> GrantedSlot | SlotRefused | None:
        """Return the slot that was found during the last send, or request one."""
        slot = await self._failover.take()
        if slot is not None:
            return slot
        return await self._slot_finder.acquire(self.sends, self._exchange.is_started)

    def _is_usable(self, grant: Grant) -> bool:
        """Return whether a granted slot may still be used.

        The process may have been frozen between the grant and now.
        """
        is_late = self._remaining_ms() < min_service_time_ms(self._admitted.route)
        return not is_late and not self._attempts.has_rejected(grant.address)

    def _may_continue(self) -> bool:
        """Return whether another upstream can go on with what the caller has.

        Without the id of its last event a stream would begin anew within the answer.
        """
        if not self._exchange.is_started:
            return True
        return self._admitted.route.is_resumable and bool(self._events.last_event_id)

    # Sending

    async def _send(self, slot: GrantedSlot) -> ReleaseCause | None:
        """Send the request once.

        :return: the release cause of the slot, or None if the caller has its final
            answer.
        """
        attempt = SendAttempt(slot.slot_request, slot.grant, now_ms())
        cause = ReleaseCause.UPSTREAM_DIED
        try:
            async with asyncio.timeout(self._remaining_ms() / 1000):
                cause = await self._forward_or_fail_over(attempt)
        except RelayUnreachable as error:
            cause = ReleaseCause.RELAY_UNREACHABLE
            self._log_failure(attempt, cause, error)
        except RelayLost as error:
            cause = ReleaseCause.RELAY_LOST
            self._log_failure(attempt, cause, error)
        except ConnectFailed as error:
            cause = ReleaseCause.UNREACHABLE
            self._log_failure(attempt, cause, error)
        except (UpstreamTimedOut, TimeoutError) as error:
            cause = self._classify_timeout(attempt)
            self._log_failure(attempt, cause, error)
        except InvalidRequest as error:
            # The caller's part was valid HTTP when it arrived.
            cause = ReleaseCause.NOT_SENT
            self._log_failure(attempt, cause, error)
        except UpstreamError as error:
            self._log_failure(attempt, cause, error)
        except (CallerGone, asyncio.CancelledError):
            cause = ReleaseCause.CALLER_GONE
            raise
        finally:
            attempt.close()
            self._release(attempt, cause)
        return None if attempt.is_answered else cause

    def _classify_timeout(self, attempt: SendAttempt) -> ReleaseCause:
        """Return the release cause for a timeout.

        The upstream is blamed only if it was silent for at least the route's goal.
        """
        if attempt.silent_ms >= self._admitted.route.goal_ms:
            return ReleaseCause.UPSTREAM_TIMEOUT
        return ReleaseCause.OUT_OF_TIME

    async def _forward_or_fail_over(self, attempt: SendAttempt) -> ReleaseCause:
        """Forward the request, until another upstream is to have it.

        :raises UpstreamTimedOut: if the upstream is silent and another one is to have
            the request.
        """
        if not self._attempts.allow_retry_after_execution:
            return await self._forward(attempt)
        sending = asyncio.ensure_future(self._forward(attempt))
        try:
            is_found = await self._failover.watch(sending, attempt, self.sends)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
        if not is_found:
            return sending.result()
        raise UpstreamTimedOut(
            "the upstream was silent, and another one has a free slot",
            attempt.grant.address,
        )

    async def _forward(self, attempt: SendAttempt) -> ReleaseCause:
        admitted = self._admitted
        request = admitted.request
        http = request.http
        remaining_ms = self._remaining_ms()
        self.sends += 1
        self._is_sent = True
        grant = attempt.grant
        late_check = self._watch_link(grant)
        try:
            answer = await self._clients.through(grant.relay).send(
                grant.address,
                http.method,
                http.target,
                self._codec.upstream_headers(
                    request,
                    admitted.account,
                    grant.upstream,
                    remaining_ms,
                    self._events.last_event_id,
                ),
                http.body,
                host=request.host,
                timeouts=UpstreamTimeouts(
                    connect_ms=min(CONNECT_MS, remaining_ms),
                    first_byte_ms=remaining_ms,
                    between_bytes_ms=remaining_ms,
                ),
            )
        finally:
            late_check.cancel()
        if not grant.relay:
            self._links.record_answer(grant.upstream)
        attempt.answer = answer
        self._framing = answer.framing
        head = self._codec.read_head(request, answer)
        kind = classify_answer(head)
        if kind not in (AnswerKind.COMPLETE, AnswerKind.EVENT_STREAM):
            self._log_unsuccessful(attempt, answer, head, kind)
        if kind is AnswerKind.MISMATCHED:
            raise AnswerMalformed(
                "the answer does not belong to this request", answer.address
            )
        if kind is not AnswerKind.OTHER_UPSTREAM:
            self._note(attempt, self._codec.read_notice(answer))
        if kind is AnswerKind.EVENT_STREAM:
            await self._events.relay(attempt, answer)
            self.outcome = "answered"
            attempt.is_answered = True
            await self._exchange.finish()
            return ReleaseCause.COMPLETED
        if kind in REJECTION_CAUSES:
            cause = REJECTION_CAUSES[kind]
            await self._discard_body(attempt, answer, cause)
            return cause
        body = await answer.read(MAX_ANSWER_BYTES)
        answer.hold(len(body))
        if kind is AnswerKind.UNPROVEN:
            return ReleaseCause.UPSTREAM_ERROR
        return await self._relay_complete(attempt, answer, body, kind)

    def _watch_link(self, grant: Grant) -> asyncio.TimerHandle:
        """Check this host's own link if the answer is late, or if it is not used."""
        if grant.relay:
            health_path = self._server.route_table.health_path(self._admitted.service)
            self._links.check_return(grant.upstream, grant.address, health_path)
        late_ms = min(
            MAX_LATE_CHECK_MS, max(MIN_LATE_CHECK_MS, self._admitted.route.goal_ms)
        )
        return asyncio.get_running_loop().call_later(
            late_ms / 1000, self._check_late_link, grant
        )

    def _check_late_link(self, grant: Grant) -> None:
        if not grant.relay:
            self._links.check_late(grant.upstream, grant.address)

    async def _discard_body(
        self, attempt: SendAttempt, answer: UpstreamAnswer, cause: ReleaseCause
    ) -> None:
        """Read the body of a rejection; its head is the proof, however it ends."""
        if cause is ReleaseCause.OTHER_UPSTREAM:
            # The next send may go to this address, under its new name.
            answer.close_after()
        try:
            async with asyncio.timeout(REJECTION_BODY_MS / 1000):
                await answer.read(MAX_REJECTION_BYTES)
        except (UpstreamError, TimeoutError) as error:
            answer.cancel()
            self._log_failure(attempt, cause, error)

    def _note(self, attempt: SendAttempt, notice: UpstreamNotice) -> None:
        """Pass on what an upstream says of itself."""
        upstream = attempt.grant.upstream
        attempt.rejections_per_s = notice.rejections_per_s
        if notice.is_leaving:
            self._server.feed(UpstreamLeaving(upstream))
        if notice.retry_after_ms:
            self._server.feed(UpstreamBusy(upstream, notice.retry_after_ms))
        if notice.requests_per_s is not None:
            limit = UpstreamLimitRead(
                upstream, notice.requests_per_s, attempt.started_ms
            )
            self._server.feed(limit)

    async def _relay_complete(
        self,
        attempt: SendAttempt,
        answer: UpstreamAnswer,
        body: bytes,
        kind: AnswerKind,
    ) -> ReleaseCause:
        attempt.first_ms = now_ms() - attempt.started_ms
        self.first_ms = now_ms() - self._admitted.began_ms
        complete_answer = (answer.status_code, answer.headers, body)
        is_failure = kind is AnswerKind.FAILURE
        if self._exchange.is_started:
            # A stream that was started by another upstream can't be continued by a
            # complete answer.
            return ReleaseCause.UPSTREAM_ERROR
        is_server_error = answer.status_code >= HTTPStatus.INTERNAL_SERVER_ERROR
        if (
            is_failure
            and is_server_error
            and self._attempts.allow_retry_after_execution
        ):
            self._failure = complete_answer
            return ReleaseCause.UPSTREAM_ERROR
        attempt.is_answered = True
        await self._respond(
            complete_answer, "failed_upstream" if is_failure else "answered"
        )
        return (
            ReleaseCause.UPSTREAM_ERROR if is_server_error else ReleaseCause.COMPLETED
        )

    async def _respond(self, complete_answer: tuple, outcome: str) -> None:
        status_code, headers, body = complete_answer
        self.outcome = outcome
        self.status_code = status_code
        await self._exchange.respond(status_code, headers, body)

    def _on_stream_started(self, answer: UpstreamAnswer) -> None:
        self.first_ms = now_ms() - self._admitted.began_ms
        self.status_code = answer.status_code

    # Ending

    async def _give_up(self, reason: Reason, retry_after_ms: int) -> None:
        self.reason = reason
        if self._exchange.is_started:
            self.outcome = "broken_off"
            self._exchange.abort()
            return
        if self._failure is not None:
            await self._respond(self._failure, "failed_upstream")
            return
        self.outcome = "refused"
        max_retry_after_ms = int(self._remaining_ms() * MAX_RETRY_AFTER_RATIO)
        # The request may be executed through another host.
        is_elsewhere = reason is Reason.IN_PROGRESS
        refusal = Refusal(
            Verdict.MAY_HAVE_RUN if is_elsewhere else self._attempts.verdict,
            reason,
            max(0, min(retry_after_ms, max_retry_after_ms)),
        )
        await self._refuse(refusal)

    async def end_cancelled(self) -> None:
        """Refuse the request, whose handler is cancelled, or cut its answer.

        :raises CallerGone: if the caller's connection is closed.
        """
        self.outcome = "cancelled"
        if self._exchange.is_started:
            self._exchange.abort()
            return
        self.reason = Reason.LEAVING
        await self._refuse(Refusal(self.verdict, self.reason))

    async def _refuse(self, refusal: Refusal) -> None:
        self.status_code = int(status_code_of(refusal, NOT_RUN_STATUS))
        await respond_refusal(self._exchange, self._codec, self.status_code, refusal)

    def _release(self, attempt: SendAttempt, cause: ReleaseCause) -> None:
        release = build_release(
            attempt.slot_request,
            attempt.grant.upstream,
            cause,
            produced_tokens=attempt.produced_tokens,
            first_token_ms=attempt.first_ms,
            duration_ms=now_ms() - attempt.started_ms,
            is_end_certain=attempt.answer is None or attempt.answer.is_framed,
            rejections_per_s=attempt.rejections_per_s,
        )
        self._server.feed(SlotReleased(release))

    def _log_failure(
        self, attempt: SendAttempt, cause: ReleaseCause, error: Exception
    ) -> None:
        self._log.write(
            "send_failed",
            upstream=attempt.grant.upstream,
            address=attempt.grant.address,
            relay=attempt.grant.relay,
            cause=cause,
            detail=f"{type(error).__name__}: {error}",
            events=attempt.produced_tokens,
            silent_ms=attempt.silent_ms,
            duration_ms=now_ms() - attempt.started_ms,
        )

    def _log_unsuccessful(
        self,
        attempt: SendAttempt,
        answer: UpstreamAnswer,
        head: AnswerHead,
        kind: AnswerKind,
    ) -> None:
        self._log.write(
            "answer_unsuccessful",
            upstream=attempt.grant.upstream,
            address=attempt.grant.address,
            kind=kind.name.lower(),
            status=head.status_code,
            owner=head.owner,
            is_marked_not_executed=head.mark is ExecutionMark.NOT_EXECUTED,
            has_digest=head.has_digest,
            call_number=answer.call_number,
            duration_ms=now_ms() - attempt.started_ms,
        )

    def write_end(self) -> None:
        """Log the end of the request; if it failed, also log its suppressed lines."""
        admitted = self._admitted
        fields = {
            "route": admitted.route.name,
            "kind": admitted.route.kind,
            "service": admitted.service,
            "admitted_version": self._admitted_version,
            "config_version": self._server.route_table.version,
            "outcome": self.outcome,
            "status": self.status_code,
            "verdict": self.verdict,
            "reason": self.reason,
            "sends": self.sends,
            "waited_ms": self.waited_ms,
            "first_ms": self.first_ms,
            "duration_ms": now_ms() - admitted.began_ms,
            "remaining_ms": self._remaining_ms(),
            "framing": self._framing,
            "events": self._events.event_count,
            "unfinished_bytes": self._events.unfinished_bytes,
        }
        self._log.write_end("forwarding_ended", self.is_complete, **fields)

    def _remaining_ms(self) -> int:
        return self._admitted.remaining_ms(now_ms())


def _refusal_reason(cause: ReleaseCause) -> Reason:
    reasons = {
        ReleaseCause.NOT_SENT: Reason.NO_UPSTREAM,
        ReleaseCause.UNREACHABLE: Reason.NO_UPSTREAM,
        ReleaseCause.RELAY_UNREACHABLE: Reason.NO_UPSTREAM,
        ReleaseCause.OTHER_UPSTREAM: Reason.NO_UPSTREAM,
        ReleaseCause.REJECTED: Reason.OVERLOADED,
        ReleaseCause.UPSTREAM_TIMEOUT: Reason.UPSTREAM_TIMEOUT,
        ReleaseCause.OUT_OF_TIME: Reason.UPSTREAM_TIMEOUT,
        ReleaseCause.UPSTREAM_ERROR: Reason.UPSTREAM_ERROR,
    }
    return reasons.get(cause, Reason.UPSTREAM_DIED)
