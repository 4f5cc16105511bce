"""Orders to the stand-in engine: what is loaded, and the fencing token."""

from .engine_messages import EngineOrder, OrderResult


class Orders:
    """Holds what the engine has loaded and the last fencing token."""

    def __init__(self, models: tuple[str, ...], honours_fencing: bool):
        self.loaded = {"model": list(models), "adapter": [], "version": []}
        self.role = ""
        self._honours_fencing = honours_fencing
        self._token = (0, 0)
        self._done: set[str] = set()

    def check(self, order: EngineOrder) -> OrderResult:
        """Tell whether an order is accepted, and take its fencing token."""
        token = (order.term, order.sequence)
        if self._honours_fencing and token < self._token:
            return OrderResult(is_accepted=False, detail="old fencing token")
        self._token = max(self._token, token)
        if order.order_id in self._done:
            return OrderResult(is_accepted=True, detail="already done")
        return OrderResult(is_accepted=True)

    def carry_out(self, order: EngineOrder) -> None:
        """Change what is loaded."""
        self._done.add(order.order_id)
        verb, _, noun = order.kind.partition("_")
        if verb == "set":
            self.role = order.name
        elif verb == "unload" and order.name in self.loaded[noun]:
            self.loaded[noun].remove(order.name)
        elif verb == "load" and order.name not in self.loaded[noun]:
            self.loaded[noun].append(order.name)
