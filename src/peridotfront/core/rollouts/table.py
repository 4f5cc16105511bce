"""Replicated table of the latest rollout of each service."""

from dataclasses import dataclass, replace

from ..messages import (
    RolloutEnd,
    RolloutOrder,
    RolloutOrderStatus,
    RolloutRecord,
    RolloutsSnapshot,
    RolloutState,
)

# An operator whose acknowledgement was lost repeats its order for a few seconds.
REPEAT_WINDOW_MS = 30_000
RECORDS_KEPT = 1000


@dataclass(frozen=True, slots=True)
class RolloutOrderResult:
    """Result of an applied order.

    :param record: rollout that was started, or that the order meets.
    """

    order_id: str
    status: RolloutOrderStatus
    record: RolloutRecord


class RolloutTable:
    """Latest rollout of each service, changed by committed commands only."""

    def __init__(self) -> None:
        self.time_ms = 0
        self._last_number = 0
        self._records: dict[str, RolloutRecord] = {}

    @property
    def records(self) -> tuple[RolloutRecord, ...]:
        """Return the latest rollout of each service, oldest order first."""
        return tuple(self._records.values())

    def order(self, command: RolloutOrder) -> RolloutOrderResult:
        """Apply an order.

        An equal order is a repeat while its rollout goes on, after it is complete, and
        for ``REPEAT_WINDOW_MS`` after it was reverted. Any other order is refused while
        a rollout of the service goes on.
        """
        self.time_ms = max(self.time_ms, command.time_ms)
        known = self._records.get(command.service)
        if known is not None and self._is_repeat(known, command):
            status = RolloutOrderStatus.REPEATED
            return RolloutOrderResult(command.order_id, status, known)
        if known is not None and known.state is RolloutState.ROLLING:
            status = RolloutOrderStatus.IN_PROGRESS
            return RolloutOrderResult(command.order_id, status, known)
        record = self._start(command)
        return RolloutOrderResult(command.order_id, RolloutOrderStatus.ACCEPTED, record)

    def end(self, command: RolloutEnd) -> bool:
        """Apply the end of a rollout and return whether it was the rolling one."""
        self.time_ms = max(self.time_ms, command.time_ms)
        known = self._records.get(command.service)
        is_rolling = known is not None and known.state is RolloutState.ROLLING
        if not is_rolling or known.number != command.number:
            return False
        self._records[command.service] = replace(
            known, state=command.state, ended_ms=self.time_ms, reason=command.reason
        )
        return True

    def snapshot(self) -> RolloutsSnapshot:
        """Return the whole state as one record."""
        return RolloutsSnapshot(self.time_ms, self._last_number, self.records)

    def restore(self, snapshot: RolloutsSnapshot) -> None:
        """Replace the whole state with that of a snapshot."""
        self.time_ms = snapshot.time_ms
        self._last_number = snapshot.last_number
        self._records = {record.service: record for record in snapshot.records}

    def _is_repeat(self, known: RolloutRecord, command: RolloutOrder) -> bool:
        is_equal = (known.version, known.period_ms) == (
            command.version,
            command.period_ms,
        )
        if not is_equal or known.state is not RolloutState.REVERTED:
            return is_equal
        return self.time_ms - known.ended_ms < REPEAT_WINDOW_MS

    def _start(self, command: RolloutOrder) -> RolloutRecord:
        self._last_number += 1
        record = RolloutRecord(
            service=command.service,
            version=command.version,
            period_ms=command.period_ms,
            number=self._last_number,
            state=RolloutState.ROLLING,
            ordered_ms=self.time_ms,
        )
        self._records.pop(command.service, None)
        self._records[command.service] = record
        self._drop_oldest_ended()
        return record

    def _drop_oldest_ended(self) -> None:
        if len(self._records) <= RECORDS_KEPT:
            return
        ended = (
            record.service
            for record in self._records.values()
            if record.state is not RolloutState.ROLLING
        )
        oldest = next(ended, None)
        if oldest is not None:
            del self._records[oldest]
