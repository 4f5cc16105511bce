"""Steps for the admin address and the operators' command line."""

import json
import tempfile
from pathlib import Path

from behave import given, then, when
from certificates import write_certificate
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st
from support.control_fake import CONFIGURATION, HOST_IP, TOKEN, closing_testbed

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

SPECIAL_KEY = "counter/payout/a b%2F?"
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


def accept_change(context, author, content, change_id):
    configuration = context.testbed.group.configuration
    proposal = ConfigProposal(change_id, configuration.version, author, content)
    context.testbed.group.apply(proposal)


@given("{count:d} fake control hosts with the hand-tuned configuration")
def start_testbed(context, count):
    logs.configure(LogSection(level="error"), "")
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    closing = closing_testbed(Path(folder.name))
    context.testbed = closing.__enter__()
    context.add_cleanup(closing.__exit__, None, None, None)
    context.testbed.start(count)
    accept_change(context, "setup", CONFIGURATION, "first")


@given("entry hosts that confirm immediately")
def confirm_immediately(context):
    context.testbed.group.confirmed = {"entry-1": None, "entry-2": None}


@given('entry host "{name}" stays at version {version:d}')
def set_entry_version(context, name, version):
    context.testbed.group.confirmed[name] = version


@given('entry host "{name}" is dead')
def mark_entry_dead(context, name):
    context.testbed.group.dead.add(name)


@given("the next {count:d} answers to a change are lost")
def lose_change_answers(context, count):
    context.testbed.group.answers_to_lose = count


@given("the operator waits at most {time_ms:d} ms for a leader")
def limit_leader_wait(context, time_ms):
    context.testbed.write_settings(leader_timeout_ms=time_ms)


@given("the operator's token is wrong")
def use_wrong_token(context):
    context.testbed.write_settings(token="not-the-token")


@given("1 fake control host that serves TLS")
def start_tls(context):
    testbed = context.testbed
    other_folder = testbed.folder / "other"
    other_folder.mkdir()
    other_file, _ = write_certificate(other_folder, HOST_IP)
    testbed.write("other.pem", Path(other_file).read_text())
    files = write_certificate(testbed.folder, HOST_IP)
    testbed.stop_controls()
    testbed.start(1, server_ssl_context(*files))


@given('the operator\'s settings on TLS are "{tls}"')
def set_tls(context, tls):
    line = tls.format(folder=context.testbed.folder)
    context.testbed.write_settings(tls=line, leader_timeout_ms=500)


@given('the leader is "{name}"')
def set_leader(context, name):
    context.testbed.group.leader = name


@given('the leader is ""')
def remove_leader(context):
    context.testbed.group.leader = ""


@given('"{author}" has changed the configuration to version {version:d}')
def change_configuration(context, author, version):
    accept_change(
        context, author, CONFIGURATION.replace("20000", "7"), f"other-{version}"
    )
    assert context.testbed.group.configuration.version == version


@when("another operator's change is accepted as version {version:d}")
def accept_other_change(context, version):
    change_configuration(context, "bea", version)


@given("a claim on record for a key with slashes and spaces")
def record_claim(context):
    claim = Claim(SPECIAL_KEY, 1, 1, "entry-1", 5, "payout-1", False)
    outcome = Outcome(Verdict.COMPLETED, Reason.NONE, 200)
    record = ClaimRecord(claim, "r-1", 1000, outcome)
    context.testbed.group.claims[SPECIAL_KEY] = record


@given("an asset register that moves engine-1 and adds engine-2")
def write_register(context):
    context.testbed.write(
        "assets.csv",
        "name,kind,data_centre,address,rack\n"
        "engine-1,engine,swansea,127.0.0.1:9001,7\n"
        "engine-2,engine,cardiff,127.0.0.1:9002,8\n",
    )


# The admin address.


def request_admin_page(context, request, authorization=None, body=b""):
    method, target = request.split(" ", 1)
    headers = [("authorization", authorization)] if authorization else []

    async def send():
        client = HttpClient()
        address = context.testbed.address()
        answer = await client.send(address, method, target, headers, body)
        content = await answer.read()
        await client.close()
        return answer, content

    context.answer, context.content = context.testbed.run(send())


@when('"{request}" is requested without a token')
def request_without_token(context, request):
    request_admin_page(context, request)


@when('the control host is {state} and "{request}" is requested without a token')
def request_readiness(context, state, request):
    context.testbed.controls[0].is_ready = state == "ready"
    request_admin_page(context, request)


@when('"{request}" is requested with {token}')
def request_with_token(context, request, token):
    request_admin_page(context, request, TOKENS[token])


def post_change(context, content, **fields):
    change = {"change_id": "c-1", "base_version": 1, "author": "ann"}
    body = json.dumps({**change, "content": content, **fields}).encode()
    request_admin_page(context, "POST /config", TOKENS["the token"], body)


@when("a change with two faults is posted")
def post_invalid_change(context):
    content = CONFIGURATION.replace("20000", "soon").replace("127.0.0.1:", "engine-1:")
    post_change(context, content)


@when("a change of version {version:d} is posted")
def post_version(context, version):
    post_change(context, CONFIGURATION, base_version=version)


@when("the body {body} is posted as a change")
def post_body(context, body):
    content = b"" if body == "nothing" else body.encode()
    request_admin_page(context, "POST /config", TOKENS["the token"], content)


@when("that key is looked up")
def look_up(context):
    request_admin_page(
        context, "GET /requests/counter%2Fpayout%2Fa%20b%252F%3F", TOKENS["the token"]
    )


@when("requests with any paths and headers are sent")
def request_any(context):
    context.codes = []
    paths = st.lists(
        st.sampled_from(
            ["/", "config", "requests", "state", "%", "%zz", "%00", "?", "="]
        )
        | st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=6),
        max_size=6,
    ).map("".join)
    ascii_text = st.characters(min_codepoint=33, max_codepoint=126)
    latin1_text = st.characters(min_codepoint=161, max_codepoint=255)
    header = st.text(ascii_text | latin1_text, min_size=1, max_size=20)

    @settings(max_examples=150)
    @for_any(paths, header, st.booleans(), st.sampled_from(["GET", "POST"]))
    def check(path, value, has_token, method):
        authorization = TOKENS["the token"] if has_token else f"Bearer {value}"
        request_admin_page(context, f"{method} /{path}", authorization, b"x")
        context.codes.append(context.answer.status_code)

    check()


@then("every admin answer is complete and none is an internal error")
def check_codes(context):
    assert len(context.codes) >= 100
    assert set(context.codes) <= {200, 400, 401, 404, 405}, set(context.codes)


@then("the admin answer is {code:d}")
def check_code(context, code):
    assert context.answer.status_code == code, context.content


@then('the admin answer is {code:d} and allows "{methods}"')
def check_allowed_methods(context, code, methods):
    check_code(context, code)
    assert context.answer.header("allow") == methods


@then("the admin answer is {code:d} with a retry time")
def check_retry_time(context, code):
    check_code(context, code)
    assert int(context.answer.header("retry-after")) > 0


@then("the admin answer reveals nothing about the deployment")
def check_nothing_revealed(context):
    problem = json.loads(context.content)
    assert problem["leader"] == "" and not problem["faults"]
    assert b"engine" not in context.content and b"control" not in context.content


@then("the admin answer is JSON without the token")
def check_token_masked(context):
    check_code(context, 200)
    json.loads(context.content)
    assert TOKEN.encode() not in context.content, context.content


@then('its faults are "{first}" and "{second}"')
def check_faults(context, first, second):
    faults = json.loads(context.content)["faults"]
    found = sorted(f"[{f['section']}] {f['key']}" for f in faults)
    assert found == sorted([first, second]), found


@then("nothing was proposed")
def check_nothing_proposed(context):
    assert context.testbed.group.proposals == []


@then('the change answer reports version {version:d} by "{author}" as current')
def check_conflict(context, version, author):
    answer = json.loads(context.content)
    found = (answer["status"], answer["version"], answer["author"])
    assert found == ("conflict", version, author), answer


@then('the admin answer names the leader "{name}"')
def check_leader_named(context, name):
    assert json.loads(context.content)["leader"] == name


@then("the admin answer shows the holder and outcome of that key")
def check_claim(context):
    claim = json.loads(context.content)
    assert claim["key"] == SPECIAL_KEY, claim
    found = (claim["holder_host"], claim["state"], claim["verdict"])
    assert found == ("entry-1", "ended", "completed"), claim


# The command line.


@when('the operator runs "{command}"')
def run_ctl(context, command):
    context.testbed.ctl(command)


@when('the operator saves the configuration and edits "{old}" to "{new}"')
def save_and_edit(context, old, new):
    context.testbed.ctl("config show")
    assert old in context.testbed.out, context.testbed.out
    context.testbed.write("rules.ini", context.testbed.out.replace(old, new))


@when("the operator has a file without its base version")
def file_without_version(context):
    context.testbed.write("rules.ini", CONFIGURATION.replace("20000", "5"))


@then("the command exits with {code:d}")
def check_exit_code(context, code):
    testbed = context.testbed
    assert testbed.code == code, (testbed.code, testbed.out, testbed.err)
    assert "Traceback" not in testbed.err, testbed.err


@then('its output has "{text}" {count:d} times')
def check_output_count(context, text, count):
    assert context.testbed.out.count(text) == count, context.testbed.out


@then('its output has "{text}"')
def check_output(context, text):
    assert text in context.testbed.out, (context.testbed.out, context.testbed.err)


@then('its errors have "{text}"')
def check_errors(context, text):
    assert text in context.testbed.err, (context.testbed.out, context.testbed.err)


@then('its output is JSON with "{key}"')
def check_json_output(context, key):
    lines = context.testbed.out.splitlines()
    assert len(lines) == 1, lines
    assert key in json.loads(lines[0]), lines


@then('the configuration differs only in "{line}"')
def check_only_difference(context, line):
    content = context.testbed.group.configuration.current.content
    assert content == CONFIGURATION.replace("max_queue_ms = 20000", line), content


@then('the configuration has "{line}" for engine-1')
def check_line(context, line):
    content = context.testbed.group.configuration.current.content
    assert content == f"{CONFIGURATION}{line}\n", content


@then("the fake configuration is at version {version:d}")
def check_version(context, version):
    assert context.testbed.group.configuration.version == version


@then("the change was proposed {count:d} times under one id")
def check_proposal_count(context, count):
    proposals = context.testbed.group.proposals
    assert len(proposals) == count, proposals
    assert len(set(proposals)) == 1, proposals
