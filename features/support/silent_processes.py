"""Real programs before sound upstreams that fall silent for a moment and go on."""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus

from peridotfront.exceptions import PeridotfrontError
from peridotfront.http_client import ClientLimits, HttpClient
from soak.callers import HOST, KEY
from soak.deployment import CALLERS_PORT
from soak.world import EVENTS, NETWORK, Upstream, event_of

from .prompt_processes import DEADLINE_MS, TIMEOUTS, PromptProcesses

CHANGE_INTERVAL_S = 0.7
SILENCE_INTERVALS_S = (1.5, 3.0)
SLOTS = 4
EVENT_INTERVAL_S = 0.03
CALL_INTERVAL_S = 0.03
# A host ends an answer a little before the time limit, so that its end arrives in time.
LIMIT_MARGIN_MS = 100
STREAM_PATHS = ("/stream/x", "/resumable/x")
NOT_RUN_STATUSES = (429, 503)


@dataclass
class RunningUpstream(Upstream):
    """Upstream that counts, for each request, the runs that go on at a time.

    :param running: requests that run at any upstream now.
    :param overlaps_s: time for which more than one run of a request went on.
    """

    running: Counter = field(default_factory=Counter)
    overlaps_s: Counter = field(default_factory=Counter)

    async def _answer(self, exchange, request_id, attempt_header):
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        is_second = self.running[request_id] > 0
        self.running[request_id] += 1
        try:
            await super()._answer(exchange, request_id, attempt_header)
        finally:
            self.running[request_id] -= 1
            if is_second and self.running[request_id]:
                self.overlaps_s[request_id] = loop.time() - began_s


@dataclass
class SilentProcesses(PromptProcesses):
    """Control and entry host processes before upstreams that fall silent at times.

    :param keep_alive_ms: time for which callers keep an idle connection.
    :param path: path of all requests.
    :param silence_s: time for which one upstream at a time passes no bytes.
    :param load: requests sent, as a share of what the upstreams serve.
    :param whole: number of requests that got their whole answer.
    :param refused: number of requests that were refused as not run.
    :param given_up: ids of the requests that got another answer.
    :param timed_out: ids of the requests that ended at their own time limit, as their
        slot came too late for a run with one silence.
    :param lost: ids of the requests whose connection ended without a whole answer
        before, each with its error.
    :param failed_logs: lines of the programs' logs that name the requests that were
        lost or given up.
    :param wrong: ids of the requests that got another one's answer, or events twice,
        out of order or not at all.
    """

    keep_alive_ms: int = 10_000
    path: str = "/resumable/x"
    silence_s: float = 1.9
    load: float = 0.9
    whole: int = 0
    refused: int = 0
    given_up: list = field(default_factory=list)
    timed_out: list = field(default_factory=list)
    lost: list = field(default_factory=list)
    failed_logs: list = field(default_factory=list)
    wrong: list = field(default_factory=list)
    overlaps_s: Counter = field(default_factory=Counter)

    def _build_upstreams(self):
        runs = Counter()
        running = Counter()
        return [
            RunningUpstream(
                f"u{number}",
                self.service,
                f"{NETWORK}.8.{number}",
                runs,
                event_interval_s=EVENT_INTERVAL_S,
                running=running,
                overlaps_s=self.overlaps_s,
            )
            for number in range(1, self.engines + 1)
        ]

    @property
    def service(self):
        """Return the service that the upstreams provide."""
        return "models" if self.path in STREAM_PATHS else "ledger"

    @property
    def _run_s(self):
        """Return the time for which a request runs without a silence."""
        is_stream = self.path in STREAM_PATHS
        return EVENTS * EVENT_INTERVAL_S if is_stream else CALL_INTERVAL_S

    @property
    def _step_s(self):
        """Return the time between two requests."""
        return self._run_s / (self.engines * SLOTS * self.load)

    async def _load(self, deployment, duration_s):
        client = HttpClient(ClientLimits(keep_alive_ms=self.keep_alive_ms))
        disturbances = [
            asyncio.create_task(disturbance)
            for disturbance in self._disturbances(client, deployment)
        ]
        calls = set()
        for number in range(int(duration_s / self._step_s)):
            calls.add(asyncio.create_task(self._request(client, deployment, number)))
            await asyncio.sleep(self._step_s)
        await asyncio.gather(*calls)
        for disturbance in disturbances:
            disturbance.cancel()
        await asyncio.wait(disturbances)
        await client.close()
        self._judge_timed_out(deployment)
        failed_ids = [request_id for request_id, _ in (*self.lost, *self.given_up)]
        self.failed_logs = list(_find_logs(deployment, failed_ids))

    def _judge_timed_out(self, deployment):
        """Count as lost what timed out though its slot came in time for a silence."""
        lines = map(json.loads, _find_logs(deployment, self.timed_out))
        waited_ms = {
            line["request_id"]: line["waited_ms"]
            for line in lines
            if line["name"] == "forwarding_ended"
        }
        least_ms = DEADLINE_MS - 1000 * (self.silence_s + self._run_s)
        for request_id in tuple(self.timed_out):
            if waited_ms.get(request_id, 0) < least_ms:
                self.timed_out.remove(request_id)
                self.lost.append((request_id, "timed out with a slot in time"))

    def _disturbances(self, client, deployment):
        """Return the coroutines that run beside the load until it ends."""
        return self._change_forever(deployment), self._silence_forever()

    async def _change_forever(self, deployment):
        while True:
            await self.operator.change()
            await asyncio.sleep(CHANGE_INTERVAL_S)

    async def _silence_forever(self):
        while True:
            await asyncio.sleep(self._random.uniform(*SILENCE_INTERVALS_S))
            upstream = self._random.choice(self.upstreams)
            upstream.is_silent = True
            await asyncio.sleep(self.silence_s)
            upstream.is_silent = False

    async def _request(self, client, deployment, number):
        request_id = f"q-{number}"
        began_s = asyncio.get_running_loop().time()
        try:
            status, body = await self._send(client, deployment, self.path, request_id)
        except PeridotfrontError as error:
            if _is_at_limit(began_s):
                self.timed_out.append(request_id)
            else:
                self.lost.append((request_id, repr(error)))
            return
        if status == HTTPStatus.GATEWAY_TIMEOUT and _is_at_limit(began_s):
            self.timed_out.append(request_id)
        else:
            self._record(request_id, status, body)

    async def _send(self, client, deployment, path, request_id):
        """Send a request to any entry host, and return the status and the body."""
        host = self._random.choice(deployment.entries)
        headers = [
            ("X-Attempt-Id", request_id),
            ("X-Deadline-Ms", str(DEADLINE_MS)),
            ("Api-Key", KEY),
        ]
        answer = await client.send(
            f"{host.ip}:{CALLERS_PORT}",
            "POST",
            path,
            headers,
            request_id.encode(),
            host=HOST,
            timeouts=TIMEOUTS,
        )
        return answer.status_code, await answer.read()

    def _record(self, request_id, status, body):
        if status in NOT_RUN_STATUSES:
            self.refused += 1
        elif status != 200:
            self.given_up.append((request_id, status))
        elif body != self._expected(request_id):
            self.wrong.append(request_id)
        else:
            self.whole += 1

    def _expected(self, request_id):
        if self.path not in STREAM_PATHS:
            return f"{request_id} {request_id}".encode()
        events = [event_of(request_id, "v1", n) for n in range(1, EVENTS + 1)]
        return b"".join(events)


def _find_logs(deployment, request_ids):
    """Yield the lines of the programs' logs that name one of some requests."""
    names = [f'"{request_id}"' for request_id in request_ids]
    for host in deployment.hosts:
        for line in host.log_path.read_text().splitlines():
            if any(name in line for name in names):
                yield line


def _is_at_limit(began_s):
    """Return whether a request that began at a time is at its time limit now."""
    passed_ms = 1000 * (asyncio.get_running_loop().time() - began_s)
    return passed_ms >= DEADLINE_MS - LIMIT_MARGIN_MS
