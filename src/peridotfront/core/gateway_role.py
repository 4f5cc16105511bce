"""Role of an entry host that discovers its control group through seed hosts.

It sends its slot requests to the leader, which schedules for all entry hosts. While
it has no leader, it schedules its own requests on a subset of the upstreams.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from .actions import Log, Received, Send, Tick
from .allowance_shares import leaderless_share
from .avoided_upstreams import AvoidedUpstreams
from .config_follower import ConfigActivated, ConfigFollower, ConfigFollowerTiming
from .crash_guard import CrashGuard
from .crash_history import CRASHES_KEPT, CrashHistory
from .fallback import leaderless_upstreams
from .gateway_events import (
    DrainStarted,
    LinkChecked,
    SeedsChanged,
    SlotGranted,
    SlotProgress,
    SlotRefused,
    SlotReleased,
    SlotRequestCancelled,
    SlotRequested,
    UpstreamBusy,
    UpstreamLeaving,
    UpstreamLimitRead,
)
from .leader_follower import LeaderFollower
from .messages import (
    CancelSlotRequest,
    ConfigUpdate,
    CrashBatch,
    CrashesSnapshot,
    CrashingParts,
    CrashReport,
    Grant,
    Heartbeat,
    HeldSlot,
    LinkReport,
    NamedLimit,
    NamedLimits,
    PartsCleared,
    RolloutStages,
    SlotRefusal,
    SlotRequest,
    StreamsBegun,
    UpstreamsUpdate,
    proto_name_of,
)
from .releases import build_unsent_release
from .retry_budgets import LEADERLESS_RETRY_SHARE
from .rollouts.gates import VersionGates
from .rollouts.leaderless_gates import LeaderlessGates
from .routing_events import RoutingChanged, UpstreamsListed
from .scheduler_events import CrashesChanged, HostLost
from .service_schedulers import ServiceSchedulers, SharedLimits
from .single_dispatch import dispatchmethod
from .stream_origins import StreamOrigins
from .upstream_directory import UpstreamDirectory
from .upstream_limits import LEADERLESS_LIMIT_SHARE, UpstreamLimits
from .usage_history import UsageHistory

MIN_DISCOVERY_MS = 100
SLOT_REQUEST_RESEND_MS = 300
SLOT_RENEWAL_MS = 1000
LIMIT_REPORT_MS = 1000


@dataclass(slots=True)
class _PendingRequest:
    """Slot request without an answer so far.

    :param since_ms: time of the request.
    :param asked_ms: time at which it was last sent to the scheduler.
    """

    slot_request: SlotRequest
    since_ms: int
    asked_ms: int


@dataclass(slots=True)
class _SlotLease:
    slot: HeldSlot
    reported_ms: int
    progress_ms: int = -1

    def report(self, now_ms: int) -> HeldSlot:
        """Return a report of the slot, which counts as sent now."""
        self.reported_ms = now_ms
        if self.progress_ms < 0:
            return self.slot
        return replace(self.slot, token_age_ms=now_ms - self.progress_ms)


class GatewayRole:
    """State machine that acquires slots for the requests of one entry host.

    :param host: name of the local host.
    :param incarnation: incarnation of the local host, new for each process start.
    :param data_centre: data centre of the local host.
    :param seeds: control hosts named in the settings.
    :param shared_limits: limits on what all hosts together may use.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        data_centre: str,
        seeds: tuple[str, ...],
        shared_limits: SharedLimits,
    ):
        self.host = host
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.follower = ConfigFollower(
            ConfigFollowerTiming(min_discovery_ms=MIN_DISCOVERY_MS)
        )
        self.directory = UpstreamDirectory()
        self._control = LeaderFollower(seeds)
        self._avoided = AvoidedUpstreams()
        self._origins = StreamOrigins()
        self._limits = UpstreamLimits()
        self._limits_reported_ms: dict[str, int] = {}
        self._crash_guard = CrashGuard(CrashHistory())
        self._unreported_crashes: deque[tuple[int, CrashReport]] = deque(
            maxlen=CRASHES_KEPT
        )
        gates = VersionGates()
        self._gates = LeaderlessGates(shared_limits.rollouts, gates)
        self._local_schedulers = ServiceSchedulers(
            shared_limits, self._origins, self._crash_guard, self._limits, gates
        )
        self._local_directory = UpstreamDirectory()
        self._service_names: frozenset[str] = frozenset()
        self._leaderless_since_ms = 0
        self._sequence = 0
        self._is_leaving = False
        self._pending: dict[str, _PendingRequest] = {}
        self._held: dict[str, _SlotLease] = {}
        self._usage_history = UsageHistory(
            max(shared_limits.allowances.window_ms, shared_limits.retries.window_ms)
        )

    def handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        """Handle an event and yield the actions for the program.

        :param now_ms: monotonic clock of this process.
        """
        yield from self._deliver_local(self._handle(event, now_ms), now_ms)
        yield from self._deliver_local(self._record_crashes(now_ms), now_ms)

    def _deliver_local(self, actions: Iterator[Any], now_ms: int) -> Iterator[Any]:
        """Yield actions; handle the messages to this host instead of sending them."""
        pending = deque(actions)
        while pending:
            action = pending.popleft()
            if isinstance(action, Send) and action.to_host == self.host:
                received = Received(self.host, self.incarnation, action.message)
                pending.extend(self._handle(received, now_ms))
            else:
                yield action

    @property
    def leader(self) -> str:
        """Return the leader's host name; empty if there is none."""
        return self._control.leader

    @property
    def entry_hosts(self) -> int:
        """Return the number of entry hosts, as a leader last told it."""
        return self._control.entry_hosts

    def leaderless_ms(self, now_ms: int) -> int:
        """Return for how long the host has had no leader; 0 while it has one."""
        return 0 if self.leader else now_ms - self._leaderless_since_ms

    @property
    def is_busy(self) -> bool:
        """Return whether requests wait for slots or hold slots."""
        return bool(self._pending or self._held)

    @dispatchmethod
    def _handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        raise TypeError(f"unexpected event {event!r}")

    @_handle.register
    def _(self, event: Tick, now_ms: int) -> Iterator[Any]:
        yield from self.follower.handle(event, now_ms)
        yield from self._update_leader(now_ms)
        if self._control.is_heartbeat_due(now_ms):
            yield from self._send_heartbeats(now_ms)
        if self.leader:
            yield from self._resend_slot_requests(now_ms)
        else:
            yield from self._local_schedulers.handle(event, now_ms)
        yield from self._renew_slots(now_ms)
        yield from self._update_avoided(now_ms)

    @_handle.register
    def _(self, event: Received, now_ms: int) -> Iterator[Any]:
        yield from self._receive(event.message, event, now_ms)

    @_handle.register
    def _(self, event: RoutingChanged, now_ms: int) -> Iterator[Any]:
        self._service_names = event.routing.service_names
        yield from self._local_schedulers.apply_routing(event.routing, now_ms)

    @_handle.register
    def _(self, event: UpstreamsListed, now_ms: int) -> Iterator[Any]:
        if not self.leader:
            self._local_directory.replace(event.upstreams, self._service_names)
            yield from self._apply_local_upstreams(now_ms)

    @_handle.register
    def _(self, event: SeedsChanged, now_ms: int) -> Iterator[Any]:
        self._control.seeds = event.control_hosts
        yield from ()

    @_handle.register
    def _(self, event: SlotRequested, now_ms: int) -> Iterator[Any]:
        slot_request = self._origins.with_version(event.slot_request, now_ms)
        pending = _PendingRequest(slot_request, now_ms, now_ms)
        yield from self._request_slot(pending, now_ms)

    @_handle.register
    def _(self, event: SlotRequestCancelled, now_ms: int) -> Iterator[Any]:
        pending = self._pending.pop(event.request_id, None)
        if pending is not None:
            cancel = CancelSlotRequest(event.request_id, pending.slot_request.cell)
            yield from self._pass_to_scheduler(cancel, now_ms)

    @_handle.register
    def _(self, event: SlotProgress, now_ms: int) -> Iterator[Any]:
        held = self._held.get(event.request_id)
        if held is None:
            return
        is_first = held.slot.produced_tokens == 0
        held.slot = replace(held.slot, produced_tokens=event.produced_tokens)
        held.progress_ms = now_ms
        if is_first:
            self._origins.record_held(held.slot, now_ms)
        if is_first or now_ms - held.reported_ms >= SLOT_RENEWAL_MS:
            yield from self._pass_to_scheduler(held.report(now_ms), now_ms)

    @_handle.register
    def _(self, event: UpstreamLeaving, now_ms: int) -> Iterator[Any]:
        if event.upstream not in self._avoided:
            yield Log("leaving_notice", (("upstream", event.upstream),))
        lifetime = self._listed_lifetime(event.upstream)
        self._avoided.mark_leaving(event.upstream, lifetime, now_ms)

    @_handle.register
    def _(self, event: UpstreamBusy, now_ms: int) -> Iterator[Any]:
        self._avoided.mark_busy(event.upstream, event.retry_after_ms, now_ms)
        fields = (("upstream", event.upstream), ("for_ms", event.retry_after_ms))
        yield Log("busy_notice", fields)

    @_handle.register
    def _(self, event: UpstreamLimitRead, now_ms: int) -> Iterator[Any]:
        upstream = event.upstream
        named = NamedLimit(upstream, event.requests_per_s)
        is_known = self._limits.is_known_since(upstream, event.sent_ms)
        if event.requests_per_s < 0 and not is_known:
            # It may have named its limit since it answered.
            return
        if self._limits.set(named, now_ms):
            yield _build_limit_log(named)
        elif event.requests_per_s < 0 or not self._is_report_due(upstream, now_ms):
            return
        self._limits_reported_ms[upstream] = now_ms
        if self.leader:
            yield Send(self.leader, named)

    @_handle.register
    def _(self, event: LinkChecked, now_ms: int) -> Iterator[Any]:
        if self.leader:
            yield Send(self.leader, LinkReport(event.upstream, event.state))

    @_handle.register
    def _(self, event: DrainStarted, now_ms: int) -> Iterator[Any]:
        self._is_leaving = True
        yield from self._send_heartbeats(now_ms)

    @_handle.register
    def _(self, event: SlotReleased, now_ms: int) -> Iterator[Any]:
        self._held.pop(event.release.request_id, None)
        yield from self._pass_to_scheduler(event.release, now_ms)

    @dispatchmethod
    def _receive(self, message: Any, event: Received, now_ms: int) -> Iterator[Any]:
        yield Log("message_unexpected", (("kind", proto_name_of(type(message))),))

    @_receive.register
    def _(self, message: Heartbeat, event: Received, now_ms: int) -> Iterator[Any]:
        is_of_leader = self._control.record(event.sender, message, now_ms)
        yield from self.follower.handle(event, now_ms)
        if is_of_leader:
            yield from self._update_leader(now_ms)

    @_receive.register
    def _(self, message: ConfigUpdate, event: Received, now_ms: int) -> Iterator[Any]:
        for action in self.follower.handle(event, now_ms):
            yield action
            if isinstance(action, ConfigActivated):
                # The leader counts this host as up to date from its next heartbeat.
                yield from self._send_heartbeats(now_ms)

    @_receive.register
    def _(self, message: UpstreamsUpdate, event: Received, now_ms: int) -> Iterator:
        if self.directory.apply(message):
            self._gates.apply_upstreams(self.directory.upstreams, now_ms)
        yield from ()

    @_receive.register
    def _(self, message: CrashingParts, event: Received, now_ms: int) -> Iterator:
        if event.sender == self.leader:
            self._crash_guard.announce(message.groups)
        yield from ()

    @_receive.register
    def _(self, message: RolloutStages, event: Received, now_ms: int) -> Iterator:
        self._gates.announce(message)
        yield from ()

    @_receive.register
    def _(self, message: NamedLimits, event: Received, now_ms: int) -> Iterator:
        if event.sender == self.leader:
            self._limits.replace(message.limits, now_ms)
            self._limits_reported_ms = {
                limit.upstream: self._limits_reported_ms.get(
                    limit.upstream, -LIMIT_REPORT_MS
                )
                for limit in message.limits
            }
        yield from ()

    @_receive.register
    def _(self, message: Grant, event: Received, now_ms: int) -> Iterator[Any]:
        pending = self._pending.pop(message.request_id, None)
        if pending is None:
            if not self._holds_slot(message):
                yield from self._give_back(message, event.sender, now_ms)
            return
        yield from self._update_avoided(now_ms)
        if message.upstream in self._avoided:
            yield from self._give_back(message, event.sender, now_ms)
            yield from self._request_slot(pending, now_ms)
            return
        is_from_leader = event.sender == self.leader
        self._usage_history.record(
            pending.slot_request, self._control.term if is_from_leader else 0, now_ms
        )
        slot = HeldSlot(
            pending.slot_request,
            message.upstream,
            0,
            software_version=message.software_version,
            relay=message.relay,
        )
        self._held[message.request_id] = _SlotLease(slot, now_ms)
        yield SlotGranted(message, event.sender == self.host)

    @_receive.register
    def _(self, message: SlotRefusal, event: Received, now_ms: int) -> Iterator[Any]:
        if event.sender not in (self.leader, self.host):
            return
        if self._pending.pop(message.request_id, None) is not None:
            yield SlotRefused(message, event.sender == self.host)

    def _record_crashes(self, now_ms: int) -> Iterator[Any]:
        """Record the crashes that the local schedulers observed."""
        reports = self._crash_guard.take_reports()
        if not reports:
            return
        crashes = tuple([r for r in reports if isinstance(r, CrashReport)])
        cleared = tuple([r for r in reports if isinstance(r, PartsCleared)])
        self._unreported_crashes.extend([(now_ms, report) for report in crashes])
        self._crash_guard.history.apply(CrashBatch(now_ms, crashes, cleared))
        yield from self._local_schedulers.handle(CrashesChanged(), now_ms)

    def _report_crashes(self, now_ms: int) -> Iterator[Any]:
        """Report the crashes of the time without a leader, for all hosts."""
        for crashed_ms, report in self._unreported_crashes:
            yield Send(self.leader, replace(report, age_ms=now_ms - crashed_ms))
        self._unreported_crashes.clear()
        self._crash_guard.history.restore(CrashesSnapshot())

    def _is_report_due(self, upstream: str, now_ms: int) -> bool:
        reported_ms = self._limits_reported_ms.get(upstream, -LIMIT_REPORT_MS)
        return now_ms - reported_ms >= LIMIT_REPORT_MS

    def _give_back(self, grant: Grant, scheduler: str, now_ms: int) -> Iterator[Any]:
        """Release a slot that is not used, before anything else reaches its scheduler.

        A slot request that came first would be granted the slot that it still holds.
        """
        release = build_unsent_release(grant)
        if scheduler != self.host:
            yield Send(scheduler, release)
            return
        event = Received(self.host, self.incarnation, release)
        yield from self._local_schedulers.handle(event, now_ms)

    def _request_slot(self, pending: _PendingRequest, now_ms: int) -> Iterator[Any]:
        """Request a slot at an upstream that is not avoided now."""
        yield from self._update_avoided(now_ms)
        excluded = dict.fromkeys(
            (*pending.slot_request.excluded, *self._avoided.names())
        )
        pending.slot_request = replace(pending.slot_request, excluded=tuple(excluded))
        pending.asked_ms = now_ms
        self._pending[pending.slot_request.request_id] = pending
        slot_request = _with_remaining_times(pending, now_ms)
        yield from self._pass_to_scheduler(slot_request, now_ms)

    def _update_avoided(self, now_ms: int) -> Iterator[Log]:
        if not self._avoided:
            return
        for upstream in self._avoided.update(self._listed_lifetime, now_ms):
            yield Log("upstream_restarted", (("upstream", upstream),))

    def _listed_lifetime(self, name: str) -> int | None:
        """Return the lifetime of an upstream in the list, or None if it is unlisted."""
        directory = self.directory if self.leader else self._local_directory
        listed = directory.get(name)
        return None if listed is None else listed.lifetime

    def _holds_slot(self, grant: Grant) -> bool:
        held = self._held.get(grant.request_id)
        return held is not None and held.slot.upstream == grant.upstream

    def _pass_to_scheduler(self, message: Any, now_ms: int) -> Iterator[Any]:
        """Pass a message to the current scheduler: the leader or the local one."""
        if self.leader:
            yield Send(self.leader, message)
            return
        event = Received(self.host, self.incarnation, message)
        yield from self._local_schedulers.handle(event, now_ms)

    # Leader

    def _update_leader(self, now_ms: int) -> Iterator[Any]:
        if not self._control.update_leader(now_ms):
            return
        yield Log("scheduler_changed", (("leader", self.leader),))
        if self.leader:
            yield from self._start_following_leader(now_ms)
        else:
            yield from self._start_leaderless(now_ms)

    def _start_following_leader(self, now_ms: int) -> Iterator[Any]:
        for spending in self._usage_history.take_unreported(self._control.term, now_ms):
            yield Send(self.leader, spending)
        streams = tuple(self._origins.recorded_since(0, now_ms))
        if streams:
            yield Send(self.leader, StreamsBegun(streams))
        yield from self._report_crashes(now_ms)
        for named in self._limits.all():
            yield Send(self.leader, named)
        for held in self._held.values():
            yield Send(self.leader, held.report(now_ms))
        for pending in self._pending.values():
            pending.asked_ms = now_ms
            yield Send(self.leader, _with_remaining_times(pending, now_ms))

    def _start_leaderless(self, now_ms: int) -> Iterator[Any]:
        self._leaderless_since_ms = now_ms
        self._local_directory = self.directory.renewed(0)
        shares = {
            ceiling.client_account: leaderless_share(
                ceiling.share, self._control.sharing_host_count
            )
            for ceiling in self._control.ceilings
        }
        self._local_schedulers.allowances.set_account_shares(shares, now_ms)
        self._limits.restart(now_ms)
        # Remove the slots and slot requests of an earlier time without a leader.
        yield from self._local_schedulers.handle(HostLost(self.host, True), now_ms)
        yield from self._apply_local_upstreams(now_ms)
        for held in self._held.values():
            yield from self._pass_to_scheduler(held.report(now_ms), now_ms)
        for pending in tuple(self._pending.values()):
            yield from self._pass_to_scheduler(
                _with_remaining_times(pending, now_ms), now_ms
            )

    def _apply_local_upstreams(self, now_ms: int) -> Iterator[Any]:
        listed = self._local_directory.upstreams
        self._gates.apply_upstreams(listed, now_ms)
        self._gates.hold(self._leaderless_since_ms)
        self._local_schedulers.allowances.share = leaderless_share(
            0.0, self._control.sharing_host_count
        )
        self._local_schedulers.retries.share = (
            LEADERLESS_RETRY_SHARE / self._control.sharing_host_count
        )
        self._limits.share = LEADERLESS_LIMIT_SHARE / self._control.sharing_host_count
        self._local_schedulers.brittle.share = 1 / self._control.sharing_host_count
        # Each host uses a part of the upstreams, which must not be of the new version
        # only while the old one is in service.
        upstreams = [
            upstream
            for part in self._gates.split(listed)
            for upstream in leaderless_upstreams(
                part, self.host, self.data_centre, self.entry_hosts
            )
        ]
        yield from self._local_schedulers.apply_upstreams(tuple(upstreams), now_ms)

    def _send_heartbeats(self, now_ms: int) -> Iterator[Send]:
        self._sequence += 1
        heartbeat = Heartbeat(
            data_centre=self.data_centre,
            role="entry",
            sequence=self._sequence,
            config_version=self.follower.version,
            is_leaving=self._is_leaving,
            leader=self.leader,
            upstreams_version=self.directory.version,
            crashing_parts_digest=self._crash_guard.announced_digest,
            shares_version=self._control.shares_version,
            stages_version=self._gates.stages_version,
            reads_packed_config=True,
        )
        for host in self._control.begin_round(now_ms):
            yield Send(host, heartbeat)

    def _resend_slot_requests(self, now_ms: int) -> Iterator[Send]:
        for pending in self._pending.values():
            if now_ms - pending.asked_ms >= SLOT_REQUEST_RESEND_MS:
                pending.asked_ms = now_ms
                yield Send(self.leader, _with_remaining_times(pending, now_ms))

    def _renew_slots(self, now_ms: int) -> Iterator[Any]:
        for held in tuple(self._held.values()):
            if now_ms - held.reported_ms >= SLOT_RENEWAL_MS:
                yield from self._pass_to_scheduler(held.report(now_ms), now_ms)


def _build_limit_log(named: NamedLimit) -> Log:
    fields = (("upstream", named.upstream), ("requests_per_s", named.requests_per_s))
    return Log("limit_read", fields)


def _with_remaining_times(pending: _PendingRequest, now_ms: int) -> SlotRequest:
    """Return the slot request with its remaining deadline and goal time."""
    waited_ms = now_ms - pending.since_ms
    slot_request = pending.slot_request
    return replace(
        slot_request,
        deadline_ms=max(0, slot_request.deadline_ms - waited_ms),
        goal_ms=max(0, slot_request.goal_ms - waited_ms),
    )
