"""Steps that inject a fault at each step of a request, in virtual time."""

import os

from behave import given, then, when
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from support.control_group import CONTROL_HOSTS, ENTRY_HOSTS
from support.request_world import FLEET, RequestWorld

from peridotfront.core.dispatcher_events import RequestState
from peridotfront.core.fleet import Fleet
from peridotfront.core.scheduler_events import FleetChanged
from peridotfront.core.verdicts import Verdict

KEY = "key-1"
REPEAT_INTERVAL_MS = 1000
REPEAT_LIMIT_MS = 25_000
FAULT_DURATION_MS = 4500
FUZZ_EXAMPLES = int(os.environ.get("PERIDOTFRONT_FUZZ_EXAMPLES", "12"))
FUZZ_STEPS = int(os.environ.get("PERIDOTFRONT_FUZZ_STEPS", "30"))


def request_state(world, request_id):
    active = world.hosts[world.holder].role.dispatcher.active_requests.get(request_id)
    return active.state if active else None


def is_answered(world, request_id):
    return world.attempts[request_id].verdict is not None


STEP_CONDITIONS = {
    "received": lambda world, request_id: True,
    "queued": lambda world, request_id: (
        request_state(world, request_id) is RequestState.QUEUED
    ),
    "claimed": lambda world, request_id: (
        request_state(world, request_id) is RequestState.CLAIMING
    ),
    "sent": lambda world, request_id: (
        request_state(world, request_id) is RequestState.RUNNING
    ),
    "streaming": lambda world, request_id: world.executions[KEY] == 1,
    "answered": is_answered,
}


def kill_upstreams(world):
    for upstream in world.upstreams.values():
        upstream.kill()


def revive_upstreams(world):
    for upstream in world.upstreams.values():
        upstream.is_up = True


def find_follower(world):
    return next(name for name in CONTROL_HOSTS if name != world.leader())


def lose_leader_disk(world):
    leader = world.await_leader()
    world.kill(leader)
    world.hosts[leader].lose_disk()
    world.restart(leader)


def isolate_data_centre(world):
    inside = {world.holder, "c1"}
    for inner_host in inside:
        for outer_host in set(world.hosts) - inside:
            world.cuts |= {(inner_host, outer_host), (outer_host, inner_host)}


def make_lossy(world):
    world.loss = 0.2
    world.doubling = 0.2
    world.delay_ms = (1, 60)


FAULTS = {
    "the entry host is killed": lambda w: w.kill(w.holder),
    "the entry host is killed and restarts": lambda w: (
        w.kill(w.holder),
        w.restart(w.holder),
    ),
    "the entry host is isolated": lambda w: w.isolate(w.holder),
    "the entry host is mute": lambda w: w.drop_outbound(w.holder),
    "the entry host is deaf": lambda w: w.drop_inbound(w.holder),
    "the entry host is frozen": lambda w: w.freeze(w.holder),
    "its data centre is cut off": isolate_data_centre,
    "the control leader is killed": lambda w: w.kill(w.await_leader()),
    "the control leader is isolated": lambda w: w.isolate(w.await_leader()),
    "the control leader is frozen": lambda w: w.freeze(w.await_leader()),
    "the control leader loses its disk": lose_leader_disk,
    "a control follower is killed": lambda w: w.kill(find_follower(w)),
    "the upstreams die": kill_upstreams,
    "the scheduler of its cell is killed": lambda w: w.kill(w.scheduler),
    "the scheduler of its cell is isolated": lambda w: w.isolate(w.scheduler),
    "the scheduler of its cell is frozen": lambda w: w.freeze(w.scheduler),
    "messages are lost, doubled and late": make_lossy,
    "the caller leaves": lambda w: w.disconnect_caller(w.first_request_id),
}


def is_final(attempt):
    return attempt.verdict in (Verdict.COMPLETED, Verdict.MAY_HAVE_RUN)


def repeat_until_final(world, service):
    """Repeat the request at another host, like its caller, until it has ended."""
    end_ms = world.now_ms + REPEAT_LIMIT_MS
    attempt = 1
    while world.now_ms < end_ms:
        attempt += 1
        request_id = world.submit(world.repeat_host, KEY, service, attempt=attempt)
        due_ms = world.now_ms + REPEAT_INTERVAL_MS
        while world.now_ms < due_ms and not is_answered(world, request_id):
            world.step()
            world.check_promises()
        if is_final(world.attempts[request_id]):
            return world.attempts[request_id]
        world.run_for(REPEAT_INTERVAL_MS // 2)
        heal_if_due(world)
    raise AssertionError("the repeated request did not end")


def heal_if_due(world):
    if world.fault_ms is not None and world.now_ms - world.fault_ms > FAULT_DURATION_MS:
        world.fault_ms = None
        world.loss = 0.0
        world.doubling = 0.0
        world.heal()
        revive_upstreams(world)


def choose_hosts(world, cell):
    """Choose entry hosts that do not schedule the cell of the request."""
    world.scheduler = world.hosts["e1"].role.scheduler_of(cell)
    candidates = [name for name in ENTRY_HOSTS if name != world.scheduler]
    world.holder, world.repeat_host = candidates


@given("three entry hosts, three control hosts and four upstreams in virtual time")
def given_world(context):
    context.world = RequestWorld(seed=7).ready()
    context.world.delay_ms = (12, 18)


@when("a request to {target} is {step} and {fault}")
def inject_fault(context, target, step, fault):
    world = context.world
    context.service = "pay" if target == "a plain service" else ""
    choose_hosts(world, "dc/pay" if context.service else "dc/engines")
    world.first_request_id = world.submit(world.holder, KEY, context.service)
    limit_ms = world.now_ms + 3000
    while not STEP_CONDITIONS[step](world, world.first_request_id):
        assert world.now_ms < limit_ms, f"the request was never {step}"
        world.step()
    world.fault_ms = world.now_ms
    FAULTS[fault](world)


@when("its caller sends it again to another entry host until it has ended")
def repeat_request(context):
    context.last_attempt = repeat_until_final(context.world, context.service)


@when("a host without upstreams gets it again")
def send_to_idle_host(context):
    world = context.world
    world.handle(world.repeat_host, FleetChanged(Fleet(version=2)))
    request_id = world.submit(world.repeat_host, KEY, context.service, attempt=2)
    world.run_for(1000)
    context.last_attempt = world.attempts[request_id]


@then("it is not refused as not run")
def check_not_refused_as_not_run(context):
    assert context.last_attempt.verdict in (Verdict.COMPLETED, Verdict.MAY_HAVE_RUN)
    context.world.check_promises()


@then("it was dispatched at most once and every final answer is true")
def check_guarantees(context):
    world = context.world
    world.loss = 0.0
    world.doubling = 0.0
    world.heal()
    world.run_for(6000)
    world.check_promises()
    world.check_all_answered()


@then("the answer is complete although the holder died")
def check_complete_answer(context):
    assert context.last_attempt.verdict is Verdict.COMPLETED, context.last_attempt
    assert context.world.executions[KEY] == 1


class RequestMachine(RuleBasedStateMachine):
    """Sends requests and brings faults about in any order; the oracle watches."""

    def __init__(self):
        super().__init__()
        self.world = RequestWorld(seed=3).ready()
        self.sent = []

    @rule(
        host=st.sampled_from(ENTRY_HOSTS),
        number=st.integers(0, 3),
        service=st.sampled_from(["", "pay"]),
    )
    def send_with_key(self, host, number, service):
        key = f"{service}-{number}"
        attempt = 1 + len([one for one in self.sent if one == key])
        self.sent.append(key)
        self.world.submit(host, key, service, attempt=attempt)

    @rule(host=st.sampled_from(ENTRY_HOSTS))
    def send_without_key(self, host):
        self.world.submit(host)

    @rule(duration_ms=st.sampled_from([10, 50, 200, 1000, 3000]))
    def wait(self, duration_ms):
        self.world.run_for(duration_ms)

    @rule(name=st.sampled_from(ENTRY_HOSTS + CONTROL_HOSTS))
    def kill(self, name):
        self.world.kill(name)

    @rule(name=st.sampled_from(ENTRY_HOSTS + CONTROL_HOSTS))
    def restart(self, name):
        if name in self.world.down:
            self.world.restart(name)

    @rule(name=st.sampled_from(ENTRY_HOSTS + CONTROL_HOSTS))
    def freeze(self, name):
        if name not in self.world.frozen:
            self.world.freeze(name)

    @rule(name=st.sampled_from(ENTRY_HOSTS + CONTROL_HOSTS))
    def thaw(self, name):
        if name in self.world.frozen:
            self.world.thaw(name)

    @rule(name=st.sampled_from(ENTRY_HOSTS + CONTROL_HOSTS))
    def isolate(self, name):
        self.world.isolate(name)

    @rule(name=st.sampled_from(ENTRY_HOSTS + CONTROL_HOSTS))
    def mute(self, name):
        self.world.drop_outbound(name)

    @rule(name=st.sampled_from(["g1", "g2", "s1", "s2"]))
    def kill_upstream(self, name):
        self.world.upstreams[name].kill()

    @rule(host=st.sampled_from(ENTRY_HOSTS))
    def have_no_upstream(self, host):
        self.world.handle(host, FleetChanged(Fleet(version=2)))

    @rule(host=st.sampled_from(ENTRY_HOSTS))
    def have_upstreams(self, host):
        self.world.handle(host, FleetChanged(FLEET))

    @rule()
    def make_lossy(self):
        make_lossy(self.world)

    @rule()
    def heal(self):
        self.world.loss = self.world.doubling = 0.0
        self.world.delay_ms = (1, 5)
        self.world.heal()
        revive_upstreams(self.world)

    @invariant()
    def promises_hold(self):
        self.world.check_promises()

    def teardown(self):
        self.heal()
        self.world.run_for(12_000)
        self.world.check_promises()
        self.world.check_all_answered()


@when("requests and faults come in any order")
def fuzz(context):
    run_state_machine_as_test(
        RequestMachine,
        settings=settings(max_examples=FUZZ_EXAMPLES, stateful_step_count=FUZZ_STEPS),
    )


@then("no request ran twice, every final answer was true and none was missing")
def check_fuzzing(context):
    """Do nothing: the machine checks after each step and at its end."""
