"""Group commit: batching of claims, outcomes and strikes into few log entries."""

from dataclasses import dataclass, replace

from .control_types import ControlTiming
from .messages import ClaimBatch, ClaimRequest, OutcomeReport, StrikeReport


@dataclass(frozen=True, slots=True)
class BatchParts:
    """Claims and outcomes of the next batch."""

    claims: tuple[ClaimRequest, ...]
    outcomes: tuple[OutcomeReport, ...]


@dataclass(frozen=True, slots=True)
class ReportKey:
    """Identity of an outcome report; a repeat of a queued one is dropped."""

    key: str
    epoch: int
    host: str


@dataclass(frozen=True, slots=True)
class RequestKey:
    """Identity of a claim request; a repeat replaces the queued one."""

    host: str
    incarnation: int
    request_id: str


class ClaimBatcher:
    """Queue that decides when a batch is proposed, and tracks the batches in flight.

    If no other batch is in flight, a batch with a claim is due immediately, since a
    caller waits for it; outcomes alone wait ``outcome_delay_ms`` for more parts. While
    one is in flight, a batch is due after ``batch_limit_ms``. A full batch is always
    due.

    :param timing: delays and size limits.
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
        """Return the number of claims, outcomes and strike reports in the queue."""
        return len(self._claims) + len(self._outcomes) + len(self._strikes)

    @property
    def in_flight(self) -> int:
        """Return the number of batches that are proposed and not yet committed."""
        return len(self._in_flight)

    def add_claim(self, request: ClaimRequest, now_ms: int) -> bool:
        """Queue a claim; return False if the queue is full."""
        if not self._has_capacity(now_ms):
            return False
        claim = request.claim
        key = RequestKey(
            claim.holder_host, claim.holder_incarnation, request.request_id
        )
        self._claims[key] = request
        return True

    def add_outcome(self, report: OutcomeReport, now_ms: int) -> bool:
        """Queue an outcome; return False if the queue is full."""
        if not self._has_capacity(now_ms):
            return False
        key = ReportKey(report.key, report.epoch, report.holder_host)
        if key not in self._outcomes:
            self._outcomes[key] = self._limit_body(report)
            self._body_bytes += len(self._outcomes[key].outcome.body)
        return True

    def add_strikes(self, report: StrikeReport, now_ms: int) -> bool:
        """Queue a strike report; return False if the queue is full."""
        if not self._has_capacity(now_ms):
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

    def take(self) -> BatchParts:
        """Remove and return the claims and outcomes of the next batch, oldest first."""
        outcomes = self._take_outcomes()
        capacity = self._timing.max_batch - len(outcomes)
        claims = [self._claims.pop(k) for k in list(self._claims)[:capacity]]
        return BatchParts(tuple(claims), tuple(outcomes))

    def _take_outcomes(self) -> list[OutcomeReport]:
        reports: list[OutcomeReport] = []
        total_bytes = 0
        for key, report in list(self._outcomes.items()):
            total_bytes += len(report.outcome.body)
            is_batch_full = len(reports) >= self._timing.max_batch
            if is_batch_full or (
                reports and total_bytes > self._timing.max_batch_bytes
            ):
                break
            reports.append(self._outcomes.pop(key))
            self._body_bytes -= len(report.outcome.body)
        return reports

    def _limit_body(self, report: OutcomeReport) -> OutcomeReport:
        if len(report.outcome.body) <= self._timing.max_batch_bytes:
            return report
        outcome = replace(report.outcome, body=b"", is_replayable=False)
        return replace(report, outcome=outcome)

    def take_strikes(self) -> tuple[StrikeReport, ...]:
        """Remove and return the queued strike reports."""
        strikes = tuple(self._strikes)
        self._strikes.clear()
        return strikes

    def on_proposed(self, batch: ClaimBatch) -> None:
        """Record that a batch was proposed."""
        self._in_flight.append(batch)

    def on_committed(self, batch: ClaimBatch) -> None:
        """Record that a batch was committed or dropped."""
        self._in_flight = [b for b in self._in_flight if b is not batch]

    def reset(self) -> tuple[ClaimRequest, ...]:
        """Discard the queue and all batches in flight; return the unanswered claims."""
        claims = list(self._claims.values())
        for batch in self._in_flight:
            claims.extend(batch.claims)
        self.__init__(self._timing)
        return tuple(claims)

    def _has_capacity(self, now_ms: int) -> bool:
        if not self.queued:
            self._first_queued_ms = now_ms
        return self.queued < self._timing.max_queued
