"""Steps for the procedures of the operators' guide."""

import asyncio
import contextlib
import http.client
import json
import shutil
import socket
import ssl
import tempfile
import time

from behave import given, then, when
from support.deployment import call, wait_until
from support.operated import OperatedDeployment

from peridotfront.addresses import Peer
from peridotfront.transport import Credentials, PeerLink

TIMEOUT_S = 30
STREAMED = {"model": "m1", "prompt": "hallmark 750", "max_tokens": 4, "stream": True}
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes(9)


def start(context, uses_tls, entry_hosts):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.operated = OperatedDeployment(
        folder.name, uses_tls=uses_tls, entry_hosts=entry_hosts
    )
    context.operated.add_engine("engine-1", "dc1")
    context.add_cleanup(context.operated.stop)
    context.operated.start()


@given("a deployment with TLS and one engine, configured by the command line")
def start_tls(context):
    start(context, uses_tls=True, entry_hosts=1)


@given("a deployment without TLS, configured by the command line")
def start_plain(context):
    start(context, uses_tls=False, entry_hosts=1)


def status(context):
    run = context.operated.ctl("status", "--json")
    assert run.code == 0, run
    return json.loads(run.out)


def set_max_queue_ms(context, value):
    return context.operated.ctl(
        "config", "set", "policy", "max_queue_ms", str(value), "--json"
    )


@when("a caller asks for a completion over TLS")
def request_over_tls(context):
    operated = context.operated
    address = operated.processes["entry-1"].addresses["callers"]
    host, _, port = address.rpartition(":")
    ssl_context = ssl.create_default_context(cafile=operated.authority.file)
    connection = http.client.HTTPSConnection(
        host, int(port), timeout=TIMEOUT_S, context=ssl_context
    )
    body = json.dumps({"model": "m1", "prompt": "hallmark 375", "max_tokens": 5})
    headers = {"authorization": "Bearer key-counter"}
    connection.request("POST", "/v1/completions", body, headers)
    context.reply = connection.getresponse()
    context.reply_body = context.reply.read()
    connection.close()


@then("the caller's answer is complete")
def check_complete_answer(context):
    assert context.reply.status == 200, context.reply_body
    assert json.loads(context.reply_body)["choices"][0]["text"]


@then("no admin or callers' address answers without TLS")
def check_tls_only(context):
    for host in context.operated.hosts():
        kinds = ["admin", "callers"] if host.program == "entry" else ["admin"]
        for kind in kinds:
            code = None
            with contextlib.suppress(OSError, http.client.HTTPException):
                code = call(host.addresses[kind], "GET", "/healthz").status
            assert code is None, (host.name, kind, code)


@then("a peer without a certificate gets no answer")
def check_peer_refused(context):
    address = context.operated.processes["control-1"].addresses["listen"]
    host, _, port = address.rpartition(":")
    ssl_context = ssl.create_default_context(cafile=context.operated.authority.file)
    ssl_context.set_alpn_protocols(["h2"])
    received = b""
    with contextlib.suppress(OSError):
        plain = socket.create_connection((host, int(port)), timeout=TIMEOUT_S)
        with ssl_context.wrap_socket(plain, server_hostname=host) as stream:
            stream.sendall(HTTP2_PREFACE)
            received = stream.recv(100)
    assert received == b"", received


@when("a follower of the control group loses its data folder and is restarted")
def lose_disk(context):
    operated = context.operated
    before = status(context)
    names = [host.name for host in operated.hosts("control")]
    context.lost_host = next(name for name in names if name != before["leader"])
    context.old_replicas = before["replicas"]
    operated.processes[context.lost_host].kill()
    shutil.rmtree(operated.folder / context.lost_host)
    operated.start_one(context.lost_host)


@then("it becomes a voter with a new incarnation")
def is_voter(context):
    old = {(r["host"], r["incarnation"]) for r in context.old_replicas}

    def find():
        found = [
            r for r in status(context)["replicas"] if r["host"] == context.lost_host
        ]
        is_new = (
            len(found) == 1 and (context.lost_host, found[0]["incarnation"]) not in old
        )
        return is_new and found[0]["is_voter"]

    wait_until(find, what="the new replica is the only one of its host and a voter")


@then("an operator's change is accepted and in force everywhere")
def check_change_accepted(context):
    run = set_max_queue_ms(context, 9000)
    assert run.code == 0, run
    assert json.loads(run.out)["is_confirmed"], run


@when("the control hosts are restarted one by one, with a change after each")
def rolling_restart(context):
    operated = context.operated
    context.runs = []
    for number, host in enumerate(operated.hosts("control")):
        host.stop()
        operated.start_one(host.name)
        context.runs.append(set_max_queue_ms(context, 9000 + number))


@then("every change is in force everywhere and in the history in order")
def check_all_changes(context):
    reports = [json.loads(run.out) for run in context.runs if run.code == 0]
    assert len(reports) == len(context.runs), context.runs
    assert all(report["is_confirmed"] for report in reports), reports
    run = context.operated.ctl("config", "history", "--json")
    change_ids = [v["change_id"] for v in json.loads(run.out)["versions"]]
    assert change_ids[1:] == [report["change_id"] for report in reports], change_ids


@when("the operator drains engine-1 of the deployment")
def drain_engine(context):
    run = context.operated.ctl("drain", "engine-1")
    assert run.code == 0, run


@then("the upstreams of the deployment show engine-1 as leaving")
def check_shown_leaving(context):
    run = context.operated.ctl("upstreams", "--json")
    assert run.code == 0, run
    (upstream,) = json.loads(run.out)["upstreams"]
    assert upstream["name"] == "engine-1" and upstream["is_leaving"], upstream
    assert upstream["scheduler"] == "entry-1", upstream


@when(
    "3 completions are answered, one under a key and one streamed, and one is refused"
)
def send_requests(context):
    operated = context.operated
    wait_until(
        lambda: operated.complete("entry-1", "warm up", 1).status == 200,
        what="the engine accepts requests",
    )
    context.before = read_samples(operated)
    replies = [
        operated.complete("entry-1", "hallmark 375", 4),
        operated.request("entry-1", "/v1/completions", STREAMED, account="bulk"),
        operated.complete("entry-1", "hallmark 916", 4, idempotency_key="metrics-1"),
    ]
    assert [reply.status for reply in replies] == [200, 200, 200], replies
    replies.append(operated.complete("entry-1", "hallmark", 4, model="nothing"))
    assert replies[-1].status == 404, replies[-1]
    context.request_ids = [reply.headers["x-request-id"] for reply in replies]
    context.after = read_samples(operated)


def read_samples(operated):
    text = operated.admin("entry-1", "GET", "/metrics").body.decode()
    lines = [line.rsplit(" ", 1) for line in text.splitlines() if line[:1] != "#"]
    return {name: float(value) for name, value in lines if name}


def sum_samples(found, name, *labels):
    return sum(
        value
        for key, value in found.items()
        if key.startswith(f"peridotfront_{name}{{") and all(x in key for x in labels)
    )


def count_since_start(context, name, *labels):
    return sum_samples(context.after, name, *labels) - sum_samples(
        context.before, name, *labels
    )


@then("the metrics of entry-1 show 3 good answers, 3 dispatches and 1 refusal")
def check_request_counts(context):
    counts = (
        count_since_start(context, "goodput_total"),
        count_since_start(context, "dispatches_total"),
        count_since_start(
            context, "answers_total", 'verdict="not_run"', 'reason="not_found"'
        ),
    )
    assert counts == (3, 3, 1), counts


@then("they show 1 granted claim, 3 waits for a slot and 1 for a first token")
def check_wait_counts(context):
    counts = (
        count_since_start(context, "claims_total", 'status="granted"'),
        count_since_start(context, "queue_ms_count"),
        count_since_start(context, "first_token_ms_count"),
    )
    assert counts == (1, 3, 1), counts


@then("they show 3 live control hosts and the configuration version in force")
def check_gauges(context):
    alive = sum_samples(context.after, "alive_peers", 'role="control"')
    version = sum_samples(context.after, "config_version")
    assert (alive, version) == (3, 1), context.after


@then("each request id of an answer is found in the log of entry-1")
def check_ids_logged(context):
    lines = (context.operated.folder / "entry-1.log").read_text().splitlines()
    events = [json.loads(line) for line in lines if line.startswith("{")]
    logged = {event["request_id"] for event in events}
    assert set(context.request_ids) <= logged, (context.request_ids, logged)


class CancellationIgnoringLink(PeerLink):
    """Link that ignores cancellations, as waiting for a finished write may do."""

    def __init__(self, ignored_cancellations):
        peer = Peer("entry-2", "entry", "dc1", "127.0.0.1:1")
        super().__init__(peer, "entry-1", 1, Credentials())
        self.ignored_cancellations = ignored_cancellations

    async def _send_frames(self, channel):
        while self.ignored_cancellations:
            try:
                await asyncio.sleep(TIMEOUT_S)
            except asyncio.CancelledError:
                self.ignored_cancellations -= 1
        await asyncio.sleep(TIMEOUT_S)


@given("a link to a peer whose task ignores the first {count:d} cancellations")
def create_link(context, count):
    context.ignored_cancellations = count


@when("the link is stopped")
def stop_link(context):
    async def start_and_stop():
        link = CancellationIgnoringLink(context.ignored_cancellations)
        link.start()
        await asyncio.sleep(0)
        started_s = time.monotonic()
        async with asyncio.timeout(TIMEOUT_S / 2):
            await link.stop()
        context.stop_s = time.monotonic() - started_s

    asyncio.run(start_and_stop())


@then("the link has stopped within {limit_s:d} s")
def check_stop_time(context, limit_s):
    assert context.stop_s < limit_s, context.stop_s
