"""Steps for what repeats and searches use of retry budgets, limits and retry times."""

from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st
from support.repeat_world import SERVICE, RepeatWorld

from peridotfront.core.retry_budgets import RetryBudgets, RetryLimits
from peridotfront.core.verdicts import Reason

RATIO = 0.2
SLACK = 10
WINDOW_MS = 10_000
STEP_MS = 10
# Time in which a limit of 2 a second allows one request.
LIMIT_FILLED_MS = 600
SERVED_REQUESTS = 30
REFUSED_MS = 20


@given(
    "a retry budget of ratio {ratio:g}, slack {slack:d} and window {window:d} ms",
)
def make_budget(context, ratio, slack, window):
    context.budgets = RetryBudgets(RetryLimits(ratio, slack, window))
    context.now_ms = 0


@when("{count:d} retries are charged, and refunded {later:d} ms later")
def charge_and_refund(context, count, later):
    for _ in range(count):
        assert context.budgets.take(SERVICE, 0)
    context.now_ms = later
    for _ in range(count):
        context.budgets.refund(SERVICE, 0, later)


@then(
    "no more than {count:d} retries ever fit the budget within the next {span:d} ms",
)
def never_more(context, count, span):
    end_ms = context.now_ms + span
    free = {
        now_ms: context.budgets.remaining(SERVICE, now_ms)
        for now_ms in range(context.now_ms, end_ms, STEP_MS)
    }
    over_ms = [now_ms for now_ms, remaining in free.items() if remaining > count]
    assert not over_ms, (over_ms[0], over_ms[-1], max(free.values()))
    assert free[context.now_ms] == count, free[context.now_ms]


@given("a service with {upstreams:d} upstreams of {slots:d} slots")
def make_service(context, upstreams, slots):
    context.upstreams = upstreams
    context.slots = slots
    context.repeats = RepeatWorld(upstreams, slots)


REPEAT_STEPS = st.lists(
    st.tuples(
        st.integers(0, 400),
        st.sampled_from(
            ("first", "first", *["repeat"] * 4, "cancel", "back", "back", "end", "end")
        ),
        st.integers(0, 200),
    ),
    min_size=60,
    max_size=150,
)


@when("first sends and repeats are charged, granted and given back in any order")
def play_randomly(context):
    context.histories = []

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given_examples(REPEAT_STEPS)
    def play(steps):
        world = RepeatWorld(context.upstreams, context.slots)
        context.histories.append(play_steps(world, steps))

    play()


def play_steps(world, steps):
    """Return the times of the first sends and of the repeats that were sent."""
    unsent = set()
    for number, (wait_ms, step, pick) in enumerate(steps):
        world.pass_time(wait_ms)
        if step in ("first", "repeat"):
            world.ask(f"{step}{number}", is_repeat=step == "repeat")
        elif step == "cancel":
            if world.waiting:
                world.cancel(world.waiting[pick % len(world.waiting)])
        elif world.held:
            request_id = world.held[pick % len(world.held)]
            if step == "back" and request_id.startswith("repeat"):
                world.give_back(request_id)
                unsent.add(request_id)
            else:
                world.release(request_id)
    sent = {name: at for name, at in world.granted_ms.items() if name not in unsent}
    first_sends = [
        at for name, at in world.asked_ms.items() if name.startswith("first")
    ]
    repeats = [at for name, at in sent.items() if name.startswith("repeat")]
    return first_sends, repeats


@then("in any window the repeats that were sent are within the limit")
def within_limit(context):
    assert max(len(repeats) for _, repeats in context.histories) > SLACK
    for first_sends, repeats in context.histories:
        for end_ms in repeats:
            sent = count_in_window(repeats, end_ms)
            limit = RATIO * count_in_window(first_sends, end_ms) + SLACK
            assert sent <= limit, (end_ms, sent, limit, repeats)


def count_in_window(times, end_ms):
    """Return how many times lie in the window that ends at a time."""
    return sum(end_ms - WINDOW_MS < at_ms <= end_ms for at_ms in times)


@given("all its slots are held")
def hold_all(context):
    for number in range(context.upstreams * context.slots):
        context.repeats.ask(f"first{number}")
    assert len(context.repeats.held) == context.upstreams * context.slots


@when("{count:d} searches wait for a slot")
def search(context, count):
    for number in range(count):
        context.repeats.ask(f"search{number}", is_repeat=True, goal_ms=2500)
    assert len(context.repeats.waiting) == count, context.repeats.refused


@when("a retry of a send that failed arrives")
def retry(context):
    context.repeats.ask("retry", is_repeat=True, goal_ms=2500)


@then("the retry waits too")
def retry_waits(context):
    assert "retry" in context.repeats.waiting, context.repeats.refused


@when("{count:d} slots are given up while {others:d} repeats wait")
def give_up(context, count, others):
    world = context.repeats
    assert len(world.waiting) == others
    for request_id in world.held[:count]:
        world.release(request_id)


@then("{count:d} repeats were sent, and {refused:d} were refused for the retry budget")
def sent_repeats(context, count, refused):
    world = context.repeats
    sent = [name for name in world.granted if not name.startswith("first")]
    reasons = [refusal.reason for refusal in world.refused.values()]
    assert (len(sent), reasons) == (count, [Reason.RETRY_BUDGET] * refused), (
        len(sent),
        reasons,
    )


@then("{count:d} slots are free")
def slots_free(context, count):
    world = context.repeats
    for number in range(count):
        world.ask(f"first-again{number}")
        assert f"first-again{number}" in world.granted, number


@given("its upstream names the limit {limit:g}")
def name_limit(context, limit):
    context.repeats.name_limit("u1", limit)
    context.repeats.pass_time(LIMIT_FILLED_MS)


@when(
    "{count:d} searches in {step:d} ms steps find a slot that is not used, and {end}",
)
def find_unused(context, count, step, end):
    world = context.repeats
    for number in range(count):
        search_id = f"search{number}"
        world.ask(search_id, is_repeat=True, goal_ms=2500)
        if search_id in world.granted:
            if end.startswith("is cancelled"):
                world.cancel(search_id)
            if end.endswith("is given back"):
                world.give_back(search_id)
        world.pass_time(step)


@then("{count:d} searches were granted a slot")
def granted_searches(context, count):
    granted = len(context.repeats.granted)
    assert granted == count, granted


@given("it has served requests of {duration:d} ms, and all its slots are held")
def serve(context, duration):
    context.duration_ms = duration
    serve_requests(context.repeats, duration)


def serve_requests(world, duration_ms):
    """Serve requests one after the other, then fill all slots."""
    for number in range(SERVED_REQUESTS):
        world.ask(f"first{number}")
        world.pass_time(duration_ms)
        world.release(f"first{number}", duration_ms=duration_ms)
    number = 0
    while not world.waiting:
        world.ask(f"last{number}")
        number += 1
    world.cancel(world.waiting[0])


@when("{count:d} searches are refused {times:d} times, each {gap:d} ms")
def refuse_searches(context, count, times, gap):
    world = context.repeats
    for time in range(times):
        for number in range(count):
            name = f"search{number}.{time}"
            world.ask(name, is_repeat=True, goal_ms=0, deadline_ms=REFUSED_MS)
        world.pass_time(gap)
    assert len(world.refused) == count * times, world.refused
    reasons = {refusal.reason for refusal in world.refused.values()}
    assert reasons <= {Reason.OVERLOADED, Reason.EVICTED}, reasons
    context.searched_ms = times * gap


@when("a new request is refused")
def refuse_new(context):
    context.retry_after_ms = refuse_request(context.repeats)


def refuse_request(world):
    """Return the time after which a refused request is told to come back."""
    world.ask("new", goal_ms=0, deadline_ms=REFUSED_MS)
    world.pass_time(REFUSED_MS)
    refusal = world.refused["new"]
    assert refusal.reason in (Reason.OVERLOADED, Reason.EVICTED), refusal
    return refusal.retry_after_ms


@then("it is told the same time to come back as without the searches")
def same_retry_time(context):
    world = RepeatWorld(context.upstreams, context.slots)
    serve_requests(world, context.duration_ms)
    world.pass_time(context.searched_ms)
    alone_ms = refuse_request(world)
    assert context.retry_after_ms == alone_ms, (context.retry_after_ms, alone_ms)
