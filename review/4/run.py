"""Sends proper requests while the list has an entry with an unreadable id."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    Callers,
    Deployment,
    Record,
    finish,
    is_troubled,
    plain_manifest,
)

CALM_S = 6.0
SENDING_S = 20.0
REQUESTS_PER_S = 30.0
ALLOWED = 5
ALLOWED_SHARE = 1 / 500


def unreadable_entry(network):
    """Return an entry of another writer, whose id has bytes that are no UTF-8."""
    return (
        b'{"Service":"ledger","Addr":"'
        + f"{network}.8.99:8080".encode()
        + b'","Zone":"zone-a","Version":"v1","Slots":6,"State":"ready",'
        + b'"ColdLeftMs":0,"Id":"i-\xff\xfe\x80"}'
    )


async def main():
    """Run the case."""
    record = Record(FOLDER / "record.txt")
    deployment = Deployment(record)
    callers = Callers(deployment, REQUESTS_PER_S)
    statuses = callers.statuses
    try:
        if not await deployment.start(plain_manifest(1)):
            print("could not run: the deployment did not become ready")
            return 2
        await callers.run(CALM_S)
        calm = dict(statuses)
        if is_troubled():
            record.write("the list gets an entry with an unreadable id")
            deployment.list.extra_entries = [unreadable_entry(deployment.network)]
        await callers.run(SENDING_S)
    finally:
        await deployment.stop()
    total = sum(statuses.values())
    denied = sum(
        count
        for status, count in statuses.items()
        if status != "none" and 300 <= status < 500 and status not in (408, 421, 429)
    )
    allowed = ALLOWED + total * ALLOWED_SHARE
    summary = (
        f"requests {total}, statuses {dict(statuses)} ({calm} of them before), "
        f"denied {denied}, allowed {allowed:.1f}"
    )
    record.write(summary)
    print(summary)
    return 1 if denied > allowed else 0


finish(main())
