"""Reader of the platform's list of live and leaving hosts.

The list can only exclude an upstream from new requests. A host that is listed as
live, or not listed, is not treated as live for that reason, since the list may be
outdated.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError

from . import logs
from .core.fleet import UpstreamSpec
from .core.messages import UpstreamReport
from .runtime import Ticker

READ_INTERVAL_MS = 500


class PlatformHost(BaseModel):
    """One host of the platform's list."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    name: str
    state: Literal["live", "leaving"]


HOST_LIST = TypeAdapter(tuple[PlatformHost, ...])


class PlatformHostList:
    """Periodic reader of the list that reports the leaving upstreams.

    :param path: path of a JSON file with a list of objects with ``name`` and
        ``state``; empty if the platform has no list.
    :param upstreams: function that returns the upstreams that this host schedules.
    :param on_report: function called with a report for each of these upstreams that
        is listed as leaving.
    """

    def __init__(
        self,
        path: str,
        upstreams: Callable[[], tuple[UpstreamSpec, ...]],
        on_report: Callable[[UpstreamReport], None],
    ):
        self._path = path
        self._upstreams = upstreams
        self._on_report = on_report
        self._is_readable = True
        self._leaving: frozenset[str] = frozenset()
        self._ticker = Ticker(self.read, lambda: READ_INTERVAL_MS)

    def start(self) -> None:
        """Start reading the list; do nothing without a path."""
        if self._path:
            self._ticker.start()

    def stop(self) -> None:
        """Stop reading the list."""
        self._ticker.stop()

    def read(self) -> None:
        """Read the list and report; keep the last list if it can't be read."""
        try:
            hosts = HOST_LIST.validate_json(Path(self._path).read_bytes())
        except (OSError, ValidationError) as error:
            if self._is_readable:
                logs.write("platform_list_unreadable", detail=str(error))
            self._is_readable = False
        else:
            self._is_readable = True
            self._leaving = frozenset(
                [host.name for host in hosts if host.state == "leaving"]
            )
        for spec in self._upstreams():
            if spec.name in self._leaving:
                self._on_report(_build_leaving_report(spec))


def _build_leaving_report(spec: UpstreamSpec) -> UpstreamReport:
    return UpstreamReport(
        upstream=spec.name,
        cell=spec.cell,
        is_alive=True,
        is_leaving=True,
        running=0,
        queued_prefill_tokens=0,
        used_kv_tokens=0,
        capacity_kv_tokens=0,
        cache_sequence=0,
    )
