"""Settings change while machines are stopped and started in turn."""

import asyncio
import signal
import sys
from collections import Counter
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

ZONES = ("a", "b", "c", "d")
ROLLS = 3
HUP_AFTER_S = 0.1
RESTART_AFTER_S = 0.5
GAP_S = 4.0
GRACE_S = 8
# The rule: processes end by themselves so often, on so many machines.
MAX_OWN_ENDS = 2
MAX_MACHINES = 1


async def play(record):
    """Play the case and return its result."""
    deployment = Deployment(ZONES, ("a",))
    listing = ListServer(deployment)
    operator = Operator(deployment)
    own_ends = Counter()
    try:
        await listing.start()
        deployment.start()
        if not await operator.put(build_manifest(1), timeout_s=20):
            return NOT_RUN
        await asyncio.sleep(GAP_S)
        for _ in range(ROLLS):
            for machine in deployment.controls[:2]:
                await roll(record, machine, own_ends)
        version = (await operator.get() or {}).get("Version")
        record.write(f"version read back: {version}")
    finally:
        deployment.stop()
    machines = [name for name, count in own_ends.items() if count > MAX_OWN_ENDS]
    record.write(f"ends by themselves: {dict(own_ends)}")
    return BROKEN if len(machines) > MAX_MACHINES else HELD


async def roll(record, machine, own_ends):
    """Stop a machine and start it; its settings change once as it starts."""
    machine.send_signal(signal.SIGTERM)
    for _ in range(GRACE_S * 10):
        if not machine.is_running:
            break
        await asyncio.sleep(0.1)
    machine.kill()
    machine.start()
    record.write(f"{machine.name} was stopped and starts")
    await asyncio.sleep(HUP_AFTER_S)
    if is_troubled():
        machine.send_signal(signal.SIGHUP)
        record.write(f"{machine.name} gets SIGHUP")
    await asyncio.sleep(RESTART_AFTER_S)
    if not machine.is_running:
        own_ends[machine.name] += 1
        code = machine.popen.returncode
        record.write(f"{machine.name} has ended by itself, with code {code}")
        machine.start()
    await asyncio.sleep(GAP_S)


run_case(play, Path(__file__).parent)
