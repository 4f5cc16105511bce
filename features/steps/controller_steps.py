"""Steps for the control role and its counterparts on entry hosts."""

from behave import given, then, when
from support.control_group import CONTROL_HOSTS, ENTRY_HOSTS

from peridotfront import wire
from peridotfront.core.actions import Received, Send, Tick
from peridotfront.core.claim_batcher import ClaimBatcher
from peridotfront.core.claim_client import (
    AcquireClaim,
    ClaimClient,
    ClaimResolved,
    ClaimUnresolved,
    KeyLookupFailed,
    LookUpKey,
)
from peridotfront.core.config_follower import ConfigFollower
from peridotfront.core.control_state import ControlState
from peridotfront.core.control_types import (
    ClaimLimits,
    ControlTiming,
    OperatorProposal,
    OperatorStateQuery,
    OperatorUnavailable,
)
from peridotfront.core.entry_role import EntryRole
from peridotfront.core.host_monitor import HostMonitor
from peridotfront.core.messages import (
    Claim,
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
    ConfigUpdate,
    ControlSnapshot,
    Heartbeat,
    Outcome,
    OutcomeReport,
    StrikeReport,
    StrikeUpdate,
)
from peridotfront.core.snapshot_builder import SnapshotBuilder
from peridotfront.core.verdicts import Reason, Verdict


def request(key, host, incarnation, request_id="r"):
    return ClaimRequest(request_id, Claim(key, 1, 1, host, incarnation, "up", False))


@when("an operator queries the state of every control host")
def query_all(context):
    group = context.group
    context.operation_ids = {
        name: group.ask(name, OperatorStateQuery) for name in CONTROL_HOSTS
    }
    group.run_for(300)


@then("the leader shows version {version:d} with its author, hosts and members")
def leader_shows(context, version):
    view = context.group.answers[context.operation_ids[context.leader]].view
    assert (view.current.version, view.current.author) == (version, "ann"), view
    assert {h.host for h in view.hosts} | {view.host} == set(
        CONTROL_HOSTS + ENTRY_HOSTS
    )
    assert {v.host for v in view.voters} == set(CONTROL_HOSTS)
    confirmed = {h.config_version for h in view.hosts if h.role == "entry"}
    assert confirmed == {version}, view.hosts


@then("the others name the leader")
def others_name_leader(context):
    for name, operation_id in context.operation_ids.items():
        if name != context.leader:
            expected = OperatorUnavailable(operation_id, context.leader)
            assert context.group.answers[operation_id] == expected


@when("an operator queries the old leader while it is cut off")
def query_old_leader(context):
    group = context.group
    context.asked_ms = group.now_ms
    context.operation_id = group.ask(context.leader, OperatorStateQuery)
    proposal = group.proposal("cut", 1)
    context.change_operation_id = group.ask(
        context.leader, lambda t: OperatorProposal(t, proposal)
    )


@then("the operator gets the answer unavailable within {limit_ms:d} ms")
def answered_unavailable(context, limit_ms):
    group = context.group
    operation_ids = {context.operation_id, context.change_operation_id}
    group.run_until(lambda: operation_ids <= group.answers.keys(), limit_ms)
    assert isinstance(group.answers[context.operation_id], OperatorUnavailable)
    assert group.answers[context.change_operation_id].result.status == "unavailable"


@then("afterwards the old leader answers a claim as unavailable in the same turn")
def claim_unavailable(context):
    group = context.group
    entry = group.hosts["e1"]
    event = Received("e1", entry.incarnation, request("k", "e1", entry.incarnation))
    actions = group.hosts[context.leader].handle(event, group.now_ms)
    replies = [a.message for a in actions if isinstance(a, Send)]
    assert [r.status for r in replies] == [ClaimStatus.UNAVAILABLE], replies


@when("two control hosts are killed for {time_ms:d} ms")
def kill_two(context, time_ms):
    for name in CONTROL_HOSTS[:2]:
        context.group.kill(name)
    context.group.run_for(time_ms)


@when('"{name}" requests the claim "{key}"')
def request_claim(context, name, key):
    context.group.request_claim(name, key, "wanted")


@when('"{name}" requests the claim "{key}" and gets it')
def get_claim(context, name, key):
    request_claim(context, name, key)
    claim_replies = context.group.hosts[name].claim_replies
    context.group.run_until(lambda: "wanted" in claim_replies)


@then('"{name}" gives the claim up in the same turn')
def given_up(context, name):
    assert context.group.hosts[name].unresolved == {"wanted"}


@then("nothing ran")
def nothing_ran(context):
    assert not context.group.oracle.runs


@when('"{name}" requests the claim "{key}" and the replies are lost for {time_ms:d} ms')
def lost_answer(context, name, key, time_ms):
    group = context.group
    group.cuts |= {(control, name) for control in CONTROL_HOSTS}
    group.request_claim(name, key, "wanted")
    group.run_for(time_ms)
    assert group.hosts[name].unresolved == {"wanted"}
    group.cuts = set()


@when('a caller claims "{key}" at "{name}"')
def settle(context, key, name):
    context.end = context.group.settle(name, key)


@then('"{key}" ran once, at "{name}"')
def ran_once_at(context, key, name):
    assert context.group.oracle.runs[key] == 1
    record = context.group.lookup(key)
    assert record.claim.holder_host == name, record
    assert record.outcome.verdict is Verdict.COMPLETED, record


@then('the claim of "{key}" is recorded as {verdict}')
def ends_as(context, key, verdict):
    group = context.group
    group.run_for(3000)
    assert group.lookup(key).outcome.verdict is Verdict(verdict)
    assert not group.oracle.runs


@when('"{name}" requests {count:d} claims in one turn')
def request_many(context, name, count):
    group = context.group
    context.before = group.view().commit_index
    for number in range(count):
        group.request_claim(name, f"key-{number}", f"many-{number}")
    group.run_for(50)
    context.after = group.view().commit_index
    context.granted = len(group.hosts[name].claim_replies)


@then("all {count:d} are granted with at most {entries:d} log entries")
def few_entries(context, count, entries):
    assert context.granted == count, context.granted
    assert context.after - context.before <= entries, context.after - context.before


def make_changes(context, count, spacing_ms):
    group = context.group
    for _ in range(count):
        base = group.hosts[context.leader].role.state.configuration.version
        proposal = group.proposal(f"change-{base}", base)
        group.ask(context.leader, lambda t, p=proposal: OperatorProposal(t, p))
        group.run_until(
            lambda b=base: (
                group.hosts[context.leader].role.state.configuration.version > b
            )
        )
        group.run_for(spacing_ms)


@when('{count:d} changes are made while "{name}" is down')
def changes_while_down(context, count, name):
    context.group.kill(name)
    make_changes(context, count, 0)


@when('"{first}" starts again and "{second}" restarts blank')
def restart_two(context, first, second):
    context.group.kill(second)
    context.group.restart(first)
    context.group.restart(second)


@then("all replicas and hosts have version {version:d}")
def all_have(context, version):
    group = context.group
    group.check()
    for name in CONTROL_HOSTS:
        assert group.hosts[name].role.state.configuration.version == version
    assert group.all_in_force(version)


@then("the log of every replica holds at most {count:d} entries")
def log_bounded(context, count):
    for name in CONTROL_HOSTS:
        entries = context.group.hosts[name].disk.entries
        assert len(entries) <= count, (name, len(entries))


@when(
    "a snapshot of the leader is built in slices of {size:d} "
    "while {count:d} changes are made"
)
def build_in_slices(context, size, count):
    state = context.group.hosts[context.leader].role.state
    context.original = state.snapshot()
    builder = SnapshotBuilder(1, context.original, wire.encode, size)
    first = builder.encode_next()
    make_changes(context, count, 0)
    assert first is None
    assert state.snapshot() != context.original
    context.steps = 1
    while (data := builder.encode_next()) is None:
        context.steps += 1
    context.data = data


@then("it restores to the state at its index")
def restores(context):
    assert context.steps > 30, context.steps
    state = ControlState()
    state.restore(wire.decode(ControlSnapshot, context.data))
    assert state.snapshot() == context.original


@when('"{name}" is cut off and a change is made')
def change_without(context, name):
    group = context.group
    group.isolate(name)
    assert group.change(group.proposal("change", 1)).version == 2
    group.run_for(500)


@then('the view names only "{name}" as not confirmed')
def one_unconfirmed(context, name):
    assert context.group.view().laggards == (name,)


@then("the view names no host as not confirmed")
def none_unconfirmed(context):
    assert context.group.view().laggards == ()


@when("{count:d} changes are made within {time_ms:d} ms")
def burst(context, count, time_ms):
    group = context.group
    context.sent_before = group.sent["ConfigUpdate"]
    start_ms = group.now_ms
    leader = context.leader
    for number in range(count):
        proposal = group.proposal(f"burst-{number}", 1 + number)
        group.ask(leader, lambda t, p=proposal: OperatorProposal(t, p))
        if number % 2:
            group.step()
    assert group.now_ms - start_ms <= time_ms
    group.run_for(1000)


@then("each entry host was sent at most {count:d} configurations")
def few_updates(context, count):
    sent = context.group.sent["ConfigUpdate"] - context.sent_before
    assert 0 < sent <= count * len(ENTRY_HOSTS), sent


@when("all control hosts are killed")
def kill_all(context):
    for name in CONTROL_HOSTS:
        context.group.kill(name)


@when('host "{name}" restarts blank')
def restart_blank(context, name):
    context.group.kill(name)
    context.group.restart(name)


@then('"{name}" has version {version:d} in force within {limit_ms:d} ms')
def has_version(context, name, version, limit_ms):
    follower = context.group.hosts[name].follower
    context.group.run_until(lambda: follower.version == version, limit_ms)


@then('"{name}" considers itself cut off within {limit_ms:d} ms')
def considers_itself_cut_off(context, name, limit_ms):
    group = context.group
    follower = group.hosts[name].follower
    group.run_until(lambda: follower.is_cut_off(group.now_ms), limit_ms)


@when('"{name}" restarts blank and is reached by "{first}" first, then by "{second}"')
def reached_in_order(context, name, first, second):
    group = context.group
    for control in CONTROL_HOSTS:
        group.kill(control)
    group.kill(name)
    group.oracle.versions.pop(name)
    group.restart(name)
    group.cuts = {(second, name)}
    old = ConfigUpdate(1, "first", "ann", "content first")
    group.send(group.hosts[first], Send(name, old))
    group.run_for(300)
    group.cuts = set()


@then('the first version in force at "{name}" is {version:d}')
def first_version(context, name, version):
    group = context.group
    follower = group.hosts[name].follower
    group.run_until(lambda: follower.version > 0)
    assert follower.version == version, follower.version


@when("requests run for {time_ms:d} ms")
def run_long(context, time_ms):
    context.group.run_ms = time_ms


@when("the clocks of all other control hosts are {days:d} days ahead")
def clocks_ahead(context, days):
    group = context.group
    for name in CONTROL_HOSTS:
        if name != context.leader:
            group.kill(name)
            group.clock_offsets_ms[name] = days * 86_400_000
            group.restart(name)
    group.run_for(1000)
    context.leader = group.await_leader()
    assert context.leader not in group.clock_offsets_ms


@when('all versions reach "{name}" again, the oldest last')
def reach_again(context, name):
    group = context.group
    group.run_until(lambda: group.all_in_force(6))
    for record in reversed(group.view().history):
        update = ConfigUpdate(
            record.version, record.change_id, record.author, record.content
        )
        group.handle(name, Received("e2", 1, update))


@given("a claim client that waits for a claim")
def waiting_claim_client(context):
    context.claim_client = ClaimClient("e1", 1)
    context.asked = request("k", "e1", 1)
    receive_leader_heartbeat(context, 0)
    list(context.claim_client.handle(AcquireClaim(context.asked), 0))


def receive_leader_heartbeat(context, now_ms):
    heartbeat = Heartbeat("dc", "control", 1, 0, False, "c1", 1)
    list(context.claim_client.handle(Received("c1", 1, heartbeat), now_ms))


@when("the grant arrives after {time_ms:d} ms")
def grant_arrives(context, time_ms):
    receive_leader_heartbeat(context, time_ms)
    reply = ClaimReply("r", "k", ClaimStatus.GRANTED, context.asked.claim)
    event = Received("c1", 1, reply)
    context.actions = list(context.claim_client.handle(event, time_ms))


@given("a claim client with a granted claim")
def granted_claim_client(context):
    waiting_claim_client(context)
    grant_arrives(context, 5)
    assert [type(a) for a in context.actions] == [ClaimResolved], context.actions
    assert context.claim_client.may_dispatch("k", 1, 2999)


@then("the claim is unresolved and reported as not run")
def unresolved_and_reported(context):
    unresolved, send = context.actions
    assert unresolved == ClaimUnresolved("r", was_sent=True)
    assert send.message.outcome.verdict is Verdict.NOT_RUN
    assert not context.claim_client.may_dispatch("k", 1, 2000)


@when("{time_ms:d} ms pass on its clock before the dispatch")
def clock_passes(context, time_ms):
    context.now_ms = time_ms


@then("it may not dispatch")
def may_not(context):
    assert not context.claim_client.may_dispatch("k", 1, context.now_ms)


@when('"{name}" sends a claim that names "{holder}" as holder')
def foreign_claim(context, name, holder):
    group = context.group
    foreign = request("foreign", holder, group.hosts[holder].incarnation)
    group.send(group.hosts[name], Send(context.leader, foreign))
    group.run_for(500)


@then("no claim is recorded for it")
def no_record(context):
    assert context.group.lookup("foreign") is None


@given("a claim client that knows the leader")
def informed_claim_client(context):
    context.claim_client = ClaimClient("e1", 1)
    receive_leader_heartbeat(context, 0)


@when("it looks up a key and {time_ms:d} ms pass")
def look_up_key(context, time_ms):
    (sent,) = context.claim_client.handle(LookUpKey("q", "k", 1), 0)
    assert sent.to_host == "c1", sent
    receive_leader_heartbeat(context, time_ms)
    context.actions = list(context.claim_client.handle(Tick(), time_ms))


@then("the lookup has failed and is not repeated")
def lookup_failed(context):
    assert context.actions == [KeyLookupFailed("q")], context.actions
    assert list(context.claim_client.handle(Tick(), 2500)) == []


@given("the role of an entry host")
def entry_role(context):
    host_monitor = HostMonitor("e1", "dc", ("c1", "c2", "e2"), 150, 1500)
    context.role = EntryRole(host_monitor, ConfigFollower(), ClaimClient("e1", 1), 1)


@when('it receives a heartbeat with leader "{leader}" of term {term:d}')
def receives_heartbeat(context, leader, term):
    heartbeat = Heartbeat("dc", "control", 1, 0, False, leader, term)
    list(context.role.handle(Received("c1", 1, heartbeat), 10))


@then('its next heartbeat names "{leader}"')
def names_leader(context, leader):
    actions = list(context.role.handle(Tick(), 200))
    messages = [a.message for a in actions if isinstance(a, Send)]
    leaders = {m.leader for m in messages if isinstance(m, Heartbeat)}
    assert leaders == {leader}, messages


@when("the program of the leader sets a retention of {time_ms:d} ms")
def set_limits(context, time_ms):
    group = context.group
    group.applied.clear()
    group.handle(context.leader, ClaimLimits(retention_ms=time_ms))


@then("the new leader asked its program for the limits")
def asked_limits(context):
    group = context.group
    assert group.applied == [(group.leader(), 1)], group.applied


@then("every replica that runs keeps claims for {time_ms:d} ms")
def keeps(context, time_ms):
    group = context.group
    group.run_for(1000)
    for name in CONTROL_HOSTS:
        if name not in group.down:
            claims = group.hosts[name].role.state.claims.snapshot()
            assert claims.retention_ms == time_ms, (name, claims.retention_ms)


@when('"{name}" reports a strike against request {fingerprint:d}')
def report_strike(context, name, fingerprint):
    group = context.group
    report = StrikeReport("engine", (fingerprint,), "report-1")
    for _ in range(2):
        group.send(group.hosts[name], Send(context.leader, report))
        group.run_for(500)


@then('"{name}" receives {count:d} strike of request {fingerprint:d}, once')
def receives_strike(context, name, fingerprint, count):
    group = context.group
    group.run_for(1000)
    expected = [StrikeUpdate(fingerprint, count)]
    assert group.hosts[name].strikes == expected, group.hosts[name].strikes


@given("a batcher for answers of at most {size:d} bytes in a batch")
def batcher(context, size):
    context.batcher = ClaimBatcher(ControlTiming(max_batch_bytes=size))


@when("{count:d} outcomes with {size:d} bytes and 1 with {long:d} bytes arrive")
def outcomes_arrive(context, count, size, long):
    for number, length in enumerate([*[size] * count, long]):
        outcome = Outcome(Verdict.COMPLETED, Reason.NONE, 200, (), b"x" * length, True)
        report = OutcomeReport(f"k{number}", 1, outcome, "e1", 1)
        assert context.batcher.add_outcome(report, 0)


@then("they are taken in batches of at most {size:d} bytes and the longest has no body")
def batches_bounded(context, size):
    taken = []
    while context.batcher.is_due(100):
        outcomes = context.batcher.take().outcomes
        assert sum(len(r.outcome.body) for r in outcomes) <= size
        taken.extend(outcomes)
    assert len(taken) == 41, len(taken)
    empty = [r.key for r in taken if not r.outcome.is_replayable]
    assert empty == ["k40"], empty
