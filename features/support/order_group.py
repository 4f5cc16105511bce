"""Control hosts that send orders to fake engines, in virtual time."""

from dataclasses import dataclass, field

from peridotfront.core.control_types import ConfigApplied
from peridotfront.core.messages import ChangeStatus, ConfigProposal, OrderIssued
from peridotfront.core.orders import (
    ORDER_TIMEOUT_MS,
    EngineReported,
    LeadershipGained,
    LeadershipLost,
    OrderCommitted,
    OrderEnded,
    OrderOutcome,
    OrderPlanner,
    ProposeOrder,
    SendOrder,
)
from peridotfront.core.raft_types import ELECTION_TIMEOUT_MS, Role, RoleChanged
from peridotfront.core.scheduler_events import FleetChanged
from peridotfront.fleet_config import parse_fleet

from .control_group import CONTROL_HOSTS, ControlGroup

POLL_MS = 500
LINK_DELAY_MS = 10


@dataclass(frozen=True)
class SentOrder:
    """Order that a host has sent."""

    at_ms: int
    host: str
    order: OrderIssued


@dataclass
class FakeEngine:
    """Fake engine that executes orders and refuses those with an old token.

    :param load_ms: time from an order until the engine reports its effect.
    :param answers_to_lose: number of answers that are still to be lost.
    """

    name: str
    honours_fencing: bool = True
    load_ms: int = 0
    answers_to_lose: int = 0
    models: list = field(default_factory=lambda: ["m1"])
    role: str = ""
    token: tuple = (0, 0)
    accepted_orders: list = field(default_factory=list)
    refused: list = field(default_factory=list)
    pending_orders: list = field(default_factory=list)

    def receive(self, order, now_ms):
        token = (order.term, order.sequence)
        if self.honours_fencing and token < self.token:
            self.refused.append(order)
            return OrderOutcome.REFUSED
        self.token = max(self.token, token)
        self.accepted_orders.append(order)
        self.pending_orders.append((now_ms + self.load_ms, order))
        return OrderOutcome.ACCEPTED

    def apply_due_orders(self, now_ms):
        for pending in [
            pending for pending in self.pending_orders if pending[0] <= now_ms
        ]:
            self.pending_orders.remove(pending)
            self._apply(pending[1])

    def _apply(self, order):
        if order.kind == "set_role":
            self.role = order.name
        elif order.kind == "unload_model":
            self.models.remove(order.name)
        elif order.name not in self.models:
            self.models.append(order.name)


class OrderGroup(ControlGroup):
    """Control group with order planners, driven as by the program, and fake engines."""

    def __init__(self, engines, seed=0):
        super().__init__(seed)
        self.engines = {engine.name: engine for engine in engines}
        self.planners = {
            name: OrderPlanner(ELECTION_TIMEOUT_MS) for name in CONTROL_HOSTS
        }
        self.outboxes = {name: [] for name in CONTROL_HOSTS}
        self.link_delay_ms = dict.fromkeys(CONTROL_HOSTS, LINK_DELAY_MS)
        self.deliveries = []
        self.orders = []
        self.log_actions = []
        self.not_sent = []
        self.uncommitted_orders = []
        self.held_outbox_host = ""

    def rules(self, models, policy="weight_loads_per_min = 600"):
        parts = [f"[policy]\n{policy}\n"]
        for number, engine in enumerate(self.engines.values(), start=1):
            parts.append(
                f"[upstream {engine.name}]\nkind = engine\ndata_centre = dc\n"
                f"address = 127.0.0.1:{number}\nmodels = {models}\n"
                f"honours_fencing = {engine.honours_fencing}\n"
            )
        return "\n".join(parts)

    def configure(self, change_id, content):
        base = self.view().current.version
        proposal = ConfigProposal(change_id, base, "ann", content)
        result = self.change(proposal)
        assert result.status is ChangeStatus.ACCEPTED, result

    # Program

    def run(self, host, action):
        if isinstance(action, RoleChanged):
            is_leader = action.role is Role.LEADER
            event = LeadershipGained(action.term) if is_leader else LeadershipLost()
            self.feed(host.name, event)
        elif isinstance(action, ConfigApplied):
            fleet = parse_fleet(action.content, action.version)
            self.feed(host.name, FleetChanged(fleet))
        elif isinstance(action, OrderCommitted):
            self.feed(host.name, action)
        super().run(host, action)

    def feed(self, name, event):
        for action in list(self.planners[name].handle(event, self.clock(name))):
            if isinstance(action, ProposeOrder):
                self.handle(name, action)
            elif isinstance(action, SendOrder):
                self.outboxes[name].append(action)
            else:
                self.log_actions.append((name, action))

    def send_outbox(self, name):
        host = self.hosts[name]
        outbox, self.outboxes[name] = self.outboxes[name], []
        for action in outbox:
            order = action.order
            if not host.role.has_order_authority(self.clock(name)):
                self.not_sent.append((name, order))
                self.feed(name, OrderEnded(order, OrderOutcome.FAILED))
                continue
            if order not in host.role.state.orders.orders:
                self.uncommitted_orders.append(order)
            self.orders.append(SentOrder(self.now_ms, name, order))
            due_ms = self.now_ms + self.link_delay_ms[name]
            self.deliveries.append((due_ms, name, order))

    def thaw(self, name):
        # The worst case: the pending orders are sent before anything else happens.
        if name in CONTROL_HOSTS:
            self.send_outbox(name)
        super().thaw(name)

    def step(self):
        super().step()
        for name in CONTROL_HOSTS:
            is_held = name in self.frozen or name == self.held_outbox_host
            if not is_held and name not in self.down:
                self.send_outbox(name)
        for delivery in [
            delivery for delivery in self.deliveries if delivery[0] <= self.now_ms
        ]:
            self.deliveries.remove(delivery)
            self._deliver(delivery[1], delivery[2])
        for engine in self.engines.values():
            engine.apply_due_orders(self.now_ms)
        if self.now_ms % POLL_MS == 0:
            self._poll()

    def _deliver(self, name, order):
        if isinstance(order, OrderEnded):
            if name not in self.frozen and name not in self.down:
                self.feed(name, order)
            return
        engine = self.engines[order.upstream]
        outcome = engine.receive(order, self.now_ms)
        delay_ms = LINK_DELAY_MS
        if engine.answers_to_lose:
            engine.answers_to_lose -= 1
            outcome, delay_ms = OrderOutcome.FAILED, ORDER_TIMEOUT_MS
        event = OrderEnded(order, outcome)
        self.deliveries.append((self.now_ms + delay_ms, name, event))

    def _poll(self):
        for name in CONTROL_HOSTS:
            if name in self.frozen or name in self.down:
                continue
            for engine in self.engines.values():
                now_ms = self.clock(name)
                models = tuple(engine.models)
                report = EngineReported(engine.name, models, engine.role, now_ms)
                self.feed(name, report)
