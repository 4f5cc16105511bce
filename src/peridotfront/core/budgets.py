"""Slots in use at one upstream, and the budget learned from what it does."""

from dataclasses import dataclass
from math import ceil

from .messages import Want

MIN_RATE_SAMPLE_TOKENS = 300
RATE_GAIN = 0.15
GAP_GAIN = 0.1
WINDOW_MS = 1000
FIRST_LIMIT_SHARE = 0.67
MIN_WINDOW_TOKENS = 50
HIGH_SLOW_SHARE = 0.01
LOW_SLOW_SHARE = 0.005
LARGE_SLOW_SHARE = 0.1
LARGE_STEP = 0.1
CEILING_MS = 20_000
MIN_LIMIT_SLOTS = 2.0
KV_SHARE = 0.95
MIN_PREFILL_TOKENS_PER_S = 50.0
OVERDUE_RATE_DECREASE = 0.9


@dataclass(slots=True)
class Slot:
    """Is one request that runs, or may run, at an upstream.

    :param busy_tokens: prompt tokens to process there until its first token.
    :param prefill_tokens: of these, the ones of its own.
    :param first_due_ms: when its first token is expected.
    """

    want: Want
    host: str
    upstream: str
    granted_ms: int
    lease_until_ms: int
    predicted_prefix_tokens: int = 0
    busy_tokens: float = 0.0
    prefill_tokens: int = 0
    first_due_ms: int = 0
    produced_tokens: int = 0
    slow_tokens: int = 0
    progress_ms: int = 0
    is_preempted: bool = False

    @property
    def kv_tokens(self) -> int:
        """Return the memory that the request may come to use."""
        return self.want.prompt_tokens + self.want.output_tokens


class Budget:
    """Holds the slots of one upstream and learns how many it can take.

    :param max_slots: how many requests may run at once by the inventory.
    :param kv_capacity_tokens: its memory.
    :param prefill_tokens_per_s: first estimate.
    :param gap_ms: first estimate of the time between two tokens.
    :param target_gap_ms: the time between two tokens that callers accept.
    """

    def __init__(
        self,
        *,
        max_slots: int,
        kv_capacity_tokens: int,
        prefill_tokens_per_s: float,
        gap_ms: float,
        target_gap_ms: float,
        learns: bool = True,
    ):
        self.max_slots = max_slots
        self.kv_capacity_tokens = kv_capacity_tokens
        self.prefill_tokens_per_s = float(prefill_tokens_per_s)
        self.gap_ms = gap_ms
        self.target_gap_ms = target_gap_ms
        self.learns = learns
        self.limit_slots = float(ceil(max_slots * FIRST_LIMIT_SHARE))
        if not learns:
            self.limit_slots = float(max_slots)
        self.slots: dict[str, Slot] = {}
        self.kv_tokens = 0
        self._clear_ms = 0.0
        self._window_start_ms = 0
        self._window_tokens = 0
        self._window_slow = 0
        self._window_peak = 0
        self._ceiling_slots = float(max_slots)
        self._ceiling_until_ms = 0

    def backlog_ms(self, now_ms: int) -> float:
        """Return how long the upstream's prefill queue is expected to take."""
        return max(0.0, self._clear_ms - now_ms)

    def prefill_ms(self, tokens: float) -> float:
        """Return how long the upstream takes to process so many prompt tokens."""
        return tokens * 1000.0 / self.prefill_tokens_per_s

    def fits_memory(self, want: Want) -> bool:
        """Return whether the want's tokens fit beside those of the others."""
        need = want.prompt_tokens + want.output_tokens
        return self.kv_tokens + need <= self.kv_capacity_tokens * KV_SHARE

    def occupy(self, slot: Slot, now_ms: int) -> None:
        """Take a slot and queue its prefill."""
        self.slots[slot.want.request_id] = slot
        self.kv_tokens += slot.kv_tokens
        backlog_ms = self.backlog_ms(now_ms)
        own_ms = self.prefill_ms(slot.prefill_tokens)
        self._clear_ms = now_ms + backlog_ms + own_ms
        slot.busy_tokens = (
            backlog_ms * self.prefill_tokens_per_s / 1000.0 + slot.prefill_tokens
        )
        slot.first_due_ms = int(self._clear_ms)
        slot.progress_ms = now_ms
        self._window_peak = max(self._window_peak, len(self.slots))

    def vacate(self, request_id: str) -> Slot:
        """Give a slot back."""
        slot = self.slots.pop(request_id)
        self.kv_tokens -= slot.kv_tokens
        if not self.slots:
            self._clear_ms = 0.0
        return slot

    def first_token(self, slot: Slot, first_token_ms: int, cached_tokens: int) -> None:
        """Learn the prefill rate from a measured time to the first token."""
        busy_tokens = slot.busy_tokens + slot.predicted_prefix_tokens - cached_tokens
        if not self.learns or first_token_ms <= 0:
            return
        if busy_tokens < MIN_RATE_SAMPLE_TOKENS:
            return
        rate = busy_tokens * 1000.0 / first_token_ms
        self._blend_rate(rate)

    def overdue(self, slot: Slot, now_ms: int) -> None:
        """Note that a first token is late: the backlog is longer than thought."""
        own_ms = self.prefill_ms(slot.prefill_tokens)
        self._clear_ms = max(self._clear_ms, now_ms + own_ms / 2)
        if self.learns:
            rate = self.prefill_tokens_per_s * OVERDUE_RATE_DECREASE
            self.prefill_tokens_per_s = max(MIN_PREFILL_TOKENS_PER_S, rate)

    def progress(
        self, slot: Slot, produced_tokens: int, slow_tokens: int, now_ms: int
    ) -> None:
        """Learn from the tokens of a running request.

        :param produced_tokens: since its start.
        :param slow_tokens: of these, the late ones; -1 if not measured.
        """
        tokens = produced_tokens - slot.produced_tokens
        if tokens <= 0:
            return
        if slot.produced_tokens > 0:
            self._observe_gap((now_ms - slot.progress_ms) / tokens)
        if slow_tokens >= 0:
            self._window_slow += max(0, slow_tokens - slot.slow_tokens)
            slot.slow_tokens = slow_tokens
        elif self.gap_ms > self.target_gap_ms:
            self._window_slow += tokens
        self._window_tokens += tokens
        slot.produced_tokens = produced_tokens
        slot.progress_ms = now_ms
        self._adjust_limit(now_ms)

    def _observe_gap(self, gap_ms: float) -> None:
        self.gap_ms += (gap_ms - self.gap_ms) * GAP_GAIN

    def _adjust_limit(self, now_ms: int) -> None:
        if now_ms - self._window_start_ms < WINDOW_MS:
            return
        share = self._window_slow / self._window_tokens
        if self.learns and self._window_tokens >= MIN_WINDOW_TOKENS:
            self._follow(share, now_ms)
        self._window_tokens = 0
        self._window_slow = 0
        self._window_start_ms = now_ms
        self._window_peak = len(self.slots)

    def _follow(self, slow_share: float, now_ms: int) -> None:
        if slow_share > HIGH_SLOW_SHARE:
            self._shrink(slow_share, now_ms)
            return
        if now_ms >= self._ceiling_until_ms:
            self._ceiling_slots = float(self.max_slots)
        is_full = self._window_peak >= int(self.limit_slots)
        if is_full and slow_share < LOW_SLOW_SHARE:
            self.limit_slots = min(self._ceiling_slots, self.limit_slots + 1)

    def _shrink(self, slow_share: float, now_ms: int) -> None:
        used = min(int(self.limit_slots), self._window_peak)
        step = used * LARGE_STEP if slow_share > LARGE_SLOW_SHARE else 1
        floor = max(MIN_LIMIT_SLOTS, self.max_slots / 4)
        self.limit_slots = max(floor, used - step)
        self._ceiling_slots = max(floor, used - 1.0)
        self._ceiling_until_ms = now_ms + CEILING_MS

    def _blend_rate(self, rate: float) -> None:
        blended = self.prefill_tokens_per_s + RATE_GAIN * (
            rate - self.prefill_tokens_per_s
        )
        self.prefill_tokens_per_s = max(MIN_PREFILL_TOKENS_PER_S, blended)
