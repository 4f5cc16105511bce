"""Incremental encoding of a large snapshot, so that no turn takes long."""

from collections.abc import Iterator

from .control_state import Encode
from .messages import (
    ClaimsSnapshot,
    ConfigurationSnapshot,
    ControlSnapshot,
    CrashesSnapshot,
    RolloutsSnapshot,
    StrikesSnapshot,
)

NO_CONFIGURATION = ConfigurationSnapshot(history=(), changes=())
NO_CLAIMS = ClaimsSnapshot(
    time_ms=0, retention_ms=0, idempotent_retention_ms=0, max_bytes=0, records=()
)
NO_STRIKES = StrikesSnapshot(time_ms=0, records=())


class SnapshotBuilder:
    """Incremental encoder of one snapshot.

    The records of a snapshot are immutable, so further commands may be applied in the
    meantime. The result is the concatenation of the encoded slices; the codec must
    decode it as one record with the lists joined, as protobuf does.

    :param index: index of the last entry included in the snapshot.
    :param snapshot: whole state after that entry.
    :param encode: encodes one slice.
    :param slice_records: maximum number of records in one slice.
    """

    def __init__(
        self, index: int, snapshot: ControlSnapshot, encode: Encode, slice_records: int
    ):
        self.index = index
        self._encode = encode
        self._slices = slices(snapshot, slice_records)
        self._encoded_slices: list[bytes] = []

    def encode_next(self) -> bytes | None:
        """Encode the next slice; return the whole encoding once there is none left."""
        part = next(self._slices, None)
        if part is None:
            return b"".join(self._encoded_slices)
        self._encoded_slices.append(self._encode(part))
        return None


def slices(snapshot: ControlSnapshot, size: int) -> Iterator[ControlSnapshot]:
    """Yield slices of a snapshot with at most ``size`` records of one type each."""
    configuration = snapshot.configuration
    claims = snapshot.claims
    strikes = snapshot.strikes
    yield ControlSnapshot(
        configuration=NO_CONFIGURATION,
        claims=ClaimsSnapshot(
            time_ms=claims.time_ms,
            retention_ms=claims.retention_ms,
            idempotent_retention_ms=claims.idempotent_retention_ms,
            max_bytes=claims.max_bytes,
            records=(),
        ),
        strikes=StrikesSnapshot(strikes.time_ms, ()),
        crashes=CrashesSnapshot(snapshot.crashes.time_ms),
        rollouts=RolloutsSnapshot(
            snapshot.rollouts.time_ms, snapshot.rollouts.last_number
        ),
    )
    for records in _chunks(configuration.history, size):
        part = ConfigurationSnapshot(records, ())
        yield ControlSnapshot(part, NO_CLAIMS, NO_STRIKES)
    for records in _chunks(configuration.changes, size):
        part = ConfigurationSnapshot((), records)
        yield ControlSnapshot(part, NO_CLAIMS, NO_STRIKES)
    for records in _chunks(claims.records, size):
        part = ClaimsSnapshot(0, 0, 0, 0, records)
        yield ControlSnapshot(NO_CONFIGURATION, part, NO_STRIKES)
    for records in _chunks(strikes.records, size):
        part = StrikesSnapshot(0, records)
        yield ControlSnapshot(NO_CONFIGURATION, NO_CLAIMS, part)
    for records in _chunks(snapshot.orders, size):
        yield ControlSnapshot(NO_CONFIGURATION, NO_CLAIMS, NO_STRIKES, records)
    for records in _chunks(snapshot.crashes.records, size):
        crashes = CrashesSnapshot(0, records)
        yield ControlSnapshot(NO_CONFIGURATION, NO_CLAIMS, NO_STRIKES, crashes=crashes)
    for records in _chunks(snapshot.rollouts.records, size):
        rollouts = RolloutsSnapshot(0, 0, records)
        yield ControlSnapshot(
            NO_CONFIGURATION, NO_CLAIMS, NO_STRIKES, rollouts=rollouts
        )


def _chunks(records: tuple, size: int) -> Iterator[tuple]:
    for start in range(0, len(records), size):
        yield records[start : start + size]
