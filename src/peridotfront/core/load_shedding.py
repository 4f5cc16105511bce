"""Load shedding: which slot requests of a cell are refused, evicted or preempted.

It answers an overload: first lower tiers are evicted, then they are preempted, and only
when nothing lower is left is a slot request refused that cannot begin in time.
"""

from collections.abc import Callable, Iterable, Iterator

from .actions import Send
from .drain_rate import DrainRate
from .fleet import Policy
from .goal_admission import GoalAdmission
from .messages import Preempt, SlotRefusal
from .placement import Upstream
from .queues import QueuedSlotRequest, TierQueues
from .retry_schedule import RetrySchedule
from .scheduler_dump import CellStats
from .shares.account_shares import NoShares
from .upstream_capacity import Slot
from .verdicts import Reason

FRESH_MAX_WAIT_RATIO = 0.6
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 60_000
SHED_REASONS = (Reason.OVERLOADED, Reason.EVICTED)

CandidateLookup = Callable[[str], list[Upstream]]


class LoadShedder:
    """Load shedding for the queued slot requests of one cell.

    :param cell: name of the cell.
    :param policy: policy of the active configuration.
    :param queues: queued slot requests.
    :param drain_rate: estimator of the queues' waiting times.
    :param retry_schedule: schedule of the announced retry times.
    :param candidates: returns the upstreams that serve a model.
    :param stats: counters of the cell.
    :param shares: work and shares of the client accounts.
    """

    def __init__(
        self,
        cell: str,
        policy: Policy,
        queues: TierQueues,
        drain_rate: DrainRate,
        retry_schedule: RetrySchedule,
        candidates: CandidateLookup,
        stats: CellStats,
        shares: NoShares,
    ):
        self.policy = policy
        self._cell = cell
        self._queues = queues
        self._drain_rate = drain_rate
        self._retry_schedule = retry_schedule
        self._candidates = candidates
        self._stats = stats
        self._shares = shares
        self._admission = GoalAdmission(queues, drain_rate, candidates)

    def prepare(self, queued: QueuedSlotRequest, now_ms: int) -> None:
        """Mark a new slot request as late if it can't meet its goal."""
        if self.policy.sheds_by_goal and not self._admission.can_meet_goal(
            queued, now_ms
        ):
            queued.goal_at_ms = None

    def shed(self, model: str, now_ms: int) -> Iterator[Send]:
        """Refuse the slot requests of a model that cannot begin in time.

        Lower tiers are evicted and preempted first.
        """
        for tier in reversed(self._queues.tiers()):
            queue = self._queues.queue(tier, model)
            if queue is not None and len(queue):
                yield from self._shed_tier(tier, model, now_ms)

    def _shed_tier(self, tier: int, model: str, now_ms: int) -> Iterator[Send]:
        if self.policy.sheds_by_goal:
            yield from self._shed_late(tier, model, now_ms)
            return
        candidates = self._candidates(model)
        if not self.policy.evicts:
            yield from self._shed_infeasible(tier, model, now_ms)
            if not self._may_refuse(tier, model):
                return
        while (excess := self._find_excess(tier, model, now_ms)) is not None:
            yield from self._evict_lower(tier, model, now_ms)
            if not self._may_refuse(tier, model):
                yield from self._preempt_lower(tier, model, now_ms)
                return
            wait_ms = self._drain_rate.wait_ms(tier, model, candidates, now_ms)
            max_wait_ms = self._drain_rate.max_wait_ms(excess, candidates, now_ms)
            yield self._shed_request(excess, wait_ms - max_wait_ms, now_ms)

    def _shed_late(self, tier: int, model: str, now_ms: int) -> Iterator[Send]:
        """Refuse the late slot requests that would wait too long."""
        yield from self._shed_infeasible(tier, model, now_ms)
        while (found := self._admission.find_excess(tier, model, now_ms)) is not None:
            late, excess_ms = found
            yield self._shed_request(late, excess_ms, now_ms)

    def _shed_infeasible(self, tier: int, model: str, now_ms: int) -> Iterator[Send]:
        """Refuse the slot requests that no upstream can begin in time."""
        queue = self._queues.queue(tier, model)
        candidates = self._candidates(model)
        while (urgent := queue.most_urgent()) is not None:
            if not self._drain_rate.is_infeasible(urgent, candidates, now_ms):
                return
            yield self._shed_request(urgent, 0, now_ms)

    def _find_excess(
        self, tier: int, model: str, now_ms: int
    ) -> QueuedSlotRequest | None:
        """Return a slot request of the tier that cannot begin in time."""
        queue = self._queues.queue(tier, model)
        candidates = self._candidates(model)
        urgent = queue.most_urgent()
        if urgent is None:
            return None
        if self._drain_rate.is_infeasible(urgent, candidates, now_ms):
            return urgent
        victim = queue.victim()
        wait_ms = self._drain_rate.wait_ms(tier, model, candidates, now_ms)
        max_wait_ms = self._drain_rate.max_wait_ms(victim, candidates, now_ms)
        if victim.is_scheduled_retry:
            return None
        if self._retry_schedule.expects_retries((tier, model), now_ms):
            max_wait_ms *= FRESH_MAX_WAIT_RATIO
        return victim if wait_ms > max_wait_ms else None

    def _may_refuse(self, tier: int, model: str) -> bool:
        if self._queues.has_lower(tier, model):
            return False
        return not any(lower_tier_slots(tier, self._candidates(model)))

    def _evict_lower(self, tier: int, model: str, now_ms: int) -> Iterator[Send]:
        """Evict the queued slot requests of lower tiers, lowest tier first.

        It stops at the first tier below which requests are still running.
        """
        for lower in reversed(self._queues.tiers()):
            queue = self._queues.queue(lower, model)
            if lower <= tier or queue is None:
                continue
            if not self._may_refuse(lower, model):
                return
            for queued in tuple(queue):
                yield self._shed_request(queued, 0, now_ms)

    def _preempt_lower(self, tier: int, model: str, now_ms: int) -> Iterator[Send]:
        policy = self.policy
        if not policy.preempts:
            return
        candidates = self._candidates(model)
        urgent = sum(
            self._drain_rate.max_wait_ms(queued, candidates, now_ms)
            < policy.preempt_lead_ms
            for queued in self._queues.queue(tier, model)
        )
        running = list(lower_tier_slots(tier, candidates))
        urgent -= sum(slot.is_preempted for slot in running)
        preemptible = [slot for slot in running if not slot.is_preempted]
        for slot in sorted(preemptible, key=preemption_order)[: max(0, urgent)]:
            slot.is_preempted = True
            self._stats.preempted[slot.slot_request.tier] += 1
            yield Send(slot.host, Preempt(slot.slot_request.request_id, self._cell))

    def _shed_request(
        self, queued: QueuedSlotRequest, excess_ms: float, now_ms: int
    ) -> Send:
        is_new = queued.since_ms == now_ms
        reason = Reason.OVERLOADED if is_new else Reason.EVICTED
        if not is_new:
            self._stats.evicted[queued.slot_request.tier] += 1
        return self.refuse(
            queued, reason, self._schedule_retry(queued, excess_ms, now_ms)
        )

    def _schedule_retry(
        self, queued: QueuedSlotRequest, excess_ms: float, now_ms: int
    ) -> int:
        slot_request = queued.slot_request
        candidates = self._candidates(slot_request.model)
        if self._drain_rate.capacity(slot_request.model, candidates, now_ms).slots == 0:
            probes = [upstream.health.next_probe_ms(now_ms) for upstream in candidates]
            return max(MIN_RETRY_AFTER_MS, min(probes))
        due_ms = self._retry_schedule.schedule_retry(
            queued,
            now_ms=now_ms,
            earliest_ms=now_ms + max(MIN_RETRY_AFTER_MS, excess_ms),
            interval_ms=self._drain_rate.interval_ms(slot_request, candidates, now_ms),
            latest_ms=now_ms + MAX_RETRY_AFTER_MS,
            # An entry host repeats it within a second, whatever time it is told.
            takes_place=not slot_request.is_repeat,
        )
        return due_ms - now_ms

    def refuse(
        self, queued: QueuedSlotRequest, reason: Reason, retry_after_ms: int
    ) -> Send:
        """Remove a slot request from its queue and return its refusal."""
        self._queues.discard(queued)
        return self.build_refusal(queued, reason, retry_after_ms)

    def build_refusal(
        self, queued: QueuedSlotRequest, reason: Reason, retry_after_ms: int
    ) -> Send:
        """Count a refusal and return the message."""
        slot_request = queued.slot_request
        self._stats.refused[slot_request.tier, reason.value] += 1
        self._shares.refused(slot_request.client_account, reason.value)
        if reason in SHED_REASONS and not self._may_refuse(
            slot_request.tier, slot_request.model
        ):
            self._stats.inversions += 1
        return Send(
            queued.host,
            SlotRefusal(slot_request.request_id, self._cell, reason, retry_after_ms),
        )


def lower_tier_slots(tier: int, upstreams: Iterable[Upstream]) -> Iterator[Slot]:
    """Yield the slots of lower tiers at upstreams that a slot request could use."""
    for upstream in upstreams:
        if upstream.is_leaving or upstream.capacity.lowest_tier <= tier:
            continue
        for slot in upstream.capacity.slots.values():
            if slot.slot_request.tier > tier:
                yield slot


def preemption_order(slot: Slot) -> tuple[int, int]:
    """Return the sort key for preemption: lowest tier first, then least work lost."""
    return -slot.slot_request.tier, slot.prefill_tokens + slot.produced_tokens
