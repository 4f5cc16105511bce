"""Load of a service's upstreams, in total and by data centre."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import exp
from typing import Any

from ..health import HealthState

REFRESH_MS = 50
SMOOTHING_MS = 200.0
# Two thresholds, so that load does not swing between data centres.
FULL_SHARE = 0.92
ROOM_SHARE = 0.75
SCARCE_SHARE = 0.6
# Speeds are compared as they are with all slots in use.
FULL_LOAD_SHARE = 1.0


@dataclass(slots=True)
class DataCentreLoad:
    """Smoothed share of a data centre's slots that are in use."""

    used_share: float
    has_room: bool = True

    def update(self, used_share: float, decay: float) -> None:
        """Update the share, and whether there is room."""
        self.used_share = used_share + (self.used_share - used_share) * decay
        limit_share = FULL_SHARE if self.has_room else ROOM_SHARE
        self.has_room = self.used_share < limit_share


@dataclass(slots=True)
class ServiceLoads:
    """Load of a service's upstreams, measured at most every ``REFRESH_MS``.

    ``scarcity`` is 0 while many slots are free and 1 if none is. ``slot_wait_ms`` is
    the expected time until any slot of a fast upstream is free, and
    ``min_prompt_token_ms`` the time of a fast one for a prompt token.
    """

    scarcity: float = 0.0
    slot_wait_ms: float = 0.0
    min_prompt_token_ms: float = 0.0
    usual_step_ms: float = 1.0
    _centres: dict[str, DataCentreLoad] = field(default_factory=dict)
    _measured_ms: int | None = None

    def has_room(self, data_centre: str) -> bool:
        """Return whether a data centre has upstreams with free slots."""
        load = self._centres.get(data_centre)
        return load is not None and load.has_room

    def refresh(self, upstreams: Iterable[Any], now_ms: int) -> None:
        """Measure the load, if the last measurement is not recent."""
        last_ms = self._measured_ms
        if last_ms is not None and now_ms - last_ms < REFRESH_MS:
            return
        self._measured_ms = now_ms
        decay = 0.0 if last_ms is None else exp((last_ms - now_ms) / SMOOTHING_MS)
        usable = [upstream for upstream in upstreams if _is_usable(upstream)]
        self._measure_centres(usable, decay)
        self._measure_speeds(usable)

    def _measure_centres(self, upstreams: list[Any], decay: float) -> None:
        used: dict[str, int] = dict.fromkeys(self._centres, 0)
        limits: dict[str, float] = dict.fromkeys(self._centres, 0.0)
        for upstream in upstreams:
            centre = upstream.spec.data_centre
            capacity = upstream.capacity
            used[centre] = used.get(centre, 0) + len(capacity.slots)
            limits[centre] = limits.get(centre, 0.0) + capacity.limit_slots
        for centre, limit in limits.items():
            share = used[centre] / limit if limit else 1.0
            load = self._centres.get(centre)
            if load is None:
                self._centres[centre] = DataCentreLoad(share, share < FULL_SHARE)
            else:
                load.update(share, decay)
        share = sum(used.values()) / (sum(limits.values()) or 1.0)
        self.scarcity = min(1.0, max(0.0, share - SCARCE_SHARE) / (1 - SCARCE_SHARE))

    def _measure_speeds(self, upstreams: list[Any]) -> None:
        if not upstreams:
            return
        capacities = [upstream.capacity for upstream in upstreams]
        steps = [capacity.speed.step_ms(FULL_LOAD_SHARE) for capacity in capacities]
        usual_step_ms = self.usual_step_ms = sorted(steps)[len(steps) // 2]
        pairs = zip(capacities, steps, strict=True)
        fast = [capacity for capacity, step_ms in pairs if step_ms <= usual_step_ms]
        releases_per_ms = sum(c.limit_slots / max(1.0, c.hold_ms) for c in fast)
        self.slot_wait_ms = 1 / releases_per_ms if releases_per_ms else 0.0
        rates = sorted(c.prefill_tokens_per_s for c in fast)
        self.min_prompt_token_ms = 1000.0 / rates[len(rates) // 2]


def _is_usable(upstream: Any) -> bool:
    return not upstream.is_leaving and upstream.health.state is not HealthState.DOWN
