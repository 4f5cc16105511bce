"""Limits on the requests a second that upstreams take from all hosts together.

The leader grants slots for all hosts, within the whole limit. A host without a leader
uses a small share of it.
"""

from collections.abc import Container, Iterable, Iterator
from dataclasses import dataclass

from .messages import NamedLimit

# An upstream must be asked now and then whether its limit still holds.
MIN_REQUESTS_PER_S = 0.1
BURST_S = 0.25
# With it, all hosts together stay within one and a half times the limit in a cut.
LEADERLESS_LIMIT_SHARE = 0.4
NO_LIMIT = -1.0
# An upstream may name its limit in rejections only; then successes don't take it back.
LIMIT_HOLD_MS = 2000
REJECTED_FACTOR = 0.7
ACCEPTED_STEP = 0.15


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one upstream.

    :param requests_per_s: limit that the upstream named.
    :param tokens: requests that may be sent at ``updated_ms``.
    :param since_ms: time at which a limit was first known.
    :param named_ms: time at which a limit was last named.
    :param usable_share: share of the limit that is used; less than 1 after requests
        within the limit were rejected.
    """

    requests_per_s: float
    tokens: float
    updated_ms: int
    since_ms: int
    named_ms: int
    usable_share: float = 1.0


class UpstreamLimits:
    """Limits that upstreams have named, each with the requests it allows now.

    ``share`` is the share of each limit that may be used here, from 0 to 1.
    """

    def __init__(self) -> None:
        self.share = 1.0
        self._buckets: dict[str, _Bucket] = {}

    def __len__(self) -> int:
        return len(self._buckets)

    def is_known_since(self, upstream: str, at_ms: int) -> bool:
        """Return whether an upstream was known at a time to have a limit."""
        bucket = self._buckets.get(upstream)
        return bucket is not None and bucket.since_ms <= at_ms

    def set(self, named: NamedLimit, now_ms: int) -> bool:
        """Set the limit of an upstream, or remove it, and return whether it changed.

        A limit that was named within ``LIMIT_HOLD_MS`` is not removed.
        """
        upstream = named.upstream
        bucket = self._buckets.get(upstream)
        if named.requests_per_s < 0:
            if bucket is None or now_ms - bucket.named_ms < LIMIT_HOLD_MS:
                return False
            del self._buckets[upstream]
            return True
        is_changed = self._set_rate(named, now_ms)
        self._buckets[upstream].named_ms = now_ms
        return is_changed

    def _set_rate(self, named: NamedLimit, now_ms: int) -> bool:
        """Set the rate of an upstream and return whether it changed."""
        bucket = self._buckets.get(named.upstream)
        if bucket is None:
            self._buckets[named.upstream] = _Bucket(
                named.requests_per_s, 0.0, now_ms, now_ms, now_ms
            )
            return True
        self._refill(bucket, now_ms)
        is_changed = bucket.requests_per_s != named.requests_per_s
        bucket.requests_per_s = named.requests_per_s
        return is_changed

    def replace(self, limits: Iterable[NamedLimit], now_ms: int) -> None:
        """Replace all limits, as another host knows them."""
        named = {limit.upstream: limit for limit in limits if limit.requests_per_s >= 0}
        for upstream in self._buckets.keys() - named.keys():
            del self._buckets[upstream]
        for limit in named.values():
            self._set_rate(limit, now_ms)

    def retain(self, upstreams: Container[str]) -> None:
        """Drop the limits of other upstreams than these."""
        for upstream in [name for name in self._buckets if name not in upstreams]:
            del self._buckets[upstream]

    def restart(self, now_ms: int) -> None:
        """Begin with no request allowed, since others may have used the limits."""
        for bucket in self._buckets.values():
            bucket.tokens = 0.0
            bucket.updated_ms = now_ms

    def all(self) -> Iterator[NamedLimit]:
        """Yield all limits."""
        for upstream, bucket in self._buckets.items():
            yield NamedLimit(upstream, bucket.requests_per_s)

    def allows(self, upstream: str, now_ms: int) -> bool:
        """Return whether a request may be sent to an upstream now."""
        bucket = self._buckets.get(upstream)
        if bucket is None:
            return True
        self._refill(bucket, now_ms)
        return bucket.tokens >= 1

    def take(self, upstream: str, now_ms: int) -> None:
        """Count a request that is sent to an upstream."""
        bucket = self._buckets.get(upstream)
        if bucket is not None:
            self._refill(bucket, now_ms)
            bucket.tokens -= 1

    def refund(self, upstream: str) -> None:
        """Refund a request that was not sent."""
        bucket = self._buckets.get(upstream)
        if bucket is not None:
            bucket.tokens += 1

    def accepted(self, upstream: str) -> None:
        """Count a request that an upstream answered."""
        bucket = self._buckets.get(upstream)
        if bucket is not None:
            bucket.usable_share = min(1.0, bucket.usable_share + ACCEPTED_STEP)

    def rejected(self, upstream: str, sent_ms: int, now_ms: int) -> bool:
        """Count a request that an upstream rejected.

        :param sent_ms: time at which the request was sent.
        :return: whether the upstream has a limit, which explains the rejection.
        """
        bucket = self._buckets.get(upstream)
        if bucket is None:
            return False
        if sent_ms > bucket.since_ms:
            self._refill(bucket, now_ms)
            bucket.usable_share *= REJECTED_FACTOR
        return True

    def usable_slots(self, upstream: str, slots: int, hold_ms: float) -> float:
        """Return how many slots of an upstream its limit lets be in use.

        :param slots: usable slots without the limit.
        :param hold_ms: time for which a request holds a slot.
        """
        bucket = self._buckets.get(upstream)
        if bucket is None:
            return slots
        return min(slots, self._rate(bucket) * hold_ms / 1000)

    def _rate(self, bucket: _Bucket) -> float:
        requests_per_s = bucket.requests_per_s * bucket.usable_share
        return max(requests_per_s, MIN_REQUESTS_PER_S) * self.share

    def _refill(self, bucket: _Bucket, now_ms: int) -> None:
        rate = self._rate(bucket)
        elapsed_s = (now_ms - bucket.updated_ms) / 1000
        capacity = max(1.0, rate * BURST_S)
        bucket.tokens = min(capacity, bucket.tokens + rate * elapsed_s)
        bucket.updated_ms = now_ms
