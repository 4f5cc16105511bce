"""Real programs whose entry hosts have links of their own to the upstreams."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from peridotfront.exceptions import PeridotfrontError
from peridotfront.http_client import ClientLimits, HttpClient
from soak.callers import HOST, KEY, NOT_EXECUTED_CODES
from soak.deployment import CALLERS_PORT
from soak.links import LinkFault, Links
from soak.world import NETWORK, Upstream

from .prompt_processes import DEADLINE_MS, TIMEOUTS, PromptProcesses

CONTACT_S = 3.0
WARM_UP_S = 1.0
FAULT_S = 8.0
STEP_S = 0.025
UPSTREAMS = f"{NETWORK}.8."
SERVICES = ("ledger", "models")
ONCE_PATHS = ("/transfer/x", "/stream/x")


@dataclass
class LinkProcesses(PromptProcesses):
    """Control and entry host processes, each with a link to each upstream.

    Half of the upstreams provide each service.

    :param cut_hosts: number of entry hosts whose links fail.
    :param fault: way in which they fail.
    :param is_split: whether each of these hosts loses another half of the upstreams.
    :param path: path of all requests.
    :param answers: numbers of served and of other first tries that were sent once
        the fault had lasted for ``CONTACT_S``, by whether their host's links failed.
    :param refused: ids of the requests that were answered as not executed.
    """

    cut_hosts: int = 2
    fault: LinkFault = LinkFault.SILENT
    is_split: bool = False
    path: str = "/look-up/x"
    answers: dict = field(default_factory=lambda: {True: Counter(), False: Counter()})
    statuses: Counter = field(default_factory=Counter)
    refused: set = field(default_factory=set)
    runs: Counter = field(default_factory=Counter)

    async def _play(self, folder, duration_s):
        try:
            await super()._play(folder, duration_s)
        finally:
            await self.links.stop()

    def _build_deployment(self, folder):
        deployment = super()._build_deployment(folder)
        ips = [f"{UPSTREAMS}{number}" for number in range(1, self.engines + 1)]
        self.links = Links(deployment, ips)
        return deployment

    def _build_upstreams(self):
        return [
            Upstream(f"u{n}", SERVICES[n % 2], f"{UPSTREAMS}{n}", self.runs)
            for n in range(1, self.engines + 1)
        ]

    async def _load(self, deployment, duration_s):
        await self.links.start()
        client = HttpClient(ClientLimits(keep_alive_ms=10_000))
        calls = asyncio.create_task(self._call_all(client, deployment, duration_s))
        await asyncio.sleep(WARM_UP_S)
        await self._set_faults(deployment, self.fault)
        await asyncio.sleep(FAULT_S)
        await self._set_faults(deployment, LinkFault.NONE)
        await calls
        await client.close()

    async def _set_faults(self, deployment, fault):
        for number, host in enumerate(deployment.entries[: self.cut_hosts]):
            lost = [
                f"{UPSTREAMS}{upstream}"
                for upstream in range(1, self.engines + 1)
                # Upstreams of both services are in each half.
                if not self.is_split or (upstream // 2 + number) % 2 == 0
            ]
            await self.links.set_fault(host, lost, fault)

    async def _call_all(self, client, deployment, duration_s):
        tasks = set()
        for number in range(int(duration_s / STEP_S)):
            at_s = number * STEP_S - WARM_UP_S
            is_counted = CONTACT_S <= at_s < FAULT_S
            host = self._random.randrange(len(deployment.entries))
            address = f"{deployment.entries[host].ip}:{CALLERS_PORT}"
            call = self._call(client, address, host, number, is_counted)
            tasks.add(asyncio.create_task(call))
            await asyncio.sleep(STEP_S)
        await asyncio.gather(*tasks)

    async def _call(self, client, address, host, number, is_counted):
        request_id = f"k-{number}"
        headers = [
            ("X-Attempt-Id", request_id),
            ("X-Deadline-Ms", str(DEADLINE_MS)),
            ("Api-Key", KEY),
        ]
        body = request_id.encode()
        status = 0
        try:
            answer = await client.send(
                address, "POST", self.path, headers, body, host=HOST, timeouts=TIMEOUTS
            )
            status = answer.status_code
            await answer.read()
        except PeridotfrontError:
            status = 0
        if status in NOT_EXECUTED_CODES:
            self.refused.add(request_id)
        is_cut = host < self.cut_hosts
        if is_counted:
            self.statuses[is_cut, status] += 1
            self.answers[is_cut][status == 200] += 1

    def untrue_refusals(self):
        """Return the requests that were answered as not executed, and ran."""
        if self.path not in ONCE_PATHS:
            return []
        return [request_id for request_id in self.refused if self.runs[request_id]]

    def repeated(self):
        """Return the requests that may run once, and ran more than once."""
        if self.path not in ONCE_PATHS:
            return []
        return [request_id for request_id, count in self.runs.items() if count > 1]
