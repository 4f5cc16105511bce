"""Model of the prompt prefixes in an engine's cache."""

from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Iterable

TRUST_GAIN = 0.05
TRUST_AFTER_GAP = 0.9
TRUST_AFTER_MISS = 0.9
MIN_TRUST = 0.2


class PrefixCacheModel:
    """LRU model of the prompt blocks in an engine's cache.

    :param block_tokens: number of prompt tokens of one block.
    :param capacity_blocks: number of blocks that the engine's memory holds.
    """

    def __init__(self, block_tokens: int, capacity_blocks: int):
        self.block_tokens = block_tokens
        self.capacity_blocks = capacity_blocks
        self.trust = 1.0
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._sequence = -1

    def __len__(self) -> int:
        return len(self._blocks)

    def hit_tokens(
        self,
        hashes: tuple[int, ...],
        prompt_tokens: int,
        tokens: tuple[int, ...] = (),
    ) -> int:
        """Return the number of prompt tokens that are expected in the cache.

        A block is usable only with all blocks before it, and is evicted before them.

        :param hashes: hashes of the prompt's blocks.
        :param tokens: number of tokens of each block; empty if all have the same size.
        """
        if not hashes or hashes[0] not in self._blocks:
            return 0
        blocks = bisect_left(hashes, True, key=lambda block: block not in self._blocks)
        cached_tokens = sum(tokens[:blocks]) if tokens else blocks * self.block_tokens
        return min(cached_tokens, max(0, prompt_tokens - 1))

    def record(self, hashes: tuple[int, ...], spare_blocks: int) -> None:
        """Record a prompt that was sent, and evict the oldest blocks.

        :param spare_blocks: number of blocks that running requests leave to the cache.
        """
        self._add(reversed(hashes))
        limit = max(len(hashes), min(spare_blocks, self.capacity_blocks))
        while len(self._blocks) > limit:
            self._blocks.popitem(last=False)

    def correct(self, predicted_tokens: int, cached_tokens: int) -> None:
        """Adjust the trust by the cached tokens that the engine reported.

        :param predicted_tokens: prompt tokens that were expected in the cache.
        :param cached_tokens: prompt tokens that the engine found there.
        """
        if cached_tokens >= predicted_tokens:
            self.trust += (1 - self.trust) * TRUST_GAIN
            return
        self.trust = max(MIN_TRUST, self.trust * TRUST_AFTER_MISS)

    def apply_events(
        self, sequence: int, cached: Iterable[int], evicted: Iterable[int]
    ) -> None:
        """Apply cache events; a gap in their sequence numbers lowers the trust."""
        if sequence <= self._sequence:
            return
        if self._sequence >= 0 and sequence > self._sequence + 1:
            self.trust = max(MIN_TRUST, self.trust * TRUST_AFTER_GAP)
        self._sequence = sequence
        self._add(cached)
        for block in evicted:
            self._blocks.pop(block, None)

    def clear(self) -> None:
        """Drop all blocks, as a restart of the engine does."""
        self._blocks.clear()
        self._sequence = -1

    def _add(self, hashes: Iterable[int]) -> None:
        for block in hashes:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
