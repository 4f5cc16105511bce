"""Steps for the slow start of upstreams in virtual time."""

from behave import given, then, when
from support.slow_start_world import (
    CELL,
    COLD_MS,
    HOST,
    UNEQUAL,
    SlowStartWorld,
    start_cold,
)

from peridotfront.core.actions import Received
from peridotfront.core.messages import UpstreamReport

SEEDS = (1, 2, 3)


def sum_up(finds_pace, **fields):
    """Return the sums over all seeds of what callers got, and of the starting ones."""
    totals = {}
    for seed in SEEDS:
        world, names, since_ms = start_cold(finds_pace, seed=seed, **fields)
        counts = world.judge(since_ms)
        counts["own"] = world.judge(since_ms, names)["calls"]
        for key, count in counts.items():
            totals[key] = totals.get(key, 0) + count
    totals["missed"] = totals["calls"] - totals["in_time"]
    return totals


@given("{which}, of which {count:d} of 12 {state} at a load of {load:g}")
def compare(context, which, count, state, load):
    fields = {"count": count, "load": load}
    fields["cold_ms"] = COLD_MS if state.endswith("cold") else 0
    if which.startswith("plain"):
        fields["model"] = "plain"
    else:
        fields["speeds"] = UNEQUAL
    context.off, context.on = sum_up(False, **fields), sum_up(True, **fields)
    print(context.off, context.on)


@then("at most {count:d} in 1000 requests miss their goal")
def check_missed(context, count):
    assert context.on["missed"] * 1000 <= count * context.on["calls"], context.on


@then("at most {count:d} in 1000 requests miss their goal, unlike without the option")
def check_missed_off(context, count):
    check_missed(context, count)
    assert context.off["missed"] * 1000 > count * context.off["calls"], context.off


@then("less than half as many answers are late as without the option")
def check_late(context):
    assert context.on["late"] * 2 < context.off["late"], (context.on, context.off)


@then("no fewer requests meet their goal than without the option")
def check_in_time(context):
    assert context.on["in_time"] >= context.off["in_time"], (context.on, context.off)


@then("no fewer requests are answered by the starting ones than a third of all")
def check_shared(context):
    assert context.on["own"] * 3 >= context.on["calls"], context.on


@given("{servers:d} upstreams at a load of {load:g}")
def begin(context, servers, load):
    context.fields = {"servers": servers, "load": load}
    context.world = SlowStartWorld(True, **context.fields)
    context.since_ms = context.world.now_ms


@given("{servers:d} plain upstreams at a load of {load:g}")
def begin_plain(context, servers, load):
    context.world = SlowStartWorld(True, model="plain", servers=servers, load=load)


@when("another upstream starts {state}")
def start_another(context, state):
    cold_ms = COLD_MS if state == "cold" else 0
    context.since_ms = context.world.now_ms
    context.name = context.world.add(1, cold_ms)[0]


@when('reports say that the upstream "{name}" is dead')
def report_dead(context, name):
    report(context, name, False)


@when('reports say that the upstream "{name}" is alive and idle')
def report_alive(context, name):
    report(context, name, True)


def report(context, name, is_alive):
    world = context.world
    message = UpstreamReport(name, CELL, is_alive, False, 0, 0, 0, 0, 0)
    world.act(world.scheduler.handle(Received(HOST, 1, message), world.now_ms))


@when("the load is {load:g} for {duration_ms:d} ms")
def change_load(context, load, duration_ms):
    context.world.set_load(load, 12)
    context.world.run(duration_ms)


@when('the upstream "{name}" restarts')
def restart(context, name):
    context.name = name
    context.world.restart(name)


@when('the upstream "{name}" is missing in the list for {duration_ms:d} ms')
def miss(context, name, duration_ms):
    world = context.world
    assert world.used_slots(name) > 0
    world.list([other for other in world.servers if other != name])
    world.run(duration_ms)
    world.list(world.servers)
    world.run(200)


@when("a new leader takes over")
def replace_leader(context):
    context.world.logs.clear()
    context.world.replace_leader()
    context.world.run(500)


@when('a new leader takes over whose list lacks "{name}" for {duration_ms:d} ms')
def replace_with_part(context, name, duration_ms):
    world = context.world
    others = {n: server for n, server in world.servers.items() if n != name}
    everything, world.servers = world.servers, others
    world.replace_leader()
    world.servers = everything
    world.run(duration_ms)
    world.list(world.servers)
    assert world.pace(name) == 1
    world.run(1100)
    context.name = name


@then("its pace is {slots:d} slot")
def check_pace(context, slots):
    assert context.world.pace(context.name) == slots


@then('the upstream "{name}" may use all of its slots')
def check_no_pace(context, name):
    assert context.world.pace(name) is None
    assert not find_logs(context, "slow_start_began", name)[1:]


@then("it uses all of its slots within {limit_ms:d} ms")
def check_used(context, limit_ms):
    world = context.world
    end_ms = world.now_ms + limit_ms
    while world.used_slots(context.name) < world.model.slots:
        assert world.now_ms < end_ms, world.used_slots(context.name)
        world.run(5)


@then("no slow start has begun")
def check_none(context):
    assert not find_logs(context, "slow_start_began")


@then("its slow start ends within {limit_ms:d} ms")
def check_ended(context, limit_ms):
    context.world.run(limit_ms)
    assert find_logs(context, "slow_start_began", context.name)
    assert find_logs(context, "slow_start_ended", context.name)


@then("its slow start begins within {limit_ms:d} ms")
def check_began(context, limit_ms):
    context.world.run(limit_ms)
    assert find_logs(context, "slow_start_began", context.name)


@then("its slow start begins within {begin_ms:d} ms and ends within {end_ms:d} ms")
def check_both(context, begin_ms, end_ms):
    context.world.run(begin_ms)
    assert find_logs(context, "slow_start_began", context.name)
    check_ended(context, end_ms)


@then("no more requests miss their goal than without the option")
def check_same_restart(context):
    other = SlowStartWorld(False, **context.fields)
    other.restart(context.name)
    other.run(context.world.now_ms - other.now_ms)
    on, off = (world.judge(context.since_ms) for world in (context.world, other))
    print(off, on)
    assert on["in_time"] >= off["in_time"], (on, off)


def find_logs(context, event, name=None):
    """Return the log events of a name, of one upstream or of all."""
    return [
        log
        for _, log in context.world.logs
        if log.event == event and name in (None, dict(log.fields)["upstream"])
    ]
