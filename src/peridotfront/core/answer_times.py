"""Times that answers take to begin once a slot is granted."""

from dataclasses import dataclass

from .messages import SlotRequest

GAIN = 0.1
DEVIATIONS = 1.0


@dataclass(slots=True)
class _Estimate:
    mean_ms: float
    deviation_ms: float = 0.0

    def observe(self, answer_ms: float) -> None:
        error_ms = answer_ms - self.mean_ms
        self.mean_ms += error_ms * GAIN
        self.deviation_ms += (abs(error_ms) - self.deviation_ms) * GAIN


class AnswerTimes:
    """Expected times from a grant to the begin of the answer, by size of the prompt.

    Sizes are taken by powers of two. An expected time is the mean of the recent ones
    and their mean deviation, so that most answers begin earlier.
    """

    def __init__(self) -> None:
        self._estimates: dict[int, _Estimate] = {}

    def record(self, slot_request: SlotRequest, answer_ms: float) -> None:
        """Record the time that an answer took to begin."""
        size = slot_request.prompt_tokens.bit_length()
        estimate = self._estimates.setdefault(size, _Estimate(answer_ms))
        estimate.observe(answer_ms)

    def expected_ms(self, slot_request: SlotRequest) -> float:
        """Return the expected time; 0 if no answer of that size is known."""
        estimate = self._estimates.get(slot_request.prompt_tokens.bit_length())
        if estimate is None:
            return 0.0
        return estimate.mean_ms + DEVIATIONS * estimate.deviation_ms
