"""The event loop of the benchmark: engines, callers, reports and faults."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush

from .engine import DROPPED_EVENT_SHARE, CacheEvent, Engine, Running
from .requests import Job

TICK_MS = 10
REPORT_EVERY_MS = 1000
REPORT_AGE_MS = (1000, 5000)
DEATH_NOTICE_MS = 5
DRAIN_MS = 40_000
POISON_RESTART_MS = 3000
MIN_RETURN_MS = 50


@dataclass(slots=True)
class LoadReport:
    """Is what an engine said of itself, some seconds ago."""

    name: str
    is_alive: bool = True
    is_leaving: bool = False
    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    taken_ms: float = 0.0
    events: list[CacheEvent] = field(default_factory=list)


class Driver:
    """Is a placement policy under test; subclasses decide.

    :ivar simulation: set by the simulation before the first event.
    """

    name = ""

    def __init__(self):
        self.simulation: Simulation

    def start(self) -> None:
        """Prepare for the first arrival."""

    def arrive(self, job: Job) -> None:
        """Take in a request of a caller."""
        raise NotImplementedError

    def first_token(self, job: Job) -> None:
        """Note a first token."""

    def ended(self, job: Job, cause: str) -> None:
        """Note the end of a request that was dispatched."""

    def gone(self, job: Job) -> None:
        """Note that a caller left before its request was dispatched."""

    def reported(self, report: LoadReport) -> None:
        """Note a load report."""

    def tick(self) -> None:
        """Note that time has passed."""


class Simulation:
    """Runs requests against engines under a policy, in virtual time.

    :param jobs: the requests in order of arrival.
    :param engines: the engines.
    :param driver: the policy.
    :param seed: of reports and returns.
    :param return_share: how many of the refused come back when they are told.
    """

    def __init__(
        self,
        jobs: list[Job],
        engines: list[Engine],
        driver: Driver,
        *,
        seed: int,
        return_share: float = 0.0,
    ):
        self.now_ms = 0.0
        self.jobs = jobs
        self.engines = {engine.name: engine for engine in engines}
        self.driver = driver
        self.rng = random.Random(f"simulation {seed}")
        self.return_share = return_share
        self.reports = {name: LoadReport(name) for name in self.engines}
        self.running: dict[str, Job] = {}
        self.queued: dict[str, Job] = {}
        self.inversions = 0
        self.deaths = 0
        self.leaving_dispatches = 0
        self.leaving_since_ms: dict[str, float] = {}
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._open = len(jobs)
        self._stepping: dict[str, int] = {}
        driver.simulation = self

    def at(self, time_ms: float, call: Callable[[], None]) -> None:
        """Call something at a time."""
        self._sequence += 1
        heappush(self._heap, (time_ms, self._sequence, call))

    def after(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Call something after a delay."""
        self.at(self.now_ms + delay_ms, call)

    def run(self) -> None:
        """Run until every request has ended."""
        self.driver.start()
        for job in self.jobs:
            self.at(job.arrival_ms, lambda job=job: self._arrive(job))
        end_ms = (self.jobs[-1].arrival_ms if self.jobs else 0) + DRAIN_MS
        self.at(0, self._tick)
        for engine in self.engines.values():
            offset_ms = self.rng.uniform(0, REPORT_EVERY_MS)
            self.at(offset_ms, lambda engine=engine: self._report(engine))
        while self._heap and self._open > 0:
            time_ms, _, call = heappop(self._heap)
            if time_ms > end_ms:
                break
            self.now_ms = time_ms
            call()

    # What a policy may do

    def dispatch(self, job: Job, name: str) -> bool:
        """Send a request to an engine; return whether it was taken in."""
        engine = self.engines[name]
        if not engine.is_alive:
            return False
        self.queued.pop(job.request_id, None)
        self.running[job.request_id] = job
        job.engine = name
        job.dispatches += 1
        job.dispatched_ms = self.now_ms
        left_ms = self.leaving_since_ms.get(name)
        if left_ms is not None and self.now_ms > left_ms + 2000:
            self.leaving_dispatches += 1
        engine.submit(job)
        self._kick(engine)
        return True

    def refuse(self, job: Job, retry_after_ms: int, is_shed: bool = True) -> None:
        """Tell a caller that its request did not run."""
        if job.outcome:
            return
        self.queued.pop(job.request_id, None)
        if is_shed and self._has_lower(job):
            self.inversions += 1
        job.refused_ms = self.now_ms
        job.retry_after_ms = retry_after_ms
        comes_back = self.rng.random() < self.return_share and retry_after_ms > 0
        if comes_back and job.returns == 0 and job.dispatches == 0:
            job.returns = 1
            delay_ms = max(MIN_RETURN_MS, retry_after_ms)
            self.after(delay_ms, lambda: self._come_back(job))
            return
        self._end(job, "refused")

    def cut(self, job: Job, cause: str) -> None:
        """End a running request."""
        if job.outcome:
            return
        engine = self.engines[job.engine]
        running = engine.cancel(job)
        if running is None:
            return
        self._finish(job, cause)
        self.driver.ended(job, cause)

    # Faults

    def kill(self, name: str, restart_ms: float) -> None:
        """Let an engine die and come back after a while."""
        engine = self.engines[name]
        if not engine.is_alive:
            return
        self.deaths += 1
        self._stepping.pop(name, None)
        lost = [one.job for one in engine.die()]
        for job in lost:
            self._finish(job, "upstream_died")
        self.after(DEATH_NOTICE_MS, lambda: self._tell_death(lost))
        self.after(restart_ms, lambda: self._restart(engine))

    def leave(self, name: str) -> None:
        """Let an engine say that it leaves."""
        engine = self.engines[name]
        engine.is_leaving = True
        self.leaving_since_ms[name] = self.now_ms
        report = self._snapshot(engine)
        self.after(1000, lambda: self._deliver(report))

    # Inside

    def _tell_death(self, jobs: list[Job]) -> None:
        for job in jobs:
            self.driver.ended(job, "upstream_died")

    def _restart(self, engine: Engine) -> None:
        engine.is_alive = True

    def _come_back(self, job: Job) -> None:
        job.arrival_ms = self.now_ms
        self._arrive(job)

    def _arrive(self, job: Job) -> None:
        if job.returns == 0:
            self.after(job.gone_after_ms, lambda: self._leave(job))
        self.driver.arrive(job)

    def _leave(self, job: Job) -> None:
        if job.outcome or job.first_token_ms >= 0 or job.returns:
            return
        if job.request_id in self.running:
            self.cut(job, "caller_gone")
            return
        self.queued.pop(job.request_id, None)
        self._end(job, "caller_gone")
        self.driver.gone(job)

    def _has_lower(self, job: Job) -> bool:
        jobs = (*self.queued.values(), *self.running.values())
        leaving = {name for name, one in self.engines.items() if one.is_leaving}
        return any(
            other.tier > job.tier and not other.outcome and other.engine not in leaving
            for other in jobs
        )

    def _finish(self, job: Job, outcome: str) -> None:
        self.running.pop(job.request_id, None)
        self._end(job, outcome)

    def _end(self, job: Job, outcome: str) -> None:
        job.outcome = outcome
        job.ended_ms = self.now_ms
        self._open -= 1

    def _kick(self, engine: Engine) -> None:
        if engine.name in self._stepping or engine.is_idle or not engine.is_alive:
            return
        for one in engine.admit():
            self._note_cache(one)
        duration_ms = engine.begin_step()
        self._sequence += 1
        stamp = self._stepping[engine.name] = self._sequence
        self.after(duration_ms, lambda: self._step(engine, stamp, duration_ms))

    def _note_cache(self, one: Running) -> None:
        alive = [engine for engine in self.engines.values() if engine.is_alive]
        one.job.cached_tokens = one.cached_tokens
        one.job.oracle_tokens = max(engine.hit_tokens(one.job) for engine in alive)

    def _step(self, engine: Engine, stamp: int, duration_ms: float) -> None:
        if self._stepping.get(engine.name) != stamp:
            return
        del self._stepping[engine.name]
        result = engine.end_step(duration_ms, self.now_ms)
        for one in result.finished:
            one.job.slow_gaps = engine.slow_gaps(one)
            one.job.counted_gaps = engine.counted_gaps(one)
            self._finish(one.job, "whole")
            self.driver.ended(one.job, "whole")
        for one in result.first_tokens:
            one.job.first_token_ms = self.now_ms
            self.driver.first_token(one.job)
            if one.job.is_poison:
                self.kill(engine.name, POISON_RESTART_MS)
                return
        self._kick(engine)

    def _report(self, engine: Engine) -> None:
        report = self._snapshot(engine)
        age_ms = self.rng.uniform(*REPORT_AGE_MS)
        self.after(age_ms, lambda: self._deliver(report))
        self.after(REPORT_EVERY_MS, lambda: self._report(engine))

    def _snapshot(self, engine: Engine) -> LoadReport:
        events = [
            event for event in engine.events if self.rng.random() >= DROPPED_EVENT_SHARE
        ]
        engine.events = []
        return LoadReport(
            name=engine.name,
            is_alive=engine.is_alive,
            is_leaving=engine.is_leaving,
            running=engine.running,
            waiting=len(engine.waiting),
            waiting_tokens=sum(one.prefill_left for one in engine.prefilling),
            taken_ms=self.now_ms,
            events=events,
        )

    def _deliver(self, report: LoadReport) -> None:
        if report.taken_ms >= self.reports[report.name].taken_ms:
            self.reports[report.name] = report
        self.driver.reported(report)

    def _tick(self) -> None:
        self.driver.tick()
        self.after(TICK_MS, self._tick)
