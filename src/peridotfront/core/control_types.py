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
    RolloutOrderStatus,
    RolloutRecord,
)


@dataclass(frozen=True, slots=True)
class ControlTiming:
    """Timeouts and size limits of the control role.

    :param heartbeat_ms: time between two heartbeats.
    :param host_timeout_ms: silence after which a host is considered lost.
    :param outcome_delay_ms: time that outcomes wait for claims to join their batch.
    :param batch_limit_ms: maximum wait of a batch while another one is in flight.
    :param max_batch: maximum number of claims and outcomes in one batch.
    :param max_batch_bytes: maximum size of the recorded answers in one batch; of a
        longer answer only the outcome is recorded.
    :param max_queued: maximum number of claims, outcomes and strike reports that wait
        for a batch.
    :param update_interval_ms: minimum time between two configurations sent to a host.
    :param update_retry_ms: least time before an unconfirmed version is sent again.
    :param take_over_silence_ms: silence after which a holder is considered dead; must
        exceed the holder's lease by more than the clock drift within the lease.
    :param operator_timeout_ms: time limit for a proposal.
    :param snapshot_entries: number of applied entries that triggers a snapshot.
    :param snapshot_bytes: estimated bytes of applied entries that trigger a snapshot,
        or the size of the last snapshot if that is larger.
    :param snapshot_slice_records: maximum number of snapshot records encoded per turn.
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
    """Event: set the limits of the claims, from the current configuration."""

    retention_ms: int = RETENTION_MS
    idempotent_retention_ms: int = IDEMPOTENT_RETENTION_MS
    max_bytes: int = MAX_BYTES


@dataclass(frozen=True, slots=True)
class OperatorStateQuery:
    """Event: an operator's query of the whole state.

    :param operation_id: identifier returned with the result; unique among the
        pending operations.
    """

    operation_id: int


@dataclass(frozen=True, slots=True)
class OperatorClaimQuery:
    """Event: an operator's query of the claim of a key."""

    operation_id: int
    key: str


@dataclass(frozen=True, slots=True)
class OperatorProposal:
    """Event: an operator's proposal of a validated configuration."""

    operation_id: int
    proposal: ConfigProposal


@dataclass(frozen=True, slots=True)
class OperatorRollout:
    """Event: an operator's order to move a service to a software version.

    :param order_id: unique id of this proposal.
    """

    operation_id: int
    order_id: str
    service: str
    version: str
    period_ms: int


@dataclass(frozen=True, slots=True)
class HostView:
    """Operator's view of a host.

    :param config_version: configuration version that the host has confirmed.
    :param silent_ms: time since its last heartbeat.
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
    """Operator's view of the control group.

    :param current: current configuration.
    :param history: configuration versions in the history, oldest first.
    :param laggards: entry hosts that have not confirmed the current version.
    :param is_leader: whether the answering replica is the leader.
    :param rollouts: latest rollout of each service.
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
    rollouts: tuple[RolloutRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigApplied:
    """Action: report the current configuration at the leader.

    The caller responds with the :class:`ClaimLimits` of that configuration.
    """

    version: int
    content: str


@dataclass(frozen=True, slots=True)
class OperatorStateResult:
    """Action: answer an :class:`OperatorStateQuery` with the current state."""

    operation_id: int
    view: ControlView


@dataclass(frozen=True, slots=True)
class OperatorClaimResult:
    """Action: answer an :class:`OperatorClaimQuery`.

    :param record: record of the claim; None if there is none.
    """

    operation_id: int
    record: ClaimRecord | None


@dataclass(frozen=True, slots=True)
class OperatorUnavailable:
    """Action: report that this replica cannot serve the operation.

    :param leader: host to ask instead; empty if no leader is known.
    """

    operation_id: int
    leader: str


@dataclass(frozen=True, slots=True)
class OperatorProposalResult:
    """Action: answer an :class:`OperatorProposal`.

    The status ``UNAVAILABLE`` does not say whether the proposal will be accepted. A
    repeat with the same change id gets the only result that the proposal has if the
    group assigns the version; else ``SUPERSEDED`` if the first one was accepted.

    :param leader: host to ask instead if the status is ``UNAVAILABLE``.
    """

    operation_id: int
    result: ConfigResult
    leader: str = ""


@dataclass(frozen=True, slots=True)
class OperatorRolloutResult:
    """Action: answer an :class:`OperatorRollout` with its committed result.

    :param record: rollout that was started, or that goes on already.
    """

    operation_id: int
    status: RolloutOrderStatus
    record: RolloutRecord


@dataclass(frozen=True, slots=True)
class ControllerDump:
    """Diagnostic view of a replica, whose state may be out of date.

    :param queued: number of claims, outcomes and strike reports in the queue.
    :param batches_in_flight: number of batches proposed and not yet committed.
    :param waiting_operators: number of reads and proposals not yet answered.
    :param orders: last committed orders to engines.
    """

    view: ControlView
    queued: int
    batches_in_flight: int
    waiting_operators: int
    entries_since_snapshot: int
    bytes_since_snapshot: int
    orders: tuple[OrderIssued, ...] = ()
