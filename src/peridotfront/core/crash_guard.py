"""Refusal of requests that would crash the upstreams that answer them."""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable

from .crash_history import Conviction, CrashHistory, digest_of
from .messages import CrashingGroup, CrashReport, PartsCleared, SlotRequest

# A part that completed this shortly before a crash is not its cause.
RECENT_MS = 3000
# One may be a crash that is about to come, several are not.
SURVIVORS_TO_CLEAR = 3
# Requests that are being answered may clear a group for so long after its conviction.
DOUBT_MS = 1000
REPORTS_KEPT = 1000
# A convicted group may be sound: seldom, one request tests it.
MIN_TEST_PAUSE_MS = 30_000
TEST_PAUSE_FACTOR = 8


def parts_of(slot_request: SlotRequest) -> tuple[int, ...]:
    """Return the parts of a request that may be the cause of a crash."""
    return (*slot_request.shared_parts, slot_request.fingerprint)


class CrashGuard:
    """Filter of slot requests by the parts that crash upstreams.

    What it observes is collected as reports, which its owner applies to the history,
    with those of other hosts.

    :param history: known crashes.
    :param allows_tests: whether a request may test a convicted group from time to
        time; only the scheduler of all hosts can limit the number of such tests.
    """

    def __init__(self, history: CrashHistory, allows_tests: bool = False):
        self.history = history
        self._allows_tests = allows_tests
        self._announced: tuple[CrashingGroup, ...] = ()
        self._completed_ms: OrderedDict[tuple[str, int], int] = OrderedDict()
        self._convicted_ms: dict[CrashingGroup, int] = {}
        self._tests_after_ms: dict[Conviction, int] = {}
        self._reports: deque[CrashReport | PartsCleared] = deque(maxlen=REPORTS_KEPT)

    @property
    def announced_digest(self) -> int:
        """Return the hash of the groups that the leader announced."""
        return digest_of(self._announced)

    def announce(self, groups: tuple[CrashingGroup, ...]) -> None:
        """Replace the groups that the leader announced."""
        self._announced = groups

    @property
    def is_idle(self) -> bool:
        """Return whether no parts are known to crash upstreams."""
        return not (self._announced or self.history.convictions)

    def refuses(
        self, slot_request: SlotRequest, begun: Iterable[SlotRequest], now_ms: int
    ) -> bool:
        """Return whether a slot request must not reach an upstream.

        A slot request that tests a convicted group is not refused.

        :param begun: slot requests that upstreams are answering.
        """
        if self.is_idle:
            return False
        parts = frozenset(parts_of(slot_request))
        service = slot_request.cell
        if any(_has_all(parts, service, group) for group in self._announced):
            return True
        matching = [
            conviction
            for conviction in self.history.convictions
            if _has_all(parts, service, conviction.group)
        ]
        if not matching:
            return False
        answered = tuple(begun)
        convictions = [
            conviction
            for conviction in matching
            if not self._is_doubtful(conviction, answered, now_ms)
        ]
        return not all(self._may_test(found, now_ms) for found in convictions)

    def _is_doubtful(
        self, conviction: Conviction, begun: tuple[SlotRequest, ...], now_ms: int
    ) -> bool:
        """Return whether requests being answered may soon clear a new conviction."""
        known = {found.group for found in self.history.convictions}
        self._convicted_ms = {
            group: at_ms
            for group, at_ms in self._convicted_ms.items()
            if group in known
        }
        group = conviction.group
        if now_ms - self._convicted_ms.setdefault(group, now_ms) >= DOUBT_MS:
            return False
        return any(
            _has_all(frozenset(parts_of(slot_request)), group.service, group)
            for slot_request in begun
        )

    def record_crash(
        self,
        upstream: str,
        executed: Iterable[SlotRequest],
        begun_elsewhere: Iterable[SlotRequest],
        now_ms: int,
    ) -> None:
        """Record that an upstream crashed.

        :param executed: slot requests that it may have begun to execute.
        :param begun_elsewhere: slot requests that other upstreams are answering.
        """
        survivors = Counter(
            [
                part
                for slot_request in begun_elsewhere
                for part in parts_of(slot_request)
            ]
        )
        service = ""
        parts: dict[int, None] = {}
        for slot_request in executed:
            service = slot_request.cell
            parts.update(dict.fromkeys(parts_of(slot_request)))
        suspected = [
            part
            for part in parts
            if survivors[part] < SURVIVORS_TO_CLEAR
            and not self._has_completed(service, part, now_ms)
        ]
        if suspected:
            self._reports.append(CrashReport(service, upstream, tuple(suspected)))

    def record_completed(self, slot_request: SlotRequest, now_ms: int) -> None:
        """Record that a request was answered completely."""
        service = slot_request.cell
        parts = parts_of(slot_request)
        for part in parts:
            self._completed_ms[service, part] = now_ms
            self._completed_ms.move_to_end((service, part))
        self._purge_completed(now_ms)
        cleared = self.history.suspected(service).intersection(parts)
        if cleared:
            self._reports.append(PartsCleared(service, tuple(sorted(cleared))))

    def take_reports(self) -> tuple[CrashReport | PartsCleared, ...]:
        """Remove and return what was observed since the last call."""
        reports = tuple(self._reports)
        self._reports.clear()
        return reports

    def _purge_completed(self, now_ms: int) -> None:
        while self._completed_ms:
            oldest = next(iter(self._completed_ms))
            if now_ms - self._completed_ms[oldest] <= RECENT_MS:
                return
            del self._completed_ms[oldest]

    def _has_completed(self, service: str, part: int, now_ms: int) -> bool:
        completed_ms = self._completed_ms.get((service, part))
        return completed_ms is not None and now_ms - completed_ms <= RECENT_MS

    def _may_test(self, conviction: Conviction, now_ms: int) -> bool:
        """Return whether a request may test a conviction now, and count the test."""
        if not self._allows_tests:
            return False
        span_ms = conviction.last_ms - conviction.first_ms
        pause_ms = max(MIN_TEST_PAUSE_MS, TEST_PAUSE_FACTOR * span_ms)
        self._tests_after_ms = {
            known: after_ms
            for known, after_ms in self._tests_after_ms.items()
            if known in self.history.convictions
        }
        after_ms = self._tests_after_ms.setdefault(conviction, now_ms + pause_ms)
        if now_ms < after_ms:
            return False
        self._tests_after_ms[conviction] = now_ms + pause_ms
        return True


def _has_all(parts: frozenset[int], service: str, group: CrashingGroup) -> bool:
    return group.service == service and parts.issuperset(group.parts)
