"""Callers that send requests to a deployment and retry them when that is safe."""

import http.client
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from peridotfront.standin import expected_text

RETRY_INTERVAL_S = 0.2
REQUEST_TIMEOUT_S = 30
CONNECTION_ERRORS = (OSError, http.client.HTTPException)


@dataclass
class RequestResult:
    """Result of a caller's request after all its attempts."""

    key: str
    prompt: str
    tokens: int
    attempts: int
    status: int = 0
    verdict: str = ""
    body: bytes = b""
    failures: list = field(default_factory=list)

    @property
    def is_completed(self):
        return self.status == 200


class Load:
    """Load of transfers and completions from several concurrent callers.

    :param entries: returns the names of the entry hosts that callers may use.
    """

    def __init__(self, deployment, entries, callers=8):
        self.deployment = deployment
        self.entries = entries
        self.ended = []
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._pool = ThreadPoolExecutor(callers)
        self._jobs = [self._pool.submit(self._send_requests, n) for n in range(callers)]

    def finish(self):
        """Let every caller finish its request; return all results."""
        self._stop.set()
        for job in self._jobs:
            job.result()
        self._pool.shutdown()
        return self.ended

    def count(self):
        with self._lock:
            return len(self.ended)

    def _send_requests(self, number):
        sequence = 0
        while not self._stop.is_set():
            sequence += 1
            key = f"load-{number}-{sequence}-{id(self) % 10_000}"
            result = RequestResult(
                key, f"Lot {number} of {sequence}: {key}", 10 + sequence % 20, 0
            )
            self._send_until_final(result, number, is_transfer=number % 2 == 0)
            with self._lock:
                self.ended.append(result)

    def _send_until_final(self, result, number, is_transfer):
        deadline_s = time.monotonic() + REQUEST_TIMEOUT_S
        while time.monotonic() < deadline_s:
            entries = self.entries()
            entry = entries[(number + result.attempts) % len(entries)]
            result.attempts += 1
            try:
                reply = self._send(entry, result, is_transfer)
            except CONNECTION_ERRORS as error:
                result.failures.append(f"{entry}: {error!r}")
                time.sleep(RETRY_INTERVAL_S)
                continue
            result.status = reply.status
            result.body = reply.body
            if reply.status == 200:
                result.verdict = "completed"
                return
            problem = reply.json()
            result.verdict = problem["verdict"]
            result.failures.append(f"{entry}: {reply.status} {problem['reason']}")
            if result.verdict != "not_run":
                return
            time.sleep(max(RETRY_INTERVAL_S, problem["retry_after_ms"] / 1000))

    def _send(self, entry, result, is_transfer):
        options = {
            "idempotency_key": result.key,
            "peridotfront_attempt": str(result.attempts),
        }
        if is_transfer:
            body = {"seller": result.prompt, "amount_pence": 100}
            path = "/services/payout/transfers"
            return self.deployment.request(entry, path, body, **options)
        return self.deployment.complete(entry, result.prompt, result.tokens, **options)


def check_results(deployment, results):
    """Check the guarantees on all results against the upstreams' own records."""
    runs = {}
    for name in deployment.upstreams:
        for line in deployment.runs(name):
            if line["event"] in ("dispatch", "run") and line["key"]:
                key = line["key"].rpartition("/")[2]
                runs[key] = runs.get(key, 0) + 1
    for result in results:
        count = runs.get(result.key, 0)
        assert count <= 1, f"{result.key} ran {count} times: {result.failures}"
        if result.verdict == "not_run":
            assert count == 0, (
                f"{result.key} ran, although its verdict was not_run: {result.failures}"
            )
        if result.is_completed:
            assert count == 1, f"{result.key} was answered without a run"
            check_answer(result)
        assert result.status, f"{result.key} never got an answer: {result.failures}"


def check_answer(result):
    """Compare an answer byte for byte with the expected one."""
    if b'"choices"' in result.body:
        expected = expected_text(result.prompt, result.tokens)
        assert f'"text": "{expected}"'.encode() in result.body, result
    else:
        assert result.key.encode() in result.body, result
