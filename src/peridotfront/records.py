"""Framing of records in files: length, checksum and the batch they belong to.

All records of one sync form a batch. A bad record in the last batch is a torn
write, since that batch was not synced; anywhere else it is damage.
"""

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

MAGIC = b"\xf7PF1"
HEADER = struct.Struct("<4sIQIB")
CHECKSUM = struct.Struct("<I")
OVERHEAD_BYTES = HEADER.size


@dataclass(frozen=True, slots=True)
class FramedRecord:
    """Holds one record as read from a file.

    :param batch: number of the batch; grows by one with each sync.
    :param is_last: whether it ends its batch.
    """

    offset_bytes: int
    batch: int
    is_last: bool
    body: bytes

    @property
    def end_bytes(self) -> int:
        """Return the offset of the byte after the record."""
        return self.offset_bytes + OVERHEAD_BYTES + len(self.body)


def frame(body: bytes, batch: int, is_last: bool) -> bytes:
    """Return a record with its header."""
    checksum = _checksum(batch, is_last, body)
    return HEADER.pack(MAGIC, checksum, batch, len(body), is_last) + body


def read_frame(data: bytes, offset_bytes: int) -> FramedRecord | None:
    """Return the record at an offset, or None if there is no whole one."""
    body_offset = offset_bytes + OVERHEAD_BYTES
    if body_offset > len(data):
        return None
    magic, checksum, batch, size, flag = HEADER.unpack_from(data, offset_bytes)
    if magic != MAGIC or flag > 1 or body_offset + size > len(data):
        return None
    body = bytes(data[body_offset : body_offset + size])
    if checksum != _checksum(batch, bool(flag), body):
        return None
    return FramedRecord(offset_bytes, batch, bool(flag), body)


def read_frames(data: bytes) -> Iterator[FramedRecord]:
    """Yield the records from the start up to the first that is not whole."""
    offset = 0
    while (record := read_frame(data, offset)) is not None:
        yield record
        offset = record.end_bytes


def is_torn(data: bytes, start_bytes: int, torn_batch: int) -> bool:
    """Tell whether what follows an offset was never synced.

    :param start_bytes: where the first record that is not whole begins.
    :param torn_batch: the batch that this record belongs to.
    """
    offset = data.find(MAGIC, start_bytes)
    while offset >= 0:
        later = read_frame(data, offset)
        if later is not None and later.batch != torn_batch:
            return False
        offset = data.find(MAGIC, offset + 1)
    return True


def _checksum(batch: int, is_last: bool, body: bytes) -> int:
    start = zlib.crc32(batch.to_bytes(8, "little") + bytes([is_last]))
    return zlib.crc32(body, start)
