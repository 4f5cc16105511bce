"""Steps that send callers' requests to a deployment of real processes."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when
from support.deployment import call, wait_until

from peridotfront.prompts import BLOCK_BYTES, block_hashes
from peridotfront.standin import expected_text

PROMPT = "Describe a gold ring of nine carat, hallmarked in Chester, {}"


def completion_text(reply):
    return reply.json()["choices"][0]["text"]


def stream_text(body):
    events = [e for e in body.decode().split("\n\n") if e.startswith("data: {")]
    contents = [json.loads(event[6:]) for event in events]
    return "".join(content["choices"][0]["text"] for content in contents)


def send_transfer(context, entry, key, amount=5, **headers):
    body = {"seller": "A. Davies", "amount_pence": amount}
    if key:
        headers["idempotency_key"] = key
    return context.deployment.request(
        entry, "/services/payout/transfers", body, **headers
    )


def list_dispatches(deployment, key):
    lines = [
        line
        for name in deployment.upstreams
        for line in deployment.runs(name)
        if line["event"] in ("dispatch", "run")
    ]
    return [line for line in lines if line["key"].endswith(f"/{key}")]


@when("a caller asks {entry} for a completion of {tokens:d} tokens")
def request_completion(context, entry, tokens):
    context.prompt = PROMPT.format(tokens)
    context.tokens = tokens
    context.reply = context.deployment.complete(entry, context.prompt, tokens)


@when("a caller asks {entry} for a streamed completion of {tokens:d} tokens")
def request_stream(context, entry, tokens):
    context.prompt = PROMPT.format("streamed")
    context.tokens = tokens
    body = {"model": "m1", "prompt": context.prompt, "max_tokens": tokens}
    body["stream"] = True
    context.reply = context.deployment.request(entry, "/v1/completions", body)


@when("a caller asks {entry} for a completion with a prompt of {count:d} blocks")
def request_blocks(context, entry, count):
    prefix = f"Lot 7 of {count}: "
    context.prompt = prefix + "x" * (count * BLOCK_BYTES - len(prefix))
    assert context.deployment.complete(entry, context.prompt, 2).status == 200


@then("an engine reports the hashes of these blocks as cached")
def check_cached_blocks(context):
    prompt_hashes = set(block_hashes(context.prompt))
    assert len(prompt_hashes) == 4

    def is_reported():
        stored = set()
        for name in ("engine-1", "engine-2"):
            address = context.deployment.processes[name].addresses["listen"]
            events = call(address, "GET", "/report?since=0").json()["events"]
            stored |= {block for event in events for block in event["stored"]}
        return prompt_hashes <= stored

    wait_until(is_reported, what="the blocks in an engine's report")


@when("a caller asks {entry} for a completion with key {key}")
@when("the same caller asks {entry} for the same with key {key}")
def request_with_key(context, entry, key):
    replies = getattr(context, "replies", [])
    reply = context.deployment.complete(
        entry, PROMPT.format(key), 20, idempotency_key=key
    )
    context.replies = [*replies, reply]


@when("a caller sends the transfer {key} to entry-1 and entry-2 at the same time")
def send_transfers(context, key):
    with ThreadPoolExecutor(2) as pool:
        jobs = [pool.submit(send_transfer, context, f"entry-{n}", key) for n in (1, 2)]
        context.replies = [job.result() for job in jobs]


@when("the same caller sends the transfer {key} to {entry} again")
def repeat_transfer(context, key, entry):
    context.replies.append(send_transfer(context, entry, key))


@when("a caller sends another transfer with key {key} to {entry}")
def send_other_transfer(context, key, entry):
    context.reply = send_transfer(context, entry, key, amount=6)


@when("a caller sends a transfer without a key to {entry}")
def send_without_key(context, entry):
    context.reply = send_transfer(context, entry, "")


@when("an operator adds the client account {name}")
def add_account(context, name):
    context.deployment.accounts[name] = 2
    reply = context.deployment.apply(context.deployment.rules())
    assert reply.status == 200, reply.body
    context.accepted_s = time.monotonic()


def send_completions(context, duration_ms):
    end_s = time.monotonic() + duration_ms / 1000
    number = 0
    while time.monotonic() < end_s:
        number += 1
        reply = context.deployment.complete("entry-1", f"lot {number}", 2)
        assert reply.status == 200, reply


@when(
    "the platform lists {name} as leaving and callers continue for {duration_ms:d} ms"
)
def list_as_leaving(context, name, duration_ms):
    file = context.deployment.platform_file
    file.write_text(json.dumps([{"name": name, "state": "leaving"}]))
    context.add_cleanup(file.write_text, "[]")
    context.listed_ms = time.time() * 1000
    send_completions(context, duration_ms)


@when(
    "the platform's list becomes unreadable and callers continue for {duration_ms:d} ms"
)
def make_list_unreadable(context, duration_ms):
    context.deployment.platform_file.write_text("[{")
    send_completions(context, duration_ms)


@then("{name} got no request later than {bound_ms:d} ms after it was listed")
def check_no_late_request(context, name, bound_ms):
    lines = context.deployment.runs(name)
    late_ms = context.listed_ms + bound_ms
    late = [line for line in lines if line["event"] == "dispatch"]
    late = [line for line in late if line["at_ms"] > late_ms]
    assert not late, late[:3]


@then("{name} is served by every entry host within {bound_ms:d} ms")
def check_served_everywhere(context, name, bound_ms):
    for host in context.deployment.hosts("entry"):

        def is_served(entry=host.name):
            reply = context.deployment.complete(entry, "x", 1, account=name)
            return reply.status == 200

        wait_until(is_served, what=f"{name} at {host.name}")
    elapsed_ms = (time.monotonic() - context.accepted_s) * 1000
    assert elapsed_ms <= bound_ms, elapsed_ms


@then("the answer is the complete text of that completion")
def check_complete_text(context):
    assert context.reply.status == 200, context.reply
    expected = expected_text(context.prompt, context.tokens)
    assert completion_text(context.reply) == expected


@then("the stream contains the complete text and the end marker")
def check_complete_stream(context):
    expected = expected_text(context.prompt, context.tokens)
    assert stream_text(context.reply.body) == expected
    assert context.reply.body.endswith(b"data: [DONE]\n\n")


@then("both answers are the same bytes")
@then("every answer to {key} is the same")
def check_same_answers(context, key=""):
    assert {reply.status for reply in context.replies} == {200}, context.replies
    assert len({reply.body for reply in context.replies}) == 1, context.replies


@then("the engines have seen key {key} in {count:d} dispatch")
def check_dispatch_count(context, key, count):
    assert len(list_dispatches(context.deployment, key)) == count


@then("the service has run {key} once")
def check_ran_once(context, key):
    assert len(list_dispatches(context.deployment, key)) == 1


@then("the last answer has status {status:d} and verdict {verdict}")
def check_refused(context, status, verdict):
    assert context.reply.status == status, context.reply
    assert context.reply.json()["verdict"] == verdict
