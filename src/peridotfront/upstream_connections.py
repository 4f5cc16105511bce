"""Connections to upstreams, and the answers that arrive on them."""

import asyncio
import contextlib
import math
import re
import select
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

import h11

from .exceptions import (
    AnswerMalformed,
    AnswerTooLarge,
    AnswerTruncated,
    UpstreamDied,
    UpstreamTimedOut,
)
from .http_messages import Header, find_header

PROBE_AFTER_S = 1
PROBE_INTERVAL_S = 1
PROBES = 3
UNACKNOWLEDGED_MS = 3000
KEPT_MARGIN_MS = 1000
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d{1,6})")
DEFAULT_READ_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds what the client keeps.

    :param max_idle_connections: idle connections kept open to one address.
    :param keep_alive_ms: how long an idle connection is kept if the upstream does not
        say how long it keeps it.
    :param max_keep_alive_ms: the longest time, if the upstream says so.
    :param read_buffer_bytes: received data of one answer that nobody has read.
    """

    header_bytes: int = 16 * 1024
    max_idle_connections: int = 64
    keep_alive_ms: int = 30_000
    max_keep_alive_ms: int = 30_000
    read_buffer_bytes: int = 256 * 1024


class UpstreamAnswer:
    """Is the answer to one call; its body arrives while it is read.

    Read it to its end or cancel it, so that its connection is given back.
    """

    def __init__(
        self,
        status_code: int,
        headers: tuple[Header, ...],
        connection: "UpstreamConnection",
    ):
        self.status_code = status_code
        self.headers = headers
        self._connection: UpstreamConnection | None = connection

    @property
    def address(self) -> str:
        """Return the upstream's IP number and port; empty once it was read."""
        return self._connection.address if self._connection is not None else ""

    def header(self, name: str, default: str = "") -> str:
        """Return the first header field with this name in lower case."""
        return find_header(self.headers, name, default)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; ends only if the answer is whole.

        :raises AnswerTruncated: if the connection ended before the answer.
        :raises UpstreamTimedOut: if the upstream was silent for too long.
        :raises AnswerMalformed: if the answer is no valid HTTP.
        """
        try:
            while self._connection is not None:
                data = await self._connection.receive()
                if not data:
                    break
                yield data
        finally:
            self._release()

    async def read(self, max_bytes: int = DEFAULT_READ_BYTES) -> bytes:
        """Return the whole body.

        :param max_bytes: the longest body to accept.
        :raises AnswerTooLarge: if it is longer; the call is cancelled.
        :raises AnswerTruncated: if the connection ended before the answer.
        :raises UpstreamTimedOut: if the upstream was silent for too long.
        """
        parts = []
        size_bytes = 0
        async for data in self.chunks():
            size_bytes += len(data)
            if size_bytes > max_bytes:
                self.cancel()
                raise AnswerTooLarge(f"longer than {max_bytes} bytes")
            parts.append(data)
        return b"".join(parts)

    def cancel(self) -> None:
        """Close the connection unless the answer has been read to its end."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _release(self) -> None:
        if self._connection is not None:
            self._connection.release()
            self._connection = None


def _stated_timeout_s(head: h11.Response | None) -> int | None:
    """Return the idle time-out of a Keep-Alive header, None if there is none."""
    fields = dict(head.headers) if head is not None else {}
    found = KEEP_ALIVE_TIMEOUT.search(fields.get(b"keep-alive", b""))
    return int(found[1]) if found else None


def _watch_peer(sock: socket.socket) -> None:
    """Let the kernel find out within seconds that the other host is gone."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


class ConnectionKeeper(Protocol):
    """What a connection needs of its client."""

    limits: ClientLimits

    def keep(self, connection: "UpstreamConnection") -> None:
        """Keep an idle connection for the next call."""

    def forget(self, connection: "UpstreamConnection") -> None:
        """Drop a closed connection."""


class UpstreamConnection(asyncio.Protocol):
    """Carries one call after the other to one address."""

    def __init__(self, client: ConnectionKeeper, address: str):
        self.address = address
        self.kept_until_s = 0.0
        self._client = client
        self._limits = client.limits
        self._loop = asyncio.get_running_loop()
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=client.limits.header_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._calls = 0
        self._head: h11.Response | None = None
        self._parts: list[bytes] = []
        self._buffered_bytes = 0
        self._is_whole = True
        self._error: Exception | None = None
        self._waiter: asyncio.Future | None = None
        self._silence_ms = 0
        self._deadline_s = math.inf
        self._timer: asyncio.TimerHandle | None = None

    @property
    def idle_limit_ms(self) -> int:
        """Return how long the connection may be kept for the next call."""
        stated_s = _stated_timeout_s(self._head)
        if stated_s is None:
            return self._limits.keep_alive_ms
        stated_ms = max(0, stated_s * 1000 - KEPT_MARGIN_MS)
        return min(self._limits.max_keep_alive_ms, stated_ms)

    @property
    def is_usable(self) -> bool:
        """Tell whether a new call may be sent."""
        return self._error is None and not self._transport.is_closing()

    @property
    def is_silent(self) -> bool:
        """Tell whether nothing, not even an end, has come in while it was idle."""
        return not self._poll.poll(0)

    # Events of the transport.

    def connection_made(self, transport) -> None:
        """Be ready for a first call."""
        self._transport = transport
        _watch_peer(transport.get_extra_info("socket"))
        self._poll.register(transport.get_extra_info("socket"), select.POLLIN)

    def data_received(self, data: bytes) -> None:
        """Take bytes of the answer."""
        if self._is_whole:
            self._fail(AnswerMalformed("data after the answer", self.address))
            return
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._fail(AnswerMalformed(str(error), self.address))
        if self._head is not None:
            self._extend_deadline()
        self._wake()

    def eof_received(self) -> bool:
        """Take the end, which may be the end of the answer."""
        with contextlib.suppress(h11.RemoteProtocolError):
            self._http.receive_data(b"")
            self._read_events()
        return False

    def connection_lost(self, exc) -> None:
        """Fail the call, unless its answer is whole."""
        if not self._is_whole:
            self._fail(self._lost())
        self._stop_timer()
        self._client.forget(self)
        self._wake()

    # Reading.

    def _read_events(self) -> None:
        while not self._is_whole:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            self._take(event)
        if self._is_full:
            self._transport.pause_reading()

    def _take(self, event) -> None:
        if isinstance(event, h11.Data):
            self._parts.append(event.data)
            self._buffered_bytes += len(event.data)
        elif isinstance(event, h11.Response):
            self._head = event
        elif isinstance(event, h11.EndOfMessage):
            self._is_whole = True
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError("the connection was closed")

    @property
    def _is_full(self) -> bool:
        return self._buffered_bytes > self._limits.read_buffer_bytes

    def _lost(self) -> Exception:
        if self._head is not None:
            return AnswerTruncated("closed within the answer", self.address)
        return UpstreamDied("closed before the answer", self.address, self._calls > 1)

    def _fail(self, error: Exception) -> None:
        if self._error is None:
            self._error = error
        self._transport.abort()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    # Calls.

    def send(self, request: h11.Request, body: bytes, first_byte_ms: int) -> None:
        """Write one whole request."""
        if self._calls:
            self._http.start_next_cycle()
        self._calls += 1
        self._head = None
        self._is_whole = False
        parts = [self._http.send(request)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._start_timer(first_byte_ms)
        self._transport.write(b"".join(parts))

    async def receive_head(self, between_bytes_ms: int) -> h11.Response:
        """Return the head of the answer."""
        while self._head is None:
            if self._error is not None:
                raise self._error
            await self._wait()
        self._start_timer(between_bytes_ms)
        return self._head

    async def receive(self) -> bytes:
        """Return all data that has arrived; empty at the end of the answer."""
        while not self._parts:
            if self._is_whole:
                return b""
            if self._error is not None:
                raise self._error
            await self._wait()
        parts = self._parts
        self._parts = []
        if self._is_full:
            self._extend_deadline()
            self._transport.resume_reading()
        self._buffered_bytes = 0
        return bytes(parts[0]) if len(parts) == 1 else b"".join(parts)

    def release(self) -> None:
        """Keep the connection if the answer was read whole, else close it."""
        self._stop_timer()
        is_reusable = (
            self._is_whole
            and not self._parts
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )
        if is_reusable and self.is_usable:
            self._client.keep(self)
            return
        self.close()

    def close(self) -> None:
        """Close at once."""
        if self._error is None and not self._is_whole:
            self._error = AnswerTruncated("cancelled", self.address)
        self._stop_timer()
        self._transport.abort()
        self._wake()

    # Time-outs: one timer for a call, which finds its deadline moved by new bytes.

    def _extend_deadline(self) -> None:
        self._deadline_s = self._loop.time() + self._silence_ms / 1000

    def _start_timer(self, silence_ms: int) -> None:
        self._stop_timer()
        self._silence_ms = silence_ms
        self._extend_deadline()
        self._timer = self._loop.call_at(self._deadline_s, self._check_deadline)

    def _check_deadline(self) -> None:
        self._timer = None
        if self._is_whole:
            return
        if self._is_full:
            # The reader of the answer is slow, not the upstream.
            self._extend_deadline()
        if self._loop.time() < self._deadline_s:
            self._timer = self._loop.call_at(self._deadline_s, self._check_deadline)
            return
        self._fail(UpstreamTimedOut("silent for too long", self.address))
        self._wake()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
