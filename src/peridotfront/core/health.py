"""Health of one upstream: circuit breaking, probes and slow start."""

from enum import StrEnum

INITIAL_BACKOFF_MS = 1000
MAX_BACKOFF_MS = 30_000
ERRORS_TO_OPEN = 5
TIMEOUTS_TO_OPEN = 2
INITIAL_RAMP_SLOTS = 2
FAILURE_GAIN = 0.15
FAILURE_HALF_LIFE_MS = 5000
LATE_PROGRESS_MS = 100


class HealthState(StrEnum):
    """State of an upstream's circuit breaker."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    DOWN = "down"
    PROBING = "probing"
    RAMPING = "ramping"


class Health:
    """Circuit breaker that limits the slots of an upstream by its recent failures.

    :param max_backoff_ms: longest time until a failed upstream is probed.
    :param died_backoff_ms: time until an upstream is probed that was healthy when a
        connection to it broke; a broken connection does not prove that it died.
    """

    def __init__(
        self,
        max_backoff_ms: int = MAX_BACKOFF_MS,
        died_backoff_ms: int = INITIAL_BACKOFF_MS,
    ):
        self.max_backoff_ms = max_backoff_ms
        self.died_backoff_ms = died_backoff_ms
        self.state = HealthState.HEALTHY
        self.down_ms = -1
        self.ramp_slots = INITIAL_RAMP_SLOTS
        self._failure_share = 0.0
        self._failure_share_ms = 0
        self._backoff_ms = INITIAL_BACKOFF_MS
        self._probe_at_ms = 0
        self._errors = 0
        self._timeouts = 0
        self._progress_ms = -1
        self._is_early_probe = False
        self._is_timed_out = False
        self._timed_out_ms = -1

    def slots(self, limit: int, now_ms: int) -> int:
        """Return how many of the upstream's slots may be used.

        The call starts the probe of an upstream whose backoff has ended.
        """
        if self.state is HealthState.HEALTHY:
            return limit
        if self.state is HealthState.RAMPING:
            return min(limit, self.ramp_slots)
        if self.state is HealthState.DOWN and now_ms >= self._probe_at_ms:
            self.state = HealthState.PROBING
        return 1 if self.state is HealthState.PROBING else 0

    def probe_early(self) -> None:
        """Start a probe before the backoff has ended; its failure prolongs nothing."""
        self.state = HealthState.PROBING
        self._is_early_probe = True

    def next_probe_ms(self, now_ms: int) -> int:
        """Return the time until the upstream is probed."""
        return max(0, self._probe_at_ms - now_ms)

    def died(self, granted_ms: int, now_ms: int) -> bool:
        """Open the circuit and return whether this death is a new one.

        :param granted_ms: time at which the request that failed was granted.
        """
        self._count_failure(now_ms)
        if granted_ms <= self.down_ms:
            return False
        self.down_ms = now_ms
        was_healthy = self.state is HealthState.HEALTHY
        self._open_circuit(now_ms)
        if was_healthy:
            self._probe_at_ms = now_ms + self.died_backoff_ms
        return True

    def unreachable(self, now_ms: int) -> None:
        """Open the circuit after a connection was refused."""
        if self.state is not HealthState.DOWN:
            self._open_circuit(now_ms)

    def failed(self, is_timeout: bool, now_ms: int) -> None:
        """Record an error or timeout.

        A failed probe, or several failures without progress between them, open the
        circuit. Later tokens close it again if there were several timeouts, but not
        after a failed probe: they don't show that new requests are answered.
        """
        self._count_failure(now_ms)
        if is_timeout:
            self._timeouts += 1
            self._timed_out_ms = now_ms
        else:
            self._errors += 1
        is_probe = self.state is HealthState.PROBING
        too_many = self._timeouts >= TIMEOUTS_TO_OPEN or self._errors >= ERRORS_TO_OPEN
        if is_probe or too_many:
            is_timed_out = is_timeout and not is_probe
            if self.state is HealthState.DOWN:
                is_timed_out = self._is_timed_out
            self._open_circuit(now_ms)
            self._is_timed_out = is_timed_out

    def completed(self) -> None:
        """Record that a request got its complete answer."""
        self._failure_share -= self._failure_share * FAILURE_GAIN

    def progressed(
        self,
        granted_ms: int,
        limit: int,
        now_ms: int,
        produced_ms: int | None = None,
    ) -> None:
        """Record that a request got tokens or completed, and ramp up a recovery.

        Progress of a request that was granted before the upstream was considered dead
        shows that only a connection had broken. It counts from ``LATE_PROGRESS_MS``
        after that time on. Tokens that were produced so long after the last timeout
        show that an upstream was silent for a moment only.

        :param granted_ms: time at which the request was granted.
        :param limit: slot limit at which the upstream counts as healthy again.
        :param produced_ms: time at which the last token was produced; None if unknown.
        """
        if granted_ms <= self.down_ms:
            if now_ms - self.down_ms >= LATE_PROGRESS_MS:
                self._recover()
            return
        self._progress_ms = now_ms
        self._errors = 0
        self._timeouts = 0
        if self._is_recovering(produced_ms):
            self.state = HealthState.RAMPING
            self.ramp_slots = INITIAL_RAMP_SLOTS
        elif self.state is HealthState.RAMPING:
            self.ramp_slots += 1
        if self.state is HealthState.RAMPING and self.ramp_slots >= limit:
            self._recover()

    def _is_recovering(self, produced_ms: int | None) -> bool:
        """Return whether progress shows that an upstream works that was doubted."""
        if self.state is HealthState.DOWN:
            return (
                self._is_timed_out
                and produced_ms is not None
                and produced_ms >= self._timed_out_ms + LATE_PROGRESS_MS
            )
        return self.state in (HealthState.PROBING, HealthState.SUSPECT)

    def failure_share(self, now_ms: int) -> float:
        """Return the recent share of requests that failed at the upstream.

        It falls with time too: an upstream that is passed by completes no request.
        """
        if not self._failure_share:
            return 0.0
        elapsed_ms = now_ms - self._failure_share_ms
        return self._failure_share * 0.5 ** (elapsed_ms / FAILURE_HALF_LIFE_MS)

    def _count_failure(self, now_ms: int) -> None:
        share = self.failure_share(now_ms)
        self._failure_share = share + (1 - share) * FAILURE_GAIN
        self._failure_share_ms = now_ms

    def reinstate(self) -> None:
        """Close the circuit and forget recent failures, which had other causes."""
        self._recover()
        self._errors = 0
        self._timeouts = 0
        self._failure_share = 0.0

    def _recover(self) -> None:
        self.state = HealthState.HEALTHY
        self._backoff_ms = INITIAL_BACKOFF_MS

    def reported_dead(self, suspect_after_ms: int, now_ms: int) -> None:
        """Open the circuit after a report that the upstream is dead.

        The report may be outdated: it is ignored if there was progress within
        ``suspect_after_ms``.
        """
        if self.state is HealthState.DOWN:
            return
        if now_ms - self._progress_ms > suspect_after_ms:
            self._open_circuit(now_ms)

    def stalled(self) -> None:
        """Mark the upstream as suspect, since its requests make no progress."""
        if self.state in (HealthState.HEALTHY, HealthState.RAMPING):
            self.state = HealthState.SUSPECT

    def emptied(self, now_ms: int) -> None:
        """Open the circuit of a suspect that is idle, so that a probe tests it."""
        if self.state is HealthState.SUSPECT:
            self._open_circuit(now_ms)

    def _open_circuit(self, now_ms: int) -> None:
        self._errors = 0
        self._timeouts = 0
        is_early_probe = self._is_early_probe and self.state is HealthState.PROBING
        self.state = HealthState.DOWN
        self._is_early_probe = False
        self._is_timed_out = False
        if is_early_probe:
            return
        self._probe_at_ms = now_ms + self._backoff_ms
        self._backoff_ms = min(self.max_backoff_ms, self._backoff_ms * 2)
