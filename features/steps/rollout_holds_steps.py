"""Steps for versions that are held back until an order arrives."""

from collections import Counter

from behave import given, then, when
from support.rollout_world import LIMITS
from support.routed_group import RoutedGroup, listed

from peridotfront.core.messages import RolloutEnd, RolloutState

OLD = listed("old-1", slots=1)
PERIOD_MS = 3_600_000


@given('coordinators and entry hosts with rollouts and an upstream of "v1"')
def start(context):
    context.group = group = RoutedGroup(limits=LIMITS)
    leader = group.await_leader()
    operation_id = group.put(leader.name, 1)
    group.run_until(lambda: operation_id in group.answers)
    group.list_upstreams(OLD)
    group.run(3000)


def version_of(group, granted):
    """Return the software version of the upstream of a grant."""
    versions = {u.name: u.software_version for u in group.listed}
    return versions[granted.grant.upstream]


@given('all slots are in use and a request of "{name}" waits')
def wait(context, name):
    host = context.group.hosts[name]
    host.request_slot("running")
    context.group.run_until(lambda: "running" in host.granted)
    host.request_slot("waiting", goal_ms=8000, deadline_ms=8000)
    context.group.run(100)
    assert "waiting" not in host.granted and "waiting" not in host.refused, host.refused


@given('"{name}" has lost its leader')
@when('"{name}" loses its leader')
def lose_leader(context, name):
    group = context.group
    group.isolate(name)
    group.run_until(lambda: not group.hosts[name].role.leader, 10_000)


@when('upstreams of "v2" are listed, and {time_ms:d} ms pass')
def list_new(context, time_ms):
    new = [listed(f"new-{n}", software_version="v2") for n in (1, 2)]
    context.group.list_upstreams(OLD, *new)
    context.group.run(time_ms)


@when('a rollout to "v2" is acknowledged, and all control hosts are killed at once')
def order_and_kill(context):
    group = context.group
    operation_id = group.order_rollout(
        group.await_leader().name, "models", "v2", PERIOD_MS
    )
    while operation_id not in group.answers:
        group.run(1)
    group.down.update(host.name for host in group.controls)
    group.run_until(lambda: not group.hosts["e1"].role.leader, 10_000)
    group.run(2000)


@when('"{name}" requests {count:d} slots at once, and {time_ms:d} ms pass')
def request_slots(context, name, count, time_ms):
    group = context.group
    host = group.hosts[name]
    ids = [f"q{number}" for number in range(count)]
    for request_id in ids:
        host.request_slot(request_id, goal_ms=8000, deadline_ms=8000)
    group.run(time_ms)
    context.versions = Counter(
        version_of(group, host.granted[request_id])
        for request_id in ids
        if request_id in host.granted
    )


@then('no request was granted at "{version}"')
def none_granted(context, version):
    group = context.group
    granted = [
        version_of(group, grant)
        for host in group.entries
        for grant in host.granted.values()
    ]
    assert version not in granted, granted


@then('only slots at "{version}" were granted')
def all_granted(context, version):
    assert set(context.versions) == {version}, context.versions


@then('slots at "{first}" and "{second}" were granted')
def both_granted(context, first, second):
    assert set(context.versions) == {first, second}, context.versions


@when("the leader is killed, and {time_ms:d} ms pass")
def kill_leader(context, time_ms):
    group = context.group
    context.killed = group.await_leader().name
    group.down.add(context.killed)
    group.run(time_ms)


@then("another host leads")
def other_leads(context):
    leader = context.group.leader()
    assert leader is not None and leader.name != context.killed, leader
    assert leader.role.directory.upstreams, "its list is empty"


@when('a rollout to "v2" is ordered and soon {state}')
def order_and_end(context, state):
    group = context.group
    leader = group.await_leader().name
    operation_id = group.order_rollout(leader, "models", "v2", PERIOD_MS)
    group.run_until(lambda: operation_id in group.answers)
    number = group.answers[operation_id].record.number
    group.feed(leader, RolloutEnd("models", number, RolloutState(state), "test", 0))
    # The stage of the end is announced some time after the one before.
    group.run(1000)


@when('"{name}" keeps its leader')
def keep_leader(context, name):
    assert context.group.hosts[name].role.leader, "it has no leader"


@then('a stream that began at "{version}" goes on at "{name}"')
def goes_on(context, version, name):
    assert resume(context, version, name) == version


@then('a stream that began at "{version}" doesn\'t go on at "{name}"')
def goes_on_nowhere(context, version, name):
    granted_at = resume(context, version, name)
    assert granted_at is None, granted_at


def resume(context, version, name):
    """Resume a stream, and return the version at which it is granted, if any."""
    group = context.group
    host = group.hosts[name]
    for request_id in tuple(host.granted):
        host.release(request_id)
    group.run(100)
    host.request_slot("resumed", is_resumed=True, software_version=version)
    group.run(500)
    granted = host.granted.get("resumed")
    return None if granted is None else version_of(group, granted)
