"""Role of a control host for entry hosts that discover it through seeds.

It wraps the controller, which replicates the configuration. While the local replica
leads, it also schedules for all entry hosts and keeps the list of upstreams.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from .actions import Log, Received, Send, Tick
from .allowance_ceilings import AllowanceCeilings
from .allowance_shares import MIN_REPORTED_SHARE, leader_share
from .controller import Controller
from .crash_guard import CrashGuard
from .messages import (
    CancelSlotRequest,
    CrashingGroup,
    Heartbeat,
    HeldSlot,
    LinkReport,
    ListedUpstream,
    NamedLimit,
    NamedLimits,
    Release,
    RolloutUsage,
    SentRepeats,
    SlotRequest,
    Spending,
    StreamsBegun,
    UpstreamsUpdate,
)
from .raft_types import Role, RoleChanged
from .retry_budgets import LEADERLESS_RETRY_SHARE
from .rollouts.gates import VersionGates
from .rollouts.manager import ProposeRolloutEnd, RolloutManager
from .rollouts.new_versions import NewVersions, versions_by_service
from .routes import RoutingConfig
from .routing_events import RoutingChanged, UpstreamsListed
from .scheduler_events import CrashesChanged, HostLost
from .service_schedulers import ServiceSchedulers, SharedLimits
from .single_dispatch import dispatchmethod
from .stream_origins import StreamOrigins
from .upstream_directory import UpstreamDirectory
from .upstream_limits import UpstreamLimits

ENTRY_ROLE = "entry"
ENTRY_TIMEOUT_MS = 1500
RESEND_LIST_MS = 300
LIST_INTERVAL_MS = 2000
ORIGINS_INTERVAL_MS = 100
LIMITS_INTERVAL_MS = 100
# Versions of the list of upstreams, or of ceilings, that one term may use.
EPOCH_VERSIONS = 2**24
# Entry hosts without a leader use the rest of the retry budget.
LEADER_RETRY_SHARE = 1 - LEADERLESS_RETRY_SHARE
NEW_TERM_RETRY_SHARE = LEADER_RETRY_SHARE / 2
NEW_TERM_MS = 10_000
SHARES_INTERVAL_MS = 100
LOST_HOST_RETENTION_MS = 60_000
RESEND_STAGES_MS = 300
# A host that is cut off may go on with its requests for so long.
UNKNOWN_SLOTS_MS = 10_000


@dataclass(slots=True)
class EntryHost:
    """Leader's view of an entry host.

    :param last_seen_ms: arrival time of its last heartbeat.
    :param upstreams_version: version of the upstream list that it has.
    :param list_sent_ms: time at which the list was last sent to it.
    :param shares_version: version of the ceilings that it knows; 0 for none.
    :param stages_version: version of the stages of rollouts that it knows; 0 for none.
    :param stages_sent_ms: time at which the stages were last sent to it.
    """

    incarnation: int
    last_seen_ms: int
    upstreams_version: int = 0
    list_sent_ms: int = -RESEND_LIST_MS
    shares_version: int = 0
    stages_version: int = 0
    stages_sent_ms: int = -RESEND_STAGES_MS


class Coordinator:
    """Control role that answers entry hosts and operators, and schedules as leader.

    :param host: local host name.
    :param controller: controller that replicates the configuration; only this role
        passes events to it.
    :param shared_limits: limits on what all hosts together may use.
    """

    def __init__(self, host: str, controller: Controller, shared_limits: SharedLimits):
        self.controller = controller
        self.directory = UpstreamDirectory()
        self.service_schedulers: ServiceSchedulers | None = None
        self._host = host
        self._shared_limits = shared_limits
        self._routing = RoutingConfig()
        self._entry_hosts: dict[str, EntryHost] = {}
        self._leader_since_ms = 0
        self._list_sent_ms = 0
        self._lost_ms: dict[str, int] = {}
        self._origins = StreamOrigins()
        self._origins_sent_ms = 0
        self._ceilings = AllowanceCeilings(0)
        self._shares_updated_ms = 0
        self._limits = UpstreamLimits()
        self._limits_sent_ms = 0
        self._has_new_limits = False
        self._crash_guard = CrashGuard(controller.state.crashes, allows_tests=True)
        self._crashing_groups: tuple[CrashingGroup, ...] = ()
        self._gates = VersionGates()
        self._usages: dict[str, RolloutUsage] = {}
        # A later leader holds back what was just listed before it led.
        self._new_versions = NewVersions()
        self.rollouts: RolloutManager | None = None

    @property
    def is_leading(self) -> bool:
        """Return whether this host schedules for all entry hosts."""
        return self.service_schedulers is not None

    def handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        """Handle an event.

        :param event: an event of the controller, :class:`RoutingChanged` or
            :class:`UpstreamsListed`.
        :param now_ms: local monotonic clock.
        :return: actions to run in order.
        """
        yield from self._handle(event, now_ms)
        yield from self._propagate_crashes(now_ms)

    @dispatchmethod
    def _handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        yield from self._run_controller(event, now_ms)

    @_handle.register
    def _(self, event: Tick, now_ms: int) -> Iterator[Any]:
        yield from self._run_controller(event, now_ms)
        if self.service_schedulers is None:
            return
        yield from self._remove_silent(now_ms)
        if self.service_schedulers is None:
            return
        self._update_shares(now_ms)
        yield from self.service_schedulers.handle(event, now_ms)
        if now_ms - self._list_sent_ms >= LIST_INTERVAL_MS:
            yield from self._send_list_to_replicas(now_ms)
        if now_ms - self._origins_sent_ms >= ORIGINS_INTERVAL_MS:
            yield from self._send_origins_to_replicas(now_ms)
        yield from self._send_limits(now_ms)
        yield from self._advance_rollouts(now_ms)

    @_handle.register
    def _(self, event: Received, now_ms: int) -> Iterator[Any]:
        yield from self._on_message(event.message, event, now_ms)

    @_handle.register
    def _(self, event: RoutingChanged, now_ms: int) -> Iterator[Any]:
        self._routing = event.routing
        if self.service_schedulers is not None:
            yield from self.service_schedulers.apply_routing(event.routing, now_ms)

    @_handle.register
    def _(self, event: UpstreamsListed, now_ms: int) -> Iterator[Any]:
        if self.service_schedulers is None:
            return
        update = self.directory.replace(event.upstreams, self._routing.service_names)
        if update is None:
            return
        yield _build_list_log(update)
        self._limits.retain(self.directory.names)
        if self.rollouts is not None:
            # Schedulers grant waiting requests at new upstreams at once, so a version
            # has to be held back before.
            yield from self.rollouts.apply_upstreams(self.directory.upstreams, now_ms)
        yield from self.service_schedulers.apply_upstreams(
            self.directory.upstreams, now_ms
        )
        yield from self._send_list_to_replicas(now_ms)
        for name, entry in self._entry_hosts.items():
            if entry.upstreams_version == update.base_version:
                entry.upstreams_version = update.version
                entry.list_sent_ms = now_ms
                yield Send(name, update)

    @dispatchmethod
    def _on_message(self, message: Any, event: Received, now_ms: int) -> Iterator[Any]:
        yield from self._run_controller(event, now_ms)

    @_on_message.register
    def _(self, message: Heartbeat, event: Received, now_ms: int) -> Iterator[Any]:
        yield from self._run_controller(event, now_ms)
        if message.role != ENTRY_ROLE:
            return
        if self.service_schedulers is not None:
            yield from self._record_heartbeat(message, event, now_ms)
        reply = self.controller.heartbeat()
        yield Send(
            event.sender,
            replace(
                reply,
                entry_hosts=self._entry_host_count(now_ms),
                upstreams_version=self.directory.version,
                ceilings=self._ceilings.announced if self.is_leading else (),
                shares_version=self._ceilings.version if self.is_leading else 0,
            ),
        )

    @_on_message.register
    def _(self, message: UpstreamsUpdate, event: Received, now_ms: int) -> Iterator:
        if self.service_schedulers is None and self.directory.apply(message):
            versions = versions_by_service(self.directory.upstreams)
            self._new_versions.update(versions, now_ms)
        yield from ()

    @_on_message.register
    def _(self, message: RolloutUsage, event: Received, now_ms: int) -> Iterator[Any]:
        known = self._usages.get(message.service)
        if known is None or _usage_order(known) < _usage_order(message):
            self._usages[message.service] = message
        yield from ()

    @_on_message.register
    def _(self, message: StreamsBegun, event: Received, now_ms: int) -> Iterator[Any]:
        for stream in message.streams:
            self._origins.record(stream, now_ms)
        yield from ()

    @_on_message.register
    def _(self, message: HeldSlot, event: Received, now_ms: int) -> Iterator[Any]:
        self._origins.record_held(message, now_ms)
        if self.service_schedulers is not None:
            yield from self.service_schedulers.handle(event, now_ms)

    @_on_message.register
    def _(self, message: NamedLimit, event: Received, now_ms: int) -> Iterator[Any]:
        if self._limits.set(message, now_ms):
            self._has_new_limits = True
        yield from ()

    @_on_message.register
    def _(self, message: NamedLimits, event: Received, now_ms: int) -> Iterator[Any]:
        if not self.is_leading:
            self._limits.replace(message.limits, now_ms)
        yield from ()

    @_on_message.register(SlotRequest)
    @_on_message.register(CancelSlotRequest)
    @_on_message.register(Release)
    @_on_message.register(SentRepeats)
    @_on_message.register(Spending)
    @_on_message.register(LinkReport)
    def _(self, message: Any, event: Received, now_ms: int) -> Iterator[Any]:
        if self.service_schedulers is not None:
            yield from self.service_schedulers.handle(event, now_ms)

    def _run_controller(self, event: Any, now_ms: int) -> Iterator[Any]:
        for action in self.controller.handle(event, now_ms):
            if isinstance(action, RoleChanged):
                yield from self._on_role_changed(action, now_ms)
            yield action

    def _propagate_crashes(self, now_ms: int) -> Iterator[Any]:
        """Replicate what the schedulers observed, and act on what has changed."""
        for report in self._crash_guard.take_reports():
            received = Received(self._host, 0, report)
            yield from self._run_controller(received, now_ms)
        groups = self.controller.state.crashes.groups
        if groups == self._crashing_groups:
            return
        self._crashing_groups = groups
        yield from _build_group_logs(groups)
        if self.service_schedulers is not None:
            yield from self.service_schedulers.handle(CrashesChanged(), now_ms)

    def _on_role_changed(self, action: RoleChanged, now_ms: int) -> Iterator[Any]:
        if action.role is not Role.LEADER:
            self.service_schedulers = None
            self.rollouts = None
            self._entry_hosts.clear()
            return
        self._leader_since_ms = now_ms
        self._lost_ms.clear()
        self._list_sent_ms = now_ms
        self.service_schedulers = ServiceSchedulers(
            self._shared_limits,
            self._origins,
            self._crash_guard,
            self._limits,
            self._gates,
        )
        self._limits.restart(now_ms)
        self._ceilings = AllowanceCeilings(action.term * EPOCH_VERSIONS)
        self.service_schedulers.retries.share = NEW_TERM_RETRY_SHARE
        if self._shared_limits.rollouts.share > 0:
            self._gates.replace(())
            self.rollouts = RolloutManager(
                self._shared_limits.rollouts,
                self._gates,
                action.term * EPOCH_VERSIONS,
                self._usages,
                self._new_versions,
            )
        self.directory = self.directory.renewed(action.term * EPOCH_VERSIONS)
        upstreams = self.directory.upstreams
        if self.rollouts is not None:
            yield from self.rollouts.apply_upstreams(upstreams, now_ms)
        yield from self.service_schedulers.apply_upstreams(upstreams, now_ms)
        yield from self.service_schedulers.apply_routing(self._routing, now_ms)

    def _advance_rollouts(self, now_ms: int) -> Iterator[Any]:
        if self.rollouts is None or not self.controller.is_settled:
            return
        time_ms = self.controller.replicated_time_ms(now_ms)
        records = self.controller.state.rollouts.records
        yield from self.rollouts.apply_records(records, time_ms, now_ms)
        actions = self.rollouts.advance(
            self.service_schedulers.schedulers,
            self._has_unknown_slots(now_ms),
            time_ms,
            now_ms,
        )
        for action in actions:
            if isinstance(action, ProposeRolloutEnd):
                yield from self._run_controller(action.end, now_ms)
            else:
                yield action
        if self.rollouts is None:
            return
        for usage in self.rollouts.take_usages(now_ms):
            self._usages[usage.service] = usage
            yield from self._send_to_replicas(usage)
        for name, entry in self._entry_hosts.items():
            yield from self._send_stages(name, entry, now_ms)

    def _has_unknown_slots(self, now_ms: int) -> bool:
        """Return whether hosts may hold slots of which this leader doesn't know.

        A host without a leader sends its requests to other upstreams, unless it knows
        the stages of the rollouts.
        """
        if now_ms - self._leader_since_ms < ENTRY_TIMEOUT_MS:
            return True
        version = self.rollouts.stages.version
        if any(e.stages_version != version for e in self._entry_hosts.values()):
            return True
        newest_ms = max(self._lost_ms.values(), default=now_ms - UNKNOWN_SLOTS_MS)
        return now_ms - newest_ms < UNKNOWN_SLOTS_MS

    def _send_stages(self, name: str, entry: EntryHost, now_ms: int) -> Iterator[Send]:
        """Send the stages of all rollouts to an entry host that knows others."""
        if self.rollouts is None:
            return
        stages = self.rollouts.stages
        is_due = now_ms - entry.stages_sent_ms >= RESEND_STAGES_MS
        if stages.version != entry.stages_version and is_due:
            entry.stages_sent_ms = now_ms
            yield Send(name, stages)

    def _entry_host_count(self, now_ms: int) -> int:
        """Return the number of entry hosts; 0 while some may not have joined yet."""
        if not self.is_leading or now_ms - self._leader_since_ms < ENTRY_TIMEOUT_MS:
            return 0
        return len(self._entry_hosts)

    def _update_shares(self, now_ms: int) -> None:
        """Update the shares of the leader and the reported usage.

        At the start of a term they are lower, since hosts may not have reported all
        usage of the previous term yet.
        """
        if now_ms - self._shares_updated_ms < SHARES_INTERVAL_MS:
            return
        self._shares_updated_ms = now_ms
        oldest_ms = now_ms - LOST_HOST_RETENTION_MS
        self._lost_ms = {
            host: lost_ms
            for host, lost_ms in self._lost_ms.items()
            if lost_ms > oldest_ms
        }
        is_new_term = now_ms - self._leader_since_ms < NEW_TERM_MS
        if not is_new_term:
            self.service_schedulers.retries.share = LEADER_RETRY_SHARE
        allowances = self.service_schedulers.allowances
        allowances.share = leader_share(
            len(self._entry_hosts), len(self._lost_ms), is_new_term=is_new_term
        )
        self._ceilings.update(
            allowances.spent_shares(MIN_REPORTED_SHARE, now_ms), self._known_version()
        )
        # Hosts that join a new leader may still know those of the one before.
        allowances.ceilings = None if is_new_term else self._ceilings

    def _known_version(self) -> int:
        """Return the version of the ceilings that all entry hosts know.

        A host that was told none can't spend much without a leader.
        """
        versions = [entry.shares_version for entry in self._entry_hosts.values()]
        return min(
            (known for known in versions if known), default=self._ceilings.version
        )

    def _record_heartbeat(
        self, message: Heartbeat, event: Received, now_ms: int
    ) -> Iterator[Any]:
        entry = self._entry_hosts.get(event.sender)
        if entry is not None and entry.incarnation != event.incarnation:
            yield from self._remove_host(event.sender, True, now_ms)
            entry = None
        if entry is None:
            entry = EntryHost(event.incarnation, now_ms)
            self._entry_hosts[event.sender] = entry
            self._lost_ms.pop(event.sender, None)
            self._has_new_limits = len(self._limits) > 0
            yield Log("entry_host_joined", (("peer", event.sender),))
            self.service_schedulers.reach.join(event.sender, message.data_centre)
        entry.last_seen_ms = now_ms
        entry.upstreams_version = message.upstreams_version
        entry.shares_version = message.shares_version
        entry.stages_version = message.stages_version
        yield from self._send_stages(event.sender, entry, now_ms)
        self.service_schedulers.reach.set_leaving(event.sender, message.is_leaving)
        is_outdated = message.upstreams_version != self.directory.version
        if is_outdated and now_ms - entry.list_sent_ms >= RESEND_LIST_MS:
            entry.list_sent_ms = now_ms
            yield Send(event.sender, self.directory.full_update())

    def _remove_silent(self, now_ms: int) -> Iterator[Any]:
        oldest_ms = now_ms - ENTRY_TIMEOUT_MS
        silent = [
            name
            for name, entry in self._entry_hosts.items()
            if entry.last_seen_ms < oldest_ms
        ]
        for name in silent:
            yield from self._remove_host(name, False, now_ms)

    def _remove_host(self, host: str, is_restarted: bool, now_ms: int) -> Iterator[Any]:
        del self._entry_hosts[host]
        self._lost_ms[host] = now_ms
        yield Log("peer_silent", (("peer", host),))
        yield from self.service_schedulers.handle(HostLost(host, is_restarted), now_ms)

    def _send_list_to_replicas(self, now_ms: int) -> Iterator[Send]:
        """Send the whole list to the other replicas, any of which may lead next."""
        self._list_sent_ms = now_ms
        yield from self._send_to_replicas(self.directory.full_update())

    def _send_origins_to_replicas(self, now_ms: int) -> Iterator[Send]:
        """Send the new origins of streams to the other replicas."""
        streams = tuple(self._origins.recorded_since(self._origins_sent_ms, now_ms))
        self._origins_sent_ms = now_ms
        if streams:
            yield from self._send_to_replicas(StreamsBegun(streams))

    def _send_limits(self, now_ms: int) -> Iterator[Send]:
        """Send all limits to all hosts, after changes and again from time to time."""
        waited_ms = now_ms - self._limits_sent_ms
        is_due = self._has_new_limits and waited_ms >= LIMITS_INTERVAL_MS
        is_repeat = len(self._limits) and waited_ms >= LIST_INTERVAL_MS
        if not (is_due or is_repeat):
            return
        self._has_new_limits = False
        self._limits_sent_ms = now_ms
        limits = NamedLimits(tuple(self._limits.all()))
        yield from self._send_to_replicas(limits)
        for host in self._entry_hosts:
            yield Send(host, limits)

    def _send_to_replicas(self, message: Any) -> Iterator[Send]:
        for host in self.controller.control_hosts:
            if host != self._host:
                yield Send(host, message)


def _usage_order(usage: RolloutUsage) -> tuple[int, int]:
    return usage.number, usage.elapsed_ms


def _build_list_log(update: UpstreamsUpdate) -> Log:
    changed = [
        f"{upstream.name}:{_state_name(upstream)}:{upstream.software_version}"
        for upstream in update.changed
    ]
    fields = (
        ("version", update.version),
        ("changed", ",".join(changed)),
        ("gone", ",".join(update.gone)),
    )
    return Log("upstreams_listed", fields)


def _build_group_logs(groups: tuple[CrashingGroup, ...]) -> Iterator[Log]:
    if not groups:
        yield Log("crashing_parts_changed", (("service", ""), ("parts", "")))
    for group in groups:
        parts = ",".join([f"{part:x}" for part in group.parts])
        yield Log(
            "crashing_parts_changed", (("service", group.service), ("parts", parts))
        )


def _state_name(upstream: ListedUpstream) -> str:
    return "leaving" if upstream.is_leaving else "ready"
