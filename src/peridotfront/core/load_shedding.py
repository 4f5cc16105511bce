"""What is given up under overload, and in which order."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import exp

from .messages import SlotRequest
from .placement import Upstream
from .queues import Demand, QueuedSlotRequest, TierQueues
from .upstream_capacity import Slot

FRESH_PATIENCE_SHARE = 0.6
HOLD_GAIN = 0.02
HIT_GAIN = 0.02
ARRIVAL_MEMORY_MS = 3000.0
MIN_SPARE_SHARE = 0.05
CAPACITY_TTL_MS = 50
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 60_000


@dataclass(frozen=True, slots=True)
class ModelCapacity:
    """Is what the upstreams of a model can take on.

    :param slots: that may be in use at once.
    :param prefill_tokens_per_ms: prompt tokens that they process together.
    :param prompt_token_ms: how long one of them takes for a prompt token.
    :param output_token_ms: how long one of them takes for an output token.
    :param least_prompt_token_ms: how long the fastest takes for a prompt token.
    """

    slots: int
    prefill_tokens_per_ms: float
    prompt_token_ms: float
    output_token_ms: float
    least_prompt_token_ms: float
    measured_ms: int

    def hold_ms(self, demand: Demand) -> float:
        """Return how long one slot would be held for it all."""
        prompt_ms = demand.prompt_tokens * self.prompt_token_ms
        return prompt_ms + demand.output_tokens * self.output_token_ms


@dataclass(slots=True)
class Arrivals:
    """Averages the demand of a tier that arrives, for each millisecond."""

    wants: float = 0.0
    prompt_tokens: float = 0.0
    output_tokens: float = 0.0
    updated_ms: int = 0

    def add(self, want: SlotRequest, now_ms: int) -> None:
        """Count a want."""
        self._decay(now_ms)
        self.wants += 1 / ARRIVAL_MEMORY_MS
        self.prompt_tokens += want.prompt_tokens / ARRIVAL_MEMORY_MS
        self.output_tokens += want.output_tokens / ARRIVAL_MEMORY_MS

    def rate(self, now_ms: int) -> Demand:
        """Return the demand for each millisecond."""
        self._decay(now_ms)
        return Demand(self.wants, self.prompt_tokens, self.output_tokens)

    def _decay(self, now_ms: int) -> None:
        kept = exp((self.updated_ms - now_ms) / ARRIVAL_MEMORY_MS)
        self.wants *= kept
        self.prompt_tokens *= kept
        self.output_tokens *= kept
        self.updated_ms = now_ms


class DrainRate:
    """Estimates how long a queue takes to drain.

    Higher tiers that are still to come go first, so their rate of arrival is
    taken off the capacity.
    """

    def __init__(self, queues: TierQueues):
        self._queues = queues
        self._hold_ratio = 1.0
        self._miss_share = 1.0
        self._capacities: dict[str, ModelCapacity] = {}
        self._arrivals: dict[tuple[int, str], Arrivals] = {}

    def arrived(self, want: SlotRequest, now_ms: int) -> None:
        """Count a want towards the arrivals of its tier."""
        arrivals = self._arrivals.setdefault((want.tier, want.model), Arrivals())
        arrivals.add(want, now_ms)

    def granted(self, prompt_tokens: int, predicted_prefix_tokens: int) -> None:
        """Learn what part of the prompts the caches hold."""
        if prompt_tokens > 0:
            miss_share = 1 - predicted_prefix_tokens / prompt_tokens
            self._miss_share += (miss_share - self._miss_share) * HIT_GAIN

    def observe(
        self,
        want: SlotRequest,
        hold_ms: int,
        upstreams: Iterable[Upstream],
        now_ms: int,
    ) -> None:
        """Learn from a slot that was given back."""
        capacity = self.capacity(want.model, upstreams, now_ms)
        demand = Demand(1, want.prompt_tokens, want.output_tokens)
        ratio = hold_ms / max(1.0, capacity.hold_ms(demand))
        self._hold_ratio += (ratio - self._hold_ratio) * HOLD_GAIN

    def capacity(
        self, model: str, upstreams: Iterable[Upstream], now_ms: int
    ) -> ModelCapacity:
        """Return what the upstreams of a model can take on."""
        known = self._capacities.get(model)
        if known is not None and now_ms - known.measured_ms < CAPACITY_TTL_MS:
            return known
        slots = 0
        prefill_tokens_per_ms = 0.0
        prompt_token_ms = output_token_ms = best_rate = 0.0
        for upstream in upstreams:
            budget = upstream.budget
            usable = upstream.health.slots(int(budget.limit_slots), now_ms)
            if upstream.is_leaving or usable == 0:
                continue
            slots += usable
            rate = budget.prefill_tokens_per_s / 1000.0
            prefill_tokens_per_ms += rate
            best_rate = max(best_rate, rate)
            prompt_token_ms += usable / rate
            output_token_ms += usable * budget.gap_ms
        known = ModelCapacity(
            slots=slots,
            prefill_tokens_per_ms=prefill_tokens_per_ms,
            prompt_token_ms=prompt_token_ms / max(1, slots),
            output_token_ms=output_token_ms / max(1, slots),
            least_prompt_token_ms=1 / best_rate if best_rate else 0.0,
            measured_ms=now_ms,
        )
        self._capacities[model] = known
        return known

    def patience_ms(
        self, queued: QueuedSlotRequest, upstreams: Iterable[Upstream], now_ms: int
    ) -> float:
        """Return how long a want can wait and begin in time at most upstreams."""
        capacity = self.capacity(queued.want.model, upstreams, now_ms)
        prompt_tokens = queued.want.prompt_tokens * self._miss_share
        own_ms = prompt_tokens * capacity.prompt_token_ms + capacity.output_token_ms
        return queued.deadline_at_ms - own_ms - now_ms

    def is_hopeless(
        self, queued: QueuedSlotRequest, upstreams: Iterable[Upstream], now_ms: int
    ) -> bool:
        """Return whether a want cannot begin in time even at the fastest."""
        capacity = self.capacity(queued.want.model, upstreams, now_ms)
        prompt_tokens = queued.want.prompt_tokens * self._miss_share
        own_ms = prompt_tokens * capacity.least_prompt_token_ms
        return now_ms + own_ms > queued.deadline_at_ms

    def wait_ms(
        self, tier: int, model: str, upstreams: Iterable[Upstream], now_ms: int
    ) -> float:
        """Return how long the last want of a tier is expected to wait."""
        ahead = self._queues.ahead(tier, model)
        if ahead.wants == 0:
            return 0.0
        capacity = self.capacity(model, upstreams, now_ms)
        if capacity.slots == 0:
            return float(MAX_RETRY_AFTER_MS)
        higher = self._higher_rate(tier, model, now_ms)
        spare_slots = self._spare_slots(capacity, higher)
        slots_ms = capacity.hold_ms(ahead) * self._hold_ratio / spare_slots
        prefill_rate = capacity.prefill_tokens_per_ms
        spare_rate = prefill_rate - higher.prompt_tokens * self._miss_share
        spare_rate = max(spare_rate, prefill_rate * MIN_SPARE_SHARE)
        prefill_ms = ahead.prompt_tokens * self._miss_share / spare_rate
        return max(slots_ms, prefill_ms)

    def interval_ms(
        self, want: SlotRequest, upstreams: Iterable[Upstream], now_ms: int
    ) -> float:
        """Return the time between two wants like this one, when all slots are used."""
        capacity = self.capacity(want.model, upstreams, now_ms)
        if capacity.slots == 0:
            return 0.0
        higher = self._higher_rate(want.tier, want.model, now_ms)
        demand = Demand(1, want.prompt_tokens * self._miss_share, want.output_tokens)
        hold_ms = capacity.hold_ms(demand) * self._hold_ratio
        return hold_ms / self._spare_slots(capacity, higher)

    def _spare_slots(self, capacity: ModelCapacity, higher: Demand) -> float:
        spare_slots = capacity.slots - capacity.hold_ms(higher) * self._hold_ratio
        return max(spare_slots, capacity.slots * MIN_SPARE_SHARE)

    def forget_capacity(self) -> None:
        """Drop what was worked out, since an upstream came or went."""
        self._capacities.clear()

    def _higher_rate(self, tier: int, model: str, now_ms: int) -> Demand:
        rates = [
            arrivals.rate(now_ms)
            for (other, other_model), arrivals in self._arrivals.items()
            if other < tier and other_model == model
        ]
        return Demand(
            sum(rate.wants for rate in rates),
            sum(rate.prompt_tokens for rate in rates),
            sum(rate.output_tokens for rate in rates),
        )


def lower_slots(tier: int, upstreams: Iterable[Upstream]) -> Iterator[Slot]:
    """Yield the slots of lower tiers in reach of a want."""
    for upstream in upstreams:
        if upstream.is_leaving:
            continue
        for slot in upstream.budget.slots.values():
            if slot.want.tier > tier:
                yield slot


def preempt_order(slot: Slot) -> tuple[int, int]:
    """Sort slots to cut: lowest tier first, then least prefill sunk."""
    return -slot.want.tier, slot.prefill_tokens + slot.produced_tokens
