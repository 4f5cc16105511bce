"""Steps for the circuits of upstreams that are silent for a moment."""

from behave import given, then, when
from support.silent_world import TOKEN_MS, SilentWorld

from peridotfront.core.health import Health
from peridotfront.core.messages import Grant, ReleaseCause

UPSTREAM = "e0"
HOST = "h"
SLOTS = 8
UNKNOWN_AGE_MS = -1


@given("{count:d} streams that run there, with {tokens:d} tokens each")
def run_streams(context, count, tokens):
    context.streams = [f"stream{number}" for number in range(count)]
    for name in context.streams:
        context.cell.request_slot(name)
        context.cell.pass_time(50)
        assert context.cell.answers(name, Grant), name
    report_all(context, tokens, 0)


@when("{count:d} of the streams time out")
@when("{count:d} more of the streams time out")
def time_out(context, count):
    for _ in range(count):
        context.cell.release(context.streams.pop(), ReleaseCause.UPSTREAM_TIMEOUT)


@when("each stream has ended")
def end_streams(context):
    while context.streams:
        context.cell.release(context.streams.pop(), ReleaseCause.CALLER_GONE)


@when("a stream reports {tokens:d} tokens, the last of them {age:d} ms old")
def report_one(context, tokens, age):
    report(context, context.streams[0], tokens, age)


@when("each stream reports {tokens:d} tokens, the last of them {age:d} ms old")
def report_all(context, tokens, age):
    for name in context.streams:
        report(context, name, tokens, age)


def report(context, name, tokens, age_ms):
    age_ms = None if age_ms == UNKNOWN_AGE_MS else age_ms
    context.cell.hold(name, HOST, UPSTREAM, tokens, slow_tokens=0, token_age_ms=age_ms)


@when("{count:d} new slot requests arrive")
@when("{count:d} new slot request arrives")
def request_new(context, count):
    now_ms = context.cell.now_ms
    context.new = [f"new{number}-at-{now_ms}" for number in range(count)]
    for name in context.new:
        context.cell.request_slot(name)


@then("none of them is granted")
def none_granted(context):
    assert count_granted(context) == 0


@then("{count:d} of them are granted")
def some_granted(context, count):
    context.cell.pass_time(20)
    assert count_granted(context) == count, count_granted(context)


def count_granted(context):
    return sum(bool(context.cell.answers(name, Grant)) for name in context.new)


@then('upstream "{name}" is "{state}"')
def is_in_state(context, name, state):
    health = context.cell.upstream(name).health
    assert health == state, health


@when("the circuit of an upstream opens by timeouts, and its probe times out")
def fail_probe(context):
    context.health = Health()
    for _ in range(2):
        context.health.failed(True, 0)
    context.now_ms = context.health.next_probe_ms(0)
    assert context.health.slots(SLOTS, context.now_ms) == 1
    context.health.failed(True, context.now_ms)


@when("an earlier stream gets tokens {later:d} ms later")
def get_tokens(context, later):
    context.now_ms += later
    context.health.progressed(0, SLOTS, context.now_ms, context.now_ms)


@then("the circuit is open")
def is_open(context):
    assert context.health.slots(SLOTS, context.now_ms) == 0, context.health.state


@given("an entry host without a leader before an upstream of {slots:d} slots")
def make_world(context, slots):
    context.world = SilentWorld(slots)


@given("{count:d} streams that get tokens there each {gap:d} ms")
def start_streams(context, count, gap):
    assert gap == TOKEN_MS
    context.world.start(count)


@when(
    "the upstream is silent for {silence:d} ms, and {count:d} streams time out"
    " after {wait:d} ms"
)
def fall_silent(context, silence, count, wait):
    context.world.is_silent = True
    context.world.run(wait)
    context.world.time_out(count)
    context.world.run(silence - wait)


@when("the streams get tokens for {duration:d} ms")
def go_on(context, duration):
    context.world.is_silent = False
    context.world.run(duration)


@when("the streams get no token for {duration:d} ms")
def stay_silent(context, duration):
    context.world.run(duration)


@then("the upstream is used")
def is_used(context):
    assert context.world.ask("new")


@then("the upstream is not used")
def is_not_used(context):
    assert not context.world.ask("new")
