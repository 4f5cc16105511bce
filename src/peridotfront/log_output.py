"""Bounded output of log lines that never blocks and counts the lines it drops."""

import os
import time
from collections import Counter
from dataclasses import dataclass, field

MAX_BUFFER_BYTES = 256 * 1024
LINES_PER_S = 100.0
BURST_LINES = 200.0


class BoundedStream:
    """Non-blocking writer of lines to a file descriptor.

    Lines that do not fit into the buffer are dropped and counted.

    :param fd: file descriptor; it is set to non-blocking mode.
    :param max_buffer_bytes: limit on the data that the reader has not taken yet.
    """

    def __init__(self, fd: int, max_buffer_bytes: int = MAX_BUFFER_BYTES):
        os.set_blocking(fd, False)
        self._fd = fd
        self._max_buffer_bytes = max_buffer_bytes
        self._buffer = bytearray()
        self.dropped_lines = 0

    def write(self, text: str) -> None:
        """Write one line, or buffer it until the reader takes more."""
        data = text.encode("utf-8", "backslashreplace")
        self._write_buffered()
        if len(self._buffer) + len(data) > self._max_buffer_bytes:
            self.dropped_lines += 1
            return
        self._buffer += data
        self._write_buffered()

    def flush(self) -> None:
        """Write as much of the buffer as the reader takes without blocking."""
        self._write_buffered()

    def _write_buffered(self) -> None:
        while self._buffer:
            try:
                written = os.write(self._fd, self._buffer)
            except BlockingIOError:
                return
            del self._buffer[:written]


@dataclass(slots=True)
class _TokenBucket:
    lines: float = BURST_LINES
    refilled_s: float = field(default_factory=time.monotonic)


class LineRateLimiter:
    """Rate limiter per event, which counts the lines above the limit.

    :param lines_per_s: rate limit of each event, in lines per second.
    :param burst: number of lines of each event that may exceed the rate.
    """

    def __init__(self, lines_per_s: float = LINES_PER_S, burst: float = BURST_LINES):
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._buckets: dict[str, _TokenBucket] = {}
        self._suppressed: Counter[str] = Counter()

    def allow(self, event_name: str) -> bool:
        """Return whether one more line of an event is within its limit."""
        now_s = time.monotonic()
        bucket = self._buckets.get(event_name)
        if bucket is None:
            bucket = self._buckets[event_name] = _TokenBucket(self._burst, now_s)
        refill = (now_s - bucket.refilled_s) * self._lines_per_s
        bucket.lines = min(self._burst, bucket.lines + refill)
        bucket.refilled_s = now_s
        if bucket.lines < 1:
            self._suppressed[event_name] += 1
            return False
        bucket.lines -= 1
        return True

    def take_suppressed(self) -> dict[str, int]:
        """Return the number of suppressed lines by event since the last call."""
        suppressed = dict(self._suppressed)
        self._suppressed.clear()
        return suppressed
