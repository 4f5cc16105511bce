"""Dispatching of requests on their entry host, from arrival to the final answer.

A request asks a cell for a slot, claims its idempotency key once the slot is
granted, and is then dispatched to the upstream. If another host holds the claim on
the key, the request follows the answer of that host instead.

After the death of its upstream, a request is dispatched again, up to
``MAX_PLACEMENTS`` times in all, if it was not executed there, or if it is repeatable
and has no key, and no part of its answer was received. If it may have been executed
there, no later refusal says that it was not.

A request with a key looks the key up before it is refused as not executed, and when
it has waited ``SLOT_REQUEST_RETRY_MS`` for a slot. If another request with the key has
been executed, the request gets the answer to that one.
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

SLOT_REQUEST_RETRY_MS = 250
FOLLOW_RETRY_MS = 500
QUORUM_RETRY_MS = 1000
UNREACHABLE_RETRY_MS = 500
CLAIMS_FULL_RETRY_MS = 5000
MAX_PLACEMENTS = 3
ID_SEPARATOR = "."

CellChooser = Callable[[Request, frozenset[str]], str]
SchedulerLookup = Callable[[str], str]


class Dispatcher:
    """State machine of the requests of one entry host.

    :param host: name of the local host.
    :param incarnation: incarnation of the local host.
    :param choose_cell: returns the cell to ask next, given the request and the
        excluded cells; an empty string if there is none left.
    :param scheduler_of: returns the host that schedules a cell; an empty string if
        there is none.
    :param renew_ms: interval at which the leases of held slots are renewed.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        choose_cell: CellChooser,
        scheduler_of: SchedulerLookup,
        renew_ms: int = 1000,
    ):
        self.host = host
        self.incarnation = incarnation
        self.renew_ms = renew_ms
        self.active_requests: dict[str, ActiveRequest] = {}
        self._choose_cell = choose_cell
        self._scheduler_of = scheduler_of
        self._request_ids_by_key: dict[str, str] = {}
        self._due_requests: list[tuple[int, str]] = []

    def handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        """Handle an event and yield the resulting actions.

        :param now_ms: monotonic clock of this process.
        """
        yield from self._handle(event, now_ms)

    def handle_lost_host(self, host: str, now_ms: int) -> Iterator[Any]:
        """Take over the claims of a lost host whose answers are followed here."""
        for active in list(self.active_requests.values()):
            is_follower = active.state is RequestState.FOLLOWING
            if is_follower and active.holder and active.holder.holder_host == host:
                yield from self._take_over(active)

    def handle_changed_schedulers(self, now_ms: int) -> Iterator[Any]:
        """Send slot requests and held slots to the new schedulers of their cells."""
        for active in list(self.active_requests.values()):
            if not active.cell or self._scheduler_of(active.cell) == active.scheduler:
                continue
            if active.state is RequestState.QUEUED:
                yield from self._request_slot(active, now_ms)
            elif active.upstream:
                yield from self._renew_slot(active, now_ms)

    @dispatchmethod
    def _handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        raise TypeError(f"unexpected event {event!r}")

    @_handle.register
    def _(self, event: RequestArrived, now_ms: int) -> Iterator[Any]:
        request = event.request
        leading_request = self.active_requests.get(
            self._request_ids_by_key.get(request.key, "")
        )
        if leading_request is not None:
            yield from self._coalesce(request, leading_request)
            return
        active = ActiveRequest(request, RequestState.QUEUED, arrived_ms=now_ms)
        self.active_requests[request.request_id] = active
        heapq.heappush(
            self._due_requests, (now_ms + SLOT_REQUEST_RETRY_MS, request.request_id)
        )
        if request.key:
            self._request_ids_by_key[request.key] = request.request_id
            active.key_state = KeyState.UNASKED
        if event.refusal is not None:
            yield from self._refuse(active, event.refusal)
            return
        yield from self._try_next_cell(active, now_ms)

    @_handle.register
    def _(self, event: Received, now_ms: int) -> Iterator[Any]:
        yield from self._receive(event.message, event, now_ms)

    @_handle.register
    def _(self, event: Tick, now_ms: int) -> Iterator[Any]:
        while self._due_requests and self._due_requests[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._due_requests)
            active = self.active_requests.get(request_id)
            if active is None:
                continue
            yield from self._tick_request(active, now_ms)
            if request_id in self.active_requests:
                heapq.heappush(
                    self._due_requests, (now_ms + SLOT_REQUEST_RETRY_MS, request_id)
                )

    @_handle.register
    def _(self, event: CallerDisconnected, now_ms: int) -> Iterator[Any]:
        active = self.active_requests.get(event.request_id)
        if active is None:
            return
        if active.state is RequestState.QUEUED:
            yield from self._cancel_slot_request(active)
            self._remove(active)
            yield RequestClosed(event.request_id)
        elif active.state is RequestState.RUNNING and not active.request.key:
            yield CancelDispatch(event.request_id, ReleaseCause.CALLER_GONE)
        elif active.state not in (RequestState.RUNNING, RequestState.CLAIMING):
            self._remove(active)
            yield RequestClosed(event.request_id)

    @_handle.register
    def _(self, event: DispatchProgress, now_ms: int) -> Iterator[Any]:
        active = self.active_requests.get(event.request_id)
        if active is None:
            return
        is_first = active.produced_tokens == 0
        active.produced_tokens = event.produced_tokens
        active.slow_tokens = event.slow_tokens
        if is_first and active.cell:
            yield from self._renew_slot(active, now_ms)

    @_handle.register
    def _(self, event: DispatchEnded, now_ms: int) -> Iterator[Any]:
        active = self.active_requests.get(event.request_id)
        if active is None:
            return
        yield from self._release(active, event, now_ms)
        if active.epoch:
            yield ReportOutcome(active.request.key, active.epoch, event.outcome)
        if event.outcome.verdict is not Verdict.NOT_RUN:
            active.may_have_run = True
        if not event.is_answer_begun and self._allow_retry(active, event.outcome):
            active.state = RequestState.QUEUED
            active.upstream = ""
            active.epoch = 0
            yield from self._try_next_cell(active, now_ms)
            return
        yield from self._finish(active, event.outcome)

    @_handle.register
    def _(self, event: FollowedAnswerEnded, now_ms: int) -> Iterator[Any]:
        active = self.active_requests.get(event.request_id)
        if active is None:
            return
        if event.outcome is None:
            yield from self._take_over(active)
            return
        yield from self._finish(active, event.outcome)

    @_handle.register
    def _(self, event: KeyLookupResult, now_ms: int) -> Iterator[Any]:
        active = self.active_requests.get(_parse_request_id(event.request_id))
        if active is None:
            return
        active.key_state = KeyState.FREE
        if active.state not in (RequestState.QUEUED, RequestState.REFUSING):
            return
        if _is_key_free(event.reply):
            if active.state is RequestState.REFUSING:
                yield from self._refuse_now(active, active.refusal)
            return
        if active.state is RequestState.QUEUED:
            yield from self._cancel_slot_request(active)
        yield from self._follow_existing_claim(active, event.reply, now_ms)

    @_handle.register
    def _(self, event: KeyLookupFailed, now_ms: int) -> Iterator[Any]:
        active = self.active_requests.get(_parse_request_id(event.request_id))
        if active is None:
            return
        active.key_state = KeyState.UNKNOWN
        if active.state is RequestState.REFUSING:
            yield from self._refuse_now(active, active.refusal)

    @_handle.register
    def _(self, event: ClaimResolved, now_ms: int) -> Iterator[Any]:
        active = self.active_requests.get(_parse_request_id(event.request_id))
        if active is None:
            return
        if active.state is RequestState.TAKING_OVER:
            yield from self._handle_takeover_reply(active, event.reply, now_ms)
        elif active.state is RequestState.CLAIMING:
            yield from self._handle_claim_reply(active, event.reply, now_ms)

    @_handle.register
    def _(self, event: ClaimUnresolved, now_ms: int) -> Iterator[Any]:
        active = self.active_requests.get(_parse_request_id(event.request_id))
        if active is None:
            return
        verdict = Verdict.NOT_RUN
        if active.state is RequestState.TAKING_OVER:
            verdict = Verdict.MAY_HAVE_RUN
        if active.cell:
            yield self._send_unsent_release(active)
        active.key_state = KeyState.UNKNOWN
        refusal = Refusal(verdict, Reason.NO_QUORUM, QUORUM_RETRY_MS)
        yield from self._refuse_now(active, refusal)

    # -- placement ---------------------------------------------------------

    def _try_next_cell(self, active: ActiveRequest, now_ms: int) -> Iterator[Any]:
        active.cell = self._choose_cell(active.request, frozenset(active.refusals))
        if not active.cell:
            yield from self._refuse_without_cell(active)
            return
        yield from self._request_slot(active, now_ms)

    def _request_slot(self, active: ActiveRequest, now_ms: int) -> Iterator[Any]:
        active.scheduler = self._scheduler_of(active.cell)
        active.asked_ms = now_ms
        if active.scheduler:
            waited_ms = now_ms - active.arrived_ms
            yield Send(
                active.scheduler,
                active.request.build_slot_request(active.cell, waited_ms),
            )

    def _tick_request(self, active: ActiveRequest, now_ms: int) -> Iterator[Any]:
        is_late = now_ms - active.arrived_ms > active.request.deadline_ms
        if active.state is RequestState.QUEUED:
            yield from self._tick_queued(active, is_late, now_ms)
        elif active.state is RequestState.WAITING:
            yield from self._tick_waiting(active, is_late, now_ms)
        elif active.cell and now_ms - active.renewed_ms >= self.renew_ms:
            yield from self._renew_slot(active, now_ms)

    def _tick_queued(
        self, active: ActiveRequest, is_late: bool, now_ms: int
    ) -> Iterator[Any]:
        if is_late:
            yield from self._cancel_slot_request(active)
            refusal = Refusal(Verdict.NOT_RUN, Reason.DEADLINE, UNREACHABLE_RETRY_MS)
            yield from self._refuse(active, refusal)
        elif now_ms - active.asked_ms >= SLOT_REQUEST_RETRY_MS:
            if active.key_state is KeyState.UNASKED:
                yield self._look_up_key(active)
            yield from self._retry_slot_request(active, now_ms)

    def _retry_slot_request(self, active: ActiveRequest, now_ms: int) -> Iterator[Any]:
        active.visited.add(active.cell)
        excluded_cells = frozenset(active.visited | active.refusals.keys())
        cell = self._choose_cell(active.request, excluded_cells)
        if cell:
            yield from self._cancel_slot_request(active)
            active.cell = cell
        yield from self._request_slot(active, now_ms)

    def _tick_waiting(
        self, active: ActiveRequest, is_late: bool, now_ms: int
    ) -> Iterator[Any]:
        if is_late:
            refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.IN_PROGRESS, FOLLOW_RETRY_MS)
            yield from self._refuse(active, refusal)
        elif now_ms >= active.retry_at_ms:
            yield from self._follow_answer(active)

    def _cancel_slot_request(self, active: ActiveRequest) -> Iterator[Any]:
        if active.scheduler:
            cancel = CancelSlotRequest(active.request.request_id, active.cell)
            yield Send(active.scheduler, cancel)
        active.cell = ""

    def _refuse_without_cell(self, active: ActiveRequest) -> Iterator[Any]:
        refusals = list(active.refusals.values())
        if not refusals:
            refusal = Refusal(Verdict.NOT_RUN, Reason.NO_UPSTREAM, UNREACHABLE_RETRY_MS)
            yield from self._refuse(active, refusal)
            return
        earliest_refusal = min(
            refusals, key=lambda slot_refusal: slot_refusal.retry_after_ms
        )
        refusal = Refusal(
            Verdict.NOT_RUN, earliest_refusal.reason, earliest_refusal.retry_after_ms
        )
        yield from self._refuse(active, refusal)

    @dispatchmethod
    def _receive(self, message: Any, event: Received, now_ms: int) -> Iterator[Any]:
        raise TypeError(f"unexpected message {message!r}")

    @_receive.register
    def _(self, message: Grant, event: Received, now_ms: int) -> Iterator[Any]:
        active = self.active_requests.get(message.request_id)
        is_expected = active is not None and active.state is RequestState.QUEUED
        if not is_expected or active.cell != message.cell:
            if not self._holds_slot(message):
                yield Send(event.sender, build_unsent_release(message))
            return
        active.upstream = message.upstream
        active.renewed_ms = now_ms
        active.lease_until_ms = now_ms + message.lease_ms
        if not active.request.key:
            yield from self._dispatch(active, now_ms)
            return
        active.state = RequestState.CLAIMING
        yield self._acquire_claim(active, self._build_claim(active, epoch=1))

    @_receive.register
    def _(self, message: SlotRefusal, event: Received, now_ms: int) -> Iterator[Any]:
        active = self.active_requests.get(message.request_id)
        if active is None or active.state is not RequestState.QUEUED:
            return
        if active.cell != message.cell:
            return
        active.refusals[message.cell] = message
        if message.reason is Reason.POISON:
            refusal = Refusal(Verdict.NOT_RUN, Reason.POISON)
            yield from self._refuse(active, refusal)
            return
        yield from self._try_next_cell(active, now_ms)

    @_receive.register
    def _(self, message: Preempt, event: Received, now_ms: int) -> Iterator[Any]:
        active = self.active_requests.get(message.request_id)
        if active is not None and active.state is RequestState.RUNNING:
            yield CancelDispatch(message.request_id, ReleaseCause.PREEMPTED)

    def _holds_slot(self, grant: Grant) -> bool:
        active = self.active_requests.get(grant.request_id)
        if active is None:
            return False
        return (active.cell, active.upstream) == (grant.cell, grant.upstream)

    # -- claims ------------------------------------------------------------

    def _build_claim(self, active: ActiveRequest, epoch: int) -> Claim:
        return Claim(
            key=active.request.key,
            fingerprint=active.request.fingerprint,
            epoch=epoch,
            holder_host=self.host,
            holder_incarnation=self.incarnation,
            upstream=active.upstream,
            is_idempotent=active.request.is_idempotent,
        )

    @staticmethod
    def _acquire_claim(active: ActiveRequest, claim: Claim) -> AcquireClaim:
        # Each placement needs its own id, or it would get the previous outcome.
        parts = (active.request.request_id, str(active.placements), str(claim.epoch))
        return AcquireClaim(ClaimRequest(ID_SEPARATOR.join(parts), claim))

    def _handle_claim_reply(
        self, active: ActiveRequest, reply: ClaimReply, now_ms: int
    ) -> Iterator[Any]:
        if reply.status is ClaimStatus.GRANTED:
            active.epoch = reply.claim.epoch
            yield from self._dispatch(active, now_ms)
            return
        yield self._send_unsent_release(active)
        active.upstream = ""
        active.cell = ""
        yield from self._follow_existing_claim(active, reply, now_ms)

    def _follow_existing_claim(
        self, active: ActiveRequest, reply: ClaimReply, now_ms: int
    ) -> Iterator[Any]:
        if reply.status is ClaimStatus.KEY_REUSED:
            refusal = Refusal(Verdict.NOT_RUN, Reason.KEY_REUSED)
            yield from self._refuse_now(active, refusal)
        elif reply.status is ClaimStatus.FULL:
            refusal = Refusal(Verdict.NOT_RUN, Reason.OVERLOADED, CLAIMS_FULL_RETRY_MS)
            yield from self._refuse_now(active, refusal)
        elif reply.status is ClaimStatus.ENDED:
            yield from self._replay_outcome(active, reply)
        elif self._is_earlier_incarnation(reply.claim):
            active.holder = reply.claim
            yield from self._take_over(active)
        elif active.state is RequestState.TAKING_OVER:
            active.holder = reply.claim
            active.state = RequestState.WAITING
            active.retry_at_ms = now_ms + FOLLOW_RETRY_MS
        else:
            active.holder = reply.claim
            yield from self._follow_answer(active)

    def _follow_answer(self, active: ActiveRequest) -> Iterator[Any]:
        active.state = RequestState.FOLLOWING
        request = active.request
        yield FollowAnswer(request.request_id, request.key, active.holder.holder_host)

    def _is_earlier_incarnation(self, claim: Claim) -> bool:
        is_local = claim.holder_host == self.host
        return is_local and claim.holder_incarnation != self.incarnation

    def _replay_outcome(
        self, active: ActiveRequest, reply: ClaimReply
    ) -> Iterator[Any]:
        outcome = reply.outcome
        has_full_answer = (
            outcome.is_replayable or outcome.verdict is not Verdict.COMPLETED
        )
        if (
            has_full_answer
            or reply.claim is None
            or active.state is RequestState.WAITING
        ):
            yield ReplayOutcome(active.request.request_id, outcome)
            self._remove(active)
            return
        active.holder = reply.claim
        yield from self._follow_answer(active)

    def _take_over(self, active: ActiveRequest) -> Iterator[Any]:
        active.state = RequestState.TAKING_OVER
        claim = self._build_claim(active, active.holder.epoch + 1)
        claim = replace(claim, upstream=active.holder.upstream)
        yield self._acquire_claim(active, claim)

    def _handle_takeover_reply(
        self, active: ActiveRequest, reply: ClaimReply, now_ms: int
    ) -> Iterator[Any]:
        if reply.status is ClaimStatus.ENDED:
            yield ReplayOutcome(active.request.request_id, reply.outcome)
            self._remove(active)
            return
        if reply.status is not ClaimStatus.GRANTED:
            yield from self._follow_existing_claim(active, reply, now_ms)
            return
        active.epoch = reply.claim.epoch
        # The lost holder may have sent it, however its resumption ends.
        active.may_have_run = True
        active.state = RequestState.RUNNING
        active.sent_ms = now_ms
        yield ResumeAnswer(active.request.request_id, reply.claim.upstream)

    # -- dispatch ----------------------------------------------------------

    def _dispatch(self, active: ActiveRequest, now_ms: int) -> Iterator[Any]:
        if now_ms >= active.lease_until_ms:
            yield from self._release_expired_slot(active)
            return
        active.state = RequestState.RUNNING
        active.sent_ms = now_ms
        active.placements += 1
        request_id = active.request.request_id
        yield Dispatch(request_id, active.upstream, active.cell, active.epoch)

    def _release_expired_slot(self, active: ActiveRequest) -> Iterator[Any]:
        # The process was frozen beyond its lease; another request may hold the slot.
        yield self._send_unsent_release(active)
        outcome = Outcome(Verdict.NOT_RUN, Reason.DEADLINE)
        if active.epoch:
            yield ReportOutcome(active.request.key, active.epoch, outcome)
        refusal = Refusal(Verdict.NOT_RUN, Reason.DEADLINE, UNREACHABLE_RETRY_MS)
        yield from self._refuse(active, refusal)

    def _allow_retry(self, active: ActiveRequest, outcome: Outcome) -> bool:
        if not 0 < active.placements < MAX_PLACEMENTS:
            return False
        if outcome.reason is not Reason.UPSTREAM_DIED:
            return False
        if outcome.verdict is Verdict.NOT_RUN:
            return True
        return active.request.is_repeatable and not active.epoch

    def _renew_slot(self, active: ActiveRequest, now_ms: int) -> Iterator[Any]:
        active.scheduler = self._scheduler_of(active.cell)
        active.renewed_ms = now_ms
        if not active.scheduler:
            return
        slot_request = active.request.build_slot_request(
            active.cell, now_ms - active.arrived_ms
        )
        held = HeldSlot(
            slot_request,
            active.upstream,
            active.produced_tokens,
            slow_tokens=active.slow_tokens,
        )
        yield Send(active.scheduler, held)

    def _release(
        self, active: ActiveRequest, event: DispatchEnded, now_ms: int
    ) -> Iterator[Any]:
        if not active.cell:
            return
        release = Release(
            request_id=active.request.request_id,
            cell=active.cell,
            upstream=active.upstream,
            cause=event.cause,
            prompt_tokens=active.request.prompt_tokens,
            cached_tokens=event.cached_tokens,
            produced_tokens=event.produced_tokens,
            first_token_ms=event.first_token_ms,
            duration_ms=now_ms - active.sent_ms,
            slow_tokens=event.slow_tokens,
        )
        yield Send(active.scheduler, release)

    def _send_unsent_release(self, active: ActiveRequest) -> Send:
        grant = Grant(active.request.request_id, active.cell, active.upstream, 0, 0)
        return Send(active.scheduler, build_unsent_release(grant))

    # -- completion --------------------------------------------------------

    def _coalesce(
        self, request: Request, leading_request: ActiveRequest
    ) -> Iterator[Any]:
        if leading_request.request.fingerprint != request.fingerprint:
            refusal = Refusal(Verdict.NOT_RUN, Reason.KEY_REUSED)
            yield SendRefusal(request.request_id, refusal)
            return
        # The joined request gets the same refusal, so that it must hold for a repeat.
        attempt = max(request.attempt, leading_request.request.attempt)
        leading_request.request = replace(leading_request.request, attempt=attempt)
        yield Log("request_joined", (("request_id", request.request_id),))
        yield Coalesce(request.request_id, leading_request.request.request_id)

    def _finish(self, active: ActiveRequest, outcome: Outcome) -> Iterator[Any]:
        if outcome.verdict is Verdict.COMPLETED:
            self._remove(active)
            yield RequestClosed(active.request.request_id)
            return
        is_not_run = outcome.verdict is Verdict.NOT_RUN and not active.may_have_run
        retry_after_ms = UNREACHABLE_RETRY_MS if is_not_run else 0
        refusal = Refusal(outcome.verdict, outcome.reason, retry_after_ms)
        yield self._end_with_refusal(active, refusal)

    def _end_with_refusal(self, active: ActiveRequest, refusal: Refusal) -> SendRefusal:
        if active.may_have_run and refusal.verdict is Verdict.NOT_RUN:
            # The refusal is about the last placement, and an earlier one was sent.
            refusal = replace(refusal, verdict=Verdict.MAY_HAVE_RUN)
        self._remove(active)
        return SendRefusal(active.request.request_id, refusal)

    def _refuse(self, active: ActiveRequest, refusal: Refusal) -> Iterator[Any]:
        active.state = RequestState.REFUSING
        active.refusal = refusal
        can_look_up = active.key_state not in (KeyState.UNUSED, KeyState.ASKED)
        if can_look_up and refusal.verdict is Verdict.NOT_RUN:
            # Another attempt may have been executed since the last lookup, or before
            # the first one.
            yield self._look_up_key(active)
        elif active.key_state is not KeyState.ASKED:
            yield from self._refuse_now(active, refusal)

    def _look_up_key(self, active: ActiveRequest) -> LookUpKey:
        active.key_state = KeyState.ASKED
        active.lookups += 1
        request = active.request
        # Each lookup needs its own id, or a late reply to an earlier one, which says
        # nothing of what has run since, would answer it.
        lookup_id = f"{request.request_id}{ID_SEPARATOR}{active.lookups}"
        return LookUpKey(lookup_id, request.key, request.fingerprint)

    def _refuse_now(self, active: ActiveRequest, refusal: Refusal) -> Iterator[Any]:
        is_repeat = active.request.key and active.request.attempt > 1
        if is_repeat and active.key_state is KeyState.UNKNOWN:
            # An earlier attempt may have been executed without this host's knowledge.
            refusal = replace(refusal, verdict=Verdict.MAY_HAVE_RUN)
        yield self._end_with_refusal(active, refusal)

    def _remove(self, active: ActiveRequest) -> None:
        self.active_requests.pop(active.request.request_id, None)
        if (
            self._request_ids_by_key.get(active.request.key)
            == active.request.request_id
        ):
            del self._request_ids_by_key[active.request.key]


def _parse_request_id(message_id: str) -> str:
    return message_id.partition(ID_SEPARATOR)[0]


def _is_key_free(reply: ClaimReply) -> bool:
    if reply.status is ClaimStatus.FREE:
        return True
    is_ended = reply.status is ClaimStatus.ENDED
    return is_ended and reply.outcome.verdict is Verdict.NOT_RUN
