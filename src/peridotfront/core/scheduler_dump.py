"""Counters and state dumps of a scheduler, for operators."""

from collections import Counter
from dataclasses import dataclass, field

from .placement import Upstream
from .queues import FairQueue


@dataclass(slots=True)
class CellStats:
    """Counters of a scheduler since its start.

    :param granted: granted slots by tier.
    :param refused: refusals by tier and reason.
    :param evicted: slot requests that were refused after they had been queued, by
        tier.
    :param preempted: preempted requests by tier.
    :param predicted_cached_tokens: prompt tokens that were expected in caches.
    :param actual_cached_tokens: prompt tokens that the caches held.
    :param wasted_prefill_tokens: prompt tokens processed in vain, by cause.
    :param lapsed_slots: slots whose lease expired.
    :param inversions: refusals for overload while work of a lower tier could have
        been evicted or preempted instead.
    """

    granted: Counter = field(default_factory=Counter)
    refused: Counter = field(default_factory=Counter)
    evicted: Counter = field(default_factory=Counter)
    preempted: Counter = field(default_factory=Counter)
    predicted_cached_tokens: int = 0
    actual_cached_tokens: int = 0
    wasted_prefill_tokens: Counter = field(default_factory=Counter)
    lapsed_slots: int = 0
    inversions: int = 0


@dataclass(frozen=True, slots=True)
class QueueDump:
    """Dump of the queue of a tier and model."""

    tier: int
    model: str
    wants: int
    accounts: int
    prompt_tokens: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class UpstreamDump:
    """Dump of a scheduler's view of an upstream.

    :param pace_slots: pace of its slow start; None if it may use all slots.
    :param speed_samples: number of samples of its learned speed; 0 if none is learned.
    :param light_step_ms: learned time between tokens while few slots are in use.
    :param heavy_step_ms: learned time between tokens while most slots are in use.
    :param held_tokens: memory that its requests may use, by a cautious estimate.
    """

    name: str
    health: str
    is_leaving: bool
    slots: int
    limit_slots: int
    max_slots: int
    used_kv_tokens: int
    capacity_kv_tokens: int
    backlog_ms: int
    prefill_tokens_per_s: int
    token_gap_ms: float
    cached_blocks: int
    cache_trust: float
    pace_slots: float | None = None
    speed_samples: int = 0
    light_step_ms: float = 0.0
    heavy_step_ms: float = 0.0
    held_tokens: int = 0


@dataclass(frozen=True, slots=True)
class AccountDump:
    """Dump of the work and the share of a client account.

    :param share: share of the capacity that it may have, from 0 to 1.
    :param running_tokens: work of its slots in use, in prompt tokens.
    :param recent_tokens: decaying sum of its work that has ended.
    :param waiting_tokens: work of its slot requests that wait.
    :param refused: refusals by reason.
    """

    name: str
    weight: int
    share: float
    running_tokens: int
    recent_tokens: int
    waiting_tokens: int
    refused: dict[str, int]


@dataclass(frozen=True, slots=True)
class CellDump:
    """Dump of the state of a cell's scheduler."""

    cell: str
    config_version: int
    is_settling: bool
    queues: tuple[QueueDump, ...]
    upstreams: tuple[UpstreamDump, ...]
    struck_fingerprints: int
    stats: CellStats
    accounts: tuple[AccountDump, ...] = ()


def dump_queue(tier: int, model: str, queue: FairQueue, wait_ms: float) -> QueueDump:
    """Return the dump of a queue."""
    return QueueDump(
        tier=tier,
        model=model,
        wants=len(queue),
        accounts=queue.accounts,
        prompt_tokens=queue.prefill_tokens,
        wait_ms=int(wait_ms),
    )


def dump_upstream(upstream: Upstream, now_ms: int) -> UpstreamDump:
    """Return the dump of an upstream."""
    capacity = upstream.capacity
    pace = upstream.slow_start and upstream.slow_start.pace
    speed, memory = capacity.speed, capacity.memory
    return UpstreamDump(
        name=upstream.name,
        health=upstream.health.state.value,
        is_leaving=upstream.is_leaving,
        slots=len(capacity.slots),
        limit_slots=int(capacity.limit_slots),
        max_slots=capacity.max_slots,
        used_kv_tokens=capacity.kv_tokens,
        capacity_kv_tokens=capacity.kv_capacity_tokens,
        backlog_ms=int(capacity.backlog_ms(now_ms)),
        prefill_tokens_per_s=int(capacity.prefill_tokens_per_s),
        token_gap_ms=round(capacity.gap_ms, 1),
        cached_blocks=len(upstream.prefixes),
        cache_trust=round(upstream.prefixes.trust, 2),
        pace_slots=round(pace.slots, 1) if pace else None,
        speed_samples=speed.samples if speed else 0,
        light_step_ms=round(speed.step_ms(0.0), 2) if speed else 0.0,
        heavy_step_ms=round(speed.step_ms(1.0), 2) if speed else 0.0,
        held_tokens=memory.tokens if memory else 0,
    )
