"""Steps that dispatch to an engine which fails in a chosen way."""

import asyncio

from behave import given, then, when

from peridotfront.answers import Answer
from peridotfront.calls import Call, CallStats, UpstreamCaller
from peridotfront.core.dispatcher_events import DispatchEnded
from peridotfront.core.fleet import AccountSpec, Policy, UpstreamKind, UpstreamSpec
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
    """Yields a part of the stream, then ends or fails."""

    def __init__(self, data, error=None, status_code=200):
        self.status_code = status_code
        self.headers = (Header("content-type", "text/event-stream"),)
        self._data = data
        self._error = error

    async def chunks(self):
        yield self._data
        if self._error is not None:
            raise self._error

    def cancel(self):
        pass


def whole():
    return FakeAnswer(STREAM)


def cut():
    return FakeAnswer(STREAM[:CUT_BYTES], AnswerTruncated("closed"))


def unknown():
    return FakeAnswer(b"", status_code=404)


def rest():
    return FakeAnswer(STREAM[CUT_BYTES:])


def failing(error):
    def fail():
        raise error

    return fail


TROUBLES = {
    "answers whole": (whole, None),
    "can't be reached": (failing(ConnectFailed("refused")), None),
    "dies before it answers": (failing(UpstreamDied("closed")), None),
    "breaks off and can't be reached any more": (
        cut,
        failing(ConnectFailed("refused")),
    ),
    "breaks off and does not know the request": (cut, unknown),
    "breaks off and goes on where it stopped": (cut, rest),
    "falls silent": (failing(UpstreamTimedOut("silent")), None),
    "makes the client fail in a way nobody foresaw": (
        failing(ZeroDivisionError("unforeseen")),
        None,
    ),
}


class FakeClient:
    """Is a client whose engine fails as told."""

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


@given("a faked engine that {trouble}")
def engine_that(context, trouble):
    context.client = FakeClient(trouble)


@when("a streamed completion is dispatched to it")
def dispatch(context):
    context.events = []

    async def run():
        answer = Answer("r1", "account/model/k", 1, BUFFER_BYTES)
        upstream = UpstreamSpec("e1", UpstreamKind.ENGINE, "dc", "127.0.0.1:1")
        call = Call(admission(), answer, upstream, CallStats(started_ms=0))
        await UpstreamCaller(context.client, context.events.append).dispatch(
            call, Policy()
        )
        return answer

    context.answer = asyncio.run(run())


@then("the call has ended once, as {verdict}")
def ended(context, verdict):
    ends = [one for one in context.events if isinstance(one, DispatchEnded)]
    assert [one.outcome.verdict.value for one in ends] == [verdict], ends


@then("the answer is the whole stream")
def whole_stream_held(context):
    assert context.answer.body() == STREAM
