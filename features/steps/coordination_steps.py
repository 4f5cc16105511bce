"""Steps for coordinators and gateways that discover each other through seeds."""

import json

from behave import given, then, when
from support.first_starts import FirstStart
from support.routed_group import RoutedGroup, listed, names_of

from peridotfront.core.control_types import OperatorUnavailable


@given("a routed group of {controls:d} control hosts and {entries:d} entry hosts")
@given("a routed group of {controls:d} control hosts and {entries:d} entry host")
def make_group(context, controls, entries):
    names = tuple(f"c{number}" for number in range(1, controls + 1))
    data_centres = {f"e{number}": f"dc{number}" for number in range(1, entries + 1)}
    context.group = RoutedGroup(names, data_centres)
    context.group.await_leader()
    context.group.run(1000)


@given(
    '3 control hosts that start, of which "{names}" was killed before it had a folder'
)
def start_with_killed(context, names):
    context.group = RoutedGroup(("c1", "c2", "c3"), {})
    for name in names_of(names):
        context.group.restart(name, is_blank=True)


@given('then "{names}" is killed and starts again')
def restart_some(context, names):
    for name in names_of(names):
        if name in context.group.hosts:
            context.group.restart(name)


@when(
    "{count:d} control groups start for the first time, and hosts are killed, cut off"
    " and wiped"
)
def play_first_starts(context, count):
    context.failures = {}
    for seed in range(count):
        try:
            FirstStart(seed).play()
        except AssertionError as error:
            context.failures[seed] = str(error)


@then("each forms a group that loses nothing, or none if several hosts failed")
def none_failed(context):
    assert not context.failures, context.failures


@given('upstreams "{names}" are listed')
def list_upstreams(context, names):
    context.names = names_of(names)
    context.group.list_upstreams(*[listed(name) for name in context.names])
    context.group.run(500)


@given("{count:d} upstreams are listed")
def list_many(context, count):
    context.group.list_upstreams(*[listed(f"m{number}") for number in range(count)])
    context.group.run(500)


@given("version {version:d} is acknowledged")
@when("the operator sends version {version:d} to any host and it is acknowledged")
def acknowledge(context, version):
    group = context.group
    operation_id = group.put(group.await_leader().name, version)
    group.run_until(lambda: operation_id in group.answers)
    assert group.answers[operation_id].result.status.value == "accepted"
    context.acknowledged_ms = group.now_ms
    if "every entry host" not in "".join(s.name for s in context.scenario.steps[-2:]):
        group.run(400)


@given("versions {first:d} to {last:d} are acknowledged")
def acknowledge_many(context, first, last):
    for version in range(first, last + 1):
        acknowledge(context, version)


@when("all hosts lose power and start again")
def restart_all(context):
    group = context.group
    group.down.update(group.hosts)
    group.run(500)
    for name in group.hosts:
        group.restart(name)


@then("every entry host activated only version {version:d}")
def activated_only(context, version):
    for entry in context.group.entries:
        assert entry.versions == [version], entry.versions


@when('the operator sends version {version:d} with the route "{route}" to the leader')
def send_other_content(context, version, route):
    group = context.group
    context.operation_id = group.put(group.leader().name, version, routes=(route,))
    group.run_until(lambda: context.operation_id in group.answers)


@when("the operator sends version {version:d} to the leader")
def send_version(context, version):
    group = context.group
    context.operation_id = group.put(group.leader().name, version)
    group.run_until(lambda: context.operation_id in group.answers)


@when("{duration:d} ms pass in the routed group")
def pass_time(context, duration):
    context.group.run(duration)


@when("{duration:d} ms pass in the routed group and messages are counted")
def pass_counted(context, duration):
    context.group.sent.clear()
    context.group.run(duration)


@when('all control hosts lose power and "{name}" loses its disk')
def lose_power_and_disk(context, name):
    lose_power(context)
    context.blank = name


@when("all control hosts lose power and none loses its disk")
def lose_power(context):
    context.blank = ""
    context.group.down.update(host.name for host in context.group.controls)
    context.group.run(500)


@when("all control hosts lose power and all lose their disks")
def lose_all_disks(context):
    lose_power(context)
    for host in context.group.controls:
        context.group.restart(host.name, is_blank=True)


@when("all control hosts start again")
def start_again(context):
    for host in context.group.controls:
        context.group.restart(host.name, is_blank=host.name == context.blank)


@when('"{first}" and "{second}" restart with empty disks')
def restart_blank(context, first, second):
    for name in (first, second):
        context.group.restart(name, is_blank=True)


@when('"{name}" stops permanently')
def go_down(context, name):
    context.group.down.add(name)


@when('"{name}" starts blank')
def start_blank(context, name):
    context.group.add_control(name)


@when("a control host that follows is replaced, with {kind} as seeds")
def replace_follower(context, kind):
    group = context.group
    followers = live_followers(group)
    gone, *others = followers
    seeds = {
        "all followers": tuple(others),
        "one follower": others[:1],
        "the newest host and a gone one": (others[-1], gone),
    }[kind]
    go_down(context, gone)
    context.new_controls = [
        *getattr(context, "new_controls", ()),
        f"n{len(group.hosts)}",
    ]
    group.add_control(context.new_controls[-1], tuple(seeds))


def live_followers(group):
    """Return the names of the control hosts that run and follow, oldest first."""
    leader = group.await_leader().name
    names = [host.name for host in group.controls]
    return [name for name in names if name != leader and name not in group.down]


@then("the new control hosts are voters")
def new_hosts_vote(context):
    leader = context.group.await_leader()
    voters = {voter.host for voter in leader.raft.voters}
    assert voters >= set(context.new_controls), voters


@when('"{name}" is cut off from all')
def cut_off(context, name):
    context.group.isolate(name)


@when("the leader is cut off from all")
def cut_leader(context):
    context.old_leader = context.group.leader().name
    context.group.isolate(context.old_leader)


@when("all cuts are repaired")
def heal(context):
    context.group.heal()


@when('the seeds become "{names}"')
def change_seeds(context, names):
    context.group.set_seeds(names_of(names))


@when('entry host "{name}" restarts')
def restart_entry(context, name):
    context.group.restart(name)


@when("the operator sends version {version:d} to the old leader")
def send_to_old_leader(context, version):
    context.operation_ids = [context.group.put(context.old_leader, version)]


@when("the operator reads at the old leader")
def read_at_old_leader(context):
    context.operation_ids.append(context.group.read(context.old_leader))


@when("the leader freezes")
def freeze(context):
    context.old_leader = context.group.leader().name
    context.group.down.add(context.old_leader)


@when("another host leads and the entry hosts follow it")
def follow_other_leader(context):
    group = context.group
    group.run_until(
        lambda: all(e.role.leader for e in group.entries) and group.leader()
    )
    group.run_until(
        lambda: all(e.role.leader == group.leader().name for e in group.entries)
    )
    group.run(100)


@when('"{host}" requests a slot for "{request_id}"')
def request_slot(context, host, request_id):
    context.asked_ms = context.group.now_ms
    context.group.hosts[host].request_slot(request_id)


@when('"{host}" requests a slot for "{request_id}" and cancels it immediately')
def request_and_cancel(context, host, request_id):
    context.group.hosts[host].request_slot(request_id)
    context.group.hosts[host].cancel(request_id)


@when('"{host}" requests slots for {count:d} requests')
def request_slots(context, host, count):
    context.request_ids = [f"many{number}" for number in range(count)]
    for request_id in context.request_ids:
        context.group.hosts[host].request_slot(request_id)
    context.group.run(50)


@when('"{host}" ends its first request')
def end_first(context, host):
    context.asked_ms = context.group.now_ms
    context.group.hosts[host].release(context.request_ids[0])


@when('"{name}" is listed as leaving')
def list_leaving(context, name):
    upstreams = [listed(n, is_leaving=n == name) for n in context.names]
    context.group.list_upstreams(*upstreams)


@when("no upstream is listed any more")
def list_none(context):
    context.group.list_upstreams()


@when('upstreams "{names}" are listed again')
def list_again(context, names):
    context.group.list_upstreams(*[listed(name) for name in names_of(names)])


@when('the operator removes the service "{service}" in version {version:d}')
def drop_service(context, service, version):
    group = context.group
    operation_id = group.put(
        group.await_leader().name, version, routes=(), dropped_service=service
    )
    group.run_until(lambda: operation_id in group.answers)
    assert group.answers[operation_id].result.status.value == "accepted"
    group.run(400)


@then("every entry host has version {version:d} within {limit:d} ms")
def have_version(context, version, limit):
    group = context.group
    group.run_until(
        lambda: all(e.versions[-1:] == [version] for e in group.entries), limit
    )


@then('every entry host lists "{names}" within {limit:d} ms')
def have_list(context, names, limit):
    group = context.group
    expected = list(names_of(names))
    group.run_until(
        lambda: all(
            [u.name for u in e.role.directory.upstreams] == expected
            for e in group.entries
        ),
        limit,
    )


@then('the voters are "{names}"')
def voters_are(context, names):
    leader = context.group.await_leader()
    voters = sorted(voter.host for voter in leader.raft.voters)
    assert voters == list(names_of(names)), voters


@then("no control host leads")
def none_leads(context):
    assert context.group.leader() is None


@then("a host leads within {limit:d} ms")
def leads_within(context, limit):
    context.group.run_until(context.group.leader, limit)


@then('version {version:d} with the route "{route}" is read at the leader')
def read_route(context, version, route):
    view = read_at_leader(context, version)
    routes = json.loads(view.current.content)["Routes"]
    assert [entry["Prefix"] for entry in routes] == [route]


@then("version {version:d} is read at the leader")
def read_at_leader(context, version):
    group = context.group
    operation_id = group.read(group.await_leader().name)
    group.run_until(lambda: operation_id in group.answers)
    view = group.answers[operation_id].view
    assert view.current.version == version, view.current.version
    return view


@then('the answer is "{status}"')
def answer_is(context, status):
    result = context.group.answers[context.operation_id].result
    assert result.status.value == status, result


@then("both calls were answered as unavailable")
def unavailable(context):
    for operation_id in context.operation_ids:
        answer = context.group.answers[operation_id]
        is_unavailable = isinstance(answer, OperatorUnavailable)
        assert is_unavailable or answer.result.status.value == "unavailable"


@then('"{request_id}" is granted within {limit:d} ms')
def granted_within(context, request_id, limit):
    group = context.group
    remaining_ms = context.asked_ms + limit - group.now_ms
    group.run_until(
        lambda: any(request_id in e.granted for e in group.entries),
        max(limit, remaining_ms),
    )


@then('"{request_id}" was granted by the entry host itself')
def granted_itself(context, request_id):
    entry = next(e for e in context.group.entries if request_id in e.granted)
    assert entry.granted[request_id].is_own


@then('"{request_id}" has no slot')
def has_no_slot(context, request_id):
    assert not any(request_id in e.granted for e in context.group.entries)


@then("all {count:d} requests have a slot")
def all_have_slots(context, count):
    granted = [
        r for e in context.group.entries for r in e.granted if r in context.request_ids
    ]
    assert len(granted) == count, granted


@then('all {count:d} requests have a slot at "{upstream}"')
def all_have_slots_at(context, count, upstream):
    all_have_slots(context, count)
    entries = context.group.entries
    upstreams = {e.granted[r].grant.upstream for e in entries for r in e.granted}
    assert upstreams == {upstream}, upstreams


@then("each entry host sent at most {count:d} heartbeats")
def few_heartbeats(context, count):
    entries = len(context.group.entries)
    # The leader answers each heartbeat of an entry host with its own.
    assert context.group.sent["Heartbeat"] <= 2 * count * entries
