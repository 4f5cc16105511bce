"""Steps for changes that come into force while requests wait or run."""

import asyncio

from behave import given, then, when
from support.changing_gateway import CHANGES, ChangingGateway
from support.changing_processes import ChangingProcesses
from support.routed_group import listed

SLOTS = 4
ROUND_MS = 800
GONE_MS = 200
STEP_MS = 10
PATIENCE_MS = 2000
ANSWERED_AFTER_S = 2.0
REFUSED_AFTER_S = 0.5
MIN_CHANGES = 6
NARROW_LIMITS = {
    "bodies": {"MaxBodyBytes": 100},
    "headers": {"MaxHeaderBytes": 500},
    "idle connections": {"IdleTimeoutMs": 300},
}
KEPT_REQUESTS = {
    "a long body": {"body": b"x" * 1000},
    "long header fields": {"header": "x" * 1000},
    "a pause before it": {"pause_s": 0.8},
}


def acknowledge(group, version, **fields):
    """Send a configuration to the leader and wait until it is acknowledged."""
    operation_id = group.put(group.await_leader().name, version, **fields)
    group.run_until(lambda: operation_id in group.answers)
    assert group.answers[operation_id].result.status.value == "accepted"


def put(group, version, **fields):
    """Send a configuration to the leader and wait until each entry host has it."""
    acknowledge(group, version, **fields)
    group.run_until(lambda: all(e.versions[-1] == version for e in group.entries))


@given("slot requests of each entry host fill the upstreams and {waiting:d} more wait")
def fill(context, waiting):
    group = context.group
    first = group.entries[0]
    for number in range(SLOTS):
        first.request_slot(f"run-{number}")
    group.run(200)
    assert len(first.granted) == SLOTS, first.refused
    for entry in group.entries:
        for number in range(waiting):
            entry.request_slot(f"{entry.name}-{number}", goal_ms=3000)
    group.run(200)
    for entry in group.entries:
        assert not entry.refused, entry.refused
    assert sum(len(entry.granted) for entry in group.entries) == SLOTS


@when("version {version:d} without the service comes into force")
def drop_service(context, version):
    group = context.group
    put(group, version, routes=(), dropped_service="models")
    context.changed_ms = group.now_ms


@then('every slot request that waited is refused as "{reason}" within {limit:d} ms')
def refused_at_once(context, reason, limit):
    group = context.group
    group.run(max(0, context.changed_ms + limit - group.now_ms))
    for entry in group.entries:
        waited = {name for name in entry.slot_requests if name not in entry.granted}
        reasons = {name: r.refusal.reason.value for name, r in entry.refused.items()}
        assert reasons == dict.fromkeys(waited, reason), (waited, reasons)


@then("all slots can be granted again when version {version:d} has the service")
def granted_again(context, version):
    group = context.group
    first, second = group.entries
    for number in range(SLOTS):
        first.release(f"run-{number}")
    put(group, version)
    group.list_upstreams(listed("m1"))
    group.run(500)
    for number in range(SLOTS):
        second.request_slot(f"again-{number}")
    group.run(200)
    assert len(second.granted) == SLOTS, (second.granted, second.refused)


@given(
    'version {version:d} without "{service}" is in force, whose upstreams are listed'
)
def without_service(context, version, service):
    group = context.group
    group.list_upstreams(listed("m1"), listed("l1", service, slots=50))
    group.run(500)
    put(group, version, dropped_service=service)


@when('version {version:d} adds "{service}" and the leader is lost {moment}')
def lose_leader(context, version, service, moment):
    group = context.group
    leader = group.leader().name
    change = put if moment == "when all entry hosts activate it" else acknowledge
    change(group, version)
    group.down.add(leader)


@when(
    'each entry host asks for a slot of "{service}" every {gap:d} ms for'
    " {duration:d} ms"
)
def ask_regularly(context, service, gap, duration):
    group = context.group
    context.asked_ms = {}
    context.replied_ms = {}
    for step in range(0, duration + PATIENCE_MS, STEP_MS):
        for entry in group.entries:
            if step < duration and step % gap == 0:
                request_id = f"{entry.name}-{step}"
                entry.request_slot(request_id, cell=service)
                context.asked_ms[request_id] = group.now_ms
        group.run(STEP_MS)
        for entry in group.entries:
            note_replies(context, entry)


def note_replies(context, entry):
    """Note the time of new replies, and release the slots that were granted."""
    for request_id in (*entry.granted, *entry.refused):
        if request_id in context.replied_ms:
            continue
        asked_ms = context.asked_ms[request_id]
        context.replied_ms[request_id] = context.group.now_ms - asked_ms
        if request_id in entry.granted:
            entry.release(request_id)


@then("every slot request was granted or refused within {limit:d} ms")
def replied(context, limit):
    missing = context.asked_ms.keys() - context.replied_ms.keys()
    assert not missing, sorted(missing)
    assert max(context.replied_ms.values()) <= limit, context.replied_ms


@when(
    "each entry host asks for {units:d} units every {gap:d} ms while the account is"
    " gone {count:d} times"
)
def drop_account(context, units, gap, count):
    group = context.group
    context.spent = []
    for round_number in range(count):
        for step in range(ROUND_MS // gap):
            for entry in group.entries:
                request_id = f"{entry.name}-{round_number}-{step}"
                entry.request_slot(request_id, allowance_units=units)
            group.run(gap)
            release_granted(group, context.spent, units)
        put(group, 20 + 2 * round_number, accounts=("others",))
        group.run(GONE_MS)
        release_granted(group, context.spent, units)
        put(group, 21 + 2 * round_number)
    assert context.spent


def release_granted(group, spent, units):
    """Release the granted slots, and record when their units were spent."""
    recorded = {request_id for _, request_id, _ in spent}
    for entry in group.entries:
        for request_id in entry.granted.keys() - recorded:
            spent.append((group.granted_ms[request_id], request_id, units))
            entry.release(request_id)


@given("a gateway that schedules an upstream by itself")
def make_gateway(context):
    context.gateway = ChangingGateway()


@when("{change} while requests are under way")
def play_change(context, change):
    context.change = change
    asyncio.run(context.gateway.play(CHANGES[change]))


@then(
    'each request ends as it may, with "{half_read}" for what is read after the change'
)
def ended(context, half_read):
    gateway = context.gateway
    statuses = {int(status) for status in half_read.split(",")}
    # What waits can't be served when its service is gone.
    waiting = {503} if context.change == "the service is gone" else {200}
    for name, answer in gateway.answers.items():
        assert answer is not None, f"{name} has no answer"
        assert answer.is_complete, (name, answer)
        is_late = name in ("half_read", "kept")
        allowed = statuses if is_late else waiting if name == "waiting" else {200}
        assert answer.status in allowed, (name, answer)
        limit_s = REFUSED_AFTER_S if answer.status == 503 else ANSWERED_AFTER_S
        assert gateway.duration_s[name] < limit_s, gateway.duration_s


@then("only what was answered has run, and once")
def ran_once(context):
    gateway = context.gateway
    for name, answer in gateway.answers.items():
        runs = gateway.upstream.runs[name]
        allowed = {200: {1}, 504: {0, 1}}.get(answer.status, {0})
        assert runs in allowed, (name, runs, answer)


@then("all slots are free with the first configuration")
def slots_free(context):
    later = context.gateway.later_answers
    assert [answer.status for answer in later] == [200] * len(later), later
    assert context.gateway.later_s < 2 * context.gateway.upstream.call_s, later


@given("a configuration in force that limits {what}")
def limit(context, what):
    context.narrow_limits = NARROW_LIMITS[what]


@given("a connection on which a request was answered")
@when("a configuration without that limit comes into force")
def keep_connection(context):
    """Leave it to the request, since all runs in one event loop."""


@when("the caller sends a request with {what} on the same connection")
def send_on_kept(context, what):
    options = KEPT_REQUESTS[what]
    asyncio.run(context.gateway.play_kept(context.narrow_limits, **options))


@then("the request on the kept connection is answered with {status:d}")
def answered_on_kept(context, status):
    answer = context.gateway.answers["kept"]
    assert answer is not None, "the connection ended without an answer"
    assert answer.status == status, answer


@given(
    "changing programs of {controls:d} control hosts and {entries:d} entry hosts before"
    " {upstreams:d} upstreams"
)
def make_changing_programs(context, controls, entries, upstreams):
    context.programs = ChangingProcesses(controls, entries, upstreams)


@when(
    "streams are sent for {duration:d} s while all that may change does so every 500 ms"
)
def play_changes(context, duration):
    asyncio.run(context.programs.play(duration))


@then("the route that comes and goes is answered with 200 or 404 or 503")
def passing_answered(context):
    programs = context.programs
    assert programs.changes >= MIN_CHANGES, programs.changes
    assert programs.passing[200] and programs.passing[404], programs.passing
    assert programs.passing.keys() <= {200, 404, 503}, programs.passing
