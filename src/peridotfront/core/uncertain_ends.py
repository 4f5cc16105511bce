"""Answers whose end was only the end of their connection.

Such an answer looks complete, also if its upstream crashed. The upstream's next sign of
life shows that it was; a crash, or a refused connection, that it may not have been.
"""

from collections import defaultdict

from .messages import SlotRequest

# A broken connection arrives within this time at all hosts.
SETTLE_MS = 100
RETENTION_MS = 3000


class UncertainEnds:
    """Requests by upstream whose answers ended with their connection."""

    def __init__(self) -> None:
        self._ends: dict[str, list[tuple[int, SlotRequest]]] = defaultdict(list)

    def add(self, upstream: str, slot_request: SlotRequest, now_ms: int) -> None:
        """Add a request whose answer ended now."""
        self._ends[upstream] = [
            *self._recent(upstream, now_ms),
            (now_ms, slot_request),
        ]

    def take_confirmed(self, upstream: str, now_ms: int) -> list[SlotRequest]:
        """Remove and return the complete ones, as the upstream shows that it lives."""
        if upstream not in self._ends:
            return []
        ends = self._recent(upstream, now_ms)
        confirmed = [end for end in ends if now_ms - end[0] >= SETTLE_MS]
        self._keep(upstream, [end for end in ends if end not in confirmed])
        return [slot_request for _, slot_request in confirmed]

    def take_broken(self, upstream: str, now_ms: int) -> list[SlotRequest]:
        """Remove and return the ones that the crash of the upstream may have ended."""
        ends = self._recent(upstream, now_ms)
        self._keep(upstream, [])
        return [slot_request for _, slot_request in ends]

    def _recent(self, upstream: str, now_ms: int) -> list[tuple[int, SlotRequest]]:
        ends = self._ends.get(upstream, [])
        return [end for end in ends if now_ms - end[0] <= RETENTION_MS]

    def _keep(self, upstream: str, ends: list[tuple[int, SlotRequest]]) -> None:
        if ends:
            self._ends[upstream] = ends
        else:
            self._ends.pop(upstream, None)
