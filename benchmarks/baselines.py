"""Baseline policies for comparison, with simpler dispatch rules."""

from collections import deque

from .engine import Engine
from .requests import Job
from .simulation import Driver
from .workloads import HOSTS

RETRY_AFTER_MS = 1000


class ImmediateDriver(Driver):
    """Base of the policies that dispatch each request on arrival."""

    def on_arrival(self, job: Job) -> None:
        """Send a request to the chosen engine, or to the next one that accepts it."""
        tried = set()
        while len(tried) < len(self.simulation.engines):
            names = [name for name in self.available_engines() if name not in tried]
            if not names:
                break
            name = self.choose(job, names)
            if self.simulation.dispatch(job, name):
                self.on_dispatched(job, name)
                return
            tried.add(name)
        self.simulation.refuse(job, RETRY_AFTER_MS, is_shed=False)

    def available_engines(self) -> list[str]:
        """Return the engines not reported as dead or leaving, or else all engines."""
        reports = self.simulation.reports.values()
        names = [
            report.name
            for report in reports
            if report.is_alive and not report.is_leaving
        ]
        return names or list(self.simulation.engines)

    def choose(self, job: Job, names: list[str]) -> str:
        """Return the name of the engine for a request."""
        raise NotImplementedError

    def on_dispatched(self, job: Job, name: str) -> None:
        """Record a dispatch."""


class RoundRobin(ImmediateDriver):
    """Round robin over the engines, for each entry host separately."""

    name = "round robin"

    def __init__(self):
        super().__init__()
        self._turn_counts = dict.fromkeys(HOSTS, 0)

    def choose(self, job: Job, names: list[str]) -> str:
        """Return the next engine."""
        self._turn_counts[job.host] += 1
        return names[(self._turn_counts[job.host] + HOSTS.index(job.host)) % len(names)]


class LeastReported(ImmediateDriver):
    """Policy that picks the engine with the least reported load for its size."""

    name = "least reported"

    def load(self, host: str, name: str) -> float:
        """Return an engine's load over its slots, as an entry host sees it."""
        report = self.simulation.reports[name]
        good_slots = self.simulation.engines[name].kind.good_slots
        return (report.running + report.waiting) / good_slots

    def choose(self, job: Job, names: list[str]) -> str:
        """Return the engine with the least load."""
        return min(names, key=lambda name: self.load(job.host, name))


class PowerOfTwo(LeastReported):
    """Policy that picks the less loaded of two random engines.

    The load is the reported one plus the host's own dispatches since the report.
    """

    name = "power of two"

    def __init__(self):
        super().__init__()
        self._sent_times_ms: dict[tuple[str, str], deque[float]] = {}

    def load(self, host: str, name: str) -> float:
        """Return the reported load and this host's dispatches since, over the slots."""
        report = self.simulation.reports[name]
        sent_times_ms = self._sent_times_ms.setdefault((host, name), deque())
        while sent_times_ms and sent_times_ms[0] < report.taken_ms:
            sent_times_ms.popleft()
        good_slots = self.simulation.engines[name].kind.good_slots
        return (report.running + report.waiting + len(sent_times_ms)) / good_slots

    def choose(self, job: Job, names: list[str]) -> str:
        """Return the less loaded of two random engines."""
        pair = self.simulation.rng.sample(names, min(2, len(names)))
        return super().choose(job, pair)

    def on_dispatched(self, job: Job, name: str) -> None:
        """Record the time of a dispatch, which counts until the next report."""
        sent_times_ms = self._sent_times_ms.setdefault((job.host, name), deque())
        sent_times_ms.append(self.simulation.now_ms)


class QueueingDriver(Driver):
    """Base of the policies that queue requests until they count a free slot."""

    def __init__(self):
        super().__init__()
        self._queues: dict[str, list[Job]] = {}
        self._used_slots: dict[tuple[str, str], int] = {}
        self._down_until_ms: dict[str, float] = {}

    def queue_of(self, job: Job) -> str:
        """Return the name of the queue for a request."""
        raise NotImplementedError

    def slots_per_queue(self, engine: Engine) -> int:
        """Return the number of an engine's slots that each queue may use."""
        raise NotImplementedError

    def sort_key(self, job: Job) -> tuple[float, ...]:
        """Return the sort key of a request inside its queue."""
        raise NotImplementedError

    def on_arrival(self, job: Job) -> None:
        """Queue a request and dispatch while slots are free."""
        queue = self._queues.setdefault(self.queue_of(job), [])
        queue.append(job)
        queue.sort(key=self.sort_key)
        self.simulation.queued[job.request_id] = job
        self._dispatch_queued(self.queue_of(job))

    def on_ended(self, job: Job, cause: str) -> None:
        """Free the slot and dispatch from its queue."""
        name = self.queue_of(job)
        self._used_slots[name, job.engine] -= 1
        self._dispatch_queued(name)

    def on_caller_gone(self, job: Job) -> None:
        """Remove the request from its queue."""
        queue = self._queues[self.queue_of(job)]
        if job in queue:
            queue.remove(job)

    def on_tick(self) -> None:
        """Refuse the requests that waited until their deadline."""
        now_ms = self.simulation.now_ms
        for queue in self._queues.values():
            for job in [job for job in queue if self._is_late(job, now_ms)]:
                queue.remove(job)
                self.simulation.refuse(job, RETRY_AFTER_MS)

    def _is_late(self, job: Job, now_ms: float) -> bool:
        return now_ms >= job.arrival_ms + job.deadline_ms

    def _dispatch_queued(self, name: str) -> None:
        queue = self._queues.get(name, [])
        while queue:
            engine = self._free_engine(name)
            if engine is None:
                return
            job = queue[0]
            if not self.simulation.dispatch(job, engine.name):
                self._down_until_ms[engine.name] = self.simulation.now_ms + 1000
                continue
            queue.pop(0)
            key = (name, engine.name)
            self._used_slots[key] = self._used_slots.get(key, 0) + 1

    def _free_engine(self, name: str) -> Engine | None:
        free = []
        for engine in self.simulation.engines.values():
            if self._down_until_ms.get(engine.name, 0) > self.simulation.now_ms:
                continue
            if self.simulation.reports[engine.name].is_leaving:
                continue
            slots_per_queue = self.slots_per_queue(engine)
            used = self._used_slots.get((name, engine.name), 0)
            if used < slots_per_queue:
                free.append((used / slots_per_queue, engine.name, engine))
        return min(free)[2] if free else None


class FixedShares(QueueingDriver):
    """Policy that gives each entry host a fixed share of the slots, ordered by tier."""

    name = "fixed shares"

    def queue_of(self, job: Job) -> str:
        """Return the name of the entry host."""
        return job.host

    def slots_per_queue(self, engine: Engine) -> int:
        """Return a host's part of the slots that keep the time between tokens low."""
        return max(1, engine.kind.good_slots // len(HOSTS))

    def sort_key(self, job: Job) -> tuple[float, ...]:
        """Order by tier, then by arrival."""
        return (job.tier, job.arrival_ms)


class Fifo(QueueingDriver):
    """Policy with one global queue without tiers and exactly counted slots."""

    name = "fifo"

    def queue_of(self, job: Job) -> str:
        """Return the name of the single queue."""
        return "all"

    def slots_per_queue(self, engine: Engine) -> int:
        """Return the slots that keep the time between tokens low."""
        return engine.kind.good_slots

    def sort_key(self, job: Job) -> tuple[float, ...]:
        """Order by arrival."""
        return (job.arrival_ms,)


BASELINES = (RoundRobin, LeastReported, PowerOfTwo, FixedShares, Fifo)
