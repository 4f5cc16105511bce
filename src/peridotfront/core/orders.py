"""Planning of the control leader's orders to engines.

The active configuration is the desired state. The planner compares the reports of
engines with it. A difference becomes one order, which is proposed to the replicated
log and sent only after it was committed there.
"""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from .actions import Log
from .fleet import Fleet, Policy, UpstreamSpec
from .messages import OrderIssued
from .scheduler_events import FleetChanged
from .single_dispatch import dispatchmethod

ORDER_TIMEOUT_MS = 10_000
RETRY_MS = 1000
MAX_RETRY_MS = 60_000
UNLOAD_DELAY_MS = 10_000
ORDER_ID_DIGITS = 32
MS_PER_MIN = 60_000


class OrderKind(StrEnum):
    """Kind of an order, as in the API of engines."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    SET_ROLE = "set_role"


class OrderOutcome(StrEnum):
    """Result of an order that was sent.

    ``REFUSED``: the engine knows a newer fencing token. ``FAILED``: no answer was
    received, so that the order may have been executed or not.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class LeadershipGained:
    """Event: this host has become the leader of the control group."""

    term: int


@dataclass(frozen=True, slots=True)
class LeadershipLost:
    """Event: this host is no longer the leader of the control group."""


@dataclass(frozen=True, slots=True)
class EngineReported:
    """Event: an engine has reported its loaded models and its role.

    :param asked_ms: time of the query, on the clock of this host.
    """

    upstream: str
    models: tuple[str, ...]
    role: str
    asked_ms: int


@dataclass(frozen=True, slots=True)
class OrderCommitted:
    """Event: an order of this leader's term was committed to the replicated log."""

    order: OrderIssued


@dataclass(frozen=True, slots=True)
class OrderEnded:
    """Event: an order was answered or abandoned."""

    order: OrderIssued
    outcome: OrderOutcome


@dataclass(frozen=True, slots=True)
class ProposeOrder:
    """Action: propose an order to the replicated log."""

    order: OrderIssued


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Action: send an order, if this host is still the leader at that time."""

    address: str
    order: OrderIssued


@dataclass(frozen=True, slots=True)
class Difference:
    """One difference between the desired and the reported state of an engine."""

    kind: OrderKind
    name: str


@dataclass(slots=True)
class _Retry:
    attempts: int = 0
    due_ms: int = 0


@dataclass(slots=True)
class _Engine:
    """State of the orders to one engine.

    :param in_flight: order that was proposed or sent and has not ended.
    :param version: configuration version of that order.
    :param valid_from_ms: reports queried before this time are out of date.
    """

    in_flight: OrderIssued | None = None
    version: int = 0
    valid_from_ms: int = 0
    retries: dict[str, _Retry] = field(default_factory=dict)


class _WeightLoadBucket:
    """Token bucket that limits the model loads from the weight store.

    It starts empty for each leader, so that a change of leaders adds no loads.
    """

    def __init__(self, now_ms: int):
        self._tokens = 0.0
        self._refilled_ms = now_ms

    def take(self, policy: Policy, now_ms: int) -> bool:
        """Take a token; return False if there is none."""
        added = (now_ms - self._refilled_ms) * policy.weight_loads_per_min / MS_PER_MIN
        self._tokens = min(policy.weight_load_burst, self._tokens + added)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class OrderPlanner:
    """Planner of the orders that the control leader sends to engines.

    Each engine has at most one order in flight. The fencing token of an order consists
    of the term and a sequence number that grows with each order of the term. An engine
    that does not honour the token gets no order until those of an earlier leader have
    ended, which takes at most ``lease_ms`` and ``order_timeout_ms`` together.

    :param lease_ms: time for which an old leader may act without a quorum.
    :param order_timeout_ms: time after which an order that was sent is abandoned.
    :param wall_clock_offset_ms: wall clock minus the clock of ``now_ms``; used only for
        the displayed time of orders.
    """

    def __init__(
        self,
        lease_ms: int,
        order_timeout_ms: int = ORDER_TIMEOUT_MS,
        wall_clock_offset_ms: int = 0,
    ):
        self._wall_clock_offset_ms = wall_clock_offset_ms
        self._unfenced_wait_ms = lease_ms + order_timeout_ms
        self._fleet = Fleet()
        self._specs: dict[str, UpstreamSpec] = {}
        self._fleet_since_ms = 0
        self._term = 0
        self._leader_since_ms = 0
        self._sequence = 0
        self._is_refused = False
        self._engines: dict[str, _Engine] = {}
        self._bucket = _WeightLoadBucket(0)

    def handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        """Handle an event and yield the resulting actions.

        :param now_ms: monotonic clock of this host.
        :return: actions, to be executed in this order.
        """
        yield from self._handle(event, now_ms)

    @dispatchmethod
    def _handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        raise TypeError(f"unexpected event: {type(event).__name__}")

    @_handle.register
    def _(self, event: LeadershipGained, now_ms: int) -> Iterator[Any]:
        self._term = event.term
        self._leader_since_ms = now_ms
        self._sequence = 0
        self._is_refused = False
        self._engines = {}
        self._bucket = _WeightLoadBucket(now_ms)
        yield from ()

    @_handle.register
    def _(self, event: LeadershipLost, now_ms: int) -> Iterator[Any]:
        self._term = 0
        self._engines = {}
        yield from ()

    @_handle.register
    def _(self, event: FleetChanged, now_ms: int) -> Iterator[Any]:
        self._fleet = event.fleet
        self._specs = {upstream.name: upstream for upstream in event.fleet.upstreams}
        self._fleet_since_ms = now_ms
        for engine in self._engines.values():
            engine.retries = {}
        yield from ()

    @_handle.register
    def _(self, event: EngineReported, now_ms: int) -> Iterator[Any]:
        spec = self._specs.get(event.upstream)
        if spec is None or not self._may_send_orders(spec, now_ms):
            return
        engine = self._engines.setdefault(spec.name, _Engine())
        if engine.in_flight is not None or event.asked_ms < engine.valid_from_ms:
            return
        for difference in find_differences(spec, event):
            order_id = build_order_id(self._fleet.version, spec.name, difference)
            if self._is_due(engine, order_id, difference, now_ms):
                yield from self._issue(spec.name, order_id, difference, now_ms)
                return

    @_handle.register
    def _(self, event: OrderCommitted, now_ms: int) -> Iterator[Any]:
        order = event.order
        engine = self._engines.get(order.upstream)
        if engine is None or engine.in_flight != order:
            return
        spec = self._specs.get(order.upstream)
        if spec is None or engine.version != self._fleet.version:
            engine.in_flight = None
            return
        yield SendOrder(spec.address, order)

    @_handle.register
    def _(self, event: OrderEnded, now_ms: int) -> Iterator[Any]:
        order = event.order
        engine = self._engines.get(order.upstream)
        if engine is None or engine.in_flight != order:
            return
        engine.in_flight = None
        engine.valid_from_ms = now_ms
        retry = engine.retries.setdefault(order.order_id, _Retry())
        wait_ms = min(MAX_RETRY_MS, RETRY_MS << min(retry.attempts, 16))
        retry.attempts += 1
        retry.due_ms = now_ms + wait_ms
        if event.outcome is OrderOutcome.REFUSED:
            self._is_refused = True
            yield Log("order_refused", _log_fields(order))

    def _may_send_orders(self, spec: UpstreamSpec, now_ms: int) -> bool:
        if not self._term or self._is_refused or spec.is_leaving:
            return False
        leader_for_ms = now_ms - self._leader_since_ms
        return spec.honours_fencing or leader_for_ms >= self._unfenced_wait_ms

    def _is_due(
        self, engine: _Engine, order_id: str, difference: Difference, now_ms: int
    ) -> bool:
        """Return whether an order is due; a model load that is due takes a token."""
        retry = engine.retries.get(order_id)
        if retry is not None and now_ms < retry.due_ms:
            return False
        if difference.kind is OrderKind.UNLOAD_MODEL:
            return now_ms - self._fleet_since_ms >= UNLOAD_DELAY_MS
        if difference.kind is OrderKind.LOAD_MODEL:
            return self._bucket.take(self._fleet.policy, now_ms)
        return True

    def _issue(
        self, upstream: str, order_id: str, difference: Difference, now_ms: int
    ) -> Iterator[Any]:
        self._sequence += 1
        order = OrderIssued(
            order_id=order_id,
            upstream=upstream,
            kind=difference.kind.value,
            name=difference.name,
            term=self._term,
            sequence=self._sequence,
            time_ms=now_ms + self._wall_clock_offset_ms,
        )
        engine = self._engines[upstream]
        engine.in_flight = order
        engine.version = self._fleet.version
        yield ProposeOrder(order)


def find_differences(
    spec: UpstreamSpec, report: EngineReported
) -> Iterator[Difference]:
    """Yield the differences between an engine and the configuration, loads first.

    If the configuration names no models or no role for the engine, its models or its
    role are left unchanged.
    """
    for name in spec.models:
        if name not in report.models:
            yield Difference(OrderKind.LOAD_MODEL, name)
    if spec.role and spec.role != report.role:
        yield Difference(OrderKind.SET_ROLE, spec.role)
    for name in report.models:
        if spec.models and name not in spec.models:
            yield Difference(OrderKind.UNLOAD_MODEL, name)


def build_order_id(version: int, upstream: str, difference: Difference) -> str:
    """Return an order id, equal for the same difference at the same version."""
    text = f"{version}\0{upstream}\0{difference.kind}\0{difference.name}"
    digest = hashlib.sha256(text.encode("utf-8", "surrogatepass"))
    return digest.hexdigest()[:ORDER_ID_DIGITS]


def _log_fields(order: OrderIssued) -> tuple[tuple[str, Any], ...]:
    return (
        ("order_id", order.order_id),
        ("upstream", order.upstream),
        ("kind", order.kind),
        ("term", order.term),
        ("sequence", order.sequence),
    )
