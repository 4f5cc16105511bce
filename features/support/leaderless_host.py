"""Entry host without a leader, and random events for it."""

import random

from peridotfront.core.actions import Tick
from peridotfront.core.gateway_events import (
    SlotGranted,
    SlotReleased,
    SlotRequestCancelled,
    SlotRequested,
    UpstreamBusy,
    UpstreamLeaving,
)
from peridotfront.core.gateway_role import GatewayRole
from peridotfront.core.messages import ListedUpstream, ReleaseCause
from peridotfront.core.releases import build_release
from peridotfront.core.retry_budgets import RetryLimits
from peridotfront.core.routes import RouteTable
from peridotfront.core.routing_events import RoutingChanged, UpstreamsListed
from peridotfront.core.service_schedulers import SharedLimits

from .routed_upstreams import routing
from .slot_requests import plain_slot_request

MAX_ACTIONS = 5000
CAUSES = (
    ReleaseCause.COMPLETED,
    ReleaseCause.REJECTED,
    ReleaseCause.OTHER_UPSTREAM,
    ReleaseCause.UPSTREAM_DIED,
    ReleaseCause.NOT_SENT,
)


class LeaderlessHost:
    """Role of an entry host without a leader, fed with random events of one seed."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now_ms = 1000
        self.granted = {}
        self.requests = 0
        limits = SharedLimits(RetryLimits(slack=1_000_000))
        self.role = GatewayRole("e1", 1, "dc1", (), limits)
        self.names = [f"u{n}" for n in range(1, self.random.randint(2, 4))]
        self.feed(RoutingChanged(RouteTable(routing()).routing))
        self.feed(UpstreamsListed(tuple(map(self._listed, self.names))))

    def _listed(self, name):
        slots = self.random.randint(1, 4)
        address = f"127.0.0.1:{8000 + int(name[1:])}"
        return ListedUpstream(name, "s", address, "dc1", slots, False, "v1")

    def feed(self, event):
        """Feed an event; fail if it has actions without end."""
        for count, action in enumerate(self.role.handle(event, self.now_ms)):
            assert count < MAX_ACTIONS, f"{event} has actions without end"
            if isinstance(action, SlotGranted):
                self.granted[action.grant.request_id] = action.grant

    def play(self, events):
        """Feed random events of all kinds, some of them at the same time."""
        kinds = (
            (0.40, self._request),
            (0.65, self._release),
            (0.75, self._announce_busy),
            (0.80, self._announce_leaving),
            (0.85, self._cancel),
            (1.00, lambda: self.feed(Tick())),
        )
        for _ in range(events):
            self.now_ms += self.random.choice((0, 0, 1, 5, 20, 100))
            draw = self.random.random()
            next(kind for limit, kind in kinds if draw < limit)()

    def _request(self):
        self.requests += 1
        count = self.random.choice((0, 0, 0, 1))
        excluded = tuple(self.random.sample(self.names, count))
        self.feed(
            SlotRequested(plain_slot_request(f"r{self.requests}", excluded=excluded))
        )

    def _release(self):
        if not self.granted:
            return
        request_id = self.random.choice(list(self.granted))
        grant = self.granted.pop(request_id)
        cause = self.random.choice(CAUSES)
        if cause is ReleaseCause.REJECTED:
            self.feed(UpstreamBusy(grant.upstream, 700))
        slot_request = plain_slot_request(request_id)
        release = build_release(slot_request, grant.upstream, cause, duration_ms=10)
        self.feed(SlotReleased(release))

    def _announce_busy(self):
        duration_ms = self.random.choice((200, 700, 1500))
        self.feed(UpstreamBusy(self.random.choice(self.names), duration_ms))

    def _announce_leaving(self):
        self.feed(UpstreamLeaving(self.random.choice(self.names)))

    def _cancel(self):
        number = self.random.randint(1, max(1, self.requests))
        self.feed(SlotRequestCancelled(f"r{number}"))
