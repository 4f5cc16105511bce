"""What is given up under overload, and in which order."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from .budgets import Slot
from .fleet import UpstreamKind
from .placement import Upstream
from .queues import QueuedWant, TierQueues

HOLD_GAIN = 0.05
FIRST_HOLD_MS = 2000.0
CAPACITY_TTL_MS = 50
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 60_000


@dataclass(frozen=True, slots=True)
class Capacity:
    """Is what the upstreams of a model can take on.

    :param slots_per_ms: slots that come free when all are in use.
    :param prefill_tokens_per_ms: prompt tokens that they process together.
    """

    slots_per_ms: float
    prefill_tokens_per_ms: float
    measured_ms: int


class DrainRate:
    """Estimates how fast a queue drains, from how long slots were held."""

    def __init__(self, queues: TierQueues):
        self._queues = queues
        self._hold_ms = 0.0
        self._capacities: dict[str, Capacity] = {}

    def observe(self, hold_ms: int) -> None:
        """Learn from a slot that was given back."""
        if self._hold_ms == 0:
            self._hold_ms = float(hold_ms)
        self._hold_ms += (hold_ms - self._hold_ms) * HOLD_GAIN

    def capacity(
        self, model: str, upstreams: Iterable[Upstream], now_ms: int
    ) -> Capacity:
        """Return what the upstreams of a model can take on."""
        known = self._capacities.get(model)
        if known is not None and now_ms - known.measured_ms < CAPACITY_TTL_MS:
            return known
        slots = 0
        prefill_tokens_per_s = 0.0
        for upstream in upstreams:
            budget = upstream.budget
            usable = upstream.health.slots(int(budget.limit_slots), now_ms)
            if upstream.is_leaving or usable == 0:
                continue
            slots += usable
            prefill_tokens_per_s += budget.prefill_tokens_per_s
        hold_ms = max(1.0, self._hold_ms or FIRST_HOLD_MS)
        known = Capacity(slots / hold_ms, prefill_tokens_per_s / 1000.0, now_ms)
        self._capacities[model] = known
        return known

    def wait_ms(
        self, tier: int, model: str, upstreams: Iterable[Upstream], now_ms: int
    ) -> float:
        """Return how long the last want of a tier is expected to wait."""
        capacity = self.capacity(model, upstreams, now_ms)
        wants, prompt_tokens = self._queues.ahead(tier, model)
        if wants == 0:
            return 0.0
        if capacity.slots_per_ms == 0:
            return float(MAX_RETRY_AFTER_MS)
        slots_ms = wants / capacity.slots_per_ms
        if prompt_tokens == 0:
            return slots_ms
        return max(slots_ms, prompt_tokens / capacity.prefill_tokens_per_ms)

    def forget_capacity(self) -> None:
        """Drop what was worked out, since an upstream came or went."""
        self._capacities.clear()


def lower_slots(
    tier: int, upstreams: Iterable[Upstream], *, with_preempted: bool
) -> Iterator[Slot]:
    """Yield the slots of lower tiers in reach of a want.

    :param with_preempted: whether to count those that were asked to end.
    """
    for upstream in upstreams:
        if upstream.is_leaving:
            continue
        for slot in upstream.budget.slots.values():
            if slot.want.tier > tier and (with_preempted or not slot.is_preempted):
                yield slot


def preempt_order(slot: Slot) -> tuple[int, int]:
    """Sort slots to cut: lowest tier first, then least prefill sunk."""
    return -slot.want.tier, slot.prefill_tokens + slot.produced_tokens


def patience_ms(queued: QueuedWant, upstreams: Iterable[Upstream], now_ms: int) -> int:
    """Return how long a want can still wait and begin its answer in time."""
    rates = [
        upstream.budget.prefill_tokens_per_s
        for upstream in upstreams
        if upstream.spec.kind is UpstreamKind.ENGINE and not upstream.is_leaving
    ]
    own_ms = queued.want.prompt_tokens * 1000.0 / max(rates) if rates else 0.0
    return int(queued.deadline_at_ms - own_ms - now_ms)
