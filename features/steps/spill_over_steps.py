"""Steps for an entry host whose cells are scheduled by other hosts."""

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


class EntryHostDriver:
    """Driver of an entry role that records its actions."""

    def __init__(self, data_centre, data_centres):
        self.now_ms = 0
        self.actions = []
        peers = tuple(f"host-{name}" for name in data_centres)
        host_monitor = HostMonitor("me", data_centre, peers, 400, 100_000)
        self.role = EntryRole(host_monitor, ConfigFollower(), ClaimClient("me", 1), 1)
        upstreams = tuple(
            UpstreamSpec(f"u-{name}", UpstreamKind.ENGINE, name, "1:1", models=("m",))
            for name in data_centres
        )
        for name in data_centres:
            heartbeat = Heartbeat(name, "entry", 1, 1, False)
            self.feed(Received(f"host-{name}", 7, heartbeat))
        self.role.host_monitor.is_leaving = True
        self.feed(FleetChanged(Fleet(version=1, upstreams=upstreams)))

    def feed(self, event):
        self.actions += self.role.handle(event, self.now_ms)

    def wait(self, duration_ms):
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            self.feed(Tick())

    def sent(self, kind):
        messages = [
            action.message for action in self.actions if isinstance(action, Send)
        ]
        return [message for message in messages if isinstance(message, kind)]

    def answer(self, message):
        data_centre = message.cell.partition("/")[0]
        self.feed(Received(f"host-{data_centre}", 7, message))


@given(
    'an entry host in "{data_centre}" with cells in "{first}", "{second}" and "{third}"'
)
def given_host(context, data_centre, first, second, third):
    context.driver = EntryHostDriver(data_centre, (first, second, third))


@when("a request arrives there")
def send_request(context):
    context.driver.feed(RequestArrived(REQUEST))


@when("{duration_ms:d} ms pass without an answer")
def wait(context, duration_ms):
    context.driver.wait(duration_ms)


@when('the cell of "{data_centre}" grants a slot after all')
def grant_late(context, data_centre):
    grant = Grant("r1", f"{data_centre}/engines", f"u-{data_centre}", 3000, 0)
    context.driver.answer(grant)


@when("the cells asked refuse it with {first:d}, {second:d} and {third:d} ms")
def refuse_all(context, first, second, third):
    for retry_ms in (first, second, third):
        cell = context.driver.sent(SlotRequest)[-1].cell
        context.driver.answer(SlotRefusal("r1", cell, Reason.OVERLOADED, retry_ms))


@then('the cell of "{data_centre}" is asked')
def check_asked(context, data_centre):
    assert [request.cell for request in context.driver.sent(SlotRequest)] == [
        f"{data_centre}/engines"
    ]


@then('the slot request at "{data_centre}" is cancelled')
def check_cancelled(context, data_centre):
    cells = [cancel.cell for cancel in context.driver.sent(CancelSlotRequest)]
    assert cells == [f"{data_centre}/engines"]


@then("a cell of another data centre is asked")
def check_other_cell_asked(context):
    assert not context.driver.sent(SlotRequest)[-1].cell.startswith("north/")


@then("each cell but the last was asked and cancelled exactly once")
def check_asked_once(context):
    asked_cells = [request.cell for request in context.driver.sent(SlotRequest)]
    last_cell = asked_cells[-1]
    earlier_cells = [cell for cell in asked_cells if cell != last_cell]
    assert len(earlier_cells) == len(set(earlier_cells)) == 2, asked_cells
    cancelled_cells = [cancel.cell for cancel in context.driver.sent(CancelSlotRequest)]
    assert sorted(cancelled_cells) == sorted(earlier_cells)


@then("that slot is released unused and nothing is dispatched")
def check_released(context):
    releases = context.driver.sent(Release)
    assert [release.cause for release in releases] == [ReleaseCause.NOT_SENT]
    assert not [
        action for action in context.driver.actions if isinstance(action, Dispatch)
    ]


@then("it is refused as not run, with a retry after {retry_ms:d} ms")
def check_refused(context, retry_ms):
    refusals = [
        action for action in context.driver.actions if isinstance(action, SendRefusal)
    ]
    assert [action.refusal.verdict for action in refusals] == [Verdict.NOT_RUN]
    assert refusals[0].refusal.retry_after_ms == retry_ms
