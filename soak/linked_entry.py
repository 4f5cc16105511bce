"""Program of an entry host whose connections to upstreams lead through its own links.

Each upstream has one address for all hosts; a link has one for each host, so that it
can fail for this host alone.
"""

import asyncio
import os

from peridotfront.platform.entry import main

UPSTREAMS = os.environ["LINKED_UPSTREAMS"]
LINKS = os.environ["LINKS_OF_HOST"]


class LinkedLoop(asyncio.SelectorEventLoop):
    """Event loop that opens the connections to upstreams through links."""

    async def sock_connect(self, sock, address):
        """Connect to an address, or to the link that leads to it."""
        ip, port = address[:2]
        if ip.startswith(UPSTREAMS):
            ip = LINKS + ip.removeprefix(UPSTREAMS)
        return await super().sock_connect(sock, (ip, port))


class LinkedPolicy(asyncio.DefaultEventLoopPolicy):
    """Event loop policy for such loops."""

    _loop_factory = LinkedLoop


if __name__ == "__main__":
    asyncio.set_event_loop_policy(LinkedPolicy())
    main()
