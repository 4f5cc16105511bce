"""Forwarding of one routed request: to an upstream, and its answer back."""

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
from .core.gateway_events import SlotProgress, SlotRefused, SlotReleased
from .core.messages import Grant, ReleaseCause, SlotRequest
from .core.releases import build_release
from .core.routes import RoutedAccount
from .core.verdicts import Reason, Refusal, Verdict
from .exceptions import (
    AnswerMalformed,
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
from .problems import problem
from .routed_requests import Admitted, AnswerKind, RequestCodec, RoutedRequest
from .runtime import now_ms

CONNECT_MS = 300
END_MARGIN_MS = 30
PROGRESS_INTERVAL_MS = 500
SPENT_RETRY_MS = 300
MAX_RETRY_SHARE = 1 / 3
MAX_ANSWER_BYTES = 16 * 1024 * 1024
NOT_RUN_STATUS = {
    Reason.RATE_LIMITED: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.INVALID_REQUEST: HTTPStatus.BAD_REQUEST,
}


async def respond_refusal(
    exchange: Exchange, codec: RequestCodec, status_code: int, refusal: Refusal
) -> None:
    """Answer a request that got no answer of an upstream."""
    headers, body = problem(status_code, refusal)
    fields = [field for field in headers if field.name != "retry-after"]
    if refusal.verdict is Verdict.NOT_RUN and refusal.retry_after_ms > 0:
        fields.append(codec.retry_after_header(refusal.retry_after_ms))
    await exchange.respond(status_code, fields, body)


def _status_of(refusal: Refusal) -> HTTPStatus:
    """Return a status that promises no more than the verdict does."""
    if refusal.verdict is Verdict.NOT_RUN:
        return NOT_RUN_STATUS.get(refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    if refusal.reason in (Reason.UPSTREAM_TIMEOUT, Reason.DEADLINE):
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY


class Forwarding:
    """Carries one request to an upstream, or to several one after the other.

    :param exchange: the caller's side.
    """

    def __init__(
        self,
        server: GatewayServer,
        client: HttpClient,
        codec: RequestCodec,
        exchange: Exchange,
        admitted: Admitted,
    ):
        self._server = server
        self._client = client
        self._codec = codec
        self._exchange = exchange
        self._admitted = admitted
        self._attempts = AttemptHistory(admitted.route)
        self._last_event_id = admitted.request.last_event_id
        self._is_sent = False
        self._skipped: list[tuple[str, dict[str, Any]]] = []
        self._failure: tuple[int, tuple[Header, ...], bytes] | None = None
        self.outcome = "unfinished"
        self.reason = Reason.NONE
        self.status_code = 0
        self.sends = 0
        self.waited_ms = 0
        self.first_ms = -1

    @property
    def verdict(self) -> Verdict:
        """Tell whether the request may have run."""
        if self.is_good:
            return Verdict.COMPLETED
        return Verdict.MAY_HAVE_RUN if self._is_sent else self._attempts.verdict

    @property
    def is_good(self) -> bool:
        """Tell whether the caller got a whole answer."""
        return self.outcome == "answered"

    async def run(self) -> None:
        """Bring the request to its answer."""
        while True:
            if self._left_ms() < min_service_time_ms(self._admitted.route):
                await self._give_up(Reason.DEADLINE, 0)
                return
            placed = await self._place()
            if placed is None:
                await self._give_up(Reason.DEADLINE, SPENT_RETRY_MS)
                return
            if isinstance(placed, SlotRefused):
                refuse = placed.refuse
                await self._give_up(refuse.reason, refuse.retry_after_ms)
                return
            want, grant = placed
            cause = await self._send(want, grant)
            if cause in (ReleaseCause.COMPLETED, None):
                return
            self._is_sent = False
            if not self._attempts.allow_retry(grant.upstream, cause):
                await self._give_up(_reason_of(cause), SPENT_RETRY_MS)
                return

    # Finding a slot

    async def _place(self) -> tuple[SlotRequest, Grant] | SlotRefused | None:
        want = self._want()
        started_ms = now_ms()
        try:
            async with asyncio.timeout(want.deadline_ms / 1000):
                answer = await self._server.acquire_slot(want)
        except TimeoutError:
            return None
        finally:
            self.waited_ms += now_ms() - started_ms
        if isinstance(answer, SlotRefused):
            self._log(
                "slot_refused",
                service=want.cell,
                account=want.client_account,
                units=want.allowance_units,
                tier=want.tier,
                reason=answer.refuse.reason,
                retry_after_ms=answer.refuse.retry_after_ms,
                waited_ms=self.waited_ms,
                is_own=answer.is_own,
            )
            return answer
        self._log(
            "slot_granted",
            service=want.cell,
            tier=want.tier,
            upstream=answer.grant.upstream,
            address=answer.grant.address,
            waited_ms=self.waited_ms,
            cached_tokens=answer.grant.predicted_prefix_tokens,
            is_own=answer.is_own,
        )
        return want, answer.grant

    def _want(self) -> SlotRequest:
        admitted = self._admitted
        request = admitted.request
        route = admitted.route
        account = admitted.account
        waited_ms = now_ms() - admitted.began_ms
        patience_left_ms = first_byte_timeout_ms(route) - waited_ms
        deadline_ms = min(
            patience_left_ms, self._left_ms() - min_service_time_ms(route)
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
            allowance_units=_units(request, account),
        )

    # Sending

    async def _send(self, want: SlotRequest, grant: Grant) -> ReleaseCause | None:
        """Send the request once.

        :return: how it ended; None if the caller has its answer all the same.
        """
        sending = _Sending(want, grant, now_ms())
        cause = ReleaseCause.UPSTREAM_DIED
        try:
            async with asyncio.timeout(self._left_ms() / 1000):
                cause = await self._exchange_with(sending)
        except ConnectFailed as error:
            cause = ReleaseCause.UNREACHABLE
            self._log_failure(sending, cause, error)
        except (UpstreamTimedOut, TimeoutError) as error:
            cause = self._cause_of_silence(sending, error)
            self._log_failure(sending, cause, error)
        except InvalidRequest as error:
            cause = ReleaseCause.NOT_SENT
            self._log_failure(sending, cause, error)
        except UpstreamError as error:
            self._log_failure(sending, cause, error)
        except (CallerGone, asyncio.CancelledError):
            cause = ReleaseCause.CALLER_GONE
            raise
        finally:
            sending.end()
            self._release(sending, cause)
        return None if sending.is_answered else cause

    def _cause_of_silence(self, sending: "_Sending", error: Exception) -> ReleaseCause:
        """Tell whether the upstream was silent or the request came to it late."""
        silent_ms = 0
        if isinstance(error, UpstreamTimedOut):
            silent_ms = sending.silence_ms
        elif sending.first_ms < 0:
            silent_ms = now_ms() - sending.started_ms
        if silent_ms >= self._admitted.route.goal_ms:
            return ReleaseCause.UPSTREAM_TIMEOUT
        return ReleaseCause.OUT_OF_TIME

    async def _exchange_with(self, sending: "_Sending") -> ReleaseCause:
        admitted = self._admitted
        request = admitted.request
        http = request.http
        left_ms = self._left_ms()
        silence = failover_timeout_ms(admitted.route, self._attempts, left_ms)
        sending.silence_ms = silence
        self.sends += 1
        self._is_sent = True
        answer = await self._client.send(
            sending.grant.address,
            http.method,
            http.target,
            self._codec.upstream_headers(
                request,
                admitted.account,
                sending.grant.upstream,
                left_ms,
                self._last_event_id,
            ),
            http.body,
            host=request.host,
            timeouts=UpstreamTimeouts(
                connect_ms=min(CONNECT_MS, left_ms),
                first_byte_ms=silence,
                between_bytes_ms=silence,
            ),
        )
        sending.answer = answer
        kind = self._codec.classify_answer(request, answer)
        if kind is AnswerKind.MISMATCHED:
            raise AnswerMalformed("not the answer to this request", answer.address)
        if kind is AnswerKind.EVENT_STREAM:
            return await self._pass_events(sending, answer)
        body = await answer.read(MAX_ANSWER_BYTES)
        if kind is AnswerKind.REJECTED:
            return ReleaseCause.REJECTED
        if kind is AnswerKind.OTHER_UPSTREAM:
            return ReleaseCause.OTHER_UPSTREAM
        return await self._pass_whole(sending, answer, body, kind)

    async def _pass_whole(
        self, sending: "_Sending", answer: UpstreamAnswer, body: bytes, kind: AnswerKind
    ) -> ReleaseCause:
        sending.first_ms = now_ms() - sending.started_ms
        self.first_ms = now_ms() - self._admitted.began_ms
        whole = (answer.status_code, answer.headers, body)
        is_failure = kind is AnswerKind.FAILURE
        if self._exchange.is_started:
            # A stream that began at another upstream can't become a plain answer.
            return ReleaseCause.UPSTREAM_ERROR
        is_broken = answer.status_code >= HTTPStatus.INTERNAL_SERVER_ERROR
        if is_failure and is_broken and self._attempts.allow_retry_after_execution:
            self._failure = whole
            return ReleaseCause.UPSTREAM_ERROR
        sending.is_answered = True
        await self._respond(whole, "failed_upstream" if is_failure else "answered")
        return ReleaseCause.UPSTREAM_ERROR if is_broken else ReleaseCause.COMPLETED

    async def _respond(self, whole: tuple, outcome: str) -> None:
        status_code, headers, body = whole
        self.outcome = outcome
        self.status_code = status_code
        await self._exchange.respond(status_code, headers, body)

    async def _pass_events(
        self, sending: "_Sending", answer: UpstreamAnswer
    ) -> ReleaseCause:
        splitter = ServerSentEventParser()
        exchange = self._exchange
        async for chunk in answer.chunks():
            events = list(splitter.feed(chunk))
            if not events:
                continue
            if self._exchange.is_started and sending.produced_tokens == 0:
                self._check_resumed(events[0], answer)
            await self._begin_stream(sending, answer)
            self._last_event_id = events[-1].event_id or self._last_event_id
            await exchange.write(b"".join([event.data for event in events]))
            self._progressed(sending, len(events))
        if splitter.buffered:
            await self._begin_stream(sending, answer)
            await exchange.write(splitter.buffered)
        elif not exchange.is_started:
            await self._begin_stream(sending, answer)
        self.outcome = "answered"
        sending.is_answered = True
        await exchange.finish()
        return ReleaseCause.COMPLETED

    def _check_resumed(self, event: ServerSentEvent, answer: UpstreamAnswer) -> None:
        if not event.is_after(self._last_event_id):
            detail = f"event {event.event_id} after {self._last_event_id}"
            raise AnswerMalformed(detail, answer.address)

    async def _begin_stream(self, sending: "_Sending", answer: UpstreamAnswer) -> None:
        if sending.first_ms < 0:
            sending.first_ms = now_ms() - sending.started_ms
        if self._exchange.is_started:
            return
        self.first_ms = now_ms() - self._admitted.began_ms
        self.status_code = answer.status_code
        headers = [h for h in answer.headers if h.name != "content-length"]
        await self._exchange.start(answer.status_code, headers)

    def _progressed(self, sending: "_Sending", events: int) -> None:
        is_first = sending.produced_tokens == 0
        sending.produced_tokens += events * self._admitted.tokens_per_event
        if is_first or now_ms() - sending.told_ms >= PROGRESS_INTERVAL_MS:
            sending.told_ms = now_ms()
            progress = SlotProgress(sending.want.request_id, sending.produced_tokens)
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
        most_ms = int(self._left_ms() * MAX_RETRY_SHARE)
        refusal = Refusal(
            self._attempts.verdict, reason, max(0, min(retry_after_ms, most_ms))
        )
        self.status_code = int(_status_of(refusal))
        await respond_refusal(self._exchange, self._codec, self.status_code, refusal)

    def _release(self, sending: "_Sending", cause: ReleaseCause) -> None:
        release = build_release(
            sending.want,
            sending.grant.upstream,
            cause,
            produced_tokens=sending.produced_tokens,
            first_token_ms=sending.first_ms,
            duration_ms=now_ms() - sending.started_ms,
        )
        self._server.feed(SlotReleased(release))

    def _log_failure(
        self, sending: "_Sending", cause: ReleaseCause, error: Exception
    ) -> None:
        self._log(
            "send_failed",
            upstream=sending.grant.upstream,
            address=sending.grant.address,
            cause=cause,
            detail=f"{type(error).__name__}: {error}",
            events=sending.produced_tokens,
            duration_ms=now_ms() - sending.started_ms,
        )

    def _log(self, event_name: str, **fields: Any) -> None:
        """Write a line, or keep it for a request that fails when there are many."""
        if not logs.write_sampled(event_name, **fields):
            self._skipped.append((event_name, fields))

    def write_end(self) -> None:
        """Write how the request ended; one that failed gets all its lines."""
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
        }
        if self.is_good:
            logs.write_sampled("forwarding_ended", **fields)
            return
        for event_name, skipped in self._skipped:
            logs.write(event_name, is_late=True, **skipped)
        logs.write("forwarding_ended", **fields)

    def _left_ms(self) -> int:
        return self._admitted.end_ms - END_MARGIN_MS - now_ms()


@dataclass(slots=True)
class _Sending:
    """Is one send of a request.

    :param first_ms: until the first part of the answer; -1 if there was none yet.
    :param silence_ms: how long the upstream may be silent.
    :param is_answered: whether the caller has its final answer.
    """

    want: SlotRequest
    grant: Grant
    started_ms: int
    answer: UpstreamAnswer | None = None
    first_ms: int = -1
    produced_tokens: int = 0
    told_ms: int = 0
    silence_ms: int = 0
    is_answered: bool = False

    def end(self) -> None:
        """Close the connection unless the answer was read to its end."""
        if self.answer is not None:
            self.answer.cancel()


def _reason_of(cause: ReleaseCause) -> Reason:
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


def _units(request: RoutedRequest, account: RoutedAccount | None) -> int:
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
