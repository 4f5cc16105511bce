"""All servers of a service start again, one after the other, under their ids."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    BROKEN,
    HELD,
    NOT_RUN,
    Callers,
    Deployment,
    ListServer,
    Operator,
    Server,
    build_manifest,
    is_troubled,
    run_case,
    wait_ready,
)

SERVERS = 2
DRAIN_S = 4.0
DOWN_S = 2.0
BEFORE_S = 4.0
RECOVER_S = 12.0
AFTER_S = 10.0
CONTROL_DOWN_S = 1.0
MIN_SERVED_SHARE = 0.25


class LeavingServer(Server):
    """Server that says in its answers that it is leaving, and starts again."""

    state = "ready"
    is_up = True

    def entry(self):
        """Return the entry of the list."""
        return {**super().entry(), "State": self.state}

    async def run(self, request, fields, writer):
        """Run a request, with the notice of a server that leaves."""
        if self.state == "draining":
            fields = [*fields, ("Server-Leaving", "1"), ("Connection", "close")]
        await super().run(request, fields, writer)

    async def restart(self, server_id):
        """Drain, stop, and start again at the same address."""
        self.state = "draining"
        await asyncio.sleep(DRAIN_S)
        self.is_up = False
        await self.stop()
        await asyncio.sleep(DOWN_S)
        self.id = server_id
        self.state = "ready"
        await self.start()
        self.is_up = True


async def play(record):
    """Play the case and return its result."""
    deployment = Deployment(("a", "b", "c", "d"), ("a", "b"))
    listing = ListServer(deployment)
    operator = Operator(deployment)
    runs = []
    servers = [
        LeavingServer(f"i-{n}", "s1", f"{deployment.network}.8.{n}", "a", runs)
        for n in range(1, SERVERS + 1)
    ]
    listing.build = lambda: [s.entry() for s in servers if s.is_up]
    try:
        await listing.start()
        for server in servers:
            await server.start()
        deployment.start()
        if not await operator.put(build_manifest(1), timeout_s=20):
            return NOT_RUN
        if not await wait_ready(deployment):
            return NOT_RUN
        return await disturb(record, deployment, servers)
    finally:
        deployment.stop()


async def disturb(record, deployment, servers):
    """Restart the servers in turn, then take the disk of a control machine."""
    callers = Callers(deployment)
    began_s = time.monotonic()
    await callers.send_for(BEFORE_S)
    count, share = callers.served_share(began_s, time.monotonic())
    record.write(f"at first: {count} requests, {share:.2f} served")
    if is_troubled():
        sending = asyncio.create_task(callers.send_for(SERVERS * (DRAIN_S + DOWN_S)))
        for server in servers:
            # With TROUBLE=ids they start again under new ids.
            is_new = os.environ.get("TROUBLE") == "ids"
            old = server.id
            await server.restart(f"{old}-new" if is_new else old)
            record.write(f"server {old} was drained and stopped; {server.id} is ready")
        await sending
    lost = deployment.controls[1]
    before_s = time.monotonic()
    _, earlier_share = callers.served_share(began_s, before_s)
    record.write(f"before the final fault {earlier_share:.2f} of all were served")
    lost.kill()
    lost.wipe()
    await asyncio.sleep(CONTROL_DOWN_S)
    lost.start()
    record.write(f"final fault: {lost.name} has lost its disk and is back")
    await callers.send_for(RECOVER_S)
    since_s = time.monotonic()
    count, share = callers.served_share(before_s, since_s)
    record.write(f"in the {RECOVER_S} s after it: {count} requests, {share:.2f} served")
    await callers.send_for(AFTER_S)
    count, share = callers.served_share(since_s, time.monotonic())
    statuses = sorted(
        {status for sent_s, status in callers.statuses if sent_s > since_s}
    )
    record.write(f"later: {count} requests, {share:.2f} served, statuses {statuses}")
    if earlier_share < MIN_SERVED_SHARE:
        record.write("less than a quarter was served before the final fault")
        return NOT_RUN
    return HELD if share >= MIN_SERVED_SHARE else BROKEN


run_case(play, Path(__file__).parent)
