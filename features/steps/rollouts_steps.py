"""Steps for rollouts in virtual time."""

from behave import given, then, when
from support.rollout_world import LIMITS, NEW, OLD, Fault, RolloutWorld
from support.routed_group import RoutedGroup, listed

from peridotfront.core.messages import RolloutStage, RolloutState

KINDS = {"fails": "fails", "is slow": "slow"}
MOMENTS = ("at once", "late", "under load", "on one route")
TROUBLE_AFTER_MS = 2500


def fault_of(text):
    """Return the fault that a text such as "is slow late" names."""
    kind = next(kind for kind in KINDS if text.startswith(kind))
    when_ = text.removeprefix(kind).strip()
    assert when_ in MOMENTS, text
    return Fault(KINDS[kind], when_)


def begin(context, fault, seed):
    """Start a world and order the rollout."""
    context.world = RolloutWorld(seed, fault)
    context.world.start()
    result = context.world.order()
    assert result.status.value == "accepted", result


@given("a rollout to a version that {fault}, with seed {seed:d}")
def roll_out_bad(context, fault, seed):
    begin(context, fault_of(fault), seed)


@given("a rollout to a good version, with seed {seed:d}")
def roll_out_good(context, seed):
    begin(context, None, seed)


@given("during it nothing happens")
def nothing(context):
    """Leave the world as it is."""


@given("during it one of its servers fails 4 in 10 requests")
def grey(context):
    context.world.servers["new-0"].is_grey = True


@given("during it three of its servers are lost for good")
def lose_servers(context):
    context.world.at(TROUBLE_AFTER_MS, lambda: context.world.lose("new-", 3))


@given("during it {factor:d} times as many requests come for 2 s")
def burst(context, factor):
    world = context.world
    rate = world.rate_per_s
    world.at(TROUBLE_AFTER_MS, lambda: world.set_rate(rate * factor))
    world.at(TROUBLE_AFTER_MS + 2000, lambda: world.set_rate(rate))


@given("during it an entry host is cut off for 3 s")
def cut(context):
    world = context.world
    world.at(TROUBLE_AFTER_MS, lambda: world.group.isolate("e2"))
    world.at(TROUBLE_AFTER_MS + 3000, world.group.heal)


@given("during it the leader is lost {times:d} times")
def lose_leader(context, times):
    world = context.world
    for number in range(times):
        world.at(TROUBLE_AFTER_MS + 4000 * number, world.kill_leader)
        world.at(TROUBLE_AFTER_MS + 4000 * number + 2000, world.restart_controls)


@given("during it all control hosts are killed")
def kill_all(context):
    world = context.world
    world.at(TROUBLE_AFTER_MS, world.kill_controls)
    world.at(TROUBLE_AFTER_MS + 500, world.restart_controls)


@when("the rollout has ended")
def end(context):
    context.world.run_rollout()


@then("it is reverted, and no limit on a bad version was exceeded")
@then("it is complete, and no answer of the old version was cut")
def judged(context):
    broken = [v for v in context.world.violations() if not v.startswith("late")]
    assert not broken, (broken, context.world.counts)


@when('an entry host is cut off in the stage "{stage}"')
def cut_in_stage(context, stage):
    world = context.world
    world.run_until_stage(RolloutStage(stage))
    world.run(500)
    world.group.isolate("e2")
    world.run(2500)
    world.sent_versions.clear()
    world.run(1500)


@when('the leader is lost in the stage "{stage}"')
def lose_leader_in_stage(context, stage):
    world = context.world
    world.run_until_stage(RolloutStage(stage))
    world.run(500)
    world.kill_leader()
    world.run(2000)
    world.restart_controls()


@then("it sends requests to the {which} version only")
def only(context, which):
    expected = OLD if which == "old" else NEW
    assert context.world.sent_versions["e2"].keys() == {expected}, (
        context.world.sent_versions
    )


@given("servers of a new version that are listed {lead:d} ms before its order")
def list_early(context, lead):
    context.world = RolloutWorld(1)
    context.world.start()
    context.world.list_new_version()
    context.world.run(lead)


@then("none of them got a request before the order")
def none_sent(context):
    versions = {
        version for sent in context.world.sent_versions.values() for version in sent
    }
    assert versions == {OLD}, versions


@when("the same order is repeated")
def repeat(context):
    world = context.world
    context.results = [world.send_order(NEW), world.send_order("v3")]


@then('the repeat is answered as "{status}"')
def answered(context, status):
    assert context.results[0].status.value == status, context.results


@then('an order of another version is answered as "{status}"')
def other_answered(context, status):
    assert context.results[1].status.value == status, context.results
    assert context.world.state is not RolloutState.REVERTED


@given(
    "{hosts:d} entry hosts before 1 upstream of the old version and {count:d} of one"
    " listed since"
)
def list_few_old(context, hosts, count):
    entries = {f"e{number}": "dc1" for number in range(1, hosts + 1)}
    group = context.group = RoutedGroup(entries=entries, limits=LIMITS)
    group.put(group.await_leader().name, 1)
    old = listed("old", slots=1, software_version=OLD)
    group.list_upstreams(old)
    group.run(1500)
    new = [listed(f"new-{n}", slots=1, software_version=NEW) for n in range(count)]
    group.list_upstreams(old, *new)
    group.run(500)


@when("the entry hosts lose their leader and request slots")
def request_leaderless(context):
    group = context.group
    group.down.update(host.name for host in group.controls)
    group.run(3000)
    for entry in group.entries:
        for number in range(4):
            entry.request_slot(f"{entry.name}-{number}")
    group.run(1000)


@then("no slot was granted at the version that was just listed")
def none_at_new(context):
    granted = [
        answer.grant.upstream
        for entry in context.group.entries
        for answer in entry.granted.values()
    ]
    assert granted and set(granted) == {"old"}, granted
