"""Workloads of both users: kinds of requests, sizes, accounts and arrivals."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .engine import BLOCK_TOKENS, FLEET, EngineKind
from .requests import Job

HOSTS = tuple(f"entry-{index}" for index in range(6))
ACCOUNTS = ("large-1", "large-2", "middle", "small-1", "small-2")
ACCOUNT_SHARES = (0.4, 0.3, 0.15, 0.1, 0.05)


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Kind of request in a workload.

    :param share: its share of the work.
    :param shared_tokens: size range of the prefix that requests of a group share.
    :param groups: number of groups; each has one shared prefix.
    :param prompt_tokens: size range of the prompt after the shared prefix.
    :param output_tokens: size range of the answer.
    :param deadline_ms: maximum wait for the first token that callers state.
    :param gone_after_ms: wait after which callers disconnect.
    """

    tier: int
    share: float
    shared_tokens: tuple[int, int]
    groups: int
    prompt_tokens: tuple[int, int]
    output_tokens: tuple[int, int]
    deadline_ms: int
    gone_after_ms: int


@dataclass(frozen=True, slots=True)
class Workload:
    """Mix of requests of one user."""

    name: str
    kinds: tuple[RequestKind, ...]


GOLD = Workload(
    "gold",
    (
        RequestKind(1, 0.2, (64, 64), 4, (10, 300), (20, 80), 1500, 5000),
        RequestKind(2, 0.3, (128, 128), 4, (200, 1200), (60, 200), 1500, 8000),
        RequestKind(3, 0.5, (256, 256), 6, (800, 6000), (150, 500), 1500, 15_000),
    ),
)
SCHOOL = Workload(
    "school",
    (
        RequestKind(1, 0.1, (0, 0), 1, (20, 150), (20, 80), 1500, 5000),
        RequestKind(2, 0.3, (1500, 5000), 24, (30, 200), (60, 160), 15_000, 30_000),
        RequestKind(3, 0.6, (1500, 6000), 24, (100, 600), (100, 300), 15_000, 30_000),
    ),
)
WORKLOADS = {"gold": GOLD, "school": SCHOOL}


def log_uniform(rng: random.Random, size_range: tuple[int, int]) -> int:
    """Draw a size from a range, uniform on a logarithmic scale."""
    low, high = size_range
    if low == high:
        return low
    return round(low * (high / low) ** rng.random())


def mean_log_uniform(size_range: tuple[int, int]) -> float:
    """Return the mean of ``log_uniform``."""
    return (
        sum(log_uniform(random.Random(seed), size_range) for seed in range(400)) / 400
    )


def fleet_rate_per_ms(kind: RequestKind, fleet: tuple[EngineKind, ...]) -> float:
    """Return the requests of a kind that a fleet finishes per millisecond."""
    prompt = mean_log_uniform(kind.prompt_tokens)
    output = mean_log_uniform(kind.output_tokens)
    return sum(1.0 / engine.service_time_ms(prompt, output) for engine in fleet)


class JobSource:
    """Generator of the requests of a workload.

    :param workload: mix of requests.
    :param seed: seed of the random numbers.
    """

    def __init__(self, workload: Workload, seed: int):
        self.workload = workload
        self._rng = random.Random(seed)
        self._sizes: dict[tuple[int, int], int] = {}
        self._count = 0

    def jobs(
        self, load_at: Callable[[int, float], float], duration_ms: float
    ) -> list[Job]:
        """Return the requests of a run in order of arrival.

        :param load_at: offered work over capacity, by tier and time in ms.
        :param duration_ms: duration of the run.
        """
        jobs = []
        for kind in self.workload.kinds:
            jobs.extend(self._arrivals(kind, load_at, duration_ms))
        return sorted(jobs, key=lambda job: job.arrival_ms)

    def _arrivals(
        self,
        kind: RequestKind,
        load_at: Callable[[int, float], float],
        duration_ms: float,
    ) -> Iterator[Job]:
        full_rate_per_ms = fleet_rate_per_ms(kind, FLEET) * kind.share
        now_ms = 0.0
        while True:
            load = max(1e-6, load_at(kind.tier, now_ms))
            now_ms += min(1000.0, self._rng.expovariate(full_rate_per_ms * load))
            if now_ms >= duration_ms:
                return
            if load > 1e-6:
                yield self._job(kind, now_ms)

    def _job(self, kind: RequestKind, now_ms: float) -> Job:
        rng = self._rng
        group = min(int(rng.paretovariate(1.0)) - 1, kind.groups - 1)
        if group >= kind.groups - 1:
            group = rng.randrange(kind.groups)
        shared_tokens = self._shared_tokens(kind, group)
        self._count += 1
        prefix_blocks = shared_tokens // BLOCK_TOKENS
        own_tokens = log_uniform(rng, kind.prompt_tokens)
        own_blocks = (shared_tokens + own_tokens) // BLOCK_TOKENS - prefix_blocks
        hashes = [
            hash((group, kind.shared_tokens, block)) for block in range(prefix_blocks)
        ]
        hashes.extend(hash((-self._count, block)) for block in range(own_blocks))
        return Job(
            request_id=f"r{self._count}",
            arrival_ms=now_ms,
            tier=kind.tier,
            account=rng.choices(ACCOUNTS, ACCOUNT_SHARES)[0],
            host=rng.choice(HOSTS),
            prompt_tokens=shared_tokens + own_tokens,
            output_tokens=log_uniform(rng, kind.output_tokens),
            prefix_hashes=tuple(hashes),
            fingerprint=self._count,
            deadline_ms=kind.deadline_ms,
            gone_after_ms=kind.gone_after_ms,
        )

    def _shared_tokens(self, kind: RequestKind, group: int) -> int:
        key = (kind.tier, group)
        if kind.shared_tokens[1] == 0:
            return 0
        if key not in self._sizes:
            rng = random.Random(f"{kind.shared_tokens}/{group}")
            self._sizes[key] = log_uniform(rng, kind.shared_tokens)
        return self._sizes[key]
