"""Steps with an entry server whose role is scripted."""

from types import SimpleNamespace

from behave import given, then, when
from http_fixtures import client, run, serve, until

from peridotfront.core.config_follower import ConfigActivated
from peridotfront.core.dispatcher_events import (
    CancelDispatch,
    Dispatch,
    DispatchEnded,
    RequestArrived,
    RequestClosed,
    ResumeAnswer,
)
from peridotfront.core.fleet import AccountSpec, Fleet, UpstreamKind
from peridotfront.core.messages import ReleaseCause
from peridotfront.core.requests import Request
from peridotfront.entry_server import EntryServer
from peridotfront.metrics import Metrics
from peridotfront.request_validator import Admission

REQUEST_ID = "r1"
DISPATCH = Dispatch(REQUEST_ID, "s1", "dc/pay", 0)
STARTS = {"dispatched": DISPATCH, "resumed": ResumeAnswer(REQUEST_ID, "s1")}
CONFIG = """[service pay]
[upstream s1]
data_centre = dc
kind = service
service = pay
address = {}
"""


class ScriptedRole:
    """Role that yields given actions for the arrival of a request."""

    def __init__(self):
        self.host = "e1"
        self.incarnation = 1
        self.schedulers = {}
        self.fleet = Fleet()
        self.claim_client = SimpleNamespace(may_dispatch=lambda *arguments: True)
        self.dispatcher = SimpleNamespace(active_requests={})
        self.on_arrival = ()
        self.events = []

    def handle(self, event, now_ms):
        self.events.append(event)
        if isinstance(event, RequestArrived):
            yield from self.on_arrival


def new_admission():
    request = Request(
        request_id=REQUEST_ID,
        key="",
        fingerprint=1,
        client_account="a",
        tier=1,
        kind=UpstreamKind.SERVICE,
        service="pay",
        model="",
        prompt_tokens=5,
        output_tokens=3,
        prefix_hashes=(),
        deadline_ms=1000,
        is_idempotent=True,
    )
    account = AccountSpec("a", "0" * 64)
    return Admission(request, account, "GET", "/", "", b"", timeout_ms=5000)


@given("an entry server with a scripted role and a silent upstream")
def given_server(context):
    context.requests = []

    async def be_silent(exchange):
        context.requests.append(exchange.request)
        await exchange.gone.wait()
        exchange.abort()

    serve(context, be_silent)
    context.role = ScriptedRole()
    upstream_client = client(context)

    async def start():
        validator = SimpleNamespace(apply_fleet=lambda fleet: None)
        metrics = Metrics("e1", "dc")
        context.entry = EntryServer(
            context.role, validator, upstream_client, lambda *message: None, metrics
        )
        context.entry._run(ConfigActivated(1, CONFIG.format(context.address)))

    run(context, start())
    context.add_cleanup(lambda: run(context, context.entry.stop()))


def list_ends(context):
    events = context.role.events
    return [event for event in events if isinstance(event, DispatchEnded)]


@when("a request is {started} and at once cancelled as {cause}")
def cancel_at_once(context, started, cause):
    cancel = CancelDispatch(REQUEST_ID, ReleaseCause(cause))
    context.role.on_arrival = (STARTS[started], cancel)

    async def send():
        context.entry.open(new_admission())
        await until(lambda: list_ends(context))

    run(context, send())


@when("a request is dispatched and after it has been sent cancelled as {cause}")
def cancel_later(context, cause):
    context.role.on_arrival = (DISPATCH,)

    async def send():
        context.entry.open(new_admission())
        await until(lambda: context.requests)
        context.entry._run(CancelDispatch(REQUEST_ID, ReleaseCause(cause)))
        await until(lambda: list_ends(context))

    run(context, send())


@when("a request is dispatched and its role forgets it")
def forget(context):
    context.role.on_arrival = (DISPATCH, RequestClosed(REQUEST_ID))

    async def send():
        context.answer = context.entry.open(new_admission())

    run(context, send())


@then("its dispatch has ended once, as {cause} with the verdict {verdict}")
def ended_once(context, cause, verdict):
    ends = [(end.cause.value, end.outcome.verdict.value) for end in list_ends(context)]
    assert ends == [(cause, verdict)], ends


@then("the upstream has got {count:d} requests")
def count_requests(context, count):
    assert len(context.requests) == count, context.requests


@then("its answer has ended as {verdict}")
def answer_ended(context, verdict):
    assert context.answer.outcome.verdict.value == verdict, context.answer.outcome
