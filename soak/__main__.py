"""Plays seeds: ``python -m soak --seeds 1,2,3 --seconds 20``.

A failed seed's logs stay in ``run/soak-SEED``; `soak/SEEDS.txt` keeps each seed that
ever failed, with a line on the cause.
"""

import asyncio
import random
import shutil
import signal
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import fire

from .callers import Callers, Operator, Record
from .deployment import Deployment
from .world import NETWORK, Upstream, UpstreamList

START_S = 15.0
RECOVER_S = 8.0
MIN_SERVED_SHARE = 0.25
RUN_FOLDER = Path("run")


@dataclass
class Sizes:
    """Says how large a run is."""

    controls: int = 4
    entries: int = 3
    engines: int = 4
    services: int = 3
    per_s: float = 40.0


class Soak:
    """Is one run of one seed."""

    def __init__(self, seed, seconds, sizes):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.sizes = sizes
        self.folder = RUN_FOLDER / f"soak-{seed}"
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        self.runs = Counter()
        self.record = Record()
        self.deployment = Deployment(
            self.folder.resolve(), sizes.controls, sizes.entries
        )
        self.upstreams = [
            Upstream(f"m{n}", "models", f"{NETWORK}.8.{n}", self.runs)
            for n in range(1, sizes.engines + 1)
        ] + [
            Upstream(f"l{n}", "ledger", f"{NETWORK}.8.{100 + n}", self.runs)
            for n in range(1, sizes.services + 1)
        ]
        self.operator = Operator(self.deployment.controls, self.record, self.random)
        self.events = []

    async def run(self):
        """Play the seed and return what was broken."""
        upstream_list = UpstreamList(self.upstreams)
        await upstream_list.start()
        for one in self.upstreams:
            await one.start()
        await self.deployment.start()
        try:
            await self.operator.change(START_S)
            await asyncio.sleep(2.0)
            await self._play()
        finally:
            await self.operator.close()
            await self.deployment.stop()
            for one in self.upstreams:
                await one.stop()
            await upstream_list.stop()
        self._check_runs()
        return self.record.faults

    async def _play(self):
        loop = asyncio.get_running_loop()
        callers = Callers(self.deployment.entries, self.record, self.random)
        traffic = asyncio.create_task(
            callers.run(self.seconds + RECOVER_S, self.sizes.per_s)
        )
        end_s = loop.time() + self.seconds
        harm = set()
        while loop.time() < end_s:
            fault = self.random.choice(FAULTS)
            harm.add(asyncio.create_task(fault(self)))
            if self.random.random() < 0.5:
                await self.operator.read()
            await asyncio.sleep(self.random.uniform(0.3, 2.0))
        await asyncio.gather(*harm)
        served = self.record.served
        await traffic
        if self.record.served == served:
            self.record.faults.append("nothing was served after the last fault")
        await self._check_read()

    async def _check_read(self):
        for _ in range(50):
            if await self.operator.read():
                return
            await asyncio.sleep(0.2)
        self.record.faults.append("the configuration can't be read at the end")

    def _check_runs(self):
        record = self.record
        for request_id, count in self.runs.items():
            if request_id in record.transfers and count > 1:
                record.faults.append(f"{request_id} ran {count} times")
            if request_id in record.transfers and request_id in record.refused:
                record.faults.append(f"{request_id} ran though it was refused")
        for one in self.upstreams:
            if one.tenants - {("club", "")}:
                record.faults.append(f"{one.name} saw {one.tenants}")
        if record.served < MIN_SERVED_SHARE * record.sent:
            record.faults.append(f"served {record.served} of {record.sent}")

    def _log(self, *words):
        self.events.append(" ".join(str(word) for word in words))

    async def _pause(self, host, number):
        self._log("pause", host.name)
        host.send_signal(number)
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        host.send_signal(signal.SIGCONT)

    async def freeze(self):
        """Freeze a host for a while."""
        await self._pause(self.random.choice(self.deployment.hosts), signal.SIGSTOP)

    async def kill_entry(self):
        """Kill an entry host and start it again."""
        host = self.random.choice(self.deployment.entries)
        self._log("kill", host.name)
        await host.stop(signal.SIGKILL)
        await host.start()

    async def kill_controls(self):
        """Kill some control hosts, or all, and start them again."""
        count = self.random.choice((1, 1, len(self.deployment.controls)))
        hosts = self.random.sample(self.deployment.controls, count)
        self._log("kill", *[host.name for host in hosts])
        await asyncio.gather(*[host.stop(signal.SIGKILL) for host in hosts])
        for host in hosts:
            await host.start()

    async def roll_entry(self):
        """Stop an entry host in peace and start it again."""
        host = self.random.choice(self.deployment.entries)
        self._log("roll", host.name)
        await host.stop(signal.SIGTERM)
        await host.start()

    async def harm_peers(self):
        """Silence, slow or reset what comes in to a host from its peers."""
        host = self.random.choice(self.deployment.hosts)
        mode = self.random.choice(("silent", "slow", "reset"))
        self._log(mode, host.name)
        if mode == "reset":
            host.proxy.reset()
            return
        host.proxy.mode = mode
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        host.proxy.mode = ""

    async def harm_upstream(self):
        """Let an upstream hang, reject, cut its answers, leave or restart."""
        one = self.random.choice(self.upstreams)
        fault = self.random.choice(("hang", "reject", "cut", "leave", "restart"))
        self._log(fault, one.name)
        if fault == "restart":
            await one.stop()
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            await one.start()
            return
        if fault == "leave":
            one.state = "draining"
        else:
            one.fault = fault
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        one.state, one.fault = "ready", ""

    async def change(self):
        """Change the configuration."""
        self._log("change")
        await self.operator.change()


FAULTS = (
    Soak.freeze,
    Soak.kill_entry,
    Soak.kill_controls,
    Soak.roll_entry,
    Soak.harm_peers,
    Soak.harm_upstream,
    Soak.harm_upstream,
    Soak.change,
)


def play(seeds: str = "1", seconds: float = 15.0, first: int = 0, count: int = 0):
    """Play seeds one after the other; exits with 1 if a promise was broken.

    :param seeds: numbers, separated by commas.
    :param first: with ``count``, plays that many seeds from this one on.
    """
    numbers = seeds if isinstance(seeds, (tuple, list)) else str(seeds).split(",")
    if count:
        numbers = range(first, first + count)
    failed = []
    for number in numbers:
        soak = Soak(int(number), seconds, Sizes())
        faults = asyncio.run(soak.run())
        record = soak.record
        print(
            f"seed {number}: sent {record.sent}, served {record.served}, "
            f"refused {len(record.refused)}, faults {len(faults)}",
            flush=True,
        )
        if faults:
            failed.append(number)
            print(*soak.events, sep="\n")
            print(*faults[:20], sep="\n", flush=True)
        else:
            shutil.rmtree(soak.folder)
    print(f"{len(failed)} of {len(numbers)} seeds failed")
    if failed:
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(play)
