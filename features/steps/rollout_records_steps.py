"""Steps for the replicated records of rollouts."""

import shutil
import tempfile
from dataclasses import replace
from pathlib import Path

from behave import given, then, when
from support import recordings
from support.rollout_world import LIMITS
from support.routed_group import RoutedGroup

from peridotfront import wire
from peridotfront.core.control_state import ControlState
from peridotfront.core.control_types import OperatorStateResult
from peridotfront.core.messages import (
    ControlSnapshot,
    Replica,
    RolloutEnd,
    RolloutOrder,
    RolloutOrderStatus,
    RolloutState,
)
from peridotfront.storage import Storage

LONG_MS = 3_600_000
ANSWER_LIMIT_MS = 3000
ENDS = {"ledger": RolloutState.REVERTED, "spare": RolloutState.COMPLETE}
STATES = {"models": RolloutState.ROLLING, **ENDS}
CHANGES = 45


def answer_of(group, operation_id):
    """Return the answer of an operation."""
    group.run_until(lambda: operation_id in group.answers, ANSWER_LIMIT_MS)
    return group.answers[operation_id]


def order(group, service, version="v2"):
    """Order a rollout at the leader and return the answer."""
    leader = group.await_leader()
    return answer_of(group, group.order_rollout(leader.name, service, version, LONG_MS))


def read(group):
    """Return the records of the rollouts as the leader answers them."""
    group.await_leader()
    # A new leader answers reads once it has committed an entry.
    group.run(500)
    result = answer_of(group, group.read(group.await_leader().name))
    assert isinstance(result, OperatorStateResult), result
    return result.view.rollouts


def change_often(group):
    """Change the configuration so often that each host takes a snapshot."""
    group.change_version = getattr(group, "change_version", 0)
    for _ in range(CHANGES):
        group.change_version += 1
        leader = group.await_leader()
        answer_of(group, group.put(leader.name, group.change_version))


def snapshot_of(host):
    """Return the state in the snapshot on a host's disk."""
    return wire.decode(ControlSnapshot, host.disk.snapshot.data)


def await_snapshots(group, condition):
    """Wait until the snapshots of all control hosts meet a condition."""
    group.run_until(
        lambda: all(
            host.disk.snapshot.data and condition(snapshot_of(host))
            for host in group.controls
        )
    )


@given(
    "a control group with a rolling, a reverted and a complete rollout in its snapshots"
)
def group_with_rollouts(context):
    context.group = group = RoutedGroup(limits=LIMITS)
    change_often(group)
    for service, state in STATES.items():
        record = order(group, service).record
        if state in ENDS.values():
            time_ms = record.ordered_ms + 1
            end = RolloutEnd(service, record.number, state, "by the test", time_ms)
            group.feed(group.await_leader().name, end)
    context.records = read(group)
    states = {record.service: record.state for record in context.records}
    assert states == STATES, states
    change_often(group)
    await_snapshots(
        group, lambda snapshot: snapshot.rollouts.records == context.records
    )


@given("a control group whose snapshots are of a build without rollouts")
def group_without_rollouts(context):
    context.group = group = RoutedGroup(limits=LIMITS)
    order(group, "models")
    change_often(group)
    await_snapshots(group, lambda snapshot: snapshot.rollouts.records)
    for host in group.controls:
        proto = wire.to_proto(snapshot_of(host))
        proto.ClearField("rollouts")
        data = proto.SerializeToString()
        host.disk.snapshot = replace(host.disk.snapshot, data=data)


@when("all its control hosts are restarted")
def restart_all(context):
    group = context.group
    for host in group.controls:
        group.down.add(host.name)
    group.run(1000)
    for host in group.controls:
        group.restart(host.name)


@when("a control host starts with an empty disk and catches up by a snapshot")
def replace_disk(context):
    group = context.group
    # Hosts that run keep some log entries of before their snapshots in memory.
    group.down.update(host.name for host in group.controls)
    group.run(1000)
    group.restart("c1")
    group.restart("c2")
    group.await_leader()
    group.restart("c3", is_blank=True)
    context.host = host = group.hosts["c3"]
    replica = Replica(host.name, host.incarnation)
    group.run_until(lambda: replica in host.raft.voters, 30_000)
    restored = [log for log in host.logs if log.event == "snapshot_restored"]
    assert restored, "no snapshot was sent"


@when("the replicated state is restored from its snapshot")
def restore(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / "data"
    shutil.copytree(context.recording / recordings.DATA_FOLDER, path)
    storage = Storage.open(path)
    storage.close()
    context.state = ControlState()
    data = storage.state.snapshot.data
    context.state.restore(wire.decode(ControlSnapshot, data))


@then("the leader answers the states of the rollouts as before")
def same_records(context):
    assert read(context.group) == context.records, context.records


@then("it holds the rollouts as the others do")
def holds_records(context):
    records = context.host.role.controller.state.rollouts.records
    assert records == context.records, records


@then("a repeat of the rolling order starts nothing")
def repeat(context):
    result = order(context.group, "models")
    assert result.status is RolloutOrderStatus.REPEATED, result
    assert read(context.group) == context.records


@then("a new order gets a higher number than all before")
def higher_number(context):
    result = order(context.group, "spare", "v3")
    assert result.status is RolloutOrderStatus.ACCEPTED, result
    numbers = [record.number for record in context.records]
    assert result.record.number > max(numbers), (result, numbers)


@then("it has no rollouts, and accepts the order of one")
def accepts(context):
    assert context.state.rollouts.records == ()
    result = context.state.apply(RolloutOrder("o", "models", "v2", LONG_MS, 1))
    assert result.status is RolloutOrderStatus.ACCEPTED, result


@then("a snapshot of it holds the order")
def in_snapshot(context):
    records = context.state.rollouts.records
    data = wire.encode(context.state.snapshot())
    assert wire.decode(ControlSnapshot, data).rollouts.records == records
    assert [record.service for record in records] == ["models"], records


@then("the leader knows no rollouts, and accepts the order of one")
def group_accepts(context):
    assert read(context.group) == ()
    result = order(context.group, "models")
    assert result.status is RolloutOrderStatus.ACCEPTED, result
    assert [record.service for record in read(context.group)] == ["models"]
