"""Framing of records in files, with length, checksum and batch number.

All records of one sync form a batch. An invalid record in the last batch is a torn
write, since that batch was not synced; an invalid record elsewhere is damage.
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
    """One record as read from a file.

    :param offset_bytes: offset of the record's header in the file.
    :param batch: number of the batch, which increases by one with each sync.
    :param is_last: whether the record is the last of its batch.
    :param body: content of the record, without the header.
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
    """Return a record's body preceded by its header."""
    checksum = _checksum(batch, is_last, body)
    return HEADER.pack(MAGIC, checksum, batch, len(body), is_last) + body


def read_frame(data: bytes, offset_bytes: int) -> FramedRecord | None:
    """Return the record at an offset, or None if it is incomplete or invalid."""
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
    """Yield the records from the start up to the first invalid one."""
    offset = 0
    while (record := read_frame(data, offset)) is not None:
        yield record
        offset = record.end_bytes


def is_torn(data: bytes, start_bytes: int, torn_batch: int) -> bool:
    """Return whether the data from an offset on is a torn write.

    It is one if no valid record of another batch follows.

    :param start_bytes: offset of the first invalid record.
    :param torn_batch: number of the batch that this record belongs to.
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
