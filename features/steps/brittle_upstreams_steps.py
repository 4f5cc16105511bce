"""Steps for upstreams that fall over if they reject many requests."""

from behave import given, then, when
from support.brittle_world import BrittleWorld

from peridotfront.core.gateway_events import SlotReleased

MIN_USED_SHARE = 0.5


@given("{entries:d} entry hosts in virtual time before {upstreams:d} brittle upstreams")
def make_world(context, entries, upstreams):
    context.world = BrittleWorld(entries, upstreams)
    context.world.run(1000)


@when("all upstreams say that they fall over at {allowed:d} rejections in a second")
def name_number(context, allowed):
    context.world.name_number(allowed)


@when("each upstream has room for {room:d} requests")
def set_room(context, room):
    context.world.room = room


@when("the control hosts are out of reach of all entry hosts")
def cut_control_hosts(context):
    group = context.world.group
    for entry in group.entries:
        for control in group.controls:
            group.cut(entry.name, control.name)


@when("the leader is lost")
def lose_leader(context):
    group = context.world.group
    group.down.add(group.leader().name)


@then("the upstreams fell over at most {most:d} times")
def check_falls(context, most):
    falls = context.world.falls
    assert falls.total() <= most, falls


@then("half of the room was used")
def check_used(context):
    world = context.world
    capacity_per_s = world.room * len(world.names) * 1000 / world.answer_ms
    demand_per_s = len(world.hosts) * 1000 / context.gap_ms
    possible = min(capacity_per_s, demand_per_s) * context.duration / 1000
    assert world.served.total() >= MIN_USED_SHARE * possible, (world.served, possible)


@when("{duration:d} ms of requests pass, one each {gap:d} ms at each host")
def pass_time(context, duration, gap):
    context.duration = duration
    context.gap_ms = gap
    context.world.reset()
    context.world.run(duration, gap)


@given('its answers say that it falls over at "{text}" rejections')
def name_in_answers(context, text):
    context.upstreams[0].notices = (f"Server-Brittle: {text}",)


@then("the released slot tells {number:g} rejections a second")
def has_told(context, number):
    events = context.front.slot_server.events
    released = [e.release for e in events if isinstance(e, SlotReleased)]
    assert [release.rejections_per_s for release in released] == [number], released
