"""Steps for requests whose handler ends early."""

import asyncio
import io
import json

from behave import given, then, when
from support.routed_upstreams import POLL_S, read_answer, request
from support.routed_upstreams import run_front as run
from support.scripted_upstreams import Upstream

from peridotfront import logs
from peridotfront.core.gateway_events import SlotProgress
from peridotfront.log_settings import LogSection

REQUEST_ID = "a1"


def fail(*_):
    raise ZeroDivisionError("an error of the program")


async def wait_forever(slot_request):
    await asyncio.Event().wait()


class FailingTable:
    """Route table that fails when a request's route is looked for."""

    version = 1
    find_route = fail


def fail_before_decoding(front):
    front.slot_server.route_table = FailingTable()


def fail_before_send(front):
    front.slot_server.acquire_slot = fail


def fail_within_answer(front):
    feed = front.slot_server.feed

    def fail_at_progress(event):
        feed(event)
        if isinstance(event, SlotProgress):
            fail()

    front.slot_server.feed = fail_at_progress


def wait_for_slot(front):
    front.slot_server.acquire_slot = wait_forever


def change_nothing(front):
    return


# What the upstream does, what the handler meets, and whether the handler is cancelled.
ENDS = {
    "an error before it is decoded": ("answer", fail_before_decoding, False),
    "an error before it is sent": ("answer", fail_before_send, False),
    "an error within its answer": ("events", fail_within_answer, False),
    "an end while it waits for a slot": ("answer", wait_for_slot, True),
    "an end while its upstream works": ("hang", change_nothing, True),
    "an end within its answer": ("silent_events", change_nothing, True),
}


@given("a gateway whose handler meets {end}")
def make_gateway(context, end):
    step, context.fault, context.is_cancelled = ENDS[end]
    context.routes = None
    context.upstreams = [Upstream("u1", [step])]


@when('a caller\'s request to "{path}" meets it')
def send(context, path):
    async def work(front):
        context.fault(front)
        reader, writer = await front.open()
        writer.write(request(path))
        answer = asyncio.ensure_future(read_answer(reader))
        if context.is_cancelled:
            await asyncio.sleep(4 * POLL_S)
            for task in list(front.http._tasks):
                task.cancel()
        try:
            return await answer
        except asyncio.IncompleteReadError:
            return None
        finally:
            writer.close()

    stream = io.StringIO()
    logs.configure(LogSection(), "e1", stream)
    try:
        context.answer = run(context, work)
    finally:
        logs.configure(LogSection(), "")
    context.lines = [json.loads(line) for line in stream.getvalue().splitlines()]


@then("the caller gets status {status:d} from the gateway")
def gets_status(context, status):
    assert context.answer is not None, context.lines
    assert context.answer.status == status, context.answer
    assert context.answer.is_complete


@then("the caller gets a cut from the gateway")
def gets_cut(context):
    assert context.answer.status == 200, context.answer
    assert not context.answer.is_complete


@then('the log says "{name}" with "{cause}" and the request\'s id')
def log_says(context, name, cause):
    lines = [line for line in context.lines if line["name"] == name]
    assert len(lines) == 1, context.lines
    assert lines[0]["request_id"] == REQUEST_ID, lines
    assert cause in str(lines[0]), lines


@then('the log says that its forwarding has ended as "{outcome}"')
def forwarding_ended(context, outcome):
    lines = [line for line in context.lines if line["name"] == "forwarding_ended"]
    assert [line["outcome"] for line in lines] == [outcome], context.lines
