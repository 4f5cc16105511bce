"""Answers of a service as samples, by route, upstream and software version."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from math import log

from ..messages import Release, ReleaseCause
from ..upstream_capacity import Slot

# What came before tells little of the load of now.
WINDOW_MS = 15_000
MAX_SAMPLES = 600
# Differences below it are within what timers and links add.
FIXED_MS = 20.0
FAILED_CAUSES = (
    ReleaseCause.UPSTREAM_ERROR,
    ReleaseCause.UPSTREAM_DIED,
    ReleaseCause.UPSTREAM_TIMEOUT,
)


@dataclass(frozen=True, slots=True)
class Sample:
    """One answer, or its failure.

    :param first: logarithm of the time to the first part of the answer, against what
        was expected for that work; None if there was none.
    :param pace: logarithm of the mean time between its parts in ms; None if unknown.
    :param load: share of the upstream's slots in use when the request was granted.
    :param duration_ms: time from the grant to the end.
    :param at_ms: time of its end.
    """

    route: str
    upstream: str
    is_failure: bool
    first: float | None
    pace: float | None
    load: float
    duration_ms: int
    at_ms: int


class SampleWindow:
    """Recent samples of one version or of several, oldest first."""

    def __init__(self) -> None:
        self._samples: deque[Sample] = deque(maxlen=MAX_SAMPLES)

    def __len__(self) -> int:
        return len(self._samples)

    def __iter__(self) -> Iterator[Sample]:
        return iter(self._samples)

    def add(self, sample: Sample) -> None:
        """Add the newest sample."""
        self._samples.append(sample)

    def expire(self, now_ms: int) -> None:
        """Remove the samples that are older than ``WINDOW_MS``."""
        while self._samples and now_ms - self._samples[0].at_ms > WINDOW_MS:
            self._samples.popleft()

    def since(self, at_ms: int) -> list[Sample]:
        """Return the samples from a time on."""
        return [sample for sample in self._samples if sample.at_ms >= at_ms]


def build_sample(
    slot: Slot, release: Release, expected_ms: float, load: float, now_ms: int
) -> Sample | None:
    """Return what the end of a request says of its upstream's version.

    :param expected_ms: time to the first part that the work was expected to take.
    :param load: share of the upstream's slots in use when the request was granted.
    :return: the sample; None if the end says nothing of it, as where the caller left
        or no connection was opened.
    """
    is_failure = release.cause in FAILED_CAUSES
    if not is_failure and release.cause is not ReleaseCause.COMPLETED:
        return None
    first = pace = None
    if release.first_token_ms >= 0:
        first = log(
            (release.first_token_ms + FIXED_MS) / (max(0.0, expected_ms) + FIXED_MS)
        )
        if release.produced_tokens > 1:
            rest_ms = max(0, release.duration_ms - release.first_token_ms)
            pace = log((rest_ms + FIXED_MS) / (release.produced_tokens - 1))
    route = slot.slot_request.route
    duration_ms = now_ms - slot.granted_ms
    return Sample(
        route, slot.upstream, is_failure, first, pace, load, duration_ms, now_ms
    )
