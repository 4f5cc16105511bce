"""Text that the stand-in engine produces: a function of the prompt alone."""

import hashlib
from collections.abc import Iterator, Sequence
from itertools import count, islice

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 16
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN
HEX_DIGITS_PER_TOKEN = 4
HASH_MASK = 2**63 - 1


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


def chat_prompt(roles_and_contents: Sequence[tuple[str, str]]) -> str:
    """Return the prompt that stands for the messages of a chat."""
    return "\n".join(f"{role}: {content}" for role, content in roles_and_contents)


def count_tokens(prompt: str) -> int:
    """Return the length of a prompt in tokens; at least 1."""
    size_bytes = len(prompt.encode())
    return max(1, -(-size_bytes // BYTES_PER_TOKEN))


def block_hashes(prompt: str) -> tuple[int, ...]:
    """Return the chained hashes of the whole blocks of a prompt.

    Each hash covers its block and all before it, so that an equal hash means an
    equal prefix.
    """
    data = prompt.encode()
    digest = b""
    hashes = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = data[start : start + BLOCK_BYTES]
        digest = hashlib.blake2b(digest + block, digest_size=8).digest()
        hashes.append(int.from_bytes(digest, "big") & HASH_MASK)
    return tuple(hashes)
