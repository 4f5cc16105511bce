"""Program of one entry host without control hosts, before given upstreams.

Its arguments are a settings file, and a file with the address of each service's
upstream. It prints one line of JSON with the callers' port, and its log after it.
"""

import asyncio
import json
import sys
from pathlib import Path

from peridotfront import logs
from peridotfront.core.messages import ListedUpstream
from peridotfront.core.routes import RouteTable
from peridotfront.core.routing_events import RoutingChanged, UpstreamsListed
from peridotfront.log_output import BoundedStream
from peridotfront.log_settings import LogSection
from peridotfront.platform.configuration import parse_configuration
from peridotfront.platform.requests import PlatformRequestCodec
from peridotfront.routed_entry import EntryAdapter, RoutedEntry
from peridotfront.routed_settings import load_settings

TIMEOUT_MS = 1500
GOAL_MS = 300
SLOTS = 1


def configuration(services):
    """Return a configuration with two routes for each service."""
    routes = [
        {
            "Name": f"{kind} {number}",
            "Host": "h.example",
            "Prefix": f"/{kind}/{number}/",
            "Kind": kind,
            "TimeoutMs": TIMEOUT_MS,
            "GoalMs": GOAL_MS,
            "Service": service,
            "Public": True,
            **({"GapTargetMs": 500} if kind == "streaming" else {}),
        }
        for number, service in enumerate(services)
        for kind in ("non_idempotent", "streaming")
    ]
    names = [{"Name": service} for service in services]
    content = {"Version": 1, "Routes": routes, "Services": names}
    return parse_configuration(json.dumps(content))


class FixedList:
    """Replacement for the platform's list of upstreams."""

    def __init__(self, upstreams):
        self.upstreams = upstreams

    async def read(self):
        """Return all upstreams."""
        return self.upstreams


async def main(settings_path, addresses):
    """Serve until a stop signal arrives."""
    settings = load_settings(settings_path)
    logs.configure(LogSection(), "e1", BoundedStream(sys.stdout.fileno()))
    upstreams = tuple(
        ListedUpstream(f"u-{service}", service, address, "dc1", SLOTS, False, "v1")
        for service, address in addresses.items()
    )
    adapter = EntryAdapter(
        codec=PlatformRequestCodec(),
        parse=lambda text, version: configuration(addresses),
        list_client=lambda address: FixedList(upstreams),
        ready_path="/ready",
    )
    entry = RoutedEntry(settings, settings_path, adapter)
    routing = configuration(addresses)
    entry.server.route_table = RouteTable(routing)
    entry.server.feed(RoutingChanged(routing))
    entry.server.feed(UpstreamsListed(upstreams))
    return await entry.run()


if __name__ == "__main__":
    given_addresses = json.loads(Path(sys.argv[2]).read_text())
    raise SystemExit(asyncio.run(main(Path(sys.argv[1]), given_addresses)))
