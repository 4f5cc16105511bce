"""Links between one host and one upstream, which can fail in several ways."""

import asyncio
import socket
from enum import StrEnum

from .world import NETWORK, UPSTREAM_PORT

CHUNK_BYTES = 65_536
POLL_S = 0.02
FIRST_LINK_NETWORK = 20
# Connections that fill the queue of a listener that accepts none.
FILLING_CONNECTIONS = 4


class LinkFault(StrEnum):
    """Ways in which a link fails.

    ``SILENT``: nothing arrives, and new connections hang. ``MUTE``: requests arrive on
    open connections, but no answers; new ones hang. ``RESET``: open connections are
    reset and new ones refused. ``ABORT``: new ones are reset once they are open.
    ``REFUSE``: open connections live on, and new ones are refused. ``HOLD``: new ones
    open, but no bytes pass on any.
    """

    NONE = "none"
    SILENT = "silent"
    MUTE = "mute"
    RESET = "reset"
    ABORT = "abort"
    REFUSE = "refuse"
    HOLD = "hold"


HANGING_FAULTS = (LinkFault.SILENT, LinkFault.MUTE)
REFUSING_FAULTS = (LinkFault.RESET, LinkFault.REFUSE)
SILENT_FAULTS = (LinkFault.SILENT, LinkFault.HOLD)
MUTE_FAULTS = (*SILENT_FAULTS, LinkFault.MUTE)
RESETTING_FAULTS = (LinkFault.RESET, LinkFault.ABORT)


class Link:
    """TCP proxy at an address of its own that leads to an upstream.

    :param address: IP address and port at which the host connects.
    :param target: IP address and port of the upstream.
    """

    def __init__(self, address, target):
        self.fault = LinkFault.NONE
        self._address = address
        self._target = target
        self._server = None
        self._changing = asyncio.Lock()
        self._blocked = []
        self._writers = set()

    async def start(self):
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._accept, *self._address)

    async def stop(self):
        """Close the link and all its connections."""
        self._close_listeners()
        self._abort()

    async def set_fault(self, fault):
        """Fail in a way from now on, or work again.

        Faults may overlap; the last one counts.
        """
        async with self._changing:
            await self._set_fault(fault)

    async def _set_fault(self, fault):
        self.fault = fault
        self._close_listeners()
        if fault in RESETTING_FAULTS:
            self._abort()
        if fault in HANGING_FAULTS:
            self._block_listener()
        elif fault not in REFUSING_FAULTS:
            await self.start()

    def _block_listener(self):
        """Listen with a full queue, so that the kernel drops each opening packet."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self._address)
        listener.listen(0)
        self._blocked.append(listener)
        for _ in range(FILLING_CONNECTIONS):
            filling = socket.socket()
            filling.setblocking(False)
            filling.connect_ex(self._address)
            self._blocked.append(filling)

    def _close_listeners(self):
        if self._server is not None:
            self._server.close()
            self._server = None
        for sock in self._blocked:
            sock.close()
        self._blocked.clear()

    def _abort(self):
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _accept(self, reader, writer):
        if self.fault is LinkFault.ABORT:
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, up_writer))
        await asyncio.gather(
            self._pump(reader, up_writer, SILENT_FAULTS),
            self._pump(up_reader, writer, MUTE_FAULTS),
        )
        self._writers.difference_update((writer, up_writer))

    async def _pump(self, reader, writer, holding_faults):
        """Pass bytes on; they wait while one of the faults lasts."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                while self.fault in holding_faults:
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()
            while self.fault in holding_faults:
                await asyncio.sleep(POLL_S)
        except OSError:
            writer.transport.abort()
        finally:
            writer.close()


class Links:
    """Links of all entry hosts of a deployment, each with an address of its own.

    The entry hosts must not have been started yet.

    :param deployment: deployment whose entry hosts connect through the links.
    :param upstream_ips: IP addresses of the upstreams, all in one network.
    """

    def __init__(self, deployment, upstream_ips):
        self._links = {}
        for number, host in enumerate(deployment.entries):
            prefix = f"{NETWORK}.{FIRST_LINK_NETWORK + number}."
            host.module = "soak.linked_entry"
            host.variables = {
                "LINKED_UPSTREAMS": f"{NETWORK}.8.",
                "LINKS_OF_HOST": prefix,
            }
            for ip in upstream_ips:
                address = prefix + ip.rpartition(".")[2]
                link = Link((address, UPSTREAM_PORT), (ip, UPSTREAM_PORT))
                self._links[host.name, ip] = link

    async def start(self):
        """Start to accept connections."""
        for link in self._links.values():
            await link.start()

    async def stop(self):
        """Close all links."""
        for link in self._links.values():
            await link.stop()

    async def set_fault(self, host, upstream_ips, fault):
        """Let the links of a host to some upstreams fail, or work again."""
        for ip in upstream_ips:
            await self._links[host.name, ip].set_fault(fault)
