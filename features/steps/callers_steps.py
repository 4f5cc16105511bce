"""Steps for the HTTP server for callers, mostly through raw sockets."""

import asyncio
import json
import socket
import ssl
import tempfile
import time
from functools import partial
from pathlib import Path

import grpc
from behave import given, then, when
from certificates import write_certificate
from http_fixtures import (
    HOST_IP,
    TIMEOUT_S,
    client,
    connect,
    parse_problem,
    run,
    send_and_receive,
    serve,
    until,
)

from peridotfront import tls
from peridotfront.core.verdicts import Reason, Refusal, Verdict
from peridotfront.exceptions import CallerGone, ConnectFailed
from peridotfront.http_server import problem

HEAD = b"POST /path HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
GOOD = HEAD + b"Content-Length: 2\r\nConnection: close\r\n\r\nok"
BODY_LIMIT_BYTES = 64 * 1024
HEADER_LIMIT_BYTES = 16 * 1024
STREAM_CHUNK = bytes(range(256)) * 64
STREAM_CHUNK_COUNT = 1280
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
    # The last chunk is incomplete: the limit is exceeded before its end.
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
    "a header of too many lines": b"GET / HTTP/1.1\r\nHost: a\r\n"
    + b"A: b\r\n" * HEADER_LIMIT_BYTES,
    "raw UTF-8 in the target": b"GET /\xc3\xa9 HTTP/1.1\r\nHost: a\r\n\r\n",
    "a target without a path": b"GET nonsense HTTP/1.1\r\nHost: a\r\n\r\n",
    "a body cut short": HEAD + b"Content-Length: 10\r\n\r\nabc",
}
JSON_FAULTS = {
    "bad UTF-8": b'"\xff\xfe"',
    "a huge integer": b'{"max_tokens": 1' + b"0" * 40 + b"}",
    "NaN as a number": b"[NaN]",
    "deep nesting": b"[" * 60_000,
}


def post(body, *headers):
    length = b"Content-Length: %d\r\n" % len(body)
    return HEAD + length + b"".join(h + b"\r\n" for h in headers) + b"\r\n" + body


async def repeat(context, exchange):
    context.handled += 1
    await exchange.respond(200, [], exchange.request.body or b"empty")


async def read_json(context, exchange):
    exchange.request.json()


async def stream(context, exchange):
    await exchange.start(200)
    try:
        for _ in range(STREAM_CHUNK_COUNT):
            await exchange.write(STREAM_CHUNK)
            context.written_bytes += len(STREAM_CHUNK)
        await exchange.finish()
    except CallerGone as error:
        context.error = error
        raise


async def wait_for_disconnect(context, exchange):
    if exchange.request.path == "/streams":
        await exchange.start(200)
        await exchange.write(b"first")
    context.handled += 1
    await exchange.gone.wait()
    await exchange.write(b"nobody reads this")


async def cut_stream(context, exchange):
    await exchange.start(200)
    await exchange.write(b"data")
    exchange.abort()


async def answer_closed(context, exchange):
    context.raw.close()
    try:
        await exchange.respond(200, [], b"late")
    except Exception as error:
        context.error = error


async def fail_before(context, exchange):
    raise ZeroDivisionError("secret")


async def fail_within(context, exchange):
    await exchange.start(200)
    await exchange.write(b"data")
    raise ZeroDivisionError("secret")


async def fail_to_answer(context, exchange):
    return


async def fail_by_header(context, exchange):
    await exchange.respond(200, [("x", "secret\r\nb: c")])


async def write_late(context, exchange):
    await exchange.start(200)
    await exchange.write(exchange.request.body)
    await exchange.finish()
    await asyncio.sleep(0)
    try:
        await exchange.write(b"late")
    except RuntimeError:
        context.handled += 1


async def wait_for_release(context, exchange):
    await until(lambda: context.is_released)
    await exchange.respond(200, [], b"done")


HANDLERS = {
    "repeats the body": repeat,
    "reads JSON": read_json,
    "streams 20 megabytes": stream,
    "waits for the caller to disconnect": wait_for_disconnect,
    "truncates its stream": cut_stream,
    "answers when the caller has closed": answer_closed,
    "fails before its answer": fail_before,
    "fails within its answer": fail_within,
    "fails by not answering": fail_to_answer,
    "fails with a bad header": fail_by_header,
    "writes after the end of its answer": write_late,
    "waits to be released": wait_for_release,
}


def start(context, name, ssl_context=None, **limits):
    context.handled = 0
    context.written_bytes = 0
    context.error = None
    context.is_released = False
    handler = partial(HANDLERS[name], context)
    serve(context, handler, ssl_context, **limits)


@given("a server whose handler {name}")
def server(context, name):
    start(context, name, max_body_bytes=BODY_LIMIT_BYTES)


@given("a server with a {limit:w} limit of {value:d} whose handler {name}")
def limited_server(context, limit, value, name):
    start(context, name, **{limit: value})


def send_raw(context, data, half_close=False):
    context.raw_answer = run(
        context, send_and_receive(context.address, data, half_close)
    )
    if b"application/problem+json" in context.raw_answer:
        context.answer = parse_problem(context.raw_answer)


@when("a caller sends a request with {fault}")
def send_fault(context, fault):
    send_raw(context, FAULTS[fault], half_close=fault == "a body cut short")


@when("a caller sends {fault} as JSON")
def send_json(context, fault):
    send_raw(context, post(JSON_FAULTS[fault], b"Connection: close"))


@when("a caller sends half a request and waits")
def half_request(context):
    send_raw(context, GOOD[:40])


@when("a caller connects and sends nothing")
def send_nothing(context):
    send_raw(context, b"")


@when("a caller sends a request")
def send_good_request(context):
    send_raw(context, GOOD)


@then("the answer is a problem with status {status_code:d} and verdict {verdict}")
def is_problem(context, status_code, verdict):
    assert context.answer.status_code == status_code, context.answer
    assert context.answer.content["verdict"] == verdict
    assert context.answer.content["status"] == status_code
    assert "Traceback" not in str(context.answer.content)


@then("the handler ran no request")
def nothing_ran(context):
    assert context.handled == 0


@then("a good request is served afterwards")
def good_request(context):
    answer = run(context, send_and_receive(context.address, GOOD))
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"\r\n\r\nok")
    nothing_left(context)


@then("it reads the end of the stream without any byte")
def nothing_read(context):
    assert context.raw_answer == b""


@when("a caller holds a connection and three others connect")
def connect_too_many(context):
    async def connect_all():
        context.held = await connect(context.address)
        await until(lambda: context.server.connections == 1)
        context.others = [await connect(context.address) for _ in range(3)]
        return [await reader.read() for reader, _ in context.others]

    context.answers = [parse_problem(answer) for answer in run(context, connect_all())]


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
        # The three others have not closed their side yet.
        await until(lambda: context.server.connections == 3)
        second = await send_and_receive(context.address, GOOD)
        for _, writer in context.others:
            writer.close()
        return first, second

    assert all(answer.endswith(b"ok") for answer in run(context, use()))


@when("two callers send 30000 bytes each and the first is answered")
def two_bodies(context):
    async def send():
        data = post(b"x" * 30_000, b"Connection: close")
        first = asyncio.create_task(send_and_receive(context.address, data))
        await until(lambda: context.server.requests_in_progress == 1)
        second = await send_and_receive(context.address, data)
        context.is_released = True
        return await first, second, await send_and_receive(context.address, data)

    context.answers = run(context, send())


@then("the second was refused with 503, and a third is served afterwards")
def second_refused(context):
    first, second, third = context.answers
    assert first.endswith(b"done") and third.endswith(b"done")
    refused = parse_problem(second)
    assert refused.status_code == 503 and refused.content["verdict"] == "not_run"
    assert context.server.buffered_body_bytes == 0
    assert context.server.refusals == {503: 1}


@when("a caller sends {count:d} requests at once")
def pipeline(context, count):
    context.bodies = [b"%d" % number * 100 for number in range(count)]
    requests = [post(body) for body in context.bodies[:-1]]
    requests.append(post(context.bodies[-1], b"Connection: close"))
    send_raw(context, b"".join(requests))


@then("the {count:d} answers come back in the order of the requests")
def in_order(context, count):
    parts = context.raw_answer.split(b"HTTP/1.1 200 \r\n")[1:]
    assert len(parts) == count
    assert [part.split(b"\r\n\r\n")[1] for part in parts] == context.bodies


@when("a caller sends a head with Expect and then the body")
def expect_continue(context):
    async def send():
        reader, writer = await connect(context.address)
        expect = b"Expect: 100-continue"
        writer.write(post(b"", expect, b"Connection: close").replace(b": 0", b": 2"))
        context.interim = await reader.readuntil(b"\r\n\r\n")
        writer.write(b"ok")
        context.raw_answer = await reader.read()
        writer.close()

    run(context, send())


@then("it reads 100 Continue and then the answer")
def continued(context):
    assert context.interim.startswith(b"HTTP/1.1 100")
    assert context.raw_answer.endswith(b"\r\n\r\nok")


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


@then("the handler has written no more than the buffers of both sides hold")
def bounded(context):
    assert 0 < context.written_bytes < SOCKET_BUFFERS_BYTES, context.written_bytes
    (connection,) = context.server._open
    buffered_bytes = connection._transport.get_write_buffer_size()
    limit_bytes = context.server.limits.write_buffer_bytes
    assert buffered_bytes <= limit_bytes + 2 * len(STREAM_CHUNK), buffered_bytes


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

    assert run(context, read()) == STREAM_CHUNK * STREAM_CHUNK_COUNT


@then("the handler gets CallerGone")
def handler_gets_caller_gone(context):
    run(context, until(lambda: isinstance(context.error, CallerGone)))
    run(context, until(lambda: context.server.requests_in_progress == 0))


@when("a caller closes its connection while its request {state}")
def disconnect(context, state):
    async def send_and_close():
        _, writer = await connect(context.address)
        await until(lambda: context.server.connections == 1)
        request = GOOD.replace(b"/path", b"/streams") if state == "streams" else GOOD
        writer.write(request[:-1] if state == "is read" else request)
        if state != "is read":
            await until(lambda: context.handled)
        if state == "runs before many others":
            writer.write(post(b"x" * BODY_LIMIT_BYTES))
            (connection,) = context.server._open
            await until(lambda: connection._is_paused)
        writer.close()

    run(context, send_and_close())


@when("the handler answers")
def answer_late(context):
    host_ip, _, port = context.address.rpartition(":")
    context.raw = socket.create_connection((host_ip, int(port)))
    context.raw.sendall(GOOD)
    run(context, until(lambda: context.raw.fileno() == -1))


@then("the handler gets no error except CallerGone")
def no_error(context):
    assert context.error is None or isinstance(context.error, CallerGone), context.error


@then("no task and no connection is left")
def nothing_left(context):
    run(context, until(lambda: context.server.requests_in_progress == 0))
    run(context, until(lambda: context.server.connections == 0))


@when("a caller reads the stream by {version}")
def read_stream(context, version):
    async def read():
        reader, writer = await connect(context.address)
        writer.write(GOOD.replace(b"HTTP/1.1", version.encode()))
        try:
            return await reader.read()
        except ConnectionResetError:
            return "reset"
        finally:
            writer.close()

    context.version = version
    context.raw_answer = run(context, read())


@then("it gets the data and can detect that the stream is truncated")
def stream_is_truncated(context):
    if context.version == "HTTP/1.0":
        assert context.raw_answer == "reset"
        return
    assert context.raw_answer.endswith(b"4\r\ndata\r\n"), context.raw_answer


@then("the caller gets {result} and no detail of the cause")
def gets_result(context, result):
    assert b"secret" not in context.raw_answer
    assert b"ZeroDivision" not in context.raw_answer
    if result == "a truncated stream":
        assert context.raw_answer.endswith(b"4\r\ndata\r\n")
        return
    is_problem(context, 500, "may_have_run")


@when("a caller sends two requests on one connection")
def two_requests(context):
    send_raw(context, post(b"one") + post(b"two", b"Connection: close"))


@then("both answers are complete and correct")
def both_correct(context):
    parts = context.raw_answer.split(b"HTTP/")[1:]
    bodies = [part.split(b"\r\n\r\n", 1)[1] for part in parts]
    assert bodies == [b"3\r\none\r\n0\r\n\r\n", b"3\r\ntwo\r\n0\r\n\r\n"], bodies
    assert context.handled == 2


@when("a caller sends HEAD and then GET on one connection")
def head_then_get(context):
    keep_alive_request = GOOD.replace(b"Connection: close\r\n", b"")
    send_raw(context, keep_alive_request.replace(b"POST", b"HEAD") + GOOD)


@then("the answer to HEAD has a length but no body")
def no_body(context):
    first, second = context.raw_answer.split(b"HTTP/1.1 200 \r\n")[1:]
    assert b"content-length: 2" in first.lower() and first.endswith(b"\r\n\r\n")
    assert second.endswith(b"\r\n\r\nok")


@when("it is drained while a request runs and another arrives")
def drain_with_requests(context):
    async def drain():
        request = GOOD.replace(b"Connection: close\r\n", b"")
        first = asyncio.create_task(send_and_receive(context.address, request))
        await until(lambda: context.server.requests_in_progress == 1)
        drained = asyncio.create_task(context.server.drain(TIMEOUT_S * 1000))
        second = asyncio.create_task(send_and_receive(context.address, request))
        await until(lambda: context.server.requests_in_progress == 2)
        assert not drained.done()
        context.is_released = True
        context.answers = await asyncio.gather(first, second)
        assert await drained

    run(context, drain())


@then("both are answered with Connection close")
def both_closed(context):
    for answer in context.answers:
        assert answer.endswith(b"done") and b"connection: close" in answer.lower()


@then("after the listener is closed nobody can connect")
def listener_closed(context):
    context.server.close_listener()
    try:
        run(context, connect(context.address))
    except ConnectionRefusedError:
        return
    raise AssertionError("a connection was accepted")


@when("it is drained right after a request on a keep-alive connection")
def drain_keep_alive(context):
    async def drain():
        reader, writer = await connect(context.address)
        writer.write(post(b"one"))
        await reader.readuntil(b"one")
        drained = asyncio.create_task(context.server.drain(TIMEOUT_S * 1000))
        for _ in range(5):
            await asyncio.sleep(0.01)
        context.was_waiting = not drained.done()
        writer.write(post(b"two"))
        context.raw_answer = await reader.read()
        writer.close()
        assert await drained

    run(context, drain())


@then("a request on that connection is served during the drain")
def served_in_drain(context):
    assert context.was_waiting
    assert context.raw_answer.endswith(b"two")
    assert b"connection: close" in context.raw_answer.lower()


@given("a server with a certificate")
def tls_server(context):
    start_with_certificate(context, "repeats the body")


@given("a server with a certificate whose handler truncates its stream")
def truncating_tls_server(context):
    start_with_certificate(context, "truncates its stream")


def start_with_certificate(context, handler_name):
    folder = Path(tempfile.mkdtemp())
    context.certificate_file, key_file = write_certificate(folder, HOST_IP)
    ssl_context = tls.server_ssl_context(context.certificate_file, key_file)
    start(context, handler_name, ssl_context)


def read_until_tls_ends(context, request):
    """Return the answer, and how the connection ended, by a strict TLS caller."""
    trusting = tls.client_ssl_context(context.certificate_file)
    with (
        socket.create_connection((HOST_IP, context.server.port), TIMEOUT_S) as sock,
        trusting.wrap_socket(
            sock, server_hostname=HOST_IP, suppress_ragged_eofs=False
        ) as tls_socket,
    ):
        tls_socket.sendall(request)
        received = b""
        try:
            while data := tls_socket.recv(1000):
                received += data
        except (ConnectionResetError, ssl.SSLEOFError) as error:
            return received, error
    return received, None


@when("a caller reads the stream over TLS by HTTP/1.0")
def read_stream_over_tls(context):
    request = GOOD.replace(b"HTTP/1.1", b"HTTP/1.0")
    _, context.end = run(
        context, asyncio.to_thread(read_until_tls_ends, context, request)
    )


@when("a caller reads an answer over TLS by HTTP/1.0")
def read_answer_over_tls(context):
    started_s = time.monotonic()
    read_stream_over_tls(context)
    context.duration_s = time.monotonic() - started_s


@then("its connection has ended within {limit:d} ms, with the end of TLS")
def tls_ended_in_time(context, limit):
    assert context.end is None, context.end
    assert context.duration_s * 1000 <= limit, context.duration_s


@then("its connection ends without the end of TLS")
def tls_is_not_ended(context):
    assert context.end is not None


@when("a client that trusts it sends a megabyte")
def send_megabyte(context):
    trusting = tls.client_ssl_context(context.certificate_file)
    http_client = client(context, ssl_context=trusting)

    async def send():
        answer = await http_client.send(
            context.address, "POST", "/", body=b"m" * 1_000_000
        )
        return await answer.read()

    context.raw_answer = run(context, send())


@then("the answer over TLS is the same megabyte")
def same_megabyte(context):
    assert context.raw_answer == b"m" * 1_000_000


@then("a client that does not trust it gets the verdict not_run")
def untrusting_client_fails(context):
    untrusted_file, _ = write_certificate(Path(tempfile.mkdtemp()), HOST_IP)
    http_client = client(context, ssl_context=tls.client_ssl_context(untrusted_file))
    try:
        run(context, http_client.send(context.address, "GET", "/"))
    except ConnectFailed as error:
        assert error.verdict is Verdict.NOT_RUN
        return
    raise AssertionError("the handshake succeeded")


@given("a gRPC server with mutual TLS")
def mutual_tls_server(context):
    certificate_file, key_file = write_certificate(Path(tempfile.mkdtemp()), HOST_IP)
    context.files = (certificate_file, key_file, certificate_file)

    async def start_server():
        async def repeat_message(message, _):
            return message

        method = grpc.unary_unary_rpc_method_handler(repeat_message)
        handler = grpc.method_handlers_generic_handler("peer", {"repeat": method})
        server = grpc.aio.server()
        server.add_generic_rpc_handlers((handler,))
        credentials = tls.peer_server_credentials(*context.files)
        context.port = server.add_secure_port(f"{HOST_IP}:0", credentials)
        await server.start()
        return server

    grpc_server = run(context, start_server())
    context.add_cleanup(lambda: run(context, grpc_server.stop(None)))


async def ask_peer(context, credentials):
    async with grpc.aio.secure_channel(
        f"{HOST_IP}:{context.port}", credentials
    ) as peer:
        return await peer.unary_unary("/peer/repeat")(b"hello", timeout=TIMEOUT_S)


@then("a peer with the certificate is answered")
def peer_answered(context):
    credentials = tls.peer_channel_credentials(*context.files)
    assert run(context, ask_peer(context, credentials)) == b"hello"


@then("a peer without a certificate is not answered")
def peer_refused(context):
    authority = Path(context.files[2]).read_bytes()
    credentials = grpc.ssl_channel_credentials(root_certificates=authority)
    try:
        run(context, ask_peer(context, credentials))
    except grpc.aio.AioRpcError as error:
        assert error.code() is grpc.StatusCode.UNAVAILABLE, error
        return
    raise AssertionError("a peer without a certificate was answered")


@when("a refusal has a retry time of {retry_after_ms:d} ms")
def refusal(context, retry_after_ms):
    refused = Refusal(Verdict.NOT_RUN, Reason.OVERLOADED, retry_after_ms, "busy")
    context.problem = problem(503, refused, "id-1")


@then("its Retry-After is {seconds} and its body has every field")
def has_fields(context, seconds):
    assert ("retry-after", seconds) in context.problem.headers
    content = json.loads(context.problem.body)
    assert content["retry_after_ms"] == 1200 and content["request_id"] == "id-1"
    assert content["reason"] == "overloaded" and content["verdict"] == "not_run"
