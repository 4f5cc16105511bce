"""The life of each request on its entry host, from arrival to its last word.

A request asks a cell for a slot, claims its idempotency key once the slot is in
hand, and is dispatched to its upstream at most once. A request whose key is held
elsewhere follows the holder's answer instead.
"""

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum
from functools import singledispatchmethod
from typing import Any

from .actions import Log, Received, Send, Tick
from .claimant import ClaimDecided, ClaimUnknown, ReportOutcome, WantClaim
from .messages import (
    CancelWant,
    Claim,
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
    Grant,
    HeldSlot,
    Outcome,
    Preempt,
    Refuse,
    Release,
    ReleaseCause,
)
from .requests import Request
from .verdicts import Reason, Refusal, Verdict

WANT_RETRY_MS = 250
QUORUM_RETRY_MS = 1000
UNREACHABLE_RETRY_MS = 500
MAX_PLACEMENTS = 3


class FlowState(StrEnum):
    """Names the steps in the life of a request."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    RUNNING = "running"
    FOLLOWING = "following"
    TAKING_OVER = "taking_over"


@dataclass(frozen=True, slots=True)
class Arrived:
    """Reports a new request that was admitted."""

    request: Request


@dataclass(frozen=True, slots=True)
class CallerGone:
    """Reports that nobody waits for a request's answer any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Progress:
    """Reports tokens that an upstream has produced for a request."""

    request_id: str
    produced_tokens: int


@dataclass(frozen=True, slots=True)
class DispatchEnded:
    """Reports how a dispatch ended.

    :param first_token_ms: from dispatch to first token; -1 if there was none.
    """

    request_id: str
    cause: ReleaseCause
    outcome: Outcome
    cached_tokens: int = 0
    produced_tokens: int = 0
    first_token_ms: int = -1


@dataclass(frozen=True, slots=True)
class FollowEnded:
    """Reports that the answer of another host has ended, or is not to be had.

    :param outcome: None if the holder does not know the answer.
    """

    request_id: str
    outcome: Outcome | None


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Asks the program to send a request to its upstream, now."""

    request_id: str
    upstream: str
    cell: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Resume:
    """Asks the program to resume a stream that another host dispatched."""

    request_id: str
    upstream: str


@dataclass(frozen=True, slots=True)
class CancelDispatch:
    """Asks the program to cut a dispatch; :class:`DispatchEnded` follows."""

    request_id: str
    cause: ReleaseCause


@dataclass(frozen=True, slots=True)
class Join:
    """Asks the program to serve a request from another one of this host."""

    request_id: str
    holder_request_id: str


@dataclass(frozen=True, slots=True)
class Follow:
    """Asks the program to fetch the answer from the host that holds it."""

    request_id: str
    key: str
    holder_host: str


@dataclass(frozen=True, slots=True)
class Replay:
    """Asks the program to answer a request with a recorded outcome."""

    request_id: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Refused:
    """Asks the program to give a request its final answer, at once."""

    request_id: str
    refusal: Refusal


@dataclass(slots=True)
class Flow:
    """Holds what the dispatcher knows of one request.

    :param epoch: of the claim under which the request runs; 0 without a claim.
    :param lease_until_ms: until when the granted slot may be used.
    :param refusals: the answers of cells that could not take the request.
    """

    request: Request
    state: FlowState
    arrived_ms: int
    cell: str = ""
    scheduler: str = ""
    asked_ms: int = 0
    upstream: str = ""
    lease_until_ms: int = 0
    epoch: int = 0
    sent_ms: int = 0
    produced_tokens: int = 0
    renewed_ms: int = 0
    placements: int = 0
    holder: Claim | None = None
    refusals: dict[str, Refuse] = field(default_factory=dict)


Placement = Callable[[Request, frozenset[str]], str]
SchedulerOf = Callable[[str], str]


class Dispatcher:
    """Carries requests through their steps.

    :param host: the own host name.
    :param incarnation: the own incarnation.
    :param choose_cell: returns the cell to ask next, given the request and the
        cells that refused it; empty when there is none left.
    :param scheduler_of: returns the host that schedules a cell; empty if none.
    :param renew_ms: how often held slots are confirmed.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        choose_cell: Placement,
        scheduler_of: SchedulerOf,
        renew_ms: int = 1000,
    ):
        self.host = host
        self.incarnation = incarnation
        self.renew_ms = renew_ms
        self.flows: dict[str, Flow] = {}
        self._choose_cell = choose_cell
        self._scheduler_of = scheduler_of
        self._by_key: dict[str, str] = {}
        self._due: list[tuple[int, str]] = []

    def handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        """Take an event and yield the actions that follow from it."""
        yield from self._handle(event, now_ms)

    @singledispatchmethod
    def _handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        raise TypeError(f"unexpected event {event!r}")

    @_handle.register
    def _(self, event: Arrived, now_ms: int) -> Iterator[Any]:
        request = event.request
        standing = self.flows.get(self._by_key.get(request.key, ""))
        if request.key and standing is not None:
            yield from self._join(request, standing)
            return
        flow = Flow(request, FlowState.QUEUED, arrived_ms=now_ms)
        self.flows[request.request_id] = flow
        if request.key:
            self._by_key[request.key] = request.request_id
        heapq.heappush(self._due, (now_ms + WANT_RETRY_MS, request.request_id))
        yield from self._ask_next_cell(flow, now_ms)

    @_handle.register
    def _(self, event: Received, now_ms: int) -> Iterator[Any]:
        yield from self._receive(event.message, event, now_ms)

    @_handle.register
    def _(self, event: Tick, now_ms: int) -> Iterator[Any]:
        while self._due and self._due[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._due)
            flow = self.flows.get(request_id)
            if flow is None:
                continue
            yield from self._tick_flow(flow, now_ms)
            if request_id in self.flows:
                heapq.heappush(self._due, (now_ms + WANT_RETRY_MS, request_id))

    @_handle.register
    def _(self, event: CallerGone, now_ms: int) -> Iterator[Any]:
        flow = self.flows.get(event.request_id)
        if flow is None:
            return
        if flow.state is FlowState.QUEUED:
            yield Send(flow.scheduler, CancelWant(event.request_id, flow.cell))
            self._forget(flow)
        elif flow.state is FlowState.FOLLOWING:
            self._forget(flow)
        elif flow.state is FlowState.RUNNING and not flow.request.key:
            yield CancelDispatch(event.request_id, ReleaseCause.CALLER_GONE)

    @_handle.register
    def _(self, event: Progress, now_ms: int) -> Iterator[Any]:
        flow = self.flows.get(event.request_id)
        if flow is not None:
            flow.produced_tokens = event.produced_tokens
        yield from ()

    @_handle.register
    def _(self, event: DispatchEnded, now_ms: int) -> Iterator[Any]:
        flow = self.flows.get(event.request_id)
        if flow is None:
            return
        yield from self._release(flow, event, now_ms)
        if self._may_place_again(flow, event.outcome):
            yield from self._place_again(flow, now_ms)
            return
        if flow.epoch:
            yield ReportOutcome(flow.request.key, flow.epoch, event.outcome)
        if event.outcome.verdict is not Verdict.COMPLETED:
            retry_ms = _retry_after_ms(event.outcome)
            yield self._refuse(flow, event.outcome, retry_ms)
        self._forget(flow)

    @_handle.register
    def _(self, event: FollowEnded, now_ms: int) -> Iterator[Any]:
        flow = self.flows.get(event.request_id)
        if flow is None:
            return
        if event.outcome is None and flow.holder is not None:
            yield from self._take_over(flow)
            return
        if event.outcome and event.outcome.verdict is not Verdict.COMPLETED:
            yield self._refuse(flow, event.outcome, _retry_after_ms(event.outcome))
        self._forget(flow)

    @_handle.register
    def _(self, event: ClaimDecided, now_ms: int) -> Iterator[Any]:
        flow = self.flows.get(event.request_id)
        if flow is None:
            return
        if flow.state is FlowState.TAKING_OVER:
            yield from self._take_over_decided(flow, event.reply, now_ms)
        elif flow.state is FlowState.CLAIMING:
            yield from self._claim_decided(flow, event.reply, now_ms)

    @_handle.register
    def _(self, event: ClaimUnknown, now_ms: int) -> Iterator[Any]:
        flow = self.flows.get(event.request_id)
        if flow is None:
            return
        verdict = Verdict.NOT_RUN
        if flow.state is FlowState.TAKING_OVER:
            verdict = Verdict.MAY_HAVE_RUN
        if flow.cell:
            yield self._not_sent(flow)
        outcome = Outcome(verdict, Reason.NO_QUORUM)
        yield self._refuse(flow, outcome, QUORUM_RETRY_MS)
        self._forget(flow)

    def host_lost(self, host: str, now_ms: int) -> Iterator[Any]:
        """Take over what a lost host held, and ask its cells' new schedulers."""
        for flow in list(self.flows.values()):
            is_follower = flow.state is FlowState.FOLLOWING
            if is_follower and flow.holder and flow.holder.holder_host == host:
                yield from self._take_over(flow)

    def schedulers_changed(self, now_ms: int) -> Iterator[Any]:
        """Tell the schedulers of all cells, as known now, wants and held slots."""
        for flow in list(self.flows.values()):
            if not flow.cell or self._scheduler_of(flow.cell) == flow.scheduler:
                continue
            if flow.state is FlowState.QUEUED:
                yield from self._ask(flow, now_ms)
            elif flow.upstream:
                yield from self._renew(flow, now_ms)

    # -- placement ---------------------------------------------------------

    def _ask_next_cell(self, flow: Flow, now_ms: int) -> Iterator[Any]:
        flow.cell = self._choose_cell(flow.request, frozenset(flow.refusals))
        if not flow.cell:
            yield from self._refuse_everywhere(flow)
            return
        yield from self._ask(flow, now_ms)

    def _ask(self, flow: Flow, now_ms: int) -> Iterator[Any]:
        flow.scheduler = self._scheduler_of(flow.cell)
        flow.asked_ms = now_ms
        if flow.scheduler:
            waited_ms = now_ms - flow.arrived_ms
            yield Send(flow.scheduler, flow.request.want(flow.cell, waited_ms))

    def _tick_flow(self, flow: Flow, now_ms: int) -> Iterator[Any]:
        if flow.state is FlowState.QUEUED:
            yield from self._tick_queued(flow, now_ms)
        elif flow.cell and now_ms - flow.renewed_ms >= self.renew_ms:
            yield from self._renew(flow, now_ms)

    def _tick_queued(self, flow: Flow, now_ms: int) -> Iterator[Any]:
        if now_ms - flow.arrived_ms > flow.request.deadline_ms:
            cancel = CancelWant(flow.request.request_id, flow.cell)
            yield Send(flow.scheduler, cancel)
            yield self._refuse(flow, Outcome(Verdict.NOT_RUN, Reason.DEADLINE), 0)
            self._forget(flow)
        elif now_ms - flow.asked_ms >= WANT_RETRY_MS:
            yield from self._ask(flow, now_ms)

    def _refuse_everywhere(self, flow: Flow) -> Iterator[Any]:
        refusals = list(flow.refusals.values())
        if not refusals:
            outcome = Outcome(Verdict.NOT_RUN, Reason.NO_UPSTREAM)
            yield self._refuse(flow, outcome, UNREACHABLE_RETRY_MS)
        else:
            soonest = min(refusals, key=lambda refuse: refuse.retry_after_ms)
            outcome = Outcome(Verdict.NOT_RUN, soonest.reason)
            yield self._refuse(flow, outcome, soonest.retry_after_ms)
        self._forget(flow)

    @singledispatchmethod
    def _receive(self, message: Any, event: Received, now_ms: int) -> Iterator[Any]:
        raise TypeError(f"unexpected message {message!r}")

    @_receive.register
    def _(self, message: Grant, event: Received, now_ms: int) -> Iterator[Any]:
        flow = self.flows.get(message.request_id)
        is_wanted = flow is not None and flow.state is FlowState.QUEUED
        if not is_wanted or flow.cell != message.cell:
            if not self._holds(message):
                yield Send(event.sender, _unused(message))
            return
        flow.upstream = message.upstream
        flow.renewed_ms = now_ms
        flow.lease_until_ms = now_ms + message.lease_ms
        if not flow.request.key:
            yield from self._dispatch(flow, now_ms)
            return
        flow.state = FlowState.CLAIMING
        yield self._want_claim(flow, self._claim(flow, epoch=1))

    @_receive.register
    def _(self, message: Refuse, event: Received, now_ms: int) -> Iterator[Any]:
        flow = self.flows.get(message.request_id)
        if flow is None or flow.state is not FlowState.QUEUED:
            return
        if flow.cell != message.cell:
            return
        flow.refusals[message.cell] = message
        if message.reason is Reason.POISON:
            yield from self._refuse_everywhere(flow)
            return
        yield from self._ask_next_cell(flow, now_ms)

    @_receive.register
    def _(self, message: Preempt, event: Received, now_ms: int) -> Iterator[Any]:
        flow = self.flows.get(message.request_id)
        if flow is not None and flow.state is FlowState.RUNNING:
            yield CancelDispatch(message.request_id, ReleaseCause.PREEMPTED)

    def _holds(self, grant: Grant) -> bool:
        flow = self.flows.get(grant.request_id)
        if flow is None:
            return False
        return (flow.cell, flow.upstream) == (grant.cell, grant.upstream)

    # -- claims ------------------------------------------------------------

    def _claim(self, flow: Flow, epoch: int) -> Claim:
        return Claim(
            key=flow.request.key,
            fingerprint=flow.request.fingerprint,
            epoch=epoch,
            holder_host=self.host,
            holder_incarnation=self.incarnation,
            upstream=flow.upstream,
            is_idempotent=flow.request.is_idempotent,
        )

    @staticmethod
    def _want_claim(flow: Flow, claim: Claim) -> WantClaim:
        return WantClaim(ClaimRequest(flow.request.request_id, claim))

    def _claim_decided(
        self, flow: Flow, reply: ClaimReply, now_ms: int
    ) -> Iterator[Any]:
        if reply.status is ClaimStatus.GRANTED:
            flow.epoch = reply.claim.epoch
            yield from self._dispatch(flow, now_ms)
            return
        yield self._not_sent(flow)
        flow.upstream = ""
        flow.cell = ""
        yield from self._follow_claim(flow, reply)

    def _follow_claim(self, flow: Flow, reply: ClaimReply) -> Iterator[Any]:
        request_id = flow.request.request_id
        if reply.status is ClaimStatus.KEY_REUSED:
            outcome = Outcome(Verdict.NOT_RUN, Reason.KEY_REUSED)
            yield self._refuse(flow, outcome, 0)
            self._forget(flow)
        elif reply.status is ClaimStatus.ENDED:
            yield from self._replay(flow, reply)
        elif self._is_earlier_self(reply.claim):
            flow.holder = reply.claim
            yield from self._take_over(flow)
        else:
            flow.state = FlowState.FOLLOWING
            flow.holder = reply.claim
            yield Follow(request_id, flow.request.key, reply.claim.holder_host)

    def _replay(self, flow: Flow, reply: ClaimReply) -> Iterator[Any]:
        outcome = reply.outcome
        if outcome.verdict is Verdict.COMPLETED and not outcome.is_replayable:
            flow.state = FlowState.FOLLOWING
            flow.holder = None
            yield Follow(
                flow.request.request_id, flow.request.key, reply.claim.holder_host
            )
            return
        yield Replay(flow.request.request_id, outcome)
        self._forget(flow)

    def _is_earlier_self(self, claim: Claim) -> bool:
        is_own = claim.holder_host == self.host
        return is_own and claim.holder_incarnation != self.incarnation

    def _take_over(self, flow: Flow) -> Iterator[Any]:
        flow.state = FlowState.TAKING_OVER
        claim = self._claim(flow, flow.holder.epoch + 1)
        claim = replace(claim, upstream=flow.holder.upstream)
        yield self._want_claim(flow, claim)

    def _take_over_decided(
        self, flow: Flow, reply: ClaimReply, now_ms: int
    ) -> Iterator[Any]:
        if reply.status is not ClaimStatus.GRANTED:
            yield from self._follow_claim(flow, reply)
            return
        flow.epoch = reply.claim.epoch
        flow.state = FlowState.RUNNING
        flow.sent_ms = now_ms
        yield Resume(flow.request.request_id, reply.claim.upstream)

    # -- dispatch ----------------------------------------------------------

    def _dispatch(self, flow: Flow, now_ms: int) -> Iterator[Any]:
        if now_ms >= flow.lease_until_ms:
            yield from self._give_up_slot(flow)
            return
        flow.state = FlowState.RUNNING
        flow.sent_ms = now_ms
        flow.placements += 1
        request_id = flow.request.request_id
        yield Dispatch(request_id, flow.upstream, flow.cell, flow.epoch)

    def _give_up_slot(self, flow: Flow) -> Iterator[Any]:
        # The process was frozen past its lease; the slot may be someone else's.
        outcome = Outcome(Verdict.NOT_RUN, Reason.DEADLINE)
        yield self._not_sent(flow)
        if flow.epoch:
            yield ReportOutcome(flow.request.key, flow.epoch, outcome)
        yield self._refuse(flow, outcome, UNREACHABLE_RETRY_MS)
        self._forget(flow)

    def _may_place_again(self, flow: Flow, outcome: Outcome) -> bool:
        if flow.placements >= MAX_PLACEMENTS or flow.state is not FlowState.RUNNING:
            return False
        if outcome.verdict is Verdict.NOT_RUN:
            return outcome.reason is Reason.UPSTREAM_DIED
        is_repeatable = flow.request.is_repeatable and not flow.epoch
        return is_repeatable and outcome.reason is Reason.UPSTREAM_DIED

    def _place_again(self, flow: Flow, now_ms: int) -> Iterator[Any]:
        if flow.epoch:
            outcome = Outcome(Verdict.NOT_RUN, Reason.UPSTREAM_DIED)
            yield ReportOutcome(flow.request.key, flow.epoch, outcome)
        flow.state = FlowState.QUEUED
        flow.upstream = ""
        flow.epoch = 0
        yield from self._ask_next_cell(flow, now_ms)

    def _renew(self, flow: Flow, now_ms: int) -> Iterator[Any]:
        flow.scheduler = self._scheduler_of(flow.cell)
        flow.renewed_ms = now_ms
        if not flow.scheduler:
            return
        want = flow.request.want(flow.cell, now_ms - flow.arrived_ms)
        held = HeldSlot(want, flow.upstream, flow.produced_tokens)
        yield Send(flow.scheduler, held)

    def _release(self, flow: Flow, event: DispatchEnded, now_ms: int) -> Iterator[Any]:
        if not flow.cell:
            return
        release = Release(
            request_id=flow.request.request_id,
            cell=flow.cell,
            upstream=flow.upstream,
            cause=event.cause,
            prompt_tokens=flow.request.prompt_tokens,
            cached_tokens=event.cached_tokens,
            produced_tokens=event.produced_tokens,
            first_token_ms=event.first_token_ms,
            duration_ms=now_ms - flow.sent_ms,
        )
        yield Send(flow.scheduler, release)

    def _not_sent(self, flow: Flow) -> Send:
        grant = Grant(flow.request.request_id, flow.cell, flow.upstream, 0, 0)
        return Send(flow.scheduler, _unused(grant))

    # -- ends --------------------------------------------------------------

    def _join(self, request: Request, standing: Flow) -> Iterator[Any]:
        if standing.request.fingerprint != request.fingerprint:
            refusal = Refusal(Verdict.NOT_RUN, Reason.KEY_REUSED)
            yield Refused(request.request_id, refusal)
            return
        yield Log("request_joined", (("request_id", request.request_id),))
        yield Join(request.request_id, standing.request.request_id)

    def _refuse(self, flow: Flow, outcome: Outcome, retry_after_ms: int) -> Refused:
        refusal = Refusal(outcome.verdict, outcome.reason, retry_after_ms)
        return Refused(flow.request.request_id, refusal)

    def _forget(self, flow: Flow) -> None:
        self.flows.pop(flow.request.request_id, None)
        if self._by_key.get(flow.request.key) == flow.request.request_id:
            del self._by_key[flow.request.key]


def _unused(grant: Grant) -> Release:
    return Release(
        request_id=grant.request_id,
        cell=grant.cell,
        upstream=grant.upstream,
        cause=ReleaseCause.NOT_SENT,
        prompt_tokens=0,
        cached_tokens=0,
        produced_tokens=0,
        first_token_ms=-1,
        duration_ms=0,
    )


def _retry_after_ms(outcome: Outcome) -> int:
    return UNREACHABLE_RETRY_MS if outcome.verdict is Verdict.NOT_RUN else 0
