"""Request of the benchmark, from its arrival to its end."""

from dataclasses import dataclass

BLOCK_TOKENS = 64


@dataclass(slots=True)
class Job:
    """Request and its result.

    :param deadline_ms: maximum wait for the first token that the caller states.
    :param gone_after_ms: wait after which the caller really disconnects if it has no
        first token.
    :param outcome: ``whole``, ``refused`` or the cause of its loss; empty while open.
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
    retries: int = 0
    is_admitted_on_retry: bool = False

    @property
    def private_tokens(self) -> int:
        """Return the tokens outside the prefix blocks, output included."""
        blocks_tokens = len(self.prefix_hashes) * BLOCK_TOKENS
        return self.prompt_tokens - blocks_tokens + self.output_tokens

    @property
    def kv_tokens(self) -> int:
        """Return the KV memory of the request at its end."""
        return self.prompt_tokens + self.output_tokens
