"""The role of an entry host that finds its control group through seeds.

It follows the leader, which schedules for all entry hosts. While no leader answers,
it schedules for itself on its own share of the upstreams.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from .actions import Log, Received, Send, Tick
from .allowance_shares import leaderless_share
from .config_follower import ConfigActivated, ConfigFollower, ConfigFollowerTiming
from .fallback import own_share
from .gateway_events import (
    SeedsChanged,
    SlotGranted,
    SlotProgress,
    SlotRefused,
    SlotReleased,
    SlotRequestCancelled,
    SlotRequested,
)
from .leader_hints import LeaderHints
from .messages import (
    CancelSlotRequest,
    ConfigUpdate,
    Grant,
    Heartbeat,
    HeldSlot,
    ListedUpstream,
    SlotRefusal,
    SlotRequest,
    SpentShare,
    UpstreamsUpdate,
    proto_name_of,
)
from .releases import build_unsent_release
from .retry_budgets import LEADERLESS_RETRY_SHARE
from .routing_events import RoutingChanged, UpstreamsListed
from .scheduler_events import HostLost
from .service_schedulers import ServiceSchedulers, SharedLimits
from .single_dispatch import dispatchmethod
from .upstream_directory import UpstreamDirectory
from .usage_history import UsageHistory

HEARTBEAT_MS = 200
LEADER_SILENCE_MS = 550
HINT_TIMEOUT_MS = 1500
BLANK_WAIT_MS = 100
RESEND_WANT_MS = 300
RENEW_SLOT_MS = 1000
COUNT_KEPT_MS = 10_000
UNCOUNTED_HOSTS = 1000


@dataclass(slots=True)
class _Pending:
    """Is a want that waits; ``asked_ms`` is when the leader was last asked."""

    want: SlotRequest
    since_ms: int
    asked_ms: int


@dataclass(slots=True)
class _Held:
    slot: HeldSlot
    told_ms: int


class GatewayRole:
    """Finds slots for the requests of one entry host.

    :param host: the own host name.
    :param incarnation: drawn anew at each start.
    :param seeds: control hosts that the settings name.
    :param shared_limits: of what all hosts together may spend.
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
            ConfigFollowerTiming(min_discovery_ms=BLANK_WAIT_MS)
        )
        self.directory = UpstreamDirectory()
        self.leader = ""
        self.entry_hosts = 1
        self._is_counted = False
        self._counted_ms = 0
        self._seeds = seeds
        self._control_hosts: tuple[str, ...] = ()
        self._hints = LeaderHints(HINT_TIMEOUT_MS)
        self._led_ms: dict[str, int] = {}
        self._own = ServiceSchedulers(shared_limits)
        self._own_list: tuple[ListedUpstream, ...] = ()
        self._detached_ms = 0
        self._beat_ms = -HEARTBEAT_MS
        self._sequence = 0
        self._pending: dict[str, _Pending] = {}
        self._held: dict[str, _Held] = {}
        self._ledger = UsageHistory(
            max(shared_limits.allowances.window_ms, shared_limits.retries.window_ms)
        )
        self._term = 0
        self._spent: tuple[SpentShare, ...] = ()

    def handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        """Take an event and yield what the program has to do.

        :param now_ms: the process's own monotonic clock.
        """
        pending = deque(self._handle(event, now_ms))
        while pending:
            action = pending.popleft()
            if isinstance(action, Send) and action.to_host == self.host:
                received = Received(self.host, self.incarnation, action.message)
                pending.extend(self._handle(received, now_ms))
            else:
                yield action

    def leaderless_ms(self, now_ms: int) -> int:
        """Return for how long no leader has answered; 0 while one does."""
        return 0 if self.leader else now_ms - self._detached_ms

    @property
    def _sharing_hosts(self) -> int:
        """Return how many hosts may spend the same allowances and budgets."""
        return self.entry_hosts if self._is_counted else UNCOUNTED_HOSTS

    @property
    def is_busy(self) -> bool:
        """Tell whether requests wait for slots or hold them."""
        return bool(self._pending or self._held)

    @dispatchmethod
    def _handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        raise TypeError(f"unexpected event {event!r}")

    @_handle.register
    def _(self, event: Tick, now_ms: int) -> Iterator[Any]:
        yield from self.follower.handle(event, now_ms)
        yield from self._watch_leader(now_ms)
        if now_ms - self._beat_ms >= HEARTBEAT_MS:
            yield from self._beat(now_ms)
        if self.leader:
            yield from self._ask_again(now_ms)
        else:
            yield from self._own.handle(event, now_ms)
        yield from self._renew(now_ms)

    @_handle.register
    def _(self, event: Received, now_ms: int) -> Iterator[Any]:
        yield from self._receive(event.message, event, now_ms)

    @_handle.register
    def _(self, event: RoutingChanged, now_ms: int) -> Iterator[Any]:
        yield from self._own.apply_routing(event.routing, now_ms)

    @_handle.register
    def _(self, event: UpstreamsListed, now_ms: int) -> Iterator[Any]:
        if not self.leader:
            self._own_list = event.upstreams
            yield from self._use_own_list(now_ms)

    @_handle.register
    def _(self, event: SeedsChanged, now_ms: int) -> Iterator[Any]:
        self._seeds = event.control_hosts
        yield from ()

    @_handle.register
    def _(self, event: SlotRequested, now_ms: int) -> Iterator[Any]:
        want = event.want
        self._pending[want.request_id] = _Pending(want, now_ms, now_ms)
        yield from self._tell(want, now_ms)

    @_handle.register
    def _(self, event: SlotRequestCancelled, now_ms: int) -> Iterator[Any]:
        pending = self._pending.pop(event.request_id, None)
        if pending is not None:
            cancel = CancelSlotRequest(event.request_id, pending.want.cell)
            yield from self._tell(cancel, now_ms)

    @_handle.register
    def _(self, event: SlotProgress, now_ms: int) -> Iterator[Any]:
        held = self._held.get(event.request_id)
        if held is None:
            return
        is_first = held.slot.produced_tokens == 0
        held.slot = replace(held.slot, produced_tokens=event.produced_tokens)
        if is_first or now_ms - held.told_ms >= RENEW_SLOT_MS:
            held.told_ms = now_ms
            yield from self._tell(held.slot, now_ms)

    @_handle.register
    def _(self, event: SlotReleased, now_ms: int) -> Iterator[Any]:
        self._held.pop(event.release.request_id, None)
        yield from self._tell(event.release, now_ms)

    @dispatchmethod
    def _receive(self, message: Any, event: Received, now_ms: int) -> Iterator[Any]:
        yield Log("message_unexpected", (("kind", proto_name_of(type(message))),))

    @_receive.register
    def _(self, message: Heartbeat, event: Received, now_ms: int) -> Iterator[Any]:
        self._hints.record(event.sender, message, now_ms)
        yield from self.follower.handle(event, now_ms)
        if message.control_hosts:
            self._control_hosts = message.control_hosts
        if message.leader != event.sender:
            return
        self._led_ms[event.sender] = now_ms
        self._term = message.term
        self._count_hosts(message.entry_hosts, now_ms)
        self._spent = message.spent
        yield from self._watch_leader(now_ms)

    @_receive.register
    def _(self, message: ConfigUpdate, event: Received, now_ms: int) -> Iterator[Any]:
        for action in self.follower.handle(event, now_ms):
            yield action
            if isinstance(action, ConfigActivated):
                # The leader counts this host as up to date from its next heartbeat.
                yield from self._beat(now_ms)

    @_receive.register
    def _(self, message: UpstreamsUpdate, event: Received, now_ms: int) -> Iterator:
        self.directory.apply(message)
        yield from ()

    @_receive.register
    def _(self, message: Grant, event: Received, now_ms: int) -> Iterator[Any]:
        pending = self._pending.pop(message.request_id, None)
        if pending is None:
            if not self._holds(message):
                yield Send(event.sender, build_unsent_release(message))
            return
        is_counted = event.sender == self.leader
        self._ledger.record(pending.want, self._term if is_counted else 0, now_ms)
        slot = HeldSlot(pending.want, message.upstream, 0)
        self._held[message.request_id] = _Held(slot, now_ms)
        yield SlotGranted(message, event.sender == self.host)

    @_receive.register
    def _(self, message: SlotRefusal, event: Received, now_ms: int) -> Iterator[Any]:
        if event.sender not in (self.leader, self.host):
            return
        if self._pending.pop(message.request_id, None) is not None:
            yield SlotRefused(message, event.sender == self.host)

    def _count_hosts(self, entry_hosts: int, now_ms: int) -> None:
        """Take the largest count of late, since hosts may be slow to join a leader."""
        if entry_hosts == 0:
            return
        is_outdated = now_ms - self._counted_ms >= COUNT_KEPT_MS
        if entry_hosts >= self.entry_hosts or is_outdated or not self._is_counted:
            self.entry_hosts = entry_hosts
            self._counted_ms = now_ms
        self._is_counted = True

    def _holds(self, grant: Grant) -> bool:
        held = self._held.get(grant.request_id)
        return held is not None and held.slot.upstream == grant.upstream

    def _tell(self, message: Any, now_ms: int) -> Iterator[Any]:
        """Hand a message to whoever schedules for this host at the moment."""
        if self.leader:
            yield Send(self.leader, message)
            return
        event = Received(self.host, self.incarnation, message)
        yield from self._own.handle(event, now_ms)

    # The leader

    def _watch_leader(self, now_ms: int) -> Iterator[Any]:
        leader = self._hints.leader(now_ms)
        if leader:
            silent_ms = now_ms - self._led_ms.get(leader, -LEADER_SILENCE_MS)
            if silent_ms >= LEADER_SILENCE_MS:
                leader = ""
        if leader == self.leader:
            return
        self.leader = leader
        yield Log("scheduler_changed", (("leader", leader),))
        if leader:
            yield from self._attach(now_ms)
        else:
            yield from self._detach(now_ms)

    def _attach(self, now_ms: int) -> Iterator[Any]:
        for spending in self._ledger.take_unreported(self._term, now_ms):
            yield Send(self.leader, spending)
        for held in self._held.values():
            held.told_ms = now_ms
            yield Send(self.leader, held.slot)
        for pending in self._pending.values():
            pending.asked_ms = now_ms
            yield Send(self.leader, _aged(pending, now_ms))

    def _detach(self, now_ms: int) -> Iterator[Any]:
        self._detached_ms = now_ms
        self._own_list = self.directory.upstreams
        shares = {
            one.client_account: leaderless_share(one.share, self._sharing_hosts)
            for one in self._spent
        }
        self._own.allowances.set_account_shares(shares, now_ms)
        yield from self._own.handle(HostLost(self.host, True), now_ms)
        yield from self._use_own_list(now_ms)
        for held in self._held.values():
            yield from self._tell(held.slot, now_ms)
        for pending in tuple(self._pending.values()):
            yield from self._tell(_aged(pending, now_ms), now_ms)

    def _use_own_list(self, now_ms: int) -> Iterator[Any]:
        self._own.allowances.share = leaderless_share(0.0, self._sharing_hosts)
        self._own.retries.share = LEADERLESS_RETRY_SHARE / self._sharing_hosts
        upstreams = own_share(
            self._own_list, self.host, self.data_centre, self.entry_hosts
        )
        yield from self._own.apply_upstreams(upstreams, now_ms)

    def _beat(self, now_ms: int) -> Iterator[Send]:
        self._beat_ms = now_ms
        self._sequence += 1
        heartbeat = Heartbeat(
            data_centre=self.data_centre,
            role="entry",
            sequence=self._sequence,
            config_version=self.follower.version,
            is_leaving=False,
            leader=self.leader,
            upstreams_version=self.directory.version,
        )
        if self.leader:
            yield Send(self.leader, heartbeat)
            return
        for host in dict.fromkeys((*self._seeds, *self._control_hosts)):
            yield Send(host, heartbeat)

    def _ask_again(self, now_ms: int) -> Iterator[Send]:
        for pending in self._pending.values():
            if now_ms - pending.asked_ms >= RESEND_WANT_MS:
                pending.asked_ms = now_ms
                yield Send(self.leader, _aged(pending, now_ms))

    def _renew(self, now_ms: int) -> Iterator[Any]:
        for held in tuple(self._held.values()):
            if now_ms - held.told_ms >= RENEW_SLOT_MS:
                held.told_ms = now_ms
                yield from self._tell(held.slot, now_ms)


def _aged(pending: _Pending, now_ms: int) -> SlotRequest:
    """Return a want with the times that are left of it."""
    waited_ms = now_ms - pending.since_ms
    want = pending.want
    return replace(
        want,
        deadline_ms=max(0, want.deadline_ms - waited_ms),
        goal_ms=max(0, want.goal_ms - waited_ms),
    )
