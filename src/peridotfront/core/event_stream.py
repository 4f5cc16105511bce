"""Parser that splits a byte stream into server-sent events."""

import re
from collections.abc import Iterator
from dataclasses import dataclass

from ..exceptions import AnswerTooLarge

# Atomic groups, so that CR LF is not taken for two line ends.
EVENT_END = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")
MAX_EVENT_END_BYTES = 4
FIELD = re.compile(rb"(?:\A|[\r\n])[^:\r\n]")
EVENT_ID = re.compile(rb"(?:\A|[\r\n])id:([^\r\n]*)")
MAX_EVENT_BYTES = 512 * 1024


@dataclass(frozen=True, slots=True)
class ServerSentEvent:
    """One complete server-sent event.

    :param data: bytes of the event, with the blank line at its end.
    :param event_id: value of the ``id`` field; empty if there is none.
    """

    data: bytes
    event_id: str

    def is_after(self, last_event_id: str) -> bool:
        """Return whether the event may follow the event with the given id.

        Ids that are not decimal numbers cannot be compared; such events may follow.
        """
        if not (self.event_id.isdecimal() and last_event_id.isdecimal()):
            return True
        return int(self.event_id) > int(last_event_id)


class ServerSentEventParser:
    """Incremental parser of server-sent events.

    :param max_event_bytes: size limit for an event that is not complete.
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES):
        self._max_event_bytes = max_event_bytes
        self._buffer = bytearray()
        self._start = 0
        self._searched = 0
        self._has_event = False

    @property
    def buffered(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._buffer[self._start :])

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes after the last complete event."""
        return len(self._buffer) - self._start

    def is_truncated(self, is_framed: bool) -> bool:
        """Return whether the stream broke off, if it ends here.

        It broke off if it ends inside an event, since a whole event ends with a blank
        line. A body that ends with its connection must also have an event, since
        otherwise nothing but the connection's end suggests that it is complete.

        :param is_framed: whether the body was ended by a length or a last chunk.
        """
        if _has_field(self.buffered):
            return True
        return not (is_framed or self._has_event)

    def feed(self, data: bytes) -> Iterator[ServerSentEvent]:
        """Append bytes and yield the events that are now complete.

        :raises AnswerTooLarge: if the event that follows them is too large.
        """
        self._buffer += data
        while (end := self._find_end()) is not None:
            event = bytes(self._buffer[self._start : end])
            self._start = end
            self._searched = end
            self._has_event = self._has_event or _has_field(event)
            yield ServerSentEvent(event, _parse_event_id(event))
        self._drop_parsed()
        if self.buffered_bytes > self._max_event_bytes:
            raise AnswerTooLarge(f"an event has over {self._max_event_bytes} bytes")

    def _find_end(self) -> int | None:
        """Return the offset after the next event, without a second search."""
        overlap_bytes = MAX_EVENT_END_BYTES - 1
        search_from = max(self._start, self._searched - overlap_bytes)
        match = EVENT_END.search(self._buffer, search_from)
        if match is not None:
            return match.end()
        self._searched = len(self._buffer)
        return None

    def _drop_parsed(self) -> None:
        del self._buffer[: self._start]
        self._searched -= self._start
        self._start = 0


def _has_field(data: bytes) -> bool:
    """Return whether any line is neither blank nor a comment."""
    return FIELD.search(data) is not None


def _parse_event_id(event: bytes) -> str:
    match = EVENT_ID.search(event)
    return match[1].strip().decode("latin-1") if match else ""
