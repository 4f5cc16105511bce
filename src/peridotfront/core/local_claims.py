"""Claims of a cut-off data centre, for requests that may be repeated.

Without a quorum of the control group a request that is not idempotent is refused.
Model requests and idempotent look-ups go on under a claim that two live hosts of
the data centre hold in memory, see :mod:`.local_registrar`. A repeat of a key that
is unknown there ends as ``MAY_HAVE_RUN``: it may have run beyond the cut.

Once a leader is known again, each host uploads the local claims that it holds and
their outcomes. Until a claim is uploaded, the same key may be granted elsewhere;
such a conflict is logged and counted. An upload is not given up for an hour, since
a claim that is given up is reported as not run.

A request whose claim was sent to the control group before it was given up must
not be claimed here under the same key: ``NOT_RUN`` will be reported for it.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from .actions import Log, Received, Send, Tick
from .claimant import ClaimDecided, ClaimUnknown, ReportOutcome, WantClaim
from .dispatch import dispatchmethod
from .leader_hints import LeaderHints
from .local_registrar import LocalRegistrar
from .messages import (
    Claim,
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
    Heartbeat,
    LocalClaimReply,
    LocalClaimRequest,
    LocalOutcome,
    Outcome,
    OutcomeReport,
)
from .verdicts import Reason, Verdict

GIVEN_UP = Outcome(verdict=Verdict.NOT_RUN, reason=Reason.NO_QUORUM)
UPLOAD_SUFFIX = "/upload"
UPLOAD_TIMEOUT_MS = 3_600_000


@dataclass(frozen=True, slots=True)
class LocalTiming:
    """Holds the times and bounds of local claims.

    :param given_up_ms: how long a claim that was given up goes on being asked for,
        once each ``given_up_resend_ms``, so that its grant can be taken back.
    :param uploads_in_flight: claims uploaded at once at most.
    :param max_held: claims held and not uploaded at most; above it requests are
        refused.
    """

    host_timeout_ms: int = 1500
    resend_ms: int = 100
    claim_timeout_ms: int = 1000
    given_up_resend_ms: int = 1000
    given_up_ms: int = 60_000
    uploads_in_flight: int = 64
    max_held: int = 20_000


@dataclass(frozen=True, slots=True)
class WantLocalClaim:
    """Event: an idempotent request has a slot, and there is no quorum."""

    request: ClaimRequest
    attempt: int = 1


@dataclass(frozen=True, slots=True)
class EndLocalClaim:
    """Event: a request that runs under a local claim has ended."""

    key: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class LocalClaimDecided:
    """Action: the local claim is granted, or the reply says what stands."""

    request_id: str
    reply: ClaimReply


@dataclass(frozen=True, slots=True)
class LocalClaimUnknown:
    """Action: no answer in time; the request must not be dispatched any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class LocalClaimsDump:
    """Describes the local claims to operators.

    :param registered: kept here for the data centre.
    :param held: of this host, and not yet uploaded.
    :param conflicts: that were granted elsewhere before their upload.
    """

    registered: int
    held: int
    waiting: int
    uploading: int
    conflicts: int


@dataclass(slots=True)
class _Wait:
    message: LocalClaimRequest
    deadline_ms: int
    due_ms: int


@dataclass(slots=True)
class _Held:
    """Is a claim held here; ``epoch`` is that of the control group once uploaded."""

    request: ClaimRequest
    local_claim: Claim
    outcome: Outcome | None = None
    epoch: int = 0
    is_uploading: bool = False


class LocalClaims:
    """Asks for local claims, keeps those of the peers, and uploads the own ones.

    Besides ``Send`` and ``Log`` it yields ``WantClaim`` and ``ReportOutcome``, which
    are events for the host's :class:`~peridotfront.core.claimant.Claimant`; the
    ``ClaimDecided`` and ``ClaimUnknown`` of that claimant are events here.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        data_centre: str,
        timing: LocalTiming | None = None,
    ):
        self._host = host
        self._incarnation = incarnation
        self._timing = timing or LocalTiming()
        timeout_ms = self._timing.host_timeout_ms
        self._registrar = LocalRegistrar(host, data_centre, timeout_ms)
        self._hints = LeaderHints(timeout_ms)
        self._waiting: dict[str, _Wait] = {}
        self._given_up: dict[str, _Wait] = {}
        self._held: dict[str, _Held] = {}
        self._uploading: dict[str, str] = {}
        self._conflicts = 0

    def dump(self) -> LocalClaimsDump:
        """Return what operators may want to know."""
        return LocalClaimsDump(
            registered=len(self._registrar),
            held=len(self._held),
            waiting=len(self._waiting),
            uploading=len(self._uploading),
            conflicts=self._conflicts,
        )

    @dispatchmethod
    def handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        """Handle one event; those that are not for local claims are ignored.

        :param now_ms: monotonic clock of this host.
        :return: actions.
        """
        yield from ()

    @handle.register
    def _(self, event: Tick, now_ms: int) -> Iterator[Any]:
        yield from self._tick_waiting(now_ms)
        yield from self._tick_given_up(now_ms)
        if self._hints.leader(now_ms):
            yield from self._upload()

    @handle.register
    def _(self, event: Received, now_ms: int) -> Iterator[Any]:
        if isinstance(event.message, Heartbeat):
            self._hints.record(event.sender, event.message, now_ms)
        if isinstance(event.message, LocalClaimReply):
            yield from self._replied(event.message.reply, now_ms)
            return
        yield from self._registrar.handle(event, now_ms)

    @handle.register
    def _(self, event: WantLocalClaim, now_ms: int) -> Iterator[Any]:
        request = event.request
        held = self._held.get(request.claim.key)
        if held is not None:
            reply = _standing(request.request_id, held)
            yield LocalClaimDecided(request.request_id, reply)
            return
        open_count = len(self._held) + len(self._waiting) + len(self._given_up)
        is_full = open_count >= self._timing.max_held
        if is_full or not request.claim.is_idempotent:
            yield LocalClaimUnknown(request.request_id)
            return
        message = LocalClaimRequest(request, event.attempt)
        deadline_ms = now_ms + self._timing.claim_timeout_ms
        wait = _Wait(message, deadline_ms, now_ms)
        self._waiting[request.request_id] = wait
        yield self._ask(wait, now_ms, self._timing.resend_ms)

    @handle.register
    def _(self, event: EndLocalClaim, now_ms: int) -> Iterator[Any]:
        held = self._held.get(event.key)
        if held is None:
            return
        held.outcome = event.outcome
        yield from self._tell_registrars(held.local_claim, event.outcome, now_ms)
        if held.epoch:
            yield from self._report(held)

    @handle.register
    def _(self, event: ClaimDecided, now_ms: int) -> Iterator[Any]:
        key = self._uploading.pop(event.request_id, None)
        if key is None:
            return
        held = self._held[key]
        if event.reply.status is not ClaimStatus.GRANTED:
            del self._held[key]
            self._conflicts += 1
            yield Log("local_claim_conflict", (("key", key),))
            return
        held.epoch = event.reply.claim.epoch
        if held.outcome is not None:
            yield from self._report(held)

    @handle.register
    def _(self, event: ClaimUnknown, now_ms: int) -> Iterator[Any]:
        key = self._uploading.pop(event.request_id, None)
        if key is not None:
            self._held[key].is_uploading = False
        yield from ()

    def _tick_waiting(self, now_ms: int) -> Iterator[Any]:
        for request_id, wait in list(self._waiting.items()):
            if now_ms >= wait.deadline_ms:
                yield self._give_up(request_id, now_ms)
            elif now_ms >= wait.due_ms:
                yield self._ask(wait, now_ms, self._timing.resend_ms)

    def _tick_given_up(self, now_ms: int) -> Iterator[Any]:
        for request_id, wait in list(self._given_up.items()):
            if now_ms >= wait.deadline_ms:
                del self._given_up[request_id]
            elif now_ms >= wait.due_ms:
                yield self._ask(wait, now_ms, self._timing.given_up_resend_ms)

    def _give_up(self, request_id: str, now_ms: int) -> LocalClaimUnknown:
        wait = self._waiting.pop(request_id)
        wait.deadline_ms = now_ms + self._timing.given_up_ms
        self._given_up[request_id] = wait
        return LocalClaimUnknown(request_id)

    def _ask(self, wait: _Wait, now_ms: int, resend_ms: int) -> Send:
        wait.due_ms = now_ms + resend_ms
        key = wait.message.request.claim.key
        return Send(self._registrar.registrars(key, now_ms)[0], wait.message)

    def _replied(self, reply: ClaimReply, now_ms: int) -> Iterator[Any]:
        wait = self._waiting.get(reply.request_id)
        if wait is not None and now_ms >= wait.deadline_ms:
            yield self._give_up(reply.request_id, now_ms)
        elif wait is not None:
            del self._waiting[reply.request_id]
            held = self._held.get(reply.key)
            if reply.status is ClaimStatus.GRANTED and held is not None:
                reply = _standing(reply.request_id, held)
            elif reply.status is ClaimStatus.GRANTED:
                request = wait.message.request
                self._held[reply.key] = _Held(request, reply.claim)
            yield LocalClaimDecided(reply.request_id, reply)
            return
        self._given_up.pop(reply.request_id, None)
        if self._is_unwanted_grant(reply):
            yield from self._tell_registrars(reply.claim, GIVEN_UP, now_ms)

    def _is_unwanted_grant(self, reply: ClaimReply) -> bool:
        if reply.status is not ClaimStatus.GRANTED or reply.key in self._held:
            return False
        holder = (reply.claim.holder_host, reply.claim.holder_incarnation)
        return holder == (self._host, self._incarnation)

    def _tell_registrars(
        self, claim: Claim, outcome: Outcome, now_ms: int
    ) -> Iterator[Any]:
        report = OutcomeReport(
            claim.key, claim.epoch, outcome, self._host, self._incarnation
        )
        for registrar in self._registrar.registrars(claim.key, now_ms):
            yield Send(registrar, LocalOutcome(report))

    def _upload(self) -> Iterator[Any]:
        for key, held in self._held.items():
            if len(self._uploading) >= self._timing.uploads_in_flight:
                return
            if held.is_uploading:
                continue
            held.is_uploading = True
            request_id = held.request.request_id + UPLOAD_SUFFIX
            self._uploading[request_id] = key
            request = replace(held.request, request_id=request_id)
            yield WantClaim(request, UPLOAD_TIMEOUT_MS)

    def _report(self, held: _Held) -> Iterator[Any]:
        key = held.request.claim.key
        del self._held[key]
        yield ReportOutcome(key, held.epoch, held.outcome)


def _standing(request_id: str, held: _Held) -> ClaimReply:
    """Return the reply to a request whose key this host holds already."""
    status = ClaimStatus.HELD if held.outcome is None else ClaimStatus.ENDED
    claim = held.local_claim
    return ClaimReply(request_id, claim.key, status, claim, held.outcome)
