"""Steps for a plain service and for engines under overload."""

from behave import given, then, when
from support.engine_load import EngineLoad
from support.service_load import ACCOUNTS, ServiceLoad


@given("a service of {count:d} upstreams at {load:g} times its capacity")
def make_service(context, count, load):
    context.load = ServiceLoad(count)
    context.rate_per_s = load * context.load.capacity_per_s
    context.possible_per_s = min(context.rate_per_s, context.load.capacity_per_s)


@when("the load continues for {duration:d} ms")
def run_load(context, duration):
    context.load.run(duration, context.rate_per_s)


@when("all its upstreams are unreachable for {duration:d} ms")
def run_unreachable(context, duration):
    load = context.load
    load.down.update(load.upstreams)
    load.run(duration, context.rate_per_s)
    load.down.clear()


@then("in the last {duration:d} ms it served at least {share:g} of what it can")
def served_share(context, duration, share):
    load = context.load
    served = load.rate_served(load.now_ms - duration) / context.possible_per_s
    assert served >= share, served


@given("one of its accounts sends {times:d} times as much as each other one")
def flood(context, times):
    context.load.flood = times


@when("the load falls to {load:g} times its capacity")
def lower_load(context, load):
    context.rate_per_s = load * context.load.capacity_per_s


@when("only what is sent from now on counts")
def reset(context):
    context.load.reset()
    context.counted_from_ms = context.load.now_ms


@then("answers that met the goal are at least {share:g} of what it can serve")
def check_punctual(context, share):
    duration_ms = context.load.now_ms - context.counted_from_ms
    capacity = context.load.capacity_per_s * duration_ms / 1000
    punctual = context.load.punctual.total() / capacity
    assert punctual >= share, punctual


@then("{share:g} of the refusals come within {limit:d} ms")
def check_refusals(context, share, limit):
    held_ms = context.load.held_ms
    early = sum(held <= limit for held in held_ms)
    assert early >= share * len(held_ms), (early, len(held_ms))


@then("at most {share:g} of the requests are refused")
def check_few_refused(context, share):
    refused = len(context.load.held_ms) / context.load.sent.total()
    assert refused <= share, refused


@then("the other accounts' requests that met the goal are at least {share:g} of theirs")
def check_others(context, share):
    load = context.load
    others = [name for name in load.sent if name != f"a{ACCOUNTS - 1}"]
    shares = {name: load.punctual[name] / load.sent[name] for name in others}
    assert min(shares.values()) >= share, shares


@given("{count:d} engines with {load:g} times the work that they can do")
def make_engines(context, count, load):
    context.engines = EngineLoad(count, load)
    context.full_rate_per_s = context.engines.rate_per_s / load


@when("the engines run for {duration:d} ms")
def run_engines(context, duration):
    context.engines.run(duration)


@when("the load of the engines rises to {load:g} for {duration:d} ms")
def change_load(context, load, duration):
    context.engines.rate_per_s = load * context.full_rate_per_s
    context.engines.run(duration)


@when("only what is sent to engines from now on counts")
def reset_engines(context):
    context.engines.reset()


@then("the answers are worth at least {least:g} of what was asked")
def check_worth(context, least):
    share = context.engines.earned.total() / context.engines.owed.total()
    assert share >= least, (share, context.engines.counts)


@then('the answers of "{kind}" are worth at least {least:g} of what was asked')
def check_worth_of_kind(context, kind, least):
    share = context.engines.earned[kind] / context.engines.owed[kind]
    assert share >= least, share


@then("at least {share:g} of the answers meet the goal")
def check_goals(context, share):
    counts = context.engines.counts
    assert counts["punctual"] >= share * (counts["punctual"] + counts["late"]), counts


@then("half of the refusals come within {limit:d} ms")
def check_early_refusals(context, limit):
    held_ms = sorted(context.engines.held_ms)
    assert not held_ms or held_ms[len(held_ms) // 2] <= limit, held_ms
