"""Reads the manifest back after the list had an entry with an unreadable zone."""

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
