"""Parser that splits a byte stream into server-sent events."""

import re
from collections.abc import Iterator
from dataclasses import dataclass

# Atomic groups, so that CR LF is not taken for two line ends.
EVENT_END = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")
LINE_END = re.compile(rb"\r\n|\n|\r")
ID_FIELD = b"id:"
COMMENT = b":"


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
    """Incremental parser of server-sent events."""

    def __init__(self):
        self._buffer = b""
        self._has_event = False

    @property
    def buffered(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._buffer

    def is_truncated(self, is_framed: bool) -> bool:
        """Return whether the stream broke off, if it ends here.

        It broke off if it ends inside an event, since a whole event ends with a blank
        line. A body that ends with its connection must also have an event, since
        otherwise nothing but the connection's end suggests that it is complete.

        :param is_framed: whether the body was ended by a length or a last chunk.
        """
        if _has_field(self._buffer):
            return True
        return not (is_framed or self._has_event)

    def feed(self, data: bytes) -> Iterator[ServerSentEvent]:
        """Append bytes and yield the events that are now complete."""
        self._buffer += data
        while (end := EVENT_END.search(self._buffer)) is not None:
            event = self._buffer[: end.end()]
            self._buffer = self._buffer[end.end() :]
            self._has_event = self._has_event or _has_field(event)
            yield ServerSentEvent(event, _parse_event_id(event))


def _has_field(data: bytes) -> bool:
    """Return whether any line is neither blank nor a comment."""
    lines = LINE_END.split(data)
    return any(line and not line.startswith(COMMENT) for line in lines)


def _parse_event_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
