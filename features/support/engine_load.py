"""Engines under load in virtual time, with requests that have goals."""

import random
from collections import Counter
from dataclasses import dataclass

from benchmarks.engine import Engine, EngineKind
from benchmarks.requests import Job
from peridotfront.core.actions import Received, Send, Tick
from peridotfront.core.fleet import UpstreamKind
from peridotfront.core.messages import (
    CancelSlotRequest,
    Grant,
    HeldSlot,
    Release,
    ReleaseCause,
    SlotRefusal,
    SlotRequest,
)
from peridotfront.core.scheduler import CellScheduler
from peridotfront.core.scheduler_events import FleetChanged

from .service_fleet import build_fleet

CELL = "models"
HOST = "e1"
TICK_MS = 10
RENEWAL_MS = 1000
ACCOUNTS = 6
SLOTS = 6
ENGINE = EngineKind("engine", 4.0, 0.3, 0.025, 1024, SLOTS, 500_000)
LATE_WORTH_SHARE = 0.3
MAX_RETRY_AFTER_SHARE = 1 / 3


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Kind of request.

    :param share: share of all requests.
    :param worth: worth of an answer that meets the goal.
    """

    name: str
    tier: int
    share: float
    prompt_tokens: int
    output_tokens: int
    goal_ms: int
    timeout_ms: int
    worth: float


KINDS = (
    RequestKind("draft", 1, 0.3, 6000, 300, 900, 14_000, 7.0),
    RequestKind("note", 2, 0.35, 800, 250, 500, 12_000, 1.6),
    RequestKind("label", 3, 0.35, 1800, 20, 450, 3000, 0.35),
)


@dataclass(slots=True)
class LoadRequest:
    """Request of a caller, with its state.

    :param first_sent_ms: time at which the caller asked first.
    """

    kind: RequestKind
    job: Job
    slot_request: SlotRequest
    first_sent_ms: int
    sent_ms: int
    is_retry: bool = False
    first_ms: int = -1
    reported_ms: int = 0


class EngineLoad:
    """Load of one model on a scheduler, as an entry host sends it.

    :param engines: number of engines.
    :param load: load as a multiple of what the engines can do.
    :param seed: seed of the arrivals.

    ``earned`` and ``owed`` are the worth of answers and of requests by kind, and
    ``held_ms`` the times after which requests were refused.
    """

    def __init__(self, engines, load, seed=1):
        self.now_ms = 0
        self.rate_per_s = load * engines * self._requests_per_s()
        self.earned = Counter()
        self.owed = Counter()
        self.counts = Counter()
        self.held_ms = []
        self._random = random.Random(seed)
        self._count = 0
        self._due = 0.0
        self._waiting = {}
        self._running = {}
        self._retries = []
        self.engines = {f"g{n}": Engine(f"g{n}", ENGINE) for n in range(engines)}
        self._step_end_ms = dict.fromkeys(self.engines, 0.0)
        self._step_ms = {}
        fleet = build_fleet(
            CELL,
            UpstreamKind.ENGINE,
            self.engines,
            SLOTS,
            ACCOUNTS,
            prefill_tokens_per_s=30_000,
            decode_tokens_per_s=200,
            kv_capacity_tokens=ENGINE.kv_tokens,
        )
        self.scheduler = CellScheduler(CELL, fleet, UpstreamKind.ENGINE)
        self._step(FleetChanged(fleet))

    @staticmethod
    def _requests_per_s():
        """Return the requests a second that keep one engine just busy."""
        step_ms = ENGINE.base_ms + ENGINE.sequence_ms * SLOTS
        request_ms = sum(
            kind.share
            * (
                kind.prompt_tokens * ENGINE.prefill_ms
                + kind.output_tokens * step_ms / SLOTS
            )
            for kind in KINDS
        )
        return 1000 / request_ms

    def run(self, duration_ms):
        """Send requests for a duration."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            self._due += self.rate_per_s * TICK_MS / 1000
            while self._due >= 1:
                self._due -= 1
                self._send_new()
            self._send_retries()
            self._run_engines()
            self._cancel_expired()
            self._step(Tick())

    def reset(self):
        """Count from now on only."""
        self.earned.clear()
        self.owed.clear()
        self.counts.clear()
        self.held_ms.clear()

    def _send_new(self):
        kind = self._random.choices(KINDS, [kind.share for kind in KINDS])[0]
        self.owed[kind.name] += kind.worth
        self._send(kind, self.now_ms, is_retry=False)

    def _send_retries(self):
        due = [retry for retry in self._retries if retry[0] <= self.now_ms]
        self._retries = [retry for retry in self._retries if retry[0] > self.now_ms]
        for _, request in due:
            self._send(request.kind, request.first_sent_ms, is_retry=True)

    def _send(self, kind, first_sent_ms, is_retry):
        self._count += 1
        name = f"r{self._count}"
        account = f"a{self._random.randrange(ACCOUNTS)}"
        remaining_ms = first_sent_ms + kind.timeout_ms - self.now_ms
        slot_request = SlotRequest(
            request_id=name,
            cell=CELL,
            model="",
            tier=kind.tier,
            client_account=account,
            prompt_tokens=kind.prompt_tokens,
            output_tokens=kind.output_tokens,
            prefix_hashes=(),
            fingerprint=self._count,
            deadline_ms=remaining_ms,
            goal_ms=kind.goal_ms,
        )
        job = Job(
            name,
            self.now_ms,
            kind.tier,
            account,
            HOST,
            kind.prompt_tokens,
            kind.output_tokens,
            (),
            self._count,
            remaining_ms,
            remaining_ms,
        )
        self._waiting[name] = LoadRequest(
            kind, job, slot_request, first_sent_ms, self.now_ms, is_retry
        )
        self._step(Received(HOST, 1, slot_request))

    def _cancel_expired(self):
        for name, request in tuple(self._waiting.items()):
            if self.now_ms - request.first_sent_ms >= request.kind.timeout_ms:
                del self._waiting[name]
                self.held_ms.append(self.now_ms - request.sent_ms)
                self.counts["expired"] += 1
                self._step(Received(HOST, 1, CancelSlotRequest(name, CELL)))

    def _step(self, event):
        for action in tuple(self.scheduler.handle(event, self.now_ms)):
            message = action.message if isinstance(action, Send) else None
            if isinstance(message, Grant):
                request = self._waiting.pop(message.request_id)
                self._running[message.request_id] = (request, message.upstream)
                self.engines[message.upstream].submit(request.job)
            elif isinstance(message, SlotRefusal):
                self._refused(self._waiting.pop(message.request_id), message)

    def _refused(self, request, refusal):
        self.held_ms.append(self.now_ms - request.sent_ms)
        self.counts["refused"] += 1
        if request.is_retry:
            self.counts["refused again"] += 1
            return
        left_ms = request.first_sent_ms + request.kind.timeout_ms - self.now_ms
        wait_ms = min(refusal.retry_after_ms, left_ms * MAX_RETRY_AFTER_SHARE)
        self._retries.append((self.now_ms + wait_ms, request))

    def _run_engines(self):
        for name, engine in self.engines.items():
            while self._step_end_ms[name] <= self.now_ms:
                if not self._run_step(name, engine):
                    break

    def _run_step(self, name, engine):
        """Run one step; return whether the engine had work."""
        if name in self._step_ms:
            result = engine.end_step(self._step_ms.pop(name), self.now_ms)
            for running in result.first_tokens:
                self._report(running.job.request_id, 1)
            for running in result.finished:
                self._finish(running.job.request_id)
        engine.admit()
        self._renew(engine)
        if engine.is_idle:
            self._step_end_ms[name] = self.now_ms
            return False
        duration_ms = engine.begin_step()
        self._step_ms[name] = duration_ms
        self._step_end_ms[name] = max(self._step_end_ms[name], 0.0) + duration_ms
        return True

    def _renew(self, engine):
        for request_id, running in engine.decoding.items():
            request, _ = self._running[request_id]
            if self.now_ms - request.reported_ms >= RENEWAL_MS:
                self._report(request_id, engine.produced(running))

    def _report(self, request_id, produced_tokens):
        request, upstream = self._running[request_id]
        request.reported_ms = self.now_ms
        if request.first_ms < 0:
            request.first_ms = self.now_ms
        held = HeldSlot(request.slot_request, upstream, produced_tokens)
        self._step(Received(HOST, 1, held))

    def _finish(self, request_id):
        request, upstream = self._running.pop(request_id)
        kind = request.kind
        is_punctual = request.first_ms - request.first_sent_ms <= kind.goal_ms
        worth = kind.worth if is_punctual else kind.worth * LATE_WORTH_SHARE
        if self.now_ms - request.first_sent_ms <= kind.timeout_ms:
            self.earned[kind.name] += worth
            self.counts["punctual" if is_punctual else "late"] += 1
        release = Release(
            request_id=request_id,
            cell=CELL,
            upstream=upstream,
            cause=ReleaseCause.COMPLETED,
            prompt_tokens=kind.prompt_tokens,
            cached_tokens=0,
            produced_tokens=kind.output_tokens,
            first_token_ms=request.first_ms - request.sent_ms,
            duration_ms=self.now_ms - request.sent_ms,
            slow_tokens=-1,
        )
        self._step(Received(HOST, 1, release))
