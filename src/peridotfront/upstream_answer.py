"""Answers of upstreams, whose bodies are read as streams."""

from collections.abc import AsyncIterator
from enum import StrEnum
from http import HTTPStatus
from typing import TYPE_CHECKING

from .exceptions import AnswerTooLarge
from .http_messages import Header, find_header
from .turns import Turn

if TYPE_CHECKING:
    from .upstream_connections import UpstreamConnection

DEFAULT_READ_BYTES = 4 * 1024 * 1024
READ_BYTES = 64 * 1024
PIECE_BYTES = 4 * 1024
BODILESS_STATUS_CODES = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


class BodyFraming(StrEnum):
    """Ways in which the end of an answer's body is marked.

    ``NONE`` is an answer that cannot have a body; ``CLOSE`` ends with its connection.
    """

    NONE = "none"
    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class UpstreamAnswer:
    """Answer to one call, whose body is read as a stream.

    Read it to its end or cancel it, so that its connection is released.

    :param framing: how the end of the body is marked.

    ``call_number`` is the number of the call on its connection; 1 is the first.
    """

    def __init__(
        self,
        status_code: int,
        headers: tuple[Header, ...],
        connection: "UpstreamConnection",
        framing: BodyFraming,
    ):
        self.status_code = status_code
        self.headers = headers
        self.framing = framing
        self.call_number = connection.call_count
        self._silent_ms = 0
        self._connection: UpstreamConnection | None = connection
        self._turns = connection.turns
        self._budget = connection.budget

    @property
    def is_framed(self) -> bool:
        """Return whether more than the connection's end marks the body's end."""
        return self.framing is not BodyFraming.CLOSE

    @property
    def is_in_progress(self) -> bool:
        """Return whether a part of the body has not arrived."""
        return self._connection is not None and not self._connection.is_complete

    @property
    def silent_ms(self) -> int:
        """Return for how long bytes are awaited, or were in a wait that got none."""
        if self._connection is not None:
            self._silent_ms = self._connection.silent_ms
        return self._silent_ms

    @property
    def is_awaited(self) -> bool:
        """Return whether a reader waits for the next bytes."""
        return self._connection is not None and self._connection.is_awaited

    @property
    def address(self) -> str:
        """Return the upstream's IP address and port; empty after the call has ended."""
        return self._connection.address if self._connection is not None else ""

    def header(self, name: str, default: str = "") -> str:
        """Return the value of the first header field with a name in lower case."""
        return find_header(self.headers, name, default)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives, in small pieces, until the answer is complete.

        Between two pieces that arrived together, other answers get a turn.

        :raises AnswerTruncated: if the connection ended before the answer.
        :raises UpstreamTimedOut: if the upstream was silent for too long.
        :raises AnswerMalformed: if the answer is not valid HTTP.
        """
        turn = Turn(self._turns)
        try:
            while self._connection is not None:
                data = await self._connection.receive()
                if not data:
                    break
                for start in range(0, len(data), PIECE_BYTES):
                    if len(data) > PIECE_BYTES:
                        await turn.go_on()
                    yield data[start : start + PIECE_BYTES]
        finally:
            self._release()

    async def read(self, max_bytes: int = DEFAULT_READ_BYTES) -> bytes:
        """Return the complete body.

        :param max_bytes: size limit for the body.
        :raises AnswerTooLarge: if the body is longer; the call is cancelled.
        :raises AnswerTruncated: if the connection ended before the answer.
        :raises UpstreamTimedOut: if the upstream was silent for too long.
        """
        parts = [bytearray()]
        size_bytes = 0
        try:
            while self._connection is not None:
                data = await self._connection.receive()
                if not data:
                    break
                size_bytes += len(data)
                if size_bytes > max_bytes:
                    raise AnswerTooLarge(f"the answer is longer than {max_bytes} bytes")
                self.hold(size_bytes)
                # Many small parts would take several times their size.
                if len(parts[-1]) + len(data) > READ_BYTES:
                    parts.append(bytearray())
                parts[-1] += data
            return b"".join(parts)
        finally:
            # The traceback of an error keeps this frame.
            parts.clear()
            self._release()
            self.hold(0)

    def hold(self, size_bytes: int) -> None:
        """Set how many bytes the reader keeps of the answer, for the client's limit.

        :param size_bytes: number of bytes; 0 if none are kept any more.
        """
        self._budget.hold(self, size_bytes)

    def give_up(self) -> None:
        """Fail the call, since all answers together keep too many bytes."""
        if self._connection is not None:
            self._connection.give_up()

    def close_after(self) -> None:
        """Close the connection after this answer, in place of keeping it."""
        if self._connection is not None:
            self._connection.is_last_call = True

    def cancel(self) -> None:
        """Close the connection unless the answer was read completely."""
        self.hold(0)
        if self._connection is not None:
            self._silent_ms = self._connection.silent_ms
            self._connection.close()
            self._connection = None

    def _release(self) -> None:
        if self._connection is not None:
            self._silent_ms = self._connection.silent_ms
            self._connection.release()
            self._connection = None


def body_framing(method: str, status_code: int, headers: tuple) -> BodyFraming:
    """Return how the end of an answer's body is marked.

    :param method: method of the request.
    :param headers: decoded header fields of the answer.
    """
    if method == "HEAD" or status_code in BODILESS_STATUS_CODES:
        return BodyFraming.NONE
    if find_header(headers, "transfer-encoding"):
        return BodyFraming.CHUNKS
    if find_header(headers, "content-length"):
        return BodyFraming.LENGTH
    return BodyFraming.CLOSE
