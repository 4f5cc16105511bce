"""Schedulers of one service in virtual time, with first sends, repeats and searches."""

from peridotfront.core.actions import Received, Send, Tick
from peridotfront.core.crash_guard import CrashGuard
from peridotfront.core.crash_history import CrashHistory
from peridotfront.core.messages import (
    CancelSlotRequest,
    Grant,
    ListedUpstream,
    NamedLimit,
    ReleaseCause,
    SlotRefusal,
)
from peridotfront.core.releases import build_release
from peridotfront.core.service_schedulers import ServiceSchedulers, SharedLimits
from peridotfront.core.stream_origins import StreamOrigins
from peridotfront.core.upstream_limits import UpstreamLimits

from .routed_upstreams import routing
from .slot_requests import plain_slot_request

SERVICE = "s"
HOST = "e1"
TICK_MS = 50
SETTLED_MS = 200


class RepeatWorld:
    """Schedulers of a service, asked for slots by one entry host.

    :param upstreams: number of upstreams.
    :param slots: slots of each.

    ``granted`` and ``refused`` are the answers by request id, ``asked_ms`` and
    ``granted_ms`` the times of the slot requests and of the grants. ``waiting`` are
    the requests without an answer, and ``held`` those that have a slot.
    """

    def __init__(self, upstreams, slots):
        self.now_ms = 0
        self.waiting = []
        self.held = []
        self.asked_ms = {}
        self.granted = {}
        self.granted_ms = {}
        self.refused = {}
        self._slot_requests = {}
        self.limits = UpstreamLimits()
        self.schedulers = ServiceSchedulers(
            SharedLimits(), StreamOrigins(), CrashGuard(CrashHistory()), self.limits
        )
        names = [f"u{number}" for number in range(1, upstreams + 1)]
        listed = [
            ListedUpstream(name, SERVICE, "127.0.0.1:1", "dc1", slots, False)
            for name in names
        ]
        self._take(self.schedulers.apply_routing(routing(), self.now_ms))
        self._take(self.schedulers.apply_upstreams(tuple(listed), self.now_ms))
        self.pass_time(SETTLED_MS)

    def name_limit(self, upstream, requests_per_s):
        """Let an upstream name a limit."""
        self.limits.set(NamedLimit(upstream, requests_per_s), self.now_ms)

    def ask(self, request_id, *, is_repeat=False, deadline_ms=3000, goal_ms=300):
        """Ask for a slot."""
        slot_request = plain_slot_request(
            request_id,
            cell=SERVICE,
            deadline_ms=deadline_ms,
            goal_ms=goal_ms,
            is_repeat=is_repeat,
        )
        self._slot_requests[request_id] = slot_request
        self.asked_ms[request_id] = self.now_ms
        self.waiting.append(request_id)
        self._receive(slot_request)

    def cancel(self, request_id):
        """Cancel a slot request, which may have been granted already."""
        held = self.waiting if request_id in self.waiting else self.held
        held.remove(request_id)
        self._receive(CancelSlotRequest(request_id, SERVICE))

    def release(self, request_id, cause=ReleaseCause.COMPLETED, duration_ms=20):
        """End a request that was granted a slot."""
        if request_id in self.held:
            self.held.remove(request_id)
        slot_request = self._slot_requests[request_id]
        upstream = self.granted[request_id].upstream
        self._receive(
            build_release(slot_request, upstream, cause, duration_ms=duration_ms)
        )

    def give_back(self, request_id):
        """Release a slot for which no request was sent."""
        self.release(request_id, ReleaseCause.NOT_SENT)

    def pass_time(self, duration_ms):
        """Let time pass."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + TICK_MS)
            self._take(self.schedulers.handle(Tick(), self.now_ms))

    def _receive(self, message):
        event = Received(HOST, 1, message)
        self._take(self.schedulers.handle(event, self.now_ms))

    def _take(self, actions):
        for action in tuple(actions):
            message = action.message if isinstance(action, Send) else None
            if isinstance(message, Grant):
                self.granted[message.request_id] = message
                self.granted_ms[message.request_id] = self.now_ms
                self.waiting.remove(message.request_id)
                self.held.append(message.request_id)
            elif isinstance(message, SlotRefusal):
                self.refused[message.request_id] = message
                self.waiting.remove(message.request_id)
