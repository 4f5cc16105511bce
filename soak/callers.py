"""Callers and an operator that check every answer against the guarantees."""

import asyncio
import contextlib
import json
from dataclasses import dataclass, field

from peridotfront.exceptions import PeridotfrontError
from peridotfront.http_client import ClientLimits, HttpClient, UpstreamTimeouts

from .burdens import CRASHING_SHARE, prefix_of
from .deployment import CALLERS_PORT, OPERATORS_PORT
from .untrue_answers import LONG_BODY_BYTES
from .world import EVENTS, digest_of, event_of

KEY = "key-of-club"
HOST = "h.example"
CONFIG_PATH = "/peridotfront/config"
KINDS = {
    "transfer": ("non_idempotent", {}),
    "look-up": ("idempotent", {"Attempts": 2}),
    "stream": ("streaming", {"GapTargetMs": 500}),
    "resumable": ("streaming", {"Resumable": True, "Attempts": 2}),
}
NON_REPEATABLE_KINDS = ("transfer", "stream")
LONG_SHARE = 0.25
VERSIONS = ("v1", "v2")
MAX_STREAM_ATTEMPTS = 3
DEADLINE_MS = 4000
NOT_EXECUTED_CODES = (408, 421, 429, 503)
TIMEOUTS = UpstreamTimeouts(connect_ms=1000, first_byte_ms=5000, between_bytes_ms=5000)
OPERATOR_TIMEOUTS = UpstreamTimeouts(
    connect_ms=500, first_byte_ms=1500, between_bytes_ms=1500
)


def configuration(version, accounts=0):
    """Return the configuration with a version, as the operator sends it.

    :param accounts: number of client accounts beside the one that the callers use.
    """
    routes = [
        {
            "Name": name,
            "Host": HOST,
            "Prefix": f"/{name}/",
            "Kind": kind,
            "TimeoutMs": DEADLINE_MS,
            "GoalMs": 500,
            "Service": "models" if kind == "streaming" else "ledger",
            **options,
        }
        for name, (kind, options) in KINDS.items()
    ]
    engine = {"Slots": 4, "KvCapacity": 500_000}
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": "models", "Engine": engine}, {"Name": "ledger"}],
        "Tenants": [
            {"Name": "club", "ApiKeys": [KEY]},
            *[{"Name": f"a{n}", "ApiKeys": [f"key-{n}"]} for n in range(accounts)],
        ],
    }


@dataclass
class Record:
    """Results that the callers and the operator observed.

    :param ids: ids of all requests.
    :param non_repeatable: ids of the requests that may be executed at most once.
    :param refused: status by id of the requests answered as not executed.
    :param faults: descriptions of violated guarantees.
    """

    sent: int = 0
    served: int = 0
    ids: set = field(default_factory=set)
    non_repeatable: set = field(default_factory=set)
    refused: dict = field(default_factory=dict)
    acknowledged: int = 0
    faults: list = field(default_factory=list)
    last_served_s: float = 0.0


class Callers:
    """Load generator for all kinds of requests and all entry hosts."""

    def __init__(self, hosts, record, random):
        self._hosts = hosts
        self._record = record
        self._random = random
        # No two runs share request ids, by which hosts remember streams.
        self._run_id = f"{random.getrandbits(32):08x}"
        self._client = HttpClient(ClientLimits(keep_alive_ms=10_000))
        self._tasks = set()

    async def run(self, duration_s, requests_per_s):
        """Send requests at a fixed rate, then wait for the open answers."""
        for number in range(int(duration_s * requests_per_s)):
            task = asyncio.create_task(self._call(number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / requests_per_s)
        await asyncio.gather(*self._tasks)
        await self._client.close()

    async def _call(self, number):
        kind = self._random.choice(list(KINDS))
        request_id = f"{kind}-{self._run_id}-{number}"
        self._record.sent += 1
        if kind in ("stream", "resumable"):
            await self._read_stream(kind, request_id)
            return
        text = request_id
        if self._random.random() < LONG_SHARE:
            text = request_id.ljust(LONG_BODY_BYTES, ".")
        try:
            answer = await self._send(kind, text, request_id)
            body = await answer.read()
        except PeridotfrontError:
            return
        self._check(request_id, text, answer, body)

    async def _send(self, kind, text, request_id, *fields):
        self._record.ids.add(request_id)
        if kind in NON_REPEATABLE_KINDS:
            self._record.non_repeatable.add(request_id)
        host = self._random.choice(self._hosts)
        headers = [
            ("X-Attempt-Id", request_id),
            ("X-Deadline-Ms", str(DEADLINE_MS)),
            ("Api-Key", KEY),
            ("X-Tenant", "forged"),
            *fields,
        ]
        return await self._client.send(
            f"{host.ip}:{CALLERS_PORT}",
            "POST",
            f"/{kind}/x",
            headers,
            text.encode(),
            host=HOST,
            timeouts=TIMEOUTS,
        )

    async def _read_stream(self, kind, text):
        """Read a stream; if it may be resumed, also from where it broke off."""
        received = b""
        fields = []
        prefix = prefix_of(text, self._random.random() < CRASHING_SHARE)
        for attempt in range(MAX_STREAM_ATTEMPTS if kind == "resumable" else 1):
            request_id = f"{text}.{attempt}" if attempt else text
            try:
                answer = await self._send(kind, text, request_id, prefix, *fields)
                if answer.status_code != 200:
                    answer.cancel()
                    self._check(request_id, text, answer, b"")
                    break
                async for chunk in answer.chunks():
                    received += chunk
            except PeridotfrontError:
                received = whole_events(received)
                self._check_events(text, received)
                count = received.count(b"\n\n")
                if not fields and count:
                    fields = [("Resumes", request_id)]
                fields = [*fields[:1], ("Last-Event-Id", str(count))] if count else []
                continue
            self._check_complete(text, answer, received)
            return

    def _check_events(self, text, received):
        """Check that a stream consists of the events of one software version."""
        count = received.count(b"\n\n")
        whole = [
            b"".join([event_of(text, version, n) for n in range(1, count + 1)])
            for version in VERSIONS
        ]
        if received not in whole:
            self._record.faults.append(f"{text} got wrong events: {received[-160:]!r}")

    def _check_complete(self, text, answer, received):
        record = self._record
        self._check_events(text, received)
        if received.count(b"\n\n") != EVENTS:
            record.faults.append(f"{text} got a regular end too early")
            return
        if answer.header("x-response-sig") != digest_of(text):
            record.faults.append(f"{text} got the digest of another answer")
            return
        record.served += 1
        record.last_served_s = asyncio.get_running_loop().time()

    def _check(self, request_id, text, answer, body):
        record = self._record
        status = answer.status_code
        digest = answer.header("x-response-sig")
        if status in NOT_EXECUTED_CODES:
            record.refused[request_id] = status
        if status != 200:
            if status in (400, 401, 404) or 200 < status < 300:
                record.faults.append(f"{request_id} was answered with {status}")
            if digest not in ("", digest_of(f"{request_id} {status}")):
                record.faults.append(f"{request_id} got {status} with a wrong digest")
            return
        expected = f"{request_id} {text}"
        if body != expected.encode() or digest != digest_of(expected):
            record.faults.append(f"{request_id} got a wrong answer: {body[:80]!r}")
            return
        record.served += 1
        record.last_served_s = asyncio.get_running_loop().time()


def whole_events(received):
    """Return the received bytes without an incomplete event at their end."""
    events, delimiter, _ = received.rpartition(b"\n\n")
    return events + delimiter


class Operator:
    """Operator client that changes and reads the configuration.

    ``build`` returns the configuration with a version.
    """

    def __init__(self, hosts, record, random):
        self.build = configuration
        self._hosts = hosts
        self._record = record
        self._random = random
        self._client = HttpClient()
        self._version = 0

    async def change(self, timeout_s=10.0):
        """Send the next version to random hosts until it is acknowledged.

        :return: whether it was acknowledged in time.
        """
        self._version += self._random.randint(1, 5)
        body = json.dumps(self.build(self._version)).encode()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while loop.time() < end_s:
            answer = await self._send("PUT", body)
            if answer is not None and answer[0] == 200:
                self._record.acknowledged = self._version
                return True
            if answer is not None and answer[0] == 400:
                self._record.faults.append("a valid configuration was rejected")
                return False
            await asyncio.sleep(0.2)
        return False

    async def read(self):
        """Read the configuration and check that it is not outdated.

        :return: whether a host answered.
        """
        acknowledged = self._record.acknowledged
        answer = await self._send("GET", b"")
        if answer is None or answer[0] != 200:
            return False
        version = json.loads(answer[1])["Version"]
        if version < acknowledged:
            self._record.faults.append(f"read {version} after {acknowledged}")
        return True

    async def find_leader(self):
        """Return the host that answers operators itself, or None."""
        for host in self._hosts:
            address = f"{host.ip}:{OPERATORS_PORT}"
            with contextlib.suppress(PeridotfrontError):
                answer = await self._client.send(
                    address, "GET", CONFIG_PATH, timeouts=OPERATOR_TIMEOUTS
                )
                await answer.read()
                if answer.status_code == 200:
                    return host
        return None

    async def close(self):
        """Close the connections."""
        await self._client.close()

    async def _send(self, method, body):
        address = f"{self._random.choice(self._hosts).ip}:{OPERATORS_PORT}"
        try:
            for _ in range(3):
                answer = await self._client.send(
                    address, method, CONFIG_PATH, (), body, timeouts=OPERATOR_TIMEOUTS
                )
                content = await answer.read()
                if answer.status_code != 307:
                    return answer.status_code, content
                location = answer.header("location").removeprefix("http://")
                address = location.partition("/")[0]
        except PeridotfrontError:
            return None
        return None
