"""Server side of callers' connections: parsing, writing and time limits."""

import asyncio
import math
from http import HTTPStatus

import h11

from . import logs
from .connection_owner import ConnectionOwner
from .connection_states import (
    CloseCause,
    Phase,
    close_when_delivered,
    has_closed,
    is_delivered,
    reset_on_close,
    write_eof,
)
from .core.verdicts import Reason, Refusal, Verdict
from .exceptions import CallerGone
from .exchanges import Exchange
from .http_messages import (
    HttpRequest,
    decode_headers,
    encode_headers,
    origin_target,
    without_hop_headers,
)
from .refusal_bytes import build_refusal
from .runtime import now_ms

LINGER_MS = 500
# Callers send their first request right after they have connected.
FIRST_REQUEST_MS = 100
MIN_BYTES_PER_CHUNK = 32
SMALL_CHUNK_ALLOWANCE = 1024
MAX_WIRE_BYTES_PER_BODY_BYTE = 2
OVERLOAD_RETRY_MS = 1000
NO_ROOM = "too many bytes in progress"


class CallerConnection(asyncio.Protocol):
    """Protocol that serves the requests of one connection in sequence.

    A caller that closes its sending side counts as disconnected.
    """

    def __init__(self, server: ConnectionOwner):
        self.idle_since_s = math.inf
        self._phase = Phase.IDLE
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
        self._body: list[bytes] = []
        self._counted_body_bytes = 0
        self._answer_bytes = 0
        self.progress_s = self._loop.time()
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
        return self._phase is Phase.IDLE

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for requests and answers of the connection."""
        received_bytes = self._wire_bytes
        if self._phase is Phase.READING:
            # Bytes of the body are counted as such, once they are parsed.
            received_bytes -= min(received_bytes, self._counted_body_bytes)
        unsent_bytes = self._transport.get_write_buffer_size() + self._answer_bytes
        return received_bytes + self._counted_body_bytes + unsent_bytes

    @property
    def is_waiting(self) -> bool:
        """Return whether the connection waits for its caller."""
        return self._phase is not Phase.RUNNING or not self.is_writable

    @property
    def is_sending(self) -> bool:
        """Return whether the next request waits until the last answer is sent."""
        return self._phase is Phase.SENDING

    @property
    def has_request(self) -> bool:
        """Return whether a request has been received in full."""
        return self._request_count > 0

    # Callbacks of the transport.

    def connection_made(self, transport) -> None:
        """Wait for the first request, or refuse if there are too many connections."""
        self._transport = transport
        transport.set_write_buffer_limits(high=self._limits.write_buffer_bytes)
        self._set_idle()
        if self._server.admit(self):
            return
        if self._server.can_refuse():
            self._refuse_overload("too many connections")
        else:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; stop reading if too many arrive during a request."""
        if self._phase is Phase.CLOSING:
            self._log_dropped(data)
            return
        if self._phase is Phase.IDLE:
            self._renew_limits()
            self._begin_reading()
        self._http.receive_data(data)
        self._wire_bytes += len(data)
        if self._phase in (Phase.RUNNING, Phase.SENDING):
            if self._wire_bytes > self._limits.max_header_bytes:
                self._pause_reading()
            self._keep_within_total()
            return
        self._process_events()
        self._keep_within_total()

    def _keep_within_total(self) -> None:
        """Give up this connection if there is no room for what it sends ahead."""
        if self._has_room() or self._transport.is_closing():
            return
        if self._is_paused:
            self._server.held.close(self, "held_bytes")
        elif self._phase is Phase.READING:
            self._refuse_overload(NO_ROOM)

    def _has_room(self) -> bool:
        self._server.held.update(self)
        return self._server.held.make_room()

    def close_stalled(self) -> None:
        """Close immediately, since others need the room."""
        self._body = []
        self._transport.abort()

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
        if self._phase is not Phase.READING:
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
        self._phase = Phase.CLOSING
        self._writable.set()
        self._server.remove(self)
        self._server.held.remove(self)
        # The connection may stay until a garbage collection.
        self._body = []
        self._http = self._build_parser()
        self._release_body()
        if self._exchange is not None:
            self._exchange.gone.set()

    def pause_writing(self) -> None:
        """Block writers, since the write buffer is full."""
        self._writable.clear()
        self.progress_s = self._loop.time()
        self._start_write_timeout()

    def resume_writing(self) -> None:
        """Unblock writers, since the write buffer has room."""
        self._writable.set()
        self._write_deadline_s = math.inf
        if self._phase is Phase.SENDING:
            self.progress_s = self._loop.time()
            self._start_next_request()

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
        self._phase = Phase.IDLE
        self.idle_since_s = self._loop.time()
        self._server.held.update(self)
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
        self._phase = Phase.READING
        self.progress_s = self._loop.time()
        self._began_ms = now_ms()
        self._phase_deadline_s = (
            self._loop.time() + self._limits.request_timeout_ms / 1000
        )

    def _process_events(self) -> None:
        while self._phase is Phase.READING:
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
        self._body.append(bytes(data))
        self._counted_body_bytes += len(data)
        self._server.buffered_body_bytes += len(data)
        self._chunk_count += 1
        if self._counted_body_bytes > self._limits.max_body_bytes:
            self._refuse_long_body()
        elif self._server.buffered_body_bytes > self._limits.max_total_body_bytes:
            self._refuse_overload("too many long bodies")
        elif (
            self._chunk_count
            > SMALL_CHUNK_ALLOWANCE + self._counted_body_bytes / MIN_BYTES_PER_CHUNK
        ):
            self._refuse_invalid("the chunks of the body are too small")

    def _release_body(self) -> None:
        self._server.buffered_body_bytes -= self._counted_body_bytes
        self._counted_body_bytes = 0

    def _handle_need_data(self) -> None:
        max_body_wire_bytes = MAX_WIRE_BYTES_PER_BODY_BYTE * self._limits.max_body_bytes
        if self._wire_bytes > self._limits.max_header_bytes + max_body_wire_bytes:
            self._refuse_long_body()
            return
        if self._is_paused:
            self._resume_reading()
        if self._http.they_are_waiting_for_100_continue:
            answer = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._http.send(answer))

    def _start_handler(self) -> None:
        if not self._server.can_run():
            self._refuse_overload("too many requests in progress")
            return
        if self._counted_body_bytes and not self._has_room():
            self._refuse_overload(NO_ROOM)
            return
        path, _, query = self._target.partition("?")
        request = HttpRequest(
            method=self._head.method.decode("ascii"),
            target=self._target,
            path=path,
            query=query,
            headers=decode_headers(self._head.headers),
            body=b"".join(self._body),
        )
        self._body = []
        self._chunk_count = 0
        self._wire_bytes = len(self._http.trailing_data[0])
        if self._is_paused and self._wire_bytes <= self._limits.max_header_bytes:
            self._resume_reading()
        self._phase = Phase.RUNNING
        self.progress_s = self._loop.time()
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
        answer = build_refusal(
            self._http, self._head, status_code, refusal, self._server.date()
        )
        self._transport.write(answer)
        self._drop_received()
        self._close_after_linger(CloseCause.REFUSED)

    def _drop_received(self) -> None:
        """Free what was received; the rest of the request is read and dropped."""
        self._http = self._build_parser()
        self._body = []
        self._wire_bytes = 0
        self._release_body()
        self._server.held.update(self)

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

    def hold_answer(self, size_bytes: int) -> None:
        """Record the bytes of the answer that have yet to be passed on."""
        self._answer_bytes = size_bytes
        self._record_held()

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
        self.progress_s = self._loop.time()
        if self._server.is_draining and not self._wire_bytes:
            self._close_unread(CloseCause.DRAINING)
            return
        if self._http.our_state is not h11.DONE:
            self._half_close(CloseCause.LAST_ANSWER)
            return
        self._http.start_next_cycle()
        self._head = None
        if self.is_writable:
            self._start_next_request()
            return
        self._phase = Phase.SENDING
        self._pause_reading()

    def truncate(self) -> None:
        """Send the pending output and close without the end of the answer."""
        if self._phase is Phase.CLOSING:
            return
        self.flush()
        if self._http.their_http_version == b"1.1":
            self._close(CloseCause.TRUNCATED)
            return
        # An HTTP/1.0 caller can detect a truncated answer only by a reset.
        reset_on_close(self._transport)
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
            if self._transport.get_write_buffer_size():
                self._record_held()

    def _record_held(self) -> None:
        if self._phase is Phase.CLOSING:
            # It may be removed already.
            return
        self._has_room()

    def _start_next_request(self) -> None:
        if self._wire_bytes:
            self._begin_reading()
            self._process_events()
            return
        self._resume_reading()
        self._set_idle()

    def _pause_reading(self) -> None:
        self._is_paused = True
        self._transport.pause_reading()

    def _resume_reading(self) -> None:
        self._is_paused = False
        self._transport.resume_reading()

    def _check_connected(self) -> None:
        if self._phase is not Phase.RUNNING or self._transport.is_closing():
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
        elif self._is_paused and has_closed(self._transport):
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
        elif self._phase is Phase.READING:
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
        if is_delivered(self._transport):
            self._close(cause)
            return
        self._begin_closing(cause)
        self._transport.pause_reading()
        self._phase_deadline_s = self._loop.time() + LINGER_MS / 1000
        close_when_delivered(self._transport, self._loop)

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
            write_eof(self._transport)
        self._begin_closing(cause)
        self._resume_reading()
        self._phase_deadline_s = self._loop.time() + LINGER_MS / 1000

    def _begin_closing(self, cause: CloseCause) -> None:
        if self._phase is Phase.CLOSING:
            return
        self._phase = Phase.CLOSING
        self._close_cause = cause
        self._closing_since_ms = now_ms()

    def _close(self, cause: CloseCause) -> None:
        self._begin_closing(cause)
        self._phase_deadline_s = math.inf
        if self._transport.get_write_buffer_size():
            self._start_write_timeout()
        self._transport.close()
