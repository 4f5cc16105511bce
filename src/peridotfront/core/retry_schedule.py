"""Times to come back that were promised to refused wants."""

from collections import OrderedDict

MAX_BOOKINGS = 10_000
EARLY_MS = 50
KEPT_MS = 10_000


class RetrySchedule:
    """Spreads the refused over time, as a queue of those that are not there."""

    def __init__(self):
        self._due_ms: OrderedDict[str, int] = OrderedDict()
        self._clocks_ms: dict[tuple[int, str], float] = {}

    def __len__(self) -> int:
        return len(self._due_ms)

    def book(
        self,
        request_id: str,
        queue: tuple[int, str],
        *,
        earliest_ms: float,
        interval_ms: float,
        latest_ms: float,
    ) -> int:
        """Return when a refused want should come back.

        :param queue: tier and model.
        :param earliest_ms: when there may be room for it.
        :param interval_ms: time that one such want takes of the drain.
        :param latest_ms: the bound on the time that is promised.
        """
        clock_ms = max(earliest_ms, self._clocks_ms.get(queue, 0.0) + interval_ms)
        clock_ms = min(clock_ms, latest_ms)
        self._clocks_ms[queue] = clock_ms
        self._due_ms[request_id] = int(clock_ms)
        self._due_ms.move_to_end(request_id)
        if len(self._due_ms) > MAX_BOOKINGS:
            self._due_ms.popitem(last=False)
        return int(clock_ms)

    def redeem(self, request_id: str, now_ms: int) -> bool:
        """Return whether a want came back no earlier than it was told."""
        due_ms = self._due_ms.pop(request_id, None)
        return due_ms is not None and due_ms - EARLY_MS <= now_ms < due_ms + KEPT_MS

    def is_open(self, queue: tuple[int, str], now_ms: int) -> bool:
        """Return whether somebody may still come back for that queue."""
        return self._clocks_ms.get(queue, -KEPT_MS) + KEPT_MS > now_ms
