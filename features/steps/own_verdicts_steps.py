"""Steps that end requests of the own interface and read what their callers get."""

import hashlib
from types import SimpleNamespace

from behave import given, then, when
from http_fixtures import parse_problem, run, send_and_receive, serve

from peridotfront.answers import Answer
from peridotfront.core.fleet import AccountSpec, Fleet, UpstreamKind, UpstreamSpec
from peridotfront.core.messages import Outcome
from peridotfront.core.requests import Request
from peridotfront.core.verdicts import Reason, Refusal, Verdict
from peridotfront.exceptions import RequestRefused
from peridotfront.http_messages import Header, HttpRequest
from peridotfront.metrics import Metrics
from peridotfront.request_handler import RequestHandler
from peridotfront.request_validator import Admission, RequestValidator

RETRY_MS = 1200
REQUEST = b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
LENGTH = b"Content-Length: 2\r\n\r\n{}"


def admit(request, request_id):
    is_stream = request.header("x-stream") == "1"
    admitted = Request(
        request_id=request_id,
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
    path, kind = "/v1/completions", "application/json"
    return Admission(admitted, account, "POST", path, kind, b"{}", is_stream)


def new_answer(admission):
    return Answer(admission.request.request_id, "", 1, 1000)


def serve_requests(context, open_answer):
    handler = RequestHandler(
        SimpleNamespace(admit=admit),
        SimpleNamespace(open=open_answer),
        lambda event: None,
        Metrics("e1", "dc"),
        lambda: 1,
    )
    serve(context, handler.handle)


@given("an entry host whose requests end as {verdict} for {reason}")
def refusing_host(context, verdict, reason):
    refusal = Refusal(Verdict(verdict), Reason(reason.replace("none", "")), RETRY_MS)

    def open_answer(admission, refused):
        answer = new_answer(admission)
        answer.refuse(refusal)
        return answer

    serve_requests(context, open_answer)


@given("a server that wrongly refuses with {status:d} and the verdict {verdict}")
def untrue_handler(context, status, verdict):
    async def handle(exchange):
        refusal = Refusal(Verdict(verdict), Reason.NO_UPSTREAM, RETRY_MS, "secret")
        await exchange.refuse(status, refusal)

    serve(context, handle)


@when("a caller sends a completion")
def send_completion(context):
    raw = run(context, send_and_receive(context.address, REQUEST + LENGTH))
    context.reply = parse_problem(raw)


@then("it gets status {status:d} and the verdict {verdict}")
def check_reply(context, status, verdict):
    reply = context.reply
    assert (reply.status_code, reply.content["verdict"]) == (status, verdict), reply
    assert reply.content["status"] == status and "retry-after: 2" in reply.head


@given("an entry host whose recorded answers have status {status:d}")
def recording_host(context, status):
    def open_answer(admission, refused):
        answer = new_answer(admission)
        answer.start(status, ())
        answer.end(Outcome(Verdict.COMPLETED, Reason.NONE, status))
        return answer

    serve_requests(context, open_answer)


@when("a caller sends a completion for {manner}")
def send_completion_for(context, manner):
    wish = b"X-Stream: %d\r\n" % (manner == "a stream")
    raw = run(context, send_and_receive(context.address, REQUEST + wish + LENGTH))
    context.raw_answer = raw


@then("the recorded answer is withheld as may_have_run")
def check_withheld(context):
    reply = parse_problem(context.raw_answer)
    assert reply.status_code == 502, reply
    assert reply.content["verdict"] == "may_have_run", reply
    assert "retry-after" not in reply.head, reply


FAULTS = {
    "names a model that has left": ("/v1/completions", "a", b'{"model": "gone"}'),
    "is of an account that left": ("/v1/completions", "gone", b'{"model": "m"}'),
    "is not valid JSON": ("/v1/completions", "a", b"{"),
    "names a service that left": ("/services/gone/x", "a", b"{}"),
}


@given('an entry host that knows the model "m" and an account')
def validating_host(context):
    account = AccountSpec("a", hashlib.sha256(b"a").hexdigest())
    upstream = UpstreamSpec("e1", UpstreamKind.ENGINE, "dc", "1:1", models=("m",))
    fleet = Fleet(version=1, upstreams=(upstream,), accounts=(account,))
    context.validator = RequestValidator(fleet, 1000)


@when('a caller sends attempt "{attempt}" with {key} that {fault}')
@when('a caller sends attempt "" with {key} that {fault}')
def send_attempt(context, key, fault, attempt=""):
    path, account, body = FAULTS[fault]
    headers = [Header("authorization", f"Bearer {account}")]
    if attempt:
        headers.append(Header("peridotfront-attempt", attempt))
    if key == "a key":
        headers.append(Header("idempotency-key", "k"))
    request = HttpRequest("POST", path, path, "", tuple(headers), body)
    try:
        context.validator.admit(request, "r1")
    except RequestRefused as error:
        context.refused = error


@then("it is refused with {status:d} and the verdict {verdict}")
def check_refused(context, status, verdict):
    refused = context.refused
    assert refused.status_code == status, refused
    assert refused.refusal.verdict.value == verdict, refused.refusal
