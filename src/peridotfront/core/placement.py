"""Choice of the upstream for a want."""

from dataclasses import dataclass
from enum import Enum, auto

from .fleet import Policy, UpstreamKind, UpstreamSpec
from .health import Health, HealthState
from .messages import SlotRequest
from .poison_detection import PoisonDetector
from .prefix_cache import PrefixCacheModel
from .queues import QueuedSlotRequest
from .upstream_capacity import Slot, UpstreamCapacity

FILL_MS = 20.0
FAILURE_COST_MS = 2000.0
LATE_WEIGHT = 5.0
HOLD_COST_SHARE = 0.9
MIN_HOLD_TOKENS = 256
DECODE_SHARE = 0.02
HIGHEST_TIER = 1
SLOW_ENGINE_SHARE = 0.3
SLOW_PATIENCE_SHARE = 0.5
OPEN_BACKLOG_SHARE = 0.5


@dataclass(slots=True)
class Upstream:
    """Gathers all that is known of one upstream."""

    spec: UpstreamSpec
    budget: UpstreamCapacity
    prefixes: PrefixCacheModel
    health: Health
    is_leaving: bool = False
    suspects: int = 0

    @property
    def name(self) -> str:
        """Return the upstream's name."""
        return self.spec.name

    def is_slow(self, now_ms: int) -> bool:
        """Return whether its tokens come slower than callers accept."""
        return self.budget.slow_share(now_ms) > SLOW_ENGINE_SHARE

    def limit(self, policy: Policy, is_urgent: bool, now_ms: int) -> int:
        """Return how many slots may be in use after a grant."""
        limit = self.budget.limit_slots
        if is_urgent:
            limit *= policy.overfill_ratio
        if self.health.state is HealthState.HEALTHY:
            return int(limit)
        return self.health.slots(int(limit), now_ms)

    def hit_tokens(self, want: SlotRequest) -> int:
        """Return the prompt tokens of a want that its cache is expected to hold."""
        return self.prefixes.hit_tokens(
            want.prefix_hashes, want.prompt_tokens, want.prefix_tokens
        )

    def can_hold(self, want: SlotRequest) -> bool:
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


@dataclass(frozen=True, slots=True)
class Hold:
    """Lets a want wait while others go first.

    :param upstream: the one that it waits for; None if any would do.
    """

    upstream: Upstream | None = None


class Room(Enum):
    """Names why an upstream does or does not take a want."""

    FREE = auto()
    FULL = auto()
    NOT_THIS_WANT = auto()
    CLOSED = auto()


class Placement:
    """Finds the upstream with the least expected time to the first token.

    :param policy: the knobs in force.
    :param strikes: the suspects, which never share an upstream.
    """

    def __init__(self, policy: Policy, strikes: PoisonDetector):
        self._policy = policy
        self._strikes = strikes

    def choose(
        self,
        queued: QueuedSlotRequest,
        upstreams: list[Upstream],
        *,
        is_highest: bool,
        now_ms: int,
    ) -> Choice | Hold | None:
        """Return the best upstream for a want, a hold, or None if all are full.

        :param upstreams: those that serve the want's model, less those for which
            a higher tier waits.
        :param is_highest: whether the want may use the head room.
        """
        urgent = queued.deadline_at_ms - now_ms < self._policy.urgent_ms
        rooms = [self._room(one, queued, urgent, now_ms) for one in upstreams]
        if Room.FREE not in rooms:
            return Hold() if Room.NOT_THIS_WANT in rooms else None
        may_hold = bool(queued.want.prefix_hashes) and self._may_hold(
            queued, urgent, now_ms
        )
        best = better = None
        for upstream, room in zip(upstreams, rooms, strict=True):
            if room is Room.FREE:
                choice = self._score(upstream, queued, now_ms)
                if is_highest or self._leaves_room(
                    choice, upstreams, queued.want, now_ms
                ):
                    best = _cheaper(best, choice)
                elif may_hold:
                    better = _cheaper(better, self._with_wait(choice, now_ms))
            elif may_hold and room is Room.FULL and _hits(upstream, queued.want):
                choice = self._score(upstream, queued, now_ms)
                better = _cheaper(better, self._with_wait(choice, now_ms))
        if best is None:
            return Hold()
        if better is not None and _is_worth_waiting(better, best):
            return Hold(better.upstream)
        return best

    def _may_hold(self, queued: QueuedSlotRequest, urgent: bool, now_ms: int) -> bool:
        waited_ms = now_ms - queued.since_ms
        return not urgent and waited_ms < self._policy.affinity_ms

    def _with_wait(self, choice: Choice, now_ms: int) -> Choice:
        budget = choice.upstream.budget
        wait_ms = budget.slot_wait_ms
        backlog_ms = budget.backlog_ms(now_ms) - self._policy.engine_queue_ms
        wait_ms = max(wait_ms, backlog_ms, 0.0)
        cost_ms = choice.cost_ms + wait_ms
        return Choice(choice.upstream, choice.predicted_prefix_tokens, cost_ms)

    def _room(
        self, upstream: Upstream, queued: QueuedSlotRequest, urgent: bool, now_ms: int
    ) -> Room:
        budget = upstream.budget
        want = queued.want
        if upstream.is_leaving:
            return Room.CLOSED
        limit = upstream.limit(self._policy, urgent, now_ms)
        if limit == 0 or not upstream.can_hold(want):
            return Room.CLOSED
        if len(budget.slots) >= limit:
            return Room.FULL
        if upstream.name in want.excluded:
            return Room.NOT_THIS_WANT
        if upstream.suspects and self._strikes.is_suspect(want.fingerprint):
            return Room.NOT_THIS_WANT
        if upstream.spec.kind is UpstreamKind.SERVICE:
            return Room.FREE
        if budget.slots and not self._fits_memory(upstream, want):
            return Room.FULL
        if upstream.is_slow(now_ms) and not self._accepts_slow(queued, now_ms):
            return Room.NOT_THIS_WANT
        is_idle = budget.backlog_ms(now_ms) <= self._policy.engine_queue_ms
        return Room.FREE if is_idle else Room.FULL

    def _fits_memory(self, upstream: Upstream, want: SlotRequest) -> bool:
        if upstream.budget.fits_memory(want, 0):
            return True
        return upstream.budget.fits_memory(want, upstream.hit_tokens(want))

    def _accepts_slow(self, queued: QueuedSlotRequest, now_ms: int) -> bool:
        if queued.want.tier == HIGHEST_TIER:
            return queued.deadline_at_ms - now_ms < self._policy.urgent_ms
        patience_ms = queued.deadline_at_ms - queued.since_ms
        return now_ms - queued.since_ms >= patience_ms * SLOW_PATIENCE_SHARE

    def _score(
        self, upstream: Upstream, queued: QueuedSlotRequest, now_ms: int
    ) -> Choice:
        want = queued.want
        budget = upstream.budget
        fill_ms = FILL_MS * len(budget.slots) / max(1.0, budget.limit_slots)
        failing_ms = upstream.health.failure_share * FAILURE_COST_MS
        if upstream.spec.kind is UpstreamKind.SERVICE:
            return Choice(upstream, 0, fill_ms + budget.gap_ms + failing_ms)
        prefixes = upstream.prefixes
        hit = upstream.hit_tokens(want)
        prefill_ms = budget.prefill_ms(want.prompt_tokens - hit * prefixes.trust)
        backlog_ms = budget.backlog_ms(now_ms)
        late_ms = now_ms + backlog_ms + prefill_ms - queued.deadline_at_ms
        cost_ms = (
            backlog_ms
            + prefill_ms * self._policy.prefill_weight
            + want.output_tokens * budget.gap_ms * DECODE_SHARE
            + fill_ms
            + max(0.0, late_ms) * LATE_WEIGHT
            + failing_ms
        )
        return Choice(upstream, hit, cost_ms)

    def _leaves_room(
        self, choice: Choice, upstreams: list[Upstream], want: SlotRequest, now_ms: int
    ) -> bool:
        upstream = choice.upstream
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
            not other.is_leaving and other.budget.backlog_ms(now_ms) <= open_ms
            for other in others
        )


def _hits(upstream: Upstream, want: SlotRequest) -> bool:
    return upstream.hit_tokens(want) >= MIN_HOLD_TOKENS


def _is_worth_waiting(later: Choice, now: Choice) -> bool:
    hit_more = later.predicted_prefix_tokens - now.predicted_prefix_tokens
    is_cheaper = later.cost_ms < now.cost_ms * HOLD_COST_SHARE
    return is_cheaper and hit_more >= MIN_HOLD_TOKENS


def _cheaper(known: Choice | None, choice: Choice) -> Choice:
    if known is None or choice.cost_ms < known.cost_ms:
        return choice
    return known


def new_slot(
    queued: QueuedSlotRequest, choice: Choice, lease_ms: int, host: str, now_ms: int
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
