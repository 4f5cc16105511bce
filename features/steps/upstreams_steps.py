"""Steps for the HTTP client, with upstreams that follow a script."""

import asyncio
import os
import re
import socket
import struct
import tempfile
from pathlib import Path

import parse
from behave import given, register_type, then, when
from certificates import write_certificate
from http_fixtures import HOST_IP, TIMEOUT_S, client, run, serve_script, until

from peridotfront import exceptions, tls
from peridotfront.core.verdicts import Verdict
from peridotfront.engine_client import ClientLimits, UpstreamTimeouts

TIMEOUTS = UpstreamTimeouts(connect_ms=300, first_byte_ms=150, between_bytes_ms=150)
READ_LIMIT_BYTES = 10_000
CHUNK = bytes(range(256)) * 1024
CHUNK_COUNT = 80
RESET = struct.pack("ii", 1, 0)
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
RAW_ANSWERS = {
    "a close before the answer": b"",
    "a close within the header": OK,
    "a cut of a chunked body": CHUNKED + b"4\r\ndata\r\n",
    "a cut of a body with a length": OK + b"Content-Length: 9\r\n\r\ndata",
    "a body over the limit": OK + b"Content-Length: 20000\r\n\r\n" + b"x" * 20_000,
    "invalid HTTP": b"nonsense\r\n\r\n",
    "a bad chunk": CHUNKED + b"zz\r\n",
    "a header over the limit": OK + b"A: " + b"x" * 200_000,
}


@parse.with_pattern("long before|right before")
def parse_moment(text):
    return text


register_type(Moment=parse_moment)


async def read_request(context, reader):
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head.lower())
    body = await reader.readexactly(int(length[1])) if length else b""
    context.head = head
    context.requests_read += 1
    return body


def repeat(body):
    return OK + b"Content-Length: %d\r\n\r\n" % len(body) + body


def reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


async def drip(writer, data):
    while True:
        writer.write(data)
        await asyncio.sleep(0.02)


async def play_fault(fault, reader, writer):
    if fault == "a reset before the answer":
        reset(writer)
    elif fault == "a reset without a body length":
        writer.write(OK + b"\r\ndata")
        await asyncio.sleep(0.02)
        reset(writer)
    elif fault == "a header sent line by line":
        writer.write(OK)
        await drip(writer, b"A: b\r\n")
    elif fault == "endless interim answers":
        await drip(writer, b"HTTP/1.1 102 Processing\r\n\r\n")
    elif fault in ("no answer", "a pause within the body"):
        writer.write(b"" if fault == "no answer" else CHUNKED + b"4\r\ndata\r\n")
        await reader.read()
    else:
        writer.write(RAW_ANSWERS[fault])
        await writer.drain()


@when("a request is sent to {cause}")
def send_to_unreachable(context, cause):
    with socket.socket() as listener:
        listener.bind((HOST_IP, 0))
        port = listener.getsockname()[1]
        waiting = []
        if cause != "a closed port":
            listener.listen(0)
        if cause == "a full accept queue":
            waiting = [fill_queue(listener) for _ in range(4)]
        address = {
            "a host name": f"localhost:{port}",
            "a port over 65535": f"{HOST_IP}:{port + 65536}",
        }.get(cause, f"{HOST_IP}:{port}")
        send_request(context, client(context), address)
        for sock in waiting:
            sock.close()


def fill_queue(listener):
    sock = socket.socket()
    sock.setblocking(False)
    sock.connect_ex(listener.getsockname())
    return sock


def send_request(context, http_client, address, headers=()):
    context.client = http_client
    context.error = None

    async def call():
        answer = await http_client.send(
            address, "POST", "/", headers, b"body", timeouts=TIMEOUTS
        )
        return await answer.read(READ_LIMIT_BYTES)

    try:
        run(context, call())
    except exceptions.PeridotfrontError as error:
        context.error = error


@then("it ends with {name} and verdict {verdict}")
def ends_with(context, name, verdict):
    assert type(context.error) is getattr(exceptions, name), repr(context.error)
    assert context.error.verdict is Verdict(verdict)


@given("an upstream that shows {fault}")
def faulty_upstream(context, fault):
    context.requests_read = 0

    async def script(reader, writer, number):
        await read_request(context, reader)
        await play_fault(fault, reader, writer)

    context.address = serve_script(context, script)


@when("a request is sent and its answer read")
def send_and_read(context):
    send_request(context, client(context), context.address)


@then("the upstream read exactly {count:d} request")
@then("the upstream read exactly {count:d} requests")
def read_exactly(context, count):
    assert context.requests_read == count, context.requests_read


@then("no connection of the client is left")
def no_connection(context):
    run(context, until(lambda: context.client.connections == 0))


@given("an upstream that repeats the body")
def repeating_upstream(context):
    context.requests_read = 0

    async def script(reader, writer, number):
        while True:
            body = await read_request(context, reader)
            await asyncio.sleep(0)
            writer.write(repeat(body))

    context.address = serve_script(context, script)


@when("a request with a line break in a header is sent")
def bad_header(context):
    headers = [("a", "b\r\nc: d")]
    send_request(context, client(context), context.address, headers)


@when("a request with the headers of a caller is sent")
def caller_headers(context):
    names = "Host", "Content-Length", "Transfer-Encoding", "Connection", "Expect"
    headers = [(name, "7") for name in names] + [("X-Other", "kept")]
    send_request(context, client(context), context.address, headers)


@then("the upstream sees one Host, one length, no Expect and the other headers")
def sees_headers(context):
    assert context.error is None, repr(context.error)
    fields = sorted(context.head.lower().split(b"\r\n")[1:-2])
    host = b"host: " + context.address.encode()
    assert fields == [b"content-length: 4", host, b"x-other: kept"], fields


async def call(context, body):
    answer = await context.client.send(
        context.address, "POST", "/", body=body, timeouts=TIMEOUTS
    )
    return await answer.read() == body


@when("{count:d} calls are made in sequence")
def calls_in_turn(context, count):
    context.client = client(context)
    context.results = []
    context.error = None

    async def make():
        for number in range(count):
            context.results.append(await call(context, b"%d" % number))
            for _ in range(20):
                await asyncio.sleep(0)

    try:
        run(context, make())
    except exceptions.PeridotfrontError as error:
        context.error = error


@when("{count:d} calls are made concurrently by a client that keeps {limit:d} idle")
def concurrent_calls(context, count, limit):
    limits = ClientLimits(max_idle_connections=limit, keep_alive_ms=60)
    context.client = client(context, limits)
    context.error = None

    async def make():
        return await asyncio.gather(*(call(context, b"%d" % n) for n in range(count)))

    context.results = run(context, make())


@then("every answer is correct and {count:d} connection was accepted")
@then("every answer is correct and {count:d} connections were accepted")
def all_right(context, count):
    assert context.error is None, repr(context.error)
    assert all(context.results)
    assert len(context.accepted) == count, len(context.accepted)


@then("{count:d} connections stay idle, and none after the idle timeout")
def idle_connections_bounded(context, count):
    async def check():
        await until(lambda: context.client.connections <= count)
        assert context.client.connections == count
        await until(lambda: context.client.connections == 0)

    run(context, check())


@when("2 calls are made with {event} {moment:Moment} the second")
def calls_with_event(context, event, moment):
    context.client = client(context)
    context.error = None

    async def make():
        first = await call(context, b"one")
        sock = context.accepted[0].get_extra_info("socket")
        if event == "stray bytes":
            os.write(sock.fileno(), repeat(b"stray"))
        else:
            sock.shutdown(socket.SHUT_RDWR)
        if moment == "long before":
            await until(lambda: context.client.connections == 0)
        return [first, await call(context, b"two")]

    context.results = run(context, make())


@given("an upstream that closes each connection on its second request")
def closes_on_second(context):
    context.requests_read = 0

    async def script(reader, writer, number):
        writer.write(repeat(await read_request(context, reader)))
        await read_request(context, reader)

    context.address = serve_script(context, script)


@then("the second call failed on a reused connection and may have run")
def second_failed(context):
    assert context.results == [True]
    assert isinstance(context.error, exceptions.UpstreamDied), repr(context.error)
    assert context.error.on_reused_connection
    assert context.error.verdict is Verdict.MAY_HAVE_RUN


@given("an upstream that sends 20 megabytes")
def large_upstream(context):
    context.requests_read = 0
    context.sent_bytes = 0

    async def script(reader, writer, number):
        await read_request(context, reader)
        writer.write(OK + b"Content-Length: %d\r\n\r\n" % (CHUNK_COUNT * len(CHUNK)))
        for _ in range(CHUNK_COUNT):
            writer.write(CHUNK)
            await writer.drain()
            context.sent_bytes += len(CHUNK)

    context.address = serve_script(context, script)


@when("nobody reads the answer until the upstream waits")
def nobody_reads(context):
    context.client = client(context)

    async def stall():
        context.answer = await context.client.send(context.address, "GET", "/")
        seen_bytes = -1
        while seen_bytes != context.sent_bytes:
            seen_bytes = context.sent_bytes
            for _ in range(50):
                await asyncio.sleep(0)

    run(context, stall())


@then("the client holds no more than its buffer and one read")
def holds_little(context):
    assert context.sent_bytes < CHUNK_COUNT * len(CHUNK)
    connection = context.answer._connection
    limit_bytes = context.client.limits.read_buffer_bytes
    assert 0 < connection._buffered_bytes <= limit_bytes + len(CHUNK)


@then("all 20 megabytes can then be read")
def read_rest(context):
    body = run(context, context.answer.read(CHUNK_COUNT * len(CHUNK)))
    assert body == CHUNK * CHUNK_COUNT


@when("an answer is cancelled after the next call began on its connection")
def cancel_late(context):
    context.client = client(context)

    async def make():
        answer = await context.client.send(context.address, "POST", "/", body=b"one")
        await answer.read()
        next_call = asyncio.create_task(call(context, b"two"))
        await asyncio.sleep(0)
        answer.cancel()
        return await next_call

    context.results = [run(context, make())]


@then("the next call still gets its complete answer")
def next_is_complete(context):
    assert context.results == [True]
    assert len(context.accepted) == 1


@given("an upstream that stops sending within the body")
def pausing_upstream(context):
    faulty_upstream(context, "a pause within the body")


@when("the task that reads the answer is cancelled")
def cancel_reader(context):
    context.client = client(context)

    async def make():
        answer = await context.client.send(context.address, "POST", "/", body=b"x")
        reading = asyncio.create_task(answer.read())
        await until(lambda: answer._connection._waiter is not None)
        reading.cancel()
        await asyncio.wait([reading], timeout=TIMEOUT_S)
        assert reading.cancelled()

    run(context, make())


@given("an upstream that keeps idle connections for {timeout:d} s")
def keep_for(context, timeout):
    context.accepted = 0

    async def serve(reader, writer):
        context.accepted += 1
        while not reader.at_eof():
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            keep_alive_header = b"Keep-Alive: timeout=%d\r\n" % timeout
            writer.write(OK + keep_alive_header + b"Content-Length: 0\r\n\r\n")
        writer.close()

    context.client = client(context, ClientLimits(keep_alive_ms=100))
    context.serve = serve


async def call_twice(context, pause_ms):
    server = await asyncio.start_server(context.serve, HOST_IP)
    host, port = server.sockets[0].getsockname()
    for number in range(2):
        if number:
            await asyncio.sleep(pause_ms / 1000)
        answer = await context.client.send(f"{host}:{port}", "GET", "/")
        await answer.read()
    server.close()


@when("it is called twice with a pause of {pause:d} ms")
@when(
    "it is called twice with a pause of {pause:d} ms"
    " while the client's own idle timeout is 100 ms"
)
def call_it_twice(context, pause):
    run(context, call_twice(context, pause))


@then("the second call used a new connection")
def used_new(context):
    assert context.accepted == 2, context.accepted


@then("the second call used the same connection")
def used_same(context):
    assert context.accepted == 1, context.accepted


TLS_ENDS = {
    "the end of TLS": lambda writer: writer.close(),
    "the end of TCP alone": lambda writer: writer.transport.abort(),
    "a reset": reset,
}


@given("an upstream with a certificate whose answer ends by {end}")
def tls_upstream(context, end):
    async def script(reader, writer, number):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK + b"\r\ndata")
        await writer.drain()
        await asyncio.sleep(0.02)
        TLS_ENDS[end](writer)

    folder = Path(tempfile.mkdtemp())
    context.certificate_file, key_file = write_certificate(folder, HOST_IP)
    ssl_context = tls.server_ssl_context(context.certificate_file, key_file)
    context.address = serve_script(context, script, ssl_context)


@when("a request is sent over TLS and its answer read")
def read_over_tls(context):
    trusting = tls.client_ssl_context(context.certificate_file)
    http_client = client(context, ssl_context=trusting)
    context.result = read_result(context, http_client.send(context.address, "GET", "/"))


def read_result(context, call):
    """Return whether an answer is complete or truncated."""

    async def read():
        answer = await call
        return await answer.read()

    try:
        context.body = run(context, read())
    except exceptions.AnswerTruncated:
        return "truncated"
    return "complete"


@then("the body over TLS is {result}")
@then("the export is {result}")
def result_is(context, result):
    assert context.result == result, context.result


@given("an upstream that exports a cache {framing}")
def exporting_upstream(context, framing):
    head = OK + (b"Content-Length: 4\r\n" if framing == "with a length" else b"")

    async def script(reader, writer, number):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head + b"\r\ndata")
        await writer.drain()

    context.address = serve_script(context, script)


@when("the cache of a request is exported")
def export_cache(context):
    http_client = client(context)
    try:
        exported = run(context, http_client.export_kv(context.address, "r1"))
    except exceptions.AnswerTruncated:
        context.result = "truncated"
        return
    assert exported == b"data"
    context.result = "complete"
