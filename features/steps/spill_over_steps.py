"""Steps on an entry host whose cells are scheduled by other hosts."""

from behave import given, then, when

from peridotfront.core.actions import Received, Send, Tick
from peridotfront.core.claim_client import ClaimClient
from peridotfront.core.config_follower import ConfigFollower
from peridotfront.core.dispatcher_events import Dispatch, RequestArrived, SendRefusal
from peridotfront.core.entry_role import EntryRole
from peridotfront.core.fleet import Fleet, UpstreamKind, UpstreamSpec
from peridotfront.core.host_monitor import HostMonitor
from peridotfront.core.messages import (
    CancelSlotRequest,
    Grant,
    Heartbeat,
    Release,
    ReleaseCause,
    SlotRefusal,
    SlotRequest,
)
from peridotfront.core.requests import Request
from peridotfront.core.scheduler_events import FleetChanged
from peridotfront.core.verdicts import Reason, Verdict

STEP_MS = 10
REQUEST = Request(
    request_id="r1",
    key="",
    fingerprint=5,
    client_account="a",
    tier=1,
    kind=UpstreamKind.ENGINE,
    service="",
    model="m",
    prompt_tokens=100,
    output_tokens=10,
    prefix_hashes=(),
    deadline_ms=10_000,
    is_idempotent=True,
)


class Driver:
    """Feeds an entry role and keeps what it sends to the cells."""

    def __init__(self, own, places):
        self.now_ms = 0
        self.actions = []
        peers = tuple(f"host-{place}" for place in places)
        host_monitor = HostMonitor("me", own, peers, 400, 100_000)
        self.role = EntryRole(host_monitor, ConfigFollower(), ClaimClient("me", 1), 1)
        upstreams = tuple(
            UpstreamSpec(f"u-{p}", UpstreamKind.ENGINE, p, "1:1", models=("m",))
            for p in places
        )
        for place in places:
            beat = Heartbeat(place, "entry", 1, 1, False)
            self.feed(Received(f"host-{place}", 7, beat))
        self.role.host_monitor.is_leaving = True
        self.feed(FleetChanged(Fleet(version=1, upstreams=upstreams)))

    def feed(self, event):
        self.actions += self.role.handle(event, self.now_ms)

    def wait(self, duration_ms):
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            self.feed(Tick())

    def sent(self, kind):
        messages = [one.message for one in self.actions if isinstance(one, Send)]
        return [one for one in messages if isinstance(one, kind)]

    def answer(self, message):
        place = message.cell.partition("/")[0]
        self.feed(Received(f"host-{place}", 7, message))


@given('an entry host in "{own}" with cells in "{first}", "{second}" and "{third}"')
def given_host(context, own, first, second, third):
    context.spill = Driver(own, (first, second, third))


@when("a request arrives there")
def arrive(context):
    context.spill.feed(RequestArrived(REQUEST))


@when("{duration_ms:d} ms go by without an answer")
def go_by(context, duration_ms):
    context.spill.wait(duration_ms)


@when('the cell of "{place}" grants a slot after all')
def grant_late(context, place):
    grant = Grant("r1", f"{place}/engines", f"u-{place}", 3000, 0)
    context.spill.answer(grant)


@when("the cells asked refuse it with {first:d}, {second:d} and {third:d} ms")
def refuse_all(context, first, second, third):
    for retry_ms in (first, second, third):
        cell = context.spill.sent(SlotRequest)[-1].cell
        context.spill.answer(SlotRefusal("r1", cell, Reason.OVERLOADED, retry_ms))


@then('the cell of "{place}" is asked')
def asked(context, place):
    assert [one.cell for one in context.spill.sent(SlotRequest)] == [f"{place}/engines"]


@then('the want at "{place}" is withdrawn')
def withdrawn(context, place):
    cells = [one.cell for one in context.spill.sent(CancelSlotRequest)]
    assert cells == [f"{place}/engines"]


@then("a cell of another data centre is asked")
def asked_elsewhere(context):
    assert not context.spill.sent(SlotRequest)[-1].cell.startswith("north/")


@then("each cell was asked and withdrawn at most once, but for the last")
def asked_once(context):
    wants = [one.cell for one in context.spill.sent(SlotRequest)]
    last = wants[-1]
    others = [cell for cell in wants if cell != last]
    assert len(others) == len(set(others)) == 2, wants
    withdrawn_cells = [one.cell for one in context.spill.sent(CancelSlotRequest)]
    assert sorted(withdrawn_cells) == sorted(others)


@then("that slot is released unused and nothing is dispatched")
def released(context):
    releases = context.spill.sent(Release)
    assert [one.cause for one in releases] == [ReleaseCause.NOT_SENT]
    assert not [one for one in context.spill.actions if isinstance(one, Dispatch)]


@then("it is refused as not run, to come back in {retry_ms:d} ms")
def refused(context, retry_ms):
    refusals = [one for one in context.spill.actions if isinstance(one, SendRefusal)]
    assert [one.refusal.verdict for one in refusals] == [Verdict.NOT_RUN]
    assert refusals[0].refusal.retry_after_ms == retry_ms
