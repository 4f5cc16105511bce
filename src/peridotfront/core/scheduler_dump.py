"""What a scheduler shows its operators: counters and a dump of its state."""

from collections import Counter
from dataclasses import dataclass, field

from .placement import Upstream
from .queues import FairQueue


@dataclass(slots=True)
class CellStats:
    """Counts what a scheduler did since it started.

    :param granted: by tier.
    :param refused: by tier and reason.
    :param evicted: queued wants taken back, by tier.
    :param preempted: by tier.
    :param wasted_prefill_tokens: by cause.
    :param inversions: refusals of a tier with lower work in reach.
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
    """Shows the queue of a tier and model."""

    tier: int
    model: str
    wants: int
    accounts: int
    prompt_tokens: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class UpstreamDump:
    """Shows what is known of an upstream."""

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


@dataclass(frozen=True, slots=True)
class CellDump:
    """Shows the state of a cell's scheduler."""

    cell: str
    config_version: int
    is_settling: bool
    queues: tuple[QueueDump, ...]
    upstreams: tuple[UpstreamDump, ...]
    struck_fingerprints: int
    stats: CellStats


def dump_queue(tier: int, model: str, queue: FairQueue, wait_ms: float) -> QueueDump:
    """Return what there is to show of a queue."""
    return QueueDump(
        tier=tier,
        model=model,
        wants=len(queue),
        accounts=queue.accounts,
        prompt_tokens=queue.prefill_tokens,
        wait_ms=int(wait_ms),
    )


def dump_upstream(upstream: Upstream, now_ms: int) -> UpstreamDump:
    """Return what there is to show of an upstream."""
    budget = upstream.budget
    return UpstreamDump(
        name=upstream.name,
        health=upstream.health.state.value,
        is_leaving=upstream.is_leaving,
        slots=len(budget.slots),
        limit_slots=int(budget.limit_slots),
        max_slots=budget.max_slots,
        used_kv_tokens=budget.kv_tokens,
        capacity_kv_tokens=budget.kv_capacity_tokens,
        backlog_ms=int(budget.backlog_ms(now_ms)),
        prefill_tokens_per_s=int(budget.prefill_tokens_per_s),
        token_gap_ms=round(budget.gap_ms, 1),
        cached_blocks=len(upstream.prefixes),
        cache_trust=round(upstream.prefixes.trust, 2),
    )
