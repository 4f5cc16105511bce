"""Steps that dispatch one request, let it fail and end it in each possible way."""

from dataclasses import replace

from behave import given, then, when

from peridotfront.core.actions import Received, Send, Tick
from peridotfront.core.claim_client import (
    AcquireClaim,
    ClaimClient,
    ClaimResolved,
    KeyLookupFailed,
    KeyLookupResult,
    LookUpKey,
)
from peridotfront.core.dispatcher import Dispatcher
from peridotfront.core.dispatcher_events import (
    Dispatch,
    DispatchEnded,
    FollowAnswer,
    FollowedAnswerEnded,
    RequestArrived,
    ResumeAnswer,
    SendRefusal,
)
from peridotfront.core.fleet import UpstreamKind
from peridotfront.core.messages import (
    Claim,
    ClaimReply,
    ClaimStatus,
    Grant,
    Heartbeat,
    KeyQuery,
    KeyReply,
    Outcome,
    ReleaseCause,
    SlotRefusal,
)
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

    def __init__(self, key=""):
        self.claim_client = ClaimClient("e1", 1)
        self.cells = [CELL]
        self.actions = []
        self.now_ms = 0
        self.dispatcher = Dispatcher("e1", 1, self._choose_cell, lambda cell: "e2")
        self.feed(RequestArrived(self.new_request("r1", key)))

    @staticmethod
    def new_request(request_id, key, attempt=1):
        return Request(
            request_id=request_id,
            key=key,
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
            attempt=attempt,
        )

    def _choose_cell(self, request, excluded):
        return next((cell for cell in self.cells if cell not in excluded), "")

    def feed(self, event):
        for action in self.dispatcher.handle(event, self.now_ms):
            self.actions.append(action)
            if isinstance(action, LookUpKey):
                self.feed_claim_client(action)

    def feed_claim_client(self, event):
        for action in self.claim_client.handle(event, self.now_ms):
            self.actions.append(action)
            if isinstance(action, (KeyLookupResult, KeyLookupFailed)):
                self.feed(action)

    def know_leader(self):
        heartbeat = Heartbeat("dc", "control", 1, 1, False, "c1", 1)
        self.feed_claim_client(Received("c1", 1, heartbeat))

    def queries(self):
        sent = [one.message for one in self.actions if isinstance(one, Send)]
        return [message for message in sent if isinstance(message, KeyQuery)]

    def reply_to(self, query, status, claim=None):
        reply = ClaimReply(query.request_id, query.key, status, claim)
        self.feed_claim_client(Received("c1", 1, KeyReply(reply)))

    def receive(self, message):
        self.feed(Received("e2", 1, message))

    def grant(self, lease_ms=LEASE_MS):
        self.receive(Grant("r1", CELL, "g1", lease_ms, 0))

    def dispatch(self):
        self.grant()
        assert isinstance(self.actions[-1], Dispatch), self.actions

    def end(self, cause, outcome, is_answer_begun=False):
        end = DispatchEnded("r1", cause, outcome, is_answer_begun=is_answer_begun)
        self.feed(end)

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
    "was sent and died": (ReleaseCause.UPSTREAM_DIED, DIED, False),
    "was sent and died within its answer": (ReleaseCause.UPSTREAM_DIED, DIED, True),
    "found nobody to send to": (ReleaseCause.UNREACHABLE, UNREACHABLE, False),
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


def keyed_world(*, has_leader):
    """Return a world whose request with a key has waited until its first lookup."""
    world = DispatcherWorld(key="k")
    if has_leader:
        world.know_leader()
    else:
        world.claim_client.has_known_leader(-10_000)
    world.now_ms = 300
    world.feed(Tick())
    return world


@given("a request with a key that was looked up as free while it waited")
def looked_up_request(context):
    context.world = keyed_world(has_leader=True)
    (context.first_query,) = context.world.queries()
    context.world.reply_to(context.first_query, ClaimStatus.FREE)


@given("a request with a key whose lookup failed while it waited")
def request_without_lookup(context):
    context.world = keyed_world(has_leader=False)
    assert not context.world.queries()


@when("every cell refuses it and a late copy of that reply arrives")
def refuse_with_late_reply(context):
    context.world.refuse(Reason.OVERLOADED)
    context.world.reply_to(context.first_query, ClaimStatus.FREE)


@when("the control group is back and every cell refuses it")
def refuse_with_leader(context):
    context.world.know_leader()
    context.world.refuse(Reason.OVERLOADED)


@when("a second attempt with the key joins it and every cell refuses it")
def refuse_joined(context):
    world = context.world
    world.feed(RequestArrived(world.new_request("r2", "k", attempt=2)))
    world.refuse(Reason.OVERLOADED)


@then("it is not refused, and its next lookup finds the request that runs")
def finds_running_request(context):
    world = context.world
    refusals = [action for action in world.actions if isinstance(action, SendRefusal)]
    assert not refusals, refusals
    running = Claim("k", 1, 1, "e3", 1, "g1", False)
    world.reply_to(world.queries()[-1], ClaimStatus.HELD, running)
    assert world.actions[-1] == FollowAnswer("r1", "k", "e3"), world.actions[-1]


RESUMPTION_ENDS = {
    "is not sent": (ReleaseCause.NOT_SENT, Reason.INVALID_REQUEST),
    "finds its engine gone": (ReleaseCause.UNREACHABLE, Reason.UPSTREAM_DIED),
    "is preempted before send": (ReleaseCause.PREEMPTED, Reason.PREEMPTED),
}


@given("a request with a key that took over the claim of a lost host")
def taken_over_request(context):
    world = context.world = keyed_world(has_leader=True)
    held = Claim("k", 1, 1, "e3", 1, "g1", False)
    world.reply_to(world.queries()[-1], ClaimStatus.HELD, held)
    world.feed(FollowedAnswerEnded("r1", None))
    (acquire,) = [one for one in world.actions if isinstance(one, AcquireClaim)]
    resumed = replace(acquire.request.claim, is_resume_only=True)
    request_id = acquire.request.request_id
    reply = ClaimReply(request_id, "k", ClaimStatus.GRANTED, resumed)
    world.feed(ClaimResolved(request_id, reply))
    assert world.actions[-1] == ResumeAnswer("r1", "g1"), world.actions[-1]


@when("its resumption {end}")
def end_resumption(context, end):
    cause, reason = RESUMPTION_ENDS[end]
    context.world.end(cause, Outcome(Verdict.NOT_RUN, reason))
