"""Real programs that are stopped in turn, before callers on kept connections."""

import asyncio
import contextlib
import signal
from collections import Counter
from dataclasses import dataclass, field

from soak.callers import HOST, KEY
from soak.deployment import CALLERS_PORT, GRACE_S, READY_PORT
from soak.links import LinkFault, Links
from soak.world import NETWORK, Upstream

from .prompt_processes import DEADLINE_MS, PromptProcesses

LOSS_SLACK_MS = 200
LIMIT_SLACK_MS = 100
STOP_INTERVALS_S = {"entries": 1.0, "controls": 1.5, "relays": 1.0}
CHANGE_INTERVAL_S = 0.7
READY_INTERVAL_S = 0.5
MISSES_OUT = 2
LINK_FAULT_S = 1.0
CUT_HOSTS = 2
SEND_AFTER_S = 1.0
SLOW_EVENT_S = 0.1
SERVICES = ("ledger", "models")
PATHS = ("/look-up/x", "/transfer/x", "/stream/x", "/resumable/x")
NOT_RUN_STATUSES = (408, 421, 429, 503)
PAUSES_S = (0.0, 0.0, 0.0, 0.02, 0.2)
TIMEOUT_S = 8.0


@dataclass
class Ending:
    """Connection that ended before the whole answer of its request.

    :param ended_ms: time from the last byte of the request to the end.
    :param used_ms: time from its first byte to the end.
    :param answer: bytes of the answer that came before.
    """

    request_id: str
    host: str
    path: str
    ended_ms: float
    used_ms: float
    answer: bytes


@dataclass
class DrainingProcesses(PromptProcesses):
    """Control and entry hosts of which some are stopped in turn, and start again.

    :param stopped: ``entries``, ``controls`` or ``relays``: the hosts that stop. The
        first two entry hosts need relays for their links to some upstreams then.
    :param callers: number of callers, each with a connection of its own.
    :param statuses: numbers of whole answers by status.
    :param endings: connections that ended before the whole answer.
    """

    entries: int = 4
    stopped: str = "entries"
    callers: int = 60
    runs: Counter = field(default_factory=Counter)
    statuses: Counter = field(default_factory=Counter)
    endings: list = field(default_factory=list)
    refused: set = field(default_factory=set)
    once: set = field(default_factory=set)
    unconnected: int = 0
    stops: int = 0
    killed: int = 0

    async def _play(self, folder, duration_s):
        self.links = None
        try:
            await super()._play(folder, duration_s)
        finally:
            if self.links is not None:
                await self.links.stop()

    def _build_deployment(self, folder):
        deployment = super()._build_deployment(folder)
        if self.stopped == "relays":
            ips = [f"{NETWORK}.8.{number}" for number in range(1, self.engines + 1)]
            self.links = Links(deployment, ips)
        return deployment

    def _build_upstreams(self):
        upstreams = [
            Upstream(f"u{n}", SERVICES[n % 2], f"{NETWORK}.8.{n}", self.runs)
            for n in range(1, self.engines + 1)
        ]
        # Some streams outlast the time until their host closes its connections.
        upstreams[0].event_interval_s = SLOW_EVENT_S
        return upstreams

    async def _load(self, deployment, duration_s):
        self.rotation = list(deployment.entries)
        self.is_over = False
        self._misses = Counter()
        if self.links is not None:
            await self.links.start()
            await self._cut_links(deployment)
        helpers = [
            asyncio.create_task(self._check_readiness(deployment)),
            asyncio.create_task(self._change_forever(deployment)),
        ]
        callers = [
            asyncio.create_task(self._call_forever(number))
            for number in range(self.callers)
        ]
        await asyncio.sleep(1)
        await self._stop_in_turn(deployment, duration_s)
        self.is_over = True
        await asyncio.gather(*callers)
        for helper in helpers:
            helper.cancel()
        await asyncio.wait(helpers)

    async def _cut_links(self, deployment):
        lost = [f"{NETWORK}.8.{number}" for number in range(1, self.engines + 1)]
        for host in deployment.entries[:CUT_HOSTS]:
            await self.links.set_fault(host, lost, LinkFault.SILENT)
        await asyncio.sleep(LINK_FAULT_S)

    async def _stop_in_turn(self, deployment, duration_s):
        """Stop a host now and then; some get SIGHUP before, all SIGTERM twice."""
        hosts = {
            "entries": deployment.entries,
            "controls": deployment.controls,
            "relays": deployment.entries[CUT_HOSTS:],
        }[self.stopped]
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        stops = set()
        while loop.time() < end_s:
            for host in hosts:
                stops.add(asyncio.create_task(self._restart_host(host)))
                await asyncio.sleep(STOP_INTERVALS_S[self.stopped])
                if loop.time() >= end_s:
                    break
        await asyncio.gather(*stops)

    async def _restart_host(self, host):
        host.send_signal(signal.SIGHUP)
        await asyncio.sleep(self._random.uniform(0, 0.1))
        began_s = asyncio.get_running_loop().time()
        stopping = asyncio.create_task(host.stop())
        for _ in range(2):
            await asyncio.sleep(0.3)
            host.send_signal(signal.SIGTERM)
        await stopping
        self.stops += 1
        self.killed += asyncio.get_running_loop().time() - began_s > GRACE_S
        await host.start()

    async def _change_forever(self, deployment):
        while True:
            await self.operator.change()
            await asyncio.sleep(CHANGE_INTERVAL_S)

    async def _check_readiness(self, deployment):
        """Keep the hosts in rotation as a load balancer does."""
        while True:
            for host in deployment.entries:
                is_ready = await self._is_ready(host)
                self._misses[host.name] = 0 if is_ready else self._misses[host.name] + 1
            hosts = deployment.entries
            ready = [host for host in hosts if self._misses[host.name] < MISSES_OUT]
            self.rotation = ready if 2 * len(ready) >= len(hosts) else hosts
            await asyncio.sleep(READY_INTERVAL_S)

    async def _is_ready(self, host):
        try:
            async with asyncio.timeout(READY_INTERVAL_S):
                reader, writer = await asyncio.open_connection(host.ip, READY_PORT)
                writer.write(b"GET /peridotfront/readyz HTTP/1.1\r\nHost: r\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except OSError:
            return False
        return b" 200 " in line

    async def _call_forever(self, caller):
        """Send requests on a connection until it ends, then on the next one."""
        number = 0
        while not self.is_over:
            host = self._random.choice(self.rotation)
            try:
                reader, writer = await asyncio.open_connection(host.ip, CALLERS_PORT)
            except OSError:
                self.unconnected += 1
                await asyncio.sleep(0.05)
                continue
            is_open = True
            while is_open and not self.is_over:
                number += 1
                request_id = f"c{caller}-{number}"
                is_open = await self._call(host, reader, writer, request_id)
                if is_open:
                    await asyncio.sleep(self._random.choice(PAUSES_S))
                    is_open = not reader.at_eof()
            writer.close()

    async def _call(self, host, reader, writer, request_id):
        """Send one request.

        :return: whether its connection can be used again.
        """
        path = self._random.choice(PATHS)
        loop = asyncio.get_running_loop()
        if path in ("/transfer/x", "/stream/x"):
            self.once.add(request_id)
        data = build_request(path, request_id)
        answer = bytearray()
        began_s = sent_s = loop.time()
        try:
            await self._send_in_parts(writer, data)
            sent_s = loop.time()
            async with asyncio.timeout(TIMEOUT_S):
                status, is_kept = await read_whole(reader, answer)
        except (OSError, asyncio.IncompleteReadError):
            ended_ms = (loop.time() - sent_s) * 1000
            used_ms = (loop.time() - began_s) * 1000
            self.endings.append(
                Ending(request_id, host.name, path, ended_ms, used_ms, bytes(answer))
            )
            return False
        self.statuses[status] += 1
        if status in NOT_RUN_STATUSES:
            self.refused.add(request_id)
        return is_kept

    async def _send_in_parts(self, writer, data):
        """Send a request, now and then with a pause inside its head or its body."""
        cut = self._random.choice((len(data), len(data), len(data), 30, len(data) - 2))
        writer.write(data[:cut])
        if cut < len(data):
            await asyncio.sleep(self._random.choice(PAUSES_S))
            writer.write(data[cut:])
        with contextlib.suppress(ConnectionError):
            await writer.drain()

    def lost(self):
        """Return the endings of requests that had run, or were kept waiting.

        Those whose time limit ended are left out.
        """
        return [
            ending
            for ending in self.endings
            if ending.used_ms < DEADLINE_MS - LIMIT_SLACK_MS
            and (self.runs[ending.request_id] or ending.ended_ms > LOSS_SLACK_MS)
        ]

    def untrue_refusals(self):
        """Return the requests that may run once, were refused as not run, and ran."""
        return [name for name in self.refused & self.once if self.runs[name]]

    def repeated(self):
        """Return the requests that may run once, and ran more than once."""
        return [name for name in self.once if self.runs[name] > 1]


def build_request(path, request_id):
    """Return the bytes of a request whose body is its id."""
    body = request_id.encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {DEADLINE_MS}\r\nApi-Key: {KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def read_whole(reader, answer):
    """Read an answer into a buffer.

    :return: its status, and whether the connection stays open.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    answer += head
    fields = head.lower()
    if b"content-length: " in fields:
        size = int(fields.partition(b"content-length: ")[2].partition(b"\r\n")[0])
        answer += await reader.readexactly(size)
    else:
        size = 1
        while size:
            line = await reader.readuntil(b"\r\n")
            size = int(line, 16)
            answer += await reader.readexactly(size + 2)
    return int(head.split()[1]), b"connection: close" not in fields


@dataclass
class OutlastingRequests(DrainingProcesses):
    """One entry host that is stopped before upstreams that never answer.

    :param grace_s: time to stop.
    :param answers_by_id: statuses by request id; 0 for a connection that ended.
    :param stopped_s: time from SIGTERM to the end of the process.
    """

    entries: int = 1
    grace_s: int = 5
    answers_by_id: dict = field(default_factory=dict)
    stopped_s: float = 0.0

    def _build_deployment(self, folder):
        deployment = super()._build_deployment(folder)
        for host in deployment.entries:
            host.grace_s = self.grace_s
        return deployment

    async def _load(self, deployment, duration_s):
        for upstream in self.upstreams:
            upstream.fault = "hang"
        host = deployment.entries[0]
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        stopping = asyncio.create_task(host.stop(timeout_s=self.grace_s))
        await asyncio.sleep(SEND_AFTER_S)
        calls = [self._call_once(host, f"o{number}") for number in range(self.callers)]
        await asyncio.gather(*calls)
        await stopping
        self.stopped_s = loop.time() - began_s

    async def _call_once(self, host, request_id):
        reader, writer = await asyncio.open_connection(host.ip, CALLERS_PORT)
        writer.write(build_request("/transfer/x", request_id))
        status = 0
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            async with asyncio.timeout(TIMEOUT_S):
                status, _ = await read_whole(reader, bytearray())
        self.answers_by_id[request_id] = status
        writer.close()
