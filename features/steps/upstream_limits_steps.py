"""Steps for the limits that upstreams name in their answers."""

import asyncio

from behave import given, then, when
from support.limit_processes import OVER_REQUESTS, WINDOW_S, LimitProcesses
from support.limit_world import WINDOW_MS, LimitWorld
from support.routed_group import names_of

from peridotfront.core.gateway_events import UpstreamLimitRead

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


@given(
    "{controls:d} control hosts and {entries:d} entry hosts in virtual time before"
    " {upstreams:d} upstreams"
)
def make_limit_world(context, controls, entries, upstreams):
    context.limits = LimitWorld(controls, entries, upstreams)


@when('"{first}" names the limit {limit:g} and "{second}" the limit {other:g}')
def name_limits(context, first, limit, second, other):
    context.limits.name_limit(first, limit)
    context.limits.name_limit(second, other)


@when('"{first}" and "{second}" take their limits back')
def take_back(context, first, second):
    context.limits.name_limit(first, None)
    context.limits.name_limit(second, None)


@when("{duration:d} ms of requests pass")
def pass_requests(context, duration):
    context.limits.run(duration)


@when("the leader is killed for {duration:d} ms while requests come")
def kill_leader(context, duration):
    kill_for(context, duration, context.limits.group.leader().name)


@when('the entry hosts "{names}" are killed for {duration:d} ms while requests come')
def kill_entries(context, names, duration):
    kill_for(context, duration, *names_of(names))


@when("all hosts lose power for {duration:d} ms while requests come")
def kill_all(context, duration):
    kill_for(context, duration, *context.limits.group.hosts)


def kill_for(context, duration, *names):
    group = context.limits.group
    group.down.update(names)
    context.limits.run(duration)
    for name in names:
        group.restart(name)


@when('the entry hosts "{names}" are cut off for {duration:d} ms while requests come')
def cut_entries(context, names, duration):
    group = context.limits.group
    for name in names_of(names):
        for control in group.controls:
            group.cut(name, control.name)
    context.limits.run(duration)
    group.heal()


@then("no upstream got more than its limit allows in any {window:d} ms")
def limits_hold(context, window):
    assert window == WINDOW_MS
    world = context.limits
    excesses = {name: world.excess(name) for name in world.names}
    assert max(excesses.values()) <= 0, excesses


@then('"{name}" got at least {least:g} requests a second in the last {span:d} ms')
def limit_used(context, name, least, span):
    rate = context.limits.rate(name, span)
    assert rate >= least, rate


@given("they reject what is over their limits in any second")
def reject_in_virtual_time(context):
    context.limits.rejects = True


@given("they name limits in rejections only")
def name_in_rejections(context):
    context.limits.names_in_rejections = True


@given("they reject all requests once they name a limit")
def reject_all(context):
    context.limits.rejects = True
    context.limits.is_full = True


@then('"{name}" accepted at least {least:g} requests a second in the last {span:d} ms')
def accepted_rate(context, name, least, span):
    rate = context.limits.accepted_rate(name, span)
    assert rate >= least, rate


@then('"{name}" got at most {most:g} requests a second in the last {span:d} ms')
def at_most(context, name, most, span):
    rate = context.limits.rate(name, span)
    assert rate <= most, rate


@given('its answers name the limit "{text}"')
def name_in_answers(context, text):
    context.upstreams[0].notices = (f"Server-Limit: {text}",)


@given('its answers name the limit ""')
def name_none_in_answers(context):
    context.upstreams[0].notices = ()


@then("the host has read the limit {limit}")
def has_read(context, limit):
    events = context.front.slot_server.events
    read = [e.requests_per_s for e in events if isinstance(e, UpstreamLimitRead)]
    expected = set() if limit == "none" else {float(limit)}
    assert set(read) == expected, read
