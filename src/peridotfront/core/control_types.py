"""Events, actions, settings and views of the control role."""

from dataclasses import dataclass

from .claims import IDEMPOTENT_RETENTION_MS, MAX_BYTES, RETENTION_MS
from .messages import (
    ClaimRecord,
    ConfigProposal,
    ConfigRecord,
    ConfigResult,
    OrderIssued,
    Replica,
)


@dataclass(frozen=True, slots=True)
class ControlTiming:
    """Holds the times and sizes of the control role.

    :param outcome_delay_ms: how long outcomes wait for claims to join their batch.
    :param batch_limit_ms: how long it waits at most while a batch is on its way.
    :param max_batch: parts of one batch at most.
    :param max_batch_bytes: of recorded answers in one batch at most; an answer that
        is longer by itself is not recorded, only how its request ended.
    :param max_queued: claims and outcomes waiting for a batch at most.
    :param update_interval_ms: between two configurations sent to one host.
    :param update_retry_ms: until a version that was not confirmed is sent again.
    :param take_over_silence_ms: silence after which a holder is judged dead; must
        exceed the holder's lease by more than clocks can drift apart in it.
    :param operator_timeout_ms: until an operator's proposal is given up.
    :param snapshot_entries: entries applied until the next snapshot.
    :param snapshot_bytes: estimated bytes applied until the next snapshot; a
        snapshot that is larger is made as rarely as its own size demands.
    :param snapshot_slice_records: records of a snapshot encoded in one turn.
    """

    heartbeat_ms: int = 150
    host_timeout_ms: int = 1500
    outcome_delay_ms: int = 20
    batch_limit_ms: int = 20
    max_batch: int = 256
    max_batch_bytes: int = 1_048_576
    max_queued: int = 10_000
    update_interval_ms: int = 200
    update_retry_ms: int = 500
    take_over_silence_ms: int = 4000
    operator_timeout_ms: int = 3000
    snapshot_entries: int = 5000
    snapshot_bytes: int = 8_388_608
    snapshot_slice_records: int = 200


@dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Event: sets the bounds of the claims, from the configuration in force."""

    retention_ms: int = RETENTION_MS
    idempotent_retention_ms: int = IDEMPOTENT_RETENTION_MS
    max_bytes: int = MAX_BYTES


@dataclass(frozen=True, slots=True)
class OperatorStateQuery:
    """Event: an operator asks for the state.

    :param operation_id: returned with the answer; not in use by another operation.
    """

    operation_id: int


@dataclass(frozen=True, slots=True)
class OperatorClaimQuery:
    """Event: an operator asks for the claim of a key."""

    operation_id: int
    key: str


@dataclass(frozen=True, slots=True)
class OperatorProposal:
    """Event: an operator proposes a configuration that was checked."""

    operation_id: int
    proposal: ConfigProposal


@dataclass(frozen=True, slots=True)
class HostView:
    """Describes a host to operators.

    :param config_version: the version that it confirmed.
    :param silent_ms: since its last heartbeat.
    """

    host: str
    incarnation: int
    role: str
    data_centre: str
    config_version: int
    silent_ms: int
    is_alive: bool
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class ControlView:
    """Describes the state of the control group to operators.

    :param current: the configuration in force.
    :param history: versions kept, oldest first.
    :param laggards: entry hosts that have not confirmed the current version.
    :param is_leader: whether the replica that answers is the leader.
    """

    host: str
    current: ConfigRecord
    history: tuple[ConfigRecord, ...]
    hosts: tuple[HostView, ...]
    laggards: tuple[str, ...]
    is_leader: bool
    leader: str
    term: int
    commit_index: int
    last_applied: int
    voters: tuple[Replica, ...]
    learners: tuple[Replica, ...]
    claims: int
    open_claims: int
    claims_size_bytes: int
    struck_requests: int


@dataclass(frozen=True, slots=True)
class ConfigApplied:
    """Action: tells the leader's program which configuration is in force.

    The program answers by the :class:`ClaimLimits` that it sets.
    """

    version: int
    content: str


@dataclass(frozen=True, slots=True)
class OperatorStateResult:
    """Action: answers an :class:`OperatorStateQuery` with the state that stands."""

    operation_id: int
    view: ControlView


@dataclass(frozen=True, slots=True)
class OperatorClaimResult:
    """Action: answers an :class:`OperatorClaimQuery`; None if there is no claim."""

    operation_id: int
    record: ClaimRecord | None


@dataclass(frozen=True, slots=True)
class OperatorUnavailable:
    """Action: this replica cannot serve the operation.

    :param leader: where to ask instead; empty if no leader is known.
    """

    operation_id: int
    leader: str


@dataclass(frozen=True, slots=True)
class OperatorProposalResult:
    """Action: answers an :class:`OperatorProposal`.

    The status ``UNAVAILABLE`` leaves open whether the proposal will be accepted;
    repeated with the same change id it gets the one outcome that it has.

    :param leader: where to ask instead if the status is ``UNAVAILABLE``.
    """

    operation_id: int
    result: ConfigResult
    leader: str = ""


@dataclass(frozen=True, slots=True)
class ControllerDump:
    """Describes a replica to operators, from its own possibly old state.

    :param queued: claims and outcomes that wait for a batch.
    :param batches_in_flight: proposed and not yet committed.
    :param waiting_operators: operations not yet answered.
    :param orders: the last orders to engines that were logged.
    """

    view: ControlView
    queued: int
    batches_in_flight: int
    waiting_operators: int
    entries_since_snapshot: int
    bytes_since_snapshot: int
    orders: tuple[OrderIssued, ...] = ()
