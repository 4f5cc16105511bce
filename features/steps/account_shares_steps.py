"""Steps for fair shares of client accounts."""

from behave import given, then, when
from support.shares_load import (
    HOST,
    LONG,
    SHORT,
    SLOTS,
    TICK_MS,
    UPSTREAMS,
    Caller,
    Kind,
    SharesLoad,
    share_options,
)

from peridotfront.core.actions import Received, Tick
from peridotfront.core.crash_guard import CrashGuard
from peridotfront.core.crash_history import CrashHistory
from peridotfront.core.messages import (
    ListedUpstream,
    Release,
    ReleaseCause,
    SlotRequest,
)
from peridotfront.core.routes import RoutedAccount, RoutedService, RoutingConfig
from peridotfront.core.service_schedulers import ServiceSchedulers, SharedLimits
from peridotfront.core.stream_origins import StreamOrigins
from peridotfront.core.upstream_limits import UpstreamLimits

ACCOUNTS = 16
WARM_UP_MS = 2000
# Upstreams that process prompts slowly, so that output tokens count for few.
SLOW_TOKENS_PER_MS = 16
LONG_PROMPT = Kind(3720, 20, 825, SLOW_TOKENS_PER_MS)
LONG_ANSWER = Kind(200, 300, 825, SLOW_TOKENS_PER_MS)
SLOT_COUNT = UPSTREAMS * SLOTS


def make_load(context, callers, seed=1, **fields):
    """Start a load and run it until its rates are learned."""
    context.shares = SharesLoad(callers, seed=seed, **fields)
    context.shares.run(WARM_UP_MS)
    context.shares.reset()
    context.counted_from_ms = context.shares.now_ms


@given(
    "{count:d} accounts at {load:g} times the capacity, of which one sends {times:d} "
    "times its usual, with seed {seed:d}"
)
def make_flood(context, count, load, times, seed):
    usual = load / (count - 1 + times)
    callers = [Caller(f"a{n}", usual) for n in range(count - 1)]
    make_load(context, [*callers, Caller("large", usual * times, SHORT)], seed)


@given("{count:d} accounts at {load:g} times the capacity, with seed {seed:d}")
def make_equal(context, count, load, seed):
    make_load(context, [Caller(f"a{n}", load / count) for n in range(count)], seed)


@given(
    "an account that asks for {small:g} of the capacity beside one that asks for "
    "{large:g}"
)
def make_unequal(context, small, large):
    make_load(context, [Caller("small", small), Caller("large", large, SHORT)])


@given(
    "two accounts of the weights {first:d} and {second:d} that each ask for {load:g} "
    "times the capacity"
)
def make_weighted(context, first, second, load):
    callers = [Caller("first", load), Caller("second", load, SHORT)]
    make_load(context, callers, weights={"first": first, "second": second})


@given("two accounts of the same weight with long prompts and with long answers")
def make_unlike(context):
    callers = Caller("first", 1.0, LONG_PROMPT), Caller("second", 1.0, LONG_ANSWER)
    make_load(context, callers)


@given(
    "{count:d} accounts that ask for {load:g} of the capacity each, and one that comes "
    "and goes"
)
def make_coming(context, count, load):
    callers = [Caller(f"a{n}", load) for n in range(count)]
    make_load(context, [*callers, Caller("large", 0.0, SHORT)])


@given("an account that holds all slots while it and another account wait")
def make_holder(context):
    callers = [Caller("large", 0.0, SHORT), Caller("other", 0.0, SHORT)]
    make_load(context, callers)
    for name, count in (("large", SLOT_COUNT + 10), ("other", 10)):
        for _ in range(count):
            context.shares.send(context.shares.callers[name])
    assert context.shares.running("large") == SLOT_COUNT


@given(
    "an account that asks for {load:g} times the capacity beside one that asks for "
    "little"
)
def make_single(context, load):
    make_load(context, [Caller("small", 0.01), Caller("large", load, SHORT)])


@given(
    "an account of tier 1 that asks for {load:g} times the capacity, and others of "
    "tier 2"
)
def make_tiers(context, load):
    others = [Caller(f"a{n}", 0.05) for n in range(4)]
    make_load(context, [Caller("large", load, LONG, tier=1), *others])


@given("an account that holds all slots beside one with {more:d} more waiting requests")
def make_late(context, more):
    # Requests without hope to meet their goals, which wait until it is too long.
    kind = Kind(SHORT.prompt_tokens, SHORT.output_tokens, 1)
    make_load(context, [Caller("large", 0.0, kind), Caller("other", 0.0, kind)])
    for name, count in (("large", SLOT_COUNT), ("other", more)):
        for _ in range(count):
            context.shares.send(context.shares.callers[name])
    assert context.shares.running("large") == SLOT_COUNT


@when("both send at the same rate until {count:d} requests are refused")
def send_until_refused(context, count):
    load = context.shares
    while load.refused.total() < count:
        for caller in load.callers.values():
            load.send(caller)


@then("all refusals are of the account that holds the slots")
def refused_above(context):
    assert set(context.shares.refused) == {"large"}, context.shares.refused


@when("the accounts send for {duration:d} s")
def run(context, duration):
    context.shares.run(duration * 1000)


@when("it comes for {there:d} s and goes for {away:d} s, {times:d} times")
def come_and_go(context, there, away, times):
    coming = context.shares.callers["large"]
    context.work_there_ms = 0
    context.there_ms = there * 1000 * times
    for _ in range(times):
        coming.load = 1.5
        before_ms = context.shares.work_ms["large"]
        context.shares.run(there * 1000)
        context.work_there_ms += context.shares.work_ms["large"] - before_ms
        coming.load = 0.0
        context.shares.run(away * 1000)


@when("another scheduler becomes the leader")
def elect(context):
    context.shares.run(TICK_MS)
    context.shares.elect()
    context.shares.order.clear()
    context.held = {name: context.shares.running(name) for name in ("large", "other")}
    context.dump = context.shares.account("large"), context.shares.account("other")
    while len(context.shares.order) < 10:
        context.shares.run(TICK_MS)


@then(
    "the least served other account gets at least {least:g} of what it asks for by its "
    "goal"
)
def least_served(context, least):
    load = context.shares
    names = set(load.callers) - {"large"}
    shares = {name: load.punctual[name] / load.asked[name] for name in names}
    assert min(shares.values()) >= least, shares


@then("no other account is refused anything")
def none_refused(context):
    refused = context.shares.refused
    assert set(refused) == {"large"}, refused


@then("the slots are in use for at least {least:g} of the time")
def used(context, least):
    load = context.shares
    elapsed_ms = load.now_ms - context.counted_from_ms
    share = load.work_ms.total() / (elapsed_ms * SLOT_COUNT)
    assert share >= least, share


@then("the scheduler's dump shows its refusals and a share of at least {least:g}")
def dump_shows(context, least):
    account = context.shares.account("large")
    refused = sum(account.refused.values())
    assert refused >= context.shares.refused["large"] > 0, account
    assert least <= account.share < 0.5, account


@then("the first gets {times:g} times the work of the second, within {bound:g}")
def work_ratio(context, times, bound):
    work_ms = context.shares.work_ms
    ratio = work_ms["first"] / work_ms["second"]
    assert abs(ratio / times - 1) <= bound, ratio


@then("it gets at least {least:g} of the capacity while it is there")
def coming_served(context, least):
    share = context.work_there_ms / (context.there_ms * SLOT_COUNT)
    assert share >= least, share


@then("{least:d} of the next {count:d} grants go to the account that holds no slots")
def next_grants(context, least, count):
    names = [sent.caller.name for sent in context.shares.order[:count]]
    assert names.count("other") >= least, names


@then("the dump shows the work of the slots in use by account")
def dump_in_use(context):
    large, other = context.dump
    assert context.held["large"] > 0, context.held
    assert large is not None, large
    work_tokens = large.running_tokens / context.held["large"]
    assert work_tokens > SHORT.prompt_tokens, large
    assert other.running_tokens == 0, other


@then("no upstream is left without requests while one waits")
def none_idle(context):
    assert context.shares.idle_ticks == 0, context.shares.idle_ticks


@then("no slot is granted to tier 2 while tier 1 waits")
def no_inversions(context):
    assert context.shares.order, context.shares.asked
    assert context.shares.inversions == 0, context.shares.inversions


@then(
    "at least {share:g} of at least {count:d} retries at the announced time are "
    "admitted"
)
def retries_admitted(context, share, count):
    retries = context.shares.retries
    assert retries.total() >= count, retries
    assert retries["admitted"] >= share * retries.total(), retries


@then("no new request is granted while one of them waits")
def none_overtaken(context):
    assert context.shares.overtaken == 0, context.shares.overtaken


@then("the answers by their goal take at least {least:g} of the capacity")
def punctual_capacity(context, least):
    load = context.shares
    punctual_ms = sum(
        count * load.callers[name].kind.hold_ms for name, count in load.punctual.items()
    )
    capacity_ms = (load.now_ms - context.counted_from_ms) * SLOT_COUNT
    assert punctual_ms >= least * capacity_ms, punctual_ms / capacity_ms


def grants_of(context, event):
    """Pass an event to the schedulers and return the ids of granted requests."""
    actions = tuple(context.schedulers.handle(event, 1000))
    return [action.message.request_id for action in actions]


def ask(context, account, number):
    """Send a slot request of an account to the schedulers."""
    slot_request = SlotRequest(
        request_id=f"{account}.{number}",
        cell="ledger",
        model="",
        tier=2,
        client_account=account,
        prompt_tokens=0,
        output_tokens=0,
        prefix_hashes=(),
        fingerprint=number,
        deadline_ms=3000,
    )
    return grants_of(context, Received(HOST, 1, slot_request))


@given("the schedulers of a plain service with one slot, which one account holds")
def make_schedulers(context):
    context.schedulers = ServiceSchedulers(
        SharedLimits(scheduling=share_options()),
        StreamOrigins(),
        CrashGuard(CrashHistory()),
        UpstreamLimits(),
    )
    accounts = RoutedAccount("large", ()), RoutedAccount("other", ())
    routing = RoutingConfig(1, services=(RoutedService("ledger"),), accounts=accounts)
    listed = ListedUpstream("l1", "ledger", "", "", 1, False)
    tuple(context.schedulers.apply_routing(routing, 0))
    tuple(context.schedulers.apply_upstreams((listed,), 0))
    tuple(context.schedulers.handle(Tick(), 0))
    assert ask(context, "large", 0) == ["large.0"]


@when("it sends 3 more requests, another account sends one, and the slot is released")
def release_slot(context):
    waiting = [ask(context, "large", number) for number in (1, 2, 3)]
    assert [*waiting, ask(context, "other", 4)] == [[], [], [], []], waiting
    release = Release("large.0", "ledger", "l1", ReleaseCause.COMPLETED, 0, 0, 0, -1, 9)
    context.granted = grants_of(context, Received(HOST, 1, release))


@then("the slot goes to the other account")
def granted_to_other(context):
    assert context.granted == ["other.4"], context.granted
