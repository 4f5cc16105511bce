"""Hosts that an older build of the project runs, and their replacement."""

import asyncio
import random
import signal
from collections import Counter
from pathlib import Path

from .deployment import ROOT

ALL_OLD_SHARE = 0.5
OLD_SHARE = 0.6
RETURN_SHARE = 0.25
KILL_SHARE = 0.25
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 0.6
NEW_SOURCE = ROOT / "src"


class Builds:
    """Assignment of two builds to the hosts of a deployment, by seed.

    In half of the runs all hosts begin with the older build, else a part of them.

    :param old_source: path of the source folder of the older build.
    :param log: function that records an event.
    """

    def __init__(self, deployment, old_source, seed, log):
        self.restarts = Counter()
        self._deployment = deployment
        self._old_source = Path(old_source).resolve()
        self._random = random.Random(f"builds {seed}")
        self._log = log
        share = 1.0 if self._random.random() < ALL_OLD_SHARE else OLD_SHARE
        for host in deployment.hosts:
            if self._random.random() < share:
                host.source = self._old_source

    @property
    def old_hosts(self):
        """Return the hosts that the older build runs."""
        hosts = self._deployment.hosts
        return [host for host in hosts if host.source == self._old_source]

    async def replace_hosts(self, end_s):
        """Restart one host after the other with the newer build, and some back.

        :param end_s: time on the loop's clock after which no more restarts begin.
        """
        loop = asyncio.get_running_loop()
        while loop.time() < end_s:
            await self._replace(self._draw_host())
            pause_s = self._random.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
            await asyncio.sleep(pause_s)

    def _draw_host(self):
        old_hosts = self.old_hosts
        new_hosts = [h for h in self._deployment.hosts if h not in old_hosts]
        is_return = self._random.random() < RETURN_SHARE
        hosts = new_hosts if is_return else old_hosts
        return self._random.choice(hosts or self._deployment.hosts)

    async def _replace(self, host):
        is_old = host.source == self._old_source
        host.source = NEW_SOURCE if is_old else self._old_source
        direction = "to the newer build" if is_old else "to the older build"
        is_kill = self._random.random() < KILL_SHARE
        self._log("replace", host.name, direction, "by a kill" if is_kill else "")
        await host.stop(signal.SIGKILL if is_kill else signal.SIGTERM)
        await host.start()
        self.restarts[direction] += 1
