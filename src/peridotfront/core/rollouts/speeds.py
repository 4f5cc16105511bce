"""Speeds of answers, compared across upstreams that differ from one another.

A time is compared with the baseline's median on its route, and with the usual time of
its own upstream under such load.
"""

from collections import defaultdict
from collections.abc import Iterable
from math import log
from statistics import median

from .samples import Sample

FIELDS = ("first", "pace")
LOAD_STEPS = 4
MIN_LOAD_SAMPLES = 10
# Upstreams that take over all requests are as full as the busier ones before them.
BUSY_QUANTILE = 0.7
MIN_BASELINE_SAMPLES = 20
MIN_UPSTREAM_SAMPLES = 4
# Answers count as slow that take longer than all but a few of the baseline's.
SLOW_QUANTILE = 0.98
MIN_SLOW_LOG_RATIO = log(2.0)
FAST_QUANTILE = 0.25

UsualTimes = dict[tuple[str, str], float]


class SpeedModel:
    """What the baseline says of the times that answers take.

    ``busy_load`` is the load from which on an upstream counts as busy.

    :param baseline: samples of the baseline.
    """

    def __init__(self, baseline: list[Sample]):
        self._baseline = baseline
        loads = sorted([sample.load for sample in baseline])
        self.busy_load = _quantile(loads, BUSY_QUANTILE) if loads else 0.0
        self._route_medians = _find_route_medians(baseline)
        self._load_medians: dict[tuple[str, int], float] = {}
        self._load_medians = self._find_load_medians()
        self._usual = self.usual_times(baseline)
        self._thresholds = self._find_thresholds()

    def is_slow(self, sample: Sample, usual: UsualTimes) -> bool | None:
        """Return whether an answer is slow by any of its times.

        :param usual: usual times of the upstreams of its version.
        :return: None if none of its times can be compared.
        """
        is_busy = sample.load >= self.busy_load
        comparisons = []
        for field in FIELDS:
            residual = self._residual(sample, field, usual)
            threshold = self._thresholds[field, is_busy]
            if residual is not None and threshold is not None:
                comparisons.append(residual > threshold)
        return any(comparisons) if comparisons else None

    def has_slow_upstreams(self, samples: Iterable[Sample], min_upstreams: int) -> bool:
        """Return whether the faster upstreams are slow against the baseline's.

        The faster ones of many are alike, however many slow ones there are by chance.

        :param samples: samples of the upstreams to compare.
        :param min_upstreams: number of upstreams that are compared at least.
        """
        usual = self.usual_times(samples)
        for field in FIELDS:
            base = sorted([v for (_, name), v in self._usual.items() if name == field])
            new = sorted([v for (_, name), v in usual.items() if name == field])
            if not base or len(new) < min_upstreams:
                continue
            difference = _quantile(new, FAST_QUANTILE) - _quantile(base, FAST_QUANTILE)
            if difference > MIN_SLOW_LOG_RATIO:
                return True
        return False

    def usual_times(self, samples: Iterable[Sample]) -> UsualTimes:
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

    def _find_thresholds(self) -> dict[tuple[str, bool], float | None]:
        """Return the residuals above which answers count as slow.

        They are found by field, and separately for busy upstreams.
        """
        busy = [s for s in self._baseline if s.load >= self.busy_load]
        thresholds: dict[tuple[str, bool], float | None] = {}
        for field in FIELDS:
            common = self._threshold(self._baseline, field)
            own = self._threshold(busy, field)
            thresholds[field, False] = common
            thresholds[field, True] = common if own is None else max(own, common)
        return thresholds

    def _threshold(self, samples: list[Sample], field: str) -> float | None:
        found = [self._residual(sample, field, self._usual) for sample in samples]
        residuals = sorted([value for value in found if value is not None])
        if len(residuals) < MIN_BASELINE_SAMPLES:
            return None
        return max(MIN_SLOW_LOG_RATIO, _quantile(residuals, SLOW_QUANTILE))

    def _residual(self, sample: Sample, field: str, usual: UsualTimes) -> float | None:
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
        usual = self.usual_times(self._baseline)
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


def _find_route_medians(samples: list[Sample]) -> dict[tuple[str, str], float]:
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


def _load_step(sample: Sample) -> int:
    return int(min(1.0, sample.load) * LOAD_STEPS)


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
