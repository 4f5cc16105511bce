"""Messages to and from the control group, and commands of its replicated log."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import ClassVar, Union

from ..verdicts import Reason, Verdict
from .crashes import CrashBatch, CrashesSnapshot
from .rollouts import RolloutEnd, RolloutOrder, RolloutsSnapshot


class ClaimStatus(StrEnum):
    """Result of a claim request or of a key lookup."""

    FREE = "free"
    GRANTED = "granted"
    HELD = "held"
    ENDED = "ended"
    KEY_REUSED = "key_reused"
    UNAVAILABLE = "unavailable"
    FULL = "full"


class ChangeStatus(StrEnum):
    """Result of a configuration proposal."""

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class Header:
    """Header field of a recorded answer."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Outcome:
    """Recorded outcome of a request.

    :param status_code: HTTP status of the answer; 0 if there was none.
    :param body: complete answer, if it was short enough to be recorded.
    :param is_replayable: whether ``body`` holds the complete answer.
    """

    verdict: Verdict
    reason: Reason
    status_code: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    is_replayable: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """Right to dispatch the request with a given idempotency key.

    :param key: client account, service and idempotency key, joined.
    :param fingerprint: hash of the canonical request; a key must not be used
        for a different request.
    :param epoch: 1 for the first holder; one more for each takeover, and for
        each new holder after an outcome with the verdict "not run".
    :param holder_host: host that holds the claim.
    :param holder_incarnation: incarnation of that host.
    :param is_resume_only: set for a takeover; its holder may resume the answer
        at the upstream but must not dispatch the request.
    """

    key: str
    fingerprint: int
    epoch: int
    holder_host: str
    holder_incarnation: int
    upstream: str
    is_idempotent: bool
    is_resume_only: bool = False


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Request to be recorded as the holder of a claim before a dispatch.

    A ``claim.epoch`` above 1 requests the takeover of the claim with the previous
    epoch.
    """

    request_id: str
    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Reply to a :class:`ClaimRequest` with the current claim."""

    request_id: str
    key: str
    status: ClaimStatus
    claim: Claim | None = None
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class KeyQuery:
    """Query whether an idempotency key is in use, without claiming it."""

    request_id: str
    key: str
    fingerprint: int


@dataclass(frozen=True, slots=True)
class KeyReply:
    """Reply to a :class:`KeyQuery` with the current claim, if there is one."""

    reply: ClaimReply


@dataclass(frozen=True, slots=True)
class OutcomeReport:
    """Report of the outcome of a claimed request, resent until acknowledged.

    :param holder_host: reporting host; set by the control host that receives the
        report, so that only the holder itself can end a claim.
    :param holder_incarnation: incarnation of the reporting host; set likewise.
    """

    key: str
    epoch: int
    outcome: Outcome
    holder_host: str = ""
    holder_incarnation: int = 0


@dataclass(frozen=True, slots=True)
class OutcomeAck:
    """Acknowledgement of an :class:`OutcomeReport` that is durable.

    :param is_superseded: whether another outcome or a later epoch is recorded.
    """

    key: str
    epoch: int
    is_superseded: bool = False


@dataclass(frozen=True, slots=True)
class ConfigProposal:
    """Proposal of a new configuration.

    :param change_id: id chosen by the operator; if the group assigns the version, a
        repeated id gets the first result.
    :param base_version: version that the operator edited.
    :param content: complete new configuration as text.
    :param version: version number assigned by the operator; the proposal is accepted
        if it is higher than the current one. With 0 the group assigns the number and
        compares ``base_version`` instead.
    """

    change_id: str
    base_version: int
    author: str
    content: str
    version: int = 0


@dataclass(frozen=True, slots=True)
class ConfigResult:
    """Reply to a :class:`ConfigProposal`.

    :param version: accepted version, or the current one after a conflict.
    :param author: author of that version.
    :param detail: explanation for the operator.
    """

    change_id: str
    status: ChangeStatus
    version: int
    author: str = ""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """Active configuration, sent to an entry host.

    :param content: configuration as text; empty if it is packed.
    :param packed_content: compressed configuration; empty if it is not packed.
    """

    version: int
    change_id: str
    author: str
    content: str
    packed_content: bytes = b""


@dataclass(frozen=True, slots=True)
class AllowanceShare:
    """Share of an account's allowance that is spent, or that may be spent.

    :param share: share of the limit; 1 for all of it.
    """

    proto_name: ClassVar[str] = "SpentShare"

    client_account: str
    share: float


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sign of life of a host, with its versions and the leader that it follows.

    :param sequence: number that grows with each heartbeat of the host.
    :param config_version: configuration version that is active at the sender.
    :param leader: control leader known to the sender; empty if none. It shows that
        leader that its own heartbeats arrive.
    :param term: term of that leader; 0 if the sender is not a replica.
    :param control_hosts: replicas known to the sender; empty if it is not a replica.
    :param entry_hosts: number of entry hosts that the sender counts as alive; 0 if it
        is not the leader, or has not led for long enough to know.
    :param upstreams_version: version of the list of upstreams held by the sender.
    :param ceilings: shares that the leader may spend of the allowances of accounts that
        use much of them; set only by a leader.
    :param crashing_parts_digest: hash of the parts known to the sender that crash
        upstreams; 0 if there are none, or if it is not an entry host.
    :param shares_version: version of the ceilings that the sender knows; 0 for none.
    :param stages_version: version of the stages of rollouts that the sender knows; 0
        for none.
    :param reads_packed_config: whether the sender reads compressed configurations.
    """

    data_centre: str
    role: str
    sequence: int
    config_version: int
    is_leaving: bool
    leader: str = ""
    term: int = 0
    control_hosts: tuple[str, ...] = ()
    entry_hosts: int = 0
    upstreams_version: int = 0
    ceilings: tuple[AllowanceShare, ...] = field(
        default=(), metadata={"proto_name": "spent"}
    )
    crashing_parts_digest: int = 0
    shares_version: int = 0
    stages_version: int = 0
    reads_packed_config: bool = False


@dataclass(frozen=True, slots=True)
class StrikeReport:
    """Report that an upstream died while it executed the given requests.

    :param fingerprints: fingerprints of the requests.
    :param report_id: unique id of the report; a repeated report counts once.
    """

    upstream: str
    fingerprints: tuple[int, ...]
    report_id: str = ""


@dataclass(frozen=True, slots=True)
class StrikeUpdate:
    """Number of active strikes against a request, sent to entry hosts."""

    fingerprint: int
    strikes: int


@dataclass(frozen=True, slots=True)
class NoOp:
    """Empty command that commits the entries of earlier terms after an election."""


@dataclass(frozen=True, slots=True)
class Replica:
    """Replica of the control group, identified by host and disk incarnation."""

    host: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """Command that sets the voters and learners of the control group."""

    voters: tuple[Replica, ...]
    learners: tuple[Replica, ...]


@dataclass(frozen=True, slots=True)
class ClaimBatch:
    """Command that records the claims and outcomes of one round (group commit).

    :param time_ms: time on the clock of the claims, which runs only under a leader.
    :param dead_holders: holders that the leader regards as dead; a takeover from any
        other holder is not granted.
    :param retention_ms: time for which the keys of ended claims are kept; 0 leaves
        the current limit unchanged, here and in the next two fields.
    :param idempotent_retention_ms: the same for idempotent requests.
    :param max_bytes: limit on the total size of all claims.
    """

    time_ms: int
    claims: tuple[ClaimRequest, ...] = ()
    outcomes: tuple[OutcomeReport, ...] = ()
    dead_holders: tuple[Replica, ...] = ()
    retention_ms: int = 0
    idempotent_retention_ms: int = 0
    max_bytes: int = 0


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """Command that records a proposed configuration unless it is outdated.

    It is outdated if its version is not above the current one or, without a version,
    if its base version is not the current one.
    """

    time_ms: int
    proposal: ConfigProposal


@dataclass(frozen=True, slots=True)
class StrikeBatch:
    """Command that records strikes against requests on which an upstream died."""

    time_ms: int
    reports: tuple[StrikeReport, ...]


@dataclass(frozen=True, slots=True)
class ConfigQuery:
    """Query for the configuration of a peer, if newer than the given version.

    :param reads_packed: whether the sender reads compressed configurations.
    """

    version: int
    reads_packed: bool = False


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """Accepted configuration in the history.

    :param time_ms: wall-clock time of the proposal, for display only.
    :param content: configuration text; empty if it was dropped to bound the history.
    """

    version: int
    change_id: str
    author: str
    time_ms: int
    content: str
    is_content_kept: bool = True


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """First result of a change id.

    :param digest: digest of the proposal; a change id must not be used for another
        one.
    """

    digest: int
    result: ConfigResult


@dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """Complete state of the configuration."""

    history: tuple[ConfigRecord, ...]
    changes: tuple[ChangeRecord, ...]


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Claim with its outcome.

    :param request_id: id of the request that was granted the claim.
    :param time_ms: time at which it was granted, or ended.
    """

    claim: Claim
    request_id: str
    time_ms: int
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class ClaimsSnapshot:
    """Complete state of the claims.

    :param records: claims without outcome, ended claims and ended idempotent claims,
        in that order, each oldest first.
    """

    time_ms: int
    retention_ms: int
    idempotent_retention_ms: int
    max_bytes: int
    records: tuple[ClaimRecord, ...]


@dataclass(frozen=True, slots=True)
class StrikeRecord:
    """Strikes against one request.

    :param report_ids: ids of the counted reports, one strike each.
    :param time_ms: time of the last strike.
    """

    fingerprint: int
    report_ids: tuple[str, ...]
    time_ms: int


@dataclass(frozen=True, slots=True)
class StrikesSnapshot:
    """Complete state of the strikes, oldest first."""

    time_ms: int
    records: tuple[StrikeRecord, ...]


@dataclass(frozen=True, slots=True)
class OrderIssued:
    """Command that records an order to an engine before it is sent.

    :param order_id: id of the order, the same for a retry of the same order.
    :param kind: kind of the order, as in the API of engines.
    :param name: name of the model or role.
    :param term: term of the leader; first part of the fencing token.
    :param sequence: number that grows within the term; second part of the fencing
        token.
    :param time_ms: wall-clock time, for display only.
    """

    order_id: str
    upstream: str
    kind: str
    name: str
    term: int
    sequence: int
    time_ms: int


@dataclass(frozen=True, slots=True)
class ControlSnapshot:
    """Complete replicated state of the control group."""

    configuration: ConfigurationSnapshot
    claims: ClaimsSnapshot
    strikes: StrikesSnapshot
    orders: tuple[OrderIssued, ...] = ()
    crashes: CrashesSnapshot = field(default_factory=CrashesSnapshot)
    rollouts: RolloutsSnapshot = field(default_factory=RolloutsSnapshot)


Command = Union[  # noqa: UP007
    NoOp,
    MembershipChange,
    ClaimBatch,
    ConfigChange,
    StrikeBatch,
    OrderIssued,
    CrashBatch,
    RolloutOrder,
    RolloutEnd,
]

CONTROL_MESSAGES = (
    ClaimRequest,
    ClaimReply,
    OutcomeReport,
    OutcomeAck,
    ConfigProposal,
    ConfigResult,
    ConfigUpdate,
    Heartbeat,
    StrikeReport,
    StrikeUpdate,
    ConfigQuery,
    ControlSnapshot,
    KeyQuery,
    KeyReply,
)
