"""Steps for a gateway with upstreams that follow a script."""

import asyncio
import time
from dataclasses import replace

from behave import given, then, when
from support.routed_upstreams import (
    POLL_S,
    read_answer,
    request,
    routing,
)
from support.routed_upstreams import run_front as run
from support.scripted_upstreams import Upstream

from peridotfront.core.gateway_events import SlotReleased
from peridotfront.core.routes import RouteTable, RoutingConfig


def call(context, path, **fields):
    context.answer = run(context, lambda front: front.call(path, **fields))


def upstream(context, name):
    return next(item for item in context.upstreams if item.name == name)


@given('a gateway before upstream "{name}" that will "{step}"')
def make_front(context, name, step):
    context.routes = None
    context.upstreams = [Upstream(name, [step])]


@given('upstream "{name}" that will "{step}"')
def add_upstream(context, name, step):
    context.upstreams.append(Upstream(name, [step]))


@given('a gateway without accounts before upstream "{name}" that will "{step}"')
def make_without_accounts(context, name, step):
    config = routing()
    context.routes = RouteTable(replace(config, accounts=()))
    context.upstreams = [Upstream(name, [step])]


@when('a caller sends "{path}" with the deadline "{deadline}"')
def send_with_deadline(context, path, deadline):
    call(context, path, X_Deadline_Ms=deadline)


@given("a gateway without a configuration")
def make_without_configuration(context):
    context.routes = RouteTable(RoutingConfig())
    context.upstreams = []


@given("a gateway with the time limit {limit:d} ms before an upstream that hangs")
def make_limited(context, limit):
    context.routes = RouteTable(routing(transfer={"TimeoutMs": limit}))
    context.upstreams = [Upstream("u1", ["hang"])]


@when('a caller sends "{path}" with the body "{body}"')
@when('a caller sends "{path}" with the body ""')
def send(context, path, body=""):
    call(context, path, body=body.encode())


@when('a caller sends "{path}" with the key "{key}"')
def send_with_key(context, path, key):
    call(context, path, Api_Key=key)


@when('a caller sends "{path}" with forged system fields')
def send_forged(context, path):
    forged = {
        "X_Tenant": "bank",
        "X_Expect_Instance": "u9",
        "X_Hold": "1",
        "X_Pin_Ms": "1000",
        "X_Kv_Backup": "10.0.0.1:80",
        "Kv_From": "10.0.0.1:80/1",
        "Kv_Fetch": "10.0.0.1:80",
    }
    call(context, path, **forged)


@when('a caller sends the body of "{path}" after {pause:d} ms')
def send_slowly(context, path, pause):
    call(context, path, body=b"pay 5", pause_s=pause / 1000)


@when('a caller sends "{path}" and disconnects after {pause:d} ms')
def send_and_disconnect(context, path, pause):
    async def work(front):
        _, writer = await front.open()
        writer.write(request(path))
        await asyncio.sleep(pause / 1000)
        writer.close()
        closed_s = time.monotonic()
        while not context.upstreams[0].requests[0].is_closed:
            await asyncio.sleep(POLL_S)
        context.closed_after_s = time.monotonic() - closed_s

    run(context, work)


@when("a caller keeps a connection idle while another one reads a stream")
def keep_idle(context):
    async def work(front):
        idle_reader, _ = await front.open()
        reader, writer = await front.open()
        writer.write(request("/stream/x"))
        await asyncio.sleep(0.2)
        front.http.is_draining = True
        front.http.close_idle()
        context.idle_end = await asyncio.wait_for(idle_reader.read(), 1)
        return await read_answer(reader)

    context.answer = run(context, work)


@when("the host closes idle connections")
def check_draining(context):
    assert context.front.http.is_draining


@then("the idle connection ends")
def idle_ended(context):
    assert context.idle_end == b""


@then("the stream is still completed")
def stream_ended(context):
    assert context.answer.is_complete


@then('the caller gets {status:d} with the body "{body}"')
def gets_body(context, status, body):
    assert context.answer.status == status, context.answer
    assert context.answer.is_complete
    assert context.answer.body.decode() == body, context.answer.body


@then("the caller gets {status:d}")
def gets_status(context, status):
    assert context.answer.status == status, context.answer


@then('the digest is "{digest}"')
def digest_is(context, digest):
    assert context.answer.headers["x-response-sig"] == digest


@then("the caller may retry within {limit:d} ms")
def may_retry(context, limit):
    wait_ms = float(context.answer.headers["retry-after"]) * 1000
    assert 0 < wait_ms <= limit, wait_ms


@then('upstream "{name}" got "{line}" with the body "{body}"')
def got_line(context, name, line, body):
    received = upstream(context, name).requests[0]
    assert (received.line, received.body.decode()) == (line, body), received


@then('upstream "{name}" got {count:d} requests')
def got_count(context, name, count):
    assert len(upstream(context, name).requests) == count


@then('upstream "{name}" got the account "{account}" and the instance "{instance}"')
def got_system_fields(context, name, account, instance):
    headers = upstream(context, name).requests[0].headers
    system_fields = (headers["x-tenant"], headers["x-expect-instance"])
    assert system_fields == (account, instance), system_fields


@then('upstream "{name}" got none of "{names}"')
def got_none(context, name, names):
    headers = upstream(context, name).requests[0].headers
    assert not set(names.split(",")) & set(headers), headers


@then('upstream "{name}" got the host "{host}"')
def got_host(context, name, host):
    assert upstream(context, name).requests[0].headers["host"] == host


@then('upstream "{name}" got between {least:d} and {most:d} ms')
def got_deadline(context, name, least, most):
    remaining_ms = int(upstream(context, name).requests[0].headers["x-deadline-ms"])
    assert least <= remaining_ms <= most, remaining_ms


@then('upstream "{name}" was asked to resume after "{event_id}"')
def got_last_event(context, name, event_id):
    assert upstream(context, name).requests[0].headers["last-event-id"] == event_id


@then('upstream "{name}" had its connection closed')
def was_closed(context, name):
    assert upstream(context, name).requests[0].is_closed


@then('upstream "{name}" had its connection closed within {limit:d} ms')
def was_closed_within(context, name, limit):
    assert context.closed_after_s * 1000 <= limit, context.closed_after_s


@then('the slot ended as "{cause}"')
def slot_ended(context, cause):
    events = context.front.slot_server.events
    causes = [e.release.cause.value for e in events if isinstance(e, SlotReleased)]
    assert causes == [cause], causes


@then('the first slot ended as "{cause}"')
def first_slot_ended(context, cause):
    events = context.front.slot_server.events
    causes = [e.release.cause.value for e in events if isinstance(e, SlotReleased)]
    assert causes[0] == cause, causes


@then("the slot request can wait between {least:d} and {most:d} ms")
def slot_request_waits(context, least, most):
    waits_ms = [
        slot_request.deadline_ms
        for slot_request in context.front.slot_server.slot_requests
    ]
    assert least <= waits_ms[0] <= most, waits_ms


@then("the second slot request is a retry")
def second_is_retry(context):
    assert [
        slot_request.is_repeat
        for slot_request in context.front.slot_server.slot_requests
    ] == [
        False,
        True,
    ]


@then('the caller gets events "{numbers}" and the end')
def gets_events(context, numbers):
    check_events(context, numbers)
    assert context.answer.is_complete


@then('the caller gets events "{numbers}" and no end')
def gets_broken_events(context, numbers):
    check_events(context, numbers)
    assert not context.answer.is_complete


def check_events(context, numbers):
    expected = "".join(
        f"id: {number}\ndata: piece {number}\n\n" for number in numbers.split(",")
    )
    assert context.answer.body.decode() == expected, context.answer.body


@then("the first event arrived at least {gap_ms:d} ms before the end")
def first_event_is_early(context, gap_ms):
    answer = context.answer
    assert (answer.duration_s - answer.first_s) * 1000 >= gap_ms, answer


@then("the answer took at most {limit:d} ms")
def took_at_most(context, limit):
    assert context.answer.duration_s * 1000 <= limit, context.answer.duration_s


@then('the metrics show {count:d} sends of the kind "{kind}"')
def shows_sends(context, count, kind):
    text = context.front.metrics.render().decode()
    lines = [line for line in text.splitlines() if "dispatches_total{" in line]
    matches = [line for line in lines if f'kind="{kind}"' in line]
    assert matches and matches[0].endswith(f" {count}"), lines


@then("the metrics show 1 wait and 1 first event of tier 1")
def shows_times(context):
    text = context.front.metrics.render().decode()
    for name in ("queue_ms", "first_token_ms"):
        lines = [line for line in text.splitlines() if f"{name}_count{{" in line]
        counts = [float(line.split()[-1]) for line in lines if 'tier="1"' in line]
        assert counts == [1.0], lines
