"""Simulated surroundings of the hosts: upstreams, their list, and proxies."""

import asyncio
import hashlib
import json
import os
import socket
from collections import Counter
from dataclasses import dataclass, field

from peridotfront.exceptions import CallerGone
from peridotfront.http_server import HttpServer

from .burdens import Burdens, is_crashing

EVENTS = 12
EVENT_INTERVAL_S = 0.02
CALL_S = 0.02
SILENCE_STEP_S = 0.01
FIRST_NETWORK = 10
NETWORKS = 200
LOCK_PORT = 7599


def _reserve_network():
    """Return a network that no other run on this machine uses, and its lock."""
    for offset in range(NETWORKS):
        number = FIRST_NETWORK + (os.getpid() + offset) % NETWORKS
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.255.254", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return f"127.{number}", lock
    raise RuntimeError("all loopback networks are in use")


NETWORK, _NETWORK_LOCK = _reserve_network()
LIST_ADDRESS = (f"{NETWORK}.9.1", 8225)
UPSTREAM_PORT = 8080
CHUNK_BYTES = 65_536


def digest_of(text):
    """Return the digest with which an upstream signs its answer."""
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def event_of(text, version, number):
    """Return one event of the stream that a software version writes to a request.

    :param text: body of the request.
    """
    return f"id: {number}\ndata: {text} {version} {number}\n\n".encode()


@dataclass
class Upstream:
    """Simulated upstream that records the requests it executed.

    :param runs: number of executions by request id, shared by all upstreams.
    :param tenants: pairs of tenant and API key that came with requests.
    :param fault: fault to inject: ``""``, ``hang``, ``reject``, ``cut``, or ``end``,
        which ends a stream regularly inside an event.
    :param is_silent: whether it sends nothing for now, and later goes on where it
        stood; that is no fault.
    :param version: version of its software.
    :param restarts: number of restarts, each of which gives it a new name.
    :param burdens: record of what burdens the upstreams of the run.
    """

    name: str
    service: str
    ip: str
    runs: Counter
    state: str = "ready"
    fault: str = ""
    version: str = "v1"
    restarts: int = 0
    tenants: set = field(default_factory=set)
    server: HttpServer | None = None
    burdens: Burdens = field(default_factory=Burdens)
    is_restarting: bool = False
    is_silent: bool = False
    event_interval_s: float = EVENT_INTERVAL_S

    async def start(self):
        """Start serving."""
        self.server = HttpServer(self._serve)
        await self.server.start(self.ip, UPSTREAM_PORT)

    async def stop(self):
        """Reset all connections and refuse new ones."""
        await self.server.close()

    async def restart(self, pause_s):
        """Crash, and start under a new name after a pause; once at a time."""
        if self.is_restarting:
            return
        self.is_restarting = True
        await self.stop()
        await asyncio.sleep(pause_s)
        self.restarts += 1
        self.state = "ready"
        await self.start()
        self.is_restarting = False

    @property
    def instance(self):
        """Return the name of its current run."""
        return f"{self.name}.{self.restarts}"

    def entry(self):
        """Return the upstream's entry in the list."""
        return {
            "Id": self.instance,
            "Service": self.service,
            "Addr": f"{self.ip}:{UPSTREAM_PORT}",
            "Zone": "z1",
            "Slots": 4,
            "State": self.state,
            "Version": self.version,
        }

    async def _serve(self, exchange):
        request = exchange.request
        request_id = request.header("x-attempt-id")
        attempt_header = ("X-Attempt-Id", request_id)
        self.burdens.record_arrival(self.name, request.header("x-prefix-hash"))
        if request.header("x-expect-instance") != self.instance:
            fields = [attempt_header, ("X-Instance-Id", self.instance)]
            await exchange.respond(421, fields)
            return
        if self.fault == "reject":
            fields = [attempt_header, ("X-Not-Executed", "1"), ("Retry-After", "0.7")]
            await exchange.respond(503, [*fields, *self._notice()])
            return
        self.runs[request_id] += 1
        self.tenants.add((request.header("x-tenant"), request.header("api-key")))
        if self.fault == "hang":
            await exchange.gone.wait()
            return
        try:
            await self._answer(exchange, request_id, attempt_header)
        except CallerGone:
            return

    async def _answer(self, exchange, request_id, attempt_header):
        request = exchange.request
        if request.path.startswith(("/stream/", "/resumable/")):
            await self._stream(exchange, attempt_header)
            return
        await asyncio.sleep(CALL_S)
        await self._wait_while_silent(exchange)
        if self.fault == "cut":
            exchange.abort()
            return
        body = f"{request_id} {request.body.decode()}"
        fields = [attempt_header, ("X-Response-Sig", digest_of(body)), *self._notice()]
        await exchange.respond(200, fields, body.encode())

    async def _wait_while_silent(self, exchange):
        while self.is_silent and not exchange.gone.is_set():
            await asyncio.sleep(SILENCE_STEP_S)

    def _notice(self):
        fields = [("Server-Leaving", "1")] if self.state == "draining" else []
        limit = self.burdens.limits.get(self.name)
        return [*fields, ("Server-Limit", limit)] if limit else fields

    async def _stream(self, exchange, attempt_header):
        text = exchange.request.body.decode()
        last = int(exchange.request.header("last-event-id") or 0)
        kind = ("Content-Type", "text/event-stream")
        digest = ("X-Response-Sig", digest_of(text))
        await exchange.start(200, [attempt_header, digest, kind, *self._notice()])
        if is_crashing(exchange.request.header("x-prefix-hash")):
            self.burdens.crash(self)
            await exchange.gone.wait()
            return
        for number in range(last + 1, EVENTS + 1):
            event = event_of(text, self.version, number)
            await self._wait_while_silent(exchange)
            if self.fault == "cut" and number > EVENTS // 2:
                exchange.abort()
                return
            if self.fault == "end" and number > EVENTS // 2:
                await exchange.write(event[: len(event) // 2])
                break
            await exchange.write(event)
            await self._pause(exchange)
        await exchange.finish()

    async def _pause(self, exchange):
        """Wait between two events of a stream."""
        await asyncio.sleep(self.event_interval_s)


class UpstreamList:
    """Server of the list of upstreams, in the platform's format."""

    def __init__(self, upstreams):
        self._upstreams = upstreams
        self._server = HttpServer(self._serve)

    async def start(self):
        """Start serving."""
        await self._server.start(*LIST_ADDRESS)

    async def stop(self):
        """Stop serving."""
        await self._server.close()

    async def _serve(self, exchange):
        entries = [upstream.entry() for upstream in self._upstreams]
        entries.append({"Id": 7, "Service": "models"})
        body = json.dumps({"Instances": entries, "NextToken": None}).encode()
        await exchange.respond(200, [("Content-Type", "application/json")], body)


class Proxy:
    """TCP proxy for a host's peer address that disturbs incoming connections.

    :param mode: active disturbance: ``""``, ``silent`` or ``slow``.
    """

    def __init__(self, ip, port, target_port):
        self.mode = ""
        self._address = (ip, port)
        self._target = (ip, target_port)
        self._writers = set()
        self._server = None

    async def start(self):
        """Start forwarding connections."""
        self._server = await asyncio.start_server(self._accept, *self._address)

    async def stop(self):
        """Stop listening and abort all connections."""
        self._server.close()
        self.reset()

    def reset(self):
        """Abort all connections."""
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
