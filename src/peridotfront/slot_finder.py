"""Slots for the sends of one routed request."""

import asyncio
import hashlib
from dataclasses import dataclass, replace

from .core.attempts import AttemptHistory, first_byte_timeout_ms, min_service_time_ms
from .core.gateway_events import SlotGranted, SlotRefused, SlotReleased
from .core.messages import Grant, SlotRefusal, SlotRequest
from .core.releases import build_unsent_release
from .core.routes import RoutedAccount
from .core.verdicts import Reason
from .gateway_server import GatewayServer
from .request_log import RequestLog
from .routed_requests import AdmittedRequest, RoutedRequest
from .runtime import now_ms

EXHAUSTED_RETRY_MS = 300
SHORT_WAIT_MS = 1500
ORIGIN_RETRY_MS = 100
MAX_RETRY_AFTER_RATIO = 1 / 3
MIN_SEARCH_INTERVAL_MS = 200
MAX_SEARCH_INTERVAL_MS = 1000
# Reasons for which a later slot request may be granted.
PASSING_REASONS = (
    Reason.OVERLOADED,
    Reason.EVICTED,
    Reason.RETRY_BUDGET,
    Reason.RATE_LIMITED,
)


@dataclass(frozen=True, slots=True)
class GrantedSlot:
    """Slot at an upstream that was granted to a slot request."""

    slot_request: SlotRequest
    grant: Grant


class SlotFinder:
    """Finder of a slot for each send of one request.

    :param server: server that grants slots.
    :param admitted: the request with its route, service and account.
    :param attempts: sends of the request so far.
    :param log: log lines of the request.

    ``waited_ms`` is the time spent waiting for slots, and ``software_version`` the
    version at which a stream must go on; empty for any. ``last_event_ms`` is the time
    at which the caller last got events of a stream; None if it has none.
    """

    def __init__(
        self,
        server: GatewayServer,
        admitted: AdmittedRequest,
        attempts: AttemptHistory,
        log: RequestLog,
    ):
        self.waited_ms = 0
        self.software_version = ""
        self.last_event_ms: int | None = None
        self._server = server
        self._admitted = admitted
        self._attempts = attempts
        self._log = log
        self._short_wait_end_ms: int | None = None
        self._searches = 0

    async def acquire(
        self, sends: int, is_started: bool
    ) -> GrantedSlot | SlotRefused | None:
        """Request a slot and wait for the reply.

        :param sends: number of sends of the request so far.
        :param is_started: whether the caller has a part of the answer.
        :return: the slot or the refusal; None if neither came in time.
        """
        slot_request = self._build_slot_request(sends, is_started)
        started_ms = now_ms()
        try:
            return await self._request(slot_request)
        finally:
            self.waited_ms += now_ms() - started_ms

    async def acquire_beside(
        self, upstream: str, sends: int, is_started: bool
    ) -> GrantedSlot | SlotRefused | None:
        """Request another slot for a request that an upstream still has.

        :param upstream: upstream that has the request; the slot is at another one.
        :param sends: number of sends of the request so far.
        :param is_started: whether the caller has a part of the answer.
        :return: the slot or the refusal; None if neither came in time.
        """
        slot_request = self._build_slot_request(sends, is_started)
        # A late grant to a cancelled search must not be taken for that of the next.
        self._searches += 1
        remaining_ms = self._admitted.remaining_ms(now_ms())
        deadline_ms = remaining_ms - min_service_time_ms(self._admitted.route)
        beside = replace(
            slot_request,
            request_id=f"{slot_request.request_id}.{self._searches}",
            excluded=(*slot_request.excluded, upstream),
            is_repeat=True,
            deadline_ms=max(1, deadline_ms),
        )
        return await self._request(beside)

    def give_back(self, slot: GrantedSlot) -> None:
        """Release a slot for which no request was sent."""
        self._server.feed(SlotReleased(build_unsent_release(slot.grant)))

    async def _request(
        self, slot_request: SlotRequest
    ) -> GrantedSlot | SlotRefused | None:
        try:
            async with asyncio.timeout(slot_request.deadline_ms / 1000):
                answer = await self._server.acquire_slot(slot_request)
        except TimeoutError:
            return None
        if isinstance(answer, SlotGranted) and not _is_usable(slot_request, answer):
            answer = self._refuse(answer)
        if isinstance(answer, SlotRefused):
            self._log.write(
                "slot_refused",
                service=slot_request.cell,
                account=slot_request.client_account,
                units=slot_request.allowance_units,
                tier=slot_request.tier,
                reason=answer.refusal.reason,
                retry_after_ms=answer.refusal.retry_after_ms,
                stream_id=slot_request.stream_id,
                software_version=slot_request.software_version,
                waited_ms=self.waited_ms,
                is_own=answer.is_own,
            )
            return answer
        if slot_request.is_resumed:
            self.software_version = answer.grant.software_version
        self._log.write(
            "slot_granted",
            service=slot_request.cell,
            tier=slot_request.tier,
            upstream=answer.grant.upstream,
            address=answer.grant.address,
            relay=answer.grant.relay,
            software_version=answer.grant.software_version,
            stream_id=slot_request.stream_id,
            is_resumed=slot_request.is_resumed,
            waited_ms=self.waited_ms,
            cached_tokens=answer.grant.predicted_prefix_tokens,
            is_own=answer.is_own,
        )
        return GrantedSlot(slot_request, answer.grant)

    def _refuse(self, granted: SlotGranted) -> SlotRefused:
        """Release a slot that can't be used, and return a refusal in its place."""
        grant = granted.grant
        self._server.feed(SlotReleased(build_unsent_release(grant)))
        refusal = SlotRefusal(
            grant.request_id, grant.cell, Reason.UNKNOWN_ORIGIN, EXHAUSTED_RETRY_MS
        )
        return SlotRefused(refusal, granted.is_own)

    def _build_slot_request(self, sends: int, is_started: bool) -> SlotRequest:
        admitted = self._admitted
        request = admitted.request
        route = admitted.route
        account = admitted.account
        excluded = tuple(self._attempts.excluded)
        deadline_ms = admitted.remaining_ms(now_ms()) - min_service_time_ms(route)
        if not self._attempts.is_repeat:
            deadline_ms = min(deadline_ms, self._patience_ms)
        return SlotRequest(
            request_id=f"{request.request_id}.{sends}.{len(excluded)}",
            cell=admitted.service,
            model="",
            tier=admitted.tier,
            client_account=account.name if account else "",
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            prefix_hashes=request.prefix_hashes,
            fingerprint=_fingerprint(request),
            deadline_ms=max(1, deadline_ms),
            goal_ms=max(0, self._goal_ms),
            prefix_tokens=request.prefix_tokens,
            excluded=excluded,
            is_repeat=self._attempts.is_repeat,
            allowance_units=_allowance_units(request, account),
            stream_id=admitted.stream_id,
            is_resumed=admitted.is_resumed or is_started,
            software_version=self.software_version,
            shared_parts=request.shared_parts,
            route=route.name,
        )

    @property
    def _patience_ms(self) -> int:
        """Return for how long the first part of the answer may still be waited for."""
        began_ms = self._admitted.began_ms
        return first_byte_timeout_ms(self._admitted.route) + began_ms - now_ms()

    @property
    def _goal_ms(self) -> int:
        """Return the time until the next part of the answer is late."""
        route = self._admitted.route
        if self.last_event_ms is None:
            return self._admitted.began_ms + route.goal_ms - now_ms()
        return self.last_event_ms + route.gap_target_ms - now_ms()

    def retry_wait_ms(self, refusal: SlotRefusal) -> int | None:
        """Return the time until a refused slot is requested again; None for never."""
        if self._may_become_known(refusal):
            return ORIGIN_RETRY_MS
        if self.last_event_ms is None:
            return None
        # A begun stream ends in the middle if it gets no slot.
        if refusal.reason in PASSING_REASONS:
            return search_interval_ms(refusal)
        if refusal.reason is Reason.NO_UPSTREAM and self._may_wait_longer():
            return MIN_SEARCH_INTERVAL_MS
        return None

    def _may_become_known(self, refusal: SlotRefusal) -> bool:
        """Return whether to wait until the scheduler knows how a stream began.

        A new leader learns it from the entry hosts within a moment. A stream that the
        caller does not name never becomes known.
        """
        is_unknown = refusal.reason is Reason.UNKNOWN_ORIGIN
        return is_unknown and bool(self._admitted.stream_id) and self._may_wait_longer()

    def _may_wait_longer(self) -> bool:
        """Return whether to wait for what a new leader or an upstream makes known soon.

        All such waits of a request end a fixed time after the first one began.
        """
        if self._short_wait_end_ms is None:
            remaining_ms = self._admitted.remaining_ms(now_ms())
            wait_ms = min(SHORT_WAIT_MS, int(remaining_ms * MAX_RETRY_AFTER_RATIO))
            self._short_wait_end_ms = now_ms() + wait_ms
        return now_ms() + ORIGIN_RETRY_MS <= self._short_wait_end_ms


def search_interval_ms(refusal: SlotRefusal | None) -> int:
    """Return the time until a slot is requested again.

    :param refusal: the last refusal; None if there was no reply.
    """
    retry_after_ms = refusal.retry_after_ms if refusal is not None else 0
    return min(MAX_SEARCH_INTERVAL_MS, max(MIN_SEARCH_INTERVAL_MS, retry_after_ms))


def _is_usable(slot_request: SlotRequest, granted: SlotGranted) -> bool:
    """Return whether a stream may go on at the granted upstream.

    A scheduler of an older release grants without regard to software versions.
    """
    if not slot_request.is_resumed:
        return True
    version = granted.grant.software_version
    return bool(version) and slot_request.software_version in ("", version)


def _allowance_units(request: RoutedRequest, account: RoutedAccount | None) -> int:
    if account is None:
        return 0
    if not account.is_metered_in_tokens:
        return 1
    if request.allowance_tokens is None:
        return account.plain_tokens
    return request.allowance_tokens


def _fingerprint(request: RoutedRequest) -> int:
    http = request.http
    digest = hashlib.blake2b(digest_size=7)
    for part in (http.target.encode(), request.key.encode(), http.body):
        digest.update(part)
        digest.update(b"\0")
    return int.from_bytes(digest.digest(), "big")
