"""Server of a control host: executes the actions of its role."""

from . import logs
from .core.control_types import ClaimLimits, ConfigApplied
from .core.controller import Controller
from .core.orders import OrderCommitted, OrderPlanner
from .core.raft_types import Role, RoleChanged
from .engine_client import EngineClient
from .exceptions import SettingsInvalid
from .fleet_config import parse_fleet
from .metrics import Metrics
from .order_sender import OrderSender
from .replica_server import ReplicaServer, SendMessage
from .runtime import now_ms
from .storage import Storage


class ControlServer(ReplicaServer):
    """Replica server that also sends the leader's orders to engines.

    :param controller: role whose actions are executed.
    :param storage: storage for the changes that the role persists.
    :param send: function that sends a message to another host.
    :param metrics: metrics of this host.
    :param planner: planner of the orders to engines.
    """

    def __init__(
        self,
        controller: Controller,
        storage: Storage,
        send: SendMessage,
        metrics: Metrics,
        planner: OrderPlanner,
    ):
        handlers = {ConfigApplied: self._apply_config, OrderCommitted: self._send_order}
        super().__init__(controller, storage, send, metrics, handlers)
        self.controller = controller
        self.orders = OrderSender(
            planner, EngineClient(), self.feed, self._may_send_order
        )

    def on_role_changed(self, action: RoleChanged) -> None:
        """Enable orders while this host is the leader, disable them otherwise."""
        is_leader = action.role is Role.LEADER
        self.orders.set_leader(action.term if is_leader else None)

    def _may_send_order(self) -> bool:
        return self.controller.has_order_authority(now_ms())

    def _apply_config(self, action: ConfigApplied) -> None:
        try:
            fleet = parse_fleet(action.content, action.version)
        except SettingsInvalid as error:
            logs.write("config_unreadable", version=action.version, error=str(error))
            return
        self.orders.set_fleet(fleet)
        self.feed(ClaimLimits(retention_ms=fleet.policy.claim_retention_ms))

    def _send_order(self, action: OrderCommitted) -> None:
        self.orders.feed(action)
