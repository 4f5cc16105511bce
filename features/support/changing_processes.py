"""Real programs whose configuration changes all the time at a high load."""

import asyncio
import signal
from collections import Counter
from dataclasses import dataclass, field

from peridotfront.exceptions import PeridotfrontError
from soak.callers import configuration

from .silent_processes import SilentProcesses

CHANGE_INTERVAL_S = 0.5
PASSING_INTERVAL_S = 0.05
# Callers use a connection again within four fifths of the shortest limit.
KEEP_ALIVE_MS = 3200
LIMITS = (
    {"IdleTimeoutMs": 4000, "MaxBodyBytes": 1000},
    {"IdleTimeoutMs": 15_000, "MaxHeaderBytes": 2000},
    {"IdleTimeoutMs": 8000, "HeaderTimeoutMs": 500},
)
TIME_LIMITS_MS = (4000, 2500, 8000)


@dataclass
class ChangingProcesses(SilentProcesses):
    """Control and entry host processes under changes of routes and limits.

    :param passing: number of answers on the route that comes and goes, by status.
    """

    keep_alive_ms: int = KEEP_ALIVE_MS
    passing: Counter = field(default_factory=Counter)
    changes: int = 0

    async def _load(self, deployment, duration_s):
        self.operator.build = self._build_configuration
        await super()._load(deployment, duration_s)

    def _disturbances(self, client, deployment):
        return (
            self._change_forever(deployment),
            self._use_passing_route(client, deployment),
        )

    async def _change_forever(self, deployment):
        while True:
            hosts = self._random.sample(deployment.hosts, 3)
            for host in hosts:
                host.send_signal(signal.SIGHUP)
            await self.operator.change()
            self.changes += 1
            await asyncio.sleep(CHANGE_INTERVAL_S)

    async def _use_passing_route(self, client, deployment):
        number = 0
        while True:
            number += 1
            request_id = f"passing-{number}"
            try:
                answer = await self._send(client, deployment, "/passing/x", request_id)
            except PeridotfrontError as error:
                self.lost.append((request_id, repr(error)))
            else:
                self.passing[answer[0]] += 1
            await asyncio.sleep(PASSING_INTERVAL_S)

    def _build_configuration(self, version):
        """Return a configuration that differs from the one before in all it may."""
        content = configuration(version)
        content["Limits"] = LIMITS[self.changes % len(LIMITS)]
        for route in content["Routes"]:
            route["TimeoutMs"] = TIME_LIMITS_MS[self.changes % len(TIME_LIMITS_MS)]
            route["Priority"] = self.changes % 2
        if self.changes % 2:
            content["Routes"].append(
                {
                    **content["Routes"][1],
                    "Name": "passing",
                    "Prefix": "/passing/",
                    "Service": self.service,
                }
            )
            content["Services"].append({"Name": f"service-{self.changes}"})
        return content
