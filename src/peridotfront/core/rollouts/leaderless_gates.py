"""Gates of an entry host that schedules for itself while it has no leader."""

from collections.abc import Iterable

from ..messages import ListedUpstream, RolloutStage, RolloutStages, StagedVersion
from .exposure import RolloutLimits
from .gates import StagedGate, VersionGates
from .new_versions import NewVersions, versions_by_service

ENDED_STAGES = (RolloutStage.COMPLETE, RolloutStage.REVERTED)


class LeaderlessGates:
    """Gates that follow the announced stages, and hold back versions without one.

    The control group may have accepted an order of which this host doesn't know. So a
    version that was new when the leader was lost, or is first listed later, gets
    nothing while there is no leader.

    :param limits: limits on unproven versions; without a share nothing is held back.
    :param gates: gates of the host's own schedulers.
    """

    def __init__(self, limits: RolloutLimits, gates: VersionGates):
        self._is_enabled = limits.share > 0
        self._gates = gates
        self._stages = RolloutStages(0, ())
        self._new_versions = NewVersions()
        self._versions: dict[str, set[str]] = {}

    @property
    def stages_version(self) -> int:
        """Return the version of the announced stages; 0 if there are none."""
        return self._stages.version

    def announce(self, stages: RolloutStages) -> None:
        """Apply the stages that a leader announced, unless newer ones are known."""
        if stages.version > self._stages.version:
            self._stages = stages
            self._gates.replace(stages.rollouts)

    def apply_upstreams(self, upstreams: Iterable[ListedUpstream], now_ms: int) -> None:
        """Apply a list of upstreams, of a leader or read without one."""
        if self._is_enabled:
            self._versions = versions_by_service(upstreams)
            self._new_versions.update(self._versions, now_ms)

    def split(
        self, upstreams: Iterable[ListedUpstream]
    ) -> tuple[list[ListedUpstream], list[ListedUpstream]]:
        """Return the upstreams of the versions in service, and the others."""
        in_service: list[ListedUpstream] = []
        others: list[ListedUpstream] = []
        for listed in upstreams:
            is_served = self._gates.serves(listed.service, listed.software_version)
            (in_service if is_served else others).append(listed)
        return in_service, others

    def hold(self, leaderless_since_ms: int) -> None:
        """Set the gates for the time without a leader."""
        self._gates.replace(self._stages.rollouts)
        announced = {staged.service: staged for staged in self._stages.rollouts}
        for service, versions in self._versions.items():
            held = self._new_versions.newest_recent(service, leaderless_since_ms)
            is_held = held and len(versions) > 1
            if is_held and not _covers(announced.get(service), held):
                self._gates.set(service, StagedGate(held, RolloutStage.CANARY))


def _covers(staged: StagedVersion | None, version: str) -> bool:
    """Return whether an announced stage decides on a version that is new.

    That of a rollout that has ended says nothing about a later version.
    """
    if staged is None:
        return False
    return staged.stage not in ENDED_STAGES or staged.version == version
