"""One rollout at the leader: its stages, what the new version gets, and the result.

The new version first gets a small share of the requests, on some of its upstreams.
As late as the end of the period allows, it gets as much as an unproven version may get,
so that it is seen under load; then all new requests. The rollout is complete when no
request runs at other versions any more, and reverted as soon as the new version is
found to be bad.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil
from statistics import median

from ..messages import (
    Release,
    RolloutRecord,
    RolloutStage,
    RolloutState,
    RolloutUsage,
    SlotRequest,
)
from ..placement import Upstream
from ..upstream_capacity import Slot
from .evidence import Comparison, Finding, TestResult
from .exposure import Exposure, RolloutLimits
from .gates import StagedGate
from .samples import Sample, SampleWindow, build_sample

# Time that streams at other versions mostly take to finish.
DRAIN_MS = 6000
MIN_SHIFT_SHARE = 0.5
# Until then a version that all requests go to can still be reverted.
MIN_COMPLETE_SHARE = 0.8
CHECK_MS = 2000
MAX_CHECK_SHARE = 0.15
# The rest of the limit is for the check, which sends many requests at once.
CANARY_LIMIT_SHARE = 0.6
# A version that isn't proven in time is given up later, not at once: the last answers
# may be on their way.
PROOF_GRACE_SHARE = 1.0
EVALUATE_MS = 200
MIN_TRIAL_UPSTREAMS = 6
TRIAL_SHARE = 0.2
# So few upstreams are full with what an unproven version may get.
CHECK_UPSTREAMS = 3
# Single requests would put no load on them.
CHECK_BURST_REQUESTS = 24
WARM_UP_MS = 1000
# Upstreams that take over must have most of the slots of those that they replace.
MIN_SLOTS_RATIO = 0.7
# Routes with less traffic are judged together with the others.
MIN_ROUTE_REQUESTS = 20
# Slow answers end last, so that a proof waits for most of those under way.
OVERDUE_FACTOR = 2
MAX_OVERDUE_SHARE = 0.1
MAX_BAD_ANSWERS = 40
# All of these may be bad, if all answers are slow and no upstream's times are known.
MAX_UNKNOWN_TRIALS = 40
MAX_BAD_SHARE = 0.25
# Callers whose streams have broken off resume them within a moment.
RESUME_WAIT_MS = 1500
# One rate for all upstreams, so that a learned one can't hide a slow version.
REFERENCE_TOKENS_PER_MS = 50.0


@dataclass(frozen=True, slots=True)
class ServiceView:
    """What the leader knows of a service with a rollout.

    :param other_slots_used: slots in use at upstreams of other versions.
    :param has_unknown_slots: whether hosts may hold slots that are not reported.
    """

    upstreams: tuple[Upstream, ...]
    other_slots_used: int
    has_unknown_slots: bool


@dataclass(frozen=True, slots=True)
class _Granted:
    """Request that was granted and has not ended.

    :param expected_ms: expected time to the first part of the answer.
    :param load: share of the upstream's slots in use.
    :param is_new: whether it was granted at the new version.
    """

    route: str
    expected_ms: float
    load: float
    granted_ms: int
    is_new: bool


class Rollout(StagedGate):
    """Driver of one rollout, and the gate of its service at the leader.

    :param record: replicated record of the rollout, which is rolling.
    :param limits: limits on an unproven version.
    :param elapsed_ms: time since the order.
    :param usage: what an earlier leader has counted; None at the first leader.
    :param is_first_leader: whether no other leader may have counted requests.
    """

    def __init__(
        self,
        record: RolloutRecord,
        limits: RolloutLimits,
        now_ms: int,
        *,
        elapsed_ms: int = 0,
        usage: RolloutUsage | None = None,
        is_first_leader: bool = True,
    ):
        super().__init__(record.version, RolloutStage.CANARY)
        self.record = record
        self.finding: Finding | None = None
        self.reason = ""
        self._ordered_ms = now_ms - elapsed_ms
        self._stage_since_ms = now_ms
        self._evaluated_ms = now_ms
        self._earlier_bad_answers = usage.bad_answers if usage else 0
        self.exposure = Exposure(
            limits,
            usage.requests if usage else 0,
            usage.exposed if usage else 0,
            is_complete=is_first_leader or usage is not None,
        )
        self._baseline = SampleWindow()
        self._trial = SampleWindow()
        self._frozen_baseline: list | None = None
        self._granted: dict[str, _Granted] = {}
        self._first_grant_ms: dict[str, int] = {}
        self._route_requests: Counter[str] = Counter()
        self._trial_grants: Counter[str] = Counter()
        self._trial_names: frozenset[str] = frozenset()
        self._broken_ms = now_ms
        self._is_burst = False
        self._bad_samples: set[Sample] = set()
        self._usual: dict[tuple[str, str], float] = {}
        self._fastest: list[str] = []

    def elapsed_ms(self, now_ms: int) -> int:
        """Return the time since the order."""
        return now_ms - self._ordered_ms

    @property
    def bad_answers(self) -> int:
        """Return the number of failed and slow answers of the new version so far."""
        return self._earlier_bad_answers + len(self._bad_samples)

    def usage(self, now_ms: int) -> RolloutUsage:
        """Return what was used so far, for a later leader."""
        return RolloutUsage(
            service=self.record.service,
            number=self.record.number,
            elapsed_ms=self.elapsed_ms(now_ms),
            requests=self.exposure.requests,
            exposed=self.exposure.exposed,
            bad_answers=self.bad_answers,
        )

    # Requests

    def trial(
        self, slot_request: SlotRequest, upstreams: list[Upstream]
    ) -> list[Upstream]:
        """Return the upstreams of the new version that a request should try first.

        A request that was sent before goes to a version that is proven.
        """
        if self.stage not in (RolloutStage.CANARY, RolloutStage.CHECK):
            return []
        if slot_request.is_repeat or slot_request.is_resumed:
            return []
        if not self._may_try(slot_request):
            return []
        return [u for u in upstreams if u.name in self._trial_names]

    def _may_try(self, slot_request: SlotRequest) -> bool:
        """Return whether a request may go to the unproven version now."""
        is_known = self.finding is not None and self.finding.is_fast
        if not is_known and self._trial_grants.total() >= MAX_UNKNOWN_TRIALS:
            return False
        if self.stage is RolloutStage.CANARY:
            is_available = self.exposure.available(self._canary_share) > 0
            return is_available and self._is_route_due(slot_request.route)
        available = self.exposure.available(1.0)
        if available >= CHECK_BURST_REQUESTS:
            self._is_burst = True
        elif available == 0:
            self._is_burst = False
        return self._is_burst

    @property
    def _canary_share(self) -> float:
        """Return the part of the limit that the canary stage may use by now."""
        check_ms, _ = self._stage_times()
        elapsed_ms = self._evaluated_ms - self._ordered_ms
        return CANARY_LIMIT_SHARE * min(1.0, elapsed_ms / check_ms)

    def _is_route_due(self, route: str) -> bool:
        """Return whether a route has had no more trials than the others.

        Routes with little traffic need as many answers for a proof as the others.
        """
        active = [
            self._trial_grants[name]
            for name, count in self._route_requests.items()
            if count >= MIN_ROUTE_REQUESTS
        ]
        return not active or self._trial_grants[route] <= min(active)

    def granted(self, slot: Slot, upstream: Upstream, now_ms: int) -> None:
        """Record a grant of a slot."""
        is_new = upstream.spec.software_version == self.version
        route = slot.slot_request.route
        # What a proven version gets is no exposure, if a later leader begins anew.
        self.exposure.count(is_new and self.stage is not RolloutStage.SHIFT)
        self._route_requests[route] += 1
        if is_new:
            self._trial_grants[route] += 1
            self._first_grant_ms.setdefault(upstream.name, now_ms)
        tokens = (slot.first_due_ms - slot.granted_ms) * (
            upstream.capacity.prefill_tokens_per_s / 1000
        )
        expected_ms = tokens / REFERENCE_TOKENS_PER_MS if slot.prefill_tokens else 0.0
        load = len(upstream.capacity.slots) / max(1, upstream.spec.max_slots)
        self._granted[slot.slot_request.request_id] = _Granted(
            route, expected_ms, load, now_ms, is_new
        )

    def ended(
        self, slot: Slot, upstream: Upstream, release: Release, now_ms: int
    ) -> None:
        """Record the end of a request."""
        granted = self._granted.pop(slot.slot_request.request_id, None)
        if granted is None:
            # It was granted before the order, or by another scheduler.
            return
        is_new = upstream.spec.software_version == self.version
        sample = build_sample(slot, release, granted.expected_ms, granted.load, now_ms)
        is_broken = sample is None or sample.is_failure
        if is_broken and not is_new and release.produced_tokens:
            self._broken_ms = now_ms
        if sample is None:
            return
        is_cold = is_new and not self._is_warm(upstream, now_ms)
        if is_cold and not sample.is_failure:
            return
        (self._trial if is_new else self._baseline).add(sample)

    def forget(self, request_id: str) -> None:
        """Drop a request whose end is not known."""
        self._granted.pop(request_id, None)

    def _is_warm(self, upstream: Upstream, now_ms: int) -> bool:
        first_ms = self._first_grant_ms.get(upstream.name, now_ms)
        return now_ms - first_ms >= WARM_UP_MS

    # Stages

    def advance(self, view: ServiceView, now_ms: int) -> RolloutState | None:
        """Evaluate the evidence and go on to the next stage if it is due.

        :return: the state in which the rollout is to end; None while it goes on.
        """
        self._update_trial_names(view)
        if now_ms - self._evaluated_ms >= EVALUATE_MS:
            self._evaluated_ms = now_ms
            self._evaluate(now_ms)
        if self._is_bad():
            return RolloutState.REVERTED
        if self.stage is RolloutStage.SHIFT:
            return self._finish(view, now_ms)
        if self.elapsed_ms(now_ms) >= self.record.period_ms * (1 + PROOF_GRACE_SHARE):
            self.reason = "not proven in time"
            return RolloutState.REVERTED
        if self._is_next_stage_due(view, now_ms):
            self._enter_next_stage(now_ms)
        return None

    def _evaluate(self, now_ms: int) -> None:
        self._baseline.expire(now_ms)
        self._trial.expire(now_ms)
        baseline = self._frozen_baseline
        if baseline is None:
            baseline = list(self._baseline)
        active = [
            route
            for route, count in self._route_requests.items()
            if count >= MIN_ROUTE_REQUESTS
        ]
        comparison = Comparison(baseline, self._trial, self._usual)
        self._usual = comparison.usual
        self._bad_samples.update(comparison.bad_samples)
        if self.stage is RolloutStage.CANARY:
            self._fastest = comparison.fastest_upstreams()
        self.finding = comparison.finding(
            active,
            self._stage_since_ms,
            under_load=self.stage is RolloutStage.CHECK,
        )

    def _is_bad(self) -> bool:
        finding = self.finding
        if finding is None:
            return False
        if finding.result is TestResult.BAD:
            self.reason = finding.reason
            return True
        answers = sum(route.answers for route in finding.routes)
        is_limit_reached = self.bad_answers >= MAX_BAD_ANSWERS
        if is_limit_reached and finding.bad_answers > answers * MAX_BAD_SHARE:
            self.reason = "too many failed or slow answers"
            return True
        return False

    def _is_next_stage_due(self, view: ServiceView, now_ms: int) -> bool:
        finding = self.finding
        if finding is None or finding.result is not TestResult.PROVEN:
            return False
        if self._overdue_share(now_ms) > MAX_OVERDUE_SHARE:
            return False
        check_ms, shift_ms = self._stage_times()
        if self.stage is RolloutStage.CANARY:
            return self.elapsed_ms(now_ms) >= check_ms
        return self.elapsed_ms(now_ms) >= shift_ms and self._has_enough_slots(view)

    def _overdue_share(self, now_ms: int) -> float:
        """Return the share of the stage's trials that take longer than is usual.

        It is that of the route with the largest one.
        """
        baseline = self._frozen_baseline or self._baseline
        durations = [sample.duration_ms for sample in baseline]
        if not durations:
            return 0.0
        usual_ms = median(durations)
        trials: Counter[str] = Counter()
        overdue: Counter[str] = Counter()
        trials.update(s.route for s in self._trial.since(self._stage_since_ms))
        for grant in self._granted.values():
            if not grant.is_new or grant.granted_ms < self._stage_since_ms:
                continue
            trials[grant.route] += 1
            is_overdue = now_ms - grant.granted_ms > OVERDUE_FACTOR * usual_ms
            overdue[grant.route] += is_overdue
        return max([overdue[route] / trials[route] for route in overdue], default=0.0)

    def _stage_times(self) -> tuple[int, int]:
        """Return the times since the order of the check and of the shift.

        They are as late as the drain allows, since a version may turn bad later.
        """
        period_ms = self.record.period_ms
        shift_ms = max(period_ms * MIN_SHIFT_SHARE, period_ms - DRAIN_MS)
        check_ms = shift_ms - min(CHECK_MS, period_ms * MAX_CHECK_SHARE)
        return int(check_ms), int(shift_ms)

    def _enter_next_stage(self, now_ms: int) -> None:
        if self.stage is RolloutStage.CANARY:
            self.stage = RolloutStage.CHECK
        else:
            self.stage = RolloutStage.SHIFT
            # Nothing new is granted at the other versions from now on.
            self._frozen_baseline = list(self._baseline)
            self._broken_ms = now_ms
        self._stage_since_ms = now_ms
        self.finding = None

    def _finish(self, view: ServiceView, now_ms: int) -> RolloutState | None:
        may_be_resumed = now_ms - self._broken_ms < RESUME_WAIT_MS
        if self.elapsed_ms(now_ms) < self.record.period_ms * MIN_COMPLETE_SHARE:
            return None
        if self._overdue_share(now_ms) > MAX_OVERDUE_SHARE:
            return None
        if view.other_slots_used or view.has_unknown_slots or may_be_resumed:
            return None
        self.reason = "proven"
        return RolloutState.COMPLETE

    # Upstreams

    def _has_enough_slots(self, view: ServiceView) -> bool:
        slots: Counter[bool] = Counter()
        for upstream in view.upstreams:
            if not upstream.is_leaving:
                is_new = upstream.spec.software_version == self.version
                slots[is_new] += upstream.spec.max_slots
        return slots[True] >= slots[False] * MIN_SLOTS_RATIO

    def _update_trial_names(self, view: ServiceView) -> None:
        """Choose the upstreams that get trials.

        They are spread over the data centres, since one may be cut off. In the check
        they are few, so that these are under load, and the fastest, since a slow one
        can't be told from one of a bad version.
        """
        new = [
            upstream
            for upstream in view.upstreams
            if upstream.spec.software_version == self.version
            and not upstream.is_leaving
        ]
        count = max(MIN_TRIAL_UPSTREAMS, ceil(len(new) * TRIAL_SHARE))
        names = list(_spread(new))[:count]
        if self.stage is RolloutStage.CHECK:
            fastest = [name for name in self._fastest if name in names]
            names = list(dict.fromkeys([*fastest, *names]))[:CHECK_UPSTREAMS]
        self._trial_names = frozenset(names)


def _spread(upstreams: list[Upstream]) -> Iterator[str]:
    """Yield the names of upstreams, one of each data centre in turn."""
    by_data_centre: dict[str, list[str]] = defaultdict(list)
    for upstream in upstreams:
        by_data_centre[upstream.spec.data_centre].append(upstream.name)
    for names in by_data_centre.values():
        names.sort(key=_rank)
    for position in range(len(upstreams)):
        for data_centre in sorted(by_data_centre):
            names = by_data_centre[data_centre]
            if position < len(names):
                yield names[position]


def _rank(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8).digest()
