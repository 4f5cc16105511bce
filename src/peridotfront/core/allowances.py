"""Allowances of client accounts: limits on usage in any window, over all hosts.

The leader counts for all entry hosts. A leaderless host spends a small share and
reports its usage to the next leader. Each host also reports its usage after a change
of leader, since the new leader has counted nothing yet.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from .allowance_ceilings import AllowanceCeilings
from .allowance_shares import NEW_TERM_SHARE
from .messages import AllowanceShare
from .routes import RoutedAccount

BUCKET_MS = 100
CEILING_RETRY_MS = 500


@dataclass(frozen=True, slots=True)
class AllowanceLimits:
    """Limits on how far all hosts together may exceed an allowance.

    :param over_ratio: excess as a ratio of what rate and burst allow in a window.
    :param slack: excess in units beyond that ratio.
    :param window_ms: length of the window.
    """

    over_ratio: float = 0.0
    slack: float = 0.0
    window_ms: int = 8000

    def limit(self, account: RoutedAccount) -> float:
        """Return the units that all hosts may charge to an account in any window."""
        units = account.rate_per_s * self.window_ms / 1000.0 + account.burst
        return units * (1 + self.over_ratio) + self.slack


@dataclass(slots=True)
class SlidingWindow:
    """Sum of the units spent within a window.

    :param buckets: start time and units of each bucket, oldest first.
    :param total: units of all buckets.
    """

    buckets: deque[tuple[int, float]] = field(default_factory=deque)
    total: float = 0.0

    def expire(self, oldest_ms: int) -> None:
        """Drop the buckets that end at or before a time."""
        while self.buckets and self.buckets[0][0] + BUCKET_MS <= oldest_ms:
            self.total -= self.buckets.popleft()[1]

    def is_used(self, oldest_ms: int) -> bool:
        """Return whether a bucket ends after a time."""
        return bool(self.buckets) and self.buckets[-1][0] + BUCKET_MS > oldest_ms

    def add(self, units: float, at_ms: int) -> None:
        """Add units that are spent now."""
        self.total += units
        start_ms = at_ms - at_ms % BUCKET_MS
        if self.buckets and self.buckets[-1][0] == start_ms:
            units += self.buckets.pop()[1]
        self.buckets.append((start_ms, units))

    def remove(self, units: float, at_ms: int) -> None:
        """Remove units that were added at a time, unless their bucket has expired."""
        start_ms = at_ms - at_ms % BUCKET_MS
        for index, (bucket_ms, counted) in enumerate(self.buckets):
            if bucket_ms == start_ms:
                self.buckets[index] = (start_ms, counted - units)
                self.total -= units
                return

    def insert(self, units: float, at_ms: int) -> None:
        """Add units that were spent in the past."""
        self.total += units
        start_ms = at_ms - at_ms % BUCKET_MS
        self.buckets = deque(sorted((*self.buckets, (start_ms, units))))

    def wait_ms(self, missing: float, oldest_ms: int) -> int:
        """Return the time until the missing units have left the window, in ms.

        :param missing: units that must leave the window.
        :param oldest_ms: start of the window.
        """
        for start_ms, units in self.buckets:
            missing -= units
            if missing <= 0:
                return max(1, start_ms + BUCKET_MS - oldest_ms)
        if not self.buckets:
            return 1
        return max(1, self.buckets[-1][0] + BUCKET_MS - oldest_ms)


class Allowances:
    """Accounting of requests against the allowances of their accounts.

    :param limits: how far an allowance may be exceeded.
    :param share: share of each allowance that may be spent here, from 0 to 1.

    ``ceilings`` limit the shares further, at a leader.
    """

    def __init__(self, limits: AllowanceLimits, share: float = NEW_TERM_SHARE):
        self.share = share
        self.ceilings: AllowanceCeilings | None = None
        self._limits = limits
        self._account_shares: dict[str, float] = {}
        self._account_shares_until_ms = 0
        self._accounts: dict[str, RoutedAccount] = {}
        self._windows: dict[str, SlidingWindow] = {}

    def set_accounts(self, accounts: tuple[RoutedAccount, ...], now_ms: int) -> None:
        """Replace the accounts by those of a new configuration.

        What an account that is gone has spent counts if it returns within the window.
        """
        self._accounts = {account.name: account for account in accounts}
        for name in self._windows.keys() - self._accounts.keys():
            if not self._windows[name].is_used(now_ms - self._limits.window_ms):
                del self._windows[name]

    def charge(self, name: str, units: float, now_ms: int) -> int:
        """Charge units to an account's allowance if they fit or its window is empty.

        :return: 0 if they were charged or the account has no allowance, else the time
            until they would fit, in ms.
        """
        account = self._accounts.get(name)
        if account is None or account.rate_per_s <= 0:
            return 0
        window = self._window(name, now_ms)
        limit = self._limits.limit(account) * self._share_of(name, now_ms)
        if window.total + units > limit and window.total > 0:
            missing = window.total + units - limit
            return window.wait_ms(missing, now_ms - self._limits.window_ms)
        if window.total > 0 and self._exceeds_ceiling(account, window.total + units):
            return CEILING_RETRY_MS
        window.add(units, now_ms)
        return 0

    def _exceeds_ceiling(self, account: RoutedAccount, units: float) -> bool:
        """Return whether so much may not be spent before all hosts know of it."""
        if self.ceilings is None:
            return False
        return units > self._limits.limit(account) * self.ceilings.usable(account.name)

    def set_account_shares(self, shares: dict[str, float], now_ms: int) -> None:
        """Override the shares of some accounts for the length of a window."""
        self._account_shares = shares
        self._account_shares_until_ms = now_ms + self._limits.window_ms

    def spent_shares(self, min_share: float, now_ms: int) -> Iterator[AllowanceShare]:
        """Yield the accounts that have spent at least a share of their limit.

        :param min_share: smallest share to report, from 0 to 1.
        """
        for name, account in self._accounts.items():
            if account.rate_per_s <= 0 or name not in self._windows:
                continue
            share = self._window(name, now_ms).total / self._limits.limit(account)
            if share >= min_share:
                yield AllowanceShare(name, share)

    def refund(self, name: str, units: float, at_ms: int, now_ms: int) -> None:
        """Refund the charge of a request that was not executed.

        :param at_ms: time of the charge.
        """
        if name in self._windows:
            self._window(name, now_ms).remove(units, at_ms)

    def move_charge(self, name: str, units: float, at_ms: int, now_ms: int) -> None:
        """Move a charge to the current time, at which its request is sent.

        :param at_ms: time of the charge.
        """
        if at_ms // BUCKET_MS == now_ms // BUCKET_MS:
            return
        if name in self._windows:
            window = self._window(name, now_ms)
            window.remove(units, at_ms)
            window.add(units, now_ms)

    def record(self, name: str, units: float, at_ms: int, now_ms: int) -> None:
        """Add units that another scheduler granted in the past."""
        if at_ms > now_ms - self._limits.window_ms:
            self._window(name, now_ms).insert(units, at_ms)

    def _share_of(self, name: str, now_ms: int) -> float:
        if now_ms >= self._account_shares_until_ms:
            return self.share
        return self._account_shares.get(name, self.share)

    def _window(self, name: str, now_ms: int) -> SlidingWindow:
        window = self._windows.setdefault(name, SlidingWindow())
        window.expire(now_ms - self._limits.window_ms)
        return window
