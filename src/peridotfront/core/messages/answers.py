"""Messages that bring an answer from its holder to another entry host."""

from dataclasses import dataclass

from .control import Header, Outcome


@dataclass(frozen=True, slots=True)
class AttachRequest:
    """Asks the holder of a claim for its answer, from an offset on."""

    request_id: str
    key: str
    offset_bytes: int


@dataclass(frozen=True, slots=True)
class AnswerChunk:
    """Carries a piece of an answer to an entry host that attached.

    :param outcome: set on the last piece.
    :param status_code: HTTP status of the answer; 0 while it is not known.
    :param is_known: false if the receiver of the attach holds no such answer.
    """

    request_id: str
    key: str
    offset_bytes: int
    data: bytes
    is_known: bool = True
    outcome: Outcome | None = None
    status_code: int = 0
    headers: tuple[Header, ...] = ()


ANSWER_MESSAGES = (AttachRequest, AnswerChunk)
