"""Steps that count what a decision of the leader costs."""

from unittest.mock import patch

from behave import then, when
from support.engine_load import EngineLoad
from support.plain_decisions import RULES, plain_rules

from benchmarks.instruction_count import InstructionCounter
from benchmarks.leader_cost import LONG_PROMPT_TOKENS, SLOTS, LeaderLoad
from benchmarks.scenarios import QUICK_MS, Scenario, our_driver, simulate
from peridotfront.core.placement import Upstream
from peridotfront.core.scheduler import CellScheduler

DECISIONS = 4
WAITING = 1000
SEED = 1
ENGINE_LOADS = ((6, 0.8), (6, 2.0), (39, 2.0))
ENGINE_LOAD_MS = 4000


def count_of(work):
    """Return the instructions of a piece of work, after the same work before it."""
    work()
    return InstructionCounter().run(lambda: [work() for _ in range(DECISIONS)])


def count_decision(kind, upstreams):
    """Return the instructions of decisions under a kind of load."""
    if kind == "long prompts":
        load = LeaderLoad(upstreams, prompt_tokens=LONG_PROMPT_TOKENS)
    else:
        load = LeaderLoad(upstreams)
    load.fill(upstreams * SLOTS if kind == "refusals" else 0)
    refused = load.refused
    count = count_of(load.refuse if kind == "refusals" else load.decide)
    assert (load.refused > refused) == (kind == "refusals"), load.refused
    return count


@when("a decision with {kind} is counted at 39, 150 and 400 upstreams")
def count_decisions(context, kind):
    context.counts = {n: count_decision(kind, n) for n in (39, 150, 400)}


@then("its instructions grow at most in proportion to the upstreams")
def proportional(context):
    few = min(context.counts)
    for upstreams, count in context.counts.items():
        assert count <= context.counts[few] * upstreams / few, context.counts


def count_lowest_refusal(slots):
    """Return the instructions of refusals where only their own tier runs."""
    load = LeaderLoad(39, lowest_tier=1, slots=slots)
    load.fill(load.slots)
    refused = load.refused
    count = count_of(load.refuse)
    assert load.refused == refused + DECISIONS + 1, load.refused
    return count


@when("a refusal of the lowest tier is counted at 39 upstreams of 6 and 24 slots")
def count_lowest_refusals(context):
    context.pair = [count_lowest_refusal(6), count_lowest_refusal(24)]


def count_beside_accounts(accounts):
    """Return the instructions of decisions while slot requests of accounts wait."""
    load = LeaderLoad(39, accounts)
    load.fill(WAITING)
    assert load.waiting > WAITING / 2, load.waiting
    return count_of(load.decide)


@when("a decision is counted where 5 and 1000 accounts wait")
def count_beside_waiting(context):
    context.pair = [count_beside_accounts(5), count_beside_accounts(3100)]


@then("its instructions grow by at most {percent:d} in 100")
def grow_little(context, percent):
    few, many = context.pair
    assert many <= few * (1 + percent / 100), context.pair


def count_asked(upstreams):
    """Return how many upstreams are asked in a decision whether they suit it."""
    load = LeaderLoad(upstreams)
    load.fill(0)
    with patch.object(Upstream, "suits", return_value=True) as suits:
        load.decide()
    return suits.call_count


@when("a decision with short prompts is played at 39 and 400 upstreams")
def count_asked_upstreams(context):
    context.asked = [count_asked(39), count_asked(400)]


@then("as many upstreams are asked at both sizes whether they suit it")
def as_many_asked(context):
    few, many = context.asked
    assert few == many, context.asked


def play_loads():
    """Return all that the schedulers do in seeded loads, with the times."""
    actions = []
    handle = CellScheduler.handle

    def recorded(scheduler, event, now_ms):
        for action in handle(scheduler, event, now_ms):
            actions.append((now_ms, action))
            yield action

    with patch.object(CellScheduler, "handle", recorded):
        simulate(Scenario("load", "gold", 2.0), our_driver(), SEED, QUICK_MS)
        for engines, load in ENGINE_LOADS:
            EngineLoad(engines, load, SEED).run(ENGINE_LOAD_MS)
    return actions


@when("seeded loads are played with the plain rules and with ours")
def play_both(context):
    used = set()
    with plain_rules(used):
        context.plain = play_loads()
    assert used == {rule.__name__ for _, _, rule in RULES}, used
    context.ours = play_loads()


@then("both send the same messages at the same times")
def same_messages(context):
    assert len(context.ours) > 0
    assert context.ours == context.plain
