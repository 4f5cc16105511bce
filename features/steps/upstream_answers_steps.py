"""Steps for the answers of upstreams, and whose they are."""

import asyncio
import io
import itertools
import json
from http import HTTPStatus

from behave import given, then, when
from support.answer_rules import SentRequest, count_runs, find_violations
from support.answering_upstream import (
    REJECTION_STATUS_CODES,
    AfterInterim,
    AnswerDescription,
    AnsweringUpstream,
    BeforeBody,
    Behind,
    InPlace,
    LateExtra,
    NamedIds,
)
from support.routed_upstreams import run_front as run

from peridotfront import logs
from peridotfront.core.upstream_answers import (
    AnswerHead,
    AnswerOwner,
    ExecutionMark,
    classify_answer,
)
from peridotfront.log_settings import LogSection

STATUS_CODES = (200, 301, 400, 404, 408, 421, 429, 500, 502, 503, 504)
MARKS = {
    "none": (),
    "1": ("1",),
    "0": ("0",),
    "false": ("false",),
    "empty": ("",),
    "1 and 0": ("1", "0"),
}
PLAYS = {
    "in place of its answer": InPlace,
    "before its answer to the next request": LateExtra,
    "right behind its answer": Behind,
    "5 ms behind its answer": lambda answer: Behind(answer, 0.005),
    "before it reads the body": BeforeBody,
}
LONG_BODY = b"0123456789abcdef" * 256 * 1024
DIGEST = "x-response-sig"
MAX_FIRST_REQUESTS = 3
QUIET_S = 0.001
QUIET_LIMIT_S = 3.0


@when('a caller sends "{path}" with the body "{body}" and its lines are logged')
def send_logged(context, path, body):
    context.log = io.StringIO()
    logs.configure(LogSection(), "e1", context.log)
    context.add_cleanup(logs.configure, LogSection(level="error"), "")
    context.answer = run(context, lambda front: front.call(path, body=body.encode()))


@then(
    "an unsuccessful answer of {owner} with status {status:d} is logged,"
    " marked {marked}"
)
def is_logged(context, owner, status, marked):
    lines = [json.loads(line) for line in context.log.getvalue().splitlines()]
    answers = [line for line in lines if line["name"] == "answer_unsuccessful"]
    assert answers, lines
    first = answers[0]
    seen = (first["owner"], first["status"], str(first["is_marked_not_executed"]))
    assert seen == (owner, status, marked), first
    assert (first["upstream"], first["call_number"]) == ("u1", 1), first
    assert first["request_id"] == "a1", first


# Upstreams that answer by a description


@given("a gateway before an upstream that answers by description and a faithful one")
def make_answering(context):
    context.routes = None
    context.upstreams = [AnsweringUpstream("u1"), AnsweringUpstream("u2")]
    context.sent = []
    context.expected_plays = set()


def describe(status, marks, ids):
    """Return an answer that is signed unless it has the form of a rejection."""
    is_misdirected = status == HTTPStatus.MISDIRECTED_REQUEST
    is_rejection = status in REJECTION_STATUS_CODES and marks != "none"
    is_signed = not (is_misdirected or is_rejection)
    return AnswerDescription(status, MARKS[marks], NamedIds(ids), is_signed)


@given(
    '"{name}" sends {status:d} marked "{marks}" in the name of "{ids}", {placement},'
    ' for request "{request_id}"'
)
def set_play(context, name, status, marks, ids, placement, request_id):
    play = PLAYS[placement](describe(status, marks, ids))
    expect_play(context, name, request_id, play)


@given(
    '"{name}" sends an unsigned {status:d} in the name of "{ids}", {placement},'
    ' for request "{request_id}"'
)
def set_unsigned(context, name, status, ids, placement, request_id):
    answer = AnswerDescription(status, (), NamedIds(ids), is_signed=False)
    expect_play(context, name, request_id, PLAYS[placement](answer))


def expect_play(context, name, request_id, play):
    upstream = next(item for item in context.upstreams if item.name == name)
    upstream.plays[request_id] = play
    context.expected_plays.add((name, request_id))


@given(
    '"{name}" sends bytes that are no answer, {placement}, for request "{request_id}"'
)
def set_stray_bytes(context, name, placement, request_id):
    expect_play(context, name, request_id, PLAYS[placement](None))


@given(
    '"{name}" sends an interim {interim:d} marked "{marks}" and then {status:d},'
    ' for request "{request_id}"'
)
def set_interim(context, name, interim, marks, status, request_id):
    interim_answer = describe(interim, marks, "own")
    play = AfterInterim(interim_answer, AnswerDescription(status))
    expect_play(context, name, request_id, play)


async def call(context, front, kind, request_id, play="", body=b"body"):
    """Send one request, and wait until no upstream is at work any more."""
    headers = {"X_Attempt_Id": request_id}
    try:
        answer = await front.call(f"/{kind}/x", body=body, **headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        answer = None
    request = SentRequest(request_id, kind, body, play, answer)
    context.sent.append(request)
    async with asyncio.timeout(QUIET_LIMIT_S):
        while any(upstream.busy_count for upstream in context.upstreams):
            await asyncio.sleep(QUIET_S)
    return request


def send_in_sequence(context, kind, request_ids, body):
    async def work(front):
        for request_id in request_ids.split(","):
            await call(context, front, kind, request_id, body=body)

    run(context, work)


@when('a caller sends the {kind} requests "{request_ids}" in sequence')
def send_requests(context, kind, request_ids):
    send_in_sequence(context, kind, request_ids, b"body")


@when('a caller sends the {kind} requests "{request_ids}" with a body of 4 MiB')
def send_long_requests(context, kind, request_ids):
    send_in_sequence(context, kind, request_ids, LONG_BODY)


async def leave_connection(context, front, kind, request_id):
    """Send requests until one leaves a kept connection to the first upstream.

    The own answer of an earlier request can still arrive at the place of the next one.
    """
    for number in range(MAX_FIRST_REQUESTS):
        first_id = f"{request_id}-first-{number}"
        first = await call(context, front, kind, first_id, "request before")
        if first.answer is not None and f"{first_id}/u1/200" in first.values(DIGEST):
            return


@when("a caller sends {kind} requests to which each answer is sent {placement}")
def send_all(context, kind, placement):
    make_play = PLAYS[placement]
    first = context.upstreams[0]
    cases = itertools.product(STATUS_CODES, MARKS, NamedIds, (True, False))

    async def work(front):
        for number, (status, marks, ids, is_signed) in enumerate(cases):
            request_id = f"b{number}"
            description = AnswerDescription(status, MARKS[marks], ids, is_signed)
            expect_play(context, first.name, request_id, make_play(description))
            signed = "signed" if is_signed else "unsigned"
            words = f"{signed} {status} marked {marks!r} in the name of {ids.value!r}"
            if make_play is LateExtra:
                await leave_connection(context, front, kind, request_id)
            await call(context, front, kind, request_id, words)

    run(context, work)


@then("no promise is broken, nothing runs twice and no answers are mixed up")
def nothing_is_broken(context):
    lines = find_violations(context.sent, context.upstreams)
    lines += find_unplayed(context)
    total = len(context.sent)
    text = "\n".join([f"{len(lines)} faults in {total} requests:", *lines])
    assert not lines, text


def find_unplayed(context):
    """Return a line for each answer that was to be sent and was not."""
    return [
        f"{upstream.name} had no occasion for its answer to {request_id}"
        for upstream in context.upstreams
        for name, request_id in sorted(context.expected_plays)
        if name == upstream.name and request_id not in upstream.played
    ]


def find_request(context, request_id):
    return next(item for item in context.sent if item.request_id == request_id)


@then('request "{request_id}" gets one of "{status_codes}"')
def gets_one_of(context, request_id, status_codes):
    request = find_request(context, request_id)
    expected = [int(text) for text in status_codes.split(",")]
    assert request.answer is not None, request
    assert request.answer.status in expected, request.answer


@then('request "{request_id}" gets the complete answer of "{name}" with {status:d}')
def gets_answer_of(context, request_id, name, status):
    request = find_request(context, request_id)
    assert request.answer is not None, request
    assert request.answer.status == status, request.answer
    assert request.answer.is_complete, request.answer
    digests = request.values(DIGEST)
    assert digests == [f"{request_id}/{name}/{status}"], request.answer


@then('request "{request_id}" gets no digest')
def gets_no_digest(context, request_id):
    request = find_request(context, request_id)
    assert request.values(DIGEST) == [], request.answer


@then('request "{request_id}" may be sent again within {limit_ms:d} ms')
def may_come_back(context, request_id, limit_ms):
    values = find_request(context, request_id).values("retry-after")
    assert len(values) == 1, values
    assert 0 < float(values[0]) * 1000 <= limit_ms, values


@then('request "{request_id}" ran {count:d} times')
def ran_times(context, request_id, count):
    runs = count_runs(context.upstreams)
    assert runs[request_id] == count, runs


@then("every proof of a rejection is believed")
def proofs_are_believed(context):
    first = context.upstreams[0]
    disbelieved = [
        request.summary
        for request in context.sent
        if is_plain_proof(first.plays.get(request.request_id))
        and (request.answer is None or request.answer.status != 200)
    ]
    text = f"{len(disbelieved)} rejected requests were not served by u2:"
    assert not disbelieved, "\n".join([text, *disbelieved])


def is_plain_proof(play):
    """Return whether a request is certainly to be sent to another upstream.

    A status 400 may end a request, and a 421 with a strange mark contradicts itself.
    """
    if play is None or not play.answer.is_proof or play.answer.status == 400:
        return False
    return play.answer.marks in ((), ("1",))


# Kinds of answers


@when(
    "an answer with status {status:d} of {owner}, marked {mark}, {digest}, {encoding}"
    " is classified"
)
def classify(context, status, owner, mark, digest, encoding):
    head = AnswerHead(
        status_code=status,
        owner=AnswerOwner(owner),
        mark=ExecutionMark(mark),
        has_digest=digest == "signed",
        is_encoded=encoding == "encoded",
    )
    context.kind = classify_answer(head)


@then("it is of kind {kind}")
def is_of_kind(context, kind):
    assert context.kind.name.lower() == kind, context.kind
