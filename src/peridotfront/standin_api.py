"""HTTP API of the stand-in engine, on top of its simulation model."""

import asyncio
import hashlib
import json
from itertools import count

from pydantic import BaseModel, ValidationError

from .core.verdicts import Reason, Refusal, Verdict
from .engine_messages import (
    EngineCacheEvent,
    EngineOrder,
    EngineReport,
    ExportedKv,
)
from .exceptions import CallerGone, InvalidRequest
from .http_messages import parse_json
from .http_server import Exchange, HttpRequest
from .prompts import block_hashes, count_tokens
from .standin_engine import Engine, EngineSpec, Job, PrefillFinished, TokenProduced
from .standin_orders import Orders
from .standin_runs import CHAT_PATH, COMPLETION_PATH, CompletionBody, Run
from .standin_service import Faults, RunFile
from .standin_settings import EngineSection
from .standin_text import token_texts

JSON_TYPE = ("content-type", "application/json")
SSE_TYPE = ("content-type", "text/event-stream")
CHECK_INTERVAL_MS = 10


class StandinEngine:
    """HTTP handler with the API of a model engine.

    :param section: rates, sizes and lags of the simulated engine.
    :param run_file: log file that gets a line for each dispatch, prefill, order and
        import.
    """

    def __init__(self, section: EngineSection, run_file: RunFile):
        self.faults = Faults()
        self.is_leaving = False
        self._section = section
        self._run_file = run_file
        self._loop = asyncio.get_running_loop()
        self._engine = Engine(self._spec())
        models = tuple(m.strip() for m in section.models.split(",") if m.strip())
        self._orders = Orders(models, section.honours_fencing)
        self._runs: dict[int, Run] = {}
        self._latest_runs: dict[str, Run] = {}
        self._run_ids = count(1)
        self._timer: asyncio.TimerHandle | None = None

    def apply_faults(self, faults: Faults) -> None:
        """Replace the active faults."""
        self.faults = faults
        self._engine.apply_spec(self._spec(), self._now_ms())
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._schedule()

    async def handle(self, exchange: Exchange) -> None:
        """Answer a request."""
        request = exchange.request
        method, path = request.method, request.path
        while self.faults.is_hung:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
        if method == "POST" and path in (CHAT_PATH, COMPLETION_PATH):
            await self._complete(exchange)
        elif method == "POST" and path.startswith("/cancel/"):
            await self._cancel(exchange, path.removeprefix("/cancel/"))
        elif method == "GET" and path.startswith("/resume/"):
            await self._resume(exchange, path.removeprefix("/resume/"))
        elif method == "GET" and path == "/report":
            await self._report(exchange)
        elif method == "POST" and path == "/orders":
            await self._order(exchange)
        elif method == "POST" and path.startswith("/kv/export/"):
            await self._export(exchange, path.removeprefix("/kv/export/"))
        elif method == "POST" and path == "/kv/import":
            await self._import(exchange)
        else:
            await _refuse(exchange, 404, Reason.NOT_FOUND, "no such path")

    async def wait_until_idle(self) -> None:
        """Wait until no request is queued or running."""
        while not self._engine.is_idle:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)

    # Requests.

    async def _complete(self, exchange: Exchange) -> None:
        request = exchange.request
        body = parse_body(CompletionBody, request)
        self._record_dispatch(request, body)
        self.faults.crash_if_marked(request.body)
        models = self._orders.loaded["model"]
        if models and body.model not in models:
            await _refuse(exchange, 404, Reason.NOT_FOUND, "no such model")
            return
        run = self._new_run(request.header("x-request-id"), request.path, body)
        run.raw_body = request.body
        run.is_resumable = request.header("x-resumable") == "1"
        job = self._job(run)
        if not self._engine.fits(job):
            await _refuse(
                exchange, 413, Reason.TOO_LARGE, "request exceeds the KV memory"
            )
            return
        self._register_run(run)
        self._engine.submit(job, self._now_ms())
        self._schedule()
        await self._serve_answer(exchange, run, 0, self.faults.cut_after_tokens)

    def _record_dispatch(self, request: HttpRequest, body: CompletionBody) -> None:
        prompt_sha256 = hashlib.sha256(body.full_prompt.encode()).hexdigest()
        self._run_file.append(
            "dispatch",
            request_id=request.header("x-request-id"),
            key=request.header("idempotency-key"),
            prompt_sha256=prompt_sha256,
        )

    def _new_run(self, request_id: str, target: str, body: CompletionBody) -> Run:
        prompt = body.full_prompt
        run_id = next(self._run_ids)
        return Run(
            run_id=run_id,
            request_id=request_id or f"run-{run_id}",
            target=target,
            raw_body=b"",
            body=body,
            texts=token_texts(prompt),
            prompt_tokens=count_tokens(prompt),
        )

    @staticmethod
    def _job(run: Run) -> Job:
        hashes = block_hashes(run.body.full_prompt)
        return Job(run.run_id, run.prompt_tokens, run.body.max_tokens, hashes)

    def _register_run(self, run: Run) -> None:
        self._runs[run.run_id] = run
        self._latest_runs[run.request_id] = run

    async def _serve_answer(
        self, exchange: Exchange, run: Run, offset_bytes: int, cut_after_tokens: int = 0
    ) -> None:
        watcher = asyncio.create_task(exchange.gone.wait())
        watcher.add_done_callback(lambda _: run.wake())
        try:
            await self._send_answer(exchange, run, offset_bytes, cut_after_tokens)
        except CallerGone:
            self._end_unless_resumable(run)
        finally:
            watcher.cancel()

    async def _send_answer(
        self, exchange: Exchange, run: Run, offset_bytes: int, cut_after_tokens: int
    ) -> None:
        while True:
            changed = run.changed
            if exchange.gone.is_set():
                raise CallerGone("the caller closed its connection")
            data = bytes(run.answer[offset_bytes:])
            if data and not self.faults.drops_answer:
                if not exchange.is_started:
                    await exchange.start(200, [self._content_type(run)])
                await exchange.write(data)
                offset_bytes += len(data)
                if 0 < cut_after_tokens <= run.produced_tokens:
                    exchange.abort()
                    self._end_unless_resumable(run)
                    return
            elif run.is_cancelled or (run.is_done and self.faults.drops_answer):
                exchange.abort()
                return
            elif run.is_done:
                if not exchange.is_started:
                    await exchange.start(200, [self._content_type(run)])
                await exchange.finish()
                return
            else:
                await changed.wait()

    @staticmethod
    def _content_type(run: Run) -> tuple[str, str]:
        return SSE_TYPE if run.body.stream else JSON_TYPE

    def _end_unless_resumable(self, run: Run) -> None:
        if not run.is_resumable:
            self._end_run(run)

    def _end_run(self, run: Run) -> Job | None:
        job = self._engine.cancel(run.run_id, self._now_ms())
        if job is not None:
            run.is_cancelled = True
            self._remove_run(run)
            run.wake()
        return job

    def _remove_run(self, run: Run) -> None:
        self._runs.pop(run.run_id, None)
        if self._latest_runs.get(run.request_id) is run:
            del self._latest_runs[run.request_id]

    async def _cancel(self, exchange: Exchange, request_id: str) -> None:
        run = self._latest_runs.get(request_id)
        job = self._end_run(run) if run is not None else None
        if job is None:
            await _refuse(exchange, 404, Reason.NOT_FOUND, "no run of this request")
            return
        answer = {"produced_tokens": job.produced_tokens}
        await exchange.respond(200, [JSON_TYPE], json.dumps(answer).encode())

    async def _resume(self, exchange: Exchange, request_id: str) -> None:
        run = self._latest_runs.get(request_id)
        offset_bytes = _query_int(exchange.request.query, "offset")
        if run is None:
            await _refuse(exchange, 404, Reason.NOT_FOUND, "no run of this request")
            return
        if run.is_done and offset_bytes > len(run.answer):
            await _refuse(
                exchange,
                416,
                Reason.INVALID_REQUEST,
                "offset is beyond the end of the answer",
            )
            return
        await self._serve_answer(exchange, run, offset_bytes)

    # Load reports, orders, KV transfer.

    async def _report(self, exchange: Exchange) -> None:
        since = _query_int(exchange.request.query, "since")
        now_ms = self._now_ms()
        load = self._engine.load(now_ms)
        loaded = self._orders.loaded
        report = EngineReport(
            is_leaving=self.is_leaving,
            running=load.running,
            waiting=load.waiting,
            queued_prefill_tokens=load.queued_prefill_tokens,
            used_kv_tokens=load.used_kv_tokens,
            capacity_kv_tokens=self._section.kv_capacity_tokens,
            events=[
                EngineCacheEvent(
                    sequence=event.sequence, stored=event.stored, evicted=event.evicted
                )
                for event in self._engine.cache_events(since, now_ms)
            ],
            models=loaded["model"],
            adapters=loaded["adapter"],
            versions=loaded["version"],
            role=self._orders.role,
        )
        await exchange.respond(200, [JSON_TYPE], report.model_dump_json().encode())

    async def _order(self, exchange: Exchange) -> None:
        order = parse_body(EngineOrder, exchange.request)
        result = self._orders.check(order)
        self._run_file.append(
            "order", **order.model_dump(), is_accepted=result.is_accepted
        )
        if result.is_accepted and not result.detail:
            await asyncio.sleep(self._section.order_ms / 1000)
            self._orders.execute(order)
        status_code = 200 if result.is_accepted else 409
        body = result.model_dump_json().encode()
        await exchange.respond(status_code, [JSON_TYPE], body)

    async def _export(self, exchange: Exchange, request_id: str) -> None:
        run = self._latest_runs.get(request_id)
        job = self._end_run(run) if run is not None else None
        if job is None:
            await _refuse(exchange, 404, Reason.NOT_FOUND, "no run of this request")
            return
        exported = ExportedKv(
            request_id=run.request_id,
            target=run.target,
            body=run.raw_body.decode(),
            produced_tokens=job.produced_tokens,
        )
        await exchange.respond(200, [JSON_TYPE], exported.model_dump_json().encode())

    async def _import(self, exchange: Exchange) -> None:
        exported = parse_body(ExportedKv, exchange.request)
        raw_body = exported.body.encode()
        body = validate(CompletionBody, parse_json(raw_body))
        run = self._new_run(exported.request_id, exported.target, body)
        run.raw_body = raw_body
        run.is_resumable = True
        job = self._job(run)
        job.produced_tokens = exported.produced_tokens
        if not self._engine.admit_imported(job, self._now_ms()):
            await _refuse(exchange, 503, Reason.OVERLOADED, "not enough free KV memory")
            return
        run.replay_tokens(exported.produced_tokens)
        run.cached_tokens = run.prompt_tokens
        self._register_run(run)
        self._run_file.append("import", request_id=run.request_id)
        self._schedule()
        await exchange.respond(200, [JSON_TYPE], b"{}")

    # Simulation steps.

    def _spec(self) -> EngineSpec:
        section, faults = self._section, self.faults
        return EngineSpec(
            prefill_tokens_per_s=section.prefill_tokens_per_s,
            decode_tokens_per_s=section.decode_tokens_per_s,
            kv_capacity_tokens=section.kv_capacity_tokens,
            batch_slowdown=section.batch_slowdown,
            slow_factor=faults.slow_factor,
            is_hung=faults.is_hung,
            load_lag_ms=_first_set(faults.load_lag_ms, section.load_lag_ms),
            event_lag_ms=_first_set(faults.event_lag_ms, section.event_lag_ms),
            event_gap_every=_first_set(faults.event_gap_every, section.event_gap_every),
            reorders_events=faults.reorders_events,
        )

    def _now_ms(self) -> float:
        return self._loop.time() * 1000

    def _schedule(self) -> None:
        if self._timer is None and self._engine.next_step_ms is not None:
            step_at_s = self._engine.next_step_ms / 1000
            self._timer = self._loop.call_at(step_at_s, self._advance)

    def _advance(self) -> None:
        self._timer = None
        for event in self._engine.advance(self._now_ms()):
            self._handle_event(event)
        self._schedule()

    def _handle_event(self, event: PrefillFinished | TokenProduced) -> None:
        run = self._runs[event.run_id]
        if isinstance(event, TokenProduced):
            run.add_token(event.is_last)
            if event.is_last:
                self._loop.call_later(
                    self._section.retention_ms / 1000, self._remove_run, run
                )
            return
        run.cached_tokens = event.cached_tokens
        self._run_file.append(
            "prefill",
            request_id=run.request_id,
            tokens=event.computed_tokens,
            cached_tokens=event.cached_tokens,
        )


def parse_body(model: type[BaseModel], request: HttpRequest):
    """Parse and validate a JSON request body.

    :raises InvalidRequest: if the body is not valid JSON or does not fit the model.
    """
    return validate(model, request.json())


def validate(model: type[BaseModel], content):
    """Validate parsed JSON against a model.

    :raises InvalidRequest: with the first fault, if the content does not fit.
    """
    try:
        return model.model_validate(content)
    except ValidationError as error:
        fault = error.errors()[0]
        location = ".".join(str(part) for part in fault["loc"])
        raise InvalidRequest(f"{location}: {fault['msg']}") from error


def _first_set(value: int | None, default: int) -> int:
    return default if value is None else value


def _query_int(query: str, name: str) -> int:
    for pair in query.split("&"):
        key, _, value = pair.partition("=")
        if key == name and value.isascii() and value.isdigit() and len(value) < 19:
            return int(value)
    return 0


async def _refuse(
    exchange: Exchange, status_code: int, reason: Reason, detail: str
) -> None:
    request_id = exchange.request.header("x-request-id")
    refusal = Refusal(Verdict.NOT_RUN, reason, detail=detail)
    await exchange.refuse(status_code, refusal, request_id)
