"""Steps for what repeats and searches use of retry budgets, limits and retry times."""

from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st
from support.repeat_world import SERVICE, RepeatWorld

from peridotfront.core.retry_budgets import RetryBudgets, RetryLimits

RATIO = 0.2
SLACK = 10
WINDOW_MS = 10_000
STEP_MS = 10


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
        st.sampled_from(("first", "repeat", "repeat", "repeat", "back", "back", "end")),
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
    open_ids = []
    unsent = set()
    for number, (wait_ms, step, pick) in enumerate(steps):
        world.pass_time(wait_ms)
        request_id = f"{step}{number}"
        if step in ("first", "repeat"):
            world.ask(request_id, is_repeat=step == "repeat")
            if request_id in world.granted:
                open_ids.append(request_id)
        elif open_ids:
            request_id = open_ids.pop(pick % len(open_ids))
            if step == "back" and request_id.startswith("repeat"):
                world.give_back(request_id)
                unsent.add(request_id)
            else:
                world.release(request_id)
    sent = {name: at for name, at in world.granted_ms.items() if name not in unsent}
    first_sends = [at for name, at in sent.items() if name.startswith("first")]
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
