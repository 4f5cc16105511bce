"""Steps on failures of the real programs, explained from their logs."""

import asyncio
import json
import random
import sys
import tempfile
from collections import Counter
from pathlib import Path

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))
from peridotfront.exceptions import PeridotfrontError
from peridotfront.explain import explain
from peridotfront.http_client import HttpClient
from soak.callers import DEADLINE_MS, HOST, KEY, TIMEOUTS, Operator, Record
from soak.deployment import CALLERS_PORT, Deployment
from soak.world import NETWORK, Upstream, UpstreamList

START_S = 15.0
FLOOD = 40


@given("the real programs run before upstreams of our own")
def make_programs(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)


async def call(client, entry, kind, request_id):
    """Send one request; return its status, 0 if the answer broke off."""
    headers = [
        ("X-Attempt-Id", request_id),
        ("X-Deadline-Ms", str(DEADLINE_MS)),
        ("Api-Key", KEY),
        ("X-Token-Count", "100,10"),
    ]
    address = f"{entry.ip}:{CALLERS_PORT}"
    try:
        answer = await client.send(
            address, "POST", f"/{kind}/x", headers, host=HOST, timeouts=TIMEOUTS
        )
        await answer.read()
    except PeridotfrontError:
        return 0
    return answer.status_code


async def until_served(client, entry):
    for number in range(100):
        if await call(client, entry, "look-up", f"first-{number}") == 200:
            return
        await asyncio.sleep(0.1)
    raise AssertionError("the programs do not serve")


async def fail_three(entry, upstreams):
    """Make the failures and return the status of each request."""
    client = HttpClient()
    await until_served(client, entry)
    for one in upstreams:
        one.fault = "cut"
    statuses = {
        "lost": await call(client, entry, "transfer", "lost"),
        "broken": await call(client, entry, "stream", "broken"),
    }
    for one in upstreams:
        one.fault = "hang"
    await asyncio.sleep(1.0)
    ids = [f"flood-{number}" for number in range(FLOOD)]
    calls = [call(client, entry, "stream", request_id) for request_id in ids]
    statuses.update(zip(ids, await asyncio.gather(*calls), strict=True))
    await client.close()
    return statuses


async def serve_one(entry, upstreams):
    client = HttpClient()
    await until_served(client, entry)
    await client.close()


async def play(folder, act, *, stops=False):
    """Run the programs, act on them, and end them.

    :param stops: whether SIGTERM ends them, and not a kill.
    """
    upstreams = [
        Upstream("m1", "models", f"{NETWORK}.8.1", Counter()),
        Upstream("l1", "ledger", f"{NETWORK}.8.101", Counter()),
    ]
    deployment = Deployment(folder, controls=3, entries=1)
    upstream_list = UpstreamList(upstreams)
    await upstream_list.start()
    for one in upstreams:
        await one.start()
    await deployment.start()
    operator = Operator(deployment.controls, Record(), random.Random(1))
    try:
        await operator.change(START_S)
        result = await act(deployment.entries[0], upstreams)
        if stops:
            await asyncio.gather(*[host.stop() for host in deployment.hosts])
        return result
    finally:
        await operator.close()
        await deployment.stop()
        for one in upstreams:
            await one.stop()
        await upstream_list.stop()


@when(
    "a transfer's answer is lost, a stream is broken off, and streams meet full engines"
)
def make_failures(context):
    context.statuses = asyncio.run(play(context.folder, fail_three))


@when("they have served a request and are stopped by SIGTERM")
def stop_programs(context):
    asyncio.run(play(context.folder, serve_one, stops=True))


@then("every program wrote log lines only, the last one that it stopped")
def log_lines_only(context):
    paths = list(context.folder.glob("*.log"))
    assert paths
    for path in paths:
        lines = path.read_text().splitlines()
        others = [line for line in lines if not line.startswith("{")]
        assert not others, others[:3]
        assert json.loads(lines[-1])["name"] == "process_stopped", lines[-1]


def verdict_of(context, request_id):
    logs = [path.read_text().splitlines() for path in context.folder.glob("*.log")]
    return explain(request_id, logs).verdict


@then('the logs say of the transfer "{one}" and "{other}"')
def says_of_transfer(context, one, other):
    verdict = verdict_of(context, "lost")
    assert one in verdict and other in verdict, verdict


@then('the logs say of the stream "{one}" and "{other}"')
def says_of_stream(context, one, other):
    verdict = verdict_of(context, "broken")
    assert one in verdict and other in verdict, verdict


@then('the logs say of a refused stream "{one}" and "{other}"')
def says_of_refused(context, one, other):
    refused = [key for key, status in context.statuses.items() if status == 503]
    assert refused, context.statuses
    verdict = verdict_of(context, refused[0])
    assert one in verdict and other in verdict, verdict
