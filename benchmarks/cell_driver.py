"""Drives the scheduler of a cell as entry hosts do."""

from dataclasses import dataclass, field, replace
from typing import Any

from peridotfront.core.actions import Log, Received, Send, Tick
from peridotfront.core.fleet import (
    AccountSpec,
    Fleet,
    Policy,
    UpstreamKind,
    UpstreamSpec,
)
from peridotfront.core.messages import (
    CancelSlotRequest,
    Grant,
    HeldSlot,
    Preempt,
    Release,
    ReleaseCause,
    SlotRefusal,
    SlotRequest,
    UpstreamReport,
)
from peridotfront.core.scheduler import CellScheduler
from peridotfront.core.scheduler_events import HostLost
from peridotfront.core.verdicts import Reason

from .engine import BLOCK_TOKENS, Engine
from .requests import Job
from .simulation import Driver, LoadReport
from .workloads import ACCOUNTS

NETWORK_MS = 1.0
HELD_EVERY_MS = 1000
MODEL = "model"
FINAL_REASONS = (Reason.POISON, Reason.TOO_LARGE)
CAUSES = {
    "whole": ReleaseCause.COMPLETED,
    "caller_gone": ReleaseCause.CALLER_GONE,
    "preempted": ReleaseCause.PREEMPTED,
    "upstream_died": ReleaseCause.UPSTREAM_DIED,
}


@dataclass(frozen=True, slots=True)
class Variant:
    """Describes a version of our policy.

    :param knobs: values for ``Policy``.
    :param slots_factor: the inventory's slots over the good ones; engines are
        listed with more slots than keep the tokens in time.
    """

    name: str = "peridotfront"
    knobs: tuple[tuple[str, Any], ...] = ()
    has_tiers: bool = True
    has_prefixes: bool = True
    slots_factor: float = 1.5
    cells: int = 1

    @property
    def policy(self) -> Policy:
        """Return the knobs in force."""
        return replace(Policy(prefix_block_tokens=BLOCK_TOKENS), **dict(self.knobs))


@dataclass(slots=True, eq=False)
class Cell:
    """Is one scheduler and the data centre it serves."""

    data_centre: str
    scheduler: CellScheduler
    hosts: set[str] = field(default_factory=set)


class CellDriver(Driver):
    """Runs one scheduler for each cell; refused wants try the next cell.

    :param variant: the version of the policy.
    """

    def __init__(self, variant: Variant):
        super().__init__()
        self.name = variant.name
        self.variant = variant
        self.cells: list[Cell] = []
        self.is_cut = False
        self.late_answers_ms: list[float] = []
        self.preempted = 0
        self._tried: dict[str, set[int]] = {}
        self._at_cell: dict[str, int] = {}
        self._jobs: dict[str, Job] = {}

    def start(self) -> None:
        """Build the schedulers from the inventory."""
        self.fleet = self._fleet()
        for index in range(self.variant.cells):
            centre = f"dc{index}"
            name = f"{centre}/engines"
            self.cells.append(Cell(centre, CellScheduler(name, self.fleet)))
        self._jobs = {job.request_id: job for job in self.simulation.jobs}

    def _fleet(self) -> Fleet:
        engines = enumerate(self.simulation.engines.values())
        specs = tuple(self._spec(index, engine) for index, engine in engines)
        accounts = tuple(AccountSpec(name, "") for name in ACCOUNTS)
        return Fleet(1, specs, accounts, (), self.variant.policy)

    def _spec(self, index: int, engine: Engine) -> UpstreamSpec:
        kind = engine.kind
        return UpstreamSpec(
            name=engine.name,
            kind=UpstreamKind.ENGINE,
            data_centre=f"dc{index % self.variant.cells}",
            address="",
            models=(MODEL,),
            kv_capacity_tokens=kind.kv_tokens,
            max_slots=int(kind.good_slots * self.variant.slots_factor),
        )

    # From the simulation

    def arrive(self, job: Job) -> None:
        """Send a want to the cell of the entry host."""
        self._tried[job.request_id] = set()
        self._want(job, self._home(job))

    def first_token(self, job: Job) -> None:
        """Tell the scheduler that the prefill is done."""
        self._hold(job)

    def ended(self, job: Job, cause: str) -> None:
        """Give the slot back."""
        self._release(job, CAUSES[cause])

    def gone(self, job: Job) -> None:
        """Withdraw the want."""
        cell = self._at_cell.get(job.request_id)
        if cell is not None:
            message = CancelSlotRequest(job.request_id, self.cells[cell].scheduler.cell)
            self._to_cell(cell, job.host, message)

    def tick(self) -> None:
        """Let every scheduler see the time."""
        for index in range(len(self.cells)):
            self._step(index, Tick())

    def reported(self, report: LoadReport) -> None:
        """Pass a load report and its cache events on."""
        spec = next(one for one in self.fleet.upstreams if one.name == report.name)
        cell = int(spec.data_centre[2:])
        for event in report.events or [None]:
            message = UpstreamReport(
                upstream=report.name,
                cell=spec.cell,
                is_alive=report.is_alive,
                is_leaving=report.is_leaving,
                running=report.running,
                queued_prefill_tokens=report.waiting_tokens,
                used_kv_tokens=0,
                capacity_kv_tokens=0,
                cache_sequence=event.sequence if event else -1,
                cached_hashes=event.cached if event else (),
                evicted_hashes=event.evicted if event else (),
            )
            self._step(cell, Received("entry-0", 1, message))

    # Faults

    def hand_over(self) -> None:
        """Replace the schedulers by blank ones; hosts tell what they hold."""
        for index, cell in enumerate(self.cells):
            cell.scheduler = CellScheduler(cell.scheduler.cell, self.fleet)
            for job in list(self.simulation.running.values()):
                if self._at_cell.get(job.request_id) == index:
                    self._hold(job)
            for job in list(self.simulation.queued.values()):
                if self._at_cell.get(job.request_id) == index:
                    self._want(job, index)

    def lose_host(self, host: str) -> None:
        """Let an entry host die; its requests are lost."""
        jobs = (*self.simulation.queued.values(), *self.simulation.running.values())
        for job in [one for one in jobs if one.host == host]:
            self.simulation.cut(job, "caller_gone")
        for index in range(len(self.cells)):
            self._step(index, HostLost(host))

    # Messages

    def _home(self, job: Job) -> int:
        return int(job.host.rpartition("-")[2]) % len(self.cells)

    def _tier(self, job: Job) -> int:
        return job.tier if self.variant.has_tiers else 1

    def _want_message(self, job: Job, cell: int) -> SlotRequest:
        waited_ms = self.simulation.now_ms - job.arrival_ms if not job.returns else 0
        return SlotRequest(
            request_id=job.request_id,
            cell=self.cells[cell].scheduler.cell,
            model=MODEL,
            tier=self._tier(job),
            client_account=job.account,
            prompt_tokens=job.prompt_tokens,
            output_tokens=job.output_tokens,
            prefix_hashes=job.prefix_hashes if self.variant.has_prefixes else (),
            fingerprint=job.fingerprint,
            deadline_ms=max(0, int(job.deadline_ms - waited_ms)),
        )

    def _want(self, job: Job, cell: int) -> None:
        self._tried.setdefault(job.request_id, set()).add(cell)
        self._at_cell[job.request_id] = cell
        message = self._want_message(job, cell)
        self.simulation.after(NETWORK_MS, lambda: self._want_arrives(job, message))

    def _want_arrives(self, job: Job, message: SlotRequest) -> None:
        if job.outcome:
            return
        self.simulation.queued[job.request_id] = job
        cell = self._at_cell[job.request_id]
        self._step(cell, Received(job.host, 1, message))

    def _to_cell(self, cell: int, host: str, message: Any) -> None:
        event = Received(host, 1, message)
        self.simulation.after(NETWORK_MS, lambda: self._step(cell, event))

    def _step(self, cell: int, event: Any) -> None:
        scheduler = self.cells[cell].scheduler
        for action in scheduler.handle(event, int(self.simulation.now_ms)):
            if isinstance(action, Send):
                self._carry_out(action, cell)
            else:
                assert isinstance(action, Log)

    def _carry_out(self, action: Send, cell: int) -> None:
        message = action.message
        job = self._jobs[message.request_id]
        if isinstance(message, SlotRefusal):
            self._refused(job, message)
        elif isinstance(message, Preempt):
            call = lambda: self.simulation.cut(job, "preempted")  # noqa: E731
            self.preempted += 1
            self.simulation.after(NETWORK_MS, call)
        elif isinstance(message, Grant):
            self.simulation.queued.pop(job.request_id, None)
            self.simulation.running[job.request_id] = job
            call = lambda: self._granted(job, message, cell)  # noqa: E731
            self.simulation.after(NETWORK_MS, call)

    def _refused(self, job: Job, message: SlotRefusal) -> None:
        self.simulation.queued.pop(job.request_id, None)
        job.reason = message.reason.value
        late_ms = self.simulation.now_ms - job.arrival_ms - job.deadline_ms
        if not job.returns:
            self.late_answers_ms.append(late_ms)
        is_final = message.reason in FINAL_REASONS
        others = set(range(len(self.cells))) - self._tried[job.request_id]
        if others and not is_final and not self.is_cut:
            self._want(job, min(others))
            return
        retry_ms = 0 if is_final else message.retry_after_ms
        self.simulation.refuse(job, retry_ms, is_shed=not is_final)

    def _granted(self, job: Job, grant: Grant, cell: int) -> None:
        if job.returns:
            job.was_admitted_on_return = True
        if job.outcome:
            self._release(job, ReleaseCause.NOT_SENT, grant.upstream)
            return
        if job.dispatches:
            return
        if self.simulation.dispatch(job, grant.upstream):
            self.simulation.after(HELD_EVERY_MS, lambda: self._hold_on(job))
            return
        self.simulation.running.pop(job.request_id, None)
        self._release(job, ReleaseCause.UPSTREAM_ERROR, grant.upstream)
        self._want(job, cell)

    def _hold_on(self, job: Job) -> None:
        if job.outcome:
            return
        self._hold(job)
        self.simulation.after(HELD_EVERY_MS, lambda: self._hold_on(job))

    def _hold(self, job: Job) -> None:
        cell = self._at_cell[job.request_id]
        if job.engine == "":
            return
        engine = self.simulation.engines[job.engine]
        running = engine.decoding.get(job.request_id)
        produced = engine.produced(running) if running else 0
        slow = engine.counted_gaps(running) if running else 0
        held = HeldSlot(self._want_message(job, cell), job.engine, produced, slow)
        self._to_cell(cell, job.host, held)

    def _release(self, job: Job, cause: ReleaseCause, engine: str = "") -> None:
        was_sent = engine == ""
        first_ms = -1
        if job.first_token_ms >= 0 and was_sent:
            first_ms = int(job.first_token_ms - job.dispatched_ms)
        release = Release(
            request_id=job.request_id,
            cell=self.cells[self._at_cell[job.request_id]].scheduler.cell,
            upstream=engine or job.engine,
            cause=cause,
            prompt_tokens=job.prompt_tokens if was_sent else 0,
            cached_tokens=job.cached_tokens if was_sent else 0,
            produced_tokens=job.output_tokens if job.outcome == "whole" else 0,
            first_token_ms=first_ms,
            duration_ms=int(self.simulation.now_ms - job.dispatched_ms),
            slow_tokens=job.counted_gaps,
        )
        self._to_cell(self._at_cell[job.request_id], job.host, release)
