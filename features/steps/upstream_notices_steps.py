"""Steps for what upstreams say of themselves in the header of an answer."""

import time

from behave import given, then, when
from support.leaderless_host import LeaderlessHost
from support.routed_group import listed
from support.routed_upstreams import run_front as run

from peridotfront.core.gateway_events import UpstreamBusy, UpstreamLeaving
from peridotfront.core.upstream_directory import UpstreamDirectory


@given("the host schedules the upstreams by itself")
def schedule_by_itself(context):
    context.is_scheduling = True


def call_while(context, path, condition):
    """Send requests in sequence while a condition holds for their number."""

    async def work(front):
        answers = []
        while condition(len(answers)):
            answers.append(await front.call(path))
        return answers

    context.answers = run(context, work)
    context.answer = context.answers[-1]


@when('a caller sends "{path}" {count:d} times in sequence')
def send_times(context, path, count):
    call_while(context, path, lambda sent: sent < count)


@when('a caller sends "{path}" for {duration_ms:d} ms without a pause')
def send_for(context, path, duration_ms):
    end_s = time.monotonic() + duration_ms / 1000
    call_while(context, path, lambda sent: time.monotonic() < end_s)


@then('upstream "{name}" got at most {count:d} requests')
def got_at_most(context, name, count):
    upstream = next(item for item in context.upstreams if item.name == name)
    assert len(upstream.requests) <= count, len(upstream.requests)


@then("every caller got {status:d}")
def every_caller_got(context, status):
    others = [a for a in context.answers if a.status != status]
    assert not others, others[:3]


@then("the last request was refused as not run, to be retried within {limit_ms:d} ms")
def last_is_refused(context, limit_ms):
    answer = context.answers[-1]
    assert answer.status == 503, answer
    assert 0 < float(answer.headers["retry-after"]) * 1000 <= limit_ms, answer


@then("the host got no notice")
def got_no_notice(context):
    events = context.front.slot_server.events
    notices = [e for e in events if isinstance(e, UpstreamBusy | UpstreamLeaving)]
    assert not notices, notices


@when('only upstream "{upstream}" is listed')
def list_only(context, upstream):
    context.group.list_upstreams(listed(upstream))
    context.group.run(500)


@when('"{name}" is told by "{upstream}" that it leaves')
def told_of_leaving(context, name, upstream):
    context.group.feed(name, UpstreamLeaving(upstream))


@when('"{name}" is told by "{upstream}" that it is busy for {duration_ms:d} ms')
def told_of_busy(context, name, upstream, duration_ms):
    context.group.feed(name, UpstreamBusy(upstream, duration_ms))


@given("the list is read by {reader}")
def choose_reader(context, reader):
    group = context.group
    if reader == "each entry host":
        for host in group.controls:
            group.isolate(host.name)
        group.run(3000)
    elif reader == "the next leader":
        group.down.add(group.await_leader().name)
        group.await_leader()
        group.run(2000)


@then('no slot of "{name}" is at "{upstream}"')
def no_slot_is_at(context, name, upstream):
    grants = context.group.hosts[name].granted.values()
    assert upstream not in {granted.grant.upstream for granted in grants}, grants


@given('a directory of upstreams in which "{name}" was leaving and is gone')
def make_directory(context, name):
    context.older = UpstreamDirectory()
    context.older.replace([listed(name)])
    context.directory = context.older.renewed(10)
    context.directory.replace([listed(name, is_leaving=True)])
    replica = UpstreamDirectory()
    replica.apply(context.directory.full_update())
    context.directory.replace([])
    replica.apply(context.directory.full_update())
    context.replica = replica


@when('another leader goes on with it and lists "{name}" as ready')
def list_by_next(context, name):
    context.directory = context.replica.renewed(20)
    context.directory.replace([listed(name)])


@when('a leader with an older copy, which lists "{name}" as ready, goes on')
def list_by_older(context, name):
    context.directory = context.older.renewed(30)


@then('"{name}" has {which} lifetime')
def has_lifetime(context, name, which):
    lifetime = context.directory.get(name).lifetime
    assert (lifetime > 0) == (which == "another"), lifetime


@then('the slots of "{name}" are at "{upstream}"')
def slots_are_at(context, name, upstream):
    grants = context.group.hosts[name].granted.values()
    assert {granted.grant.upstream for granted in grants} == {upstream}, grants
    assert len(grants) == 4


@then('"{request_id}" is refused as not run for "{reason}"')
def is_refused(context, request_id, reason):
    refused = context.group.hosts["e1"].refused[request_id]
    assert refused.refusal.reason.value == reason, refused


@when(
    "hosts without a leader get {events:d} random events with each of {seeds:d} seeds"
)
def play_random_events(context, events, seeds):
    context.endless = []
    for seed in range(seeds):
        try:
            LeaderlessHost(seed).play(events)
        except AssertionError as error:
            context.endless.append(f"seed {seed}: {error}")


@then("none of them had actions without end")
def had_no_endless_actions(context):
    endless = context.endless
    assert not endless, f"{len(endless)} of them, first {endless[0]}"
