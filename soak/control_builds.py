"""Plays control hosts of two builds in one group, and on each other's disks.

Usage::

    python -m soak.control_builds --old-source PATH

The configuration is so large that the hosts write snapshots. Each step is followed by a
change, which has to be acknowledged, and by a read of it.
"""

import asyncio
import random
import shutil
import signal
import sys
from functools import partial
from pathlib import Path

import fire

from .callers import Operator, Record, configuration
from .deployment import ROOT, Deployment
from .world import UpstreamList

RUN_FOLDER = Path("run") / "control-builds"
CONTROLS = 3
ACCOUNTS = 12_000
MAX_CHANGES = 60
TIMEOUT_S = 20.0
POLL_S = 0.1


class ControlBuilds:
    """Play of a group whose hosts change between two builds.

    :param old_source: source folder of the older build.
    """

    def __init__(self, old_source):
        shutil.rmtree(RUN_FOLDER, ignore_errors=True)
        RUN_FOLDER.mkdir(parents=True)
        self.record = Record()
        self._folder = RUN_FOLDER.resolve()
        self._sources = {"older": Path(old_source).resolve(), "newer": ROOT / "src"}
        self._deployment = Deployment(self._folder, CONTROLS, 0)
        self._hosts = self._deployment.controls
        self._operator = Operator(self._hosts, self.record, random.Random(1))
        self._operator.build = partial(configuration, accounts=ACCOUNTS)

    async def run(self):
        """Play all steps and return the violated guarantees."""
        upstream_list = UpstreamList([])
        await upstream_list.start()
        for host in self._hosts:
            host.source = self._sources["older"]
        await self._deployment.start()
        try:
            await self._play()
        finally:
            await self._operator.close()
            await self._deployment.stop()
            await upstream_list.stop()
        return self.record.faults

    async def _play(self):
        await self._write_snapshots()
        for build, other in (("newer", "older"), ("older", "newer")):
            await self._replace_all(build)
            await self._restart_all_at_once(build)
            await self._send_snapshot(build, other)
        await self._replace_all("newer")

    async def _write_snapshots(self):
        for _ in range(MAX_CHANGES):
            await self._change("the configuration was not changed")
            if all(self._snapshots(host) for host in self._hosts):
                return
        self.record.faults.append("no snapshot was written")

    async def _replace_all(self, build):
        """Restart all hosts with a build, one after the other, the leader last."""
        leader = await self._operator.find_leader()
        for host in sorted(self._hosts, key=lambda host: host is leader):
            host.source = self._sources[build]
            await host.stop()
            await host.start()
            await self._change(f"{host.name} went to the {build} build")
        print(f"all hosts run the {build} build", flush=True)

    async def _restart_all_at_once(self, build):
        await asyncio.gather(*[host.stop(signal.SIGKILL) for host in self._hosts])
        for host in self._hosts:
            await host.start()
        await self._change(f"all hosts were killed on the {build} build")

    async def _send_snapshot(self, build, other):
        """Let a host of the other build lose its disk and get the leader's snapshot."""
        leader = await self._operator.find_leader()
        joining, third = [host for host in self._hosts if host is not leader]
        await joining.stop(signal.SIGKILL)
        shutil.rmtree(self._folder / joining.name)
        joining.source = self._sources[other]
        await joining.start()
        what = f"{joining.name} of the {other} build joined a leader of the {build} one"
        if not await self._await(lambda: self._snapshots(joining)):
            self.record.faults.append(f"no snapshot arrived: {what}")
            return
        await self._change(what)
        # Without this host, the one that has joined has to vote.
        await self._await_vote(third, what)
        print(f"{what} by a snapshot", flush=True)

    async def _await_vote(self, third, what):
        """Change while a host is stopped, which needs the vote of the other two."""
        await asyncio.sleep(TIMEOUT_S / 4)
        await third.stop(signal.SIGKILL)
        await self._change(f"{what}, and {third.name} was killed")
        await third.start()
        await self._change(f"{what}, and {third.name} is back")

    async def _change(self, what):
        if not await self._operator.change(TIMEOUT_S):
            self.record.faults.append(f"no change was accepted: {what}")
        if not await self._await_read():
            self.record.faults.append(f"no configuration was read: {what}")

    async def _await_read(self):
        for _ in range(int(TIMEOUT_S / POLL_S)):
            if await self._operator.read():
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def _await(self, condition):
        for _ in range(int(TIMEOUT_S / POLL_S)):
            if condition():
                return True
            await asyncio.sleep(POLL_S)
        return False

    def _snapshots(self, host):
        return list((self._folder / host.name).glob("snapshot-*"))


def play(old_source: str):
    """Play the steps; exit with 1 if a guarantee was violated.

    :param old_source: source folder of the older build.
    """
    faults = asyncio.run(ControlBuilds(old_source).run())
    print(*faults, sep="\n")
    print(f"{len(faults)} faults")
    if faults:
        sys.exit(1)
    shutil.rmtree(RUN_FOLDER)


if __name__ == "__main__":
    fire.Fire(play)
