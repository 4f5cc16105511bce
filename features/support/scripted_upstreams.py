"""Upstreams that answer by a script, completely or with a fault."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field
from socket import SO_LINGER, SOL_SOCKET

SILENCE_S = 1.9
BEGIN_SILENCE_S = 1.62
LONG_INTERVAL_S = 0.8
SHORT_SILENCE_S = 0.9
FIRST_PAUSE_S = 0.4
LONG_SILENCE_S = 2.05


class ReservedPort:
    """Port at which connections are refused, and that no other process gets."""

    def __init__(self):
        self.sockets = (socket.socket(),)
        self.sockets[0].bind(("127.0.0.1", 0))

    def close(self):
        self.sockets[0].close()


@dataclass
class ReceivedRequest:
    """Request as an upstream received it."""

    line: str
    headers: dict
    body: bytes
    is_closed: bool = False
    chunks_sent: int = 0


@dataclass
class Upstream:
    """Upstream that answers each request by the next step of its script.

    The last step is repeated. Health checks are answered beside it.

    :param notices: further header fields of each answer.
    :param accepts: whether it accepts connections.
    """

    name: str
    script: list
    software_version: str = "v1"
    requests: list = field(default_factory=list)
    server: asyncio.Server = None
    notices: tuple = ()
    accepts: bool = True
    address: str = ""

    async def start(self):
        if self.accepts:
            self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        else:
            self.server = ReservedPort()
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader, writer):
        try:
            while True:
                received = await self._read(reader)
                if received.line.startswith("GET /healthz "):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.requests.append(received)
                step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
                await getattr(self, f"_{step}")(received, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _read(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        line, *fields = head.split("\r\n")
        headers = {}
        for field_line in fields:
            name, separator, value = field_line.partition(": ")
            if separator:
                headers[name.lower()] = value
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return ReceivedRequest(line, headers, body)

    def _head(self, received, status, *fields):
        request_id = received.headers.get("x-attempt-id", "")
        lines = [f"HTTP/1.1 {status}", f"X-Attempt-Id: {request_id}", *fields]
        lines += self.notices
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def _answer(self, received, reader, writer):
        body = f"whole answer of {self.name}".encode()
        fields = ("X-Response-Sig: sig", f"Content-Length: {len(body)}")
        writer.write(self._head(received, "200 OK", *fields) + body)

    async def _late_answer(self, received, reader, writer):
        await asyncio.sleep(0.1)
        await self._answer(received, reader, writer)

    async def _unsigned(self, received, reader, writer):
        writer.write(self._head(received, "200 OK", "Content-Length: 2") + b"ok")

    async def _fail(self, received, reader, writer):
        fields = ("X-Response-Sig: failed", "Content-Length: 5")
        writer.write(
            self._head(received, "500 Internal Server Error", *fields) + b"sorry"
        )

    async def _reject(self, received, reader, writer):
        fields = ("X-Not-Executed: 1", "Content-Length: 0")
        writer.write(self._head(received, "503 Service Unavailable", *fields))

    async def _reject_of_another(self, received, reader, writer):
        received.headers["x-attempt-id"] = "another"
        await self._reject(received, reader, writer)

    async def _reject_of_nobody(self, received, reader, writer):
        fields = "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        writer.write(f"HTTP/1.1 503 Service Unavailable\r\n{fields}".encode())

    def _begin_rejection(self, received, writer, framing):
        fields = ("X-Not-Executed: 1", framing)
        writer.write(self._head(received, "503 Service Unavailable", *fields))

    async def _reject_with_cut(self, received, reader, writer):
        self._begin_rejection(received, writer, "Content-Length: 100")
        writer.write(b"cut")
        await self._close(writer)

    async def _reject_without_end(self, received, reader, writer):
        self._begin_rejection(received, writer, "Transfer-Encoding: chunked")
        while True:
            writer.write(b"1000\r\n" + b"x" * 0x1000 + b"\r\n")
            await writer.drain()

    async def _reject_and_dribble(self, received, reader, writer):
        self._begin_rejection(received, writer, "Transfer-Encoding: chunked")
        while True:
            writer.write(b"1\r\nx\r\n")
            await writer.drain()
            await asyncio.sleep(0.01)

    async def _leave(self, received, reader, writer):
        body = f"whole answer of {self.name}".encode()
        fields = ("X-Response-Sig: sig", f"Content-Length: {len(body)}")
        writer.write(self._head(received, "200 OK", "Server-Leaving: 1", *fields))
        writer.write(body)

    async def _leave_within_stream(self, received, reader, writer):
        self._start_unframed_events(received, writer, "Server-Leaving: 1")
        for number in range(1, 7):
            writer.write(f"id: {number}\ndata: piece {number}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(0.05)
        await self._close(writer)

    async def _leave_with_failure(self, received, reader, writer):
        fields = ("X-Response-Sig: failed", "Content-Length: 0", "Server-Leaving: 1")
        writer.write(self._head(received, "500 Internal Server Error", *fields))

    async def _reject_for_a_second(self, received, reader, writer):
        fields = ("X-Not-Executed: 1", "Content-Length: 0", "Retry-After: 1")
        writer.write(self._head(received, "503 Service Unavailable", *fields))

    async def _reject_until_a_date(self, received, reader, writer):
        date = "Retry-After: Fri, 31 Dec 1999 23:59:59 GMT"
        fields = ("X-Not-Executed: 1", "Content-Length: 0", date)
        writer.write(self._head(received, "503 Service Unavailable", *fields))

    async def _other_that_leaves(self, received, reader, writer):
        fields = ("X-Instance-Id: other", "Content-Length: 0", "Server-Leaving: 1")
        writer.write(self._head(received, "421 Misdirected Request", *fields))

    async def _other(self, received, reader, writer):
        fields = ("X-Instance-Id: other", "Content-Length: 0")
        writer.write(self._head(received, "421 Misdirected Request", *fields))

    async def _foreign(self, received, reader, writer):
        received.headers["x-attempt-id"] = "another"
        await self._answer(received, reader, writer)

    async def _unframed(self, received, reader, writer):
        writer.write(
            self._head(received, "200 OK", "X-Response-Sig: sig") + b"to the end"
        )
        writer.close()
        raise ConnectionError

    async def _unframed_reset(self, received, reader, writer):
        writer.write(self._head(received, "200 OK", "X-Response-Sig: sig") + b"to the")
        await writer.drain()
        await asyncio.sleep(0.05)
        await self._reset(received, reader, writer)

    async def _short(self, received, reader, writer):
        fields = ("X-Response-Sig: sig", "Content-Length: 100")
        writer.write(self._head(received, "200 OK", *fields) + b"cut")
        writer.close()
        raise ConnectionError

    async def _reset(self, received, reader, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        raise ConnectionError

    async def _hang(self, received, reader, writer):
        await reader.read()
        received.is_closed = True
        raise ConnectionError

    def _start_events(self, received, writer):
        fields = (
            f"X-Response-Sig: sig-of-{self.name}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        writer.write(self._head(received, "200 OK", *fields))

    def _event(self, writer, number, *, cut=False):
        data = f"id: {number}\ndata: piece {number}\n\n".encode()
        data = data[: len(data) // 2] if cut else data
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def _events(self, received, reader, writer):
        self._start_events(received, writer)
        first = int(received.headers.get("last-event-id", 0)) + 1
        for number in range(first, 7):
            self._event(writer, number)
        writer.write(b"0\r\n\r\n")

    async def _events_from_the_start(self, received, reader, writer):
        received.headers.pop("last-event-id", None)
        await self._events(received, reader, writer)

    async def _slow_events(self, received, reader, writer):
        self._start_events(received, writer)
        for number in range(1, 7):
            self._event(writer, number)
            await writer.drain()
            await asyncio.sleep(0.1)
        writer.write(b"0\r\n\r\n")

    async def _pause_events(self, received, reader, writer):
        self._start_events(received, writer)
        for number in (1, 2, 3):
            self._event(writer, number)
        await asyncio.sleep(SILENCE_S)
        for number in (4, 5, 6):
            self._event(writer, number)
        writer.write(b"0\r\n\r\n")

    async def _pause_unnumbered_events(self, received, reader, writer):
        self._start_events(received, writer)
        self._write_unnumbered(writer)
        await asyncio.sleep(SILENCE_S)
        self._write_unnumbered(writer)
        writer.write(b"0\r\n\r\n")

    async def _begin_after_silence(self, received, reader, writer):
        await asyncio.sleep(BEGIN_SILENCE_S)
        self._start_events(received, writer)
        for number in (1, 2, 3):
            self._event(writer, number)
        await writer.drain()
        writer.close()
        raise ConnectionError

    async def _cut_long_events(self, received, reader, writer):
        self._start_events(received, writer)
        for number in (1, 2, 3):
            self._event(writer, number)
            await asyncio.sleep(LONG_INTERVAL_S)
        await self._reset(received, reader, writer)

    async def _pause_before_events(self, received, reader, writer):
        await asyncio.sleep(SILENCE_S)
        await self._events(received, reader, writer)

    async def _pause_answer(self, received, reader, writer):
        await asyncio.sleep(SILENCE_S)
        await self._answer(received, reader, writer)

    async def _reset_after_silence(self, received, reader, writer):
        await asyncio.sleep(SHORT_SILENCE_S)
        await self._reset(received, reader, writer)

    async def _reset_after_long_silence(self, received, reader, writer):
        await asyncio.sleep(LONG_SILENCE_S)
        await self._reset(received, reader, writer)

    async def _cut_events(self, received, reader, writer):
        self._start_events(received, writer)
        for number in (1, 2, 3):
            self._event(writer, number)
        self._event(writer, 4, cut=True)
        await writer.drain()
        await asyncio.sleep(0.05)
        await self._reset(received, reader, writer)

    def _cut_body(self, whole_events):
        """Return the given number of events and the first half of the next one."""
        events = [f"id: {n}\ndata: piece {n}\n\n" for n in range(1, 7)]
        cut_event = events[whole_events]
        whole = "".join(events[:whole_events])
        return (whole + cut_event[: len(cut_event) // 2]).encode()

    def _start_unframed_events(self, received, writer, *fields):
        signature = f"X-Response-Sig: sig-of-{self.name}"
        kind = "Content-Type: text/event-stream"
        writer.write(self._head(received, "200 OK", signature, kind, *fields))

    async def _close(self, writer):
        await writer.drain()
        writer.close()
        raise ConnectionError

    async def _close_within_event(self, received, reader, writer):
        self._start_unframed_events(received, writer)
        writer.write(self._cut_body(3))
        await self._close(writer)

    async def _close_in_first_event(self, received, reader, writer):
        self._start_unframed_events(received, writer)
        writer.write(self._cut_body(0))
        await self._close(writer)

    async def _close_before_events(self, received, reader, writer):
        self._start_unframed_events(received, writer)
        await self._close(writer)

    async def _close_after_events(self, received, reader, writer):
        self._start_unframed_events(received, writer)
        first = int(received.headers.get("last-event-id", 0)) + 1
        for number in range(first, 7):
            writer.write(f"id: {number}\ndata: piece {number}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(0.01)
        await self._close(writer)

    async def _reset_within_event(self, received, reader, writer):
        self._start_unframed_events(received, writer)
        writer.write(self._cut_body(3))
        await writer.drain()
        await asyncio.sleep(0.05)
        await self._reset(received, reader, writer)

    async def _last_chunk_within_event(self, received, reader, writer):
        self._start_events(received, writer)
        for number in (1, 2, 3):
            self._event(writer, number)
        self._event(writer, 4, cut=True)
        writer.write(b"0\r\n\r\n")

    async def _close_within_chunk(self, received, reader, writer):
        self._start_events(received, writer)
        for number in (1, 2, 3):
            self._event(writer, number)
        writer.write(b"19\r\nid: 4")
        await self._close(writer)

    async def _length_within_event(self, received, reader, writer):
        body = self._cut_body(3)
        length = f"Content-Length: {len(body)}"
        self._start_unframed_events(received, writer, length)
        writer.write(body)

    async def _close_within_length(self, received, reader, writer):
        self._start_unframed_events(received, writer, "Content-Length: 150")
        writer.write(self._cut_body(3))
        await self._close(writer)

    async def _flood_events(self, received, reader, writer):
        """Send large events until the connection is closed."""
        self._start_events(received, writer)
        data = b"data: " + b"x" * 65_536 + b"\n\n"
        chunk = f"{len(data):x}\r\n".encode() + data + b"\r\n"
        try:
            while True:
                writer.write(chunk)
                await writer.drain()
                received.chunks_sent += 1
        finally:
            received.is_closed = True

    async def _pause_and_flood_events(self, received, reader, writer):
        await asyncio.sleep(FIRST_PAUSE_S)
        await self._flood_events(received, reader, writer)

    def _write_unnumbered(self, writer):
        data = b"data: piece\n\n"
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def _unnumbered_events(self, received, reader, writer):
        self._start_events(received, writer)
        for _ in range(6):
            self._write_unnumbered(writer)
        writer.write(b"0\r\n\r\n")

    async def _cut_unnumbered_events(self, received, reader, writer):
        self._start_events(received, writer)
        for _ in range(3):
            self._write_unnumbered(writer)
        await writer.drain()
        await asyncio.sleep(0.05)
        await self._reset(received, reader, writer)

    async def _silent_events(self, received, reader, writer):
        self._start_events(received, writer)
        self._event(writer, 1)
        await self._hang(received, reader, writer)
