"""Classification of upstreams' answers: whose they are, and what they prove.

An answer proves something about a request only if it names that request. A late or
extra answer at the place of the expected one names another request, or none.
"""

from dataclasses import dataclass
from enum import Enum, StrEnum, auto
from http import HTTPStatus

# Statuses with which an upstream may say that it did not execute a request.
REJECTION_STATUS_CODES = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)

# Statuses that tell a caller that its request was not and will not be executed.
PROMISE_STATUS_CODES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class AnswerOwner(StrEnum):
    """Whose answer it is, by the request id that it names.

    ``NOBODY`` names no id, and ``AMBIGUOUS`` more than one.
    """

    REQUEST = "request"
    OTHER = "other"
    NOBODY = "nobody"
    AMBIGUOUS = "ambiguous"


class ExecutionMark(StrEnum):
    """What an answer says of the execution of its request.

    ``UNCLEAR`` is a mark of non-execution that denies or contradicts itself.
    """

    NONE = "none"
    NOT_EXECUTED = "not_executed"
    UNCLEAR = "unclear"


class AnswerKind(Enum):
    """Kinds of answers of an upstream.

    ``FAILURE`` has an error status; ``UNPROVEN`` has a status that would tell the
    caller that the request was not executed, but does not say so itself; ``REJECTED``
    means that the upstream did not execute the request; ``OTHER_UPSTREAM`` comes from
    another upstream at the address; ``MISMATCHED`` is not a valid answer to the
    request.
    """

    COMPLETE = auto()
    EVENT_STREAM = auto()
    FAILURE = auto()
    UNPROVEN = auto()
    REJECTED = auto()
    OTHER_UPSTREAM = auto()
    MISMATCHED = auto()


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What the status and header fields of an upstream's answer say.

    :param mark: what it says of the execution of the request.
    :param has_digest: whether the upstream has signed the body.
    :param is_encoded: whether the body is encoded, which no caller asks for.
    :param is_event_stream: whether the body is a stream of server-sent events.
    """

    status_code: int
    owner: AnswerOwner
    mark: ExecutionMark = ExecutionMark.NONE
    has_digest: bool = False
    is_encoded: bool = False
    is_event_stream: bool = False


def classify_answer(head: AnswerHead) -> AnswerKind:
    """Return the kind of an answer; whose it is comes before what it says."""
    if head.owner is not AnswerOwner.REQUEST:
        return AnswerKind.MISMATCHED
    if _is_proof_of_rejection(head):
        is_other = head.status_code == HTTPStatus.MISDIRECTED_REQUEST
        return AnswerKind.OTHER_UPSTREAM if is_other else AnswerKind.REJECTED
    if head.is_encoded:
        return AnswerKind.MISMATCHED
    if head.status_code in PROMISE_STATUS_CODES:
        return AnswerKind.UNPROVEN
    if head.status_code >= HTTPStatus.BAD_REQUEST:
        return AnswerKind.FAILURE
    if not head.has_digest:
        return AnswerKind.MISMATCHED
    if head.is_event_stream:
        return AnswerKind.EVENT_STREAM
    return AnswerKind.COMPLETE


def _is_proof_of_rejection(head: AnswerHead) -> bool:
    """Return whether an answer to the request proves that it was not executed.

    A digest signs what an execution wrote, and another status than that of a rejection
    contradicts the mark.
    """
    if head.has_digest or head.mark is ExecutionMark.UNCLEAR:
        return False
    if head.status_code == HTTPStatus.MISDIRECTED_REQUEST:
        return True
    is_marked = head.mark is ExecutionMark.NOT_EXECUTED
    return is_marked and head.status_code in REJECTION_STATUS_CODES
