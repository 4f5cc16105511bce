"""Steps for the limits on callers, in one process."""

import asyncio
import contextlib
import gc
import time

from behave import given, then, when
from http_fixtures import connect, parse_problem, run, send_and_receive, serve, until
from support.routed_upstreams import routing, run_front
from support.scripted_upstreams import Upstream

from peridotfront.core.routes import RouteTable
from peridotfront.forwarding import Forwarding
from peridotfront.held_bytes import is_stalled

KB = 1000
REPEAT_S = 0.05
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"
CLOSE = b"Connection: close\r\n"


def post(size_bytes, sent_bytes=None, fields=CLOSE):
    """Return a request with a body, or the first bytes of its body."""
    sent_bytes = size_bytes if sent_bytes is None else sent_bytes
    return (
        HEAD + fields + b"Content-Length: %d\r\n\r\n" % size_bytes + b"b" * sent_bytes
    )


def hold_first(context, **limits):
    """Serve, and keep the first request in progress until it is released."""
    context.released = None

    async def handle(exchange):
        if context.released is None:
            context.released = asyncio.Event()
            await context.released.wait()
        await exchange.respond(200, [], b"ok")

    serve(context, handle, **limits)

    async def begin():
        sending = asyncio.create_task(send_and_receive(context.address, post(50 * KB)))
        await until(lambda: context.server.requests_in_progress == 1)
        return sending

    context.first = run(context, begin())


@given("a server whose answers have a header of 8 kB")
def serve_long_headers(context):
    context.max_held_bytes = 0

    async def handle(exchange):
        held_bytes = context.server.held.total_bytes
        context.max_held_bytes = max(context.max_held_bytes, held_bytes)
        await exchange.respond(200, [("x-fill", "a" * 8 * KB)])

    serve(context, handle)


@when("a caller sends {count:d} long requests at once and reads nothing yet")
def send_ahead(context, count):
    data = b"GET /x HTTP/1.1\r\nHost: h\r\nX-Fill: %s\r\n\r\n" % (b"a" * 8 * KB) * count

    async def send():
        reader, writer = await connect(context.address)
        writer.write(data)
        (connection,) = await connections(context, 1)
        await until(lambda: connection.is_sending)
        return reader, writer

    context.caller = run(context, send())


async def connections(context, count):
    """Wait for a number of connections of the server, and return them."""
    await until(lambda: context.server.connections == count)
    return list(context.server._open)


async def until_stalled(waiting):
    """Wait until all of some connections of the server are stalled."""
    await until(lambda: all(is_stalled(c, time.monotonic()) for c in waiting))


@then("the server held at most {limit:d} kB for it")
def held_little(context, limit):
    assert 0 < context.max_held_bytes <= limit * KB, context.max_held_bytes


@then("the caller gets all {count:d} answers once it reads")
def all_answered(context, count):
    async def read():
        reader, writer = context.caller
        for _ in range(count):
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200"), head[:40]
        writer.close()

    run(context, read())


@given("a server that may hold 1 MB, with one request in progress")
def serve_little_room(context):
    hold_first(context, max_held_bytes=1000 * KB)


@given("a server that may have 1 request in progress, with one in progress")
def serve_one(context):
    hold_first(context, max_requests=1)


@given("a server with a limit of 1 connections, with one request in progress")
def serve_one_connection(context):
    hold_first(context, max_connections=1)


@when("three callers stall within bodies of 50, 300 and 450 kB")
def stall(context):
    async def send():
        callers = {}
        for size in (50, 300, 450):
            callers[size] = await connect(context.address)
            callers[size][1].write(post(600 * KB, size * KB))
        await until(lambda: context.server.held.total_bytes >= 850 * KB)
        open_connections = await connections(context, len(callers) + 1)
        stalling = [c for c in open_connections if c.is_waiting]
        assert len(stalling) == len(callers), stalling
        await until_stalled(stalling)
        return callers

    context.callers = run(context, send())


async def send_until_served(context, data):
    """Repeat a request while it is refused as not run, or its connection closed."""
    while True:
        answer = await send_and_receive(context.address, data)
        if answer.startswith(b"HTTP/1.1 200"):
            return answer
        assert not answer or parse_problem(answer).status_code == 503, answer
        await asyncio.sleep(REPEAT_S)


@then("another caller's request with a body of 300 kB is served")
def other_served(context):
    run(context, send_until_served(context, post(300 * KB)))


@then("the connection that stalled with 450 kB is closed, and the two others are not")
def largest_closed(context):
    async def look():
        reader, _ = context.callers[450]
        with contextlib.suppress(ConnectionError):
            assert not await reader.read()
        for size in (50, 300):
            assert not context.callers[size][0].at_eof(), size
        for _, writer in context.callers.values():
            writer.close()

    run(context, look())
    assert context.server.held.closed["held_bytes"] == 1


@then("the request in progress is answered")
def first_answered(context):
    async def release():
        context.released.set()
        return await context.first

    assert run(context, release()).endswith(b"ok")


@when("another caller sends 1200 kB of a body")
def send_large(context):
    async def send():
        reader, writer = await connect(context.address)
        writer.write(post(1300 * KB, 1200 * KB))
        answer = await reader.read()
        context.held_bytes = context.server.held.total_bytes
        writer.close()
        return answer

    context.answer = run(context, send())


@then("what it sent is no longer held, though its connection is open")
def not_held(context):
    # The request in progress has a body of 50 kB.
    assert context.held_bytes <= 60 * KB, context.held_bytes


@when("another caller sends a request")
def send_other(context):
    context.answer = run(context, send_and_receive(context.address, post(1)))


@then("it gets 503 with the verdict not_run")
def refused(context):
    problem = parse_problem(context.answer)
    assert problem.status_code == 503 and problem.content["verdict"] == "not_run"


@given("a server with a limit of 2 connections, both open without a request")
def serve_two_connections(context):
    async def handle(exchange):
        await exchange.respond(200, [], b"ok")

    serve(context, handle, max_connections=2)

    async def open_both():
        both = [await connect(context.address) for _ in range(2)]
        await connections(context, 2)
        return both

    context.idle = run(context, open_both())


@when("another caller repeats a request until it is served")
def repeat_until_served(context):
    run(context, send_until_served(context, post(1)))


@then("a connection without a request was closed for it")
def idle_closed(context):
    assert context.server.held.closed["connections"] >= 1
    for _, writer in context.idle:
        writer.close()


@when("{count:d} callers connect and send nothing")
def connect_many(context, count):
    context.max_open = 0

    async def connect_all():
        callers = []
        for _ in range(count):
            callers.append(await connect(context.address))
            context.max_open = max(context.max_open, context.server.connections)
        for _, writer in callers:
            writer.close()

    run(context, connect_all())


@then("at most {limit:d} of them are open at the server at a time")
def few_open(context, limit):
    assert 1 < context.max_open <= limit + 1, context.max_open
    first_answered(context)


@given("a gateway before an upstream that answers")
def make_gateway(context):
    context.upstreams = [Upstream("u1", ["answer"])]
    context.routes = RouteTable(routing())


@when("a request is answered while the garbage collector is off")
def answer_without_collector(context):
    async def work(front):
        gc.collect()
        gc.disable()
        try:
            answer = await front.call("/look-up/x", body=b"b")
            await until(lambda: front.http.requests_in_progress == 0)
            left = [o for o in gc.get_objects() if isinstance(o, Forwarding)]
            context.left = len(left)
        finally:
            gc.enable()
        return answer

    context.answer = run_front(context, work)


@then("no object of its forwarding is left")
def none_left(context):
    assert context.answer.status == 200, context.answer
    assert context.left == 0, context.left


@given("a kept connection that has been idle for long")
def keep_idle(context):
    async def use():
        reader, writer = await connect(context.address)
        writer.write(post(1, fields=b""))
        await reader.readuntil(b"ok")
        open_connections = await connections(context, 2)
        (kept,) = [c for c in open_connections if c.is_idle]
        await until_stalled([kept])
        return reader, writer

    context.kept = run(context, use())


@when("it has sent 450 kB of a body and another caller sends a body of 600 kB")
def send_both(context):
    async def send():
        context.kept[1].write(post(451 * KB, 450 * KB))
        await until(lambda: context.server.held.total_bytes >= 500 * KB)
        return await send_and_receive(context.address, post(600 * KB))

    context.answer = run(context, send())


@then("the kept connection's request is served")
def kept_served(context):
    async def end():
        reader, writer = context.kept
        writer.write(b"b" * KB)
        assert (await reader.read()).endswith(b"ok")
        writer.close()

    run(context, end())


@given("a server that may hold 1 MB and answers with 30 MB")
def serve_large(context):
    async def handle(exchange):
        await exchange.respond(200, [], b"a" * 30_000 * KB)

    serve(context, handle, max_held_bytes=1000 * KB)


@given("a server that may hold 1 MB and sends streams without end")
def serve_streams(context):
    async def handle(exchange):
        await exchange.start(200)
        while True:
            await exchange.write(b"a" * 30 * KB)

    serve(context, handle, max_held_bytes=1000 * KB)


@when("a caller requests it and does not read")
def request_one(context):
    request_unread(context, 1)


@when("{count:d} callers request it and do not read")
def request_unread(context, count):
    async def send():
        callers = [await connect(context.address) for _ in range(count)]
        for _, writer in callers:
            writer.write(post(1))
        return callers

    context.unread = run(context, send())


@then("a connection is closed for the bytes that it holds")
def closed_for_bytes(context):
    run(context, until(lambda: context.server.held.closed["held_bytes"]))
    for _, writer in context.unread:
        writer.close()


@then("a drain of 60 s ends at once")
def drain_ends(context):
    # The step has a time limit far below that of the drain.
    assert run(context, context.server.drain(60_000))
    context.caller[1].transport.abort()


@given("a server that may hold 1 MB, whose handlers wait")
def serve_waiting(context):
    async def handle(exchange):
        await exchange.gone.wait()

    serve(context, handle, max_held_bytes=1000 * KB)


@when("{count:d} callers send a request and 300 kB of others ahead")
def send_ahead_of_others(context, count):
    async def send():
        callers = [await connect(context.address) for _ in range(count)]
        for _, writer in callers:
            writer.write(post(1, fields=b""))
        await until(lambda: context.server.requests_in_progress == count)
        for _, writer in callers:
            writer.write(post(1, fields=b"") * (300 * KB // len(post(1, fields=b""))))
        return callers

    context.unread = run(context, send())


@then("the server holds at most 1 MB")
def holds_little(context):
    run(context, until(lambda: context.server.held.total_bytes <= 1000 * KB))
