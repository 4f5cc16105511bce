"""Steps for entry hosts whose links to upstreams fail."""

import asyncio

from behave import given, then, when
from support.link_processes import LinkProcesses

from soak.links import LinkFault

MIN_ANSWERED_SHARE = 0.9
DURATION_S = 10.0


@given(
    "programs of {controls:d} control hosts and {entries:d} entry hosts, each with"
    " links to {upstreams:d} upstreams"
)
def make_linked_programs(context, controls, entries, upstreams):
    context.programs = LinkProcesses(controls, entries, upstreams)


@when('requests "{path}" are sent while the links of {hosts:d} entry hosts {fault}')
def play_link_fault(context, path, hosts, fault):
    programs = context.programs
    programs.path = path
    programs.cut_hosts = hosts
    kind, _, part = fault.partition(" to ")
    programs.is_split = part == "other halves of the upstreams"
    programs.fault = LinkFault(kind.removeprefix("are ").removeprefix("only "))
    asyncio.run(programs.play(DURATION_S))


@then("9 in 10 first tries are served at these hosts")
def served_at_cut_hosts(context):
    _check_served(context.programs, True)


@then("9 in 10 first tries are served at the other hosts")
def served_at_other_hosts(context):
    _check_served(context.programs, False)


@then("no request that may run once ran twice, or ran and was refused as not run")
def no_untrue_end(context):
    programs = context.programs
    assert not programs.repeated(), programs.repeated()
    assert not programs.untrue_refusals(), programs.untrue_refusals()


def _check_served(programs, is_cut):
    served = programs.answers[is_cut]
    assert served.total(), "no requests were sent"
    detail = (programs.answers, programs.statuses)
    assert served[True] >= MIN_ANSWERED_SHARE * served.total(), detail
