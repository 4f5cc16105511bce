"""Gateway whose configuration changes while requests of each kind are under way."""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field, replace

from peridotfront.core.actions import Received
from peridotfront.core.gateway_role import GatewayRole
from peridotfront.core.messages import ConfigUpdate, ListedUpstream
from peridotfront.core.retry_budgets import RetryLimits
from peridotfront.core.routing_events import UpstreamsListed
from peridotfront.core.service_schedulers import SharedLimits
from peridotfront.exceptions import CallerGone
from peridotfront.gateway import Gateway
from peridotfront.gateway_server import GatewayServer
from peridotfront.http_client import ClientLimits
from peridotfront.http_server import HttpServer
from peridotfront.link_checker import LinkChecker
from peridotfront.metrics import Metrics
from peridotfront.platform.configuration import parse_routing
from peridotfront.platform.requests import PlatformRequestCodec
from peridotfront.relay_client import UpstreamClients
from peridotfront.routed_entry import build_http_limits

from .routed_upstreams import HOST, KEY, POLL_S, read_answer, request

SLOTS = 3
BODY = b"0123456789" * 4
CALL_S = 0.4
EVENTS = 6
EVENT_INTERVAL_S = 0.1
CHANGE_AFTER_S = 0.2
READ_ON_AFTER_S = 0.25
FIRST_VERSION = 10
CHANGED_VERSION = 20
LAST_VERSION = 30
TIME_LIMIT_S = 6
KINDS = {
    "transfer": ("non_idempotent", {}),
    "look-up": ("idempotent", {"Attempts": 2}),
    "stream": ("streaming", {"GapTargetMs": 500}),
    "resumable": ("streaming", {"Resumable": True, "Attempts": 2}),
}


def configuration(version, **fields):
    """Return a configuration, with some of its top-level fields replaced."""
    content = {
        "Version": version,
        "Routes": routes(),
        "Services": [{"Name": "s"}, {"Name": "t"}],
        "Tenants": [account()],
        **fields,
    }
    return json.dumps(content)


def routes(**fields):
    """Return a route of each kind, with some fields replaced in all of them."""
    return [
        {
            "Name": name,
            "Host": HOST,
            "Prefix": f"/{name}/",
            "Kind": kind,
            "TimeoutMs": 3000,
            "GoalMs": 1000,
            "Service": "s",
            **options,
            **fields,
        }
        for name, (kind, options) in KINDS.items()
    ]


def account(**fields):
    """Return the account of the callers, with some fields replaced."""
    return {"Name": "club", "ApiKeys": [KEY], **fields}


WEIGHTS = [{"Service": "s", "Weight": 1}, {"Service": "t", "Weight": 9}]
OTHERS = {"Name": "others", "ApiKeys": ["key-of-others"]}
ENGINE = {"Slots": SLOTS, "KvCapacity": 500_000}
CHANGES = {
    "the routes are gone": {"Routes": []},
    "the routes move to another service": {"Routes": routes(Service="t")},
    "the service is gone": {
        "Routes": routes(Service="t"),
        "Services": [{"Name": "t"}],
    },
    "the account is gone": {"Tenants": [OTHERS]},
    "the key is gone": {"Tenants": [account(ApiKeys=["another-key"])]},
    "the weights move": {"Routes": routes(Backends=WEIGHTS)},
    "the time limit is shorter": {"Routes": routes(TimeoutMs=100)},
    "the time limit is longer": {"Routes": routes(TimeoutMs=60_000)},
    "bodies have to be smaller": {"Limits": {"MaxBodyBytes": 10}},
    "headers have to be smaller": {"Limits": {"MaxHeaderBytes": 40}},
    "connections may be idle for 100 ms": {"Limits": {"IdleTimeoutMs": 100}},
    "headers have to come within 100 ms": {"Limits": {"HeaderTimeoutMs": 100}},
    "the allowance is cut": {"Tenants": [account(RatePerS=0.001, Burst=0)]},
    "the priority changes": {
        "Routes": routes(Priority=7),
        "Tenants": [account(Priority=9)],
    },
    "the routes turn into streams": {"Routes": routes(Kind="streaming")},
    "the service turns into one with engines": {
        "Services": [{"Name": "s", "Engine": ENGINE}, {"Name": "t"}]
    },
    "fewer connections may be open": {"connections": 1},
    "the configuration can't be read": {"Routes": "unreadable"},
    "an older configuration arrives": {"Routes": [], "Version": 1},
}


@dataclass
class SlowUpstream:
    """Upstream that takes a while for each answer.

    :param runs: number of runs by request id.
    """

    call_s: float = CALL_S
    runs: Counter = field(default_factory=Counter)
    server: HttpServer | None = None

    async def start(self):
        """Start to listen."""
        self.server = HttpServer(self._serve)
        await self.server.start("127.0.0.1")

    async def _serve(self, exchange):
        request_id = exchange.request.header("x-attempt-id")
        self.runs[request_id] += 1
        fields = [("X-Attempt-Id", request_id), ("X-Response-Sig", "sig")]
        try:
            await self._answer(exchange, fields)
        except CallerGone:
            return

    async def _answer(self, exchange, fields):
        if not exchange.request.path.startswith(("/stream/", "/resumable/")):
            await asyncio.sleep(self.call_s)
            await exchange.respond(200, fields, exchange.request.body)
            return
        await exchange.start(200, [*fields, ("Content-Type", "text/event-stream")])
        for number in range(1, EVENTS + 1):
            await exchange.write(f"id: {number}\ndata: x\n\n".encode())
            await asyncio.sleep(EVENT_INTERVAL_S)
        await exchange.finish()


class ChangingGateway:
    """Gateway with a scheduler of its own, callers and one upstream.

    ``answers`` are the answers by the name of the request's state at the change, and
    None stands for a request that got none; ``duration_s`` is the time that each took.
    """

    def __init__(self):
        self.upstream = SlowUpstream()
        self.answers = {}
        self.duration_s = {}
        self.later_answers = []
        self.later_s = 0.0

    async def play(self, change):
        """Let a change come into force while requests are under way."""
        await self._run(self._play(change))

    async def play_kept(self, limits, *, body=BODY, header="", pause_s=0.0):
        """Lift the limits of the callers while a connection is kept, and use it."""
        await self._run(self._play_kept(limits, body, header, pause_s))

    async def _run(self, work):
        await self._start()
        try:
            await work
        finally:
            self._ticks.cancel()
            await self.http.close()
            await self._clients.close()
            await self.upstream.server.close()

    async def _start(self):
        await self.upstream.start()
        self._clients = UpstreamClients(ClientLimits())
        metrics = Metrics("e1", "dc1")
        limits = SharedLimits(RetryLimits(slack=1_000_000))
        role = GatewayRole("e1", 1, "dc1", (), limits)
        self.server = GatewayServer(role, parse_routing, lambda *_: None, metrics)
        links = LinkChecker(self._clients.direct, self.server.feed)
        codec = PlatformRequestCodec()
        gateway = Gateway(self.server, self._clients, links, codec, metrics)
        self.http = HttpServer(gateway.handle)
        self.server.on_routing_changed = self._apply_routing
        await self.http.start("127.0.0.1")
        self._ticks = asyncio.ensure_future(self._tick())
        await self._put(configuration(FIRST_VERSION), FIRST_VERSION)
        address = f"127.0.0.1:{self.upstream.server.port}"
        listed = ListedUpstream("u1", "s", address, "dc1", SLOTS, False, "v1")
        self.server.feed(UpstreamsListed((listed,)))
        await asyncio.sleep(0.2)

    def _apply_routing(self, routing):
        self.http.limits = build_http_limits(routing.caller_limits)

    async def _tick(self):
        while True:
            self.server.tick()
            await asyncio.sleep(POLL_S)

    async def _put(self, text, version):
        """Let a configuration arrive; the first one needs a moment."""
        self._receive(text, version)
        while self.server.route_table.version == 0:
            await asyncio.sleep(POLL_S)

    def _receive(self, text, version):
        update = ConfigUpdate(version, f"change-{version}", "operator", text)
        self.server.feed(Received("c1", 1, update))

    async def _play(self, change):
        kept = await asyncio.open_connection("127.0.0.1", self.http.port)
        await self._answer(kept, "first", "/look-up/x")
        half_read = await asyncio.open_connection("127.0.0.1", self.http.port)
        half_read[1].write(request("/look-up/x", "POST", BODY, _id("half_read")))
        half_read[1].write(BODY[:5])
        calls = [
            asyncio.ensure_future(self._call(name, path))
            for name, path in (
                ("running", "/look-up/x"),
                ("streaming", "/stream/x"),
                ("resumable", "/resumable/x"),
            )
        ]
        await asyncio.sleep(CHANGE_AFTER_S / 2)
        calls.append(asyncio.ensure_future(self._call("waiting", "/transfer/x")))
        await asyncio.sleep(CHANGE_AFTER_S / 2)
        self._change(dict(change))
        await asyncio.sleep(READ_ON_AFTER_S - CHANGE_AFTER_S)
        half_read[1].write(BODY[5:])
        calls.append(asyncio.ensure_future(self._answer(half_read, "half_read")))
        calls.append(asyncio.ensure_future(self._answer(kept, "kept", "/look-up/x")))
        await asyncio.gather(*calls)
        await self._play_later()

    async def _play_kept(self, limits, body, header, pause_s):
        narrow = configuration(CHANGED_VERSION, Limits=limits)
        await self._put(narrow, CHANGED_VERSION)
        kept = await asyncio.open_connection("127.0.0.1", self.http.port)
        await self._answer(kept, "first", "/look-up/x")
        await self._put(configuration(LAST_VERSION), LAST_VERSION)
        await asyncio.sleep(pause_s)
        fields = {**_id("kept"), "X-Padding": header}
        kept[1].write(request("/look-up/x", "POST", body, fields) + body)
        await self._answer(kept, "kept")

    def _change(self, change):
        version = change.pop("Version", CHANGED_VERSION)
        connections = change.pop("connections", None)
        self._receive(configuration(version, **change), version)
        if connections is not None:
            self.http.limits = replace(self.http.limits, max_connections=connections)

    async def _play_later(self):
        """Bring the first configuration back and use all slots at once."""
        await self._put(configuration(LAST_VERSION), LAST_VERSION)
        self.http.limits = build_http_limits(
            self.server.route_table.routing.caller_limits
        )
        started_s = asyncio.get_running_loop().time()
        calls = [self._call(f"later-{n}", "/look-up/x") for n in range(SLOTS)]
        await asyncio.gather(*calls)
        self.later_s = asyncio.get_running_loop().time() - started_s
        names = [f"later-{number}" for number in range(SLOTS)]
        self.later_answers = [self.answers.pop(name) for name in names]

    async def _call(self, name, path):
        connection = await asyncio.open_connection("127.0.0.1", self.http.port)
        await self._answer(connection, name, path)
        connection[1].close()

    async def _answer(self, connection, name, path=""):
        """Send a request, unless it is half sent, and read its answer."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        reader, writer = connection
        if path:
            writer.write(request(path, "POST", BODY, _id(name)) + BODY)
        self.answers[name] = None
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                self.answers[name] = await read_answer(reader)
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self.duration_s[name] = loop.time() - started_s


def _id(name):
    return {"X-Attempt-Id": name}
