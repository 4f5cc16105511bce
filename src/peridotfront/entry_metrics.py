"""Feeds the metrics of an entry host from its events and its state."""

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
    """Measures one entry host.

    :param role: its state is read, never changed.
    :param metrics: receives the figures.
    """

    def __init__(self, role: EntryRole, metrics: Metrics):
        self._role = role
        self._metrics = metrics
        metrics.add_collector(self.collect)

    def on_dispatch(self, request_id: str) -> None:
        """Record how long a request has waited when it is sent on."""
        flow = self._role.dispatcher.active_requests.get(request_id)
        if flow is not None:
            queue_ms = now_ms() - flow.arrived_ms
            self._metrics.observe_queue(flow.request.tier, queue_ms)

    @singledispatchmethod
    def observe(self, event: Any) -> None:
        """Look at an event before the role handles it."""

    @observe.register
    def _(self, event: Received) -> None:
        if isinstance(event.message, ClaimReply):
            self._metrics.count_claim(event.message.status)

    @observe.register
    def _(self, event: DispatchEnded) -> None:
        flow = self._role.dispatcher.active_requests.get(event.request_id)
        if flow is None or event.first_token_ms < 0:
            return
        queue_ms = max(0, flow.sent_ms - flow.arrived_ms)
        first_token_ms = queue_ms + event.first_token_ms
        self._metrics.observe_first_token(flow.request.tier, first_token_ms)

    def collect(self) -> None:
        """Bring the gauges and the counts of the schedulers up to date."""
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
