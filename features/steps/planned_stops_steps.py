"""Steps for planned stops of real programs under load."""

import asyncio

from behave import given, then, when
from support.draining_processes import DrainingProcesses, OutlastingRequests


@given("programs whose callers keep their connections")
def make_programs(context):
    context.programs = DrainingProcesses()


@when("{hosts} are stopped in turn for {duration:d} s")
def stop_in_turn(context, hosts, duration):
    context.programs.stopped = hosts
    asyncio.run(context.programs.play(duration))


@then("no request that was read is left without an answer")
def none_lost(context):
    programs = context.programs
    assert programs.statuses[200], programs.statuses
    assert not programs.lost(), programs.lost()


@then("every stopped host ended by itself")
def none_killed(context):
    assert context.programs.stops, "no host was stopped"
    assert not context.programs.killed, context.programs.killed


@then("no request that was refused as not run has run, and none ran twice")
def refusals_are_true(context):
    programs = context.programs
    assert not programs.untrue_refusals(), programs.untrue_refusals()
    assert not programs.repeated(), programs.repeated()


@given("programs whose upstreams hang, with {grace:d} s to stop")
def make_hanging(context, grace):
    context.programs = OutlastingRequests(grace_s=grace)


@when("{count:d} requests are sent while their host stops")
def send_in_stop(context, count):
    context.programs.callers = count
    asyncio.run(context.programs.play(0))


@then("each gets 503 if no upstream has it, or 502")
def all_answered(context):
    programs = context.programs
    waited = [programs.runs[name] == 0 for name in programs.answers_by_id]
    assert any(waited) and not all(waited), programs.runs
    expected = {
        name: 502 if programs.runs[name] else 503 for name in programs.answers_by_id
    }
    assert programs.answers_by_id == expected, programs.answers_by_id


@then("the host ended by itself")
def host_ended(context):
    assert context.programs.stopped_s < context.programs.grace_s
