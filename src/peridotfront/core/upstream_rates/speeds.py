"""Speeds of upstreams, learned from the times that entry hosts measure.

Estimates are kept in logarithms, so that twice and half as fast are equally far.
"""

from dataclasses import dataclass, field
from math import exp, log
from statistics import median

MIN_GAIN = 0.2
# The first samples replace the prior; later ones must agree to move the estimate.
FREE_SAMPLES = 2
MAX_STEP_LOG = log(1.25)
# Samples on the same side show a change; a single one may be false.
MAX_RUN = 4
AGREEING_LOG = log(1.3)
# Shorter prefills are mostly delays of links and timers.
RELIABLE_PREFILL_MS = 40.0
LIGHT_LOAD_SHARE = 0.5
PRIOR_INTERVAL_SAMPLES = 8
MAX_KNOWN = 4096


@dataclass(slots=True)
class Estimate:
    """Estimate of a positive quantity, robust against single false samples.

    :param value: estimate, or the prior while there are no samples.
    :param samples: weight of the samples so far.
    :param run: number of the last samples that contradict on the same side; negative
        if they are smaller.
    """

    value: float
    samples: float = 0.0
    run: int = 0

    def record(self, sample: float, weight: float = 1.0) -> None:
        """Move the estimate towards a sample, by a bounded step."""
        if sample <= 0 or weight <= 0:
            return
        error = log(sample / self.value)
        gain = max(MIN_GAIN, 1 / (1 + self.samples)) * weight
        step = error * gain
        self._count_run(error)
        if self.samples >= FREE_SAMPLES:
            bound = MAX_STEP_LOG * min(MAX_RUN, max(1, abs(self.run)))
            step = error if abs(self.run) >= MAX_RUN else step
            step = max(-bound, min(bound, step))
        self.value *= exp(step)
        self.samples += weight

    def _count_run(self, error: float) -> None:
        if abs(error) < AGREEING_LOG:
            self.run = 0
            return
        side = 1 if error > 0 else -1
        self.run = self.run + side if self.run * side > 0 else side


@dataclass(slots=True)
class Speed:
    """Speed of one upstream.

    :param prompt_token_ms: time for a prompt token.
    :param light_step_ms: time between two tokens while few slots are in use.
    :param heavy_step_ms: time between two tokens while most slots are in use.
    """

    prompt_token_ms: Estimate
    light_step_ms: Estimate
    heavy_step_ms: Estimate

    @property
    def samples(self) -> int:
        """Return the number of samples."""
        steps = self.light_step_ms.samples + self.heavy_step_ms.samples
        return int(self.prompt_token_ms.samples + steps)

    @property
    def prefill_tokens_per_s(self) -> float:
        """Return the prompt tokens that the upstream processes a second."""
        return 1000.0 / self.prompt_token_ms.value

    def step_ms(self, load_share: float) -> float:
        """Return the time between two tokens at a share of slots in use."""
        own = self._step(load_share)
        if own.samples:
            return own.value
        is_light = own is self.light_step_ms
        other = self.heavy_step_ms if is_light else self.light_step_ms
        return other.value if other.samples else own.value

    def record_prefill(self, tokens: int, duration_ms: float) -> None:
        """Record the time in which the upstream has processed prompt tokens."""
        weight = min(1.0, duration_ms / RELIABLE_PREFILL_MS)
        self.prompt_token_ms.record(duration_ms / tokens, weight)

    def record_step(self, step_ms: float, load_share: float) -> None:
        """Record a time between two tokens at a share of slots in use."""
        self._step(load_share).record(step_ms)

    def _step(self, load_share: float) -> Estimate:
        is_light = load_share <= LIGHT_LOAD_SHARE
        return self.light_step_ms if is_light else self.heavy_step_ms


@dataclass(slots=True)
class Speeds:
    """Speeds of the upstreams of a service, by name and software version.

    They outlive the upstreams, so that one that is listed again is known.
    """

    _speeds: dict[tuple[str, str], Speed] = field(default_factory=dict)
    _counted: int = 0

    def speed(self, key: tuple[str, str], prefill_ms: float, step_ms: float) -> Speed:
        """Return the speed of an upstream; that of the others if it is unknown.

        :param key: name and software version.
        :param prefill_ms: prior of the time for a prompt token if none is known.
        :param step_ms: prior of the time between two tokens likewise.
        """
        speed = self._speeds.get(key)
        if speed is None:
            if len(self._speeds) >= MAX_KNOWN:
                del self._speeds[next(iter(self._speeds))]
            estimates = (Estimate(prefill_ms), Estimate(step_ms), Estimate(step_ms))
            speed = self._speeds[key] = Speed(*estimates)
            self.apply_prior()
        return speed

    def counts_to_prior(self) -> bool:
        """Count a sample, and return whether the prior should be computed again."""
        self._counted += 1
        return self._counted % PRIOR_INTERVAL_SAMPLES == 0

    def apply_prior(self) -> None:
        """Set what is unknown of an upstream to the median of the others."""
        for name in ("prompt_token_ms", "light_step_ms", "heavy_step_ms"):
            estimates = [getattr(speed, name) for speed in self._speeds.values()]
            known = [estimate.value for estimate in estimates if estimate.samples]
            if not known:
                continue
            usual = median(known)
            for estimate in estimates:
                if not estimate.samples:
                    estimate.value = usual
