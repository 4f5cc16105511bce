"""Steps for large configurations over slow links, in virtual time."""

import zlib
from dataclasses import replace

from behave import given, then, when
from support.routed_group import content, listed
from support.slow_links import SlowLinks, random_routes

from peridotfront.core.actions import Log, Received
from peridotfront.core.config_follower import ConfigActivated, ConfigFollower
from peridotfront.core.config_packing import MAX_UNPACKED_BYTES
from peridotfront.core.messages import ConfigUpdate

WATCHED_MS = 8000
FORMING_MS = 6000


@given("a group whose {hosts:d} entry hosts have slow links, with {routes:d} routes")
def slow_group(context, hosts, routes):
    build_group(context, hosts, routes)


@given(
    "a group whose {hosts:d} entry hosts have slow links and an older build, "
    "with {routes:d} routes"
)
def slow_old_group(context, hosts, routes):
    build_group(context, hosts, routes, is_old_build=True)


def build_group(context, hosts, routes, *, is_old_build=False):
    data_centres = {f"e{number}": "dc1" for number in range(1, hosts + 1)}
    group = SlowLinks(data_centres, seed=1, is_old_build=is_old_build)
    context.group = group
    group.list_upstreams(listed("u1"), listed("u2"))
    leader = group.await_leader()
    group.put(leader.name, 1, routes=random_routes(routes, seed=1))
    group.run(FORMING_MS)
    assert all(entry.versions == [1] for entry in group.entries)
    assert all("u1" in entry.role.directory.names for entry in group.entries)
    for entry in group.entries:
        entry.logs.clear()
    group.config_bytes.clear()


@when("two configurations of {routes:d} routes are accepted and an upstream leaves")
def change(context, routes):
    group = context.group
    leader = group.leader()
    known = random_routes(routes, seed=1)
    group.put(leader.name, 2, routes=known)
    group.run(300)
    group.put(leader.name, 3, routes=known, rate=900)
    group.list_upstreams(replace(listed("u1"), is_leaving=True), listed("u2"))
    watch(context, version=3)


@when("a configuration of {routes:d} routes is accepted")
def change_once(context, routes):
    group = context.group
    context.content = content(2, routes=random_routes(routes, seed=1))
    group.put(group.leader().name, 2, routes=random_routes(routes, seed=1))
    watch(context, version=2)


def watch(context, version):
    """Record when each entry host has a version, and knows who leaves."""
    group = context.group
    context.configured_ms, context.leaving_ms = {}, {}
    for passed_ms in range(0, WATCHED_MS, 10):
        group.run(10)
        for entry in group.entries:
            if version in entry.versions:
                context.configured_ms.setdefault(entry.name, passed_ms)
            if entry.role.directory.get("u1").is_leaving:
                context.leaving_ms.setdefault(entry.name, passed_ms)


def check_times(context, times_ms, limit_ms):
    names = {entry.name for entry in context.group.entries}
    late = {name: times_ms.get(name) for name in names}
    late = {name: ms for name, ms in late.items() if ms is None or ms > limit_ms}
    assert not late, late


@then("each entry host has the new configuration within {limit_ms:d} ms")
def check_configured(context, limit_ms):
    check_times(context, context.configured_ms, limit_ms)


@then("each entry host knows that the upstream leaves within {limit_ms:d} ms")
def check_leaving(context, limit_ms):
    check_times(context, context.leaving_ms, limit_ms)


@then("no entry host loses its leader")
def check_leader(context):
    lost = {
        entry.name: [log for log in entry.logs if log.event == "scheduler_changed"]
        for entry in context.group.entries
    }
    assert not any(lost.values()), lost


@then("at most {limit_kb:d} kB ever wait for one host")
def check_waiting(context, limit_kb):
    assert context.group.most_waiting_bytes <= limit_kb * 1000, (
        context.group.most_waiting_bytes,
        dict(context.group.config_bytes),
    )


@then("the configuration has been sent to each host only once, uncompressed")
def check_copies(context):
    sizes = context.group.config_bytes
    assert len(sizes) == len(context.group.entries), sizes
    for copies in sizes.values():
        assert len(copies) == 1, copies
        assert copies[0] >= len(context.content), copies


@given("an entry host with a configuration")
def follower(context):
    context.follower = ConfigFollower()
    receive(context, ConfigUpdate(1, "", "", "one"), now_ms=0)
    actions = receive(context, ConfigUpdate(2, "", "", "two"), now_ms=1000)
    assert actions == [ConfigActivated(2, "two")], actions


def receive(context, update, now_ms):
    return list(context.follower.handle(Received("c1", 1, update), now_ms))


@when("it gets a newer one that is {fault}, and then a sound one")
def receive_fault(context, fault):
    packed = zlib.compress(b"three")
    faulty = {
        "damaged": b"?" + packed[1:],
        "cut off": packed[:-4],
        "too long": zlib.compress(bytes(MAX_UNPACKED_BYTES + 1)),
    }[fault]
    context.logged = receive(context, ConfigUpdate(3, "", "", "", faulty), 2000)
    context.taken = receive(context, ConfigUpdate(3, "", "", "", packed), 2100)


@then("it logs the fault and takes the sound one")
def check_taken(context):
    (log,) = context.logged
    assert isinstance(log, Log) and log.event == "config_unreadable", log
    assert context.taken == [ConfigActivated(3, "three")], context.taken
