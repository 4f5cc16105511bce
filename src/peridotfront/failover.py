"""Search for another upstream while the one that has a request is silent."""

import asyncio
from collections.abc import Callable

from .core.attempts import failover_timeout_ms, min_service_time_ms
from .exchanges import Exchange
from .request_log import RequestLog
from .routed_requests import AdmittedRequest
from .runtime import now_ms
from .send_attempt import SendAttempt
from .slot_finder import GrantedSlot, SlotFinder, search_interval_ms

POLL_MS = 50


class Failover:
    """Search for another slot for a request whose upstream is silent.

    A sound upstream may be silent for a moment, so that the send in progress goes on
    until another upstream has a free slot.

    :param slot_finder: finder of slots for the request.
    :param admitted: the request with its route, service and account.
    :param exchange: exchange with the caller.
    :param may_continue: function that returns whether another upstream can go on with
        what the caller has.
    :param log: log lines of the request.
    """

    def __init__(
        self,
        slot_finder: SlotFinder,
        admitted: AdmittedRequest,
        exchange: Exchange,
        may_continue: Callable[[], bool],
        log: RequestLog,
    ):
        self._slot_finder = slot_finder
        self._admitted = admitted
        self._exchange = exchange
        self._may_continue = may_continue
        self._log = log
        self._timeout_ms = failover_timeout_ms(admitted.route)

    async def watch(
        self, sending: asyncio.Task, attempt: SendAttempt, sends: int
    ) -> GrantedSlot | None:
        """Wait until a send ends, or until another upstream is to have the request.

        :param sending: task that sends the request and passes on its answer.
        :param sends: number of sends of the request so far.
        :return: a slot at another upstream; None if the send has ended.
        """
        is_reported = False
        while not sending.done():
            if not attempt.is_silent(self._timeout_ms):
                await _wait(sending, self._until_silent_ms(attempt))
                continue
            if not self._may_search():
                await asyncio.wait((sending,))
                return None
            if not is_reported:
                is_reported = True
                self._report(attempt)
            slot = await self._search(sending, attempt, sends)
            if slot is not None:
                return slot
        return None

    def _until_silent_ms(self, attempt: SendAttempt) -> int:
        """Return the time after which the upstream may count as silent."""
        if not attempt.is_awaited:
            return self._timeout_ms
        return max(1, self._timeout_ms - attempt.silent_ms)

    def _may_search(self) -> bool:
        remaining_ms = self._admitted.remaining_ms(now_ms())
        min_remaining_ms = 2 * min_service_time_ms(self._admitted.route)
        return remaining_ms >= min_remaining_ms and self._may_continue()

    async def _search(
        self, sending: asyncio.Task, attempt: SendAttempt, sends: int
    ) -> GrantedSlot | None:
        """Request another slot once, while the send is silent.

        :return: the slot; None if there is none now, or if the send goes on.
        """
        upstream = attempt.grant.upstream
        search = asyncio.ensure_future(
            self._slot_finder.acquire_beside(upstream, sends, self._exchange.is_started)
        )
        slot = None
        try:
            while not search.done() and self._is_needed(sending, attempt):
                await asyncio.wait(
                    (sending, search),
                    timeout=POLL_MS / 1000,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            if search.done() and self._is_needed(sending, attempt):
                slot = search.result()
        finally:
            if slot is None:
                self._abandon(search)
        if isinstance(slot, GrantedSlot):
            return slot
        refusal = slot.refusal if slot is not None else None
        await _wait(sending, search_interval_ms(refusal))
        return None

    def _abandon(self, search: asyncio.Task) -> None:
        """Cancel a search; give back the slot that it may have found already."""
        search.cancel()
        search.add_done_callback(self._give_back_found)

    def _give_back_found(self, search: asyncio.Task) -> None:
        if search.cancelled() or search.exception() is not None:
            return
        if isinstance(search.result(), GrantedSlot):
            self._slot_finder.give_back(search.result())

    def _is_needed(self, sending: asyncio.Task, attempt: SendAttempt) -> bool:
        return not sending.done() and attempt.is_silent(self._timeout_ms)

    def _report(self, attempt: SendAttempt) -> None:
        self._log.write(
            "send_silent",
            upstream=attempt.grant.upstream,
            address=attempt.grant.address,
            relay=attempt.grant.relay,
            silent_ms=attempt.silent_ms,
            remaining_ms=self._admitted.remaining_ms(now_ms()),
        )


async def _wait(sending: asyncio.Task, timeout_ms: int) -> None:
    await asyncio.wait((sending,), timeout=timeout_ms / 1000)
