"""Steps for rollouts with the real programs."""

import asyncio

from behave import then, when
from support.rollout_processes import NEW, ORDER_TIMEOUT_S, SERVICE, RolloutProcesses

from soak.rollout_operator import RETRY_S

TROUBLES = {"the leader dies": "leader", "all control hosts die": "controls"}


class LeaderlessOrder(RolloutProcesses):
    """Programs of which two of three control hosts are killed before an order.

    ``refusal`` is the status and ``Retry-After`` of the order at the third, and
    ``accepted`` the status once the others are back.
    """

    async def _roll_out(self, deployment):
        await self._list_new_version()
        operator = self.operator_of_rollouts
        first, *others = deployment.controls
        await asyncio.gather(*[host.stop(9) for host in others])
        self.ordered_s = self.now_s()
        self.refusal = await self._await_refusal(operator, first)
        self.unread = await operator.read(SERVICE)
        for host in others:
            await host.start()
        self.accepted = await operator.order(
            SERVICE, NEW, self.period_s, ORDER_TIMEOUT_S
        )
        self.state = await operator.read(SERVICE)

    async def _await_refusal(self, operator, host):
        """Return the first answer that is no redirection to a host that is gone."""
        end_s = self.now_s() + ORDER_TIMEOUT_S
        while self.now_s() < end_s:
            refusal = await operator.send_order(SERVICE, NEW, self.period_s, host)
            if refusal[0]:
                return refusal
            await asyncio.sleep(RETRY_S)
        return 0, ""


def play(context, period, **options):
    context.processes = RolloutProcesses(period_s=float(period), **options)
    asyncio.run(context.processes.play(0))


@when("real programs roll out a good version in {period:d} s")
def roll_out_good(context, period):
    play(context, period)


@when('real programs roll out a version that {kind} "{moment}" in {period:d} s')
def roll_out_bad(context, kind, moment, period):
    play(context, period, fault_kind=kind, moment=moment)


@when("real programs roll out a good version in {period:d} s while {who}")
def roll_out_good_in_trouble(context, period, who):
    play(context, period, trouble=TROUBLES[who])


@when(
    'real programs roll out a version that {kind} "{moment}" in {period:d} s'
    " while {who}"
)
def roll_out_bad_in_trouble(context, kind, moment, period, who):
    play(context, period, fault_kind=kind, moment=moment, trouble=TROUBLES[who])


@when("a rollout is ordered at a control host whose two peers are killed")
def order_without_leader(context):
    context.processes = LeaderlessOrder()
    asyncio.run(context.processes.play(0))


@then('the rollout of the programs is "{state}"')
def has_state(context, state):
    processes = context.processes
    assert processes.state == state, (processes.state, summary(processes))


@then("no caller got a broken answer")
def none_broken(context):
    processes = context.processes
    assert not processes.broken, (processes.broken[:5], summary(processes))
    assert not processes.violations, processes.violations[:5]
    assert processes.whole, summary(processes)


@then("the programs exceeded no limit on a bad version")
def no_limit_exceeded(context):
    processes = context.processes
    assert not processes.violations, (processes.violations[:5], summary(processes))
    assert processes.bad_answers_s, "the version was never bad"


@then("it is answered with 503 and a time for another try")
def refused(context):
    status, retry_after = context.processes.refusal
    assert status == 503, context.processes.refusal
    assert float(retry_after) > 0, context.processes.refusal
    assert context.processes.unread == "", context.processes.unread


@then("the same order is accepted once the peers are back")
def accepted_later(context):
    processes = context.processes
    assert (processes.accepted, processes.state) == (200, "rolling"), (
        processes.accepted,
        processes.state,
    )


def summary(processes):
    """Return the figures of a run for messages."""
    return {
        "whole": processes.whole,
        "refused": processes.refused,
        "broken": len(processes.broken),
        "arrivals": dict(processes.arrivals),
        "bad answers": len(processes.bad_answers_s),
    }
