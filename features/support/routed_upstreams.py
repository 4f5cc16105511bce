"""Gateway before scripted upstreams, with or without a scheduler of its own."""

import asyncio
import json
import time
from dataclasses import dataclass

from peridotfront.core.gateway_events import SlotGranted, SlotRefused
from peridotfront.core.gateway_role import GatewayRole
from peridotfront.core.messages import Grant, ListedUpstream, SlotRefusal
from peridotfront.core.retry_budgets import RetryLimits
from peridotfront.core.routes import RouteTable
from peridotfront.core.routing_events import RoutingChanged, UpstreamsListed
from peridotfront.core.service_schedulers import SharedLimits
from peridotfront.core.verdicts import Reason
from peridotfront.gateway import Gateway
from peridotfront.gateway_server import GatewayServer
from peridotfront.http_client import ClientLimits
from peridotfront.http_server import HttpServer
from peridotfront.link_checker import LinkChecker
from peridotfront.metrics import Metrics
from peridotfront.platform.configuration import parse_configuration
from peridotfront.platform.requests import PlatformRequestCodec
from peridotfront.relay_client import UpstreamClients
from peridotfront.relay_server import RelayServer
from peridotfront.transport import Transport

KEY = "key-of-club"
HOST = "h.example"
POLL_S = 0.02
# A host without a leader has a small share of the retries.
AMPLE_RETRIES = 1_000_000


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
            **options,
            **fields.get(name.replace("-", "_"), {}),
        }
        for name, (kind, options) in kinds.items()
    ]
    content = {
        "Version": 1,
        "Routes": routes,
        "Services": [{"Name": "s"}],
        "Tenants": [{"Name": "club", "ApiKeys": [KEY]}],
    }
    return parse_configuration(json.dumps(content))


class FakeSlotServer:
    """Replacement for the scheduler that grants the first upstream that suits.

    :param knows_versions: whether software versions are known to it.
    :param origins_known_after_ms: time after which it knows how streams began.
    :param refusal_reason: reason with which it refuses everything; empty if it grants.
    :param frozen_ms: time for which the process is frozen after each grant.
    :param busy_ms: time from the first repeat for which it refuses repeats.
    :param busy_reason: reason with which it does so.
    :param repeat_delay_ms: time after which it grants a repeat.
    :param grants_one_repeat: whether it refuses all repeats but the first.

    ``relay`` is the host through which it lets requests be sent; empty for none.
    """

    def __init__(
        self,
        upstreams,
        table,
        *,
        knows_versions=True,
        origins_known_after_ms=0,
        refusal_reason="",
        frozen_ms=0,
        busy_ms=0,
        busy_reason="overloaded",
        repeat_delay_ms=0,
        grants_one_repeat=False,
    ):
        self.upstreams = upstreams
        self.route_table = table
        self.knows_versions = knows_versions
        self.origins_known_s = time.monotonic() + origins_known_after_ms / 1000
        self.refusal_reason = refusal_reason
        self.frozen_ms = frozen_ms
        self.busy_ms = busy_ms
        self.busy_reason = busy_reason
        self.repeat_delay_ms = repeat_delay_ms
        self.grants_one_repeat = grants_one_repeat
        self.repeats = 0
        self.granted = []
        self.busy_until_s = None
        self.relay = ""
        self.slot_requests = []
        self.events = []

    async def acquire_slot(self, slot_request):
        self.slot_requests.append(slot_request)
        if slot_request.is_resumed and time.monotonic() < self.origins_known_s:
            return self._refuse(slot_request, "unknown_origin", 300)
        if self.refusal_reason:
            return self._refuse(slot_request, self.refusal_reason, 500)
        self.repeats += slot_request.is_repeat
        if self.grants_one_repeat and slot_request.is_repeat and self.repeats > 1:
            return self._refuse(slot_request, "overloaded", 5000)
        if slot_request.is_repeat and self._is_busy():
            return self._refuse(slot_request, self.busy_reason, 100)
        free = [u for u in self.upstreams if self._suits(u, slot_request)]
        if not free:
            return self._refuse(slot_request, "overloaded", 5000)
        upstream = free[0]
        grant = Grant(
            slot_request.request_id,
            slot_request.cell,
            upstream.name,
            3000,
            0,
            upstream.address,
            upstream.software_version if self.knows_versions else "",
            self.relay,
        )
        # It freezes the whole process, as SIGSTOP does.
        time.sleep(self.frozen_ms / 1000)
        if slot_request.is_repeat:
            await asyncio.sleep(self.repeat_delay_ms / 1000)
        self.granted.append(grant.request_id)
        return SlotGranted(grant, False)

    def _is_busy(self):
        now_s = time.monotonic()
        if self.busy_until_s is None:
            self.busy_until_s = now_s + self.busy_ms / 1000
        return now_s < self.busy_until_s

    def _suits(self, upstream, slot_request):
        version = getattr(slot_request, "software_version", "")
        is_of_version = not version or upstream.software_version == version
        is_excluded = upstream.name in slot_request.excluded
        return (is_of_version or not self.knows_versions) and not is_excluded

    @staticmethod
    def _refuse(slot_request, reason, retry_after_ms):
        refusal = SlotRefusal(
            slot_request.request_id, slot_request.cell, Reason(reason), retry_after_ms
        )
        return SlotRefused(refusal, False)

    def feed(self, event):
        self.events.append(event)


@dataclass
class CallerAnswer:
    """Answer as a caller received it.

    :param is_complete: whether the answer is complete.
    :param first_s: time until the first chunk in seconds.
    :param duration_s: time until the end in seconds.
    :param fields: names in lower case and values of all header fields, in order.
    """

    status: int
    headers: dict
    body: bytes
    is_complete: bool
    first_s: float
    duration_s: float
    fields: tuple = ()


def leaderless_server(upstreams, metrics):
    """Return the server of an entry host that schedules the upstreams by itself."""
    limits = SharedLimits(RetryLimits(slack=AMPLE_RETRIES))
    role = GatewayRole("e1", 1, "dc1", (), limits)
    server = GatewayServer(role, lambda *_: None, lambda *_: None, metrics)
    server.route_table = RouteTable(routing())
    server.feed(RoutingChanged(server.route_table.routing))
    listed = [
        ListedUpstream(u.name, "s", u.address, "dc1", 4, False, u.software_version)
        for u in upstreams
    ]
    server.feed(UpstreamsListed(tuple(listed)))
    return server


class RelayHost:
    """Entry host that relays connections to upstreams.

    :param upstreams: upstreams that it knows.

    ``opened`` counts the connections that it was asked for.
    """

    def __init__(self, upstreams):
        self.opened = 0
        self._upstreams = upstreams
        self.server = RelayServer(self._is_known)
        self._transport = Transport(
            "relay", 1, (), lambda frame: None, relay=self.server.relay
        )

    def _is_known(self, address):
        is_known = address in [upstream.address for upstream in self._upstreams]
        self.opened += is_known
        return is_known

    async def start(self):
        """Start to listen, and return the address."""
        return f"127.0.0.1:{await self._transport.start('127.0.0.1:0')}"

    def end(self):
        """Begin to stop."""
        self._stopping = asyncio.ensure_future(self._transport.stop())

    async def stop(self):
        """Break off all that it relays."""
        await self._transport.stop()


class GatewayRunner:
    """Asynchronous context manager that runs a gateway and scripted upstreams.

    :param is_scheduling: whether the entry host schedules the upstreams by itself.
    :param relayed: upstreams that another host relays to; None for no such host.
    """

    def __init__(
        self,
        upstreams,
        table=None,
        slot_options=None,
        is_scheduling=False,
        relayed=None,
    ):
        self.relay = None if relayed is None else RelayHost(relayed)
        self.upstreams = upstreams
        self.is_scheduling = is_scheduling
        self.slot_server = FakeSlotServer(
            upstreams, table or RouteTable(routing()), **(slot_options or {})
        )

    async def __aenter__(self):
        for upstream in self.upstreams:
            await upstream.start()
        if self.relay is not None:
            self.slot_server.relay = await self.relay.start()
        self.clients = UpstreamClients(ClientLimits())
        self.metrics = Metrics("e1", "dc1")
        if self.is_scheduling:
            self.slot_server = leaderless_server(self.upstreams, self.metrics)
            self.ticks = asyncio.ensure_future(self._tick())
        gateway = Gateway(
            self.slot_server,
            self.clients,
            LinkChecker(self.clients.direct, self.slot_server.feed),
            PlatformRequestCodec(),
            self.metrics,
        )
        self.http = HttpServer(gateway.handle)
        await self.http.start("127.0.0.1")
        return self

    async def _tick(self):
        while True:
            self.slot_server.tick()
            await asyncio.sleep(POLL_S)

    async def __aexit__(self, *error):
        if self.is_scheduling:
            self.ticks.cancel()
        await self.http.close()
        await self.clients.close()
        if self.relay is not None:
            await self.relay.stop()
        for upstream in self.upstreams:
            upstream.server.close()

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
    """Return the head of a caller's request."""
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
    """Read one answer, complete or truncated."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *field_lines = head.split("\r\n")
    fields = [text.partition(": ") for text in field_lines if text]
    fields = tuple([(name.lower(), value) for name, _, value in fields])
    headers = dict(fields)
    body = b""
    first_s = 0.0
    is_complete = False
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
            is_complete = True
        while "transfer-encoding" in headers:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            first_s = first_s or loop.time() - started_s
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                is_complete = True
                break
    except (asyncio.IncompleteReadError, ConnectionError):
        is_complete = False
    status = int(line.split()[1])
    duration_s = loop.time() - started_s
    return CallerAnswer(status, headers, body, is_complete, first_s, duration_s, fields)


def run_front(context, work):
    """Run a coroutine against the gateway of a scenario."""

    async def inside():
        slot_options = getattr(context, "slot_options", None)
        is_scheduling = getattr(context, "is_scheduling", False)
        async with GatewayRunner(
            context.upstreams,
            context.routes,
            slot_options,
            is_scheduling,
            getattr(context, "relayed", None),
        ) as front:
            context.front = front
            relay_ends_ms = getattr(context, "relay_ends_ms", None)
            if relay_ends_ms is not None:
                asyncio.get_running_loop().call_later(
                    relay_ends_ms / 1000, front.relay.end
                )
            answer = await work(front)
            await asyncio.sleep(POLL_S)
            return answer

    return asyncio.run(inside())
