"""Sender of the control leader's orders to engines."""

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
MAX_CONCURRENT_POLLS = 8
POLL_TIMEOUTS = UpstreamTimeouts(
    connect_ms=500, first_byte_ms=1000, between_bytes_ms=1000, total_ms=2000
)
ORDER_TIMEOUTS = UpstreamTimeouts(
    connect_ms=500,
    first_byte_ms=ORDER_TIMEOUT_MS,
    between_bytes_ms=1000,
    total_ms=ORDER_TIMEOUT_MS,
)


class OrderSender:
    """Poller of engines and sender of orders while this host is the leader.

    :param planner: order planner whose actions are executed.
    :param client: client for the engines.
    :param propose: function that proposes an order for the replicated log.
    :param may_send: function that returns whether this host has the authority to
        send orders at this moment.
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
        self._poll_task: asyncio.Task | None = None

    def set_leader(self, term: int | None) -> None:
        """Set the term in which this host is the leader; None if it is not the leader.

        The engines are polled only while it is the leader.
        """
        if self._poll_task is not None:
            self._poll_task.cancel()
            self._poll_task = None
        if term is None:
            self.feed(LeadershipLost())
            return
        self.feed(LeadershipGained(term))
        self._poll_task = self._tasks.start(self._poll_engines())

    def set_fleet(self, fleet: Fleet) -> None:
        """Set the current configuration."""
        self._fleet = fleet
        self.feed(FleetChanged(fleet))

    def feed(self, event: Any) -> None:
        """Feed an event to the planner and execute its actions."""
        for action in self._planner.handle(event, now_ms()):
            self._run(action)

    async def stop(self) -> None:
        """Stop polling and sending."""
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
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_POLLS)
        while True:
            engines = [
                upstream
                for upstream in self._fleet.upstreams
                if upstream.kind is UpstreamKind.ENGINE and not upstream.is_leaving
            ]
            await asyncio.gather(
                *[self._poll_engine(semaphore, upstream) for upstream in engines]
            )
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)

    async def _poll_engine(
        self, semaphore: asyncio.Semaphore, spec: UpstreamSpec
    ) -> None:
        async with semaphore:
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
                outcome = await self._send_order(address, order)
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

    async def _send_order(self, address: str, order: OrderIssued) -> OrderOutcome:
        body = EngineOrder(
            order_id=order.order_id,
            kind=order.kind,
            name=order.name,
            term=order.term,
            sequence=order.sequence,
        )
        result = await self._client.order(
            address, body, timeouts=ORDER_TIMEOUTS, before_send=self._check_leadership
        )
        return OrderOutcome.ACCEPTED if result.is_accepted else OrderOutcome.REFUSED

    def _check_leadership(self) -> None:
        if not self._may_send():
            raise NotLeader("")
