"""Send attempts of one request, and the rules for retries and time limits."""

from collections import Counter

from .messages import ReleaseCause
from .releases import DELIVERED_NOT_EXECUTED_CAUSES
from .routes import Route, RouteKind
from .verdicts import Verdict

# Number of attempts of a request that are retried after they ended with a cause that
# rules out an execution.
MAX_NOT_EXECUTED = {
    ReleaseCause.NOT_SENT: 2,
    ReleaseCause.UNREACHABLE: 3,
    ReleaseCause.RELAY_UNREACHABLE: 3,
    ReleaseCause.OTHER_UPSTREAM: 2,
    ReleaseCause.REJECTED: 2,
}
FIRST_EVENT_MARGIN_MS = 500
MIN_FAILOVER_TIMEOUT_MS = 600
MIN_STREAM_FAILOVER_TIMEOUT_MS = 1500
MIN_STREAM_FIRST_BYTE_TIMEOUT_MS = 2000
FIRST_BYTE_TIMEOUT_GOALS = 4
FIRST_BYTE_TIMEOUT_GAPS = 8
MIN_SERVICE_TIME_MS = 40
SERVICE_TIME_GOAL_RATIO = 0.5


class AttemptHistory:
    """History of the send attempts of one request.

    :param route: route of the request; its kind and ``attempts`` limit the retries.
    """

    def __init__(self, route: Route):
        self._route = route
        self._not_executed: Counter[ReleaseCause] = Counter()
        self.executed_count = 0
        self.excluded: list[str] = []
        self._rejecting_addresses: set[str] = set()

    @property
    def is_repeat(self) -> bool:
        """Return whether the request was delivered to an upstream before."""
        delivered_count = sum(
            self._not_executed[cause] for cause in DELIVERED_NOT_EXECUTED_CAUSES
        )
        return self.executed_count + delivered_count > 0

    @property
    def verdict(self) -> Verdict:
        """Return whether the request may have been executed."""
        return Verdict.MAY_HAVE_RUN if self.executed_count else Verdict.NOT_RUN

    @property
    def allow_retry_after_execution(self) -> bool:
        """Return whether the request may be retried after the current execution."""
        return (
            self._route.is_repeatable and self.executed_count + 1 < self._route.attempts
        )

    def has_rejected(self, address: str) -> bool:
        """Return whether the upstream at an address has rejected the request.

        It must not get the request again: a late copy of the rejection would be taken
        for the answer to the second send. After a restart an upstream can be listed
        under two names with the same address.
        """
        return address in self._rejecting_addresses

    def exclude(self, upstream: str) -> None:
        """Exclude an upstream from later attempts."""
        self.excluded.append(upstream)

    def allow_retry(self, upstream: str, address: str, cause: ReleaseCause) -> bool:
        """Record how an attempt ended, and return whether a retry is allowed.

        :param upstream: upstream of the attempt; excluded from later attempts, unless
            a relay was at fault.
        :param address: IP address and port that the request was sent to.
        :param cause: cause with which the slot was released.
        """
        if cause is not ReleaseCause.RELAY_UNREACHABLE:
            self.exclude(upstream)
        if cause is ReleaseCause.REJECTED:
            self._rejecting_addresses.add(address)
        if cause in MAX_NOT_EXECUTED:
            self._not_executed[cause] += 1
            return self._not_executed[cause] <= MAX_NOT_EXECUTED[cause]
        allow_retry = self.allow_retry_after_execution
        self.executed_count += 1
        return allow_retry


def failover_timeout_ms(route: Route) -> int:
    """Return the silence of an upstream after which another one is sought, in ms."""
    if route.kind is RouteKind.STREAMING:
        return max(
            MIN_STREAM_FAILOVER_TIMEOUT_MS, route.goal_ms + FIRST_EVENT_MARGIN_MS
        )
    return max(MIN_FAILOVER_TIMEOUT_MS, 2 * route.goal_ms)


def min_service_time_ms(route: Route) -> int:
    """Return the least remaining time for which a request is still sent, in ms."""
    return max(MIN_SERVICE_TIME_MS, int(route.goal_ms * SERVICE_TIME_GOAL_RATIO))


def first_byte_timeout_ms(route: Route) -> int:
    """Return the time limit for the first byte of an answer of a route, in ms."""
    if route.kind is not RouteKind.STREAMING:
        return route.timeout_ms
    stream_ms = max(
        MIN_STREAM_FIRST_BYTE_TIMEOUT_MS,
        FIRST_BYTE_TIMEOUT_GOALS * route.goal_ms,
        FIRST_BYTE_TIMEOUT_GAPS * route.gap_target_ms,
    )
    return min(route.timeout_ms, stream_ms)
