"""Rate and concurrency limits of each client account on this host."""

from dataclasses import dataclass

from .fleet import AccountSpec
from .verdicts import Reason, Refusal, Verdict

CONCURRENCY_RETRY_MS = 1000


@dataclass(slots=True)
class _Usage:
    """Token bucket and number of running requests of an account."""

    tokens: float
    filled_ms: int
    running: int = 0


class AccountLimiter:
    """Admission control by the rate and concurrency limits of accounts.

    The limits of an account hold for the whole deployment; each entry host enforces
    an equal share.
    """

    def __init__(self):
        self._usage: dict[str, _Usage] = {}

    def admit(self, account: AccountSpec, hosts: int, now_ms: int) -> Refusal | None:
        """Admit a request or return its refusal.

        :param account: account of the caller.
        :param hosts: number of live entry hosts that share the limits.
        :return: None if the request is admitted; :meth:`finish` must follow then.
        """
        hosts = max(1, hosts)
        rate_per_ms = account.requests_per_s / hosts / 1000
        burst = max(1.0, account.burst_requests / hosts)
        usage = self._usage.setdefault(account.name, _Usage(burst, now_ms))
        filled = usage.tokens + (now_ms - usage.filled_ms) * rate_per_ms
        usage.tokens = min(burst, filled)
        usage.filled_ms = now_ms
        if usage.running >= max(1, account.max_concurrent // hosts):
            return _build_refusal(CONCURRENCY_RETRY_MS, "too many concurrent requests")
        if usage.tokens < 1:
            wait_ms = int((1 - usage.tokens) / rate_per_ms) + 1
            return _build_refusal(wait_ms, "too many requests a second")
        usage.tokens -= 1
        usage.running += 1
        return None

    def finish(self, account_name: str) -> None:
        """Record the end of an admitted request."""
        usage = self._usage.get(account_name)
        if usage is not None and usage.running > 0:
            usage.running -= 1

    def running(self, account_name: str) -> int:
        """Return the number of requests of the account that run on this host."""
        usage = self._usage.get(account_name)
        return usage.running if usage else 0


def _build_refusal(retry_after_ms: int, detail: str) -> Refusal:
    return Refusal(Verdict.NOT_RUN, Reason.RATE_LIMITED, retry_after_ms, detail)
