"""Replicated table of the orders that leaders issued to engines."""

from collections import OrderedDict

from .messages import OrderIssued

MAX_ORDERS = 1000


class OrderTable:
    """Table of the last ``MAX_ORDERS`` orders, each as it was last issued."""

    def __init__(self):
        self._orders: OrderedDict[str, OrderIssued] = OrderedDict()

    @property
    def orders(self) -> tuple[OrderIssued, ...]:
        """Return the orders, the latest one last."""
        return tuple(self._orders.values())

    def apply(self, order: OrderIssued) -> None:
        """Apply one committed order."""
        self._orders[order.order_id] = order
        self._orders.move_to_end(order.order_id)
        while len(self._orders) > MAX_ORDERS:
            self._orders.popitem(last=False)

    def restore(self, orders: tuple[OrderIssued, ...]) -> None:
        """Replace the whole table by the orders of a snapshot."""
        self._orders = OrderedDict((order.order_id, order) for order in orders)
