"""Requests on their way: states, and the events and actions of the dispatcher."""

from dataclasses import dataclass, field
from enum import StrEnum

from .messages import Claim, Outcome, ReleaseCause, SlotRefusal
from .requests import Request
from .verdicts import Refusal


class RequestState(StrEnum):
    """Names the steps in the life of a request."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    RUNNING = "running"
    FOLLOWING = "following"
    WAITING = "waiting"
    TAKING_OVER = "taking_over"
    REFUSING = "refusing"


class KeyState(StrEnum):
    """Names what is known of a request's idempotency key."""

    UNUSED = "unused"
    UNASKED = "unasked"
    ASKED = "asked"
    FREE = "free"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Reports a new request that was admitted.

    :param refusal: set if the request is to be refused, unless its key is already
        in use; then it gets what the key has got.
    """

    request: Request
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """Reports that nobody waits for a request's answer any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class DispatchProgress:
    """Reports tokens that an upstream has produced for a request.

    :param slow_tokens: of these, how many came later than the policy allows.
    """

    request_id: str
    produced_tokens: int
    slow_tokens: int = -1


@dataclass(frozen=True, slots=True)
class DispatchEnded:
    """Reports how a dispatch ended.

    :param first_token_ms: from dispatch to first token; -1 if there was none.
    """

    request_id: str
    cause: ReleaseCause
    outcome: Outcome
    cached_tokens: int = 0
    produced_tokens: int = 0
    first_token_ms: int = -1
    slow_tokens: int = -1


@dataclass(frozen=True, slots=True)
class FollowedAnswerEnded:
    """Reports that the answer of another host has ended, or is not to be had.

    :param outcome: None if the holder does not know the answer.
    """

    request_id: str
    outcome: Outcome | None


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Asks the program to send a request to its upstream, now."""

    request_id: str
    upstream: str
    cell: str
    epoch: int


@dataclass(frozen=True, slots=True)
class ResumeAnswer:
    """Asks the program to resume a stream that another host dispatched."""

    request_id: str
    upstream: str


@dataclass(frozen=True, slots=True)
class CancelDispatch:
    """Asks the program to cut a dispatch; :class:`DispatchEnded` follows."""

    request_id: str
    cause: ReleaseCause


@dataclass(frozen=True, slots=True)
class Coalesce:
    """Asks the program to serve a request from another one of this host."""

    request_id: str
    leading_request_id: str


@dataclass(frozen=True, slots=True)
class FollowAnswer:
    """Asks the program to fetch the answer from the host that holds it."""

    request_id: str
    key: str
    holder_host: str


@dataclass(frozen=True, slots=True)
class ReplayOutcome:
    """Asks the program to answer a request with a recorded outcome."""

    request_id: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class SendRefusal:
    """Asks the program to give a request its final answer, at once."""

    request_id: str
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class RequestClosed:
    """Tells the program that a request needs nothing more."""

    request_id: str


@dataclass(slots=True)
class ActiveRequest:
    """Holds what the dispatcher knows of one request.

    :param epoch: of the claim under which the request runs; 0 without a claim.
    :param lease_until_ms: until when the granted slot may be used.
    :param refusals: the answers of cells that could not take the request.
    :param visited: cells that did not give a slot in time.
    :param key_state: what the control group said of the key.
    :param refusal: what the caller is told once the state of the key is known.
    :param retry_at_ms: when a waiting request asks the holder again.
    """

    request: Request
    state: RequestState
    arrived_ms: int
    cell: str = ""
    scheduler: str = ""
    asked_ms: int = 0
    upstream: str = ""
    lease_until_ms: int = 0
    epoch: int = 0
    sent_ms: int = 0
    produced_tokens: int = 0
    slow_tokens: int = -1
    renewed_ms: int = 0
    placements: int = 0
    holder: Claim | None = None
    refusals: dict[str, SlotRefusal] = field(default_factory=dict)
    visited: set[str] = field(default_factory=set)
    key_state: KeyState = KeyState.UNUSED
    refusal: Refusal | None = None
    retry_at_ms: int = 0
