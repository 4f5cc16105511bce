"""Driver that runs the schedulers of cells in place of the entry hosts."""

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
HELD_SLOT_INTERVAL_MS = 1000
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
    """Variant of our policy.

    :param policy_overrides: fields of ``Policy`` that differ from its defaults.
    :param slots_factor: ratio of the configured slots to the engine's good slots;
        engines are configured with more slots than keep the time between tokens low.
    """

    name: str = "peridotfront"
    policy_overrides: tuple[tuple[str, Any], ...] = ()
    has_tiers: bool = True
    has_prefixes: bool = True
    slots_factor: float = 1.5
    cells: int = 1

    @property
    def policy(self) -> Policy:
        """Return the policy with the overrides."""
        return replace(
            Policy(prefix_block_tokens=BLOCK_TOKENS), **dict(self.policy_overrides)
        )


@dataclass(slots=True, eq=False)
class Cell:
    """Scheduler and the data centre that it serves."""

    data_centre: str
    scheduler: CellScheduler
    hosts: set[str] = field(default_factory=set)


class CellDriver(Driver):
    """Driver with a scheduler for each cell; refused slot requests try the next cell.

    :param variant: variant of the policy.
    """

    def __init__(self, variant: Variant):
        super().__init__()
        self.name = variant.name
        self.variant = variant
        self.cells: list[Cell] = []
        self.is_partitioned = False
        self.refusal_lateness_ms: list[float] = []
        self.preempted = 0
        self._tried_cells: dict[str, set[int]] = {}
        self._cell_of_request: dict[str, int] = {}
        self._jobs: dict[str, Job] = {}

    def start(self) -> None:
        """Create the schedulers from the configured engines."""
        self.fleet = self._fleet()
        for index in range(self.variant.cells):
            data_centre = f"dc{index}"
            name = f"{data_centre}/engines"
            self.cells.append(Cell(data_centre, CellScheduler(name, self.fleet)))
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

    # Calls by the simulation

    def on_arrival(self, job: Job) -> None:
        """Send a slot request to the cell of the entry host."""
        self._tried_cells[job.request_id] = set()
        self._send_slot_request(job, self._home_cell(job))

    def on_first_token(self, job: Job) -> None:
        """Report to the scheduler that the prefill is finished."""
        self._report_held_slot(job)

    def on_ended(self, job: Job, cause: str) -> None:
        """Release the slot."""
        self._release(job, CAUSES[cause])

    def on_caller_gone(self, job: Job) -> None:
        """Cancel the slot request."""
        cell = self._cell_of_request.get(job.request_id)
        if cell is not None:
            message = CancelSlotRequest(job.request_id, self.cells[cell].scheduler.cell)
            self._send_to_cell(cell, job.host, message)

    def on_tick(self) -> None:
        """Send a tick to every scheduler."""
        for index in range(len(self.cells)):
            self._step(index, Tick())

    def on_report(self, report: LoadReport) -> None:
        """Forward a load report and its cache events to the scheduler."""
        spec = next(spec for spec in self.fleet.upstreams if spec.name == report.name)
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
        """Replace the schedulers by empty ones.

        The hosts report their held slots and repeat their slot requests.
        """
        for index, cell in enumerate(self.cells):
            cell.scheduler = CellScheduler(cell.scheduler.cell, self.fleet)
            for job in list(self.simulation.running.values()):
                if self._cell_of_request.get(job.request_id) == index:
                    self._report_held_slot(job)
            for job in list(self.simulation.queued.values()):
                if self._cell_of_request.get(job.request_id) == index:
                    self._send_slot_request(job, index)

    def lose_host(self, host: str) -> None:
        """Simulate the crash of an entry host, which loses its requests."""
        jobs = (*self.simulation.queued.values(), *self.simulation.running.values())
        for job in [job for job in jobs if job.host == host]:
            self.simulation.abort(job, "caller_gone")
        for index in range(len(self.cells)):
            self._step(index, HostLost(host))

    # Messages

    def _home_cell(self, job: Job) -> int:
        return int(job.host.rpartition("-")[2]) % len(self.cells)

    def _tier(self, job: Job) -> int:
        return job.tier if self.variant.has_tiers else 1

    def _build_slot_request(self, job: Job, cell: int) -> SlotRequest:
        waited_ms = self.simulation.now_ms - job.arrival_ms if not job.retries else 0
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

    def _send_slot_request(self, job: Job, cell: int) -> None:
        self._tried_cells.setdefault(job.request_id, set()).add(cell)
        self._cell_of_request[job.request_id] = cell
        message = self._build_slot_request(job, cell)
        self.simulation.call_later(
            NETWORK_MS, lambda: self._receive_slot_request(job, message)
        )

    def _receive_slot_request(self, job: Job, message: SlotRequest) -> None:
        if job.outcome:
            return
        self.simulation.queued[job.request_id] = job
        cell = self._cell_of_request[job.request_id]
        self._step(cell, Received(job.host, 1, message))

    def _send_to_cell(self, cell: int, host: str, message: Any) -> None:
        event = Received(host, 1, message)
        self.simulation.call_later(NETWORK_MS, lambda: self._step(cell, event))

    def _step(self, cell: int, event: Any) -> None:
        scheduler = self.cells[cell].scheduler
        for action in scheduler.handle(event, int(self.simulation.now_ms)):
            if isinstance(action, Send):
                self._handle_send(action, cell)
            else:
                assert isinstance(action, Log)

    def _handle_send(self, action: Send, cell: int) -> None:
        message = action.message
        job = self._jobs[message.request_id]
        if isinstance(message, SlotRefusal):
            self._handle_refusal(job, message)
        elif isinstance(message, Preempt):
            callback = lambda: self.simulation.abort(job, "preempted")  # noqa: E731
            self.preempted += 1
            self.simulation.call_later(NETWORK_MS, callback)
        elif isinstance(message, Grant):
            self.simulation.queued.pop(job.request_id, None)
            self.simulation.running[job.request_id] = job
            callback = lambda: self._handle_grant(job, message, cell)  # noqa: E731
            self.simulation.call_later(NETWORK_MS, callback)

    def _handle_refusal(self, job: Job, message: SlotRefusal) -> None:
        self.simulation.queued.pop(job.request_id, None)
        job.reason = message.reason.value
        late_ms = self.simulation.now_ms - job.arrival_ms - job.deadline_ms
        if not job.retries:
            self.refusal_lateness_ms.append(late_ms)
        is_final = message.reason in FINAL_REASONS
        untried_cells = set(range(len(self.cells))) - self._tried_cells[job.request_id]
        if untried_cells and not is_final and not self.is_partitioned:
            self._send_slot_request(job, min(untried_cells))
            return
        retry_after_ms = 0 if is_final else message.retry_after_ms
        self.simulation.refuse(job, retry_after_ms, is_shed=not is_final)

    def _handle_grant(self, job: Job, grant: Grant, cell: int) -> None:
        if job.retries:
            job.is_admitted_on_retry = True
        if job.outcome:
            self._release(job, ReleaseCause.NOT_SENT, grant.upstream)
            return
        if job.dispatches:
            return
        if self.simulation.dispatch(job, grant.upstream):
            self.simulation.call_later(
                HELD_SLOT_INTERVAL_MS, lambda: self._keep_reporting_held_slot(job)
            )
            return
        self.simulation.running.pop(job.request_id, None)
        self._release(job, ReleaseCause.UPSTREAM_ERROR, grant.upstream)
        self._send_slot_request(job, cell)

    def _keep_reporting_held_slot(self, job: Job) -> None:
        if job.outcome:
            return
        self._report_held_slot(job)
        self.simulation.call_later(
            HELD_SLOT_INTERVAL_MS, lambda: self._keep_reporting_held_slot(job)
        )

    def _report_held_slot(self, job: Job) -> None:
        cell = self._cell_of_request[job.request_id]
        if job.engine == "":
            return
        engine = self.simulation.engines[job.engine]
        running = engine.decoding.get(job.request_id)
        produced = engine.produced(running) if running else 0
        slow = engine.counted_gaps(running) if running else 0
        held_slot = HeldSlot(
            self._build_slot_request(job, cell), job.engine, produced, slow
        )
        self._send_to_cell(cell, job.host, held_slot)

    def _release(self, job: Job, cause: ReleaseCause, engine: str = "") -> None:
        was_sent = engine == ""
        first_ms = -1
        if job.first_token_ms >= 0 and was_sent:
            first_ms = int(job.first_token_ms - job.dispatched_ms)
        release = Release(
            request_id=job.request_id,
            cell=self.cells[self._cell_of_request[job.request_id]].scheduler.cell,
            upstream=engine or job.engine,
            cause=cause,
            prompt_tokens=job.prompt_tokens if was_sent else 0,
            cached_tokens=job.cached_tokens if was_sent else 0,
            produced_tokens=job.output_tokens if job.outcome == "whole" else 0,
            first_token_ms=first_ms,
            duration_ms=int(self.simulation.now_ms - job.dispatched_ms),
            slow_tokens=job.counted_gaps,
        )
        self._send_to_cell(self._cell_of_request[job.request_id], job.host, release)
