"""Scheduler of a cell, which grants slots at upstreams to slot requests."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import replace
from functools import partial
from typing import Any

from .actions import Log, Received, Send, Tick
from .answer_times import AnswerTimes
from .brittle_upstreams import BrittleUpstreams
from .crash_guard import CrashGuard
from .crash_history import CrashHistory
from .crash_recorder import CrashRecorder
from .drain_rate import DrainRate
from .end_recorder import EndRecorder
from .fleet import Fleet, UpstreamKind, UpstreamSpec
from .health import Health, HealthState
from .host_reach import HostReach
from .load_shedding import LoadShedder
from .messages import (
    CancelSlotRequest,
    Grant,
    HeldSlot,
    Release,
    ReleaseCause,
    SlotRefusal,
    SlotRequest,
    UpstreamReport,
)
from .placement import (
    HIGHEST_TIER,
    Choice,
    Deferral,
    Placement,
    Upstream,
    new_slot,
)
from .poison_detection import PoisonDetector
from .prefix_cache import PrefixCacheModel
from .queues import FairQueue, QueuedSlotRequest, TierQueues
from .releases import UNSENT_CAUSES
from .retry_schedule import RetrySchedule
from .rollouts.gates import VersionGate, VersionGates
from .scheduler_dump import CellDump, CellStats, dump_queue, dump_upstream
from .scheduler_events import (
    CrashesChanged,
    FleetChanged,
    HostLost,
    StrikesChanged,
)
from .scheduling_options import SchedulingOptions
from .shares.account_shares import AccountShares, NoShares
from .shares.reservations import Reservations
from .shares.share_queue import ShareQueue
from .single_dispatch import dispatchmethod
from .slow_start import SlowStarts, max_answer_ms
from .upstream_capacity import Slot, UpstreamCapacity
from .upstream_limits import UpstreamLimits
from .upstream_rates import UpstreamRates
from .verdicts import Reason

Action = Send | Log

__all__ = ["CellScheduler", "FleetChanged", "HostLost", "StrikesChanged"]

MAX_CANDIDATES_PER_ACCOUNT = 8
CHECK_SLOTS_EVERY_MS = 100
LEAVING_TTL_MS = 10_000
OVERDUE_FACTOR = 2
IN_PROGRESS_RETRY_MS = 500
NO_UPSTREAM_RETRY_MS = 1000
# A goal that answers rarely meet must not make all requests late.
MAX_ANSWER_SHARE_OF_GOAL = 0.6
WASTED_PREFILL_CAUSES = (
    ReleaseCause.CALLER_GONE,
    ReleaseCause.UPSTREAM_DIED,
    ReleaseCause.UPSTREAM_ERROR,
    ReleaseCause.UPSTREAM_TIMEOUT,
    ReleaseCause.OUT_OF_TIME,
    ReleaseCause.PREEMPTED,
    ReleaseCause.RELAY_LOST,
)


class CellScheduler:
    """Scheduler that places the slot requests of a cell onto its upstreams.

    Its state is soft: a new scheduler grants nothing for a settling time, while the
    entry hosts report the slots that they hold and send their slot requests again.

    :param cell: name of the cell.
    :param fleet: active configuration.
    :param kind: kind of the cell's upstreams; derived from the cell's name by default.
    :param crash_guard: filter of requests that crash upstreams.
    :param limits: limits that upstreams have named.
    :param reach: evidence on the links between entry hosts and upstreams.
    :param brittle: upstreams that must not reject many requests.
    :param gates: software versions that requests may go to, by cell.
    :param options: options of the scheduling.
    """

    def __init__(
        self,
        cell: str,
        fleet: Fleet,
        kind: UpstreamKind | None = None,
        crash_guard: CrashGuard | None = None,
        limits: UpstreamLimits | None = None,
        reach: HostReach | None = None,
        brittle: BrittleUpstreams | None = None,
        gates: VersionGates | None = None,
        options: SchedulingOptions | None = None,
    ):
        self.cell = cell
        self._is_service = _kind_of(cell, kind) is UpstreamKind.SERVICE
        self.stats = CellStats()
        self._options = SchedulingOptions() if options is None else options
        self._slow_starts = SlowStarts() if self._options.finds_pace else None
        learns = self._options.learns_speeds and not self._is_service
        self._rates = UpstreamRates() if learns else None
        self._fleet = fleet
        self._weights: dict[str, int] = {}
        self._upstreams: dict[str, Upstream] = {}
        self._upstreams_by_model: dict[str, list[Upstream]] = {}
        # Those that requests may go to which name no software version.
        self._usable_by_model: dict[str, list[Upstream]] = {}
        self._gates = VersionGates() if gates is None else gates
        self._gates_revision = self._gates.revision
        self._slots: dict[str, Slot] = {}
        self._leaving_until_ms: dict[str, int] = {}
        self._shares = NoShares()
        self._retry_schedule = RetrySchedule()
        build_queue = None
        if self._options.shares_accounts:
            self._shares = AccountShares(self._weight)
            self._retry_schedule = Reservations(self._shares)
            build_queue = partial(ShareQueue, self._weight, self._shares)
        self._queues = TierQueues(self._weight, build_queue)
        self._poison_detector = PoisonDetector(fleet.policy.poison_strikes)
        guard = crash_guard or CrashGuard(CrashHistory())
        self._crashes = CrashRecorder(guard, self._slots)
        self._answer_times = AnswerTimes()
        self._limits = UpstreamLimits() if limits is None else limits
        self._reach = HostReach() if reach is None else reach
        self._brittle = BrittleUpstreams() if brittle is None else brittle
        self._drain_rate = DrainRate(self._queues, self._limits, learns)
        self._ends = EndRecorder(
            self._reach,
            self._limits,
            self._brittle,
            self._poison_detector,
            self._crashes,
            self._drain_rate,
        )
        self._shedder = LoadShedder(
            cell,
            fleet.policy,
            self._queues,
            self._drain_rate,
            self._retry_schedule,
            self._candidates,
            self.stats,
            self._shares,
        )
        self._settled_at_ms: int | None = None
        self._now_ms = 0
        self._slots_checked_ms = 0
        self._apply_fleet(fleet)

    def handle(self, event: Any, now_ms: int) -> Iterator[Action]:
        """Handle an event and yield the resulting actions.

        :param event: ``Tick``, ``Received``, ``FleetChanged``, ``StrikesChanged``
            or ``HostLost``.
        :param now_ms: time on the caller's monotonic clock.
        """
        if self._settled_at_ms is None:
            self._settled_at_ms = now_ms + self._fleet.policy.settle_ms
        self._now_ms = now_ms
        self._shares.advance(now_ms)
        if self._gates_revision != self._gates.revision:
            self._apply_gate()
        yield from self._handle_event(event, now_ms)

    @property
    def fleet(self) -> Fleet:
        """Return the active configuration."""
        return self._fleet

    @property
    def has_queued(self) -> bool:
        """Return whether any slot request waits in a queue."""
        return len(self._queues) > 0

    @property
    def upstreams(self) -> tuple[Upstream, ...]:
        """Return all upstreams, also those that have left but have slots in use."""
        return tuple(self._upstreams.values())

    def used_slots_by_version(self) -> Counter[str]:
        """Return the number of slots in use by the upstreams' software version."""
        return Counter(
            self._upstreams[slot.upstream].spec.software_version
            for slot in self._slots.values()
        )

    def dump(self) -> CellDump:
        """Return a dump of the state for operators, as of the last event."""
        now_ms = self._now_ms
        queues = (
            dump_queue(
                tier,
                model,
                queue,
                self._drain_rate.wait_ms(tier, model, self._candidates(model), now_ms),
            )
            for tier in self._queues.tiers()
            for model, queue in self._queues.models(tier)
        )
        upstreams = (
            dump_upstream(upstream, now_ms) for upstream in self._all_upstreams()
        )
        return CellDump(
            cell=self.cell,
            config_version=self._fleet.version,
            is_settling=not self._is_settled(now_ms),
            queues=tuple(queues),
            upstreams=tuple(upstreams),
            struck_fingerprints=len(self._poison_detector),
            stats=self.stats,
            accounts=self._shares.dump(),
        )

    # Events

    @dispatchmethod
    def _handle_event(self, event: Any, now_ms: int) -> Iterator[Action]:
        raise TypeError(f"unexpected event for a scheduler: {event!r}")

    @_handle_event.register
    def _(self, event: Tick, now_ms: int) -> Iterator[Action]:
        if now_ms - self._slots_checked_ms >= CHECK_SLOTS_EVERY_MS:
            self._slots_checked_ms = now_ms
            yield from self._check_slots(now_ms)
            if self._slow_starts is not None:
                yield from self._slow_starts.take_logs(now_ms)
            yield from self._refuse_crashing(now_ms)
        if not self._is_settled(now_ms):
            return
        if len(self._queues):
            yield from self._grant_queued(now_ms)
            for model in tuple(self._upstreams_by_model):
                yield from self._shedder.shed(model, now_ms)

    @_handle_event.register
    def _(self, event: Received, now_ms: int) -> Iterator[Action]:
        yield from self._handle_message(event.message, event.sender, now_ms)

    @_handle_event.register
    def _(self, event: FleetChanged, now_ms: int) -> Iterator[Action]:
        self._apply_fleet(event.fleet)
        yield from self._refuse_stranded()
        yield from self._grant_queued(now_ms)

    @_handle_event.register
    def _(self, event: StrikesChanged, now_ms: int) -> Iterator[Action]:
        self._poison_detector.set_reported_strikes(event.fingerprint, event.strikes)
        yield from self._apply_strikes(now_ms)

    @_handle_event.register
    def _(self, event: CrashesChanged, now_ms: int) -> Iterator[Action]:
        yield from self._refuse_crashing(now_ms)

    @_handle_event.register
    def _(self, event: HostLost, now_ms: int) -> Iterator[Action]:
        for queued in self._queues:
            if queued.host == event.host:
                self._queues.discard(queued)
        if event.is_restarted:
            for slot in tuple(self._slots.values()):
                if slot.host == event.host:
                    self._drop(slot)
        yield from self._grant_queued(now_ms)

    # Messages

    @dispatchmethod
    def _handle_message(
        self, message: Any, sender: str, now_ms: int
    ) -> Iterator[Action]:
        raise TypeError(f"unexpected message to a scheduler: {message!r}")

    @_handle_message.register
    def _(
        self, slot_request: SlotRequest, sender: str, now_ms: int
    ) -> Iterator[Action]:
        if self._is_service:
            slot_request = _without_model(slot_request)
        slot = self._slots.get(slot_request.request_id)
        if slot is not None:
            yield self._answer_duplicate(slot, sender)
            return
        earlier = self._queues.get(slot_request.request_id)
        if earlier is not None and earlier.host == sender:
            return
        if earlier is not None:
            yield self._shedder.refuse(
                earlier, Reason.IN_PROGRESS, IN_PROGRESS_RETRY_MS
            )
        queued = self._make_queued(slot_request, sender, now_ms)
        reason = self._rejection_reason(slot_request)
        if reason is Reason.NONE and self._crashes.would_crash(slot_request, now_ms):
            reason = Reason.POISON
        if reason is not Reason.NONE:
            yield self._shedder.build_refusal(
                queued, reason, self._rejection_retry_ms(slot_request, reason)
            )
            return
        if self._drain_rate.is_infeasible(
            queued, self._candidates(slot_request.model), now_ms
        ):
            yield self._shedder.build_refusal(queued, Reason.DEADLINE, 0)
            return
        self._shedder.prepare(queued, now_ms)
        self._queues.add(queued)
        if not slot_request.is_repeat:
            self._drain_rate.arrived(slot_request, now_ms)
        if self._is_settled(now_ms):
            yield from self._grant_queued(now_ms)
            yield from self._shedder.shed(slot_request.model, now_ms)

    @_handle_message.register
    def _(
        self, cancel: CancelSlotRequest, sender: str, now_ms: int
    ) -> Iterator[Action]:
        queued = self._queues.get(cancel.request_id)
        if queued is not None and queued.host == sender:
            self._queues.discard(queued)
        slot = self._slots.get(cancel.request_id)
        if slot is not None and slot.host == sender:
            self._limits.refund(slot.upstream)
            self._shares.refund(cancel.request_id)
            self._drop(slot)
            yield from self._grant_queued(now_ms)

    @_handle_message.register
    def _(self, held: HeldSlot, sender: str, now_ms: int) -> Iterator[Action]:
        slot = self._slots.get(held.slot_request.request_id)
        if slot is not None and slot.upstream != held.upstream:
            self._drop(slot)
            slot = None
        if slot is None:
            slot = self._adopt(held, sender, now_ms)
        if slot is not None:
            slot.host = sender
            self._renew(slot, held, now_ms)
        yield from ()

    @_handle_message.register
    def _(self, release: Release, sender: str, now_ms: int) -> Iterator[Action]:
        slot = self._slots.get(release.request_id)
        if slot is None or slot.host != sender:
            return
        self._learn_from_release(slot, release, now_ms)
        if release.cause in UNSENT_CAUSES:
            self._limits.refund(slot.upstream)
        self._shares.settle(release)
        ended_at = self._upstreams[slot.upstream]
        self._vacate(slot)
        if self._gate is not None:
            self._gate.ended(slot, ended_at, release, now_ms)
        upstream = self._upstreams.get(slot.upstream)
        if upstream is not None:
            yield from self._ends.record(upstream, slot, release, now_ms)
            self._record_end_of_start(upstream, slot, release, now_ms)
        if release.cause is ReleaseCause.UPSTREAM_DIED:
            yield from self._apply_strikes(now_ms)
        yield from self._grant_queued(now_ms)

    @_handle_message.register
    def _(self, report: UpstreamReport, sender: str, now_ms: int) -> Iterator[Action]:
        upstream = self._upstreams.get(report.upstream)
        if upstream is None:
            return
        if report.is_leaving:
            self._leaving_until_ms[upstream.name] = now_ms + LEAVING_TTL_MS
            self._set_leaving(upstream, True)
        if not report.is_alive:
            suspect_ms = self._fleet.policy.suspect_after_ms
            upstream.health.reported_dead(suspect_ms, now_ms)
        upstream.prefixes.apply_events(
            report.cache_sequence, report.cached_hashes, report.evicted_hashes
        )
        # A false or old report must not raise or lower what is held there.
        if report.capacity_kv_tokens > 0 and self._rates is None:
            upstream.capacity.kv_capacity_tokens = report.capacity_kv_tokens
        yield from ()

    # Slot requests

    def _make_queued(
        self, slot_request: SlotRequest, sender: str, now_ms: int
    ) -> QueuedSlotRequest:
        max_wait_ms = min(slot_request.deadline_ms, self._fleet.policy.max_queue_ms)
        is_scheduled_retry = self._retry_schedule.take_due(slot_request, now_ms)
        return QueuedSlotRequest(
            slot_request,
            sender,
            now_ms,
            now_ms + max_wait_ms,
            is_scheduled_retry,
            self._goal_at_ms(slot_request, now_ms),
            self._reach.data_centre(sender),
            self._shares.output_weight,
        )

    def _goal_at_ms(self, slot_request: SlotRequest, now_ms: int) -> int | None:
        """Return the time by which a grant lets most such requests meet their goal."""
        goal_ms = slot_request.goal_ms
        if goal_ms <= 0:
            return None
        answer_ms = self._answer_times.expected_ms(slot_request)
        return int(
            now_ms + goal_ms - min(answer_ms, goal_ms * MAX_ANSWER_SHARE_OF_GOAL)
        )

    def _rejection_reason(self, slot_request: SlotRequest) -> Reason:
        if self._poison_detector.is_poison(slot_request.fingerprint):
            return Reason.POISON
        is_served = is_fitting = False
        for upstream in self._upstreams_for(slot_request):
            if not upstream.suits(slot_request):
                continue
            is_served = is_served or not upstream.is_leaving
            is_fitting = is_fitting or upstream.fits_when_empty(slot_request)
            if is_served and is_fitting:
                return Reason.NONE
        return Reason.TOO_LARGE if is_served else Reason.NO_UPSTREAM

    def _refuse_stranded(self) -> Iterator[Action]:
        """Refuse the queued slot requests whose software version has left."""
        for queued in tuple(self._queues):
            slot_request = queued.slot_request
            if not slot_request.software_version:
                continue
            if self._rejection_reason(slot_request) is Reason.NO_UPSTREAM:
                yield self._shedder.refuse(
                    queued, Reason.NO_UPSTREAM, NO_UPSTREAM_RETRY_MS
                )

    def _rejection_retry_ms(self, slot_request: SlotRequest, reason: Reason) -> int:
        is_configured = slot_request.model in self._upstreams_by_model
        if reason is Reason.NO_UPSTREAM and is_configured:
            return NO_UPSTREAM_RETRY_MS
        return 0

    def _answer_duplicate(self, slot: Slot, sender: str) -> Action:
        if slot.host == sender:
            return Send(sender, self._build_grant(slot))
        request_id = slot.slot_request.request_id
        refusal = SlotRefusal(
            request_id, self.cell, Reason.IN_PROGRESS, IN_PROGRESS_RETRY_MS
        )
        return Send(sender, refusal)

    def _build_grant(self, slot: Slot) -> Grant:
        spec = self._upstreams[slot.upstream].spec
        return Grant(
            request_id=slot.slot_request.request_id,
            cell=self.cell,
            upstream=slot.upstream,
            lease_ms=self._fleet.policy.slot_lease_ms,
            predicted_prefix_tokens=slot.predicted_prefix_tokens,
            address=spec.address,
            software_version=spec.software_version,
            relay=slot.relay,
        )

    # Placement

    def _grant_queued(self, now_ms: int) -> Iterator[Action]:
        if not self._is_settled(now_ms):
            return
        if self._rates is not None:
            self._rates.refresh(self._upstreams.values(), now_ms)
        blocked: set[str] = set()
        for tier in self._queues.tiers():
            for model, queue in self._queues.models(tier):
                queue.demote_missed_goals(now_ms)
                free = self._candidates(model)
                if blocked:
                    free = [
                        upstream for upstream in free if upstream.name not in blocked
                    ]
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
        """Grant one slot request of a queue, or reserve upstreams for the queue.

        :param blocked: upstreams that lower tiers must not use; the reserved ones are
            added to it.
        """
        reserved: set[str] = set()
        fallback: tuple[QueuedSlotRequest, Choice] | None = None
        for queued in queue.candidates(MAX_CANDIDATES_PER_ACCOUNT):
            is_highest = queued.slot_request.tier == HIGHEST_TIER
            choice = self._choose(queued, upstreams, is_highest, now_ms)
            if isinstance(choice, Choice):
                return self._grant(queued, choice, now_ms)
            if choice is None:
                reserved.update(
                    upstream.name
                    for upstream in upstreams
                    if not upstream.is_slow(now_ms)
                )
                break
            if choice.upstream is not None:
                reserved.add(choice.upstream.name)
            if choice.fallback is not None and fallback is None:
                fallback = queued, choice.fallback
        if fallback is not None:
            return self._grant(*fallback, now_ms)
        blocked.update(reserved)
        return None

    def _choose(
        self,
        queued: QueuedSlotRequest,
        upstreams: list[Upstream],
        is_highest: bool,
        now_ms: int,
    ) -> Choice | Deferral | None:
        slot_request = queued.slot_request
        if self._gate is not None and slot_request.software_version:
            upstreams = self._upstreams_for(slot_request)
        elif self._gate is not None:
            every = self._upstreams_by_model.get(slot_request.model, [])
            trial = self._gate.trial(slot_request, every)
            choice = None
            if trial:
                choice = self._placement.choose(
                    queued, trial, is_highest=is_highest, now_ms=now_ms
                )
            if isinstance(choice, Choice):
                return choice
        return self._placement.choose(
            queued, upstreams, is_highest=is_highest, now_ms=now_ms
        )

    def _grant(self, queued: QueuedSlotRequest, choice: Choice, now_ms: int) -> Action:
        slot_request = queued.slot_request
        self._queues.take(queued)
        lease_ms = self._fleet.policy.slot_lease_ms
        slot = new_slot(queued, choice, lease_ms, queued.host, now_ms)
        slot.relay = self._reach.relay_for(
            queued.host, slot.upstream, choice.upstream.spec.data_centre, now_ms
        )
        self._occupy(slot, now_ms)
        self._limits.take(slot.upstream, now_ms)
        self._record_paced_grant(slot, choice.upstream, now_ms)
        if self._gate is not None:
            self._gate.granted(slot, choice.upstream, now_ms)
        if choice.upstream.health.state is HealthState.DOWN:
            self._reach.record_test(slot.upstream, now_ms)
            choice.upstream.health.probe_early()
        if slot_request.is_repeat:
            # A search that is refused is asked again and again, and is no more demand.
            self._drain_rate.arrived(slot_request, now_ms)
        self._drain_rate.granted(
            slot_request.prompt_tokens, choice.predicted_prefix_tokens
        )
        self.stats.granted[slot_request.tier] += 1
        return Send(queued.host, self._build_grant(slot))

    def _record_paced_grant(self, slot: Slot, upstream: Upstream, now_ms: int) -> None:
        if upstream.slow_start is None:
            return
        slot_request = slot.slot_request
        expected_ms = self._answer_times.expected_ms(slot_request)
        upstream.slow_start.granted(
            slot_request,
            max_answer_ms(slot_request, expected_ms),
            len(upstream.capacity.slots),
            now_ms,
        )

    def _occupy(self, slot: Slot, now_ms: int) -> None:
        upstream = self._upstreams[slot.upstream]
        self._slots[slot.slot_request.request_id] = slot
        self._shares.started(slot.slot_request)
        upstream.capacity.occupy(slot, now_ms)
        output_tokens = sum(
            active.slot_request.output_tokens
            for active in upstream.capacity.slots.values()
        )
        spare_tokens = upstream.capacity.kv_capacity_tokens - output_tokens
        block_tokens = upstream.prefixes.block_tokens
        upstream.prefixes.record(
            slot.slot_request.prefix_hashes, max(0, spare_tokens) // block_tokens
        )
        self._count_suspects(upstream)

    def _drop(self, slot: Slot) -> None:
        """Vacate a slot whose request ends in an unknown way, which is no evidence."""
        request_id = slot.slot_request.request_id
        slow_start = self._upstreams[slot.upstream].slow_start
        if slow_start is not None:
            slow_start.forget(request_id)
        if self._gate is not None:
            self._gate.forget(request_id)
        self._vacate(slot)

    def _vacate(self, slot: Slot) -> None:
        del self._slots[slot.slot_request.request_id]
        self._shares.ended(slot.slot_request.request_id)
        upstream = self._upstreams[slot.upstream]
        upstream.capacity.vacate(slot.slot_request.request_id)
        self._count_suspects(upstream)
        if slot.upstream not in self._configured and not upstream.capacity.slots:
            del self._upstreams[slot.upstream]

    def _adopt(self, held: HeldSlot, sender: str, now_ms: int) -> Slot | None:
        if held.upstream not in self._upstreams:
            return None
        queued = self._queues.get(held.slot_request.request_id)
        if queued is not None:
            self._queues.discard(queued)
        slot_request = (
            _without_model(held.slot_request) if self._is_service else held.slot_request
        )
        lease_until_ms = now_ms + self._fleet.policy.slot_lease_ms
        slot = Slot(slot_request, sender, held.upstream, now_ms, lease_until_ms)
        slot.relay = held.relay
        slot.is_adopted = True
        if held.produced_tokens == 0 and not self._is_service:
            slot.prefill_tokens = slot_request.prompt_tokens
        self._occupy(slot, now_ms)
        slow_start = self._upstreams[held.upstream].slow_start
        if slow_start is not None:
            slow_start.adopted(now_ms)
        return slot

    # Slots

    def _renew(self, slot: Slot, held: HeldSlot, now_ms: int) -> None:
        slot.lease_until_ms = now_ms + self._fleet.policy.slot_lease_ms
        upstream = self._upstreams[slot.upstream]
        is_first = held.produced_tokens > 0 and slot.produced_tokens == 0
        if is_first and slot.granted_ms < now_ms:
            self._answer_times.record(slot.slot_request, now_ms - slot.granted_ms)
        if held.produced_tokens > slot.produced_tokens:
            self._reach.record_answer(slot.sender, slot.upstream, now_ms)
            self._crashes.record_life(slot.upstream, now_ms)
            limit = int(upstream.capacity.limit_slots)
            age_ms = held.token_age_ms
            produced_ms = None if age_ms is None else now_ms - age_ms
            earlier = upstream.health.state
            upstream.health.progressed(slot.granted_ms, limit, now_ms, produced_ms)
            if self._slow_starts is not None:
                self._record_progress_of_start(slot, earlier, is_first, now_ms)
        self._shares.progressed(slot.slot_request.request_id, held.produced_tokens)
        upstream.capacity.record_progress(
            slot, held.produced_tokens, held.slow_tokens, now_ms
        )

    def _record_progress_of_start(
        self, slot: Slot, earlier: HealthState, is_first: bool, now_ms: int
    ) -> None:
        """Record progress of a request for the upstream's slow start."""
        upstream = self._upstreams[slot.upstream]
        if self._slow_starts is None or upstream.slow_start is None:
            return
        slow_start = upstream.slow_start
        if is_first:
            answer_ms = now_ms - slot.granted_ms
            slow_start.answered(slot.slot_request.request_id, answer_ms, now_ms)
        slow_start.observe_health(earlier, upstream.health.state, None)
        slots = int(upstream.capacity.limit_slots)
        self._slow_starts.begin_recovered(upstream.name, slots, now_ms)

    def _record_end_of_start(
        self, upstream: Upstream, slot: Slot, release: Release, now_ms: int
    ) -> None:
        """Record the end of a request for the upstream's slow start."""
        if self._slow_starts is None or upstream.slow_start is None:
            return
        slow_start = upstream.slow_start
        request_id = slot.slot_request.request_id
        if release.cause is ReleaseCause.COMPLETED:
            answer_ms = now_ms - slot.granted_ms
            if release.first_token_ms >= 0 and not self._is_service:
                answer_ms = release.first_token_ms
            slow_start.answered(request_id, answer_ms, now_ms)
        slow_start.ended(request_id, release.cause, now_ms)
        slots = int(upstream.capacity.limit_slots)
        self._slow_starts.begin_recovered(upstream.name, slots, now_ms)

    def _learn_from_release(self, slot: Slot, release: Release, now_ms: int) -> None:
        upstream = self._upstreams[slot.upstream]
        wasted = self.stats.wasted_prefill_tokens
        if release.first_token_ms >= 0:
            predicted = slot.predicted_prefix_tokens
            upstream.prefixes.correct(predicted, release.cached_tokens)
            self.stats.predicted_cached_tokens += predicted
            self.stats.actual_cached_tokens += release.cached_tokens
            wasted["cache_missed"] += max(0, predicted - release.cached_tokens)
        if release.cause in WASTED_PREFILL_CAUSES:
            wasted[release.cause.value] += release.prompt_tokens - release.cached_tokens
        if release.cause is ReleaseCause.COMPLETED:
            upstream.capacity.record_duration(release.duration_ms)
            candidates = self._candidates(slot.slot_request.model)
            self._drain_rate.observe(
                slot.slot_request, release.duration_ms, candidates, now_ms
            )
            self._update_gap(upstream, slot, release, now_ms)
            if self._rates is not None:
                self._rates.record_release(upstream.capacity, release)
                self._rates.sampled(self._upstreams.values())

    def _update_gap(
        self, upstream: Upstream, slot: Slot, release: Release, now_ms: int
    ) -> None:
        capacity = upstream.capacity
        if self._is_service:
            capacity.record_call(release.duration_ms, now_ms)
            self._answer_times.record(slot.slot_request, now_ms - slot.granted_ms)
            return
        capacity.record_progress(
            slot, release.produced_tokens, release.slow_tokens, now_ms
        )

    def reinstate(self, upstream: str, now_ms: int) -> Iterator[Action]:
        """Use an upstream again that only hosts without links to it had reported."""
        known = self._upstreams.get(upstream)
        if known is not None and known.health.state is not HealthState.HEALTHY:
            yield from self._ends.reinstate(known)
            yield from self._grant_queued(now_ms)

    def refuse_queued(self) -> Iterator[Action]:
        """Refuse all queued slot requests, since the service exists no more."""
        for queued in tuple(self._queues):
            yield self._shedder.refuse(queued, Reason.NO_UPSTREAM, NO_UPSTREAM_RETRY_MS)

    def _check_slots(self, now_ms: int) -> Iterator[Action]:
        for slot in tuple(self._slots.values()):
            if slot.lease_until_ms <= now_ms:
                self._drop(slot)
                self.stats.lapsed_slots += 1
                fields = (("request_id", slot.slot_request.request_id),)
                yield Log("slot_lapsed", (*fields, ("upstream", slot.upstream)))
        for upstream in self._all_upstreams():
            self._check_stall(upstream, now_ms)
            self._check_leaving(upstream, now_ms)

    def _check_stall(self, upstream: Upstream, now_ms: int) -> None:
        if self._is_service:
            return
        suspect_ms = self._fleet.policy.suspect_after_ms
        capacity = upstream.capacity
        is_overdue = False
        for slot in capacity.slots.values():
            if slot.produced_tokens > 0:
                is_late = now_ms - slot.progress_ms > suspect_ms
            else:
                expected_ms = slot.first_due_ms - slot.granted_ms
                late_ms = now_ms - slot.granted_ms - OVERDUE_FACTOR * expected_ms
                is_late = late_ms > suspect_ms
            is_overdue = is_overdue or is_late
        if is_overdue:
            upstream.health.stalled()
        if not capacity.slots:
            upstream.health.emptied(now_ms)

    def _check_leaving(self, upstream: Upstream, now_ms: int) -> None:
        until_ms = self._leaving_until_ms.get(upstream.name)
        if until_ms is not None and now_ms >= until_ms:
            del self._leaving_until_ms[upstream.name]
            self._set_leaving(upstream, upstream.spec.is_leaving)

    def _set_leaving(self, upstream: Upstream, is_leaving: bool) -> None:
        if upstream.is_leaving != is_leaving:
            upstream.is_leaving = is_leaving
            self._drain_rate.invalidate_capacities()

    # Poison requests

    def _apply_strikes(self, now_ms: int) -> Iterator[Action]:
        for upstream in self._all_upstreams():
            self._count_suspects(upstream)
        for queued in self._queues:
            if self._poison_detector.is_poison(queued.slot_request.fingerprint):
                yield self._shedder.refuse(queued, Reason.POISON, 0)

    def _refuse_crashing(self, now_ms: int) -> Iterator[Action]:
        if self._crashes.is_idle:
            return
        for queued in tuple(self._queues):
            if self._crashes.would_crash(queued.slot_request, now_ms):
                yield self._shedder.refuse(queued, Reason.POISON, 0)

    def _count_suspects(self, upstream: Upstream) -> None:
        if not len(self._poison_detector):
            upstream.suspects = 0
            return
        upstream.suspects = sum(
            self._poison_detector.is_suspect(slot.slot_request.fingerprint)
            for slot in upstream.capacity.slots.values()
        )

    # Configuration

    def _weight(self, account: str) -> int:
        return self._weights.get(account, 1)

    def _is_settled(self, now_ms: int) -> bool:
        return self._settled_at_ms is not None and now_ms >= self._settled_at_ms

    @property
    def _gate(self) -> VersionGate | None:
        return self._gates.get(self.cell) if len(self._gates) else None

    def _candidates(self, model: str) -> list[Upstream]:
        return self._usable_by_model.get(model, [])

    def _upstreams_for(self, slot_request: SlotRequest) -> list[Upstream]:
        """Return the upstreams that a slot request may go to by its version."""
        version = slot_request.software_version
        if self._gate is None or not version:
            return self._candidates(slot_request.model)
        if not self._gate.may_resume_at(version):
            return []
        return self._upstreams_by_model.get(slot_request.model, [])

    def _apply_gate(self) -> None:
        self._gates_revision = self._gates.revision
        gate = self._gate
        if gate is None:
            self._usable_by_model = self._upstreams_by_model
        else:
            self._usable_by_model = {
                model: gate.usable(upstreams)
                for model, upstreams in self._upstreams_by_model.items()
            }
        self._drain_rate.invalidate_capacities()

    def _all_upstreams(self) -> Iterable[Upstream]:
        return tuple(self._upstreams.values())

    def _apply_fleet(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._shedder.policy = fleet.policy
        self._weights = {account.name: account.weight for account in fleet.accounts}
        self._shares.reweigh()
        self._poison_detector.limit = fleet.policy.poison_strikes
        self._placement = Placement(
            fleet.policy,
            self._poison_detector,
            self._limits,
            self._reach,
            self._brittle,
            self._rates,
        )
        specs = {spec.name: spec for spec in fleet.upstreams if spec.cell == self.cell}
        self._configured = frozenset(specs)
        for name, upstream in tuple(self._upstreams.items()):
            if name not in specs:
                upstream.is_leaving = True
                if not upstream.capacity.slots:
                    del self._upstreams[name]
        if self._slow_starts is not None:
            slots_by_name = {name: spec.max_slots for name, spec in specs.items()}
            self._slow_starts.apply_list(
                slots_by_name,
                self._upstreams,
                bool(self._upstreams) and self._is_settled(self._now_ms),
                self._now_ms,
            )
        for name, spec in specs.items():
            self._apply_spec(name, spec)
        self._upstreams_by_model = {}
        for upstream in self._upstreams.values():
            for model in ("",) if self._is_service else upstream.spec.models:
                self._upstreams_by_model.setdefault(model, []).append(upstream)
        self._apply_gate()

    def _apply_spec(self, name: str, spec: UpstreamSpec) -> None:
        upstream = self._upstreams.get(name)
        if upstream is None:
            self._upstreams[name] = self._new_upstream(spec)
            return
        if spec.lifetime != upstream.spec.lifetime:
            # It keeps its name and nothing that it held.
            upstream.prefixes = self._new_prefixes(spec)
            upstream.health = self._new_health()
            self._leaving_until_ms.pop(name, None)
        upstream.spec = spec
        upstream.slow_start = self._slow_starts and self._slow_starts.add(name)
        if self._rates is not None:
            self._rates.attach(spec, upstream.capacity)
        upstream.capacity.max_slots = spec.max_slots
        upstream.capacity.target_gap_ms = self._fleet.policy.token_gap_ms
        upstream.is_leaving = spec.is_leaving or name in self._leaving_until_ms

    def _new_upstream(self, spec: UpstreamSpec) -> Upstream:
        policy = self._fleet.policy
        capacity = UpstreamCapacity(
            max_slots=spec.max_slots,
            kv_capacity_tokens=spec.kv_capacity_tokens,
            prefill_tokens_per_s=spec.prefill_tokens_per_s,
            gap_ms=1000.0 / spec.decode_tokens_per_s,
            target_gap_ms=policy.token_gap_ms,
            learns=policy.learns_rates and spec.kind is UpstreamKind.ENGINE,
            learns_slots=policy.learns_slots,
        )
        if self._rates is not None:
            self._rates.attach(spec, capacity)
        slow_start = self._slow_starts and self._slow_starts.add(spec.name)
        return Upstream(
            spec,
            capacity,
            self._new_prefixes(spec),
            self._new_health(),
            spec.is_leaving,
            slow_start=slow_start,
        )

    def _new_prefixes(self, spec: UpstreamSpec) -> PrefixCacheModel:
        block_tokens = self._fleet.policy.prefix_block_tokens
        return PrefixCacheModel(block_tokens, spec.kv_capacity_tokens // block_tokens)

    def _new_health(self) -> Health:
        policy = self._fleet.policy
        return Health(policy.max_backoff_ms, policy.died_backoff_ms)


def _kind_of(cell: str, kind: UpstreamKind | None) -> UpstreamKind:
    if kind is not None:
        return kind
    is_engine = cell.endswith(f"/{UpstreamKind.ENGINE.value}s")
    return UpstreamKind.ENGINE if is_engine else UpstreamKind.SERVICE


def _without_model(slot_request: SlotRequest) -> SlotRequest:
    """Return the slot request as one of a plain service, of which all cost the same."""
    return replace(
        slot_request, model="", prompt_tokens=0, output_tokens=1, prefix_hashes=()
    )
