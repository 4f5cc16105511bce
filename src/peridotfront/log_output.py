"""Bounded output of log lines: it never blocks, and counts what it leaves out."""

import os
import time
from collections import Counter
from dataclasses import dataclass, field

MAX_BUFFER_BYTES = 256 * 1024
LINES_PER_S = 100.0
BURST_LINES = 200.0


class BoundedStream:
    """Writes lines to a file descriptor without ever waiting for its reader.

    What does not fit into the buffer is left out.

    :param fd: set to non-blocking mode.
    """

    def __init__(self, fd: int, max_buffer_bytes: int = MAX_BUFFER_BYTES):
        os.set_blocking(fd, False)
        self._fd = fd
        self._max_buffer_bytes = max_buffer_bytes
        self._buffer = bytearray()
        self.lost_lines = 0

    def write(self, text: str) -> None:
        """Write one line, or keep it until the reader goes on."""
        data = text.encode("utf-8", "backslashreplace")
        self._drain()
        if len(self._buffer) + len(data) > self._max_buffer_bytes:
            self.lost_lines += 1
            return
        self._buffer += data
        self._drain()

    def flush(self) -> None:
        """Hand on what the reader takes at the moment."""
        self._drain()

    def _drain(self) -> None:
        while self._buffer:
            try:
                written = os.write(self._fd, self._buffer)
            except BlockingIOError:
                return
            del self._buffer[:written]


@dataclass(slots=True)
class _Bucket:
    lines: float = BURST_LINES
    filled_s: float = field(default_factory=time.monotonic)


class LineBudget:
    """Bounds the lines of each event; what goes beyond is counted.

    :param lines_per_s: of one event.
    """

    def __init__(self, lines_per_s: float = LINES_PER_S, burst: float = BURST_LINES):
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._buckets: dict[str, _Bucket] = {}
        self._left_out: Counter[str] = Counter()

    def take(self, event_name: str) -> bool:
        """Tell whether one more line of an event fits."""
        now_s = time.monotonic()
        bucket = self._buckets.get(event_name)
        if bucket is None:
            bucket = self._buckets[event_name] = _Bucket(self._burst, now_s)
        gained = (now_s - bucket.filled_s) * self._lines_per_s
        bucket.lines = min(self._burst, bucket.lines + gained)
        bucket.filled_s = now_s
        if bucket.lines < 1:
            self._left_out[event_name] += 1
            return False
        bucket.lines -= 1
        return True

    def take_left_out(self) -> dict[str, int]:
        """Return the lines left out by event since the last call."""
        left_out = dict(self._left_out)
        self._left_out.clear()
        return left_out
