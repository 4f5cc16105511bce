"""Poller of the platform's list of upstreams."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from . import logs
from .core.messages import ListedUpstream
from .core.routing_events import UpstreamsListed
from .exceptions import UpstreamError

IDLE_MS = 100


class UpstreamListReader(Protocol):
    """Interface of a reader of the platform's list of upstreams."""

    async def read(self) -> tuple[ListedUpstream, ...]:
        """Return all upstreams in the list.

        :raises UpstreamError: if the list can't be read completely.
        """


class UpstreamListPoller:
    """Poller that feeds the list to the core while this host has to read it.

    :param reader: reader of the list.
    :param feed: function that passes an event to the core.
    :param is_wanted: function that returns whether this host has to read the list.
    :param interval_ms: function that returns the time between two reads, in
        milliseconds.
    """

    def __init__(
        self,
        reader: UpstreamListReader,
        feed: Callable[[Any], None],
        is_wanted: Callable[[], bool],
        interval_ms: Callable[[], int],
    ):
        self._reader = reader
        self._feed = feed
        self._is_wanted = is_wanted
        self._interval_ms = interval_ms

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            if not self._is_wanted():
                await asyncio.sleep(IDLE_MS / 1000)
                continue
            try:
                self._feed(UpstreamsListed(await self._reader.read()))
            except UpstreamError as error:
                logs.write("upstream_list_unreadable", detail=str(error))
            except Exception as error:
                # Nothing else restarts the poller, so no content may end it.
                logs.write("upstream_list_unreadable", detail=repr(error))
            await asyncio.sleep(self._interval_ms() / 1000)
