"""Work of client accounts in progress, done recently and waiting, and their shares.

Work is counted in prompt tokens. An output token counts for as many of them as are
processed while it holds a slot.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from math import exp

from ..messages import Release, SlotRequest
from ..releases import NOT_EXECUTED_CAUSES
from ..scheduler_dump import AccountDump
from .max_min import fair_level
from .slot_times import SlotTimes

# Long against the time of one answer, short against a burst of a client account.
RECENT_MS = 3000.0
# Beyond this many decay times the stored amounts would grow out of proportion.
MAX_DECAY_TIMES = 20.0
# An account that did nothing for so many decay times is forgotten.
MIN_RECENT_TOKENS = 0.01
# The fair level follows claims that change little within this time.
LEVEL_TTL_MS = 20


@dataclass(slots=True)
class RunningWork:
    """Work of a slot in use."""

    account: str
    prompt_tokens: int
    output_tokens: int
    output_weight: int
    since_ms: int

    @property
    def tokens(self) -> int:
        """Return the work in prompt tokens."""
        return weigh(self.prompt_tokens, self.output_tokens, self.output_weight)


@dataclass(slots=True)
class AccountWork:
    """Work of one account, in prompt tokens.

    :param running_tokens: work of its slots in use.
    :param waiting_tokens: work of its slot requests in all queues.
    :param recent_tokens: work that ended, as of the ledger's base time.
    """

    weight: int
    running_tokens: int = 0
    waiting_tokens: int = 0
    recent_tokens: float = 0.0
    refused: Counter = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class Totals:
    """Work of all accounts.

    :param usage_tokens: work in progress and recent work, in prompt tokens.
    :param level: fair share of such work per unit of weight.
    """

    usage_tokens: float
    weight: int
    level: float
    measured_ms: int


class NoShares:
    """Stand-in for :class:`AccountShares` where accounts get no shares."""

    output_weight = 1

    def advance(self, now_ms: int) -> None:
        """Do nothing."""

    def started(self, slot_request: SlotRequest) -> None:
        """Do nothing."""

    def progressed(self, request_id: str, produced_tokens: int) -> None:
        """Do nothing."""

    def settle(self, release: Release) -> None:
        """Do nothing."""

    def refund(self, request_id: str) -> None:
        """Do nothing."""

    def ended(self, request_id: str) -> None:
        """Do nothing."""

    def refused(self, account: str, reason: str) -> None:
        """Do nothing."""

    def reweigh(self) -> None:
        """Do nothing."""

    def dump(self) -> tuple[AccountDump, ...]:
        """Return nothing."""
        return ()


class AccountShares(NoShares):
    """Work of all accounts at the upstreams of one cell, and their fair shares.

    The *usage* of an account is its work in progress and its recent work. In a steady
    state it is the account's rate of work times ``RECENT_MS``, however long its
    requests hold their slots: work that ends counts as recent only for the rest of that
    time. Recent work decays, so that an account isn't charged for an earlier burst.

    :param get_weight: returns the weight of an account.
    """

    def __init__(self, get_weight: Callable[[str], int]):
        self.now_ms = 0
        self._get_weight = get_weight
        self._slot_times = SlotTimes()
        self.output_weight = self._slot_times.output_weight
        self._accounts: dict[str, AccountWork] = {}
        self._running: dict[str, RunningWork] = {}
        self._base_ms = 0
        self._decay = 1.0
        self._totals = Totals(0.0, 1, 0.0, -LEVEL_TTL_MS)

    def advance(self, now_ms: int) -> None:
        """Set the time of all that follows."""
        if now_ms == self.now_ms:
            return
        self.now_ms = now_ms
        decay_times = (now_ms - self._base_ms) / RECENT_MS
        self._decay = exp(-decay_times)
        if decay_times > MAX_DECAY_TIMES:
            self._rebase()

    def _rebase(self) -> None:
        for name, work in tuple(self._accounts.items()):
            work.recent_tokens *= self._decay
            is_idle = not work.running_tokens and not work.waiting_tokens
            if is_idle and work.recent_tokens < MIN_RECENT_TOKENS and not work.refused:
                del self._accounts[name]
        self._base_ms = self.now_ms
        self._decay = 1.0

    # Work

    def waits(self, account: str, tokens: int) -> None:
        """Add waiting work to an account, or subtract it."""
        self._work(account).waiting_tokens += tokens

    def started(self, slot_request: SlotRequest) -> None:
        """Add the work of a slot that was granted or reported."""
        running = RunningWork(
            slot_request.client_account,
            slot_request.prompt_tokens,
            slot_request.output_tokens,
            self.output_weight,
            self.now_ms,
        )
        self._running[slot_request.request_id] = running
        self._work(running.account).running_tokens += running.tokens

    def progressed(self, request_id: str, produced_tokens: int) -> None:
        """Count an answer that is longer than was expected at its length so far."""
        running = self._running.get(request_id)
        if running is not None and produced_tokens > running.output_tokens:
            self._correct(running, produced_tokens)

    def settle(self, release: Release) -> None:
        """Count a request that ends by what it produced, or not if it did not run."""
        self._slot_times.observe(release)
        self.output_weight = self._slot_times.output_weight
        running = self._running.get(release.request_id)
        if running is None:
            return
        if release.cause in NOT_EXECUTED_CAUSES:
            self.refund(release.request_id)
        elif release.produced_tokens > 0:
            self._correct(running, release.produced_tokens)

    def refund(self, request_id: str) -> None:
        """Forget the work of a request that did not run."""
        running = self._running.pop(request_id, None)
        if running is not None:
            self._work(running.account).running_tokens -= running.tokens

    def ended(self, request_id: str) -> None:
        """Move the work of a slot that ends to its account's recent work."""
        running = self._running.get(request_id)
        if running is None:
            return
        self.refund(request_id)
        counted_share = min(1.0, (self.now_ms - running.since_ms) / RECENT_MS)
        recent_tokens = running.tokens * (1 - counted_share)
        self._work(running.account).recent_tokens += recent_tokens / self._decay

    def refused(self, account: str, reason: str) -> None:
        """Count a refusal."""
        self._work(account).refused[reason] += 1

    def _correct(self, running: RunningWork, output_tokens: int) -> None:
        work = self._work(running.account)
        work.running_tokens -= running.tokens
        running.output_tokens = output_tokens
        work.running_tokens += running.tokens

    def _work(self, account: str) -> AccountWork:
        work = self._accounts.get(account)
        if work is None:
            work = AccountWork(max(1, self._get_weight(account)))
            self._accounts[account] = work
        return work

    def reweigh(self) -> None:
        """Apply changed weights of the accounts."""
        for name, work in self._accounts.items():
            work.weight = max(1, self._get_weight(name))

    # Shares

    def load(self, account: str) -> float:
        """Return an account's work in progress and recent work by weight."""
        work = self._accounts.get(account)
        return 0.0 if work is None else self._usage(work) / work.weight

    def claimed_load(self, account: str) -> float:
        """Return the same with its waiting work."""
        work = self._accounts.get(account)
        return 0.0 if work is None else self._claim(work) / work.weight

    def share_ratio(self, account: str) -> float:
        """Return the share of all capacity that an account may have.

        An account that claims less than its fair share may have that fair share.
        """
        weight = self._work(account).weight
        totals = self._measure()
        ratio = weight / max(weight, totals.weight)
        level = min(totals.level * weight, totals.usage_tokens)
        return max(ratio, level / totals.usage_tokens) if level else ratio

    def is_above(self, account: str) -> bool:
        """Return whether an account claims more than its fair share."""
        return self.claimed_load(account) > self._measure().level

    def _measure(self) -> Totals:
        if self.now_ms - self._totals.measured_ms >= LEVEL_TTL_MS:
            accounts = self._accounts.values()
            usage_tokens = sum(self._usage(work) for work in accounts)
            claims = [(self._claim(work), work.weight) for work in accounts]
            self._totals = Totals(
                usage_tokens,
                sum(work.weight for work in accounts),
                fair_level(claims, usage_tokens),
                self.now_ms,
            )
        return self._totals

    def _usage(self, work: AccountWork) -> float:
        return work.running_tokens + work.recent_tokens * self._decay

    def _claim(self, work: AccountWork) -> float:
        return self._usage(work) + work.waiting_tokens

    def dump(self) -> tuple[AccountDump, ...]:
        """Return the dump of all accounts."""
        return tuple(
            AccountDump(
                name=name,
                weight=work.weight,
                share=round(self.share_ratio(name), 4),
                running_tokens=work.running_tokens,
                recent_tokens=int(work.recent_tokens * self._decay),
                waiting_tokens=work.waiting_tokens,
                refused=dict(work.refused),
            )
            for name, work in sorted(self._accounts.items())
        )


def weigh(prompt_tokens: int, output_tokens: int, output_weight: int) -> int:
    """Return the work of a request in prompt tokens, at least 1."""
    return max(1, prompt_tokens + output_tokens * output_weight)
