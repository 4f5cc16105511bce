"""Steps for the replicated log."""

import itertools
import sys
from pathlib import Path

from behave import given, then, when

from peridotfront.core.actions import Received
from peridotfront.core.messages import AppendReply, AppendRequest, JoinRequest, Replica
from peridotfront.core.raft_types import RaftTiming

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from support.raft_group import TIMING, Group

HOST_NAMES = "abcdefg"


def follower_of(context, skip=0):
    leader = context.group.await_leader()
    others = [n for n in context.group.names if n != leader.name]
    return others[skip]


def crash(context, name):
    context.crashed = name
    context.group.crash(name)


@given('a control group of {count:d} hosts of which "{name}" is down')
def group_with_host_down(context, count, name):
    context.group = Group(HOST_NAMES[:count])
    context.group.crash(name)


@given("a control group of {count:d} hosts with {writes:d} completed writes")
def group_with_writes(context, count, writes):
    context.group = Group(HOST_NAMES[:count])
    complete(context, 1, writes)


@given("a control group of {count:d} hosts")
def group_of(context, count):
    context.group = Group(HOST_NAMES[:count])


@given(
    "the bootstrapping host loses power after write {write:d}, and its disk is {disk}"
)
def bootstrapping_host_loses_power(context, write, disk):
    group = context.group
    group.lose_power("a", write)
    group.run_until(lambda: group.hosts["a"].raft is None)
    if disk == "lost":
        group.lose_disk("a")


@given("a network that loses, duplicates and reorders messages")
def unreliable_network(context):
    context.group.loss = 0.1
    context.group.doubling = 0.2
    context.group.delay_ms = (1, 120)


@when("a leader is elected")
@then("a leader is elected")
def leader_elected(context):
    context.group.await_leader()


@when("{count:d} s pass in the group")
def seconds_pass(context, count):
    context.group.run_for(count * 1000)


@when("{count:d} ms pass in the group")
def milliseconds_pass(context, count):
    context.group.run_for(count)


@when('control host "{name}" starts')
def host_starts(context, name):
    context.group.start(name)


@when("the crashed host starts")
def crashed_host_starts(context):
    context.group.start(context.crashed)


@when("the leader crashes")
def leader_crashes(context):
    crash(context, context.group.await_leader().name)


@when("a follower crashes")
def follower_crashes(context):
    crash(context, follower_of(context))


@when("all hosts crash and start")
def all_restart(context):
    for name in context.group.names:
        context.group.crash(name)
    for name in context.group.names:
        context.group.start(name)


@when("the leader is cut off")
def leader_cut_off(context):
    context.old_leader = context.group.await_leader()
    context.group.isolate(context.old_leader.name)


@when("the leader's {direction} messages are lost")
def one_way_cut(context, direction):
    leader = context.group.await_leader().name
    for peer in context.group.names:
        pair = (leader, peer) if direction == "outgoing" else (peer, leader)
        context.group.cut(*pair)


@when("a follower is cut off for {count:d} s and comes back")
def follower_cut_off(context, count):
    group = context.group
    leader = group.await_leader()
    context.leader_before = (leader.name, leader.raft.term)
    group.isolate(follower_of(context))
    group.run_for(count * 1000)
    group.heal()
    group.run_for(3000)


@when("the leader is frozen for {frozen_ms:d} ms with {events} waiting")
def leader_frozen(context, frozen_ms, events):
    group = context.group
    leader = group.await_leader()
    group.run_for(1000)
    if events == "answers":
        context.read_id = group.read(leader.name)
    group.freeze(leader.name)
    if events == "a read and a write":
        context.read_id = group.read(leader.name)
        group.propose(leader.name, 99)
    group.run_for(frozen_ms)
    group.thaw(leader.name)


@when("the followers' last answers arrive again after a read")
def replies_arrive_again(context):
    group = context.group
    leader = context.old_leader
    replies = [
        event
        for event in group.delivered
        if isinstance(event.message, AppendReply) and event.sender != leader.name
    ]
    context.read_id = group.read(leader.name)
    for event in replies[-20:]:
        group.handle(leader.name, event)


@when("a follower loses its disk and starts")
def follower_loses_disk(context):
    name = next(
        n
        for n in context.group.names
        if n != getattr(context, "crashed", None)
        and context.group.leader() is not context.group.hosts[n]
    )
    context.repaired = name
    context.group.lose_disk(name)
    context.group.start(name)


@when("the same follower loses its disk and starts")
def same_follower_loses_disk(context):
    context.group.lose_disk(context.repaired)
    context.group.start(context.repaired)


@when("a follower loses its disk, starts and is a voter again")
def follower_repaired(context):
    group = context.group
    name = follower_of(context)
    context.repaired = name
    context.lost_incarnation = group.hosts[name].disk.incarnation
    group.lose_disk(name)
    group.start(name)
    identity = Replica(name, group.hosts[name].disk.incarnation)
    group.run_until(
        lambda: (
            group.leader() is not None
            and identity in group.leader().raft.dump().membership.voters
            and group.leader().raft.dump().is_membership_committed
        )
    )


@when("then the {second} loses its disk")
def second_host_lost(context, second):
    group = context.group
    leader = group.leader().name
    others = [n for n in group.names if n not in (leader, context.repaired)]
    context.crashed = leader if second == "leader" else others[0]
    group.lose_disk(context.crashed)


@when("a join request of its lost disk arrives late")
def delayed_join(context):
    group = context.group
    event = Received(context.repaired, 0, JoinRequest(context.lost_incarnation))
    group.handle(group.leader().name, event)
    group.run_for(50)
    assert group.leader().raft.learners != ()


@given("a control group of 3 hosts that keeps {entries:d} entries of at most {size:d} bytes")  # fmt: skip # noqa: E501
def group_with_trailing_entries(context, entries, size):
    timing = RaftTiming(trailing_entries=entries, trailing_bytes=size)
    context.group = Group(HOST_NAMES[:3], timing=timing)
    context.group.await_leader()


@when("a follower loses its disk and catches up as a voter")
def lose_disk_and_catch_up(context):
    group = context.group
    context.crashed = follower_of(context)
    group.lose_disk(context.crashed)
    group.sent.clear()
    group.start(context.crashed)
    group.run_until(group.is_settled)


@then("it was sent at most {count:d} log entries")
def few_entries_sent(context, count):
    requests = [
        send.message
        for send in context.group.sent
        if send.to_host == context.crashed and isinstance(send.message, AppendRequest)
    ]
    entries = {entry.index for request in requests for entry in request.entries}
    assert len(entries) <= count, len(entries)


@given("{count:d} writes are completed and every host takes a snapshot")
@when("{count:d} writes are completed and every host takes a snapshot")
def writes_and_snapshots(context, count):
    group = context.group
    first = len(group.completed) + 1
    for value in range(first, first + count):
        group.propose(group.await_leader().name, value)
        if value % 50 == 0:
            group.run_for(2000)
            compact_all(group)
    complete(context, first, first + count - 1)
    compact_all(group)


def compact_all(group):
    for name in group.names:
        if group.hosts[name].raft is not None:
            group.compact(name)


@when("{count:d} writes are proposed at once")
def many_proposals(context, count):
    group = context.group
    leader = group.await_leader()
    group.sent.clear()
    first = len(group.completed) + 1
    for value in range(first, first + count):
        group.propose(leader.name, value)


@when('the leader receives a join request from "{name}"')
def unconfigured_host_joins(context, name):
    leader = context.group.await_leader()
    context.group.handle(leader.name, Received(name, 0, JoinRequest(7)))


@then("every host holds the same {count:d} voters")
def same_voters(context, count):
    group = context.group
    group.run_until(group.is_settled)
    assert len(group.leader().raft.voters) == count


@then("the group was bootstrapped once")
def bootstrapped_once(context):
    assert context.group.logged["raft_bootstrapped"] == 1


@then("no host leads")
def no_leader(context):
    assert context.group.leader() is None


@then("the writes {first:d} to {last:d} are completed")
def complete(context, first, last):
    group = context.group
    for value in range(first, last + 1, 50):
        batch = range(value, min(value + 50, last + 1))
        for proposal in batch:
            if proposal not in group.completed:
                group.propose(group.await_leader().name, proposal)
        group.run_for(500)
    for value in range(first, last + 1):
        group.write(value)


@then("all {count:d} writes are in the log")
def all_in_log(context, count):
    leader = context.group.await_leader()
    assert set(range(1, count + 1)) <= set(leader.applied)


@then("every host catches up as a voter")
def all_settled(context):
    context.group.run_until(context.group.is_settled)


@then("the old leader steps down within one election timeout")
def steps_down(context):
    context.group.run_for(TIMING.election_timeout_ms + 10)
    assert not context.old_leader.raft.is_leader


@then("a read at the old leader fails")
def read_fails(context):
    read_id = context.group.read(context.old_leader.name)
    assert context.group.read_results[read_id] is None


@then("the leader and its term are the same")
def same_leader(context):
    leader = context.group.leader()
    assert (leader.name, leader.raft.term) == context.leader_before


@then("the read failed")
def read_failed(context):
    assert context.group.read_results[context.read_id] is None


@then("the read has no answer or failed")
def read_unanswered(context):
    assert context.group.read_results.get(context.read_id) is None


@then("the waiting write was dropped or is on every host")
def waiting_write(context):
    group = context.group
    group.run_until(group.is_settled)
    dropped = any(command.time_ms == 99 for command in group.dropped)
    on_all = all(99 in host.applied for host in group.hosts.values())
    assert dropped != on_all


@then("no step changed more than one voter")
def single_steps(context):
    memberships = context.group.memberships()
    assert len(memberships) == 4
    for before, after in itertools.pairwise(memberships):
        assert len(set(before.voters) ^ set(after.voters)) <= 1


@then("at most {count:d} requests carried the writes to each follower")
def few_requests(context, count):
    appends = [
        send
        for send in context.group.sent
        if isinstance(send.message, AppendRequest) and send.message.entries
    ]
    for name in context.group.names:
        assert len([s for s in appends if s.to_host == name]) <= count


@then("the leader has no learners")
def no_learners(context):
    assert context.group.leader().raft.learners == ()


@then("the leader's dump shows 3 voters, 2 peers and its progress")
def dump_shows(context):
    dump = context.group.leader().raft.dump()
    assert len(dump.membership.voters) == 3
    assert [peer.match_index for peer in dump.peers] == [dump.last_index] * 2
    assert dump.commit_index == dump.last_index
