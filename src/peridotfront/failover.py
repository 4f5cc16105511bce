"""Search for another upstream while the one that has a request is silent."""

import asyncio
from collections.abc import Callable

from .core.attempts import failover_timeout_ms, min_service_time_ms
from .core.gateway_events import SlotRefused
from .exceptions import UpstreamTimedOut
from .exchanges import Exchange
from .link_checker import LinkChecker
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
    :param links: checker of this host's links to the upstreams.
    :param admitted: the request with its route, service and account.
    :param exchange: exchange with the caller.
    :param may_continue: function that returns whether another upstream can go on with
        what the caller has.
    :param log: log lines of the request.
    """

    def __init__(
        self,
        slot_finder: SlotFinder,
        links: LinkChecker,
        admitted: AdmittedRequest,
        exchange: Exchange,
        may_continue: Callable[[], bool],
        log: RequestLog,
    ):
        self._slot_finder = slot_finder
        self._links = links
        self._admitted = admitted
        self._exchange = exchange
        self._may_continue = may_continue
        self._log = log
        self._timeout_ms = failover_timeout_ms(admitted.route)
        self._search: asyncio.Task | None = None
        self._is_searching_start = False

    async def watch(
        self, sending: asyncio.Task, attempt: SendAttempt, sends: int
    ) -> bool:
        """Wait until a send ends, or until another upstream is to have the request.

        A search that is under way when the send ends goes on.

        :param sending: task that sends the request and passes on its answer.
        :param sends: number of sends of the request so far.
        :return: whether :meth:`take` has a slot at another upstream; else the send has
            ended.
        :raises UpstreamTimedOut: if the upstream is silent and can't be reached.
        """
        is_reported = False
        while not sending.done():
            if not attempt.is_silent(self._timeout_ms):
                self.abandon()
                await _wait(sending, self._until_silent_ms(attempt))
                continue
            if not self._may_search():
                await asyncio.wait((sending,))
                return False
            if not is_reported:
                is_reported = True
                self._report(attempt)
                await self._check_link(attempt)
            if await self._search_on(sending, attempt, sends):
                return True
        return False

    async def _check_link(self, attempt: SendAttempt) -> None:
        """Fail the send if no connection opens to its silent upstream either.

        On a lost link nothing would ever come, and the send would keep its slot.
        """
        grant = attempt.grant
        if grant.relay or await self._links.is_open(grant.upstream, grant.address):
            return
        if attempt.is_silent(self._timeout_ms):
            raise UpstreamTimedOut("silent and out of reach", grant.address)

    async def take(self) -> GrantedSlot | SlotRefused | None:
        """Return what the search has found, and wait for one that is under way.

        :return: the slot or the refusal; None if there is none.
        """
        if self._is_searching_start and self._exchange.is_started:
            # The slot may be at another software version than the begun stream's.
            self.abandon()
        if self._search is None:
            return None
        slot = await self._search
        self._search = None
        return slot

    def abandon(self) -> None:
        """Cancel the search; give back the slot that it may have found already."""
        if self._search is not None:
            self._search.cancel()
            self._search.add_done_callback(self._give_back_found)
            self._search = None

    def _until_silent_ms(self, attempt: SendAttempt) -> int:
        """Return the time after which the upstream may count as silent."""
        if not attempt.is_awaited:
            return self._timeout_ms
        return max(1, self._timeout_ms - attempt.silent_ms)

    def _may_search(self) -> bool:
        remaining_ms = self._admitted.remaining_ms(now_ms())
        min_remaining_ms = 2 * min_service_time_ms(self._admitted.route)
        return remaining_ms >= min_remaining_ms and self._may_continue()

    async def _search_on(
        self, sending: asyncio.Task, attempt: SendAttempt, sends: int
    ) -> bool:
        """Search for another slot for a moment, while the send is silent.

        :return: whether it is found, and the send is still silent.
        """
        if self._search is None:
            self._is_searching_start = not self._exchange.is_started
            self._search = asyncio.ensure_future(
                self._slot_finder.acquire_beside(
                    attempt.grant.upstream, sends, self._exchange.is_started
                )
            )
        await asyncio.wait(
            (sending, self._search),
            timeout=POLL_MS / 1000,
            return_when=asyncio.FIRST_COMPLETED,
        )
        is_needed = not sending.done() and attempt.is_silent(self._timeout_ms)
        if not (self._search.done() and is_needed):
            return False
        slot = self._search.result()
        if isinstance(slot, GrantedSlot):
            return True
        self._search = None
        refusal = slot.refusal if slot is not None else None
        await _wait(sending, search_interval_ms(refusal))
        return False

    def _give_back_found(self, search: asyncio.Task) -> None:
        if search.cancelled() or search.exception() is not None:
            return
        if isinstance(search.result(), GrantedSlot):
            self._slot_finder.give_back(search.result())

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
