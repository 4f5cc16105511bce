"""Steps for planned stops of real programs under load."""

import asyncio

from behave import given, then, when
from support.draining_processes import DrainingProcesses


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
