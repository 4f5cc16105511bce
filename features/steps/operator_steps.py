"""Steps on the admin address and the operators' command line."""

import json
import tempfile
from pathlib import Path

from behave import given, then, when
from certificates import write_certificate
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st
from support.control_fake import HOST_IP, RULES, TOKEN, closing_bench

from peridotfront import logs
from peridotfront.core.messages import (
    Claim,
    ClaimRecord,
    ConfigProposal,
    Outcome,
)
from peridotfront.core.verdicts import Reason, Verdict
from peridotfront.http_client import HttpClient
from peridotfront.log_settings import LogSection
from peridotfront.tls import server_ssl_context

STRANGE_KEY = "counter/payout/a b%2F?"
TOKENS = {
    "no token": None,
    "a wrong token": "Bearer another-token",
    "half the token": f"Bearer {TOKEN[:9]}",
    "the token doubled": f"Bearer {TOKEN}{TOKEN}",
    "another scheme": f"Basic {TOKEN}",
    "an empty token": "Bearer",
    "a token beyond ASCII": "Bearer \xe9\xff",
    "the token": f"bearer {TOKEN}",
}


def accept(context, author, content, change_id):
    configuration = context.bench.group.configuration
    proposal = ConfigProposal(change_id, configuration.version, author, content)
    context.bench.group.apply(proposal)


@given("{count:d} fake control hosts with the hand-tuned configuration")
def start_bench(context, count):
    logs.configure(LogSection(level="error"), "")
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    manager = closing_bench(Path(folder.name))
    context.bench = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    context.bench.start(count)
    accept(context, "setup", RULES, "first")


@given("entry hosts that confirm at once")
def entry_hosts(context):
    context.bench.group.confirmed = {"entry-1": None, "entry-2": None}


@given('entry host "{name}" stays at version {version:d}')
def entry_lags(context, name, version):
    context.bench.group.confirmed[name] = version


@given('entry host "{name}" is dead')
def entry_dead(context, name):
    context.bench.group.dead.add(name)


@given("the next {count:d} answers to a change are lost")
def lose_answers(context, count):
    context.bench.group.answers_to_lose = count


@given("the operator waits at most {time_ms:d} ms for a leader")
def short_wait(context, time_ms):
    context.bench.write_settings(leader_timeout_ms=time_ms)


@given("the operator's token is wrong")
def wrong_token(context):
    context.bench.write_settings(token="not-the-token")


@given("1 fake control host that serves TLS")
def start_tls(context):
    bench = context.bench
    other = bench.folder / "other"
    other.mkdir()
    other_file, _ = write_certificate(other, HOST_IP)
    bench.write("other.pem", Path(other_file).read_text())
    files = write_certificate(bench.folder, HOST_IP)
    bench.stop_controls()
    bench.start(1, server_ssl_context(*files))


@given('the operator\'s settings on TLS are "{tls}"')
def settings_on_tls(context, tls):
    line = tls.format(folder=context.bench.folder)
    context.bench.write_settings(tls=line, leader_timeout_ms=500)


@given('the leader is "{name}"')
def leader_is(context, name):
    context.bench.group.leader = name


@given('the leader is ""')
def no_leader(context):
    context.bench.group.leader = ""


@given('"{author}" has changed the configuration to version {version:d}')
def changed(context, author, version):
    accept(context, author, RULES.replace("20000", "7"), f"other-{version}")
    assert context.bench.group.configuration.version == version


@when("another operator accepts version {version:d}")
def another_accepts(context, version):
    changed(context, "bea", version)


@given("a claim on record for a key with slashes and spaces")
def record_claim(context):
    claim = Claim(STRANGE_KEY, 1, 1, "entry-1", 5, "payout-1", False)
    outcome = Outcome(Verdict.COMPLETED, Reason.NONE, 200)
    record = ClaimRecord(claim, "r-1", 1000, outcome)
    context.bench.group.claims[STRANGE_KEY] = record


@given("an asset register that moves engine-1 and adds engine-2")
def write_register(context):
    context.bench.write(
        "assets.csv",
        "name,kind,data_centre,address,rack\n"
        "engine-1,engine,swansea,127.0.0.1:9001,7\n"
        "engine-2,engine,cardiff,127.0.0.1:9002,8\n",
    )


# The admin address.


def ask(context, request, authorization=None, body=b""):
    method, target = request.split(" ", 1)
    headers = [("authorization", authorization)] if authorization else []

    async def send():
        client = HttpClient()
        address = context.bench.address()
        answer = await client.send(address, method, target, headers, body)
        content = await answer.read()
        await client.close()
        return answer, content

    context.answer, context.content = context.bench.run(send())


@when('"{request}" is asked without a token')
def ask_open(context, request):
    ask(context, request)


@when('the control host is {state} and "{request}" is asked without a token')
def ask_readiness(context, state, request):
    context.bench.controls[0].is_ready = state == "ready"
    ask(context, request)


@when('"{request}" is asked with {token}')
def ask_with(context, request, token):
    ask(context, request, TOKENS[token])


def post_change(context, content, **other):
    change = {"change_id": "c-1", "base_version": 1, "author": "ann"}
    body = json.dumps({**change, "content": content, **other}).encode()
    ask(context, "POST /config", TOKENS["the token"], body)


@when("a change with two faults is posted")
def post_faults(context):
    content = RULES.replace("20000", "soon").replace("127.0.0.1:", "engine-1:")
    post_change(context, content)


@when("a change of version {version:d} is posted")
def post_version(context, version):
    post_change(context, RULES, base_version=version)


@when("the body {body} is posted as a change")
def post_body(context, body):
    content = b"" if body == "nothing" else body.encode()
    ask(context, "POST /config", TOKENS["the token"], content)


@when("that key is looked up")
def look_up(context):
    ask(context, "GET /requests/counter%2Fpayout%2Fa%20b%252F%3F", TOKENS["the token"])


@when("any path and header is asked")
def ask_any(context):
    context.codes = []
    paths = st.lists(
        st.sampled_from(
            ["/", "config", "requests", "state", "%", "%zz", "%00", "?", "="]
        )
        | st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=6),
        max_size=6,
    ).map("".join)
    ascii_text = st.characters(min_codepoint=33, max_codepoint=126)
    other_text = st.characters(min_codepoint=161, max_codepoint=255)
    header = st.text(ascii_text | other_text, min_size=1, max_size=20)

    @settings(max_examples=150)
    @for_any(paths, header, st.booleans(), st.sampled_from(["GET", "POST"]))
    def check(path, value, is_known, method):
        authorization = TOKENS["the token"] if is_known else f"Bearer {value}"
        ask(context, f"{method} /{path}", authorization, b"x")
        context.codes.append(context.answer.status_code)

    check()


@then("every admin answer is whole and none is an internal error")
def codes_fine(context):
    assert len(context.codes) >= 100
    assert set(context.codes) <= {200, 400, 401, 404, 405}, set(context.codes)


@then("the admin answer is {code:d}")
def answer_is(context, code):
    assert context.answer.status_code == code, context.content


@then('the admin answer is {code:d} and allows "{methods}"')
def answer_allows(context, code, methods):
    answer_is(context, code)
    assert context.answer.header("allow") == methods


@then("the admin answer is {code:d} with a time to come back")
def answer_later(context, code):
    answer_is(context, code)
    assert int(context.answer.header("retry-after")) > 0


@then("the admin answer tells nothing of the deployment")
def answer_bare(context):
    problem = json.loads(context.content)
    assert problem["leader"] == "" and not problem["faults"]
    assert b"engine" not in context.content and b"control" not in context.content


@then("the admin answer is JSON without the token")
def answer_masked(context):
    answer_is(context, 200)
    json.loads(context.content)
    assert TOKEN.encode() not in context.content, context.content


@then('its faults are "{first}" and "{second}"')
def faults_are(context, first, second):
    faults = json.loads(context.content)["faults"]
    found = sorted(f"[{f['section']}] {f['key']}" for f in faults)
    assert found == sorted([first, second]), found


@then("nothing was proposed")
def nothing_proposed(context):
    assert context.bench.group.proposals == []


@then('the change answer says that version {version:d} by "{author}" stands')
def change_lost(context, version, author):
    answer = json.loads(context.content)
    found = (answer["status"], answer["version"], answer["author"])
    assert found == ("conflict", version, author), answer


@then('the admin answer names the leader "{name}"')
def names_leader(context, name):
    assert json.loads(context.content)["leader"] == name


@then("the admin answer shows the holder and outcome of that key")
def shows_claim(context):
    claim = json.loads(context.content)
    assert claim["key"] == STRANGE_KEY, claim
    found = (claim["holder_host"], claim["state"], claim["verdict"])
    assert found == ("entry-1", "ended", "completed"), claim


# The command line.


@when('the operator runs "{command}"')
def run_ctl(context, command):
    context.bench.ctl(command)


@when('the operator saves the configuration and edits "{old}" to "{new}"')
def save_and_edit(context, old, new):
    context.bench.ctl("config show")
    assert old in context.bench.out, context.bench.out
    context.bench.write("rules.ini", context.bench.out.replace(old, new))


@when("the operator has a file without its version")
def file_without_version(context):
    context.bench.write("rules.ini", RULES.replace("20000", "5"))


@then("the command exits with {code:d}")
def exits(context, code):
    bench = context.bench
    assert bench.code == code, (bench.code, bench.out, bench.err)
    assert "Traceback" not in bench.err, bench.err


@then('its output has "{text}" {count:d} times')
def output_has_times(context, text, count):
    assert context.bench.out.count(text) == count, context.bench.out


@then('its output has "{text}"')
def output_has(context, text):
    assert text in context.bench.out, (context.bench.out, context.bench.err)


@then('its errors have "{text}"')
def errors_have(context, text):
    assert text in context.bench.err, (context.bench.out, context.bench.err)


@then('its output is JSON with "{key}"')
def output_json(context, key):
    lines = context.bench.out.splitlines()
    assert len(lines) == 1, lines
    assert key in json.loads(lines[0]), lines


@then('the configuration differs only in "{line}"')
def differs_only(context, line):
    content = context.bench.group.configuration.current.content
    assert content == RULES.replace("max_queue_ms = 20000", line), content


@then('the configuration has "{line}" for engine-1')
def has_line(context, line):
    content = context.bench.group.configuration.current.content
    assert content == f"{RULES}{line}\n", content


@then("the fake configuration is at version {version:d}")
def version_is(context, version):
    assert context.bench.group.configuration.version == version


@then("the change was proposed {count:d} times under one id")
def proposed_times(context, count):
    proposals = context.bench.group.proposals
    assert len(proposals) == count, proposals
    assert len(set(proposals)) == 1, proposals
