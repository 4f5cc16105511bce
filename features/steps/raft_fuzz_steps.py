"""Random schedules of faults against the replicated log."""

import os
import sys
from collections import Counter
from pathlib import Path

from behave import given, then, when
from hypothesis import Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from support.raft_group import Group

CI_STEPS = 4000
STEPS_PER_RUN = 50
RECOVERY_LIMIT_MS = 120_000
HOST = st.integers(min_value=0, max_value=4)


FAULTS = ("crash", "power", "disk", "freeze", "isolate", "deaf", "mute", "restart")


class RaftMachine(RuleBasedStateMachine):
    """State machine of faults and requests in random order against one group."""

    @initialize(
        count=st.sampled_from([3, 3, 5, 3, 2, 1]),
        number=st.integers(min_value=0, max_value=2**32),
        is_founded=st.sampled_from([True, True, True, False]),
    )
    def found(self, count, number, is_founded):
        self.value = 0
        self.group = Group("abcde"[:count], seed=number)
        for host in self.group.hosts.values():
            host.clock_rate = self.group.random.choice([0.8, 1.0, 1.25])
        if is_founded:
            self.group.run_until(self.group.is_settled)

    def host(self, number):
        """Return the leader's name for 0, else the name of the host by number."""
        leader = self.group.leader()
        if number == 0 and leader is not None:
            return leader.name
        return self.group.names[number % len(self.group.names)]

    @rule(ticks=st.integers(min_value=1, max_value=20))
    def pass_short_time(self, ticks):
        self.group.run_for(ticks * 10)

    @rule(ticks=st.integers(min_value=60, max_value=200))
    def pass_long_time(self, ticks):
        self.group.run_for(ticks * 10)

    @rule(count=st.integers(min_value=1, max_value=12))
    def write(self, count):
        for name in self.group.leader_names():
            for _ in range(count):
                self.value += 1
                self.group.propose(name, self.value)

    @rule(count=st.integers(min_value=1, max_value=5), ticks=st.integers(1, 40))
    def write_and_wait(self, count, ticks):
        self.write(count)
        self.group.run_for(ticks * 10)

    @rule()
    def read(self):
        for name in self.group.leader_names():
            self.group.read(name)

    @rule()
    def compact(self):
        for name, host in self.group.hosts.items():
            if host.raft is not None and not host.is_frozen:
                self.group.compact(name)

    @rule(kind=st.sampled_from(FAULTS), number=HOST, writes=st.integers(1, 4))
    def break_host(self, kind, number, writes):
        group = self.group
        name = self.host(number)
        others = [other for other in group.names if other != name]
        if kind == "crash":
            group.crash(name)
        elif kind == "power":
            group.lose_power(name, writes)
        elif kind == "restart":
            group.crash(name)
            group.start(name)
        elif kind == "disk" and group.may_lose_disk(name):
            group.lose_disk(name)
            group.start(name)
        elif kind == "freeze":
            group.freeze(name)
        if kind in ("isolate", "deaf"):
            group.cuts |= {(other, name) for other in others}
        if kind in ("isolate", "mute"):
            group.cuts |= {(name, other) for other in others}

    @rule(
        kind=st.sampled_from(FAULTS),
        count=st.integers(1, 5),
        ticks=st.integers(0, 3),
        is_compacted=st.booleans(),
        is_recovered=st.booleans(),
    )
    def depose(self, kind, count, ticks, is_compacted, is_recovered):
        """Write at a leader that fails, and then at the next leader."""
        group = self.group
        if group.leader() is None:
            self.recover_and_elect()
        self.write(count)
        group.run_for(ticks * 10)
        self.break_host(kind, 0, count)
        self.write(count)
        group.run_for(1500)
        self.write(count)
        self.read()
        group.run_for(100)
        if is_compacted:
            self.compact()
        if is_recovered:
            group.recover()

    @rule(number=HOST, other=HOST, count=st.integers(1, 5))
    def repair_and_lose(self, number, other, count):
        """Lose a disk, let it be repaired, and lose another disk right after."""
        group = self.group
        self.break_host("disk", number, 1)
        self.write(count)
        group.run_for(1500)
        self.break_host("disk", other, 1)
        self.write(count)

    @rule(pattern=st.integers(min_value=1, max_value=30))
    def split(self, pattern):
        self.group.split(pattern)

    @rule(
        loss=st.sampled_from([0.0, 0.0, 0.05, 0.3]),
        doubling=st.sampled_from([0.0, 0.0, 0.3]),
        delay_ms=st.sampled_from([5, 5, 40, 120, 400]),
    )
    def change_network(self, loss, doubling, delay_ms):
        self.group.loss = loss
        self.group.doubling = doubling
        self.group.delay_ms = (1, delay_ms)

    @rule()
    def heal(self):
        self.group.heal()

    @rule()
    def recover(self):
        self.group.recover()

    @rule()
    def recover_and_elect(self):
        self.group.recover()
        self.group.run_for(2000)

    def teardown(self):
        if not hasattr(self, "group"):
            return
        group = self.group
        group.recover()
        group.run_until(group.is_settled, RECOVERY_LIMIT_MS)
        for host in group.hosts.values():
            lost = group.completed - set(host.applied)
            assert not lost, f"host {host.name} misses the completed writes {lost}"
        TOTALS.update(group.counts())


TOTALS = Counter()


@given("random faults as set in the environment")
def fuzz_settings(context):
    steps = os.environ.get("PERIDOTFRONT_FUZZ_STEPS")
    examples = max(1, int(steps or CI_STEPS) // STEPS_PER_RUN)
    context.machine = RaftMachine
    context.fuzz = settings(
        max_examples=examples,
        stateful_step_count=STEPS_PER_RUN,
        derandomize=steps is None,
        print_blob=False,
        phases=(Phase.generate, Phase.shrink) if steps else (Phase.generate,),
    )
    number = os.environ.get("PERIDOTFRONT_FUZZ_SEED")
    if number is not None:
        context.machine = seed(int(number))(RaftMachine)


@when("they are run against the control group")
def run_fuzz(context):
    TOTALS.clear()
    run_state_machine_as_test(context.machine, settings=context.fuzz)


@then("no invariant was violated, and each type of event occurred")
def all_events_occurred(context):
    print(f"fuzz: {dict(TOTALS)}")
    kinds = ("write", "read", "election", "truncation", "member change", "snapshot")
    assert all(TOTALS[kind] > 0 for kind in kinds), TOTALS
