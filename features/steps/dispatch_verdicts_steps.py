"""Steps that dispatch one request, let it fail and end it in each possible way."""

from behave import given, then, when

from peridotfront.core.actions import Received, Tick
from peridotfront.core.dispatcher import Dispatcher
from peridotfront.core.dispatcher_events import (
    Dispatch,
    DispatchEnded,
    RequestArrived,
    SendRefusal,
)
from peridotfront.core.fleet import UpstreamKind
from peridotfront.core.messages import Grant, Outcome, ReleaseCause, SlotRefusal
from peridotfront.core.requests import Request
from peridotfront.core.verdicts import Reason, Verdict

CELL = "dc/engines"
DEADLINE_MS = 1000
LEASE_MS = 3000
DIED = Outcome(Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_DIED)
UNREACHABLE = Outcome(Verdict.NOT_RUN, Reason.UPSTREAM_DIED)
NOT_SENT = Outcome(Verdict.NOT_RUN, Reason.DEADLINE)


class DispatcherWorld:
    """A dispatcher with one request and the actions that it has yielded."""

    def __init__(self):
        self.cells = [CELL]
        self.actions = []
        self.now_ms = 0
        self.dispatcher = Dispatcher("e1", 1, self._choose_cell, lambda cell: "e2")
        request = Request(
            request_id="r1",
            key="",
            fingerprint=1,
            client_account="a",
            tier=1,
            kind=UpstreamKind.ENGINE,
            service="",
            model="m",
            prompt_tokens=5,
            output_tokens=3,
            prefix_hashes=(),
            deadline_ms=DEADLINE_MS,
            is_idempotent=True,
            is_repeatable=True,
        )
        self.feed(RequestArrived(request))

    def _choose_cell(self, request, excluded):
        return next((cell for cell in self.cells if cell not in excluded), "")

    def feed(self, event):
        self.actions += self.dispatcher.handle(event, self.now_ms)

    def receive(self, message):
        self.feed(Received("e2", 1, message))

    def grant(self, lease_ms=LEASE_MS):
        self.receive(Grant("r1", CELL, "g1", lease_ms, 0))

    def dispatch(self):
        self.grant()
        assert isinstance(self.actions[-1], Dispatch), self.actions

    def end(self, cause, outcome):
        self.feed(DispatchEnded("r1", cause, outcome))

    def refuse(self, reason):
        self.receive(SlotRefusal("r1", CELL, reason, 0))


def find_no_cell(world):
    # The next upstream is unreachable; by then the cells have left.
    world.dispatch()
    world.cells = []
    world.end(ReleaseCause.UNREACHABLE, UNREACHABLE)


def wait_too_long(world):
    world.now_ms = DEADLINE_MS + 1
    world.feed(Tick())


def fail_to_send(world):
    world.dispatch()
    world.end(ReleaseCause.NOT_SENT, NOT_SENT)


def find_unreachable(world):
    for _ in range(2):
        world.dispatch()
        world.end(ReleaseCause.UNREACHABLE, UNREACHABLE)


FIRST = {
    "was sent and died": (ReleaseCause.UPSTREAM_DIED, DIED),
    "found nobody to send to": (ReleaseCause.UNREACHABLE, UNREACHABLE),
}
ENDS = {
    "finds no cell": find_no_cell,
    "is refused by every cell": lambda world: world.refuse(Reason.OVERLOADED),
    "is refused as poison": lambda world: world.refuse(Reason.POISON),
    "waits beyond its deadline": wait_too_long,
    "gets a slot whose lease has expired": lambda world: world.grant(lease_ms=0),
    "is not sent to its next upstream": fail_to_send,
    "finds every later upstream unreachable": find_unreachable,
}


@given("a dispatcher with a request that {first}")
def dispatched_request(context, first):
    context.world = DispatcherWorld()
    context.world.dispatch()
    context.world.end(*FIRST[first])


@when("the request then {end}")
def end_request(context, end):
    ENDS[end](context.world)


@then("the request is refused as {verdict}")
def check_refusal(context, verdict):
    actions = context.world.actions
    refusals = [action for action in actions if isinstance(action, SendRefusal)]
    assert [one.refusal.verdict.value for one in refusals] == [verdict], refusals
