"""States of active requests, and the events and actions of the dispatcher."""

from dataclasses import dataclass, field
from enum import StrEnum

from .messages import Claim, Outcome, ReleaseCause, SlotRefusal
from .requests import Request
from .verdicts import Refusal


class RequestState(StrEnum):
    """State of an active request."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    RUNNING = "running"
    FOLLOWING = "following"
    WAITING = "waiting"
    TAKING_OVER = "taking_over"
    REFUSING = "refusing"


class KeyState(StrEnum):
    """State of the lookup of a request's idempotency key.

    ``UNUSED``: the request has no key. ``UNASKED``: no lookup was sent. ``ASKED``: a
    lookup waits for its reply. ``FREE``: the lookup was answered. ``UNKNOWN``: the
    control group did not answer.
    """

    UNUSED = "unused"
    UNASKED = "unasked"
    ASKED = "asked"
    FREE = "free"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Event: a request was admitted.

    :param refusal: refusal to send unless the key of the request is already in use;
        then the request gets the answer to the earlier request with that key.
    """

    request: Request
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """Event: the caller no longer waits for the answer to a request."""

    request_id: str


@dataclass(frozen=True, slots=True)
class DispatchProgress:
    """Event: an upstream has produced tokens for a request.

    :param produced_tokens: tokens since the dispatch.
    :param slow_tokens: number of these that came later than the policy allows; -1 if
        that was not measured.
    """

    request_id: str
    produced_tokens: int
    slow_tokens: int = -1


@dataclass(frozen=True, slots=True)
class DispatchEnded:
    """Event: a dispatch ended.

    :param first_token_ms: time from the dispatch to the first token; -1 if there was
        none.
    :param is_answer_begun: whether a part of the upstream's answer was received.
    """

    request_id: str
    cause: ReleaseCause
    outcome: Outcome
    cached_tokens: int = 0
    produced_tokens: int = 0
    first_token_ms: int = -1
    slow_tokens: int = -1
    is_answer_begun: bool = False


@dataclass(frozen=True, slots=True)
class FollowedAnswerEnded:
    """Event: the answer of another host has ended or is not available.

    :param outcome: outcome of the request; None if the holder has no such answer.
    """

    request_id: str
    outcome: Outcome | None


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Action: send a request to its upstream immediately."""

    request_id: str
    upstream: str
    cell: str
    epoch: int


@dataclass(frozen=True, slots=True)
class ResumeAnswer:
    """Action: resume a stream that another host dispatched."""

    request_id: str
    upstream: str


@dataclass(frozen=True, slots=True)
class CancelDispatch:
    """Action: cancel a dispatch; :class:`DispatchEnded` follows."""

    request_id: str
    cause: ReleaseCause


@dataclass(frozen=True, slots=True)
class Coalesce:
    """Action: answer a request with the answer to another request of this host."""

    request_id: str
    leading_request_id: str


@dataclass(frozen=True, slots=True)
class FollowAnswer:
    """Action: fetch the answer from the host that holds it."""

    request_id: str
    key: str
    holder_host: str


@dataclass(frozen=True, slots=True)
class ReplayOutcome:
    """Action: answer a request with a recorded outcome."""

    request_id: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class SendRefusal:
    """Action: send a refusal as the final answer to a request, immediately."""

    request_id: str
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class RequestClosed:
    """Action: forget a request; no further actions follow for it."""

    request_id: str


@dataclass(slots=True)
class ActiveRequest:
    """State that the dispatcher keeps for one request.

    :param epoch: epoch of the claim under which the request runs; 0 without a claim.
    :param lease_until_ms: time until which the granted slot may be used.
    :param may_have_run: whether an earlier dispatch, here or at a lost host, ended
        without proof that the request was not executed.
    :param refusals: refusals received, by cell.
    :param visited: cells that did not grant a slot in time.
    :param key_state: state of the lookup of the key in the control group.
    :param refusal: refusal to send once the state of the key is known.
    :param retry_at_ms: time at which a waiting request asks the holder for the answer
        again.
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
    may_have_run: bool = False
    holder: Claim | None = None
    refusals: dict[str, SlotRefusal] = field(default_factory=dict)
    visited: set[str] = field(default_factory=set)
    key_state: KeyState = KeyState.UNUSED
    lookups: int = 0
    refusal: Refusal | None = None
    retry_at_ms: int = 0
