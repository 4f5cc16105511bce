"""Upstream that records what it runs, and answers by a typed description."""

import asyncio
import contextlib
import socket
from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatchmethod
from http import HTTPStatus

REJECTION_STATUS_CODES = frozenset((400, 421, 429, 503))
SOMEBODY_ELSE = "somebody-else"
WORK_S = 0.003
READ_PAUSE_S = 0.02
RECEIVE_BUFFER_BYTES = 32 * 1024
STREAM_PREFIXES = ("/stream/", "/resumable/")


class NamedIds(Enum):
    """Request ids that an answer names."""

    OWN = "own"
    OTHER = "another"
    NONE = "none"
    OWN_AND_OTHER = "own and another"
    OWN_TWICE = "own twice"


@dataclass(frozen=True, slots=True)
class AnswerDescription:
    """Status and header fields of an answer.

    :param marks: values of its ``X-Not-Executed`` fields.
    :param is_signed: whether it bears a digest.
    """

    status: int
    marks: tuple[str, ...] = ()
    ids: NamedIds = NamedIds.OWN
    is_signed: bool = True

    @property
    def is_proof(self):
        """Return whether it proves that the request was not run."""
        is_rejection = self.marks == ("1",) and self.status in REJECTION_STATUS_CODES
        is_misdirected = self.status == HTTPStatus.MISDIRECTED_REQUEST
        is_own = self.ids is NamedIds.OWN and not self.is_signed
        return is_own and (is_rejection or is_misdirected)


OWN_ANSWER = AnswerDescription(200)


@dataclass(frozen=True, slots=True)
class InPlace:
    """An answer in place of the upstream's own one.

    The request has been run before, unless the answer proves that it was not.
    """

    answer: AnswerDescription = OWN_ANSWER


@dataclass(frozen=True, slots=True)
class LateExtra:
    """An extra answer at the place of the answer to the connection's next request.

    That request is run afterwards, and answered, unless the extra answer proves that
    it is not. The first request of a connection is run and answered.
    """

    answer: AnswerDescription


@dataclass(frozen=True, slots=True)
class Behind:
    """Extra bytes behind the complete answer to a request that was run.

    :param answer: extra answer; None for bytes that are no answer.
    :param after_s: time after the complete answer; 0 for the same segment.
    """

    answer: AnswerDescription | None
    after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class BeforeBody:
    """An answer before the body of the request is read.

    The body is read later, and the request run, unless the answer proves that it is
    not.
    """

    answer: AnswerDescription


@dataclass(frozen=True, slots=True)
class AfterInterim:
    """An interim answer, and then the real one to a request that was run."""

    interim: AnswerDescription
    answer: AnswerDescription


@dataclass
class ReceivedHead:
    """Head of a request as an upstream received it.

    :param previous_id: id of the connection's request before; empty for the first.
    """

    request_id: str
    path: str
    size_bytes: int
    previous_id: str


@dataclass
class AnsweringUpstream:
    """Upstream that records the requests that it runs.

    :param plays: what it does with each request, by id.
    :param usual_play: what it does with all others.

    ``runs`` has the ids of requests that it has begun to work on, ``bodies`` pairs of
    an id and the body that was read, ``played`` the ids whose play has taken place.
    """

    name: str
    software_version: str = "v1"
    plays: dict = field(default_factory=dict)
    usual_play: object = field(default_factory=InPlace)
    runs: list = field(default_factory=list)
    bodies: list = field(default_factory=list)
    played: set = field(default_factory=set)
    busy_count: int = 0
    server: asyncio.Server = None

    @property
    def address(self):
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def start(self):
        listener = socket.create_server(("127.0.0.1", 0))
        # A long body does not fit into the buffer of an upstream that doesn't read.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        # Without it an extra answer holds up the own one.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server = await asyncio.start_server(self._serve, sock=listener)

    async def _serve(self, reader, writer):
        previous_id = ""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await self._read_head(reader, previous_id)
                self.busy_count += 1
                try:
                    play = self.plays.get(head.request_id, self.usual_play)
                    await self._play(play, head, reader, writer)
                finally:
                    self.busy_count -= 1
                previous_id = head.request_id
        writer.close()

    async def _read_head(self, reader, previous_id):
        received = (await reader.readuntil(b"\r\n\r\n")).decode()
        line, *field_lines = received.split("\r\n")
        fields = [text.partition(": ") for text in field_lines if text]
        headers = {name.lower(): value for name, _, value in fields}
        size_bytes = int(headers.get("content-length", 0))
        request_id = headers.get("x-attempt-id", "")
        return ReceivedHead(request_id, line.split()[1], size_bytes, previous_id)

    async def _read_body(self, head, reader):
        body = await reader.readexactly(head.size_bytes)
        self.bodies.append((head.request_id, body))

    def _run(self, head):
        self.runs.append(head.request_id)

    # What it does with a request

    @singledispatchmethod
    async def _play(self, play, head, reader, writer):
        raise TypeError(f"unexpected play {play!r}")

    @_play.register
    async def _(self, play: InPlace, head, reader, writer):
        await self._read_body(head, reader)
        if not play.answer.is_proof:
            self._run(head)
        self.played.add(head.request_id)
        owner = head.request_id
        if play.answer.ids is NamedIds.OTHER:
            owner = SOMEBODY_ELSE
        writer.write(self._encode(play.answer, head, owner))

    @_play.register
    async def _(self, play: LateExtra, head, reader, writer):
        await self._read_body(head, reader)
        if head.previous_id:
            self.played.add(head.request_id)
            is_own = play.answer.ids is NamedIds.OWN
            owner = head.request_id if is_own else head.previous_id
            writer.write(self._encode(play.answer, head, owner))
            if play.answer.is_proof:
                return
        self._run(head)
        await asyncio.sleep(WORK_S)
        writer.write(self._encode(OWN_ANSWER, head, head.request_id))

    @_play.register
    async def _(self, play: Behind, head, reader, writer):
        await self._read_body(head, reader)
        self._run(head)
        extra = b"no answer\r\n\r\n"
        if play.answer is not None:
            extra = self._encode(play.answer, head, head.request_id)
        own = self._encode(OWN_ANSWER, head, head.request_id)
        if not play.after_s:
            own += extra
        writer.write(own)
        if play.after_s:
            await asyncio.sleep(play.after_s)
            writer.write(extra)
        self.played.add(head.request_id)

    @_play.register
    async def _(self, play: BeforeBody, head, reader, writer):
        writer.write(self._encode(play.answer, head, head.request_id))
        self.played.add(head.request_id)
        if not play.answer.is_proof:
            self._run(head)
        await asyncio.sleep(READ_PAUSE_S)
        await self._read_body(head, reader)

    @_play.register
    async def _(self, play: AfterInterim, head, reader, writer):
        await self._read_body(head, reader)
        self._run(head)
        self.played.add(head.request_id)
        writer.write(self._encode_head(play.interim, head, ()))
        await asyncio.sleep(WORK_S)
        writer.write(self._encode(play.answer, head, head.request_id))

    # Encoding

    def _encode(self, answer, head, owner):
        """Return an answer whose body and digest are those of a request."""
        fields = []
        body = b"sorry"
        if answer.status == HTTPStatus.OK:
            body = own_body(head.path, owner)
            if head.path.startswith(STREAM_PREFIXES):
                fields.append("Content-Type: text/event-stream")
        if answer.is_signed:
            fields.append(f"X-Response-Sig: {owner}/{self.name}/{answer.status}")
        fields.append(f"Content-Length: {len(body)}")
        return self._encode_head(answer, head, fields) + body

    def _encode_head(self, answer, head, fields):
        other = head.previous_id or SOMEBODY_ELSE
        ids = {
            NamedIds.OWN: (head.request_id,),
            NamedIds.OTHER: (other,),
            NamedIds.NONE: (),
            NamedIds.OWN_AND_OTHER: (head.request_id, other),
            NamedIds.OWN_TWICE: (head.request_id, head.request_id),
        }
        lines = [
            f"HTTP/1.1 {answer.status} Status",
            *[f"X-Attempt-Id: {request_id}" for request_id in ids[answer.ids]],
            *[f"X-Not-Executed: {mark}" for mark in answer.marks],
            *fields,
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


def own_body(path, request_id):
    """Return the whole body with which each upstream serves a request."""
    if not path.startswith(STREAM_PREFIXES):
        return f"answer to {request_id}".encode()
    events = [f"id: {n}\ndata: {request_id} {n}\n\n" for n in (1, 2, 3)]
    return "".join(events).encode()
