"""Rollouts of all services at the leader.

The leader judges new versions and decides their stages. The order and the end of each
rollout are replicated; what lies between is rebuilt by a new leader, which goes on from
the usage that the one before announced.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from ..actions import Log
from ..messages import (
    ListedUpstream,
    RolloutEnd,
    RolloutRecord,
    RolloutStage,
    RolloutStages,
    RolloutState,
    RolloutUsage,
    StagedVersion,
)
from ..scheduler import CellScheduler
from .exposure import RolloutLimits
from .gates import StagedGate, VersionGates
from .new_versions import NewVersions, versions_by_service
from .rollout import Rollout, ServiceView

# Upstreams of other versions are stopped at once, but listed for some seconds.
COMPLETE_GATE_MS = 30_000
USAGE_INTERVAL_MS = 200
PROGRESS_LOG_MS = 1000
# A proposal may be dropped when the leader changes.
PROPOSE_AGAIN_MS = 1000
STAGE_BY_STATE = {
    RolloutState.COMPLETE: RolloutStage.COMPLETE,
    RolloutState.REVERTED: RolloutStage.REVERTED,
}


@dataclass(frozen=True, slots=True)
class ProposeRolloutEnd:
    """Event for the controller: replicate the end of a rollout."""

    end: RolloutEnd


class RolloutManager:
    """Rollouts at the leader of the control group.

    :param limits: limits on unproven versions.
    :param gates: gates of the leader's schedulers.
    :param epoch: initial version of the announced stages, higher than those of earlier
        leaders.
    :param usages: what earlier leaders announced, by service.
    :param new_versions: times at which versions were first listed, also to earlier
        leaders.
    """

    def __init__(
        self,
        limits: RolloutLimits,
        gates: VersionGates,
        epoch: int,
        usages: dict[str, RolloutUsage],
        new_versions: NewVersions,
    ):
        self._limits = limits
        self._gates = gates
        self._usages = usages
        self._version = epoch
        self._rollouts: dict[str, Rollout] = {}
        self._ended: dict[str, RolloutRecord] = {}
        self._proposed_ms: dict[str, int] = {}
        self._decided: dict[str, RolloutState] = {}
        self._new_versions = new_versions
        self._held: dict[str, str] = {}
        self._versions: dict[str, set[str]] = {}
        self._usage_sent_ms = 0
        self._logged_ms = 0
        self._is_restored = False
        self._announced: tuple[StagedVersion, ...] = ()

    @property
    def stages(self) -> RolloutStages:
        """Return the stages for the entry hosts, in place of earlier leaders'."""
        return RolloutStages(self._version, self._announced)

    @property
    def rollouts(self) -> tuple[Rollout, ...]:
        """Return the rollouts that go on."""
        return tuple(self._rollouts.values())

    def apply_records(
        self, records: Iterable[RolloutRecord], time_ms: int, now_ms: int
    ) -> Iterator[Log]:
        """Start and end rollouts as the replicated records say.

        :param time_ms: time on the replicated clock.
        """
        for record in records:
            if record.state is RolloutState.ROLLING:
                yield from self._start(record, time_ms, now_ms)
            else:
                yield from self._end(record, time_ms)
        self._is_restored = True
        self._update_stages()

    def apply_upstreams(
        self, upstreams: Iterable[ListedUpstream], now_ms: int
    ) -> Iterator[Log]:
        """Apply a new list of upstreams."""
        self._versions = versions_by_service(upstreams)
        self._lift_complete_gates(0)
        self._new_versions.update(self._versions, now_ms)
        yield from self._hold_new_versions(now_ms)

    def advance(
        self,
        schedulers: dict[str, CellScheduler],
        has_unknown_slots: bool,
        time_ms: int,
        now_ms: int,
    ) -> Iterator[Any]:
        """Advance all rollouts.

        :param has_unknown_slots: whether hosts may hold slots that they don't report.
        :return: logs and ends to replicate.
        """
        yield from self._hold_new_versions(now_ms)
        self._lift_complete_gates(time_ms)
        for service, rollout in tuple(self._rollouts.items()):
            proposed_ms = self._proposed_ms.get(service)
            if proposed_ms is not None and now_ms - proposed_ms < PROPOSE_AGAIN_MS:
                continue
            earlier = rollout.stage
            view = _view(schedulers.get(service), rollout.version, has_unknown_slots)
            state = self._decided.get(service) or rollout.advance(view, now_ms)
            if rollout.stage is not earlier:
                self._gates.set(service, rollout)
                yield _build_stage_log(rollout)
            if state is not None:
                self._decided[service] = state
                self._proposed_ms[service] = now_ms
                yield from self._propose_end(rollout, state, time_ms)
        self._update_stages()
        if self._rollouts and now_ms - self._logged_ms >= PROGRESS_LOG_MS:
            self._logged_ms = now_ms
            yield from map(_build_progress_log, self._rollouts.values())

    def take_usages(self, now_ms: int) -> tuple[RolloutUsage, ...]:
        """Return what the rollouts have used, from time to time, for later leaders."""
        if now_ms - self._usage_sent_ms < USAGE_INTERVAL_MS:
            return ()
        self._usage_sent_ms = now_ms
        return tuple([r.usage(now_ms) for r in self._rollouts.values()])

    def _start(self, record: RolloutRecord, time_ms: int, now_ms: int) -> Iterator[Log]:
        known = self._rollouts.get(record.service)
        if known is not None and known.record.number == record.number:
            return
        usage = self._usages.get(record.service)
        if usage is not None and usage.number != record.number:
            usage = None
        elapsed_ms = max(0, time_ms - record.ordered_ms)
        if usage is not None:
            elapsed_ms = max(elapsed_ms, usage.elapsed_ms)
        rollout = Rollout(
            record,
            self._limits,
            now_ms,
            elapsed_ms=elapsed_ms,
            usage=usage,
            is_first_leader=self._is_restored,
        )
        self._proposed_ms.pop(record.service, None)
        self._decided.pop(record.service, None)
        self._ended.pop(record.service, None)
        self._rollouts[record.service] = rollout
        self._held.pop(record.service, None)
        self._gates.set(record.service, rollout)
        yield _build_stage_log(rollout)

    def _end(self, record: RolloutRecord, time_ms: int) -> Iterator[Log]:
        known = self._ended.get(record.service)
        if known is not None and known.number == record.number:
            return
        rollout = self._rollouts.pop(record.service, None)
        self._ended[record.service] = record
        is_recent = time_ms - record.ended_ms < COMPLETE_GATE_MS
        if record.state is RolloutState.REVERTED or is_recent:
            stage = STAGE_BY_STATE[record.state]
            self._gates.set(record.service, StagedGate(record.version, stage))
        if rollout is not None:
            fields = (
                ("service", record.service),
                ("version", record.version),
                ("state", record.state),
                ("reason", record.reason),
                *_usage_fields(rollout),
            )
            yield Log("rollout_ended", fields)

    def _lift_complete_gates(self, time_ms: int) -> None:
        """Remove the gates of complete rollouts whose other versions have left.

        :param time_ms: time on the replicated clock.
        """
        for service, record in self._ended.items():
            if record.state is not RolloutState.COMPLETE or service in self._held:
                continue
            others = self._versions.get(service, set()) - {record.version}
            if not others or time_ms - record.ended_ms >= COMPLETE_GATE_MS:
                self._gates.set(service, None)

    def _hold_new_versions(self, now_ms: int) -> Iterator[Log]:
        """Hold back versions that were just listed, since an order may follow."""
        for service, versions in self._versions.items():
            held = ""
            if service not in self._rollouts and len(versions) > 1:
                held = self._new_versions.newest_recent(service, now_ms)
            if self._is_ordered(service, held):
                held = ""
            if held == self._held.get(service, ""):
                continue
            if held:
                self._held[service] = held
                self._gates.set(service, StagedGate(held, RolloutStage.CANARY))
                fields = (("service", service), ("version", held))
                yield Log("version_held", fields)
            elif self._held.pop(service, ""):
                self._restore_gate(service)

    def _is_ordered(self, service: str, version: str) -> bool:
        """Return whether the service's last rollout was to a version.

        A rollout may end while its version is still new; its end applies then.
        """
        record = self._ended.get(service)
        return record is not None and record.version == version

    def _restore_gate(self, service: str) -> None:
        """Put the gate of the service's last rollout in place of that of a hold."""
        record = self._ended.get(service)
        gate = None
        if record is not None and record.state is RolloutState.REVERTED:
            gate = StagedGate(record.version, RolloutStage.REVERTED)
        self._gates.set(service, gate)

    def _propose_end(
        self, rollout: Rollout, state: RolloutState, time_ms: int
    ) -> Iterator[ProposeRolloutEnd]:
        record = rollout.record
        if state is RolloutState.REVERTED:
            # No request is to wait for the disks of the control group.
            stage = RolloutStage.REVERTED
            self._gates.set(record.service, StagedGate(record.version, stage))
        yield ProposeRolloutEnd(
            RolloutEnd(record.service, record.number, state, rollout.reason, time_ms)
        )

    def _update_stages(self) -> None:
        rolling = [
            StagedVersion(r.record.service, r.version, r.stage)
            for r in self._rollouts.values()
        ]
        ended = [
            StagedVersion(record.service, record.version, STAGE_BY_STATE[record.state])
            for record in self._ended.values()
            if self._gates.get(record.service) is not None
        ]
        announced = (*rolling, *ended)
        if announced != self._announced:
            self._version += 1
            self._announced = announced


def _view(
    scheduler: CellScheduler | None, version: str, has_unknown_slots: bool
) -> ServiceView:
    if scheduler is None:
        return ServiceView((), 0, has_unknown_slots)
    slots = scheduler.used_slots_by_version()
    others = sum(slots.values()) - slots[version]
    return ServiceView(scheduler.upstreams, others, has_unknown_slots)


def _build_stage_log(rollout: Rollout) -> Log:
    record = rollout.record
    fields = (
        ("service", record.service),
        ("version", record.version),
        ("stage", rollout.stage),
        ("period_ms", record.period_ms),
        *_usage_fields(rollout),
    )
    return Log("rollout_stage", fields)


def _build_progress_log(rollout: Rollout) -> Log:
    finding = rollout.finding
    routes = finding.routes if finding else ()
    unproven = finding.unproven_routes if finding else ()
    fields = (
        ("service", rollout.record.service),
        ("stage", rollout.stage),
        *_usage_fields(rollout),
        ("routes", ",".join([_format_route(route) for route in routes])),
        ("unproven", ",".join(sorted(unproven))),
    )
    return Log("rollout_progress", fields)


def _usage_fields(rollout: Rollout) -> tuple[tuple[str, Any], ...]:
    return (
        ("requests", rollout.exposure.requests),
        ("exposed", rollout.exposure.exposed),
        ("bad_answers", rollout.bad_answers),
    )


def _format_route(route: Any) -> str:
    return f"{route.route}:{route.answers}:{route.failed}:{route.slow}"
