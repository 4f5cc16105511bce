"""The scheduler of a cell: which want gets a slot, at which upstream, when."""

from collections.abc import Iterable, Iterator
from dataclasses import replace
from typing import Any

from .actions import Log, Received, Send, Tick
from .fleet import Fleet, UpstreamKind, UpstreamSpec
from .health import Health
from .load_shedding import (
    FRESH_PATIENCE_SHARE,
    MAX_RETRY_AFTER_MS,
    MIN_RETRY_AFTER_MS,
    DrainRate,
    lower_slots,
    preempt_order,
)
from .messages import (
    CancelSlotRequest,
    Grant,
    HeldSlot,
    Preempt,
    Release,
    ReleaseCause,
    SlotRefusal,
    SlotRequest,
    UpstreamReport,
)
from .placement import HIGHEST_TIER, Choice, Placement, Upstream, new_slot
from .poison_detection import PoisonDetector
from .prefix_cache import PrefixCacheModel
from .queues import FairQueue, QueuedSlotRequest, TierQueues
from .retry_schedule import RetrySchedule
from .scheduler_dump import CellDump, CellStats, dump_queue, dump_upstream
from .scheduler_events import FleetChanged, HostLost, StrikesChanged
from .single_dispatch import dispatchmethod
from .upstream_capacity import Slot, UpstreamCapacity
from .verdicts import Reason

Action = Send | Log

__all__ = ["CellScheduler", "FleetChanged", "HostLost", "StrikesChanged"]

MAX_SKIPS = 8
CHECK_SLOTS_EVERY_MS = 100
LEAVING_HOLD_MS = 10_000
OVERDUE_FACTOR = 2
RESEND_AFTER_ELSEWHERE_MS = 500
NO_UPSTREAM_RETRY_MS = 1000
SHED_REASONS = (Reason.OVERLOADED, Reason.EVICTED)
ABSENT_CAUSES = (ReleaseCause.UNREACHABLE, ReleaseCause.OTHER_UPSTREAM)
FAILED_CAUSES = (ReleaseCause.UPSTREAM_ERROR, ReleaseCause.REJECTED)
WASTING_CAUSES = (
    ReleaseCause.CALLER_GONE,
    ReleaseCause.UPSTREAM_DIED,
    ReleaseCause.UPSTREAM_ERROR,
    ReleaseCause.UPSTREAM_TIMEOUT,
    ReleaseCause.OUT_OF_TIME,
    ReleaseCause.PREEMPTED,
)


class CellScheduler:
    """Places the wants of a cell onto its upstreams.

    Its state is soft: a new scheduler listens for a settling time, while the
    entry hosts tell it the slots that they hold and repeat their wants.

    :param cell: the cell's name.
    :param fleet: the configuration in force.
    :param kind: of the cell's upstreams; told by the cell's name if not given.
    """

    def __init__(self, cell: str, fleet: Fleet, kind: UpstreamKind | None = None):
        self.cell = cell
        self._is_service = _kind_of(cell, kind) is UpstreamKind.SERVICE
        self.stats = CellStats()
        self._fleet = fleet
        self._weights: dict[str, int] = {}
        self._upstreams: dict[str, Upstream] = {}
        self._reach: dict[str, list[Upstream]] = {}
        self._slots: dict[str, Slot] = {}
        self._leaving_until_ms: dict[str, int] = {}
        self._queues = TierQueues(lambda account: self._weights.get(account, 1))
        self._strikes = PoisonDetector(fleet.policy.poison_strikes)
        self._drain = DrainRate(self._queues)
        self._bookings = RetrySchedule()
        self._settled_ms: int | None = None
        self._now_ms = 0
        self._checked_ms = 0
        self._apply_fleet(fleet)

    def handle(self, event: Any, now_ms: int) -> Iterator[Action]:
        """Take in an event and yield what follows from it.

        :param event: ``Tick``, ``Received``, ``FleetChanged``, ``StrikesChanged``
            or ``HostLost``.
        :param now_ms: the time on the caller's monotonic clock.
        """
        if self._settled_ms is None:
            self._settled_ms = now_ms + self._fleet.policy.settle_ms
        self._now_ms = now_ms
        yield from self._on(event, now_ms)

    @property
    def fleet(self) -> Fleet:
        """Return the configuration in force."""
        return self._fleet

    @property
    def has_queued(self) -> bool:
        """Tell whether any want waits for a slot."""
        return len(self._queues) > 0

    def dump(self) -> CellDump:
        """Return the state for operators, as of the last event."""
        now_ms = self._now_ms
        queues = (
            dump_queue(tier, model, queue, self._wait_ms(tier, model, now_ms))
            for tier in self._queues.tiers()
            for model, queue in self._queues.models(tier)
        )
        upstreams = (dump_upstream(one, now_ms) for one in self._all_upstreams())
        return CellDump(
            cell=self.cell,
            config_version=self._fleet.version,
            is_settling=not self._is_settled(now_ms),
            queues=tuple(queues),
            upstreams=tuple(upstreams),
            struck_fingerprints=len(self._strikes),
            stats=self.stats,
        )

    # Events

    @dispatchmethod
    def _on(self, event: Any, now_ms: int) -> Iterator[Action]:
        raise TypeError(f"not an event of a scheduler: {event!r}")

    @_on.register
    def _(self, event: Tick, now_ms: int) -> Iterator[Action]:
        if now_ms - self._checked_ms >= CHECK_SLOTS_EVERY_MS:
            self._checked_ms = now_ms
            yield from self._check_slots(now_ms)
        if not self._is_settled(now_ms):
            return
        if len(self._queues):
            yield from self._place(now_ms)
            yield from self._shed_all(now_ms)

    @_on.register
    def _(self, event: Received, now_ms: int) -> Iterator[Action]:
        yield from self._receive(event.message, event.sender, now_ms)

    @_on.register
    def _(self, event: FleetChanged, now_ms: int) -> Iterator[Action]:
        self._apply_fleet(event.fleet)
        yield from self._place(now_ms)

    @_on.register
    def _(self, event: StrikesChanged, now_ms: int) -> Iterator[Action]:
        self._strikes.tell(event.fingerprint, event.strikes)
        yield from self._strikes_changed(now_ms)

    @_on.register
    def _(self, event: HostLost, now_ms: int) -> Iterator[Action]:
        for queued in self._queues:
            if queued.host == event.host:
                self._queues.discard(queued)
        if event.is_restarted:
            for slot in tuple(self._slots.values()):
                if slot.host == event.host:
                    self._vacate(slot)
        yield from self._place(now_ms)

    # Messages

    @dispatchmethod
    def _receive(self, message: Any, sender: str, now_ms: int) -> Iterator[Action]:
        raise TypeError(f"not a message to a scheduler: {message!r}")

    @_receive.register
    def _(self, want: SlotRequest, sender: str, now_ms: int) -> Iterator[Action]:
        if self._is_service:
            want = _without_model(want)
        slot = self._slots.get(want.request_id)
        if slot is not None:
            yield self._answer_held(slot, sender)
            return
        known = self._queues.get(want.request_id)
        if known is not None and known.host == sender:
            return
        if known is not None:
            yield self._refuse(known, Reason.IN_PROGRESS, RESEND_AFTER_ELSEWHERE_MS)
        queued = self._queued(want, sender, now_ms)
        reason = self._final_reason(want)
        if reason is not Reason.NONE:
            yield self._refusal(queued, reason, self._final_retry_ms(want, reason))
            return
        if self._drain.is_hopeless(queued, self._reach[want.model], now_ms):
            yield self._refusal(queued, Reason.DEADLINE, 0)
            return
        self._queues.add(queued)
        self._drain.arrived(want, now_ms)
        if self._is_settled(now_ms):
            yield from self._place(now_ms)
            yield from self._shed(want.model, now_ms)

    @_receive.register
    def _(
        self, cancel: CancelSlotRequest, sender: str, now_ms: int
    ) -> Iterator[Action]:
        queued = self._queues.get(cancel.request_id)
        if queued is not None and queued.host == sender:
            self._queues.discard(queued)
        slot = self._slots.get(cancel.request_id)
        if slot is not None and slot.host == sender:
            self._vacate(slot)
            yield from self._place(now_ms)

    @_receive.register
    def _(self, held: HeldSlot, sender: str, now_ms: int) -> Iterator[Action]:
        slot = self._slots.get(held.slot_request.request_id)
        if slot is not None and slot.upstream != held.upstream:
            self._vacate(slot)
            slot = None
        if slot is None:
            slot = self._adopt(held, sender, now_ms)
        if slot is not None:
            slot.host = sender
            self._renew(slot, held, now_ms)
        yield from ()

    @_receive.register
    def _(self, release: Release, sender: str, now_ms: int) -> Iterator[Action]:
        slot = self._slots.get(release.request_id)
        if slot is None or slot.host != sender:
            return
        self._learn(slot, release, now_ms)
        self._vacate(slot)
        self._after_release(slot, release.cause, now_ms)
        if release.cause is ReleaseCause.UPSTREAM_DIED:
            yield from self._strikes_changed(now_ms)
        yield from self._place(now_ms)

    @_receive.register
    def _(self, report: UpstreamReport, sender: str, now_ms: int) -> Iterator[Action]:
        upstream = self._upstreams.get(report.upstream)
        if upstream is None:
            return
        if report.is_leaving:
            self._leaving_until_ms[upstream.name] = now_ms + LEAVING_HOLD_MS
            self._set_leaving(upstream, True)
        if not report.is_alive:
            suspect_ms = self._fleet.policy.suspect_after_ms
            upstream.health.reported_dead(suspect_ms, now_ms)
        upstream.prefixes.apply_events(
            report.cache_sequence, report.cached_hashes, report.evicted_hashes
        )
        if report.capacity_kv_tokens > 0:
            upstream.budget.kv_capacity_tokens = report.capacity_kv_tokens
        yield from ()

    # Wants

    def _queued(self, want: SlotRequest, sender: str, now_ms: int) -> QueuedSlotRequest:
        patience = min(want.deadline_ms, self._fleet.policy.max_queue_ms)
        is_booked = self._bookings.redeem(want.request_id, now_ms)
        goal_at_ms = now_ms + want.goal_ms if want.goal_ms > 0 else None
        return QueuedSlotRequest(
            want, sender, now_ms, now_ms + patience, is_booked, goal_at_ms
        )

    def _final_reason(self, want: SlotRequest) -> Reason:
        if self._strikes.is_poison(want.fingerprint):
            return Reason.POISON
        reach = [
            upstream
            for upstream in self._reach.get(want.model, ())
            if upstream.name not in want.excluded
        ]
        if all(upstream.is_leaving for upstream in reach):
            return Reason.NO_UPSTREAM
        if not any(upstream.can_hold(want) for upstream in reach):
            return Reason.TOO_LARGE
        return Reason.NONE

    def _final_retry_ms(self, want: SlotRequest, reason: Reason) -> int:
        is_configured = want.model in self._reach
        if reason is Reason.NO_UPSTREAM and is_configured:
            return NO_UPSTREAM_RETRY_MS
        return 0

    def _answer_held(self, slot: Slot, sender: str) -> Action:
        if slot.host == sender:
            return Send(sender, self._grant_message(slot))
        request_id = slot.want.request_id
        refuse = SlotRefusal(
            request_id, self.cell, Reason.IN_PROGRESS, RESEND_AFTER_ELSEWHERE_MS
        )
        return Send(sender, refuse)

    def _grant_message(self, slot: Slot) -> Grant:
        return Grant(
            request_id=slot.want.request_id,
            cell=self.cell,
            upstream=slot.upstream,
            lease_ms=self._fleet.policy.slot_lease_ms,
            predicted_prefix_tokens=slot.predicted_prefix_tokens,
            address=self._upstreams[slot.upstream].spec.address,
        )

    # Placement

    def _place(self, now_ms: int) -> Iterator[Action]:
        if not self._is_settled(now_ms):
            return
        blocked: set[str] = set()
        for tier in self._queues.tiers():
            for model, queue in self._queues.models(tier):
                queue.demote_late(now_ms)
                reach = self._reach.get(model, [])
                free = [one for one in reach if one.name not in blocked]
                while free and len(queue):
                    granted = self._grant_next(queue, free, blocked, now_ms)
                    if granted is None:
                        break
                    yield granted

    def _grant_next(
        self,
        queue: FairQueue,
        upstreams: list[Upstream],
        blocked: set[str],
        now_ms: int,
    ) -> Action | None:
        """Grant one want of a queue; else block what lower tiers must leave it."""
        kept: set[str] = set()
        for queued in queue.candidates(MAX_SKIPS):
            is_highest = queued.want.tier == HIGHEST_TIER
            choice = self._placement.choose(
                queued, upstreams, is_highest=is_highest, now_ms=now_ms
            )
            if isinstance(choice, Choice):
                return self._grant(queued, choice, now_ms)
            if choice is None:
                kept.update(one.name for one in upstreams if not one.is_slow(now_ms))
                break
            if choice.upstream is not None:
                kept.add(choice.upstream.name)
        blocked.update(kept)
        return None

    def _grant(self, queued: QueuedSlotRequest, choice: Choice, now_ms: int) -> Action:
        want = queued.want
        self._queues.take(queued)
        lease_ms = self._fleet.policy.slot_lease_ms
        slot = new_slot(queued, choice, lease_ms, queued.host, now_ms)
        self._occupy(slot, now_ms)
        self._drain.granted(want.prompt_tokens, choice.predicted_prefix_tokens)
        self.stats.granted[want.tier] += 1
        return Send(queued.host, self._grant_message(slot))

    def _occupy(self, slot: Slot, now_ms: int) -> None:
        upstream = self._upstreams[slot.upstream]
        self._slots[slot.want.request_id] = slot
        upstream.budget.occupy(slot, now_ms)
        output_tokens = sum(
            one.want.output_tokens for one in upstream.budget.slots.values()
        )
        spare_tokens = upstream.budget.kv_capacity_tokens - output_tokens
        block_tokens = upstream.prefixes.block_tokens
        upstream.prefixes.record(
            slot.want.prefix_hashes, max(0, spare_tokens) // block_tokens
        )
        self._count_suspects(upstream)

    def _vacate(self, slot: Slot) -> None:
        del self._slots[slot.want.request_id]
        upstream = self._upstreams[slot.upstream]
        upstream.budget.vacate(slot.want.request_id)
        self._count_suspects(upstream)
        if slot.upstream not in self._configured and not upstream.budget.slots:
            del self._upstreams[slot.upstream]

    def _adopt(self, held: HeldSlot, sender: str, now_ms: int) -> Slot | None:
        if held.upstream not in self._upstreams:
            return None
        queued = self._queues.get(held.slot_request.request_id)
        if queued is not None:
            self._queues.discard(queued)
        want = (
            _without_model(held.slot_request) if self._is_service else held.slot_request
        )
        lease_until_ms = now_ms + self._fleet.policy.slot_lease_ms
        slot = Slot(want, sender, held.upstream, now_ms, lease_until_ms)
        if held.produced_tokens == 0 and not self._is_service:
            slot.prefill_tokens = want.prompt_tokens
        self._occupy(slot, now_ms)
        return slot

    # Slots

    def _renew(self, slot: Slot, held: HeldSlot, now_ms: int) -> None:
        slot.lease_until_ms = now_ms + self._fleet.policy.slot_lease_ms
        upstream = self._upstreams[slot.upstream]
        if held.produced_tokens > slot.produced_tokens:
            limit = int(upstream.budget.limit_slots)
            upstream.health.progressed(slot.granted_ms, limit, now_ms)
        upstream.budget.progress(slot, held.produced_tokens, held.slow_tokens, now_ms)

    def _learn(self, slot: Slot, release: Release, now_ms: int) -> None:
        upstream = self._upstreams[slot.upstream]
        wasted = self.stats.wasted_prefill_tokens
        if release.first_token_ms >= 0:
            predicted = slot.predicted_prefix_tokens
            upstream.prefixes.correct(predicted, release.cached_tokens)
            self.stats.predicted_cached_tokens += predicted
            self.stats.actual_cached_tokens += release.cached_tokens
            wasted["cache_missed"] += max(0, predicted - release.cached_tokens)
        if release.cause in WASTING_CAUSES:
            wasted[release.cause.value] += release.prompt_tokens - release.cached_tokens
        if release.cause is ReleaseCause.COMPLETED:
            upstream.budget.held(release.duration_ms)
            reach = self._reach.get(slot.want.model, [])
            self._drain.observe(slot.want, release.duration_ms, reach, now_ms)
            self._learn_gap(upstream, slot, release, now_ms)

    def _learn_gap(
        self, upstream: Upstream, slot: Slot, release: Release, now_ms: int
    ) -> None:
        budget = upstream.budget
        if self._is_service:
            budget.gap_ms += (release.duration_ms - budget.gap_ms) / 10
            return
        budget.progress(slot, release.produced_tokens, release.slow_tokens, now_ms)

    def _after_release(self, slot: Slot, cause: ReleaseCause, now_ms: int) -> None:
        upstream = self._upstreams.get(slot.upstream)
        if upstream is None:
            return
        health = upstream.health
        if cause is ReleaseCause.COMPLETED:
            limit = int(upstream.budget.limit_slots)
            health.progressed(slot.granted_ms, limit, now_ms)
            health.completed()
            self._strikes.completed(slot.want.fingerprint)
        elif cause is ReleaseCause.UPSTREAM_DIED:
            self._upstream_died(upstream, slot, now_ms)
        elif cause in ABSENT_CAUSES:
            # The request never ran there, so that it gets no strike.
            health.unreachable(now_ms)
            self._drain.forget_capacity()
        elif cause is ReleaseCause.UPSTREAM_TIMEOUT:
            health.failed(True, now_ms)
        elif cause in FAILED_CAUSES:
            health.failed(False, now_ms)

    def _upstream_died(self, upstream: Upstream, slot: Slot, now_ms: int) -> None:
        if not upstream.health.died(slot.granted_ms, now_ms):
            return
        ran = [one.want.fingerprint for one in upstream.budget.slots.values()]
        self._strikes.upstream_died([slot.want.fingerprint, *ran])
        upstream.prefixes.clear()
        self._drain.forget_capacity()

    def _check_slots(self, now_ms: int) -> Iterator[Action]:
        for slot in tuple(self._slots.values()):
            if slot.lease_until_ms <= now_ms:
                self._vacate(slot)
                self.stats.lapsed_slots += 1
                fields = (("request_id", slot.want.request_id),)
                yield Log("slot_lapsed", (*fields, ("upstream", slot.upstream)))
        for upstream in self._all_upstreams():
            self._check_stall(upstream, now_ms)
            self._check_leaving(upstream, now_ms)

    def _check_stall(self, upstream: Upstream, now_ms: int) -> None:
        if self._is_service:
            return
        suspect_ms = self._fleet.policy.suspect_after_ms
        budget = upstream.budget
        is_overdue = False
        for slot in budget.slots.values():
            if slot.produced_tokens > 0:
                is_late = now_ms - slot.progress_ms > suspect_ms
            else:
                expected_ms = slot.first_due_ms - slot.granted_ms
                late_ms = now_ms - slot.granted_ms - OVERDUE_FACTOR * expected_ms
                is_late = late_ms > suspect_ms
            is_overdue = is_overdue or is_late
        if is_overdue:
            upstream.health.stalled()
        if not budget.slots:
            upstream.health.emptied(now_ms)

    def _check_leaving(self, upstream: Upstream, now_ms: int) -> None:
        until_ms = self._leaving_until_ms.get(upstream.name)
        if until_ms is not None and now_ms >= until_ms:
            del self._leaving_until_ms[upstream.name]
            self._set_leaving(upstream, upstream.spec.is_leaving)

    def _set_leaving(self, upstream: Upstream, is_leaving: bool) -> None:
        if upstream.is_leaving != is_leaving:
            upstream.is_leaving = is_leaving
            self._drain.forget_capacity()

    # Poison requests

    def _strikes_changed(self, now_ms: int) -> Iterator[Action]:
        for upstream in self._all_upstreams():
            self._count_suspects(upstream)
        for queued in self._queues:
            if self._strikes.is_poison(queued.want.fingerprint):
                yield self._refuse(queued, Reason.POISON, 0)

    def _count_suspects(self, upstream: Upstream) -> None:
        if not len(self._strikes):
            upstream.suspects = 0
            return
        upstream.suspects = sum(
            self._strikes.is_suspect(slot.want.fingerprint)
            for slot in upstream.budget.slots.values()
        )

    # Shedding

    def _shed_all(self, now_ms: int) -> Iterator[Action]:
        for model in tuple(self._reach):
            yield from self._shed(model, now_ms)

    def _shed(self, model: str, now_ms: int) -> Iterator[Action]:
        for tier in reversed(self._queues.tiers()):
            queue = self._queues.queue(tier, model)
            if queue is not None and len(queue):
                yield from self._shed_tier(tier, model, now_ms)

    def _shed_tier(self, tier: int, model: str, now_ms: int) -> Iterator[Action]:
        reach = self._reach.get(model, [])
        if not self._fleet.policy.evicts:
            yield from self._shed_hopeless(tier, model, now_ms)
            if not self._may_refuse(tier, model):
                return
        while (excess := self._excess(tier, model, now_ms)) is not None:
            yield from self._evict_lower(tier, model, now_ms)
            if not self._may_refuse(tier, model):
                yield from self._preempt_lower(tier, model, now_ms)
                return
            wait_ms = self._drain.wait_ms(tier, model, reach, now_ms)
            left_ms = self._drain.patience_ms(excess, reach, now_ms)
            yield self._shed_one(excess, wait_ms - left_ms, now_ms)

    def _shed_hopeless(self, tier: int, model: str, now_ms: int) -> Iterator[Action]:
        """Refuse the wants that no upstream can begin in time any more."""
        queue = self._queues.queue(tier, model)
        reach = self._reach.get(model, [])
        while (urgent := queue.most_urgent()) is not None:
            if not self._drain.is_hopeless(urgent, reach, now_ms):
                return
            yield self._shed_one(urgent, 0, now_ms)

    def _excess(self, tier: int, model: str, now_ms: int) -> QueuedSlotRequest | None:
        """Return a want of the tier that cannot begin in time."""
        queue = self._queues.queue(tier, model)
        reach = self._reach.get(model, [])
        urgent = queue.most_urgent()
        if urgent is None:
            return None
        if self._drain.is_hopeless(urgent, reach, now_ms):
            return urgent
        victim = queue.victim()
        wait_ms = self._drain.wait_ms(tier, model, reach, now_ms)
        patience_ms = self._drain.patience_ms(victim, reach, now_ms)
        if victim.is_booked:
            return None
        if self._bookings.is_open((tier, model), now_ms):
            patience_ms *= FRESH_PATIENCE_SHARE
        return victim if wait_ms > patience_ms else None

    def _wait_ms(self, tier: int, model: str, now_ms: int) -> float:
        return self._drain.wait_ms(tier, model, self._reach.get(model, []), now_ms)

    def _may_refuse(self, tier: int, model: str) -> bool:
        if self._queues.has_lower(tier, model):
            return False
        return not any(lower_slots(tier, self._reach.get(model, [])))

    def _evict_lower(self, tier: int, model: str, now_ms: int) -> Iterator[Action]:
        """Evict queued lower work, lowest first, while none runs below it."""
        for lower in reversed(self._queues.tiers()):
            queue = self._queues.queue(lower, model)
            if lower <= tier or queue is None:
                continue
            if not self._may_refuse(lower, model):
                return
            for queued in tuple(queue):
                yield self._shed_one(queued, 0, now_ms)

    def _preempt_lower(self, tier: int, model: str, now_ms: int) -> Iterator[Action]:
        policy = self._fleet.policy
        if not policy.preempts:
            return
        reach = self._reach.get(model, [])
        urgent = sum(
            self._drain.patience_ms(queued, reach, now_ms) < policy.preempt_lead_ms
            for queued in self._queues.queue(tier, model)
        )
        running = list(lower_slots(tier, reach))
        urgent -= sum(slot.is_preempted for slot in running)
        candidates = [slot for slot in running if not slot.is_preempted]
        for slot in sorted(candidates, key=preempt_order)[: max(0, urgent)]:
            slot.is_preempted = True
            self.stats.preempted[slot.want.tier] += 1
            yield Send(slot.host, Preempt(slot.want.request_id, self.cell))

    def _shed_one(
        self, queued: QueuedSlotRequest, excess_ms: float, now_ms: int
    ) -> Action:
        is_new = queued.since_ms == now_ms
        reason = Reason.OVERLOADED if is_new else Reason.EVICTED
        if not is_new:
            self.stats.evicted[queued.want.tier] += 1
        return self._refuse(queued, reason, self._book(queued.want, excess_ms, now_ms))

    def _book(self, want: SlotRequest, excess_ms: float, now_ms: int) -> int:
        reach = self._reach.get(want.model, [])
        if self._drain.capacity(want.model, reach, now_ms).slots == 0:
            probes = [one.health.next_probe_ms(now_ms) for one in reach]
            return max(MIN_RETRY_AFTER_MS, min(probes))
        due_ms = self._bookings.book(
            want.request_id,
            (want.tier, want.model),
            earliest_ms=now_ms + max(MIN_RETRY_AFTER_MS, excess_ms),
            interval_ms=self._drain.interval_ms(want, reach, now_ms),
            latest_ms=now_ms + MAX_RETRY_AFTER_MS,
        )
        return due_ms - now_ms

    def _refuse(
        self, queued: QueuedSlotRequest, reason: Reason, retry_ms: int
    ) -> Action:
        self._queues.discard(queued)
        return self._refusal(queued, reason, retry_ms)

    def _refusal(
        self, queued: QueuedSlotRequest, reason: Reason, retry_ms: int
    ) -> Action:
        want = queued.want
        self.stats.refused[want.tier, reason.value] += 1
        if reason in SHED_REASONS and not self._may_refuse(want.tier, want.model):
            self.stats.inversions += 1
        return Send(
            queued.host, SlotRefusal(want.request_id, self.cell, reason, retry_ms)
        )

    # Configuration

    def _is_settled(self, now_ms: int) -> bool:
        return self._settled_ms is not None and now_ms >= self._settled_ms

    def _all_upstreams(self) -> Iterable[Upstream]:
        return tuple(self._upstreams.values())

    def _apply_fleet(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._weights = {one.name: one.weight for one in fleet.accounts}
        self._strikes.limit = fleet.policy.poison_strikes
        self._placement = Placement(fleet.policy, self._strikes)
        specs = {one.name: one for one in fleet.upstreams if one.cell == self.cell}
        self._configured = frozenset(specs)
        for name, upstream in tuple(self._upstreams.items()):
            if name not in specs:
                upstream.is_leaving = True
                if not upstream.budget.slots:
                    del self._upstreams[name]
        for name, spec in specs.items():
            self._apply_spec(name, spec)
        self._reach = {}
        for upstream in self._upstreams.values():
            for model in ("",) if self._is_service else upstream.spec.models:
                self._reach.setdefault(model, []).append(upstream)
        self._drain.forget_capacity()

    def _apply_spec(self, name: str, spec: UpstreamSpec) -> None:
        upstream = self._upstreams.get(name)
        if upstream is None:
            self._upstreams[name] = self._new_upstream(spec)
            return
        upstream.spec = spec
        upstream.budget.max_slots = spec.max_slots
        upstream.budget.target_gap_ms = self._fleet.policy.token_gap_ms
        upstream.is_leaving = spec.is_leaving or name in self._leaving_until_ms

    def _new_upstream(self, spec: UpstreamSpec) -> Upstream:
        policy = self._fleet.policy
        budget = UpstreamCapacity(
            max_slots=spec.max_slots,
            kv_capacity_tokens=spec.kv_capacity_tokens,
            prefill_tokens_per_s=spec.prefill_tokens_per_s,
            gap_ms=1000.0 / spec.decode_tokens_per_s,
            target_gap_ms=policy.token_gap_ms,
            learns=policy.learns_rates and spec.kind is UpstreamKind.ENGINE,
            learns_slots=policy.learns_slots,
        )
        blocks = spec.kv_capacity_tokens // policy.prefix_block_tokens
        prefixes = PrefixCacheModel(policy.prefix_block_tokens, blocks)
        health = Health(policy.max_backoff_ms, policy.died_backoff_ms)
        return Upstream(spec, budget, prefixes, health, spec.is_leaving)


def _kind_of(cell: str, kind: UpstreamKind | None) -> UpstreamKind:
    if kind is not None:
        return kind
    is_engine = cell.endswith(f"/{UpstreamKind.ENGINE.value}s")
    return UpstreamKind.ENGINE if is_engine else UpstreamKind.SERVICE


def _without_model(want: SlotRequest) -> SlotRequest:
    return replace(want, model="", prompt_tokens=0, output_tokens=0, prefix_hashes=())
