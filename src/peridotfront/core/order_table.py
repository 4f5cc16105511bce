"""The replicated table of the orders that leaders issued to engines."""

from collections import OrderedDict

from .messages import OrderIssued

ORDERS_KEPT = 1000


class OrderTable:
    """Keeps the last issue of each order, up to ``ORDERS_KEPT`` orders."""

    def __init__(self):
        self._orders: OrderedDict[str, OrderIssued] = OrderedDict()

    @property
    def orders(self) -> tuple[OrderIssued, ...]:
        """Return the orders, the last issued at the end."""
        return tuple(self._orders.values())

    def apply(self, order: OrderIssued) -> None:
        """Apply one committed order."""
        self._orders[order.order_id] = order
        self._orders.move_to_end(order.order_id)
        while len(self._orders) > ORDERS_KEPT:
            self._orders.popitem(last=False)

    def restore(self, orders: tuple[OrderIssued, ...]) -> None:
        """Replace the whole table by that of a snapshot."""
        self._orders = OrderedDict((one.order_id, one) for one in orders)
