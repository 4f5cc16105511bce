"""Usage of shared limits by the requests of one host, for the next leader."""

from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

from .messages import SentRepeats, SlotRequest, Spending

AGE_STEP_MS = 500


@dataclass(frozen=True, slots=True)
class SpentGrant:
    """Usage of an allowance by one grant, and of a retry budget if it is a retry.

    :param term: term of the leader that has counted it; 0 if none has.
    """

    client_account: str
    units: int
    service: str
    is_repeat: bool
    spent_ms: int
    term: int


class UsageHistory:
    """History of the usage within the longest window of a shared limit."""

    def __init__(self, window_ms: int):
        self._window_ms = window_ms
        self._spent_grants: deque[SpentGrant] = deque()

    def record(self, slot_request: SlotRequest, term: int, now_ms: int) -> None:
        """Record a slot request that was granted.

        :param term: term of the leader that granted it; 0 if none did.
        """
        oldest_ms = now_ms - self._window_ms
        while self._spent_grants and self._spent_grants[0].spent_ms <= oldest_ms:
            self._spent_grants.popleft()
        if not slot_request.allowance_units and not slot_request.is_repeat:
            return
        spent = SpentGrant(
            client_account=slot_request.client_account,
            units=slot_request.allowance_units,
            service=slot_request.cell,
            is_repeat=slot_request.is_repeat,
            spent_ms=now_ms,
            term=term,
        )
        self._spent_grants.append(spent)

    def take_unreported(
        self, term: int, now_ms: int
    ) -> Iterator[Spending | SentRepeats]:
        """Yield the usage that a leader has not counted in its term and mark it.

        :param term: term of the leader that counts the usage now.
        """
        units_by_age: Counter[tuple[str, int]] = Counter()
        repeats_by_age: Counter[tuple[str, int]] = Counter()
        for spent in self._spent_grants:
            age_ms = now_ms - spent.spent_ms
            if spent.term == term or age_ms >= self._window_ms:
                continue
            # A rounded-down age keeps the usage in the leader's window for longer.
            rounded_ms = age_ms - age_ms % AGE_STEP_MS
            units_by_age[spent.client_account, rounded_ms] += spent.units
            repeats_by_age[spent.service, rounded_ms] += spent.is_repeat
        self._spent_grants = deque(
            [replace(spent, term=term) for spent in self._spent_grants]
        )
        for (account, age_ms), units in units_by_age.items():
            if units:
                yield Spending(account, units, age_ms)
        for (service, age_ms), count in repeats_by_age.items():
            if count:
                yield SentRepeats(service, count, age_ms)
