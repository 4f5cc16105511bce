"""Steps for the explanation of a request and the rate limit of log lines."""

import io
import os
import time

from behave import given, then, when
from support.routed_upstreams import run_front as run
from support.scripted_upstreams import Upstream

from peridotfront import logs
from peridotfront.explain import explain
from peridotfront.log_output import BoundedStream, LineRateLimiter
from peridotfront.log_settings import LogSection


def capture_log(context, work):
    """Run work on the scenario's gateway and capture its log lines."""
    stream = io.StringIO()
    rate_limiter = logs._output.rate_limiter
    logs._output.rate_limiter = getattr(context, "rate_limiter", LineRateLimiter())
    logs.configure(LogSection(), "e1", stream)
    try:
        run(context, work)
    finally:
        logs._output.rate_limiter = rate_limiter
        logs.configure(LogSection(), "")
    context.lines = stream.getvalue().splitlines()


@given('a gateway whose scheduler refuses as "overloaded"')
def configure_no_upstreams(context):
    context.routes = None
    context.upstreams = []


@given("a log output limited to {count:d} lines of one event")
def limit_log_rate(context, count):
    context.rate_limiter = LineRateLimiter(lines_per_s=1, burst=count)
    context.routes = None
    context.upstreams = [Upstream("u1", ["answer"])]


@when('a caller\'s request "{request_id}" was logged')
def log_request(context, request_id):
    capture_log(context, lambda front: front.call("/transfer/x"))


@when('a caller\'s stream "{request_id}" was logged')
def log_stream(context, request_id):
    capture_log(context, lambda front: front.call("/stream/x"))


@when("{count:d} requests succeed and one fails")
def log_many(context, count):
    async def work(front):
        for number in range(count):
            await front.call("/transfer/x", X_Attempt_Id=f"good{number}")
        front.upstreams[0].script = ["reset"]
        await front.call("/transfer/x", X_Attempt_Id="bad")
        logs._output.reported_ms = 0
        logs.write_rate_limited("forwarding_ended")

    capture_log(context, work)


@then('the explanation contains "{first}" and "{second}"')
def check_explanation(context, first, second):
    verdict = explain("a1", [context.lines]).verdict
    assert first in verdict and second in verdict, verdict


@then('the explanation names the upstream "{name}"')
def check_upstream_named(context, name):
    assert f"sent to {name}" in explain("a1", [context.lines]).verdict


@then('the explanation of "{request_id}" contains "{text}"')
def check_explanation_of(context, request_id, text):
    assert text in explain(request_id, [context.lines]).verdict


@then('the explanation without its last line contains "{text}"')
def check_explanation_without_end(context, text):
    lines = [line for line in context.lines if "forwarding_ended" not in line]
    assert text in explain("a1", [lines]).verdict


@then("the log contains at most {count:d} lines of the requests that succeeded")
def check_suppressed_lines(context, count):
    assert 0 < sum("good" in line for line in context.lines) <= count


@then("the log contains all lines of the request that failed")
def check_failed_request_lines(context):
    names = [line.name for line in explain("bad", [context.lines]).lines]
    assert sorted(names) == ["forwarding_ended", "send_failed", "slot_granted"], names


@then("the log reports that lines were suppressed")
def check_suppression_reported(context):
    assert any("log_lines_left_out" in line for line in context.lines)


@given("a pipe without a reader")
def make_pipe(context):
    context.read_fd, write_fd = os.pipe()
    context.add_cleanup(os.close, context.read_fd)
    context.add_cleanup(os.close, write_fd)
    context.stream = BoundedStream(write_fd)


@when("{count:d} lines are written to it")
def write_lines(context, count):
    started_s = time.monotonic()
    for number in range(count):
        context.stream.write(f"line {number} of many that nobody reads\n")
    context.elapsed_ms = (time.monotonic() - started_s) * 1000


@then("that took less than {limit:d} ms")
def check_duration(context, limit):
    assert context.elapsed_ms < limit, context.elapsed_ms


@then("the dropped lines were counted")
def check_dropped_lines(context):
    assert context.stream.dropped_lines > 0
