"""Steps for the costs of control work in fleets of many hosts."""

from behave import given, then, when
from support.routed_group import RoutedGroup

START_MS = 6000
DATA_CENTRES = 6
TICK_MS = 50


@given(
    "{controls:d} control hosts and {entries:d} entry hosts with slow ticks in virtual"
    " time"
)
def make_fleet(context, controls, entries):
    names = tuple(f"c{number}" for number in range(1, controls + 1))
    data_centres = {f"e{n}": f"dc{1 + n % DATA_CENTRES}" for n in range(1, entries + 1)}
    context.group = RoutedGroup(names, data_centres, tick_ms=TICK_MS)


@given("all control hosts are down")
def stop_control_hosts(context):
    context.group.down.update(host.name for host in context.group.controls)


@when("all entry hosts follow the leader")
def await_following(context):
    context.group.await_leader()
    context.group.run_until(lambda: follows_leader(context.group), START_MS)
    # The hosts learn their number once a term is older than their time limit.
    context.group.run(2500)


@when("{duration:d} ms pass without requests")
def pass_time(context, duration):
    heartbeats = context.group.sent["Heartbeat"]
    logs = [len(entry.logs) for entry in context.group.entries]
    context.group.run(duration)
    context.new_logs = [
        log.event
        for entry, count in zip(context.group.entries, logs, strict=True)
        for log in entry.logs[count:]
    ]
    sent = context.group.sent["Heartbeat"] - heartbeats
    context.heartbeats_per_s = sent * 1000 / duration


@then("control and entry hosts exchange at most {most:d} heartbeats a second")
def check_heartbeats(context, most):
    assert context.heartbeats_per_s <= most, context.heartbeats_per_s


@then("no entry host changed its leader")
def check_no_change(context):
    assert "scheduler_changed" not in context.new_logs


@when("their leader stops")
def kill_leader(context):
    group = context.group
    context.killed = group.leader().name
    group.down.add(context.killed)


@then("all entry hosts follow another leader within {limit:d} ms")
def check_new_leader(context, limit):
    context.group.run_until(lambda: follows_leader(context.group), limit)
    assert context.group.leader().name != context.killed


@then("no entry host that ran was counted as lost")
def check_none_lost(context):
    lost = [
        log.fields
        for host in context.group.controls
        for log in host.logs
        if log.event == "peer_silent"
    ]
    assert not lost, lost


def follows_leader(group):
    """Return whether all entry hosts follow the leader."""
    leader = group.leader()
    if leader is None:
        return False
    return all(entry.role.leader == leader.name for entry in group.entries)
