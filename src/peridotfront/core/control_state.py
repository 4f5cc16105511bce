"""Replicated state machine of the control group."""

from collections.abc import Callable
from typing import Any

from .claims import Claims
from .configuration import Configuration
from .crash_history import CrashHistory
from .messages import (
    ClaimBatch,
    Command,
    ConfigChange,
    ControlSnapshot,
    CrashBatch,
    OrderIssued,
    RolloutEnd,
    RolloutOrder,
    StrikeBatch,
)
from .order_table import OrderTable
from .rollouts.table import RolloutTable
from .single_dispatch import dispatchmethod
from .strikes import Strikes

Encode = Callable[[ControlSnapshot], bytes]
Decode = Callable[[bytes], ControlSnapshot]


class ControlState:
    """State machine composed of the tables that the control group replicates."""

    def __init__(self):
        self.configuration = Configuration()
        self.claims = Claims()
        self.strikes = Strikes()
        self.orders = OrderTable()
        self.crashes = CrashHistory()
        self.rollouts = RolloutTable()

    @dispatchmethod
    def apply(self, command: Command) -> Any:
        """Apply one committed command.

        :return: result of the component that applies the command; None for a command
            that changes no state.
        """

    @apply.register
    def _(self, command: ConfigChange):
        return self.configuration.apply(command)

    @apply.register
    def _(self, command: ClaimBatch):
        return self.claims.apply(command)

    @apply.register
    def _(self, command: StrikeBatch):
        return self.strikes.apply(command)

    @apply.register
    def _(self, command: OrderIssued):
        return self.orders.apply(command)

    @apply.register
    def _(self, command: CrashBatch):
        return self.crashes.apply(command)

    @apply.register
    def _(self, command: RolloutOrder):
        return self.rollouts.order(command)

    @apply.register
    def _(self, command: RolloutEnd):
        return self.rollouts.end(command)

    def snapshot(self) -> ControlSnapshot:
        """Return the whole state as one record."""
        return ControlSnapshot(
            configuration=self.configuration.snapshot(),
            claims=self.claims.snapshot(),
            strikes=self.strikes.snapshot(),
            orders=self.orders.orders,
            crashes=self.crashes.snapshot(),
            rollouts=self.rollouts.snapshot(),
        )

    def restore(self, snapshot: ControlSnapshot) -> None:
        """Replace the whole state with that of a snapshot."""
        self.configuration.restore(snapshot.configuration)
        self.claims.restore(snapshot.claims)
        self.strikes.restore(snapshot.strikes)
        self.orders.restore(snapshot.orders)
        self.crashes.restore(snapshot.crashes)
        self.rollouts.restore(snapshot.rollouts)
