"""Steps for sound upstreams that are silent for a moment."""

import asyncio

from behave import given, then, when
from support.routed_upstreams import POLL_S, request, run_front
from support.scripted_upstreams import Upstream
from support.silent_processes import SilentProcesses

from peridotfront.core.gateway_events import SlotReleased

DURATION_S = 12.0
MAX_WAIT_S = 3.0


@given('an upstream "{name}" of version "{version}" that will "{step}"')
def add_upstream_of_version(context, name, version, step):
    context.upstreams.append(Upstream(name, [step], software_version=version))


@given("every repeat is refused as {reason} for {busy:d} ms")
def refuse_repeats(context, reason, busy):
    context.slot_options = {"busy_ms": busy, "busy_reason": reason}


@given("every repeat is granted after {delay:d} ms")
def delay_repeats(context, delay):
    context.slot_options = {"repeat_delay_ms": delay}


@given(
    "every repeat is refused as overloaded for {busy:d} ms, and then granted after"
    " {delay:d} ms"
)
def refuse_then_delay_repeats(context, busy, delay):
    context.slot_options = {"busy_ms": busy, "repeat_delay_ms": delay}


@given("the first repeat is granted after {delay:d} ms and each later one is refused")
def delay_one_repeat(context, delay):
    context.slot_options = {"repeat_delay_ms": delay, "grants_one_repeat": True}


@when('a caller sends "{path}" with the deadline "{deadline}" and reads nothing')
def read_nothing(context, path, deadline):
    async def work(front):
        _, writer = await front.open()
        writer.transport.pause_reading()
        writer.write(request(path, headers={"X-Deadline-Ms": deadline}))
        async with asyncio.timeout(MAX_WAIT_S):
            while not has_released(front):
                await asyncio.sleep(POLL_S)
        writer.transport.abort()

    run_front(context, work)


def has_released(front):
    return any(isinstance(event, SlotReleased) for event in front.slot_server.events)


@then("the answer has its end")
def has_end(context):
    assert context.answer.is_complete, context.answer


@then("each granted slot is released once")
def released_once(context):
    slot_server = context.front.slot_server
    releases = [e.release for e in slot_server.events if isinstance(e, SlotReleased)]
    released = sorted([release.request_id for release in releases])
    assert released == sorted(slot_server.granted), (released, slot_server.granted)


@then("the second slot request can wait between {least:d} and {most:d} ms")
def second_can_wait(context, least, most):
    second = context.front.slot_server.slot_requests[1]
    assert least <= second.deadline_ms <= most, second.deadline_ms


@given(
    "programs of {controls:d} control hosts and {entries:d} entry hosts before"
    " {upstreams:d} upstreams"
)
def make_programs(context, controls, entries, upstreams):
    context.programs = SilentProcesses(controls, entries, upstreams)


@when(
    'requests "{path}" are sent while the upstreams fall silent for {silence:d} ms'
    " each in turn"
)
def play_silences(context, path, silence):
    programs = context.programs
    programs.path = path
    programs.silence_s = silence / 1000
    asyncio.run(programs.play(DURATION_S))


@then("no request is left without an answer within its time limit")
def none_lost(context):
    assert context.programs.whole, "no request was served"
    check_none_failed(context, context.programs.lost)


@then("no request is left without an answer")
def none_lost_or_late(context):
    none_lost(context)
    assert not context.programs.timed_out, context.programs.timed_out


@then("no request that was sent is given up")
def none_given_up(context):
    check_none_failed(context, context.programs.given_up)


def check_none_failed(context, failed):
    """Fail with the log lines of the requests that failed."""
    assert not failed, "\n".join([str(failed), *context.programs.failed_logs])


@then("each answer is whole, with all its events in order")
def none_wrong(context):
    assert not context.programs.wrong, context.programs.wrong


@then("no request runs at two upstreams for over {limit:d} ms")
def no_long_overlap(context, limit):
    overlaps_s = context.programs.overlaps_s
    long = {name: s for name, s in overlaps_s.items() if s * 1000 > limit}
    assert not long, long
