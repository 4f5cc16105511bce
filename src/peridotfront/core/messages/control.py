"""Messages to the control group, and the commands of its replicated log."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Union

from ..verdicts import Reason, Verdict


class ClaimStatus(StrEnum):
    """Names the outcome of asking for a claim."""

    FREE = "free"
    GRANTED = "granted"
    HELD = "held"
    ENDED = "ended"
    KEY_REUSED = "key_reused"
    UNAVAILABLE = "unavailable"
    FULL = "full"


class ChangeStatus(StrEnum):
    """Names the outcome of proposing a configuration."""

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class Header:
    """Holds one header field of a recorded answer."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Outcome:
    """Records how a request ended.

    :param status_code: the HTTP status of the answer; 0 when there was none.
    :param body: the whole answer, if it was short enough to be recorded.
    :param is_replayable: whether ``body`` holds the whole answer.
    """

    verdict: Verdict
    reason: Reason
    status_code: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    is_replayable: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """Names who may dispatch the request with a given idempotency key.

    :param key: client account, service and idempotency key, joined.
    :param fingerprint: hash of the canonical request; a key may not be used
        for a different request.
    :param epoch: 1 for the first holder; one more for each take-over, and for
        each new holder after an outcome that says "not run".
    :param is_resume_only: set for a take-over; its holder may resume the answer
        at the upstream but never dispatches the request.
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
    """Asks to be recorded as holder of a claim before a dispatch.

    ``claim.epoch`` above 1 asks for a take-over of the claim with the epoch
    before it.
    """

    request_id: str
    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Answers a :class:`ClaimRequest` with the claim that stands."""

    request_id: str
    key: str
    status: ClaimStatus
    claim: Claim | None = None
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class KeyQuery:
    """Asks whether an idempotency key is in use, without claiming it."""

    request_id: str
    key: str
    fingerprint: int


@dataclass(frozen=True, slots=True)
class KeyReply:
    """Answers a :class:`KeyQuery` with the claim that stands, if there is one."""

    reply: ClaimReply


@dataclass(frozen=True, slots=True)
class OutcomeReport:
    """Reports how a claimed request ended; repeated until acknowledged.

    :param holder_host: the reporter; filled in by the control host that receives
        the report, so that only the holder itself can end a claim.
    :param holder_incarnation: of the reporter; filled in likewise.
    """

    key: str
    epoch: int
    outcome: Outcome
    holder_host: str = ""
    holder_incarnation: int = 0


@dataclass(frozen=True, slots=True)
class OutcomeAck:
    """Acknowledges an :class:`OutcomeReport` that is durable.

    :param is_superseded: whether another outcome or a later epoch stands.
    """

    key: str
    epoch: int
    is_superseded: bool = False


@dataclass(frozen=True, slots=True)
class ConfigProposal:
    """Proposes a new configuration.

    :param change_id: drawn by the operator; a repeat gets the first outcome.
    :param base_version: the version that the operator edited.
    :param content: the whole new configuration as text.
    :param version: the number that the operator gives it; it comes into force if
        that is higher than the one held. 0 leaves the numbering to the group, which
        then compares ``base_version``.
    """

    change_id: str
    base_version: int
    author: str
    content: str
    version: int = 0


@dataclass(frozen=True, slots=True)
class ConfigResult:
    """Answers a :class:`ConfigProposal`.

    :param version: the accepted version, or the current one after a conflict.
    :param author: who made that version.
    """

    change_id: str
    status: ChangeStatus
    version: int
    author: str = ""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """Brings a configuration that is in force to an entry host."""

    version: int
    change_id: str
    author: str
    content: str


@dataclass(frozen=True, slots=True)
class SpentShare:
    """Says what of an account's bound was spent in the last window.

    :param share: of the bound, 1 if all of it.
    """

    client_account: str
    share: float


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows peers that a host lives and what it runs with.

    :param config_version: the configuration version that is in force there.
    :param leader: the control leader that the sender knows; empty if none. That
        leader takes it as a sign that its own heartbeats arrive.
    :param term: the term of that leader; 0 if the sender is no replica.
    :param control_hosts: the replicas that the sender knows; none if it is none.
    :param entry_hosts: how many entry hosts the sender counts as alive; 0 if it
        doesn't lead, or not for long enough to know.
    :param upstreams_version: of the list of upstreams that the sender holds.
    :param spent: accounts that spent much of their allowance; only a leader says so.
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
    spent: tuple[SpentShare, ...] = ()


@dataclass(frozen=True, slots=True)
class StrikeReport:
    """Reports that an upstream died while it ran the named requests.

    :param report_id: tells reports apart; a repeat counts once.
    """

    upstream: str
    fingerprints: tuple[int, ...]
    report_id: str = ""


@dataclass(frozen=True, slots=True)
class StrikeUpdate:
    """Tells entry hosts the strikes that stand against a request."""

    fingerprint: int
    strikes: int


@dataclass(frozen=True, slots=True)
class NoOp:
    """Commits the entries of earlier terms after an election."""


@dataclass(frozen=True, slots=True)
class Replica:
    """Names one replica of the control group by host and disk incarnation."""

    host: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """Sets the voters and learners of the control group."""

    voters: tuple[Replica, ...]
    learners: tuple[Replica, ...]


@dataclass(frozen=True, slots=True)
class ClaimBatch:
    """Records claims and outcomes that arrived in one round (group commit).

    :param time_ms: on the clock of the claims, which only runs under a leader.
    :param dead_holders: those that the leader judged dead; a take-over from any
        other holder is not granted.
    :param retention_ms: how long the keys of ended claims are kept; 0 leaves
        the limits as they are, here and below.
    :param idempotent_retention_ms: the same for idempotent requests.
    :param max_bytes: size bound of all claims together.
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
    """Records a proposed configuration; applied only if its base is current."""

    time_ms: int
    proposal: ConfigProposal


@dataclass(frozen=True, slots=True)
class StrikeBatch:
    """Records strikes against requests on which an upstream died."""

    time_ms: int
    reports: tuple[StrikeReport, ...]


@dataclass(frozen=True, slots=True)
class ConfigQuery:
    """Asks a peer for its configuration, if it is newer than the version named."""

    version: int


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """Is one accepted configuration in the history.

    :param time_ms: wall-clock time of the proposal, for display only.
    :param content: empty if it was dropped to keep the history small.
    """

    version: int
    change_id: str
    author: str
    time_ms: int
    content: str
    is_content_kept: bool = True


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """Is the first outcome of a change id.

    :param digest: of the proposal; a change id may not be used for another.
    """

    digest: int
    result: ConfigResult


@dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """Holds the whole state of the configuration."""

    history: tuple[ConfigRecord, ...]
    changes: tuple[ChangeRecord, ...]


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Is one claim with its outcome.

    :param request_id: of the request that was granted the claim.
    :param time_ms: when it was granted, or when it ended.
    """

    claim: Claim
    request_id: str
    time_ms: int
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class ClaimsSnapshot:
    """Holds the whole state of the claims, oldest first."""

    time_ms: int
    retention_ms: int
    idempotent_retention_ms: int
    max_bytes: int
    records: tuple[ClaimRecord, ...]


@dataclass(frozen=True, slots=True)
class StrikeRecord:
    """Is what stands against one request.

    :param report_ids: of the reports that count, one strike each.
    :param time_ms: of the last strike.
    """

    fingerprint: int
    report_ids: tuple[str, ...]
    time_ms: int


@dataclass(frozen=True, slots=True)
class StrikesSnapshot:
    """Holds the whole state of the strikes, oldest first."""

    time_ms: int
    records: tuple[StrikeRecord, ...]


@dataclass(frozen=True, slots=True)
class OrderIssued:
    """Records an order to an engine before it is sent.

    :param order_id: the same for a repeat of the same order.
    :param kind: as the API of engines names it.
    :param name: of the model or role.
    :param term: of the leader; first part of the fencing token.
    :param sequence: grows within the term; second part of the fencing token.
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
    """Holds the whole replicated state of the control group."""

    configuration: ConfigurationSnapshot
    claims: ClaimsSnapshot
    strikes: StrikesSnapshot
    orders: tuple[OrderIssued, ...] = ()


Command = Union[  # noqa: UP007
    NoOp, MembershipChange, ClaimBatch, ConfigChange, StrikeBatch, OrderIssued
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
