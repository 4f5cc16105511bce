"""Comparison of a new software version with the others in the same minutes.

Each answer counts as failed, as slow or as good. The failed and the slow ones are
compared with the *baseline*, the answers of the other versions, by sequential tests:
Wald's sequential probability ratio test for the proof of a good version, and Page's
cumulative sum, its repeated form, for one that turns bad later.

Upstreams of one version differ in speed, some by several times. So an answer is slow
by comparison with other answers of the same upstream. A version all of whose answers
are slow shows in the speed of its faster upstreams.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, auto
from math import log
from statistics import median

from .samples import Sample

# Share of bad answers that is looked for, beyond that of the baseline.
BAD_SHARE = 0.2
# A smaller share would let a few failures at once convict a good version.
MIN_BASE_SHARE = 0.05
# Answers count as slow that take longer than all but a few of the baseline's. More of
# a good version's do, since the usual time of an upstream with few answers is known
# less exactly.
SLOW_QUANTILE = 0.98
SLOW_TEST_SHARE = 0.08
MAX_BASE_SHARE = 0.6
# At most one good version in e^9 is convicted by a test that is begun anew throughout.
CONVICTION_LLR = 9.0
# A version with ``BAD_SHARE`` passes one test with a probability of e^-3 at most.
PROOF_LLR = 3.0
# On a single route, few answers are enough if all routes together are proven.
ROUTE_SLOW_LLR = 2.0
MIN_BASELINE_SAMPLES = 20
FIELDS = ("first", "pace")
LOAD_STEPS = 4
MIN_LOAD_SAMPLES = 10
# Upstreams that take over all requests are as full as the busier ones before them.
BUSY_QUANTILE = 0.7
MIN_UPSTREAM_SAMPLES = 4
MIN_SLOW_RATIO = log(2.0)
FAST_QUANTILE = 0.25
MIN_COMPARED_UPSTREAMS = 5


class Verdict(Enum):
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

    :param reason: reason for the verdict; empty if it is open.
    :param bad_answers: failed and slow answers of the new version.
    :param routes: answers by route.
    :param unproven_routes: routes on which more answers are needed.
    :param is_fast: whether the faster upstreams are known to be as fast as the
        baseline's.
    """

    verdict: Verdict
    reason: str
    bad_answers: int
    routes: tuple[RouteEvidence, ...]
    unproven_routes: frozenset[str]
    is_fast: bool


@dataclass(frozen=True, slots=True)
class _Judged:
    """Sample with what the baseline makes of it."""

    sample: Sample
    is_slow: bool | None


@dataclass(frozen=True, slots=True)
class _Test:
    """Sequential test for one kind of bad answer on a route.

    :param share: share of such answers in the baseline.
    """

    share: float

    def ratio(self, is_bad: bool) -> float:
        """Return the logarithm of the likelihood ratio of one answer."""
        bad_share = min(0.95, self.share + BAD_SHARE)
        if is_bad:
            return log(bad_share / self.share)
        return log((1 - bad_share) / (1 - self.share))


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
        earlier_usual: dict[tuple[str, str], float] | None = None,
    ):
        self._baseline = list(baseline)
        self._trial = list(trial)
        self._busy_load = self._find_busy_load()
        self._route_medians = _route_medians(self._baseline)
        self._load_medians: dict[tuple[str, int], float] = {}
        self._load_medians = self._find_load_medians()
        self._thresholds = self._find_thresholds()
        self.usual = self._usual_values(self._trial)
        for key, value in (earlier_usual or {}).items():
            self.usual[key] = min(value, self.usual.get(key, value))
        self._judged = [self._judge(sample, self.usual) for sample in self._trial]
        self._failure_tests: dict[str, _Test] = {}

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
        bad_answers = sum(
            judged.sample.is_failure or bool(judged.is_slow) for judged in self._judged
        )
        reason = self._conviction()
        unproven: frozenset[str] = frozenset()
        verdict = Verdict.BAD if reason else Verdict.OPEN
        if not reason:
            min_load = self._busy_load if under_load else 0.0
            recent = [
                judged
                for judged in self._judged
                if judged.sample.at_ms >= proof_since_ms
                and judged.sample.load >= min_load
            ]
            unproven = frozenset(self._unproven(active_routes))
            is_recent_fast = not self._has_slow_upstreams(
                [judged.sample for judged in recent], 1
            )
            if not unproven and is_recent_fast and self._is_proven(recent, PROOF_LLR):
                verdict = Verdict.PROVEN
        routes = tuple(self._route_evidence())
        is_fast = bool(self.usual) and not self._has_slow_upstreams(self._trial, 1)
        return Finding(verdict, reason, bad_answers, routes, unproven, is_fast)

    def _find_busy_load(self) -> float:
        loads = sorted([sample.load for sample in self._baseline])
        return _quantile(loads, BUSY_QUANTILE) if loads else 0.0

    def fastest_upstreams(self) -> list[str]:
        """Return the new version's upstreams with known times, fast first."""
        usual = self._usual_values(self._trial)
        upstreams = {upstream for upstream, _ in usual}
        return sorted(
            upstreams,
            key=lambda upstream: (
                sum(usual.get((upstream, field), 0.0) for field in FIELDS),
                upstream,
            ),
        )

    # Conviction

    def _conviction(self) -> str:
        """Return why the new version is bad; empty if it is not convicted.

        Each test has to convict without the upstream with the most bad answers too:
        one upstream may be at fault by itself.
        """
        for name, judged in self._groups():
            for kind, values in (
                ("failed", [(j, j.sample.is_failure) for j in judged]),
                ("slow", [(j, j.is_slow) for j in judged if j.is_slow is not None]),
            ):
                if self._is_convicted(values, kind) and self._is_convicted(
                    _without_worst_upstream(values), kind
                ):
                    return f"{kind} answers on {name}"
        if self._has_slow_upstreams(self._trial, MIN_COMPARED_UPSTREAMS):
            return "slow upstreams"
        return ""

    def _is_convicted(self, values: list[tuple[_Judged, bool]], kind: str) -> bool:
        total = 0.0
        for judged, is_bad in values:
            total = max(0.0, total + self._test(judged, kind).ratio(is_bad))
            if total >= CONVICTION_LLR:
                return True
        return False

    def _has_slow_upstreams(self, samples: list[Sample], min_upstreams: int) -> bool:
        """Return whether the faster upstreams are slow against the baseline's.

        The faster ones of many are alike, however many slow ones there are by chance.

        :param min_upstreams: number of upstreams that are compared at least.
        """
        for field in FIELDS:
            base = [v[field] for v in self._usual_by_upstream(self._baseline)]
            new = [v[field] for v in self._usual_by_upstream(samples)]
            base = [value for value in base if value is not None]
            new = [value for value in new if value is not None]
            if not base or len(new) < min_upstreams:
                continue
            fast_base = _quantile(sorted(base), FAST_QUANTILE)
            fast_new = _quantile(sorted(new), FAST_QUANTILE)
            if fast_new - fast_base > MIN_SLOW_RATIO:
                return True
        return False

    # Proof

    def _unproven(self, active_routes: Iterable[str]) -> Iterator[str]:
        for route in active_routes:
            on_route = [j for j in self._judged if j.sample.route == route]
            if not self._is_proven(on_route, ROUTE_SLOW_LLR):
                yield route

    def _is_proven(self, judged: list[_Judged], slow_llr: float) -> bool:
        failures = [(j, j.sample.is_failure) for j in judged]
        speeds = [(j, j.is_slow) for j in judged if j.is_slow is not None]
        return (
            self._total(failures, "failed") <= -PROOF_LLR
            and self._total(speeds, "slow") <= -slow_llr
        )

    def _total(self, values: list[tuple[_Judged, bool]], kind: str) -> float:
        return sum(self._test(judged, kind).ratio(is_bad) for judged, is_bad in values)

    # Tests

    def _groups(self) -> Iterator[tuple[str, list[_Judged]]]:
        by_route: dict[str, list[_Judged]] = defaultdict(list)
        for judged in self._judged:
            by_route[judged.sample.route].append(judged)
        if len(by_route) > 1:
            yield "all routes", self._judged
        for route, judged in by_route.items():
            yield f"route {route}", judged

    def _test(self, judged: _Judged, kind: str) -> _Test:
        if kind == "slow":
            return _Test(SLOW_TEST_SHARE)
        route = judged.sample.route
        if route not in self._failure_tests:
            self._failure_tests[route] = _Test(self._failure_share(route))
        return self._failure_tests[route]

    def _failure_share(self, route: str) -> float:
        on_route = [s.is_failure for s in self._baseline if s.route == route]
        share = (sum(on_route) + 1) / (len(on_route) + MIN_BASELINE_SAMPLES)
        return min(MAX_BASE_SHARE, max(MIN_BASE_SHARE, share))

    # Speeds

    def _judge(self, sample: Sample, usual: dict) -> _Judged:
        is_slow: bool | None = None
        for field in FIELDS:
            residual = self._residual(sample, field, usual)
            is_busy = sample.load >= self._busy_load
            threshold = self._thresholds[field, is_busy]
            if residual is not None and threshold is not None:
                is_slow = bool(is_slow) or residual > threshold
        return _Judged(sample, is_slow)

    def _find_thresholds(self) -> dict[tuple[str, bool], float | None]:
        """Return the residuals above which answers count as slow.

        They are found by field, and separately for busy upstreams.
        """
        usual = self._usual_values(self._baseline)
        busy = [s for s in self._baseline if s.load >= self._busy_load]
        thresholds: dict[tuple[str, bool], float | None] = {}
        for field in FIELDS:
            common = self._threshold(self._baseline, field, usual)
            thresholds[field, False] = common
            own = self._threshold(busy, field, usual)
            thresholds[field, True] = common if own is None else max(own, common)
        return thresholds

    def _threshold(
        self, samples: list[Sample], field: str, usual: dict
    ) -> float | None:
        found = [self._residual(sample, field, usual) for sample in samples]
        residuals = sorted([value for value in found if value is not None])
        if len(residuals) < MIN_BASELINE_SAMPLES:
            return None
        return max(MIN_SLOW_RATIO, _quantile(residuals, SLOW_QUANTILE))

    def _residual(self, sample: Sample, field: str, usual: dict) -> float | None:
        value = self._relative(sample, field)
        expected = usual.get((sample.upstream, field))
        return None if value is None or expected is None else value - expected

    def _relative(self, sample: Sample, field: str) -> float | None:
        """Return a time against the baseline's on the route and under such load."""
        value = getattr(sample, field)
        base = self._route_medians.get((sample.route, field))
        if value is None or base is None:
            return None
        return value - base - self._load_medians.get((field, _load_step(sample)), 0.0)

    def _find_load_medians(self) -> dict[tuple[str, int], float]:
        """Return the medians of the baseline's times by field and load.

        They are those against each upstream's usual time, as fast upstreams are the
        busier ones. A load without enough samples has the median of the next lower one.
        """
        medians: dict[tuple[str, int], float] = {}
        usual = self._usual_values(self._baseline)
        for field in FIELDS:
            values: dict[int, list[float]] = defaultdict(list)
            for sample in self._baseline:
                value = self._residual(sample, field, usual)
                if value is not None:
                    values[_load_step(sample)].append(value)
            last = 0.0
            for step in range(LOAD_STEPS + 1):
                if len(values[step]) >= MIN_LOAD_SAMPLES:
                    last = median(values[step])
                medians[field, step] = last
        return medians

    def _usual_values(self, samples: list[Sample]) -> dict[tuple[str, str], float]:
        """Return the usual times by upstream and field."""
        values: dict[tuple[str, str], list[float]] = defaultdict(list)
        for sample in samples:
            for field in FIELDS:
                value = self._relative(sample, field)
                if value is not None:
                    values[sample.upstream, field].append(value)
        return {
            key: median(found)
            for key, found in values.items()
            if len(found) >= MIN_UPSTREAM_SAMPLES
        }

    def _usual_by_upstream(self, samples: list[Sample]) -> list[dict]:
        usual = self._usual_values(samples)
        upstreams = {upstream for upstream, _ in usual}
        return [
            {field: usual.get((upstream, field)) for field in FIELDS}
            for upstream in sorted(upstreams)
        ]

    def _route_evidence(self) -> Iterator[RouteEvidence]:
        by_route: dict[str, list[_Judged]] = defaultdict(list)
        for judged in self._judged:
            by_route[judged.sample.route].append(judged)
        for route, judged in sorted(by_route.items()):
            yield RouteEvidence(
                route,
                len(judged),
                sum(j.sample.is_failure for j in judged),
                sum(bool(j.is_slow) for j in judged),
            )


def _route_medians(samples: list[Sample]) -> dict[tuple[str, str], float]:
    values: dict[tuple[str, str], list[float]] = defaultdict(list)
    for sample in samples:
        for field in FIELDS:
            value = getattr(sample, field)
            if value is not None:
                values[sample.route, field].append(value)
    return {
        key: median(found)
        for key, found in values.items()
        if len(found) >= MIN_UPSTREAM_SAMPLES
    }


def _without_worst_upstream(
    values: list[tuple[_Judged, bool]],
) -> list[tuple[_Judged, bool]]:
    """Return the answers of all upstreams but that with the most bad ones.

    Those of a single upstream are returned whole.
    """
    counts: dict[str, int] = defaultdict(int)
    for judged, is_bad in values:
        counts[judged.sample.upstream] += bool(is_bad)
    if len(counts) < 2:
        return values
    worst = max(counts, key=lambda upstream: counts[upstream])
    return [(j, is_bad) for j, is_bad in values if j.sample.upstream != worst]


def _load_step(sample: Sample) -> int:
    return int(min(1.0, sample.load) * LOAD_STEPS)


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
