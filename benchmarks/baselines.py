"""Policies to compare with: each dispatches by simpler rules."""

from collections import deque

from .engine import Engine
from .requests import Job
from .simulation import Driver
from .workloads import HOSTS

RETRY_AFTER_MS = 1000


class Immediate(Driver):
    """Dispatches each request when it arrives."""

    def arrive(self, job: Job) -> None:
        """Send a request to the chosen engine, or to the next that is up."""
        tried = set()
        while len(tried) < len(self.simulation.engines):
            names = [name for name in self.up() if name not in tried]
            if not names:
                break
            name = self.choose(job, names)
            if self.simulation.dispatch(job, name):
                self.sent(job, name)
                return
            tried.add(name)
        self.simulation.refuse(job, RETRY_AFTER_MS, is_shed=False)

    def up(self) -> list[str]:
        """Return the engines that are not reported dead or leaving."""
        reports = self.simulation.reports.values()
        names = [one.name for one in reports if one.is_alive and not one.is_leaving]
        return names or list(self.simulation.engines)

    def choose(self, job: Job, names: list[str]) -> str:
        """Return the engine for a request."""
        raise NotImplementedError

    def sent(self, job: Job, name: str) -> None:
        """Note a dispatch."""


class RoundRobin(Immediate):
    """Takes the engines in turn, at each entry host."""

    name = "round robin"

    def __init__(self):
        super().__init__()
        self._turns = dict.fromkeys(HOSTS, 0)

    def choose(self, job: Job, names: list[str]) -> str:
        """Return the next engine."""
        self._turns[job.host] += 1
        return names[(self._turns[job.host] + HOSTS.index(job.host)) % len(names)]


class LeastReported(Immediate):
    """Takes the engine with the least load for its size, as last reported."""

    name = "least reported"

    def load(self, host: str, name: str) -> float:
        """Return an engine's load as an entry host sees it."""
        report = self.simulation.reports[name]
        good_slots = self.simulation.engines[name].kind.good_slots
        return (report.running + report.waiting) / good_slots

    def choose(self, job: Job, names: list[str]) -> str:
        """Return the engine with the least load."""
        return min(names, key=lambda name: self.load(job.host, name))


class PowerOfTwo(LeastReported):
    """Takes the better of two random engines, by report and own dispatches since."""

    name = "power of two"

    def __init__(self):
        super().__init__()
        self._sent: dict[tuple[str, str], deque[float]] = {}

    def load(self, host: str, name: str) -> float:
        """Return the reported load and what this host sent since."""
        report = self.simulation.reports[name]
        sent = self._sent.setdefault((host, name), deque())
        while sent and sent[0] < report.taken_ms:
            sent.popleft()
        good_slots = self.simulation.engines[name].kind.good_slots
        return (report.running + report.waiting + len(sent)) / good_slots

    def choose(self, job: Job, names: list[str]) -> str:
        """Return the better of two."""
        pair = self.simulation.rng.sample(names, min(2, len(names)))
        return super().choose(job, pair)

    def sent(self, job: Job, name: str) -> None:
        """Count a dispatch until the next report."""
        sent = self._sent.setdefault((job.host, name), deque())
        sent.append(self.simulation.now_ms)


class Queueing(Driver):
    """Holds requests in queues and dispatches when a counted slot is free."""

    def __init__(self):
        super().__init__()
        self._queues: dict[str, list[Job]] = {}
        self._used: dict[tuple[str, str], int] = {}
        self._down_until_ms: dict[str, float] = {}

    def queue_of(self, job: Job) -> str:
        """Return the name of the queue for a request."""
        raise NotImplementedError

    def share(self, engine: Engine) -> int:
        """Return how many slots of an engine each queue has."""
        raise NotImplementedError

    def order(self, job: Job) -> tuple[float, ...]:
        """Return the sorting key inside a queue."""
        raise NotImplementedError

    def arrive(self, job: Job) -> None:
        """Queue a request and dispatch what can be."""
        queue = self._queues.setdefault(self.queue_of(job), [])
        queue.append(job)
        queue.sort(key=self.order)
        self.simulation.queued[job.request_id] = job
        self._pump(self.queue_of(job))

    def ended(self, job: Job, cause: str) -> None:
        """Free a slot."""
        name = self.queue_of(job)
        self._used[name, job.engine] -= 1
        self._pump(name)

    def gone(self, job: Job) -> None:
        """Drop a request from its queue."""
        queue = self._queues[self.queue_of(job)]
        if job in queue:
            queue.remove(job)

    def tick(self) -> None:
        """Refuse what waited longer than its caller states."""
        now_ms = self.simulation.now_ms
        for queue in self._queues.values():
            for job in [one for one in queue if self._is_late(one, now_ms)]:
                queue.remove(job)
                self.simulation.refuse(job, RETRY_AFTER_MS)

    def _is_late(self, job: Job, now_ms: float) -> bool:
        return now_ms >= job.arrival_ms + job.deadline_ms

    def _pump(self, name: str) -> None:
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
            self._used[key] = self._used.get(key, 0) + 1

    def _free_engine(self, name: str) -> Engine | None:
        free = []
        for engine in self.simulation.engines.values():
            if self._down_until_ms.get(engine.name, 0) > self.simulation.now_ms:
                continue
            if self.simulation.reports[engine.name].is_leaving:
                continue
            share = self.share(engine)
            used = self._used.get((name, engine.name), 0)
            if used < share:
                free.append((used / share, engine.name, engine))
        return min(free)[2] if free else None


class FixedShares(Queueing):
    """Gives each entry host a fixed part of the slots; tiers go first there."""

    name = "fixed shares"

    def queue_of(self, job: Job) -> str:
        """Return the entry host."""
        return job.host

    def share(self, engine: Engine) -> int:
        """Return a sixth of the slots that keep the tokens in time."""
        return max(1, engine.kind.good_slots // len(HOSTS))

    def order(self, job: Job) -> tuple[float, ...]:
        """Order by tier, then by arrival."""
        return (job.tier, job.arrival_ms)


class Fifo(Queueing):
    """Is one global queue without tiers, with the slots counted exactly."""

    name = "fifo"

    def queue_of(self, job: Job) -> str:
        """Return the only queue."""
        return "all"

    def share(self, engine: Engine) -> int:
        """Return the slots that keep the tokens in time."""
        return engine.kind.good_slots

    def order(self, job: Job) -> tuple[float, ...]:
        """Order by arrival."""
        return (job.arrival_ms,)


BASELINES = (RoundRobin, LeastReported, PowerOfTwo, FixedShares, Fifo)
