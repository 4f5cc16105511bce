"""Program of upstreams that send bytes without end, each by a way of its own.

It prints one line of JSON with the address of each way, and then one line for each
connection that the other side closed within such an answer.
"""

import asyncio
import contextlib
import json
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import chain, count, repeat

PIECE_BYTES = 64 * 1024
SLOW_PAUSE_S = 0.005
IDLE_S = 0.2
FILL = b"a" * PIECE_BYTES
EVENT = b"id: 1\ndata: piece\n\n"


@dataclass(frozen=True)
class Endless:
    """A way to send bytes without end.

    :param is_stream: whether a stream of events is asked for.
    :param ends: statuses that are a truthful end for the caller. A stream that began
        may also be visibly truncated.
    :param is_slow: whether the bytes come one by one, with pauses.
    """

    is_stream: bool = False
    ends: tuple[int, ...] = (502,)
    is_slow: bool = False


SLOW = Endless(ends=(502, 504), is_slow=True)
STREAM = Endless(is_stream=True)
SLOW_STREAM = Endless(is_stream=True, ends=(502, 504), is_slow=True)
LIVE_STREAM = Endless(is_stream=True, ends=(200, 502, 504))
WAYS = {
    "heads": {
        "line without end": Endless(),
        "first field without end": Endless(),
        "fields without end": Endless(),
        "folded field without end": Endless(),
        "fields byte by byte": SLOW,
        "digits of the status byte by byte": SLOW,
        "field byte by byte": SLOW,
        "first line byte by byte": SLOW,
    },
    "interim answers": {
        "small interim answers": Endless(),
        "interim answers with fields": Endless(),
        "early hints": Endless(),
        "interim field without end": Endless(),
        "interim fields without end": Endless(),
        "interim answers byte by byte": SLOW,
        "interim field byte by byte": SLOW,
        "mixed interim answers": Endless(),
    },
    "bodies": {
        "body to the end of the connection": Endless(),
        "body of a huge length": Endless(),
        "body in chunks": Endless(),
        "body in one huge chunk": Endless(),
        "body in chunks of a byte": Endless(ends=(502, 504)),
        "chunk extension without end": Endless(),
        "chunks with extensions": Endless(),
        "trailers without end": Endless(),
        "body of a failure": Endless(ends=(500, 502)),
        "body of a rejection": Endless(ends=(502, 503)),
        "body of another upstream": Endless(ends=(502, 503)),
        "bytes behind an answer": Endless(ends=(200,)),
        "bytes on an idle connection": Endless(ends=(200,)),
        "body byte by byte": SLOW,
        "body in chunks byte by byte": SLOW,
    },
    "large bodies": {
        f"{kind} {number}": Endless()
        for kind in ("length", "chunks", "connection", "one chunk")
        for number in (1, 2)
    },
    "streams": {
        "event without end": STREAM,
        "event without end to the end of the connection": STREAM,
        "event without end in chunks of a byte": Endless(
            is_stream=True, ends=(502, 504)
        ),
        "event of lines without end": STREAM,
        "event byte by byte": SLOW_STREAM,
        "second event without end": Endless(is_stream=True, ends=(200, 502)),
        "events in large chunks": LIVE_STREAM,
        "events in chunks of a byte": LIVE_STREAM,
        "comment without end": STREAM,
        "comments without end": LIVE_STREAM,
        "blank lines without end": LIVE_STREAM,
        "event id without end": STREAM,
    },
}
LARGE_BODIES = {
    "length": "body of a huge length",
    "chunks": "body in chunks",
    "connection": "body to the end of the connection",
    "one chunk": "body in one huge chunk",
}
ALL_WAYS = {name: way for ways in WAYS.values() for name, way in ways.items()}


def chunk(data):
    """Return one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def head(request_id, *fields, status="200 OK"):
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status}", f"X-Attempt-Id: {request_id}"]
    lines += ["X-Response-Sig: sig", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def interim(status, fields=b""):
    """Return one complete interim answer."""
    return b"HTTP/1.1 %d Interim\r\n%b\r\n" % (status, fields)


def pieces(data):
    """Repeat some bytes without end, in pieces of about ``PIECE_BYTES``."""
    return repeat(data * max(1, PIECE_BYTES // len(data)))


def play_head(name):
    """Return the pieces of a head, or of an interim answer, without end."""
    start = b"HTTP/1.1 200 OK\r\n"
    early = b"HTTP/1.1 103 Early Hints\r\n"
    hint = b"Link: </style.css>; rel=preload\r\n"
    return {
        "line without end": pieces(FILL),
        "first field without end": chain([start + b"X-Fill: "], pieces(FILL)),
        "fields without end": chain([start], pieces(b"X-Fill: a\r\n")),
        "folded field without end": chain([start + b"X: a\r\n"], pieces(b" a\r\n")),
        "fields byte by byte": chain([start], pieces(b"X-Fill: a\r\n")),
        "digits of the status byte by byte": chain([b"HTTP/1.1 "], pieces(b"2")),
        "field byte by byte": chain([start + b"X-Fill: "], pieces(FILL)),
        "first line byte by byte": chain([start[:-2]], pieces(FILL)),
        "small interim answers": pieces(interim(100)),
        "interim answers with fields": pieces(interim(103, b"X-Fill: a\r\n" * 500)),
        "early hints": pieces(interim(103, hint)),
        "interim field without end": chain([early + b"X: "], pieces(FILL)),
        "interim fields without end": chain([early], pieces(hint)),
        "interim answers byte by byte": pieces(interim(102)),
        "interim field byte by byte": chain([early + b"X: "], pieces(FILL)),
        "mixed interim answers": pieces(interim(100) + interim(102) + interim(103)),
    }[name]


def play_body(name, request_id):
    """Return the pieces of an answer whose body has no end."""
    chunked = "Transfer-Encoding: chunked"
    huge = "Content-Length: 999999999999999999"
    whole = head(request_id, "Content-Length: 5") + b"whole"
    failed = head(request_id, chunked, status="500 Internal Server Error")
    unmarked = "503 Service Unavailable"
    rejected = head(request_id, chunked, "X-Not-Executed: 1", status=unmarked)
    misdirected = "421 Misdirected Request"
    other = head(request_id, chunked, "X-Instance-Id: x", status=misdirected)
    start = head(request_id, chunked)
    return {
        "body to the end of the connection": chain([head(request_id)], repeat(FILL)),
        "body of a huge length": chain([head(request_id, huge)], repeat(FILL)),
        "body in chunks": chain([start], repeat(chunk(FILL))),
        "body in one huge chunk": chain([start + b"ffffffffffff\r\n"], repeat(FILL)),
        "body in chunks of a byte": chain([start], pieces(chunk(b"a"))),
        "chunk extension without end": chain([start + b"1;a="], repeat(FILL)),
        "chunks with extensions": chain([start], repeat(b"1;a=" + FILL + b"\r\na\r\n")),
        "trailers without end": chain([start + b"0\r\n"], pieces(b"X-Fill: a\r\n")),
        "body of a failure": chain([failed], repeat(chunk(FILL))),
        "body of a rejection": chain([rejected], repeat(chunk(FILL))),
        "body of another upstream": chain([other], repeat(chunk(FILL))),
        "bytes behind an answer": chain([whole], repeat(FILL)),
        "bytes on an idle connection": chain([whole], repeat(FILL)),
        "body byte by byte": chain([head(request_id, huge)], repeat(FILL)),
        "body in chunks byte by byte": chain([start], pieces(chunk(b"a"))),
    }[name]


def play_stream(name, request_id):
    """Return the pieces of a stream of events without end."""
    kind = "Content-Type: text/event-stream"
    start = head(request_id, kind, "Transfer-Encoding: chunked")
    unframed = head(request_id, kind)
    field = b"data: "
    lines = chunk(b"data: a\n" * 100)
    events = (
        b"".join([b"id: %d\ndata: a\n\n" % (first + i) for i in range(3000)])
        for first in count(1, 3000)
    )
    letters = b"".join([chunk(bytes([byte])) for byte in EVENT])
    return {
        "event without end": chain([start + chunk(field)], repeat(chunk(FILL))),
        "event without end to the end of the connection": chain(
            [unframed + field], repeat(FILL)
        ),
        "event without end in chunks of a byte": chain(
            [start + chunk(field)], pieces(chunk(b"a"))
        ),
        "event of lines without end": chain([start], pieces(lines)),
        "event byte by byte": chain([start + chunk(field)], pieces(chunk(b"a"))),
        "second event without end": chain(
            [start + chunk(EVENT + field)], repeat(chunk(FILL))
        ),
        "events in large chunks": chain([start], map(chunk, events)),
        "events in chunks of a byte": chain([start], pieces(letters)),
        "comment without end": chain([start + chunk(b": ")], repeat(chunk(FILL))),
        "comments without end": chain([start], pieces(chunk(b": ping\n\n" * 100))),
        "blank lines without end": chain([start], pieces(chunk(b"\n" * 1000))),
        "event id without end": chain([start + chunk(b"id: ")], repeat(chunk(FILL))),
    }[name]


def play(name, request_id):
    """Return the pieces that an upstream sends, without end."""
    if name in WAYS["bodies"]:
        return play_body(name, request_id)
    if name in WAYS["large bodies"]:
        return play_body(LARGE_BODIES[name[:-2]], request_id)
    if name in WAYS["streams"]:
        return play_stream(name, request_id)
    return play_head(name)


async def read_request(reader):
    """Read one request and return its path and its id."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *field_lines = text.split("\r\n")
    fields = [field.partition(": ") for field in field_lines]
    headers = {name.lower(): value for name, _, value in fields}
    await reader.readexactly(int(headers.get("content-length", 0)))
    return line.split()[1], headers.get("x-attempt-id", "")


async def send_slowly(writer, parts):
    """Send bytes one by one, after a first part at once."""
    writer.write(next(parts))
    for part in parts:
        for byte in part:
            writer.write(bytes([byte]))
            await writer.drain()
            await asyncio.sleep(SLOW_PAUSE_S)


async def send_fast(writer, parts: Iterable[bytes]):
    """Send bytes as fast as the other side takes them."""
    for part in parts:
        writer.write(part)
        await writer.drain()
        # A flood must not keep this program from its other connections.
        await asyncio.sleep(0)


async def send_when_idle(writer, parts: Iterable[bytes]):
    """Send a whole answer, and bytes without end once the connection is idle."""
    writer.write(next(parts))
    await asyncio.sleep(IDLE_S)
    await send_fast(writer, parts)


async def serve(name, reader, writer):
    """Answer ``.../sound`` completely, and all else by bytes without end."""
    try:
        while True:
            path, request_id = await read_request(reader)
            if not path.endswith("/sound"):
                break
            writer.write(head(request_id, "Content-Length: 5") + b"sound")
    except (ConnectionError, asyncio.IncompleteReadError):
        writer.close()
        return
    send = send_slowly if ALL_WAYS[name].is_slow else send_fast
    if name == "bytes on an idle connection":
        send = send_when_idle
    parts = play(name, request_id)
    if name in ("interim answers byte by byte", "fields byte by byte"):
        parts = chain([b""], parts)
    sending = asyncio.ensure_future(send(writer, parts))
    closing = asyncio.ensure_future(reader.read())
    await asyncio.wait((sending, closing), return_when=asyncio.FIRST_COMPLETED)
    for task in (sending, closing):
        task.cancel()
    await asyncio.wait((sending, closing))
    print(json.dumps({"closed": name}), flush=True)
    writer.transport.abort()


async def main(place):
    """Serve the ways of one place until the process is killed."""
    addresses = {}
    for name in WAYS[place]:

        async def accept(reader, writer, name=name):
            with contextlib.suppress(ConnectionError):
                await serve(name, reader, writer)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        addresses[name] = "{}:{}".format(*server.sockets[0].getsockname())
    print(json.dumps(addresses), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
