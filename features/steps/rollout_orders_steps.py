"""Steps for the operators' HTTP interface of rollouts."""

import asyncio
import json
from dataclasses import dataclass
from itertools import count

from behave import given, then, when

from peridotfront.core.control_types import OperatorRolloutResult
from peridotfront.core.messages import RolloutEnd, RolloutOrder, RolloutState
from peridotfront.core.rollouts.table import RolloutTable
from peridotfront.exceptions import NotLeader
from peridotfront.http_client import HttpClient, UpstreamTimeouts
from peridotfront.http_server import HttpServer
from peridotfront.platform.operators import OperatorEndpoint

IP = "127.0.0.1"
OPERATORS_PORT = 8229
LEADER = "127.0.0.9:7600"
PERIOD_MS = 12_000
VALID_ORDER = b'{"Service":"ledger","To":"v2","PeriodS":12}'
TIMEOUTS = UpstreamTimeouts(connect_ms=1000, first_byte_ms=5000, between_bytes_ms=5000)
CONTENT = json.dumps(
    {
        "Version": 1,
        "Routes": [],
        "Services": [{"Name": "ledger"}, {"Name": "a b/c%"}],
        "Tenants": [],
    }
)


@dataclass(frozen=True)
class CurrentConfig:
    """Configuration of a view."""

    version: int
    content: str


@dataclass(frozen=True)
class View:
    """Committed state, as far as the endpoint reads it."""

    current: CurrentConfig
    rollouts: tuple


class TableReplica:
    """Replacement for ``ReplicaServer`` with a replicated table of its own.

    :param leader: name of the leader; None if this host leads, empty if unknown.
    """

    def __init__(self, leader=None, version=1):
        self.table = RolloutTable()
        self._leader = leader
        self._current = CurrentConfig(version, CONTENT if version else "")
        self._numbers = count(1)

    async def read(self):
        self._check_leader()
        return View(self._current, self.table.records)

    async def start_rollout(self, service, version, period_ms):
        self._check_leader()
        number = next(self._numbers)
        order = RolloutOrder(f"o{number}", service, version, period_ms, number)
        result = self.table.order(order)
        return OperatorRolloutResult(number, result.status, result.record)

    def _check_leader(self):
        if self._leader is not None:
            raise NotLeader(self._leader)


def start(context, *, allows_rollouts=True, **options):
    context.replica = TableReplica(**options)
    context.allows_rollouts = allows_rollouts
    context.records = context.replica.table.records


@given("the rollout endpoint of a leader")
def leader(context):
    start(context)


@given("the rollout endpoint of a leader without rollouts")
def leader_without_rollouts(context):
    start(context, allows_rollouts=False)


@given("the rollout endpoint of a leader without a configuration")
def leader_without_configuration(context):
    start(context, version=0)


@given("the rollout endpoint of a follower")
def follower(context):
    start(context, leader=LEADER)


@given("the rollout endpoint of a host without a leader")
def leaderless(context):
    start(context, leader="")


@given('the service "{service}" rolls to "{version}"')
def roll(context, service, version):
    context.replica.table.order(RolloutOrder("o", service, version, PERIOD_MS, 1))
    context.records = context.replica.table.records


@given('the rollout of "{service}" has ended as "{state}"')
def end(context, service, state):
    if state != RolloutState.ROLLING:
        context.replica.table.end(RolloutEnd(service, 1, RolloutState(state), "r", 2))
    context.records = context.replica.table.records


async def exchange(context, method, path, body):
    endpoint = OperatorEndpoint(
        context.replica, OPERATORS_PORT, allows_rollouts=context.allows_rollouts
    )
    server = HttpServer(endpoint.handle)
    await server.start(IP, 0)
    client = HttpClient()
    try:
        answer = await client.send(
            f"{IP}:{server.port}", method, path, (), body, timeouts=TIMEOUTS
        )
        return answer, await answer.read()
    finally:
        await client.close()
        await server.close()


def send(context, method, path, body=b""):
    context.answer, context.body = asyncio.run(exchange(context, method, path, body))


@when("the rollout order {body} is sent")
def send_order(context, body):
    if body == r'"\xff"':
        send(context, "POST", "/peridotfront/rollouts", b'"\xff"')
        return
    send(context, "POST", "/peridotfront/rollouts", body.encode())


@when("the rollout order  is sent")
def send_empty_order(context):
    send(context, "POST", "/peridotfront/rollouts")


@when("a rollout to a version of {length:d} characters is ordered")
def send_long_order(context, length):
    order = {"Service": "ledger", "To": "v" * length, "PeriodS": 12}
    send(context, "POST", "/peridotfront/rollouts", json.dumps(order).encode())


@when('the rollout path "{path}" is read')
def read(context, path):
    send(context, "GET", path)


@when('"{method}" is sent to the rollout path "{path}"')
def send_method(context, method, path):
    send(context, method, path, b"" if method == "GET" else VALID_ORDER)


@then("the rollout answer is {status:d}")
def has_status(context, status):
    assert context.answer.status_code == status, (
        context.answer.status_code,
        context.body,
    )


@then("the rollout answer is {status:d} with {{{content}}}")
def has_content(context, status, content):
    has_status(context, status)
    assert context.answer.header("content-type") == "application/json"
    assert json.loads(context.body) == json.loads("{" + content + "}"), context.body


@then("the rollout answer is {status:d} with {{}}")
def is_empty(context, status):
    has_status(context, status)
    assert context.body == b"{}", context.body


@then('the rollout answer is {status:d} to "{path}" at the leader')
def is_redirected(context, status, path):
    has_status(context, status)
    location = context.answer.header("location")
    assert location == f"http://127.0.0.9:{OPERATORS_PORT}{path}", location


@then("the rollout answer is {status:d} with a time for another try")
def has_retry_after(context, status):
    has_status(context, status)
    assert float(context.answer.header("retry-after") or 0) > 0, "no time"


@then("no rollout was ordered")
def unchanged(context):
    records = context.replica.table.records
    assert records == context.records, records
