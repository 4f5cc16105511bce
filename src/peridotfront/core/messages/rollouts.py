"""Messages about rollouts: a service that is moved to another software version."""

from dataclasses import dataclass
from enum import StrEnum


class RolloutState(StrEnum):
    """State of a rollout, as operators see it.

    ``COMPLETE``: the upstreams of other versions may be stopped. ``REVERTED``: those
    of the new version may be stopped.
    """

    ROLLING = "rolling"
    COMPLETE = "complete"
    REVERTED = "reverted"


class RolloutStage(StrEnum):
    """Stage of a rollout, which decides what the new version may get.

    ``CANARY``: a small share of the requests. ``CHECK``: as many as the limits on an
    unproven version allow, so that it is seen under load. ``SHIFT``: all new requests,
    while those at other versions finish.
    """

    CANARY = "canary"
    CHECK = "check"
    SHIFT = "shift"
    COMPLETE = "complete"
    REVERTED = "reverted"


class RolloutOrderStatus(StrEnum):
    """Result of an operator's order."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    IN_PROGRESS = "in_progress"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Command that records an operator's order to roll out a version.

    :param order_id: unique id of the proposal.
    :param version: software version that the service is moved to.
    :param period_ms: time within which the rollout should end.
    :param time_ms: time on the replicated clock, which runs only under a leader.
    """

    order_id: str
    service: str
    version: str
    period_ms: int
    time_ms: int


@dataclass(frozen=True, slots=True)
class RolloutEnd:
    """Command that records the end of a rollout.

    :param number: number of the rollout that ends.
    :param state: ``COMPLETE`` or ``REVERTED``.
    :param reason: reason for operators.
    """

    service: str
    number: int
    state: RolloutState
    reason: str
    time_ms: int


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """Latest rollout of a service.

    :param number: number of the rollout; unique, and higher than of earlier ones.
    :param ordered_ms: time of the order, on the replicated clock.
    :param ended_ms: time of the end, likewise; 0 while it is rolling.
    :param reason: reason for the end; empty while it is rolling.
    """

    service: str
    version: str
    period_ms: int
    number: int
    state: RolloutState
    ordered_ms: int
    ended_ms: int = 0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class RolloutsSnapshot:
    """Complete state of the rollouts."""

    time_ms: int = 0
    last_number: int = 0
    records: tuple[RolloutRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class StagedVersion:
    """Version that a service is moved to, and the stage of its rollout."""

    service: str
    version: str
    stage: RolloutStage


@dataclass(frozen=True, slots=True)
class RolloutStages:
    """Stages of all rollouts, from the leader to the entry hosts.

    :param version: version of the stages; a higher one replaces a lower one.
    """

    version: int
    rollouts: tuple[StagedVersion, ...]


@dataclass(frozen=True, slots=True)
class RolloutUsage:
    """What a rollout has used so far, from the leader to the other replicas.

    A new leader goes on from it, so that a change of the leader gives an unproven
    version no more requests than it may get.

    :param number: number of the rollout.
    :param elapsed_ms: time since the order.
    :param requests: requests of the service since the order.
    :param exposed: those among them that were granted at the new version.
    :param bad_answers: failed or slow answers of the new version.
    """

    service: str
    number: int
    elapsed_ms: int
    requests: int
    exposed: int
    bad_answers: int


ROLLOUT_MESSAGES = (RolloutStages, RolloutUsage)
