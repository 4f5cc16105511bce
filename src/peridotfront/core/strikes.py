"""Replicated strikes against requests on which upstreams died."""

from collections import OrderedDict

from .messages import StrikeBatch, StrikeRecord, StrikesSnapshot, StrikeUpdate

STRIKE_RETENTION_MS = 3_600_000
REQUESTS_KEPT = 10_000
REPORTS_PER_REQUEST = 8


class Strikes:
    """Strikes by request, counted in the order of the replicated log.

    A repeated report counts once. Strikes expire ``STRIKE_RETENTION_MS`` after the
    last one against the same request, on the clock of the batches. Above
    ``REQUESTS_KEPT`` requests the one whose last strike is oldest is dropped. Of each
    request the last ``REPORTS_PER_REQUEST`` strikes are kept.
    """

    def __init__(self):
        self._records: OrderedDict[int, StrikeRecord] = OrderedDict()
        self._time_ms = 0

    def __len__(self) -> int:
        return len(self._records)

    def strikes(self, fingerprint: int) -> int:
        """Return the number of active strikes against a request."""
        record = self._records.get(fingerprint)
        return len(record.report_ids) if record else 0

    def active(self) -> tuple[StrikeUpdate, ...]:
        """Return all active strikes."""
        records = self._records.values()
        return tuple([StrikeUpdate(r.fingerprint, len(r.report_ids)) for r in records])

    def apply(self, batch: StrikeBatch) -> tuple[StrikeUpdate, ...]:
        """Apply one committed batch.

        :return: active strikes of each request that it changed; 0 for a request
            whose strikes expired or were dropped.
        """
        self._time_ms = max(self._time_ms, batch.time_ms)
        changed: dict[int, None] = dict.fromkeys(self._expire())
        for report in batch.reports:
            report_id = report.report_id or f"{report.upstream}@{batch.time_ms}"
            for fingerprint in report.fingerprints:
                self._strike(fingerprint, report_id)
                changed[fingerprint] = None
        while len(self._records) > REQUESTS_KEPT:
            changed[self._records.popitem(last=False)[0]] = None
        return tuple([StrikeUpdate(f, self.strikes(f)) for f in changed])

    def snapshot(self) -> StrikesSnapshot:
        """Return the complete state as one record."""
        return StrikesSnapshot(self._time_ms, tuple(self._records.values()))

    def restore(self, snapshot: StrikesSnapshot) -> None:
        """Replace the complete state by that of a snapshot."""
        self._time_ms = snapshot.time_ms
        self._records = OrderedDict((r.fingerprint, r) for r in snapshot.records)

    def _strike(self, fingerprint: int, report_id: str) -> None:
        record = self._records.get(fingerprint)
        previous_ids = record.report_ids if record else ()
        if report_id in previous_ids:
            return
        report_ids = (*previous_ids, report_id)[-REPORTS_PER_REQUEST:]
        self._records[fingerprint] = StrikeRecord(
            fingerprint, report_ids, self._time_ms
        )
        self._records.move_to_end(fingerprint)

    def _expire(self) -> list[int]:
        expired = []
        for fingerprint, record in self._records.items():
            if self._time_ms - record.time_ms < STRIKE_RETENTION_MS:
                break
            expired.append(fingerprint)
        for fingerprint in expired:
            del self._records[fingerprint]
        return expired
