"""Group commit: gathers claims, outcomes and strikes into few log entries."""

from dataclasses import dataclass, replace

from .control_types import ControlTiming
from .messages import ClaimBatch, ClaimRequest, OutcomeReport, StrikeReport


@dataclass(frozen=True, slots=True)
class QueuedParts:
    """Holds what goes into the next batch."""

    claims: tuple[ClaimRequest, ...]
    outcomes: tuple[OutcomeReport, ...]


@dataclass(frozen=True, slots=True)
class ReportKey:
    """Tells outcome reports apart."""

    key: str
    epoch: int
    host: str


@dataclass(frozen=True, slots=True)
class RequestKey:
    """Tells claim requests apart; a repeat replaces the one that waits."""

    host: str
    incarnation: int
    request_id: str


class ClaimBatcher:
    """Decides when a batch is proposed, and remembers what is on its way.

    With no other batch on its way a batch is due at once if it has a claim, since a
    caller waits for that; outcomes alone wait ``outcome_delay_ms`` for company. It is
    due in any case when it is full, or after ``batch_limit_ms``.
    """

    def __init__(self, timing: ControlTiming):
        self._timing = timing
        self._claims: dict[RequestKey, ClaimRequest] = {}
        self._outcomes: dict[ReportKey, OutcomeReport] = {}
        self._strikes: list[StrikeReport] = []
        self._in_flight: list[ClaimBatch] = []
        self._first_queued_ms = 0
        self._body_bytes = 0

    @property
    def queued(self) -> int:
        """Return how many parts wait for a batch."""
        return len(self._claims) + len(self._outcomes) + len(self._strikes)

    @property
    def in_flight(self) -> int:
        """Return how many batches were proposed and are not yet committed."""
        return len(self._in_flight)

    def add_claim(self, request: ClaimRequest, now_ms: int) -> bool:
        """Queue a claim; return false if there is no room."""
        if not self._has_room(now_ms):
            return False
        claim = request.claim
        key = RequestKey(
            claim.holder_host, claim.holder_incarnation, request.request_id
        )
        self._claims[key] = request
        return True

    def add_outcome(self, report: OutcomeReport, now_ms: int) -> bool:
        """Queue an outcome; return false if there is no room."""
        if not self._has_room(now_ms):
            return False
        key = ReportKey(report.key, report.epoch, report.holder_host)
        if key not in self._outcomes:
            self._outcomes[key] = self._recordable(report)
            self._body_bytes += len(self._outcomes[key].outcome.body)
        return True

    def add_strikes(self, report: StrikeReport, now_ms: int) -> bool:
        """Queue a report of strikes; return false if there is no room."""
        if not self._has_room(now_ms):
            return False
        self._strikes.append(report)
        return True

    def is_due(self, now_ms: int) -> bool:
        """Return whether a batch should be proposed now."""
        if not (self._claims or self._outcomes):
            return False
        if len(self._claims) + len(self._outcomes) >= self._timing.max_batch:
            return True
        if self._body_bytes >= self._timing.max_batch_bytes:
            return True
        waited_ms = now_ms - self._first_queued_ms
        if self._in_flight:
            return waited_ms >= self._timing.batch_limit_ms
        return bool(self._claims) or waited_ms >= self._timing.outcome_delay_ms

    def take(self) -> QueuedParts:
        """Remove and return the parts of the next batch, oldest first."""
        outcomes = self._take_outcomes()
        room = self._timing.max_batch - len(outcomes)
        claims = [self._claims.pop(k) for k in list(self._claims)[:room]]
        return QueuedParts(tuple(claims), tuple(outcomes))

    def _take_outcomes(self) -> list[OutcomeReport]:
        taken: list[OutcomeReport] = []
        taken_bytes = 0
        for key, report in list(self._outcomes.items()):
            taken_bytes += len(report.outcome.body)
            is_full = len(taken) >= self._timing.max_batch
            if is_full or (taken and taken_bytes > self._timing.max_batch_bytes):
                break
            taken.append(self._outcomes.pop(key))
            self._body_bytes -= len(report.outcome.body)
        return taken

    def _recordable(self, report: OutcomeReport) -> OutcomeReport:
        if len(report.outcome.body) <= self._timing.max_batch_bytes:
            return report
        outcome = replace(report.outcome, body=b"", is_replayable=False)
        return replace(report, outcome=outcome)

    def take_strikes(self) -> tuple[StrikeReport, ...]:
        """Remove and return the reports of strikes that wait."""
        strikes = tuple(self._strikes)
        self._strikes.clear()
        return strikes

    def proposed(self, batch: ClaimBatch) -> None:
        """Note that a batch is on its way."""
        self._in_flight.append(batch)

    def committed(self, batch: ClaimBatch) -> None:
        """Note that a batch was committed."""
        self._in_flight = [b for b in self._in_flight if b is not batch]

    def abandon(self) -> tuple[ClaimRequest, ...]:
        """Forget all parts; return the claims that were not answered."""
        claims = list(self._claims.values())
        for batch in self._in_flight:
            claims.extend(batch.claims)
        self.__init__(self._timing)
        return tuple(claims)

    def _has_room(self, now_ms: int) -> bool:
        if not self.queued:
            self._first_queued_ms = now_ms
        return self.queued < self._timing.max_queued
