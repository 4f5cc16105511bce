"""Steps for placement, upstream health and poison requests."""

from behave import given, then, when
from cell_fixtures import Cell, make_fleet

from peridotfront.core.fleet import UpstreamKind
from peridotfront.core.messages import Grant, ReleaseCause, SlotRefusal, UpstreamReport
from peridotfront.core.verdicts import Reason

PREFIX = tuple(range(1000, 1030))
POISON = 666
LONG_PROMPT_TOKENS = 4000


def report(cell, upstream, **fields):
    values = {
        "is_alive": True,
        "is_leaving": False,
        "running": 0,
        "queued_prefill_tokens": 0,
        "used_kv_tokens": 0,
        "capacity_kv_tokens": 0,
        "cache_sequence": -1,
    }
    values.update(fields)
    message = UpstreamReport(upstream=upstream, cell=cell.scheduler.cell, **values)
    cell.receive("h", message)


def granted_at(cell, request_id):
    grants = cell.answers(request_id, Grant)
    return grants[-1].message.upstream if grants else None


@given("a cell of a plain service with {count:d} upstreams of {slots:d} slot")
def make_service(context, count, slots):
    context.cell = Cell(make_fleet(count, slots, UpstreamKind.SERVICE))


@when("a prompt with a long prefix was completed at an upstream")
def run_prefix(context):
    context.cell.request_slot("p1", prompt_tokens=2000, prefix_hashes=PREFIX)
    context.cell.pass_time(600)
    context.cell.release("p1", first_token_ms=500)


@when("another upstream is idle as well")
def other_is_idle(context):
    assert context.cell.slots_in_use == 0


@when("a prompt with the same prefix arrives")
def run_prefix_again(context):
    context.cell.request_slot("p2", prompt_tokens=2000, prefix_hashes=PREFIX)


@then("both ran at the same upstream")
def same_upstream(context):
    cell = context.cell
    assert granted_at(cell, "p1") == granted_at(cell, "p2")
    assert cell.answers("p2", Grant)[0].message.predicted_prefix_tokens > 0


@when('cache events {first:d} and {second:d} arrive from "{upstream}"')
def two_events(context, first, second, upstream):
    for sequence in (first, second):
        report(context.cell, upstream, cache_sequence=sequence)


@when('cache event {sequence:d} arrives from "{upstream}"')
def one_event(context, sequence, upstream):
    report(context.cell, upstream, cache_sequence=sequence)


@then('the trust in the cache of "{upstream}" is {trust:g}')
def trust_is(context, upstream, trust):
    assert context.cell.upstream(upstream).cache_trust == trust


@then('the trust in the cache of "{upstream}" is below {trust:g}')
def trust_below(context, upstream, trust):
    assert context.cell.upstream(upstream).cache_trust < trust


@when("{count:d} long prompts of tier {tier:d} arrive")
def long_prompts(context, count, tier):
    for index in range(count):
        context.cell.request_slot(
            f"long{index}", tier, prompt_tokens=LONG_PROMPT_TOKENS, deadline_ms=20_000
        )


@when("a short slot request of tier {tier:d} arrives")
def request_short(context, tier):
    context.cell.request_slot("short", tier)


@then("it is granted at the engine without the long prefill")
def granted_beside(context):
    assert granted_at(context.cell, "short") not in (
        None,
        granted_at(context.cell, "long0"),
    )


@when('upstream "{upstream}" reports that it leaves')
def report_leaving(context, upstream):
    report(context.cell, upstream, is_leaving=True)


@when("the upstream of a running request dies")
def upstream_dies(context):
    context.cell.request_slot("victim")
    context.dead = granted_at(context.cell, "victim")
    context.cell.pass_time(10)
    context.cell.release("victim", ReleaseCause.UPSTREAM_DIED, first_token_ms=-1)


@when("a request runs at an upstream without a token for {duration:d} ms")
def runs_without_progress(context, duration):
    cell = context.cell
    cell.request_slot("stalled")
    context.dead = granted_at(cell, "stalled")
    end_ms = cell.now_ms + duration
    while cell.now_ms < end_ms:
        cell.pass_time(500)
        cell.hold("stalled", "a", context.dead)


@when("both upstreams refuse the connection of a request in turn")
def connections_refused(context):
    cell = context.cell
    context.tried = []
    for attempt in (1, 2):
        name = f"unreached{attempt}"
        cell.request_slot(name, fingerprint=POISON)
        context.tried.append(granted_at(cell, name))
        cell.pass_time(10)
        cell.release(name, ReleaseCause.UNREACHABLE, first_token_ms=-1)
    assert len(set(context.tried)) == 2


@then("it is not refused permanently")
def not_refused_for_good(context):
    cell = context.cell
    cell.request_slot("unreached3", fingerprint=POISON)
    reasons = [sent.message.reason for sent in cell.answers("unreached3", SlotRefusal)]
    assert Reason.POISON not in reasons


@then("a slot request right after it is granted at neither upstream")
def granted_by_neither(context):
    context.cell.request_slot("next")
    assert not context.cell.answers("next", Grant)


@then("it gets no new grants")
def no_new_grants(context):
    for index in range(4):
        context.cell.request_slot(f"after{index}", deadline_ms=20_000)
        assert granted_at(context.cell, f"after{index}") != context.dead


@when('{count:d} requests one after the other end as "{cause}"')
def end_in_turn(context, count, cause):
    for number in range(count):
        context.cell.request_slot(f"late{number}")
        context.cell.pass_time(20)
        context.cell.release(f"late{number}", ReleaseCause(cause), first_token_ms=-1)


@then("a slot request right after them is granted immediately")
def granted_immediately(context):
    context.cell.request_slot("next")
    assert context.cell.answers("next", Grant)


@when('the probe there ends as "{cause}"')
def end_probe(context, cause):
    cell = context.cell
    request_ids = [f"probe{number}" for number in range(40)]
    for request_id in request_ids:
        cell.request_slot(request_id, deadline_ms=20_000)
    context.probes = [
        request_id
        for request_id in request_ids
        if granted_at(cell, request_id) == context.dead
    ]
    cell.release(context.probes[0], ReleaseCause(cause), first_token_ms=-1)


@then("another request is granted there as a probe")
def granted_as_probe(context):
    slot_requests = context.cell.slot_requests
    granted_ids = [
        request_id
        for request_id in slot_requests
        if granted_at(context.cell, request_id) == context.dead
    ]
    assert len(context.probes) == 1
    assert granted_ids[-1] not in ("victim", *context.probes)


@then("it gets {count:d} request as a probe")
def gets_probe(context, count):
    for index in range(4):
        context.cell.request_slot(f"probe{index}", deadline_ms=20_000)
    assert context.cell.upstream(context.dead).slots == count


@when("a poison request kills an upstream beside an unrelated request")
def poison_kills(context):
    kill_upstream(context, 1)


@when("the poison request kills another upstream beside an unrelated request")
def poison_kills_again(context):
    kill_upstream(context, 2)


def kill_upstream(context, attempt):
    cell = context.cell
    cell.request_slot(f"poison{attempt}", fingerprint=POISON)
    upstream = granted_at(cell, f"poison{attempt}")
    unrelated = []
    for index in range(3):
        name = f"unrelated{attempt}-{index}"
        cell.request_slot(name, fingerprint=100 * attempt + index)
        if granted_at(cell, name) == upstream:
            unrelated.append(name)
    assert unrelated
    cell.pass_time(10)
    for name in (*unrelated, f"poison{attempt}"):
        cell.release(name, ReleaseCause.UPSTREAM_DIED, first_token_ms=-1)
    for name in list(cell.held()):
        cell.release(name)
    context.dead = upstream
    context.unrelated = getattr(context, "unrelated", []) + [
        cell.slot_requests[name].fingerprint for name in unrelated
    ]


@then("the poison request is refused permanently")
def poison_refused(context):
    context.cell.request_slot("poison3", fingerprint=POISON)
    refusal = context.cell.answers("poison3", SlotRefusal)[0].message
    assert refusal.reason.value == "poison"
    assert refusal.retry_after_ms == 0


@then("no unrelated request is refused permanently")
def unrelated_not_refused(context):
    for fingerprint in context.unrelated:
        context.cell.request_slot(f"again{fingerprint}", fingerprint=fingerprint)
        refusals = context.cell.answers(f"again{fingerprint}", SlotRefusal)
        assert all(sent.message.reason.value != "poison" for sent in refusals)


@then("unrelated requests beside a known suspect have no strike")
def no_strike(context):
    first = [fingerprint for fingerprint in context.unrelated if fingerprint < 200]
    struck = context.cell.scheduler.dump().struck_fingerprints
    assert struck == len(first) + 1, (struck, context.unrelated)


@when("both are sent again while one upstream is left")
def suspects_return(context):
    context.cell.request_slot("poison-again", fingerprint=POISON)
    context.cell.request_slot("unrelated-again", fingerprint=context.unrelated[0])


@then("only one of them is granted")
def check_one_granted(context):
    granted = [
        name
        for name in ("poison-again", "unrelated-again")
        if granted_at(context.cell, name)
    ]
    assert len(granted) == 1


@when("the upstreams of all running requests die")
def all_die(context):
    names = [f"run{index}" for index in range(4)]
    for name in names:
        context.cell.request_slot(name)
    context.cell.pass_time(10)
    for name in names:
        context.cell.release(name, ReleaseCause.UPSTREAM_DIED, first_token_ms=-1)


@then("it is refused until the next probe")
def refused_until_probe(context):
    refusal = context.cell.answers("short", SlotRefusal)[0].message
    assert 100 <= refusal.retry_after_ms <= 1000, refusal


@when(
    'half of {count:d} requests end as "{cause}" at the upstream that was chosen first'
)
def fail_half(context, count, cause):
    cell = context.cell
    cell.request_slot("f0")
    context.failing = granted_at(cell, "f0")
    cell.release("f0", ReleaseCause(cause))
    for number in range(1, count):
        request_id = f"f{number}"
        cell.pass_time(100)
        cell.request_slot(request_id)
        is_failing = granted_at(cell, request_id) == context.failing and number % 2
        end_cause = ReleaseCause(cause) if is_failing else ReleaseCause.COMPLETED
        cell.release(request_id, end_cause)


@then('"{request_id}" is granted at the other upstream')
def granted_at_other(context, request_id):
    assert granted_at(context.cell, request_id) not in (None, context.failing)


@when("one of two requests there loses its connection and the other continues")
def lose_one_connection(context):
    cell = context.cell
    cell.request_slot("broken")
    cell.request_slot("going")
    upstream = granted_at(cell, "going")
    cell.hold("going", "h", upstream, 5)
    cell.release("broken", ReleaseCause.UPSTREAM_DIED)
    cell.pass_time(200)
    cell.hold("going", "h", upstream, 50)


@when("one request is rejected at the upstream that was chosen first")
def reject_one(context):
    context.cell.request_slot("first")
    context.rejecting = granted_at(context.cell, "first")
    context.cell.release("first", ReleaseCause.REJECTED, duration_ms=5)


@when("one request takes {duration:d} ms at the upstream that was chosen first")
def be_slow_once(context, duration):
    context.cell.request_slot("first")
    context.rejecting = granted_at(context.cell, "first")
    context.cell.pass_time(duration)
    context.cell.release("first", duration_ms=duration)


@when("requests complete at the other upstream for {duration:d} ms")
def complete_elsewhere(context, duration):
    cell = context.cell
    for number in range(duration // 500):
        cell.request_slot(f"next{number}")
        cell.pass_time(20)
        cell.release(f"next{number}", duration_ms=20)
        cell.pass_time(480)


@then("{count:d} requests at once are shared by both upstreams")
def share(context, count):
    cell = context.cell
    for number in range(count):
        cell.request_slot(f"at-once{number}")
    chosen = [granted_at(cell, f"at-once{number}") for number in range(count)]
    assert context.rejecting in chosen, chosen
    assert len(set(chosen)) == 2, chosen


@when(
    "{count:d} prompts with the same first blocks, and no other like it, each crash an"
    " engine"
)
def crash_by_prefix(context, count):
    cell = context.cell
    for number in range(count):
        request_id = f"crash{number}"
        prefix = (*PREFIX[:8], 5000 + number)
        cell.request_slot(request_id, prompt_tokens=700, prefix_hashes=prefix)
        cell.pass_time(50)
        cell.release(request_id, ReleaseCause.UPSTREAM_DIED, first_token_ms=-1)
        cell.pass_time(500)


@when("a prompt with the same first blocks arrives")
def ask_with_prefix(context):
    prefix = (*PREFIX[:8], 6000)
    context.cell.request_slot("next", prompt_tokens=700, prefix_hashes=prefix)


@then("it is refused as poison")
def refused_as_poison(context):
    refused = context.cell.answers("next", SlotRefusal)
    assert refused, "it was granted"
    assert refused[0].message.reason is Reason.POISON, refused
