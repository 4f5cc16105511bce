"""Times for which prompt tokens and output tokens hold a slot."""

from ..messages import Release, ReleaseCause

# By stated rates of usual upstreams; it counts until answers have been measured.
INITIAL_OUTPUT_WEIGHT = 50
# With this gain the sums hold about the last 500 answers.
SAMPLE_DECAY = 0.998
MIN_PROMPT_TOKENS = 1000


class SlotTimes:
    """Slot times per prompt token and per output token, measured at releases.

    They include the wait behind other prompts at the upstream, which holds a slot too.
    """

    def __init__(self):
        self._prompt_tokens = 0.0
        self._prompt_ms = 0.0
        self._output_tokens = 0.0
        self._output_ms = 0.0

    def observe(self, release: Release) -> None:
        """Add the times of a complete answer."""
        if release.cause is not ReleaseCause.COMPLETED:
            return
        if release.first_token_ms < 0 or release.produced_tokens <= 1:
            return
        self._prompt_tokens *= SAMPLE_DECAY
        self._prompt_ms *= SAMPLE_DECAY
        self._output_tokens *= SAMPLE_DECAY
        self._output_ms *= SAMPLE_DECAY
        self._prompt_tokens += release.prompt_tokens
        self._prompt_ms += release.first_token_ms
        self._output_tokens += release.produced_tokens
        self._output_ms += max(0, release.duration_ms - release.first_token_ms)

    @property
    def output_weight(self) -> int:
        """Return the prompt tokens that hold a slot as long as an output token."""
        if self._prompt_tokens < MIN_PROMPT_TOKENS or self._prompt_ms <= 0:
            return INITIAL_OUTPUT_WEIGHT
        prompt_token_ms = self._prompt_ms / self._prompt_tokens
        output_token_ms = self._output_ms / self._output_tokens
        return max(1, round(output_token_ms / prompt_token_ms))
