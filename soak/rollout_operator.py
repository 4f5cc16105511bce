"""Operator client that orders rollouts and reads their states."""

import asyncio
import json
from urllib.parse import quote

from peridotfront.exceptions import PeridotfrontError
from peridotfront.http_client import HttpClient, UpstreamTimeouts

from .deployment import OPERATORS_PORT

ROLLOUTS_PATH = "/peridotfront/rollouts"
ROLLOUT_SETTINGS = "[rollouts]\nshare = 0.1\nslack = 50\n"
TIMEOUTS = UpstreamTimeouts(connect_ms=500, first_byte_ms=1500, between_bytes_ms=1500)
REDIRECTS = 3
RETRY_S = 0.1
ENDS = ("complete", "reverted")


class RolloutOperator:
    """Operator client that orders rollouts and reads their states.

    :param hosts: control hosts.
    :param random: source of the choice of the host for each request.
    :param faults: descriptions of violated guarantees, which grow.
    """

    def __init__(self, hosts, random, faults):
        self._hosts = hosts
        self._random = random
        self._faults = faults
        self._client = HttpClient()
        self._ended = {}

    async def order(self, service, version, period_s, timeout_s):
        """Repeat an order until it is answered with something but 503.

        :return: the status; 0 if there was no such answer in time.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while loop.time() < end_s:
            status, _ = await self.send_order(service, version, period_s)
            if status not in (0, 307, 503):
                return status
            await asyncio.sleep(RETRY_S)
        return 0

    async def send_order(self, service, version, period_s, host=None):
        """Send an order once.

        :param host: control host; None for any.
        :return: status and ``Retry-After``; status 0 if there was no answer.
        """
        order = {"Service": service, "To": version, "PeriodS": period_s}
        body = json.dumps(order).encode()
        status, answer, _ = await self._send("POST", ROLLOUTS_PATH, body, host)
        return status, answer.header("retry-after") if answer else ""

    async def read(self, service):
        """Return the state of a service's rollout; empty if it can't be read.

        A state that goes back from an end to rolling is recorded as a fault.
        """
        path = f"{ROLLOUTS_PATH}/{quote(service, safe='')}"
        status, _, content = await self._send("GET", path, b"")
        if status != 200:
            return ""
        state = json.loads(content)["State"]
        ended = self._ended.get(service)
        if ended is not None and state != ended:
            self._faults.append(f"ROLLOUT: {service} went from {ended} to {state}")
        if state in ENDS:
            self._ended[service] = state
        return state

    async def close(self):
        """Close the connections."""
        await self._client.close()

    async def _send(self, method, path, body, host=None):
        host = host or self._random.choice(self._hosts)
        address = f"{host.ip}:{OPERATORS_PORT}"
        answer, content = None, b""
        try:
            for _ in range(REDIRECTS):
                answer = await self._client.send(
                    address, method, path, (), body, timeouts=TIMEOUTS
                )
                content = await answer.read()
                if answer.status_code != 307:
                    break
                location = answer.header("location").removeprefix("http://")
                address = location.partition("/")[0]
        except PeridotfrontError:
            return 0, None, b""
        return answer.status_code, answer, content
