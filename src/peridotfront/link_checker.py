"""Checks of this host's own links to upstreams, without requests of callers."""

from collections.abc import Callable
from typing import Any

from . import logs
from .core.gateway_events import LinkChecked
from .core.messages import LinkState
from .exceptions import ConnectFailed, InvalidRequest, UpstreamError
from .http_client import HttpClient, UpstreamTimeouts
from .runtime import BackgroundTasks, now_ms

CONNECT_MS = 300
ANSWER_MS = 1000
RECHECK_MS = 1000
MIN_INTERVAL_MS = 200
TIMEOUTS = UpstreamTimeouts(
    connect_ms=CONNECT_MS,
    first_byte_ms=ANSWER_MS,
    between_bytes_ms=ANSWER_MS,
    total_ms=ANSWER_MS,
)


class _RecentUpstreams:
    """Upstreams that were recorded within ``RECHECK_MS``, by name."""

    def __init__(self) -> None:
        # Ordered by the time of recording.
        self._recorded_ms: dict[str, int] = {}

    def add(self, upstream: str, at_ms: int) -> None:
        """Record an upstream, and forget those that are not recent any more."""
        self._recorded_ms.pop(upstream, None)
        self._recorded_ms[upstream] = at_ms
        while at_ms - next(iter(self._recorded_ms.values())) >= RECHECK_MS:
            del self._recorded_ms[next(iter(self._recorded_ms))]

    def has(self, upstream: str, at_ms: int) -> bool:
        """Return whether an upstream was recorded within the time."""
        recorded_ms = self._recorded_ms.get(upstream)
        return recorded_ms is not None and at_ms - recorded_ms < RECHECK_MS


class LinkChecker:
    """Checker of the links between this host and the upstreams.

    It tells the leader of a lost link before requests fail on it, and when it is back.

    :param client: client that connects directly.
    :param feed: function that passes an event to the role of this host.
    """

    def __init__(self, client: HttpClient, feed: Callable[[Any], None]):
        self._client = client
        self._feed = feed
        self._answered = _RecentUpstreams()
        self._checked = _RecentUpstreams()
        self._last_check_ms = 0
        self._tasks = BackgroundTasks()

    def record_answer(self, upstream: str) -> None:
        """Record that an upstream answers this host."""
        self._answered.add(upstream, now_ms())

    def check_late(self, upstream: str, address: str) -> None:
        """Check the link to an upstream whose answer is late."""
        if not self._answered.has(upstream, now_ms()) and self._begin(upstream):
            self._tasks.start(self._check_late(upstream, address))

    def check_return(self, upstream: str, address: str, health_path: str) -> None:
        """Check whether a lost link is back, by the upstream's own health check.

        A connection alone doesn't show that bytes pass in both directions.
        """
        if now_ms() - self._last_check_ms >= MIN_INTERVAL_MS and self._begin(upstream):
            self._tasks.start(self._check_return(upstream, address, health_path))

    async def is_open(self, upstream: str, address: str) -> bool:
        """Return whether a new connection opens to an upstream that is silent.

        A lost link is reported.
        """
        try:
            await self._client.connect(address, CONNECT_MS)
        except ConnectFailed as error:
            self._client.close_idle(address)
            self._report(upstream, LinkState.LOST, str(error))
            return False
        return True

    def _begin(self, upstream: str) -> bool:
        """Return whether a check is due, and record that it begins."""
        at_ms = now_ms()
        if self._checked.has(upstream, at_ms):
            return False
        self._checked.add(upstream, at_ms)
        self._last_check_ms = at_ms
        return True

    async def _check_late(self, upstream: str, address: str) -> None:
        if await self.is_open(upstream, address):
            self._report(upstream, LinkState.SILENT, "")

    async def _check_return(
        self, upstream: str, address: str, health_path: str
    ) -> None:
        self._client.close_idle(address)
        try:
            answer = await self._client.send(
                address, "GET", health_path, timeouts=TIMEOUTS
            )
            await answer.read()
        except (UpstreamError, InvalidRequest) as error:
            logs.write_rate_limited(
                "link_checked", upstream=upstream, state="lost", detail=str(error)
            )
            return
        self._report(upstream, LinkState.OPEN, "")

    def _report(self, upstream: str, state: LinkState, detail: str) -> None:
        logs.write_rate_limited(
            "link_checked", upstream=upstream, state=state, detail=detail
        )
        self._feed(LinkChecked(upstream, state))
