"""Scheduling of the upstreams of all services, within allowances and retry budgets.

The leader of the control group schedules for all entry hosts. An entry host that
cannot reach the leader schedules its own requests, with its share of each limit.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from .actions import Received, Send, Tick
from .allowances import AllowanceLimits, Allowances
from .brittle_upstreams import BrittleUpstreams
from .crash_guard import CrashGuard
from .fleet import AccountSpec, Fleet, Policy, UpstreamKind, UpstreamSpec
from .host_reach import HostReach
from .messages import (
    CancelSlotRequest,
    Grant,
    HeldSlot,
    LinkReport,
    ListedUpstream,
    Release,
    SentRepeats,
    SlotRefusal,
    SlotRequest,
    Spending,
)
from .releases import NOT_EXECUTED_CAUSES, UNSENT_CAUSES, build_unsent_release
from .retry_budgets import RetryBudgets, RetryLimits
from .rollouts.exposure import RolloutLimits
from .rollouts.gates import VersionGates
from .routes import RoutedService, RoutingConfig
from .scheduler import CellScheduler
from .scheduler_events import CrashesChanged, FleetChanged, HostLost
from .scheduling_options import SchedulingOptions
from .single_dispatch import dispatchmethod
from .stream_origins import StreamOrigins
from .upstream_limits import UpstreamLimits
from .verdicts import Reason

# The crash guard judges whole requests together with the parts of prompts.
NO_STRIKE_LIMIT = 2**31
SERVICE_POLICY = Policy(
    slot_lease_ms=3000,
    suspect_after_ms=1500,
    token_gap_ms=1000.0,
    slow_token_ms=1000.0,
    settle_ms=100,
    preempts=False,
    evicts=False,
    sheds_by_goal=True,
    learns_slots=False,
    max_backoff_ms=4000,
    died_backoff_ms=150,
    poison_strikes=NO_STRIKE_LIMIT,
    affinity_ms=0,
)
INITIAL_PREFILL_TOKENS_PER_S = 30_000
INITIAL_DECODE_TOKENS_PER_S = 200
CHARGE_RETENTION_MS = 60_000
NO_BUDGET_RETRY_MS = 1000
NO_UPSTREAM_RETRY_MS = 1000
UNKNOWN_ORIGIN_RETRY_MS = 300


@dataclass(frozen=True, slots=True)
class SharedLimits:
    """Limits on what all hosts together may use, and options of its scheduling."""

    retries: RetryLimits = field(default_factory=RetryLimits)
    allowances: AllowanceLimits = field(default_factory=AllowanceLimits)
    rollouts: RolloutLimits = field(default_factory=RolloutLimits)
    scheduling: SchedulingOptions = field(default_factory=SchedulingOptions)


@dataclass(frozen=True, slots=True)
class Charge:
    """Charge of a slot request to its account's allowance.

    :param is_repeat: whether it is charged to its service's retry budget too, at the
        grant.
    :param charged_ms: time from which the charge counts.
    :param is_spent: whether the slot was granted, so that the request is sent.
    """

    account: str
    units: float
    service: str
    is_repeat: bool
    charged_ms: int
    is_spent: bool = False


class ServiceSchedulers:
    """Schedulers of all services, one for each.

    :param shared_limits: limits on what all hosts together may use.
    :param origins: versions at which the streams began that callers may resume.
    :param crash_guard: filter of requests that crash upstreams.
    :param limits: limits that upstreams have named.
    :param gates: software versions that requests may go to, by service.
    """

    def __init__(
        self,
        shared_limits: SharedLimits,
        origins: StreamOrigins,
        crash_guard: CrashGuard,
        limits: UpstreamLimits,
        gates: VersionGates | None = None,
    ):
        self._gates = VersionGates() if gates is None else gates
        self._origins = origins
        self._crash_guard = crash_guard
        self._limits = limits
        self._options = shared_limits.scheduling
        self.allowances = Allowances(shared_limits.allowances)
        self.retries = RetryBudgets(shared_limits.retries)
        self.schedulers: dict[str, CellScheduler] = {}
        self.reach = HostReach()
        self.brittle = BrittleUpstreams()
        self._routing = RoutingConfig()
        self._upstreams: tuple[ListedUpstream, ...] = ()
        self._charges: dict[str, Charge] = {}
        self._purged_ms = 0

    def handle(self, event: Any, now_ms: int) -> Iterator[Send]:
        """Handle a tick, a received message or the loss of an entry host."""
        yield from self._handle_event(event, now_ms)
        yield from self._apply_reach(now_ms)

    def apply_routing(self, routing: RoutingConfig, now_ms: int) -> Iterator[Send]:
        """Apply a new configuration."""
        self._routing = routing
        self.allowances.set_accounts(routing.accounts, now_ms)
        yield from self._update_schedulers(now_ms)

    def apply_upstreams(
        self, upstreams: tuple[ListedUpstream, ...], now_ms: int
    ) -> Iterator[Send]:
        """Apply a new list of upstreams."""
        self._upstreams = upstreams
        names = {upstream.name for upstream in upstreams}
        self.reach.retain(names)
        self.brittle.retain(names)
        yield from self._update_schedulers(now_ms)

    def _update_schedulers(self, now_ms: int) -> Iterator[Send]:
        services = {service.name: service for service in self._routing.services}
        accounts = tuple(
            [AccountSpec(account.name, "") for account in self._routing.accounts]
        )
        specs: dict[str, list[UpstreamSpec]] = {}
        for listed in self._upstreams:
            service = services.get(listed.service)
            if service is not None:
                specs.setdefault(service.name, []).append(_build_spec(service, listed))
        for name in specs.keys() - self.schedulers.keys():
            blank = Fleet(policy=SERVICE_POLICY)
            kind = _kind_of(services[name])
            self.schedulers[name] = CellScheduler(
                name,
                blank,
                kind,
                self._crash_guard,
                self._limits,
                self.reach,
                self.brittle,
                self._gates,
                self._options,
            )
        # A scheduler whose service has lost all upstreams must be updated too.
        for name, scheduler in self.schedulers.items():
            fleet = Fleet(
                version=self._routing.version,
                upstreams=tuple(specs.get(name, ())),
                accounts=accounts,
                policy=SERVICE_POLICY,
            )
            if fleet == scheduler.fleet:
                continue
            if name not in services:
                # Their routes are gone too, and they would wait until they are late.
                yield from self._track_charges(scheduler.refuse_queued(), now_ms)
            changed = FleetChanged(fleet)
            yield from self._track_charges(scheduler.handle(changed, now_ms), now_ms)

    def _apply_reach(self, now_ms: int) -> Iterator[Any]:
        """Use the upstreams again that hosts without links had reported."""
        yield from self.reach.take_logs()
        for upstream in self.reach.take_reinstated():
            for scheduler in self.schedulers.values():
                actions = scheduler.reinstate(upstream, now_ms)
                yield from self._track_charges(actions, now_ms)

    @dispatchmethod
    def _handle_event(self, event: Any, now_ms: int) -> Iterator[Send]:
        raise TypeError(f"unexpected event for the service schedulers: {event!r}")

    @_handle_event.register
    def _(self, event: Tick, now_ms: int) -> Iterator[Send]:
        yield from self._pass_to_all(event, now_ms)
        if now_ms - self._purged_ms >= CHARGE_RETENTION_MS:
            self._purge_charges(now_ms)

    @_handle_event.register
    def _(self, event: HostLost, now_ms: int) -> Iterator[Send]:
        self.reach.leave(event.host)
        yield from self._pass_to_all(event, now_ms)

    @_handle_event.register
    def _(self, event: CrashesChanged, now_ms: int) -> Iterator[Send]:
        yield from self._pass_to_all(event, now_ms)

    @_handle_event.register
    def _(self, event: Received, now_ms: int) -> Iterator[Send]:
        yield from self._handle_message(event.message, event, now_ms)

    def _pass_to_all(self, event: Any, now_ms: int) -> Iterator[Send]:
        for scheduler in tuple(self.schedulers.values()):
            yield from self._track_charges(scheduler.handle(event, now_ms), now_ms)

    @dispatchmethod
    def _handle_message(
        self, message: Any, event: Received, now_ms: int
    ) -> Iterator[Send]:
        raise TypeError(f"unexpected message to the service schedulers: {message!r}")

    @_handle_message.register
    def _(self, message: SlotRequest, event: Received, now_ms: int) -> Iterator[Send]:
        scheduler = self.schedulers.get(message.cell)
        if scheduler is None:
            yield _build_refusal(
                event, message, Reason.NO_UPSTREAM, NO_UPSTREAM_RETRY_MS
            )
            return
        message = self._origins.with_version(message, now_ms)
        if message.is_resumed and not message.software_version:
            yield _build_refusal(
                event, message, Reason.UNKNOWN_ORIGIN, UNKNOWN_ORIGIN_RETRY_MS
            )
            return
        event = replace(event, message=message)
        if message.request_id not in self._charges:
            refusal = self._charge(message, event, now_ms)
            if refusal is not None:
                yield refusal
                return
        yield from self._track_charges(scheduler.handle(event, now_ms), now_ms)

    @_handle_message.register
    def _(
        self, message: CancelSlotRequest, event: Received, now_ms: int
    ) -> Iterator[Send]:
        self._refund_charge(message.request_id, now_ms)
        yield from self._forward_to_scheduler(message.cell, event, now_ms)

    @_handle_message.register
    def _(self, message: Spending, event: Received, now_ms: int) -> Iterator[Send]:
        at_ms = now_ms - message.age_ms
        self.allowances.record(message.client_account, message.units, at_ms, now_ms)
        yield from ()

    @_handle_message.register
    def _(self, message: SentRepeats, event: Received, now_ms: int) -> Iterator[Send]:
        at_ms = now_ms - message.age_ms
        self.retries.record(message.service, message.count, at_ms, now_ms)
        yield from ()

    @_handle_message.register
    def _(self, message: LinkReport, event: Received, now_ms: int) -> Iterator[Send]:
        self.reach.record_report(event.sender, message, now_ms)
        yield from ()

    @_handle_message.register
    def _(self, message: HeldSlot, event: Received, now_ms: int) -> Iterator[Send]:
        yield from self._forward_to_scheduler(message.slot_request.cell, event, now_ms)

    @_handle_message.register
    def _(self, message: Release, event: Received, now_ms: int) -> Iterator[Send]:
        charge = self._charges.pop(message.request_id, None)
        if charge is not None and message.cause in NOT_EXECUTED_CAUSES:
            self._refund_allowance(charge, now_ms)
        if charge is not None and message.cause in UNSENT_CAUSES:
            self._refund_retry(charge, now_ms)
        yield from self._forward_to_scheduler(message.cell, event, now_ms)

    def _forward_to_scheduler(
        self, cell: str, event: Received, now_ms: int
    ) -> Iterator[Send]:
        scheduler = self.schedulers.get(cell)
        if scheduler is not None:
            yield from self._track_charges(scheduler.handle(event, now_ms), now_ms)

    def _charge(
        self, slot_request: SlotRequest, event: Received, now_ms: int
    ) -> Send | None:
        """Charge a slot request to its allowance, or refuse it.

        A repeat is refused if the retry budget is spent, but charged at its grant:
        searches that wait must not keep others from a retry.
        """
        units = slot_request.allowance_units
        wait_ms = self.allowances.charge(slot_request.client_account, units, now_ms)
        if wait_ms:
            return _build_refusal(event, slot_request, Reason.RATE_LIMITED, wait_ms)
        if not slot_request.is_repeat:
            self.retries.count_first_send(slot_request.cell, now_ms)
        elif not self.retries.allows(slot_request.cell, now_ms):
            self.allowances.refund(slot_request.client_account, units, now_ms, now_ms)
            return _build_refusal(
                event, slot_request, Reason.RETRY_BUDGET, NO_BUDGET_RETRY_MS
            )
        self._charges[slot_request.request_id] = Charge(
            slot_request.client_account,
            units,
            slot_request.cell,
            slot_request.is_repeat,
            now_ms,
        )
        return None

    def _refund_charge(self, request_id: str, now_ms: int) -> None:
        charge = self._charges.pop(request_id, None)
        if charge is None:
            return
        self._refund_allowance(charge, now_ms)
        self._refund_retry(charge, now_ms)

    def _refund_allowance(self, charge: Charge, now_ms: int) -> None:
        self.allowances.refund(charge.account, charge.units, charge.charged_ms, now_ms)

    def _refund_retry(self, charge: Charge, now_ms: int) -> None:
        if charge.is_repeat and charge.is_spent:
            self.retries.refund(charge.service, charge.charged_ms, now_ms)

    def _track_charges(self, actions: Iterator[Any], now_ms: int) -> Iterator[Any]:
        withdrawn: deque[Send] = deque()
        yield from self._spend_charges(actions, withdrawn, now_ms)
        while withdrawn:
            actions = self._withdraw(withdrawn.popleft(), now_ms)
            yield from self._spend_charges(actions, withdrawn, now_ms)

    def _spend_charges(
        self, actions: Iterator[Any], withdrawn: deque[Send], now_ms: int
    ) -> Iterator[Any]:
        """Spend the charges of grants, and refund those of refusals.

        :param withdrawn: grants that the retry budget doesn't allow are added to it.
        """
        for action in actions:
            message = action.message if isinstance(action, Send) else None
            if isinstance(message, SlotRefusal):
                self._refund_charge(message.request_id, now_ms)
            elif isinstance(message, Grant) and not self._spend(message, now_ms):
                withdrawn.append(action)
                continue
            yield action

    def _withdraw(self, granted: Send, now_ms: int) -> Iterator[Any]:
        """Refuse a slot request whose grant was not sent, and free its slot."""
        grant = granted.message
        yield Send(
            granted.to_host,
            SlotRefusal(
                grant.request_id, grant.cell, Reason.RETRY_BUDGET, NO_BUDGET_RETRY_MS
            ),
        )
        release = Received(granted.to_host, 0, build_unsent_release(grant))
        yield from self.schedulers[grant.cell].handle(release, now_ms)

    def _spend(self, grant: Grant, now_ms: int) -> bool:
        """Charge a grant, since its request is sent now.

        :return: whether the retry budget allows it.
        """
        charge = self._charges.get(grant.request_id)
        if charge is None or charge.is_spent:
            return True
        if charge.is_repeat and not self.retries.take(charge.service, now_ms):
            return False
        self.allowances.move_charge(
            charge.account, charge.units, charge.charged_ms, now_ms
        )
        self._charges[grant.request_id] = replace(
            charge, charged_ms=now_ms, is_spent=True
        )
        return True

    def _purge_charges(self, now_ms: int) -> None:
        self._purged_ms = now_ms
        oldest_ms = now_ms - CHARGE_RETENTION_MS
        expired = [
            request_id
            for request_id, charge in self._charges.items()
            if charge.charged_ms < oldest_ms
        ]
        for request_id in expired:
            del self._charges[request_id]


def _kind_of(service: RoutedService) -> UpstreamKind:
    return UpstreamKind.SERVICE if service.engine is None else UpstreamKind.ENGINE


def _build_spec(service: RoutedService, listed: ListedUpstream) -> UpstreamSpec:
    engine = service.engine
    return UpstreamSpec(
        name=listed.name,
        kind=_kind_of(service),
        data_centre=listed.data_centre,
        address=listed.address,
        service=service.name,
        models=("",),
        is_leaving=listed.is_leaving,
        prefill_tokens_per_s=INITIAL_PREFILL_TOKENS_PER_S,
        decode_tokens_per_s=INITIAL_DECODE_TOKENS_PER_S,
        kv_capacity_tokens=engine.kv_capacity_tokens if engine else 1,
        max_slots=listed.slots,
        pool=service.name,
        software_version=listed.software_version,
        lifetime=listed.lifetime,
    )


def _build_refusal(
    event: Received, slot_request: SlotRequest, reason: Reason, retry_after_ms: int
) -> Send:
    refusal = SlotRefusal(
        slot_request.request_id, slot_request.cell, reason, retry_after_ms
    )
    return Send(event.sender, refusal)
