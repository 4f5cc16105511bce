"""Real programs before upstreams in this process that a part of a prompt crashes."""

import asyncio
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random

from peridotfront.exceptions import CallerGone, PeridotfrontError
from peridotfront.http_client import ClientLimits, HttpClient, UpstreamTimeouts
from soak.callers import HOST, KEY, Operator, Record
from soak.deployment import CALLERS_PORT, Deployment
from soak.world import NETWORK, Upstream, UpstreamList

from .prompt_world import CONTACT_MS, FIRST_CRASHES

GUILTY_PART = "bad"
START_TIMEOUT_S = 20
RESTART_S = 2.0
STEP_S = 0.05
DEADLINE_MS = 4000
TIMEOUTS = UpstreamTimeouts(connect_ms=1000, first_byte_ms=5000, between_bytes_ms=5000)


@dataclass
class CrashingUpstream(Upstream):
    """Upstream that crashes when it begins to answer a request with the guilty part.

    :param world: record of the crashing requests, shared by all upstreams.
    """

    world: object = None
    crash_after_events: int = 0

    async def _serve(self, exchange):
        if is_guilty(exchange.request.header("x-prefix-hash")):
            self.world.guilty_sends_s.append(asyncio.get_running_loop().time())
        await super()._serve(exchange)

    async def _stream(self, exchange, attempt_header):
        if not is_guilty(exchange.request.header("x-prefix-hash")):
            await super()._stream(exchange, attempt_header)
            return
        kind = ("Content-Type", "text/event-stream")
        fields = [attempt_header, ("X-Response-Sig", "0"), kind]
        try:
            await exchange.start(200, fields)
            for number in range(self.crash_after_events):
                await exchange.write(f"id: {number + 1}\ndata: x\n\n".encode())
            await asyncio.sleep(STEP_S)
        except CallerGone:
            return
        self.world.crash(self)


def is_guilty(prefix):
    """Return whether a part of a prompt but the last is the guilty one."""
    parts = [entry.partition(":")[0] for entry in prefix.split(",")]
    return GUILTY_PART in parts[:-1]


@dataclass
class PromptProcesses:
    """Control and entry host processes with callers and upstreams around them.

    :param answers: numbers of complete and of other answers to sound requests that
        were sent long enough after the fifth crash, by whether they are complete.
    """

    controls: int = 3
    entries: int = 6
    engines: int = 6
    crash_after_events: int = 0
    guilty_sends_s: list = field(default_factory=list)
    crashes_s: list = field(default_factory=list)
    answers: Counter = field(default_factory=Counter)
    guilty_statuses: Counter = field(default_factory=Counter)

    def crash(self, upstream):
        """Break off all connections of an upstream, and start it again later."""
        if upstream.state != "ready":
            return
        upstream.state = "gone"
        self.crashes_s.append(asyncio.get_running_loop().time())
        self._restarts.add(asyncio.create_task(self._restart(upstream)))

    async def _restart(self, upstream):
        await upstream.stop()
        await asyncio.sleep(RESTART_S)
        upstream.restarts += 1
        upstream.state = "ready"
        await upstream.start()

    async def play(self, duration_s):
        """Run all programs, with crashing and sound requests at all entry hosts."""
        self._random = Random(1)
        self._restarts = set()
        self._numbers = count(1)
        with tempfile.TemporaryDirectory() as folder:
            await self._play(Path(folder), duration_s)

    async def _play(self, folder, duration_s):
        deployment = self._build_deployment(folder)
        self.upstreams = upstreams = self._build_upstreams()
        upstream_list = UpstreamList(upstreams)
        operator = Operator(deployment.controls, Record(), self._random)
        self.operator = operator
        await upstream_list.start()
        for upstream in upstreams:
            await upstream.start()
        await deployment.start()
        try:
            await operator.change(START_TIMEOUT_S)
            await asyncio.sleep(3)
            await self._load(deployment, duration_s)
        finally:
            await operator.close()
            await deployment.stop()
            await asyncio.gather(*self._restarts)
            for upstream in upstreams:
                await upstream.stop()
            await upstream_list.stop()

    def _build_deployment(self, folder):
        return Deployment(folder, self.controls, self.entries)

    def _build_upstreams(self):
        return [
            CrashingUpstream(
                f"m{n}",
                "models",
                f"{NETWORK}.8.{n}",
                Counter(),
                world=self,
                crash_after_events=self.crash_after_events,
            )
            for n in range(1, self.engines + 1)
        ]

    async def _load(self, deployment, duration_s):
        client = HttpClient(ClientLimits(keep_alive_ms=10_000))
        tasks = set()
        for number in range(int(duration_s / STEP_S)):
            parts = f"base,class,own{number}"
            if number % 6 == 0:
                parts = f"base,{GUILTY_PART},own{number},end{number}"
            host = self._random.choice(deployment.entries)
            tasks.add(asyncio.create_task(self._call(client, host, parts)))
            await asyncio.sleep(STEP_S)
        await asyncio.gather(*tasks)
        await client.close()

    async def _call(self, client, host, parts):
        request_id = f"p-{next(self._numbers)}"
        prefix = ",".join(f"{part}:60" for part in parts.split(","))
        headers = [
            ("X-Attempt-Id", request_id),
            ("X-Deadline-Ms", str(DEADLINE_MS)),
            ("Api-Key", KEY),
            ("X-Token-Count", "240,12"),
            ("X-Prefix-Hash", prefix),
        ]
        is_late = self._is_settled()
        status = 0
        try:
            answer = await client.send(
                f"{host.ip}:{CALLERS_PORT}",
                "POST",
                "/resumable/x",
                headers,
                request_id.encode(),
                host=HOST,
                timeouts=TIMEOUTS,
            )
            status = answer.status_code
            await answer.read()
        except PeridotfrontError:
            status = 0
        if is_guilty(prefix):
            self.guilty_statuses[status] += 1
        elif is_late:
            self.answers[status == 200] += 1

    def _is_settled(self):
        """Return whether it is long after the fifth crash, or the last before it."""
        if not self.crashes_s:
            return False
        now_s = asyncio.get_running_loop().time()
        return now_s > self.crashes_s[:FIRST_CRASHES][-1] + 2 * CONTACT_MS / 1000

    def later_sends(self):
        """Return how many crashing requests were sent too late."""
        limit_s = self.crashes_s[:FIRST_CRASHES][-1] + CONTACT_MS / 1000
        return sum(sent_s > limit_s for sent_s in self.guilty_sends_s)
