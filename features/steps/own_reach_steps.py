"""Steps for an entry host that schedules cells for others on the own interface."""

from itertools import count

from behave import given, then, when

from peridotfront.core.actions import Received, Send, Tick
from peridotfront.core.claim_client import ClaimClient
from peridotfront.core.config_follower import ConfigFollower
from peridotfront.core.entry_role import EntryRole
from peridotfront.core.fleet import Fleet, UpstreamKind, UpstreamSpec
from peridotfront.core.host_monitor import HostMonitor
from peridotfront.core.messages import (
    CancelSlotRequest,
    Grant,
    Heartbeat,
    ReleaseCause,
    SlotRequest,
)
from peridotfront.core.releases import build_release
from peridotfront.core.scheduler_events import FleetChanged

PEERS = ("host-a", "host-b")
# Enough for some of their cells to be scheduled by each host.
SERVICES = 12
STEP_MS = 50
SETTLING_MS = 3000


class SchedulingHost:
    """Entry host that schedules cells for two others, with upstreams of services."""

    def __init__(self, upstreams):
        self.now_ms = 0
        self.count = count(1)
        monitor = HostMonitor("me", "north", PEERS, 400, 100_000)
        self.role = EntryRole(monitor, ConfigFollower(), ClaimClient("me", 1), 1)
        specs = [
            UpstreamSpec(
                f"u{service}-{number}",
                UpstreamKind.SERVICE,
                "north",
                f"10.0.{service}.{number}:1",
                service=f"s{service}",
            )
            for service in range(SERVICES)
            for number in range(upstreams)
        ]
        for peer in PEERS:
            self.feed(Received(peer, 7, Heartbeat("north", "entry", 1, 1, False)))
        self.feed(FleetChanged(Fleet(version=1, upstreams=tuple(specs))))
        self.cell = sorted(self.role.schedulers)[0]
        for _ in range(SETTLING_MS // STEP_MS):
            self.now_ms += STEP_MS
            self.feed(Tick())

    def feed(self, event):
        return tuple(self.role.handle(event, self.now_ms))

    def request(self, peer, excluded=()):
        """Send a slot request of a host and return it, with its grant or None."""
        slot_request = SlotRequest(
            request_id=f"r{next(self.count)}",
            cell=self.cell,
            model="",
            tier=1,
            client_account="a",
            prompt_tokens=0,
            output_tokens=1,
            prefix_hashes=(),
            fingerprint=1,
            deadline_ms=10_000,
            excluded=tuple(excluded),
        )
        actions = self.feed(Received(peer, 7, slot_request))
        messages = [action.message for action in actions if isinstance(action, Send)]
        grants = [message for message in messages if isinstance(message, Grant)]
        return slot_request, grants[0] if grants else None

    def fail(self, peer):
        """Let a host fail to connect to each upstream that it is granted."""
        failed = []
        while True:
            slot_request, grant = self.request(peer, failed)
            if grant is None:
                cancel = CancelSlotRequest(slot_request.request_id, self.cell)
                self.feed(Received(peer, 7, cancel))
                return
            self.now_ms += STEP_MS
            failed.append(grant.upstream)
            release = build_release(
                slot_request, grant.upstream, ReleaseCause.UNREACHABLE
            )
            self.feed(Received(peer, 7, release))


@given("an entry host that schedules a cell of {upstreams:d} upstreams for 2 others")
def make_host(context, upstreams):
    context.scheduling = SchedulingHost(upstreams)


@when("the first of them can't connect to any upstream")
def fail_first(context):
    context.scheduling.fail(PEERS[0])


@when("the second of them can't connect to any upstream")
def fail_second(context):
    context.scheduling.fail(PEERS[1])


@then("the second one is granted a slot at once")
def is_granted(context):
    _, grant = context.scheduling.request(PEERS[1])
    assert grant is not None


@then("the second one is granted no slot at once")
def is_not_granted(context):
    _, grant = context.scheduling.request(PEERS[1])
    assert grant is None, grant
