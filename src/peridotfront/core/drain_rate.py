"""Estimates of the time that queues of slot requests take to drain."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import exp

from .messages import SlotRequest
from .placement import Upstream
from .queues import Demand, QueuedSlotRequest, TierQueues
from .upstream_limits import UpstreamLimits

HOLD_GAIN = 0.02
HIT_GAIN = 0.02
ARRIVAL_DECAY_MS = 3000.0
MIN_SPARE_SHARE = 0.05
# Behind requests that take all capacity, hardly any late one is worth its wait.
MIN_LATE_SPARE_SHARE = 0.01
CAPACITY_TTL_MS = 50
NO_CAPACITY_WAIT_MS = 60_000


@dataclass(frozen=True, slots=True)
class ModelCapacity:
    """Capacity of the upstreams of a model.

    :param slots: number of slots that may be in use at the same time, on average.
    :param prefill_tokens_per_ms: prefill rate of all upstreams together.
    :param prompt_token_ms: mean time for a prompt token, weighted by usable slots.
    :param output_token_ms: mean time for an output token, weighted likewise.
    :param min_prompt_token_ms: time of the fastest upstream for a prompt token.
    :param measured_ms: time of the estimate.
    """

    slots: float
    prefill_tokens_per_ms: float
    prompt_token_ms: float
    output_token_ms: float
    min_prompt_token_ms: float
    measured_ms: int

    def hold_ms(self, demand: Demand) -> float:
        """Return the time for which one slot would be held to serve a demand."""
        prompt_ms = demand.prompt_tokens * self.prompt_token_ms
        return prompt_ms + demand.output_tokens * self.output_token_ms


@dataclass(slots=True)
class Arrivals:
    """Decaying average of a tier's arriving demand per millisecond."""

    slot_requests: float = 0.0
    prompt_tokens: float = 0.0
    output_tokens: float = 0.0
    updated_ms: int = 0

    def add(self, slot_request: SlotRequest, now_ms: int) -> None:
        """Add a slot request that arrived."""
        self._decay(now_ms)
        self.slot_requests += 1 / ARRIVAL_DECAY_MS
        self.prompt_tokens += slot_request.prompt_tokens / ARRIVAL_DECAY_MS
        self.output_tokens += slot_request.output_tokens / ARRIVAL_DECAY_MS

    def rate(self, now_ms: int) -> Demand:
        """Return the demand per millisecond."""
        self._decay(now_ms)
        return Demand(self.slot_requests, self.prompt_tokens, self.output_tokens)

    def _decay(self, now_ms: int) -> None:
        decay = exp((self.updated_ms - now_ms) / ARRIVAL_DECAY_MS)
        self.slot_requests *= decay
        self.prompt_tokens *= decay
        self.output_tokens *= decay
        self.updated_ms = now_ms


class DrainRate:
    """Estimator of the time that a queue takes to drain.

    Future slot requests of higher tiers are granted first, so their arrival rate is
    subtracted from the capacity.

    :param queues: queues of all tiers.
    :param limits: limits that upstreams have named.
    :param weighs_speeds: whether a faster upstream counts for more of the work.
    """

    def __init__(
        self, queues: TierQueues, limits: UpstreamLimits, weighs_speeds: bool = False
    ):
        self._weighs_speeds = weighs_speeds
        self._queues = queues
        self._limits = limits
        self._hold_ratio = 1.0
        self._miss_share = 1.0
        self._capacities: dict[str, ModelCapacity] = {}
        self._arrivals: dict[tuple[int, str], Arrivals] = {}

    def arrived(self, slot_request: SlotRequest, now_ms: int) -> None:
        """Add a slot request to the arrivals of its tier."""
        arrivals = self._arrivals.setdefault(
            (slot_request.tier, slot_request.model), Arrivals()
        )
        arrivals.add(slot_request, now_ms)

    def granted(self, prompt_tokens: int, predicted_prefix_tokens: int) -> None:
        """Update the share of prompt tokens that the caches do not hold."""
        if prompt_tokens > 0:
            miss_share = 1 - predicted_prefix_tokens / prompt_tokens
            self._miss_share += (miss_share - self._miss_share) * HIT_GAIN

    def observe(
        self,
        slot_request: SlotRequest,
        hold_ms: int,
        upstreams: Iterable[Upstream],
        now_ms: int,
    ) -> None:
        """Update the ratio of actual to estimated hold times by a released slot."""
        model_capacity = self.capacity(slot_request.model, upstreams, now_ms)
        demand = Demand(1, slot_request.prompt_tokens, slot_request.output_tokens)
        ratio = hold_ms / max(1.0, model_capacity.hold_ms(demand))
        self._hold_ratio += (ratio - self._hold_ratio) * HOLD_GAIN

    def capacity(
        self, model: str, upstreams: Iterable[Upstream], now_ms: int
    ) -> ModelCapacity:
        """Return the capacity of a model's upstreams, cached while it is recent."""
        estimate = self._capacities.get(model)
        if estimate is not None and now_ms - estimate.measured_ms < CAPACITY_TTL_MS:
            return estimate
        slots = 0.0
        prefill_tokens_per_ms = 0.0
        prompt_token_ms = output_token_ms = max_rate = 0.0
        prompt_rate = output_rate = 0.0
        for upstream in upstreams:
            capacity = upstream.capacity
            usable_slots = upstream.health.slots(int(capacity.limit_slots), now_ms)
            if upstream.is_leaving or usable_slots == 0:
                continue
            usable_slots = self._limits.usable_slots(
                upstream.name, usable_slots, capacity.hold_ms
            )
            slots += usable_slots
            rate = capacity.prefill_tokens_per_s / 1000.0
            prefill_tokens_per_ms += rate
            max_rate = max(max_rate, rate)
            prompt_token_ms += usable_slots / rate
            output_token_ms += usable_slots * capacity.gap_ms
            prompt_rate += usable_slots * rate
            output_rate += usable_slots / capacity.gap_ms
        if self._weighs_speeds and slots:
            # A slot that is held for half the time serves twice the requests.
            prompt_token_ms = slots * slots / prompt_rate
            output_token_ms = slots * slots / output_rate
        estimate = ModelCapacity(
            slots=slots,
            prefill_tokens_per_ms=prefill_tokens_per_ms,
            prompt_token_ms=prompt_token_ms / (slots or 1.0),
            output_token_ms=output_token_ms / (slots or 1.0),
            min_prompt_token_ms=1 / max_rate if max_rate else 0.0,
            measured_ms=now_ms,
        )
        self._capacities[model] = estimate
        return estimate

    def max_wait_ms(
        self, queued: QueuedSlotRequest, upstreams: Iterable[Upstream], now_ms: int
    ) -> float:
        """Return the longest wait that lets a request begin in time on average."""
        model_capacity = self.capacity(queued.slot_request.model, upstreams, now_ms)
        prompt_tokens = queued.slot_request.prompt_tokens * self._miss_share
        first_token_ms = (
            prompt_tokens * model_capacity.prompt_token_ms
            + model_capacity.output_token_ms
        )
        return queued.deadline_at_ms - first_token_ms - now_ms

    def is_infeasible(
        self, queued: QueuedSlotRequest, upstreams: Iterable[Upstream], now_ms: int
    ) -> bool:
        """Return whether even the fastest upstream cannot begin a request in time."""
        model_capacity = self.capacity(queued.slot_request.model, upstreams, now_ms)
        prompt_tokens = queued.slot_request.prompt_tokens * self._miss_share
        prefill_ms = prompt_tokens * model_capacity.min_prompt_token_ms
        return now_ms + prefill_ms > queued.deadline_at_ms

    def wait_ms(
        self, tier: int, model: str, upstreams: Iterable[Upstream], now_ms: int
    ) -> float:
        """Return the expected wait of the last slot request of a tier."""
        ahead = self._queues.ahead(tier, model)
        return self._drain_ms(ahead, tier - 1, model, upstreams, now_ms)

    def punctual_wait_ms(
        self, tier: int, model: str, upstreams: Iterable[Upstream], now_ms: int
    ) -> float:
        """Return the expected wait behind those of a tier that can meet their goals."""
        ahead = self._queues.punctual_ahead(tier, model)
        return self._drain_ms(ahead, tier - 1, model, upstreams, now_ms)

    def late_wait_ms(
        self, tier: int, model: str, upstreams: Iterable[Upstream], now_ms: int
    ) -> float:
        """Return the expected wait of the last one of a tier that missed its goal.

        Those of its own tier that arrive later and can meet their goals go before it.
        """
        ahead = self._queues.ahead(tier, model)
        return self._drain_ms(
            ahead, tier, model, upstreams, now_ms, MIN_LATE_SPARE_SHARE
        )

    def _drain_ms(
        self,
        ahead: Demand,
        lowest_tier: int,
        model: str,
        upstreams: Iterable[Upstream],
        now_ms: int,
        min_spare_share: float = MIN_SPARE_SHARE,
    ) -> float:
        """Return the time to serve a demand beside what goes on arriving.

        :param lowest_tier: lowest tier whose arrivals go before the demand.
        """
        if ahead.slot_requests == 0:
            return 0.0
        model_capacity = self.capacity(model, upstreams, now_ms)
        if model_capacity.slots == 0:
            return float(NO_CAPACITY_WAIT_MS)
        other_demand = self._arrival_rate(lowest_tier, model, now_ms)
        spare_slots = self._spare_slots(model_capacity, other_demand, min_spare_share)
        slots_ms = model_capacity.hold_ms(ahead) * self._hold_ratio / spare_slots
        prefill_rate = model_capacity.prefill_tokens_per_ms
        spare_rate = prefill_rate - other_demand.prompt_tokens * self._miss_share
        spare_rate = max(spare_rate, prefill_rate * min_spare_share)
        prefill_ms = ahead.prompt_tokens * self._miss_share / spare_rate
        return max(slots_ms, prefill_ms)

    def interval_ms(
        self, slot_request: SlotRequest, upstreams: Iterable[Upstream], now_ms: int
    ) -> float:
        """Return the time between grants to such requests if all slots are in use."""
        model_capacity = self.capacity(slot_request.model, upstreams, now_ms)
        if model_capacity.slots == 0:
            return 0.0
        higher_demand = self._arrival_rate(
            slot_request.tier - 1, slot_request.model, now_ms
        )
        demand = Demand(
            1, slot_request.prompt_tokens * self._miss_share, slot_request.output_tokens
        )
        hold_ms = model_capacity.hold_ms(demand) * self._hold_ratio
        return hold_ms / self._spare_slots(model_capacity, higher_demand)

    def _spare_slots(
        self,
        model_capacity: ModelCapacity,
        higher_demand: Demand,
        min_share: float = MIN_SPARE_SHARE,
    ) -> float:
        spare_slots = (
            model_capacity.slots
            - model_capacity.hold_ms(higher_demand) * self._hold_ratio
        )
        return max(spare_slots, model_capacity.slots * min_share)

    def invalidate_capacities(self) -> None:
        """Drop the cached capacities after the availability of an upstream changed."""
        self._capacities.clear()

    def _arrival_rate(self, tier: int, model: str, now_ms: int) -> Demand:
        """Return the demand per millisecond of a tier and all higher ones."""
        rates = [
            arrivals.rate(now_ms)
            for (other_tier, other_model), arrivals in self._arrivals.items()
            if other_tier <= tier and other_model == model
        ]
        return Demand(
            sum(rate.slot_requests for rate in rates),
            sum(rate.prompt_tokens for rate in rates),
            sum(rate.output_tokens for rate in rates),
        )
