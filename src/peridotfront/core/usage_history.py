"""What the requests of one host spent of shared bounds, for the next leader."""

from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

from .messages import SentRepeats, SlotRequest, Spending

AGE_STEP_MS = 500


@dataclass(frozen=True, slots=True)
class Spent:
    """Is what one grant took of an allowance, and of a retry budget if it repeats.

    :param term: of the leader that has counted it; 0 if none has.
    """

    client_account: str
    units: int
    service: str
    is_repeat: bool
    spent_ms: int
    term: int


class UsageHistory:
    """Remembers what was spent within the longest window of a shared bound."""

    def __init__(self, window_ms: int):
        self._window_ms = window_ms
        self._spent: deque[Spent] = deque()

    def record(self, want: SlotRequest, term: int, now_ms: int) -> None:
        """Note a want that was granted.

        :param term: of the leader that granted it; 0 if none did.
        """
        oldest_ms = now_ms - self._window_ms
        while self._spent and self._spent[0].spent_ms <= oldest_ms:
            self._spent.popleft()
        if not want.allowance_units and not want.is_repeat:
            return
        spent = Spent(
            client_account=want.client_account,
            units=want.allowance_units,
            service=want.cell,
            is_repeat=want.is_repeat,
            spent_ms=now_ms,
            term=term,
        )
        self._spent.append(spent)

    def take_unreported(
        self, term: int, now_ms: int
    ) -> Iterator[Spending | SentRepeats]:
        """Yield what a leader has not counted in its term; it counts that now."""
        units_by_age: Counter[tuple[str, int]] = Counter()
        repeats_by_age: Counter[tuple[str, int]] = Counter()
        for spent in self._spent:
            age_ms = now_ms - spent.spent_ms
            if spent.term == term or age_ms >= self._window_ms:
                continue
            # Rounding down keeps it in the leader's window for longer.
            rounded_ms = age_ms - age_ms % AGE_STEP_MS
            units_by_age[spent.client_account, rounded_ms] += spent.units
            repeats_by_age[spent.service, rounded_ms] += spent.is_repeat
        self._spent = deque([replace(one, term=term) for one in self._spent])
        for (account, age_ms), units in units_by_age.items():
            if units:
                yield Spending(account, units, age_ms)
        for (service, age_ms), count in repeats_by_age.items():
            if count:
                yield SentRepeats(service, count, age_ms)
