"""Callers that send requests to a deployment and repeat them as they may."""

import http.client
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from peridotfront.standin import expected_text

REPEAT_S = 0.2
GIVE_UP_S = 30
UNREACHABLE = (OSError, http.client.HTTPException)


@dataclass
class Ended:
    """Is how a request of a caller ended, after all its attempts."""

    key: str
    prompt: str
    tokens: int
    attempts: int
    status: int = 0
    verdict: str = ""
    body: bytes = b""
    said: list = field(default_factory=list)

    @property
    def is_completed(self):
        return self.status == 200


class Load:
    """Sends transfers and completions from several callers at once.

    :param entries: returns the entry hosts that callers may use now.
    """

    def __init__(self, deployment, entries, callers=8):
        self.deployment = deployment
        self.entries = entries
        self.ended = []
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._pool = ThreadPoolExecutor(callers)
        self._jobs = [self._pool.submit(self._call, n) for n in range(callers)]

    def finish(self):
        """Let every caller come to the end of its request; return all ends."""
        self._stop.set()
        for job in self._jobs:
            job.result()
        self._pool.shutdown()
        return self.ended

    def count(self):
        with self._lock:
            return len(self.ended)

    def _call(self, number):
        sequence = 0
        while not self._stop.is_set():
            sequence += 1
            key = f"load-{number}-{sequence}-{id(self) % 10_000}"
            ended = Ended(
                key, f"Lot {number} of {sequence}: {key}", 10 + sequence % 20, 0
            )
            self._until_final(ended, number, is_transfer=number % 2 == 0)
            with self._lock:
                self.ended.append(ended)

    def _until_final(self, ended, number, is_transfer):
        give_up_s = time.monotonic() + GIVE_UP_S
        while time.monotonic() < give_up_s:
            entries = self.entries()
            entry = entries[(number + ended.attempts) % len(entries)]
            ended.attempts += 1
            try:
                reply = self._send(entry, ended, is_transfer)
            except UNREACHABLE as error:
                ended.said.append(f"{entry}: {error!r}")
                time.sleep(REPEAT_S)
                continue
            ended.status = reply.status
            ended.body = reply.body
            if reply.status == 200:
                ended.verdict = "completed"
                return
            problem = reply.json()
            ended.verdict = problem["verdict"]
            ended.said.append(f"{entry}: {reply.status} {problem['reason']}")
            if ended.verdict != "not_run":
                return
            time.sleep(max(REPEAT_S, problem["retry_after_ms"] / 1000))

    def _send(self, entry, ended, is_transfer):
        options = {
            "idempotency_key": ended.key,
            "peridotfront_attempt": str(ended.attempts),
        }
        if is_transfer:
            body = {"seller": ended.prompt, "amount_pence": 100}
            path = "/services/payout/transfers"
            return self.deployment.request(entry, path, body, **options)
        return self.deployment.complete(entry, ended.prompt, ended.tokens, **options)


def check_ends(deployment, ended):
    """Check the promises on all ends against what the upstreams have seen."""
    runs = {}
    for name in deployment.upstreams:
        for line in deployment.runs(name):
            if line["event"] in ("dispatch", "run") and line["key"]:
                key = line["key"].rpartition("/")[2]
                runs[key] = runs.get(key, 0) + 1
    for one in ended:
        count = runs.get(one.key, 0)
        assert count <= 1, f"{one.key} ran {count} times: {one.said}"
        if one.verdict == "not_run":
            assert count == 0, f"{one.key} ran, and was told not run: {one.said}"
        if one.is_completed:
            assert count == 1, f"{one.key} has an answer and no run"
            check_answer(one)
        assert one.status, f"{one.key} never got an answer: {one.said}"


def check_answer(one):
    """Compare an answer byte for byte with what it must be."""
    if b'"choices"' in one.body:
        expected = expected_text(one.prompt, one.tokens)
        assert f'"text": "{expected}"'.encode() in one.body, one
    else:
        assert one.key.encode() in one.body, one
