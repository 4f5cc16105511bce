"""Orders to the stand-in engine: loaded models and the fencing token."""

from .engine_messages import EngineOrder, OrderResult


class Orders:
    """Loaded models, adapters and versions, and the highest fencing token seen."""

    def __init__(self, models: tuple[str, ...], honours_fencing: bool):
        self.loaded = {"model": list(models), "adapter": [], "version": []}
        self.role = ""
        self._honours_fencing = honours_fencing
        self._highest_token = (0, 0)
        self._executed_ids: set[str] = set()

    def check(self, order: EngineOrder) -> OrderResult:
        """Return whether an order is accepted, and record its fencing token."""
        token = (order.term, order.sequence)
        if self._honours_fencing and token < self._highest_token:
            return OrderResult(is_accepted=False, detail="old fencing token")
        self._highest_token = max(self._highest_token, token)
        if order.order_id in self._executed_ids:
            return OrderResult(is_accepted=True, detail="already done")
        return OrderResult(is_accepted=True)

    def execute(self, order: EngineOrder) -> None:
        """Set the role, or load or unload a model, adapter or version."""
        self._executed_ids.add(order.order_id)
        operation, _, resource = order.kind.partition("_")
        if operation == "set":
            self.role = order.name
        elif operation == "unload" and order.name in self.loaded[resource]:
            self.loaded[resource].remove(order.name)
        elif operation == "load" and order.name not in self.loaded[resource]:
            self.loaded[resource].append(order.name)
