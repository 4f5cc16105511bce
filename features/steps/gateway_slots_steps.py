"""Steps for the slots that a leader grants to an entry host."""

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
SLOT_REQUEST = SlotRequest(
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


async def run_slot_request(context, act):
    """Start waiting for a slot, run ``act`` on the waiting task, and await its end."""
    task = asyncio.create_task(context.server.acquire_slot(SLOT_REQUEST))
    await asyncio.sleep(0)
    await act(task)
    await asyncio.gather(task, return_exceptions=True)


def grant(context):
    context.server.feed(Received(LEADER, 1, GRANT))


@when("a slot is granted in the turn in which its request is cancelled")
def grant_after_cancel(context):
    async def act(task):
        task.cancel()
        grant(context)

    asyncio.run(run_slot_request(context, act))


@when("a slot is granted right before its request is cancelled")
def cancel_after_grant(context):
    async def act(task):
        grant(context)
        task.cancel()

    asyncio.run(run_slot_request(context, act))


@when("a slot is granted after its request was cancelled")
def grant_later(context):
    async def act(task):
        task.cancel()
        await asyncio.sleep(0)
        grant(context)

    asyncio.run(run_slot_request(context, act))


@then("the slot is released as not sent")
def check_slot_released(context):
    causes = [message.cause for message in context.sent if isinstance(message, Release)]
    assert causes == [ReleaseCause.NOT_SENT], context.sent


@then("the entry host holds no slot")
def check_no_slot(context):
    assert not context.server.role.is_busy
