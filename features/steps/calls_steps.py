"""Steps that dispatch to a fake engine with a given fault."""

import asyncio
from dataclasses import replace

from behave import given, then, when
from http_fixtures import client, run, serve
from support.early_answers import EarlyUpstream

from peridotfront.answers import Answer
from peridotfront.calls import Call, CallRunner, CallStats
from peridotfront.core.dispatcher_events import DispatchEnded
from peridotfront.core.fleet import AccountSpec, Policy, UpstreamKind, UpstreamSpec
from peridotfront.core.messages import Header as CoreHeader
from peridotfront.core.requests import Request
from peridotfront.exceptions import (
    AnswerTruncated,
    ConnectFailed,
    UpstreamDied,
    UpstreamTimedOut,
)
from peridotfront.http_messages import Header
from peridotfront.request_validator import Admission

STREAM = b"data: {1}\n\ndata: {2}\n\ndata: {3}\n\ndata: [DONE]\n\n"
CUT_BYTES = 14
BUFFER_BYTES = 100_000


class FakeAnswer:
    """Upstream answer that yields a part of the stream, then ends or fails."""

    def __init__(self, data, error=None, status_code=200, is_framed=True):
        self.status_code = status_code
        self.is_framed = is_framed
        self.headers = (Header("content-type", "text/event-stream"),)
        self._data = data
        self._error = error

    async def chunks(self):
        yield self._data
        if self._error is not None:
            raise self._error

    def cancel(self):
        pass

    def hold(self, size_bytes):
        pass


def complete_answer():
    return FakeAnswer(STREAM)


def truncated_answer():
    return FakeAnswer(STREAM[:CUT_BYTES], AnswerTruncated("closed"))


def ended_answer():
    return FakeAnswer(STREAM[:CUT_BYTES])


def ended_empty_answer():
    return FakeAnswer(b"", is_framed=False)


def not_found_answer():
    return FakeAnswer(b"", status_code=404)


def remaining_answer():
    return FakeAnswer(STREAM[CUT_BYTES:])


def failing(error):
    def fail():
        raise error

    return fail


TROUBLES = {
    "answers completely": (complete_answer, None),
    "can't be reached": (failing(ConnectFailed("refused")), None),
    "closes before it answers": (failing(UpstreamDied("closed")), None),
    "truncates its answer and can't be reached again": (
        truncated_answer,
        failing(ConnectFailed("refused")),
    ),
    "truncates its answer and does not know the request": (
        truncated_answer,
        not_found_answer,
    ),
    "truncates its answer and resumes it": (truncated_answer, remaining_answer),
    "ends inside an event and can't be reached again": (
        ended_answer,
        failing(ConnectFailed("refused")),
    ),
    "ends inside an event and resumes it": (ended_answer, remaining_answer),
    "ends without a length before its first event": (
        ended_empty_answer,
        failing(ConnectFailed("refused")),
    ),
    "times out": (failing(UpstreamTimedOut("silent")), None),
    "causes an unexpected exception in the client": (
        failing(ZeroDivisionError("unforeseen")),
        None,
    ),
}


class FakeClient:
    """Engine client whose engine has the given fault."""

    def __init__(self, trouble):
        self._complete, self._resume = TROUBLES[trouble]

    async def complete(self, *arguments, **options):
        return self._complete()

    async def resume(self, *arguments, **options):
        return self._resume()


def admission():
    request = Request(
        request_id="r1",
        key="",
        fingerprint=1,
        client_account="a",
        tier=1,
        kind=UpstreamKind.ENGINE,
        service="",
        model="m",
        prompt_tokens=5,
        output_tokens=3,
        prefix_hashes=(),
        deadline_ms=1000,
        is_idempotent=True,
    )
    account = AccountSpec("a", "0" * 64)
    path = "/v1/completions"
    return Admission(request, account, "POST", path, "application/json", b"{}", True)


@given("a fake engine that {trouble}")
def fake_engine(context, trouble):
    context.client = FakeClient(trouble)


@when("a streamed completion is dispatched to it")
def dispatch(context):
    context.events = []

    async def run():
        answer = Answer("r1", "account/model/k", 1, BUFFER_BYTES)
        upstream = UpstreamSpec("e1", UpstreamKind.ENGINE, "dc", "127.0.0.1:1")
        call = Call(admission(), answer, upstream, CallStats(started_ms=0))
        await CallRunner(context.client, context.events.append).dispatch(call, Policy())
        return answer

    context.answer = asyncio.run(run())


@then("the call has ended once, as {verdict}")
def ended(context, verdict):
    end_events = [event for event in context.events if isinstance(event, DispatchEnded)]
    assert [event.outcome.verdict.value for event in end_events] == [verdict], (
        end_events
    )


@then("the answer is the complete stream")
def is_complete_stream(context):
    assert context.answer.body() == STREAM


@given('an upstream of the own interface that answers early and will "{step}"')
def early_upstream(context, step):
    """Serve an upstream that resumes nothing."""
    upstream = EarlyUpstream("e1", [step, "forget"])
    run(context, upstream.start())
    context.add_cleanup(upstream.server.close)
    context.address = upstream.address
    context.client = client(context)


@given("an upstream that answers each call with {status:d}")
def refusing_upstream(context, status):
    """Serve an upstream that claims in each answer that the request did not run."""

    async def refuse(exchange):
        request_id = exchange.request.header("x-request-id")
        exchange.extra_headers = (("x-request-id", request_id),)
        body = b'{"verdict": "not_run"}'
        content_type = ("content-type", "application/problem+json; charset=utf-8")
        await exchange.respond(status, [content_type], body)

    serve(context, refuse)
    context.client = client(context)


@when("a call to {target} is dispatched to it")
def dispatch_call(context, target):
    dispatch_body(context, target, b"{}")


@when("{size:d} bytes of a call to {target} are dispatched to it")
def dispatch_long_call(context, target, size):
    dispatch_body(context, target, b"x" * size)


def dispatch_body(context, target, body):
    kind = UpstreamKind.ENGINE if target == "an engine" else UpstreamKind.SERVICE
    context.events = []
    plain = admission()
    call_admission = replace(
        plain,
        request=replace(plain.request, kind=kind),
        body=body,
        timeout_ms=5000,
    )
    context.answer = Answer("r1", "account/model/k", 1, BUFFER_BYTES)
    upstream = UpstreamSpec("e1", kind, "dc", context.address)
    call = Call(call_admission, context.answer, upstream, CallStats(started_ms=0))
    runner = CallRunner(context.client, context.events.append)
    run(context, runner.dispatch(call, Policy()))


@then("the call has ended as {verdict} and its answer has status {status:d}")
def ended_with_status(context, verdict, status):
    ended(context, verdict)
    assert context.answer.status_code == status, context.answer.status_code


@then("its answer is not of the type of our refusals")
def is_no_problem(context):
    types = [field.value for field in context.answer.headers]
    assert types == ["application/json"], types


@then("its end says that the answer has begun: {has_begun:w}")
def says_begun(context, has_begun):
    (end,) = [event for event in context.events if isinstance(event, DispatchEnded)]
    assert str(end.is_answer_begun) == has_begun, end


class ResumingClient:
    """Engine client whose engine resumes the stream at any offset."""

    async def resume(self, address, request_id, offset_bytes, **options):
        return FakeAnswer(STREAM[offset_bytes:])


@given("an engine that resumes an answer")
def resuming_engine(context):
    context.client = ResumingClient()


@when("a stream of which {size:d} bytes were copied is resumed at it")
def resume_copied(context, size):
    context.events = []

    async def resume():
        answer = Answer("r1", "account/model/k", 1, BUFFER_BYTES)
        if size:
            answer.start(200, (CoreHeader("content-type", "text/event-stream"),))
            await answer.write(STREAM[:size])
        upstream = UpstreamSpec("e1", UpstreamKind.ENGINE, "dc", "127.0.0.1:1")
        call = Call(admission(), answer, upstream, CallStats(started_ms=0))
        await CallRunner(context.client, context.events.append).resume(call, Policy())
        return answer

    context.answer = asyncio.run(resume())


@then("the outcome has the complete stream")
def outcome_has_stream(context):
    (end,) = [event for event in context.events if isinstance(event, DispatchEnded)]
    assert end.outcome.body == STREAM, end.outcome
