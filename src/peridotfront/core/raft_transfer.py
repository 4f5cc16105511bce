"""Assembly of a snapshot that arrives in pieces."""

from .messages import Snapshot, SnapshotChunk


class SnapshotReceiver:
    """Collects the pieces of one snapshot of one leader."""

    def __init__(self) -> None:
        self._first: SnapshotChunk | None = None
        self._data = bytearray()

    def take(self, chunk: SnapshotChunk) -> int:
        """Add a piece if it is the next one.

        :return: the bytes received so far.
        :rtype: int
        """
        if self._first is None or _source(chunk) != _source(self._first):
            self._first = chunk
            self._data = bytearray()
        if chunk.offset_bytes == len(self._data):
            self._data += chunk.data
        return len(self._data)

    def finished(self) -> Snapshot | None:
        """Return the snapshot once it is whole, and forget the pieces."""
        first = self._first
        if first is None or len(self._data) < first.total_bytes:
            return None
        data = bytes(self._data)
        self._first = None
        self._data = bytearray()
        return Snapshot(
            first.last_index, first.last_term, first.voters, first.learners, data
        )


def _source(chunk: SnapshotChunk) -> tuple[int, int, int, int]:
    return chunk.term, chunk.last_index, chunk.last_term, chunk.total_bytes
