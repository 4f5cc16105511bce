"""Upstreams that follow a script, and a gateway before them without a scheduler."""

import asyncio
import contextlib
import json
import struct
from dataclasses import dataclass, field
from socket import SO_LINGER, SOL_SOCKET

from peridotfront.core.gateway_events import SlotGranted, SlotRefused
from peridotfront.core.messages import Grant, SlotRefusal
from peridotfront.core.routes import RouteTable
from peridotfront.core.verdicts import Reason
from peridotfront.gateway import Gateway
from peridotfront.http_client import HttpClient
from peridotfront.http_server import HttpServer
from peridotfront.metrics import Metrics
from peridotfront.platform.configuration import parse_configuration
from peridotfront.platform.requests import PlatformRequestCodec

KEY = "key-of-club"
HOST = "h.example"
POLL_S = 0.02


def routing(**fields):
    """Return a configuration with a route of each kind."""
    kinds = {
        "transfer": ("non_idempotent", {}),
        "look-up": ("idempotent", {"Attempts": 2}),
        "stream": ("streaming", {"GapTargetMs": 500}),
        "resumable": ("streaming", {"Resumable": True, "Attempts": 2}),
    }
    routes = [
        {
            "Name": name,
            "Host": HOST,
            "Prefix": f"/{name}/",
            "Kind": kind,
            "TimeoutMs": 4000,
            "GoalMs": 300,
            "Service": "s",
            **more,
            **fields.get(name.replace("-", "_"), {}),
        }
        for name, (kind, more) in kinds.items()
    ]
    content = {
        "Version": 1,
        "Routes": routes,
        "Services": [{"Name": "s"}],
        "Tenants": [{"Name": "club", "ApiKeys": [KEY]}],
    }
    return parse_configuration(json.dumps(content))


@dataclass
class Seen:
    """Is a request as an upstream got it."""

    line: str
    headers: dict
    body: bytes
    is_closed: bool = False


@dataclass
class Upstream:
    """Answers each request by the next entry of its script, the last one for ever."""

    name: str
    script: list
    seen: list = field(default_factory=list)
    server: asyncio.Server = None

    @property
    def address(self):
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                seen = await self._read(reader)
                self.seen.append(seen)
                step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
                await getattr(self, f"_{step}")(seen, reader, writer)
        writer.close()

    async def _read(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        line, *fields = head.split("\r\n")
        headers = {}
        for one in fields:
            name, separator, value = one.partition(": ")
            if separator:
                headers[name.lower()] = value
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Seen(line, headers, body)

    def _head(self, seen, status, *fields):
        request_id = seen.headers.get("x-attempt-id", "")
        lines = [f"HTTP/1.1 {status}", f"X-Attempt-Id: {request_id}", *fields]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def _answer(self, seen, reader, writer):
        body = f"whole answer of {self.name}".encode()
        fields = ("X-Response-Sig: sig", f"Content-Length: {len(body)}")
        writer.write(self._head(seen, "200 OK", *fields) + body)

    async def _unsigned(self, seen, reader, writer):
        writer.write(self._head(seen, "200 OK", "Content-Length: 2") + b"ok")

    async def _fail(self, seen, reader, writer):
        fields = ("X-Response-Sig: failed", "Content-Length: 5")
        writer.write(self._head(seen, "500 Internal Server Error", *fields) + b"sorry")

    async def _reject(self, seen, reader, writer):
        fields = ("X-Not-Executed: 1", "Content-Length: 0")
        writer.write(self._head(seen, "503 Service Unavailable", *fields))

    async def _other(self, seen, reader, writer):
        fields = ("X-Instance-Id: other", "Content-Length: 0")
        writer.write(self._head(seen, "421 Misdirected Request", *fields))

    async def _foreign(self, seen, reader, writer):
        seen.headers["x-attempt-id"] = "another"
        await self._answer(seen, reader, writer)

    async def _unframed(self, seen, reader, writer):
        writer.write(self._head(seen, "200 OK", "X-Response-Sig: sig") + b"to the end")
        writer.close()
        raise ConnectionError

    async def _unframed_reset(self, seen, reader, writer):
        writer.write(self._head(seen, "200 OK", "X-Response-Sig: sig") + b"to the")
        await writer.drain()
        await asyncio.sleep(0.05)
        await self._reset(seen, reader, writer)

    async def _short(self, seen, reader, writer):
        fields = ("X-Response-Sig: sig", "Content-Length: 100")
        writer.write(self._head(seen, "200 OK", *fields) + b"cut")
        writer.close()
        raise ConnectionError

    async def _reset(self, seen, reader, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        raise ConnectionError

    async def _hang(self, seen, reader, writer):
        await reader.read()
        seen.is_closed = True
        raise ConnectionError

    def _start_events(self, seen, writer):
        fields = (
            f"X-Response-Sig: sig-of-{self.name}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        writer.write(self._head(seen, "200 OK", *fields))

    def _event(self, writer, number, *, cut=False):
        data = f"id: {number}\ndata: piece {number}\n\n".encode()
        data = data[: len(data) // 2] if cut else data
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def _events(self, seen, reader, writer):
        self._start_events(seen, writer)
        first = int(seen.headers.get("last-event-id", 0)) + 1
        for number in range(first, 7):
            self._event(writer, number)
        writer.write(b"0\r\n\r\n")

    async def _events_from_the_start(self, seen, reader, writer):
        seen.headers.pop("last-event-id", None)
        await self._events(seen, reader, writer)

    async def _slow_events(self, seen, reader, writer):
        self._start_events(seen, writer)
        for number in range(1, 7):
            self._event(writer, number)
            await writer.drain()
            await asyncio.sleep(0.1)
        writer.write(b"0\r\n\r\n")

    async def _cut_events(self, seen, reader, writer):
        self._start_events(seen, writer)
        for number in (1, 2, 3):
            self._event(writer, number)
        self._event(writer, 4, cut=True)
        await writer.drain()
        await asyncio.sleep(0.05)
        await self._reset(seen, reader, writer)

    async def _silent_events(self, seen, reader, writer):
        self._start_events(seen, writer)
        self._event(writer, 1)
        await self._hang(seen, reader, writer)


class Placer:
    """Grants the upstreams in order, one for each want; stands for the scheduler."""

    def __init__(self, upstreams, table):
        self.upstreams = upstreams
        self.route_table = table
        self.wants = []
        self.events = []

    async def acquire_slot(self, slot_request):
        self.wants.append(slot_request)
        free = [u for u in self.upstreams if u.name not in slot_request.excluded]
        if not free:
            refuse = SlotRefusal(
                slot_request.request_id, slot_request.cell, Reason.OVERLOADED, 5000
            )
            return SlotRefused(refuse, False)
        one = free[0]
        grant = Grant(
            slot_request.request_id, slot_request.cell, one.name, 3000, 0, one.address
        )
        return SlotGranted(grant, False)

    def feed(self, event):
        self.events.append(event)


@dataclass
class Answered:
    """Is what a caller got.

    :param is_whole: whether the answer came to its end.
    """

    status: int
    headers: dict
    body: bytes
    is_whole: bool
    first_s: float
    duration_s: float


class RoutedFront:
    """Runs a gateway before scripted upstreams; use as an asynchronous context."""

    def __init__(self, upstreams, table=None):
        self.upstreams = upstreams
        self.placer = Placer(upstreams, table or RouteTable(routing()))

    async def __aenter__(self):
        for one in self.upstreams:
            await one.start()
        self.client = HttpClient()
        self.metrics = Metrics("e1", "dc1")
        gateway = Gateway(
            self.placer, self.client, PlatformRequestCodec(), self.metrics
        )
        self.http = HttpServer(gateway.handle)
        await self.http.start("127.0.0.1")
        return self

    async def __aexit__(self, *error):
        await self.http.close()
        await self.client.close()
        for one in self.upstreams:
            one.server.close()

    async def open(self):
        return await asyncio.open_connection("127.0.0.1", self.http.port)

    async def call(self, path, *, method="POST", body=b"", pause_s=0.0, **headers):
        reader, writer = await self.open()
        writer.write(request(path, method, body, headers))
        if pause_s:
            await asyncio.sleep(pause_s)
        writer.write(body)
        answered = await read_answer(reader)
        writer.close()
        return answered


def request(path, method="POST", body=b"", headers=None):
    """Return the head of a request as callers send it."""
    fields = {
        "Host": HOST,
        "X-Attempt-Id": "a1",
        "X-Deadline-Ms": "3000",
        "Api-Key": KEY,
        "Content-Length": str(len(body)),
        **{name.replace("_", "-"): value for name, value in (headers or {}).items()},
    }
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items() if value is not None]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_answer(reader):
    """Read one answer, whole or broken off."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *rest = head.split("\r\n")
    fields = [one.partition(": ") for one in rest if one]
    headers = {name.lower(): value for name, _, value in fields}
    body = b""
    first_s = 0.0
    is_whole = False
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
            is_whole = True
        while "transfer-encoding" in headers:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            first_s = first_s or loop.time() - started_s
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                is_whole = True
                break
    except (asyncio.IncompleteReadError, ConnectionError):
        is_whole = False
    status = int(line.split()[1])
    duration_s = loop.time() - started_s
    return Answered(status, headers, body, is_whole, first_s, duration_s)


def run_front(context, work):
    """Run a coroutine against the gateway of a scenario."""

    async def inside():
        async with RoutedFront(context.upstreams, context.routes) as front:
            context.front = front
            answer = await work(front)
            await asyncio.sleep(POLL_S)
            return answer

    return asyncio.run(inside())
