"""Choice of the upstream for a want."""

from collections.abc import Iterable
from dataclasses import dataclass

from .budgets import Budget, Slot
from .fleet import Policy, UpstreamKind, UpstreamSpec
from .health import Health
from .messages import Want
from .poison import StrikeBook
from .prefixes import PrefixModel
from .queues import QueuedWant

FILL_MS = 20.0
DECODE_SHARE = 0.02
SLOW_GAP_RATIO = 1.15
SLOW_PATIENCE_SHARE = 0.5
OPEN_BACKLOG_SHARE = 0.5


@dataclass(slots=True)
class Upstream:
    """Gathers all that is known of one upstream."""

    spec: UpstreamSpec
    budget: Budget
    prefixes: PrefixModel
    health: Health
    is_leaving: bool = False
    suspects: int = 0

    @property
    def name(self) -> str:
        """Return the upstream's name."""
        return self.spec.name

    @property
    def is_slow(self) -> bool:
        """Return whether its tokens come slower than callers accept."""
        return self.budget.gap_ms > self.budget.target_gap_ms * SLOW_GAP_RATIO

    @property
    def takes_work(self) -> bool:
        """Return whether it may get new work now or soon."""
        return not self.is_leaving

    def limit(self, policy: Policy, is_urgent: bool, now_ms: int) -> int:
        """Return how many slots may be in use after a grant."""
        limit = int(self.budget.limit_slots)
        if is_urgent:
            limit = int(self.budget.limit_slots * policy.overfill_ratio)
        return self.health.slots(limit, now_ms)

    def can_hold(self, want: Want) -> bool:
        """Return whether the want fits into the upstream when it is empty."""
        if self.spec.kind is UpstreamKind.SERVICE:
            return True
        need = want.prompt_tokens + want.output_tokens
        return need <= self.spec.kv_capacity_tokens


@dataclass(frozen=True, slots=True)
class Choice:
    """Is the upstream chosen for a want and what its cache is expected to hold."""

    upstream: Upstream
    predicted_prefix_tokens: int
    cost_ms: float


class Placement:
    """Finds the upstream with the least expected time to the first token.

    :param policy: the knobs in force.
    :param strikes: the suspects, which never share an upstream.
    """

    def __init__(self, policy: Policy, strikes: StrikeBook):
        self._policy = policy
        self._strikes = strikes

    def choose(
        self,
        queued: QueuedWant,
        upstreams: Iterable[Upstream],
        *,
        is_highest: bool,
        now_ms: int,
    ) -> Choice | None:
        """Return the best upstream that takes the want now.

        :param upstreams: those that serve the want's model, less those for which
            a higher tier waits.
        :param is_highest: whether the want may use the head room.
        """
        urgent = queued.deadline_at_ms - now_ms < self._policy.urgent_ms
        upstreams = tuple(upstreams)
        best = None
        for upstream in upstreams:
            if not self._admits(upstream, queued, urgent, now_ms):
                continue
            choice = self._score(upstream, queued.want, now_ms)
            if not is_highest and not self._leaves_room(
                upstream, choice, upstreams, queued.want, now_ms
            ):
                continue
            if best is None or choice.cost_ms < best.cost_ms:
                best = choice
        return best

    def _admits(
        self, upstream: Upstream, queued: QueuedWant, urgent: bool, now_ms: int
    ) -> bool:
        budget = upstream.budget
        want = queued.want
        if upstream.is_leaving:
            return False
        if len(budget.slots) >= upstream.limit(self._policy, urgent, now_ms):
            return False
        if upstream.suspects and self._strikes.is_suspect(want.fingerprint):
            return False
        if upstream.spec.kind is UpstreamKind.SERVICE:
            return True
        if budget.slots and not budget.fits_memory(want):
            return False
        if not upstream.can_hold(want):
            return False
        if upstream.is_slow and not self._accepts_slow(queued, now_ms):
            return False
        return budget.backlog_ms(now_ms) <= self._policy.engine_queue_ms

    def _accepts_slow(self, queued: QueuedWant, now_ms: int) -> bool:
        patience_ms = queued.deadline_at_ms - queued.since_ms
        return now_ms - queued.since_ms >= patience_ms * SLOW_PATIENCE_SHARE

    def _score(self, upstream: Upstream, want: Want, now_ms: int) -> Choice:
        budget = upstream.budget
        fill_ms = FILL_MS * len(budget.slots) / max(1.0, budget.limit_slots)
        if upstream.spec.kind is UpstreamKind.SERVICE:
            return Choice(upstream, 0, fill_ms + budget.gap_ms)
        prefixes = upstream.prefixes
        hit = prefixes.hit_tokens(want.prefix_hashes, want.prompt_tokens)
        prefill_ms = budget.prefill_ms(want.prompt_tokens - hit * prefixes.trust)
        decode_ms = want.output_tokens * budget.gap_ms * DECODE_SHARE
        waste_ms = prefill_ms * self._policy.prefill_weight
        cost_ms = budget.backlog_ms(now_ms) + waste_ms + decode_ms + fill_ms
        return Choice(upstream, hit, cost_ms)

    def _leaves_room(
        self,
        upstream: Upstream,
        choice: Choice,
        upstreams: tuple[Upstream, ...],
        want: Want,
        now_ms: int,
    ) -> bool:
        if upstream.spec.kind is UpstreamKind.SERVICE:
            return True
        budget = upstream.budget
        headroom_ms = self._policy.headroom_ms
        backlog_ms = budget.backlog_ms(now_ms)
        own_ms = budget.prefill_ms(want.prompt_tokens - choice.predicted_prefix_tokens)
        if backlog_ms + own_ms <= headroom_ms:
            return True
        if backlog_ms > 0:
            return False
        open_ms = headroom_ms * OPEN_BACKLOG_SHARE
        others = [other for other in upstreams if other is not upstream]
        return not others or any(
            other.takes_work and other.budget.backlog_ms(now_ms) <= open_ms
            for other in others
        )


def new_slot(
    queued: QueuedWant, choice: Choice, lease_ms: int, host: str, now_ms: int
) -> Slot:
    """Return the slot for a want at the chosen upstream."""
    want = queued.want
    is_engine = choice.upstream.spec.kind is UpstreamKind.ENGINE
    prefill_tokens = want.prompt_tokens - choice.predicted_prefix_tokens
    return Slot(
        want=want,
        host=host,
        upstream=choice.upstream.name,
        granted_ms=now_ms,
        lease_until_ms=now_ms + lease_ms,
        predicted_prefix_tokens=choice.predicted_prefix_tokens,
        prefill_tokens=prefill_tokens if is_engine else 0,
    )
