"""Metrics of one process, in the text format of Prometheus."""

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from .core.verdicts import Reason, Verdict

LATENCY_BUCKETS_MS = (
    1,
    2,
    5,
    10,
    20,
    50,
    100,
    200,
    500,
    1000,
    1500,
    2000,
    5000,
    10_000,
    30_000,
    60_000,
)
PREFIX = "peridotfront_"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Metrics:
    """Metrics of one process.

    :param host: the host's name, a label of every metric.
    :param data_centre: the host's data centre, a label of every metric.

    Usage::

        metrics = Metrics("entry-1", "cardiff")
        metrics.count_dispatch("engine")
        body = metrics.render()
    """

    def __init__(self, host: str, data_centre: str):
        self._labels = {"host": host, "data_centre": data_centre}
        self._collectors: list[Callable[[], None]] = []
        self._registry = Registry()
        self._goodput = self._create_metric(
            Counter,
            "goodput_total",
            "Requests answered in full; times are not judged yet.",
        )
        self._answers = self._create_metric(
            Counter, "answers_total", "Requests ended, by tier, verdict and reason."
        )
        self._dispatches = self._create_metric(
            Counter, "dispatches_total", "Requests sent to an upstream."
        )
        self._wasted = self._create_metric(
            Counter,
            "wasted_prefill_tokens_total",
            "Prompt tokens processed in vain or again, by cause.",
        )
        self._claims = self._create_metric(
            Counter, "claims_total", "Claims asked for, by the status of the reply."
        )
        self._queue = self._create_histogram(
            "queue_ms", "Time from arrival to the grant of a slot, in milliseconds."
        )
        self._first_token = self._create_histogram(
            "first_token_ms", "Time from arrival to the first token, in milliseconds."
        )
        self._leadership = self._create_metric(
            Gauge, "is_leader", "1 on the leader of the control group, else 0."
        )
        self._config_version = self._create_metric(
            Gauge, "config_version", "Version of the configuration in force here."
        )
        self._alive = self._create_metric(
            Gauge, "alive_peers", "Peers that are alive, by role, as seen from here."
        )
        self._in_progress = self._create_metric(
            Gauge, "requests_in_progress", "Requests that have not ended yet."
        )

        self._rollouts = self._create_metric(
            Gauge,
            "rollout_requests",
            "Requests since the order of a rollout that goes on, by kind.",
        )
        self._held = self._create_metric(
            Gauge, "held_bytes", "Bytes in progress on the connections of callers."
        )
        self._closed = self._create_metric(
            Counter,
            "connections_closed_for_room_total",
            "Connections without progress closed for others, by the limit reached.",
        )
        self._early_refusals = self._create_metric(
            Counter,
            "early_refusals_total",
            "Requests and connections refused before they were handled, by listener.",
        )

    def add_collector(self, collect: Callable[[], None]) -> None:
        """Add a function that updates metrics before they are rendered."""
        self._collectors.append(collect)

    def _create_metric(self, kind: type, name: str, doc: str):
        return kind(
            PREFIX + name, doc, const_labels=self._labels, registry=self._registry
        )

    def _create_histogram(self, name: str, doc: str) -> Histogram:
        return Histogram(
            PREFIX + name,
            doc,
            const_labels=self._labels,
            registry=self._registry,
            buckets=LATENCY_BUCKETS_MS,
        )

    def count_answer(
        self, tier: int, verdict: Verdict, reason: Reason, is_good: bool = False
    ) -> None:
        """Count a request that ended.

        :param tier: tier of the request; 1 is the highest.
        :param is_good: whether the request counts as goodput.
        """
        labels = {
            "tier": str(tier),
            "verdict": str(verdict),
            "reason": str(reason) or "none",
        }
        self._answers.inc(labels)
        if is_good:
            self._goodput.inc({"tier": str(tier)})

    def count_dispatch(self, kind: str) -> None:
        """Count a request sent to an upstream.

        :param kind: ``engine`` or ``service``; the kind of the route for a routed
            request.
        """
        self._dispatches.inc({"kind": str(kind)})

    def set_wasted_prefill(self, cause: str, tokens: int) -> None:
        """Set the total of prompt tokens whose prefill was wasted, by cause.

        :param tokens: prompt tokens processed in vain or again since the start.
        """
        self._wasted.set({"cause": str(cause)}, tokens)

    def count_claim(self, status: str) -> None:
        """Count a reply to a claim by its status."""
        self._claims.inc({"status": str(status)})

    def observe_queue(self, tier: int, queue_ms: float) -> None:
        """Record how long a request waited for its slot."""
        self._queue.observe({"tier": str(tier)}, queue_ms)

    def observe_first_token(self, tier: int, first_token_ms: float) -> None:
        """Record how long a request waited for its first token."""
        self._first_token.observe({"tier": str(tier)}, first_token_ms)

    def set_is_leader(self, is_leader: bool) -> None:
        """Record whether this host leads the control group."""
        self._leadership.set({}, int(is_leader))

    def set_config_version(self, version: int) -> None:
        """Record the version of the configuration in force here."""
        self._config_version.set({}, version)

    def set_alive_peers(self, role: str, count: int) -> None:
        """Record how many peers of a role are alive."""
        self._alive.set({"role": role}, count)

    def set_requests_in_progress(self, count: int) -> None:
        """Record how many requests have not ended yet."""
        self._in_progress.set({}, count)

    def clear_rollouts(self) -> None:
        """Remove the metrics of all rollouts."""
        self._rollouts.values.clear()

    def set_rollout_requests(
        self, service: str, stage: str, kind: str, count: int
    ) -> None:
        """Record the requests of a rollout.

        :param kind: ``all`` for those of the service, ``exposed`` for those that the
            new version got, ``bad`` for its failed or slow answers.
        """
        labels = {"service": service, "stage": stage, "kind": kind}
        self._rollouts.set(labels, count)

    def set_held_bytes(self, size_bytes: int) -> None:
        """Record the bytes in progress on the connections of callers."""
        self._held.set({}, size_bytes)

    def set_closed_connections(self, limit: str, count: int) -> None:
        """Set the total of connections closed for others.

        :param limit: name of the limit that was reached.
        """
        self._closed.set({"limit": limit}, count)

    def set_early_refusals(self, listener: str, status_code: int, count: int) -> None:
        """Set the total of refusals before any handler ran."""
        labels = {"listener": listener, "status": str(status_code)}
        self._early_refusals.set(labels, count)

    def render(self) -> bytes:
        """Render all metrics in the text format of Prometheus.

        :rtype: bytes
        """
        for collect in self._collectors:
            collect()
        body, _ = render(self._registry, ["text/plain"])
        return body
