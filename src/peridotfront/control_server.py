"""Carries out what the role of a control host decides."""

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod
from itertools import count
from typing import Any

from . import logs
from .core.actions import Log, Received, Send, Tick
from .core.control_types import (
    ClaimLimits,
    ConfigApplied,
    ControlView,
    OperatorClaim,
    OperatorClaimView,
    OperatorPropose,
    OperatorRead,
    OperatorResult,
    OperatorUnavailable,
    OperatorView,
)
from .core.controller import Controller
from .core.messages import (
    ChangeStatus,
    ClaimRecord,
    ConfigProposal,
    ConfigResult,
    Frame,
)
from .core.orders import OrderCommitted, OrderPlanner
from .core.raft_types import Persist, Role, RoleChanged
from .exceptions import NotLeader, SettingsInvalid
from .metrics import Metrics
from .order_sender import OrderSender
from .rules import parse_rules
from .runtime import now_ms
from .storage import Storage
from .upstreams import EngineClient

SendMessage = Callable[[str, Any], None]


class ControlServer:
    """Feeds events to the controller and carries out its actions.

    All events of one turn of the loop are handled before the disk is synced, so
    that they share one sync; what they send leaves only after it.

    :param controller: decides.
    :param storage: the data folder.
    :param send: sends a message to another host.
    :param planner: decides on orders to engines.
    """

    def __init__(
        self,
        controller: Controller,
        storage: Storage,
        send: SendMessage,
        metrics: Metrics,
        planner: OrderPlanner,
    ):
        self.controller = controller
        self.leader = ""
        self._storage = storage
        self._send = send
        self._metrics = metrics
        self._events: list[Any] = []
        self._is_scheduled = False
        self._tickets = count(1)
        self._waiting: dict[int, asyncio.Future] = {}
        self.orders = OrderSender(
            planner, EngineClient(), self.feed, self._may_send_order
        )
        self.failed: asyncio.Future = asyncio.get_running_loop().create_future()

    def on_frame(self, frame: Frame) -> None:
        """Queue the messages of one frame."""
        for message in frame.messages:
            self.feed(Received(frame.sender, frame.incarnation, message))

    def tick(self) -> None:
        """Tell the controller that time has passed."""
        self.feed(Tick())

    def feed(self, event: Any) -> None:
        """Queue an event for the end of this turn of the loop."""
        self._events.append(event)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._turn)

    async def read(self) -> ControlView:
        """Return the state that stands, confirmed by a quorum.

        :raises NotLeader: if this host cannot tell.
        """
        return await self._ask(OperatorRead)

    async def claim(self, key: str) -> ClaimRecord | None:
        """Return the claim of a key, None if there is none.

        :raises NotLeader: if this host cannot tell.
        """
        return await self._ask(lambda ticket: OperatorClaim(ticket, key))

    async def propose(self, proposal: ConfigProposal) -> ConfigResult:
        """Propose a configuration.

        :raises NotLeader: if this host does not lead, or lost its quorum.
        """
        return await self._ask(lambda ticket: OperatorPropose(ticket, proposal))

    async def _ask(self, make_event: Callable[[int], Any]) -> Any:
        ticket = next(self._tickets)
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = future
        try:
            self.feed(make_event(ticket))
            return await future
        finally:
            del self._waiting[ticket]

    def _may_send_order(self) -> bool:
        return self.controller.may_send_order(now_ms())

    def _turn(self) -> None:
        self._is_scheduled = False
        if self.failed.done():
            return
        events, self._events = self._events, []
        actions: list[Any] = []
        for event in events:
            actions.extend(self.controller.handle(event, now_ms()))
        persists = [one for one in actions if isinstance(one, Persist)]
        try:
            if persists:
                self._storage.run(persists)
            for action in actions:
                if not isinstance(action, Persist):
                    self._run(action)
        except Exception as error:
            # A replica that can't write, or is in doubt, must not answer.
            self.failed.set_exception(error)

    @singledispatchmethod
    def _run(self, action: Any) -> None:
        raise TypeError(f"unexpected action {action!r}")

    @_run.register
    def _(self, action: Send) -> None:
        self._send(action.to_host, action.message)

    @_run.register
    def _(self, action: Log) -> None:
        logs.write(action.event, **dict(action.fields))

    @_run.register
    def _(self, action: RoleChanged) -> None:
        self.leader = action.leader
        is_leader = action.role is Role.LEADER
        self._metrics.set_is_leader(is_leader)
        self.orders.set_leader(action.term if is_leader else None)
        logs.write(
            "leader_changed", role=action.role, term=action.term, leader=action.leader
        )

    @_run.register
    def _(self, action: ConfigApplied) -> None:
        try:
            fleet = parse_rules(action.content, action.version)
        except SettingsInvalid as error:
            logs.write("config_unreadable", version=action.version, error=str(error))
            return
        self.orders.set_fleet(fleet)
        self.feed(ClaimLimits(retention_ms=fleet.policy.claim_retention_ms))

    @_run.register
    def _(self, action: OrderCommitted) -> None:
        self.orders.feed(action)

    @_run.register
    def _(self, action: OperatorView) -> None:
        self._resolve(action.ticket, action.view)

    @_run.register
    def _(self, action: OperatorClaimView) -> None:
        self._resolve(action.ticket, action.record)

    @_run.register
    def _(self, action: OperatorResult) -> None:
        if action.result.status is ChangeStatus.UNAVAILABLE:
            self._reject(action.ticket, NotLeader(action.leader))
            return
        self._resolve(action.ticket, action.result)

    @_run.register
    def _(self, action: OperatorUnavailable) -> None:
        self._reject(action.ticket, NotLeader(action.leader))

    def _resolve(self, ticket: int, value: Any) -> None:
        future = self._waiting.get(ticket)
        if future is not None and not future.done():
            future.set_result(value)

    def _reject(self, ticket: int, error: Exception) -> None:
        future = self._waiting.get(ticket)
        if future is not None and not future.done():
            future.set_exception(error)
