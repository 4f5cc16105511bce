"""A long loss of one machine of the core, then the loss of two disks."""

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
    ListServer,
    Operator,
    build_manifest,
    is_troubled,
    run_case,
)

ZONES = ("a", "b", "c", "d", "e")
JOIN_S = 10.0
OUTAGE_S = 12.0
DOWN_S = 1.0
RECOVER_S = 15.0
# The bound of the operator's last read, after the time to recover.
READ_S = 20.0


async def play(record):
    """Play the case and return its result."""
    deployment = Deployment(ZONES, tolerate=2, bounds={"RecoverS": RECOVER_S})
    listing = ListServer(deployment)
    operator = Operator(deployment)
    try:
        await listing.start()
        deployment.start()
        if not await operator.put(build_manifest(1), timeout_s=20):
            record.write("the first manifest was not acknowledged")
            return NOT_RUN
        record.write("version 1 acknowledged")
        await asyncio.sleep(JOIN_S)
        return await disturb(record, deployment, operator)
    finally:
        deployment.stop()


async def disturb(record, deployment, operator):
    """Lose a machine, acknowledge a change, lose two disks, and read back."""
    first, second, *_, last = deployment.controls
    # With TROUBLE=disks two disks are lost, but no machine is away before.
    if is_troubled() and os.environ.get("TROUBLE") != "disks":
        last.kill()
        record.write(f"{last.name} has no power for {OUTAGE_S} s; its disk is kept")
    await asyncio.sleep(OUTAGE_S - DOWN_S)
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
        for machine in (*lost, last):
            machine.start()
        record.write("all machines are back")
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
