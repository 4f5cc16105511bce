"""Random schedules of faults against the replicated log."""

import os
import sys
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


class RaftMachine(RuleBasedStateMachine):
    """Runs faults and requests in any order against one group."""

    @initialize(
        count=st.sampled_from([3, 3, 3, 5, 2, 1]),
        number=st.integers(min_value=0, max_value=2**32),
        is_founded=st.booleans(),
    )
    def found(self, count, number, is_founded):
        self.value = 0
        self.group = Group("abcde"[:count], seed=number)
        for host in self.group.hosts.values():
            host.clock_rate = self.group.random.choice([0.8, 1.0, 1.25])
        if is_founded:
            self.group.run_until(self.group.settled)

    def host(self, number):
        return self.group.names[number % len(self.group.names)]

    @rule(ticks=st.integers(min_value=1, max_value=10))
    def short_time(self, ticks):
        self.group.run_for(ticks * 10)

    @rule(ticks=st.integers(min_value=50, max_value=300))
    def long_time(self, ticks):
        self.group.run_for(ticks * 10)

    @rule(number=HOST, count=st.integers(min_value=1, max_value=12))
    def write(self, number, count):
        for _ in range(count):
            self.value += 1
            self.group.propose(self.host(number), self.value)

    @rule(count=st.integers(min_value=1, max_value=12))
    def write_at_leader(self, count):
        leader = self.group.leader()
        if leader is not None:
            self.write(self.group.names.index(leader.name), count)

    @rule(number=HOST)
    def read(self, number):
        self.group.read(self.host(number))

    @rule()
    def read_at_leaders(self):
        for name, host in self.group.hosts.items():
            if host.raft is not None and host.raft.is_leader:
                self.group.read(name)

    @rule(number=HOST)
    def crash(self, number):
        self.group.crash(self.host(number))

    @rule(number=HOST, writes=st.integers(min_value=1, max_value=4))
    def lose_power(self, number, writes):
        self.group.lose_power(self.host(number), writes)

    @rule()
    def start_all(self):
        for name, host in self.group.hosts.items():
            if host.raft is None:
                self.group.start(name)

    @rule(number=HOST, is_started=st.booleans())
    def lose_disk(self, number, is_started):
        name = self.host(number)
        if self.group.may_lose_disk(name):
            self.group.lose_disk(name)
            if is_started:
                self.group.start(name)

    @rule()
    def lose_disk_of_leader(self):
        leader = self.group.leader()
        if leader is not None and self.group.may_lose_disk(leader.name):
            self.group.lose_disk(leader.name)
            self.group.start(leader.name)

    @rule(number=HOST)
    def freeze(self, number):
        self.group.freeze(self.host(number))

    @rule()
    def freeze_leader(self):
        leader = self.group.leader()
        if leader is not None:
            self.group.freeze(leader.name)

    @rule()
    def thaw_all(self):
        for name, host in self.group.hosts.items():
            if host.is_frozen:
                self.group.thaw(name)

    @rule(sender=HOST, receiver=HOST)
    def cut(self, sender, receiver):
        self.group.cut(self.host(sender), self.host(receiver))

    @rule(number=HOST)
    def isolate(self, number):
        self.group.isolate(self.host(number))

    @rule()
    def heal(self):
        self.group.heal()

    @rule(
        loss=st.sampled_from([0.0, 0.0, 0.05, 0.3]),
        doubling=st.sampled_from([0.0, 0.0, 0.3]),
        delay_ms=st.sampled_from([5, 5, 80, 400, 2000]),
    )
    def change_network(self, loss, doubling, delay_ms):
        self.group.loss = loss
        self.group.doubling = doubling
        self.group.delay_ms = (1, delay_ms)

    @rule(number=HOST)
    def compact(self, number):
        name = self.host(number)
        host = self.group.hosts[name]
        if host.raft is not None and not host.is_frozen:
            self.group.compact(name)

    def teardown(self):
        if not hasattr(self, "group"):
            return
        group = self.group
        group.recover()
        group.run_until(group.settled, RECOVERY_LIMIT_MS)
        for host in group.hosts.values():
            lost = group.completed - set(host.applied)
            assert not lost, f"host {host.name} misses the completed writes {lost}"


@given("the random faults of the settings")
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
    run_state_machine_as_test(context.machine, settings=context.fuzz)


@then("no rule was broken")
def no_rule_broken(context):
    pass
