"""Health of one upstream: circuit breaking, probes and slow start."""

from enum import StrEnum

FIRST_BACKOFF_MS = 1000
MAX_BACKOFF_MS = 30_000
ERRORS_TO_OPEN = 5
TIMEOUTS_TO_OPEN = 2
FIRST_RAMP_SLOTS = 2
FAILURE_GAIN = 0.15
LATE_NEWS_MS = 100


class HealthState(StrEnum):
    """Names what an upstream may be sent."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    DOWN = "down"
    PROBING = "probing"
    RAMPING = "ramping"


class Health:
    """Decides how many requests an upstream may be trusted with.

    ``failure_share`` is the recent share of requests that failed there, though the
    upstream may say that it is well.

    :param max_backoff_ms: until an upstream that failed is tried again, at most.
    :param died_backoff_ms: until one is tried again that was well until a connection
        to it broke, which need not be its end.
    """

    def __init__(
        self,
        max_backoff_ms: int = MAX_BACKOFF_MS,
        died_backoff_ms: int = FIRST_BACKOFF_MS,
    ):
        self.max_backoff_ms = max_backoff_ms
        self.died_backoff_ms = died_backoff_ms
        self.state = HealthState.HEALTHY
        self.down_ms = -1
        self.ramp_slots = FIRST_RAMP_SLOTS
        self.failure_share = 0.0
        self._backoff_ms = FIRST_BACKOFF_MS
        self._probe_at_ms = 0
        self._errors = 0
        self._timeouts = 0
        self._progress_ms = -1

    def slots(self, limit: int, now_ms: int) -> int:
        """Return how many of the upstream's slots may be used."""
        if self.state is HealthState.HEALTHY:
            return limit
        if self.state is HealthState.RAMPING:
            return min(limit, self.ramp_slots)
        if self.state is HealthState.DOWN and now_ms >= self._probe_at_ms:
            self.state = HealthState.PROBING
        return 1 if self.state is HealthState.PROBING else 0

    def next_probe_ms(self, now_ms: int) -> int:
        """Return the time until the upstream is tried again."""
        return max(0, self._probe_at_ms - now_ms)

    def died(self, granted_ms: int, now_ms: int) -> bool:
        """Open the circuit; return whether this death was not yet known.

        :param granted_ms: when the request that met the death was granted.
        """
        self._count_failure()
        if granted_ms <= self.down_ms:
            return False
        self.down_ms = now_ms
        was_well = self.state is HealthState.HEALTHY
        self._open(now_ms)
        if was_well:
            self._probe_at_ms = now_ms + self.died_backoff_ms
        return True

    def unreachable(self, now_ms: int) -> None:
        """Open the circuit, as a connection was refused."""
        if self.state is not HealthState.DOWN:
            self._open(now_ms)

    def failed(self, is_timeout: bool, now_ms: int) -> None:
        """Count an error or time-out; several in a row open the circuit."""
        self._count_failure()
        if is_timeout:
            self._timeouts += 1
        else:
            self._errors += 1
        is_probe = self.state is HealthState.PROBING
        too_many = self._timeouts >= TIMEOUTS_TO_OPEN or self._errors >= ERRORS_TO_OPEN
        if is_probe or too_many:
            self._open(now_ms)

    def completed(self) -> None:
        """Note that a request got its whole answer."""
        self.failure_share -= self.failure_share * FAILURE_GAIN

    def progressed(self, granted_ms: int, limit: int, now_ms: int) -> None:
        """Note that a request got its first token or its end.

        One that was granted before the upstream was judged dead, and goes on after
        that, shows that only a connection had broken.
        """
        if granted_ms <= self.down_ms:
            if now_ms - self.down_ms >= LATE_NEWS_MS:
                self._recover()
            return
        self._progress_ms = now_ms
        self._errors = 0
        self._timeouts = 0
        if self.state in (HealthState.PROBING, HealthState.SUSPECT):
            self.state = HealthState.RAMPING
            self.ramp_slots = FIRST_RAMP_SLOTS
        elif self.state is HealthState.RAMPING:
            self.ramp_slots += 1
        if self.state is HealthState.RAMPING and self.ramp_slots >= limit:
            self._recover()

    def _count_failure(self) -> None:
        self.failure_share += (1 - self.failure_share) * FAILURE_GAIN

    def _recover(self) -> None:
        self.state = HealthState.HEALTHY
        self._backoff_ms = FIRST_BACKOFF_MS

    def reported_dead(self, suspect_after_ms: int, now_ms: int) -> None:
        """Take in a report, maybe old, that the upstream does not live."""
        if self.state is HealthState.DOWN:
            return
        if now_ms - self._progress_ms > suspect_after_ms:
            self._open(now_ms)

    def stalled(self) -> None:
        """Note that requests there make no progress."""
        if self.state in (HealthState.HEALTHY, HealthState.RAMPING):
            self.state = HealthState.SUSPECT

    def emptied(self, now_ms: int) -> None:
        """Note that nothing runs there any more, so that only a probe can tell."""
        if self.state is HealthState.SUSPECT:
            self._open(now_ms)

    def _open(self, now_ms: int) -> None:
        self.state = HealthState.DOWN
        self._probe_at_ms = now_ms + self._backoff_ms
        self._backoff_ms = min(self.max_backoff_ms, self._backoff_ms * 2)
        self._errors = 0
        self._timeouts = 0
