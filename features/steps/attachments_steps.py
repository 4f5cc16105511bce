"""Steps that fetch an answer from its holder over faulty links."""

import asyncio
import random

from behave import given, then, when

from peridotfront.answers import Answer, AnswerStore
from peridotfront.attachments import Attachments
from peridotfront.core.messages import AnswerChunk, Header, Outcome
from peridotfront.core.verdicts import Reason, Verdict

KEY = "account/model/k1"
OUTCOME = Outcome(Verdict.COMPLETED, Reason.NONE, 200)
NOT_RUN = Outcome(Verdict.NOT_RUN, Reason.DEADLINE)
BUFFER_BYTES = 10_000_000
LATE_S = 0.05
TIMEOUT_S = 30


def delivery_delays(trouble, rng):
    """Return the delay in seconds of each delivered copy of one chunk."""
    if trouble == "doubled":
        return [0, 0, LATE_S]
    if trouble == "lost":
        return [] if rng.random() < 0.3 else [0]
    if trouble == "late":
        return [rng.random() * LATE_S]
    return [0]


@given("a holder with an answer of {size:d} bytes")
def holder_with_answer(context, size):
    context.body = random.Random(4).randbytes(size)


@given("a holder without the answer")
def holder_without(context):
    context.body = None


@when("another host fetches it while chunks are {trouble}")
def fetch(context, trouble):
    context.copy, context.ended = asyncio.run(
        asyncio.wait_for(fetch_copy(context.body, trouble), TIMEOUT_S)
    )


async def fetch_copy(body, trouble):
    rng = random.Random(5)
    loop = asyncio.get_running_loop()
    holder_answers = AnswerStore()
    if body is not None:
        answer = Answer("r1", KEY, 1, BUFFER_BYTES)
        holder_answers.add(answer)
        holder_answers.register_by_key(answer)
        answer.start(200, (Header("content-type", "text/plain"),))
        await answer.write(body)
        answer.end(OUTCOME)
    ended = asyncio.Event()
    events = []

    def on_end(event):
        events.append(event)
        ended.set()

    def to_follower(_, message):
        for delay_s in delivery_delays(trouble, rng):
            loop.call_later(delay_s, follower.on_message, "holder", message)

    def to_holder(_, message):
        loop.call_soon(holder.on_message, "follower", message)

    holder = Attachments(holder_answers, to_follower, on_end)
    follower = Attachments(AnswerStore(), to_holder, on_end)
    copy = Answer("r2", KEY, 1, BUFFER_BYTES)
    follower.follow(copy, KEY, "holder")
    await ended.wait()
    await holder.stop()
    await follower.stop()
    return copy, events[0]


@then("the copy is the same bytes and ends with the same outcome")
def copy_is_equal(context):
    assert context.copy.body() == context.body
    assert context.copy.status_code == 200
    assert context.ended.outcome.verdict is OUTCOME.verdict
    assert context.copy.outcome is not None


@then("the copy is abandoned")
def copy_is_abandoned(context):
    assert context.ended.outcome is None
    assert context.copy.outcome is None


@given("a request whose copy from one host was abandoned")
def abandoned_copy(context):
    """Nothing to do: both copies are made in the next step."""


@when("it is copied from another host and a late chunk of {sender} says not_run")
def copy_with_late_chunk(context, sender):
    host = {"the first host": "h1", "the second host": "h2"}[sender]
    context.ends = asyncio.run(asyncio.wait_for(copy_twice(host), TIMEOUT_S))


async def copy_twice(late_sender):
    requests = asyncio.Queue()
    ends = asyncio.Queue()
    follower = Attachments(
        AnswerStore(),
        lambda host, message: requests.put_nowait(message),
        ends.put_nowait,
    )

    def reply(sender, request, outcome, is_known=True):
        status_code = outcome.status_code if outcome else 0
        chunk = AnswerChunk(
            request.request_id, KEY, 0, b"", is_known, outcome, status_code
        )
        follower.on_message(sender, chunk)

    copy = Answer("r2", KEY, 1, BUFFER_BYTES)
    follower.follow(copy, KEY, "h1" if late_sender == "h1" else "h2")
    first_request = await requests.get()
    reply(late_sender, first_request, None, is_known=False)
    first_end = await ends.get()
    follower.follow(copy, KEY, "h2")
    second_request = await requests.get()
    reply(late_sender, first_request, NOT_RUN)
    reply("h2", second_request, OUTCOME)
    second_end = await ends.get()
    await follower.stop()
    return [first_end.outcome, second_end.outcome]


@then("the copy ends with what the answer's holder says")
def copy_ends_as_holder_says(context):
    assert context.ends == [None, OUTCOME], context.ends


@given("a request that copies an answer from a host")
def copying_request(context):
    """Nothing to do: the copy is made in the next step."""


@when("its copy is given up and a late chunk arrives")
def give_up_copy(context):
    context.copy, context.ends = asyncio.run(asyncio.wait_for(give_up(), TIMEOUT_S))


async def give_up():
    requests = asyncio.Queue()
    ends = []
    follower = Attachments(
        AnswerStore(), lambda host, message: requests.put_nowait(message), ends.append
    )
    copy = Answer("r2", KEY, 1, BUFFER_BYTES)
    follower.follow(copy, KEY, "h1")
    request = await requests.get()
    chunk = AnswerChunk(request.request_id, KEY, 0, b"late", True, OUTCOME, 200)
    follower.on_message("h1", chunk)
    follower.give_up("r2")
    await asyncio.sleep(LATE_S)
    follower.give_up("unknown")
    await follower.stop()
    return copy, ends


@then("the answer is still empty and no end was reported")
def nothing_written(context):
    assert context.copy.body() == b"" and context.copy.outcome is None
    assert context.ends == [], context.ends
