"""Role of an entry host that schedules cells itself.

The live entry hosts divide the cells among themselves by rendezvous hashing. Each host
dispatches the requests of its callers, and claims their keys at the control group.
"""

import hashlib
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from .actions import Log, Received, Send, Tick
from .claim_client import (
    AcquireClaim,
    ClaimClient,
    ClaimResolved,
    ClaimUnresolved,
    KeyLookupFailed,
    KeyLookupResult,
    LookUpKey,
    OutcomeAcknowledged,
    ReportOutcome,
)
from .config_follower import ConfigFollower
from .dispatcher import Dispatcher
from .dispatcher_events import (
    CallerDisconnected,
    DispatchEnded,
    DispatchProgress,
    FollowedAnswerEnded,
    RequestArrived,
)
from .fleet import Fleet, UpstreamKind, UpstreamSpec
from .host_monitor import HostMonitor, LiveHostsChanged
from .host_reach import HostReach
from .messages import (
    AnswerChunk,
    AttachRequest,
    CancelSlotRequest,
    ClaimReply,
    ConfigQuery,
    ConfigUpdate,
    Grant,
    Heartbeat,
    HeldSlot,
    KeyReply,
    OutcomeAck,
    Preempt,
    Release,
    ReleaseCause,
    SlotRefusal,
    SlotRequest,
    StrikeReport,
    StrikeUpdate,
    UpstreamReport,
    proto_name_of,
)
from .requests import Request
from .scheduler import CellScheduler
from .scheduler_events import FleetChanged, HostLost, StrikesChanged
from .single_dispatch import dispatchmethod

SCHEDULER_MESSAGES = (SlotRequest, CancelSlotRequest, HeldSlot, Release, UpstreamReport)
DISPATCHER_MESSAGES = (Grant, SlotRefusal, Preempt)
CLAIM_MESSAGES = (ClaimReply, KeyReply, OutcomeAck)
CONFIG_MESSAGES = (ConfigUpdate, ConfigQuery)
ANSWER_MESSAGES = (AttachRequest, AnswerChunk)


@dataclass(frozen=True, slots=True)
class AnswerMessageReceived:
    """Action: handle a message about an answer, whose bytes the program holds."""

    sender: str
    message: Any


@dataclass(frozen=True, slots=True)
class BeginLeaving:
    """Event: the local host begins to leave the deployment."""


@dataclass(frozen=True, slots=True)
class EntryDump:
    """State dump of an entry host for operators."""

    host: str
    data_centre: str
    is_leaving: bool
    config_version: int
    hosts: tuple
    requests: tuple
    cells: tuple


@dataclass(frozen=True, slots=True)
class Target:
    """Model or plain service that a request asks for."""

    kind: UpstreamKind
    name: str


def choose_by_rendezvous(name: str, hosts: list[str]) -> str:
    """Return the host that all hosts with the same list choose for a name.

    :param hosts: candidates, in any order.
    :return: the candidate with the highest rendezvous hash; an empty string if there
        are no candidates.
    """
    if not hosts:
        return ""
    return max(hosts, key=lambda host: _rendezvous_weight(name, host))


def _rendezvous_weight(name: str, host: str) -> bytes:
    return hashlib.blake2b(f"{name}|{host}".encode(), digest_size=8).digest()


class EntryRole:
    """Entry host composed of host monitor, schedulers, claim client and dispatcher.

    Messages to the local host are not sent; they are handled in the same turn.

    :param host_monitor: monitor of the live hosts.
    :param follower: follower of the active configuration.
    :param claim_client: client for claims at the control group.
    :param incarnation: incarnation of the local host, new for each process start.
    """

    def __init__(
        self,
        host_monitor: HostMonitor,
        follower: ConfigFollower,
        claim_client: ClaimClient,
        incarnation: int,
    ):
        self.host = host_monitor.name
        self.data_centre = host_monitor.data_centre
        self.incarnation = incarnation
        self.host_monitor = host_monitor
        self.follower = follower
        self.claim_client = claim_client
        self.fleet = Fleet()
        self.schedulers: dict[str, CellScheduler] = {}
        self._reach = HostReach(has_relays=False)
        self.dispatcher = Dispatcher(
            self.host, incarnation, self.choose_cell, self.scheduler_of
        )
        self._cells: frozenset[str] = frozenset()
        self._cells_of: dict[Target, tuple[str, ...]] = {}
        self._local_cells_of: dict[Target, tuple[str, ...]] = {}
        self._scheduler_of: dict[str, str] = {}
        self._entry_hosts: dict[str, list[str]] = {}
        self._has_known_leader = True

    def handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        """Handle an event and yield the actions for the program.

        :param event: a tick, a received message, or an event of the dispatcher.
        :param now_ms: monotonic clock of this process.
        """
        pending = deque(self._handle(event, now_ms))
        while pending:
            action = pending.popleft()
            is_local = isinstance(action, Send) and action.to_host == self.host
            if is_local:
                received = Received(self.host, self.incarnation, action.message)
                pending.extend(self._handle(received, now_ms))
            elif isinstance(action, INTERNAL_ACTIONS):
                pending.extend(self._handle(action, now_ms))
            else:
                yield action

    @property
    def is_busy(self) -> bool:
        """Return whether requests are active here or queued in a local scheduler."""
        is_waiting = any(scheduler.has_queued for scheduler in self.schedulers.values())
        return is_waiting or bool(self.dispatcher.active_requests)

    def scheduler_of(self, cell: str) -> str:
        """Return the host that schedules a cell, preferably one of its data centre.

        It is an empty string if all live entry hosts are leaving.
        """
        scheduler = self._scheduler_of.get(cell)
        if scheduler is None:
            data_centre = cell.partition("/")[0]
            hosts = self._hosts_in(data_centre) or self._hosts_in("")
            scheduler = choose_by_rendezvous(cell, hosts)
            self._scheduler_of[cell] = scheduler
        return scheduler

    def _hosts_in(self, data_centre: str) -> list[str]:
        hosts = self._entry_hosts.get(data_centre)
        if hosts is None:
            hosts = self.host_monitor.entry_hosts(data_centre)
            self._entry_hosts[data_centre] = hosts
        return hosts

    def choose_cell(self, request: Request, excluded: frozenset[str]) -> str:
        """Return the cell to ask next; empty if all suitable cells are excluded.

        :param excluded: cells that refused the request or did not answer in time.
        """
        target = Target(request.kind, request.service or request.model)
        for cells in (self._local_cells_of, self._cells_of):
            candidates = cells.get(target, ())
            if excluded:
                candidates = [cell for cell in candidates if cell not in excluded]
            if candidates:
                # Requests with the same first block go to the cell that has it cached.
                first_block = request.prefix_hashes[:1] or (request.fingerprint,)
                return candidates[first_block[0] % len(candidates)]
        return ""

    def dump(self) -> EntryDump:
        """Return the state dump for operators."""
        return EntryDump(
            host=self.host,
            data_centre=self.data_centre,
            is_leaving=self.host_monitor.is_leaving,
            config_version=self.fleet.version,
            hosts=tuple(self.host_monitor.hosts.values()),
            requests=tuple(self.dispatcher.active_requests.values()),
            cells=tuple(scheduler.dump() for scheduler in self.schedulers.values()),
        )

    @dispatchmethod
    def _handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        raise TypeError(f"unexpected event {event!r}")

    @_handle.register
    def _(self, event: Tick, now_ms: int) -> Iterator[Any]:
        self.host_monitor.leader = self.claim_client.leader(now_ms)
        yield from self.host_monitor.handle(event, now_ms)
        yield from self.follower.handle(event, now_ms)
        yield from self.claim_client.handle(event, now_ms)
        yield from self._check_quorum(now_ms)
        for scheduler in list(self.schedulers.values()):
            yield from scheduler.handle(event, now_ms)
        yield from self.dispatcher.handle(event, now_ms)

    @_handle.register
    def _(self, event: Received, now_ms: int) -> Iterator[Any]:
        message = event.message
        if isinstance(message, SCHEDULER_MESSAGES):
            yield from self._pass_to_scheduler(event, now_ms)
        elif isinstance(message, DISPATCHER_MESSAGES):
            yield from self.dispatcher.handle(event, now_ms)
        elif isinstance(message, CLAIM_MESSAGES):
            yield from self.claim_client.handle(event, now_ms)
        elif isinstance(message, ANSWER_MESSAGES):
            yield AnswerMessageReceived(event.sender, message)
        else:
            yield from self._handle_state_message(event, now_ms)

    def _check_quorum(self, now_ms: int) -> Iterator[Log]:
        has_known_leader = self.claim_client.has_known_leader(now_ms)
        if has_known_leader == self._has_known_leader:
            return
        self._has_known_leader = has_known_leader
        if has_known_leader:
            yield Log("quorum_found", (("leader", self.claim_client.leader(now_ms)),))
        else:
            yield Log("quorum_lost")

    def _handle_state_message(self, event: Received, now_ms: int) -> Iterator[Any]:
        message = event.message
        if isinstance(message, Heartbeat):
            yield from self.host_monitor.handle(event, now_ms)
            yield from self.follower.handle(event, now_ms)
            yield from self.claim_client.handle(event, now_ms)
        elif isinstance(message, CONFIG_MESSAGES):
            yield from self.follower.handle(event, now_ms)
        elif isinstance(message, StrikeUpdate):
            changed = StrikesChanged(message.fingerprint, message.strikes)
            yield from self._pass_to_all_schedulers(changed, now_ms)
        else:
            yield Log("message_unexpected", (("kind", proto_name_of(type(message))),))

    @_handle.register(RequestArrived)
    @_handle.register(CallerDisconnected)
    @_handle.register(DispatchProgress)
    @_handle.register(FollowedAnswerEnded)
    @_handle.register(ClaimResolved)
    @_handle.register(ClaimUnresolved)
    @_handle.register(KeyLookupResult)
    @_handle.register(KeyLookupFailed)
    def _(self, event: Any, now_ms: int) -> Iterator[Any]:
        yield from self.dispatcher.handle(event, now_ms)

    @_handle.register
    def _(self, event: DispatchEnded, now_ms: int) -> Iterator[Any]:
        active = self.dispatcher.active_requests.get(event.request_id)
        if active is not None and event.cause is ReleaseCause.UPSTREAM_DIED:
            report = StrikeReport(
                upstream=active.upstream,
                fingerprints=(active.request.fingerprint,),
                report_id=f"{self.host}/{event.request_id}",
            )
            leader = self.claim_client.leader(now_ms)
            if leader:
                yield Send(leader, report)
        yield from self.dispatcher.handle(event, now_ms)

    @_handle.register(LookUpKey)
    @_handle.register(AcquireClaim)
    @_handle.register(ReportOutcome)
    def _(self, event: Any, now_ms: int) -> Iterator[Any]:
        yield from self.claim_client.handle(event, now_ms)

    @_handle.register
    def _(self, event: OutcomeAcknowledged, now_ms: int) -> Iterator[Any]:
        yield Log("outcome_recorded", (("key", event.key), ("epoch", event.epoch)))

    @_handle.register
    def _(self, event: HostLost, now_ms: int) -> Iterator[Any]:
        yield Log("peer_silent", (("peer", event.host),))
        yield from self._pass_to_all_schedulers(event, now_ms)
        yield from self.dispatcher.handle_lost_host(event.host, now_ms)

    @_handle.register
    def _(self, event: LiveHostsChanged, now_ms: int) -> Iterator[Any]:
        yield from self._update_schedulers(now_ms)

    @_handle.register
    def _(self, event: BeginLeaving, now_ms: int) -> Iterator[Any]:
        self.host_monitor.is_leaving = True
        self.host_monitor.request_heartbeat()
        yield from self._update_schedulers(now_ms)

    @_handle.register
    def _(self, event: FleetChanged, now_ms: int) -> Iterator[Any]:
        self.fleet = event.fleet
        self.host_monitor.config_version = event.fleet.version
        self.host_monitor.request_heartbeat()
        self._cells = frozenset([upstream.cell for upstream in event.fleet.upstreams])
        self._index_cells(event.fleet)
        yield from self._update_schedulers(now_ms)
        yield from self._pass_to_all_schedulers(event, now_ms)

    def _index_cells(self, fleet: Fleet) -> None:
        cells_of: dict[Target, dict[str, None]] = {}
        for upstream in fleet.upstreams:
            for target in _targets(upstream):
                cells_of.setdefault(target, {})[upstream.cell] = None
        prefix = f"{self.data_centre}/"
        self._cells_of = {target: tuple(cells) for target, cells in cells_of.items()}
        self._local_cells_of = {
            target: tuple([cell for cell in cells if cell.startswith(prefix)])
            for target, cells in cells_of.items()
        }

    def _update_schedulers(self, now_ms: int) -> Iterator[Any]:
        self._scheduler_of.clear()
        self._entry_hosts.clear()
        self._update_reach()
        for cell in self._cells:
            is_scheduled_here = self.scheduler_of(cell) == self.host
            if is_scheduled_here and cell not in self.schedulers:
                self.schedulers[cell] = CellScheduler(
                    cell, self.fleet, reach=self._reach
                )
                yield Log("scheduler_started", (("cell", cell),))
            elif not is_scheduled_here and cell in self.schedulers:
                del self.schedulers[cell]
                yield Log("scheduler_stopped", (("cell", cell),))
        for cell in [cell for cell in self.schedulers if cell not in self._cells]:
            del self.schedulers[cell]
        yield from self.dispatcher.handle_changed_schedulers(now_ms)

    def _pass_to_scheduler(self, event: Received, now_ms: int) -> Iterator[Any]:
        message = event.message
        cell = (
            message.slot_request.cell if isinstance(message, HeldSlot) else message.cell
        )
        scheduler = self.schedulers.get(cell)
        if scheduler is not None:
            yield from scheduler.handle(event, now_ms)
            yield from self._apply_reach(now_ms)

    def _update_reach(self) -> None:
        """Let the hosts that send requests be those whose reports are weighed."""
        live = self.host_monitor.entry_hosts()
        for host in self._reach.hosts - set(live):
            self._reach.leave(host)
        for host in live:
            if host not in self._reach.hosts:
                self._reach.join(host, "")

    def _apply_reach(self, now_ms: int) -> Iterator[Any]:
        """Use the upstreams again that only hosts without links had reported."""
        yield from self._reach.take_logs()
        for upstream in self._reach.take_reinstated():
            for scheduler in list(self.schedulers.values()):
                yield from scheduler.reinstate(upstream, now_ms)

    def _pass_to_all_schedulers(self, event: Any, now_ms: int) -> Iterator[Any]:
        for scheduler in list(self.schedulers.values()):
            yield from scheduler.handle(event, now_ms)


INTERNAL_ACTIONS = (
    HostLost,
    LiveHostsChanged,
    ClaimResolved,
    ClaimUnresolved,
    KeyLookupResult,
    KeyLookupFailed,
    OutcomeAcknowledged,
    LookUpKey,
    ReportOutcome,
    AcquireClaim,
)


def _targets(upstream: UpstreamSpec) -> Iterator[Target]:
    if upstream.is_leaving:
        return
    if upstream.kind is UpstreamKind.SERVICE:
        yield Target(upstream.kind, upstream.service)
    for model in upstream.models:
        yield Target(upstream.kind, model)
