"""Steps for second sends of a request, and for what proves that they are safe."""

import asyncio
import time
from dataclasses import dataclass, field

from behave import given, then, when
from support.routed_upstreams import POLL_S, request, routing
from support.routed_upstreams import run_front as run
from support.scripted_upstreams import Upstream

from peridotfront.core.routes import RouteTable

BLOCKED_AFTER_S = 0.2
MAX_WAIT_S = 3.0
REJECTIONS = {
    "421": ("421 Misdirected Request", ()),
    "503": ("503 Service Unavailable", ("X-Not-Executed: 1",)),
}


@dataclass
class RestartedUpstream(Upstream):
    """Upstream that rejects a request, and sends that again before it runs the next.

    :param rejection: status line and fields of the rejection.
    :param keeps_to_connection: whether it sends that again on its connection only.
    :param runs: requests that it ran.
    """

    rejection: tuple = ()
    keeps_to_connection: bool = False
    runs: list = field(default_factory=list)
    rejected_writer: asyncio.StreamWriter = None

    async def _reject_then_run(self, received, reader, writer):
        status, fields = self.rejection
        rejection = self._head(received, status, *fields, "Content-Length: 0")
        is_first = len(self.requests) == 1
        if is_first:
            self.rejected_writer = writer
        if writer is self.rejected_writer or not self.keeps_to_connection:
            writer.write(rejection)
        if not is_first:
            self.runs.append(received)
            await self._answer(received, reader, writer)


@dataclass
class SecondName(Upstream):
    """Another name in the list for the address of an upstream."""

    other: Upstream = None

    async def start(self):
        self.server = self.other.server
        self.address = self.other.address


@given(
    'an upstream that was restarted as "{new}" while "{old}" is still listed,'
    ' before "{third}"'
)
def make_restarted(context, new, old, third):
    context.routes = None
    restarted = RestartedUpstream(old, ["reject_then_run"])
    second_name = SecondName(new, ["answer"], other=restarted)
    context.upstreams = [restarted, second_name, Upstream(third, ["answer"])]


@given(
    "it rejects the first send with {rejection}, and sends that again before it runs"
    " a second one"
)
def set_rejection(context, rejection):
    context.upstreams[0].rejection = REJECTIONS[rejection]


@given(
    "it rejects the first send with {rejection}, and sends that again on its"
    " connection before it runs a second one"
)
def set_rejection_of_connection(context, rejection):
    set_rejection(context, rejection)
    context.upstreams[0].keeps_to_connection = True


@then("the transfer ran {count:d} times")
def transfer_ran(context, count):
    restarted, _, third = context.upstreams
    assert len(restarted.runs) + len(third.requests) == count, restarted.runs


@given(
    "a gateway whose transfers are marked as resumable before upstream"
    ' "{name}" that will "{step}"'
)
def make_resumable_transfers(context, name, step):
    config = routing(transfer={"Resumable": True, "Attempts": 2})
    context.routes = RouteTable(config)
    context.upstreams = [Upstream(name, [step])]


@when('a caller sends "{path}" on two connections at once with the same id')
def send_twice_at_once(context, path):
    async def work(front):
        calls = [front.call(path, body=b"pay 5") for _ in range(2)]
        return await asyncio.gather(*calls)

    context.answers = run(context, work)


@then("the answers have the statuses {first:d} and {second:d}")
def have_statuses(context, first, second):
    statuses = sorted(answer.status for answer in context.answers)
    assert statuses == [first, second], context.answers


@given("a gateway whose scheduler says that the request is in progress elsewhere")
def make_in_progress_elsewhere(context):
    context.routes = None
    context.upstreams = [Upstream("u1", ["answer"])]
    context.slot_options = {"refusal_reason": "in_progress"}


@given("its host freezes for {frozen_ms:d} ms right after each grant")
def freeze_after_grant(context, frozen_ms):
    context.slot_options = {"frozen_ms": frozen_ms}


async def wait_until_blocked(upstream):
    """Wait until an upstream that sends a flood makes no progress any more."""
    progress = (-1, time.monotonic())
    while time.monotonic() - progress[1] < BLOCKED_AFTER_S:
        await asyncio.sleep(POLL_S)
        sent = upstream.requests[0].chunks_sent if upstream.requests else -1
        if sent != progress[0]:
            progress = (sent, time.monotonic())


@when(
    'a caller sends "{path}", reads nothing and closes its sending side once the'
    " stream is blocked"
)
def half_close_blocked(context, path):
    upstream = context.upstreams[0]

    async def work(front):
        _, writer = await front.open()
        writer.transport.pause_reading()
        writer.write(request(path))
        await wait_until_blocked(upstream)
        writer.write_eof()
        closed_s = time.monotonic()
        while not upstream.requests[0].is_closed:
            assert time.monotonic() - closed_s < MAX_WAIT_S, "it is still open"
            await asyncio.sleep(POLL_S)
        context.closed_after_s = time.monotonic() - closed_s
        writer.transport.abort()

    run(context, work)


@then('upstream "{name}" is closed within {limit_ms:d} ms')
def closed_within(context, name, limit_ms):
    assert context.closed_after_s * 1000 <= limit_ms, context.closed_after_s


@then("the caller gets a stream that broke off")
def broke_off(context):
    assert context.answer.status == 200, context.answer
    assert not context.answer.is_complete, context.answer
