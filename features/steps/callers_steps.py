"""Steps on the HTTP server for callers, mostly through raw sockets."""

import asyncio
import json
import re
import socket
import tempfile
from pathlib import Path

from behave import given, then, when
from certificates import write_certificate
from http_fixtures import (
    HOST_IP,
    PATIENCE_S,
    client,
    connect,
    parse_problem,
    run,
    serve,
    talk,
    until,
)

from peridotfront import tls
from peridotfront.callers import problem
from peridotfront.core.verdicts import Reason, Refusal, Verdict
from peridotfront.exceptions import CallerGone, ConnectFailed

HEAD = b"POST /path HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
GOOD = HEAD + b"Content-Length: 2\r\nConnection: close\r\n\r\nok"
BODY_LIMIT_BYTES = 64 * 1024
HEADER_LIMIT_BYTES = 16 * 1024
STREAM_PIECE = bytes(range(256)) * 64
STREAM_PIECES = 1280
SOCKET_BUFFERS_BYTES = 12 * 1024 * 1024

FAULTS = {
    "a broken request line": b"\x00\x01 nonsense\r\n\r\n",
    "a header without a colon": HEAD + b"nonsense\r\n\r\n",
    "no Host": b"GET / HTTP/1.1\r\n\r\n",
    "two lengths": HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "a length and chunks": HEAD
    + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a negative length": HEAD + b"Content-Length: -1\r\n\r\n",
    "a length of 30 digits": HEAD + b"Content-Length: " + b"9" * 30 + b"\r\n\r\n",
    "a length over the limit": HEAD
    + b"Content-Length: %d\r\n\r\n" % (BODY_LIMIT_BYTES + 1),
    "chunks over the limit": CHUNKED
    + b"8000\r\n"
    + b"x" * 0x8000
    + b"\r\n"
    # The last chunk is not whole: the limit is met before its end.
    + b"9000\r\n"
    + b"x" * 0x8001,
    "a bad chunk size": CHUNKED + b"zz\r\n",
    "very small chunks": CHUNKED + b"1\r\nx\r\n" * 2000 + b"0\r\n\r\n",
    "very long chunk extensions": CHUNKED
    + (b"100;" + b"e" * 8000 + b"\r\n" + b"x" * 256 + b"\r\n") * 100,
    "a header over the limit": b"GET / HTTP/1.1\r\nHost: a\r\n"
    + b"A: "
    + b"x" * HEADER_LIMIT_BYTES
    + b"\r\n\r\n",
    "a header over the limit in bits": b"GET / HTTP/1.1\r\nHost: a\r\n"
    + b"A: b\r\n" * HEADER_LIMIT_BYTES,
    "raw UTF-8 in the target": b"GET /\xc3\xa9 HTTP/1.1\r\nHost: a\r\n\r\n",
    "a target without a path": b"GET nonsense HTTP/1.1\r\nHost: a\r\n\r\n",
    "a body cut short": HEAD + b"Content-Length: 10\r\n\r\nabc",
}
JSON_FAULTS = {
    "bad UTF-8": b'"\xff\xfe"',
    "a huge integer": b'{"max_tokens": 1' + b"0" * 40 + b"}",
    "a number that is no number": b"[NaN]",
    "deep nesting": b"[" * 60_000,
}


def post(body, *headers):
    length = b"Content-Length: %d\r\n" % len(body)
    return HEAD + length + b"".join(h + b"\r\n" for h in headers) + b"\r\n" + body


async def read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head.lower())
    return head, await reader.readexactly(int(length[1]))


@given("a server whose handler repeats the body")
def repeating_server(context):
    context.handled = 0

    async def handler(exchange):
        context.handled += 1
        await exchange.respond(200, [], exchange.request.body or b"empty")

    serve(context, handler, body_bytes=BODY_LIMIT_BYTES)


@when("a caller sends a request with {fault}")
def send_fault(context, fault):
    data = FAULTS[fault]
    half_close = fault == "a body cut short"
    context.answer = parse_problem(
        run(context, talk(context.address, data, half_close))
    )


@then("the answer is a problem with status {status_code:d} and verdict {verdict}")
def is_problem(context, status_code, verdict):
    assert context.answer.status_code == status_code, context.answer
    assert "application/problem+json" in context.answer.head
    assert context.answer.content["verdict"] == verdict
    assert context.answer.content["status"] == status_code
    assert "Traceback" not in str(context.answer.content)


@then("the handler ran no request")
def nothing_ran(context):
    assert context.handled == 0


@then("a good request is served afterwards")
def good_request(context):
    answer = run(context, talk(context.address, GOOD))
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"\r\n\r\nok")
    run(context, until(lambda: context.server.connections == 0))
    assert context.server.requests_in_progress == 0


@given("a server whose handler reads JSON")
def json_server(context):
    async def handler(exchange):
        exchange.request.json()

    serve(context, handler)


@when("a caller sends {fault} as JSON")
def send_json(context, fault):
    data = post(JSON_FAULTS[fault], b"Connection: close")
    context.answer = parse_problem(run(context, talk(context.address, data)))


@given("a server with a {name} limit of {value:d}")
def limited_server(context, name, value):
    async def handler(exchange):
        await exchange.respond(200, [], exchange.request.body)

    serve(context, handler, **{name: value})


@when("a caller sends half a request and waits")
def half_request(context):
    context.answer = parse_problem(run(context, talk(context.address, GOOD[:40])))


@when("a caller connects and sends nothing")
def send_nothing(context):
    context.answer = run(context, talk(context.address, b""))


@then("it reads the end without any byte")
def nothing_read(context):
    assert context.answer == b""


@when("a caller holds a connection and three others come")
def too_many(context):
    async def crowd():
        context.held = await connect(context.address)
        await until(lambda: context.server.connections == 1)
        context.others = [await connect(context.address) for _ in range(3)]
        return [await reader.read() for reader, _ in context.others]

    context.answers = [parse_problem(answer) for answer in run(context, crowd())]


@then("each of the three gets a problem with status 503 and Retry-After")
def all_refused(context):
    for answer in context.answers:
        assert answer.status_code == 503 and "retry-after: 1" in answer.head
        assert answer.content["verdict"] == "not_run"


@then("the held connection is served, and after its end another one")
def held_is_served(context):
    async def use():
        reader, writer = context.held
        writer.write(GOOD)
        first = await reader.read()
        writer.close()
        # The three have not closed their side yet.
        await until(lambda: context.server.connections == 3)
        second = await talk(context.address, GOOD)
        for _, writer in context.others:
            writer.close()
        return first, second

    assert all(answer.endswith(b"ok") for answer in run(context, use()))


@when("a caller sends {count:d} requests at once")
def pipeline(context, count):
    context.bodies = [b"%d" % number * 100 for number in range(count)]
    requests = [post(body) for body in context.bodies[:-1]]
    requests.append(post(context.bodies[-1], b"Connection: close"))
    context.answer = run(context, talk(context.address, b"".join(requests)))


@then("{count:d} answers come back in the order of the requests")
def in_order(context, count):
    parts = context.answer.split(b"HTTP/1.1 200 \r\n")[1:]
    assert len(parts) == count
    assert [part.split(b"\r\n\r\n")[1] for part in parts] == context.bodies


@when("a caller sends a head with Expect and then the body")
def expect_continue(context):
    async def ask():
        reader, writer = await connect(context.address)
        writer.write(post(b"", b"Expect: 100-continue").replace(b": 0", b": 2"))
        context.interim = await reader.readuntil(b"\r\n\r\n")
        writer.write(b"ok")
        context.answer = await read_answer(reader)
        writer.close()

    run(context, asyncio.wait_for(ask(), PATIENCE_S))


@then("it reads 100 Continue and then the answer")
def continued(context):
    assert context.interim.startswith(b"HTTP/1.1 100")
    assert context.answer[1] == b"ok"


def stream_handler(context):
    context.written_bytes = 0
    context.outcome = None

    async def handler(exchange):
        await exchange.start(200)
        try:
            for _ in range(STREAM_PIECES):
                await exchange.write(STREAM_PIECE)
                context.written_bytes += len(STREAM_PIECE)
            await exchange.finish()
        except CallerGone:
            context.outcome = "gone"
            raise

    return handler


@given("a server whose handler streams 20 megabytes")
def streaming_server(context):
    serve(context, stream_handler(context))


@given("a server with a write_ms limit of {write_ms:d} that streams 20 megabytes")
def stalled_server(context, write_ms):
    serve(context, stream_handler(context), write_ms=write_ms)


@when("a caller reads nothing until the handler waits")
def read_nothing(context):
    async def stall():
        context.raw = await connect(context.address)
        context.raw[1].write(HEAD.replace(b"POST", b"GET") + b"\r\n")
        await until(lambda: context.server.requests_in_progress == 1)
        seen_bytes = -1
        while seen_bytes != context.written_bytes:
            seen_bytes = context.written_bytes
            for _ in range(50):
                await asyncio.sleep(0)

    run(context, stall())


@then("the handler has written no more than the buffers of both sides")
def bounded(context):
    assert 0 < context.written_bytes < SOCKET_BUFFERS_BYTES, context.written_bytes
    (connection,) = context.server._open
    buffered_bytes = connection._transport.get_write_buffer_size()
    limit_bytes = context.server.limits.write_buffer_bytes
    assert buffered_bytes <= limit_bytes + 2 * len(STREAM_PIECE), buffered_bytes


@then("the caller then reads all bytes in order")
def reads_all(context):
    async def read():
        reader, writer = context.raw
        await reader.readuntil(b"\r\n\r\n")
        body = bytearray()
        while size_bytes := int(await reader.readline(), 16):
            body += await reader.readexactly(size_bytes)
            await reader.readline()
        writer.close()
        return bytes(body)

    assert run(context, read()) == STREAM_PIECE * STREAM_PIECES


@when("a caller reads nothing for longer")
def never_read(context):
    read_nothing(context)


@then("the handler is told that the caller is gone")
def told_gone(context):
    run(context, until(lambda: context.outcome == "gone"))
    run(context, until(lambda: context.server.requests_in_progress == 0))


@given("a server whose handler waits for the caller to vanish")
def waiting_server(context):
    context.begun = asyncio.Event()

    async def handler(exchange):
        if exchange.request.path == "/streams":
            await exchange.start(200)
            await exchange.write(b"first")
        context.begun.set()
        await exchange.gone.wait()
        await exchange.write(b"nobody reads this")

    serve(context, handler)


@when("a caller closes its connection while its request {state}")
def vanish(context, state):
    async def leave():
        _, writer = await connect(context.address)
        await until(lambda: context.server.connections == 1)
        request = GOOD.replace(b"/path", b"/streams") if state == "streams" else GOOD
        writer.write(request[:-1] if state == "is read" else request)
        if state != "is read":
            await asyncio.wait_for(context.begun.wait(), PATIENCE_S)
        writer.close()

    run(context, leave())


@then("no task and no connection is left")
def nothing_left(context):
    run(context, until(lambda: context.server.requests_in_progress == 0))
    run(context, until(lambda: context.server.connections == 0))


@given("a server whose handler cuts its stream")
def cutting_server(context):
    async def handler(exchange):
        await exchange.start(200)
        await exchange.write(b"data")
        exchange.abort()

    serve(context, handler)


@when("a caller reads the stream by {version}")
def read_stream(context, version):
    async def read():
        reader, writer = await connect(context.address)
        writer.write(GOOD.replace(b"HTTP/1.1", version.encode()))
        try:
            context.answer = await reader.read()
            context.was_reset = False
        except ConnectionResetError:
            context.was_reset = True
        writer.close()

    context.version = version
    run(context, read())


@then("it sees the data and that the stream is not whole")
def sees_cut(context):
    if context.version == "HTTP/1.0":
        assert context.was_reset
        return
    assert context.answer.endswith(b"4\r\ndata\r\n"), context.answer


@given("a server whose handler fails {moment}")
def failing_server(context, moment):
    async def handler(exchange):
        if moment == "by not answering":
            return
        if moment == "with a bad header":
            await exchange.respond(200, [("x", "secret\r\nb: c")])
        if moment == "within its answer":
            await exchange.start(200)
            await exchange.write(b"data")
        raise ZeroDivisionError("secret")

    serve(context, handler)


@when("a caller asks it")
def ask(context):
    context.answer = run(context, talk(context.address, GOOD))


@then("the caller sees {result} and nothing of the cause")
def sees_result(context, result):
    assert b"secret" not in context.answer and b"ZeroDivision" not in context.answer
    if result == "a cut stream":
        assert context.answer.endswith(b"4\r\ndata\r\n")
        return
    answer = parse_problem(context.answer)
    assert answer.status_code == 500
    assert answer.content["verdict"] == "may_have_run"


@given("a server whose handler writes after its end")
def late_writer(context):
    context.late = []

    async def handler(exchange):
        await exchange.start(200)
        await exchange.write(exchange.request.body)
        await exchange.finish()
        await asyncio.sleep(0)
        try:
            await exchange.write(b"late")
        except RuntimeError:
            context.late.append("refused")

    serve(context, handler)


@when("a caller sends two requests on one connection")
def two_requests(context):
    data = post(b"one") + post(b"two", b"Connection: close")
    context.answer = run(context, talk(context.address, data))


@then("both answers are as they should be")
def both_right(context):
    bodies = [
        part.split(b"\r\n\r\n", 1)[1] for part in context.answer.split(b"HTTP/")[1:]
    ]
    assert bodies == [b"3\r\none\r\n0\r\n\r\n", b"3\r\ntwo\r\n0\r\n\r\n"], bodies
    assert context.late == ["refused", "refused"]


@when("a caller sends HEAD and then GET on one connection")
def head_then_get(context):
    data = GOOD.replace(b"Connection: close\r\n", b"").replace(b"POST", b"HEAD") + GOOD
    context.answer = run(context, talk(context.address, data))


@then("the answer to HEAD has a length but no body")
def no_body(context):
    first, second = context.answer.split(b"HTTP/1.1 200 \r\n")[1:]
    assert b"content-length: 2" in first.lower() and first.endswith(b"\r\n\r\n")
    assert second.endswith(b"\r\n\r\nok")


@given("a server whose caller closes just before its answer")
def closing_caller(context):
    context.error = None

    async def handler(exchange):
        context.raw.close()
        try:
            await exchange.respond(200, [], b"late")
        except Exception as error:
            context.error = error

    serve(context, handler)


@when("the handler answers")
def answer_late(context):
    host_ip, _, port = context.address.rpartition(":")
    context.raw = socket.create_connection((host_ip, int(port)))
    context.raw.sendall(GOOD)
    run(context, until(lambda: context.raw.fileno() == -1))


@then("the handler sees no error but CallerGone")
def no_error(context):
    assert context.error is None or isinstance(context.error, CallerGone), context.error


@given("a server whose handler waits for a word")
def word_server(context):
    context.word = asyncio.Event()

    async def handler(exchange):
        await context.word.wait()
        await exchange.respond(200, [], b"done")

    serve(context, handler)


@when("it is drained while a request runs and another comes")
def drain_with_requests(context):
    async def drain():
        request = GOOD.replace(b"Connection: close\r\n", b"")
        first = asyncio.create_task(talk(context.address, request))
        await until(lambda: context.server.requests_in_progress == 1)
        drained = asyncio.create_task(context.server.drain(PATIENCE_S * 1000))
        second = asyncio.create_task(talk(context.address, request))
        await until(lambda: context.server.requests_in_progress == 2)
        assert not drained.done()
        context.word.set()
        context.answers = await asyncio.gather(first, second)
        assert await drained

    run(context, drain())


@then("both are answered with Connection close")
def both_closed(context):
    for answer in context.answers:
        assert answer.endswith(b"done") and b"connection: close" in answer.lower()


@then("after the listener is closed nobody can connect")
def listener_closed(context):
    async def attempt():
        context.server.close_listener()
        try:
            await connect(context.address)
        except ConnectionRefusedError:
            return True
        return False

    assert run(context, attempt())


@when("it is drained right after a request on a kept connection")
def drain_kept(context):
    async def drain():
        reader, writer = await connect(context.address)
        writer.write(post(b"one"))
        await read_answer(reader)
        drained = asyncio.create_task(context.server.drain(PATIENCE_S * 1000))
        for _ in range(5):
            await asyncio.sleep(0.01)
        context.was_waiting = not drained.done()
        writer.write(post(b"two"))
        context.answer = await reader.read()
        writer.close()
        assert await drained

    run(context, drain())


@then("a request on that connection is served during the drain")
def served_in_drain(context):
    assert context.was_waiting
    assert context.answer.endswith(b"two")
    assert b"connection: close" in context.answer.lower()


@given("a server with a certificate")
def tls_server(context):
    folder = Path(tempfile.mkdtemp())
    context.certificate_file, key_file = write_certificate(folder, HOST_IP)

    async def handler(exchange):
        await exchange.respond(200, [], exchange.request.body)

    ssl_context = tls.server_context(context.certificate_file, key_file)
    serve(context, handler, ssl_context=ssl_context)


@when("a client that trusts it sends a megabyte")
def send_megabyte(context):
    trusting = tls.client_context(context.certificate_file)
    opened = client(context, ssl_context=trusting)

    async def send():
        answer = await opened.send(context.address, "POST", "/", body=b"m" * 1_000_000)
        return await answer.read()

    context.answer = run(context, send())


@then("the answer over TLS is the same megabyte")
def same_megabyte(context):
    assert context.answer == b"m" * 1_000_000


@then("a client that does not trust it knows that nothing ran")
def no_trust(context):
    opened = client(context, ssl_context=tls.client_context(other_authority()))
    try:
        run(context, opened.send(context.address, "GET", "/"))
    except ConnectFailed as error:
        assert error.verdict is Verdict.NOT_RUN
        return
    raise AssertionError("the handshake succeeded")


def other_authority():
    return write_certificate(Path(tempfile.mkdtemp()), HOST_IP)[0]


@when("a refusal says to come back in {retry_after_ms:d} ms")
def refusal(context, retry_after_ms):
    refused = Refusal(Verdict.NOT_RUN, Reason.OVERLOADED, retry_after_ms, "busy")
    context.problem = problem(503, refused, "id-1")


@then("its Retry-After is {seconds} and its body has every field")
def has_fields(context, seconds):
    assert ("retry-after", seconds) in context.problem.headers
    content = json.loads(context.problem.body)
    assert content["retry_after_ms"] == 1200 and content["request_id"] == "id-1"
    assert content["reason"] == "overloaded" and content["verdict"] == "not_run"
