"""A routed group that rolls out a version under load, in virtual time.

:mod:`.rollout_runs` plays it by hand over many seeds.
"""

import heapq
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from peridotfront.core.allowances import AllowanceLimits
from peridotfront.core.gateway_events import SlotProgress, SlotReleased
from peridotfront.core.messages import ReleaseCause, RolloutState
from peridotfront.core.releases import build_release
from peridotfront.core.retry_budgets import RetryLimits
from peridotfront.core.rollouts.exposure import RolloutLimits
from peridotfront.core.service_schedulers import SharedLimits

from .routed_group import RoutedGroup, listed

OLD, NEW = "v1", "v2"
SPEEDS = (0.68, 0.68, 3.0)
SLOTS = 6
ROUTES = ("r/a/", "r/b/")
SHARE, SLACK, ROLLBACK_MS = 0.1, 50, 5000
BAD_LIMIT = 50
LEAD_MS = 3000
FAULT_LOAD = 4
SLOW_FACTOR = 4.0
PREFILL_TOKENS_PER_MS = 50.0
GAP_MS = 18.0
LIMITS = SharedLimits(
    RetryLimits(slack=1_000_000),
    AllowanceLimits(),
    RolloutLimits(SHARE, SLACK),
)


@dataclass(frozen=True)
class Fault:
    """What is wrong with the new version.

    :param share: share of its answers that are bad.
    :param kind: ``fails`` or ``slow``.
    :param when: ``at once``, ``late`` (after a part of the period), ``under load`` or
        ``on one route``.
    """

    kind: str
    when: str
    share: float = 0.35
    late_share: float = 0.35


@dataclass
class Server:
    """An upstream of the platform's list."""

    name: str
    version: str
    speed: float
    running: int = 0
    prefilled_until_ms: float = 0.0
    is_grey: bool = False
    is_dead: bool = False


@dataclass
class Send:
    """A request that was granted."""

    host: str
    request_id: str
    server: Server
    sent_ms: int
    tokens: int
    is_bad: bool = False
    first_ms: int = -1


@dataclass
class Counts:
    """What the platform's judges would count."""

    requests: int = 0
    exposed: int = 0
    bad_ms: list = field(default_factory=list)
    last_exposed_ms: int = 0
    cut_at_complete: int = 0
    exposed_after_end: int = 0


class RolloutWorld:
    """Load, servers of two versions and an operator before a routed group.

    :param seed: seed of all randomness.
    :param fault: what is wrong with the new version; None if it is good.
    :param rate_per_s: requests a second.
    :param period_ms: period of the order.
    """

    def __init__(
        self, seed, fault=None, *, rate_per_s=120.0, period_ms=12_000, servers=12
    ):
        self.random = random.Random(f"{seed}/load")
        self.fault = fault
        self.rate_per_s = rate_per_s
        self.period_ms = period_ms
        entries = {"e1": "dc1", "e2": "dc2", "e3": "dc3"}
        self.group = RoutedGroup(entries=entries, seed=seed, limits=LIMITS)
        self.servers = {}
        for version, prefix in ((OLD, "old"), (NEW, "new")):
            for number in range(servers):
                name = f"{prefix}-{number}"
                speed = SPEEDS[(number + seed) % len(SPEEDS)]
                self.servers[name] = Server(name, version, speed)
        self.sends = {}
        self.events = []
        self.sequence = 0
        self.counts = Counts()
        self.answers = Counter()
        self.sent_versions = defaultdict(Counter)
        self.order_ms = None
        self.end_ms = None
        self.state = None
        self.is_listed = {OLD: True, NEW: False}

    # Running

    def start(self):
        """Bring the group into service with the old version under load."""
        group = self.group
        leader = group.await_leader()
        group.put(leader.name, 1, routes=("/a/", "/b/"))
        self._list()
        group.run(500)
        self.run(LEAD_MS)

    def order(self):
        """Order the rollout and list the new version's servers beside it."""
        self.list_new_version()
        self.run(300)
        self.order_ms = self.group.now_ms
        return self.send_order(NEW)

    def list_new_version(self):
        """List the servers of the new version."""
        self.is_listed[NEW] = True
        self._list()

    def send_order(self, version):
        """Send an order to the leader and return its result."""
        leader = self.group.await_leader()
        operation = self.group.order_rollout(
            leader.name, "models", version, self.period_ms
        )
        self.run(500)
        return self.group.answers.get(operation)

    def run_until_stage(self, stage):
        """Run until the leader is in a stage of the rollout."""
        limit_ms = self.group.now_ms + 2 * self.period_ms
        while self.group.now_ms < limit_ms:
            self.run(20)
            leader = self.group.leader()
            rollouts = leader.role.rollouts.rollouts if leader else ()
            if any(rollout.stage is stage for rollout in rollouts):
                return
        raise AssertionError(f"the stage {stage} was never reached")

    # Troubles

    def at(self, delay_ms, action):
        """Do something at a time from now on."""
        self._after(delay_ms, action)

    def set_rate(self, rate_per_s):
        """Set the requests a second."""
        self.rate_per_s = rate_per_s

    def lose(self, prefix, count):
        """End servers for good, and the requests that they run."""
        names = [name for name in self.servers if name.startswith(prefix)][:count]
        for name in names:
            server = self.servers[name]
            server.is_dead = True
            running = [s for s in self.sends.values() if s and s.server is server]
            for send in running:
                self._end(send, ReleaseCause.UPSTREAM_DIED, 0)

    def kill_leader(self):
        """End the process of the leader."""
        leader = self.group.leader()
        if leader is not None:
            self.group.down.add(leader.name)

    def kill_controls(self):
        """End the processes of all control hosts."""
        self.group.down.update(host.name for host in self.group.controls)

    def restart_controls(self):
        """Start the control hosts that are down, with their disks."""
        for host in self.group.controls:
            if host.name in self.group.down:
                self.group.restart(host.name)

    def run(self, duration_ms):
        """Run the group and the load."""
        end_ms = self.group.now_ms + duration_ms
        while self.group.now_ms < end_ms:
            self._arrive()
            self.group.run(1)
            self._take_grants()
            self._play_events()
            if self.group.now_ms % 50 == 0:
                self._look_at_state()

    def run_rollout(self):
        """Run until the rollout has ended and a while beyond."""
        limit_ms = self.order_ms + 2 * self.period_ms + 10_000
        while self.state is None and self.group.now_ms < limit_ms:
            self.run(100)
        self.run(3000)

    # Load

    def _arrive(self):
        mean = self.rate_per_s / 1000
        while mean > 0 and self.random.random() < mean:
            mean -= 1
            self.sequence += 1
            request_id = f"q{self.sequence}"
            hosts = [e for e in self.group.entries if e.name not in self.group.down]
            host = self.random.choice(hosts)
            tokens = int(self.random.lognormvariate(6.5, 0.9)) + 20
            route = ROUTES[0] if self.random.random() < 0.85 else ROUTES[1]
            host.request_slot(
                request_id,
                prompt_tokens=tokens,
                output_tokens=30,
                route=route,
                deadline_ms=4000,
                fingerprint=self.sequence,
            )

    def _take_grants(self):
        for host in self.group.entries:
            for request_id in host.granted.keys() - self.sends.keys():
                self._send(host, request_id)

    def _send(self, host, request_id):
        grant = host.granted[request_id].grant
        server = self.servers[grant.upstream]
        slot_request = host.slot_requests[request_id]
        now_ms = self.group.now_ms
        send = Send(host.name, request_id, server, now_ms, slot_request.prompt_tokens)
        self.sends[request_id] = send
        self.sent_versions[host.name][server.version] += 1
        is_counted = self.order_ms is not None
        self.counts.requests += is_counted
        if server.version == NEW and is_counted:
            self.counts.exposed += 1
            self.counts.last_exposed_ms = now_ms
            self.counts.exposed_after_end += self.state is RolloutState.REVERTED
        if server.is_dead:
            self._after(5, lambda: self._end(send, ReleaseCause.UNREACHABLE, 0))
            return
        send.is_bad = self._is_bad(server, slot_request.route)
        slow = SLOW_FACTOR if send.is_bad and self.fault.kind == "slow" else 1.0
        server.running += 1
        prefill_ms = send.tokens / PREFILL_TOKENS_PER_MS * server.speed + 10
        begin_ms = max(now_ms, server.prefilled_until_ms)
        server.prefilled_until_ms = begin_ms + prefill_ms
        noise = self.random.lognormvariate(0, 0.2)
        first_ms = int((begin_ms - now_ms + prefill_ms) * slow * noise) + 1
        gap_ms = GAP_MS * server.speed * slow * noise * (1 + 0.05 * server.running)
        events = max(1, int(self.random.lognormvariate(2.5, 0.8)))
        fails = (send.is_bad and self.fault.kind == "fails") or (
            server.is_grey and self.random.random() < 0.4
        )
        if fails:
            self._after(
                first_ms, lambda: self._end(send, ReleaseCause.UPSTREAM_ERROR, 0)
            )
            return
        self._after(first_ms, lambda: self._progress(send))
        self._after(
            first_ms + int(gap_ms * events),
            lambda: self._end(send, ReleaseCause.COMPLETED, events + 1),
        )

    def _is_bad(self, server, route):
        fault = self.fault
        if fault is None or server.version != NEW or self.order_ms is None:
            return False
        if self.random.random() >= fault.share:
            return False
        elapsed_ms = self.group.now_ms - self.order_ms
        return {
            "at once": True,
            "late": elapsed_ms >= self.period_ms * fault.late_share,
            "under load": server.running >= FAULT_LOAD,
            "on one route": route == ROUTES[1],
        }[fault.when]

    def _after(self, delay_ms, action):
        self.sequence += 1
        due_ms = self.group.now_ms + delay_ms
        heapq.heappush(self.events, (due_ms, self.sequence, action))

    def _play_events(self):
        while self.events and self.events[0][0] <= self.group.now_ms:
            heapq.heappop(self.events)[2]()

    def _progress(self, send):
        send.first_ms = self.group.now_ms - send.sent_ms
        self.group.feed(send.host, SlotProgress(send.request_id, 1))

    def _end(self, send, cause, produced):
        if self.sends.get(send.request_id) is None:
            return
        send.server.running -= not send.server.is_dead
        self.answers[cause] += 1
        if send.is_bad:
            self.counts.bad_ms.append(self.group.now_ms)
        host = self.group.hosts[send.host]
        slot_request = host.slot_requests.get(send.request_id)
        self.sends[send.request_id] = None
        if slot_request is None:
            return
        release = build_release(
            slot_request,
            send.server.name,
            cause,
            produced_tokens=produced,
            first_token_ms=send.first_ms,
            duration_ms=self.group.now_ms - send.sent_ms,
        )
        self.group.feed(send.host, SlotReleased(release))

    # Operator and platform

    def _list(self):
        entries = [
            listed(
                server.name,
                slots=SLOTS,
                data_centre=f"dc{number % 3 + 1}",
                software_version=server.version,
            )
            for number, server in enumerate(self.servers.values())
            if self.is_listed[server.version]
        ]
        self.group.list_upstreams(*entries)

    def _look_at_state(self):
        """Read the rollout's state at the leader, and act as the platform does."""
        if self.order_ms is None or self.state is not None:
            return
        leader = self.group.leader()
        if leader is None:
            return
        for record in leader.role.controller.state.rollouts.records:
            if record.version == NEW and record.state is not RolloutState.ROLLING:
                self.state = record.state
                self.end_ms = self.group.now_ms
                self.reason = record.reason
        if self.state is RolloutState.COMPLETE:
            self._stop_old()

    def _stop_old(self):
        running = [
            send
            for send in self.sends.values()
            if send is not None and send.server.version == OLD
        ]
        self.counts.cut_at_complete = len(running)
        for server in self.servers.values():
            server.is_dead = server.is_dead or server.version == OLD
        for send in running:
            self._end(send, ReleaseCause.UPSTREAM_DIED, 1)
        self._after(800, self._unlist_old)

    def _unlist_old(self):
        self.is_listed[OLD] = False
        self._list()

    # Judgement

    def violations(self):
        """Return the broken rules and missed duties, by name."""
        counts = self.counts
        found = []
        is_bad = self.fault is not None
        if is_bad and counts.exposed > SHARE * counts.requests + SLACK:
            found.append(f"exposed {counts.exposed} of {counts.requests}")
        if len(counts.bad_ms) >= BAD_LIMIT:
            limit_ms = sorted(counts.bad_ms)[BAD_LIMIT - 1] + ROLLBACK_MS
            if counts.last_exposed_ms > limit_ms:
                found.append("sent after the 50th bad answer")
        if counts.exposed_after_end:
            found.append(f"{counts.exposed_after_end} sent after the revert")
        if counts.cut_at_complete:
            found.append(f"{counts.cut_at_complete} cut at complete")
        expected = RolloutState.REVERTED if is_bad else RolloutState.COMPLETE
        if self.state is not expected:
            found.append(f"state {self.state}: {getattr(self, 'reason', '')}")
        elif self.end_ms - self.order_ms > self.period_ms and not is_bad:
            found.append(f"late by {self.end_ms - self.order_ms - self.period_ms} ms")
        return found
