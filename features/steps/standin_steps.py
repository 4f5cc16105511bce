"""Steps for the stand-in upstream: its model, its API and its program."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when
from http_fixtures import TIMEOUT_S, client, open_runner, run
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from peridotfront import exceptions
from peridotfront.core.verdicts import Verdict
from peridotfront.engine_client import UpstreamTimeouts
from peridotfront.engine_messages import EngineOrder
from peridotfront.prompts import (
    BLOCK_TOKENS,
    block_hashes,
    chat_prompt,
    count_tokens,
)
from peridotfront.standin import Standin
from peridotfront.standin_engine import Engine, EngineSpec, Job, TokenProduced
from peridotfront.standin_service import CRASH_EXIT_CODE
from peridotfront.standin_settings import (
    EngineSection,
    StandinSection,
    StandinSettings,
)
from peridotfront.standin_text import expected_text

PROMPT = "The ring bears a hallmark of 1924. " * 32
CAPACITY_TOKENS = 1200
FAST = UpstreamTimeouts(connect_ms=1000, first_byte_ms=250, between_bytes_ms=250)
JOBS = st.lists(
    st.tuples(
        st.integers(1, 120), st.integers(1, 60), st.integers(0, 3), st.integers(0, 40)
    ),
    min_size=1,
    max_size=12,
)


def job(run_id, prompt, max_tokens):
    return Job(run_id, count_tokens(prompt), max_tokens, block_hashes(prompt))


def finish(engine, now_ms=0.0):
    """Run the model until it is idle; return its events and the end time in ms."""
    events = []
    while not engine.is_idle:
        now_ms = max(now_ms, engine.next_step_ms)
        events += engine.advance(now_ms)
    return events, now_ms


@when("any jobs are submitted to the model at any times")
def any_jobs(context):
    context.failures = []

    @settings(max_examples=60)
    @for_any(JOBS)
    def check(jobs):
        spec = EngineSpec(kv_capacity_tokens=CAPACITY_TOKENS)
        engine = Engine(spec)
        produced = dict.fromkeys(range(len(jobs)), 0)
        now_ms = 0.0
        for run_id, (tokens, _, seed, wait_ms) in enumerate(jobs):
            now_ms += wait_ms
            count(engine.advance(now_ms), produced)
            prompt = str(seed) * 4 * tokens
            engine.submit(job(run_id, prompt, jobs[run_id][1]), now_ms)
        steps = 0
        while not engine.is_idle and steps < 5000:
            steps += 1
            count(engine.advance(engine.next_step_ms), produced)
            if engine.used_kv_tokens > CAPACITY_TOKENS:
                context.failures.append(("memory", jobs))
        if list(produced.values()) != [max_tokens for _, max_tokens, _, _ in jobs]:
            context.failures.append(("tokens", jobs))

    check()


def count(events, produced):
    for event in events:
        if isinstance(event, TokenProduced):
            produced[event.run_id] += 1


@then("each produces exactly its tokens and the memory limit is never exceeded")
def no_failures(context):
    assert not context.failures, context.failures[:2]


@given("an engine model with memory for {capacity_tokens:d} tokens")
def small_engine(context, capacity_tokens):
    context.engine = Engine(EngineSpec(kv_capacity_tokens=capacity_tokens))


@when("the same prompt runs twice and then others fill the memory")
def run_twice(context):
    context.prefills = []
    now_ms = 0.0
    prompts = [PROMPT, PROMPT + "more", "a" * 1200, PROMPT]
    for run_id, prompt in enumerate(prompts):
        context.engine.submit(job(run_id, prompt, 4), now_ms)
        events, now_ms = finish(context.engine, now_ms)
        context.prefills.append(events[0])
    context.now_ms = now_ms


@then("the second run computes only the tokens that are not cached")
def computed(context):
    blocks_tokens = len(block_hashes(PROMPT)) * BLOCK_TOKENS
    first, second, _, last = context.prefills
    assert first.cached_tokens == 0 and second.cached_tokens == blocks_tokens
    prompt_tokens = count_tokens(PROMPT + "more")
    assert second.computed_tokens == prompt_tokens - blocks_tokens
    assert last.cached_tokens < blocks_tokens, "nothing was evicted"


@then("cache events report the stored and evicted blocks in order")
def cache_events_match_cache(context):
    events = context.engine.cache_events(0, context.now_ms + 1000)
    assert [e.sequence for e in events] == list(range(1, len(events) + 1))
    cached = set()
    for event in events:
        cached |= set(event.stored)
        cached -= set(event.evicted)
    assert cached == set(context.engine.cache._blocks)
    assert any(event.evicted for event in events)


@given("an engine model with lags of 100 ms that drops each second event")
def lagging_engine(context):
    spec = EngineSpec(load_lag_ms=100, event_lag_ms=100, event_gap_every=2)
    context.engine = Engine(spec)


@when("three prompts have run")
def three_prompts(context):
    for run_id in range(3):
        context.engine.submit(job(run_id, str(run_id) * 800, 2), 0.0)
    _, context.now_ms = finish(context.engine)


@then("the load and the events are at least as old as the lag, with gaps")
def lagging_with_gaps(context):
    engine, now_ms = context.engine, context.now_ms
    assert engine.load(50).running == 0 and not engine.cache_events(0, 50)
    assert engine.load(now_ms + 99).running > 0
    assert engine.load(now_ms + 101).running == 0
    assert [e.sequence for e in engine.cache_events(0, now_ms + 101)] == [1, 3]


def start_standin(context, kind, **options):
    """Start a stand-in on the scenario's event loop and return its address."""
    folder = Path(tempfile.mkdtemp())
    context.run_file = folder / "runs"
    options = {"decode_tokens_per_s": 500, "load_lag_ms": 0} | options
    content = {
        "standin": {"kind": kind, "run_file": str(context.run_file), "leave_ms": 0},
        "engine": options,
    }

    async def start():
        settings = StandinSettings(
            standin=StandinSection(**content["standin"]),
            engine=EngineSection(**content["engine"]),
        )
        standin = Standin(settings)
        await standin.start()
        return standin

    standin = run(context, start())
    context.add_cleanup(lambda: run(context, standin.close()))
    context.client = client(context)
    context.address = standin.address
    return standin.address


@given("a stand-in {kind:w}")
def standin(context, kind):
    start_standin(context, kind)


@given("a stand-in engine with {name} = {value}")
def standin_with(context, name, value):
    start_standin(context, "engine", **{name: value})


@given("its fault {name} is {value}")
def switch_fault_on(context, name, value):
    set_faults(context, {name: json.loads(value)})


def set_faults(context, faults):
    async def post():
        body = json.dumps(faults).encode()
        answer = await context.client.send(context.address, "POST", "/faults", (), body)
        assert answer.status_code == 204, await answer.read()
        await answer.read()

    run(context, post())


def completion(kind, max_tokens):
    content = {"model": "m", "max_tokens": max_tokens, "stream": "streamed" in kind}
    if "chat" in kind:
        content["messages"] = [{"role": "user", "content": PROMPT}]
        return "/v1/chat/completions", json.dumps(content).encode()
    return "/v1/completions", json.dumps(content | {"prompt": PROMPT}).encode()


def text_of(body):
    """Return the text of an answer and check that a stream is complete."""
    if not body.startswith(b"data: "):
        choices = [json.loads(body)["choices"][0]]
    else:
        *events, done, remaining = body.decode().split("\n\n")
        assert (done, remaining) == ("data: [DONE]", "")
        choices = [json.loads(event[6:])["choices"][0] for event in events]
    parts = [
        choice.get("delta") or choice.get("message") or choice for choice in choices
    ]
    return "".join(part.get("content", part.get("text", "")) for part in parts)


async def request_completion(context, kind, max_tokens, timeouts=None):
    target, body = completion(kind, max_tokens)
    return await context.client.complete(
        context.address, target, body, "id-1", timeouts=timeouts
    )


@when("a {kind} completion of {max_tokens:d} tokens is requested")
def complete(context, kind, max_tokens):
    context.kind, context.max_tokens = kind, max_tokens
    context.error = None

    async def read():
        return await (await request_completion(context, kind, max_tokens, FAST)).read()

    try:
        context.body = run(context, read())
    except exceptions.PeridotfrontError as error:
        context.error = error


@when("a plain completion of 30 tokens is requested during the fault")
def complete_during_fault(context):
    complete(context, "plain", 30)


@then("its text is the expected text")
def text_is_expected(context):
    assert context.error is None, repr(context.error)
    chat = chat_prompt([("user", PROMPT)])
    prompt = chat if "chat" in context.kind else PROMPT
    assert text_of(context.body) == expected_text(prompt, context.max_tokens)


@when(
    "a streamed completion of {max_tokens:d} tokens is {how} and resumed at its offset"
)
def resume(context, max_tokens, how):
    context.kind, context.max_tokens, context.error = "streamed", max_tokens, None

    async def read():
        answer = await request_completion(context, "streamed", max_tokens)
        body = b""
        was_cut = False
        try:
            async for data in answer.chunks():
                body += data
                if how == "abandoned":
                    answer.cancel()
                    break
        except exceptions.AnswerTruncated:
            was_cut = True
        assert was_cut == (how == "cut off")
        resumed_answer = await context.client.resume(context.address, "id-1", len(body))
        return body + await resumed_answer.read()

    context.body = run(context, read())


def run_file_lines(context):
    return [json.loads(line) for line in context.run_file.read_text().splitlines()]


@then("the run file has 1 dispatch and 1 prefill")
def one_run(context):
    events = [line["event"] for line in run_file_lines(context)]
    assert events.count("dispatch") == 1 and events.count("prefill") == 1, events


@when("a streamed completion of 5000 tokens is cancelled")
def cancel(context):
    async def read():
        answer = await request_completion(context, "streamed", 5000)
        assert await context.client.cancel(context.address, "id-1")
        try:
            await answer.read()
        except exceptions.AnswerTruncated:
            context.was_cut = True

    run(context, read())


@then("the engine no longer has it and its stream is cut")
def run_is_removed(context):
    async def check():
        assert context.was_cut
        assert not await context.client.cancel(context.address, "id-1")
        answer = await context.client.resume(context.address, "id-1", 0)
        await answer.read()
        assert answer.status_code == 404

    run(context, check())
    nothing_runs(context)


@when("the caller of a completion of 5000 tokens that is not resumable disconnects")
def disconnect_during_completion(context):
    async def send_and_disconnect():
        target, body = completion("streamed", 5000)
        answer = await context.client.send(context.address, "POST", target, (), body)
        answer.cancel()

    run(context, send_and_disconnect())


@then("the engine runs nothing")
def nothing_runs(context):
    async def check():
        async with asyncio.timeout(TIMEOUT_S):
            while (await context.client.report(context.address)).running:
                await asyncio.sleep(0.002)

    run(context, check())


@when("a streamed completion of 200 tokens is exported and imported by another engine")
def export(context):
    context.kind, context.max_tokens, context.error = "streamed", 200, None
    first, first_run_file = context.address, context.run_file
    second = start_standin(context, "engine")
    context.address = first

    async def move():
        answer = await request_completion(context, "streamed", 200)
        body = await anext(answer.chunks())
        exported = await context.client.export_kv(first, "id-1")
        answer.cancel()
        assert await context.client.import_kv(second, exported)
        resumed_answer = await context.client.resume(second, "id-1", len(body))
        return body + await resumed_answer.read()

    context.body = run(context, move())
    assert [line["event"] for line in run_file_lines(context)] == ["import"]
    context.run_file = first_run_file


@when("orders with the fencing tokens 2.1, 1.9 and 2.1 again are sent")
def give_orders(context):
    async def give():
        orders = [("a", 2, 1), ("b", 1, 9), ("a", 2, 1)]
        results = []
        for name, term, sequence in orders:
            order = EngineOrder(
                order_id=name,
                kind="load_adapter",
                name=name,
                term=term,
                sequence=sequence,
            )
            results.append(await context.client.order(context.address, order))
        return results, await context.client.report(context.address)

    context.results, context.report = run(context, give())


@then("the second is {result} and the third is not executed again")
def orders_done(context, result):
    first, second, third = context.results
    assert first.is_accepted and third.is_accepted and third.detail == "already done"
    assert second.is_accepted == (result == "accepted")
    adapters = ("a", "b") if result == "accepted" else ("a",)
    assert context.report.adapters == adapters


@then("no answer arrives and the request may have run")
def no_answer(context):
    no_answer_errors = (exceptions.UpstreamDied, exceptions.UpstreamTimedOut)
    assert isinstance(context.error, no_answer_errors), repr(context.error)
    assert context.error.verdict is Verdict.MAY_HAVE_RUN


@then("its report arrives unless {fault} is is_hung")
def report_arrives(context, fault):
    async def request_report():
        await context.client.report(context.address, timeouts=FAST)

    try:
        run(context, request_report())
        is_received = True
    except exceptions.UpstreamTimedOut:
        is_received = False
    assert is_received == (fault != "is_hung")


@then("a completion is answered after the fault is switched off")
def completes_without_fault(context):
    set_faults(context, {})
    complete(context, "plain", 30)
    text_is_expected(context)


@when("3 calls with 2 keys are made")
def service_calls(context):
    async def call():
        for key in ("k1", "k2", "k1"):
            headers = [("idempotency-key", key)]
            answer = await context.client.send(
                context.address, "POST", "/transfers", headers, key.encode()
            )
            assert json.loads(await answer.read())["key"] == key

    run(context, call())


@then("the run file has the runs of each key")
def runs_of_keys(context):
    runs = [
        (line["event"], line["path"], line["key"]) for line in run_file_lines(context)
    ]
    assert runs == [("run", "/transfers", key) for key in ("k1", "k2", "k1")], runs


def start_program(context, text):
    """Start the program with settings and return its process."""
    folder = Path(tempfile.mkdtemp())
    context.run_file = folder / "runs"
    settings_file = folder / "standin.ini"
    settings_file.write_text(text.format(run_file=context.run_file))
    command = [
        sys.executable,
        "-m",
        "peridotfront.standin",
        "--settings",
        settings_file,
    ]
    process = subprocess.Popen(
        command,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ,
    )
    context.add_cleanup(process.communicate)
    context.add_cleanup(process.kill)
    context.process = process
    return process


def start_ready_program(context, text):
    ready = start_program(context, text).stdout.readline()
    assert ready.startswith("ready "), context.process.communicate()
    context.address = ready.split()[1]
    context.client = client(context)


@given("the stand-in program as a service with a crash marker")
def service_program(context):
    open_runner(context)
    start_ready_program(
        context, "[standin]\nkind = service\nrun_file = {run_file}\n[service]\n"
    )
    set_faults(context, {"crash_marker": "poison"})


@when("a call with the marker is made")
def marked_call(context):
    async def call():
        answer = await context.client.send(
            context.address, "POST", "/", (), b"some poison here"
        )
        await answer.read()

    context.error = None
    try:
        run(context, call())
    except exceptions.PeridotfrontError as error:
        context.error = error


@then("it may have run, the run file has its run and the process has exited")
def crashed(context):
    no_answer(context)
    assert [line["event"] for line in run_file_lines(context)] == ["run"]
    assert context.process.wait(TIMEOUT_S) == CRASH_EXIT_CODE


@given("the stand-in program as an engine")
def engine_program(context):
    start_ready_program(
        context,
        "[standin]\nkind = engine\nrun_file = {run_file}\nleave_ms = 0\n"
        "[engine]\ndecode_tokens_per_s = 100\n",
    )


@when("it gets SIGTERM during a completion whose stream then breaks")
def terminate(context):
    async def read():
        answer = await request_completion(context, "streamed", 50)
        context.process.send_signal(signal.SIGTERM)
        report = await context.client.report(context.address)
        while not report.is_leaving:
            report = await context.client.report(context.address)
        body = await anext(answer.chunks())
        answer.cancel()
        resumed_answer = await context.client.resume(context.address, "id-1", len(body))
        return body + await resumed_answer.read()

    context.body = run(context, read())


@then("it reports that it is leaving, the answer is complete and it exits with 0")
def has_shut_down(context):
    assert text_of(context.body) == expected_text(PROMPT, 50)
    assert context.process.wait(TIMEOUT_S) == 0


@given("stand-in settings with 4 faults")
def bad_settings(context):
    context.settings_text = (
        "[standin]\nkind = motor\nlisten = nowhere\n"
        "[engine]\ndecode_tokens_per_s = fast\ncolour = red\n"
    )


@when("the program is started")
def start_with_bad_settings(context):
    start_program(context, context.settings_text)
    _, context.errors = context.process.communicate(timeout=2 * TIMEOUT_S)


@then("it exits with 2 and names section, key, value and reason of each")
def all_faults(context):
    assert context.process.returncode == 2
    error_lines = context.errors.splitlines()
    assert len(error_lines) == 4, error_lines
    for section, key, value in (
        ("standin", "kind", "motor"),
        ("standin", "listen", "nowhere"),
        ("engine", "decode_tokens_per_s", "fast"),
        ("engine", "colour", "red"),
    ):
        start = f"[{section}] {key} = {value!r}: "
        reasons = [error_line.partition(start)[2] for error_line in error_lines]
        assert any(reasons), error_lines


IDENTIFIED_REQUESTS = {
    "a completion": ("POST", *completion("plain", 2)),
    "a stream": ("POST", *completion("streamed", 2)),
    "an invalid body": ("POST", "/v1/completions", b"{"),
    "an unknown path": ("GET", "/unknown", b""),
    "a report": ("GET", "/report", b""),
    "a resume": ("GET", "/resume/unknown", b""),
    "a call": ("POST", "/transfers", b"{}"),
}


@when("{request} with a request id is sent to it")
def send_with_id(context, request):
    method, target, body = IDENTIFIED_REQUESTS[request]
    headers = [("x-request-id", "id-7")]

    async def send():
        answer = await context.client.send(
            context.address, method, target, headers, body
        )
        await answer.read()
        return answer

    context.answer = run(context, send())


@then("its answer carries that request id")
def carries_id(context):
    assert context.answer.header("x-request-id") == "id-7", context.answer.headers
