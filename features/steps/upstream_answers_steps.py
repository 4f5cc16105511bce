"""Steps for the answers of upstreams, and whose they are."""

import io
import json

from behave import then, when
from support.routed_upstreams import run_front as run

from peridotfront import logs
from peridotfront.log_settings import LogSection


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
