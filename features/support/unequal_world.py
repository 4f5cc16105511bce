"""Model upstreams of unequal speed in three data centres, in virtual time.

Compare the option off and on by hand::

    .venv/bin/python -m features.support.unequal_world --load 0.9
"""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from math import ceil, exp, pi, sin

from peridotfront.core.actions import Received, Send, Tick
from peridotfront.core.fleet import AccountSpec, Fleet, UpstreamKind, UpstreamSpec
from peridotfront.core.host_reach import HostReach
from peridotfront.core.messages import (
    CancelSlotRequest,
    Grant,
    HeldSlot,
    Release,
    ReleaseCause,
    SlotRefusal,
    SlotRequest,
    UpstreamReport,
)
from peridotfront.core.scheduler import CellScheduler
from peridotfront.core.scheduling_options import SchedulingOptions
from peridotfront.core.service_schedulers import (
    INITIAL_DECODE_TOKENS_PER_S,
    INITIAL_PREFILL_TOKENS_PER_S,
    SERVICE_POLICY,
)
from peridotfront.core.upstream_capacity import UpstreamCapacity
from peridotfront.core.upstream_rates import UpstreamRates

CELL = "models"
TICK_MS = 10
RENEWAL_MS = 1000
CENTRES = ("dc0", "dc1", "dc2")
SPEEDS = (0.68, 0.68, 3.0)
SLOTS = 5
PROMPT_TOKENS_PER_MS = 64.2
STEP_MS = 4.23
TOKENS_PER_EVENT = 5
# A step takes longer if more answers are produced at the same time.
STEP_SHARE_PER_ANSWER = 0.05
KV_TOKENS = 530_848
TIMEOUT_GOALS = 6


@dataclass(frozen=True)
class Kind:
    """Kind of request of the first reference deployment."""

    name: str
    tier: int
    rate_per_s: float
    prompt_tokens: int
    output_tokens: int
    goal_ms: int

    def hold_ms(self, mean_ratio):
        """Return the mean time that it holds a slot of an upstream of speed 1.

        :param mean_ratio: mean length of the answers as a multiple of the median.
        """
        step_ms = STEP_MS * (1 + STEP_SHARE_PER_ANSWER * (SLOTS - 1))
        output_tokens = self.output_tokens * mean_ratio
        return self.prompt_tokens / PROMPT_TOKENS_PER_MS + output_tokens * step_ms


KINDS = (
    Kind("long", 1, 64.6, 3720, 24 * TOKENS_PER_EVENT, 825),
    Kind("medium", 2, 54.7, 2890, 10 * TOKENS_PER_EVENT, 618),
    Kind("short", 3, 142.0, 1110, 34 * TOKENS_PER_EVENT, 410),
)


@dataclass
class Server:
    """Upstream of some speed, which processes prompts in order."""

    name: str
    centre: str
    speed: float
    free_ms: float = 0.0
    running: list = field(default_factory=list)

    @property
    def answers(self):
        """Return the number of requests that it holds."""
        return len(self.running)


@dataclass
class Running:
    """Request that was granted."""

    request: SlotRequest
    kind: Kind
    host: str
    since_ms: int
    server: Server
    granted_ms: int
    output_tokens: int
    first_ms: float = 0.0
    step_ms: float = 0.0

    def produced(self, now_ms):
        """Return the tokens of the answer so far."""
        if now_ms < self.first_ms:
            return 0
        steps = int((now_ms - self.first_ms) / self.step_ms)
        return min(self.output_tokens, TOKENS_PER_EVENT + steps)


class UnequalWorld:
    """Load on one service's scheduler, as three entry hosts send it.

    :param learns: whether the option under test is on.
    :param load: load as a multiple of what the upstreams can do.
    :param wave: share by which the demand of a data centre rises and falls.
    :param spread: deviation of the logarithm of the answers' lengths.
    """

    def __init__(
        self,
        learns,
        load,
        *,
        seed=1,
        wave=0.0,
        period_ms=6000,
        spread=0.4,
        kinds=KINDS,
        upstreams=45,
        kv_tokens=KV_TOKENS,
        prefix_hashes=(),
    ):
        self.random = random.Random(seed)
        self.now_ms = 0
        self.wave, self.period_ms, self.spread = wave, period_ms, spread
        self.kinds = kinds
        self.kv_tokens = kv_tokens
        self.prefix_hashes = prefix_hashes
        self.options = SchedulingOptions(learns_speeds=learns)
        self.servers = {
            f"m{n}": Server(f"m{n}", CENTRES[n // 3 % 3], SPEEDS[n % 3])
            for n in range(upstreams)
        }
        rate = sum(kind.rate_per_s for kind in kinds)
        hold_ms = sum(
            kind.rate_per_s / rate * kind.hold_ms(exp(spread**2 / 2)) for kind in kinds
        )
        slots = sum(SLOTS / server.speed for server in self.servers.values())
        self.rate_per_ms = load * slots / hold_ms
        self.events = []
        self.numbers = count()
        self.waiting, self.running = {}, {}
        self.due = 0.0
        self.reset()
        self.start_scheduler()

    def reset(self):
        """Count from now on only."""
        self.reset_ms = self.now_ms
        self.sent, self.punctual, self.refused = Counter(), Counter(), Counter()
        self.granted, self.remote = Counter(), Counter()
        self.grants_by_server = Counter()
        self.peak_tokens = 0

    def start_scheduler(self):
        """Start a scheduler that knows nothing, as a new leader does."""
        reach = HostReach()
        for centre in CENTRES:
            reach.join(f"e-{centre}", centre)
        specs = tuple(
            UpstreamSpec(
                name=server.name,
                kind=UpstreamKind.ENGINE,
                data_centre=server.centre,
                address="",
                models=("",),
                prefill_tokens_per_s=INITIAL_PREFILL_TOKENS_PER_S,
                decode_tokens_per_s=INITIAL_DECODE_TOKENS_PER_S,
                kv_capacity_tokens=self.kv_tokens,
                max_slots=SLOTS,
                pool=CELL,
            )
            for server in self.servers.values()
        )
        accounts = tuple(AccountSpec(f"a{n}", "") for n in range(16))
        fleet = Fleet(1, specs, accounts, policy=SERVICE_POLICY)
        self.scheduler = CellScheduler(
            CELL, fleet, UpstreamKind.ENGINE, reach=reach, options=self.options
        )
        self._step(Tick())
        for running in self.running.values():
            self._report_held(running)

    def run(self, duration_ms):
        """Send requests for a duration."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            tick_ms = self.now_ms + TICK_MS
            while self.events and self.events[0][0] <= tick_ms:
                at_ms, _, handler, running = heapq.heappop(self.events)
                self.now_ms = max(self.now_ms, ceil(at_ms))
                handler(running)
            self.now_ms = tick_ms
            self.due += self.rate_per_ms * TICK_MS
            while self.due >= 1:
                self.due -= 1
                self._send()
            self._cancel_expired()
            self._step(Tick())

    def measure(self, warm_up_ms=3000, duration_ms=6000):
        """Send requests for a while, and count them after a warm-up."""
        self.run(warm_up_ms)
        self.reset()
        self.run(duration_ms)
        rate, self.rate_per_ms = self.rate_per_ms, 0.0
        self.run(TIMEOUT_GOALS * max(kind.goal_ms for kind in self.kinds))
        self.rate_per_ms = rate
        return self

    def share_punctual(self, *names):
        """Return the share of the requests of some kinds that met their goal."""
        names = names or [kind.name for kind in self.kinds]
        sent = sum(self.sent[name] for name in names)
        return sum(self.punctual[name] for name in names) / max(1, sent)

    def share_remote(self):
        """Return the share of the grants in another data centre."""
        return self.remote.total() / max(1, self.granted.total())

    def upstream(self, name):
        """Return the scheduler's state of an upstream."""
        return next(u for u in self.scheduler.upstreams if u.name == name)

    def share_known(self):
        """Return the share of the busy upstreams whose speed is known within 1.3."""
        busy = {running.server.name for running in self.running.values()}
        errors = [
            PROMPT_TOKENS_PER_MS
            * 1000
            / self.servers[name].speed
            / self.upstream(name).capacity.prefill_tokens_per_s
            for name in busy
        ]
        return sum(1 / 1.3 <= error <= 1.3 for error in errors) / len(errors)

    def report_memory(self, kv_tokens):
        """Report a size of the memory for every upstream."""
        for name in self.servers:
            report = UpstreamReport(name, CELL, True, False, 0, 0, 0, kv_tokens, 1)
            self._step(Received("e-dc0", 1, report))

    def _send(self):
        kind = self.random.choices(self.kinds, [k.rate_per_s for k in self.kinds])[0]
        weights = [
            1 + self.wave * sin(2 * pi * (self.now_ms / self.period_ms + n / 3))
            for n in range(3)
        ]
        host = f"e-{self.random.choices(CENTRES, weights)[0]}"
        name = f"r{next(self.numbers)}"
        request = SlotRequest(
            request_id=name,
            cell=CELL,
            model="",
            tier=kind.tier,
            client_account=f"a{self.random.randrange(16)}",
            prompt_tokens=kind.prompt_tokens,
            output_tokens=kind.output_tokens,
            prefix_hashes=self.prefix_hashes,
            fingerprint=next(self.numbers),
            deadline_ms=kind.goal_ms * TIMEOUT_GOALS,
            goal_ms=kind.goal_ms,
        )
        factor = self.random.lognormvariate(0, self.spread)
        self.sent[kind.name] += 1
        output_tokens = max(2 * TOKENS_PER_EVENT, int(kind.output_tokens * factor))
        self.waiting[name] = (request, kind, host, self.now_ms, output_tokens)
        self._step(Received(host, 1, request))

    def _cancel_expired(self):
        for name, (request, _, host, since_ms, _) in tuple(self.waiting.items()):
            if self.now_ms - since_ms >= request.deadline_ms:
                del self.waiting[name]
                self._step(Received(host, 1, CancelSlotRequest(name, CELL)))

    def _step(self, event):
        for action in tuple(self.scheduler.handle(event, self.now_ms)):
            message = action.message if isinstance(action, Send) else None
            if isinstance(message, Grant):
                self._start(message)
            elif isinstance(message, SlotRefusal):
                _, kind, *_ = self.waiting.pop(message.request_id)
                self.refused[kind.name] += 1

    def _start(self, grant):
        request, kind, host, since_ms, output_tokens = self.waiting.pop(
            grant.request_id
        )
        server = self.servers[grant.upstream]
        running = Running(
            request, kind, host, since_ms, server, self.now_ms, output_tokens
        )
        self.running[request.request_id] = running
        self.granted[kind.name] += 1
        self.grants_by_server[server.name] += 1
        self.remote[kind.name] += host != f"e-{server.centre}"
        prefill_ms = request.prompt_tokens / PROMPT_TOKENS_PER_MS * server.speed
        server.free_ms = max(server.free_ms, self.now_ms) + prefill_ms
        server.running.append(running)
        load = 1 + STEP_SHARE_PER_ANSWER * (server.answers - 1)
        running.step_ms = STEP_MS * server.speed * load
        running.first_ms = server.free_ms + TOKENS_PER_EVENT * running.step_ms
        steps_ms = (output_tokens - TOKENS_PER_EVENT) * running.step_ms
        self._count_memory(server)
        self._plan(running.first_ms, self._begin_answer, running)
        self._plan(running.first_ms + steps_ms, self._finish, running)

    def _count_memory(self, server):
        tokens = sum(
            running.request.prompt_tokens + running.produced(self.now_ms)
            for running in server.running
        )
        self.peak_tokens = max(self.peak_tokens, tokens)

    def _plan(self, at_ms, handler, running):
        heapq.heappush(self.events, (at_ms, next(self.numbers), handler, running))

    def _begin_answer(self, running):
        in_time = running.first_ms - running.since_ms <= running.kind.goal_ms
        if running.since_ms > self.reset_ms:
            self.punctual[running.kind.name] += in_time
        self._renew(running)

    def _renew(self, running):
        if running.request.request_id in self.running:
            self._report_held(running)
            self._plan(self.now_ms + RENEWAL_MS, self._renew, running)

    def _report_held(self, running):
        produced = running.produced(self.now_ms)
        held = HeldSlot(running.request, running.server.name, produced)
        self._step(Received(running.host, 1, held))

    def _finish(self, running):
        del self.running[running.request.request_id]
        server = running.server
        self._count_memory(server)
        server.running.remove(running)
        release = Release(
            request_id=running.request.request_id,
            cell=CELL,
            upstream=server.name,
            cause=ReleaseCause.COMPLETED,
            prompt_tokens=running.request.prompt_tokens,
            cached_tokens=0,
            produced_tokens=running.output_tokens,
            first_token_ms=int(running.first_ms - running.granted_ms),
            duration_ms=self.now_ms - running.granted_ms,
        )
        self._step(Received(running.host, 1, release))


def new_capacity(learns):
    """Return the capacity of an upstream, with a learned speed if asked."""
    capacity = UpstreamCapacity(
        max_slots=SLOTS,
        kv_capacity_tokens=KV_TOKENS,
        prefill_tokens_per_s=INITIAL_PREFILL_TOKENS_PER_S,
        gap_ms=1000 / INITIAL_DECODE_TOKENS_PER_S,
        target_gap_ms=SERVICE_POLICY.token_gap_ms,
        learns_slots=False,
    )
    if learns:
        spec = UpstreamSpec("m0", UpstreamKind.ENGINE, "dc0", "")
        UpstreamRates().attach(spec, capacity)
    return capacity


def main(load=0.9, seed=1, wave=0.0, duration_ms=6000):
    """Print what callers get with the option off and on."""
    for learns in (False, True):
        world = UnequalWorld(learns, load, seed=seed, wave=wave)
        world.measure(duration_ms=duration_ms)
        shares = {k.name: round(world.share_punctual(k.name), 3) for k in KINDS}
        slow = sum(n for m, n in world.grants_by_server.items() if int(m[1:]) % 3 == 2)
        print(
            "on " if learns else "off",
            shares,
            f"all {world.share_punctual():.3f}",
            f"refused {dict(world.refused)}",
            f"remote {world.share_remote():.3f}",
            f"slow {slow / max(1, world.granted.total()):.3f}",
            f"sent {world.sent.total()}",
        )


if __name__ == "__main__":
    import fire

    fire.Fire(main)
