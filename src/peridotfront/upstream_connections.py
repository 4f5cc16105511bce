"""Client side of connections to upstreams, and the answers on them."""

import asyncio
import contextlib
import fcntl
import math
import re
import select
import socket
import ssl
import struct
import termios
from copy import copy
from dataclasses import dataclass
from typing import Protocol

import h11

from .answer_budget import AnswerBudget
from .exceptions import (
    AnswerMalformed,
    AnswerTooLarge,
    AnswerTruncated,
    RelayLost,
    UpstreamDied,
    UpstreamTimedOut,
)
from .turns import Turns

PROBE_AFTER_S = 1
PROBE_INTERVAL_S = 1
PROBES = 3
UNACKNOWLEDGED_MS = 3000
KEEP_ALIVE_MARGIN_MS = 1000
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d{1,6})")
EVENTS_PER_TURN = 32
# An upstream that has ended its answer may read the rest of the request for so long.
REQUEST_END_MS = 1000
REQUEST_POLL_MS = 20
MAX_STATUS_CODE = 599


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the connections and buffers of a client.

    :param max_header_bytes: size limit for the header of an answer.
    :param max_idle_connections: limit on idle connections to one address.
    :param keep_alive_ms: time limit for an idle connection if the upstream sends no
        Keep-Alive timeout.
    :param max_keep_alive_ms: time limit for an idle connection if the upstream sends
        a longer Keep-Alive timeout.
    :param read_buffer_bytes: unread bytes of an answer above which reading pauses.
    :param max_buffered_bytes: unread bytes of all answers above which reading pauses
        for each answer that has any.
    :param max_kept_bytes: limit on the bytes of all answers that readers keep until
        they are complete.
    :param max_interim_answers: limit on the interim answers before one answer.
    :param max_interim_bytes: limit on the bytes that arrive up to the last of them.
    """

    max_header_bytes: int = 16 * 1024
    max_idle_connections: int = 64
    keep_alive_ms: int = 30_000
    max_keep_alive_ms: int = 30_000
    read_buffer_bytes: int = 64 * 1024
    max_buffered_bytes: int = 4 * 1024 * 1024
    max_kept_bytes: int = 32 * 1024 * 1024
    max_interim_answers: int = 100
    max_interim_bytes: int = 256 * 1024


def _keep_alive_timeout_s(head: h11.Response | None) -> int | None:
    """Return the timeout of a Keep-Alive header in seconds, or None."""
    fields = dict(head.headers) if head is not None else {}
    match = KEEP_ALIVE_TIMEOUT.search(fields.get(b"keep-alive", b""))
    return int(match[1]) if match else None


def enable_keepalive_probes(sock: socket.socket) -> None:
    """Enable TCP keep-alive so that a dead peer is detected within seconds."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


def unsent_bytes(transport: asyncio.WriteTransport) -> int:
    """Return the number of written bytes that the peer has not acknowledged."""
    size_bytes = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        # Where the system does not tell, the buffer of the transport alone counts.
        with contextlib.suppress(OSError):
            queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
            size_bytes += struct.unpack("i", queued)[0]
    return size_bytes


class ConnectionPool(Protocol):
    """Interface of the client as its connections use it."""

    limits: ClientLimits
    turns: Turns
    budget: AnswerBudget
    buffered_bytes: int
    read_buffer: memoryview

    def add_idle(self, connection: "UpstreamConnection") -> None:
        """Add an idle connection to the pool, or close it if the pool is full."""

    def remove(self, connection: "UpstreamConnection") -> None:
        """Remove a closed connection from the pool."""


class UpstreamConnection(asyncio.BufferedProtocol):
    """Protocol that makes calls to one address in sequence.

    Bytes are parsed in turns with other connections, a limited number of events at a
    time: an upstream that sends many small ones must not hold up the others.

    :param client: client that owns the connection.
    :param address: IP address and port of the upstream.
    """

    def __init__(self, client: ConnectionPool, address: str):
        self.address = address
        self.idle_until_s = 0.0
        self.call_count = 0
        self.is_last_call = False
        self.turns = client.turns
        self.budget = client.budget
        self._client = client
        self._limits = client.limits
        self._loop = asyncio.get_running_loop()
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=client.limits.max_header_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._head: h11.Response | None = None
        self._parts: list[bytes] = []
        self._buffered_bytes = 0
        self._interim_answers = 0
        self._head_bytes = 0
        self._is_waiting_for_turn = False
        self._is_paused = False
        self._is_lost = False
        self._is_complete = True
        self._error: Exception | None = None
        self._relay_error: RelayLost | None = None
        self._waiter: asyncio.Future | None = None
        self._wait_start_s = 0.0
        self._silence_s = 0.0
        self._silence_timeout_ms = 0
        self._deadline_s = math.inf
        self._end_s = math.inf
        self._request_end_s = math.inf
        self._timer: asyncio.TimerHandle | None = None

    @property
    def idle_limit_ms(self) -> int:
        """Return the time limit for the connection while it is idle."""
        keep_alive_s = _keep_alive_timeout_s(self._head)
        if keep_alive_s is None:
            return self._limits.keep_alive_ms
        usable_ms = max(0, keep_alive_s * 1000 - KEEP_ALIVE_MARGIN_MS)
        return min(self._limits.max_keep_alive_ms, usable_ms)

    @property
    def is_complete(self) -> bool:
        """Return whether no call is in progress, or all of its answer has arrived."""
        return self._is_complete

    @property
    def silent_ms(self) -> int:
        """Return for how long bytes are awaited, or were in a wait that got none."""
        silence_s = self._loop.time() - self._wait_start_s
        return int(1000 * (silence_s if self.is_awaited else self._silence_s))

    @property
    def is_awaited(self) -> bool:
        """Return whether a reader waits for the next bytes."""
        return self._waiter is not None

    @property
    def is_usable(self) -> bool:
        """Return whether a new call may be sent."""
        return self._error is None and not self._transport.is_closing()

    @property
    def is_silent(self) -> bool:
        """Return whether no data and no end of stream is pending on the socket."""
        return not self._poll.poll(0)

    # Callbacks of the transport.

    def connection_made(self, transport) -> None:
        """Set up the socket for the first call, unless another host has it."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            enable_keepalive_probes(sock)
            self._poll.register(sock, select.POLLIN)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which all connections share."""
        return self._client.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes of the answer."""
        if self._is_complete:
            self._fail(AnswerMalformed("data after the answer", self.address))
            return
        if self._head is None:
            self._head_bytes += nbytes
        self._http.receive_data(self._client.read_buffer[:nbytes])
        self._take_turn()

    def _take_turn(self) -> None:
        """Parse a limited number of events; the rest waits for the next turn."""
        self._is_waiting_for_turn = False
        if self._error is not None:
            return
        try:
            self._is_waiting_for_turn = not self._process_events(EVENTS_PER_TURN)
        except h11.RemoteProtocolError as error:
            self._fail(AnswerMalformed(str(error), self.address))
        if self._is_waiting_for_turn:
            self.turns.add(self._take_turn)
        elif self._is_lost:
            self._end_lost_call()
        if self._head is not None:
            self._extend_deadline()
        self._update_reading()
        self._notify()

    def eof_received(self) -> bool:
        """Handle the end of the stream, which may be the end of the answer.

        An upstream that fails within a request also ends the stream, and resets the
        connection when more of the request arrives. So the end counts as that of the
        answer only if the upstream has taken the whole request.

        :return: whether the connection stays open for the rest of the request.
        """
        if not self._has_ended_tls():
            return False
        if not unsent_bytes(self._transport):
            self._end_answer()
            return False
        if not self._can_stay_open:
            return False
        if self._request_end_s == math.inf:
            self._request_end_s = self._loop.time() + REQUEST_END_MS / 1000
            self._await_request_end()
        return True

    @property
    def _can_stay_open(self) -> bool:
        """Return whether bytes may be sent after the end of the received stream."""
        has_socket = self._transport.get_extra_info("socket") is not None
        return has_socket and self._transport.get_extra_info("ssl_object") is None

    def _await_request_end(self) -> None:
        """End the answer once the request is taken, or fail the call if it is not."""
        if self._is_lost or self._error is not None:
            return
        if not unsent_bytes(self._transport):
            self._end_answer()
            self._notify()
        elif self._loop.time() < self._request_end_s:
            self._loop.call_later(REQUEST_POLL_MS / 1000, self._await_request_end)
        else:
            self._fail(self._closed_early_error())
            self._notify()

    def _end_answer(self) -> None:
        with contextlib.suppress(h11.RemoteProtocolError):
            self._http.receive_data(b"")
            self._process_events()

    def _has_ended_tls(self) -> bool:
        """Return whether the upstream ended TLS, or whether there is no TLS.

        An end of TCP alone can be a truncation, which anyone on the path can forge.
        """
        ssl_object = self._transport.get_extra_info("ssl_object")
        if ssl_object is None:
            return True
        try:
            return ssl_object.read(1) == b""
        except ssl.SSLError:
            return False

    def connection_lost(self, exc) -> None:
        """Fail the call unless its answer is complete, or may be once it is parsed."""
        self._is_lost = True
        if isinstance(exc, RelayLost):
            self._relay_error = exc
        self._client.remove(self)
        if not self._is_waiting_for_turn:
            self._end_lost_call()

    def _end_lost_call(self) -> None:
        if not self._is_complete:
            self._fail(self._closed_early_error())
        self._stop_timer()
        self._notify()

    # Reading.

    def _process_events(self, max_events: float = math.inf) -> bool:
        """Process the events of the received bytes.

        :return: whether all were processed.
        """
        count = 0
        while not self._is_complete:
            if count == max_events:
                return False
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                break
            self._handle_event(event)
            count += 1
        return True

    def _handle_event(self, event) -> None:
        if isinstance(event, h11.Data):
            self._parts.append(event.data)
            self._set_buffered(self._buffered_bytes + len(event.data))
        elif isinstance(event, h11.Response):
            if event.status_code > MAX_STATUS_CODE:
                raise h11.RemoteProtocolError(f"the status is {event.status_code}")
            self._head = event
        elif isinstance(event, h11.EndOfMessage):
            self._is_complete = True
        elif isinstance(event, h11.InformationalResponse):
            self._count_interim_answer()
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError("the connection was closed")
        else:
            # h11 would keep all further bytes.
            raise h11.RemoteProtocolError("the protocol was changed")

    def _count_interim_answer(self) -> None:
        self._interim_answers += 1
        if self._interim_answers > self._limits.max_interim_answers:
            raise h11.RemoteProtocolError("too many interim answers")
        if self._head_bytes > self._limits.max_interim_bytes:
            raise h11.RemoteProtocolError("the interim answers are too long")

    def _set_buffered(self, size_bytes: int) -> None:
        self._client.buffered_bytes += size_bytes - self._buffered_bytes
        self._buffered_bytes = size_bytes

    @property
    def _is_buffer_full(self) -> bool:
        if self._client.buffered_bytes > self._limits.max_buffered_bytes:
            return self._buffered_bytes > 0
        return self._buffered_bytes > self._limits.read_buffer_bytes

    def _update_reading(self) -> None:
        """Pause or resume reading, by what is still to be parsed or read."""
        is_paused = self._is_buffer_full or self._is_waiting_for_turn
        if is_paused == self._is_paused:
            return
        self._is_paused = is_paused
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _closed_early_error(self) -> Exception:
        if self._relay_error is not None:
            return self._relay_error
        if self._head is not None:
            return AnswerTruncated(
                "the connection was closed within the answer", self.address
            )
        return UpstreamDied(
            "the connection was closed before the answer",
            self.address,
            self.call_count > 1,
        )

    def _fail(self, error: Exception) -> None:
        if self._error is None:
            self._error = error
        self._transport.abort()

    def _check_error(self) -> None:
        if self._error is not None:
            # The traceback of the error itself would keep the reader's frames, with
            # all that was read, for as long as the connection.
            raise copy(self._error)

    def _notify(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        self._waiter = self._loop.create_future()
        self._wait_start_s = self._loop.time()
        try:
            await self._waiter
        finally:
            self._waiter = None
            self._silence_s = self._loop.time() - self._wait_start_s
        if self._error is None:
            self._silence_s = 0.0

    # Calls.

    def send(
        self, request: h11.Request, body: bytes, first_byte_ms: int, total_ms: int
    ) -> None:
        """Write one complete request.

        :param first_byte_ms: time limit until the head of the answer is complete.
        :param total_ms: time limit until the answer is complete; 0 for none.
        """
        if self.call_count:
            self._http.start_next_cycle()
        self.call_count += 1
        self._head = None
        self._head_bytes = 0
        self._interim_answers = 0
        self._is_complete = False
        parts = [self._http.send(request)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._end_s = self._loop.time() + total_ms / 1000 if total_ms else math.inf
        self._start_timer(first_byte_ms)
        self._transport.write(b"".join(parts))

    async def receive_head(self, between_bytes_ms: int) -> h11.Response:
        """Wait for the head of the answer and return it.

        :param between_bytes_ms: time limit for silence within the answer's body.
        """
        while self._head is None:
            self._check_error()
            await self._wait()
        self._start_timer(between_bytes_ms)
        return self._head

    async def receive(self) -> bytes:
        """Wait for data and return all of it; empty at the end of the answer."""
        while not self._parts:
            if self._is_complete:
                return b""
            self._check_error()
            await self._wait()
        parts = self._parts
        self._parts = []
        if self._is_paused:
            self._extend_deadline()
        self._set_buffered(0)
        self._update_reading()
        return bytes(parts[0]) if len(parts) == 1 else b"".join(parts)

    def release(self) -> None:
        """Return the connection to the pool if it can be reused, else close it."""
        self._stop_timer()
        is_reusable = (
            self._is_complete
            and not self.is_last_call
            and not self._parts
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )
        if is_reusable and self.is_usable:
            self._client.add_idle(self)
            return
        self.close()

    def close(self) -> None:
        """Close immediately; a call in progress fails."""
        self._drop_parts()
        if self._error is None and not self._is_complete:
            self._error = AnswerTruncated("the call was cancelled", self.address)
        self._stop_timer()
        self._transport.abort()
        self._notify()

    def give_up(self) -> None:
        """Fail the call as too large, and drop the bytes that were not read."""
        self._drop_parts()
        self._fail(AnswerTooLarge("all answers together are too large", self.address))
        self._notify()

    def _drop_parts(self) -> None:
        """Drop the bytes that were not read; the answer can't be complete any more."""
        if self._parts:
            self._is_complete = False
        self._parts = []
        self._set_buffered(0)

    # Timeouts: a call has one timer; received bytes move its deadline, not the timer.

    def _extend_deadline(self) -> None:
        silence_end_s = self._loop.time() + self._silence_timeout_ms / 1000
        self._deadline_s = min(silence_end_s, self._end_s)

    def _start_timer(self, silence_timeout_ms: int) -> None:
        self._stop_timer()
        self._silence_timeout_ms = silence_timeout_ms
        self._extend_deadline()
        self._timer = self._loop.call_at(self._deadline_s, self._check_deadline)

    def _check_deadline(self) -> None:
        self._timer = None
        if self._is_complete:
            return
        if self._is_paused:
            # Reading is paused because this host is slow, not the upstream.
            self._extend_deadline()
        if self._loop.time() < self._deadline_s:
            self._timer = self._loop.call_at(self._deadline_s, self._check_deadline)
            return
        detail = "the upstream was silent for too long"
        if self._deadline_s == self._end_s:
            detail = "the answer took too long"
        self._fail(UpstreamTimedOut(detail, self.address))
        self._notify()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
