"""Stand-in for a plain service, and the file in which stand-ins log runs."""

import asyncio
import hashlib
import json
import os
import time
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field

from .http_server import Exchange

CRASH_EXIT_CODE = 86


class RunFile:
    """Log file with a JSON line for each run, flushed line by line.

    :param path: path of the file; empty disables it.
    """

    def __init__(self, path: str = ""):
        self._file = None
        if path:
            self._file = Path(path).open("a", encoding="utf-8")  # noqa: SIM115

    def append(self, event: str, **fields) -> None:
        """Append a line.

        :param event: ``dispatch``, ``prefill``, ``order``, ``import`` or ``run``.
        """
        if self._file is None:
            return
        line = {"event": event, "at_ms": int(time.time() * 1000), **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


class Faults(BaseModel):
    """Faults that can be switched on while the stand-in runs.

    :param crash_marker: text that ends the process if a body contains it; empty
        never does.
    :param drops_answer: execute the request, then close the connection without an
        answer.
    :param cut_after_tokens: tokens after which a stream is cut; 0 never cuts.
    """

    model_config = ConfigDict(extra="forbid")

    slow_factor: float = Field(default=1.0, gt=0, le=10_000)
    crash_marker: str = ""
    is_hung: bool = False
    drops_answer: bool = False
    cut_after_tokens: int = Field(default=0, ge=0)
    load_lag_ms: int | None = Field(default=None, ge=0)
    event_lag_ms: int | None = Field(default=None, ge=0)
    event_gap_every: int | None = Field(default=None, ge=0)
    reorders_events: bool = False

    def crash_if_marked(self, body: bytes) -> None:
        """Exit the process immediately if the body contains the marker."""
        if self.crash_marker and self.crash_marker.encode() in body:
            os._exit(CRASH_EXIT_CODE)


class StandinService:
    """HTTP handler that executes any call after a delay and logs it.

    :param call_ms: duration of a call.
    """

    def __init__(self, run_file: RunFile, call_ms: int):
        self.faults = Faults()
        self.is_leaving = False
        self._run_file = run_file
        self._call_ms = call_ms
        self._runs = 0

    def apply_faults(self, faults: Faults) -> None:
        """Replace the active faults."""
        self.faults = faults

    async def handle(self, exchange: Exchange) -> None:
        """Answer a call."""
        request = exchange.request
        if request.path == "/report":
            await self._report(exchange)
            return
        self._runs += 1
        run = self._runs
        body_sha256 = hashlib.sha256(request.body).hexdigest()
        key = request.header("idempotency-key")
        self._run_file.append(
            "run",
            key=key,
            request_id=request.header("x-request-id"),
            method=request.method,
            path=request.path,
            body_sha256=body_sha256,
        )
        self.faults.crash_if_marked(request.body)
        while self.faults.is_hung:
            await asyncio.sleep(self._call_ms / 1000 + 0.01)
        await asyncio.sleep(self._call_ms * self.faults.slow_factor / 1000)
        if self.faults.drops_answer:
            exchange.abort()
            return
        answer = {"run": run, "key": key, "body_sha256": body_sha256}
        headers = [("content-type", "application/json")]
        await exchange.respond(200, headers, json.dumps(answer).encode())

    async def wait_until_idle(self) -> None:
        """Return immediately: the HTTP server itself waits for its open calls."""

    async def _report(self, exchange: Exchange) -> None:
        report = {"is_leaving": self.is_leaving, "runs": self._runs}
        headers = [("content-type", "application/json")]
        await exchange.respond(200, headers, json.dumps(report).encode())
