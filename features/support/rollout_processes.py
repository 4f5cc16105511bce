"""Real programs before upstreams of two software versions during a rollout."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from peridotfront.exceptions import PeridotfrontError
from peridotfront.http_client import ClientLimits, HttpClient
from soak.callers import HOST, KEY
from soak.deployment import CALLERS_PORT
from soak.rollout_operator import ENDS, ROLLOUT_SETTINGS, RolloutOperator
from soak.world import EVENTS, NETWORK, Upstream, event_of

from .prompt_processes import DEADLINE_MS, TIMEOUTS, PromptProcesses

SERVICE = "models"
OLD, NEW = "v1", "v2"
PATHS = ("/stream/x", "/resumable/x")
SLOTS = 8
# Half of the slots of one version are in use.
STEP_S = 0.01
WARM_UP_S = 2.0
# The order follows the list within the time for which new versions are held back.
LIST_LEAD_S = 1.0
READ_INTERVAL_S = 0.1
ORDER_TIMEOUT_S = 10.0
AFTER_END_S = 3.0
DRAIN_AFTER_S = 1.0
SHARE, SLACK, ROLLBACK_S, BAD_LIMIT = 0.1, 50, 5.0, 50
BAD_SHARE = 0.5
SLOW_FACTOR = 4
LATE_S = 2.0
# Without it the load of this process alone would double the time to the first event.
FIRST_EVENT_S = 0.06
EVENT_INTERVAL_S = 0.015
BUSY_REQUESTS = 4
END_FACTOR = 2.5
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclass
class VersionedUpstream(Upstream):
    """Upstream of one version, whose answers may be bad.

    :param world: record of all requests of the run.
    :param fault_kind: ``fails`` or ``is slow``; empty for a good one.
    :param moment: when it is bad: ``at once``, ``late``, ``under load`` or ``on one
        route``.
    """

    world: object = None
    fault_kind: str = ""
    moment: str = ""
    running: int = 0
    slow_ids: set = field(default_factory=set)

    def entry(self):
        """Return the upstream's entry in the list."""
        return {**super().entry(), "Slots": SLOTS}

    async def _answer(self, exchange, request_id, attempt_header):
        self.running += 1
        self.world.record_arrival(self.version)
        try:
            is_bad = self._is_bad(exchange)
            if is_bad and self.fault_kind == "fails":
                self.world.record_bad_answer()
                await exchange.respond(500, [attempt_header], b"failed")
                return
            if is_bad:
                self.slow_ids.add(request_id)
            await asyncio.sleep(FIRST_EVENT_S * self._factor(request_id))
            await super()._answer(exchange, request_id, attempt_header)
            if is_bad:
                self.world.record_bad_answer()
        finally:
            self.running -= 1

    def _is_bad(self, exchange):
        world = self.world
        moments = {
            "": False,
            "at once": True,
            "late": world.ordered_s is not None
            and world.now_s() - world.ordered_s > LATE_S,
            "under load": self.running > BUSY_REQUESTS,
            "on one route": exchange.request.path == PATHS[1],
        }
        return moments[self.moment] and world.random.random() < BAD_SHARE

    async def _pause(self, exchange):
        factor = self._factor(exchange.request.header("x-attempt-id"))
        await asyncio.sleep(self.event_interval_s * factor)

    def _factor(self, request_id):
        return SLOW_FACTOR if request_id in self.slow_ids else 1


@dataclass
class RolloutProcesses(PromptProcesses):
    """Control and entry hosts, and a rollout that a stand-in platform follows.

    :param fault_kind: fault of the new version; empty for none.
    :param moment: when the new version is bad.
    :param trouble: what happens to the control hosts: ``leader``, ``controls`` or
        empty.
    :param state: last state of the rollout that was read.
    :param broken: requests that got no whole answer, with what they got.
    :param violations: limits on a bad version that were exceeded.
    """

    entries: int = 3
    engines: int = 6
    period_s: float = 8.0
    fault_kind: str = ""
    moment: str = ""
    trouble: str = ""
    state: str = ""
    whole: int = 0
    refused: int = 0
    broken: list = field(default_factory=list)
    violations: list = field(default_factory=list)
    arrivals: Counter = field(default_factory=Counter)
    bad_answers_s: list = field(default_factory=list)
    ordered_s: float | None = None

    @property
    def random(self):
        """Return the source of all random choices."""
        return self._random

    def now_s(self):
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    def record_arrival(self, version):
        """Record a request that an upstream got, and check the limits."""
        if self.ordered_s is None:
            if version == NEW:
                self.violations.append("a request at the new version before the order")
            return
        self.arrivals[version] += 1
        if version != NEW:
            return
        if self.state == "reverted" and self.now_s() - self.ended_s > 1:
            self.violations.append("a request at the new version after the end")
        if not self.fault_kind:
            return
        if self.arrivals[NEW] > SHARE * self.arrivals.total() + SLACK:
            self.violations.append(f"limit exceeded: {self.arrivals}")
        if len(self.bad_answers_s) >= BAD_LIMIT:
            late_s = self.now_s() - self.bad_answers_s[BAD_LIMIT - 1]
            if late_s > ROLLBACK_S:
                self.violations.append(f"a request {late_s:.1f} s after the limit")

    def record_bad_answer(self):
        """Record an answer that a caller would call bad."""
        self.bad_answers_s.append(self.now_s())

    def _build_deployment(self, folder):
        deployment = super()._build_deployment(folder)
        for host in deployment.hosts:
            host.extra_settings = ROLLOUT_SETTINGS
        return deployment

    def _build_upstreams(self):
        return [self._build_upstream(n, OLD) for n in range(1, self.engines + 1)]

    def _build_upstream(self, number, version, **options):
        return VersionedUpstream(
            f"{version}-{number}",
            SERVICE,
            f"{NETWORK}.8.{number}",
            Counter(),
            version=version,
            event_interval_s=EVENT_INTERVAL_S,
            world=self,
            **options,
        )

    async def _load(self, deployment, duration_s):
        self.ended_s = 0.0
        self.operator_of_rollouts = RolloutOperator(
            deployment.controls, self._random, self.violations
        )
        client = HttpClient(ClientLimits(keep_alive_ms=10_000))
        is_over = asyncio.Event()
        calls = asyncio.create_task(self._call_all(client, deployment, is_over))
        try:
            await asyncio.sleep(WARM_UP_S)
            await self._roll_out(deployment)
            await asyncio.sleep(AFTER_END_S)
        finally:
            is_over.set()
            await calls
            await client.close()
            await self.operator_of_rollouts.close()

    async def _roll_out(self, deployment):
        new = await self._list_new_version()
        await asyncio.sleep(LIST_LEAD_S)
        self.ordered_s = self.now_s()
        status = await self.operator_of_rollouts.order(
            SERVICE, NEW, self.period_s, ORDER_TIMEOUT_S
        )
        assert status == 200, status
        troubles = {"leader": self._kill_leader, "controls": self._kill_controls}
        if self.trouble:
            await troubles[self.trouble](deployment)
        await self._await_end()
        if self.state == "complete":
            await self._stop_old(new)
        else:
            await asyncio.sleep(DRAIN_AFTER_S)
            for upstream in new:
                upstream.state = "draining"

    async def _list_new_version(self):
        new = [
            self._build_upstream(
                self.engines + n, NEW, fault_kind=self.fault_kind, moment=self.moment
            )
            for n in range(1, self.engines + 1)
        ]
        for upstream in new:
            await upstream.start()
        self.upstreams.extend(new)
        return new

    async def _await_end(self):
        end_s = self.ordered_s + END_FACTOR * self.period_s
        while self.now_s() < end_s:
            state = await self.operator_of_rollouts.read(SERVICE)
            self.state = state or self.state
            if state in ENDS:
                self.ended_s = self.now_s()
                return
            await asyncio.sleep(READ_INTERVAL_S)

    async def _stop_old(self, new):
        """Stop the upstreams of the old version, without draining them."""
        old = [upstream for upstream in self.upstreams if upstream not in new]
        # `UpstreamList` serves the same list.
        self.upstreams[:] = new
        for upstream in old:
            await upstream.stop()

    async def _kill_leader(self, deployment):
        await asyncio.sleep(self.period_s * 0.15)
        host = await self.operator.find_leader()
        assert host is not None, "there is no leader"
        await host.stop(9)
        await host.start()

    async def _kill_controls(self, deployment):
        hosts = deployment.controls
        await asyncio.gather(*[host.stop(9) for host in hosts])
        for host in hosts:
            await host.start()

    async def _call_all(self, client, deployment, is_over):
        tasks = set()
        number = 0
        while not is_over.is_set():
            number += 1
            tasks.add(asyncio.create_task(self._call(client, deployment, number)))
            await asyncio.sleep(STEP_S)
        await asyncio.gather(*tasks)

    async def _call(self, client, deployment, number):
        request_id = f"r-{number}"
        host = self._random.choice(deployment.entries)
        headers = [
            ("X-Attempt-Id", request_id),
            ("X-Deadline-Ms", str(DEADLINE_MS)),
            ("Api-Key", KEY),
        ]
        try:
            answer = await client.send(
                f"{host.ip}:{CALLERS_PORT}",
                "POST",
                PATHS[number % len(PATHS)],
                headers,
                request_id.encode(),
                host=HOST,
                timeouts=TIMEOUTS,
            )
            body = await answer.read()
        except PeridotfrontError as error:
            self.broken.append((request_id, repr(error)))
            return
        self._judge(request_id, answer.status_code, body)

    def _judge(self, request_id, status, body):
        expected = [
            b"".join([event_of(request_id, v, n) for n in range(1, EVENTS + 1)])
            for v in (OLD, NEW)
        ]
        if status in NOT_RUN_STATUSES:
            self.refused += 1
        elif status == 200 and body in expected:
            self.whole += 1
        elif status == 200:
            # No fault of a version explains a mixed or shortened answer.
            self.violations.append(f"{request_id} got a wrong answer: {body[-80:]!r}")
        else:
            self.broken.append((request_id, status))
