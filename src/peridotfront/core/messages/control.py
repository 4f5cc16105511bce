"""Messages to the control group, and the commands of its replicated log."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Union

from ..verdicts import Reason, Verdict


class ClaimStatus(StrEnum):
    """Names the outcome of asking for a claim."""

    GRANTED = "granted"
    HELD = "held"
    ENDED = "ended"
    KEY_REUSED = "key_reused"
    UNAVAILABLE = "unavailable"


class ChangeStatus(StrEnum):
    """Names the outcome of proposing a configuration."""

    ACCEPTED = "accepted"
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
    :param epoch: 1 for the first holder; one more for each take-over.
    """

    key: str
    fingerprint: int
    epoch: int
    holder_host: str
    holder_incarnation: int
    upstream: str
    is_idempotent: bool


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
class OutcomeReport:
    """Reports how a claimed request ended; repeated until acknowledged."""

    key: str
    epoch: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class OutcomeAck:
    """Acknowledges an :class:`OutcomeReport` that is durable."""

    key: str
    epoch: int


@dataclass(frozen=True, slots=True)
class ConfigProposal:
    """Proposes a new configuration.

    :param change_id: drawn by the operator; a repeat gets the first outcome.
    :param base_version: the version that the operator edited.
    :param content: the whole new configuration as INI text.
    """

    change_id: str
    base_version: int
    author: str
    content: str


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
class Heartbeat:
    """Shows peers that a host lives and what it runs with.

    :param config_version: the configuration version that is in force there.
    :param leader: the control leader that the sender knows; empty if none.
    """

    data_centre: str
    role: str
    sequence: int
    config_version: int
    is_leaving: bool
    leader: str = ""


@dataclass(frozen=True, slots=True)
class StrikeReport:
    """Reports that an upstream died while it ran the named requests."""

    upstream: str
    fingerprints: tuple[int, ...]


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
    """Records claims and outcomes that arrived in one round (group commit)."""

    time_ms: int
    claims: tuple[ClaimRequest, ...] = ()
    outcomes: tuple[OutcomeReport, ...] = ()


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


Command = Union[NoOp, MembershipChange, ClaimBatch, ConfigChange, StrikeBatch]  # noqa: UP007

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
)
