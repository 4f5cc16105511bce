"""Steps for failures of the real programs, explained from their logs."""

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
FLOOD_REQUESTS = 40


@given("the real programs run with simulated upstreams")
def create_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)


async def call(client, entry, kind, request_id):
    """Send one request; return its status, or 0 if the answer was cut off."""
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


async def wait_until_served(client, entry):
    for number in range(100):
        if await call(client, entry, "look-up", f"first-{number}") == 200:
            return
        await asyncio.sleep(0.1)
    raise AssertionError("the programs have not served a request in time")


async def cause_failures(entry, upstreams):
    """Cause the failures and return the status of each request."""
    client = HttpClient()
    await wait_until_served(client, entry)
    for upstream in upstreams:
        upstream.fault = "cut"
    statuses = {
        "lost": await call(client, entry, "transfer", "lost"),
        "broken": await call(client, entry, "stream", "broken"),
    }
    for upstream in upstreams:
        upstream.fault = "hang"
    await asyncio.sleep(1.0)
    ids = [f"flood-{number}" for number in range(FLOOD_REQUESTS)]
    calls = [call(client, entry, "stream", request_id) for request_id in ids]
    statuses.update(zip(ids, await asyncio.gather(*calls), strict=True))
    await client.close()
    return statuses


async def serve_one(entry, upstreams):
    client = HttpClient()
    await wait_until_served(client, entry)
    await client.close()


async def run_programs(folder, scenario, *, is_graceful=False):
    """Run the programs with a scenario and stop them.

    :param scenario: called with the entry host and the upstreams.
    :param is_graceful: whether the programs are stopped by SIGTERM first.
    """
    upstreams = [
        Upstream("m1", "models", f"{NETWORK}.8.1", Counter()),
        Upstream("l1", "ledger", f"{NETWORK}.8.101", Counter()),
    ]
    deployment = Deployment(folder, controls=3, entries=1)
    upstream_list = UpstreamList(upstreams)
    await upstream_list.start()
    for upstream in upstreams:
        await upstream.start()
    await deployment.start()
    operator = Operator(deployment.controls, Record(), random.Random(1))
    try:
        await operator.change(START_S)
        result = await scenario(deployment.entries[0], upstreams)
        if is_graceful:
            await asyncio.gather(*[host.stop() for host in deployment.hosts])
        return result
    finally:
        await operator.close()
        await deployment.stop()
        for upstream in upstreams:
            await upstream.stop()
        await upstream_list.stop()


@when("a transfer's answer is lost, a stream is cut off, and streams find engines full")
def run_failures(context):
    context.statuses = asyncio.run(run_programs(context.folder, cause_failures))


@when("they have served a request and are stopped by SIGTERM")
def run_until_stopped(context):
    asyncio.run(run_programs(context.folder, serve_one, is_graceful=True))


@then("every program wrote log lines only, and process_stopped as the last")
def check_log_lines(context):
    paths = list(context.folder.glob("*.log"))
    assert paths
    for path in paths:
        lines = path.read_text().splitlines()
        foreign_lines = [line for line in lines if not line.startswith("{")]
        assert not foreign_lines, foreign_lines[:3]
        assert json.loads(lines[-1])["name"] == "process_stopped", lines[-1]


def explain_request(context, request_id):
    logs = [path.read_text().splitlines() for path in context.folder.glob("*.log")]
    return explain(request_id, logs).verdict


@then('the logs explain the transfer with "{first}" and "{second}"')
def check_transfer(context, first, second):
    verdict = explain_request(context, "lost")
    assert first in verdict and second in verdict, verdict


@then('the logs explain the stream with "{first}" and "{second}"')
def check_stream(context, first, second):
    verdict = explain_request(context, "broken")
    assert first in verdict and second in verdict, verdict


@then('the logs explain a refused stream with "{first}" and "{second}"')
def check_refused_stream(context, first, second):
    refused = [key for key, status in context.statuses.items() if status == 503]
    assert refused, context.statuses
    verdict = explain_request(context, refused[0])
    assert first in verdict and second in verdict, verdict
