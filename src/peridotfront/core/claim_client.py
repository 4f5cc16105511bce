"""Claims of an entry host, requested before a dispatch, and reports of their outcomes.

A request has one of these states:

- waiting: the claim was requested. The claim request is sent again, to the leader
  known at that time, until a reply resolves it or its deadline passes.
- held: the claim was granted. The entry host may dispatch until the lease expires.
  The lease starts when the claim was first sent, on the local clock. If it expires
  before the dispatch, the entry host reports ``NOT_RUN``.
- abandoned (``given_up`` in dumps): the deadline passed. ``ClaimUnresolved`` was
  yielded, the entry host refused the request as ``NOT_RUN`` and never dispatches it.
  The claim may still be recorded, but only its holder may dispatch, so the refusal
  stays true. The claim request is sent again with backoff until its state is known, so
  that the key does not stay blocked; if the claim was granted, the outcome ``NOT_RUN``
  is reported.
- reported: the outcome is sent until it is acknowledged as durable.

A grant in none of these states, such as a delayed duplicate, is answered with
``NOT_RUN``. That changes nothing if the claim has an outcome, and frees the key
otherwise.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from .actions import Received, Send, Tick
from .leader_hints import LeaderHints
from .messages import (
    Claim,
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
    Heartbeat,
    KeyQuery,
    KeyReply,
    Outcome,
    OutcomeAck,
    OutcomeReport,
)
from .single_dispatch import dispatchmethod
from .verdicts import Reason, Verdict

ABANDONED_OUTCOME = Outcome(verdict=Verdict.NOT_RUN, reason=Reason.NO_QUORUM)


@dataclass(frozen=True, slots=True)
class ClaimClientTiming:
    """Timeouts and limits of a claim client.

    :param host_timeout_ms: age after which a leader hint is stale.
    :param resend_ms: delay before a message is sent again; it doubles each time.
    :param max_resend_ms: maximum of that delay.
    :param claim_timeout_ms: time limit for a claim or key lookup.
    :param lease_ms: time after its first send during which a claim allows a dispatch;
        must be shorter than the silence after which the control group considers a
        host dead.
    :param leaderless_ms: time without a known leader after which claims and lookups
        fail immediately.
    :param max_open: maximum number of open claims, lookups and outcomes; above it new
        claims and lookups fail immediately.
    """

    host_timeout_ms: int = 1500
    resend_ms: int = 100
    max_resend_ms: int = 1600
    claim_timeout_ms: int = 2000
    lease_ms: int = 3000
    leaderless_ms: int = 1500
    max_open: int = 20_000


@dataclass(frozen=True, slots=True)
class AcquireClaim:
    """Event: acquire the claim of a request that has a slot.

    :param request: claim request; its ``request_id`` is new for each attempt of a
        caller, and its claim names the local host and process incarnation.
    :param timeout_ms: time limit for the claim; 0 for the configured one.
    """

    request: ClaimRequest
    timeout_ms: int = 0


@dataclass(frozen=True, slots=True)
class LookUpKey:
    """Event: look up the key of a new request, which may already be in use.

    :param request_id: id of this lookup, new for each lookup of a request.
    """

    request_id: str
    key: str
    fingerprint: int


@dataclass(frozen=True, slots=True)
class KeyLookupResult:
    """Action: report the state of a key, which is in use or free."""

    request_id: str
    reply: ClaimReply


@dataclass(frozen=True, slots=True)
class KeyLookupFailed:
    """Action: report a lookup without a reply; the state of the key is unknown."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ReportOutcome:
    """Event: report the outcome of a request whose claim this host holds."""

    key: str
    epoch: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class ClaimResolved:
    """Action: report that the claim is granted, or the reply that refuses it."""

    request_id: str
    reply: ClaimReply


@dataclass(frozen=True, slots=True)
class ClaimUnresolved:
    """Action: report a claim without a reply; its request must not be dispatched.

    :param was_sent: whether the claim was sent and may still be recorded; if it was
        granted, it is reported as ``NOT_RUN``.
    """

    request_id: str
    was_sent: bool = False


@dataclass(frozen=True, slots=True)
class OutcomeAcknowledged:
    """Action: report that the outcome is durable.

    :param is_superseded: whether another outcome or holder is recorded instead.
    """

    key: str
    epoch: int
    is_superseded: bool


@dataclass(frozen=True, slots=True)
class ClaimClientDump:
    """Diagnostic view of a claim client."""

    leader: str
    waiting: int
    given_up: int
    held: int
    unreported: int


@dataclass(frozen=True, slots=True)
class _ClaimId:
    key: str
    epoch: int


@dataclass(slots=True)
class _Pending:
    """Message that is sent again until it is answered."""

    message: ClaimRequest | KeyQuery | OutcomeReport
    deadline_ms: int
    due_ms: int
    first_sent_ms: int | None = None
    resend_ms: int = 0


@dataclass(slots=True)
class _HeldClaim:
    claim: Claim
    lease_end_ms: int


class ClaimClient:
    """Client of the control group for claims, key lookups and outcome reports.

    :param host: local host name.
    :param incarnation: incarnation of this process.
    :param timing: timeouts and limits.
    """

    def __init__(
        self, host: str, incarnation: int, timing: ClaimClientTiming | None = None
    ):
        self._host = host
        self._incarnation = incarnation
        self._timing = timing or ClaimClientTiming()
        self._hints = LeaderHints(self._timing.host_timeout_ms)
        self._waiting: dict[str, _Pending] = {}
        self._abandoned: dict[str, _Pending] = {}
        self._queries: dict[str, _Pending] = {}
        self._held: dict[_ClaimId, _HeldClaim] = {}
        self._outcomes: dict[_ClaimId, _Pending] = {}

    def may_dispatch(self, key: str, epoch: int, now_ms: int) -> bool:
        """Return whether a request may be dispatched now.

        :param now_ms: local monotonic clock, read immediately before the call.
        """
        held = self._held.get(_ClaimId(key, epoch))
        if held is None or held.claim.is_resume_only:
            return False
        is_reported = _ClaimId(key, epoch) in self._outcomes
        return not is_reported and now_ms < held.lease_end_ms

    def leader(self, now_ms: int) -> str:
        """Return the host name of the control leader; empty if none is known."""
        return self._hints.leader(now_ms)

    def has_known_leader(self, now_ms: int) -> bool:
        """Return whether a leader was known within ``leaderless_ms``."""
        return self._hints.leaderless_ms(now_ms) < self._timing.leaderless_ms

    def dump(self, now_ms: int) -> ClaimClientDump:
        """Return the diagnostic view."""
        return ClaimClientDump(
            leader=self.leader(now_ms),
            waiting=len(self._waiting),
            given_up=len(self._abandoned),
            held=len(self._held),
            unreported=len(self._outcomes),
        )

    @dispatchmethod
    def handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        """Handle one event; events for other components are ignored.

        :param now_ms: local monotonic clock.
        :return: actions: ``Send``, ``ClaimResolved``, ``ClaimUnresolved``,
            ``OutcomeAcknowledged``, ``KeyLookupResult`` and ``KeyLookupFailed``.
        """
        yield from ()

    @handle.register
    def _(self, event: Tick, now_ms: int) -> Iterator[Any]:
        yield from self._expire_pending(now_ms)
        for pending in self._all_pending():
            if now_ms >= pending.due_ms:
                yield from self._send(pending, now_ms)

    @handle.register
    def _(self, event: Received, now_ms: int) -> Iterator[Any]:
        yield from self._on_message(event.message, event.sender, now_ms)

    @handle.register
    def _(self, event: AcquireClaim, now_ms: int) -> Iterator[Any]:
        request = event.request
        if not self.has_known_leader(now_ms) or self._is_full():
            yield ClaimUnresolved(request.request_id)
            return
        timeout_ms = event.timeout_ms or self._timing.claim_timeout_ms
        pending = _Pending(request, now_ms + timeout_ms, now_ms)
        self._waiting[request.request_id] = pending
        yield from self._send(pending, now_ms)

    @handle.register
    def _(self, event: LookUpKey, now_ms: int) -> Iterator[Any]:
        if not self.has_known_leader(now_ms) or self._is_full():
            yield KeyLookupFailed(event.request_id)
            return
        query = KeyQuery(event.request_id, event.key, event.fingerprint)
        deadline_ms = now_ms + self._timing.claim_timeout_ms
        pending = _Pending(query, deadline_ms, now_ms)
        self._queries[event.request_id] = pending
        yield from self._send(pending, now_ms)

    @handle.register
    def _(self, event: ReportOutcome, now_ms: int) -> Iterator[Any]:
        yield from self._report(event.key, event.epoch, event.outcome, now_ms)

    @dispatchmethod
    def _on_message(self, message: Any, sender: str, now_ms: int) -> Iterator[Any]:
        yield from ()

    @_on_message.register
    def _(self, message: Heartbeat, sender: str, now_ms: int) -> Iterator[Any]:
        previous_leader = self._hints.leader(now_ms)
        self._hints.record(sender, message, now_ms)
        leader = self._hints.leader(now_ms)
        if leader and leader != previous_leader:
            for pending in self._all_pending():
                pending.resend_ms = 0
                yield from self._send(pending, now_ms)

    @_on_message.register
    def _(self, message: ClaimReply, sender: str, now_ms: int) -> Iterator[Any]:
        pending = self._waiting.get(message.request_id)
        if pending is not None and now_ms >= pending.deadline_ms:
            yield from self._abandon(message.request_id)
        if message.status is ClaimStatus.UNAVAILABLE:
            yield from self._resend_to_leader(message.request_id, sender, now_ms)
            return
        if message.status is ClaimStatus.GRANTED:
            yield from self._on_granted(message, now_ms)
            return
        self._abandoned.pop(message.request_id, None)
        if self._waiting.pop(message.request_id, None):
            yield ClaimResolved(message.request_id, message)

    @_on_message.register
    def _(self, message: KeyReply, sender: str, now_ms: int) -> Iterator[Any]:
        reply = message.reply
        pending = self._queries.get(reply.request_id)
        if pending is None:
            return
        if reply.status is ClaimStatus.UNAVAILABLE:
            if self.leader(now_ms) not in ("", sender):
                yield from self._send(pending, now_ms)
            return
        del self._queries[reply.request_id]
        yield KeyLookupResult(reply.request_id, reply)

    @_on_message.register
    def _(self, message: OutcomeAck, sender: str, now_ms: int) -> Iterator[Any]:
        claim_id = _ClaimId(message.key, message.epoch)
        if self._outcomes.pop(claim_id, None) is None:
            return
        self._held.pop(claim_id, None)
        yield OutcomeAcknowledged(message.key, message.epoch, message.is_superseded)

    def _on_granted(self, reply: ClaimReply, now_ms: int) -> Iterator[Any]:
        claim = reply.claim
        if not self._is_held_by_this_process(claim):
            return
        claim_id = _ClaimId(claim.key, claim.epoch)
        pending = self._waiting.pop(reply.request_id, None)
        if pending is not None and pending.first_sent_ms is not None:
            lease_end_ms = pending.first_sent_ms + self._timing.lease_ms
            self._held[claim_id] = _HeldClaim(claim, lease_end_ms)
            yield ClaimResolved(reply.request_id, reply)
            return
        self._abandoned.pop(reply.request_id, None)
        if claim_id not in self._held:
            yield from self._report(claim.key, claim.epoch, ABANDONED_OUTCOME, now_ms)

    def _is_held_by_this_process(self, claim: Claim) -> bool:
        return (
            claim.holder_host == self._host
            and claim.holder_incarnation == self._incarnation
        )

    def _report(
        self, key: str, epoch: int, outcome: Outcome, now_ms: int
    ) -> Iterator[Any]:
        claim_id = _ClaimId(key, epoch)
        if claim_id in self._outcomes:
            return
        report = OutcomeReport(key, epoch, outcome)
        pending = _Pending(report, deadline_ms=0, due_ms=now_ms)
        self._outcomes[claim_id] = pending
        yield from self._send(pending, now_ms)

    def _resend_to_leader(
        self, request_id: str, sender: str, now_ms: int
    ) -> Iterator[Any]:
        pending = self._waiting.get(request_id)
        if pending is not None and self.leader(now_ms) not in ("", sender):
            yield from self._send(pending, now_ms)

    def _expire_pending(self, now_ms: int) -> Iterator[Any]:
        expired = [r for r, p in self._waiting.items() if now_ms >= p.deadline_ms]
        for request_id in expired:
            yield from self._abandon(request_id)
        expired = [r for r, p in self._queries.items() if now_ms >= p.deadline_ms]
        for request_id in expired:
            del self._queries[request_id]
            yield KeyLookupFailed(request_id)

    def _abandon(self, request_id: str) -> Iterator[Any]:
        pending = self._waiting.pop(request_id)
        was_sent = pending.first_sent_ms is not None
        if was_sent:
            self._abandoned[request_id] = pending
        yield ClaimUnresolved(request_id, was_sent)

    def _send(self, pending: _Pending, now_ms: int) -> Iterator[Any]:
        doubled_ms = max(2 * pending.resend_ms, self._timing.resend_ms)
        pending.resend_ms = min(doubled_ms, self._timing.max_resend_ms)
        pending.due_ms = now_ms + pending.resend_ms
        leader = self.leader(now_ms)
        if not leader:
            return
        if pending.first_sent_ms is None:
            pending.first_sent_ms = now_ms
        yield Send(leader, pending.message)

    def _all_pending(self) -> list[_Pending]:
        groups = (self._waiting, self._abandoned, self._queries, self._outcomes)
        return [pending for group in groups for pending in group.values()]

    def _is_full(self) -> bool:
        open_count = (
            len(self._waiting)
            + len(self._abandoned)
            + len(self._queries)
            + len(self._held)
            + len(self._outcomes)
        )
        return open_count >= self._timing.max_open
