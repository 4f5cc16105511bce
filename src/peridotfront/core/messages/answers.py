"""Messages that transfer an answer from its holder to another entry host."""

from dataclasses import dataclass

from .control import Header, Outcome


@dataclass(frozen=True, slots=True)
class AttachRequest:
    """Request to the holder of a claim for its answer, starting at an offset."""

    request_id: str
    key: str
    offset_bytes: int


@dataclass(frozen=True, slots=True)
class AnswerChunk:
    """Part of an answer, for an entry host that sent an :class:`AttachRequest`.

    :param outcome: outcome of the request; set only on the last chunk.
    :param status_code: HTTP status of the answer; 0 while it is not known.
    :param is_known: False if the sender of the chunk holds no such answer.
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
