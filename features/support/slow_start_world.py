"""Upstreams that are cold after a start, under load in virtual time.

Compare the option off and on by hand::

    .venv/bin/python -m features.support.slow_start_world
"""

import heapq
import random
from dataclasses import dataclass, field

from peridotfront.core.actions import Log, Received, Tick
from peridotfront.core.crash_guard import CrashGuard
from peridotfront.core.crash_history import CrashHistory
from peridotfront.core.messages import (
    CancelSlotRequest,
    Grant,
    HeldSlot,
    ListedUpstream,
    ReleaseCause,
    SlotRefusal,
    SlotRequest,
)
from peridotfront.core.releases import build_release
from peridotfront.core.routes import EngineProperties, RoutedService, RoutingConfig
from peridotfront.core.scheduling_options import SchedulingOptions
from peridotfront.core.service_schedulers import ServiceSchedulers, SharedLimits
from peridotfront.core.stream_origins import StreamOrigins
from peridotfront.core.upstream_limits import UpstreamLimits

CELL = "models"
HOST = "e1"
TICK_MS = 5
RENEWAL_MS = 1000
COLD_RATIO = 5.0
COLD_MS = 4000
RESTART_MS = 300
JUDGED_MS = 5000
TIMEOUT_RATIO = 4
# Of three upstreams two are fast and one is slow; the last of 12 is slow.
UNEQUAL = (0.68, 0.68, 3.0)


@dataclass(frozen=True)
class Kind:
    """Kind of request: its share, size, tier, and the goal for its first event."""

    share: float
    prompt_tokens: int
    events: int
    tier: int
    goal_ms: int


@dataclass(frozen=True)
class Model:
    """Speed and load of the upstreams of a deployment."""

    slots: int
    prefill_tokens_per_ms: float
    event_ms: float
    kinds: tuple
    tokens_per_event: int

    def slot_ms(self, kind):
        """Return how long a request of a kind holds a slot of usual speed."""
        prefill_ms = kind.prompt_tokens / self.prefill_tokens_per_ms
        return prefill_ms + kind.events * self.event_ms


MODELS = {
    "first": Model(
        5,
        64.2,
        4.23 * 5,
        (
            Kind(64.6, 3720, 24, 1, 825),
            Kind(54.7, 2890, 10, 2, 618),
            Kind(142, 1110, 34, 3, 410),
        ),
        5,
    ),
    "second": Model(
        6,
        50.7,
        5.95 * 3,
        (
            Kind(38.8, 3720, 40, 1, 863),
            Kind(51.2, 2890, 17, 2, 845),
            Kind(54.5, 1110, 57, 3, 626),
        ),
        3,
    ),
    "plain": Model(6, 1e9, 90.0, (Kind(65.5, 0, 1, 3, 424),), 1),
}


@dataclass
class Server:
    """An upstream; it is slow until ``cold_until_ms`` and refuses while it is down."""

    speed: float
    cold_until_ms: float = 0.0
    down_until_ms: float = 0.0
    prefilled_ms: float = 0.0
    running: dict = field(default_factory=dict)

    def done_ms(self, start_ms, work_ms):
        """Return when work that begins at a time is done."""
        work_ms *= self.speed
        cold_ms = max(0.0, self.cold_until_ms - start_ms)
        if work_ms * COLD_RATIO <= cold_ms:
            return start_ms + work_ms * COLD_RATIO
        return start_ms + cold_ms + work_ms - cold_ms / COLD_RATIO


@dataclass
class Call:
    """A request of a caller and what became of it."""

    kind: Kind
    slot_request: SlotRequest
    arrived_ms: int
    noise: float
    upstream: str = ""
    granted_ms: int = -1
    first_ms: float = -1
    outcome: str = "waiting"

    @property
    def is_in_time(self):
        """Return whether the answer began within the goal."""
        took_ms = self.first_ms - self.arrived_ms
        return self.first_ms >= 0 and took_ms <= self.kind.goal_ms


class SlowStartWorld:
    """Load before the service schedulers of a leader.

    :param model: name of the upstreams' model.
    :param servers: number of upstreams that are listed from the begin.
    :param load: load as a share of the capacity of ``of_servers`` upstreams.
    :param speeds: factors on the times of the upstreams, in turns.
    """

    def __init__(
        self,
        finds_pace,
        *,
        model="second",
        servers=11,
        of_servers=12,
        load=0.8,
        speeds=(1.0,),
        seed=1,
    ):
        self.random = random.Random(f"{seed}/slow start")
        self.model = MODELS[model]
        self.is_plain = model == "plain"
        self.finds_pace = finds_pace
        self.speeds = speeds
        self.now_ms = 0
        self.servers, self.calls, self.logs = {}, {}, []
        self.events, self.count = [], 0
        self.set_load(load, of_servers)
        self.replace_leader()
        self.add(servers)
        self.run(6000)

    # Troubles

    def set_load(self, load, of_servers):
        """Set the load as a share of the capacity of a number of upstreams."""
        kinds = self.model.kinds
        mean_ms = sum(k.share * self.model.slot_ms(k) for k in kinds)
        mean_ms /= sum(k.share for k in kinds)
        speed = sum(1 / self.speeds[n % len(self.speeds)] for n in range(of_servers))
        self.rate_per_ms = load * speed * self.model.slots / mean_ms

    def add(self, count, cold_ms=0):
        """List more upstreams, which are cold for a time, and return their names."""
        names = [f"u{len(self.servers) + n}" for n in range(count)]
        for name in names:
            speed = self.speeds[len(self.servers) % len(self.speeds)]
            self.servers[name] = Server(speed, self.now_ms + cold_ms)
        self.list(self.servers)
        return names

    def list(self, names):
        """Send the scheduler a list of upstreams."""
        slots = self.model.slots
        listed = [
            ListedUpstream(n, CELL, "10.0.0.1:80", "dc", slots, False) for n in names
        ]
        self.act(self.schedulers.apply_upstreams(tuple(listed), self.now_ms))

    def restart(self, name, down_ms=RESTART_MS):
        """Restart an upstream under its name; its requests are lost."""
        server = self.servers[name]
        server.down_until_ms = self.now_ms + down_ms
        server.cold_until_ms = server.down_until_ms + COLD_MS
        server.prefilled_ms = 0.0
        for call in list(server.running.values()):
            self.end(call, ReleaseCause.UPSTREAM_DIED)

    def replace_leader(self):
        """Start a scheduler that knows nothing; hosts report what they hold."""
        options = SchedulingOptions(finds_pace=self.finds_pace)
        self.schedulers = ServiceSchedulers(
            SharedLimits(scheduling=options),
            StreamOrigins(),
            CrashGuard(CrashHistory()),
            UpstreamLimits(),
        )
        engine = None if self.is_plain else EngineProperties(6, 623_709)
        routing = RoutingConfig(1, services=(RoutedService(CELL, engine),))
        self.act(self.schedulers.apply_routing(routing, self.now_ms))
        self.list(self.servers)
        for call in self.calls.values():
            if call.outcome == "waiting" and call.upstream:
                self.hold(call)
            elif call.outcome == "waiting":
                self.step(call.slot_request)

    # Running

    def run(self, duration_ms):
        """Run the load for a time."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            while self.events and self.events[0][0] <= self.now_ms:
                heapq.heappop(self.events)[2]()
            for _ in range(int(self.rate_per_ms * TICK_MS + self.random.random())):
                self.arrive()
            self.act(self.schedulers.handle(Tick(), self.now_ms))

    def after(self, at_ms, action):
        """Do something at a time."""
        self.count += 1
        heapq.heappush(self.events, (at_ms, self.count, action))

    def step(self, message):
        """Send the leader a message of the entry host."""
        event = Received(HOST, 1, message)
        self.act(self.schedulers.handle(event, self.now_ms))

    def act(self, actions):
        """Act on what the leader decides."""
        for action in tuple(actions):
            if isinstance(action, Log):
                self.logs.append((self.now_ms, action))
            elif isinstance(action.message, Grant):
                self.start(action.message)
            elif isinstance(action.message, SlotRefusal):
                self.calls[action.message.request_id].outcome = "refused"

    def arrive(self):
        """Send a request."""
        number = len(self.calls) + 1
        kinds = self.model.kinds
        kind = self.random.choices(kinds, [k.share for k in kinds])[0]
        timeout_ms = kind.goal_ms * TIMEOUT_RATIO
        slot_request = SlotRequest(
            request_id=f"r{number}",
            cell=CELL,
            model="",
            tier=kind.tier,
            client_account=f"a{number % 16}",
            prompt_tokens=kind.prompt_tokens,
            output_tokens=kind.events * self.model.tokens_per_event,
            prefix_hashes=(),
            fingerprint=number,
            deadline_ms=timeout_ms,
            goal_ms=kind.goal_ms,
        )
        call = Call(kind, slot_request, self.now_ms, self.random.uniform(0.8, 1.2))
        self.calls[slot_request.request_id] = call
        self.after(self.now_ms + timeout_ms, lambda: self.time_out(call))
        self.step(slot_request)

    def start(self, grant):
        """Send a granted request to its upstream."""
        call = self.calls[grant.request_id]
        if call.outcome != "waiting":
            return
        call.upstream, call.granted_ms = grant.upstream, self.now_ms
        server = self.servers[grant.upstream]
        if self.now_ms < server.down_until_ms:
            self.after(
                self.now_ms + 2, lambda: self.end(call, ReleaseCause.UNREACHABLE)
            )
            return
        server.running[grant.request_id] = call
        start_ms = max(self.now_ms, server.prefilled_ms)
        prefill_ms = call.kind.prompt_tokens / self.model.prefill_tokens_per_ms
        first_ms = server.prefilled_ms = server.done_ms(start_ms, prefill_ms)
        work_ms = call.kind.events * self.model.event_ms * call.noise
        end_ms = server.done_ms(first_ms, work_ms)
        if self.is_plain:
            first_ms = end_ms
        self.after(first_ms, lambda: self.begin_answer(call, first_ms))
        self.after(end_ms, lambda: self.end(call, ReleaseCause.COMPLETED))

    def begin_answer(self, call, first_ms):
        """Take note of the first event of an answer."""
        if call.outcome == "waiting":
            call.first_ms = first_ms
            self.renew(call)

    def renew(self, call):
        """Report a held slot, as entry hosts do until its end."""
        if call.outcome == "waiting":
            self.hold(call)
            self.after(self.now_ms + RENEWAL_MS, lambda: self.renew(call))

    def hold(self, call):
        """Report a held slot once."""
        elapsed_ms = self.now_ms - call.first_ms
        produced = (
            1 + int(elapsed_ms / self.model.event_ms) if call.first_ms >= 0 else 0
        )
        produced = 0 if self.is_plain else produced
        self.step(HeldSlot(call.slot_request, call.upstream, produced))

    def time_out(self, call):
        """Give up a request whose answer has not begun."""
        if call.outcome != "waiting" or call.first_ms >= 0:
            return
        if call.upstream:
            self.end(call, ReleaseCause.OUT_OF_TIME)
        else:
            call.outcome = "timed out"
            self.step(CancelSlotRequest(call.slot_request.request_id, CELL))

    def end(self, call, cause):
        """End a request and release its slot."""
        if call.outcome != "waiting":
            return
        is_complete = cause is ReleaseCause.COMPLETED
        call.outcome = "answered" if is_complete else "failed"
        if call.upstream in self.servers:
            self.servers[call.upstream].running.pop(call.slot_request.request_id, None)
        first_token_ms = int(call.first_ms - call.granted_ms) if is_complete else -1
        release = build_release(
            call.slot_request,
            call.upstream,
            cause,
            produced_tokens=call.kind.events if is_complete else 0,
            first_token_ms=first_token_ms,
            duration_ms=self.now_ms - call.granted_ms,
        )
        self.step(release)

    # Judgement

    @property
    def scheduler(self):
        """Return the scheduler of the service."""
        return self.schedulers.schedulers[CELL]

    def pace(self, name):
        """Return the pace of an upstream by the dump; None if it has all slots."""
        upstreams = self.scheduler.dump().upstreams
        return next(u.pace_slots for u in upstreams if u.name == name)

    def used_slots(self, name):
        """Return the number of slots in use at an upstream."""
        return len(self.servers[name].running)

    def judge(self, since_ms, upstreams=None):
        """Return answers in time, late first answers, errors and times since then.

        :param upstreams: upstreams whose requests are counted; None for all requests.
        """
        calls = [
            call
            for call in self.calls.values()
            if since_ms <= call.arrived_ms < since_ms + JUDGED_MS
            and (upstreams is None or call.upstream in upstreams)
        ]
        times = sorted(c.first_ms - c.arrived_ms for c in calls if c.first_ms >= 0)
        in_time = sum(call.is_in_time for call in calls)
        errors = sum(call.outcome in ("failed", "timed out") for call in calls)
        return {
            "calls": len(calls),
            "in_time": in_time,
            "late": len(times) - in_time,
            "refused": sum(call.outcome == "refused" for call in calls),
            "errors": errors,
            "p50_ms": int(times[len(times) // 2]) if times else -1,
            "p99_ms": int(times[len(times) * 99 // 100]) if times else -1,
        }


def start_cold(finds_pace, *, count=1, cold_ms=COLD_MS, **fields):
    """Return a world in which upstreams have started cold, and their names.

    :return: the world, 5 s and the longest wait after the start; the names; the time.
    """
    world = SlowStartWorld(finds_pace, servers=12 - count, **fields)
    since_ms = world.now_ms
    names = world.add(count, cold_ms)
    world.run(JUDGED_MS + 3500)
    return world, names, since_ms


def restart_cold(finds_pace, **fields):
    """Return a world in which one upstream has restarted under load."""
    world = SlowStartWorld(finds_pace, servers=12, **fields)
    since_ms = world.now_ms
    world.restart("u2")
    world.run(JUDGED_MS + 3500)
    return world, ["u2"], since_ms


def main():
    """Print what callers get with the option off and on."""
    for model in MODELS:
        speeds = (1.0,) if model == "plain" else UNEQUAL
        for text, begin, fields in (
            ("1 of 12 starts", start_cold, {}),
            ("6 of 12 start", start_cold, {"count": 6, "load": 0.5}),
            ("1 of 12 restarts", restart_cold, {}),
            ("6 fast, 0.8", start_cold, {"count": 6, "cold_ms": 0}),
            ("1 fast, 1.1", start_cold, {"cold_ms": 0, "load": 1.1}),
        ):
            for finds_pace in (False, True):
                totals, own = {}, {}
                for seed in (1, 2, 3):
                    world, names, since_ms = begin(
                        finds_pace, model=model, speeds=speeds, seed=seed, **fields
                    )
                    for sums, only in ((totals, None), (own, names)):
                        for key, value in world.judge(since_ms, only).items():
                            sums.setdefault(key, []).append(value)
                print(model, text, "on" if finds_pace else "off")
                for sums in (totals, own):
                    print("   ", {key: sum(v) // 3 for key, v in sums.items()})


if __name__ == "__main__":
    main()
