"""Steps with an upstream whose answers carry the ids of chosen requests."""

import asyncio
import json
from dataclasses import replace

from behave import given, then, when
from http_fixtures import client, run, serve_script

from peridotfront.answers import Answer
from peridotfront.calls import Call, CallRunner, CallStats
from peridotfront.core.dispatcher_events import DispatchEnded
from peridotfront.core.fleet import AccountSpec, Policy, UpstreamKind, UpstreamSpec
from peridotfront.core.requests import Request
from peridotfront.engine_messages import EngineOrder
from peridotfront.exceptions import AnswerMalformed
from peridotfront.request_validator import Admission

BUFFER_BYTES = 100_000
# Valid for each call of the engine API: a report, a result of an order, an export.
BODY = json.dumps({"is_accepted": True}).encode()
IDENTITIES = {
    "the request's id": lambda own: [own],
    "the id of another": lambda own: ["another"],
    "no id": lambda own: [],
    "two ids": lambda own: [own, "another"],
}
ORDER = EngineOrder(order_id="o", kind="load_model", name="m", term=1, sequence=1)


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    fields = (line.partition(": ") for line in head.split("\r\n")[1:])
    headers = {name.lower(): value for name, _, value in fields}
    await reader.readexactly(int(headers.get("content-length", 0)))
    return headers


@given("an upstream whose answers carry {identity} on a {connection:w} connection")
def given_upstream(context, identity, connection):
    """Answer the first call on a kept connection properly, later ones as given."""
    context.kept = connection == "kept"

    async def script(reader, writer, number):
        is_proper = context.kept
        while True:
            headers = await read_head(reader)
            own = headers.get("x-request-id", "")
            ids = [own] if is_proper else IDENTITIES[identity](own)
            is_proper = False
            fields = [f"X-Request-Id: {one}" for one in ids]
            lines = ["HTTP/1.1 200 OK", f"Content-Length: {len(BODY)}", *fields]
            writer.write("\r\n".join([*lines, "", ""]).encode() + BODY)

    context.upstream_address = serve_script(context, script)
    context.client = client(context)


def new_call(context, target, number):
    kind = UpstreamKind.ENGINE if target == "an engine" else UpstreamKind.SERVICE
    request = Request(
        request_id=f"r{number}",
        key="",
        fingerprint=1,
        client_account="a",
        tier=1,
        kind=kind,
        service="pay",
        model="m",
        prompt_tokens=5,
        output_tokens=3,
        prefix_hashes=(),
        deadline_ms=1000,
        is_idempotent=True,
    )
    account = AccountSpec("a", "0" * 64)
    json_type = "application/json"
    admission = Admission(request, account, "POST", "/v1", json_type, b"{}", False)
    admission = replace(admission, timeout_ms=5000)
    upstream = UpstreamSpec("u", kind, "dc", context.upstream_address)
    answer = Answer(request.request_id, "", 1, BUFFER_BYTES)
    return Call(admission, answer, upstream, CallStats(started_ms=0))


def make_calls(context, target, count):
    events = []
    runner = CallRunner(context.client, events.append)

    async def dispatch():
        for number in range(count):
            await runner.dispatch(new_call(context, target, number), Policy())

    run(context, dispatch())
    ends = [event for event in events if isinstance(event, DispatchEnded)]
    context.verdicts = [event.outcome.verdict.value for event in ends]


@when("calls to {target} have used it")
def calls_have_used(context, target):
    make_calls(context, target, 2 if context.kept else 1)


@when("{count:d} calls to {target} have used it")
def many_calls_have_used(context, count, target):
    make_calls(context, target, count)


@then("the last call has ended as {verdict}")
def last_ended(context, verdict):
    assert context.verdicts[-1] == verdict, context.verdicts
    assert set(context.verdicts[:-1]) <= {"completed"}, context.verdicts
    assert len(context.accepted) == 1, "the connection was not kept"


@then("all {count:d} calls have completed on {connections:d} connections")
def completed_on(context, count, connections):
    assert context.verdicts == ["completed"] * count, context.verdicts
    assert len(context.accepted) == connections, len(context.accepted)


CALLS = {
    "a load report": lambda one, address: one.report(address),
    "an order": lambda one, address: one.order(address, ORDER),
    "a cancellation": lambda one, address: one.cancel(address, "r1"),
    "a KV export": lambda one, address: one.export_kv(address, "r1"),
    "a KV import": lambda one, address: one.import_kv(address, b"{}"),
    "a resumed answer": lambda one, address: one.resume(address, "r1", 0),
}


@when("{call} follows a call to it")
def call_follows(context, call):
    make_calls(context, "an engine", 1)
    assert context.verdicts == ["completed"]
    context.error = None

    async def make():
        try:
            await CALLS[call](context.client, context.upstream_address)
        except AnswerMalformed as error:
            context.error = error

    run(context, asyncio.wait_for(make(), 5))


@then("{call} fails as malformed")
def fails_as_malformed(context, call):
    assert context.error is not None, f"the late answer was taken for {call}"
    assert len(context.accepted) == 1, "the connection was not kept"
