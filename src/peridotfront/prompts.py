"""Estimated sizes of prompts and hashes of their prefixes.

The hashes are computed in the same way as the engines compute the hashes in their
cache events.
"""

import hashlib
from collections.abc import Sequence

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 64
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN
HASH_MASK = 2**63 - 1


def chat_prompt(roles_and_contents: Sequence[tuple[str, str]]) -> str:
    """Return the messages of a chat as one prompt."""
    return "\n".join(f"{role}: {content}" for role, content in roles_and_contents)


def count_tokens(prompt: str) -> int:
    """Return the estimated length of a prompt in tokens; at least 1."""
    size_bytes = len(prompt.encode())
    return max(1, -(-size_bytes // BYTES_PER_TOKEN))


def block_hashes(prompt: str) -> tuple[int, ...]:
    """Return the chained hashes of the complete blocks of a prompt.

    Each hash covers its block and all blocks before it, so that equal hashes mean
    equal prefixes.

    Usage::

        assert block_hashes("a" * 300)[0] == block_hashes("a" * 256)[0]
    """
    data = prompt.encode()
    digest = b""
    hashes = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = data[start : start + BLOCK_BYTES]
        digest = hashlib.blake2b(digest + block, digest_size=8).digest()
        hashes.append(int.from_bytes(digest, "big") & HASH_MASK)
    return tuple(hashes)


def fingerprint(*parts: bytes) -> int:
    """Return a 63-bit hash over several parts, each preceded by its length."""
    digest = hashlib.blake2b(digest_size=8)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return int.from_bytes(digest.digest(), "big") & HASH_MASK
