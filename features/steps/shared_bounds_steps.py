"""Steps for allowances and retry budgets that all hosts share."""

from behave import then, when
from hypothesis import given as given_steps
from hypothesis import settings
from hypothesis import strategies as st
from support.routed_group import names_of

from peridotfront.core.allowances import AllowanceLimits, Allowances
from peridotfront.core.messages import ReleaseCause
from peridotfront.core.routes import RoutedAccount


def set_cut(group, hosts, is_cut):
    """Cut entry hosts off from all control hosts, or reconnect all."""
    group.heal()
    if not is_cut:
        return
    for host in hosts:
        for control in group.controls:
            group.cut(host, control.name)


@when(
    '"{hosts}" can\'t reach the control hosts from {first:d} to {last:d} ms of the load'
)
def cut_once(context, hosts, first, last):
    names = names_of(hosts)
    context.cut_at = lambda at_ms: set_cut(context.group, names, first <= at_ms < last)


@when("every entry host is cut off as soon as one follows another leader")
def cut_after_first(context):
    group = context.group
    old = getattr(context, "old_leader", "")

    def has_followed():
        leaders = {entry.role.leader for entry in group.entries}
        return bool(leaders - {"", old})

    group.run_until(has_followed)
    set_cut(group, [entry.name for entry in group.entries], True)


@when("every entry host is cut off as soon as all have version {version:d}")
def cut_after_version(context, version):
    group = context.group
    group.run_until(lambda: all(e.versions[-1:] == [version] for e in group.entries))
    set_cut(group, [entry.name for entry in group.entries], True)


@when('"{hosts}" are cut off and reconnected every {period:d} ms of the load')
def cut_often(context, hosts, period):
    names = names_of(hosts)
    context.cut_at = lambda at_ms: set_cut(
        context.group, names, at_ms // period % 2 == 1
    )


def load(context, gap, duration, ask):
    """Let each entry host request slots, and end granted requests, step by step.

    :param gap: milliseconds of a step.
    :param duration: milliseconds of the load.
    :param ask: function of an entry host and a step number that requests slots and
        returns their units by request id.
    """
    group = context.group
    context.spent = []
    cut_at = getattr(context, "cut_at", None)
    pending_units = {}
    for number in range(duration // gap):
        if cut_at is not None:
            cut_at(number * gap)
        for entry in group.entries:
            pending_units.update(ask(entry, number))
        group.run(gap)
        for entry in group.entries:
            for request_id in pending_units.keys() & entry.granted.keys():
                units = pending_units.pop(request_id)
                context.spent.append((group.granted_ms[request_id], request_id, units))
                entry.release(request_id)


CHARGE_STEPS = st.lists(
    st.tuples(
        st.integers(0, 200),
        st.sampled_from(("charge", "charge", "grant", "grant", "refund")),
        st.integers(1, 200),
    ),
    min_size=40,
    max_size=120,
)


@when("requests are charged, granted later and refunded in any order")
def charge_randomly(context):
    context.histories = []

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given_steps(CHARGE_STEPS)
    def play(steps):
        context.histories.append(list(charge_history(steps)))

    play()


def charge_history(steps):
    """Yield time and units of each grant that was not refunded."""
    limits = AllowanceLimits(0.0, 0.0, 2000)
    allowances = Allowances(limits, share=1.0)
    account = RoutedAccount("club", (), rate_per_s=400, burst=200)
    allowances.set_accounts((account,), 0)
    now_ms = 0
    waiting, granted = [], []
    for pause_ms, step, units in steps:
        now_ms += pause_ms
        if step == "charge" and not allowances.charge("club", units, now_ms):
            waiting.append((now_ms, units))
        elif step == "grant" and waiting:
            at_ms, taken = waiting.pop(0)
            if now_ms - at_ms >= 2000:
                # No slot request waits as long as a window.
                continue
            allowances.move_charge("club", taken, at_ms, now_ms)
            granted.append((now_ms, taken))
        elif step == "refund" and granted:
            at_ms, taken = granted.pop(units % len(granted))
            allowances.refund("club", taken, at_ms, now_ms)
    yield from granted


@then("units granted and not refunded never exceed the limit in any window")
def within_limit(context):
    longest = max(map(len, context.histories))
    assert longest > 5, longest
    for history in context.histories:
        for start_ms, first in history:
            inside = [u for t, u in history if start_ms <= t < start_ms + 2000]
            # A single request may exceed the limit when the window is empty.
            is_kept = sum(inside) <= 1000 or inside == [first]
            assert is_kept, (start_ms, sum(inside), history)


@when("each entry host asks for {count:d} slots of {units:d} units at once")
def ask_at_once(context, count, units):
    for entry in context.group.entries:
        for number in range(count):
            entry.request_slot(f"{entry.name}-first{number}", allowance_units=units)
    context.group.run(20)


@then("every slot request was granted")
def all_granted(context):
    for entry in context.group.entries:
        assert not entry.refused, len(entry.refused)


@when(
    '"{first}" alone asks for {units:d} units every {gap:d} ms, and all from'
    " {start:d} ms on, for {duration:d} ms"
)
def ask_unevenly(context, first, units, gap, start, duration):
    def ask(entry, number):
        if entry.name != first and number * gap < start:
            return {}
        request_id = f"{entry.name}-{number}"
        entry.request_slot(request_id, allowance_units=units)
        return {request_id: units}

    load(context, gap, duration, ask)


@when("each entry host asks for {units:d} units every {gap:d} ms for {duration:d} ms")
def ask_steadily(context, units, gap, duration):
    def ask(entry, number):
        request_id = f"{entry.name}-{number}"
        entry.request_slot(request_id, allowance_units=units)
        return {request_id: units}

    load(context, gap, duration, ask)


@when(
    "each entry host asks for a first send and a retry every {gap:d} ms"
    " for {duration:d} ms"
)
def ask_for_both(context, gap, duration):
    def ask(entry, number):
        entry.request_slot(f"{entry.name}-{number}")
        entry.request_slot(f"{entry.name}-{number}-again", is_repeat=True)
        return {f"{entry.name}-{number}": 0, f"{entry.name}-{number}-again": 1}

    load(context, gap, duration, ask)


@then("each entry host was granted at least one slot")
def granted_to_all(context):
    served = {request_id.partition("-")[0] for _, request_id, _ in context.spent}
    assert served == {entry.name for entry in context.group.entries}, served


@then(
    "retries were at most {ratio:g} of the first sends and {slack:d} in any"
    " {window:d} ms"
)
def limited_retry_ratio(context, ratio, slack, window):
    # The limit counts the first sends of this window, of the previous one or of the
    # one that starts half a window earlier, whichever has most.
    retries = [at_ms for at_ms, _, is_repeat in context.spent if is_repeat]
    first_sends = [at_ms for at_ms, _, is_repeat in context.spent if not is_repeat]
    assert retries

    def count(times, start_ms):
        return sum(start_ms <= at_ms < start_ms + window for at_ms in times)

    for start_ms in retries:
        starts = (start_ms, start_ms - window // 2, start_ms - window)
        max_first_sends = max(count(first_sends, start) for start in starts)
        retry_count = count(retries, start_ms)
        assert retry_count <= ratio * max_first_sends + slack, (
            retry_count,
            max_first_sends,
        )


@when(
    "each entry host asks for {units:d} units every {gap:d} ms for {duration:d} ms"
    " while the leader changes"
)
def ask_while_leader_changes(context, units, gap, duration):
    group = context.group

    def lose_leader(at_ms):
        if at_ms == duration // 2:
            group.down.add(group.leader().name)

    context.cut_at = lose_leader
    ask_steadily(context, units, gap, duration)


@when("each entry host asks for a retry every {gap:d} ms for {duration:d} ms")
def ask_for_retries(context, gap, duration):
    for number in range(duration // gap):
        for entry in context.group.entries:
            request_id = f"{entry.name}-{number}"
            entry.request_slot(request_id, is_repeat=True)
        context.group.run(gap)
        for entry in context.group.entries:
            for request_id in tuple(entry.granted):
                if request_id in entry.slot_requests:
                    entry.release(request_id)
                    del entry.slot_requests[request_id]


@when('"{host}" asks for {count:d} retries one after the other that end as "{cause}"')
def send_retries(context, host, count, cause):
    entry = context.group.hosts[host]
    for number in range(count):
        request_id = f"again{number}"
        entry.request_slot(request_id, is_repeat=True)
        context.group.run(10)
        if request_id in entry.granted:
            entry.release(request_id, ReleaseCause(cause))


@then("{count:d} retries were granted")
def granted_retries(context, count):
    granted = [len(entry.granted) for entry in context.group.entries]
    assert sum(granted) == count, granted


@then("no more than {units:d} units were granted in any {window:d} ms")
def limited_units(context, units, window):
    assert context.spent
    for start_ms, _, _ in context.spent:
        spent = sum(u for t, _, u in context.spent if start_ms <= t < start_ms + window)
        assert spent <= units, spent


@then("no more than {count:d} retries were granted")
def limited_retries(context, count):
    granted = sum(len(entry.granted) for entry in context.group.entries)
    assert 0 < granted <= count, granted
