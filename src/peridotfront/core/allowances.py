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


@dataclass(frozen=True, slots=True)
class AllowanceBounds:
    """Says how far all hosts together may exceed an allowance.

    :param over_ratio: of what rate and burst allow.
    :param slack: units beyond that.
    """

    over_ratio: float = 0.0
    slack: float = 0.0


@dataclass(frozen=True, slots=True)
class AllowanceShare:
    """Is the part of every allowance that is spent at one place.

    The parts of the leader, of a new leader's opening and of the hosts that go on
    without one add up to less than the whole bound.

    :param rate: of the allowance's rate.
    :param burst: of its burst.
    :param slack: of the slack.
    :param opening_slack: of the slack, when the spending begins there.
    """

    rate: float
    burst: float
    slack: float
    opening_slack: float


LEADER_SHARE = AllowanceShare(rate=1.0, burst=1.0, slack=0.6, opening_slack=0.3)


def alone_share(entry_hosts: int) -> AllowanceShare:
    """Return the share of one entry host that goes on without a leader."""
    part = 1.0 / entry_hosts
    return AllowanceShare(rate=part, burst=0.0, slack=0.1 * part, opening_slack=0.0)


class Allowances:
    """Charges requests to the allowances of their accounts.

    :param bounds: how far an allowance may be exceeded.
    :param share: of each allowance that is spent here.
    """

    def __init__(self, bounds: AllowanceBounds, share: AllowanceShare = LEADER_SHARE):
        self._bounds = bounds
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

    def use_share(self, share: AllowanceShare, now_ms: int) -> None:
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
        share = self._share
        over = 1 + self._bounds.over_ratio
        rate_per_s = account.rate_per_s * over * share.rate
        burst = (account.burst or account.rate_per_s) * over * share.burst
        slack = self._bounds.slack
        full = max(burst + slack * share.slack, rate_per_s)
        bucket = self._buckets.get(account.name)
        if bucket is None:
            level = min(full, slack * share.opening_slack)
            bucket = TokenBucket(rate_per_s, full, level, now_ms)
            self._buckets[account.name] = bucket
        bucket.resize(rate_per_s, full, now_ms)
