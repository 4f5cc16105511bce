"""Steps for the fault matrix: step of a change or claim, fault, repeat, check."""

import os
import random
from types import SimpleNamespace

from behave import given, then, when
from support.control_group import CONTROL_HOSTS, ENTRY_HOSTS, ControlGroup

from peridotfront.core.actions import Send
from peridotfront.core.control_types import OperatorProposal
from peridotfront.core.messages import ChangeStatus
from peridotfront.core.verdicts import Verdict

KEY = "account/pay/1"
PAIR_SEED = 11
FAULT_GAP_MS = 200
FAULT_MS = 1500


@given("a control group with a configuration")
def start_group(context):
    context.group = group = ControlGroup(seed=7)
    first = group.change(group.proposal("first", 0))
    assert first.version == 1, first
    group.run_until(lambda: group.all_in_force(1), what="the first version")
    context.leader = group.await_leader()
    context.change = group.proposal("change", 1)
    context.rival = group.proposal("rival", 1)
    context.first_result = None


def propose(context):
    group = context.group
    leader = context.leader
    return group.ask(leader, lambda t: OperatorProposal(t, context.change))


def disk_has(group, names, text):
    return any(text in repr(group.hosts[name].disk.entries) for name in names)


def followers(context):
    return [name for name in CONTROL_HOSTS if name != context.leader]


@when("a change is proposed")
def proposed(context):
    group = context.group
    group.send(group.hosts["e2"], Send(context.leader, context.change))


@when("a change is appended")
def appended(context):
    propose(context)
    assert disk_has(context.group, [context.leader], "'change'")


@when("a change is replicated")
def replicated(context):
    propose(context)
    group = context.group
    group.run_until(lambda: disk_has(group, followers(context), "'change'"))


@when("a change is committed")
def committed(context):
    propose(context)
    group = context.group
    role = group.hosts[context.leader].role
    group.run_until(lambda: role.state.configuration.version == 2)


@when("a change is answered")
def answered(context):
    operation_id = propose(context)
    group = context.group
    group.run_until(lambda: operation_id in group.answers)
    context.first_result = group.answers[operation_id].result


@when("a change is applied at one host but not at another")
def applied_partly(context):
    group = context.group
    group.drop_inbound("e3")
    propose(context)
    group.run_until(lambda: group.hosts["e1"].follower.version == 2)
    assert group.hosts["e3"].follower.version == 1
    group.cuts = set()


@when("a claim of {name} is {step}")
def claim_at(context, name, step):
    group = context.group
    entry = group.hosts["e1"]
    state = group.hosts[context.leader].role.state
    conditions = {
        "requested": lambda: True,
        "appended": lambda: disk_has(group, [context.leader], KEY),
        "committed": lambda: state.claims.lookup(KEY),
        "answered": lambda: "first" in entry.claim_replies,
        "outcome reported": lambda: entry.claim_client.dump(group.now_ms).unreported,
        "outcome committed": lambda: (
            state.claims.lookup(KEY) and state.claims.lookup(KEY).outcome
        ),
    }
    group.request_claim("e1", KEY, "first")
    group.run_until(conditions[step], what=step)


@when("the {who} is killed")
def kill(context, who):
    context.group.kill(name_of(context, who))


@when("a follower is killed")
def kill_follower(context):
    context.group.kill(followers(context)[0])


@when("the {who} is restarted")
def restart(context, who):
    name = name_of(context, who)
    context.group.kill(name)
    context.group.restart(name)


@when("the {who} is isolated")
def isolate(context, who):
    context.group.isolate(name_of(context, who))


@when("the {who} cannot send")
def drop_outbound(context, who):
    context.group.drop_outbound(name_of(context, who))


@when("the {who} cannot receive")
def drop_inbound(context, who):
    context.group.drop_inbound(name_of(context, who))


@when("the {who} is frozen for {time_ms:d} ms")
def freeze(context, who, time_ms):
    name = name_of(context, who)
    context.group.freeze(name)
    context.group.run_for(time_ms)
    context.group.thaw(name)


@when("the leader loses its disk")
def lose_disk(context):
    group = context.group
    group.kill(context.leader)
    group.hosts[context.leader].lose_disk()
    group.restart(context.leader)


@when("all control hosts restart")
def restart_all(context):
    for name in CONTROL_HOSTS:
        context.group.kill(name)
    for name in CONTROL_HOSTS:
        context.group.restart(name)


@when("another operator changes the same version")
def race(context):
    context.rival_result = context.group.change(context.rival)


@when("the leader's data centre is cut off")
def cut_data_centre(context):
    group = context.group
    inside = {context.leader, "e1"}
    outside = set(group.hosts) - inside
    group.cuts |= {(a, b) for a in inside for b in outside}
    group.cuts |= {(b, a) for a in inside for b in outside}


@when("an entry host restarts blank")
def restart_entry(context):
    context.group.kill("e1")
    context.group.restart("e1")


@when("messages are duplicated and late")
def duplicate_messages(context):
    context.group.doubling = 0.5
    context.group.delay_ms = (1, 300)


def name_of(context, who):
    return {"leader": context.leader, "holder": "e1"}[who]


@when("the operator repeats the change until it is answered")
def repeat_change(context):
    context.result = context.group.change(context.change)


@when('a caller repeats the request at "e2" until it has an outcome')
def repeat_request(context):
    context.end = context.group.settle("e2", KEY)


@when("all faults are repaired")
def heal(context):
    context.group.doubling = 0.0
    context.group.heal()
    context.group.run_for(3000)


@then("the change was applied once and every repeat has the same outcome")
def applied_once(context):
    group = context.group
    assert context.first_result in (None, context.result)
    assert group.change(context.change) == context.result
    rival = getattr(context, "rival_result", None)
    results = [r for r in (context.result, rival) if r]
    accepted = [r for r in results if r.status is ChangeStatus.ACCEPTED]
    assert len(accepted) == 1, results
    ids = [record.change_id for record in group.view().history]
    assert ids == ["first", accepted[0].change_id], ids


@then("every host has the version in force and never stepped back")
def in_force(context):
    context.group.check()
    versions = [context.group.hosts[n].follower.version for n in ENTRY_HOSTS]
    assert versions == [2, 2, 2], versions


@then("the request ran at most once and every repeat has the same outcome")
def ran_once(context):
    group = context.group
    assert group.settle("e3", KEY) == context.end
    assert group.settle("e1", KEY) == context.end
    group.oracle.check_runs()
    if context.end.verdict is Verdict.COMPLETED:
        assert group.oracle.runs[KEY] == 1, group.oracle.runs


@then("every acknowledged outcome is on record")
def outcomes_kept(context):
    context.group.check()


CHANGE_STEPS = (proposed, appended, replicated, committed, answered, applied_partly)
CLAIM_STEPS = (
    "requested",
    "appended",
    "committed",
    "answered",
    "outcome reported",
    "outcome committed",
)
CONTROL_FAULTS = (
    lambda context: kill(context, "leader"),
    lambda context: restart(context, "leader"),
    lambda context: isolate(context, "leader"),
    lambda context: drop_outbound(context, "leader"),
    lambda context: drop_inbound(context, "leader"),
    lambda context: context.group.freeze(context.leader),
    lose_disk,
    kill_follower,
    restart_all,
    cut_data_centre,
    duplicate_messages,
)
HOLDER_FAULTS = (
    lambda context: kill(context, "holder"),
    lambda context: restart(context, "holder"),
    lambda context: isolate(context, "holder"),
    lambda context: drop_outbound(context, "holder"),
    lambda context: drop_inbound(context, "holder"),
    lambda context: context.group.freeze("e1"),
)


def pairs_of(steps, faults, count):
    """Return a random sample of steps with two faults each.

    :param count: sample size, unless the environment sets one; limited by the number
        of combinations.
    """
    combinations = [
        (step, first, second)
        for step in steps
        for first in faults
        for second in faults
        if first is not second
    ]
    count = int(os.environ.get("PERIDOTFRONT_FAULT_PAIRS", count))
    return random.Random(PAIR_SEED).sample(combinations, min(count, len(combinations)))


def inject_faults(context, first, second):
    group = context.group
    first(context)
    group.run_for(FAULT_GAP_MS)
    second(context)
    group.run_for(FAULT_MS)
    heal(context)


@then("{count:d} changes hold under pairs of faults")
def change_pairs(context, count):
    faults = (*CONTROL_FAULTS, race, restart_entry)
    for step, first, second in pairs_of(CHANGE_STEPS, faults, count):
        case = SimpleNamespace()
        start_group(case)
        step(case)
        inject_faults(case, first, second)
        repeat_change(case)
        applied_once(case)
        in_force(case)


@then("{count:d} claims hold under pairs of faults")
def claim_pairs(context, count):
    faults = (*CONTROL_FAULTS, *HOLDER_FAULTS)
    for step, first, second in pairs_of(CLAIM_STEPS, faults, count):
        case = SimpleNamespace()
        start_group(case)
        claim_at(case, "e1", step)
        inject_faults(case, first, second)
        repeat_request(case)
        ran_once(case)
        outcomes_kept(case)
