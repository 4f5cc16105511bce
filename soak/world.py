"""What stands round the hosts: the list of upstreams, upstreams, and proxies."""

import asyncio
import hashlib
import json
import os
from collections import Counter
from dataclasses import dataclass, field

from peridotfront.exceptions import CallerGone
from peridotfront.http_server import HttpServer

EVENTS = 12
EVENT_INTERVAL_S = 0.02
WORK_S = 0.02
# Runs on one machine at a time must not meet on an address.
NETWORK = f"127.{10 + os.getpid() % 200}"
LIST_ADDRESS = (f"{NETWORK}.9.1", 8225)
UPSTREAM_PORT = 8080
CHUNK_BYTES = 65_536


def digest_of(text):
    """Return the digest by which a caller knows an upstream's answer."""
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def event_of(request_id, number):
    """Return one event of a request's stream."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


@dataclass
class Upstream:
    """Answers requests and records which of them it ran.

    :param fault: ``""``, ``hang``, ``reject`` or ``cut``.
    """

    name: str
    service: str
    ip: str
    runs: Counter
    state: str = "ready"
    fault: str = ""
    tenants: set = field(default_factory=set)
    server: HttpServer | None = None

    async def start(self):
        """Begin to serve."""
        self.server = HttpServer(self._serve)
        await self.server.start(self.ip, UPSTREAM_PORT)

    async def stop(self):
        """Reset all connections and refuse new ones."""
        await self.server.close()

    def entry(self):
        """Return the upstream as the list names it."""
        return {
            "Id": self.name,
            "Service": self.service,
            "Addr": f"{self.ip}:{UPSTREAM_PORT}",
            "Zone": "z1",
            "Slots": 4,
            "State": self.state,
        }

    async def _serve(self, exchange):
        request = exchange.request
        request_id = request.header("x-attempt-id")
        echo = ("X-Attempt-Id", request_id)
        if request.header("x-expect-instance") != self.name:
            await exchange.respond(421, [echo, ("X-Instance-Id", self.name)])
            return
        if self.fault == "reject":
            await exchange.respond(503, [echo, ("X-Not-Executed", "1")])
            return
        self.runs[request_id] += 1
        self.tenants.add((request.header("x-tenant"), request.header("api-key")))
        if self.fault == "hang":
            await exchange.gone.wait()
            return
        try:
            await self._answer(exchange, request_id, echo)
        except CallerGone:
            return

    async def _answer(self, exchange, request_id, echo):
        request = exchange.request
        if request.path.startswith(("/stream/", "/resumable/")):
            await self._stream(exchange, request_id, echo)
            return
        await asyncio.sleep(WORK_S)
        if self.fault == "cut":
            exchange.abort()
            return
        body = f"{request_id} {request.body.decode()}"
        fields = [echo, ("X-Response-Sig", digest_of(body))]
        await exchange.respond(200, fields, body.encode())

    async def _stream(self, exchange, request_id, echo):
        last = int(exchange.request.header("last-event-id") or 0)
        kind = ("Content-Type", "text/event-stream")
        fields = [echo, ("X-Response-Sig", digest_of(request_id)), kind]
        await exchange.start(200, fields)
        for number in range(last + 1, EVENTS + 1):
            if self.fault == "cut" and number > EVENTS // 2:
                exchange.abort()
                return
            await exchange.write(event_of(request_id, number))
            await asyncio.sleep(EVENT_INTERVAL_S)
        await exchange.finish()


class UpstreamList:
    """Serves the list of upstreams, as the platform does."""

    def __init__(self, upstreams):
        self._upstreams = upstreams
        self._server = HttpServer(self._serve)

    async def start(self):
        """Begin to serve."""
        await self._server.start(*LIST_ADDRESS)

    async def stop(self):
        """Stop to serve."""
        await self._server.close()

    async def _serve(self, exchange):
        entries = [one.entry() for one in self._upstreams]
        entries.append({"Id": 7, "Service": "models"})
        body = json.dumps({"Instances": entries, "NextToken": None}).encode()
        await exchange.respond(200, [("Content-Type", "application/json")], body)


class Proxy:
    """Stands before a host's peer address and harms what comes in.

    :param mode: ``""``, ``silent`` or ``slow``.
    """

    def __init__(self, ip, port, target_port):
        self.mode = ""
        self._address = (ip, port)
        self._target = (ip, target_port)
        self._writers = set()
        self._server = None

    async def start(self):
        """Begin to pass connections on."""
        self._server = await asyncio.start_server(self._accept, *self._address)

    async def stop(self):
        """Close all connections."""
        self._server.close()
        self.reset()

    def reset(self):
        """Break all connections."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _accept(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, up_writer))
        await asyncio.gather(
            self._pump(reader, up_writer), self._pump(up_reader, writer)
        )
        self._writers.difference_update((writer, up_writer))

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(CHUNK_BYTES):
                while self.mode == "silent":
                    await asyncio.sleep(0.05)
                if self.mode == "slow":
                    await asyncio.sleep(0.1)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
