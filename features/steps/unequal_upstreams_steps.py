"""Steps for upstreams of unequal speed and demand that moves."""

from dataclasses import replace

from behave import given, then, when
from support.unequal_world import KINDS, Kind, UnequalWorld, new_capacity

from peridotfront.core.messages import SlotRequest
from peridotfront.core.scheduler_events import FleetChanged
from peridotfront.core.upstream_capacity import Slot
from peridotfront.core.upstream_rates.loads import DataCentreLoad

SEEDS = (1, 2)
WAVE = 0.55
# The seeds of one setting differ by so much in an overload.
TOLERANCE = 0.02
LITTLE_KV_TOKENS = 45_000
SHORT = KINDS[-1]
# Prefill of 212 ms at a fast upstream and of 935 ms at a slow one.
HUGE = Kind("huge", 1, 10.0, 20_000, 40, 700)
LONG_ANSWER = Kind("long answer", 1, 10.0, 12_000, 800, 2000)
SHARED_PREFIX = Kind("shared", 1, 10.0, 12_000, 200, 2000)
STEP_MS = 5.0


def is_on(context):
    """Return whether the setting under test is on."""
    return context.config.userdata.get("learns", "on") == "on"


def total(worlds, name):
    """Return a counter of all worlds together."""
    return sum(getattr(world, name).total() for world in worlds)


@given("a load of {load:f}")
def plain_load(context, load):
    context.world = UnequalWorld(is_on(context), load)


@given("a load of {load:f} with a wave between three data centres")
def wave_load(context, load):
    context.world = UnequalWorld(is_on(context), load, wave=WAVE)


@given("a load of {load:f} with prompts whose goal slow upstreams miss behind others")
def huge_load(context, load):
    context.world = UnequalWorld(is_on(context), load, kinds=(HUGE, SHORT))


@given("long answers at upstreams of little memory")
def memory_load(context):
    context.world = UnequalWorld(
        is_on(context),
        0.9,
        seed=2,
        spread=0.8,
        kinds=(LONG_ANSWER, SHORT),
        kv_tokens=LITTLE_KV_TOKENS,
    )


@given("prompts that share a prefix at upstreams of little memory")
def prefix_load(context):
    context.world = UnequalWorld(
        is_on(context),
        0.9,
        kinds=(SHARED_PREFIX,),
        kv_tokens=LITTLE_KV_TOKENS,
        prefix_hashes=tuple(range(180)),
    )


@given("all upstreams report {tokens:d} tokens of memory")
def report_memory(context, tokens):
    context.world.report_memory(tokens)


@when("a load of {load:f} with a wave between three data centres is played off and on")
def play_both(context, load):
    settings = {"off": False, "on": is_on(context)}
    context.played = {
        name: [
            UnequalWorld(learns, load, seed=seed, wave=WAVE).measure() for seed in SEEDS
        ]
        for name, learns in settings.items()
    }


@when("it is measured")
def measure(context):
    context.world.measure()


@when("the wave passes")
def pass_wave(context):
    context.world.run(4500)
    context.world.wave = 0.0
    context.world.measure(warm_up_ms=1000)


@when("{duration:d} ms pass")
def pass_time(context, duration):
    context.world.run(duration)


@when("another scheduler of unequal upstreams becomes the leader")
def change_leader(context):
    context.world.start_scheduler()


@when("every sixth upstream becomes slow")
def slow_down(context):
    for server in tuple(context.world.servers.values())[::6]:
        server.speed = 3.0


@when("an upstream is added")
def add_upstream(context):
    scheduler = context.world.scheduler
    fleet = scheduler.fleet
    added = replace(fleet.upstreams[0], name="added")
    fleet = replace(fleet, version=2, upstreams=(*fleet.upstreams, added))
    tuple(scheduler.handle(FleetChanged(fleet), context.world.now_ms))


@given("an upstream with {count:d} equal times between tokens")
def equal_times(context, count):
    context.capacity = new_capacity(is_on(context))
    request = SlotRequest("r", "models", "", 1, "a", 100, 100, (), 1, 5000)
    context.slot = Slot(request, "e1", "m0", 0, 5000)
    context.capacity.occupy(context.slot, 0)
    for number in range(1, count + 1):
        now_ms = int(number * STEP_MS)
        context.capacity.record_progress(context.slot, number, 0, now_ms)
    context.known_ms = context.capacity.gap_ms


@when("a time of {factor:d} times as much is recorded")
def false_time(context, factor):
    slot = context.slot
    now_ms = int(slot.progress_ms + factor * STEP_MS)
    tokens = slot.produced_tokens + 1
    context.capacity.record_progress(slot, tokens, 0, now_ms)


@then("its time between tokens has changed by at most a quarter")
def bounded(context):
    ratio = context.capacity.gap_ms / context.known_ms
    assert 1 < ratio <= 1.26, ratio


@then("every kind of request meets its goal as often as with the setting off")
def as_punctual(context):
    off, on = context.played["off"], context.played["on"]
    for kind in KINDS:
        before, after = (
            sum(world.share_punctual(kind.name) for world in worlds) / len(worlds)
            for worlds in (off, on)
        )
        assert after >= before - TOLERANCE, (kind.name, before, after)
    more = (total(on, "refused") - total(off, "refused")) / total(off, "sent")
    assert more <= TOLERANCE, more


@then("tiers 1 and 2 meet their goals")
def high_tiers(context):
    for world in context.played["on"]:
        share = world.share_punctual("long", "medium")
        assert share >= 0.99, share


@then("at most {share:f} of the requests go to another data centre")
def few_remote(context, share):
    on = context.played["on"]
    remote = total(on, "remote") / total(on, "granted")
    assert remote <= share, remote


@then("fewer requests than with the setting off go to another data centre")
def fewer_remote(context):
    off, on = (total(context.played[name], "remote") for name in ("off", "on"))
    assert on < off, (off, on)


@then("fewer than 1 in 100 requests go to another data centre")
def hardly_remote(context):
    share = context.world.share_remote()
    assert share < 0.01, share


@then("at least {percent:d} in 100 of the long prompts meet their goal")
def long_in_time(context, percent):
    share = context.world.share_punctual(HUGE.name)
    assert share >= percent / 100, share


@then("no slot is free while requests wait")
def no_idle(context):
    world = context.world
    world.run(3000)
    free = sum(5 - server.answers for server in world.servers.values())
    assert world.waiting, "no request waits"
    assert free == 0, free


@then("the speeds of 8 in 10 busy upstreams are known")
def known(context):
    share = context.world.share_known()
    assert share >= 0.8, share


@then("the dump shows the time between tokens of a slow and of a fast upstream")
def dumped(context):
    dumps = {dump.name: dump for dump in context.world.scheduler.dump().upstreams}
    slow, fast = dumps["m2"], dumps["m0"]
    assert slow.speed_samples > 0 and fast.speed_samples > 0, (slow, fast)
    assert slow.heavy_step_ms > 2 * fast.heavy_step_ms, (slow, fast)


@then("no upstream holds more than its memory")
def within_memory(context):
    peak_tokens = context.world.peak_tokens
    assert peak_tokens <= LITTLE_KV_TOKENS, peak_tokens


@then("{percent:d} in 100 requests meet their goals")
def in_time(context, percent):
    share = context.world.share_punctual()
    assert share >= percent / 100, share


@then("its speed is within the speeds of the others")
def usual_speed(context):
    capacities = {u.name: u.capacity for u in context.world.scheduler.upstreams}
    rate = capacities.pop("added").prefill_tokens_per_s
    rates = sorted(capacity.prefill_tokens_per_s for capacity in capacities.values())
    third = len(rates) // 3
    assert rates[third] <= rate <= rates[-third // 2], (rate, rates)


@given("a data centre without room")
def without_room(context):
    context.load = DataCentreLoad(1.0)
    context.load.update(1.0, 0.0)
    assert not context.load.has_room


@when("the share of its slots in use sways between {low:f} and {high:f}")
def sway(context, low, high):
    context.rooms = []
    for share in (low, high) * 50:
        context.load.update(share, 0.0)
        context.rooms.append(context.load.has_room)


@then("it is without room all the time")
def no_room(context):
    assert not any(context.rooms), context.rooms
