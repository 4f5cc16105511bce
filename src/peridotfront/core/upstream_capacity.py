"""Slots in use at one upstream, and the budget learned from what it does."""

from dataclasses import dataclass
from math import ceil, exp

from .messages import SlotRequest

MIN_RATE_SAMPLE_TOKENS = 300
RATE_GAIN = 0.15
MAX_RATE_STEP = 2.0
GAP_GAIN = 0.1
SLOW_SHARE_GAIN = 0.1
SLOW_FADE_MS = 15_000.0
HOLD_GAIN = 0.1
FIRST_HOLD_MS = 2000.0
WINDOW_MS = 1000
FIRST_LIMIT_SHARE = 0.67
SLOW_REPORTS = 3
QUIET_MS = 1200
LARGE_SLOW_SHARE = 0.1
LARGE_STEP = 0.1
CEILING_MS = 60_000
OVERDUE_SHARE = 0.2
MIN_LIMIT_SLOTS = 2.0
KV_SHARE = 0.9
MIN_PREFILL_TOKENS_PER_S = 50.0


@dataclass(slots=True)
class Slot:
    """Is one request that runs, or may run, at an upstream.

    :param prefill_tokens: prompt tokens not expected in the cache.
    :param first_due_ms: when its first token is expected.
    """

    want: SlotRequest
    host: str
    upstream: str
    granted_ms: int
    lease_until_ms: int
    predicted_prefix_tokens: int = 0
    prefill_tokens: int = 0
    first_due_ms: int = 0
    produced_tokens: int = 0
    slow_tokens: int = 0
    progress_ms: int = 0
    is_preempted: bool = False

    @property
    def kv_tokens(self) -> int:
        """Return the memory that the request may come to use by itself."""
        own_tokens = self.want.prompt_tokens - self.predicted_prefix_tokens
        return own_tokens + self.want.output_tokens


class UpstreamCapacity:
    """Holds the slots of one upstream and learns how many it can take.

    :param max_slots: how many requests may run at once by the inventory.
    :param kv_capacity_tokens: its memory.
    :param prefill_tokens_per_s: first estimate.
    :param gap_ms: first estimate of the time between two tokens.
    :param target_gap_ms: the time between two tokens that callers accept.
    :param learns: whether its rates follow what the upstream does.
    :param learns_slots: whether the number of slots follows it too.
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
        learns_slots: bool = True,
    ):
        self.max_slots = max_slots
        self.kv_capacity_tokens = kv_capacity_tokens
        self.prefill_tokens_per_s = float(prefill_tokens_per_s)
        self.gap_ms = gap_ms
        self.target_gap_ms = target_gap_ms
        self.learns = learns
        self.learns_slots = learns and learns_slots
        self.limit_slots = float(ceil(max_slots * FIRST_LIMIT_SHARE))
        if not self.learns_slots:
            self.limit_slots = float(max_slots)
        self.slots: dict[str, Slot] = {}
        self.kv_tokens = 0
        self.hold_ms = FIRST_HOLD_MS
        self._pending: dict[str, float] = {}
        self._pending_ms = 0.0
        self._pending_start_ms = 0
        self._window_start_ms = 0
        self._window_tokens = 0
        self._window_slow = 0
        self._window_peak = 0
        self._slow_reports = 0
        self._quiet_until_ms = 0
        self._slow_share = 0.0
        self._slow_share_ms = 0
        self._ceiling_slots = float(max_slots)
        self._ceiling_until_ms = 0
        self._ceiling_step = 1

    def backlog_ms(self, now_ms: int) -> float:
        """Return how long the upstream's prefill queue is expected to take."""
        if not self._pending:
            return 0.0
        left_ms = self._pending_ms - (now_ms - self._pending_start_ms)
        first_ms = next(iter(self._pending.values()))
        return max(left_ms, first_ms * OVERDUE_SHARE)

    def slow_share(self, now_ms: int) -> float:
        """Return the recent share of slow tokens; it fades while none are seen."""
        return self._slow_share * exp((self._slow_share_ms - now_ms) / SLOW_FADE_MS)

    @property
    def slot_wait_ms(self) -> float:
        """Return how long a slot takes to come free when all are in use."""
        return self.hold_ms / max(1.0, self.limit_slots)

    def held(self, duration_ms: int) -> None:
        """Learn from a request that ran to its end."""
        self.hold_ms += (duration_ms - self.hold_ms) * HOLD_GAIN

    def prefill_ms(self, tokens: float) -> float:
        """Return how long the upstream takes to process so many prompt tokens."""
        return tokens * 1000.0 / self.prefill_tokens_per_s

    def fits_memory(self, want: SlotRequest, shared_tokens: int) -> bool:
        """Return whether the want's tokens fit beside those of the others.

        :param shared_tokens: of the prompt, those that the cache holds.
        """
        need = want.prompt_tokens - shared_tokens + want.output_tokens
        return self.kv_tokens + need <= self.kv_capacity_tokens * KV_SHARE

    def occupy(self, slot: Slot, now_ms: int) -> None:
        """Take a slot and queue its prefill."""
        self.slots[slot.want.request_id] = slot
        self.kv_tokens += slot.kv_tokens
        if slot.prefill_tokens > 0:
            self._queue_prefill(slot, now_ms)
        slot.progress_ms = now_ms
        self._window_peak = max(self._window_peak, len(self.slots))

    def _queue_prefill(self, slot: Slot, now_ms: int) -> None:
        backlog_ms = self.backlog_ms(now_ms)
        own_ms = self.prefill_ms(slot.prefill_tokens) + self.gap_ms
        if not self._pending:
            self._pending_start_ms = now_ms
        self._pending[slot.want.request_id] = own_ms
        self._pending_ms += own_ms
        slot.first_due_ms = int(now_ms + backlog_ms + own_ms)

    def vacate(self, request_id: str) -> Slot:
        """Give a slot back."""
        slot = self.slots.pop(request_id)
        self.kv_tokens -= slot.kv_tokens
        self._pending_ms -= self._pending.pop(request_id, 0.0)
        return slot

    def first_token(self, slot: Slot, now_ms: int) -> None:
        """Note that a request has its first token, and learn the prefill rate.

        The upstream works through prompts in order, so those before it are done.
        """
        request_id = slot.want.request_id
        if request_id not in self._pending:
            return
        tokens = 0
        for other in tuple(self._pending):
            self._pending_ms -= self._pending.pop(other)
            if other in self.slots:
                tokens += self.slots[other].prefill_tokens
            if other == request_id:
                break
        duration_ms = now_ms - self._pending_start_ms - self.gap_ms / 2
        self._pending_start_ms = now_ms
        if self.learns and tokens >= MIN_RATE_SAMPLE_TOKENS and duration_ms > 0:
            self._blend_rate(tokens * 1000.0 / duration_ms)

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
        self.first_token(slot, now_ms)
        if slot.produced_tokens > 0:
            self._observe_gap((now_ms - slot.progress_ms) / tokens)
        late_tokens = self._late_tokens(slot, tokens, slow_tokens)
        known_share = self.slow_share(now_ms)
        gain = SLOW_SHARE_GAIN * (late_tokens / tokens - known_share)
        self._slow_share = known_share + gain
        self._slow_share_ms = now_ms
        if now_ms >= self._quiet_until_ms:
            self._window_slow += late_tokens
            self._window_tokens += tokens
        slot.produced_tokens = produced_tokens
        slot.progress_ms = now_ms
        if self.learns_slots:
            self._adjust_limit(late_tokens > 0, now_ms)

    def _late_tokens(self, slot: Slot, tokens: int, slow_tokens: int) -> int:
        if slow_tokens < 0:
            return tokens if self.gap_ms > self.target_gap_ms else 0
        late_tokens = max(0, slow_tokens - slot.slow_tokens)
        slot.slow_tokens = slow_tokens
        return late_tokens

    def _observe_gap(self, gap_ms: float) -> None:
        self.gap_ms += (gap_ms - self.gap_ms) * GAP_GAIN

    def _adjust_limit(self, is_slow: bool, now_ms: int) -> None:
        if now_ms < self._quiet_until_ms:
            return
        self._slow_reports += is_slow
        if self._slow_reports >= SLOW_REPORTS:
            share = self._window_slow / max(1, self._window_tokens)
            self._shrink(share, now_ms)
            self._open_window(now_ms + QUIET_MS)
        elif now_ms - self._window_start_ms >= WINDOW_MS:
            if not self._slow_reports:
                self._grow(now_ms)
            self._open_window(now_ms)

    def _open_window(self, start_ms: int) -> None:
        self._window_tokens = 0
        self._window_slow = 0
        self._slow_reports = 0
        self._quiet_until_ms = start_ms
        self._window_start_ms = start_ms
        self._window_peak = len(self.slots)

    def _grow(self, now_ms: int) -> None:
        if now_ms >= self._ceiling_until_ms:
            self._ceiling_slots += self._ceiling_step
            self._ceiling_step *= 2
            self._ceiling_until_ms = now_ms + CEILING_MS
        if self._window_peak >= int(self.limit_slots):
            limit = min(self._ceiling_slots, self.limit_slots + 1)
            self.limit_slots = min(float(self.max_slots), limit)

    def _shrink(self, slow_share: float, now_ms: int) -> None:
        used = min(int(self.limit_slots), self._window_peak)
        step = used * LARGE_STEP if slow_share > LARGE_SLOW_SHARE else 1
        floor = max(MIN_LIMIT_SLOTS, self.max_slots / 4)
        self.limit_slots = max(floor, used - step)
        self._ceiling_slots = max(floor, used - 1.0)
        self._ceiling_until_ms = now_ms + CEILING_MS
        self._ceiling_step = 1

    def _blend_rate(self, rate: float) -> None:
        known = self.prefill_tokens_per_s
        blended = known + RATE_GAIN * (min(rate, known * MAX_RATE_STEP) - known)
        self.prefill_tokens_per_s = max(MIN_PREFILL_TOKENS_PER_S, blended)
