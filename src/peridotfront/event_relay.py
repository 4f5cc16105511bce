"""Relay of the events of a stream from its upstreams to the caller."""

from collections.abc import Callable

from .core.event_stream import ServerSentEvent, ServerSentEventParser
from .core.gateway_events import SlotProgress
from .exceptions import AnswerMalformed, AnswerTruncated
from .exchanges import Exchange
from .gateway_server import GatewayServer
from .routed_requests import AdmittedRequest
from .runtime import now_ms
from .send_attempt import SendAttempt
from .slot_finder import SlotFinder
from .upstream_answer import UpstreamAnswer

PROGRESS_INTERVAL_MS = 500


class EventRelay:
    """Relay of whole events, which may come from several upstreams in sequence.

    :param server: server that is told of the progress.
    :param admitted: the request with its route, service and account.
    :param exchange: exchange with the caller.
    :param slot_finder: finder of slots, which is told how far the stream is.
    :param on_started: function called before the caller gets the head of an answer.

    ``last_event_id`` is the id of the last event that the caller has, ``event_count``
    the number of events of all upstreams, and ``unfinished_bytes`` what followed the
    last whole event.
    """

    def __init__(
        self,
        server: GatewayServer,
        admitted: AdmittedRequest,
        exchange: Exchange,
        slot_finder: SlotFinder,
        on_started: Callable[[UpstreamAnswer], None],
    ):
        self.last_event_id = admitted.request.last_event_id
        self.event_count = 0
        self.unfinished_bytes = 0
        self._server = server
        self._tokens_per_event = admitted.tokens_per_event
        self._exchange = exchange
        self._slot_finder = slot_finder
        self._on_started = on_started

    async def relay(self, attempt: SendAttempt, answer: UpstreamAnswer) -> None:
        """Pass on the events of one answer as they arrive, without the stream's end.

        :raises AnswerMalformed: if the events don't follow those that the caller has.
        :raises AnswerTruncated: if the answer ends inside an event.
        :raises CallerGone: if the caller's connection is closed.
        """
        parser = ServerSentEventParser()
        async for chunk in answer.chunks():
            events = list(parser.feed(chunk))
            self.event_count += len(events)
            self.unfinished_bytes = parser.buffered_bytes
            answer.hold(parser.buffered_bytes)
            if events:
                await self._pass_on(events, attempt, answer)
        if parser.is_truncated(answer.is_framed):
            raise AnswerTruncated("the stream broke off", attempt.grant.address)
        if parser.buffered:
            await self._start(attempt, answer)
            await self._exchange.write(parser.buffered)
        elif not self._exchange.is_started:
            await self._start(attempt, answer)

    async def _pass_on(
        self,
        events: list[ServerSentEvent],
        attempt: SendAttempt,
        answer: UpstreamAnswer,
    ) -> None:
        if self._exchange.is_started and attempt.produced_tokens == 0:
            self._check_resumed(events[0], answer)
        await self._start(attempt, answer)
        self.last_event_id = events[-1].event_id or self.last_event_id
        self._slot_finder.software_version = attempt.grant.software_version
        self._slot_finder.last_event_ms = now_ms()
        # The scheduler has to know how a stream began before its caller does.
        self._report_progress(attempt, len(events))
        await self._exchange.write(b"".join([event.data for event in events]))

    def _check_resumed(self, event: ServerSentEvent, answer: UpstreamAnswer) -> None:
        if not event.is_after(self.last_event_id):
            detail = f"event {event.event_id} does not follow {self.last_event_id}"
            raise AnswerMalformed(detail, answer.address)

    async def _start(self, attempt: SendAttempt, answer: UpstreamAnswer) -> None:
        if attempt.first_ms < 0:
            attempt.first_ms = now_ms() - attempt.started_ms
        if self._exchange.is_started:
            return
        self._on_started(answer)
        headers = [h for h in answer.headers if h.name != "content-length"]
        await self._exchange.start(answer.status_code, headers)

    def _report_progress(self, attempt: SendAttempt, events: int) -> None:
        is_first = attempt.produced_tokens == 0
        attempt.produced_tokens += events * self._tokens_per_event
        if is_first or now_ms() - attempt.reported_ms >= PROGRESS_INTERVAL_MS:
            attempt.reported_ms = now_ms()
            progress = SlotProgress(
                attempt.slot_request.request_id, attempt.produced_tokens
            )
            self._server.feed(progress)
