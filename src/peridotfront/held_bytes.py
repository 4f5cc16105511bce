"""Bytes that the connections of all listeners of a process hold, and their limit."""

import time
from collections import Counter
from typing import Protocol

from . import logs

# A connection without a completed request or answer for this time is stalled.
STALL_S = 1.0
# Room is made down to this share of the limit, so that it isn't sought at each byte.
TARGET_RATIO = 0.875
# Searches visit all connections, so after one that found none they pause.
SEARCH_INTERVAL_S = 0.05


class Holder(Protocol):
    """Interface of a connection that holds bytes."""

    progress_s: float

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for requests and answers of the connection."""

    @property
    def is_waiting(self) -> bool:
        """Return whether the connection waits for its caller."""

    def close_stalled(self) -> None:
        """Close immediately, since others need the room."""


class HeldBytes:
    """Rule for the bytes in progress of all connections together.

    Above the limit, stalled connections that hold the most are closed first, and one
    that goes on sending ahead of its answers if that leaves no room.

    :param limit_bytes: limit on the bytes of all connections together.

    ``closed`` counts the connections that were closed, by the limit that was reached.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self.closed: Counter[str] = Counter()
        self._held: dict[Holder, int] = {}
        self._next_search_s = 0.0

    def update(self, holder: Holder) -> None:
        """Record what a connection holds now."""
        held_bytes = holder.held_bytes
        self.total_bytes += held_bytes - self._held.get(holder, 0)
        self._held[holder] = held_bytes

    def remove(self, holder: Holder) -> None:
        """Remove a connection that is closed."""
        self.total_bytes -= self._held.pop(holder, 0)

    def make_room(self) -> bool:
        """Close stalled connections while the total is above the limit.

        :return: whether the total is within the limit.
        """
        if self.total_bytes <= self.limit_bytes:
            return True
        now_s = time.monotonic()
        if now_s < self._next_search_s:
            return False
        for holder in list(self._held):
            self.update(holder)
        if self.total_bytes > self.limit_bytes:
            self._close_largest(now_s)
        if self.total_bytes <= self.limit_bytes:
            return True
        self._next_search_s = now_s + SEARCH_INTERVAL_S
        return False

    def _close_largest(self, now_s: float) -> None:
        stalled = [holder for holder in self._held if is_stalled(holder, now_s)]
        stalled.sort(key=self._held.__getitem__, reverse=True)
        for holder in stalled:
            if self.total_bytes <= TARGET_RATIO * self.limit_bytes:
                return
            self.close(holder, "held_bytes")

    def close(self, holder: Holder, limit: str) -> None:
        """Close a connection for the sake of others.

        :param limit: name of the limit that was reached.
        """
        self.closed[limit] += 1
        logs.write_rate_limited(
            "caller_closed_for_room",
            limit=limit,
            held_bytes=holder.held_bytes,
            stalled_ms=int((time.monotonic() - holder.progress_s) * 1000),
        )
        self.remove(holder)
        holder.close_stalled()


def is_stalled(holder: Holder, now_s: float) -> bool:
    """Return whether a connection has waited too long for its caller."""
    return holder.is_waiting and now_s - holder.progress_s >= STALL_S
