"""Slots in use at one upstream, and its capacity as learned from its progress."""

from collections import Counter
from dataclasses import dataclass
from math import ceil, exp

from .messages import SlotRequest
from .upstream_rates.memory import HeldMemory, cautious_tokens
from .upstream_rates.speeds import Speed

MIN_RATE_SAMPLE_TOKENS = 300
RATE_GAIN = 0.15
MAX_RATE_STEP = 2.0
GAP_GAIN = 0.1
SLOW_SHARE_GAIN = 0.1
SLOW_DECAY_MS = 15_000.0
HOLD_GAIN = 0.1
CALL_HALF_LIFE_MS = 5000
INITIAL_HOLD_MS = 2000.0
WINDOW_MS = 1000
INITIAL_LIMIT_RATIO = 0.67
SLOW_REPORTS_TO_SHRINK = 3
COOLDOWN_MS = 1200
LARGE_SLOW_SHARE = 0.1
LARGE_STEP_RATIO = 0.1
CEILING_RAISE_MS = 60_000
OVERDUE_SHARE = 0.2
MIN_LIMIT_SLOTS = 2.0
MAX_KV_SHARE = 0.9
MIN_PREFILL_TOKENS_PER_S = 50.0


@dataclass(slots=True)
class Slot:
    """Slot of one request that runs, or may run, at an upstream.

    :param host: entry host that holds the slot.
    :param relay: entry host through which it reaches the upstream; empty for none.
    :param predicted_prefix_tokens: prompt tokens expected in the upstream's cache.
    :param prefill_tokens: prompt tokens not expected in the cache.
    :param first_due_ms: time at which the first token is expected.
    :param slow_tokens: tokens reported as slow.
    :param progress_ms: time of the last progress.
    :param is_adopted: whether it was granted by another scheduler.
    """

    slot_request: SlotRequest
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
    relay: str = ""
    is_adopted: bool = False

    @property
    def sender(self) -> str:
        """Return the entry host that connects to the upstream."""
        return self.relay or self.host

    @property
    def kv_tokens(self) -> int:
        """Return the tokens of memory that the request may use beside its prefix."""
        uncached_tokens = self.slot_request.prompt_tokens - self.predicted_prefix_tokens
        return uncached_tokens + self.slot_request.output_tokens


class UpstreamCapacity:
    """Slots of one upstream, with an adaptive limit on their number.

    :param max_slots: maximum number of concurrent requests by the inventory.
    :param kv_capacity_tokens: memory for requests and cached prefixes, in tokens.
    :param prefill_tokens_per_s: initial estimate of the prefill rate.
    :param gap_ms: initial estimate of the time between two tokens.
    :param target_gap_ms: longest time between two tokens that callers accept.
    :param learns: whether the estimated rates follow the upstream's progress.
    :param learns_slots: whether the slot limit follows the progress too.

    ``lowest_tier`` is the lowest tier of the slots in use; 0 if there are none.
    ``speed`` and ``memory`` are set where placement goes by the learned speeds.
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
        self.limit_slots = float(ceil(max_slots * INITIAL_LIMIT_RATIO))
        if not self.learns_slots:
            self.limit_slots = float(max_slots)
        self.slots: dict[str, Slot] = {}
        self.lowest_tier = 0
        self.speed: Speed | None = None
        self.memory: HeldMemory | None = None
        self.first_tokens = 1
        self._tier_slots: Counter[int] = Counter()
        self.kv_tokens = 0
        self.hold_ms = INITIAL_HOLD_MS
        self._call_measured_ms = 0
        self._pending_prefill_ms: dict[str, float] = {}
        self._pending_total_ms = 0.0
        self._prefill_start_ms = 0
        self._window_start_ms = 0
        self._window_tokens = 0
        self._window_slow_tokens = 0
        self._window_peak_slots = 0
        self._slow_reports = 0
        self._cooldown_until_ms = 0
        self._slow_share = 0.0
        self._slow_share_ms = 0
        self._ceiling_slots = float(max_slots)
        self._ceiling_until_ms = 0
        self._ceiling_step = 1

    def backlog_ms(self, now_ms: int) -> float:
        """Return the time that the upstream's prefill queue is expected to take."""
        if not self._pending_prefill_ms:
            return 0.0
        remaining_ms = self._pending_total_ms - (now_ms - self._prefill_start_ms)
        first_ms = next(iter(self._pending_prefill_ms.values()))
        return max(remaining_ms, first_ms * OVERDUE_SHARE)

    def slow_share(self, now_ms: int) -> float:
        """Return the recent share of slow tokens, which decays without new tokens."""
        if not self._slow_share:
            return 0.0
        return self._slow_share * exp((self._slow_share_ms - now_ms) / SLOW_DECAY_MS)

    def is_slow(self, min_share: float, now_ms: int) -> bool:
        """Return whether more than a share of the recent tokens is slow.

        The share only falls with time, so most upstreams need no look at the decay.
        """
        return self._slow_share > min_share and self.slow_share(now_ms) > min_share

    def call_ms(self, now_ms: int) -> float:
        """Return the expected duration of a call to a plain service.

        It falls with time: an upstream that is passed by shows no better duration.
        """
        elapsed_ms = now_ms - self._call_measured_ms
        return self.gap_ms * 0.5 ** (elapsed_ms / CALL_HALF_LIFE_MS)

    def record_call(self, duration_ms: int, now_ms: int) -> None:
        """Update the expected duration of a call by that of one that has ended."""
        self._observe_gap(duration_ms)
        self._call_measured_ms = now_ms

    @property
    def slot_wait_ms(self) -> float:
        """Return the expected time until a slot is released when all are in use."""
        return self.hold_ms / max(1.0, self.limit_slots)

    def record_duration(self, duration_ms: int) -> None:
        """Update the mean slot duration with that of a completed request."""
        self.hold_ms += (duration_ms - self.hold_ms) * HOLD_GAIN

    def prefill_ms(self, tokens: float) -> float:
        """Return the time that the upstream takes to process prompt tokens."""
        return tokens * 1000.0 / self.prefill_tokens_per_s

    def fits_memory(self, required_tokens: int) -> bool:
        """Return whether so many tokens fit beside those of the held slots."""
        return (
            self.kv_tokens + required_tokens <= self.kv_capacity_tokens * MAX_KV_SHARE
        )

    def fits_request(self, slot_request: SlotRequest) -> bool:
        """Return whether a request fits even if its answer is long and uncached."""
        required_tokens = self.memory.tokens + cautious_tokens(slot_request)
        return required_tokens <= self.kv_capacity_tokens * MAX_KV_SHARE

    def apply_speed(self) -> None:
        """Use the learned speed at the present load."""
        self.prefill_tokens_per_s = self.speed.prefill_tokens_per_s
        self.gap_ms = self.speed.step_ms(self._load_share)

    def record_step(self, step_ms: float) -> None:
        """Update the learned speed by a time between two tokens."""
        self.speed.record_step(step_ms, self._load_share)
        self.apply_speed()

    @property
    def _load_share(self) -> float:
        return len(self.slots) / max(1, self.max_slots)

    def occupy(self, slot: Slot, now_ms: int) -> None:
        """Add a slot and queue its prefill."""
        if self.memory is not None:
            self.memory.hold(slot.slot_request)
            self.apply_speed()
        self.slots[slot.slot_request.request_id] = slot
        self.kv_tokens += slot.kv_tokens
        tier = slot.slot_request.tier
        self._tier_slots[tier] += 1
        self.lowest_tier = max(self.lowest_tier, tier)
        if slot.prefill_tokens > 0:
            self._queue_prefill(slot, now_ms)
        slot.progress_ms = now_ms
        self._window_peak_slots = max(self._window_peak_slots, len(self.slots))

    def _queue_prefill(self, slot: Slot, now_ms: int) -> None:
        backlog_ms = self.backlog_ms(now_ms)
        slot_prefill_ms = self.prefill_ms(slot.prefill_tokens) + self.gap_ms
        if not self._pending_prefill_ms:
            self._prefill_start_ms = now_ms
        self._pending_prefill_ms[slot.slot_request.request_id] = slot_prefill_ms
        self._pending_total_ms += slot_prefill_ms
        slot.first_due_ms = int(now_ms + backlog_ms + slot_prefill_ms)

    def vacate(self, request_id: str) -> Slot:
        """Remove a slot and its pending prefill."""
        slot = self.slots.pop(request_id)
        self.kv_tokens -= slot.kv_tokens
        if self.memory is not None:
            self.memory.free(request_id)
            self.apply_speed()
        self._forget_tier(slot.slot_request.tier)
        self._pending_total_ms -= self._pending_prefill_ms.pop(request_id, 0.0)
        return slot

    def _forget_tier(self, tier: int) -> None:
        """Count a slot of a tier less."""
        self._tier_slots[tier] -= 1
        if not self._tier_slots[tier]:
            del self._tier_slots[tier]
            self.lowest_tier = max(self._tier_slots, default=0)

    def record_first_token(
        self, slot: Slot, now_ms: int, produced_tokens: int = 1
    ) -> None:
        """Record the first token of a request and update the prefill rate.

        The upstream processes prompts in order, so those queued before it are done.
        """
        request_id = slot.slot_request.request_id
        if request_id not in self._pending_prefill_ms:
            return
        if self.speed is not None:
            self._learn_prefill(slot, now_ms, produced_tokens)
            return
        tokens = 0
        for pending_id in tuple(self._pending_prefill_ms):
            self._pending_total_ms -= self._pending_prefill_ms.pop(pending_id)
            if pending_id in self.slots:
                tokens += self.slots[pending_id].prefill_tokens
            if pending_id == request_id:
                break
        duration_ms = now_ms - self._prefill_start_ms - self.gap_ms / 2
        self._prefill_start_ms = now_ms
        if self.learns and tokens >= MIN_RATE_SAMPLE_TOKENS and duration_ms > 0:
            self._update_prefill_rate(tokens * 1000.0 / duration_ms)

    def _learn_prefill(self, slot: Slot, now_ms: int, produced_tokens: int) -> None:
        """Learn from the prefill of a request that was next in the queue.

        Its first report may come with several tokens, which were produced after it.
        """
        request_id = slot.slot_request.request_id
        is_next = next(iter(self._pending_prefill_ms)) == request_id
        for pending_id in tuple(self._pending_prefill_ms):
            self._pending_total_ms -= self._pending_prefill_ms.pop(pending_id)
            if pending_id == request_id:
                break
        self.first_tokens = produced_tokens
        end_ms = max(slot.granted_ms, int(now_ms - produced_tokens * self.gap_ms))
        duration_ms = end_ms - max(slot.granted_ms, self._prefill_start_ms)
        self._prefill_start_ms = end_ms
        tokens = slot.prefill_tokens
        if is_next and not slot.is_adopted and tokens >= MIN_RATE_SAMPLE_TOKENS:
            self.speed.record_prefill(tokens, max(1.0, duration_ms))
            self.apply_speed()

    @property
    def first_report_ms(self) -> float:
        """Return the time from the end of a prefill to the first report."""
        return self.first_tokens * self.gap_ms

    def record_progress(
        self, slot: Slot, produced_tokens: int, slow_tokens: int, now_ms: int
    ) -> None:
        """Record the tokens of a running request and update rates and slot limit.

        :param produced_tokens: number of tokens since its start.
        :param slow_tokens: number of slow ones among them; -1 if not measured.
        """
        tokens = produced_tokens - slot.produced_tokens
        if tokens <= 0:
            return
        self.record_first_token(slot, now_ms, produced_tokens)
        if slot.produced_tokens > 0:
            self._observe_gap((now_ms - slot.progress_ms) / tokens)
        new_slow_tokens = self._count_new_slow_tokens(slot, tokens, slow_tokens)
        current_share = self.slow_share(now_ms)
        gain = SLOW_SHARE_GAIN * (new_slow_tokens / tokens - current_share)
        self._slow_share = current_share + gain
        self._slow_share_ms = now_ms
        if now_ms >= self._cooldown_until_ms:
            self._window_slow_tokens += new_slow_tokens
            self._window_tokens += tokens
        slot.produced_tokens = produced_tokens
        slot.progress_ms = now_ms
        if self.memory is not None:
            self.memory.hold(slot.slot_request, produced_tokens)
        if self.learns_slots:
            self._adjust_limit(new_slow_tokens > 0, now_ms)

    def _count_new_slow_tokens(self, slot: Slot, tokens: int, slow_tokens: int) -> int:
        if slow_tokens < 0:
            return tokens if self.gap_ms > self.target_gap_ms else 0
        new_slow_tokens = max(0, slow_tokens - slot.slow_tokens)
        slot.slow_tokens = slow_tokens
        return new_slow_tokens

    def _observe_gap(self, gap_ms: float) -> None:
        if self.speed is not None:
            self.record_step(gap_ms)
            return
        self.gap_ms += (gap_ms - self.gap_ms) * GAP_GAIN

    def _adjust_limit(self, is_slow: bool, now_ms: int) -> None:
        if now_ms < self._cooldown_until_ms:
            return
        self._slow_reports += is_slow
        if self._slow_reports >= SLOW_REPORTS_TO_SHRINK:
            share = self._window_slow_tokens / max(1, self._window_tokens)
            self._shrink(share, now_ms)
            self._start_window(now_ms + COOLDOWN_MS)
        elif now_ms - self._window_start_ms >= WINDOW_MS:
            if not self._slow_reports:
                self._grow(now_ms)
            self._start_window(now_ms)

    def _start_window(self, start_ms: int) -> None:
        self._window_tokens = 0
        self._window_slow_tokens = 0
        self._slow_reports = 0
        self._cooldown_until_ms = start_ms
        self._window_start_ms = start_ms
        self._window_peak_slots = len(self.slots)

    def _grow(self, now_ms: int) -> None:
        if now_ms >= self._ceiling_until_ms:
            self._ceiling_slots += self._ceiling_step
            self._ceiling_step *= 2
            self._ceiling_until_ms = now_ms + CEILING_RAISE_MS
        if self._window_peak_slots >= int(self.limit_slots):
            limit = min(self._ceiling_slots, self.limit_slots + 1)
            self.limit_slots = min(float(self.max_slots), limit)

    def _shrink(self, slow_share: float, now_ms: int) -> None:
        used_slots = min(int(self.limit_slots), self._window_peak_slots)
        step = used_slots * LARGE_STEP_RATIO if slow_share > LARGE_SLOW_SHARE else 1
        min_slots = max(MIN_LIMIT_SLOTS, self.max_slots / 4)
        self.limit_slots = max(min_slots, used_slots - step)
        self._ceiling_slots = max(min_slots, used_slots - 1.0)
        self._ceiling_until_ms = now_ms + CEILING_RAISE_MS
        self._ceiling_step = 1

    def _update_prefill_rate(self, rate: float) -> None:
        current_rate = self.prefill_tokens_per_s
        new_rate = current_rate + RATE_GAIN * (
            min(rate, current_rate * MAX_RATE_STEP) - current_rate
        )
        self.prefill_tokens_per_s = max(MIN_PREFILL_TOKENS_PER_S, new_rate)
