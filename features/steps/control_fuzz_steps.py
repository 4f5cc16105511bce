"""Random schedules of commands and faults for the control group and its hosts."""

import os

from behave import then, when
from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from support.control_group import CONTROL_HOSTS, ENTRY_HOSTS, ControlGroup

from peridotfront import wire
from peridotfront.core.control_state import ControlState
from peridotfront.core.control_types import OperatorProposal
from peridotfront.core.messages import (
    ChangeStatus,
    Claim,
    ClaimBatch,
    ClaimRequest,
    ClaimStatus,
    ConfigChange,
    ConfigProposal,
    ControlSnapshot,
    Outcome,
    OutcomeReport,
    Replica,
)
from peridotfront.core.verdicts import Reason, Verdict

CI_COMMAND_STEPS = 8000
CI_FAULT_STEPS = 800
STEPS_PER_RUN = 50
RETENTION_MS = 1000
SMALL = st.integers(min_value=0, max_value=3)
TIME = st.integers(min_value=0, max_value=400)


class CommandMachine(RuleBasedStateMachine):
    """State machine that applies commands to one replica, and later to another."""

    def __init__(self):
        super().__init__()
        self.ahead = ControlState()
        self.behind = ControlState()
        self.backlog = []
        self.time_ms = 0
        self.version = 0
        self.proposals = {}
        self.first = {}
        self.dispatchers = {}
        self.ended = {}
        self.holders = {}
        self.requests = 0

    def apply(self, command):
        self.backlog.append(command)
        return self.ahead.apply(command)

    @rule(number=st.integers(0, 30), lag=st.integers(-1, 2))
    def propose(self, number, lag):
        change_id = f"change-{number}"
        base = max(self.version - lag, 0)
        new = ConfigProposal(change_id, base, f"ann-{number}", change_id)
        proposal = self.proposals.setdefault(change_id, new)
        result = self.apply(ConfigChange(self.time_ms, proposal))
        if change_id in self.first:
            assert result == self.first[change_id]
            return
        self.first[change_id] = result
        is_current = proposal.base_version == self.version
        assert (result.status is ChangeStatus.ACCEPTED) == is_current
        self.version += is_current
        assert result.version == self.version

    @rule(key=SMALL, host=SMALL, epoch=SMALL, dead=SMALL, wait_ms=TIME)
    def claim(self, key, host, epoch, dead, wait_ms):
        self.time_ms += wait_ms
        self.requests += 1
        claim = Claim(f"k{key}", 1, max(epoch, 1), f"e{host}", 1, "up", False)
        request = ClaimRequest(f"r{self.requests}", claim)
        batch = ClaimBatch(
            time_ms=self.time_ms,
            claims=(request, request),
            dead_holders=(Replica(f"e{dead}", 1),),
            retention_ms=RETENTION_MS,
        )
        first, second = self.apply(batch).replies
        assert first == second or first.status is not ClaimStatus.GRANTED
        if first.status is ClaimStatus.GRANTED:
            self.granted(first.claim, request.request_id, epoch)
        elif first.status is ClaimStatus.ENDED and first.claim is not None:
            assert self.ended[claim.key][0] == first.outcome.verdict

    def granted(self, claim, request_id, epoch):
        key = claim.key
        verdict, ended_ms = self.ended.pop(key, (None, None))
        if claim.is_resume_only:
            assert verdict is None, "a take-over of an ended claim"
            assert epoch == claim.epoch
        elif verdict is not Verdict.NOT_RUN and key in self.dispatchers:
            age_ms = self.time_ms - (ended_ms if ended_ms is not None else 0)
            assert verdict is not None, "two may dispatch"
            assert age_ms >= RETENTION_MS, "ran again inside the retention"
            self.holders = {k: v for k, v in self.holders.items() if k[0] != key}
        elif verdict is Verdict.NOT_RUN and claim.epoch == 1:
            self.holders = {k: v for k, v in self.holders.items() if k[0] != key}
        if not claim.is_resume_only:
            self.dispatchers[key] = request_id
        recorded = self.holders.setdefault((key, claim.epoch), request_id)
        assert recorded == request_id, "two holders in one epoch"

    @rule(
        key=SMALL,
        host=SMALL,
        epoch=st.integers(1, 4),
        verdict=st.sampled_from(Verdict),
        wait_ms=TIME,
    )
    def report(self, key, host, epoch, verdict, wait_ms):
        self.time_ms += wait_ms
        outcome = Outcome(verdict, Reason.NONE)
        report = OutcomeReport(f"k{key}", epoch, outcome, f"e{host}", 1)
        before = self.ahead.claims.lookup(report.key)
        batch = ClaimBatch(self.time_ms, outcomes=(report,))
        (ack,) = self.apply(batch).acks
        record = self.ahead.claims.lookup(report.key)
        if ack.is_superseded or before.outcome is not None:
            return
        assert record.claim.holder_host == f"e{host}"
        if record.claim.is_resume_only:
            assert record.outcome.verdict is not Verdict.NOT_RUN
        self.ended[report.key] = (record.outcome.verdict, self.time_ms)

    @rule(count=st.integers(1, 20))
    def catch_up(self, count):
        for command in self.backlog[:count]:
            self.behind.apply(command)
        self.backlog = self.backlog[count:]

    @rule()
    def restore(self):
        data = wire.encode(self.ahead.snapshot())
        self.behind = ControlState()
        self.behind.restore(wire.decode(ControlSnapshot, data))
        self.backlog = []

    @invariant()
    def version_grows(self):
        assert self.ahead.configuration.version == self.version
        assert self.behind.configuration.version <= self.version

    def teardown(self):
        self.catch_up(len(self.backlog))
        assert self.behind.snapshot() == self.ahead.snapshot(), "replicas differ"


class FaultMachine(RuleBasedStateMachine):
    """State machine of random faults while operators and callers send requests."""

    @initialize(number=st.integers(0, 2**32), is_settled=st.booleans())
    def start(self, number, is_settled):
        self.group = ControlGroup(seed=number)
        self.requests = 0
        self.lost_disk = None
        for name in self.group.hosts:
            rate = self.group.random.choice([0.95, 1.0, 1.05])
            self.group.clock_rates[name] = rate
        if is_settled:
            self.group.await_leader()

    def control(self, number):
        return CONTROL_HOSTS[number % len(CONTROL_HOSTS)]

    def any_host(self, number):
        names = CONTROL_HOSTS + ENTRY_HOSTS
        return names[number % len(names)]

    @rule(ticks=st.integers(1, 10))
    def short_time(self, ticks):
        self.group.run_for(ticks * 10)

    @rule(ticks=st.integers(50, 600))
    def long_time(self, ticks):
        self.group.run_for(ticks * 10)

    @rule(at=SMALL, number=st.integers(0, 12), base=st.integers(0, 6))
    def propose(self, at, number, base):
        proposal = self.group.proposal(f"change-{number}-{base}", base)
        name = self.group.leader() or self.control(at)
        self.group.ask(name, lambda t: OperatorProposal(t, proposal))

    @rule(at=SMALL, key=SMALL, epoch=st.sampled_from([1, 1, 1, 2, 3]))
    def want(self, at, key, epoch):
        self.requests += 1
        name = ENTRY_HOSTS[at % len(ENTRY_HOSTS)]
        self.group.request_claim(name, f"key-{key}", f"r{self.requests}", epoch)

    @rule(number=st.integers(0, 5))
    def kill(self, number):
        self.group.kill(self.any_host(number))

    @rule(number=st.integers(0, 5))
    def restart(self, number):
        name = self.any_host(number)
        self.group.kill(name)
        self.group.restart(name)

    @rule()
    def kill_leader(self):
        if leader := self.group.leader():
            self.group.kill(leader)

    @rule(number=SMALL)
    def lose_disk(self, number):
        name = self.control(number)
        if self.lost_disk is not None or not self.has_all_disks():
            return
        self.lost_disk = name
        self.group.kill(name)
        self.group.hosts[name].lose_disk()
        self.group.restart(name)

    def has_all_disks(self):
        """Return whether all three disks belong to voters with the same log."""
        hosts = [self.group.hosts[name] for name in CONTROL_HOSTS]
        disks = {(host.name, host.disk.incarnation) for host in hosts}
        voters = [{(v.host, v.incarnation) for v in h.raft.voters} for h in hosts]
        return all(v == disks for v in voters) and self.group.replicas_agree()

    @rule(number=st.integers(0, 5))
    def freeze(self, number):
        name = self.any_host(number)
        if name not in self.group.frozen and name not in self.group.down:
            self.group.freeze(name)

    @rule(
        number=st.integers(0, 5),
        how=st.sampled_from(["isolate", "drop_outbound", "drop_inbound"]),
    )
    def cut(self, number, how):
        getattr(self.group, how)(self.any_host(number))

    @rule()
    def heal(self):
        self.group.heal()

    @rule(
        loss=st.sampled_from([0.0, 0.0, 0.05, 0.3]),
        doubling=st.sampled_from([0.0, 0.0, 0.3]),
        delay_ms=st.sampled_from([(1, 5), (1, 50), (1, 400)]),
    )
    def network(self, loss, doubling, delay_ms):
        self.group.loss = loss
        self.group.doubling = doubling
        self.group.delay_ms = delay_ms

    @invariant()
    def nothing_ran_twice(self):
        if hasattr(self, "group"):
            self.group.oracle.check_runs()

    def teardown(self):
        if not hasattr(self, "group"):
            return
        group = self.group
        self.network(0.0, 0.0, (1, 5))
        group.heal()
        group.await_leader()
        for key in {claim[0] for claim in group.oracle.grants}:
            end = group.settle("e2", key, limit_ms=60_000)
            assert group.settle("e3", key) == end, "two ends of one request"
        for change_id, result in list(group.oracle.results.items()):
            base = int(change_id.rsplit("-", 1)[1])
            assert group.change(group.proposal(change_id, base)) == result
        group.check()


def run(machine, ci_steps):
    steps = int(os.environ.get("PERIDOTFRONT_FUZZ_STEPS", ci_steps))
    number = os.environ.get("PERIDOTFRONT_FUZZ_SEED")
    is_long = "PERIDOTFRONT_FUZZ_STEPS" in os.environ
    if number is not None:
        machine = seed(int(number))(machine)
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=max(steps // STEPS_PER_RUN, 1),
            stateful_step_count=STEPS_PER_RUN,
            derandomize=number is None and not is_long,
        ),
    )


@when("random commands are applied in the order of a log")
def random_commands(context):
    run(CommandMachine, CI_COMMAND_STEPS)


@when("random faults strike control and entry hosts")
def random_faults(context):
    run(FaultMachine, CI_FAULT_STEPS)


@then("the oracle of the control group agrees")
def agrees(context):
    """A violation raises an error during the run, so nothing is left to check."""
