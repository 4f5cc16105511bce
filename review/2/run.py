"""Reads the manifest back after the list had an entry with an unreadable zone."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    OPERATORS_PORT,
    Deployment,
    Record,
    call,
    finish,
    is_troubled,
    plain_manifest,
)

CALM_S = 5.0
ENTRY_LISTED_S = 5.0
AFTER_S = 5.0
READ_S = 15.0
PUT_S = 15.0


def foreign_entry(network):
    """Return an entry of another writer, whose zone ends within a character.

    Its writer cut the name in the middle of a UTF-16 surrogate pair.
    """
    return (
        f'{{"Service":"ledger","Addr":"{network}.8.99:8080","Zone":"zone-\\ud83d",'
        f'"Version":"v1","Slots":6,"State":"ready","ColdLeftMs":0,"Id":"x-1"}}'
    ).encode()


async def read_back(deployment, duration_s):
    """Return the manifest that any control host answers in time, else None."""
    end_s = time.monotonic() + duration_s
    turn = 0
    while time.monotonic() < end_s:
        host = deployment.controls[turn % len(deployment.controls)]
        turn += 1
        address = f"{host.ip}:{OPERATORS_PORT}"
        for _ in range(3):
            try:
                status, answer = await call(
                    address, "GET", "/peridotfront/config", timeout_s=1.0
                )
            except (OSError, asyncio.IncompleteReadError) as error:
                deployment.record.write(f"read at {address}: {type(error).__name__}")
                break
            deployment.record.write(f"read at {address}: {status}")
            if status == 200:
                return answer.body
            if status != 307:
                break
            address = answer.headers["location"].split("/")[2]
        await asyncio.sleep(0.2)
    return None


async def main():
    """Run the case."""
    record = Record(FOLDER / "record.txt")
    deployment = Deployment(record)
    try:
        if not await deployment.start(plain_manifest(1)):
            print("could not run: the deployment did not become ready")
            return 2
        await asyncio.sleep(CALM_S)
        if is_troubled():
            record.write("the list gets an entry of another writer")
            deployment.list.extra_entries = [foreign_entry(deployment.network)]
        await asyncio.sleep(ENTRY_LISTED_S)
        record.write("the list has only the sound entries")
        deployment.list.extra_entries = []
        await asyncio.sleep(AFTER_S)
        record.write("sent version 2")
        is_acknowledged = await deployment.operator.put(plain_manifest(2), PUT_S)
        content = await read_back(deployment, READ_S)
    finally:
        await deployment.stop(FOLDER if "--logs" in sys.argv else None)
    summary = (
        f"version 2 acknowledged: {is_acknowledged}, "
        f"read back: {'it came' if content is not None else 'it did not come'}"
    )
    record.write(summary)
    print(summary)
    return 1 if content is None else 0


finish(main())
