"""Upstream that answers a long request before it has read its body."""

import asyncio
import contextlib
from dataclasses import dataclass, field
from functools import partial

from .scripted_upstreams import ReceivedRequest, Upstream

PAUSE_S = 0.03
EVENTS = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
BODY = b"to the end"


@dataclass
class EarlyUpstream(Upstream):
    """Upstream whose answers without a length begin while the request is written.

    ``readers`` are those of the connections that carried a request.
    """

    readers: list = field(default_factory=list)

    def __getattr__(self, name):
        """Return the step that answers with the status in its name."""
        prefix = "_answer_with_"
        if not name.startswith(prefix):
            raise AttributeError(name)
        return partial(self._answer_status, name.removeprefix(prefix))

    async def _answer_status(self, status, received, reader, writer):
        await self._read_body(received, reader)
        fields = ("X-Response-Sig: sig", "Content-Length: 5")
        writer.write(self._head(received, f"{status} Odd", *fields) + b"whole")

    async def _read(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        if reader not in self.readers and not head.startswith("GET /healthz "):
            self.readers.append(reader)
        line, *fields = head.split("\r\n")
        pairs = [text.partition(": ") for text in fields if text]
        headers = {name.lower(): value for name, _, value in pairs}
        return ReceivedRequest(line, headers, b"")

    async def _answer(self, received, reader, writer):
        received.body = await self._read_body(received, reader)
        await super()._answer(received, reader, writer)

    async def _read_body(self, received, reader):
        return await reader.readexactly(int(received.headers["content-length"]))

    async def _begin(self, received, writer):
        """Send the head of the answer and a part of its body."""
        is_stream = received.line.startswith(("POST /stream", "POST /resumable"))
        kind = "text/event-stream" if is_stream else "text/plain"
        fields = ("X-Response-Sig: sig", f"Content-Type: {kind}", "Connection: close")
        body = EVENTS if is_stream else BODY
        writer.write(self._head(received, "200 OK", *fields) + body)
        await writer.drain()
        await asyncio.sleep(PAUSE_S)

    async def _reset_at_once(self, received, reader, writer):
        await self._begin(received, writer)
        await self._reset(received, reader, writer)

    async def _end_and_reset(self, received, reader, writer):
        await self._begin(received, writer)
        if not writer.can_write_eof():
            # With TLS there is no end of one direction alone.
            writer.close()
            raise ConnectionError
        writer.write_eof()
        await asyncio.sleep(PAUSE_S)
        await self._reset(received, reader, writer)

    async def _end_and_stall(self, received, reader, writer):
        await self._begin(received, writer)
        writer.write_eof()
        await asyncio.sleep(3)

    async def _end_in_order(self, received, reader, writer):
        await self._begin(received, writer)
        writer.write_eof()
        received.body = await self._read_body(received, reader)
        with contextlib.suppress(ConnectionError):
            await reader.read()
        raise ConnectionError

    async def _forget(self, received, reader, writer):
        """Answer that the request can't be resumed."""
        writer.write(self._head(received, "404 Not Found", "Content-Length: 0"))
