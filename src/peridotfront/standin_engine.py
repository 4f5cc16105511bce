"""Model of an engine with continuous batching; no input, output or clock."""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from .prompts import BLOCK_TOKENS

LOAD_HISTORY = 4096
EVENT_HISTORY = 4096


@dataclass(slots=True)
class EngineSpec:
    """Describes a stand-in engine; faults change it while it runs.

    :param decode_tokens_per_s: of one stream.
    :param batch_slowdown: by how much each further stream slows a step.
    :param slow_factor: by how much everything is slowed at present.
    :param load_lag_ms: age of the load that a report shows.
    :param event_lag_ms: age at which a cache event is published.
    :param event_gap_every: each n-th cache event is lost; 0 loses none.
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
        """Return how long a step with one stream takes without faults."""
        return 1000 / self.decode_tokens_per_s


@dataclass(slots=True)
class Job:
    """Is one request inside the engine.

    :param run_id: unique for each run.
    :param cached_tokens: prompt tokens found in the cache.
    :param private_tokens: KV memory held beside the cache.
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
    def left_to_prefill_tokens(self) -> int:
        """Return the prompt tokens that are neither cached nor computed."""
        return self.prompt_tokens - self.cached_tokens - self.prefilled_tokens


@dataclass(frozen=True, slots=True)
class Prefilled:
    """Tells that the prompt of a run is computed."""

    run_id: int
    computed_tokens: int
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class Produced:
    """Tells that a run has one more token."""

    run_id: int
    is_last: bool


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Tells what entered and left the prefix cache."""

    sequence: int
    at_ms: float
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Load:
    """Is the load of the engine at one moment."""

    at_ms: float = 0.0
    running: int = 0
    waiting: int = 0
    queued_prefill_tokens: int = 0
    used_kv_tokens: int = 0


class PrefixCache:
    """Holds blocks of computed prompts; evicts the least recently used."""

    def __init__(self):
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._pins: Counter[int] = Counter()

    @property
    def size_tokens(self) -> int:
        """Return the memory that the cached blocks take."""
        return len(self._blocks) * BLOCK_TOKENS

    def match(self, hashes: tuple[int, ...]) -> tuple[int, ...]:
        """Return the longest run of blocks from the first that is cached."""
        matched = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += 1
        return hashes[:matched]

    def store(self, hashes: tuple[int, ...]) -> tuple[int, ...]:
        """Add blocks; return those that are new."""
        new = tuple(block for block in hashes if block not in self._blocks)
        self._blocks.update(dict.fromkeys(hashes))
        return new

    def pin(self, hashes: tuple[int, ...]) -> None:
        """Keep blocks from being evicted."""
        self._pins.update(hashes)

    def unpin(self, hashes: tuple[int, ...]) -> None:
        """Allow blocks to be evicted again."""
        self._pins -= Counter(hashes)

    def evict(self, needed_tokens: int) -> tuple[int, ...]:
        """Evict unpinned blocks until enough memory is free, if possible."""
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
    """Runs jobs in steps: each step prefills in order and decodes one token each.

    :param spec: rates and faults; may be changed at any time.
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
        """Tell whether there is nothing to run."""
        return not self._waiting and not self._running

    def change(self, spec: EngineSpec, now_ms: float) -> None:
        """Take other rates and faults; they hold from the present step on."""
        self.spec = spec
        if self.next_step_ms is not None:
            self.next_step_ms = now_ms + self._step_ms()

    def fits(self, job: Job) -> bool:
        """Tell whether a job could ever be admitted."""
        # One token more, since the last token of a cached prompt is computed again.
        needed_tokens = job.prompt_tokens + job.max_tokens + 1
        return needed_tokens <= self.spec.kv_capacity_tokens

    def submit(self, job: Job, now_ms: float) -> None:
        """Queue a job; it is admitted in order of arrival as memory allows."""
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
        """Remove a job; return it if it was there."""
        job = self._running.pop(run_id, None)
        if job is not None:
            self._free(job)
        else:
            job = next((j for j in self._waiting if j.run_id == run_id), None)
            if job is not None:
                self._waiting.remove(job)
        self._record_load(now_ms)
        return job

    def adopt(self, job: Job, now_ms: float) -> bool:
        """Go on with a job whose KV was imported; false if memory is short."""
        self._waiting.appendleft(job)
        if not self._admit_first(now_ms):
            self._waiting.popleft()
            return False
        job.prefilled_tokens = job.prompt_tokens - job.cached_tokens
        self._finish_prefill(job, now_ms)
        if self.next_step_ms is None:
            self.next_step_ms = now_ms + self._step_ms()
        return True

    def advance(self, now_ms: float) -> Iterator[Prefilled | Produced]:
        """Run every step that is due; yield what came out of it."""
        while self.next_step_ms is not None and self.next_step_ms <= now_ms:
            step_at_ms = self.next_step_ms
            if self.spec.is_hung:
                self.next_step_ms = now_ms + self._step_ms()
                return
            yield from self._step(step_at_ms)
            self._record_load(step_at_ms)
            self.next_step_ms = None if self.is_idle else step_at_ms + self._step_ms()

    def load(self, now_ms: float) -> Load:
        """Return the load as it was the lag ago."""
        newest_ms = now_ms - self.spec.load_lag_ms
        known = Load()
        for load in self._loads:
            if load.at_ms > newest_ms:
                break
            known = load
        return known

    def cache_events(self, since: int, now_ms: float) -> list[CacheEvent]:
        """Return published events after a sequence number; some are missing."""
        newest_ms = now_ms - self.spec.event_lag_ms
        events = [
            event
            for event in self._events
            if event.sequence > since and event.at_ms <= newest_ms
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

    def _step(self, now_ms: float) -> Iterator[Prefilled | Produced]:
        while self._waiting and self._admit_first(now_ms):
            pass
        decoding = [j for j in self._running.values() if not j.left_to_prefill_tokens]
        budget_tokens = max(
            1, int(self.spec.prefill_tokens_per_s * self.spec.base_step_ms / 1000)
        )
        for job in list(self._running.values()):
            if job.left_to_prefill_tokens and budget_tokens:
                used_tokens = min(budget_tokens, job.left_to_prefill_tokens)
                budget_tokens -= used_tokens
                job.prefilled_tokens += used_tokens
                if not job.left_to_prefill_tokens:
                    self._finish_prefill(job, now_ms)
                    yield Prefilled(job.run_id, job.prefilled_tokens, job.cached_tokens)
                    decoding.append(job)
        for job in decoding:
            yield self._decode(job)

    def _decode(self, job: Job) -> Produced:
        job.produced_tokens += 1
        is_last = job.produced_tokens >= job.max_tokens
        if is_last:
            del self._running[job.run_id]
            self._free(job)
        return Produced(job.run_id, is_last)

    def _admit_first(self, now_ms: float) -> bool:
        job = self._waiting[0]
        matched = self.cache.match(job.hashes)
        # The last token is always computed: its output is the first new token.
        cached_tokens = min(len(matched) * BLOCK_TOKENS, job.prompt_tokens - 1)
        private_tokens = job.prompt_tokens - cached_tokens + job.max_tokens
        self.cache.pin(matched)
        if not self._make_room(private_tokens, now_ms):
            self.cache.unpin(matched)
            return False
        self._waiting.popleft()
        job.cached_tokens = cached_tokens
        job.private_tokens = private_tokens
        job.pinned = matched
        self._running[job.run_id] = job
        return True

    def _make_room(self, needed_tokens: int, now_ms: float) -> bool:
        free_tokens = self.spec.kv_capacity_tokens - self.used_kv_tokens
        missing_tokens = needed_tokens - free_tokens
        if missing_tokens <= 0:
            return True
        evicted = self.cache.evict(missing_tokens)
        if evicted:
            self._publish(now_ms, evicted=evicted)
        return len(evicted) * BLOCK_TOKENS >= missing_tokens

    def _finish_prefill(self, job: Job, now_ms: float) -> None:
        new = self._store(job.hashes, now_ms)
        self.cache.unpin(job.pinned)
        self.cache.pin(job.hashes)
        job.pinned = job.hashes
        job.private_tokens -= min(len(new) * BLOCK_TOKENS, job.private_tokens)

    def _store(self, hashes: tuple[int, ...], now_ms: float) -> tuple[int, ...]:
        new = self.cache.store(hashes)
        if new:
            self._publish(now_ms, stored=new)
        return new

    def _free(self, job: Job) -> None:
        self.cache.unpin(job.pinned)
        job.pinned = ()
        job.private_tokens = 0

    def _publish(self, now_ms: float, stored=(), evicted=()) -> None:
        self.last_sequence += 1
        self._events.append(CacheEvent(self.last_sequence, now_ms, stored, evicted))

    def _record_load(self, now_ms: float) -> None:
        queued_tokens = sum(job.prompt_tokens for job in self._waiting)
        left_tokens = sum(j.left_to_prefill_tokens for j in self._running.values())
        load = Load(
            at_ms=now_ms,
            running=len(self._running),
            waiting=len(self._waiting),
            queued_prefill_tokens=queued_tokens + left_tokens,
            used_kv_tokens=self.used_kv_tokens,
        )
        self._loads.append(load)
