"""Parser that splits a byte stream into server-sent events."""

from collections.abc import Iterator
from dataclasses import dataclass

EVENT_DELIMITERS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


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

    @property
    def buffered(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._buffer

    def feed(self, data: bytes) -> Iterator[ServerSentEvent]:
        """Append bytes and yield the events that are now complete."""
        self._buffer += data
        while True:
            end = _find_event_end(self._buffer)
            if end == 0:
                return
            event, self._buffer = self._buffer[:end], self._buffer[end:]
            yield ServerSentEvent(event, _parse_event_id(event))


def _find_event_end(data: bytes) -> int:
    """Return the end offset of the first event, or 0 if it is incomplete."""
    ends = [
        data.find(delimiter) + len(delimiter)
        for delimiter in EVENT_DELIMITERS
        if delimiter in data
    ]
    return min(ends, default=0)


def _parse_event_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
