"""Steps for requests that cross the close of their connection."""

import asyncio
import contextlib
import errno
import socket
import time
from dataclasses import replace
from functools import partial

from behave import given, then, when
from http_fixtures import HOST_IP, TIMEOUT_S, run, serve, until

CHUNK_BYTES = 65_536
LONG_BYTES = 5000
AFTER_ALL_LIMITS_S = 1e12
POLL_S = 0.001
RESETS = (errno.ECONNRESET, errno.EPIPE)
END_OF_CHUNKS = b"0\r\n\r\n"


def post(body, path=b"/"):
    """Return the bytes of a request."""
    head = b"POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
    return head % (path, len(body)) + body


class Caller:
    """Caller on a socket of its own, which sees a reset where a stream does not.

    :param answers: bytes received.
    :param was_reset: whether the connection was reset.
    """

    def __init__(self, server):
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self.answers = b""
        self.was_reset = False

    async def connect(self):
        """Connect, and wait until the server has the connection."""
        await self._loop.sock_connect(self._socket, (HOST_IP, self._server.port))
        await until(lambda: self._server.connections)

    async def send(self, data):
        """Send bytes."""
        await self._loop.sock_sendall(self._socket, data)

    async def read_until(self, end):
        """Read until the received bytes end so."""
        async with asyncio.timeout(TIMEOUT_S):
            while not self.answers.endswith(end):
                self.answers += await self._loop.sock_recv(self._socket, CHUNK_BYTES)

    def close(self):
        """Close the connection."""
        self._socket.close()

    async def read_to_end(self):
        """Read until the connection ends, or is reset."""
        async with asyncio.timeout(TIMEOUT_S):
            try:
                while data := await self._loop.sock_recv(self._socket, CHUNK_BYTES):
                    self.answers += data
            except ConnectionError:
                self.was_reset = True
        self._socket.close()

    async def read_answer(self):
        """Read until there is something of an answer, or the connection ends."""
        async with asyncio.timeout(TIMEOUT_S):
            with contextlib.suppress(ConnectionError):
                self.answers += await self._loop.sock_recv(self._socket, CHUNK_BYTES)
        self._socket.close()

    async def wait_for_reset(self):
        """Read until the connection is reset, also after its end.

        :return: the time that it took in milliseconds.
        """
        began_s = time.monotonic()
        async with asyncio.timeout(TIMEOUT_S):
            while not await self._is_reset():
                await asyncio.sleep(POLL_S)
        self._socket.close()
        return (time.monotonic() - began_s) * 1000

    async def _is_reset(self):
        # A reset after the end of the stream shows only in the state of the socket.
        if self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) in RESETS:
            return True
        try:
            self.answers += await self._loop.sock_recv(self._socket, CHUNK_BYTES)
        except ConnectionResetError:
            return True
        return False


async def answer(context, exchange):
    """Repeat the body; on one path in chunks, of which the last waits."""
    body = exchange.request.body
    context.bodies.append(body)
    if exchange.request.path == "/":
        await exchange.respond(200, [], body)
        return
    if exchange.request.path == "/late":
        await until(lambda: context.is_released)
    await exchange.start(200)
    await exchange.write(b"half")
    if exchange.request.path == "/until-gone":
        await exchange.gone.wait()
        context.is_gone = True
        return
    await until(lambda: context.is_released)
    await exchange.write(body)
    await exchange.finish()


async def cross_idle(context, caller):
    """Send a request while the idle connection is closed."""
    await caller.send(post(b"one"))
    await caller.read_until(b"one")
    context.server.is_draining = True
    context.server.close_idle()
    await caller.send(post(b"crossing"))


async def cross_idle_end(context, caller):
    """Send a request when the idle time of the connection is over."""
    await caller.send(post(b"one"))
    await caller.read_until(b"one")
    for connection in list(context.server._open):
        connection.check_deadlines(AFTER_ALL_LIMITS_S)
    await caller.send(post(b"crossing"))


async def cross_announced(context, caller):
    """Send a request after an answer that announces the close."""
    context.server.is_draining = True
    await caller.send(post(b"one"))
    await caller.read_until(b"one")
    await caller.send(post(b"crossing"))


async def cross_unannounced(context, caller):
    """Send a request after an answer that began before the drain."""
    await caller.send(post(b"one", b"/halves"))
    await caller.read_until(b"half\r\n")
    context.server.is_draining = True
    context.is_released = True
    await caller.read_until(END_OF_CHUNKS)
    await caller.send(post(b"crossing"))


async def cross_running(context, caller):
    """Send a request during an answer that announces the close."""
    context.server.is_draining = True
    await caller.send(post(b"one", b"/halves"))
    await caller.read_until(b"half\r\n")
    await caller.send(post(b"crossing"))
    await asyncio.sleep(POLL_S)
    context.is_released = True
    await caller.read_until(END_OF_CHUNKS)


CROSSINGS = {
    "its idle time is over": cross_idle_end,
    "the answer that runs announced the close": cross_running,
    "it is idle while its host drains": cross_idle,
    "its answer announced the close": cross_announced,
    "its answer began before the drain and has ended": cross_unannounced,
}


@given("a server that is about to drain")
def make_server(context):
    context.bodies = []
    context.is_released = False
    context.is_gone = False
    serve(context, partial(answer, context))


@when("a request crosses the close of its connection, which ends since {cause}")
def cross(context, cause):
    async def play():
        context.caller = caller = Caller(context.server)
        await caller.connect()
        await CROSSINGS[cause](context, caller)
        context.reset_ms = await caller.wait_for_reset()

    run(context, play())


@then("the caller has read the whole answer before it")
def answer_is_whole(context):
    answers = context.caller.answers
    assert answers.count(b"HTTP/1.1 200") == 1, answers
    assert answers.endswith((b"one", END_OF_CHUNKS)), answers


@then("the crossing request was reset within {limit:d} ms, and no handler ran it")
def reset_soon(context, limit):
    assert context.bodies == [b"one"], context.bodies
    assert context.reset_ms <= limit, context.reset_ms


@when("the drain begins while the first answer runs and the second request waits")
def drain_in_answer(context):
    drain_before_second(context, b"/halves")


@when("the drain begins while the second request waits for the first answer's head")
def drain_before_answer(context):
    drain_before_second(context, b"/late")


def drain_before_second(context, path):
    async def play():
        context.caller = caller = Caller(context.server)
        await caller.connect()
        await caller.send(post(b"one", path) + post(b"two"))
        await until(lambda: context.bodies)
        if path == b"/halves":
            await caller.read_until(b"half\r\n")
        context.server.is_draining = True
        context.server.close_idle()
        context.is_released = True
        await caller.read_to_end()

    run(context, play())


@then("both requests are answered, and only the last answer announces the close")
def both_answered(context):
    assert context.bodies == [b"one", b"two"], context.bodies
    first, end, second = context.caller.answers.partition(END_OF_CHUNKS)
    assert first.startswith(b"HTTP/1.1 200") and end, context.caller.answers
    assert b"connection: close" not in first.lower(), first
    assert second.startswith(b"HTTP/1.1 200") and second.endswith(b"two"), second
    assert b"connection: close" in second.lower(), second


@then("the connection ends without a reset")
def no_reset(context):
    assert not context.caller.was_reset


@given('a server whose limit of "{limit}" is {value:d}')
def make_limited_server(context, limit, value):
    context.bodies = []
    context.limit = limit
    serve(context, partial(answer, context), **{limit: value})


@when(
    "the limit becomes {value:d}, and a caller uses its older connection again"
    " {idle:d} ms later"
)
def change_limit(context, value, idle):
    async def play():
        context.caller = caller = Caller(context.server)
        await caller.connect()
        await caller.send(post(b"one"))
        await caller.read_until(b"one")
        caller.answers = b""
        limits = context.server.limits
        context.server.limits = replace(limits, **{context.limit: value})
        await asyncio.sleep(idle / 1000)
        size = LONG_BYTES if context.limit != "idle_timeout_ms" else 0
        is_header = context.limit == "max_header_bytes"
        long_path = b"/?" + b"x" * (size if is_header else 0)
        await caller.send(post(b"." * (0 if is_header else size) + b"two", long_path))
        await caller.read_answer()

    run(context, play())


@then("the connection is {result}")
def connection_is(context, result):
    answers = context.caller.answers
    expected = {"served": b"HTTP/1.1 200", "refused": b"HTTP/1.1 413", "closed": b""}
    assert answers[: len(b"HTTP/1.1 200")] == expected[result], answers


@when("a caller leaves within an answer that announces the close")
def leave(context):
    async def play():
        caller = Caller(context.server)
        await caller.connect()
        context.server.is_draining = True
        await caller.send(post(b"one", b"/until-gone"))
        await caller.read_until(b"half\r\n")
        caller.close()
        left_s = time.monotonic()
        await until(lambda: context.is_gone)
        context.noticed_ms = (time.monotonic() - left_s) * 1000
        await until(lambda: not context.server.connections)

    run(context, play())


@then("the handler is told within {limit:d} ms, and no connection is left")
def noticed(context, limit):
    assert context.noticed_ms <= limit, context.noticed_ms
    assert not context.server.connections


@when("a caller connects, idle connections are closed, and it sends its first request")
def connect_late(context):
    async def play():
        context.caller = caller = Caller(context.server)
        other = Caller(context.server)
        await caller.connect()
        await other.connect()
        await until(lambda: context.server.connections == 2)
        context.server.is_draining = True
        context.server.close_idle()
        await caller.send(post(b"one"))
        await caller.read_to_end()
        closed_s = time.monotonic()
        await other.read_to_end()
        context.closed_ms = (time.monotonic() - closed_s) * 1000

    run(context, play())


@then("it is answered, and the answer announces the close")
def answered_late(context):
    answers = context.caller.answers
    assert answers.startswith(b"HTTP/1.1 200") and answers.endswith(b"one"), answers
    assert b"connection: close" in answers.lower(), answers


@then("a connection on which nothing comes is closed within {limit:d} ms")
def closed_soon(context, limit):
    assert context.closed_ms <= limit, context.closed_ms
