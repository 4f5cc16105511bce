"""Figures of a run: goodput by tier, latency, waste and violated guarantees."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from statistics import mean

from .cell_driver import CellDriver
from .engine import TOKEN_GAP_MS
from .requests import Job
from .simulation import Simulation

FIRST_TOKEN_MS = 1500
SLOW_GAP_SHARE = 0.05
TIERS = (1, 2, 3)
UNFINISHED = ("caller_gone", "preempted", "upstream_died", "upstream_error", "")

__all__ = [
    "TOKEN_GAP_MS",
    "RunFigures",
    "TierFigures",
    "collect_figures",
    "mean_or_zero",
]


@dataclass(slots=True)
class TierFigures:
    """Figures of a tier, in requests and in tokens."""

    offered: int = 0
    offered_tokens: int = 0
    goodput: int = 0
    goodput_tokens: int = 0
    whole: int = 0
    refused: int = 0
    other: int = 0
    first_token_p50_ms: float = 0.0
    first_token_p95_ms: float = 0.0
    first_token_p99_ms: float = 0.0

    @property
    def share(self) -> float:
        """Return the goodput over the offered requests."""
        return self.goodput / self.offered if self.offered else 1.0


@dataclass(slots=True)
class RunFigures:
    """Figures of a run."""

    tiers: dict[int, TierFigures] = field(default_factory=dict)
    prefilled_tokens: int = 0
    wasted_tokens: dict[str, int] = field(default_factory=dict)
    hit_tokens: int = 0
    oracle_hit_tokens: int = 0
    inversions: int = 0
    double_dispatches: int = 0
    false_not_run: int = 0
    unanswered: int = 0
    deaths: int = 0
    leaving_dispatches: int = 0
    late_refusal_max_ms: float = 0.0
    returned: int = 0
    admitted_on_return: int = 0
    span_s: float = 0.0

    @property
    def goodput_tokens(self) -> int:
        """Return the tokens of all good answers."""
        return sum(tier.goodput_tokens for tier in self.tiers.values())

    @property
    def goodput(self) -> int:
        """Return the number of good answers."""
        return sum(tier.goodput for tier in self.tiers.values())

    @property
    def wasted(self) -> int:
        """Return the number of wasted prompt tokens."""
        return sum(self.wasted_tokens.values())

    @property
    def wasted_share(self) -> float:
        """Return the wasted prompt tokens over all processed prompt tokens."""
        return self.wasted / max(1, self.prefilled_tokens)

    @property
    def hit_share(self) -> float:
        """Return the prefix tokens hit over those that an oracle would hit."""
        if not self.oracle_hit_tokens:
            return 1.0
        return self.hit_tokens / self.oracle_hit_tokens

    def as_dict(self) -> dict:
        """Return the figures for JSON."""
        return asdict(self) | {
            "goodput": self.goodput,
            "goodput_tokens": self.goodput_tokens,
            "wasted_share": self.wasted_share,
            "hit_share": self.hit_share,
        }


def meets_targets(job: Job) -> bool:
    """Return whether an answer was complete and in time."""
    if job.outcome != "whole":
        return False
    if job.first_token_ms - job.arrival_ms > FIRST_TOKEN_MS:
        return False
    return job.slow_gaps <= SLOW_GAP_SHARE * max(1, job.output_tokens - 1)


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of sorted values, or 0 without values."""
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(len(values) * share))]


def collect_figures(simulation: Simulation, from_ms: float) -> RunFigures:
    """Return the figures of a run.

    :param from_ms: end of the warm-up; most figures exclude earlier arrivals.
    """
    jobs = [job for job in simulation.jobs if job.arrival_ms >= from_ms]
    figures = RunFigures(
        tiers={tier: tier_figures(jobs, tier) for tier in TIERS},
        wasted_tokens=dict(wasted_tokens(jobs)),
        prefilled_tokens=sum(job.prefilled_tokens for job in jobs),
        hit_tokens=sum(job.cached_tokens for job in jobs),
        oracle_hit_tokens=sum(job.oracle_tokens for job in jobs),
        inversions=simulation.inversions,
        double_dispatches=sum(job.dispatches > 1 for job in simulation.jobs),
        false_not_run=sum(
            job.outcome == "refused" and job.dispatches > 0 for job in simulation.jobs
        ),
        unanswered=sum(job.outcome == "" for job in simulation.jobs),
        deaths=simulation.deaths,
        leaving_dispatches=simulation.leaving_dispatches,
        returned=sum(job.retries for job in jobs),
        admitted_on_return=sum(job.is_admitted_on_retry for job in jobs),
        span_s=(simulation.jobs[-1].arrival_ms - from_ms) / 1000.0,
    )
    if isinstance(simulation.driver, CellDriver):
        lateness_ms = simulation.driver.refusal_lateness_ms
        figures.late_refusal_max_ms = max(lateness_ms, default=0.0)
    return figures


def tier_figures(jobs: Iterable[Job], tier: int) -> TierFigures:
    """Return the figures of a tier."""
    jobs = [job for job in jobs if job.tier == tier and not job.is_poison]
    good = [job for job in jobs if meets_targets(job)]
    first_token_times_ms = sorted(
        job.first_token_ms - job.arrival_ms for job in jobs if job.first_token_ms >= 0
    )
    whole = sum(job.outcome == "whole" for job in jobs)
    refused = sum(job.outcome == "refused" for job in jobs)
    return TierFigures(
        offered=len(jobs),
        offered_tokens=sum(job.kv_tokens for job in jobs),
        goodput=len(good),
        goodput_tokens=sum(job.kv_tokens for job in good),
        whole=whole,
        refused=refused,
        other=len(jobs) - whole - refused,
        first_token_p50_ms=percentile(first_token_times_ms, 0.5),
        first_token_p95_ms=percentile(first_token_times_ms, 0.95),
        first_token_p99_ms=percentile(first_token_times_ms, 0.99),
    )


def wasted_tokens(jobs: Iterable[Job]) -> Counter:
    """Return the wasted prompt tokens by cause."""
    wasted: Counter = Counter()
    for job in jobs:
        if job.outcome in UNFINISHED:
            wasted[job.outcome or "unanswered"] += job.prefilled_tokens
        missed = job.oracle_tokens - job.cached_tokens
        if job.outcome not in UNFINISHED and missed > 0:
            wasted["cached_elsewhere"] += missed
    return wasted


def mean_or_zero(values: Iterable[float]) -> float:
    """Return the mean, or 0 without values."""
    values = list(values)
    return mean(values) if values else 0.0
