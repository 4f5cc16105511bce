"""Retry times that were announced for refused slot requests."""

from collections import OrderedDict

from .messages import SlotRequest
from .queues import QueuedSlotRequest

MAX_SCHEDULED_RETRIES = 10_000
EARLY_TOLERANCE_MS = 50
RETENTION_MS = 10_000


class RetrySchedule:
    """Virtual queue that spreads the retries of refused slot requests over time."""

    def __init__(self):
        self._due_ms: OrderedDict[str, int] = OrderedDict()
        self._last_due_ms: dict[tuple[int, str], float] = {}

    def __len__(self) -> int:
        return len(self._due_ms)

    def schedule_retry(
        self,
        queued: QueuedSlotRequest,
        *,
        now_ms: int,
        earliest_ms: float,
        interval_ms: float,
        latest_ms: float,
        takes_place: bool = True,
    ) -> int:
        """Schedule the retry of a refused slot request and return its time.

        :param earliest_ms: earliest time at which it may be accepted.
        :param interval_ms: time between two grants to such slot requests.
        :param latest_ms: latest time that may be announced.
        :param takes_place: whether later retries are scheduled after this one.
        """
        slot_request = queued.slot_request
        request_id = slot_request.request_id
        queue = slot_request.tier, slot_request.model
        due_ms = max(earliest_ms, self._last_due_ms.get(queue, 0.0) + interval_ms)
        due_ms = min(due_ms, latest_ms)
        if not takes_place:
            return int(due_ms)
        self._last_due_ms[queue] = due_ms
        self._due_ms[request_id] = int(due_ms)
        self._due_ms.move_to_end(request_id)
        if len(self._due_ms) > MAX_SCHEDULED_RETRIES:
            self._due_ms.popitem(last=False)
        return int(due_ms)

    def take_due(self, slot_request: SlotRequest, now_ms: int) -> bool:
        """Remove a scheduled retry and return whether it arrived at its time.

        It may arrive up to ``EARLY_TOLERANCE_MS`` early or ``RETENTION_MS`` late.
        """
        due_ms = self._due_ms.pop(slot_request.request_id, None)
        return (
            due_ms is not None
            and due_ms - EARLY_TOLERANCE_MS <= now_ms < due_ms + RETENTION_MS
        )

    def expects_retries(self, queue: tuple[int, str], now_ms: int) -> bool:
        """Return whether scheduled retries of that queue may still arrive."""
        return self._last_due_ms.get(queue, -RETENTION_MS) + RETENTION_MS > now_ms
