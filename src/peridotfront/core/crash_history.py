"""Crashes of upstreams, and which parts of requests are their cause.

A part that crashes upstreams stands in each of its crashes, and no request with it
ever completes. A sound part stands in some crashes because its request was executed
beside the cause or has it too; it is cleared by the first request with it that
completes.
"""

import hashlib
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from .messages import (
    CrashBatch,
    CrashesSnapshot,
    CrashingGroup,
    CrashRecord,
    CrashReport,
)

CRASHES_TO_CONVICT = 3
CRASHES_KEPT = 200
RETENTION_MS = 3_600_000
# Two hosts report the same crash within this time.
SAME_CRASH_MS = 1000
DIGEST_BYTES = 7


@dataclass(frozen=True, slots=True)
class Conviction:
    """Finding that a group of parts is the cause of crashes.

    :param first_ms: time of the first of these crashes.
    :param last_ms: time of the last of these crashes.
    """

    group: CrashingGroup
    first_ms: int
    last_ms: int


class CrashHistory:
    """Crashes in the order of the replicated log, and what follows from them.

    Crashes expire after ``RETENTION_MS`` on the clock of the batches. Above
    ``CRASHES_KEPT`` the oldest are dropped that no conviction rests on.
    """

    def __init__(self) -> None:
        self.time_ms = 0
        self.convictions: tuple[Conviction, ...] = ()
        self._records: list[CrashRecord] = []
        self._suspected: dict[str, frozenset[int]] = {}

    def __len__(self) -> int:
        return len(self._records)

    @property
    def groups(self) -> tuple[CrashingGroup, ...]:
        """Return the groups of parts that crash upstreams."""
        return tuple([conviction.group for conviction in self.convictions])

    def suspected(self, service: str) -> frozenset[int]:
        """Return the parts that stand in a crash of a service's upstreams."""
        return self._suspected.get(service, frozenset())

    def apply(self, batch: CrashBatch) -> None:
        """Apply one batch of crashes and cleared parts."""
        self.time_ms = max(self.time_ms, batch.time_ms)
        for report in batch.crashes:
            self._add(report)
        for cleared in batch.cleared:
            self._records = list(
                _without_parts(self._records, cleared.service, cleared.parts)
            )
        oldest_ms = self.time_ms - RETENTION_MS
        self._records = [r for r in self._records if r.time_ms > oldest_ms]
        self._update()
        self._drop_oldest()

    def snapshot(self) -> CrashesSnapshot:
        """Return the complete state as one record."""
        return CrashesSnapshot(self.time_ms, tuple(self._records))

    def restore(self, snapshot: CrashesSnapshot) -> None:
        """Replace the complete state by that of a snapshot."""
        self.time_ms = snapshot.time_ms
        self._records = list(snapshot.records)
        self._update()

    def _add(self, report: CrashReport) -> None:
        """Add a crash, or its further parts if it is known already."""
        if not report.parts:
            return
        time_ms = self.time_ms - report.age_ms
        for index, record in enumerate(self._records):
            is_same = (
                (record.service, record.upstream) == (report.service, report.upstream)
            ) and abs(record.time_ms - time_ms) <= SAME_CRASH_MS
            if is_same:
                parts = tuple(dict.fromkeys((*record.parts, *report.parts)))
                self._records[index] = replace(record, parts=parts)
                return
        self._records.append(
            CrashRecord(report.service, report.upstream, time_ms, report.parts)
        )

    def _update(self) -> None:
        by_service: dict[str, list[CrashRecord]] = defaultdict(list)
        for record in self._records:
            by_service[record.service].append(record)
        self._suspected = {
            service: frozenset([part for record in records for part in record.parts])
            for service, records in by_service.items()
        }
        self.convictions = tuple(
            [
                conviction
                for service in sorted(by_service)
                for conviction in _convict(service, by_service[service])
            ]
        )

    def _drop_oldest(self) -> None:
        excess = len(self._records) - CRASHES_KEPT
        if excess <= 0:
            return
        convicted = {part for group in self.groups for part in group.parts}
        dropped = [r for r in self._records if convicted.isdisjoint(r.parts)][:excess]
        self._records = [r for r in self._records if r not in dropped]
        self._update()


def digest_of(groups: Iterable[CrashingGroup]) -> int:
    """Return a hash of a set of groups; 0 if there is none."""
    texts = sorted(f"{group.service} {sorted(group.parts)}" for group in groups)
    if not texts:
        return 0
    digest = hashlib.blake2b("\n".join(texts).encode(), digest_size=DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")


def _convict(service: str, records: list[CrashRecord]) -> Iterator[Conviction]:
    """Yield the causes that explain the most crashes, each of which has one cause.

    A part that stands in the same crashes as another one can't be told apart from it.
    A part that stands in some crashes of a cause is explained by it.
    """
    unexplained = records
    while True:
        crash_counts = Counter(
            [part for record in unexplained for part in record.parts]
        )
        top_count = max(crash_counts.values(), default=0)
        if top_count < CRASHES_TO_CONVICT:
            return
        top_parts = {part for part, count in crash_counts.items() if count == top_count}
        # Of several causes, the one that crashed an upstream last may go on.
        latest = max(
            (record for record in unexplained if top_parts.intersection(record.parts)),
            key=lambda record: record.time_ms,
        )
        first_part = min(top_parts.intersection(latest.parts))
        crashes = [record for record in unexplained if first_part in record.parts]
        shared = set.intersection(*[set(record.parts) for record in crashes])
        times_ms = [record.time_ms for record in crashes]
        group = CrashingGroup(service, tuple(sorted(shared & top_parts)))
        yield Conviction(group, min(times_ms), max(times_ms))
        unexplained = [record for record in unexplained if record not in crashes]


def _without_parts(
    records: Iterable[CrashRecord], service: str, parts: tuple[int, ...]
) -> Iterator[CrashRecord]:
    """Yield the records without some parts, but those without any part left."""
    for record in records:
        if record.service != service or not set(parts).intersection(record.parts):
            yield record
            continue
        remaining = tuple([part for part in record.parts if part not in parts])
        if remaining:
            yield replace(record, parts=remaining)
