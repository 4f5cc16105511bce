"""Memory of an upstream that its requests may use, counted from the grant on."""

from dataclasses import dataclass, field
from typing import Any

# The estimate of an answer's length is a median; answers are often several times
# as long.
OUTPUT_CAUTION_RATIO = 4
# Bound for requests that name no length, or a very short one.
MIN_OUTPUT_TOKENS = 256
# What is left of an answer that is longer than its bound, relative to what is there.
GROWTH_RATIO = 1.5


def cautious_tokens(slot_request: Any, produced_tokens: int = 0) -> int:
    """Return the tokens of memory that a request may use, without a cached prefix.

    :param slot_request: slot request.
    :param produced_tokens: tokens of the answer so far.
    """
    output_tokens = max(
        MIN_OUTPUT_TOKENS,
        slot_request.output_tokens * OUTPUT_CAUTION_RATIO,
        int(produced_tokens * GROWTH_RATIO),
    )
    return slot_request.prompt_tokens + output_tokens


@dataclass(slots=True)
class HeldMemory:
    """Tokens that the requests at one upstream may use."""

    tokens: int = 0
    _by_request: dict[str, int] = field(default_factory=dict)

    def hold(self, slot_request: Any, produced_tokens: int = 0) -> None:
        """Count a request, or count it again by its progress."""
        request_id = slot_request.request_id
        tokens = cautious_tokens(slot_request, produced_tokens)
        self.tokens += tokens - self._by_request.get(request_id, 0)
        self._by_request[request_id] = tokens

    def free(self, request_id: str) -> None:
        """Count a request no more."""
        self.tokens -= self._by_request.pop(request_id, 0)
