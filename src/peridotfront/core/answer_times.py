"""Times that answers take to begin once a slot is granted."""

from .messages import SlotRequest

GAIN = 0.1
DEVIATIONS = 1.0


class AnswerTimes:
    """Expected times from a grant to the begin of the answer, by size of the prompt.

    Sizes are taken by powers of two. An expected time is the mean of the recent ones
    and their mean deviation, so that most answers begin earlier.
    """

    def __init__(self) -> None:
        self._means_ms: dict[int, float] = {}
        self._deviations_ms: dict[int, float] = {}

    def record(self, slot_request: SlotRequest, answer_ms: float) -> None:
        """Record the time that an answer took to begin."""
        size = slot_request.prompt_tokens.bit_length()
        mean_ms = self._means_ms.get(size)
        if mean_ms is None:
            self._means_ms[size] = answer_ms
            self._deviations_ms[size] = 0.0
            return
        error_ms = answer_ms - mean_ms
        self._means_ms[size] = mean_ms + error_ms * GAIN
        deviation_ms = self._deviations_ms[size]
        self._deviations_ms[size] += (abs(error_ms) - deviation_ms) * GAIN

    def expected_ms(self, slot_request: SlotRequest) -> float:
        """Return the expected time; 0 if no answer of that size is known."""
        size = slot_request.prompt_tokens.bit_length()
        if size not in self._means_ms:
            return 0.0
        return self._means_ms[size] + DEVIATIONS * self._deviations_ms[size]
