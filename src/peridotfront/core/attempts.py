"""What one request was sent to, and whether it may be sent once more."""

from collections import Counter

from .messages import ReleaseCause
from .releases import DELIVERED_NOT_EXECUTED_CAUSES
from .routes import Route, RouteKind
from .verdicts import Verdict

# Sends that did not run, of each kind, after which another upstream may follow.
MAX_UNRUN = {
    ReleaseCause.NOT_SENT: 0,
    ReleaseCause.UNREACHABLE: 3,
    ReleaseCause.OTHER_UPSTREAM: 2,
    ReleaseCause.REJECTED: 2,
}
FIRST_SILENCE_SPARE_MS = 500
MIN_SILENCE_MS = 600
STREAM_SILENCE_MS = 1500
STREAM_PATIENCE_MS = 2000
GOALS_OF_PATIENCE = 4
GAPS_OF_PATIENCE = 8
MIN_WORK_MS = 40
WORK_SHARE = 0.5


class AttemptHistory:
    """Counts the upstreams that one request met.

    :param route: says what may be repeated, and at how many upstreams.
    """

    def __init__(self, route: Route):
        self._route = route
        self._unrun: Counter[ReleaseCause] = Counter()
        self.ran = 0
        self.excluded: list[str] = []

    @property
    def is_repeat(self) -> bool:
        """Tell whether an upstream got the request before."""
        reached = sum(self._unrun[cause] for cause in DELIVERED_NOT_EXECUTED_CAUSES)
        return self.ran + reached > 0

    @property
    def verdict(self) -> Verdict:
        """Tell whether the request may have run."""
        return Verdict.MAY_HAVE_RUN if self.ran else Verdict.NOT_RUN

    @property
    def allow_retry_after_execution(self) -> bool:
        """Tell whether the request may be sent again after the run under way."""
        return self._route.is_repeatable and self.ran + 1 < self._route.attempts

    def allow_retry(self, upstream: str, cause: ReleaseCause) -> bool:
        """Note how a send ended, and tell whether another upstream may follow."""
        self.excluded.append(upstream)
        if cause in MAX_UNRUN:
            self._unrun[cause] += 1
            return self._unrun[cause] <= MAX_UNRUN[cause]
        allow_retry = self.allow_retry_after_execution
        self.ran += 1
        return allow_retry


def failover_timeout_ms(route: Route, attempts: AttemptHistory, left_ms: int) -> int:
    """Return how long an upstream may be silent before another one is tried.

    Without another one to try, a silent upstream is waited for to the end.
    """
    if not attempts.allow_retry_after_execution:
        return left_ms
    if route.kind is RouteKind.STREAMING:
        wanted_ms = max(STREAM_SILENCE_MS, route.goal_ms + FIRST_SILENCE_SPARE_MS)
    else:
        wanted_ms = max(MIN_SILENCE_MS, 2 * route.goal_ms)
    return min(left_ms, wanted_ms)


def min_service_time_ms(route: Route) -> int:
    """Return the time that a request needs at its upstream to be worth a send."""
    return max(MIN_WORK_MS, int(route.goal_ms * WORK_SHARE))


def first_byte_timeout_ms(route: Route) -> int:
    """Return how long callers of a route wait for the first part of an answer."""
    if route.kind is not RouteKind.STREAMING:
        return route.timeout_ms
    stream_ms = max(
        STREAM_PATIENCE_MS,
        GOALS_OF_PATIENCE * route.goal_ms,
        GAPS_OF_PATIENCE * route.gap_target_ms,
    )
    return min(route.timeout_ms, stream_ms)
