"""Calls to upstreams, which send a request and copy the upstream's answer."""

import re
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from . import logs
from .answers import Answer
from .core.dispatcher_events import DispatchEnded, DispatchProgress
from .core.event_stream import ServerSentEventParser
from .core.fleet import Policy, UpstreamKind, UpstreamSpec
from .core.messages import Header, Outcome, ReleaseCause
from .core.upstream_answers import PROMISE_STATUS_CODES
from .core.verdicts import Reason, Verdict
from .engine_client import EngineClient, UpstreamAnswer, UpstreamTimeouts
from .exceptions import (
    AnswerTooLarge,
    AnswerTruncated,
    ConnectFailed,
    InvalidRequest,
    UpstreamDied,
    UpstreamError,
    UpstreamRefused,
    UpstreamTimedOut,
)
from .http_messages import REQUEST_ID_HEADER, is_event_stream
from .problems import PROBLEM_TYPE
from .prompts import fingerprint
from .request_validator import Admission

TOKEN_EVENT = b"data: "
CACHED_TOKENS = re.compile(rb'"cached_tokens": ?(\d{1,9})')
COMPLETION_TOKENS = re.compile(rb'"completion_tokens": ?(\d{1,9})')
TAIL_BYTES = 512
MAX_RESUMES = 3
MAX_KEPT_ANSWER_BYTES = 4 * 1024 * 1024
MAX_CALL_MS = 30 * 60_000
PROGRESS_INTERVAL_MS = 200
JSON_TYPE = "application/json"
FORWARDED_HEADERS = ("content-type", "cache-control", "location", "etag")
ENGINE_TIMEOUTS = UpstreamTimeouts(
    connect_ms=1000,
    first_byte_ms=60_000,
    between_bytes_ms=10_000,
    total_ms=MAX_CALL_MS,
)
CANCEL_TIMEOUTS = UpstreamTimeouts(
    connect_ms=500, first_byte_ms=1000, between_bytes_ms=1000, total_ms=2000
)


def engine_request_id(request_id: str, key: str) -> str:
    """Return the id that a request has at an engine.

    A request with an idempotency key has the same id on every host, so that any
    of them can resume its stream.
    """
    if not key:
        return request_id
    return f"k{fingerprint(key.encode()):x}"


@dataclass(slots=True)
class CallStats:
    """Times and token counts of one call.

    :param started_ms: start time, on the monotonic clock; the other times are
        relative to it.
    :param first_token_ms: time of the first token; -1 if there is none.
    :param reported_ms: time of the last progress report.
    :param slow_tokens: number of chunks that arrived more than the policy's
        ``slow_token_ms`` after the chunk before.
    :param last_token_ms: time of the last chunk.
    :param tail: last bytes of the answer, which contain its token usage.
    """

    started_ms: int
    first_token_ms: int = -1
    produced_tokens: int = 0
    cached_tokens: int = 0
    reported_ms: int = 0
    slow_tokens: int = 0
    last_token_ms: int = 0
    tail: bytes = b""


@dataclass(slots=True)
class Call:
    """One dispatch of a request to an upstream.

    :param is_resumed: whether another host has sent the request.
    :param is_started: whether the task of the call has begun to run.
    :param cancel_cause: release cause if the call is cancelled, else None.
    :param events: parser of the answer if it is a stream of events, else None.
    :param body: copy of the answer's body if the request has an idempotency key, up
        to a little more than may be replayed.
    """

    admission: Admission
    answer: Answer
    upstream: UpstreamSpec
    stats: CallStats
    is_resumed: bool = False
    is_started: bool = False
    cancel_cause: ReleaseCause | None = None
    events: ServerSentEventParser | None = None
    body: bytearray = field(default_factory=bytearray)

    @property
    def engine_id(self) -> str:
        """Return the id of the request at the engine."""
        request = self.admission.request
        return engine_request_id(request.request_id, request.key)


class CallRunner:
    """Runner of calls to upstreams that reports progress and outcome.

    :param client: client for the upstreams.
    :param feed: function that passes an event to the core.
    """

    def __init__(self, client: EngineClient, feed: Callable[[Any], None]):
        self._client = client
        self._feed = feed

    async def dispatch(self, call: Call, policy: Policy) -> None:
        """Send a request to its upstream and copy the answer."""
        await self._run(call, policy, self._send)

    async def resume(self, call: Call, policy: Policy) -> None:
        """Read the answer to a request that another host sent.

        It goes on where the copy from that host ended.
        """
        await self._run(call, policy, self._take_over)

    async def cancel(self, call: Call) -> None:
        """Cancel a request at its engine; ignore failures."""
        if call.upstream.kind is not UpstreamKind.ENGINE:
            return
        try:
            await self._client.cancel(
                call.upstream.address, call.engine_id, timeouts=CANCEL_TIMEOUTS
            )
        except UpstreamError:
            return

    async def _run(self, call: Call, policy: Policy, connect: Any) -> None:
        try:
            answer = await connect(call)
            _check_promise(answer, call.upstream.address)
            await self._pump(call, answer, policy)
            outcome = self._build_outcome(call, policy)
            cause = ReleaseCause.COMPLETED
            if call.answer.status_code >= HTTPStatus.INTERNAL_SERVER_ERROR:
                cause = ReleaseCause.UPSTREAM_ERROR
            call.answer.end(outcome)
        except UpstreamError as error:
            cause = _release_cause(error)
            outcome = Outcome(error.verdict, _outcome_reason(error))
            _log_failure(call, cause, error)
        except InvalidRequest as error:
            cause = ReleaseCause.NOT_SENT
            outcome = Outcome(error.verdict, error.reason)
        except Exception as error:
            # The request must get an outcome after any failure.
            logs.write("internal_error", detail=repr(error))
            cause = ReleaseCause.UPSTREAM_ERROR
            outcome = Outcome(Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_ERROR)
        self._feed(_build_dispatch_ended(call, cause, outcome))

    async def _send(self, call: Call) -> UpstreamAnswer:
        admission = call.admission
        request = admission.request
        if request.kind is UpstreamKind.ENGINE:
            return await self._client.complete(
                call.upstream.address,
                admission.target,
                admission.body,
                call.engine_id,
                key=request.key,
                timeouts=ENGINE_TIMEOUTS,
            )
        return await self._client.call(
            call.upstream.address,
            admission.method,
            admission.target,
            _service_headers(admission),
            admission.body,
            timeouts=_service_timeouts(admission),
        )

    async def _take_over(self, call: Call) -> UpstreamAnswer:
        if call.upstream.kind is not UpstreamKind.ENGINE:
            raise UpstreamDied("a plain service can't resume an answer")
        if call.answer.is_started:
            _adopt_copy(call)
        return await self._resume_at(call, call.answer.size_bytes)

    async def _resume_at(self, call: Call, offset_bytes: int) -> UpstreamAnswer:
        try:
            answer = await self._client.resume(
                call.upstream.address,
                call.engine_id,
                offset_bytes,
                timeouts=ENGINE_TIMEOUTS,
            )
        except ConnectFailed as error:
            # The request was sent earlier, so it may have been executed.
            raise UpstreamDied("the engine can't be reached") from error
        if answer.status_code != HTTPStatus.OK:
            answer.cancel()
            raise UpstreamDied("the engine does not know the request")
        return answer

    async def _pump(self, call: Call, answer: UpstreamAnswer, policy: Policy) -> None:
        resumes = 0
        while True:
            if not call.answer.is_started:
                call.answer.start(
                    answer.status_code, _forwarded_headers(answer.headers)
                )
                if is_event_stream(answer.headers):
                    call.events = ServerSentEventParser()
            try:
                await self._copy(call, answer, policy)
                return
            except AnswerTruncated:
                resumes += 1
                is_engine = call.upstream.kind is UpstreamKind.ENGINE
                if not is_engine or resumes > MAX_RESUMES:
                    raise
                answer = await self._resume_at(call, call.answer.size_bytes)

    async def _copy(self, call: Call, answer: UpstreamAnswer, policy: Policy) -> None:
        try:
            async for chunk in answer.chunks():
                self._update_stats(call, chunk, policy.slow_token_ms)
                if call.answer.key:
                    _copy_for_replay(call, chunk, policy.replay_body_bytes)
                await call.answer.write(chunk)
                if call.events is not None:
                    deque(call.events.feed(chunk), maxlen=0)
                answer.hold(_kept_bytes(call))
        finally:
            answer.cancel()
        if call.events is not None and call.events.is_truncated(answer.is_framed):
            raise AnswerTruncated("the stream broke off", call.upstream.address)

    def _update_stats(self, call: Call, chunk: bytes, slow_token_ms: float) -> None:
        stats = call.stats
        elapsed_ms = _now_ms() - stats.started_ms
        is_first_token = stats.first_token_ms < 0 and call.admission.is_stream
        if is_first_token:
            stats.first_token_ms = elapsed_ms
        elif elapsed_ms - stats.last_token_ms > slow_token_ms:
            stats.slow_tokens += 1
        stats.last_token_ms = elapsed_ms
        stats.produced_tokens += chunk.count(TOKEN_EVENT)
        stats.tail = (stats.tail + chunk)[-TAIL_BYTES:]
        if is_first_token or elapsed_ms - stats.reported_ms >= PROGRESS_INTERVAL_MS:
            stats.reported_ms = elapsed_ms
            request_id = call.admission.request.request_id
            progress = DispatchProgress(
                request_id, stats.produced_tokens, stats.slow_tokens
            )
            self._feed(progress)

    def _build_outcome(self, call: Call, policy: Policy) -> Outcome:
        is_replayable = len(call.body) <= policy.replay_body_bytes
        return Outcome(
            verdict=Verdict.COMPLETED,
            reason=Reason.NONE,
            status_code=call.answer.status_code,
            headers=call.answer.headers,
            body=bytes(call.body) if is_replayable else b"",
            is_replayable=is_replayable,
        )


def build_early_end(call: Call, cause: ReleaseCause) -> DispatchEnded:
    """Build the event that reports the end of a cancelled call."""
    reasons = {
        ReleaseCause.PREEMPTED: Reason.PREEMPTED,
        ReleaseCause.CALLER_GONE: Reason.CALLER_GONE,
    }
    reason = reasons.get(cause, Reason.UPSTREAM_ERROR)
    is_unsent = not (call.is_started or call.is_resumed)
    verdict = Verdict.NOT_RUN if is_unsent else Verdict.MAY_HAVE_RUN
    return _build_dispatch_ended(call, cause, Outcome(verdict, reason))


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


def _build_dispatch_ended(
    call: Call, cause: ReleaseCause, outcome: Outcome
) -> DispatchEnded:
    stats = call.stats
    return DispatchEnded(
        request_id=call.admission.request.request_id,
        cause=cause,
        outcome=outcome,
        cached_tokens=_read_usage(CACHED_TOKENS, stats.tail, 0),
        produced_tokens=_read_usage(
            COMPLETION_TOKENS, stats.tail, stats.produced_tokens
        ),
        first_token_ms=stats.first_token_ms,
        slow_tokens=stats.slow_tokens if call.admission.is_stream else -1,
        is_answer_begun=call.answer.is_started,
    )


def _read_usage(pattern: re.Pattern, tail: bytes, default: int) -> int:
    matches = pattern.findall(tail)
    return int(matches[-1]) if matches else default


def _adopt_copy(call: Call) -> None:
    """Treat the part of the answer that was copied as if the call had received it."""
    copied = call.answer.body()
    call.body += copied
    if is_event_stream([(header.name, header.value) for header in call.answer.headers]):
        call.events = ServerSentEventParser()
        deque(call.events.feed(copied), maxlen=0)


def _check_promise(answer: UpstreamAnswer, address: str) -> None:
    """Refuse an answer whose status is a promise of ours.

    Upstreams do not prove that they have not executed a request.

    :raises UpstreamRefused: if callers would take the status for a promise.
    """
    if answer.status_code in PROMISE_STATUS_CODES:
        answer.cancel()
        raise UpstreamRefused(answer.status_code, address)


def _log_failure(call: Call, cause: ReleaseCause, error: UpstreamError) -> None:
    logs.write_rate_limited(
        "send_failed",
        upstream=call.upstream.name,
        address=call.upstream.address,
        cause=cause,
        detail=f"{type(error).__name__}: {error}",
        verdict=error.verdict,
        events=call.stats.produced_tokens,
        duration_ms=_now_ms() - call.stats.started_ms,
    )


def _copy_for_replay(call: Call, chunk: bytes, max_replay_bytes: int) -> None:
    """Copy a part of an answer that is kept whole, unless it is too large to replay.

    :raises AnswerTooLarge: if the answer is too large to be kept.
    """
    if call.answer.size_bytes + len(chunk) > MAX_KEPT_ANSWER_BYTES:
        raise AnswerTooLarge(
            f"the answer is longer than {MAX_KEPT_ANSWER_BYTES} bytes",
            call.upstream.address,
        )
    if len(call.body) <= max_replay_bytes:
        call.body += chunk


def _kept_bytes(call: Call) -> int:
    """Return how many bytes of an answer in progress are kept."""
    kept_bytes = call.answer.size_bytes if call.answer.key else 0
    if call.events is not None:
        kept_bytes += call.events.buffered_bytes
    return kept_bytes


def _release_cause(error: UpstreamError) -> ReleaseCause:
    if isinstance(error, UpstreamRefused):
        is_failure = error.status_code >= HTTPStatus.INTERNAL_SERVER_ERROR
        return ReleaseCause.UPSTREAM_ERROR if is_failure else ReleaseCause.COMPLETED
    if isinstance(error, ConnectFailed):
        return ReleaseCause.UNREACHABLE
    if isinstance(error, UpstreamDied | AnswerTruncated):
        return ReleaseCause.UPSTREAM_DIED
    if isinstance(error, UpstreamTimedOut):
        return ReleaseCause.UPSTREAM_TIMEOUT
    return ReleaseCause.UPSTREAM_ERROR


def _outcome_reason(error: UpstreamError) -> Reason:
    if isinstance(error, ConnectFailed):
        return Reason.UPSTREAM_DIED
    return error.reason


def _forwarded_headers(headers: tuple) -> tuple[Header, ...]:
    forwarded = [Header(n, v) for n, v in headers if n in FORWARDED_HEADERS]
    return tuple([_without_problem_type(header) for header in forwarded])


def _without_problem_type(header: Header) -> Header:
    """Return a header field that does not make an answer look like our refusal."""
    is_type = header.name == "content-type"
    if is_type and header.value.strip().lower().startswith(PROBLEM_TYPE):
        return Header(header.name, JSON_TYPE)
    return header


def _service_headers(admission: Admission) -> list[tuple[str, str]]:
    request = admission.request
    headers = [(REQUEST_ID_HEADER, request.request_id)]
    if admission.body:
        headers.append(("content-type", admission.content_type))
    if request.key:
        headers.append(("idempotency-key", request.key))
    return headers


def _service_timeouts(admission: Admission) -> UpstreamTimeouts:
    return UpstreamTimeouts(
        connect_ms=1000,
        first_byte_ms=admission.timeout_ms,
        between_bytes_ms=admission.timeout_ms,
        total_ms=MAX_CALL_MS,
    )
