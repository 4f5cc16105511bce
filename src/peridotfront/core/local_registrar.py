"""The register of local claims that an entry host keeps in memory for its peers."""

from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import sha256
from typing import Any

from .actions import Received, Send
from .claims import FORGOTTEN, Claims
from .dispatch import dispatchmethod
from .host_table import HostTable
from .messages import (
    ClaimBatch,
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
    Heartbeat,
    LocalClaimCopied,
    LocalClaimCopy,
    LocalClaimReply,
    LocalClaimRequest,
    LocalOutcome,
    Outcome,
    OutcomeReport,
)
from .verdicts import Reason, Verdict

REGISTRARS = 2
MAX_BYTES = 4_194_304
MAX_WAITING = 10_000
LOST_RACE = Outcome(verdict=Verdict.NOT_RUN, reason=Reason.IN_PROGRESS)


@dataclass(frozen=True, slots=True)
class _Waiting:
    requester: str
    reply: ClaimReply


class LocalRegistrar:
    """Grants local claims, each kept on two live hosts of the data centre.

    The registrars of a key are the live entry hosts of the data centre that
    rendezvous hashing ranks first. The first one records a claim, has it copied by
    the second, and only then grants it. Where a single host is left, its memory is
    the only one. Hosts that disagree on who lives may grant a key twice; only
    requests that may be repeated are claimed here.

    :param host: the own host name.
    :param data_centre: the own one.
    """

    def __init__(self, host: str, data_centre: str, host_timeout_ms: int):
        self._host = host
        self._data_centre = data_centre
        self._hosts = HostTable(host, host_timeout_ms)
        self._claims = Claims()
        self._waiting: dict[str, _Waiting] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def registrars(self, key: str, now_ms: int) -> tuple[str, ...]:
        """Return the registrars of a key, the first one first."""
        live = [
            state.host
            for state in self._hosts.live_entry_hosts(now_ms)
            if state.heartbeat.data_centre == self._data_centre
            and not state.heartbeat.is_leaving
        ]
        ranked = sorted({*live, self._host}, key=lambda host: _rank(host, key))
        return tuple(ranked[:REGISTRARS])

    def handle(self, event: Received, now_ms: int) -> Iterator[Any]:
        """Handle a message; those that are not for a registrar are ignored."""
        yield from self._receive(event.message, event, now_ms)

    @dispatchmethod
    def _receive(self, message: Any, event: Received, now_ms: int) -> Iterator[Any]:
        yield from ()

    @_receive.register
    def _(self, message: Heartbeat, event: Received, now_ms: int) -> Iterator[Any]:
        self._hosts.record(event.sender, event.incarnation, message, now_ms)
        yield from ()

    @_receive.register
    def _(
        self, message: LocalClaimRequest, event: Received, now_ms: int
    ) -> Iterator[Any]:
        request = message.request
        reply = self._decide(request, message.attempt, now_ms)
        seconds = [
            host
            for host in self.registrars(request.claim.key, now_ms)
            if host != self._host
        ]
        if reply.status is not ClaimStatus.GRANTED or not seconds:
            yield Send(event.sender, LocalClaimReply(reply))
            return
        if len(self._waiting) >= MAX_WAITING:
            self._waiting.pop(next(iter(self._waiting)))
        self._waiting[request.request_id] = _Waiting(event.sender, reply)
        yield Send(seconds[0], LocalClaimCopy(request))

    @_receive.register
    def _(self, message: LocalClaimCopy, event: Received, now_ms: int) -> Iterator[Any]:
        reply = self._apply(message.request, now_ms)
        yield Send(event.sender, LocalClaimCopied(reply))

    @_receive.register
    def _(
        self, message: LocalClaimCopied, event: Received, now_ms: int
    ) -> Iterator[Any]:
        waiting = self._waiting.pop(message.reply.request_id, None)
        if waiting is None:
            return
        if message.reply.status is ClaimStatus.GRANTED:
            yield Send(waiting.requester, LocalClaimReply(waiting.reply))
            return
        claim = waiting.reply.claim
        lost = OutcomeReport(
            claim.key,
            claim.epoch,
            LOST_RACE,
            claim.holder_host,
            claim.holder_incarnation,
        )
        self._claims.apply(ClaimBatch(now_ms, outcomes=(lost,)))
        yield Send(waiting.requester, LocalClaimReply(message.reply))

    @_receive.register
    def _(self, message: LocalOutcome, event: Received, now_ms: int) -> Iterator[Any]:
        self._claims.apply(ClaimBatch(now_ms, outcomes=(message.report,)))
        yield from ()

    def _decide(self, request: ClaimRequest, attempt: int, now_ms: int) -> ClaimReply:
        key = request.claim.key
        if attempt > 1 and self._claims.lookup(key) is None:
            return ClaimReply(
                request.request_id, key, ClaimStatus.ENDED, outcome=FORGOTTEN
            )
        return self._apply(request, now_ms)

    def _apply(self, request: ClaimRequest, now_ms: int) -> ClaimReply:
        batch = ClaimBatch(now_ms, claims=(request,), max_bytes=MAX_BYTES)
        return self._claims.apply(batch).replies[0]


def _rank(host: str, key: str) -> bytes:
    return sha256(f"{host}\0{key}".encode()).digest()
