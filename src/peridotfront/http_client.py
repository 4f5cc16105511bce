"""HTTP/1.1 client: kept connections, deadlines and verdicts."""

import asyncio
import ssl
from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from ipaddress import ip_address

import h11

from .exceptions import ConnectFailed, InvalidRequest
from .http_messages import decode_headers, encode_headers, without_hop_headers
from .upstream_connections import ClientLimits, UpstreamAnswer, UpstreamConnection

__all__ = ["ClientLimits", "HttpClient", "UpstreamAnswer", "UpstreamTimeouts"]

SWEEPS_PER_LIMIT = 4
OWN_HEADERS = ("host", "content-length", "expect")


@dataclass(frozen=True, slots=True)
class UpstreamTimeouts:
    """Bounds the steps of one call.

    :param first_byte_ms: from the request being sent to the answer's headers.
    :param between_bytes_ms: silence within the answer.
    """

    connect_ms: int = 1_000
    first_byte_ms: int = 30_000
    between_bytes_ms: int = 30_000


class HttpClient:
    """Sends requests to upstreams over HTTP/1.1.

    A request is handed to a socket at most once: the client never repeats it.

    :param limits: bounds on kept connections and buffers.
    :param ssl_context: for TLS; None uses plain TCP.
    """

    def __init__(
        self,
        limits: ClientLimits | None = None,
        ssl_context: ssl.SSLContext | None = None,
    ):
        self.limits = limits or ClientLimits()
        self._ssl_context = ssl_context
        self._kept: dict[str, deque[UpstreamConnection]] = defaultdict(deque)
        self._open: set[UpstreamConnection] = set()
        self._sweeper: asyncio.TimerHandle | None = None

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
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

        :param address: IP number and port.
        :param target: path and query.
        :param headers: may be those of a caller's request; what belongs to its
            connection, its host and its length are replaced.
        :param host: for the Host header; the address if not given.
        :param before_send: called right before the request is handed to the
            socket; what it raises ends the call, which is then not run.
        :return: the answer; read it to its end or cancel it.
        :raises ConnectFailed: not one byte was handed to a socket (not run).
        :raises UpstreamDied: the connection closed before the answer.
        :raises UpstreamTimedOut: the answer did not begin in time.
        :raises AnswerMalformed: the answer is no valid HTTP.
        :raises InvalidRequest: the request cannot be written as HTTP (not run).
        """
        timeouts = timeouts or UpstreamTimeouts()
        request = self._request(host or address, method, target, headers, body)
        connection = self._take_kept(address)
        if connection is None:
            connection = await self._connect(address, timeouts.connect_ms)
        try:
            if before_send is not None:
                before_send()
            connection.send(request, body, timeouts.first_byte_ms)
            head = await connection.receive_head(timeouts.between_bytes_ms)
        except BaseException:
            connection.close()
            raise
        return UpstreamAnswer(
            head.status_code, decode_headers(head.headers), connection
        )

    async def close(self) -> None:
        """Close every connection."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self._open):
            connection.close()
        while self._open:
            await asyncio.sleep(0)

    def keep(self, connection: UpstreamConnection) -> None:
        """Keep an idle connection for the next call."""
        kept = self._kept[connection.address]
        if len(kept) >= self.limits.max_idle_connections:
            connection.close()
            return
        now_s = asyncio.get_running_loop().time()
        connection.kept_until_s = now_s + connection.idle_limit_ms / 1000
        kept.append(connection)
        if self._sweeper is None:
            self._sweep()

    def forget(self, connection: UpstreamConnection) -> None:
        """Drop a closed connection."""
        self._open.discard(connection)
        kept = self._kept.get(connection.address)
        if kept is None:
            return
        if connection in kept:
            kept.remove(connection)
        if not kept:
            del self._kept[connection.address]

    @staticmethod
    def _request(host, method, target, headers, body) -> h11.Request:
        passed = without_hop_headers(headers)
        fields = [(k, v) for k, v in passed if k.lower() not in OWN_HEADERS]
        fields.append(("host", host))
        if body or method not in ("GET", "HEAD", "DELETE"):
            fields.append(("content-length", str(len(body))))
        try:
            return h11.Request(
                method=method, target=target, headers=encode_headers(fields)
            )
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            raise InvalidRequest(str(error)) from error

    def _take_kept(self, address: str) -> UpstreamConnection | None:
        kept = self._kept.get(address)
        now_s = asyncio.get_running_loop().time()
        while kept:
            connection = kept.pop()
            is_fresh = now_s < connection.kept_until_s
            if is_fresh and connection.is_usable and connection.is_silent:
                return connection
            connection.close()
        return None

    async def _connect(self, address: str, connect_ms: int) -> UpstreamConnection:
        host_ip, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            # A name would be looked up in another thread.
            host_ip = str(ip_address(host_ip.strip("[]")))
            async with asyncio.timeout(connect_ms / 1000):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self, address),
                    host_ip,
                    int(port),
                    ssl=self._ssl_context,
                )
        except (OSError, OverflowError, ValueError) as error:
            raise ConnectFailed(f"cannot connect: {error}", address) from error
        self._open.add(connection)
        if not connection.is_usable:
            connection.close()
            raise ConnectFailed("closed at once", address)
        return connection

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        for kept in list(self._kept.values()):
            for connection in [c for c in kept if c.kept_until_s <= now_s]:
                kept.remove(connection)
                connection.close()
        self._sweeper = None
        if any(self._kept.values()):
            interval_s = self.limits.keep_alive_ms / 1000 / SWEEPS_PER_LIMIT
            self._sweeper = loop.call_later(interval_s, self._sweep)
