"""What the end of a request says of its upstream, and of the link that it took."""

from collections.abc import Iterator

from .actions import Log
from .brittle_upstreams import BrittleUpstreams
from .crash_recorder import CrashRecorder
from .drain_rate import DrainRate
from .host_reach import HostReach
from .messages import Release, ReleaseCause
from .placement import Upstream
from .poison_detection import PoisonDetector
from .upstream_capacity import Slot
from .upstream_limits import UpstreamLimits

ABSENT_CAUSES = (ReleaseCause.UNREACHABLE, ReleaseCause.OTHER_UPSTREAM)
OWN_ANSWER_CAUSES = (
    ReleaseCause.COMPLETED,
    ReleaseCause.UPSTREAM_ERROR,
    ReleaseCause.REJECTED,
)
ANSWERED_CAUSES = (*OWN_ANSWER_CAUSES, ReleaseCause.OTHER_UPSTREAM)
# The relay itself may be frozen or out of reach.
RELAY_CAUSES = (
    ReleaseCause.RELAY_UNREACHABLE,
    ReleaseCause.RELAY_LOST,
    ReleaseCause.UPSTREAM_TIMEOUT,
)
FAILED_CAUSES = (ReleaseCause.UPSTREAM_ERROR, ReleaseCause.REJECTED)


class EndRecorder:
    """Recorder of how requests end, for all that judges upstreams and links.

    :param reach: evidence on the links between entry hosts and upstreams.
    :param limits: limits that upstreams have named.
    :param brittle: upstreams that must not reject many requests.
    :param poison_detector: detector of requests that crash upstreams.
    :param crashes: recorder of crashes and signs of life.
    :param drain_rate: estimator whose capacities depend on the upstreams in service.
    """

    def __init__(
        self,
        reach: HostReach,
        limits: UpstreamLimits,
        brittle: BrittleUpstreams,
        poison_detector: PoisonDetector,
        crashes: CrashRecorder,
        drain_rate: DrainRate,
    ):
        self._reach = reach
        self._limits = limits
        self._brittle = brittle
        self._poison_detector = poison_detector
        self._crashes = crashes
        self._drain_rate = drain_rate

    def record(
        self, upstream: Upstream, slot: Slot, release: Release, now_ms: int
    ) -> Iterator[Log]:
        """Record the end of a request whose slot has been vacated."""
        earlier_state = upstream.health.state
        if self._record_link(slot, release.cause, now_ms):
            yield from self._record_upstream(upstream, slot, release, now_ms)
        if upstream.slow_start is not None:
            upstream.slow_start.observe_health(
                earlier_state, upstream.health.state, release.cause
            )
        if upstream.health.state is not earlier_state:
            yield _build_circuit_log(upstream, slot.sender, release.cause)

    def reinstate(self, upstream: Upstream) -> Iterator[Log]:
        """Close the circuit of an upstream that hosts without links had reported."""
        upstream.health.reinstate()
        self._drain_rate.invalidate_capacities()
        yield _build_circuit_log(upstream, "", None)

    def _record_link(self, slot: Slot, cause: ReleaseCause, now_ms: int) -> bool:
        """Record what an end says of the link that the request took.

        :return: whether it says something of the upstream.
        """
        link = (slot.sender, slot.upstream)
        if cause in ANSWERED_CAUSES:
            self._reach.record_answer(*link, now_ms)
            return True
        if cause is ReleaseCause.UNREACHABLE:
            return self._reach.record_unreachable(*link, now_ms)
        if cause is ReleaseCause.UPSTREAM_DIED:
            return self._reach.record_broken(*link, now_ms)
        if cause in RELAY_CAUSES and slot.relay:
            self._reach.record_refused_relay(slot.host, slot.relay, now_ms)
            return False
        if cause is ReleaseCause.UPSTREAM_TIMEOUT:
            return self._reach.record_silence(*link, now_ms)
        return True

    def _record_upstream(
        self, upstream: Upstream, slot: Slot, release: Release, now_ms: int
    ) -> Iterator[Log]:
        cause = release.cause
        health = upstream.health
        rejections_per_s = release.rejections_per_s
        if cause in OWN_ANSWER_CAUSES and rejections_per_s is not None:
            self._brittle.record_answer(slot.upstream, rejections_per_s, now_ms)
        if cause is ReleaseCause.REJECTED and self._is_expected_rejection(
            upstream, slot, now_ms
        ):
            return
        if cause is ReleaseCause.COMPLETED:
            self._limits.accepted(slot.upstream)
            limit = int(upstream.capacity.limit_slots)
            health.progressed(slot.granted_ms, limit, now_ms)
            health.completed()
            self._poison_detector.completed(slot.slot_request.fingerprint)
            self._crashes.record_end(slot, release.is_end_certain, now_ms)
        elif cause is ReleaseCause.UPSTREAM_DIED:
            yield from self._record_crash(upstream, slot, now_ms)
        elif cause in ABSENT_CAUSES:
            # The request was not executed there, so it gets no strike.
            health.unreachable(now_ms)
            self._crashes.record_crash(upstream.name, [], now_ms)
            self._drain_rate.invalidate_capacities()
        elif cause is ReleaseCause.UPSTREAM_TIMEOUT:
            health.failed(True, now_ms)
        elif cause in FAILED_CAUSES:
            health.failed(False, now_ms)

    def _is_expected_rejection(
        self, upstream: Upstream, slot: Slot, now_ms: int
    ) -> bool:
        """Record a rejection, and return whether the upstream's limits explain it."""
        is_limited = self._limits.rejected(slot.upstream, slot.granted_ms, now_ms)
        is_brittle = self._brittle.record_rejection(
            slot.upstream, len(upstream.capacity.slots), now_ms
        )
        return is_limited or is_brittle

    def _record_crash(
        self, upstream: Upstream, slot: Slot, now_ms: int
    ) -> Iterator[Log]:
        if not upstream.health.died(slot.granted_ms, now_ms):
            return
        executed = [slot, *upstream.capacity.slots.values()]
        fingerprints = [active.slot_request.fingerprint for active in executed]
        self._poison_detector.upstream_died(fingerprints)
        strikes = [self._poison_detector.strikes(f) for f in fingerprints]
        self._crashes.record_crash(
            upstream.name, [active.slot_request for active in executed], now_ms
        )
        yield _build_crash_log(upstream.name, executed, strikes)
        upstream.prefixes.clear()
        self._drain_rate.invalidate_capacities()


def _build_crash_log(upstream: str, executed: list[Slot], strikes: list[int]) -> Log:
    ids = [slot.slot_request.request_id for slot in executed]
    fields = (
        ("upstream", upstream),
        ("requests", ",".join(ids)),
        ("strikes", ",".join(map(str, strikes))),
    )
    return Log("upstream_crashed", fields)


def _build_circuit_log(
    upstream: Upstream, reporter: str, cause: ReleaseCause | None
) -> Log:
    fields = (
        ("upstream", upstream.name),
        ("state", upstream.health.state),
        ("cause", cause or "reinstated"),
        ("reporter", reporter),
        ("used_slots", len(upstream.capacity.slots)),
        ("max_slots", upstream.capacity.max_slots),
    )
    return Log("circuit_changed", fields)
