"""Steps for parts of prompts that crash the upstreams that answer them."""

import asyncio
from dataclasses import replace
from itertools import count

from behave import given, then, when
from support.prompt_processes import PromptProcesses
from support.prompt_world import (
    CONTACT_MS,
    MAX_LATER_SENDS,
    MIN_BEGUN_SHARE,
    PromptWorld,
)
from support.routed_group import listed, names_of
from support.routed_upstreams import AMPLE_RETRIES, routing

from peridotfront.core.actions import Received
from peridotfront.core.crash_guard import CrashGuard
from peridotfront.core.crash_history import CrashHistory
from peridotfront.core.messages import (
    CrashBatch,
    CrashReport,
    Grant,
    PartsCleared,
    ReleaseCause,
    SlotRefusal,
    SlotRequest,
)
from peridotfront.core.releases import build_release
from peridotfront.core.retry_budgets import RetryLimits
from peridotfront.core.routes import RouteTable
from peridotfront.core.service_schedulers import ServiceSchedulers, SharedLimits
from peridotfront.core.stream_origins import StreamOrigins
from peridotfront.core.upstream_limits import UpstreamLimits
from peridotfront.core.verdicts import Reason

SOUND_PARTS = (("base", "class", "*"), ("base", "*", "*"), ("base", "class", "*", "*"))
NUMBERS = count(1)


@given(
    "prompts at {controls:d} control hosts, {entries:d} entry hosts and"
    " {upstreams:d} upstreams"
)
def make_world(context, controls, entries, upstreams):
    context.world = PromptWorld(controls, entries, upstreams)
    context.loads = []
    context.guilty_hosts = ()


@given('the part "{part}" crashes upstreams after {events:d} events of an answer')
def add_guilty(context, part, events):
    context.world.guilty_parts[part] = events


@given("answers have neither a length nor chunks")
def unframe(context):
    context.world.is_framed = False


@given(
    'the request "{body}" crashes upstreams and comes every {gap:d} ms, sound ones'
    " every {sound_gap:d} ms"
)
def add_guilty_request(context, body, gap, sound_gap):
    context.world.guilty_parts[body] = 0
    context.loads.append((gap, lambda: context.world.send((), body=body)))
    context.loads.append((sound_gap, lambda: context.world.send(())))


class CrashedSchedulers:
    """Schedulers of a host whose upstreams crash one after the other."""

    def __init__(self):
        self.now_ms = 10_000
        self.names = [f"u{number}" for number in range(8)]
        self.guard = CrashGuard(CrashHistory())
        limits = SharedLimits(RetryLimits(slack=AMPLE_RETRIES))
        self.schedulers = ServiceSchedulers(
            limits, StreamOrigins(), self.guard, UpstreamLimits()
        )
        upstreams = tuple([listed(name, "s") for name in self.names])
        table = RouteTable(routing())
        tuple(self.schedulers.apply_routing(table.routing, 0))
        tuple(self.schedulers.apply_upstreams(upstreams, 0))

    def feed(self, message):
        self.now_ms += 10
        received = Received("e1", 1, message)
        return tuple(self.schedulers.handle(received, self.now_ms))

    def ask(self, fingerprint, parts, upstream=""):
        """Request a slot, at an upstream or at any, and return the reply."""
        number = next(NUMBERS)
        slot_request = SlotRequest(
            request_id=f"r{number}",
            cell="s",
            model="",
            tier=1,
            client_account="club",
            prompt_tokens=0,
            output_tokens=0,
            prefix_hashes=(),
            fingerprint=fingerprint,
            deadline_ms=3000,
            excluded=tuple([name for name in self.names if name != upstream])
            if upstream
            else (),
            shared_parts=parts,
        )
        (sent,) = self.feed(slot_request)
        return slot_request, sent.message

    def crash(self, upstream, *asked):
        """Execute requests at an upstream, which crashes."""
        granted = [(self.ask(*request, upstream)) for request in asked]
        for slot_request, grant in granted:
            assert isinstance(grant, Grant), grant
            cause = ReleaseCause.UPSTREAM_DIED
            self.feed(build_release(slot_request, grant.upstream, cause))
        reports = self.guard.take_reports()
        self.guard.history.apply(CrashBatch(self.now_ms, reports))
        self.now_ms += 5000


@when("the same sound request runs beside {crashes:d} crashes")
def run_beside(context, crashes):
    context.crashed = crashed = CrashedSchedulers()
    for upstream in crashed.names[:crashes]:
        own = next(NUMBERS)
        crashed.crash(upstream, (1_000_000, (1, own)), (2_000_000 + own, (1, 99)))


@when("another crash has only the crashing request")
def crash_alone(context):
    crashed = context.crashed
    crashed.crash(crashed.names[-1], (next(NUMBERS), (1, 99)))


@then("it is granted a slot")
def is_granted(context):
    _, reply = context.crashed.ask(1_000_000, (1, next(NUMBERS)))
    assert isinstance(reply, Grant), reply


@then("a request with the crashing part is refused as poison")
def is_refused(context):
    _, reply = context.crashed.ask(next(NUMBERS), (1, 99))
    assert isinstance(reply, SlotRefusal), reply
    assert reply.reason is Reason.POISON, reply


@given('requests with the parts "{parts}" come every {gap:d} ms')
def add_load(context, parts, gap):
    def send():
        hosts = context.guilty_hosts
        host = context.world.random.choice(hosts) if hosts else ""
        context.world.send(own_parts(names_of(parts)), host)

    context.loads.append((gap, send))


@given(
    'requests with the parts "{parts}" come every {gap:d} ms, sound ones every'
    " {sound_gap:d} ms"
)
def add_loads(context, parts, gap, sound_gap):
    add_load(context, parts, gap)

    def send_sound():
        context.world.send(own_parts(context.world.random.choice(SOUND_PARTS)))

    context.loads.append((sound_gap, send_sound))


def own_parts(parts):
    """Return the parts of a request, of which ``*`` are its own."""
    return [f"own{next(NUMBERS)}" if part == "*" else part for part in parts]


@when("{duration:d} ms pass under that load")
def play(context, duration):
    context.world.play(duration, *context.loads)


@when("the load goes on until crash {number:d}")
def play_until_crash(context, number):
    world = context.world
    while len(world.crashes_ms) < number:
        assert world.now_ms < 60_000, "the crash never came"
        world.play(50, *context.loads)


@when("the leader is killed under that load, and starts again after {pause:d} ms")
def restart_leader(context, pause):
    restart(context, pause, context.world.group.leader().name)


@when("all hosts lose power under that load, and start again after {pause:d} ms")
def restart_all(context, pause):
    restart(context, pause, *context.world.group.hosts)


@when(
    'the entry hosts "{names}" are killed under that load, and start again after'
    " {pause:d} ms"
)
def restart_entries(context, names, pause):
    restart(context, pause, *names_of(names))


def restart(context, pause, *names):
    world = context.world
    world.take_down(*names)
    world.play(pause, *(context.loads if len(names) < len(world.group.hosts) else ()))
    world.bring_up(*names)


@when('the entry hosts "{names}" are cut off for {duration:d} ms under that load')
def cut_off(context, names, duration):
    group = context.world.group
    for name in names_of(names):
        for control in group.controls:
            group.cut(name, control.name)
    context.world.play(duration, *context.loads)
    group.heal()
    context.world.touch(*names_of(names))


@when(
    'the entry hosts "{names}" are cut off for {duration:d} ms and get all crashing'
    " requests"
)
def cut_off_guilty(context, names, duration):
    context.guilty_hosts = names_of(names)
    cut_off(context, names, duration)
    context.guilty_hosts = ()


@when("{number:d} upstreams crash at once by themselves under that load")
def crash_at_once(context, number):
    world = context.world
    world.play(2000, *context.loads)
    for upstream in world.upstreams[:number]:
        world.crash(upstream)


@when("{number:d} upstreams crash every {gap:d} ms by themselves under that load")
def crash_in_turn(context, number, gap):
    world = context.world
    world.play(2000, *context.loads)
    for turn in range(number):
        world.crash(world.upstreams[turn % len(world.upstreams)])
        world.play(gap, *context.loads)


@then(
    "upstreams got at most {limit:d} crashing requests later than {contact:d} ms after"
    " the fifth crash"
)
def few_later(context, limit, contact):
    assert (limit, contact) == (MAX_LATER_SENDS, CONTACT_MS)
    world = context.world
    assert world.crashes_ms
    later = world.later_sends()
    assert len(later) <= limit, (len(later), world.crashes_ms, later)


@then(
    "upstreams got at most {limit:d} crashing requests from any host later than"
    " {contact:d} ms after the fifth crash"
)
def few_later_from_any(context, limit, contact):
    context.world.disturbed_until_ms.clear()
    few_later(context, limit, contact)


@then("upstreams got at most {limit:d} crashing requests in the last {span:d} ms")
def few_at_end(context, limit, span):
    world = context.world
    since_ms = world.now_ms - span
    late = [sent for sent in world.guilty_sends if sent[0] >= since_ms]
    assert world.guilty_sends and len(late) <= limit, late


@then("sound requests began from {pause:d} ms after the fifth crash on")
def sound_began(context, pause):
    world = context.world
    since_ms = world.counted_crash_ms() + pause
    share = world.begun_share(since_ms, lambda prompt: not world.is_guilty(prompt))
    assert share >= MIN_BEGUN_SHARE, share


@then('no sound request was ever refused as "{reason}"')
def none_refused(context, reason):
    world = context.world
    refused = [
        prompt.parts
        for prompt in world.requests.values()
        if prompt.refusal == reason and not world.is_guilty(prompt)
    ]
    assert not refused, (len(refused), refused[:5])


@given(
    "programs of {controls:d} control hosts, {entries:d} entry hosts and {engines:d}"
    " upstreams"
)
def make_programs(context, controls, entries, engines):
    context.programs = PromptProcesses(controls, entries, engines)


@when(
    "a part of their prompts crashes upstreams after {events:d} events for"
    " {duration:d} s"
)
def play_programs(context, events, duration):
    context.programs.crash_after_events = events
    asyncio.run(context.programs.play(duration))


@then(
    "upstreams of the programs got at most {limit:d} crashing requests later than"
    " {contact:d} ms after the fifth crash"
)
def few_later_at_programs(context, limit, contact):
    assert (limit, contact) == (MAX_LATER_SENDS, CONTACT_MS)
    programs = context.programs
    crashes = len(programs.crashes_s)
    assert crashes
    later = programs.later_sends()
    assert later <= limit, (later, crashes, programs.guilty_statuses)


@then("sound requests at the programs were answered")
def sound_answered(context):
    answers = context.programs.answers
    assert answers.total() >= 20, answers
    assert answers[True] >= MIN_BEGUN_SHARE * answers.total(), answers


@when('the part "{part}" crashes upstreams no more')
def mend(context, part):
    del context.world.guilty_parts[part]


@then('requests with the part "{part}" began in the last {span:d} ms')
def began_again(context, part, span):
    world = context.world
    since_ms = world.now_ms - span
    late = [
        prompt
        for prompt in world.requests.values()
        if part in prompt.parts and since_ms <= prompt.sent_ms < world.now_ms - 500
    ]
    assert late
    assert all(prompt.has_begun for prompt in late), [p.refusal for p in late]


@when("a history gets crashes, repeated reports of them, and a cleared part")
def fill_history(context):
    context.history = history = CrashHistory()
    for number, parts in enumerate(((1, 2, 9), (1, 3, 9), (1, 2, 9))):
        report = CrashReport("s", f"u{number}", parts)
        history.apply(CrashBatch(number * 5000, (report,)))
        late = CrashReport("s", f"u{number}", (9, 50 + number), age_ms=300)
        history.apply(CrashBatch(number * 5000 + 300, (late,)))
    history.apply(CrashBatch(11_000, (), (PartsCleared("s", (1,)),)))


@then("it has {count:d} crashes, and its verdict names the only part of all")
def has_crashes(context, count):
    assert len(context.history) == count
    assert [group.parts for group in context.history.groups] == [(9,)]


@then("a history restored from its snapshot has the same verdict")
def restores(context):
    restored = CrashHistory()
    restored.restore(context.history.snapshot())
    assert restored.convictions == context.history.convictions
    assert restored.snapshot() == context.history.snapshot()


@then("a request without all parts of a verdict is not refused")
def needs_all_parts(context):
    crashed = CrashedSchedulers()
    for name in crashed.names[:3]:
        crashed.crash(name, (next(NUMBERS) + 10**6, (7, 8)))
    assert [group.parts for group in crashed.guard.history.groups] == [(7, 8)]
    for parts, kind in (((7,), Grant), ((8,), Grant), ((7, 8), SlotRefusal)):
        _, reply = crashed.ask(next(NUMBERS) + 10**6, parts)
        assert isinstance(reply, kind), (parts, reply)


@given("two parts that were convicted just now")
def convict_two(context):
    context.crashed = crashed = CrashedSchedulers()
    crashes = [CrashReport("s", f"u{number}", (7 + number % 2,)) for number in range(6)]
    crashed.guard.history.apply(CrashBatch(crashed.now_ms, tuple(crashes)))
    assert len(crashed.guard.history.groups) == 2


@then("a request with both is admitted while one with both is being answered")
def is_admitted(context):
    crashed = context.crashed
    slot_request, _ = crashed.ask(1, ())
    context.both = both = replace(slot_request, shared_parts=(7, 8))
    begun = (request for request in (both,))
    assert not crashed.guard.refuses(both, begun, crashed.now_ms)


@then("it is refused when none is being answered")
def is_refused_alone(context):
    crashed = context.crashed
    assert crashed.guard.refuses(context.both, (), crashed.now_ms)
