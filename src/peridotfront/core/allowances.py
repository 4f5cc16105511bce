"""Allowances of client accounts: token buckets that all entry hosts share."""

from dataclasses import dataclass

from .routes import RoutedAccount


@dataclass(slots=True)
class TokenBucket:
    """Fills at a rate up to a burst.

    :param level: what may be taken at once.
    """

    rate_per_s: float
    burst: float
    level: float
    updated_ms: int

    def refill(self, now_ms: int) -> None:
        """Add what came in since the last call."""
        gained = self.rate_per_s * (now_ms - self.updated_ms) / 1000.0
        self.level = min(self.burst, self.level + gained)
        self.updated_ms = now_ms

    def resize(self, rate_per_s: float, burst: float, now_ms: int) -> None:
        """Take over a changed rate and burst."""
        self.refill(now_ms)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(self.level, burst)

    def wait_ms(self, units: float) -> int:
        """Return the time until so much is there."""
        missing = min(units, self.burst) - self.level
        return max(0, int(missing * 1000.0 / self.rate_per_s) + 1)


class Allowances:
    """Charges requests to the allowances of their accounts.

    :param share: of each allowance that is spent here, from 0 to 1.
    """

    def __init__(self, share: float = 1.0):
        self._share = share
        self._accounts: dict[str, RoutedAccount] = {}
        self._buckets: dict[str, TokenBucket] = {}

    def use(self, accounts: tuple[RoutedAccount, ...], now_ms: int) -> None:
        """Take over the accounts of a new configuration."""
        self._accounts = {one.name: one for one in accounts}
        for name in [name for name in self._buckets if name not in self._accounts]:
            del self._buckets[name]
        for account in accounts:
            self._resize(account, now_ms)

    def use_share(self, share: float, now_ms: int) -> None:
        """Spend another share of each allowance from now on."""
        if share != self._share:
            self._share = share
            self.use(tuple(self._accounts.values()), now_ms)

    def charge(self, account: str, units: float, now_ms: int) -> int:
        """Take units from an account's allowance.

        :return: 0 if they were taken; else the time until they would be there.
        """
        bucket = self._buckets.get(account)
        if bucket is None:
            return 0
        bucket.refill(now_ms)
        if bucket.level >= min(units, bucket.burst):
            bucket.level -= units
            return 0
        return bucket.wait_ms(units)

    def refund(self, account: str, units: float) -> None:
        """Give back what a request that did not run had taken."""
        bucket = self._buckets.get(account)
        if bucket is not None:
            bucket.level = min(bucket.burst, bucket.level + units)

    def _resize(self, account: RoutedAccount, now_ms: int) -> None:
        if account.rate_per_s <= 0:
            self._buckets.pop(account.name, None)
            return
        rate_per_s = account.rate_per_s * self._share
        burst = (account.burst or account.rate_per_s) * self._share
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = TokenBucket(rate_per_s, burst, burst, now_ms)
            self._buckets[account.name] = bucket
        bucket.resize(rate_per_s, burst, now_ms)
