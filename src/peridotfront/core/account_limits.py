"""Limits of each client account on this host: rate and concurrency."""

from dataclasses import dataclass

from .fleet import AccountSpec
from .verdicts import Reason, Refusal, Verdict

CONCURRENCY_RETRY_MS = 1000


@dataclass(slots=True)
class _Usage:
    """Counts what an account uses: bucket content and running requests."""

    tokens: float
    filled_ms: int
    running: int = 0


class AccountLimiter:
    """Admits requests while their account stays within its limits.

    The limits of an account hold for the deployment; each entry host enforces
    its share.
    """

    def __init__(self):
        self._usage: dict[str, _Usage] = {}

    def admit(self, account: AccountSpec, hosts: int, now_ms: int) -> Refusal | None:
        """Count a request in, or say why not.

        :param account: who asks.
        :param hosts: live entry hosts among which the limits are shared.
        :return: None if the request is admitted; then :meth:`finish` must follow.
        """
        hosts = max(1, hosts)
        rate_per_ms = account.requests_per_s / hosts / 1000
        burst = max(1.0, account.burst_requests / hosts)
        usage = self._usage.setdefault(account.name, _Usage(burst, now_ms))
        filled = usage.tokens + (now_ms - usage.filled_ms) * rate_per_ms
        usage.tokens = min(burst, filled)
        usage.filled_ms = now_ms
        if usage.running >= max(1, account.max_concurrent // hosts):
            return _refusal(CONCURRENCY_RETRY_MS, "too many requests at once")
        if usage.tokens < 1:
            wait_ms = int((1 - usage.tokens) / rate_per_ms) + 1
            return _refusal(wait_ms, "too many requests a second")
        usage.tokens -= 1
        usage.running += 1
        return None

    def finish(self, account_name: str) -> None:
        """Count a request out."""
        usage = self._usage.get(account_name)
        if usage is not None and usage.running > 0:
            usage.running -= 1

    def running(self, account_name: str) -> int:
        """Return how many requests of the account run on this host."""
        usage = self._usage.get(account_name)
        return usage.running if usage else 0


def _refusal(retry_after_ms: int, detail: str) -> Refusal:
    return Refusal(Verdict.NOT_RUN, Reason.RATE_LIMITED, retry_after_ms, detail)
