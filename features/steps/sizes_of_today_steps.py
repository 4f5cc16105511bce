"""Steps for a deployment with as many hosts as the users have at present."""

import json
import tempfile
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from support.deployment import Deployment

from peridotfront.standin import expected_text

DATA_CENTRES = ("dc1", "dc2", "dc3", "dc4")
SPEEDS = ((20_000, 400), (8000, 200), (4000, 150))
ENGINES = 6
SERVICES = 4
ACCOUNTS = {"till": 1, "office": 2, "bulk": 3, "club-a": 2, "club-b": 3}
WORDS = (3, 10, 30, 100, 300)
CALLERS = 12
ATTEMPTS = 20


def build_prompt(number):
    words = WORDS[number % len(WORDS)]
    return " ".join(f"word{number}-{index}" for index in range(words))


@given("a deployment of the users' present size with {replicas:d} control hosts")
def deploy(context, replicas):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    deployment = Deployment(folder.name, replicas, 6, data_centres=DATA_CENTRES)
    deployment.accounts = dict(ACCOUNTS)
    for number in range(ENGINES):
        prefill, decode = SPEEDS[number % len(SPEEDS)]
        deployment.add_engine(
            f"engine-{number + 1}",
            DATA_CENTRES[number % len(DATA_CENTRES)],
            prefill_tokens_per_s=prefill,
            decode_tokens_per_s=decode,
        )
    for number in range(SERVICES):
        deployment.add_service(f"payout-{number + 1}", DATA_CENTRES[number], "payout")
    context.add_cleanup(deployment.stop)
    context.deployment = deployment.start()


def send(context, number):
    entry = f"entry-{1 + number % 6}"
    account = list(ACCOUNTS)[number % len(ACCOUNTS)]
    if number % 5 == 4:
        body = {"seller": f"seller {number}", "amount_pence": number}
        path = "/services/payout/transfers"
        options = {"idempotency_key": f"today-{number}"}
    else:
        tokens = 1 + number % 40
        body = {"model": "m1", "prompt": build_prompt(number), "max_tokens": tokens}
        body["stream"] = number % 2 == 0
        path = "/v1/completions"
        options = {}
    for _ in range(ATTEMPTS):
        reply = context.deployment.request(entry, path, body, account, **options)
        if reply.status != 429:
            break
    return number, body, reply


@when("5 accounts send 240 completions and 60 transfers through all entry hosts")
def send_all(context):
    with ThreadPoolExecutor(CALLERS) as pool:
        context.sent = list(pool.map(lambda n: send(context, n), range(300)))


def extract_text(body, reply):
    if not body["stream"]:
        return reply.json()["choices"][0]["text"]
    assert reply.body.endswith(b"data: [DONE]\n\n"), reply.body[-100:]
    events = [event for event in reply.body.decode().split("\n\n") if "{" in event]
    contents = [json.loads(event.removeprefix("data: ")) for event in events]
    return "".join(content["choices"][0]["text"] for content in contents)


@then("every completion is complete, byte for byte")
def check_all_complete(context):
    completions = [sent for sent in context.sent if "prompt" in sent[1]]
    assert len(completions) == 240
    for number, body, reply in completions:
        assert reply.status == 200, (number, reply)
        expected = expected_text(body["prompt"], body["max_tokens"])
        assert extract_text(body, reply) == expected, number


@then("every transfer ran once and was answered")
def check_all_ran_once(context):
    transfers = [sent for sent in context.sent if "seller" in sent[1]]
    assert len(transfers) == 60
    runs = [
        line["key"]
        for name in context.deployment.upstreams
        for line in context.deployment.runs(name)
        if line["event"] == "run"
    ]
    assert len(runs) == len(set(runs)) == 60, len(runs)
    for number, _, reply in transfers:
        assert reply.status == 200, (number, reply)
        assert any(key.endswith(f"/today-{number}") for key in runs)
