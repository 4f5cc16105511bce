"""Entry host in virtual time before an upstream that is silent for a moment."""

from peridotfront.core.actions import Tick
from peridotfront.core.gateway_events import (
    SlotGranted,
    SlotProgress,
    SlotRefused,
    SlotReleased,
    SlotRequested,
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

UPSTREAM = "u1"
TICK_MS = 10
TOKEN_MS = 40
# A gateway tells its role of the progress of a stream this often.
PROGRESS_MS = 500
STREAM_GAP_MS = 130
SETTLED_MS = 3000


class SilentWorld:
    """Entry host that schedules for itself, with streams at one upstream.

    :param slots: slots of the upstream.

    ``is_silent`` tells whether the upstream sends no tokens now.
    """

    def __init__(self, slots):
        self.now_ms = 1000
        self.is_silent = False
        self.granted = {}
        self.streams = []
        self._slot_requests = {}
        self._tokens = {}
        self._progress_ms = {}
        limits = SharedLimits(RetryLimits(slack=1_000_000))
        self.role = GatewayRole("e1", 1, "dc1", (), limits)
        self._feed(RoutingChanged(RouteTable(routing()).routing))
        listed = ListedUpstream(UPSTREAM, "s", "127.0.0.1:1", "dc1", slots, False, "v1")
        self._feed(UpstreamsListed((listed,)))
        self.run(SETTLED_MS)

    def start(self, streams):
        """Start streams one after the other."""
        for number in range(streams):
            name = f"stream{number}"
            assert self.ask(name), name
            self.streams.append(name)
            self._tokens[name] = 0
            self._progress_ms[name] = 0
            self.run(STREAM_GAP_MS)

    def ask(self, name):
        """Ask for a slot, and return whether it is granted at once."""
        slot_request = plain_slot_request(name)
        self._slot_requests[name] = slot_request
        self._feed(SlotRequested(slot_request))
        return name in self.granted

    def time_out(self, count):
        """Give up some streams, since their upstream is silent."""
        for _ in range(count):
            name = self.streams.pop()
            release = build_release(
                self._slot_requests[name], UPSTREAM, ReleaseCause.UPSTREAM_TIMEOUT
            )
            self._feed(SlotReleased(release))

    def run(self, duration_ms):
        """Let time pass."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            if self.now_ms % TOKEN_MS < TICK_MS and not self.is_silent:
                self._send_tokens()
            self._feed(Tick())

    def _send_tokens(self):
        for name in self.streams:
            self._tokens[name] += 1
            if self.now_ms - self._progress_ms[name] >= PROGRESS_MS:
                self._progress_ms[name] = self.now_ms
                self._feed(SlotProgress(name, self._tokens[name]))

    def _feed(self, event):
        for action in tuple(self.role.handle(event, self.now_ms)):
            if isinstance(action, SlotGranted):
                self.granted[action.grant.request_id] = self.now_ms
            elif isinstance(action, SlotRefused):
                self._slot_requests.pop(action.refusal.request_id)
