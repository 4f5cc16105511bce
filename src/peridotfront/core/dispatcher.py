"""The life of each request on its entry host, from arrival to its last word.

A request asks a cell for a slot, claims its idempotency key once the slot is in
hand, and is dispatched to its upstream at most once. A request whose key is held
elsewhere follows the holder's answer instead.

Before a request with a key is refused as not run, or if it waits for long, it asks
whether the key is in use. If the key has run, the request gets the answer that the
key has got instead.
"""

import heapq
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

from .actions import Log, Received, Send, Tick
from .claim_client import (
    AcquireClaim,
    ClaimResolved,
    ClaimUnresolved,
    KeyLookupFailed,
    KeyLookupResult,
    LookUpKey,
    ReportOutcome,
)
from .dispatcher_events import (
    ActiveRequest,
    CallerDisconnected,
    CancelDispatch,
    Coalesce,
    Dispatch,
    DispatchEnded,
    DispatchProgress,
    FollowAnswer,
    FollowedAnswerEnded,
    KeyState,
    ReplayOutcome,
    RequestArrived,
    RequestClosed,
    RequestState,
    ResumeAnswer,
    SendRefusal,
)
from .messages import (
    CancelSlotRequest,
    Claim,
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
    Grant,
    HeldSlot,
    Outcome,
    Preempt,
    Release,
    ReleaseCause,
    SlotRefusal,
)
from .releases import build_unsent_release
from .requests import Request
from .single_dispatch import dispatchmethod
from .verdicts import Reason, Refusal, Verdict

WANT_RETRY_MS = 250
FOLLOW_RETRY_MS = 500
QUORUM_RETRY_MS = 1000
UNREACHABLE_RETRY_MS = 500
FULL_RETRY_MS = 5000
MAX_PLACEMENTS = 3
CLAIM_ID_SEPARATOR = "."

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
        self.active_requests: dict[str, ActiveRequest] = {}
        self._choose_cell = choose_cell
        self._scheduler_of = scheduler_of
        self._by_key: dict[str, str] = {}
        self._due: list[tuple[int, str]] = []

    def handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        """Take an event and yield the actions that follow from it."""
        yield from self._handle(event, now_ms)

    def host_lost(self, host: str, now_ms: int) -> Iterator[Any]:
        """Take over the answers that a lost host held."""
        for flow in list(self.active_requests.values()):
            is_follower = flow.state is RequestState.FOLLOWING
            if is_follower and flow.holder and flow.holder.holder_host == host:
                yield from self._take_over(flow)

    def schedulers_changed(self, now_ms: int) -> Iterator[Any]:
        """Tell new schedulers of cells the wants and slots of this host."""
        for flow in list(self.active_requests.values()):
            if not flow.cell or self._scheduler_of(flow.cell) == flow.scheduler:
                continue
            if flow.state is RequestState.QUEUED:
                yield from self._ask(flow, now_ms)
            elif flow.upstream:
                yield from self._renew(flow, now_ms)

    @dispatchmethod
    def _handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        raise TypeError(f"unexpected event {event!r}")

    @_handle.register
    def _(self, event: RequestArrived, now_ms: int) -> Iterator[Any]:
        request = event.request
        standing = self.active_requests.get(self._by_key.get(request.key, ""))
        if standing is not None:
            yield from self._join(request, standing)
            return
        flow = ActiveRequest(request, RequestState.QUEUED, arrived_ms=now_ms)
        self.active_requests[request.request_id] = flow
        heapq.heappush(self._due, (now_ms + WANT_RETRY_MS, request.request_id))
        if request.key:
            self._by_key[request.key] = request.request_id
            flow.key_state = KeyState.UNASKED
        if event.refusal is not None:
            yield from self._refuse(flow, event.refusal)
            return
        yield from self._ask_next_cell(flow, now_ms)

    @_handle.register
    def _(self, event: Received, now_ms: int) -> Iterator[Any]:
        yield from self._receive(event.message, event, now_ms)

    @_handle.register
    def _(self, event: Tick, now_ms: int) -> Iterator[Any]:
        while self._due and self._due[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._due)
            flow = self.active_requests.get(request_id)
            if flow is None:
                continue
            yield from self._tick_flow(flow, now_ms)
            if request_id in self.active_requests:
                heapq.heappush(self._due, (now_ms + WANT_RETRY_MS, request_id))

    @_handle.register
    def _(self, event: CallerDisconnected, now_ms: int) -> Iterator[Any]:
        flow = self.active_requests.get(event.request_id)
        if flow is None:
            return
        if flow.state is RequestState.QUEUED:
            yield from self._withdraw(flow)
            self._forget(flow)
            yield RequestClosed(event.request_id)
        elif flow.state is RequestState.RUNNING and not flow.request.key:
            yield CancelDispatch(event.request_id, ReleaseCause.CALLER_GONE)
        elif flow.state not in (RequestState.RUNNING, RequestState.CLAIMING):
            self._forget(flow)
            yield RequestClosed(event.request_id)

    @_handle.register
    def _(self, event: DispatchProgress, now_ms: int) -> Iterator[Any]:
        flow = self.active_requests.get(event.request_id)
        if flow is None:
            return
        is_first = flow.produced_tokens == 0
        flow.produced_tokens = event.produced_tokens
        flow.slow_tokens = event.slow_tokens
        if is_first and flow.cell:
            yield from self._renew(flow, now_ms)

    @_handle.register
    def _(self, event: DispatchEnded, now_ms: int) -> Iterator[Any]:
        flow = self.active_requests.get(event.request_id)
        if flow is None:
            return
        yield from self._release(flow, event, now_ms)
        if flow.epoch:
            yield ReportOutcome(flow.request.key, flow.epoch, event.outcome)
        if self._may_place_again(flow, event.outcome):
            flow.state = RequestState.QUEUED
            flow.upstream = ""
            flow.epoch = 0
            yield from self._ask_next_cell(flow, now_ms)
            return
        yield from self._end(flow, event.outcome)

    @_handle.register
    def _(self, event: FollowedAnswerEnded, now_ms: int) -> Iterator[Any]:
        flow = self.active_requests.get(event.request_id)
        if flow is None:
            return
        if event.outcome is None:
            yield from self._take_over(flow)
            return
        yield from self._end(flow, event.outcome)

    @_handle.register
    def _(self, event: KeyLookupResult, now_ms: int) -> Iterator[Any]:
        flow = self.active_requests.get(event.request_id)
        if flow is None:
            return
        flow.key_state = KeyState.FREE
        if flow.state not in (RequestState.QUEUED, RequestState.REFUSING):
            return
        if _is_free(event.reply):
            if flow.state is RequestState.REFUSING:
                yield from self._refuse_now(flow, flow.refusal)
            return
        if flow.state is RequestState.QUEUED:
            yield from self._withdraw(flow)
        yield from self._follow_claim(flow, event.reply, now_ms)

    @_handle.register
    def _(self, event: KeyLookupFailed, now_ms: int) -> Iterator[Any]:
        flow = self.active_requests.get(event.request_id)
        if flow is None:
            return
        flow.key_state = KeyState.UNKNOWN
        if flow.state is RequestState.REFUSING:
            yield from self._refuse_now(flow, flow.refusal)

    @_handle.register
    def _(self, event: ClaimResolved, now_ms: int) -> Iterator[Any]:
        flow = self.active_requests.get(_request_id_of(event.request_id))
        if flow is None:
            return
        if flow.state is RequestState.TAKING_OVER:
            yield from self._take_over_decided(flow, event.reply, now_ms)
        elif flow.state is RequestState.CLAIMING:
            yield from self._claim_decided(flow, event.reply, now_ms)

    @_handle.register
    def _(self, event: ClaimUnresolved, now_ms: int) -> Iterator[Any]:
        flow = self.active_requests.get(_request_id_of(event.request_id))
        if flow is None:
            return
        verdict = Verdict.NOT_RUN
        if flow.state is RequestState.TAKING_OVER:
            verdict = Verdict.MAY_HAVE_RUN
        if flow.cell:
            yield self._not_sent(flow)
        flow.key_state = KeyState.UNKNOWN
        refusal = Refusal(verdict, Reason.NO_QUORUM, QUORUM_RETRY_MS)
        yield from self._refuse(flow, refusal)

    # -- placement ---------------------------------------------------------

    def _ask_next_cell(self, flow: ActiveRequest, now_ms: int) -> Iterator[Any]:
        flow.cell = self._choose_cell(flow.request, frozenset(flow.refusals))
        if not flow.cell:
            yield from self._refuse_everywhere(flow)
            return
        yield from self._ask(flow, now_ms)

    def _ask(self, flow: ActiveRequest, now_ms: int) -> Iterator[Any]:
        flow.scheduler = self._scheduler_of(flow.cell)
        flow.asked_ms = now_ms
        if flow.scheduler:
            waited_ms = now_ms - flow.arrived_ms
            yield Send(flow.scheduler, flow.request.want(flow.cell, waited_ms))

    def _tick_flow(self, flow: ActiveRequest, now_ms: int) -> Iterator[Any]:
        is_late = now_ms - flow.arrived_ms > flow.request.deadline_ms
        if flow.state is RequestState.QUEUED:
            yield from self._tick_queued(flow, is_late, now_ms)
        elif flow.state is RequestState.WAITING:
            yield from self._tick_waiting(flow, is_late, now_ms)
        elif flow.cell and now_ms - flow.renewed_ms >= self.renew_ms:
            yield from self._renew(flow, now_ms)

    def _tick_queued(
        self, flow: ActiveRequest, is_late: bool, now_ms: int
    ) -> Iterator[Any]:
        if is_late:
            yield from self._withdraw(flow)
            refusal = Refusal(Verdict.NOT_RUN, Reason.DEADLINE, UNREACHABLE_RETRY_MS)
            yield from self._refuse(flow, refusal)
        elif now_ms - flow.asked_ms >= WANT_RETRY_MS:
            if flow.key_state is KeyState.UNASKED:
                yield self._query_key(flow)
            yield from self._ask_elsewhere(flow, now_ms)

    def _ask_elsewhere(self, flow: ActiveRequest, now_ms: int) -> Iterator[Any]:
        flow.visited.add(flow.cell)
        passed_over = frozenset(flow.visited | flow.refusals.keys())
        cell = self._choose_cell(flow.request, passed_over)
        if cell:
            yield from self._withdraw(flow)
            flow.cell = cell
        yield from self._ask(flow, now_ms)

    def _tick_waiting(
        self, flow: ActiveRequest, is_late: bool, now_ms: int
    ) -> Iterator[Any]:
        if is_late:
            refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.IN_PROGRESS, FOLLOW_RETRY_MS)
            yield from self._refuse(flow, refusal)
        elif now_ms >= flow.retry_at_ms:
            yield from self._follow(flow)

    def _withdraw(self, flow: ActiveRequest) -> Iterator[Any]:
        if flow.scheduler:
            cancel = CancelSlotRequest(flow.request.request_id, flow.cell)
            yield Send(flow.scheduler, cancel)
        flow.cell = ""

    def _refuse_everywhere(self, flow: ActiveRequest) -> Iterator[Any]:
        refusals = list(flow.refusals.values())
        if not refusals:
            refusal = Refusal(Verdict.NOT_RUN, Reason.NO_UPSTREAM, UNREACHABLE_RETRY_MS)
            yield from self._refuse(flow, refusal)
            return
        soonest = min(refusals, key=lambda refuse: refuse.retry_after_ms)
        refusal = Refusal(Verdict.NOT_RUN, soonest.reason, soonest.retry_after_ms)
        yield from self._refuse(flow, refusal)

    @dispatchmethod
    def _receive(self, message: Any, event: Received, now_ms: int) -> Iterator[Any]:
        raise TypeError(f"unexpected message {message!r}")

    @_receive.register
    def _(self, message: Grant, event: Received, now_ms: int) -> Iterator[Any]:
        flow = self.active_requests.get(message.request_id)
        is_wanted = flow is not None and flow.state is RequestState.QUEUED
        if not is_wanted or flow.cell != message.cell:
            if not self._holds(message):
                yield Send(event.sender, build_unsent_release(message))
            return
        flow.upstream = message.upstream
        flow.renewed_ms = now_ms
        flow.lease_until_ms = now_ms + message.lease_ms
        if not flow.request.key:
            yield from self._dispatch(flow, now_ms)
            return
        flow.state = RequestState.CLAIMING
        yield self._want_claim(flow, self._claim(flow, epoch=1))

    @_receive.register
    def _(self, message: SlotRefusal, event: Received, now_ms: int) -> Iterator[Any]:
        flow = self.active_requests.get(message.request_id)
        if flow is None or flow.state is not RequestState.QUEUED:
            return
        if flow.cell != message.cell:
            return
        flow.refusals[message.cell] = message
        if message.reason is Reason.POISON:
            refusal = Refusal(Verdict.NOT_RUN, Reason.POISON)
            yield from self._refuse(flow, refusal)
            return
        yield from self._ask_next_cell(flow, now_ms)

    @_receive.register
    def _(self, message: Preempt, event: Received, now_ms: int) -> Iterator[Any]:
        flow = self.active_requests.get(message.request_id)
        if flow is not None and flow.state is RequestState.RUNNING:
            yield CancelDispatch(message.request_id, ReleaseCause.PREEMPTED)

    def _holds(self, grant: Grant) -> bool:
        flow = self.active_requests.get(grant.request_id)
        if flow is None:
            return False
        return (flow.cell, flow.upstream) == (grant.cell, grant.upstream)

    # -- claims ------------------------------------------------------------

    def _claim(self, flow: ActiveRequest, epoch: int) -> Claim:
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
    def _want_claim(flow: ActiveRequest, claim: Claim) -> AcquireClaim:
        # Each placement asks anew, or it would get the outcome of the one before.
        parts = (flow.request.request_id, str(flow.placements), str(claim.epoch))
        return AcquireClaim(ClaimRequest(CLAIM_ID_SEPARATOR.join(parts), claim))

    def _claim_decided(
        self, flow: ActiveRequest, reply: ClaimReply, now_ms: int
    ) -> Iterator[Any]:
        if reply.status is ClaimStatus.GRANTED:
            flow.epoch = reply.claim.epoch
            yield from self._dispatch(flow, now_ms)
            return
        yield self._not_sent(flow)
        flow.upstream = ""
        flow.cell = ""
        yield from self._follow_claim(flow, reply, now_ms)

    def _follow_claim(
        self, flow: ActiveRequest, reply: ClaimReply, now_ms: int
    ) -> Iterator[Any]:
        if reply.status is ClaimStatus.KEY_REUSED:
            refusal = Refusal(Verdict.NOT_RUN, Reason.KEY_REUSED)
            yield from self._refuse_now(flow, refusal)
        elif reply.status is ClaimStatus.FULL:
            refusal = Refusal(Verdict.NOT_RUN, Reason.OVERLOADED, FULL_RETRY_MS)
            yield from self._refuse_now(flow, refusal)
        elif reply.status is ClaimStatus.ENDED:
            yield from self._replay(flow, reply)
        elif self._is_earlier_self(reply.claim):
            flow.holder = reply.claim
            yield from self._take_over(flow)
        elif flow.state is RequestState.TAKING_OVER:
            flow.holder = reply.claim
            flow.state = RequestState.WAITING
            flow.retry_at_ms = now_ms + FOLLOW_RETRY_MS
        else:
            flow.holder = reply.claim
            yield from self._follow(flow)

    def _follow(self, flow: ActiveRequest) -> Iterator[Any]:
        flow.state = RequestState.FOLLOWING
        request = flow.request
        yield FollowAnswer(request.request_id, request.key, flow.holder.holder_host)

    def _is_earlier_self(self, claim: Claim) -> bool:
        is_own = claim.holder_host == self.host
        return is_own and claim.holder_incarnation != self.incarnation

    def _replay(self, flow: ActiveRequest, reply: ClaimReply) -> Iterator[Any]:
        outcome = reply.outcome
        is_whole = outcome.is_replayable or outcome.verdict is not Verdict.COMPLETED
        if is_whole or reply.claim is None or flow.state is RequestState.WAITING:
            yield ReplayOutcome(flow.request.request_id, outcome)
            self._forget(flow)
            return
        flow.holder = reply.claim
        yield from self._follow(flow)

    def _take_over(self, flow: ActiveRequest) -> Iterator[Any]:
        flow.state = RequestState.TAKING_OVER
        claim = self._claim(flow, flow.holder.epoch + 1)
        claim = replace(claim, upstream=flow.holder.upstream)
        yield self._want_claim(flow, claim)

    def _take_over_decided(
        self, flow: ActiveRequest, reply: ClaimReply, now_ms: int
    ) -> Iterator[Any]:
        if reply.status is ClaimStatus.ENDED:
            yield ReplayOutcome(flow.request.request_id, reply.outcome)
            self._forget(flow)
            return
        if reply.status is not ClaimStatus.GRANTED:
            yield from self._follow_claim(flow, reply, now_ms)
            return
        flow.epoch = reply.claim.epoch
        flow.state = RequestState.RUNNING
        flow.sent_ms = now_ms
        yield ResumeAnswer(flow.request.request_id, reply.claim.upstream)

    # -- dispatch ----------------------------------------------------------

    def _dispatch(self, flow: ActiveRequest, now_ms: int) -> Iterator[Any]:
        if now_ms >= flow.lease_until_ms:
            yield from self._give_up_slot(flow)
            return
        flow.state = RequestState.RUNNING
        flow.sent_ms = now_ms
        flow.placements += 1
        request_id = flow.request.request_id
        yield Dispatch(request_id, flow.upstream, flow.cell, flow.epoch)

    def _give_up_slot(self, flow: ActiveRequest) -> Iterator[Any]:
        # The process was frozen past its lease; the slot may be someone else's.
        yield self._not_sent(flow)
        outcome = Outcome(Verdict.NOT_RUN, Reason.DEADLINE)
        if flow.epoch:
            yield ReportOutcome(flow.request.key, flow.epoch, outcome)
        refusal = Refusal(Verdict.NOT_RUN, Reason.DEADLINE, UNREACHABLE_RETRY_MS)
        yield from self._refuse(flow, refusal)

    def _may_place_again(self, flow: ActiveRequest, outcome: Outcome) -> bool:
        if not 0 < flow.placements < MAX_PLACEMENTS:
            return False
        if outcome.reason is not Reason.UPSTREAM_DIED:
            return False
        if outcome.verdict is Verdict.NOT_RUN:
            return True
        return flow.request.is_repeatable and not flow.epoch

    def _renew(self, flow: ActiveRequest, now_ms: int) -> Iterator[Any]:
        flow.scheduler = self._scheduler_of(flow.cell)
        flow.renewed_ms = now_ms
        if not flow.scheduler:
            return
        want = flow.request.want(flow.cell, now_ms - flow.arrived_ms)
        held = HeldSlot(
            want, flow.upstream, flow.produced_tokens, slow_tokens=flow.slow_tokens
        )
        yield Send(flow.scheduler, held)

    def _release(
        self, flow: ActiveRequest, event: DispatchEnded, now_ms: int
    ) -> Iterator[Any]:
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
            slow_tokens=event.slow_tokens,
        )
        yield Send(flow.scheduler, release)

    def _not_sent(self, flow: ActiveRequest) -> Send:
        grant = Grant(flow.request.request_id, flow.cell, flow.upstream, 0, 0)
        return Send(flow.scheduler, build_unsent_release(grant))

    # -- ends --------------------------------------------------------------

    def _join(self, request: Request, standing: ActiveRequest) -> Iterator[Any]:
        if standing.request.fingerprint != request.fingerprint:
            refusal = Refusal(Verdict.NOT_RUN, Reason.KEY_REUSED)
            yield SendRefusal(request.request_id, refusal)
            return
        yield Log("request_joined", (("request_id", request.request_id),))
        yield Coalesce(request.request_id, standing.request.request_id)

    def _end(self, flow: ActiveRequest, outcome: Outcome) -> Iterator[Any]:
        request_id = flow.request.request_id
        self._forget(flow)
        if outcome.verdict is Verdict.COMPLETED:
            yield RequestClosed(request_id)
            return
        retry_after_ms = 0
        if outcome.verdict is Verdict.NOT_RUN:
            retry_after_ms = UNREACHABLE_RETRY_MS
        refusal = Refusal(outcome.verdict, outcome.reason, retry_after_ms)
        yield SendRefusal(request_id, refusal)

    def _refuse(self, flow: ActiveRequest, refusal: Refusal) -> Iterator[Any]:
        flow.state = RequestState.REFUSING
        flow.refusal = refusal
        is_open = flow.key_state in (KeyState.UNASKED, KeyState.FREE)
        if is_open and refusal.verdict is Verdict.NOT_RUN:
            # Another attempt may have run, also since the key was found to be free.
            yield self._query_key(flow)
        elif flow.key_state is not KeyState.ASKED:
            yield from self._refuse_now(flow, refusal)

    def _query_key(self, flow: ActiveRequest) -> LookUpKey:
        flow.key_state = KeyState.ASKED
        request = flow.request
        return LookUpKey(request.request_id, request.key, request.fingerprint)

    def _refuse_now(self, flow: ActiveRequest, refusal: Refusal) -> Iterator[Any]:
        is_repeat = flow.request.key and flow.request.attempt > 1
        if is_repeat and flow.key_state is KeyState.UNKNOWN:
            # An earlier attempt may have run out of this host's sight.
            refusal = replace(refusal, verdict=Verdict.MAY_HAVE_RUN)
        self._forget(flow)
        yield SendRefusal(flow.request.request_id, refusal)

    def _forget(self, flow: ActiveRequest) -> None:
        self.active_requests.pop(flow.request.request_id, None)
        if self._by_key.get(flow.request.key) == flow.request.request_id:
            del self._by_key[flow.request.key]


def _request_id_of(claim_request_id: str) -> str:
    return claim_request_id.partition(CLAIM_ID_SEPARATOR)[0]


def _is_free(reply: ClaimReply) -> bool:
    if reply.status is ClaimStatus.FREE:
        return True
    is_ended = reply.status is ClaimStatus.ENDED
    return is_ended and reply.outcome.verdict is Verdict.NOT_RUN
