"""Steps for upstreams that answer before they have read a request."""

import asyncio
import tempfile
from pathlib import Path

from behave import given, then, when
from support.authority import Authority
from support.early_answers import BODY, EVENTS, EarlyUpstream
from support.routed_upstreams import run_front

from peridotfront import tls
from peridotfront.exceptions import PeridotfrontError
from peridotfront.http_client import HttpClient

ANSWER_MS = 8000


@given('a gateway before an upstream that answers early and will "{script}"')
def make_upstream(context, script):
    context.upstreams = [EarlyUpstream("u1", script.split(","))]
    context.routes = None


@given("the connections are {route:w}")
def choose_route(context, route):
    context.relayed = context.upstreams if route == "relayed" else None


@when('a caller sends "{path}" with a body of {size:d} bytes')
def send(context, path, size):
    send_in_sequence(context, path, (size,))


@when('a caller sends "{path}" with a body of {first:d}, then of {second:d} bytes')
def send_twice(context, path, first, second):
    send_in_sequence(context, path, (first, second))


def send_in_sequence(context, path, sizes):
    """Send requests one after the other; keep the last answer."""

    async def work(front):
        headers = {"X-Deadline-Ms": str(ANSWER_MS)}
        for number, size in enumerate(sizes):
            headers["X-Attempt-Id"] = f"a{number}"
            answer = await front.call(path, body=b"x" * size, **headers)
        return answer

    context.answer = run_front(context, work)


@then('upstream "u1" got both on one connection')
def kept(context):
    (upstream,) = context.upstreams
    counts = (len(upstream.readers), len(upstream.requests))
    assert counts == (1, 2), counts


@then("the caller gets a part of the stream, or 502")
def gets_part(context):
    answer = context.answer
    assert answer.status == 502 or not answer.is_complete, answer


@then("the caller gets 200 with the early body")
def gets_body(context):
    answer = context.answer
    assert (answer.status, answer.body) == (200, BODY), answer


@then("the caller gets the whole early stream")
def gets_stream(context):
    answer = context.answer
    assert answer.is_complete and answer.body == EVENTS, answer


@given('an upstream with TLS that answers early and will "{step}"')
def make_tls_upstream(context, step):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    authority = Authority(Path(folder.name))
    context.authority_file = authority.file
    certificate_file, key_file = authority.issue("u1", "127.0.0.1")
    context.upstream = EarlyUpstream("u1", [step])
    context.server_tls = tls.server_ssl_context(certificate_file, key_file)


@when("a client sends it {size:d} bytes")
def send_by_client(context, size):
    context.body = asyncio.run(call_over_tls(context, size))


async def call_over_tls(context, size):
    """Return the body of a whole answer, or None."""
    upstream = context.upstream
    server = await asyncio.start_server(
        upstream._serve, "127.0.0.1", 0, ssl=context.server_tls
    )
    client = HttpClient(ssl_context=tls.client_ssl_context(context.authority_file))
    host, port = server.sockets[0].getsockname()
    try:
        answer = await client.send(
            f"{host}:{port}", "POST", "/transfer/x", body=b"x" * size
        )
        return await answer.read()
    except PeridotfrontError:
        return None
    finally:
        await client.close()
        server.close()


@then("the client gets no whole answer")
def got_none(context):
    assert context.body is None, context.body
