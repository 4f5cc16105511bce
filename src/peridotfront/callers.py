"""HTTP/1.1 server for callers: connections, exchanges and problem answers."""

import asyncio
import json
import logging
import math
import socket
import ssl
import struct
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from email.utils import formatdate
from enum import Enum, auto
from http import HTTPStatus
from typing import NamedTuple

import h11

from .core.verdicts import Reason, Refusal, Verdict
from .exceptions import CallerGone, InvalidRequest
from .http_messages import Header, HttpRequest, decode_headers, encode_headers

__all__ = ["Exchange", "Header", "HttpLimits", "HttpRequest", "HttpServer", "problem"]

LINGER_MS = 500
SWEEP_INTERVAL_MS = 250
SWEEPS_PER_LIMIT = 4
MIN_BYTES_PER_CHUNK = 32
FREE_CHUNKS = 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bounds what one caller, and all callers together, may use.

    :param idle_ms: how long a kept connection may wait for its next request.
    :param request_ms: from the first byte of a request to its last.
    :param write_ms: how long a caller may leave a full write buffer unread.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    connections: int = 1000
    idle_ms: int = 60_000
    request_ms: int = 15_000
    write_ms: int = 30_000
    write_buffer_bytes: int = 64 * 1024


class Problem(NamedTuple):
    """Holds a problem answer in the form that ``Exchange.respond`` takes."""

    headers: tuple[Header, ...]
    body: bytes


def problem(status_code: int, refusal: Refusal, request_id: str = "") -> Problem:
    """Describe a refusal as ``application/problem+json``.

    :param status_code: HTTP status of the answer.
    :param refusal: verdict, reason and when coming back makes sense.
    :param request_id: id of the request; empty if it got none.
    :return: headers and body for ``Exchange.respond``.
    """
    content = {
        "type": "about:blank",
        "title": HTTPStatus(status_code).phrase,
        "status": status_code,
        "verdict": refusal.verdict.value,
        "reason": refusal.reason.value,
        "request_id": request_id,
        "retry_after_ms": refusal.retry_after_ms,
        "detail": refusal.detail,
    }
    headers = [Header("content-type", "application/problem+json")]
    if refusal.retry_after_ms > 0:
        retry_after_s = math.ceil(refusal.retry_after_ms / 1000)
        headers.append(Header("retry-after", str(retry_after_s)))
    return Problem(tuple(headers), json.dumps(content).encode())


class _Phase(Enum):
    IDLE = auto()
    READING = auto()
    RUNNING = auto()
    CLOSING = auto()


class Exchange:
    """Is one request of a caller and the answer to it.

    Answer either by :meth:`respond`, or by :meth:`start`, any number of
    :meth:`write` and :meth:`finish`.

    :param request: the whole request.
    """

    def __init__(self, request: HttpRequest, connection: "_Connection"):
        self.request = request
        self.gone = asyncio.Event()
        self.is_started = False
        self.is_finished = False
        self._connection = connection

    async def respond(
        self, status_code: int, headers: Iterable[tuple[str, str]] = (), body=b""
    ) -> None:
        """Send a whole answer.

        :raises CallerGone: if the caller's connection is closed.
        """
        fields = [*headers, ("content-length", str(len(body)))]
        self._begin(status_code, fields)
        await self._connection.send_data(body)
        await self.finish()

    async def refuse(
        self, status_code: int, refusal: Refusal, request_id: str = ""
    ) -> None:
        """Send a problem answer.

        :raises CallerGone: if the caller's connection is closed.
        """
        await self.respond(status_code, *problem(status_code, refusal, request_id))

    async def start(
        self, status_code: int, headers: Iterable[tuple[str, str]] = ()
    ) -> None:
        """Send status and headers of an answer in chunks.

        :raises CallerGone: if the caller's connection is closed.
        """
        self._begin(status_code, list(headers))

    async def write(self, data: bytes) -> None:
        """Send a piece of the answer; waits while the caller reads slowly.

        :raises CallerGone: if the caller's connection is closed.
        """
        await self._connection.send_data(data)

    async def finish(self) -> None:
        """End the answer; the connection may then serve the next request.

        :raises CallerGone: if the caller's connection is closed.
        """
        self.is_finished = True
        self._connection.end_answer()

    def abort(self) -> None:
        """Cut the connection after what was written, so that the cut is seen."""
        if not self.is_finished:
            self.is_finished = True
            self._connection.cut()

    def _begin(self, status_code: int, headers: list[tuple[str, str]]) -> None:
        self._connection.begin_answer(status_code, headers)
        self.is_started = True


Handler = Callable[[Exchange], Awaitable[None]]


class _Connection(asyncio.Protocol):
    """Serves the requests of one connection, one after the other."""

    def __init__(self, server: "HttpServer"):
        self.deadline_s = math.inf
        self.phase = _Phase.IDLE
        self._server = server
        self._limits = server.limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.header_bytes
        )
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._exchange: Exchange | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._chunk_count = 0
        self._early_bytes = 0
        self._pending = b""

    # Events of the transport.

    def connection_made(self, transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=self._limits.write_buffer_bytes)
        self._set_deadline(self._limits.idle_ms)
        if not self._server.admit(self):
            refusal = Refusal(
                Verdict.NOT_RUN, Reason.OVERLOADED, 1000, "too many connections"
            )
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, refusal)

    def data_received(self, data: bytes) -> None:
        if self.phase is _Phase.CLOSING:
            return
        self._http.receive_data(data)
        if self.phase is _Phase.RUNNING:
            self._hold_early(len(data))
            return
        if self.phase is _Phase.IDLE:
            self._begin_reading()
        self._read_events()

    def eof_received(self) -> bool:
        if self.phase is not _Phase.READING:
            return False
        self._http.receive_data(b"")
        self._read_events()
        return self._transport.get_extra_info("sslcontext") is None

    def connection_lost(self, exc) -> None:
        self.phase = _Phase.CLOSING
        self._writable.set()
        self._server.forget(self)
        if self._exchange is not None:
            self._exchange.gone.set()

    def pause_writing(self) -> None:
        self._writable.clear()
        self._set_deadline(self._limits.write_ms)

    def resume_writing(self) -> None:
        self._writable.set()
        if self.phase is _Phase.RUNNING:
            self.deadline_s = math.inf

    # Reading requests.

    def _begin_reading(self) -> None:
        self.phase = _Phase.READING
        self._set_deadline(self._limits.request_ms)

    def _hold_early(self, size_bytes: int) -> None:
        self._early_bytes += size_bytes
        if self._early_bytes > self._limits.header_bytes:
            self._transport.pause_reading()

    def _read_events(self) -> None:
        while self.phase is _Phase.READING:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse_malformed(error)
                return
            if event is h11.NEED_DATA:
                self._continue_if_asked()
                return
            self._take(event)

    def _take(self, event) -> None:
        if isinstance(event, h11.Data):
            self._take_data(event.data)
        elif isinstance(event, h11.Request):
            self._take_head(event)
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch()
        else:
            self._close()

    def _take_head(self, head: h11.Request) -> None:
        size_bytes = len(head.target) + sum(len(k) + len(v) for k, v in head.headers)
        if size_bytes > self._limits.header_bytes:
            self._refuse_size(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            self._refuse_invalid("both Content-Length and Transfer-Encoding")
            return
        self._head = head
        lengths = (int(v) for k, v in head.headers if k == b"content-length")
        if next(lengths, 0) > self._limits.body_bytes:
            self._refuse_size(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def _take_data(self, data: bytes) -> None:
        self._body += data
        self._chunk_count += 1
        if len(self._body) > self._limits.body_bytes:
            self._refuse_size(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif self._chunk_count > FREE_CHUNKS + len(self._body) / MIN_BYTES_PER_CHUNK:
            self._refuse_invalid("the chunks of the body are too small")

    def _continue_if_asked(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            answer = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._http.send(answer))

    def _dispatch(self) -> None:
        target = self._head.target.decode("ascii")
        path, _, query = target.partition("?")
        request = HttpRequest(
            method=self._head.method.decode("ascii"),
            target=target,
            path=path,
            query=query,
            headers=decode_headers(self._head.headers),
            body=bytes(self._body),
        )
        self._body = bytearray()
        self._chunk_count = 0
        self._early_bytes = len(self._http.trailing_data[0])
        self.phase = _Phase.RUNNING
        self.deadline_s = math.inf
        self._exchange = Exchange(request, self)
        self._server.run(self._exchange)

    # Refusing requests that never reach the handler.

    def _refuse_malformed(self, error: h11.RemoteProtocolError) -> None:
        if error.error_status_hint == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
            self._refuse_size(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        self._refuse_invalid("malformed HTTP")

    def _refuse_invalid(self, detail: str) -> None:
        refusal = Refusal(Verdict.NOT_RUN, Reason.INVALID_REQUEST, detail=detail)
        self._refuse(HTTPStatus.BAD_REQUEST, refusal)

    def _refuse_size(self, status_code: int) -> None:
        refusal = Refusal(Verdict.NOT_RUN, Reason.TOO_LARGE, detail="too large")
        self._refuse(status_code, refusal)

    def _refuse(self, status_code: int, refusal: Refusal) -> None:
        headers, body = problem(status_code, refusal)
        fields = [
            *headers,
            ("content-length", str(len(body))),
            ("connection", "close"),
        ]
        response = h11.Response(status_code=status_code, headers=encode_headers(fields))
        try:
            parts = [self._http.send(response)]
            if self._head is None or self._head.method != b"HEAD":
                parts.append(self._http.send(h11.Data(data=body)))
            parts.append(self._http.send(h11.EndOfMessage()))
        except h11.LocalProtocolError:
            self._close()
            return
        self._transport.write(b"".join(parts))
        self._linger()

    # Sending answers.

    def begin_answer(self, status_code: int, headers: list[tuple[str, str]]) -> None:
        """Queue status and headers; they leave with the data that follows."""
        self._check_caller()
        fields = encode_headers(headers)
        fields.append((b"date", self._server.date()))
        if self._server.is_draining:
            fields.append((b"connection", b"close"))
        response = h11.Response(status_code=status_code, headers=fields)
        self._pending = self._http.send(response)
        self._loop.call_soon(self._flush)

    async def send_data(self, data: bytes) -> None:
        """Send a piece of the body, in slices of the write buffer."""
        slice_bytes = self._limits.write_buffer_bytes
        if len(data) <= slice_bytes:
            await self._send_slice(data)
            return
        view = memoryview(data)
        for offset in range(0, len(data), slice_bytes):
            await self._send_slice(view[offset : offset + slice_bytes])

    async def _send_slice(self, data) -> None:
        self._check_caller()
        if self._head.method != b"HEAD":
            encoded = self._http.send(h11.Data(data=bytes(data)))
            self._pending += encoded or b""
        self._flush()
        if not self._writable.is_set():
            await self._writable.wait()
            self._check_caller()

    def end_answer(self) -> None:
        """End the answer and go on with the next request, or close."""
        self._check_caller()
        self._pending += self._http.send(h11.EndOfMessage()) or b""
        self._flush()
        self._exchange = None
        if self._server.is_draining or self._http.our_state is not h11.DONE:
            self._linger()
            return
        self._http.start_next_cycle()
        self._head = None
        self._next_request()

    def cut(self) -> None:
        """Close after what was written, without the end of the answer."""
        if self.phase is _Phase.CLOSING:
            return
        self._flush()
        if self._http.their_http_version != b"1.1":
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._close()

    def _next_request(self) -> None:
        self._transport.resume_reading()
        if self._early_bytes:
            self._begin_reading()
            self._read_events()
            return
        self.phase = _Phase.IDLE
        self._set_deadline(self._limits.idle_ms)

    def _check_caller(self) -> None:
        if self.phase is not _Phase.RUNNING or self._transport.is_closing():
            raise CallerGone("the caller closed its connection")

    def _flush(self) -> None:
        if self._pending:
            self._transport.write(self._pending)
            self._pending = b""

    # Closing.

    def is_overdue(self, now_s: float) -> bool:
        """Tell whether the deadline of the present phase has passed."""
        return now_s >= self.deadline_s

    def expire(self) -> None:
        """End what took too long."""
        if self.phase is _Phase.READING:
            refusal = Refusal(
                Verdict.NOT_RUN, Reason.DEADLINE, detail="the request came too slowly"
            )
            self._refuse(HTTPStatus.REQUEST_TIMEOUT, refusal)
        elif self.phase is _Phase.IDLE:
            self._close()
        else:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close a connection on which no request has begun."""
        if self.phase is _Phase.IDLE:
            self._close()

    def abort(self) -> None:
        """Close at once."""
        self._transport.abort()

    def _linger(self) -> None:
        # Closing with unread bytes would reset the connection and lose the answer.
        self.phase = _Phase.CLOSING
        if self._transport.can_write_eof():
            self._transport.write_eof()
            self._transport.resume_reading()
            self._set_deadline(LINGER_MS)
            return
        self._close()

    def _close(self) -> None:
        self.phase = _Phase.CLOSING
        self._set_deadline(self._limits.write_ms)
        self._transport.close()

    def _set_deadline(self, delay_ms: int) -> None:
        self.deadline_s = self._loop.time() + delay_ms / 1000


class HttpServer:
    """Serves callers over HTTP/1.1.

    :param handler: async function called once for each whole request.
    :param limits: bounds on sizes, times and connections.
    :param ssl_context: for TLS; None serves plain TCP.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits | None = None,
        ssl_context: ssl.SSLContext | None = None,
    ):
        self.limits = limits or HttpLimits()
        self.is_draining = False
        self._handler = handler
        self._ssl_context = ssl_context
        self._listener: asyncio.Server | None = None
        self._open: set[_Connection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._sweeper: asyncio.TimerHandle | None = None
        self._date = (0, b"")

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._listener.sockets[0].getsockname()[1]

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    @property
    def requests_in_progress(self) -> int:
        """Return the number of requests whose handler has not returned."""
        return len(self._tasks)

    async def start(self, host_ip: str, port: int = 0) -> None:
        """Listen on an address; port 0 lets the kernel choose.

        :raises OSError: if the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _Connection(self), host_ip, port, ssl=self._ssl_context
        )
        self._sweep()

    def close_listener(self) -> None:
        """Accept no more connections."""
        if self._listener is not None:
            self._listener.close()

    async def drain(self, timeout_ms: int) -> bool:
        """Close each connection after its next answer; wait for those in progress.

        :param timeout_ms: how long to wait.
        :return: whether every request in progress was finished.
        """
        self.is_draining = True
        deadline_s = asyncio.get_running_loop().time() + timeout_ms / 1000
        while self._tasks:
            left_s = deadline_s - asyncio.get_running_loop().time()
            if left_s <= 0:
                return False
            await asyncio.wait(set(self._tasks), timeout=left_s)
        return True

    async def close(self) -> None:
        """Stop at once: cancel what is in progress and close every connection."""
        self.close_listener()
        if self._sweeper is not None:
            self._sweeper.cancel()
        tasks = set(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for connection in list(self._open):
            connection.abort()
        while self._open:
            await asyncio.sleep(0)

    def admit(self, connection: _Connection) -> bool:
        """Record a connection; false if there are too many."""
        self._open.add(connection)
        return len(self._open) <= self.limits.connections

    def forget(self, connection: _Connection) -> None:
        """Drop a closed connection."""
        self._open.discard(connection)

    def run(self, exchange: Exchange) -> None:
        """Start the handler on a request."""
        task = asyncio.get_running_loop().create_task(self._handle(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def date(self) -> bytes:
        """Return the value of the Date header."""
        now_s = int(time.time())
        if self._date[0] != now_s:
            self._date = (now_s, formatdate(now_s, usegmt=True).encode())
        return self._date[1]

    async def _handle(self, exchange: Exchange) -> None:
        try:
            await self._handler(exchange)
        except CallerGone:
            pass
        except InvalidRequest as error:
            refusal = Refusal(error.verdict, error.reason, detail=str(error))
            await self._refuse(exchange, HTTPStatus.BAD_REQUEST, refusal)
        except Exception:
            logger.exception("the handler of a request failed")
        finally:
            await self._complete(exchange)

    async def _complete(self, exchange: Exchange) -> None:
        if exchange.is_started:
            exchange.abort()
            return
        refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.NONE, detail="an internal error")
        await self._refuse(exchange, HTTPStatus.INTERNAL_SERVER_ERROR, refusal)

    async def _refuse(
        self, exchange: Exchange, status_code: int, refusal: Refusal
    ) -> None:
        if exchange.is_started:
            return
        try:
            await exchange.refuse(status_code, refusal)
        except CallerGone:
            return

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        for connection in [c for c in self._open if c.is_overdue(now_s)]:
            connection.expire()
        limits = self.limits
        shortest_ms = min(limits.idle_ms, limits.request_ms, limits.write_ms)
        interval_ms = min(SWEEP_INTERVAL_MS, shortest_ms / SWEEPS_PER_LIMIT)
        self._sweeper = loop.call_later(interval_ms / 1000, self._sweep)
