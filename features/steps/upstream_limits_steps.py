"""Steps for the limits that upstreams name in their answers."""

import asyncio

from behave import given, then, when
from support.limit_processes import OVER_REQUESTS, WINDOW_S, LimitProcesses

MIN_ANSWERED_SHARE = 0.9
MIN_USED_SHARE = 0.5


@given(
    "programs of {controls:d} control hosts and {entries:d} entry hosts before"
    " {upstreams:d} upstreams that name limits"
)
def make_limit_programs(context, controls, entries, upstreams):
    context.programs = LimitProcesses(controls, entries, upstreams)


@given('requests "{path}" to the service "{service}"')
def set_service(context, path, service):
    context.programs.path = path
    context.programs.service = service


@given("upstreams reject what is over their limits")
def reject(context):
    context.programs.rejects = True


@when('the limits "{limits}" are named within {duration:d} s')
def play_limits(context, limits, duration):
    entries = [entry.strip().split(" ") for entry in limits.split(",")]
    context.programs.schedule = tuple(
        [
            (float(second), int(upstream), "".join(limit))
            for second, upstream, *limit in entries
        ]
    )
    context.duration = duration
    asyncio.run(context.programs.play(duration))


@then(
    "no upstream got more than one and a half times its limit and {slack:d} requests in"
    " {window:d} s"
)
def within_limits(context, slack, window):
    assert (slack, window) == (OVER_REQUESTS, WINDOW_S)
    programs = context.programs
    assert max(programs.excesses) <= 0, (programs.excesses, programs.statuses)


@then("9 in 10 requests were answered")
def answered(context):
    statuses = context.programs.statuses
    assert statuses[200] >= MIN_ANSWERED_SHARE * statuses.total(), statuses


@then("each limited upstream got at least half of what it had allowed")
def limit_is_used(context):
    for upstream in context.programs.upstreams:
        if not upstream.named_s:
            continue
        first_s = upstream.named_s[0][0]
        ends_s = [at_s for at_s, _ in upstream.named_s[1:]]
        ends_s.append(first_s + context.duration - 1)
        spans = zip(upstream.named_s, ends_s, strict=True)
        allowed = sum(rate * (end_s - at_s) for (at_s, rate), end_s in spans)
        got = sum(at_s >= first_s for at_s in upstream.arrivals_s)
        assert got >= MIN_USED_SHARE * allowed, (upstream.name, got, allowed)


@then("upstream {number:d} got at least {least:d} requests in the last {span:d} s")
def got_share(context, number, least, span):
    upstreams = context.programs.upstreams
    last_s = max(max(upstream.arrivals_s) for upstream in upstreams)
    got = [
        sum(at_s > last_s - span for at_s in upstream.arrivals_s)
        for upstream in upstreams
    ]
    assert got[number - 1] >= least, got
