"""Plain service under load in virtual time, with upstreams that can fail."""

from collections import Counter

from peridotfront.core.actions import Received, Send, Tick
from peridotfront.core.attempts import min_service_time_ms
from peridotfront.core.fleet import UpstreamKind
from peridotfront.core.messages import (
    CancelSlotRequest,
    Grant,
    Release,
    ReleaseCause,
    SlotRefusal,
    SlotRequest,
)
from peridotfront.core.routes import Route, RouteKind, WeightedService
from peridotfront.core.scheduler import CellScheduler
from peridotfront.core.scheduler_events import FleetChanged

from .service_fleet import build_fleet

CELL = "ledger"
HOST = "e1"
TICK_MS = 10
SLOTS = 6
SERVICE_TIME_MS = 60
TIMEOUT_MS = 1500
GOAL_MS = 300
ACCOUNTS = 5
ROUTE = Route(
    name="transfer",
    host="h.example",
    prefix="/transfer/",
    kind=RouteKind.NON_IDEMPOTENT,
    timeout_ms=TIMEOUT_MS,
    goal_ms=GOAL_MS,
    gap_target_ms=0,
    tier=1,
    services=(WeightedService(CELL, 1),),
)


class ServiceLoad:
    """Load of one service on a scheduler, as an entry host sends it.

    :param upstreams: number of upstreams.

    ``served`` counts answers by the time at which they were complete, and
    ``punctual`` those of them that met the goal, by account too. ``held_ms`` are the
    times after which requests were refused. An account of ``ACCOUNTS`` sends
    ``flood`` times as much as each other one.
    """

    def __init__(self, upstreams):
        self.now_ms = 0
        self.served = Counter()
        self.punctual = Counter()
        self.sent = Counter()
        self.held_ms = []
        self.flood = 1
        self.down = set()
        self._min_service_time_ms = min_service_time_ms(ROUTE)
        self.capacity_per_s = upstreams * SLOTS * 1000 / SERVICE_TIME_MS
        self._count = 0
        self._due_requests = 0.0
        self._waiting = {}
        self._active = []
        self.upstreams = [f"l{number}" for number in range(upstreams)]
        fleet = build_fleet(CELL, UpstreamKind.SERVICE, self.upstreams, SLOTS, ACCOUNTS)
        self.scheduler = CellScheduler(CELL, fleet, UpstreamKind.SERVICE)
        self._step(FleetChanged(fleet))

    def run(self, duration_ms, rate_per_s):
        """Send requests at a rate for a duration."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            self._due_requests += rate_per_s * TICK_MS / 1000
            while self._due_requests >= 1:
                self._due_requests -= 1
                self._send_request()
            self._finish_requests()
            self._cancel_expired()
            self._step(Tick())

    def rate_served(self, from_ms):
        """Return the requests served per second since a time."""
        served = sum(n for at_ms, n in self.served.items() if at_ms >= from_ms)
        return served * 1000 / (self.now_ms - from_ms)

    def reset(self):
        """Count from now on only."""
        self.served.clear()
        self.punctual.clear()
        self.sent.clear()
        self.held_ms.clear()

    def _next_account(self):
        number = self._count % (ACCOUNTS - 1 + self.flood)
        return f"a{min(number, ACCOUNTS - 1)}"

    def _send_request(self):
        self._count += 1
        slot_request = SlotRequest(
            request_id=f"r{self._count}",
            cell=CELL,
            model="",
            tier=1,
            client_account=self._next_account(),
            prompt_tokens=0,
            output_tokens=0,
            prefix_hashes=(),
            fingerprint=self._count,
            deadline_ms=TIMEOUT_MS - self._min_service_time_ms,
            goal_ms=GOAL_MS,
        )
        self.sent[slot_request.client_account] += 1
        self._waiting[slot_request.request_id] = (slot_request, self.now_ms)
        self._step(Received(HOST, 1, slot_request))

    def _cancel_expired(self):
        """Cancel the slot requests that waited until their deadline."""
        max_wait_ms = TIMEOUT_MS - self._min_service_time_ms
        old = [
            slot_request
            for slot_request, since_ms in self._waiting.values()
            if self.now_ms - since_ms >= max_wait_ms
        ]
        for slot_request in old:
            del self._waiting[slot_request.request_id]
            self._step(
                Received(HOST, 1, CancelSlotRequest(slot_request.request_id, CELL))
            )

    def _step(self, event):
        for action in tuple(self.scheduler.handle(event, self.now_ms)):
            message = action.message if isinstance(action, Send) else None
            if isinstance(message, Grant):
                self._start(message)
            elif isinstance(message, SlotRefusal):
                _, since_ms = self._waiting.pop(message.request_id)
                self.held_ms.append(self.now_ms - since_ms)

    def _start(self, grant):
        slot_request, since_ms = self._waiting.pop(grant.request_id)
        remaining_ms = since_ms + TIMEOUT_MS - self.now_ms
        cause = ReleaseCause.COMPLETED
        duration_ms = SERVICE_TIME_MS
        if grant.upstream in self.down:
            cause = ReleaseCause.UNREACHABLE
            duration_ms = TICK_MS
        elif remaining_ms < SERVICE_TIME_MS:
            cause = ReleaseCause.OUT_OF_TIME
            duration_ms = remaining_ms
        end_ms = self.now_ms + duration_ms
        is_punctual = end_ms - since_ms <= GOAL_MS
        active = (end_ms, slot_request, grant.upstream, cause, is_punctual)
        self._active.append(active)

    def _finish_requests(self):
        ended = [request for request in self._active if request[0] <= self.now_ms]
        self._active = [request for request in self._active if request[0] > self.now_ms]
        for _, slot_request, upstream, cause, is_punctual in ended:
            if cause is ReleaseCause.COMPLETED:
                self.served[self.now_ms] += 1
                self.punctual[slot_request.client_account] += is_punctual
            release = Release(
                request_id=slot_request.request_id,
                cell=CELL,
                upstream=upstream,
                cause=cause,
                prompt_tokens=0,
                cached_tokens=0,
                produced_tokens=0,
                first_token_ms=-1,
                duration_ms=SERVICE_TIME_MS,
                slow_tokens=-1,
            )
            self._step(Received(HOST, 1, release))
