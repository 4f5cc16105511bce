"""Text that the stand-in engine produces; it depends on the prompt only."""

import hashlib
from collections.abc import Iterator
from itertools import count, islice

HEX_DIGITS_PER_TOKEN = 4


def expected_text(prompt: str, max_tokens: int) -> str:
    """Return the complete text of a stand-in engine's answer to a prompt."""
    return "".join(islice(token_texts(prompt), max_tokens))


def token_texts(prompt: str) -> Iterator[str]:
    """Yield the texts of an endless sequence of tokens."""
    seed = hashlib.blake2b(prompt.encode(), digest_size=16).digest()
    for index in count():
        digits = hashlib.blake2b(seed + index.to_bytes(8, "big")).hexdigest()
        for start in range(0, len(digits), HEX_DIGITS_PER_TOKEN):
            yield " " + digits[start : start + HEX_DIGITS_PER_TOKEN]
