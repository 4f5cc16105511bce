"""Forwarding of one routed request to an upstream, and of its answer back."""

import asyncio
import hashlib
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from . import logs
from .core.attempts import (
    AttemptHistory,
    failover_timeout_ms,
    first_byte_timeout_ms,
    min_service_time_ms,
)
from .core.event_stream import ServerSentEvent, ServerSentEventParser
from .core.gateway_events import (
    SlotGranted,
    SlotProgress,
    SlotRefused,
    SlotReleased,
    UpstreamBusy,
    UpstreamLeaving,
)
from .core.messages import Grant, ReleaseCause, SlotRefusal, SlotRequest
from .core.releases import build_release, build_unsent_release
from .core.routes import RoutedAccount
from .core.verdicts import Reason, Refusal, Verdict
from .exceptions import (
    AnswerMalformed,
    AnswerTruncated,
    CallerGone,
    ConnectFailed,
    InvalidRequest,
    UpstreamError,
    UpstreamTimedOut,
)
from .exchanges import Exchange
from .gateway_server import GatewayServer
from .http_client import HttpClient, UpstreamAnswer, UpstreamTimeouts
from .http_messages import Header
from .problems import problem, status_code_of
from .routed_requests import (
    AdmittedRequest,
    AnswerKind,
    RequestCodec,
    RoutedRequest,
    UpstreamNotice,
)
from .runtime import now_ms

CONNECT_MS = 300
END_MARGIN_MS = 30
PROGRESS_INTERVAL_MS = 500
EXHAUSTED_RETRY_MS = 300
ORIGIN_WAIT_MS = 1500
ORIGIN_RETRY_MS = 100
MAX_RETRY_AFTER_RATIO = 1 / 3
MAX_ANSWER_BYTES = 16 * 1024 * 1024
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
    :param client: client for the upstreams.
    :param codec: codec for the headers and answers of the upstreams.
    :param exchange: exchange with the caller.
    :param admitted: the request with its route, service and account.

    ``waited_ms`` is the time spent waiting for slots, and ``first_ms`` the time from
    the arrival of the request to the first part of the answer; -1 if there is none.
    """

    def __init__(
        self,
        server: GatewayServer,
        client: HttpClient,
        codec: RequestCodec,
        exchange: Exchange,
        admitted: AdmittedRequest,
    ):
        self._server = server
        self._client = client
        self._codec = codec
        self._exchange = exchange
        self._admitted = admitted
        self._attempts = AttemptHistory(admitted.route)
        self._last_event_id = admitted.request.last_event_id
        self._software_version = ""
        self._origin_wait_end_ms: int | None = None
        self._is_sent = False
        self._suppressed_lines: list[tuple[str, dict[str, Any]]] = []
        self._failure: tuple[int, tuple[Header, ...], bytes] | None = None
        self.outcome = "unfinished"
        self.reason = Reason.NONE
        self.status_code = 0
        self.sends = 0
        self.waited_ms = 0
        self.first_ms = -1
        self._framing = ""
        self._event_count = 0
        self._unfinished_bytes = 0

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
        while True:
            if self._remaining_ms() < min_service_time_ms(self._admitted.route):
                await self._give_up(Reason.DEADLINE, 0)
                return
            slot = await self._acquire_slot()
            if slot is None:
                await self._give_up(Reason.DEADLINE, EXHAUSTED_RETRY_MS)
                return
            if isinstance(slot, SlotRefused):
                refusal = slot.refusal
                if self._may_become_known(refusal):
                    await asyncio.sleep(ORIGIN_RETRY_MS / 1000)
                    continue
                await self._give_up(refusal.reason, refusal.retry_after_ms)
                return
            slot_request, grant = slot
            cause = await self._send(slot_request, grant)
            if cause in (ReleaseCause.COMPLETED, None):
                return
            self._is_sent = False
            if not self._attempts.allow_retry(grant.upstream, cause):
                await self._give_up(_refusal_reason(cause), EXHAUSTED_RETRY_MS)
                return

    def _may_become_known(self, refusal: SlotRefusal) -> bool:
        """Return whether to wait until the scheduler knows how a stream began.

        A new leader learns it from the entry hosts within a moment. A stream that the
        caller does not name never becomes known.
        """
        is_unknown = refusal.reason is Reason.UNKNOWN_ORIGIN
        if not (is_unknown and self._admitted.stream_id):
            return False
        if self._origin_wait_end_ms is None:
            remaining_ms = int(self._remaining_ms() * MAX_RETRY_AFTER_RATIO)
            wait_ms = min(ORIGIN_WAIT_MS, remaining_ms)
            self._origin_wait_end_ms = now_ms() + wait_ms
        return now_ms() + ORIGIN_RETRY_MS <= self._origin_wait_end_ms

    # Finding a slot

    async def _acquire_slot(self) -> tuple[SlotRequest, Grant] | SlotRefused | None:
        slot_request = self._build_slot_request()
        started_ms = now_ms()
        try:
            async with asyncio.timeout(slot_request.deadline_ms / 1000):
                answer = await self._server.acquire_slot(slot_request)
        except TimeoutError:
            return None
        finally:
            self.waited_ms += now_ms() - started_ms
        if isinstance(answer, SlotGranted) and not _is_usable(slot_request, answer):
            answer = self._give_back(answer)
        if isinstance(answer, SlotRefused):
            self._log(
                "slot_refused",
                service=slot_request.cell,
                account=slot_request.client_account,
                units=slot_request.allowance_units,
                tier=slot_request.tier,
                reason=answer.refusal.reason,
                retry_after_ms=answer.refusal.retry_after_ms,
                stream_id=slot_request.stream_id,
                software_version=slot_request.software_version,
                waited_ms=self.waited_ms,
                is_own=answer.is_own,
            )
            return answer
        if slot_request.is_resumed:
            self._software_version = answer.grant.software_version
        self._log(
            "slot_granted",
            service=slot_request.cell,
            tier=slot_request.tier,
            upstream=answer.grant.upstream,
            address=answer.grant.address,
            software_version=answer.grant.software_version,
            stream_id=slot_request.stream_id,
            is_resumed=slot_request.is_resumed,
            waited_ms=self.waited_ms,
            cached_tokens=answer.grant.predicted_prefix_tokens,
            is_own=answer.is_own,
        )
        return slot_request, answer.grant

    def _give_back(self, granted: SlotGranted) -> SlotRefused:
        """Release a slot that can't be used, and return a refusal in its place."""
        grant = granted.grant
        self._server.feed(SlotReleased(build_unsent_release(grant)))
        refusal = SlotRefusal(
            grant.request_id, grant.cell, Reason.UNKNOWN_ORIGIN, EXHAUSTED_RETRY_MS
        )
        return SlotRefused(refusal, granted.is_own)

    def _build_slot_request(self) -> SlotRequest:
        admitted = self._admitted
        request = admitted.request
        route = admitted.route
        account = admitted.account
        waited_ms = now_ms() - admitted.began_ms
        first_byte_remaining_ms = first_byte_timeout_ms(route) - waited_ms
        deadline_ms = min(
            first_byte_remaining_ms, self._remaining_ms() - min_service_time_ms(route)
        )
        return SlotRequest(
            request_id=f"{request.request_id}.{self.sends}.{len(self._attempts.excluded)}",
            cell=admitted.service,
            model="",
            tier=admitted.tier,
            client_account=account.name if account else "",
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            prefix_hashes=request.prefix_hashes,
            fingerprint=_fingerprint(request),
            deadline_ms=max(1, deadline_ms),
            goal_ms=max(0, route.goal_ms - waited_ms),
            prefix_tokens=request.prefix_tokens,
            excluded=tuple(self._attempts.excluded),
            is_repeat=self._attempts.is_repeat,
            allowance_units=_allowance_units(request, account),
            stream_id=admitted.stream_id,
            is_resumed=admitted.is_resumed or self._exchange.is_started,
            software_version=self._software_version,
        )

    # Sending

    async def _send(
        self, slot_request: SlotRequest, grant: Grant
    ) -> ReleaseCause | None:
        """Send the request once.

        :return: the release cause of the slot, or None if the caller has its final
            answer.
        """
        attempt = _Attempt(slot_request, grant, now_ms())
        cause = ReleaseCause.UPSTREAM_DIED
        try:
            async with asyncio.timeout(self._remaining_ms() / 1000):
                cause = await self._forward(attempt)
        except ConnectFailed as error:
            cause = ReleaseCause.UNREACHABLE
            self._log_failure(attempt, cause, error)
        except (UpstreamTimedOut, TimeoutError) as error:
            cause = self._classify_timeout(attempt, error)
            self._log_failure(attempt, cause, error)
        except InvalidRequest as error:
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

    def _classify_timeout(self, attempt: "_Attempt", error: Exception) -> ReleaseCause:
        """Return the release cause for a timeout.

        The upstream is blamed only if it was silent for at least the route's goal.
        """
        silent_ms = 0
        if isinstance(error, UpstreamTimedOut):
            silent_ms = attempt.silence_timeout_ms
        elif attempt.first_ms < 0:
            silent_ms = now_ms() - attempt.started_ms
        if silent_ms >= self._admitted.route.goal_ms:
            return ReleaseCause.UPSTREAM_TIMEOUT
        return ReleaseCause.OUT_OF_TIME

    async def _forward(self, attempt: "_Attempt") -> ReleaseCause:
        admitted = self._admitted
        request = admitted.request
        http = request.http
        remaining_ms = self._remaining_ms()
        failover_ms = failover_timeout_ms(admitted.route, self._attempts, remaining_ms)
        attempt.silence_timeout_ms = failover_ms
        self.sends += 1
        self._is_sent = True
        answer = await self._client.send(
            attempt.grant.address,
            http.method,
            http.target,
            self._codec.upstream_headers(
                request,
                admitted.account,
                attempt.grant.upstream,
                remaining_ms,
                self._last_event_id,
            ),
            http.body,
            host=request.host,
            timeouts=UpstreamTimeouts(
                connect_ms=min(CONNECT_MS, remaining_ms),
                first_byte_ms=failover_ms,
                between_bytes_ms=failover_ms,
            ),
        )
        attempt.answer = answer
        self._framing = answer.framing
        kind = self._codec.classify_answer(request, answer)
        if kind not in (AnswerKind.COMPLETE, AnswerKind.EVENT_STREAM):
            self._log_unsuccessful(attempt, answer, kind)
        if kind is AnswerKind.MISMATCHED:
            raise AnswerMalformed(
                "the answer does not belong to this request", answer.address
            )
        if kind is not AnswerKind.OTHER_UPSTREAM:
            self._note(attempt.grant.upstream, self._codec.read_notice(answer))
        if kind is AnswerKind.EVENT_STREAM:
            return await self._relay_events(attempt, answer)
        body = await answer.read(MAX_ANSWER_BYTES)
        if kind is AnswerKind.REJECTED:
            return ReleaseCause.REJECTED
        if kind is AnswerKind.OTHER_UPSTREAM:
            return ReleaseCause.OTHER_UPSTREAM
        return await self._relay_complete(attempt, answer, body, kind)

    def _note(self, upstream: str, notice: UpstreamNotice) -> None:
        """Pass on what an upstream says of itself."""
        if notice.is_leaving:
            self._server.feed(UpstreamLeaving(upstream))
        if notice.retry_after_ms:
            self._server.feed(UpstreamBusy(upstream, notice.retry_after_ms))

    async def _relay_complete(
        self, attempt: "_Attempt", answer: UpstreamAnswer, body: bytes, kind: AnswerKind
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

    async def _relay_events(
        self, attempt: "_Attempt", answer: UpstreamAnswer
    ) -> ReleaseCause:
        parser = ServerSentEventParser()
        exchange = self._exchange
        async for chunk in answer.chunks():
            events = list(parser.feed(chunk))
            self._event_count += len(events)
            self._unfinished_bytes = len(parser.buffered)
            if not events:
                continue
            if self._exchange.is_started and attempt.produced_tokens == 0:
                self._check_resumed(events[0], answer)
            await self._start_stream(attempt, answer)
            self._last_event_id = events[-1].event_id or self._last_event_id
            self._software_version = attempt.grant.software_version
            # The scheduler has to know how a stream began before its caller does.
            self._report_progress(attempt, len(events))
            await exchange.write(b"".join([event.data for event in events]))
        if parser.is_truncated(answer.is_framed):
            raise AnswerTruncated("the stream broke off", attempt.grant.address)
        if parser.buffered:
            await self._start_stream(attempt, answer)
            await exchange.write(parser.buffered)
        elif not exchange.is_started:
            await self._start_stream(attempt, answer)
        self.outcome = "answered"
        attempt.is_answered = True
        await exchange.finish()
        return ReleaseCause.COMPLETED

    def _check_resumed(self, event: ServerSentEvent, answer: UpstreamAnswer) -> None:
        if not event.is_after(self._last_event_id):
            detail = f"event {event.event_id} does not follow {self._last_event_id}"
            raise AnswerMalformed(detail, answer.address)

    async def _start_stream(self, attempt: "_Attempt", answer: UpstreamAnswer) -> None:
        if attempt.first_ms < 0:
            attempt.first_ms = now_ms() - attempt.started_ms
        if self._exchange.is_started:
            return
        self.first_ms = now_ms() - self._admitted.began_ms
        self.status_code = answer.status_code
        headers = [h for h in answer.headers if h.name != "content-length"]
        await self._exchange.start(answer.status_code, headers)

    def _report_progress(self, attempt: "_Attempt", events: int) -> None:
        is_first = attempt.produced_tokens == 0
        attempt.produced_tokens += events * self._admitted.tokens_per_event
        if is_first or now_ms() - attempt.reported_ms >= PROGRESS_INTERVAL_MS:
            attempt.reported_ms = now_ms()
            progress = SlotProgress(
                attempt.slot_request.request_id, attempt.produced_tokens
            )
            self._server.feed(progress)

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
        self.status_code = int(status_code_of(refusal, NOT_RUN_STATUS))
        await respond_refusal(self._exchange, self._codec, self.status_code, refusal)

    def _release(self, attempt: "_Attempt", cause: ReleaseCause) -> None:
        release = build_release(
            attempt.slot_request,
            attempt.grant.upstream,
            cause,
            produced_tokens=attempt.produced_tokens,
            first_token_ms=attempt.first_ms,
            duration_ms=now_ms() - attempt.started_ms,
        )
        self._server.feed(SlotReleased(release))

    def _log_failure(
        self, attempt: "_Attempt", cause: ReleaseCause, error: Exception
    ) -> None:
        self._log(
            "send_failed",
            upstream=attempt.grant.upstream,
            address=attempt.grant.address,
            cause=cause,
            detail=f"{type(error).__name__}: {error}",
            events=attempt.produced_tokens,
            duration_ms=now_ms() - attempt.started_ms,
        )

    def _log_unsuccessful(
        self, attempt: "_Attempt", answer: UpstreamAnswer, kind: AnswerKind
    ) -> None:
        head = self._codec.read_head(self._admitted.request, answer)
        self._log(
            "answer_unsuccessful",
            upstream=attempt.grant.upstream,
            address=attempt.grant.address,
            kind=kind.name.lower(),
            status=head.status_code,
            owner=head.owner,
            is_marked_not_executed=head.is_marked_not_executed,
            call_number=answer.call_number,
            duration_ms=now_ms() - attempt.started_ms,
        )

    def _log(self, event_name: str, **fields: Any) -> None:
        """Write a log line; if it is suppressed, keep it in case the request fails."""
        if not logs.write_rate_limited(event_name, **fields):
            self._suppressed_lines.append((event_name, fields))

    def write_end(self) -> None:
        """Log the end of the request; if it failed, also log its suppressed lines."""
        admitted = self._admitted
        fields = {
            "route": admitted.route.name,
            "kind": admitted.route.kind,
            "service": admitted.service,
            "config_version": self._server.route_table.version,
            "outcome": self.outcome,
            "status": self.status_code,
            "verdict": self.verdict,
            "reason": self.reason,
            "sends": self.sends,
            "waited_ms": self.waited_ms,
            "first_ms": self.first_ms,
            "duration_ms": now_ms() - admitted.began_ms,
            "framing": self._framing,
            "events": self._event_count,
            "unfinished_bytes": self._unfinished_bytes,
        }
        if self.is_complete:
            logs.write_rate_limited("forwarding_ended", **fields)
            return
        for event_name, line_fields in self._suppressed_lines:
            logs.write(event_name, is_late=True, **line_fields)
        logs.write("forwarding_ended", **fields)

    def _remaining_ms(self) -> int:
        return self._admitted.end_ms - END_MARGIN_MS - now_ms()


@dataclass(slots=True)
class _Attempt:
    """One attempt to send a request to an upstream.

    :param started_ms: start time, on the monotonic clock.
    :param first_ms: time until the first part of the answer; -1 if there is none.
    :param reported_ms: time of the last progress report, on the monotonic clock.
    :param silence_timeout_ms: time limit for silence of the upstream.
    :param is_answered: whether the caller has its final answer.
    """

    slot_request: SlotRequest
    grant: Grant
    started_ms: int
    answer: UpstreamAnswer | None = None
    first_ms: int = -1
    produced_tokens: int = 0
    reported_ms: int = 0
    silence_timeout_ms: int = 0
    is_answered: bool = False

    def close(self) -> None:
        """Close the connection unless the answer was read completely."""
        if self.answer is not None:
            self.answer.cancel()


def _is_usable(slot_request: SlotRequest, granted: SlotGranted) -> bool:
    """Return whether a stream may go on at the granted upstream.

    A scheduler of an older release grants without regard to software versions.
    """
    if not slot_request.is_resumed:
        return True
    version = granted.grant.software_version
    return bool(version) and slot_request.software_version in ("", version)


def _refusal_reason(cause: ReleaseCause) -> Reason:
    reasons = {
        ReleaseCause.UNREACHABLE: Reason.NO_UPSTREAM,
        ReleaseCause.OTHER_UPSTREAM: Reason.NO_UPSTREAM,
        ReleaseCause.REJECTED: Reason.OVERLOADED,
        ReleaseCause.UPSTREAM_TIMEOUT: Reason.UPSTREAM_TIMEOUT,
        ReleaseCause.OUT_OF_TIME: Reason.UPSTREAM_TIMEOUT,
        ReleaseCause.UPSTREAM_ERROR: Reason.UPSTREAM_ERROR,
        ReleaseCause.NOT_SENT: Reason.INVALID_REQUEST,
    }
    return reasons.get(cause, Reason.UPSTREAM_DIED)


def _allowance_units(request: RoutedRequest, account: RoutedAccount | None) -> int:
    if account is None:
        return 0
    if not account.is_metered_in_tokens:
        return 1
    if request.allowance_tokens is None:
        return account.plain_tokens
    return request.allowance_tokens


def _fingerprint(request: RoutedRequest) -> int:
    http = request.http
    digest = hashlib.blake2b(digest_size=7)
    for part in (http.target.encode(), request.key.encode(), http.body):
        digest.update(part)
        digest.update(b"\0")
    return int.from_bytes(digest.digest(), "big")
