"""One machine of the core is cut off for long, and two others lose their disks."""

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
    Deployment,
    Links,
    ListServer,
    Operator,
    build_manifest,
    is_troubled,
    run_case,
)

ZONES = ("a", "b", "c", "d", "e")
JOIN_S = 10.0
# The whole cut, at most 12 s, ends when the machines without disks are back.
CUT_S = 11.0
DOWN_S = 1.0
RECOVER_S = 15.0
# The bound of the operator's last read, after the time to recover.
READ_S = 20.0


async def play(record):
    """Play the case and return its result."""
    deployment = Deployment(ZONES, tolerate=2, bounds={"RecoverS": RECOVER_S})
    links = Links(deployment)
    listing = ListServer(deployment)
    operator = Operator(deployment)
    try:
        await listing.start()
        await links.start()
        deployment.start()
        if not await operator.put(build_manifest(1), timeout_s=20):
            record.write("the first manifest was not acknowledged")
            return NOT_RUN
        record.write("version 1 acknowledged")
        await asyncio.sleep(JOIN_S)
        return await disturb(record, deployment, operator, links)
    finally:
        deployment.stop()


async def disturb(record, deployment, operator, links):
    """Cut a machine off, acknowledge a change, lose two disks, and read back."""
    first, second, *_, last = deployment.controls
    cut_s = time.monotonic()
    # With TROUBLE=disks two disks are lost, but no machine is cut off before.
    if is_troubled() and os.environ.get("TROUBLE") != "disks":
        links.cut = last
        record.write(f"{last.name} is cut off from the other core machines")
    await asyncio.sleep(CUT_S - DOWN_S)
    if not await operator.put(build_manifest(7)):
        record.write("version 7 was not acknowledged before the loss of disks")
        return NOT_RUN
    record.write("version 7 acknowledged")
    if is_troubled():
        lost = (first, second)
        for machine in lost:
            machine.kill()
            machine.wipe()
        record.write(f"{first.name} and {second.name} lose power and their disks")
        await asyncio.sleep(DOWN_S)
        for machine in lost:
            machine.start()
        links.cut = None
        record.write("all machines are back, and none is cut off")
        record.write(f"{time.monotonic() - cut_s:.1f} s after the begin of the cut")
    await asyncio.sleep(RECOVER_S)
    began_s = time.monotonic()
    manifest = await operator.get(timeout_s=READ_S)
    waited_s = time.monotonic() - began_s
    version = manifest["Version"] if manifest else None
    record.write(
        f"read back {RECOVER_S} s later, asking for {waited_s:.1f} s: version {version}"
    )
    running = [m.name for m in deployment.controls if m.is_running]
    record.write(f"running: {', '.join(running)}")
    for machine in deployment.controls:
        lines = machine.log().splitlines()
        for line in lines:
            if "raft_members_changed" in line:
                record.write(f"log of {machine.name}: {line}")
    return HELD if version == 7 else BROKEN


run_case(play, Path(__file__).parent)
