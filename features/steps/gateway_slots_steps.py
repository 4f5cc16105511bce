"""Steps on the slots that an entry host gets from a leader."""

import asyncio

from behave import given, then, when

from peridotfront.core.actions import Received
from peridotfront.core.gateway_role import GatewayRole
from peridotfront.core.messages import (
    Grant,
    Heartbeat,
    Release,
    ReleaseCause,
    SlotRequest,
)
from peridotfront.core.service_schedulers import SharedLimits
from peridotfront.gateway_server import GatewayServer
from peridotfront.metrics import Metrics

LEADER = "c1"
WANT = SlotRequest(
    request_id="r1",
    cell="models",
    model="",
    tier=1,
    client_account="club",
    prompt_tokens=10,
    output_tokens=10,
    prefix_hashes=(),
    fingerprint=1,
    deadline_ms=5000,
)
GRANT = Grant("r1", "models", "m1", 3000, 0, "127.0.0.1:1")


@given("an entry host that asks a leader for slots")
def make_entry_host(context):
    context.sent = []
    role = GatewayRole("e1", 1, "dc1", (LEADER,), SharedLimits())
    context.server = GatewayServer(
        role,
        lambda content, version: None,
        lambda host, message: context.sent.append(message),
        Metrics("e1", "dc1"),
    )
    heartbeat = Heartbeat(
        data_centre="dc1",
        role="control",
        sequence=1,
        config_version=0,
        is_leaving=False,
        leader=LEADER,
        term=1,
        entry_hosts=1,
    )
    context.server.feed(Received(LEADER, 1, heartbeat))
    assert role.leader == LEADER


async def play(context, act):
    """Let a request wait for its slot, and act on it."""
    task = asyncio.create_task(context.server.acquire_slot(WANT))
    await asyncio.sleep(0)
    await act(task)
    await asyncio.gather(task, return_exceptions=True)


def grant(context):
    context.server.feed(Received(LEADER, 1, GRANT))


@when("a slot is granted in the moment in which its request leaves")
def grant_as_it_leaves(context):
    async def act(task):
        task.cancel()
        grant(context)

    asyncio.run(play(context, act))


@when("a slot is granted right after its request got it")
def leave_as_it_is_granted(context):
    async def act(task):
        grant(context)
        task.cancel()

    asyncio.run(play(context, act))


@when("a slot is granted after its request has left")
def grant_later(context):
    async def act(task):
        task.cancel()
        await asyncio.sleep(0)
        grant(context)

    asyncio.run(play(context, act))


@then("the slot goes back as not sent")
def slot_goes_back(context):
    causes = [one.cause for one in context.sent if isinstance(one, Release)]
    assert causes == [ReleaseCause.NOT_SENT], context.sent


@then("the entry host holds no slot")
def holds_none(context):
    assert not context.server.role.is_busy
