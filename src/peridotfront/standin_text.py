"""Text that the stand-in engine produces: a function of the prompt alone."""

import hashlib
from collections.abc import Iterator
from itertools import count, islice

HEX_DIGITS_PER_TOKEN = 4


def expected_text(prompt: str, max_tokens: int) -> str:
    """Return the whole text that a stand-in engine answers to a prompt."""
    return "".join(islice(token_texts(prompt), max_tokens))


def token_texts(prompt: str) -> Iterator[str]:
    """Yield the text of each token, without end."""
    seed = hashlib.blake2b(prompt.encode(), digest_size=16).digest()
    for index in count():
        digits = hashlib.blake2b(seed + index.to_bytes(8, "big")).hexdigest()
        for start in range(0, len(digits), HEX_DIGITS_PER_TOKEN):
            yield " " + digits[start : start + HEX_DIGITS_PER_TOKEN]
