"""Regular reading of the platform's list of upstreams."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from . import logs
from .core.messages import ListedUpstream
from .core.routing_events import UpstreamsListed
from .exceptions import UpstreamError

IDLE_MS = 50


class UpstreamListReader(Protocol):
    """Is a list of upstreams that can be read."""

    async def read(self) -> tuple[ListedUpstream, ...]:
        """Return all upstreams that the list names.

        :raises UpstreamError: if the list can't be read whole.
        """


class UpstreamListPoller:
    """Reads the list while it is wanted, and feeds what it says.

    :param is_wanted: tells whether this host is the one to read it.
    :param interval_ms: returns the time between two readings.
    """

    def __init__(
        self,
        upstreams: UpstreamListReader,
        feed: Callable[[Any], None],
        is_wanted: Callable[[], bool],
        interval_ms: Callable[[], int],
    ):
        self._upstreams = upstreams
        self._feed = feed
        self._is_wanted = is_wanted
        self._interval_ms = interval_ms

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if not self._is_wanted():
                await asyncio.sleep(IDLE_MS / 1000)
                continue
            try:
                self._feed(UpstreamsListed(await self._upstreams.read()))
            except UpstreamError as error:
                logs.write("upstream_list_unreadable", detail=str(error))
            await asyncio.sleep(self._interval_ms() / 1000)
