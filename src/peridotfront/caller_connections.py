"""Server side of callers' connections: parsing, writing and time limits."""

import asyncio
import contextlib
import fcntl
import math
import select
import socket
import struct
import termios
from collections import Counter
from enum import Enum, StrEnum, auto
from http import HTTPStatus
from typing import Protocol

import h11

from . import logs
from .core.verdicts import Reason, Refusal, Verdict
from .exceptions import CallerGone
from .exchanges import Exchange, HttpLimits
from .http_messages import (
    HttpRequest,
    decode_headers,
    encode_headers,
    origin_target,
    without_hop_headers,
)
from .problems import problem
from .runtime import now_ms

LINGER_MS = 500
# Callers send their first request right after they have connected.
FIRST_REQUEST_MS = 100
DELIVERY_POLL_MS = 5
MIN_BYTES_PER_CHUNK = 32
SMALL_CHUNK_ALLOWANCE = 1024
MAX_WIRE_BYTES_PER_BODY_BYTE = 2
OVERLOAD_RETRY_MS = 1000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ConnectionOwner(Protocol):
    """Interface of the server as its connections use it."""

    limits: HttpLimits
    is_draining: bool
    buffered_body_bytes: int
    refusals: Counter[int]

    def admit(self, connection: "CallerConnection") -> bool:
        """Register a connection; return false if there are too many."""

    def remove(self, connection: "CallerConnection") -> None:
        """Remove a closed connection."""

    def run(self, exchange: Exchange) -> None:
        """Start the handler for a request."""

    def date(self) -> bytes:
        """Return the value of the Date header."""


class _Phase(Enum):
    IDLE = auto()
    READING = auto()
    RUNNING = auto()
    CLOSING = auto()


class CloseCause(StrEnum):
    """Reasons for which this host closes a caller's connection."""

    NONE = "none"
    IDLE = "idle"
    DRAINING = "draining"
    LAST_ANSWER = "last_answer"
    TRUNCATED = "truncated"
    REFUSED = "refused"
    PROTOCOL = "protocol"


class CallerConnection(asyncio.Protocol):
    """Protocol that serves the requests of one connection in sequence.

    A caller that closes its sending side counts as disconnected.
    """

    def __init__(self, server: ConnectionOwner):
        self.idle_since_s = math.inf
        self._phase = _Phase.IDLE
        self._server = server
        self._limits = server.limits
        self._loop = asyncio.get_running_loop()
        self._http = self._build_parser()
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._began_ms = 0
        self._phase_deadline_s = math.inf
        self._write_deadline_s = math.inf
        self._unsent_bytes = 0
        self._exchange: Exchange | None = None
        self._head: h11.Request | None = None
        self._target = ""
        self._body = bytearray()
        self._counted_body_bytes = 0
        self._chunk_count = 0
        self._wire_bytes = 0
        self._has_received_eof = False
        self._is_paused = False
        self._pending_output: list[bytes] = []
        self._request_count = 0
        self._close_cause = CloseCause.NONE
        self._closing_since_ms = 0

    @property
    def slice_bytes(self) -> int:
        """Return the maximum number of bytes for one call of :meth:`send_data`."""
        return self._limits.write_buffer_bytes

    @property
    def is_writable(self) -> bool:
        """Return whether the write buffer has room."""
        return self._writable.is_set()

    @property
    def is_idle(self) -> bool:
        """Return whether the connection waits for a request."""
        return self._phase is _Phase.IDLE

    # Callbacks of the transport.

    def connection_made(self, transport) -> None:
        """Wait for the first request, or refuse if there are too many connections."""
        self._transport = transport
        transport.set_write_buffer_limits(high=self._limits.write_buffer_bytes)
        self._set_idle()
        if not self._server.admit(self):
            self._refuse_overload("too many connections")

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; stop reading if too many arrive during a request."""
        if self._phase is _Phase.CLOSING:
            self._log_dropped(data)
            return
        if self._phase is _Phase.IDLE:
            self._renew_limits()
            self._begin_reading()
        self._http.receive_data(data)
        self._wire_bytes += len(data)
        if self._phase is _Phase.RUNNING:
            if self._wire_bytes > self._limits.max_header_bytes:
                self._pause_reading()
            return
        self._process_events()

    def _log_dropped(self, data: bytes) -> None:
        logs.write_rate_limited(
            "caller_bytes_dropped",
            size_bytes=len(data),
            cause=self._close_cause,
            closing_ms=now_ms() - self._closing_since_ms,
            requests=self._request_count,
        )

    def eof_received(self) -> bool:
        """Handle the end of the caller's sending side.

        :return: whether the transport stays open, so that a request which was cut
            short can be refused.
        """
        if self._phase is not _Phase.READING:
            # The transport closes only after the unsent output, which may take long.
            if self._exchange is not None:
                self._exchange.gone.set()
            return False
        self._has_received_eof = True
        self._http.receive_data(b"")
        self._process_events()
        return self._transport.get_extra_info("sslcontext") is None

    def connection_lost(self, exc) -> None:
        """Signal the handler that the caller has disconnected."""
        self._phase = _Phase.CLOSING
        self._writable.set()
        self._server.remove(self)
        self._release_body()
        if self._exchange is not None:
            self._exchange.gone.set()

    def pause_writing(self) -> None:
        """Block writers, since the write buffer is full."""
        self._writable.clear()
        self._start_write_timeout()

    def resume_writing(self) -> None:
        """Unblock writers, since the write buffer has room."""
        self._writable.set()
        self._write_deadline_s = math.inf

    # Reading requests.

    def _build_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
        )

    def _renew_limits(self) -> None:
        """Read the next request under the limits that are in force now."""
        if self._limits != self._server.limits:
            self._limits = self._server.limits
            self._http = self._build_parser()

    def _set_idle(self) -> None:
        self._phase = _Phase.IDLE
        self.idle_since_s = self._loop.time()
        self._phase_deadline_s = self._idle_end_s()

    def _idle_end_s(self) -> float:
        """Return the end of the idle time.

        Of the limits of the last request and now the longer one counts: the caller may
        not know the new one yet.
        """
        limit_ms = max(
            self._limits.idle_timeout_ms, self._server.limits.idle_timeout_ms
        )
        return self.idle_since_s + limit_ms / 1000

    def _begin_reading(self) -> None:
        self._phase = _Phase.READING
        self._began_ms = now_ms()
        self._phase_deadline_s = (
            self._loop.time() + self._limits.request_timeout_ms / 1000
        )

    def _process_events(self) -> None:
        while self._phase is _Phase.READING:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse_malformed(error)
                return
            if event is h11.NEED_DATA:
                self._handle_need_data()
                return
            self._handle_event(event)

    def _handle_event(self, event) -> None:
        if isinstance(event, h11.Data):
            self._handle_data(event.data)
        elif isinstance(event, h11.Request):
            self._handle_head(event)
        elif isinstance(event, h11.EndOfMessage):
            self._start_handler()
        else:
            self._close(CloseCause.PROTOCOL)

    def _handle_head(self, head: h11.Request) -> None:
        self._head = head
        size_bytes = len(head.target) + sum(len(k) + len(v) for k, v in head.headers)
        if size_bytes > self._limits.max_header_bytes:
            self._refuse_long_header()
            return
        fields = dict(head.headers)
        if b"transfer-encoding" in fields and b"content-length" in fields:
            self._refuse_invalid("both Content-Length and Transfer-Encoding")
            return
        self._target = origin_target(head.target.decode("ascii"))
        if not self._target:
            self._refuse_invalid("the target is not a path")
            return
        if int(fields.get(b"content-length", 0)) > self._limits.max_body_bytes:
            self._refuse_long_body()

    def _handle_data(self, data: bytes) -> None:
        self._body += data
        self._counted_body_bytes += len(data)
        self._server.buffered_body_bytes += len(data)
        self._chunk_count += 1
        if len(self._body) > self._limits.max_body_bytes:
            self._refuse_long_body()
        elif self._server.buffered_body_bytes > self._limits.max_total_body_bytes:
            self._refuse_overload("too many long bodies")
        elif (
            self._chunk_count
            > SMALL_CHUNK_ALLOWANCE + len(self._body) / MIN_BYTES_PER_CHUNK
        ):
            self._refuse_invalid("the chunks of the body are too small")

    def _release_body(self) -> None:
        self._server.buffered_body_bytes -= self._counted_body_bytes
        self._counted_body_bytes = 0

    def _handle_need_data(self) -> None:
        max_body_wire_bytes = MAX_WIRE_BYTES_PER_BODY_BYTE * self._limits.max_body_bytes
        if self._wire_bytes > self._limits.max_header_bytes + max_body_wire_bytes:
            self._refuse_long_body()
        elif self._http.they_are_waiting_for_100_continue:
            answer = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._http.send(answer))

    def _start_handler(self) -> None:
        path, _, query = self._target.partition("?")
        request = HttpRequest(
            method=self._head.method.decode("ascii"),
            target=self._target,
            path=path,
            query=query,
            headers=decode_headers(self._head.headers),
            body=bytes(self._body),
        )
        self._body = bytearray()
        self._chunk_count = 0
        self._wire_bytes = len(self._http.trailing_data[0])
        self._phase = _Phase.RUNNING
        self._phase_deadline_s = math.inf
        self._request_count += 1
        self._exchange = Exchange(request, self, self._began_ms)
        self._server.run(self._exchange)

    # Refusing requests that never reach the handler.

    def _refuse_malformed(self, error: h11.RemoteProtocolError) -> None:
        if error.error_status_hint == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
            self._refuse_long_header()
            return
        self._refuse_invalid("malformed HTTP")

    def _refuse_invalid(self, detail: str) -> None:
        self._refuse(HTTPStatus.BAD_REQUEST, Reason.INVALID_REQUEST, detail)

    def _refuse_long_header(self) -> None:
        status_code = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        self._refuse(status_code, Reason.TOO_LARGE, "the header is too long")

    def _refuse_long_body(self) -> None:
        status_code = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        self._refuse(status_code, Reason.TOO_LARGE, "the body is too long")

    def _refuse_overload(self, detail: str) -> None:
        status_code = HTTPStatus.SERVICE_UNAVAILABLE
        self._refuse(status_code, Reason.OVERLOADED, detail, OVERLOAD_RETRY_MS)

    def _refuse(
        self, status_code: int, reason: Reason, detail: str, retry_after_ms: int = 0
    ) -> None:
        self._server.refusals[int(status_code)] += 1
        refusal = Refusal(Verdict.NOT_RUN, reason, retry_after_ms, detail)
        headers, body = problem(status_code, refusal)
        length = ("content-length", str(len(body)))
        fields = encode_headers([*headers, length, ("connection", "close")])
        fields.append((b"date", self._server.date()))
        response = h11.Response(status_code=status_code, headers=fields)
        parts = [self._http.send(response)]
        if self._head is None or self._head.method != b"HEAD":
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._transport.write(b"".join(parts))
        self._close_after_linger(CloseCause.REFUSED)

    # Sending answers.

    def begin_answer(self, status_code: int, headers) -> None:
        """Queue status and headers, to be sent together with the first data."""
        self._check_connected()
        fields = encode_headers(without_hop_headers(headers))
        fields.append((b"date", self._server.date()))
        if self._server.is_draining and not self._wire_bytes:
            # A next request is answered if it was read by now, else it stays unread.
            fields.append((b"connection", b"close"))
            self._pause_reading()
        response = h11.Response(status_code=status_code, headers=fields)
        self._pending_output.append(self._http.send(response))

    def send_data(self, data: bytes) -> None:
        """Write a chunk of the body to the transport."""
        self._check_connected()
        if self._head.method != b"HEAD":
            self._pending_output += self._http.send_with_data_passthrough(
                h11.Data(data=data)
            )
        self.flush()

    async def wait_writable(self) -> None:
        """Wait until the write buffer has room.

        :raises CallerGone: if the caller's connection is closed.
        """
        await self._writable.wait()
        self._check_connected()

    def end_answer(self) -> None:
        """End the answer; start the next request or close the connection."""
        self._check_connected()
        self._pending_output.append(self._http.send(h11.EndOfMessage()) or b"")
        self.flush()
        self._exchange = None
        self._release_body()
        if self._server.is_draining and not self._wire_bytes:
            self._close_unread(CloseCause.DRAINING)
            return
        if self._http.our_state is not h11.DONE:
            self._half_close(CloseCause.LAST_ANSWER)
            return
        self._http.start_next_cycle()
        self._head = None
        self._start_next_request()

    def truncate(self) -> None:
        """Send the pending output and close without the end of the answer."""
        if self._phase is _Phase.CLOSING:
            return
        self.flush()
        if self._http.their_http_version == b"1.1":
            self._close(CloseCause.TRUNCATED)
            return
        # An HTTP/1.0 caller can detect a truncated answer only by a reset.
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        if self._transport.get_extra_info("ssl_object") is None:
            self._close(CloseCause.TRUNCATED)
            return
        # A regular close would end TLS, which ends such an answer.
        self._transport.abort()

    def flush_soon(self) -> None:
        """Send queued headers in the next loop iteration, if no data does earlier."""
        self._loop.call_soon(self.flush)

    def flush(self) -> None:
        """Write all queued output to the transport."""
        if self._pending_output:
            self._transport.write(b"".join(self._pending_output))
            self._pending_output.clear()

    def _start_next_request(self) -> None:
        self._resume_reading()
        if self._wire_bytes:
            self._begin_reading()
            self._process_events()
            return
        self._set_idle()

    def _pause_reading(self) -> None:
        self._is_paused = True
        self._transport.pause_reading()

    def _resume_reading(self) -> None:
        self._is_paused = False
        self._transport.resume_reading()

    def _has_caller_closed(self) -> bool:
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket"), select.POLLRDHUP)
        return bool(poll.poll(0))

    def _check_connected(self) -> None:
        if self._phase is not _Phase.RUNNING or self._transport.is_closing():
            raise CallerGone("the caller closed its connection")

    # Deadlines and closing.

    def check_deadlines(self, now_s: float) -> None:
        """Refuse, close or abort if a time limit has passed.

        :param now_s: current time of the event loop in seconds.
        """
        if now_s >= self._write_deadline_s:
            self._check_write_progress()
        elif now_s >= self._phase_deadline_s:
            self._handle_timeout(now_s)
        elif self._is_paused and self._has_caller_closed():
            # The transport does not detect the close while reading is paused.
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close unless a request is being read or answered.

        A new connection has a moment left for its first request.
        """
        if not self.is_idle:
            return
        age_s = self._loop.time() - self.idle_since_s
        left_s = FIRST_REQUEST_MS / 1000 - age_s
        if self._request_count == 0 and left_s > 0:
            self._loop.call_later(left_s, self.close_if_idle)
            return
        self._close_unread(CloseCause.DRAINING)

    def abort(self) -> None:
        """Close immediately and discard unsent data."""
        self._transport.abort()

    def _handle_timeout(self, now_s: float) -> None:
        if self.is_idle and now_s < self._idle_end_s():
            self._phase_deadline_s = self._idle_end_s()
        elif self._phase is _Phase.READING:
            status_code = HTTPStatus.REQUEST_TIMEOUT
            self._refuse(
                status_code, Reason.DEADLINE, "the request was not received in time"
            )
        else:
            self._close(CloseCause.IDLE)

    def _start_write_timeout(self) -> None:
        self._unsent_bytes = self._transport.get_write_buffer_size()
        self._write_deadline_s = (
            self._loop.time() + self._limits.write_timeout_ms / 1000
        )

    def _check_write_progress(self) -> None:
        if self._transport.get_write_buffer_size() < self._unsent_bytes:
            self._start_write_timeout()
            return
        self._transport.abort()

    def _close_unread(self, cause: CloseCause) -> None:
        """Close without reading on, once the caller's system has the last answer.

        A request that crosses the close stays unread, so that the caller is reset and
        knows it. A reset any sooner would lose the answer.
        """
        if self._is_delivered():
            self._close(cause)
            return
        self._begin_closing(cause)
        self._transport.pause_reading()
        self._phase_deadline_s = self._loop.time() + LINGER_MS / 1000
        self._close_when_delivered()

    def _close_when_delivered(self) -> None:
        if self._transport.is_closing():
            return
        if self._is_delivered():
            self._transport.close()
            return
        self._loop.call_later(DELIVERY_POLL_MS / 1000, self._close_when_delivered)

    def _is_delivered(self) -> bool:
        """Return whether the caller's system has acknowledged all output."""
        if self._transport.get_write_buffer_size():
            return False
        sock = self._transport.get_extra_info("socket")
        unacknowledged = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
        return not any(unacknowledged)

    def _half_close(self, cause: CloseCause) -> None:
        """Close, and read what a caller sends behind what it called its last request.

        A close with unread bytes would reset the connection and lose the answer.
        """
        if self._transport.can_write_eof():
            self._close_after_linger(cause)
        else:
            self._close(cause)

    def _close_after_linger(self, cause: CloseCause) -> None:
        # The rest of a refused request is read, or a reset would lose the refusal.
        if self._has_received_eof:
            self._close(cause)
            return
        if self._transport.can_write_eof():
            self._write_eof()
        self._begin_closing(cause)
        self._resume_reading()
        self._phase_deadline_s = self._loop.time() + LINGER_MS / 1000

    def _write_eof(self) -> None:
        # The caller may have reset the connection in the meantime.
        with contextlib.suppress(OSError):
            self._transport.write_eof()

    def _begin_closing(self, cause: CloseCause) -> None:
        if self._phase is _Phase.CLOSING:
            return
        self._phase = _Phase.CLOSING
        self._close_cause = cause
        self._closing_since_ms = now_ms()

    def _close(self, cause: CloseCause) -> None:
        self._begin_closing(cause)
        self._phase_deadline_s = math.inf
        if self._transport.get_write_buffer_size():
            self._start_write_timeout()
        self._transport.close()
