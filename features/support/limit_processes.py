"""Real programs before upstreams in this process that name limits."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from peridotfront.exceptions import PeridotfrontError
from peridotfront.http_client import ClientLimits, HttpClient
from soak.callers import HOST, KEY
from soak.deployment import CALLERS_PORT
from soak.world import NETWORK, Upstream

from .prompt_processes import DEADLINE_MS, TIMEOUTS, PromptProcesses
from .prompt_world import CONTACT_MS

WINDOW_S = 4.0
OVER_RATIO = 1.5
OVER_REQUESTS = 5
STEP_S = 0.04


@dataclass
class LimitedUpstream(Upstream):
    """Upstream that names its limit in each answer.

    :param limit: text of its limit; empty while it has none.
    :param rejects: whether it rejects what is over its limit.
    :param arrivals_s: arrival times of the requests.
    :param named_s: time and number of each limit that it named, 0 for none.
    """

    limit: str = ""
    rejects: bool = False
    arrivals_s: list = field(default_factory=list)
    named_s: list = field(default_factory=list)

    def set_limit(self, limit):
        """Name a limit from now on; none if it is empty."""
        self.limit = limit
        now_s = asyncio.get_running_loop().time()
        self.named_s.append((now_s, float(limit or 0)))

    def _notice(self):
        fields = [("Server-Limit", self.limit)] if self.limit else []
        return [*super()._notice(), *fields]

    async def _serve(self, exchange):
        now_s = asyncio.get_running_loop().time()
        self.arrivals_s.append(now_s)
        recent = sum(arrived_s > now_s - 1 for arrived_s in self.arrivals_s)
        if self.rejects and self.limit and recent > float(self.limit) + 1:
            request_id = exchange.request.header("x-attempt-id")
            fields = [("X-Attempt-Id", request_id), ("X-Not-Executed", "1")]
            await exchange.respond(503, [*fields, *self._notice()])
            return
        await super()._serve(exchange)

    def excess(self):
        """Return the requests over what the limits allow, in the worst window.

        A limit binds ``CONTACT_MS`` after it was named, and the highest limit that was
        named within a window and that time counts for the whole window.
        """
        worst = 0.0
        end_s = asyncio.get_running_loop().time()
        for start_s in self.arrivals_s:
            until_s = start_s + WINDOW_S
            rate = self._rate(start_s - CONTACT_MS / 1000, min(until_s, end_s))
            if rate is None:
                continue
            got = sum(start_s <= at_s < until_s for at_s in self.arrivals_s)
            allowed = OVER_RATIO * rate * WINDOW_S + OVER_REQUESTS
            worst = max(worst, got - allowed)
        return worst

    def _rate(self, first_s, last_s):
        """Return the highest limit of a span; None if it had none for a time."""
        at_start = [rate for at_s, rate in self.named_s if at_s <= first_s]
        within = [rate for at_s, rate in self.named_s if first_s < at_s <= last_s]
        rates = [*at_start[-1:], *within]
        return max(rates) if at_start and all(rates) else None


@dataclass
class LimitProcesses(PromptProcesses):
    """Control and entry host processes before upstreams of which some name limits.

    :param schedule: time in seconds, number of the upstream and its limit, in order.
    :param service: service that the upstreams provide.
    :param path: path of all requests.
    """

    schedule: tuple = ()
    service: str = "models"
    path: str = "/resumable/x"
    rejects: bool = False
    statuses: Counter = field(default_factory=Counter)

    def _build_upstreams(self):
        return [
            LimitedUpstream(
                f"m{n}",
                self.service,
                f"{NETWORK}.8.{n}",
                Counter(),
                rejects=self.rejects,
            )
            for n in range(1, self.engines + 1)
        ]

    async def _load(self, deployment, duration_s):
        client = HttpClient(ClientLimits(keep_alive_ms=10_000))
        tasks = set()
        schedule = list(self.schedule)
        for number in range(int(duration_s / STEP_S)):
            while schedule and schedule[0][0] <= number * STEP_S:
                _, upstream, limit = schedule.pop(0)
                self.upstreams[upstream - 1].set_limit(limit)
            host = self._random.choice(deployment.entries)
            tasks.add(asyncio.create_task(self._call(client, host, number)))
            await asyncio.sleep(STEP_S)
        await asyncio.gather(*tasks)
        await client.close()
        self.excesses = [upstream.excess() for upstream in self.upstreams]

    async def _call(self, client, host, number):
        request_id = f"l-{number}"
        headers = [
            ("X-Attempt-Id", request_id),
            ("X-Deadline-Ms", str(DEADLINE_MS)),
            ("Api-Key", KEY),
        ]
        address = f"{host.ip}:{CALLERS_PORT}"
        body = request_id.encode()
        try:
            answer = await client.send(
                address, "POST", self.path, headers, body, host=HOST, timeouts=TIMEOUTS
            )
            await answer.read()
            self.statuses[answer.status_code] += 1
        except PeridotfrontError:
            self.statuses[0] += 1
