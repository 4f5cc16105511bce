"""Simulated upstreams whose answers are surplus, untrue, early or without end."""

import asyncio
import random
import re
from dataclasses import dataclass, field, replace
from http import HTTPStatus

from peridotfront.exceptions import CallerGone
from peridotfront.http_messages import Header, HttpRequest

from .world import CALL_S, UPSTREAM_PORT, Upstream, digest_of

UNTRUE_ANSWERS = ("extra", "trailing", "untrue", "early", "endless")
EXTRA_STATUS_CODES = (200, 408, 421, 429, 503, 500)
UNTRUE_STATUS_CODES = (503, 429, 408, 500, 504, 200)
ENDLESS_PARTS = ("head", "informational", "body", "event")
NOT_EXECUTED = ("X-Not-Executed", "1")
PLAYED_SHARE = 0.5
TRAILING_DELAYS_S = (0, 0.002, 0.02)
LONG_BODY_BYTES = 100_000
BODY_DELAY_S = 0.1
GARBAGE = (b"\r\n", b"no answer\r\n\r\n")
ENDLESS_CHUNK_BYTES = 65_536
ENDLESS_BYTES_PER_S = 4_000_000
REQUEST_LINE = re.compile(r"([A-Z]+) (/\S*) HTTP/1\.1")


def head_of(status_code, fields):
    """Return the encoded head of an answer.

    :param fields: pairs of name and value.
    """
    lines = [f"HTTP/1.1 {status_code} {HTTPStatus(status_code).phrase}"]
    lines += [f"{name}: {value}" for name, value in fields]
    return "\r\n".join([*lines, "", ""]).encode()


def answer_of(status_code, fields, body):
    """Return a complete encoded answer."""
    return head_of(status_code, [*fields, ("Content-Length", len(body))]) + body


def chunk_of(data):
    """Return data encoded as one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def parse_head(head):
    """Return the request that a head begins, or None if it begins no request."""
    request_line, *lines = head.decode("latin-1").strip().split("\r\n")
    match = REQUEST_LINE.fullmatch(request_line)
    if match is None or not all(":" in line for line in lines):
        return None
    pairs = [line.split(":", 1) for line in lines]
    headers = tuple([Header(k.strip().lower(), v.strip()) for k, v in pairs])
    method, target = match.groups()
    path, _, query = target.partition("?")
    return HttpRequest(method, target, path, query, headers)


class Wire(asyncio.StreamReaderProtocol):
    """Protocol of a connection that also signals when its caller has left.

    :param previous_id: id of the request before on the connection; empty for none.
    :param trailing: description of the bytes sent behind the answer before.
    """

    def __init__(self, serve):
        self.gone = asyncio.Event()
        self.previous_id = ""
        self.trailing = ""
        super().__init__(asyncio.StreamReader(), serve)

    def eof_received(self):
        """Count the end of the caller's sending side as its leaving."""
        self.gone.set()
        return super().eof_received()

    def connection_lost(self, exc):
        """Signal that the caller has left."""
        self.gone.set()
        super().connection_lost(exc)


class RawExchange:
    """Exchange that also sends bytes which are no part of its answer.

    It has the methods of the HTTP server's exchange that an upstream uses.

    :param wire: protocol of its connection.
    :param fields: header fields that its answer has besides those given.
    """

    def __init__(self, request, writer):
        self.request = request
        self.wire = writer.transport.get_protocol()
        self.gone = self.wire.gone
        self.fields = []
        self._writer = writer

    @property
    def request_id(self):
        """Return the id of the request; empty if it has none."""
        return self.request.header("x-attempt-id")

    async def send(self, data):
        """Send bytes as they are.

        :raises CallerGone: if the caller has left.
        """
        if self.gone.is_set() or self._writer.is_closing():
            raise CallerGone("the caller closed its connection")
        self._writer.write(data)
        await self._writer.drain()

    async def respond(self, status_code, fields, body=b""):
        """Send a complete answer."""
        await self.send(answer_of(status_code, [*fields, *self.fields], body))

    async def start(self, status_code, fields):
        """Send the head of an answer whose body follows in chunks."""
        chunked = ("Transfer-Encoding", "chunked")
        await self.send(head_of(status_code, [*fields, *self.fields, chunked]))

    async def write(self, data):
        """Send a chunk of the body."""
        await self.send(chunk_of(data))

    async def finish(self):
        """End the body."""
        await self.send(chunk_of(b""))

    def abort(self):
        """Close the connection without the end of the answer."""
        self._writer.close()


@dataclass
class UntrueUpstream(Upstream):
    """Simulated upstream whose answers do not always tell what it did.

    What it did is told by its record alone: a request counts as executed as soon as
    the upstream begins to work on it, whatever it answers.

    :param untrue: how it answers a part of its requests: ``""`` as it should;
        ``extra``, with an answer that belongs to another request or to nobody in front
        of the real one, on a connection that is used again; ``trailing``, with more
        bytes behind the complete answer; ``untrue``, with a status or mark of requests
        that were not executed after it executed them; ``early``, with a true rejection
        before it has read a long body; or ``endless``, with bytes until the caller
        closes.
    :param draws: source of its random choices.
    :param plays: descriptions of such answers by request id.
    :param strays: received bytes that are no request.
    """

    untrue: str = ""
    draws: random.Random = field(default_factory=random.Random)
    plays: dict = field(default_factory=dict)
    strays: list = field(default_factory=list)
    _tasks: set = field(default_factory=set)
    _is_endless: bool = False

    async def start(self):
        """Start serving."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Wire(self._accept), self.ip, UPSTREAM_PORT
        )

    async def stop(self):
        """Reset all connections and refuse new ones."""
        self.server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while not writer.is_closing():
                head = await reader.readuntil(b"\r\n\r\n")
                request = parse_head(head)
                if request is None:
                    self.strays.append(head)
                    return
                exchange = RawExchange(request, writer)
                await self._read_and_serve(exchange, reader)
                exchange.wire.previous_id = exchange.request_id
        except asyncio.CancelledError:
            writer.transport.abort()
        except asyncio.LimitOverrunError as error:
            self.strays.append(str(error))
        except (EOFError, OSError, CallerGone):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _read_and_serve(self, exchange, reader):
        request = exchange.request
        size_bytes = int(request.header("content-length") or 0)
        is_own = request.header("x-expect-instance") == self.instance
        is_long = is_own and size_bytes >= LONG_BODY_BYTES
        if is_long and self.untrue == "early":
            self._note(exchange, "early")
            attempt_header = ("X-Attempt-Id", exchange.request_id)
            fields = [attempt_header, NOT_EXECUTED, ("Retry-After", "0.2")]
            await exchange.respond(HTTPStatus.SERVICE_UNAVAILABLE, fields)
            await asyncio.sleep(BODY_DELAY_S)
            await reader.readexactly(size_bytes)
            return
        body = await reader.readexactly(size_bytes)
        exchange.request = replace(request, body=body)
        await self._serve(exchange)

    def _plays(self, kind):
        return self.untrue == kind and self.draws.random() < PLAYED_SHARE

    def _note(self, exchange, *words):
        note = " ".join(str(word) for word in (*words, "by", self.instance))
        self.plays.setdefault(exchange.request_id, []).append(note)
        return note

    async def _serve(self, exchange):
        wire = exchange.wire
        if wire.trailing:
            self._note(exchange, "on the connection after", wire.trailing)
            wire.trailing = ""
        # An answer in front of the real one never names the request itself.
        is_used_again = wire.previous_id not in ("", exchange.request_id)
        if is_used_again and self._plays("extra"):
            await exchange.send(self._extra(exchange, wire.previous_id))
        await super()._serve(exchange)
        if self.runs[exchange.request_id] and self._plays("trailing"):
            await asyncio.sleep(self.draws.choice(TRAILING_DELAYS_S))
            await exchange.send(self._trailing(exchange))

    def _extra(self, exchange, previous_id):
        status_code, mark, name, data = self._other_answer(exchange, previous_id)
        self._note(exchange, "extra", status_code, mark, "naming", name)
        return data

    def _trailing(self, exchange):
        status_code, mark, name, data = self._other_answer(
            exchange, exchange.request_id
        )
        words = ("trailing", status_code, mark, "naming", name)
        if self.draws.random() >= PLAYED_SHARE:
            data = self.draws.choice(GARBAGE)
            words = ("trailing", repr(data))
        exchange.wire.trailing = self._note(exchange, *words)
        return data

    def _other_answer(self, exchange, previous_id):
        """Return an answer to the request before, to another one or to nobody.

        :return: its status, mark and whom it names, in words, and its bytes.
        """
        others = [id_ for id_ in self.runs if id_ != exchange.request_id]
        another_id = self.draws.choice(others) if others else ""
        names = {"previous": previous_id, "another": another_id, "nobody": ""}
        name = self.draws.choice(list(names))
        status_code = self.draws.choice(EXTRA_STATUS_CODES)
        is_marked = self.draws.random() < PLAYED_SHARE
        mark = "marked" if is_marked else "unmarked"
        text = f"{names[name]} {names[name]}"
        fields = [("X-Response-Sig", digest_of(text))]
        if names[name]:
            fields.append(("X-Attempt-Id", names[name]))
        if is_marked:
            fields.append(NOT_EXECUTED)
        return status_code, mark, name, answer_of(status_code, fields, text.encode())

    async def _answer(self, exchange, request_id, attempt_header):
        if self._plays("untrue"):
            await self._answer_untruly(exchange, request_id, attempt_header)
        elif not self._is_endless and self._plays("endless"):
            await self._answer_endlessly(exchange, request_id, attempt_header)
        else:
            await super()._answer(exchange, request_id, attempt_header)

    async def _answer_untruly(self, exchange, request_id, attempt_header):
        status_code = self.draws.choice(UNTRUE_STATUS_CODES)
        self._note(exchange, "untrue", status_code)
        if status_code == HTTPStatus.OK:
            exchange.fields = [NOT_EXECUTED]
            await super()._answer(exchange, request_id, attempt_header)
            return
        await asyncio.sleep(CALL_S)
        digest = ("X-Response-Sig", digest_of(f"{request_id} {status_code}"))
        await exchange.respond(status_code, [attempt_header, digest], b"failed")

    async def _answer_endlessly(self, exchange, request_id, attempt_header):
        part = self.draws.choice(ENDLESS_PARTS)
        self._note(exchange, "endless", part)
        self._is_endless = True
        try:
            begin, repeated = self._endless(part, request_id, attempt_header)
            await exchange.send(begin)
            repetitions = -(-ENDLESS_CHUNK_BYTES // len(repeated))
            while True:
                await exchange.send(repeated * repetitions)
                await asyncio.sleep(ENDLESS_CHUNK_BYTES / ENDLESS_BYTES_PER_S)
        finally:
            self._is_endless = False

    def _endless(self, part, request_id, attempt_header):
        """Return the beginning of an endless answer and the bytes that it repeats."""
        text = b"a" * 1000
        if part == "head":
            return b"HTTP/1.1 200 OK\r\nX-Long: ", text
        if part == "informational":
            return b"", head_of(HTTPStatus.EARLY_HINTS, [("X-Long", text.decode())])
        digest = ("X-Response-Sig", digest_of(request_id))
        fields = [attempt_header, digest, ("Transfer-Encoding", "chunked")]
        if part == "body":
            return head_of(HTTPStatus.OK, fields), chunk_of(text)
        fields.append(("Content-Type", "text/event-stream"))
        begin = head_of(HTTPStatus.OK, fields) + chunk_of(b"id: 1\ndata: ")
        return begin, chunk_of(text)
