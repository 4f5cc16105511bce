"""Relay of other entry hosts' connections to upstreams that they can't reach."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any

import grpc

from . import logs
from .addresses import split_address
from .proto import peridotfront_pb2
from .upstream_connections import enable_keepalive_probes, unsent_bytes

CONNECT_MS = 300
CHUNK_BYTES = 64 * 1024
# Statuses of a call that tell the other host what happened.
CONNECT_FAILED = grpc.StatusCode.FAILED_PRECONDITION
CONNECTION_RESET = grpc.StatusCode.ABORTED
RELAY_REFUSED = grpc.StatusCode.UNAVAILABLE


class RelayServer:
    """Server that opens connections to upstreams for other entry hosts.

    It passes bytes on unchanged and never sends any of them twice.

    :param is_allowed: function that returns whether an address is that of an upstream
        and this host relays now.

    ``connections`` is the number of open connections.
    """

    def __init__(self, is_allowed: Callable[[str], bool]):
        self._is_allowed = is_allowed
        self.connections = 0

    async def relay(self, requests: AsyncIterator[Any], context: Any) -> AsyncIterator:
        """Connect to the upstream that the first message names, and pass on bytes.

        The first message to the other host is empty: the connection is open.
        """
        first = await anext(aiter(requests), None)
        if first is None or not self._is_allowed(first.address):
            await context.abort(RELAY_REFUSED, "no relay to this address")
        ip, port = split_address(first.address)
        try:
            async with asyncio.timeout(CONNECT_MS / 1000):
                reader, writer = await asyncio.open_connection(ip, port)
        except OSError as error:
            detail = f"{type(error).__name__}: {error}"
            await context.abort(CONNECT_FAILED, detail)
        enable_keepalive_probes(writer.get_extra_info("socket"))
        sender = _Sender(writer)
        sending = asyncio.ensure_future(sender.send_all(requests))
        self.connections += 1
        try:
            yield peridotfront_pb2.RelayedBytes()
            while data := await reader.read(CHUNK_BYTES):
                yield peridotfront_pb2.RelayedBytes(data=data)
            yield peridotfront_pb2.RelayedBytes(
                is_end=True, taken_bytes=sender.taken_bytes
            )
        except OSError as error:
            logs.write_rate_limited(
                "relay_broken", address=first.address, detail=str(error)
            )
            await context.abort(CONNECTION_RESET, str(error))
        finally:
            self.connections -= 1
            sending.cancel()
            writer.transport.abort()


class _Sender:
    """Sender of another host's bytes to an upstream."""

    def __init__(self, writer: asyncio.StreamWriter):
        self._writer = writer
        self._written_bytes = 0

    @property
    def taken_bytes(self) -> int:
        """Return the number of bytes that the upstream has acknowledged."""
        return self._written_bytes - unsent_bytes(self._writer.transport)

    async def send_all(self, requests: AsyncIterator[Any]) -> None:
        """Write the bytes of the other host; close the connection when it ends."""
        try:
            async for message in requests:
                self._written_bytes += len(message.data)
                self._writer.write(message.data)
                await self._writer.drain()
        except (OSError, grpc.RpcError) as error:
            logs.write_rate_limited("relay_broken", address="", detail=str(error))
        finally:
            self._writer.transport.abort()
