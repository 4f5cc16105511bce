"""HTTP/1.1 client with a connection pool, time limits and verdicts."""

import asyncio
import ssl
from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from ipaddress import ip_address
from typing import Protocol

import h11

from .answer_budget import AnswerBudget
from .exceptions import ConnectFailed, InvalidRequest
from .http_messages import decode_headers, encode_headers, without_hop_headers
from .turns import Turns
from .upstream_answer import READ_BYTES, UpstreamAnswer, body_framing
from .upstream_connections import ClientLimits, UpstreamConnection

__all__ = ["ClientLimits", "HttpClient", "UpstreamAnswer", "UpstreamTimeouts"]

SWEEPS_PER_LIMIT = 4
REPLACED_HEADERS = ("host", "content-length", "expect")


@dataclass(frozen=True, slots=True)
class UpstreamTimeouts:
    """Time limits for the steps of one call.

    :param connect_ms: time limit for opening a connection.
    :param first_byte_ms: time limit from sending the request to the headers of the
        answer.
    :param between_bytes_ms: time limit for silence within the answer.
    :param total_ms: time limit from sending the request to the end of the answer; 0
        if the caller of the client sets one.
    """

    connect_ms: int = 1_000
    first_byte_ms: int = 30_000
    between_bytes_ms: int = 30_000
    total_ms: int = 0


class Connector(Protocol):
    """Interface of what opens the connections of a client."""

    async def connect(
        self, factory: Callable[[], UpstreamConnection], address: str, connect_ms: int
    ) -> UpstreamConnection:
        """Open a connection.

        :param factory: function that creates the protocol of the connection.
        :param address: IP address and port of the upstream.
        :param connect_ms: time limit.
        :raises ConnectFailed: if it can't be opened in time.
        """


class SocketConnector:
    """Connector that opens sockets.

    :param ssl_context: TLS context; None uses plain TCP.
    """

    def __init__(self, ssl_context: ssl.SSLContext | None = None):
        self._ssl_context = ssl_context

    async def connect(
        self, factory: Callable[[], UpstreamConnection], address: str, connect_ms: int
    ) -> UpstreamConnection:
        """Open a connection from this host.

        :raises ConnectFailed: if it can't be opened in time.
        """
        host_ip, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            # Only IP addresses: a host name would be resolved in another thread.
            host_ip = str(ip_address(host_ip.strip("[]")))
            async with asyncio.timeout(connect_ms / 1000):
                _, connection = await loop.create_connection(
                    factory, host_ip, int(port), ssl=self._ssl_context
                )
        except (OSError, OverflowError, ValueError) as error:
            raise ConnectFailed(f"cannot connect: {error}", address) from error
        return connection


class HttpClient:
    """HTTP/1.1 client for upstreams.

    A request is written to a socket at most once: the client never retries it.

    :param limits: limits on idle connections and buffers.
    :param ssl_context: TLS context; None uses plain TCP.
    :param connector: opens the connections; from this host by default.
    """

    def __init__(
        self,
        limits: ClientLimits | None = None,
        ssl_context: ssl.SSLContext | None = None,
        connector: Connector | None = None,
    ):
        self.limits = limits or ClientLimits()
        self.turns = Turns()
        self.budget = AnswerBudget(self.limits.max_kept_bytes)
        self.buffered_bytes = 0
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self._connector = connector or SocketConnector(ssl_context)
        self._idle: dict[str, deque[UpstreamConnection]] = defaultdict(deque)
        self._open: set[UpstreamConnection] = set()
        self._sweeper: asyncio.TimerHandle | None = None

    @property
    def connections(self) -> int:
        """Return the number of open connections, idle or in use."""
        return len(self._open)

    async def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b"",
        *,
        host: str = "",
        timeouts: UpstreamTimeouts | None = None,
        before_send: Callable[[], None] | None = None,
    ) -> UpstreamAnswer:
        """Send one request and wait for the head of the answer.

        :param address: IP address and port of the upstream.
        :param target: path and query.
        :param headers: header fields, which may be those of a caller's request:
            hop-by-hop fields, Host, Content-Length and Expect are dropped or
            replaced.
        :param host: value of the Host header; defaults to the address.
        :param timeouts: time limits of the call.
        :param before_send: function called right before the request is written to
            the socket; an exception from it ends the call (not executed).
        :return: the answer, which must be read to its end or cancelled.
        :raises ConnectFailed: if no byte was written to a socket (not executed).
        :raises UpstreamDied: if the connection closed before the answer.
        :raises UpstreamTimedOut: if the answer did not begin in time.
        :raises AnswerMalformed: if the answer is not valid HTTP.
        :raises InvalidRequest: if the request can't be written as HTTP (not
            executed).
        """
        timeouts = timeouts or UpstreamTimeouts()
        request = self._build_request(host or address, method, target, headers, body)
        connection = self._take_idle(address)
        if connection is None:
            connection = await self._connect(address, timeouts.connect_ms)
        try:
            if before_send is not None:
                before_send()
            connection.send(request, body, timeouts.first_byte_ms, timeouts.total_ms)
            head = await connection.receive_head(timeouts.between_bytes_ms)
        except BaseException:
            connection.close()
            raise
        answer_headers = decode_headers(head.headers)
        framing = body_framing(method, head.status_code, answer_headers)
        return UpstreamAnswer(head.status_code, answer_headers, connection, framing)

    async def connect(self, address: str, connect_ms: int) -> None:
        """Open a connection for a later request.

        :raises ConnectFailed: if it can't be opened in time.
        """
        self.add_idle(await self._connect(address, connect_ms))

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an upstream."""
        for connection in tuple(self._idle.get(address, ())):
            connection.close()

    async def close(self) -> None:
        """Close every connection."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self._open):
            connection.close()
        while self._open:
            await asyncio.sleep(0)

    def add_idle(self, connection: UpstreamConnection) -> None:
        """Add an idle connection to the pool, or close it if the pool is full."""
        idle = self._idle[connection.address]
        if len(idle) >= self.limits.max_idle_connections:
            connection.close()
            return
        now_s = asyncio.get_running_loop().time()
        connection.idle_until_s = now_s + connection.idle_limit_ms / 1000
        idle.append(connection)
        if self._sweeper is None:
            self._sweep()

    def remove(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection from the pool."""
        self._open.discard(connection)
        idle = self._idle.get(connection.address)
        if idle is None:
            return
        if connection in idle:
            idle.remove(connection)
        if not idle:
            del self._idle[connection.address]

    @staticmethod
    def _build_request(host, method, target, headers, body) -> h11.Request:
        end_to_end_headers = without_hop_headers(headers)
        fields = [
            (k, v) for k, v in end_to_end_headers if k.lower() not in REPLACED_HEADERS
        ]
        fields.append(("host", host))
        if body or method not in ("GET", "HEAD", "DELETE"):
            fields.append(("content-length", str(len(body))))
        try:
            return h11.Request(
                method=method, target=target, headers=encode_headers(fields)
            )
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            raise InvalidRequest(str(error)) from error

    def _take_idle(self, address: str) -> UpstreamConnection | None:
        idle = self._idle.get(address)
        now_s = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            is_fresh = now_s < connection.idle_until_s
            if is_fresh and connection.is_usable and connection.is_silent:
                return connection
            connection.close()
        return None

    async def _connect(self, address: str, connect_ms: int) -> UpstreamConnection:
        connection = await self._connector.connect(
            lambda: UpstreamConnection(self, address), address, connect_ms
        )
        self._open.add(connection)
        if not connection.is_usable:
            connection.close()
            raise ConnectFailed("the connection was closed immediately", address)
        return connection

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        for idle in list(self._idle.values()):
            for connection in [c for c in idle if c.idle_until_s <= now_s]:
                idle.remove(connection)
                connection.close()
        self._sweeper = None
        if any(self._idle.values()):
            interval_s = self.limits.keep_alive_ms / 1000 / SWEEPS_PER_LIMIT
            self._sweeper = loop.call_later(interval_s, self._sweep)
