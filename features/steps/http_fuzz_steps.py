"""Steps that send arbitrary and mutated bytes to the server and the client."""

import asyncio

import h11
from behave import given, then, when
from http_fixtures import TIMEOUT_S, client, connect, run, serve_script, until
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from peridotfront.core.verdicts import Verdict
from peridotfront.engine_client import UpstreamTimeouts
from peridotfront.exceptions import UpstreamError

EXAMPLES = 300
TIMEOUTS = UpstreamTimeouts(1000, 2000, 2000)
REQUESTS = (
    b"POST /a?b=c HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n3;x=y\r\nyou\r\n0\r\nT: u\r\n\r\n",
    b"GET http://a/b HTTP/1.1\r\nHost: a\r\nConnection: keep-alive\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\nA: " + b"a" * 20_000 + b"\r\n\r\n",
    b"HEAD / HTTP/1.0\r\nExpect: 100-continue\r\n\r\n",
    b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n",
)
ANSWERS = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + b"x" * 99,
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"5\r\nhello\r\n" * 12
    + b"0\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 404 No\r\n\r\nhello",
    b"HTTP/1.1 204 No\r\nConnection: close\r\n\r\n",
)
SMALL_TOKENS = (b"\r\n", b"\n", b"\r\n\r\n", b"\x00", b": ", b" ", b"0", b"-1", b"\xff")
LARGE_TOKENS = (
    b"9" * 25,
    b"A" * 20_000,
    b"Content-Length: 3\r\n",
    b"Transfer-Encoding: gzip\r\n",
    b"Connection: close\r\n",
    b"Expect: 100-continue\r\n",
)
TOKENS = st.sampled_from(SMALL_TOKENS + LARGE_TOKENS)
MUTATIONS = st.lists(
    st.tuples(st.integers(0, 400), st.integers(0, 8), TOKENS | st.binary(max_size=8)),
    max_size=4,
)


@st.composite
def messages(draw, seeds):
    """Draw a sequence of valid messages with mutations, possibly truncated."""
    data = b"".join(draw(st.lists(st.sampled_from(seeds), min_size=1, max_size=4)))
    for position, removed, inserted in draw(MUTATIONS):
        start = position % (len(data) + 1)
        data = data[:start] + inserted + data[start + removed :]
    return data[: draw(st.none() | st.integers(0, 200))]


def pieces_of(seeds):
    data = messages(seeds) | st.binary(max_size=200)
    return st.tuples(data, st.lists(st.integers(1, 60), max_size=5))


def split(data, sizes):
    for size in sizes:
        yield data[:size]
        data = data[size:]
    yield data


async def send_pieces(address, data, sizes, closes_at_once):
    """Send chunks; return the reply, or no bytes if the connection was closed."""
    reader, writer = await connect(address)
    try:
        for chunk in split(data, sizes):
            writer.write(chunk)
            await asyncio.sleep(0)
        if closes_at_once:
            return b""
        writer.write_eof()
        return await asyncio.wait_for(reader.read(), TIMEOUT_S)
    except ConnectionError:
        return b""
    finally:
        writer.close()


def statuses_of(data):
    """Return the statuses of a sequence of answers; fail if one is malformed."""
    parser = h11.Connection(h11.CLIENT)
    statuses = []
    while data:
        parser.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
        parser.send(h11.EndOfMessage())
        parser.receive_data(data)
        while not isinstance(event := parser.next_event(), h11.EndOfMessage):
            assert event is not h11.NEED_DATA, data
            if isinstance(event, h11.Response):
                statuses.append(event.status_code)
        data = parser.trailing_data[0]
        parser = h11.Connection(h11.CLIENT)
    return statuses


@when("callers send any bytes in chunks of any size and then close")
def any_bytes(context):
    context.failures = []
    context.statuses = set()

    @settings(max_examples=EXAMPLES)
    @for_any(pieces_of(REQUESTS), st.booleans())
    def check(message, closes_at_once):
        data, sizes = message
        answer = run(context, send_pieces(context.address, data, sizes, closes_at_once))
        try:
            if b"HEAD" not in data:
                context.statuses.update(statuses_of(answer))
            run(context, until(lambda: context.server.connections == 0))
            assert context.server.requests_in_progress == 0
        except (AssertionError, TimeoutError, h11.ProtocolError) as error:
            context.failures.append((data, sizes, answer, repr(error)))

    check()


@then("each answer is valid, no connection is left and a good request is served")
def all_parsed(context):
    assert not context.failures, context.failures[0]
    assert {200, 400, 431} <= context.statuses, context.statuses
    context.execute_steps("then a good request is served afterwards")


@given("an upstream that answers with any bytes")
def any_upstream(context):
    context.answer = b""

    async def script(reader, writer, number):
        await reader.readuntil(b"\r\n\r\n")
        for chunk in split(*context.message):
            writer.write(chunk)
            await asyncio.sleep(0)

    context.address = serve_script(context, script)


@when("each answer is read")
def read_answers(context):
    context.client = client(context)
    context.failures = []
    context.results = set()

    async def read():
        try:
            answer = await context.client.send(
                context.address, "GET", "/", timeouts=TIMEOUTS
            )
            await answer.read(10_000)
        except UpstreamError as error:
            assert error.verdict is Verdict.MAY_HAVE_RUN
            return type(error).__name__
        return "complete"

    @settings(max_examples=EXAMPLES)
    @for_any(pieces_of(ANSWERS))
    def check(message):
        context.message = message
        try:
            context.results.add(run(context, read()))
            run(context, until(lambda: context.client.connections == 0))
        except Exception as error:
            context.failures.append((message, repr(error)))

    check()


@then("each call ended with an answer or an UpstreamError, and no connection is left")
def all_ended(context):
    assert not context.failures, context.failures[0]
    expected = {"complete", "UpstreamDied", "AnswerTruncated", "AnswerMalformed"}
    assert expected <= context.results, context.results
