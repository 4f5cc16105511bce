"""Simulation of an engine with continuous batching, without I/O and clock."""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from .prompts import BLOCK_TOKENS

LOAD_HISTORY = 4096
EVENT_HISTORY = 4096


@dataclass(slots=True)
class EngineSpec:
    """Rates, limits and active faults of a stand-in engine.

    :param decode_tokens_per_s: decode rate of a single stream.
    :param batch_slowdown: fraction by which each further stream lengthens a step.
    :param slow_factor: factor by which a fault lengthens every step.
    :param load_lag_ms: age of the load that a report shows.
    :param event_lag_ms: age at which a cache event is published.
    :param event_gap_every: drop every n-th cache event; 0 drops none.
    :param reorders_events: whether pairs of cache events are swapped.
    """

    prefill_tokens_per_s: int = 4000
    decode_tokens_per_s: int = 40
    kv_capacity_tokens: int = 60_000
    batch_slowdown: float = 0.01
    slow_factor: float = 1.0
    is_hung: bool = False
    load_lag_ms: int = 500
    event_lag_ms: int = 500
    event_gap_every: int = 0
    reorders_events: bool = False

    @property
    def base_step_ms(self) -> float:
        """Return the duration of a step with one stream and no faults."""
        return 1000 / self.decode_tokens_per_s


@dataclass(slots=True)
class Job:
    """Request inside the engine.

    :param run_id: unique id of the run.
    :param cached_tokens: prompt tokens found in the prefix cache.
    :param private_tokens: KV memory held outside the prefix cache.
    """

    run_id: int
    prompt_tokens: int
    max_tokens: int
    hashes: tuple[int, ...] = ()
    cached_tokens: int = 0
    prefilled_tokens: int = 0
    produced_tokens: int = 0
    private_tokens: int = 0
    pinned: tuple[int, ...] = ()

    @property
    def remaining_prefill_tokens(self) -> int:
        """Return the prompt tokens that are neither cached nor computed."""
        return self.prompt_tokens - self.cached_tokens - self.prefilled_tokens


@dataclass(frozen=True, slots=True)
class PrefillFinished:
    """Event: the prompt of a run is computed."""

    run_id: int
    computed_tokens: int
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class TokenProduced:
    """Event: a run has produced a token."""

    run_id: int
    is_last: bool


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Event: blocks were stored in or evicted from the prefix cache."""

    sequence: int
    at_ms: float
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Load:
    """Load of the engine at one point in time."""

    at_ms: float = 0.0
    running: int = 0
    waiting: int = 0
    queued_prefill_tokens: int = 0
    used_kv_tokens: int = 0


class PrefixCache:
    """Prefix cache of computed prompt blocks with LRU eviction."""

    def __init__(self):
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._pins: Counter[int] = Counter()

    @property
    def size_tokens(self) -> int:
        """Return the memory of the cached blocks."""
        return len(self._blocks) * BLOCK_TOKENS

    def match(self, hashes: tuple[int, ...]) -> tuple[int, ...]:
        """Return the longest cached prefix of a list of blocks."""
        matched = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += 1
        return hashes[:matched]

    def store(self, hashes: tuple[int, ...]) -> tuple[int, ...]:
        """Add blocks and return those that were not cached before."""
        new_blocks = tuple(block for block in hashes if block not in self._blocks)
        self._blocks.update(dict.fromkeys(hashes))
        return new_blocks

    def pin(self, hashes: tuple[int, ...]) -> None:
        """Exclude blocks from eviction."""
        self._pins.update(hashes)

    def unpin(self, hashes: tuple[int, ...]) -> None:
        """Undo one ``pin`` of blocks."""
        self._pins -= Counter(hashes)

    def evict(self, needed_tokens: int) -> tuple[int, ...]:
        """Evict unpinned blocks until enough memory is freed or none is left."""
        evicted = []
        for block in list(self._blocks):
            if len(evicted) * BLOCK_TOKENS >= needed_tokens:
                break
            if not self._pins[block]:
                del self._blocks[block]
                evicted.append(block)
        return tuple(evicted)


@dataclass(slots=True)
class Engine:
    """Simulated engine; a step prefills in order and decodes a token of each job.

    :param spec: rates and faults, replaced by ``apply_spec``.
    """

    spec: EngineSpec
    cache: PrefixCache = field(default_factory=PrefixCache)
    next_step_ms: float | None = None
    last_sequence: int = 0
    _waiting: deque[Job] = field(default_factory=deque)
    _running: dict[int, Job] = field(default_factory=dict)
    _events: deque[CacheEvent] = field(
        default_factory=lambda: deque(maxlen=EVENT_HISTORY)
    )
    _loads: deque[Load] = field(default_factory=lambda: deque(maxlen=LOAD_HISTORY))

    @property
    def is_idle(self) -> bool:
        """Return whether no job is queued or running."""
        return not self._waiting and not self._running

    def apply_spec(self, spec: EngineSpec, now_ms: float) -> None:
        """Apply new rates and faults and restart the step in progress with them."""
        self.spec = spec
        if self.next_step_ms is not None:
            self.next_step_ms = now_ms + self._step_ms()

    def fits(self, job: Job) -> bool:
        """Return whether the memory suffices for a job when nothing else runs."""
        # One more token, because the last token of a cached prompt is computed again.
        needed_tokens = job.prompt_tokens + job.max_tokens + 1
        return needed_tokens <= self.spec.kv_capacity_tokens

    def submit(self, job: Job, now_ms: float) -> None:
        """Queue a job; jobs are admitted in order of arrival as memory allows."""
        self._waiting.append(job)
        if self.next_step_ms is None:
            self.next_step_ms = now_ms + self._step_ms()
        self._record_load(now_ms)

    @property
    def used_kv_tokens(self) -> int:
        """Return the memory in use by running jobs and the cache."""
        private_tokens = sum(job.private_tokens for job in self._running.values())
        return self.cache.size_tokens + private_tokens

    def cancel(self, run_id: int, now_ms: float) -> Job | None:
        """Remove a job and return it, or None if it is unknown."""
        job = self._running.pop(run_id, None)
        if job is not None:
            self._release_memory(job)
        else:
            job = next((j for j in self._waiting if j.run_id == run_id), None)
            if job is not None:
                self._waiting.remove(job)
        self._record_load(now_ms)
        return job

    def admit_imported(self, job: Job, now_ms: float) -> bool:
        """Admit a job whose KV was imported; return False if memory is short."""
        self._waiting.appendleft(job)
        if not self._admit_first(now_ms):
            self._waiting.popleft()
            return False
        job.prefilled_tokens = job.prompt_tokens - job.cached_tokens
        self._finish_prefill(job, now_ms)
        if self.next_step_ms is None:
            self.next_step_ms = now_ms + self._step_ms()
        return True

    def advance(self, now_ms: float) -> Iterator[PrefillFinished | TokenProduced]:
        """Run every step that is due and yield its events."""
        while self.next_step_ms is not None and self.next_step_ms <= now_ms:
            step_at_ms = self.next_step_ms
            if self.spec.is_hung:
                self.next_step_ms = now_ms + self._step_ms()
                return
            yield from self._step(step_at_ms)
            self._record_load(step_at_ms)
            self.next_step_ms = None if self.is_idle else step_at_ms + self._step_ms()

    def load(self, now_ms: float) -> Load:
        """Return the latest load that is at least ``load_lag_ms`` old."""
        cutoff_ms = now_ms - self.spec.load_lag_ms
        visible_load = Load()
        for load in self._loads:
            if load.at_ms > cutoff_ms:
                break
            visible_load = load
        return visible_load

    def cache_events(self, since: int, now_ms: float) -> list[CacheEvent]:
        """Return the published events after a sequence number, with gaps if set."""
        cutoff_ms = now_ms - self.spec.event_lag_ms
        events = [
            event
            for event in self._events
            if event.sequence > since and event.at_ms <= cutoff_ms
        ]
        gap_every = self.spec.event_gap_every
        if gap_every:
            events = [event for event in events if event.sequence % gap_every]
        if self.spec.reorders_events:
            events.sort(key=lambda event: event.sequence ^ 1)
        return events

    def _step_ms(self) -> float:
        streams = max(1, len(self._running))
        slowdown = 1 + self.spec.batch_slowdown * (streams - 1)
        return self.spec.base_step_ms * slowdown * self.spec.slow_factor

    def _step(self, now_ms: float) -> Iterator[PrefillFinished | TokenProduced]:
        while self._waiting and self._admit_first(now_ms):
            pass
        decoding = [j for j in self._running.values() if not j.remaining_prefill_tokens]
        budget_tokens = max(
            1, int(self.spec.prefill_tokens_per_s * self.spec.base_step_ms / 1000)
        )
        for job in list(self._running.values()):
            if job.remaining_prefill_tokens and budget_tokens:
                used_tokens = min(budget_tokens, job.remaining_prefill_tokens)
                budget_tokens -= used_tokens
                job.prefilled_tokens += used_tokens
                if not job.remaining_prefill_tokens:
                    self._finish_prefill(job, now_ms)
                    yield PrefillFinished(
                        job.run_id, job.prefilled_tokens, job.cached_tokens
                    )
                    decoding.append(job)
        for job in decoding:
            yield self._decode(job)

    def _decode(self, job: Job) -> TokenProduced:
        job.produced_tokens += 1
        is_last = job.produced_tokens >= job.max_tokens
        if is_last:
            del self._running[job.run_id]
            self._release_memory(job)
        return TokenProduced(job.run_id, is_last)

    def _admit_first(self, now_ms: float) -> bool:
        job = self._waiting[0]
        matched = self.cache.match(job.hashes)
        # The last prompt token is always computed: its output is the first new token.
        cached_tokens = min(len(matched) * BLOCK_TOKENS, job.prompt_tokens - 1)
        private_tokens = job.prompt_tokens - cached_tokens + job.max_tokens
        self.cache.pin(matched)
        if not self._free_memory(private_tokens, now_ms):
            self.cache.unpin(matched)
            return False
        self._waiting.popleft()
        job.cached_tokens = cached_tokens
        job.private_tokens = private_tokens
        job.pinned = matched
        self._running[job.run_id] = job
        return True

    def _free_memory(self, needed_tokens: int, now_ms: float) -> bool:
        free_tokens = self.spec.kv_capacity_tokens - self.used_kv_tokens
        missing_tokens = needed_tokens - free_tokens
        if missing_tokens <= 0:
            return True
        evicted = self.cache.evict(missing_tokens)
        if evicted:
            self._publish(now_ms, evicted=evicted)
        return len(evicted) * BLOCK_TOKENS >= missing_tokens

    def _finish_prefill(self, job: Job, now_ms: float) -> None:
        new_blocks = self._store(job.hashes, now_ms)
        self.cache.unpin(job.pinned)
        self.cache.pin(job.hashes)
        job.pinned = job.hashes
        job.private_tokens -= min(len(new_blocks) * BLOCK_TOKENS, job.private_tokens)

    def _store(self, hashes: tuple[int, ...], now_ms: float) -> tuple[int, ...]:
        new_blocks = self.cache.store(hashes)
        if new_blocks:
            self._publish(now_ms, stored=new_blocks)
        return new_blocks

    def _release_memory(self, job: Job) -> None:
        self.cache.unpin(job.pinned)
        job.pinned = ()
        job.private_tokens = 0

    def _publish(self, now_ms: float, stored=(), evicted=()) -> None:
        self.last_sequence += 1
        self._events.append(CacheEvent(self.last_sequence, now_ms, stored, evicted))

    def _record_load(self, now_ms: float) -> None:
        queued_tokens = sum(job.prompt_tokens for job in self._waiting)
        remaining_tokens = sum(
            j.remaining_prefill_tokens for j in self._running.values()
        )
        load = Load(
            at_ms=now_ms,
            running=len(self._running),
            waiting=len(self._waiting),
            queued_prefill_tokens=queued_tokens + remaining_tokens,
            used_kv_tokens=self.used_kv_tokens,
        )
        self._loads.append(load)
