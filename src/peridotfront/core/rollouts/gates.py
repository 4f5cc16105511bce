"""Software versions of a service's upstreams that requests may go to.

While a service is rolled out to a new version, its scheduler asks a gate which
upstreams to choose from. A service without a rollout has no gate.
"""

from collections.abc import Iterable, Iterator
from typing import Protocol

from ..messages import Release, RolloutStage, SlotRequest, StagedVersion
from ..placement import Upstream
from ..upstream_capacity import Slot

NEW_VERSION_STAGES = (RolloutStage.SHIFT, RolloutStage.COMPLETE)


class VersionGate(Protocol):
    """Interface of a gate as the scheduler of a service uses it."""

    def serves(self, version: str) -> bool:
        """Return whether requests without a version may go to a version."""

    def usable(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return the upstreams that requests without a version may go to."""

    def may_resume_at(self, version: str) -> bool:
        """Return whether a begun stream may go on at a version."""

    def trial(
        self, slot_request: SlotRequest, upstreams: list[Upstream]
    ) -> list[Upstream]:
        """Return upstreams of an unproven version to try first; empty for none."""

    def granted(self, slot: Slot, upstream: Upstream, now_ms: int) -> None:
        """Record a grant of a slot."""

    def ended(
        self, slot: Slot, upstream: Upstream, release: Release, now_ms: int
    ) -> None:
        """Record the end of a request."""

    def forget(self, request_id: str) -> None:
        """Drop a request whose end is not known."""


class StagedGate:
    """Gate that follows the stage of a rollout and gives no unproven version a trial.

    Hosts that schedule for themselves use it, since only the leader knows how much an
    unproven version has got.
    """

    def __init__(self, version: str, stage: RolloutStage):
        self.version = version
        self.stage = stage

    def serves(self, version: str) -> bool:
        """Return whether a version is in service."""
        return (version == self.version) == (self.stage in NEW_VERSION_STAGES)

    def usable(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return the upstreams of the versions in service.

        All are returned if none of these is listed, since there is no other choice.
        """
        allowed = [u for u in upstreams if self.serves(u.spec.software_version)]
        if any(not upstream.is_leaving for upstream in allowed):
            return allowed
        return upstreams

    def may_resume_at(self, version: str) -> bool:
        """Return whether a begun stream may go on at a version."""
        if self.stage is RolloutStage.REVERTED:
            return version != self.version
        return self.stage is not RolloutStage.COMPLETE or version == self.version

    def trial(
        self, slot_request: SlotRequest, upstreams: list[Upstream]
    ) -> list[Upstream]:
        """Return no upstreams."""
        return []

    def granted(self, slot: Slot, upstream: Upstream, now_ms: int) -> None:
        """Do nothing."""

    def ended(
        self, slot: Slot, upstream: Upstream, release: Release, now_ms: int
    ) -> None:
        """Do nothing."""

    def forget(self, request_id: str) -> None:
        """Do nothing."""


class VersionGates:
    """Gates by service.

    ``revision`` grows with each change, so that schedulers notice it.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._gates: dict[str, VersionGate] = {}

    def __len__(self) -> int:
        return len(self._gates)

    def get(self, service: str) -> VersionGate | None:
        """Return the gate of a service; None if all its versions are in service."""
        return self._gates.get(service)

    def serves(self, service: str, version: str) -> bool:
        """Return whether requests without a version may go to a version."""
        gate = self._gates.get(service)
        return gate is None or gate.serves(version)

    def set(self, service: str, gate: VersionGate | None) -> None:
        """Set or remove the gate of a service."""
        if gate is None and service not in self._gates:
            return
        self.revision += 1
        if gate is None:
            del self._gates[service]
        else:
            self._gates[service] = gate

    def replace(self, staged: Iterable[StagedVersion]) -> None:
        """Replace all gates with those of the stages that a leader announced."""
        self.revision += 1
        self._gates = dict(_build_gates(staged))


def _build_gates(staged: Iterable[StagedVersion]) -> Iterator[tuple[str, StagedGate]]:
    for rollout in staged:
        yield rollout.service, StagedGate(rollout.version, rollout.stage)
