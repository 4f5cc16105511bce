"""Real programs before callers that send much, read nothing and reconnect."""

import asyncio
import contextlib
import os
import socket
from dataclasses import dataclass
from pathlib import Path

from soak.callers import HOST, KEY
from soak.deployment import (
    CALLERS_PORT,
    METRICS_PORT,
    OPERATORS_PORT,
    READY_PORT,
    Deployment,
)

from .draining_processes import DrainingProcesses, build_request, read_whole
from .prompt_processes import DEADLINE_MS

RECEIVE_BUFFER_BYTES = 4096
PIECE_BYTES = 64 * 1024
STALL_S = 1.5
PLAY_S = 10.0
ORDINARY_S = 10.0
RETRY_S = 0.2
SAMPLE_S = 0.05
RECONNECT_S = 0.02
SLOW_PAUSE_S = 0.1
# Many connections at once would be accepted at once, before any is counted.
CONNECT_INTERVAL_S = 0.002
SETTINGS = """
[connections]
max_connections = 200
max_requests = 200
max_held_kib = {held_kib}
"""
# A control host must hold a whole configuration of up to 16 MiB.
HELD_KIB = {"entry": 16 * 1024, "control": 24 * 1024}
BARE = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
FIELDS = (
    f"Host: {HOST}\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
    f"Api-Key: {KEY}\r\n"
)


def _request(path, body_bytes=0, method="POST"):
    head = f"{method} {path} HTTP/1.1\r\n{FIELDS}Content-Length: {body_bytes}\r\n\r\n"
    return head.encode()


LONG_BODY = _request("/look-up/x", 200_000) + b"b" * 200_000
BODY_BYTES = 4_000_000
CUT_BODY = _request("/look-up/x", BODY_BYTES) + b"b" * (BODY_BYTES - 1)
CONFIG_BYTES = 12_000_000
CUT_CONFIG = _request("/peridotfront/config", CONFIG_BYTES, "PUT") + b"c" * (
    CONFIG_BYTES - 1
)
ANSWER_BYTES = 1_500_000
LARGE_ANSWER = _request("/look-up/x", ANSWER_BYTES) + b"b" * ANSWER_BYTES


@dataclass(frozen=True)
class Crowd:
    """Callers of one kind.

    :param start: bytes that each connection sends first.
    :param repeated: bytes that it sends after these, again and again.
    :param callers: number of callers, each with one connection at a time.
    :param size_bytes: number of bytes that each caller sends.
    :param port: port of the entry host.
    :param role: role of the host.
    :param is_slow: whether the bytes come one by one, with pauses.
    """

    start: bytes = b""
    repeated: bytes = b""
    callers: int = 24
    size_bytes: int = 4_000_000
    port: int = CALLERS_PORT
    role: str = "entry"
    is_slow: bool = False


CROWDS = {
    "requests without header fields": Crowd(repeated=BARE),
    "requests on few connections": Crowd(
        repeated=_request("/look-up/x"), callers=2, size_bytes=80_000_000
    ),
    "readiness checks": Crowd(
        repeated=b"GET /peridotfront/readyz HTTP/1.1\r\nHost: r\r\n\r\n",
        port=READY_PORT,
    ),
    "metrics": Crowd(
        repeated=b"GET /metrics HTTP/1.1\r\nHost: r\r\n\r\n", port=METRICS_PORT
    ),
    "pipelined bodies": Crowd(repeated=LONG_BODY, size_bytes=8_000_000),
    "incomplete bodies": Crowd(start=CUT_BODY, size_bytes=len(CUT_BODY)),
    "slow headers": Crowd(
        start=BARE[:-2], repeated=b"X: y\r\n", callers=400, is_slow=True
    ),
    "connections without a request": Crowd(callers=400, size_bytes=1),
    "unread large answers": Crowd(start=LARGE_ANSWER, callers=100, size_bytes=1),
    "incomplete configurations": Crowd(
        start=CUT_CONFIG,
        callers=12,
        size_bytes=len(CUT_CONFIG),
        port=OPERATORS_PORT,
        role="control",
    ),
}


@dataclass
class UncontrolledCallers(DrainingProcesses):
    """One entry host, its control hosts, upstreams and a crowd.

    :param status: status of the ordinary request's answer; 0 for none.
    """

    entries: int = 1
    engines: int = 2
    crowd: Crowd = None
    start_kb: int = 0
    peak_kb: int = 0
    peak_descriptors: int = 0
    sent_bytes: int = 0
    opened: int = 0
    ended: int = 0
    status: int = 0
    is_alive: bool = False

    def _build_deployment(self, folder):
        self.links = None
        deployment = Deployment(folder, self.controls, self.entries)
        for host in deployment.hosts:
            held_kib = HELD_KIB[host.role]
            host.extra_settings = SETTINGS.format(held_kib=held_kib)
        return deployment

    async def _load(self, deployment, duration_s):
        is_control = self.crowd.role == "control"
        host = (deployment.controls if is_control else deployment.entries)[0]
        self._pid = host.pid
        self._sockets = []
        self.start_kb = self._memory_kb()
        sampling = asyncio.create_task(self._sample())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PLAY_S):
                calls = [self._call_on(host.ip, n) for n in range(self.crowd.callers)]
                await asyncio.gather(*calls)
        # The crowd's connections stay open meanwhile.
        await self._send_ordinary(deployment.entries[0])
        sampling.cancel()
        self.is_alive = host.pid is not None
        self.peak_kb = self._memory_kb()
        for sock in self._sockets:
            sock.close()

    def _memory_kb(self):
        try:
            text = Path(f"/proc/{self._pid}/status").read_text()
        except OSError:
            return 0
        return int(text.partition("VmHWM:")[2].split()[0])

    async def _sample(self):
        while True:
            with contextlib.suppress(OSError):
                count = len(os.listdir(f"/proc/{self._pid}/fd"))
                self.peak_descriptors = max(self.peak_descriptors, count)
            await asyncio.sleep(SAMPLE_S)

    async def _call_on(self, ip, number):
        """Send one caller's bytes, on as many connections as it takes."""
        await asyncio.sleep(number * CONNECT_INTERVAL_S)
        missing_bytes = self.crowd.size_bytes
        while missing_bytes > 0:
            sock = await self._connect(ip)
            try:
                async for size_bytes in self._send(sock, missing_bytes):
                    missing_bytes -= size_bytes
                    self.sent_bytes += size_bytes
                return
            except TimeoutError:
                return
            except OSError:
                self.ended += 1
            sock.close()
            await asyncio.sleep(RECONNECT_S)

    async def _connect(self, ip):
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sockets.append(sock)
        await asyncio.get_running_loop().sock_connect(sock, (ip, self.crowd.port))
        self.opened += 1
        return sock

    async def _send(self, sock, size_bytes):
        """Send up to a number of bytes, and yield the size of each part sent."""
        loop = asyncio.get_running_loop()
        crowd = self.crowd
        start = crowd.start[:-1] if crowd.is_slow else crowd.start
        if start:
            async with asyncio.timeout(STALL_S):
                await loop.sock_sendall(sock, start)
            yield len(start)
            size_bytes -= len(start)
        if not crowd.repeated:
            return
        if crowd.is_slow:
            while True:
                await loop.sock_sendall(sock, b"y")
                yield 1
                await asyncio.sleep(SLOW_PAUSE_S)
        piece = crowd.repeated * max(1, PIECE_BYTES // len(crowd.repeated))
        while size_bytes > 0:
            async with asyncio.timeout(STALL_S):
                await loop.sock_sendall(sock, piece)
            yield len(piece)
            size_bytes -= len(piece)

    async def _send_ordinary(self, host):
        """Send one request, again as long as it is refused as not run."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ORDINARY_S):
                while self.status != 200:
                    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                        await self._send_once(host)
                    await asyncio.sleep(RETRY_S)

    async def _send_once(self, host):
        reader, writer = await asyncio.open_connection(host.ip, CALLERS_PORT)
        try:
            writer.write(build_request("/transfer/x", "ordinary"))
            self.status, _ = await read_whole(reader, bytearray())
        finally:
            writer.close()
