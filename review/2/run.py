"""Replaces two control hosts in turn; the seeds of the new ones don't lead."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    Deployment,
    Record,
    finish,
    is_troubled,
    plain_manifest,
    read_back,
)

VERSIONS = 5
CALM_S = 3.0
ABSENT_S = 1.0
CATCHUP_S = 4.0
MARGIN_S = 0.2
READ_S = 30.0


async def replace(deployment, gone, number, leader):
    """Replace a control host, and wait until the empty one counts as back."""
    listed = [host for host in deployment.controls if host is not leader]
    seeds = listed[:3] if is_troubled() else [leader, *listed[:2]]
    await deployment.remove_control(gone)
    await asyncio.sleep(ABSENT_S)
    await deployment.add_control(number, seeds)
    await asyncio.sleep(CATCHUP_S + MARGIN_S)


async def main():
    """Run the case."""
    record = Record(FOLDER / "record.txt")
    deployment = Deployment(record)
    try:
        if not await deployment.start(plain_manifest(1)):
            print("could not run: the deployment did not become ready")
            return 2
        for version in range(2, VERSIONS + 1):
            if not await deployment.operator.put(plain_manifest(version)):
                print("could not run: a manifest was not acknowledged")
                return 2
        await asyncio.sleep(CALM_S)
        leader = await deployment.find_leader()
        record.write(f"{leader.name} leads")
        followers = [host for host in deployment.controls if host is not leader]
        await replace(deployment, followers[0], 5, leader)
        await replace(deployment, followers[1], 6, leader)
        content = await read_back(deployment, READ_S)
    finally:
        await deployment.stop(FOLDER if "--logs" in sys.argv else None)
    summary = f"read back: {'it came' if content is not None else 'it did not come'}"
    record.write(summary)
    print(summary)
    return 1 if content is None else 0


finish(main())
