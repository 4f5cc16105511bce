"""Steps on local claims of a data centre that is cut off."""

from behave import then, when
from support.control_group import CONTROLS, ENTRIES

from peridotfront.core.messages import ClaimStatus
from peridotfront.core.verdicts import Verdict


def reply_of(context, name, request_id):
    group = context.group
    decided = group.hosts[name].decided
    group.run_until(lambda: request_id in decided, 5000, "the local claim's answer")
    return decided[request_id]


@when('"{name}" wants the local claim "{key}"')
def want_local(context, name, key):
    context.group.run_for(300)
    context.group.want_local(name, key, f"{name}-{key}")
    context.group.run_for(300)


@then('"{first}" is granted and "{second}" is told of its end')
def granted_and_ended(context, first, second):
    assert reply_of(context, first, f"{first}-look").status is ClaimStatus.GRANTED
    ended(context, second)


def ended(context, name):
    reply = reply_of(context, name, f"{name}-look")
    assert reply.status is ClaimStatus.ENDED, reply
    assert reply.outcome.verdict is Verdict.COMPLETED, reply


@then('"{key}" ran {count:d} time and two hosts know it')
def ran_and_known(context, key, count):
    ran(context, key, count)
    registered = [context.group.hosts[n].local.dump().registered for n in ENTRIES]
    assert sorted(registered) == [0, 1, 1], registered


@then('"{key}" ran {count:d} time')
@then('"{key}" ran {count:d} times')
def ran(context, key, count):
    assert context.group.oracle.runs[key] == count, context.group.oracle.runs


@when('the {which} host of the local claim "{key}" is killed for {time_ms:d} ms')
def kill_registrar(context, which, key, time_ms):
    group = context.group
    registrar = group.hosts["e1"].local._registrar
    names = registrar.registrars(key, group.now_ms)
    dead = names[0] if which == "first" else names[1]
    group.kill(dead)
    group.run_for(time_ms)
    context.other = next(n for n in reversed(ENTRIES) if n != dead)


@when('another host wants the local claim "{key}"')
def other_wants(context, key):
    context.group.hosts[context.other].decided.pop(f"{context.other}-{key}", None)
    context.group.want_local(context.other, key, f"{context.other}-{key}")


@then("that host is told of its end")
def other_ended(context):
    ended(context, context.other)


@when('"{name}" repeats the local claim "{key}" with attempt {attempt:d}')
def repeat(context, name, key, attempt):
    context.group.want_local(name, key, "repeat", attempt)


@then("the repeat ends as {verdict}")
def repeat_ends(context, verdict):
    reply = reply_of(context, "e1", "repeat")
    assert reply.outcome.verdict is Verdict(verdict), reply


@when('"{name}" wants the local claim "{key}" of a request that is not idempotent')
def want_non_idempotent(context, name, key):
    context.group.want_local(name, key, "pay", is_idempotent=False)


@then("the local claim is unknown in the same turn")
def unknown(context):
    assert context.group.hosts["e1"].unknown == {"pay"}


@when(
    '"{name}" wants a local claim of another registrar '
    "and hears nothing for {time_ms:d} ms"
)
def deaf(context, name, time_ms):
    group = context.group
    group.run_for(300)
    context.key = key_of_others(context, name)
    group.deafen(name)
    group.want_local(name, context.key, "late")
    group.run_for(time_ms)
    assert group.hosts[name].unknown == {"late"}


@then('"{name}" is told that "{holder}" holds the local claim')
def told_local_holder(context, name, holder):
    context.group.want_local(name, context.key, "while-held")
    reply = reply_of(context, name, "while-held")
    assert (reply.status, reply.claim.holder_host) == (ClaimStatus.HELD, holder), reply


@when('"{name}" hears again for {time_ms:d} ms')
def hears_again(context, name, time_ms):
    context.group.cuts = set()
    context.group.run_for(time_ms)


@then('"{name}" is granted the local claim, which ran {count:d} time')
def granted_local(context, name, count):
    context.group.want_local(name, context.key, "afterwards")
    assert reply_of(context, name, "afterwards").status is ClaimStatus.GRANTED
    ran(context, context.key, count)


@when(
    "all control hosts are killed for {time_ms:d} ms "
    'and "{name}" runs {n:d} local claims'
)
def run_many(context, time_ms, name, n):
    group = context.group
    for control in CONTROLS:
        group.kill(control)
    group.run_for(time_ms)
    context.keys = [f"look-{number}" for number in range(n)]
    for key in context.keys:
        group.want_local(name, key, key)
    group.run_for(500)


@then("all {n:d} are on record with their outcomes and none is left to upload")
def uploaded(context, n):
    group = context.group
    assert group.hosts["e1"].local.dump().held == 0
    assert group.hosts["e1"].local.dump().conflicts == 0
    assert len(context.keys) == n
    for key in context.keys[:3] + context.keys[-3:]:
        record = group.lookup(key)
        assert record.outcome.verdict is Verdict.COMPLETED, record


@then("each of the {n:d} ran once")
def each_once(context, n):
    counts = [context.group.oracle.runs[key] for key in context.keys]
    assert counts == [1] * n, counts


@then('a caller at "{name}" is told that "{holder}" holds it')
def told_held(context, name, holder):
    context.group.want(name, context.keys[0], "other")
    reply = reply_of(context, name, "other")
    assert (reply.status, reply.claim.holder_host) == (ClaimStatus.HELD, holder)


@when("{time_ms:d} ms go by")
def go_by(context, time_ms):
    context.group.run_for(time_ms)


@when('"{name}" is isolated for {time_ms:d} ms and wants the local claim "{key}"')
def isolated(context, name, time_ms, key):
    context.group.isolate(name)
    context.group.run_for(time_ms)
    context.group.cuts -= {(name, name)}
    context.group.want_local(name, key, "alone")
    context.group.run_for(500)


@then('"{name}" counts {n:d} conflict and has none left to upload')
def conflicts(context, name, n):
    dump = context.group.hosts[name].local.dump()
    assert (dump.conflicts, dump.held) == (n, 0), dump


@when('"{name}" holds a local claim whose registrars restart')
def hold_and_restart(context, name):
    group = context.group
    group.run_for(300)
    context.key = key_of_others(context, name)
    group.want_local(name, context.key, "one")
    assert reply_of(context, name, "one").status is ClaimStatus.GRANTED
    for other in ENTRIES:
        if other != name:
            group.kill(other)
            group.restart(other)
    group.run_for(500)


@when('"{name}" wants that local claim for another request')
def want_another(context, name):
    context.group.want_local(name, context.key, "two")
    context.another = reply_of(context, name, "two")


@then("only the first request was granted it and ran")
def only_first(context):
    assert context.another.status is ClaimStatus.ENDED, context.another
    ran(context, context.key, 1)


def key_of_others(context, name):
    """Return a key that other hosts register."""
    group = context.group
    registrar = group.hosts[name].local._registrar
    keys = [f"look-{number}" for number in range(50)]
    others = [k for k in keys if name not in registrar.registrars(k, group.now_ms)]
    return others[0]


@then('"{name}" has none left to upload after {time_ms:d} ms')
def none_left(context, name, time_ms):
    context.group.run_for(time_ms)
    assert context.group.hosts[name].local.dump().held == 0
