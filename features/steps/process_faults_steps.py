"""Steps that cause faults between real processes."""

import hashlib
import json
import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from support.deployment import call, wait_until
from support.load import Load, check_results

from peridotfront.standin import expected_text

FREEZE_S = 3.0
MARKER = "crash-the-engine"
MARKED_PAUSE_S = 0.5
STREAM_PROMPT = "Write a first letter to a class in Patras"


def send_transfer(context, entry, key, **headers):
    body = {"seller": "B. Evans", "amount_pence": 7}
    return context.deployment.request(
        entry, "/services/payout/transfers", body, idempotency_key=key, **headers
    )


def make_entry_finder(context):
    def find():
        return [
            host.name
            for host in context.deployment.hosts("entry")
            if host.is_running and host.name not in context.excluded_entries
        ]

    return find


def find_follower(deployment):
    leader = deployment.leader()
    return next(h.name for h in deployment.hosts("control") if h.name != leader)


def schedule_restart(context, name):
    context.repairs.append(lambda: context.deployment.start_one(name))


def kill(context, name):
    context.deployment.processes[name].kill()
    schedule_restart(context, name)


def freeze(context, name):
    process = context.deployment.processes[name]
    process.send_signal(signal.SIGSTOP)
    time.sleep(FREEZE_S)
    process.send_signal(signal.SIGCONT)


def stop_gracefully(context, name):
    context.excluded_entries.add(name)
    process = context.deployment.processes[name]
    process.send_signal(signal.SIGTERM)
    assert process.popen.wait(30) == 0
    schedule_restart(context, name)
    context.repairs.append(lambda: context.excluded_entries.discard(name))


@given("callers send transfers and completions")
def start_load(context):
    context.excluded_entries = set()
    context.repairs = []
    context.load = Load(context.deployment, make_entry_finder(context))
    context.add_cleanup(context.load.finish)
    wait_until(lambda: context.load.count() > 20, what="more than 20 ended requests")


FAULTS = {
    "an entry host is killed": lambda c: kill(c, "entry-2"),
    "the control leader is killed": lambda c: kill(c, c.deployment.leader()),
    "a control follower is killed": lambda c: kill(c, find_follower(c.deployment)),
    "the control leader is silently isolated": lambda c: c.deployment.isolate(
        c.deployment.leader()
    ),
    "the control leader is frozen": lambda c: freeze(c, c.deployment.leader()),
    "an entry host is frozen": lambda c: freeze(c, "entry-2"),
    "a payout service is killed": lambda c: kill(c, "payout-1"),
    "an engine is killed": lambda c: kill(c, "engine-1"),
    "an entry host is stopped gracefully": lambda c: stop_gracefully(c, "entry-2"),
}


@when("within the deployment {fault}")
def cause_fault(context, fault):
    FAULTS[fault](context)


@when("{count:d} more requests of the callers have ended")
def wait_for_requests(context, count):
    target = context.load.count() + count
    wait_until(lambda: context.load.count() >= target, 60, f"{count} more requests")


@when("all faults are repaired and the callers finish")
def heal(context):
    context.deployment.heal()
    for repair in context.repairs:
        repair()
    for host in context.deployment.hosts("entry"):
        wait_until(lambda host=host: context.deployment.is_ready(host), what=host.name)
    context.deployment.leader()
    context.ended = context.load.finish()


@when("every entry host and every control host is restarted in turn")
def restart_all(context):
    deployment = context.deployment
    for host in deployment.hosts():
        stop_gracefully(context, host.name)
        for repair in context.repairs:
            repair()
        context.repairs.clear()
        ready = wait_until if host.program == "entry" else None
        if ready:
            wait_until(lambda host=host: deployment.is_ready(host), what=host.name)
        deployment.leader()


@then("no request ran twice and every answer is complete and correct")
def check_guarantees(context):
    check_results(context.deployment, context.ended)


@then("at least {share:d} in 100 requests completed")
def check_completed_share(context, share):
    completed = sum(result.is_completed for result in context.ended)
    failed = [
        (result.verdict, result.failures)
        for result in context.ended
        if not result.is_completed
    ]
    text = f"{completed} of {len(context.ended)}: {failed[:5]}"
    assert completed * 100 >= share * len(context.ended), text


@when("data centre {name} is silently cut off")
def cut_data_centre(context, name):
    deployment = context.deployment
    isolated_hosts = [
        h.name for h in deployment.hosts() if h.addresses["data_centre"] == name
    ]
    deployment.isolate(*isolated_hosts)
    context.add_cleanup(deployment.heal)
    context.cut_s = time.monotonic()


@then("completions without a key still succeed at {entry}")
def check_completions(context, entry):
    for number in range(5):
        wait_until(
            lambda n=number: (
                context.deployment.complete(entry, f"x{n}", 4).status == 200
            ),
            what=f"completion at {entry}",
        )


@then("a transfer at {entry} is refused as not run within {bound_ms:d} ms")
def check_transfer_refused(context, entry, bound_ms):
    wait_until(lambda: time.monotonic() - context.cut_s > 2, what="the cut is detected")
    started_s = time.monotonic()
    reply = send_transfer(context, entry, f"cut-{started_s}")
    elapsed_ms = (time.monotonic() - started_s) * 1000
    assert reply.status == 503 and reply.json()["verdict"] == "not_run", reply
    assert int(reply.headers["retry-after"]) > 0
    assert elapsed_ms <= bound_ms, elapsed_ms


@then("the other hosts complete transfers")
def check_other_hosts(context):
    for number in (1, 2, 3):
        key = f"others-{number}"
        wait_until(
            lambda n=number, k=key: (
                send_transfer(context, f"entry-{n}", k).status == 200
            ),
            what=f"transfer at entry-{number}",
        )


@when("all links are restored")
def restore_links(context):
    context.deployment.heal()


@then("a transfer at {entry} completes within {bound_ms:d} ms")
def check_transfer_completes(context, entry, bound_ms):
    wait_until(
        lambda: send_transfer(context, entry, "healed").status == 200,
        bound_ms / 1000,
        "a transfer after the cut",
    )


@given("a stream of {tokens:d} tokens is in progress at {entry}")
def start_stream(context, tokens, entry):
    context.tokens = tokens
    wait_until(
        lambda: context.deployment.complete(entry, "ready?", 1).status == 200,
        what="an engine that answers",
    )
    address = context.deployment.processes[entry].addresses["callers"]
    host, _, port = address.rpartition(":")
    body = {"model": "m1", "prompt": STREAM_PROMPT, "max_tokens": tokens}
    data = json.dumps(body | {"stream": True}).encode()
    peer = socket.create_connection((host, int(port)), 10)
    peer.sendall(
        b"POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
        b"authorization: Bearer key-counter\r\ncontent-length: "
        + str(len(data)).encode()
        + b"\r\n\r\n"
        + data
    )
    context.received = peer.recv(200)
    context.peer = peer


@when("{entry} gets SIGTERM")
def send_sigterm(context, entry):
    context.stopped = context.deployment.processes[entry]
    context.stopped.send_signal(signal.SIGTERM)


@then("the stream is complete and {entry} exits with 0")
def check_complete_stream(context, entry):
    while data := context.peer.recv(65536):
        context.received += data
    assert context.received.endswith(b"0\r\n\r\n"), context.received[-200:]
    last = expected_text(STREAM_PROMPT, context.tokens).split()[-1]
    assert f'"text": " {last}"'.encode() in context.received
    assert b"data: [DONE]" in context.received
    assert context.stopped.popen.wait(20) == 0
    context.deployment.start_one(entry)
    wait_until(lambda: context.deployment.is_ready(context.stopped), what=entry)


@when("all engines are killed")
def kill_engines(context):
    names = [name for name in context.deployment.upstreams if name.startswith("engine")]
    for name in names:
        context.deployment.processes[name].kill()
        context.add_cleanup(context.deployment.start_one, name)


def list_stream_dispatches(context):
    """Return the engines that got the streamed prompt, sorted by time."""
    digest = hashlib.sha256(STREAM_PROMPT.encode()).hexdigest()
    seen = [
        (line["at_ms"], name)
        for name in context.deployment.upstreams
        for line in context.deployment.runs(name)
        if line["event"] == "dispatch" and line["prompt_sha256"] == digest
    ]
    return [name for _, name in sorted(seen)]


@when("the engine that runs the stream dies")
def kill_stream_engine(context):
    seen = list_stream_dispatches(context)
    context.seen = len(seen)
    context.deployment.processes[seen[-1]].kill()
    context.add_cleanup(context.deployment.start_one, seen[-1])


@then("the engines have seen the streamed prompt in 1 dispatch")
def check_one_dispatch(context):
    assert len(list_stream_dispatches(context)) == context.seen


@then(
    "the stream is cut off before its end and its last event has the verdict {verdict}"
)
def check_cut_off(context, verdict):
    while data := context.peer.recv(65536):
        context.received += data
    assert not context.received.endswith(b"0\r\n\r\n"), context.received[-200:]
    assert b"data: [DONE]" not in context.received
    last = context.received[context.received.rindex(b"event: error") :]
    assert f'"verdict": "{verdict}"'.encode() in last, last


def list_engines(context):
    processes = context.deployment.processes
    return [processes[n] for n in context.deployment.upstreams if n.startswith("eng")]


@given("engines that crash on a marked body")
def set_crash_marker(context):
    faults = json.dumps({"crash_marker": MARKER}).encode()
    for engine in list_engines(context):
        wait_until(
            lambda engine=engine: (
                call(engine.addresses["listen"], "POST", "/faults", faults).status
                == 204
            ),
            what=engine.name,
        )
        context.add_cleanup(restart_engine, context, engine)


def restart_engine(context, engine):
    if not engine.is_running:
        context.deployment.start_one(engine.name)
    wait_until(
        lambda: (
            call(engine.addresses["listen"], "POST", "/faults", b"{}").status == 204
        ),
        what=engine.name,
    )


@when("a caller sends the marked body {count:d} times to {entry}")
def send_marked(context, count, entry):
    for _ in range(count):
        context.reply = context.deployment.complete(entry, f"{MARKER} ring", 4)
        time.sleep(MARKED_PAUSE_S)


@then("at most {count:d} engines have died and the last answer is a permanent refusal")
def check_dead_engines(context, count):
    dead = [engine.name for engine in list_engines(context) if not engine.is_running]
    assert len(dead) <= count, dead
    assert context.reply.status == 422, context.reply
    assert context.reply.json()["reason"] == "poison", context.reply


@then("an unmarked request is answered by the remaining engine")
def check_unmarked_answered(context):
    wait_until(
        lambda: context.deployment.complete("entry-1", "a plain ring", 4).status == 200,
        what="an answer of the remaining engine",
    )


@when("an operator sends a change twice with one change id")
def send_change_twice(context):
    rules = context.deployment.rules()
    version = read_current_version(context)
    context.replies = [
        context.deployment.apply(rules, "lost-answer", version) for _ in range(2)
    ]


def read_current_version(context):
    leader = context.deployment.leader()
    return context.deployment.admin(leader, "GET", "/config").json()["version"]


@then("both answers name the same version")
def check_same_version(context):
    assert [reply.status for reply in context.replies] == [200, 200], context.replies
    versions = {reply.json()["version"] for reply in context.replies}
    assert len(versions) == 1


@when("two operators propose changes to the same version at the same time")
def propose_concurrently(context):
    rules = context.deployment.rules()
    version = read_current_version(context)
    barrier = threading.Barrier(2)

    def propose(change_id):
        barrier.wait()
        return context.deployment.apply(rules, change_id, version)

    with ThreadPoolExecutor(2) as pool:
        context.replies = list(pool.map(propose, ["race-a", "race-b"]))


@then("one is accepted and the other is refused with the winner's author")
def check_one_accepted(context):
    statuses = sorted(reply.status for reply in context.replies)
    assert statuses == [200, 409], context.replies
    loser = next(reply for reply in context.replies if reply.status == 409)
    assert b"test" in loser.body, loser.body


@given("{engine} has run {count:d} requests")
def wait_for_dispatches(context, engine, count):
    def is_used():
        runs = context.deployment.runs(engine)
        return sum(line["event"] == "dispatch" for line in runs) >= count

    wait_until(is_used, 30, f"requests at {engine}")


@when("an operator marks {engine} as leaving")
def mark_as_leaving(context, engine):
    deployment = context.deployment
    data_centre, rule = deployment.upstreams[engine]
    deployment.upstreams[engine] = (data_centre, rule + "is_leaving = true\n")
    assert deployment.apply(deployment.rules()).status == 200
    context.leaving_since_ms = time.time() * 1000

    def restore_upstream():
        deployment.upstreams[engine] = (data_centre, rule)
        deployment.apply(deployment.rules())

    context.add_cleanup(restore_upstream)


@then("{engine} gets no request later than {bound_ms:d} ms after that")
def check_no_late_request(context, engine, bound_ms):
    target = context.load.count() + 60
    wait_until(lambda: context.load.count() >= target, 60, "more requests")
    wait_until(
        lambda: time.time() * 1000 > context.leaving_since_ms + 2 * bound_ms,
        what="twice the time limit",
    )
    ended = context.load.finish()
    late_ms = context.leaving_since_ms + bound_ms
    late = [
        line
        for line in context.deployment.runs(engine)
        if line["event"] == "dispatch" and line["at_ms"] > late_ms
    ]
    assert not late, late[:3]
    check_results(context.deployment, ended)
