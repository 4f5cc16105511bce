"""Steps in which an attempt of a caller arrives twice with one id."""

import asyncio
import json

from behave import given, then, when
from support.routed_upstreams import POLL_S, read_answer, request, run_front

BODY = b"pay 5"
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
