"""Retry budgets: how many repeats each service may get from all entry hosts.

In any window a service may get a share of its first sends again, and a fixed
number on top of that.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, field

BUCKET_MS = 100
LEADERLESS_RETRY_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Bounds the repeats of one service.

    :param ratio: repeats for each first send of the window.
    :param slack: repeats beyond these.
    """

    ratio: float = 0.2
    slack: int = 10
    window_ms: int = 10_000


@dataclass(slots=True)
class _Bucket:
    started_ms: int
    firsts: int = 0
    repeats: int = 0


@dataclass(slots=True)
class _Window:
    """Counts the sends of one service in buckets, oldest first."""

    buckets: deque[_Bucket] = field(default_factory=deque)

    def current(self, window_ms: int, now_ms: int) -> _Bucket:
        """Return the bucket for now, after those before the window were dropped."""
        oldest_ms = now_ms - window_ms - BUCKET_MS
        while self.buckets and self.buckets[0].started_ms <= oldest_ms:
            self.buckets.popleft()
        if not self.buckets or now_ms - self.buckets[-1].started_ms >= BUCKET_MS:
            self.buckets.append(_Bucket(now_ms))
        return self.buckets[-1]

    def insert(self, bucket: _Bucket) -> None:
        """Add what was sent before now."""
        by_age = sorted((*self.buckets, bucket), key=lambda one: one.started_ms)
        self.buckets = deque(by_age)


class RetryBudgets:
    """Counts first sends and repeats by service and says which repeats fit.

    :param share: of the bound that is spent here, from 0 to 1.
    """

    def __init__(self, bounds: RetryLimits, share: float = 1.0):
        self.share = share
        self._bounds = bounds
        self._windows: dict[str, _Window] = defaultdict(_Window)

    def count_first(self, service: str, now_ms: int) -> None:
        """Count a first send."""
        self._current(service, now_ms).firsts += 1

    def take(self, service: str, now_ms: int) -> bool:
        """Count a repeat if it fits the budget, and tell whether it does."""
        bucket = self._current(service, now_ms)
        if self.left(service, now_ms) < 1:
            return False
        bucket.repeats += 1
        return True

    def give_back(self, service: str, now_ms: int) -> None:
        """Take back a repeat that was not sent."""
        bucket = self._current(service, now_ms)
        bucket.repeats -= 1

    def record(self, service: str, repeats: int, at_ms: int, now_ms: int) -> None:
        """Count repeats that another scheduler granted some time ago."""
        window = self._windows[service]
        window.current(self._bounds.window_ms, now_ms)
        window.insert(_Bucket(at_ms, repeats=repeats))

    def left(self, service: str, now_ms: int) -> float:
        """Return how many repeats fit at the moment.

        A bucket that the window holds in part counts for repeats, not for first
        sends.
        """
        self._current(service, now_ms)
        buckets = self._windows[service].buckets
        begin_ms = now_ms - self._bounds.window_ms
        firsts = sum(one.firsts for one in buckets if one.started_ms > begin_ms)
        repeats = sum(bucket.repeats for bucket in buckets)
        slack = self._bounds.slack * self.share
        return self._bounds.ratio * firsts + slack - repeats

    def _current(self, service: str, now_ms: int) -> _Bucket:
        return self._windows[service].current(self._bounds.window_ms, now_ms)
