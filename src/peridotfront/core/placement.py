"""Choice of the upstream for a slot request."""

from dataclasses import dataclass, replace
from enum import Enum, auto
from typing import NamedTuple

from .brittle_upstreams import BrittleUpstreams
from .fleet import Policy, UpstreamKind, UpstreamSpec
from .headroom import Headroom
from .health import Health, HealthState
from .host_reach import HostReach
from .messages import SlotRequest
from .poison_detection import PoisonDetector
from .prefix_cache import PrefixCacheModel
from .queues import QueuedSlotRequest
from .slow_start import SlowStart
from .upstream_capacity import Slot, UpstreamCapacity
from .upstream_limits import UpstreamLimits
from .upstream_rates import UpstreamRates, Wait

FILL_COST_MS = 20.0
FAILURE_COST_MS = 2000.0
# Data centres are some ms apart, and each byte between them has its price.
REMOTE_COST_MS = 15.0
RELAY_COST_MS = 15.0
LATE_WEIGHT = 5.0
DEFER_COST_RATIO = 0.9
MIN_DEFER_HIT_TOKENS = 256
DECODE_COST_RATIO = 0.02
HIGHEST_TIER = 1
SLOW_ENGINE_SHARE = 0.3
SLOW_MIN_WAIT_RATIO = 0.5
PACED_STATES = (HealthState.HEALTHY, HealthState.RAMPING)
# A short wait shows that the other upstreams are full for more than a moment.
NEED_WAIT_SHARE = 0.1


@dataclass(slots=True)
class Upstream:
    """State of one upstream as its scheduler sees it.

    :param suspects: number of slots whose requests are suspected as poison.
    :param slow_start: its slow start; None if the service has none.
    """

    spec: UpstreamSpec
    capacity: UpstreamCapacity
    prefixes: PrefixCacheModel
    health: Health
    is_leaving: bool = False
    suspects: int = 0
    slow_start: SlowStart | None = None

    @property
    def name(self) -> str:
        """Return the upstream's name."""
        return self.spec.name

    def is_slow(self, now_ms: int) -> bool:
        """Return whether too large a share of its tokens is slow."""
        return self.capacity.is_slow(SLOW_ENGINE_SHARE, now_ms)

    def limit(
        self, policy: Policy, is_urgent: bool, now_ms: int, is_needed: bool = False
    ) -> int:
        """Return the maximum number of slots in use after a grant.

        :param is_needed: whether all other upstreams are full and callers wait.
        """
        limit = self.capacity.limit_slots
        if is_urgent:
            limit *= policy.overfill_ratio
        if self.slow_start is not None and self.health.state in PACED_STATES:
            limit = self.slow_start.limit(int(limit), is_needed, now_ms)
        if self.health.state is HealthState.HEALTHY:
            return int(limit)
        return self.health.slots(int(limit), now_ms)

    def hit_tokens(self, slot_request: SlotRequest) -> int:
        """Return the prompt tokens that the upstream's cache is expected to hold."""
        if not slot_request.prefix_hashes:
            return 0
        return self.prefixes.hit_tokens(
            slot_request.prefix_hashes,
            slot_request.prompt_tokens,
            slot_request.prefix_tokens,
        )

    def suits(self, slot_request: SlotRequest) -> bool:
        """Return whether the slot request allows this upstream."""
        if self.name in slot_request.excluded:
            return False
        software_version = slot_request.software_version
        return software_version in ("", self.spec.software_version)

    def fits_when_empty(self, slot_request: SlotRequest) -> bool:
        """Return whether the slot request fits into the upstream when it is idle."""
        if self.spec.kind is UpstreamKind.SERVICE:
            return True
        required_tokens = slot_request.prompt_tokens + slot_request.output_tokens
        return required_tokens <= self.spec.kv_capacity_tokens


class Choice(NamedTuple):
    """Upstream that was chosen for a slot request.

    :param predicted_prefix_tokens: prompt tokens that its cache is expected to hold.
    :param cost_ms: expected time to the first token, with penalties.
    """

    upstream: Upstream
    predicted_prefix_tokens: int
    cost_ms: float


@dataclass(frozen=True, slots=True)
class Deferral:
    """Decision that a slot request waits while others may be granted first.

    :param upstream: upstream that it waits for; None if any upstream will do.
    :param fallback: choice that it takes rather than leave the upstream idle.
    """

    upstream: Upstream | None = None
    fallback: Choice | None = None


@dataclass(frozen=True, slots=True)
class _Search:
    """Search of an upstream for a slot request, with what is the same for all.

    :param required_tokens: memory of an engine that the request may use.
    :param is_selective: whether it does not allow all upstreams.
    :param is_suspect: whether it may crash upstreams.
    :param has_lost_links: whether its host has lost the link to any upstream.
    :param has_limits: whether any upstream has named a limit.
    :param has_brittle: whether any upstream must not reject many requests.
    :param exceeds_pace: whether it may exceed the pace of upstreams that start.
    """

    queued: QueuedSlotRequest
    slot_request: SlotRequest
    now_ms: int
    required_tokens: int
    is_urgent: bool
    is_selective: bool
    is_suspect: bool
    has_lost_links: bool
    has_limits: bool
    has_brittle: bool
    exceeds_pace: bool = False


class Availability(Enum):
    """Availability of an upstream for a slot request."""

    AVAILABLE = auto()
    FULL = auto()
    UNSUITABLE = auto()
    UNAVAILABLE = auto()


class Placement:
    """Choice of the upstream with the least expected time to the first token.

    Costs for lateness, decoding, used slots, recent failures and another data centre
    are added to that time.

    :param policy: active parameters of the policy.
    :param poison_detector: detector of suspects; two of them never share an upstream.
    :param limits: limits that upstreams have named.
    :param reach: evidence on the links between entry hosts and upstreams.
    :param brittle: upstreams that must not reject many requests.
    :param rates: learned rates of the upstreams; None if placement ignores them.
    """

    def __init__(
        self,
        policy: Policy,
        poison_detector: PoisonDetector,
        limits: UpstreamLimits,
        reach: HostReach,
        brittle: BrittleUpstreams,
        rates: UpstreamRates | None = None,
    ):
        self._policy = policy
        self._rates = rates
        self._limits = limits
        self._reach = reach
        self._brittle = brittle
        self._poison_detector = poison_detector

    def choose(
        self,
        queued: QueuedSlotRequest,
        upstreams: list[Upstream],
        *,
        is_highest: bool,
        now_ms: int,
    ) -> Choice | Deferral | None:
        """Return the best upstream for a slot request, a deferral or None.

        :param upstreams: upstreams that serve the requested model, without those
            that are reserved for a higher tier.
        :param is_highest: whether the slot request is of the highest tier, which may
            use the headroom.
        :return: None if all upstreams are full or unavailable.
        """
        search = self._begin_search(queued, now_ms)
        availabilities = self._availabilities(upstreams, search)
        if Availability.AVAILABLE not in availabilities and _needs_starting(
            queued, upstreams, now_ms
        ):
            search = replace(search, exceeds_pace=True)
            availabilities = self._availabilities(upstreams, search)
        if Availability.AVAILABLE not in availabilities:
            return Deferral() if Availability.UNSUITABLE in availabilities else None
        may_defer = bool(queued.slot_request.prefix_hashes) and self._may_defer(
            queued, search.is_urgent, now_ms
        )
        headroom = Headroom(self._policy, upstreams, now_ms)
        best = best_deferred = None
        for upstream, availability in zip(upstreams, availabilities, strict=True):
            if availability is Availability.AVAILABLE:
                choice = self._score(upstream, search)
                if is_highest or _keeps_headroom(choice, headroom, queued):
                    best = _cheaper(best, choice)
                elif may_defer:
                    best_deferred = _cheaper(
                        best_deferred, self._add_wait(choice, now_ms)
                    )
            elif (
                may_defer
                and availability is Availability.FULL
                and _has_prefix_hit(upstream, queued.slot_request)
            ):
                choice = self._score(upstream, search)
                best_deferred = _cheaper(best_deferred, self._add_wait(choice, now_ms))
        if best is None:
            return Deferral()
        if best_deferred is not None and _is_worth_waiting(best_deferred, best):
            return Deferral(best_deferred.upstream)
        return best if self._rates is None else self._wait_or_take(best, search)

    def _wait_or_take(self, best: Choice, search: _Search) -> Choice | Deferral:
        """Return a deferral if the request waits for a faster or nearer upstream."""
        queued = search.queued
        first_token_ms = _first_token_ms(best, search)
        centre = best.upstream.spec.data_centre
        costs = self._rates.costs
        wait = costs.wait(queued, first_token_ms, centre, search.now_ms)
        if wait is Wait.NO:
            return best
        return Deferral(fallback=best if wait is Wait.IF_WANTED else None)

    def _may_defer(
        self, queued: QueuedSlotRequest, is_urgent: bool, now_ms: int
    ) -> bool:
        waited_ms = now_ms - queued.since_ms
        return not is_urgent and waited_ms < self._policy.affinity_ms

    def _add_wait(self, choice: Choice, now_ms: int) -> Choice:
        capacity = choice.upstream.capacity
        wait_ms = capacity.slot_wait_ms
        backlog_ms = capacity.backlog_ms(now_ms) - self._policy.engine_queue_ms
        wait_ms = max(wait_ms, backlog_ms, 0.0)
        cost_ms = choice.cost_ms + wait_ms
        return Choice(choice.upstream, choice.predicted_prefix_tokens, cost_ms)

    def _begin_search(self, queued: QueuedSlotRequest, now_ms: int) -> _Search:
        slot_request = queued.slot_request
        return _Search(
            queued=queued,
            slot_request=slot_request,
            now_ms=now_ms,
            required_tokens=slot_request.prompt_tokens + slot_request.output_tokens,
            is_urgent=queued.deadline_at_ms - now_ms < self._policy.urgent_ms,
            is_selective=bool(slot_request.excluded or slot_request.software_version),
            is_suspect=self._poison_detector.is_suspect(slot_request.fingerprint),
            has_lost_links=self._reach.has_lost_links(queued.host),
            has_limits=len(self._limits) > 0,
            has_brittle=len(self._brittle) > 0,
        )

    def _availabilities(
        self, upstreams: list[Upstream], search: _Search
    ) -> list[Availability]:
        return [self._availability(upstream, search) for upstream in upstreams]

    def _availability(self, upstream: Upstream, search: _Search) -> Availability:
        if upstream.is_leaving:
            return Availability.UNAVAILABLE
        limit = upstream.limit(
            self._policy, search.is_urgent, search.now_ms, search.exceeds_pace
        )
        if limit == 0 or search.has_brittle:
            limit = self._exceptional_limit(upstream, limit, search)
        if limit == 0:
            return Availability.UNAVAILABLE
        spec = upstream.spec
        is_engine = spec.kind is not UpstreamKind.SERVICE
        if is_engine and search.required_tokens > spec.kv_capacity_tokens:
            return Availability.UNAVAILABLE
        if search.has_limits and not self._limits.allows(spec.name, search.now_ms):
            return Availability.UNAVAILABLE
        if len(upstream.capacity.slots) >= limit:
            return Availability.FULL
        if search.is_selective and not upstream.suits(search.slot_request):
            return Availability.UNSUITABLE
        if search.is_suspect and upstream.suspects:
            return Availability.UNSUITABLE
        if is_engine:
            return self._engine_availability(upstream, search)
        return Availability.AVAILABLE

    def _engine_availability(self, upstream: Upstream, search: _Search) -> Availability:
        """Return the availability of an engine with a free slot."""
        capacity = upstream.capacity
        now_ms = search.now_ms
        if capacity.slots and not _fits_memory(upstream, search):
            return Availability.FULL
        if upstream.is_slow(now_ms) and not self._accepts_slow(search.queued, now_ms):
            return Availability.UNSUITABLE
        has_short_queue = capacity.backlog_ms(now_ms) <= self._policy.engine_queue_ms
        return Availability.AVAILABLE if has_short_queue else Availability.FULL

    def _exceptional_limit(
        self, upstream: Upstream, limit: int, search: _Search
    ) -> int:
        """Return the limit of an upstream that is out of service, or is brittle."""
        name = upstream.name
        now_ms = search.now_ms
        if limit == 0 and self._reach.may_test(search.queued.host, name, now_ms):
            limit = int(upstream.capacity.limit_slots)
        return self._brittle.usable_slots(name, limit, now_ms)

    def _accepts_slow(self, queued: QueuedSlotRequest, now_ms: int) -> bool:
        if queued.slot_request.tier == HIGHEST_TIER:
            return queued.deadline_at_ms - now_ms < self._policy.urgent_ms
        max_wait_ms = queued.deadline_at_ms - queued.since_ms
        return now_ms - queued.since_ms >= max_wait_ms * SLOW_MIN_WAIT_RATIO

    def _score(self, upstream: Upstream, search: _Search) -> Choice:
        queued = search.queued
        now_ms = search.now_ms
        slot_request = search.slot_request
        capacity = upstream.capacity
        fixed_cost_ms = self._fixed_cost_ms(upstream, search)
        if upstream.spec.kind is UpstreamKind.SERVICE:
            return Choice(upstream, 0, capacity.call_ms(now_ms) + fixed_cost_ms)
        prefixes = upstream.prefixes
        hit_tokens = upstream.hit_tokens(slot_request)
        prefill_ms = capacity.prefill_ms(
            slot_request.prompt_tokens - hit_tokens * prefixes.trust
        )
        backlog_ms = capacity.backlog_ms(now_ms)
        if self._rates is not None:
            first_token_ms = backlog_ms + prefill_ms + capacity.first_report_ms
            cost_ms = self._rates.costs.cost_ms(
                capacity, queued, first_token_ms, now_ms
            )
            return Choice(upstream, hit_tokens, cost_ms + fixed_cost_ms)
        late_ms = now_ms + backlog_ms + prefill_ms - queued.deadline_at_ms
        cost_ms = (
            backlog_ms
            + prefill_ms * self._policy.prefill_weight
            + slot_request.output_tokens * capacity.gap_ms * DECODE_COST_RATIO
            + max(0.0, late_ms) * LATE_WEIGHT
            + fixed_cost_ms
        )
        return Choice(upstream, hit_tokens, cost_ms)

    def _fixed_cost_ms(self, upstream: Upstream, search: _Search) -> float:
        """Return the costs that do not depend on the size of the request."""
        capacity = upstream.capacity
        now_ms = search.now_ms
        fill_ms = FILL_COST_MS * len(capacity.slots) / max(1.0, capacity.limit_slots)
        failure_cost_ms = upstream.health.failure_share(now_ms) * FAILURE_COST_MS
        spec = upstream.spec
        is_remote = _is_remote(upstream, search.queued)
        link_cost_ms = REMOTE_COST_MS if is_remote else 0.0
        if is_remote and self._rates is not None:
            link_cost_ms = self._rates.costs.remote_cost_ms(search.queued)
        if search.has_lost_links and self._reach.has_lost_link(
            search.queued.host, spec.name, now_ms
        ):
            link_cost_ms += RELAY_COST_MS
        return fill_ms + failure_cost_ms + link_cost_ms


def _needs_starting(
    queued: QueuedSlotRequest, upstreams: list[Upstream], now_ms: int
) -> bool:
    """Return whether a request has waited so long that it needs a starting one."""
    wait_ms = now_ms - queued.since_ms
    max_wait_ms = queued.slot_request.goal_ms or queued.slot_request.deadline_ms
    if wait_ms < max_wait_ms * NEED_WAIT_SHARE:
        return False
    return any(
        upstream.slow_start is not None and upstream.slow_start.is_active
        for upstream in upstreams
    )


def _is_remote(upstream: Upstream, queued: QueuedSlotRequest) -> bool:
    return queued.data_centre not in ("", upstream.spec.data_centre)


def _first_token_ms(choice: Choice, search: _Search) -> float:
    capacity = choice.upstream.capacity
    uncached_tokens = search.slot_request.prompt_tokens - (
        choice.predicted_prefix_tokens * choice.upstream.prefixes.trust
    )
    prefill_ms = capacity.prefill_ms(uncached_tokens) + capacity.first_report_ms
    return capacity.backlog_ms(search.now_ms) + prefill_ms


def _fits_memory(upstream: Upstream, search: _Search) -> bool:
    capacity = upstream.capacity
    if capacity.memory is not None:
        return capacity.fits_request(search.slot_request)
    if capacity.fits_memory(search.required_tokens):
        return True
    hit_tokens = upstream.hit_tokens(search.slot_request)
    return capacity.fits_memory(search.required_tokens - hit_tokens)


def _keeps_headroom(
    choice: Choice, headroom: Headroom, queued: QueuedSlotRequest
) -> bool:
    upstream = choice.upstream
    if upstream.spec.kind is UpstreamKind.SERVICE:
        return True
    return headroom.is_kept(
        upstream, choice.predicted_prefix_tokens, queued.slot_request
    )


def _has_prefix_hit(upstream: Upstream, slot_request: SlotRequest) -> bool:
    return upstream.hit_tokens(slot_request) >= MIN_DEFER_HIT_TOKENS


def _is_worth_waiting(deferred: Choice, immediate: Choice) -> bool:
    more_hit_tokens = (
        deferred.predicted_prefix_tokens - immediate.predicted_prefix_tokens
    )
    is_cheaper = deferred.cost_ms < immediate.cost_ms * DEFER_COST_RATIO
    return is_cheaper and more_hit_tokens >= MIN_DEFER_HIT_TOKENS


def _cheaper(current: Choice | None, choice: Choice) -> Choice:
    if current is None or choice.cost_ms < current.cost_ms:
        return choice
    return current


def new_slot(
    queued: QueuedSlotRequest, choice: Choice, lease_ms: int, host: str, now_ms: int
) -> Slot:
    """Return the slot for a slot request at the chosen upstream."""
    slot_request = queued.slot_request
    is_engine = choice.upstream.spec.kind is UpstreamKind.ENGINE
    prefill_tokens = slot_request.prompt_tokens - choice.predicted_prefix_tokens
    return Slot(
        slot_request=slot_request,
        host=host,
        upstream=choice.upstream.name,
        granted_ms=now_ms,
        lease_until_ms=now_ms + lease_ms,
        predicted_prefix_tokens=choice.predicted_prefix_tokens,
        prefill_tokens=prefill_tokens if is_engine else 0,
    )
