"""The work of both users: kinds of requests, sizes, accounts and arrivals."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .engine import BLOCK_TOKENS, FLEET, EngineKind
from .requests import Job

HOSTS = tuple(f"entry-{index}" for index in range(6))
ACCOUNTS = ("large-1", "large-2", "middle", "small-1", "small-2")
ACCOUNT_SHARES = (0.4, 0.3, 0.15, 0.1, 0.05)


@dataclass(frozen=True, slots=True)
class Kind:
    """Describes one kind of request.

    :param share: its part of the work.
    :param shared_tokens: range of the prefix that requests of a group share.
    :param groups: how many such prefixes there are.
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
    """Is the mix of one user."""

    name: str
    kinds: tuple[Kind, ...]


GOLD = Workload(
    "gold",
    (
        Kind(1, 0.2, (64, 64), 4, (10, 300), (20, 80), 1500, 5000),
        Kind(2, 0.3, (128, 128), 4, (200, 1200), (60, 200), 1500, 8000),
        Kind(3, 0.5, (256, 256), 6, (800, 6000), (150, 500), 1500, 15_000),
    ),
)
SCHOOL = Workload(
    "school",
    (
        Kind(1, 0.1, (0, 0), 1, (20, 150), (20, 80), 1500, 5000),
        Kind(2, 0.3, (1500, 5000), 24, (30, 200), (60, 160), 15_000, 30_000),
        Kind(3, 0.6, (1500, 6000), 24, (100, 600), (100, 300), 15_000, 30_000),
    ),
)
WORKLOADS = {"gold": GOLD, "school": SCHOOL}


def log_uniform(rng: random.Random, bounds: tuple[int, int]) -> int:
    """Draw a size from a range, small ones more often."""
    low, high = bounds
    if low == high:
        return low
    return round(low * (high / low) ** rng.random())


def mean_log_uniform(bounds: tuple[int, int]) -> float:
    """Return the mean of ``log_uniform``."""
    return sum(log_uniform(random.Random(seed), bounds) for seed in range(400)) / 400


def fleet_rate(kind: Kind, fleet: tuple[EngineKind, ...]) -> float:
    """Return how many requests of one kind a fleet finishes in a millisecond."""
    prompt = mean_log_uniform(kind.prompt_tokens)
    output = mean_log_uniform(kind.output_tokens)
    return sum(1.0 / engine.work_ms(prompt, output) for engine in fleet)


class JobSource:
    """Draws the requests of a workload.

    :param workload: the user's mix.
    :param seed: of the random numbers.
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

        :param load_at: offered work over capacity of a tier at a time.
        """
        jobs = []
        for kind in self.workload.kinds:
            jobs.extend(self._arrivals(kind, load_at, duration_ms))
        return sorted(jobs, key=lambda job: job.arrival_ms)

    def _arrivals(
        self, kind: Kind, load_at: Callable[[int, float], float], duration_ms: float
    ) -> Iterator[Job]:
        full_rate = fleet_rate(kind, FLEET) * kind.share
        now_ms = 0.0
        while True:
            load = max(1e-6, load_at(kind.tier, now_ms))
            now_ms += min(1000.0, self._rng.expovariate(full_rate * load))
            if now_ms >= duration_ms:
                return
            if load > 1e-6:
                yield self._job(kind, now_ms)

    def _job(self, kind: Kind, now_ms: float) -> Job:
        rng = self._rng
        group = min(int(rng.paretovariate(1.0)) - 1, kind.groups - 1)
        if group >= kind.groups - 1:
            group = rng.randrange(kind.groups)
        shared = self._shared_tokens(kind, group)
        self._count += 1
        prefix = shared // BLOCK_TOKENS
        own_tokens = log_uniform(rng, kind.prompt_tokens)
        own_blocks = (shared + own_tokens) // BLOCK_TOKENS - prefix
        hashes = [hash((group, kind.shared_tokens, block)) for block in range(prefix)]
        hashes.extend(hash((-self._count, block)) for block in range(own_blocks))
        return Job(
            request_id=f"r{self._count}",
            arrival_ms=now_ms,
            tier=kind.tier,
            account=rng.choices(ACCOUNTS, ACCOUNT_SHARES)[0],
            host=rng.choice(HOSTS),
            prompt_tokens=shared + own_tokens,
            output_tokens=log_uniform(rng, kind.output_tokens),
            prefix_hashes=tuple(hashes),
            fingerprint=self._count,
            deadline_ms=kind.deadline_ms,
            gone_after_ms=kind.gone_after_ms,
        )

    def _shared_tokens(self, kind: Kind, group: int) -> int:
        key = (kind.tier, group)
        if kind.shared_tokens[1] == 0:
            return 0
        if key not in self._sizes:
            rng = random.Random(f"{kind.shared_tokens}/{group}")
            self._sizes[key] = log_uniform(rng, kind.shared_tokens)
        return self._sizes[key]
