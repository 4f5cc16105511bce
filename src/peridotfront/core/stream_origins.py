"""Software versions at which streams began, as far as this host knows them."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from .messages import BegunStream, HeldSlot, SlotRequest

# Longer than any caller waits for a stream, with all its attempts.
RETENTION_MS = 60_000


@dataclass(frozen=True, slots=True)
class _Record:
    """Origin of one stream.

    :param seen_ms: time at which an event of the stream was last passed on.
    :param recorded_ms: time at which this host learned that.
    """

    service: str
    software_version: str
    seen_ms: int
    recorded_ms: int


class StreamOrigins:
    """Table of the services and software versions at which streams began."""

    def __init__(self) -> None:
        # Ordered by the time of recording.
        self._records: dict[str, _Record] = {}

    def __len__(self) -> int:
        return len(self._records)

    def record(self, stream: BegunStream, now_ms: int) -> None:
        """Record the origin of a stream, unless it is unknown or too old."""
        is_known = stream.stream_id and stream.software_version
        if not is_known or stream.age_ms >= RETENTION_MS:
            return
        self._purge(now_ms)
        self._records.pop(stream.stream_id, None)
        self._records[stream.stream_id] = _Record(
            stream.service, stream.software_version, now_ms - stream.age_ms, now_ms
        )

    def find(self, stream_id: str, service: str, now_ms: int) -> str:
        """Return the software version at which a stream of a service began.

        :return: the version; empty if it is unknown.
        """
        record = self._records.get(stream_id)
        if record is None or record.service != service:
            return ""
        return record.software_version if _is_recent(record, now_ms) else ""

    def with_version(self, slot_request: SlotRequest, now_ms: int) -> SlotRequest:
        """Return the slot request with the version at which its stream began.

        It is unchanged if it resumes no stream, names the version, or if the version
        is unknown.
        """
        if not slot_request.is_resumed or slot_request.software_version:
            return slot_request
        version = self.find(slot_request.stream_id, slot_request.cell, now_ms)
        return replace(slot_request, software_version=version)

    def record_held(self, held: HeldSlot, now_ms: int) -> None:
        """Record the origin of the stream in a slot, if an event was passed on."""
        if held.produced_tokens > 0:
            slot_request = held.slot_request
            stream = BegunStream(
                slot_request.stream_id, slot_request.cell, held.software_version, 0
            )
            self.record(stream, now_ms)

    def recorded_since(self, since_ms: int, now_ms: int) -> Iterator[BegunStream]:
        """Yield the streams that were recorded at a time or later, newest first."""
        for stream_id, record in reversed(self._records.items()):
            if record.recorded_ms < since_ms:
                return
            if _is_recent(record, now_ms):
                yield BegunStream(
                    stream_id,
                    record.service,
                    record.software_version,
                    now_ms - record.seen_ms,
                )

    def _purge(self, now_ms: int) -> None:
        """Remove the records that were made too long ago."""
        while self._records:
            oldest_id = next(iter(self._records))
            if now_ms - self._records[oldest_id].recorded_ms < RETENTION_MS:
                return
            del self._records[oldest_id]


def _is_recent(record: _Record, now_ms: int) -> bool:
    return now_ms - record.seen_ms < RETENTION_MS
