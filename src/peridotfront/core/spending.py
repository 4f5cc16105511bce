"""What the requests of one host spent of the allowances, for the next leader."""

from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

from .messages import Spending, Want

AGE_STEP_MS = 500


@dataclass(frozen=True, slots=True)
class Spent:
    """Is what one grant took of an allowance.

    :param term: of the leader that has counted it; 0 if none has.
    """

    client_account: str
    units: int
    spent_ms: int
    term: int


class SpendingLedger:
    """Remembers what was spent within the window of the allowances."""

    def __init__(self, window_ms: int):
        self._window_ms = window_ms
        self._spent: deque[Spent] = deque()

    def note(self, want: Want, term: int, now_ms: int) -> None:
        """Note a want that was granted.

        :param term: of the leader that granted it; 0 if none did.
        """
        oldest_ms = now_ms - self._window_ms
        while self._spent and self._spent[0].spent_ms <= oldest_ms:
            self._spent.popleft()
        if want.allowance_units:
            spent = Spent(want.client_account, want.allowance_units, now_ms, term)
            self._spent.append(spent)

    def take_uncounted(self, term: int, now_ms: int) -> Iterator[Spending]:
        """Yield what a leader has not counted in its term; it counts that now."""
        units_by_age: Counter[tuple[str, int]] = Counter()
        for spent in self._spent:
            age_ms = now_ms - spent.spent_ms
            if spent.term != term and age_ms < self._window_ms:
                # Rounding down keeps it in the leader's window for longer.
                rounded_ms = age_ms - age_ms % AGE_STEP_MS
                units_by_age[spent.client_account, rounded_ms] += spent.units
        self._spent = deque([replace(one, term=term) for one in self._spent])
        for (account, age_ms), units in units_by_age.items():
            yield Spending(account, units, age_ms)
