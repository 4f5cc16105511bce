"""Client accounts that compete for the slots of one model, in virtual time."""

import random
from collections import Counter
from dataclasses import dataclass, replace

from peridotfront.core.actions import Received, Send, Tick
from peridotfront.core.fleet import AccountSpec, UpstreamKind
from peridotfront.core.messages import (
    CancelSlotRequest,
    Grant,
    HeldSlot,
    ReleaseCause,
    SlotRefusal,
    SlotRequest,
)
from peridotfront.core.releases import build_release
from peridotfront.core.scheduler import CellScheduler
from peridotfront.core.scheduler_events import FleetChanged
from peridotfront.core.scheduling_options import SchedulingOptions

from .service_fleet import build_fleet

CELL = "models"
HOST = "e1"
TICK_MS = 5
UPSTREAMS = 6
SLOTS = 5
PROMPT_TOKENS_PER_MS = 64.2
OUTPUT_TOKEN_MS = 4.23 / 5
TIMEOUT_MS = 3000
MAX_RETRY_AFTER_SHARE = 1 / 3
RENEWAL_MS = 1000


@dataclass(frozen=True, slots=True)
class Kind:
    """Kind of request."""

    prompt_tokens: int
    output_tokens: int
    goal_ms: int
    prompt_tokens_per_ms: float = PROMPT_TOKENS_PER_MS

    @property
    def prefill_ms(self):
        """Return the time to the first token."""
        return self.prompt_tokens / self.prompt_tokens_per_ms

    @property
    def hold_ms(self):
        """Return the time for which a request holds its slot."""
        return self.prefill_ms + self.output_tokens * OUTPUT_TOKEN_MS


LONG = Kind(3720, 120, 825)
SHORT = Kind(1110, 170, 410)


@dataclass(slots=True)
class Caller:
    """Account that sends requests of one kind in one tier.

    :param load: share of the capacity that its requests would take.
    """

    name: str
    load: float
    kind: Kind = LONG
    tier: int = 2


@dataclass(slots=True)
class Sent:
    """Request of a caller, with its state.

    :param first_ms: time at which it was sent first.
    :param due_ms: announced time, if it is a retry that comes at that time.
    """

    caller: Caller
    slot_request: SlotRequest
    first_ms: int
    sent_ms: int
    is_retry: bool = False
    due_ms: int | None = None
    upstream: str = ""
    granted_ms: int = 0
    reported_ms: int | None = None


def share_options():
    """Return the options of the scheduling that the scenarios test."""
    return SchedulingOptions(shares_accounts=True)


class SharesLoad:
    """Load of several accounts on the scheduler of one model.

    :param callers: the accounts.
    :param weights: weights of the accounts, 1 by default.

    ``asked``, ``served`` and ``punctual`` are counted by account, each request once;
    ``work_ms`` is the time for which slots were held. ``retries`` counts retries at
    their announced time that were granted or refused, and ``idle_ticks`` the ticks
    after which an upstream without any request was left while a request waited.
    ``overtaken`` counts grants of new requests while such a retry waited.
    """

    def __init__(self, callers, weights=None, seed=1):
        self.now_ms = 0
        self.callers = {caller.name: caller for caller in callers}
        self.asked = Counter()
        self.served = Counter()
        self.punctual = Counter()
        self.refused = Counter()
        self.work_ms = Counter()
        self.retries = Counter()
        self.order = []
        self.idle_ticks = 0
        self.inversions = 0
        self.overtaken = 0
        self.options = share_options()
        self._random = random.Random(seed)
        self._count = 0
        self._waiting = {}
        self._running = {}
        self._returns = []
        names = [f"g{number}" for number in range(UPSTREAMS)]
        fleet = build_fleet(
            CELL,
            UpstreamKind.ENGINE,
            names,
            SLOTS,
            0,
            prefill_tokens_per_s=30_000,
            decode_tokens_per_s=200,
            kv_capacity_tokens=530_848,
        )
        accounts = [
            AccountSpec(name, "", weight=(weights or {}).get(name, 1))
            for name in self.callers
        ]
        self._fleet = replace(fleet, accounts=tuple(accounts))
        self.elect()

    def elect(self):
        """Start a new scheduler, to which the entry host reports what it has."""
        self.scheduler = CellScheduler(
            CELL, self._fleet, UpstreamKind.ENGINE, options=self.options
        )
        self._step(FleetChanged(self._fleet))
        for sent in tuple(self._running.values()):
            self._report(sent, sent.reported_ms is not None)
        for sent in tuple(self._waiting.values()):
            left_ms = sent.first_ms + TIMEOUT_MS - self.now_ms
            self._receive(replace(sent.slot_request, deadline_ms=left_ms))

    def run(self, duration_ms):
        """Send requests for a duration."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            for caller in self.callers.values():
                self._send_new(caller)
            self._send_retries()
            self._run_slots()
            self._cancel_expired()
            self._step(Tick())
            used = {sent.upstream for sent in self._running.values()}
            self.idle_ticks += bool(self._waiting) and len(used) < UPSTREAMS

    def reset(self):
        """Count from now on only."""
        counters = self.asked, self.served, self.punctual, self.refused, self.work_ms
        for counter in (*counters, self.retries):
            counter.clear()
        self.idle_ticks = 0

    def account(self, name):
        """Return the dump of an account, if there is one."""
        accounts = {account.name: account for account in self.scheduler.dump().accounts}
        return accounts.get(name)

    def running(self, name):
        """Return the number of slots that an account holds."""
        return sum(sent.caller.name == name for sent in self._running.values())

    def _send_new(self, caller):
        per_tick = caller.load * UPSTREAMS * SLOTS * TICK_MS / caller.kind.hold_ms
        while per_tick > 0 and self._random.random() < per_tick:
            self.send(caller)
            per_tick -= 1

    def send(self, caller):
        """Send a new request."""
        self.asked[caller.name] += 1
        self._count += 1
        self._send(caller, self._count, self.now_ms)

    def _send(self, caller, fingerprint, first_ms, due_ms=None):
        is_retry = first_ms < self.now_ms
        slot_request = SlotRequest(
            request_id=f"r{fingerprint}.{int(is_retry)}",
            cell=CELL,
            model="",
            tier=caller.tier,
            client_account=caller.name,
            prompt_tokens=caller.kind.prompt_tokens,
            output_tokens=caller.kind.output_tokens,
            prefix_hashes=(),
            fingerprint=fingerprint,
            deadline_ms=first_ms + TIMEOUT_MS - self.now_ms,
            goal_ms=max(0, first_ms + caller.kind.goal_ms - self.now_ms),
        )
        self._waiting[slot_request.request_id] = Sent(
            caller, slot_request, first_ms, self.now_ms, is_retry, due_ms
        )
        self._receive(slot_request)

    def _send_retries(self):
        due = [sent for at_ms, sent in self._returns if at_ms <= self.now_ms]
        self._returns = [entry for entry in self._returns if entry[0] > self.now_ms]
        for sent in due:
            self._send(
                sent.caller, sent.slot_request.fingerprint, sent.first_ms, sent.due_ms
            )

    def _cancel_expired(self):
        for request_id, sent in tuple(self._waiting.items()):
            if self.now_ms - sent.first_ms >= TIMEOUT_MS:
                del self._waiting[request_id]
                self.retries["refused"] += sent.due_ms is not None
                self._receive(CancelSlotRequest(request_id, CELL))

    def _receive(self, message):
        self._step(Received(HOST, 1, message))

    def _step(self, event):
        for action in tuple(self.scheduler.handle(event, self.now_ms)):
            message = action.message if isinstance(action, Send) else None
            if isinstance(message, Grant):
                self._granted(message)
            elif isinstance(message, SlotRefusal):
                self._refused(self._waiting.pop(message.request_id), message)

    def _granted(self, grant):
        sent = self._waiting.pop(grant.request_id)
        self.inversions += any(
            other.caller.tier < sent.caller.tier for other in self._waiting.values()
        )
        self.retries["admitted"] += sent.due_ms is not None
        self.overtaken += sent.due_ms is None and any(
            other.due_ms is not None for other in self._waiting.values()
        )
        sent.upstream = grant.upstream
        sent.granted_ms = self.now_ms
        self._running[grant.request_id] = sent
        self.order.append(sent)

    def _refused(self, sent, refusal):
        self.refused[sent.caller.name] += 1
        self.retries["refused"] += sent.due_ms is not None
        if sent.is_retry:
            return
        left_ms = sent.first_ms + TIMEOUT_MS - self.now_ms
        max_wait_ms = int(left_ms * MAX_RETRY_AFTER_SHARE)
        wait_ms = min(refusal.retry_after_ms, max_wait_ms)
        if refusal.retry_after_ms <= max_wait_ms:
            sent.due_ms = self.now_ms + wait_ms
        self._returns.append((self.now_ms + max(1, wait_ms), sent))

    def _run_slots(self):
        for request_id, sent in tuple(self._running.items()):
            held_ms = self.now_ms - sent.granted_ms
            kind = sent.caller.kind
            if held_ms >= kind.hold_ms:
                del self._running[request_id]
                self._finish(sent, held_ms)
            elif sent.reported_ms is None and held_ms >= kind.prefill_ms:
                self._report(sent, True)
            elif self.now_ms - (sent.reported_ms or sent.granted_ms) >= RENEWAL_MS:
                self._report(sent, sent.reported_ms is not None)

    def _report(self, sent, has_token):
        sent.reported_ms = self.now_ms if has_token else sent.reported_ms
        self._receive(HeldSlot(sent.slot_request, sent.upstream, int(has_token)))

    def _finish(self, sent, held_ms):
        name = sent.caller.name
        self.work_ms[name] += sent.caller.kind.hold_ms
        self.served[name] += self.now_ms - sent.first_ms <= TIMEOUT_MS
        first_ms = sent.granted_ms + sent.caller.kind.prefill_ms
        self.punctual[name] += first_ms - sent.first_ms <= sent.caller.kind.goal_ms
        release = build_release(
            sent.slot_request,
            sent.upstream,
            ReleaseCause.COMPLETED,
            produced_tokens=sent.caller.kind.output_tokens,
            first_token_ms=int(sent.caller.kind.prefill_ms),
            duration_ms=held_ms,
        )
        self._receive(release)
