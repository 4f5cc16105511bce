"""Steps that run the benchmark and compare its figures with the limits."""

from dataclasses import dataclass
from functools import cache, partial

from behave import then, when

from benchmarks.baselines import BASELINES
from benchmarks.decision_cost import measure
from benchmarks.policy import FAULTS
from benchmarks.scenarios import (
    FULL_MS,
    QUICK_MS,
    Scenario,
    our_driver,
    run,
    simulate,
)

SEED = 1
SEEDS = (1, 2)
ROUND_MS = 10
CYCLES = 200


OURS = {name: partial(our_driver, workload=name) for name in ("gold", "school")}


@dataclass(frozen=True)
class Runs:
    """Figures of a scenario, summed over the seeds."""

    figures: tuple

    def total(self, value):
        return sum(map(value, self.figures))

    @property
    def goodput_tokens(self):
        return self.total(lambda figures: figures.goodput_tokens)

    @property
    def goodput(self):
        return self.total(lambda figures: figures.goodput)

    @property
    def hit_share(self):
        oracle = self.total(lambda figures: figures.oracle_hit_tokens)
        return self.total(lambda figures: figures.hit_tokens) / oracle

    @property
    def waste_per_answer(self):
        complete = self.total(
            lambda figures: sum(tier.whole for tier in figures.tiers.values())
        )
        return self.total(lambda figures: figures.wasted) / max(1, complete)


@cache
def runs(scenario, make_driver):
    return Runs(tuple(run(scenario, make_driver(), seed, FULL_MS) for seed in SEEDS))


def add_figures(context, figures):
    context.figures = [*getattr(context, "figures", []), figures]


@when('the benchmark runs "{name}"')
def run_fault(context, name):
    scenario = next(fault for fault in FAULTS if fault.name == name)
    driver = our_driver(cells=scenario.cells)
    figures, context.simulation = simulate(scenario, driver, SEED, QUICK_MS)
    add_figures(context, figures)


@when('the benchmark runs workload "{workload}" at load {load:g}')
def run_load(context, workload, load):
    context.work = Scenario("load", workload, load)
    add_figures(context, runs(context.work, OURS[workload]))


@when("every baseline runs it too")
def run_baselines(context):
    context.baselines = [runs(context.work, kind) for kind in BASELINES]


@when("decisions are timed at {upstreams:d} upstreams and {accounts:d} accounts")
def time_decisions(context, upstreams, accounts):
    context.times_us = measure(upstreams, accounts, CYCLES)[:2]


@then("there is no inversion, no second dispatch and no false refusal")
def no_violations(context):
    figures = context.figures[-1]
    violations = (figures.inversions, figures.double_dispatches, figures.false_not_run)
    assert violations == (0, 0, 0), violations


@then("every request has an answer")
def all_answered(context):
    assert context.figures[-1].unanswered == 0


@then("no refusal comes later than its deadline and one round")
def not_late(context):
    late_ms = context.figures[-1].late_refusal_max_ms
    assert late_ms <= ROUND_MS, late_ms


@then("tier {tier:d} keeps {share:g} of its goodput")
def tier_keeps(context, tier, share):
    calm, strain = (figures.tiers[tier].share for figures in context.figures)
    assert strain >= share * calm, (strain, calm)


@then("the good tokens are at least {share:g} of those before")
def tokens_keep(context, share):
    before, after = (figures.goodput_tokens for figures in context.figures)
    assert after >= share * before, after / before


@then("the good tokens are at least {factor:g} times the best baseline's")
def tokens_above(context, factor):
    best = max(figures.goodput_tokens for figures in context.baselines)
    ours = context.figures[-1].goodput_tokens
    assert ours >= factor * best, ours / best


@then("the good answers are at least {factor:g} times the best baseline's")
def answers_above(context, factor):
    best = max(figures.goodput for figures in context.baselines)
    ours = context.figures[-1].goodput
    assert ours >= factor * best, ours / best


@then("prefix hits are at least {share:g} of the oracle's")
def hits(context, share):
    assert context.figures[-1].hit_share >= share, context.figures[-1].hit_share


@then(
    "the wasted tokens per complete answer are at most {share:g} of the best baseline's"
)
def waste_below(context, share):
    best = min(figures.waste_per_answer for figures in context.baselines)
    ours = context.figures[-1].waste_per_answer
    assert ours <= share * best, ours / best


@then("at most {count:d} upstreams died")
def deaths(context, count):
    assert 1 <= context.figures[-1].deaths <= count


@then("only the poison request is refused as poison")
def only_poison(context):
    refused = [job for job in context.simulation.jobs if job.reason == "poison"]
    assert refused
    assert all(job.is_poison for job in refused)


@then("no request was dispatched to it more than 2000 ms after it began to leave")
def no_late_dispatch(context):
    assert context.simulation.leaving_since_ms
    assert context.figures[-1].leaving_dispatches == 0


@then("at least {share:g} of the retries are admitted")
def admitted(context, share):
    figures = context.figures[-1]
    assert figures.returned > 0
    ratio = figures.admitted_on_return / figures.returned
    assert ratio >= share, ratio


@then("one decision takes {limit:d} us at most")
def decision_time(context, limit):
    assert max(context.times_us) <= limit, context.times_us
