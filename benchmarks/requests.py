"""One request of the benchmark, from its arrival to its end."""

from dataclasses import dataclass

BLOCK_TOKENS = 64


@dataclass(slots=True)
class Job:
    """Is a request and what became of it.

    :param deadline_ms: patience that the caller states, until the first token.
    :param gone_after_ms: when the caller really leaves without a first token.
    :param outcome: ``whole``, ``refused`` or the cause of its loss.
    """

    request_id: str
    arrival_ms: float
    tier: int
    account: str
    host: str
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...]
    fingerprint: int
    deadline_ms: int
    gone_after_ms: int
    is_poison: bool = False
    outcome: str = ""
    engine: str = ""
    dispatches: int = 0
    dispatched_ms: float = -1.0
    first_token_ms: float = -1.0
    ended_ms: float = -1.0
    slow_gaps: int = 0
    counted_gaps: int = 0
    prefilled_tokens: int = 0
    cached_tokens: int = 0
    oracle_tokens: int = 0
    refused_ms: float = -1.0
    reason: str = ""
    retry_after_ms: int = 0
    returns: int = 0
    was_admitted_on_return: bool = False

    @property
    def private_tokens(self) -> int:
        """Return the tokens that it shares with no other request."""
        blocks_tokens = len(self.prefix_hashes) * BLOCK_TOKENS
        return self.prompt_tokens - blocks_tokens + self.output_tokens

    @property
    def kv_tokens(self) -> int:
        """Return the memory that the request comes to use."""
        return self.prompt_tokens + self.output_tokens
