"""Carries out the control leader's orders: asks engines, sends, and reports back."""

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from pydantic import ValidationError

from . import logs
from .core.actions import Log
from .core.fleet import Fleet, UpstreamKind, UpstreamSpec
from .core.messages import OrderIssued
from .core.orders import (
    ORDER_TIMEOUT_MS,
    EngineReported,
    LeadershipGained,
    LeadershipLost,
    OrderEnded,
    OrderOutcome,
    OrderPlanner,
    ProposeOrder,
    SendOrder,
)
from .core.scheduler_events import FleetChanged
from .engine_client import EngineClient, UpstreamTimeouts
from .engine_messages import EngineOrder
from .exceptions import NotLeader, UpstreamError
from .runtime import BackgroundTasks, now_ms

POLL_INTERVAL_MS = 1000
POLLS_AT_ONCE = 8
POLL_TIMEOUTS = UpstreamTimeouts(
    connect_ms=500, first_byte_ms=1000, between_bytes_ms=1000
)
ORDER_TIMEOUTS = UpstreamTimeouts(
    connect_ms=500, first_byte_ms=ORDER_TIMEOUT_MS, between_bytes_ms=1000
)


class OrderSender:
    """Feeds the order planner while this host leads, and carries out its actions.

    :param planner: decides.
    :param client: reaches the engines.
    :param propose: brings an order into the replicated log.
    :param may_send: tells whether this host leads at this very moment.
    """

    def __init__(
        self,
        planner: OrderPlanner,
        client: EngineClient,
        propose: Callable[[ProposeOrder], None],
        may_send: Callable[[], bool],
    ):
        self._planner = planner
        self._client = client
        self._propose = propose
        self._may_send = may_send
        self._fleet = Fleet()
        self._tasks = BackgroundTasks()
        self._poll: asyncio.Task | None = None

    def set_leader(self, term: int | None) -> None:
        """Take in that this host leads in a term, or does not lead if None."""
        if self._poll is not None:
            self._poll.cancel()
            self._poll = None
        if term is None:
            self.feed(LeadershipLost())
            return
        self.feed(LeadershipGained(term))
        self._poll = self._tasks.start(self._poll_engines())

    def set_fleet(self, fleet: Fleet) -> None:
        """Take in the configuration in force."""
        self._fleet = fleet
        self.feed(FleetChanged(fleet))

    def feed(self, event: Any) -> None:
        """Let the planner handle an event, and carry out its actions."""
        for action in self._planner.handle(event, now_ms()):
            self._run(action)

    async def stop(self) -> None:
        """Stop to ask and to send."""
        await self._tasks.cancel()
        await self._client.close()

    @singledispatchmethod
    def _run(self, action: Any) -> None:
        raise TypeError(f"unexpected action {action!r}")

    @_run.register
    def _(self, action: Log) -> None:
        logs.write(action.event, **dict(action.fields))

    @_run.register
    def _(self, action: ProposeOrder) -> None:
        self._propose(action)

    @_run.register
    def _(self, action: SendOrder) -> None:
        self._tasks.start(self._send(action.address, action.order))

    async def _poll_engines(self) -> None:
        gate = asyncio.Semaphore(POLLS_AT_ONCE)
        while True:
            engines = [
                one
                for one in self._fleet.upstreams
                if one.kind is UpstreamKind.ENGINE and not one.is_leaving
            ]
            await asyncio.gather(*[self._ask(gate, one) for one in engines])
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)

    async def _ask(self, gate: asyncio.Semaphore, spec: UpstreamSpec) -> None:
        async with gate:
            asked_ms = now_ms()
            try:
                report = await self._client.report(spec.address, timeouts=POLL_TIMEOUTS)
            except UpstreamError:
                return
        self.feed(EngineReported(spec.name, report.models, report.role, asked_ms))

    async def _send(self, address: str, order: OrderIssued) -> None:
        outcome = OrderOutcome.FAILED
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_MS / 1000):
                outcome = await self._order(address, order)
        except (UpstreamError, NotLeader, TimeoutError, ValidationError) as error:
            logs.write("order_failed", order_id=order.order_id, detail=repr(error))
        else:
            logs.write(
                "order_answered",
                order_id=order.order_id,
                upstream=order.upstream,
                kind=order.kind,
                target=order.name,
                outcome=outcome,
            )
        self.feed(OrderEnded(order, outcome))

    async def _order(self, address: str, order: OrderIssued) -> OrderOutcome:
        body = EngineOrder(
            order_id=order.order_id,
            kind=order.kind,
            name=order.name,
            term=order.term,
            sequence=order.sequence,
        )
        result = await self._client.order(
            address, body, timeouts=ORDER_TIMEOUTS, before_send=self._check_leads
        )
        return OrderOutcome.ACCEPTED if result.is_accepted else OrderOutcome.REFUSED

    def _check_leads(self) -> None:
        if not self._may_send():
            raise NotLeader("")
