"""Server of a gateway: feeds events to its role and executes its actions."""

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from . import logs
from .core.actions import Log, Received, Send, Tick
from .core.config_follower import ConfigActivated
from .core.gateway_events import (
    SlotGranted,
    SlotRefused,
    SlotReleased,
    SlotRequestCancelled,
    SlotRequested,
)
from .core.gateway_role import GatewayRole
from .core.messages import Frame, SlotRefusal, SlotRequest
from .core.releases import build_unsent_release
from .core.routes import RouteTable, RoutingConfig
from .core.routing_events import RoutingChanged
from .core.scheduler import IN_PROGRESS_RETRY_MS
from .core.verdicts import Reason
from .exceptions import SettingsInvalid
from .metrics import Metrics
from .runtime import now_ms

SendMessage = Callable[[str, Any], None]
RoutingParser = Callable[[str, int], RoutingConfig]


class GatewayServer:
    """Server that runs the role of an entry host that serves routes.

    :param role: role whose actions are executed.
    :param parse: parser of a configuration, given its text and version.
    :param send: function that sends a message to another host.
    :param metrics: metrics of this host.

    ``on_routing_changed`` is called with each new configuration.
    """

    def __init__(
        self,
        role: GatewayRole,
        parse: RoutingParser,
        send: SendMessage,
        metrics: Metrics,
    ):
        self.role = role
        self.route_table = RouteTable(RoutingConfig())
        self.on_routing_changed: Callable[[RoutingConfig], None] = lambda routing: None
        self._parse = parse
        self._send = send
        self._metrics = metrics
        self._waiting: dict[str, asyncio.Future] = {}

    def on_frame(self, frame: Frame) -> None:
        """Feed the messages of one frame to the role."""
        for message in frame.messages:
            self.feed(Received(frame.sender, frame.incarnation, message))

    def tick(self) -> None:
        """Feed a tick to the role."""
        self.feed(Tick())

    def feed(self, event: Any) -> None:
        """Feed an event to the role and execute its actions."""
        for action in tuple(self.role.handle(event, now_ms())):
            self._run(action)

    async def acquire_slot(
        self, slot_request: SlotRequest
    ) -> SlotGranted | SlotRefused:
        """Request a slot and wait for the reply; a cancelled wait cancels the request.

        :return: the grant or the refusal; a refusal as in progress if a request with
            the same id waits.
        """
        if slot_request.request_id in self._waiting:
            return _build_refusal(slot_request)
        future = asyncio.get_running_loop().create_future()
        self._waiting[slot_request.request_id] = future
        try:
            self.feed(SlotRequested(slot_request))
            return await future
        except asyncio.CancelledError:
            self._cancel_slot_request(slot_request, future)
            raise
        finally:
            del self._waiting[slot_request.request_id]

    def _cancel_slot_request(
        self, slot_request: SlotRequest, future: asyncio.Future
    ) -> None:
        if future.cancelled():
            self.feed(SlotRequestCancelled(slot_request.request_id))
            return
        answer = future.result()
        if isinstance(answer, SlotGranted):
            self.feed(SlotReleased(build_unsent_release(answer.grant)))

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
    def _(self, action: ConfigActivated) -> None:
        try:
            routing = self._parse(action.content, action.version)
        except SettingsInvalid as error:
            logs.write("config_unreadable", version=action.version, error=str(error))
            return
        self.route_table = RouteTable(routing)
        self._metrics.set_config_version(routing.version)
        logs.write("config_in_force", version=routing.version)
        self.on_routing_changed(routing)
        self.feed(RoutingChanged(routing))

    @_run.register
    def _(self, action: SlotGranted) -> None:
        self._resolve(action.grant.request_id, action)

    @_run.register
    def _(self, action: SlotRefused) -> None:
        self._resolve(action.refusal.request_id, action)

    def _resolve(self, request_id: str, answer: SlotGranted | SlotRefused) -> None:
        future = self._waiting.get(request_id)
        if future is not None and not future.done():
            future.set_result(answer)
            return
        if isinstance(answer, SlotGranted):
            # The waiting task was cancelled but has not yet run to cancel its request.
            self.feed(SlotReleased(build_unsent_release(answer.grant)))


def _build_refusal(slot_request: SlotRequest) -> SlotRefused:
    refusal = SlotRefusal(
        slot_request.request_id,
        slot_request.cell,
        Reason.IN_PROGRESS,
        IN_PROGRESS_RETRY_MS,
    )
    return SlotRefused(refusal, is_own=True)
