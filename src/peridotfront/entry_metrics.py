"""Updates of an entry host's metrics from its events and its state."""

from collections import Counter
from functools import singledispatchmethod
from typing import Any

from .core.actions import Received
from .core.dispatcher_events import DispatchEnded
from .core.entry_role import EntryRole
from .core.messages import ClaimReply
from .metrics import Metrics
from .runtime import now_ms

PEER_ROLES = ("control", "entry")


class EntryMetrics:
    """Collector of the metrics of one entry host.

    :param role: the host's role, which is only read.
    :param metrics: metrics to update.
    """

    def __init__(self, role: EntryRole, metrics: Metrics):
        self._role = role
        self._metrics = metrics
        metrics.add_collector(self.collect)

    def on_dispatch(self, request_id: str) -> None:
        """Record how long a request has waited when it is dispatched."""
        active_request = self._role.dispatcher.active_requests.get(request_id)
        if active_request is not None:
            queue_ms = now_ms() - active_request.arrived_ms
            self._metrics.observe_queue(active_request.request.tier, queue_ms)

    @singledispatchmethod
    def observe(self, event: Any) -> None:
        """Update metrics from an event before the role handles it."""

    @observe.register
    def _(self, event: Received) -> None:
        if isinstance(event.message, ClaimReply):
            self._metrics.count_claim(event.message.status)

    @observe.register
    def _(self, event: DispatchEnded) -> None:
        active_request = self._role.dispatcher.active_requests.get(event.request_id)
        if active_request is None or event.first_token_ms < 0:
            return
        queue_ms = max(0, active_request.sent_ms - active_request.arrived_ms)
        first_token_ms = queue_ms + event.first_token_ms
        self._metrics.observe_first_token(active_request.request.tier, first_token_ms)

    def collect(self) -> None:
        """Update the gauges and the schedulers' counters."""
        hosts = self._role.host_monitor.hosts.values()
        alive = Counter([host.role for host in hosts if host.is_alive])
        for role in PEER_ROLES:
            self._metrics.set_alive_peers(role, alive[role])
        self._metrics.set_requests_in_progress(
            len(self._role.dispatcher.active_requests)
        )
        wasted: Counter = Counter()
        for scheduler in self._role.schedulers.values():
            wasted.update(scheduler.stats.wasted_prefill_tokens)
        for cause, tokens in wasted.items():
            self._metrics.set_wasted_prefill(cause, tokens)
