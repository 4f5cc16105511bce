"""Polling of engines for their load, cache events and leaving state."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from .core.fleet import UpstreamKind, UpstreamSpec
from .core.messages import UpstreamReport
from .engine_client import EngineClient, UpstreamTimeouts
from .exceptions import UpstreamError
from .runtime import BackgroundTasks

POLL_INTERVAL_MS = 500
POLL_TIMEOUTS = UpstreamTimeouts(
    connect_ms=500, first_byte_ms=1000, between_bytes_ms=1000, total_ms=2000
)


@dataclass(slots=True)
class _PolledUpstream:
    """Polling task of an upstream and the last cache event received from it."""

    task: asyncio.Task
    sequence: int = 0


class EnginePoller:
    """Poller of the engines of the cells that this host schedules.

    :param client: client for the engines.
    :param on_report: function called with each report.
    """

    def __init__(
        self, client: EngineClient, on_report: Callable[[UpstreamReport], None]
    ):
        self._client = client
        self._on_report = on_report
        self._tasks = BackgroundTasks()
        self._polled: dict[UpstreamSpec, _PolledUpstream] = {}

    def watch(self, upstreams: tuple[UpstreamSpec, ...]) -> None:
        """Set the upstreams to poll; those that are not engines are ignored."""
        engines = {
            upstream for upstream in upstreams if upstream.kind is UpstreamKind.ENGINE
        }
        for spec in [upstream for upstream in self._polled if upstream not in engines]:
            self._polled.pop(spec).task.cancel()
        for spec in engines:
            if spec not in self._polled:
                self._polled[spec] = _PolledUpstream(
                    self._tasks.start(self._poll(spec))
                )

    async def stop(self) -> None:
        """Stop polling."""
        await self._tasks.cancel()

    async def _poll(self, spec: UpstreamSpec) -> None:
        while True:
            await asyncio.sleep(0)
            self._on_report(await self._report(spec, self._polled[spec]))
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)

    async def _report(
        self, spec: UpstreamSpec, polled: _PolledUpstream
    ) -> UpstreamReport:
        try:
            report = await self._client.report(
                spec.address, polled.sequence, timeouts=POLL_TIMEOUTS
            )
        except UpstreamError:
            return _build_unreachable_report(spec, polled.sequence)
        stored = [block for event in report.events for block in event.stored]
        evicted = [block for event in report.events for block in event.evicted]
        sequences = [event.sequence for event in report.events]
        polled.sequence = max([polled.sequence, *sequences])
        return UpstreamReport(
            upstream=spec.name,
            cell=spec.cell,
            is_alive=True,
            is_leaving=report.is_leaving,
            running=report.running,
            queued_prefill_tokens=report.queued_prefill_tokens,
            used_kv_tokens=report.used_kv_tokens,
            capacity_kv_tokens=report.capacity_kv_tokens,
            cache_sequence=polled.sequence,
            cached_hashes=tuple(stored),
            evicted_hashes=tuple(evicted),
        )


def _build_unreachable_report(spec: UpstreamSpec, sequence: int) -> UpstreamReport:
    return UpstreamReport(
        upstream=spec.name,
        cell=spec.cell,
        is_alive=False,
        is_leaving=False,
        running=0,
        queued_prefill_tokens=0,
        used_kv_tokens=0,
        capacity_kv_tokens=0,
        cache_sequence=sequence,
    )
