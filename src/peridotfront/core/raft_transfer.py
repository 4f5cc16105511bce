"""Assembly of a snapshot that arrives in chunks."""

from .messages import Snapshot, SnapshotChunk


class SnapshotReceiver:
    """Assembler of the chunks of one snapshot from one leader."""

    def __init__(self) -> None:
        self._first: SnapshotChunk | None = None
        self._data = bytearray()

    def add_chunk(self, chunk: SnapshotChunk) -> int:
        """Add a chunk if it is the next one.

        :return: number of bytes received so far.
        """
        if self._first is None or _transfer_id(chunk) != _transfer_id(self._first):
            self._first = chunk
            self._data = bytearray()
        if chunk.offset_bytes == len(self._data):
            self._data += chunk.data
        return len(self._data)

    def take_complete(self) -> Snapshot | None:
        """Return the complete snapshot and discard its chunks, or None until then."""
        first = self._first
        if first is None or len(self._data) < first.total_bytes:
            return None
        data = bytes(self._data)
        self._first = None
        self._data = bytearray()
        return Snapshot(
            first.last_index, first.last_term, first.voters, first.learners, data
        )


def _transfer_id(chunk: SnapshotChunk) -> tuple[int, int, int, int]:
    return chunk.term, chunk.last_index, chunk.last_term, chunk.total_bytes
