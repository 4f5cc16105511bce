"""Steps for large configurations over slow links, in virtual time."""

from dataclasses import replace

from behave import given, then, when
from support.routed_group import listed
from support.slow_links import SlowLinks, random_routes

WATCHED_MS = 8000
FORMING_MS = 6000


@given("a group whose {hosts:d} entry hosts have slow links, with {routes:d} routes")
def slow_group(context, hosts, routes):
    names = [f"e{number}" for number in range(1, hosts + 1)]
    context.group = group = SlowLinks(dict.fromkeys(names, "dc1"), seed=1)
    group.list_upstreams(listed("u1"), listed("u2"))
    leader = group.await_leader()
    group.put(leader.name, 1, routes=random_routes(routes, seed=1))
    group.run(FORMING_MS)
    assert all(entry.versions == [1] for entry in group.entries)
    assert all("u1" in entry.role.directory.names for entry in group.entries)
    for entry in group.entries:
        entry.logs.clear()


@when("two configurations of {routes:d} routes are accepted and an upstream leaves")
def change(context, routes):
    group = context.group
    leader = group.leader()
    known = random_routes(routes, seed=1)
    group.put(leader.name, 2, routes=known)
    group.run(300)
    group.put(leader.name, 3, routes=known, rate=900)
    group.list_upstreams(replace(listed("u1"), is_leaving=True), listed("u2"))
    context.configured_ms, context.leaving_ms = {}, {}
    for passed_ms in range(0, WATCHED_MS, 10):
        group.run(10)
        for entry in group.entries:
            if 3 in entry.versions:
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
