"""Splitting of a stream of server-sent events into whole events."""

from collections.abc import Iterator
from dataclasses import dataclass

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


@dataclass(frozen=True, slots=True)
class ServerSentEvent:
    """Is one whole event.

    :param data: its bytes, with the blank line that ends it.
    :param event_id: empty if it has none.
    """

    data: bytes
    event_id: str

    def is_after(self, last_event_id: str) -> bool:
        """Tell whether the event may come after the one with the given id.

        Ids that are not numbers can't be compared and are taken as they come.
        """
        if not (self.event_id.isdecimal() and last_event_id.isdecimal()):
            return True
        return int(self.event_id) > int(last_event_id)


class ServerSentEventParser:
    """Gives out the whole events of the bytes that it is fed."""

    def __init__(self):
        self._rest = b""

    @property
    def buffered(self) -> bytes:
        """Return the bytes after the last whole event."""
        return self._rest

    def feed(self, data: bytes) -> Iterator[ServerSentEvent]:
        """Take bytes and yield the events that are whole now."""
        self._rest += data
        while True:
            end = _event_end(self._rest)
            if end == 0:
                return
            event, self._rest = self._rest[:end], self._rest[end:]
            yield ServerSentEvent(event, _event_id(event))


def _event_end(data: bytes) -> int:
    """Return where the first event ends, or 0 if it is not whole."""
    ends = [data.find(mark) + len(mark) for mark in EVENT_ENDS if mark in data]
    return min(ends, default=0)


def _event_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
