"""Steps for log events, dumps and metrics."""

import argparse
import asyncio
import io
import json
import logging
import math
from dataclasses import dataclass

from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st
from support.generator import load_generator

from peridotfront import log_events, logs
from peridotfront.core.verdicts import Reason, Verdict
from peridotfront.dump import OMITTED, SHOWN_ABOVE, dump
from peridotfront.exceptions import LogEventUnknown
from peridotfront.http_messages import Header
from peridotfront.log_settings import LogSection
from peridotfront.metrics import Metrics

SECRET = "s3cr3t-value"
EVENT_GROUPS = (
    log_events.PROCESS_EVENTS,
    log_events.PEER_EVENTS,
    log_events.CONTROL_EVENTS,
    log_events.CONFIGURATION_EVENTS,
    log_events.REQUEST_EVENTS,
    log_events.UPSTREAM_EVENTS,
    log_events.SCHEDULING_EVENTS,
    log_events.OPERATOR_EVENTS,
)


def read_lines(context):
    return context.log.getvalue().splitlines()


def last_line(context):
    return json.loads(read_lines(context)[-1])


def configure(context, host, **section):
    context.log = io.StringIO()
    logs.configure(LogSection(**section), host, context.log)
    context.add_cleanup(logs.configure, LogSection(level="error"), "")


@when("the catalogue of log events is checked")
def check_catalogue(context):
    context.faults = list(load_generator().catalogue_faults())


@then("no fault is found")
def check_no_faults(context):
    assert context.faults == [], context.faults


@then("every event number is in the range of its group")
def check_number_ranges(context):
    for digit, events in enumerate(EVENT_GROUPS, start=1):
        assert {event.number // 100 for event in events} == {digit}, digit


@given('log lines of host "{host}" as {form}')
def configure_format(context, host, form):
    configure(context, host, format=form.lower(), level="debug")


@given('log lines of host "{host}" from level "{level}"')
def configure_level(context, host, level):
    configure(context, host, level=level)


@when('event "{name}" is written for request "{request_id}" with peer "{peer}"')
def write_for_request(context, name, request_id, peer):
    with logs.request_context(request_id):
        logs.write(name, peer=peer)


@when('event "{name}" is written with host "{host}"')
def write_with_host(context, name, host):
    logs.write(name, host=host)


@when('event "{name}" is written with every kind of secret')
def write_secrets(context, name):
    logs.write(
        name,
        admin_token=SECRET,
        authorization=f"Bearer {SECRET}",
        headers={"Authorization": SECRET, "nested": {"password": SECRET}},
        body=SECRET.encode(),
    )


@when('event "{name}" is written')
def write_plain(context, name):
    context.error = None
    try:
        logs.write(name)
    except LogEventUnknown as error:
        context.error = error


def log_exception(error):
    try:
        raise error
    except BaseException:
        logging.getLogger("some.library").exception("it went wrong")


@when("a library logs an error with a traceback")
def log_library_error(context):
    log_exception(ValueError("bad frame"))


@when("a library logs a cancelled task")
def log_library_cancellation(context):
    log_exception(asyncio.CancelledError())


@then("the log line contains the traceback")
def check_traceback(context):
    line = last_line(context)
    assert "ValueError: bad frame" in line["traceback"], line
    assert line["source"] == "some.library", line


@then('the log line has number {number:d}, host "{host}" and request id ""')
def check_line_without_request(context, number, host):
    check_line(context, number, host, "")


@when('two tasks write lines for requests "{first}" and "{second}" in turn')
def write_in_tasks(context, first, second):
    async def write_lines(request_id):
        with logs.request_context(request_id):
            for _ in range(3):
                logs.write("process_started", task=request_id)
                await asyncio.sleep(0)

    async def write_both():
        await asyncio.gather(write_lines(first), write_lines(second))
        logs.write("process_started", task="")

    asyncio.run(write_both())


@then("each log line has the request id of its task")
def check_request_ids(context):
    lines = [json.loads(line) for line in read_lines(context)]
    assert len(lines) == 7, lines
    assert all(line["request_id"] == line["task"] for line in lines), lines


@then('the log line has number {number:d}, host "{host}" and request id "{request_id}"')
def check_line(context, number, host, request_id):
    line = last_line(context)
    found = (line["number"], line["host"], line["request_id"])
    assert found == (number, host, request_id), line


@then('the log line has peer "{peer}"')
def check_peer(context, peer):
    assert last_line(context)["peer"] == peer


@then('the log line has host "{host}" and field_host "{field_host}"')
def check_host_fields(context, host, field_host):
    line = last_line(context)
    assert (line["host"], line["field_host"]) == (host, field_host), line


@then("no log line contains a secret")
def check_no_secret(context):
    assert read_lines(context)
    assert SECRET not in context.log.getvalue()


@then("it is refused as unknown")
def check_refused(context):
    assert isinstance(context.error, LogEventUnknown)
    assert read_lines(context) == []


@then("there is {count:d} log line")
def check_line_count(context, count):
    assert len(read_lines(context)) == count, read_lines(context)


def state_strategy():
    leaves = st.none() | st.integers() | st.floats() | st.text() | st.binary()
    return st.recursive(
        leaves,
        lambda children: (
            st.lists(children)
            | st.tuples(children, children)
            | st.dictionaries(st.text() | st.integers(), children)
        ),
        max_leaves=80,
    )


@when("any state is dumped with any size limit")
def dump_any(context):
    context.failures = []

    @settings(max_examples=100)
    @for_any(state_strategy(), st.integers(2048, 8192), st.integers(1, 30))
    def check(state, max_size_bytes, max_items):
        state = [state, math.nan, -math.inf, ["long" * 200] * 20, state]
        body = dump(state, max_items, max_size_bytes)
        json.loads(body, parse_constant=context.failures.append)
        if len(body) > max_size_bytes:
            context.failures.append((len(body), max_size_bytes))

    check()


@then("each dump is JSON and within its size limit")
def check_dumps(context):
    assert context.failures == [], context.failures[:3]


@dataclass(frozen=True, slots=True)
class ExampleState:
    """State with a secret, a body and a list, for dumps."""

    admin_token: str
    headers: tuple
    body: bytes
    items: tuple
    first_token_ms: int = 7


@when(
    "a state with {count:d} items, secrets and a caller's body is dumped"
    " with {max_items:d} items"
)
def dump_state(context, count, max_items):
    header = Header("authorization", SECRET)
    state = ExampleState(SECRET, (header,), SECRET.encode(), tuple(range(count)))
    context.body = dump({"role": state}, max_items).decode()


@then("the dump shows {shown:d} items and marks {rest:d} as left out")
def check_omitted_items(context, shown, rest):
    items = json.loads(context.body)["role"]["items"]
    assert items == [*range(shown), f"{OMITTED}: {rest} more"], items


@then("the dump contains no secret and no part of the body")
def check_masked(context):
    assert SECRET not in context.body, context.body
    assert json.loads(context.body)["role"]["first_token_ms"] == 7


@when("metrics, an object of a library and a list that contains itself are dumped")
def dump_objects(context):
    recursive_list = []
    recursive_list.append(recursive_list)
    library_object = argparse.Namespace(session="abc")
    state = [Metrics("entry-1", "cardiff"), library_object, recursive_list]
    context.body = dump(state).decode()


@then("the dump shows the metrics' labels, the library's type and a recursion marker")
def check_dumped_objects(context):
    metrics, library_object, recursive_list = json.loads(context.body)
    assert metrics["_labels"]["host"] == "entry-1", metrics
    assert (library_object, recursive_list) == ("Namespace", [SHOWN_ABOVE])


@given('the metrics of host "{host}"')
def create_metrics(context, host):
    context.metrics = Metrics(host, "cardiff")


@when(
    "a request of tier 1 is answered in time, one of tier 3 refused and"
    " {tokens:d} tokens wasted"
)
def count_requests(context, tokens):
    context.metrics.count_answer(1, Verdict.COMPLETED, Reason.NONE, is_good=True)
    context.metrics.count_answer(3, Verdict.NOT_RUN, Reason.OVERLOADED)
    context.metrics.set_wasted_prefill("preempted", tokens)
    context.metrics.observe_first_token(1, 40)


def parse_samples(context):
    text = context.metrics.render().decode()
    lines = [line.rsplit(" ", 1) for line in text.splitlines() if line[:1] != "#"]
    return {name: float(value) for name, value in lines if name}


@then("the metrics show 1 good answer of tier 1 and none of tier 3")
def check_goodput(context):
    found = {k: v for k, v in parse_samples(context).items() if "goodput_total" in k}
    labels = 'data_centre="cardiff",host="entry-1",tier="1"'
    assert found == {f"peridotfront_goodput_total{{{labels}}}": 1}, found


@then("the metrics show the refusal of tier 3 and the {tokens:d} tokens by cause")
def check_other_counts(context, tokens):
    found = parse_samples(context)
    refusal = 'reason="overloaded",tier="3",verdict="not_run"'
    assert any(refusal in k and v == 1 for k, v in found.items()), found
    wasted = [v for k, v in found.items() if 'cause="preempted"' in k]
    assert wasted == [tokens], found
