"""Connections to upstreams through other entry hosts."""

import asyncio
from collections.abc import Callable
from typing import Any

import grpc

from .exceptions import ConnectFailed, RelayLost, RelayUnreachable
from .http_client import ClientLimits, HttpClient
from .proto import peridotfront_pb2, peridotfront_pb2_grpc
from .relay_server import CONNECT_FAILED, CONNECTION_RESET
from .runtime import BackgroundTasks, now_ms
from .transport import CHANNEL_OPTIONS
from .upstream_connections import UpstreamConnection

# The other host needs a part of this time to connect to the upstream.
CONNECT_MS = 600
UNUSED_RELAY_MS = 30_000


class RelayedTransport(asyncio.Transport):
    """Transport whose bytes another entry host passes on to and from an upstream.

    :param call: gRPC call to the other host, which has connected to the upstream.
    :param protocol: protocol that gets the bytes.
    """

    def __init__(self, call: Any, protocol: asyncio.BufferedProtocol):
        super().__init__()
        self._call = call
        self._protocol = protocol
        self._outgoing: asyncio.Queue[bytes] = asyncio.Queue()
        self._may_read = asyncio.Event()
        self._may_read.set()
        self._is_closing = False
        self._written_bytes = 0
        self._taken_bytes = 0
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Begin to pass on bytes in both directions."""
        self._protocol.connection_made(self)
        self._tasks = [
            asyncio.ensure_future(self._receive()),
            asyncio.ensure_future(self._send()),
        ]

    def write(self, data: bytes) -> None:
        """Queue bytes for the upstream."""
        if not self._is_closing:
            self._written_bytes += len(data)
            self._outgoing.put_nowait(bytes(data))

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that the upstream is not known to have taken."""
        return self._written_bytes - self._taken_bytes

    def is_closing(self) -> bool:
        """Return whether the connection is closed or about to be."""
        return self._is_closing

    def pause_reading(self) -> None:
        """Stop passing bytes to the protocol; the other host is held up in turn."""
        self._may_read.clear()

    def resume_reading(self) -> None:
        """Pass bytes to the protocol again."""
        self._may_read.set()

    def close(self) -> None:
        """Close the connection; bytes that were not sent yet are lost."""
        self.abort()

    def abort(self) -> None:
        """Close the connection immediately."""
        self._lose(None)

    def _lose(self, error: Exception | None) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        self._call.cancel()
        for task in self._tasks:
            if task is not asyncio.current_task():
                task.cancel()
        loop = asyncio.get_running_loop()
        loop.call_soon(self._protocol.connection_lost, error)

    async def _send(self) -> None:
        try:
            while True:
                data = await self._outgoing.get()
                await self._call.write(peridotfront_pb2.RelayedBytes(data=data))
        except (grpc.RpcError, asyncio.InvalidStateError) as error:
            self._lose(RelayLost(f"the relay is lost: {error}"))

    async def _receive(self) -> None:
        try:
            while True:
                await self._may_read.wait()
                message = await self._call.read()
                if message is grpc.aio.EOF or message.is_end:
                    break
                self._pass_on(message.data)
        except grpc.RpcError as error:
            is_reset = error.code() is CONNECTION_RESET
            lost = RelayLost(f"the relay is lost: {error.details()}")
            self._lose(ConnectionResetError() if is_reset else lost)
            return
        if message is grpc.aio.EOF:
            self._lose(RelayLost("the relay ended"))
            return
        # An older build does not tell how many bytes the upstream took.
        self._taken_bytes = message.taken_bytes or self._written_bytes
        self._protocol.eof_received()
        self._lose(None)

    def _pass_on(self, data: bytes) -> None:
        view = memoryview(data)
        while view and not self._is_closing:
            buffer = self._protocol.get_buffer(len(view))
            count = min(len(view), len(buffer))
            buffer[:count] = view[:count]
            self._protocol.buffer_updated(count)
            view = view[count:]


class RelayConnector:
    """Connector that opens connections through another entry host.

    :param channel: gRPC channel to that host.
    """

    def __init__(self, channel: grpc.aio.Channel):
        self._channel = channel

    async def connect(
        self, factory: Callable[[], UpstreamConnection], address: str, connect_ms: int
    ) -> UpstreamConnection:
        """Open a connection to an upstream.

        :param connect_ms: time limit of a direct connection; one through a relay takes
            longer.
        :raises ConnectFailed: if the other host can't connect to the upstream.
        :raises RelayUnreachable: if the other host can't be reached, or refuses.
        """
        call = peridotfront_pb2_grpc.PeerStub(self._channel).Relay()
        try:
            async with asyncio.timeout(max(connect_ms, CONNECT_MS) / 1000):
                await call.write(peridotfront_pb2.RelayedBytes(address=address))
                opened = await call.read()
        except grpc.RpcError as error:
            if error.code() is CONNECT_FAILED:
                raise ConnectFailed(error.details(), address) from error
            raise RelayUnreachable(error.details(), address) from error
        except (TimeoutError, asyncio.InvalidStateError) as error:
            call.cancel()
            raise RelayUnreachable("the relay did not connect", address) from error
        except asyncio.CancelledError:
            call.cancel()
            raise
        if opened is grpc.aio.EOF:
            raise RelayUnreachable("the relay ended", address)
        connection = factory()
        RelayedTransport(call, connection).start()
        return connection


class UpstreamClients:
    """HTTP clients for the upstreams: one that connects directly, one for each relay.

    :param limits: limits on the connections and buffers of each client.

    ``direct`` is the client that connects directly.
    """

    def __init__(self, limits: ClientLimits):
        self.direct = HttpClient(limits)
        self._limits = limits
        self._relayed: dict[str, tuple[HttpClient, grpc.aio.Channel]] = {}
        self._used_ms: dict[str, int] = {}
        self._closing = BackgroundTasks()

    def through(self, relay: str) -> HttpClient:
        """Return the client that connects through an entry host; empty for none.

        :param relay: address at which that host listens for peers.
        """
        if not relay:
            return self.direct
        self._close_unused()
        self._used_ms[relay] = now_ms()
        if relay not in self._relayed:
            channel = grpc.aio.insecure_channel(relay, options=CHANNEL_OPTIONS)
            client = HttpClient(self._limits, connector=RelayConnector(channel))
            self._relayed[relay] = (client, channel)
        return self._relayed[relay][0]

    def _close_unused(self) -> None:
        oldest_ms = now_ms() - UNUSED_RELAY_MS
        for relay, (client, channel) in tuple(self._relayed.items()):
            if self._used_ms[relay] < oldest_ms and not client.connections:
                del self._relayed[relay]
                self._closing.start(channel.close())

    async def close(self) -> None:
        """Close all connections."""
        await self.direct.close()
        for client, channel in self._relayed.values():
            await client.close()
            await channel.close()
