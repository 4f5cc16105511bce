"""Event loop of the benchmark: engines, callers, reports and faults."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush

from .engine import DROPPED_EVENT_SHARE, CacheEvent, Engine, RunningRequest
from .requests import Job

TICK_MS = 10
REPORT_INTERVAL_MS = 1000
REPORT_AGE_MS = (1000, 5000)
DEATH_NOTICE_MS = 5
DRAIN_MS = 40_000
POISON_RESTART_MS = 3000
MIN_RETRY_DELAY_MS = 50


@dataclass(slots=True)
class LoadReport:
    """Load report of an engine, which arrives some seconds late."""

    name: str
    is_alive: bool = True
    is_leaving: bool = False
    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    taken_ms: float = 0.0
    events: list[CacheEvent] = field(default_factory=list)


class Driver:
    """Base of the placement policies under test.

    :ivar simulation: the simulation, set before the first event.
    """

    name = ""

    def __init__(self):
        self.simulation: Simulation

    def start(self) -> None:
        """Prepare for the first arrival."""

    def on_arrival(self, job: Job) -> None:
        """Handle the arrival of a request."""
        raise NotImplementedError

    def on_first_token(self, job: Job) -> None:
        """Handle the first token of a request."""

    def on_ended(self, job: Job, cause: str) -> None:
        """Handle the end of a dispatched request."""

    def on_caller_gone(self, job: Job) -> None:
        """Handle the disconnect of a caller whose request was not dispatched."""

    def on_report(self, report: LoadReport) -> None:
        """Handle a load report."""

    def on_tick(self) -> None:
        """Handle a tick of the clock."""


class Simulation:
    """Simulation of requests, engines and a policy in virtual time.

    :param jobs: requests in order of arrival.
    :param engines: simulated engines.
    :param driver: policy under test.
    :param seed: seed of the random numbers for reports and retries.
    :param retry_share: share of refused requests that are sent again after the
        stated delay.
    """

    def __init__(
        self,
        jobs: list[Job],
        engines: list[Engine],
        driver: Driver,
        *,
        seed: int,
        retry_share: float = 0.0,
    ):
        self.now_ms = 0.0
        self.jobs = jobs
        self.engines = {engine.name: engine for engine in engines}
        self.driver = driver
        self.rng = random.Random(f"simulation {seed}")
        self.retry_share = retry_share
        self.reports = {name: LoadReport(name) for name in self.engines}
        self.running: dict[str, Job] = {}
        self.queued: dict[str, Job] = {}
        self.inversions = 0
        self.deaths = 0
        self.leaving_dispatches = 0
        self.leaving_since_ms: dict[str, float] = {}
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._open_count = len(jobs)
        self._step_ids: dict[str, int] = {}
        driver.simulation = self

    def call_at(self, time_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a time."""
        self._sequence += 1
        heappush(self._heap, (time_ms, self._sequence, callback))

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now_ms + delay_ms, callback)

    def run(self) -> None:
        """Run until all requests end, or ``DRAIN_MS`` after the last arrival."""
        self.driver.start()
        for job in self.jobs:
            self.call_at(job.arrival_ms, lambda job=job: self._arrive(job))
        end_ms = (self.jobs[-1].arrival_ms if self.jobs else 0) + DRAIN_MS
        self.call_at(0, self._tick)
        for engine in self.engines.values():
            offset_ms = self.rng.uniform(0, REPORT_INTERVAL_MS)
            self.call_at(offset_ms, lambda engine=engine: self._send_report(engine))
        while self._heap and self._open_count > 0:
            time_ms, _, callback = heappop(self._heap)
            if time_ms > end_ms:
                break
            self.now_ms = time_ms
            callback()

    # Calls by the policy

    def dispatch(self, job: Job, name: str) -> bool:
        """Send a request to an engine; return whether the engine accepted it."""
        engine = self.engines[name]
        if not engine.is_alive:
            return False
        self.queued.pop(job.request_id, None)
        self.running[job.request_id] = job
        job.engine = name
        job.dispatches += 1
        job.dispatched_ms = self.now_ms
        since_ms = self.leaving_since_ms.get(name)
        if since_ms is not None and self.now_ms > since_ms + 2000:
            self.leaving_dispatches += 1
        engine.submit(job)
        self._schedule_step(engine)
        return True

    def refuse(self, job: Job, retry_after_ms: int, is_shed: bool = True) -> None:
        """Refuse a request that was not executed."""
        if job.outcome:
            return
        self.queued.pop(job.request_id, None)
        if is_shed and self._has_lower_tier(job):
            self.inversions += 1
        job.refused_ms = self.now_ms
        job.retry_after_ms = retry_after_ms
        is_retried = self.rng.random() < self.retry_share and retry_after_ms > 0
        if is_retried and job.retries == 0 and job.dispatches == 0:
            job.retries = 1
            delay_ms = max(MIN_RETRY_DELAY_MS, retry_after_ms)
            self.call_later(delay_ms, lambda: self._retry(job))
            return
        self._end(job, "refused")

    def abort(self, job: Job, cause: str) -> None:
        """Abort a running request.

        :param cause: outcome of the request.
        """
        if job.outcome:
            return
        engine = self.engines[job.engine]
        running = engine.cancel(job)
        if running is None:
            return
        self._finish(job, cause)
        self.driver.on_ended(job, cause)

    # Faults

    def kill(self, name: str, restart_ms: float) -> None:
        """Crash an engine and restart it after ``restart_ms``."""
        engine = self.engines[name]
        if not engine.is_alive:
            return
        self.deaths += 1
        self._step_ids.pop(name, None)
        lost = [request.job for request in engine.crash()]
        for job in lost:
            self._finish(job, "upstream_died")
        self.call_later(DEATH_NOTICE_MS, lambda: self._notify_deaths(lost))
        self.call_later(restart_ms, lambda: self._restart(engine))

    def start_leaving(self, name: str) -> None:
        """Make an engine report that it is leaving."""
        engine = self.engines[name]
        engine.is_leaving = True
        self.leaving_since_ms[name] = self.now_ms
        report = self._build_report(engine)
        self.call_later(1000, lambda: self._deliver(report))

    # Internal events

    def _notify_deaths(self, jobs: list[Job]) -> None:
        for job in jobs:
            self.driver.on_ended(job, "upstream_died")

    def _restart(self, engine: Engine) -> None:
        engine.is_alive = True

    def _retry(self, job: Job) -> None:
        job.arrival_ms = self.now_ms
        self._arrive(job)

    def _arrive(self, job: Job) -> None:
        if job.retries == 0:
            self.call_later(job.gone_after_ms, lambda: self._disconnect_caller(job))
        self.driver.on_arrival(job)

    def _disconnect_caller(self, job: Job) -> None:
        if job.outcome or job.first_token_ms >= 0 or job.retries:
            return
        if job.request_id in self.running:
            self.abort(job, "caller_gone")
            return
        self.queued.pop(job.request_id, None)
        self._end(job, "caller_gone")
        self.driver.on_caller_gone(job)

    def _has_lower_tier(self, job: Job) -> bool:
        jobs = (*self.queued.values(), *self.running.values())
        leaving = {name for name, engine in self.engines.items() if engine.is_leaving}
        return any(
            other_job.tier > job.tier
            and not other_job.outcome
            and other_job.engine not in leaving
            for other_job in jobs
        )

    def _finish(self, job: Job, outcome: str) -> None:
        self.running.pop(job.request_id, None)
        self._end(job, outcome)

    def _end(self, job: Job, outcome: str) -> None:
        job.outcome = outcome
        job.ended_ms = self.now_ms
        self._open_count -= 1

    def _schedule_step(self, engine: Engine) -> None:
        if engine.name in self._step_ids or engine.is_idle or not engine.is_alive:
            return
        for request in engine.admit():
            self._record_cache_hits(request)
        duration_ms = engine.begin_step()
        self._sequence += 1
        step_id = self._step_ids[engine.name] = self._sequence
        self.call_later(duration_ms, lambda: self._step(engine, step_id, duration_ms))

    def _record_cache_hits(self, request: RunningRequest) -> None:
        alive = [engine for engine in self.engines.values() if engine.is_alive]
        request.job.cached_tokens = request.cached_tokens
        request.job.oracle_tokens = max(
            engine.hit_tokens(request.job) for engine in alive
        )

    def _step(self, engine: Engine, step_id: int, duration_ms: float) -> None:
        if self._step_ids.get(engine.name) != step_id:
            return
        del self._step_ids[engine.name]
        result = engine.end_step(duration_ms, self.now_ms)
        for request in result.finished:
            request.job.slow_gaps = engine.slow_gaps(request)
            request.job.counted_gaps = engine.counted_gaps(request)
            self._finish(request.job, "whole")
            self.driver.on_ended(request.job, "whole")
        for request in result.first_tokens:
            request.job.first_token_ms = self.now_ms
            self.driver.on_first_token(request.job)
            if request.job.is_poison:
                self.kill(engine.name, POISON_RESTART_MS)
                return
        self._schedule_step(engine)

    def _send_report(self, engine: Engine) -> None:
        report = self._build_report(engine)
        age_ms = self.rng.uniform(*REPORT_AGE_MS)
        self.call_later(age_ms, lambda: self._deliver(report))
        self.call_later(REPORT_INTERVAL_MS, lambda: self._send_report(engine))

    def _build_report(self, engine: Engine) -> LoadReport:
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
            waiting_tokens=sum(
                request.remaining_prefill_tokens for request in engine.prefilling
            ),
            taken_ms=self.now_ms,
            events=events,
        )

    def _deliver(self, report: LoadReport) -> None:
        if report.taken_ms >= self.reports[report.name].taken_ms:
            self.reports[report.name] = report
        self.driver.on_report(report)

    def _tick(self) -> None:
        self.driver.on_tick()
        self.call_later(TICK_MS, self._tick)
