"""Replicated claims: a write-once register of which host dispatches which request.

A key has one of these states:

- free: there is no record, or its outcome is ``NOT_RUN``. The first claim is granted,
  with an epoch one above the recorded one.
- held: its holder may dispatch. A repeat of the granted request is granted again; the
  reply to any other request names the holder.
- resumed: a takeover was granted with ``is_resume_only``. It names the next epoch and
  requires that the previous holder is considered dead. The new holder may only resume
  the answer at the upstream. It is unknown what the previous holder did, so no outcome
  of a resumed claim is ``NOT_RUN``.
- ended: its outcome is recorded. The first outcome of the current epoch wins.

A takeover of a key that is no longer recorded ends as ``MAY_HAVE_RUN``.

Safety does not depend on the detection of dead holders: a takeover never dispatches,
so an isolated holder that is still alive remains the only host that may. The holder's
lease only prevents a dispatch after the caller was answered that the request may have
run.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, replace
from sys import intern

from .messages import (
    Claim,
    ClaimBatch,
    ClaimRecord,
    ClaimReply,
    ClaimRequest,
    ClaimsSnapshot,
    ClaimStatus,
    KeyQuery,
    Outcome,
    OutcomeAck,
    OutcomeReport,
    Replica,
)
from .verdicts import Reason, Verdict

RETENTION_MS = 86_400_000
IDEMPOTENT_RETENTION_MS = 600_000
OPEN_RETENTION_FLOOR_MS = 3_600_000
MAX_BYTES = 67_108_864
RECORD_BYTES = 300
EXPIRED_PER_CLAIM = 4
EXPIRED_PER_BATCH = 64
EXPIRED_OUTCOME = Outcome(verdict=Verdict.MAY_HAVE_RUN, reason=Reason.HOLDER_LOST)


@dataclass(frozen=True, slots=True)
class ClaimsResult:
    """Replies to the claims and outcomes of one batch, in the order of the batch."""

    replies: tuple[ClaimReply, ...]
    acks: tuple[OutcomeAck, ...]


class Claims:
    """State machine of claims and outcomes, applied in the order of the replicated log.

    The clock is the time of the applied batches and never runs backwards, so that
    every replica expires the same keys at the same entry.

    Retention: the key of an ended claim is kept for ``retention_ms`` (idempotent
    requests: ``idempotent_retention_ms``) after its outcome. A claim without
    outcome is kept at least ``OPEN_RETENTION_FLOOR_MS`` longer than ``retention_ms``,
    counted from its grant. A later repeat runs as a new request; callers must not
    repeat a key for longer than the retention.

    Size: above ``max_bytes`` the recorded answers are dropped, oldest first; their
    keys and verdicts are kept. If that is not enough, ended idempotent claims are
    dropped, oldest first. If that is not enough, new keys are refused with ``FULL``;
    no key of a non-idempotent request is dropped within its retention.
    """

    def __init__(self):
        self._records: dict[str, ClaimRecord] = {}
        self._open: OrderedDict[str, None] = OrderedDict()
        self._ended: OrderedDict[str, None] = OrderedDict()
        self._ended_idempotent: OrderedDict[str, None] = OrderedDict()
        self._keys_with_body: OrderedDict[str, None] = OrderedDict()
        self._size_bytes = 0
        self._time_ms = 0
        self._retention_ms = RETENTION_MS
        self._idempotent_retention_ms = IDEMPOTENT_RETENTION_MS
        self._max_bytes = MAX_BYTES

    def __len__(self) -> int:
        return len(self._records)

    @property
    def time_ms(self) -> int:
        """Return the latest time of the applied batches."""
        return self._time_ms

    @property
    def size_bytes(self) -> int:
        """Return the estimated size of all records in bytes."""
        return self._size_bytes

    @property
    def open_count(self) -> int:
        """Return the number of claims without an outcome."""
        return len(self._open)

    def lookup(self, key: str) -> ClaimRecord | None:
        """Return the record of a key, or None."""
        return self._records.get(key)

    def find(self, query: KeyQuery) -> ClaimReply:
        """Return the state of a key without claiming it."""
        record = self._records.get(query.key)
        status = ClaimStatus.HELD
        if record is None:
            return ClaimReply(query.request_id, query.key, ClaimStatus.FREE)
        if record.claim.fingerprint != query.fingerprint:
            status = ClaimStatus.KEY_REUSED
        elif record.outcome is not None:
            status = ClaimStatus.ENDED
        return ClaimReply(
            query.request_id, query.key, status, record.claim, record.outcome
        )

    def apply(self, batch: ClaimBatch) -> ClaimsResult:
        """Apply one committed batch, outcomes before claims.

        :param batch: committed batch; batches must be applied in log order.
        :return: replies to its claims and acknowledgements of its outcomes.
        """
        self._time_ms = max(self._time_ms, batch.time_ms)
        self._set_limits(batch)
        self._expire(EXPIRED_PER_BATCH + EXPIRED_PER_CLAIM * len(batch.claims))
        acks = [self._record_outcome(report) for report in batch.outcomes]
        dead_holders = frozenset(batch.dead_holders)
        replies = [self._claim(request, dead_holders) for request in batch.claims]
        return ClaimsResult(tuple(replies), tuple(acks))

    def snapshot(self) -> ClaimsSnapshot:
        """Return the whole state as one record."""
        return ClaimsSnapshot(
            time_ms=self._time_ms,
            retention_ms=self._retention_ms,
            idempotent_retention_ms=self._idempotent_retention_ms,
            max_bytes=self._max_bytes,
            records=tuple(self._in_order()),
        )

    def restore(self, snapshot: ClaimsSnapshot) -> None:
        """Replace the whole state with that of a snapshot."""
        self.__init__()
        self._time_ms = snapshot.time_ms
        self._retention_ms = snapshot.retention_ms
        self._idempotent_retention_ms = snapshot.idempotent_retention_ms
        self._max_bytes = snapshot.max_bytes
        for record in snapshot.records:
            self._put(record)

    def _in_order(self) -> Iterator[ClaimRecord]:
        for queue in (self._open, self._ended, self._ended_idempotent):
            for key in queue:
                yield self._records[key]

    def _set_limits(self, batch: ClaimBatch) -> None:
        self._retention_ms = batch.retention_ms or self._retention_ms
        self._idempotent_retention_ms = (
            batch.idempotent_retention_ms or self._idempotent_retention_ms
        )
        self._max_bytes = batch.max_bytes or self._max_bytes

    def _claim(
        self, request: ClaimRequest, dead_holders: frozenset[Replica]
    ) -> ClaimReply:
        record = self._records.get(request.claim.key)
        if record is None:
            return self._grant_new(request)
        if record.claim.fingerprint != request.claim.fingerprint:
            return _build_reply(request, ClaimStatus.KEY_REUSED, record)
        if _is_repeat(record, request):
            status = ClaimStatus.ENDED if record.outcome else ClaimStatus.GRANTED
            return _build_reply(request, status, record)
        if record.outcome is not None:
            return self._claim_ended(request, record)
        if _is_take_over(record, request, dead_holders):
            return self._grant(request, record.claim.epoch + 1, is_resume_only=True)
        return _build_reply(request, ClaimStatus.HELD, record)

    def _claim_ended(self, request: ClaimRequest, record: ClaimRecord) -> ClaimReply:
        is_free = record.outcome.verdict is Verdict.NOT_RUN
        if is_free and request.claim.epoch == 1:
            return self._grant(request, record.claim.epoch + 1)
        return _build_reply(request, ClaimStatus.ENDED, record)

    def _grant_new(self, request: ClaimRequest) -> ClaimReply:
        key = request.claim.key
        if request.claim.epoch != 1:
            return ClaimReply(
                request.request_id, key, ClaimStatus.ENDED, outcome=EXPIRED_OUTCOME
            )
        if not self._free_space():
            return ClaimReply(request.request_id, key, ClaimStatus.FULL)
        return self._grant(request, 1)

    def _grant(
        self, request: ClaimRequest, epoch: int, is_resume_only: bool = False
    ) -> ClaimReply:
        requested = request.claim
        claim = Claim(
            key=requested.key,
            fingerprint=requested.fingerprint,
            epoch=epoch,
            holder_host=intern(requested.holder_host),
            holder_incarnation=requested.holder_incarnation,
            upstream=intern(requested.upstream),
            is_idempotent=requested.is_idempotent,
            is_resume_only=is_resume_only,
        )
        record = ClaimRecord(claim, request.request_id, self._time_ms)
        self._remove(requested.key)
        self._put(record)
        return _build_reply(request, ClaimStatus.GRANTED, record)

    def _record_outcome(self, report: OutcomeReport) -> OutcomeAck:
        record = self._records.get(report.key)
        is_current = _is_of_holder(record, report) and record.outcome is None
        if is_current:
            outcome = _without_false_not_run(record.claim, report.outcome)
            self._remove(report.key)
            self._put(replace(record, time_ms=self._time_ms, outcome=outcome))
            self._drop_bodies()
        return OutcomeAck(
            key=report.key,
            epoch=report.epoch,
            is_superseded=not (is_current or _has_outcome(record, report)),
        )

    def _put(self, record: ClaimRecord) -> None:
        key = record.claim.key
        self._records[key] = record
        self._queue(record)[key] = None
        if record.outcome is not None and record.outcome.body:
            self._keys_with_body[key] = None
        self._size_bytes += size_of(record)

    def _remove(self, key: str) -> None:
        record = self._records.pop(key, None)
        if record is None:
            return
        del self._queue(record)[key]
        self._keys_with_body.pop(key, None)
        self._size_bytes -= size_of(record)

    def _queue(self, record: ClaimRecord) -> OrderedDict[str, None]:
        if record.outcome is None:
            return self._open
        return self._ended_idempotent if record.claim.is_idempotent else self._ended

    def _expire(self, limit: int) -> None:
        open_ms = self._retention_ms + OPEN_RETENTION_FLOOR_MS
        queues = (
            (self._ended_idempotent, self._idempotent_retention_ms),
            (self._ended, self._retention_ms),
            (self._open, open_ms),
        )
        for queue, retention_ms in queues:
            for _ in range(min(limit, len(queue))):
                key = next(iter(queue))
                if self._time_ms - self._records[key].time_ms < retention_ms:
                    break
                self._remove(key)

    def _drop_bodies(self) -> None:
        while self._size_bytes > self._max_bytes and self._keys_with_body:
            key, _ = self._keys_with_body.popitem(last=False)
            record = self._records[key]
            outcome = replace(record.outcome, body=b"", is_replayable=False)
            self._size_bytes -= len(record.outcome.body)
            self._records[key] = replace(record, outcome=outcome)

    def _free_space(self) -> bool:
        self._drop_bodies()
        while self._size_bytes > self._max_bytes and self._ended_idempotent:
            self._remove(next(iter(self._ended_idempotent)))
        return self._size_bytes <= self._max_bytes


def size_of(record: ClaimRecord) -> int:
    """Return the estimated size of a record in bytes."""
    size = RECORD_BYTES + len(record.claim.key) + len(record.request_id)
    if record.outcome is None:
        return size
    headers = sum([len(h.name) + len(h.value) for h in record.outcome.headers])
    return size + headers + len(record.outcome.body)


def _build_reply(
    request: ClaimRequest, status: ClaimStatus, record: ClaimRecord
) -> ClaimReply:
    return ClaimReply(
        request_id=request.request_id,
        key=request.claim.key,
        status=status,
        claim=record.claim,
        outcome=record.outcome,
    )


def _is_repeat(record: ClaimRecord, request: ClaimRequest) -> bool:
    return record.request_id == request.request_id and _holder(record.claim) == _holder(
        request.claim
    )


def _holder(claim: Claim) -> Replica:
    return Replica(claim.holder_host, claim.holder_incarnation)


def _is_take_over(
    record: ClaimRecord, request: ClaimRequest, dead_holders: frozenset[Replica]
) -> bool:
    is_next = request.claim.epoch == record.claim.epoch + 1
    return is_next and _holder(record.claim) in dead_holders


def _has_outcome(record: ClaimRecord | None, report: OutcomeReport) -> bool:
    if not _is_of_holder(record, report) or record.outcome is None:
        return False
    return record.outcome.verdict is report.outcome.verdict


def _is_of_holder(record: ClaimRecord | None, report: OutcomeReport) -> bool:
    if record is None or record.claim.epoch != report.epoch:
        return False
    reporter = Replica(report.holder_host, report.holder_incarnation)
    return _holder(record.claim) == reporter


def _without_false_not_run(claim: Claim, outcome: Outcome) -> Outcome:
    """Return the outcome, with ``NOT_RUN`` of a resumed claim as ``MAY_HAVE_RUN``."""
    if claim.is_resume_only and outcome.verdict is Verdict.NOT_RUN:
        return Outcome(verdict=Verdict.MAY_HAVE_RUN, reason=Reason.HOLDER_LOST)
    return outcome
