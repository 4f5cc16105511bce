"""Comparison of a new software version with the others in the same minutes.

Each answer counts as failed, as slow or as good. The failed and the slow ones are
compared with the *baseline*, the answers of the other versions, by sequential tests:
Wald's sequential probability ratio test for the proof of a good version, and Page's
cumulative sum, its repeated form, for one that turns bad later.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, auto
from functools import lru_cache
from math import log

from .samples import Sample
from .speeds import MIN_BASELINE_SAMPLES, SpeedModel, UsualTimes

# Share of bad answers that is looked for, beyond that of the baseline.
BAD_SHARE = 0.2
MAX_TESTED_SHARE = 0.95
# A smaller share would let a few failures at once reject a good version.
MIN_BASE_SHARE = 0.05
MAX_BASE_SHARE = 0.6
# More answers of a good version are slow than of the baseline, since the usual time of
# an upstream with few answers is known less exactly.
SLOW_BASE_SHARE = 0.08
# A good version is rejected with a probability of about e^-9 by each test.
REJECTION_LLR = 9.0
# A version with ``BAD_SHARE`` passes one test with a probability of e^-3 at most.
PROOF_LLR = 3.0
# On a single route, few answers are enough if all routes together are proven.
ROUTE_SLOW_LLR = 2.0
MIN_COMPARED_UPSTREAMS = 5


class TestResult(Enum):
    """What the evidence says of a version."""

    OPEN = auto()
    PROVEN = auto()
    BAD = auto()


@dataclass(frozen=True, slots=True)
class RouteEvidence:
    """Answers of the new version on one route, for operators."""

    route: str
    answers: int
    failed: int
    slow: int


@dataclass(frozen=True, slots=True)
class Finding:
    """Result of a comparison.

    :param reason: reason for the result; empty if it is open.
    :param bad_answers: failed and slow answers of the new version among the samples.
    :param routes: answers by route.
    :param unproven_routes: routes on which more answers are needed.
    :param is_fast: whether the faster upstreams are known to be as fast as the
        baseline's.
    """

    result: TestResult
    reason: str
    bad_answers: int
    routes: tuple[RouteEvidence, ...]
    unproven_routes: frozenset[str]
    is_fast: bool


@dataclass(frozen=True, slots=True)
class _Judged:
    """Sample with what the baseline makes of it.

    :param is_slow: None if its times can't be compared.
    """

    sample: Sample
    is_slow: bool | None


@dataclass(frozen=True, slots=True)
class _Outcome:
    """Answer as one step of a sequential test.

    :param base_share: share of such bad answers in the baseline.
    """

    upstream: str
    is_bad: bool
    base_share: float

    @property
    def ratio(self) -> float:
        """Return the logarithm of the likelihood ratio."""
        return _log_ratio(self.is_bad, self.base_share)


class Comparison:
    """Comparison of samples of a new version with those of the baseline.

    :param baseline: samples of the other versions.
    :param trial: samples of the new version, oldest first.
    :param earlier_usual: usual times of its upstreams by earlier comparisons. The
        lowest ones count, so that a version that turns slow isn't compared with itself.

    ``usual`` holds the usual times of its upstreams by upstream and field.
    """

    def __init__(
        self,
        baseline: Iterable[Sample],
        trial: Iterable[Sample],
        earlier_usual: UsualTimes | None = None,
    ):
        self._baseline = list(baseline)
        self._trial = list(trial)
        self._speeds = SpeedModel(self._baseline)
        self.usual = self._speeds.usual_times(self._trial)
        for key, value in (earlier_usual or {}).items():
            self.usual[key] = min(value, self.usual.get(key, value))
        self._judged = [
            _Judged(sample, self._speeds.is_slow(sample, self.usual))
            for sample in self._trial
        ]
        self._failure_shares = self._find_failure_shares()

    def finding(
        self, active_routes: Iterable[str], proof_since_ms: int, *, under_load: bool
    ) -> Finding:
        """Return what the samples say.

        :param active_routes: routes that must be proven, by all samples.
        :param proof_since_ms: time from which on samples count for the proof of all
            routes together.
        :param under_load: whether only those count for it of requests that were granted
            at busy upstreams.
        """
        unproven = frozenset(self._unproven(active_routes))
        reason = self._rejection_reason()
        result = TestResult.BAD if reason else TestResult.OPEN
        is_proven = self._is_proven_together(proof_since_ms, under_load)
        if not reason and not unproven and is_proven:
            result = TestResult.PROVEN
        routes = tuple(self._route_evidence())
        return Finding(
            result=result,
            reason=reason,
            bad_answers=len(self.bad_samples),
            routes=routes,
            unproven_routes=unproven,
            is_fast=bool(self.usual)
            and not self._speeds.has_slow_upstreams(self._trial, 1),
        )

    @property
    def bad_samples(self) -> list[Sample]:
        """Return the samples of failed and slow answers of the new version."""
        return [judged.sample for judged in self._judged if _is_bad(judged)]

    def fastest_upstreams(self) -> list[str]:
        """Return the new version's upstreams with known times, fast first."""
        totals: Counter[str] = Counter()
        for (upstream, _), value in self._speeds.usual_times(self._trial).items():
            totals[upstream] += value
        return sorted(totals, key=lambda upstream: (totals[upstream], upstream))

    # Rejection

    def _rejection_reason(self) -> str:
        """Return why the new version is bad; empty if it is not rejected.

        Each test has to reject it without the upstream with the most bad answers too:
        one upstream may be at fault by itself.
        """
        for name, judged in self._groups():
            for kind, outcomes in self._outcomes(judged):
                if _is_rejected(outcomes) and _is_rejected(_without_worst(outcomes)):
                    return f"{kind} answers on {name}"
        if self._speeds.has_slow_upstreams(self._trial, MIN_COMPARED_UPSTREAMS):
            return "slow upstreams"
        return ""

    def _groups(self) -> Iterator[tuple[str, list[_Judged]]]:
        by_route = self._by_route()
        if len(by_route) > 1:
            yield "all routes", self._judged
        for route, judged in by_route.items():
            yield f"route {route}", judged

    # Proof

    def _unproven(self, active_routes: Iterable[str]) -> Iterator[str]:
        by_route = self._by_route()
        for route in active_routes:
            if not self._is_proven(by_route.get(route, []), ROUTE_SLOW_LLR):
                yield route

    def _is_proven_together(self, since_ms: int, under_load: bool) -> bool:
        min_load = self._speeds.busy_load if under_load else 0.0
        recent = [
            judged
            for judged in self._judged
            if judged.sample.at_ms >= since_ms and judged.sample.load >= min_load
        ]
        samples = [judged.sample for judged in recent]
        is_slow = self._speeds.has_slow_upstreams(samples, 1)
        return not is_slow and self._is_proven(recent, PROOF_LLR)

    def _is_proven(self, judged: list[_Judged], slow_llr: float) -> bool:
        limits = {"failed": PROOF_LLR, "slow": slow_llr}
        return all(
            sum(outcome.ratio for outcome in outcomes) <= -limits[kind]
            for kind, outcomes in self._outcomes(judged)
        )

    # Outcomes

    def _outcomes(self, judged: list[_Judged]) -> Iterator[tuple[str, list[_Outcome]]]:
        """Yield each kind of bad answers with the answers as steps of its test."""
        yield (
            "failed",
            [
                _Outcome(
                    j.sample.upstream,
                    j.sample.is_failure,
                    self._failure_shares.get(j.sample.route, MIN_BASE_SHARE),
                )
                for j in judged
            ],
        )
        yield (
            "slow",
            [
                _Outcome(j.sample.upstream, j.is_slow, SLOW_BASE_SHARE)
                for j in judged
                if j.is_slow is not None
            ],
        )

    def _find_failure_shares(self) -> dict[str, float]:
        answers: Counter[str] = Counter()
        failures: Counter[str] = Counter()
        for sample in self._baseline:
            answers[sample.route] += 1
            failures[sample.route] += sample.is_failure
        shares = {
            route: (failures[route] + 1) / (count + MIN_BASELINE_SAMPLES)
            for route, count in answers.items()
        }
        return {
            route: min(MAX_BASE_SHARE, max(MIN_BASE_SHARE, share))
            for route, share in shares.items()
        }

    def _by_route(self) -> dict[str, list[_Judged]]:
        by_route: dict[str, list[_Judged]] = defaultdict(list)
        for judged in self._judged:
            by_route[judged.sample.route].append(judged)
        return by_route

    def _route_evidence(self) -> Iterator[RouteEvidence]:
        for route, judged in sorted(self._by_route().items()):
            failed = sum(j.sample.is_failure for j in judged)
            slow = sum(bool(j.is_slow) for j in judged)
            yield RouteEvidence(route, len(judged), failed, slow)


def _is_bad(judged: _Judged) -> bool:
    return judged.sample.is_failure or bool(judged.is_slow)


def _is_rejected(outcomes: list[_Outcome]) -> bool:
    total = 0.0
    for outcome in outcomes:
        total = max(0.0, total + outcome.ratio)
        if total >= REJECTION_LLR:
            return True
    return False


def _without_worst(outcomes: list[_Outcome]) -> list[_Outcome]:
    """Return the answers of all upstreams but that with the most bad ones.

    Those of a single upstream are returned whole.
    """
    counts: Counter[str] = Counter()
    for outcome in outcomes:
        counts[outcome.upstream] += outcome.is_bad
    if len(counts) < 2:
        return outcomes
    worst = max(counts, key=lambda upstream: counts[upstream])
    return [outcome for outcome in outcomes if outcome.upstream != worst]


@lru_cache(maxsize=1024)
def _log_ratio(is_bad: bool, base_share: float) -> float:
    bad_share = min(MAX_TESTED_SHARE, base_share + BAD_SHARE)
    if is_bad:
        return log(bad_share / base_share)
    return log((1 - bad_share) / (1 - base_share))
