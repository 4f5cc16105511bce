"""Steps in which an attempt of a caller arrives twice with one id."""

import asyncio
import json

from behave import given, then, when
from support.routed_upstreams import POLL_S, read_answer, request, run_front

from peridotfront.core.actions import Received
from peridotfront.core.gateway_events import SlotGranted, SlotRefused
from peridotfront.core.messages import Grant, SlotRequest
from peridotfront.core.verdicts import Reason

BODY = b"pay 5"
LEADER = "c1"
SLOT_REQUEST = SlotRequest("r1", "models", "", 1, "club", 10, 10, (), 1, 5000)
GRANT = Grant("r1", "models", "m1", 3000, 0, "127.0.0.1:1")
SHORT = {"X-Deadline-Ms": "800"}


async def send(front, path, headers):
    connection = await front.open()
    connection[1].write(request(path, body=BODY, headers=headers) + BODY)
    return connection


def count_requests(context):
    return sum(len(upstream.requests) for upstream in context.upstreams)


@given("the leader knows the request from another host")
def known_elsewhere(context):
    context.slot_options = {"refusal_reason": "in_progress"}


@when('"{path}" arrives twice at once with the same id')
def arrive_at_once(context, path):
    async def work(front):
        first = await send(front, path, SHORT)
        async with asyncio.timeout(5):
            while not count_requests(context):
                await asyncio.sleep(POLL_S)
        second = await send(front, path, SHORT)
        answer = await read_answer(second[0])
        await read_answer(first[0])
        return answer

    context.answer = run_front(context, work)


@when('"{path}" arrives twice in turn with the same id')
def arrive_in_turn(context, path):
    async def work(front):
        first = await send(front, path, {})
        await read_answer(first[0])
        second = await send(front, path, {})
        return await read_answer(second[0])

    context.answer = run_front(context, work)


@then('the second arrival gets {status:d} and "{verdict}"')
def second_refused(context, status, verdict):
    assert context.answer.status == status, context.answer
    assert json.loads(context.answer.body)["verdict"] == verdict, context.answer


@then('the second arrival gets 200 and the whole answer of "{name}"')
def second_answered(context, name):
    assert context.answer.status == 200, context.answer
    assert context.answer.body == f"whole answer of {name}".encode(), context.answer


@then("the upstreams got {count:d} request together")
def requests_together(context, count):
    assert count_requests(context) == count, context.upstreams


@when("two requests with the same id wait for a slot and it is granted")
def wait_twice(context):
    async def wait():
        server = context.server
        first = asyncio.create_task(server.acquire_slot(SLOT_REQUEST))
        await asyncio.sleep(0)
        second = asyncio.create_task(server.acquire_slot(SLOT_REQUEST))
        await asyncio.sleep(0)
        server.feed(Received(LEADER, 1, GRANT))
        async with asyncio.timeout(2):
            return await asyncio.gather(first, second, return_exceptions=True)

    context.answers = asyncio.run(wait())


@then("the first gets the slot and the second is refused as in progress")
def first_gets_slot(context):
    first, second = context.answers
    assert isinstance(first, SlotGranted), first
    assert isinstance(second, SlotRefused), second
    assert second.refusal.reason is Reason.IN_PROGRESS, second
