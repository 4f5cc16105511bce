"""Retry budgets: limits on the retries of each service by all entry hosts.

In any window a service may get retries for a ratio of its first sends, and a fixed
number on top of that.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, field

BUCKET_MS = 100
LEADERLESS_RETRY_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits on the retries of one service.

    :param ratio: retries for each first send of the window.
    :param slack: retries beyond these.
    :param window_ms: length of the window.
    """

    ratio: float = 0.2
    slack: float = 10.0
    window_ms: int = 10_000


@dataclass(slots=True)
class _Bucket:
    started_ms: int
    first_sends: int = 0
    retries: int = 0


@dataclass(slots=True)
class _Window:
    """Sends of one service, counted in buckets, oldest first."""

    buckets: deque[_Bucket] = field(default_factory=deque)

    def current(self, window_ms: int, now_ms: int) -> _Bucket:
        """Drop the buckets before the window and return the current one."""
        oldest_ms = now_ms - window_ms - BUCKET_MS
        while self.buckets and self.buckets[0].started_ms <= oldest_ms:
            self.buckets.popleft()
        if not self.buckets or now_ms - self.buckets[-1].started_ms >= BUCKET_MS:
            self.buckets.append(_Bucket(now_ms))
        return self.buckets[-1]

    def remove_retry(self, at_ms: int) -> None:
        """Remove a retry that was counted at a time.

        Inserted buckets overlap others. The retry is taken from the oldest bucket that
        covers the time, so that none of the retries that are left expires too early.
        """
        for bucket in self.buckets:
            is_covered = bucket.started_ms <= at_ms < bucket.started_ms + BUCKET_MS
            if is_covered and bucket.retries:
                bucket.retries -= 1
                return

    def insert(self, bucket: _Bucket) -> None:
        """Add a bucket of past sends."""
        by_age = sorted((*self.buckets, bucket), key=lambda bucket: bucket.started_ms)
        self.buckets = deque(by_age)


class RetryBudgets:
    """Counters of first sends and retries by service, with their limits.

    :param share: share of the slack that may be spent here, from 0 to 1.
    """

    def __init__(self, limits: RetryLimits, share: float = 1.0):
        self.share = share
        self._limits = limits
        self._windows: dict[str, _Window] = defaultdict(_Window)

    def count_first_send(self, service: str, now_ms: int) -> None:
        """Count a first send."""
        self._current(service, now_ms).first_sends += 1

    def allows(self, service: str, now_ms: int) -> bool:
        """Return whether a retry fits the budget now."""
        return self.remaining(service, now_ms) >= 1

    def take(self, service: str, now_ms: int) -> bool:
        """Count a retry if it fits the budget, and return whether it does."""
        if not self.allows(service, now_ms):
            return False
        self._current(service, now_ms).retries += 1
        return True

    def refund(self, service: str, at_ms: int, now_ms: int) -> None:
        """Refund a retry that was not sent, unless it has left the window.

        :param at_ms: time at which it was counted.
        """
        self._current(service, now_ms)
        self._windows[service].remove_retry(at_ms)

    def record(self, service: str, retries: int, at_ms: int, now_ms: int) -> None:
        """Count retries that another scheduler granted in the past."""
        window = self._windows[service]
        window.current(self._limits.window_ms, now_ms)
        window.insert(_Bucket(at_ms, retries=retries))

    def remaining(self, service: str, now_ms: int) -> float:
        """Return the number of retries that fit the budget now.

        A bucket that lies only partly in the window counts for retries, but not for
        first sends.
        """
        self._current(service, now_ms)
        buckets = self._windows[service].buckets
        window_start_ms = now_ms - self._limits.window_ms
        first_sends = sum(
            bucket.first_sends
            for bucket in buckets
            if bucket.started_ms > window_start_ms
        )
        retries = sum(bucket.retries for bucket in buckets)
        slack = self._limits.slack * self.share
        return self._limits.ratio * first_sends + slack - retries

    def _current(self, service: str, now_ms: int) -> _Bucket:
        return self._windows[service].current(self._limits.window_ms, now_ms)
