"""Steps that compare the scheduler with an oracle over random event sequences."""

from behave import then, when
from cell_fixtures import MODEL, Cell, make_fleet
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from peridotfront.core.actions import Tick
from peridotfront.core.messages import (
    CancelSlotRequest,
    Grant,
    HeldSlot,
    Preempt,
    ReleaseCause,
    SlotRefusal,
    UpstreamReport,
)
from peridotfront.core.scheduler_events import HostLost

ENGINES = 3
SLOTS = 4
HOSTS = ("a", "b", "c")
CAUSES = tuple(ReleaseCause)
MACHINES = 60
STEPS = 60
SHED_REASONS = ("overloaded", "evicted")


class SchedulerMachine(RuleBasedStateMachine):
    """State machine whose oracle records the queued requests and held slots."""

    def __init__(self):
        super().__init__()
        self.cell = Cell(make_fleet(ENGINES, SLOTS))
        self.waiting = {}
        self.held = {}
        self.leaving = set()
        self.count = 0
        self.checked = len(self.cell.sent)

    def check_answers(self):
        """Check each new answer against the oracle, in order."""
        for send in self.cell.sent[self.checked :]:
            message = send.message
            if isinstance(message, Grant):
                self.granted(send.to_host, message)
            elif isinstance(message, SlotRefusal):
                self.refused(message)
            elif isinstance(message, Preempt):
                self.preempted(message)
        self.checked = len(self.cell.sent)
        self.check_slots()

    def granted(self, host, grant):
        if grant.request_id in self.held:
            assert self.held[grant.request_id] == (host, grant.upstream)
            return
        assert self.waiting.pop(grant.request_id) == host, "granted to another host"
        assert grant.upstream not in self.leaving, "grant at a leaving upstream"
        self.held[grant.request_id] = (host, grant.upstream)
        at_upstream = [name for _, name in self.held.values() if name == grant.upstream]
        assert len(at_upstream) <= SLOTS, "more grants than slots"

    def refused(self, refuse):
        tier = self.cell.slot_requests[refuse.request_id].tier
        assert refuse.request_id in self.waiting, "refused without a slot request"
        del self.waiting[refuse.request_id]
        if refuse.reason.value in SHED_REASONS:
            lower = [
                name
                for name in (*self.waiting, *self.held)
                if self.cell.slot_requests[name].tier > tier
                and not self.is_leaving(name)
            ]
            assert not lower, f"tier {tier} refused before {lower}"
            assert refuse.retry_after_ms > 0

    def is_leaving(self, name):
        return name in self.held and self.held[name][1] in self.leaving

    def preempted(self, preempt):
        tier = self.cell.slot_requests[preempt.request_id].tier
        assert preempt.request_id in self.held
        assert any(self.cell.slot_requests[name].tier < tier for name in self.waiting)

    def check_slots(self):
        dump = self.cell.scheduler.dump()
        for upstream in dump.upstreams:
            expected = sum(name == upstream.name for _, name in self.held.values())
            assert upstream.slots == expected, (upstream, self.held)
        assert sum(queue.wants for queue in dump.queues) == len(self.waiting)

    @rule(
        tier=st.integers(1, 3),
        host=st.sampled_from(HOSTS),
        account=st.sampled_from(("large", "small")),
        prompt=st.sampled_from((10, 100, 2000, 6000)),
        fingerprint=st.integers(0, 5),
        deadline=st.sampled_from((500, 1500, 10_000)),
    )
    def request_slot(self, tier, host, account, prompt, fingerprint, deadline):
        self.count += 1
        name = f"r{self.count}"
        self.waiting[name] = host
        self.cell.request_slot(
            name,
            tier,
            host,
            model=MODEL,
            client_account=account,
            prompt_tokens=prompt,
            fingerprint=100 * self.count + fingerprint,
            deadline_ms=deadline,
        )
        self.check_answers()

    @rule(data=st.data())
    def repeat_slot_request(self, data):
        names = sorted((*self.waiting, *self.held))
        if not names:
            return
        name = data.draw(st.sampled_from(names))
        host = self.waiting.get(name) or self.held[name][0]
        self.cell.receive(host, self.cell.slot_requests[name])
        self.check_answers()

    @rule(data=st.data(), cause=st.sampled_from(CAUSES))
    def release(self, data, cause):
        if not self.held:
            return
        name = data.draw(st.sampled_from(sorted(self.held)))
        del self.held[name]
        first_ms = 50 if cause is ReleaseCause.COMPLETED else -1
        self.cell.release(name, cause, first_token_ms=first_ms)
        self.check_answers()

    @rule(data=st.data())
    def foreign_release(self, data):
        if not self.held:
            return
        name = data.draw(st.sampled_from(sorted(self.held)))
        other = next(host for host in HOSTS if host != self.held[name][0])
        self.cell.release(name, host=other)
        self.check_answers()

    @rule(data=st.data())
    def cancel(self, data):
        names = sorted(self.waiting)
        if not names:
            return
        name = data.draw(st.sampled_from(names))
        host = self.waiting.pop(name)
        self.cell.receive(host, CancelSlotRequest(name, self.cell.scheduler.cell))
        self.check_answers()

    @rule(data=st.data())
    def late_message(self, data):
        """Send a duplicate release for a slot that is no longer held."""
        ended = sorted(
            set(self.cell.slot_requests) - set(self.held) - set(self.waiting)
        )
        granted = [name for name in ended if self.cell.answers(name, Grant)]
        if granted:
            self.cell.release(data.draw(st.sampled_from(granted)))
            self.check_answers()

    @rule(ticks=st.integers(1, 60))
    def pass_time(self, ticks):
        for _ in range(ticks):
            self.cell.now_ms += 10
            if self.cell.now_ms % 500 == 0:
                self.renew()
            self.cell.step(Tick())
            self.check_answers()

    def renew(self):
        self.report_leaving()
        for name, (host, upstream) in self.held.items():
            held = HeldSlot(
                self.cell.slot_requests[name], upstream, self.cell.now_ms // 20
            )
            self.cell.receive(host, held)

    @rule(host=st.sampled_from(HOSTS))
    def lose_host(self, host):
        self.waiting = {
            name: holder for name, holder in self.waiting.items() if holder != host
        }
        self.cell.step(HostLost(host))
        self.check_answers()

    @rule(upstream=st.integers(0, ENGINES - 1))
    def leave(self, upstream):
        self.leaving.add(f"e{upstream}")
        self.report_leaving()
        self.check_answers()

    def report_leaving(self):
        for name in sorted(self.leaving):
            report = UpstreamReport(
                upstream=name,
                cell=self.cell.scheduler.cell,
                is_alive=True,
                is_leaving=True,
                running=0,
                queued_prefill_tokens=0,
                used_kv_tokens=0,
                capacity_kv_tokens=0,
                cache_sequence=-1,
            )
            self.cell.receive("a", report)

    def teardown(self):
        """Release all slots; each slot request must get an answer."""
        for name in list(self.held):
            del self.held[name]
            self.cell.release(name)
            self.check_answers()
        for _ in range(5000):
            if not self.waiting:
                break
            self.cell.now_ms += 10
            self.cell.step(Tick())
            self.check_answers()
            for name in list(self.held):
                del self.held[name]
                self.cell.release(name)
                self.check_answers()
        assert not self.waiting, f"no answer: {self.waiting}"


@when("the scheduler runs through random event sequences")
def fuzz(context):
    context.failure = None
    config = settings(
        max_examples=MACHINES,
        stateful_step_count=STEPS,
        phases=(Phase.explicit, Phase.generate),
    )
    try:
        run_state_machine_as_test(SchedulerMachine, settings=config)
    except AssertionError as failure:
        context.failure = failure


@then("every answer matches the oracle")
def agrees(context):
    assert context.failure is None, context.failure
