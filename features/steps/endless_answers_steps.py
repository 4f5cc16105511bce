"""Steps for upstreams that send bytes without end."""

import asyncio
import contextlib
import gc
import tempfile
import time
import weakref
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when
from http_fixtures import TIMEOUT_S, client, run, serve_script, until
from support.endless_host import GOAL_MS, TIMEOUT_MS
from support.endless_run import EndlessRun
from support.endless_upstreams import ALL_WAYS

from peridotfront import exceptions, order_sender, polling
from peridotfront.answers import Answer
from peridotfront.calls import CANCEL_TIMEOUTS, Call, CallRunner, CallStats
from peridotfront.core.dispatcher_events import DispatchEnded
from peridotfront.core.event_stream import ServerSentEventParser
from peridotfront.core.fleet import Policy, UpstreamKind, UpstreamSpec
from peridotfront.core.orders import ORDER_TIMEOUT_MS
from peridotfront.engine_messages import EngineOrder
from peridotfront.order_sender import ORDER_TIMEOUTS
from peridotfront.platform.upstream_list import UpstreamListClient
from peridotfront.upstream_answer import READ_BYTES
from peridotfront.upstream_connections import ClientLimits

# The target for a host is 64 MB, of which a process takes up to 46 MB by itself.
MEMORY_KB = 64 * 1024
ANSWER_MEMORY_KB = 18 * 1024
END_MARGIN_MS = 200
REPEATS = 3
GROWTH = 4
MARGIN = 1.75
READ_AHEAD_BYTES = 128 * 1024
FAST_PIECE = b"a" * 65536


# Upstreams in a process of their own.


@given('an entry host in a process of its own before upstreams with endless "{place}"')
def name_place(context, place):
    context.place = place


@when("each of these upstreams gets a request, and a sound one gets others meanwhile")
def play(context):
    async def inside():
        with tempfile.TemporaryDirectory() as folder:
            async with EndlessRun(context.place, folder) as endless_run:
                await endless_run.play()
                context.closed = endless_run.closed
                return endless_run

    context.endless_run = asyncio.run(inside())
    sound_ms = [round(end.duration_ms) for end in context.endless_run.sound_ends]
    print(
        f"{context.place}: memory {context.endless_run.start_kb} kB at the start,"
        f" {context.endless_run.peak_kb} kB at most, of which libraries"
        f" {context.endless_run.library_kb} kB; sound answers {len(sound_ms)}, the"
        f" slowest {max(sound_ms, default=None)} ms; processor time"
        f" {context.endless_run.processor_s:.2f} s"
    )


@then("each caller of these upstreams got a truthful end within its time limit")
def ended_truthfully(context):
    for name, end in context.endless_run.ends.items():
        assert end.status in ALL_WAYS[name].ends, (name, end)
        # A stream that began must be visibly truncated.
        is_stream = ALL_WAYS[name].is_stream
        assert end.is_complete == (not is_stream or end.status != 200), (name, end)
        assert end.duration_ms < TIMEOUT_MS + END_MARGIN_MS, (name, end)


@then("the host closed the connection to each of these upstreams")
def closed_all(context):
    assert context.closed == set(context.endless_run.ends), context.closed


@then("each of these upstreams serves the next request")
def serves_next(context):
    statuses = {n: end.status for n, end in context.endless_run.after_ends.items()}
    assert statuses == dict.fromkeys(context.endless_run.ends, 200), statuses


@then("the other callers' answers came within their route's goal")
def sound_in_time(context):
    ends = context.endless_run.sound_ends
    assert ends
    bad = [
        end
        for end in ends
        if end.status != 200 or not end.is_complete or end.duration_ms > GOAL_MS
    ]
    assert not bad, bad


@then("the host's memory stayed within its bound")
def memory_bounded(context):
    endless_run = context.endless_run
    private_kb = endless_run.peak_kb - endless_run.library_kb
    assert private_kb < MEMORY_KB, private_kb
    grown_kb = endless_run.peak_kb - endless_run.start_kb
    assert grown_kb < ANSWER_MEMORY_KB, grown_kb


# Processor time.


def parse(data, piece_bytes):
    parser = ServerSentEventParser()
    for start in range(0, len(data), piece_bytes):
        for _ in parser.feed(data[start : start + piece_bytes]):
            pass


def filled(data, size):
    return data * (size // len(data))


def read_raw(context, raw, piece_bytes):
    """Read an answer that arrives in pieces, and return the processor time in s."""

    async def script(reader, writer, number):
        await reader.readuntil(b"\r\n\r\n")
        for start in range(0, len(raw), piece_bytes):
            writer.write(raw[start : start + piece_bytes])
            # The answer is to arrive in these pieces.
            await asyncio.sleep(0)
        await reader.read()

    async def call():
        answer = await http_client.send(address, "GET", "/")
        started_s = time.process_time()
        await answer.read()
        return time.process_time() - started_s

    address = serve_script(context, script)
    http_client = client(context)
    started_s = time.process_time()
    body_s = run(context, call())
    return body_s if piece_bytes > 1 else time.process_time() - started_s


def measure(context, name, size):
    """Return the processor time in s that it takes to read an input."""
    piece_bytes = 16 if "pieces of 16 bytes" in name else 64
    if name.startswith("a head"):
        raw = b"HTTP/1.1 200 OK\r\nX: " + b"a" * size
        return read_raw(context, raw + b"\r\nContent-Length: 0\r\n\r\n", 1)
    if name.startswith("a body"):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunks = filled(b"1\r\na\r\n", size)
        return read_raw(context, head + chunks + b"0\r\n\r\n", 4096)
    if "in one piece" in name:
        piece_bytes = size
    data = {
        "an event in pieces of 16 bytes": b"data: " + b"a" * size,
        "a comment in pieces of 16 bytes": b": " + b"a" * size,
        "lines of an event in small pieces": filled(b"data: a\n", size),
        "small events in one piece": filled(b"id: 1\ndata: a\n\n", size),
        "blank lines in one piece": filled(b"\n", size),
    }[name]
    started_s = time.process_time()
    parse(data, piece_bytes)
    return time.process_time() - started_s


@when('"{name}" of {size:d} and of 4 times as many bytes is read')
def measure_growth(context, name, size):
    context.processor_s = [
        min([measure(context, name, size * times) for _ in range(REPEATS)])
        for times in (1, GROWTH)
    ]


@then("the processor time grew at most in proportion, within a margin of 75%")
def grew_in_proportion(context):
    small_s, large_s = context.processor_s
    print(f"processor time {small_s * 1000:.2f} and {large_s * 1000:.2f} ms")
    assert large_s < GROWTH * MARGIN * small_s, context.processor_s


# Other readers.


@given("an upstream whose answer arrives byte by byte without end")
def serve_slow(context):
    async def script(reader, writer, number):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n")
        while True:
            writer.write(b"a")
            await writer.drain()
            await asyncio.sleep(0.01)

    context.address = serve_script(context, script)


@given("an upstream whose answer arrives fast and without end")
def serve_fast(context):
    async def script(reader, writer, number):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            writer.write(b"10000\r\n" + FAST_PIECE + b"\r\n")
            await writer.drain()

    context.address = serve_script(context, script)


ORDER = EngineOrder(order_id="o", kind="load_model", name="m", term=1, sequence=1)
# An order may take its whole time limit; a fifth of it is enough for the test.
SHORT_ORDER_TIMEOUTS = replace(ORDER_TIMEOUTS, total_ms=ORDER_TIMEOUT_MS // 5)


async def connect_through(http_client, address):
    answer = await http_client.send(address, "CONNECT", "/")
    return await answer.read()


READERS = {
    "list of upstreams": lambda http, address: UpstreamListClient(http, address).read(),
    "engine report": lambda http, address: http.report(
        address, timeouts=polling.POLL_TIMEOUTS
    ),
    "report for orders": lambda http, address: http.report(
        address, timeouts=order_sender.POLL_TIMEOUTS
    ),
    "engine order": lambda http, address: http.order(
        address, ORDER, timeouts=SHORT_ORDER_TIMEOUTS
    ),
    "engine cancel": lambda http, address: http.cancel(
        address, "r1", timeouts=CANCEL_TIMEOUTS
    ),
    "engine export": lambda http, address: http.export_kv(address, "r1"),
    "change of protocol": connect_through,
}


@then("the limit of an order is that of its sender")
def order_limit(context):
    assert ORDER_TIMEOUTS.total_ms == ORDER_TIMEOUT_MS


@when('the "{reader}" reads from it')
def read_endless(context, reader):
    context.client = client(context)
    context.error = None

    async def read():
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await READERS[reader](context.client, context.address)
        except (exceptions.PeridotfrontError, TimeoutError) as error:
            context.error = error
        context.duration_ms = (time.monotonic() - started_s) * 1000

    run(context, read())


@when("a request with the method CONNECT reads from it")
def read_connect(context):
    context.execute_steps('When the "change of protocol" reads from it')


@then("it ends with {name} within {limit:d} ms")
def ends_in_time(context, name, limit):
    assert type(context.error) is getattr(exceptions, name), repr(context.error)
    assert context.duration_ms < limit, context.duration_ms


@when("a call for a request with a key copies it")
def copy_for_key(context):
    request = SimpleNamespace(request_id="r1", key="k1", kind=UpstreamKind.SERVICE)
    admission = SimpleNamespace(
        request=request,
        method="GET",
        target="/x",
        body=b"",
        timeout_ms=2000,
        is_stream=False,
    )
    upstream = UpstreamSpec("u1", UpstreamKind.SERVICE, "dc1", context.address)
    context.client = client(context)
    context.kept = Answer("r1", "k1", 1, MEMORY_KB * 1024 * GROWTH)
    context.ended = []

    async def copy():
        call = Call(admission, context.kept, upstream, CallStats(0))
        runner = CallRunner(context.client, feed)
        started_s = time.monotonic()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TIMEOUT_S):
                await runner.dispatch(call, Policy())
        context.duration_ms = (time.monotonic() - started_s) * 1000

    def feed(event):
        if isinstance(event, DispatchEnded):
            context.ended.append(event)

    run(context, copy())


@then('the call ended as "{cause}" and "{verdict}" within {limit:d} ms')
def call_ended(context, cause, verdict, limit):
    assert context.ended, context.kept.size_bytes
    (ended,) = context.ended
    assert ended.cause.value == cause, ended
    assert ended.outcome.verdict.value == verdict, ended
    assert context.duration_ms < limit, context.duration_ms


@then("the call kept less than 18 MB of the answer")
def kept_little(context):
    assert context.kept.size_bytes < ANSWER_MEMORY_KB * 1024, context.kept.size_bytes


@then("the connection to the upstream is closed")
def is_closed(context):
    run(context, until(lambda: context.client.connections == 0))


# Memory of one client.


@given("another upstream with an answer of 1 MB")
def serve_large(context):
    async def script(reader, writer, number):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
        for _ in range(10):
            writer.write(b"a" * 100_000)
            await writer.drain()
            # The answer without end is to grow meanwhile.
            await asyncio.sleep(0.01)
        await reader.read()

    context.endless_address = getattr(context, "address", "")
    context.address = serve_script(context, script)


@when("a client that may keep 2 MB reads from both")
def read_both(context):
    limits = ClientLimits(max_kept_bytes=2_000_000)
    context.client = client(context, limits)

    async def read(address):
        answer = await context.client.send(address, "GET", "/")
        return await answer.read(1 << 62)

    async def read_all():
        addresses = (context.endless_address, context.address)
        reading = [read(address) for address in addresses]
        return await asyncio.gather(*reading, return_exceptions=True)

    context.results = run(context, read_all())


@then("the answer without end is too large and the other one is complete")
def one_given_up(context):
    endless, large = context.results
    assert isinstance(endless, exceptions.AnswerTooLarge), endless
    assert large == b"a" * 1_000_000


@then("the client keeps no bytes of any answer")
def keeps_nothing(context):
    assert context.client.budget.held_bytes == 0
    assert context.client.buffered_bytes == 0


@when("its answer is given up while the garbage collector is off")
def give_up(context):
    context.client = client(context)

    async def read():
        answer = await context.client.send(context.address, "GET", "/")
        context.kept_answer = weakref.ref(answer)
        with contextlib.suppress(exceptions.AnswerTooLarge):
            async for _ in answer.chunks():
                answer.hold(1 << 62)

    async def read_and_close():
        await read()
        await until(lambda: context.client.connections == 0)
        context.is_freed = context.kept_answer() is None

    gc.disable()
    try:
        run(context, read_and_close())
    finally:
        gc.enable()


@then("nothing keeps the answer")
def nothing_kept(context):
    assert context.is_freed


@when("8 answers are not read by a client that may read 128 KB ahead")
def read_nothing(context):
    context.client = client(context, ClientLimits(max_buffered_bytes=READ_AHEAD_BYTES))

    async def call():
        sending = [context.client.send(context.address, "GET", "/") for _ in range(8)]
        answers = await asyncio.gather(*sending)
        await until(lambda: all(a._connection._is_paused for a in answers))
        return answers

    context.answers = run(context, call())


@then("it has read at most 128 KB and one read of each answer ahead")
def read_little(context):
    limit_bytes = READ_AHEAD_BYTES + len(context.answers) * READ_BYTES
    assert 0 < context.client.buffered_bytes <= limit_bytes


@then("each of the answers goes on when it is read")
def go_on(context):
    async def read(answer):
        size_bytes = 0
        async for data in answer.chunks():
            size_bytes += len(data)
            if size_bytes > GROWTH * READ_AHEAD_BYTES:
                break
        answer.cancel()
        return size_bytes

    async def read_all():
        return await asyncio.gather(*[read(answer) for answer in context.answers])

    assert min(run(context, read_all())) > GROWTH * READ_AHEAD_BYTES


@when("a client that may keep 1.05 MB keeps one of them and reads 100 KB of the other")
def keep_and_read(context):
    context.client = client(context, ClientLimits(max_kept_bytes=1_050_000))

    async def read():
        kept = await context.client.send(context.address, "GET", "/")
        kept.hold(len(await kept.read()))
        answer = await context.client.send(context.endless_address, "GET", "/")
        context.size_bytes = 0
        async for data in answer.chunks():
            context.size_bytes += len(data)
            answer.hold(context.size_bytes)
            if context.size_bytes >= 100_000:
                break
        answer.cancel()
        kept.cancel()

    run(context, read())


@then("the answer is not given up")
def not_given_up(context):
    assert context.size_bytes >= 100_000
    assert context.client.budget.held_bytes == 0


@when("its client is closed once a whole answer has arrived, and the answer is read")
def close_before_reading(context):
    limits = ClientLimits(read_buffer_bytes=MEMORY_KB * 1024)
    context.client = client(context, limits)
    context.error = None

    async def read():
        answer = await context.client.send(context.address, "GET", "/")
        await until(lambda: not answer.is_in_progress)
        await context.client.close()
        started_s = time.monotonic()
        try:
            await answer.read()
        except exceptions.UpstreamError as error:
            context.error = error
        context.duration_ms = (time.monotonic() - started_s) * 1000

    run(context, read())
