"""Coordinators and gateways in virtual time, with a network that can be partitioned."""

import json
import random
from collections import defaultdict

from peridotfront import wire
from peridotfront.core.actions import Log, Received, Send, Tick
from peridotfront.core.allowances import AllowanceLimits
from peridotfront.core.config_follower import ConfigActivated
from peridotfront.core.control_types import (
    ConfigApplied,
    ControlTiming,
    OperatorProposal,
    OperatorProposalResult,
    OperatorRollout,
    OperatorRolloutResult,
    OperatorStateQuery,
    OperatorStateResult,
    OperatorUnavailable,
)
from peridotfront.core.controller import Controller
from peridotfront.core.coordinator import Coordinator
from peridotfront.core.gateway_events import (
    SeedsChanged,
    SlotGranted,
    SlotRefused,
    SlotReleased,
    SlotRequestCancelled,
    SlotRequested,
)
from peridotfront.core.gateway_role import GatewayRole
from peridotfront.core.messages import (
    ConfigProposal,
    ControlSnapshot,
    ListedUpstream,
    ReleaseCause,
    SlotRequest,
)
from peridotfront.core.raft import PersistAction, Raft, RaftTiming
from peridotfront.core.raft_types import RoleChanged
from peridotfront.core.releases import build_release
from peridotfront.core.retry_budgets import RetryLimits
from peridotfront.core.routing_events import RoutingChanged, UpstreamsListed
from peridotfront.core.service_schedulers import SharedLimits
from peridotfront.platform.configuration import parse_routing
from peridotfront.routed_control import FIRST_TIMEOUT_RATIO, build_group_policy
from peridotfront.routed_entry import LEADERLESS_LIST_AFTER_MS

from .raft_group import Disk

TICK_MS = 10
DELAY_MS = 2
SEEDS = ("c1", "c2", "c3")
LIMITS = SharedLimits(RetryLimits(0.2, 10, 10_000), AllowanceLimits(0.1, 1000))
ACCOUNT = {
    "Name": "club",
    "ApiKeys": ["k1"],
    "Priority": 1,
    "Unit": "tokens",
    "PlainTokens": 200,
    "RatePerS": 1000,
    "Burst": 2000,
}


def content(
    version,
    *,
    routes=("/a/",),
    rate=1000,
    dropped_service="",
    accounts=("club",),
):
    """Return a configuration in the operators' format."""
    services = [
        {"Name": "models", "Engine": {"Slots": 4, "KvCapacity": 500_000}},
        {"Name": "ledger"},
    ]
    return json.dumps(
        {
            "Version": version,
            "Routes": [
                {
                    "Name": f"r{prefix}",
                    "Host": "h.example",
                    "Prefix": prefix,
                    "Kind": "streaming",
                    "TimeoutMs": 8000,
                    "GoalMs": 1000,
                    "GapTargetMs": 800,
                    "Priority": 0,
                    "Service": "models",
                    "Attempts": 1,
                }
                for prefix in routes
            ],
            "Services": [
                service for service in services if service["Name"] != dropped_service
            ],
            "Tenants": [
                {**ACCOUNT, "Name": name, "ApiKeys": [f"k-{name}"], "RatePerS": rate}
                for name in accounts
            ],
        }
    )


def names_of(text):
    """Return the names of a comma-separated list."""
    return tuple(text.split(","))


def listed(
    name,
    service="models",
    *,
    slots=4,
    data_centre="dc1",
    is_leaving=False,
    software_version="v1",
):
    """Return an entry of the platform's upstream list."""
    address = f"10.0.0.{sum(name.encode()) % 250}:80"
    return ListedUpstream(
        name, service, address, data_centre, slots, is_leaving, software_version
    )


class ControlHost:
    """Process of a control host with its disk.

    :param seeds: seeds in its settings; None for those of the group.
    """

    def __init__(self, group, name, is_first_start, seeds=None):
        self.group = group
        self.name = name
        self.seeds = seeds
        self.disk = Disk(group.random.getrandbits(62) or 1)
        self.may_bootstrap = is_first_start
        self.is_first_start = is_first_start
        self.logs = []
        self.start()

    def start(self):
        raft = Raft(
            self.name,
            self.disk.incarnation,
            self.seeds or self.group.seeds,
            self.disk.load(),
            RaftTiming(first_timeout_ratio=FIRST_TIMEOUT_RATIO),
            self.group.random.random,
            build_group_policy(self.may_bootstrap, is_first_start=self.is_first_start),
        )
        self.raft = raft
        self.applied = []
        controller = Controller(
            self.name,
            raft,
            "dc1",
            (),
            wire.encode,
            lambda data: wire.decode(ControlSnapshot, data),
            ControlTiming(snapshot_entries=20),
        )
        self.role = Coordinator(self.name, controller, self.group.limits)
        self.incarnation = self.disk.incarnation

    def act(self, action):
        if isinstance(action, PersistAction):
            self.disk.run(action)
        elif isinstance(action, ConfigApplied):
            routing = parse_routing(action.content, action.version)
            self.group.feed(self.name, RoutingChanged(routing))
        elif isinstance(
            action,
            OperatorProposalResult
            | OperatorRolloutResult
            | OperatorStateResult
            | OperatorUnavailable,
        ):
            self.group.answers[action.operation_id] = action
        elif isinstance(action, Log):
            self.logs.append(action)
        else:
            assert isinstance(action, RoleChanged), action


class EntryHost:
    """Process of an entry host."""

    def __init__(self, group, name, data_centre):
        self.group = group
        self.name = name
        self.data_centre = data_centre
        self.start()

    def start(self):
        self.incarnation = self.group.random.getrandbits(62) or 1
        self.role = GatewayRole(
            self.name,
            self.incarnation,
            self.data_centre,
            self.group.seeds,
            self.group.limits,
        )
        self.logs = []
        self.versions = []
        self.granted = {}
        self.refused = {}
        self.slot_requests = {}

    def act(self, action):
        if isinstance(action, ConfigActivated):
            self.versions.append(action.version)
            routing = parse_routing(action.content, action.version)
            self.group.feed(self.name, RoutingChanged(routing))
        elif isinstance(action, SlotGranted):
            request_id = action.grant.request_id
            assert request_id not in self.granted, "granted twice"
            self.granted[request_id] = action
            self.group.granted_ms[request_id] = self.group.now_ms
        elif isinstance(action, SlotRefused):
            self.refused[action.refusal.request_id] = action
        else:
            assert isinstance(action, Log), action
            self.logs.append(action)

    def request_slot(self, request_id, **fields):
        values = {
            "request_id": request_id,
            "cell": "models",
            "model": "",
            "tier": 1,
            "client_account": "club",
            "prompt_tokens": 100,
            "output_tokens": 10,
            "prefix_hashes": (),
            "fingerprint": 1,
            "deadline_ms": 5000,
            "goal_ms": 1000,
            "allowance_units": 0,
        }
        slot_request = SlotRequest(**{**values, **fields})
        self.slot_requests[request_id] = slot_request
        self.group.feed(self.name, SlotRequested(slot_request))

    def cancel(self, request_id):
        self.group.feed(self.name, SlotRequestCancelled(request_id))

    def release(self, request_id, cause=ReleaseCause.COMPLETED):
        upstream = self.granted[request_id].grant.upstream
        release = build_release(self.slot_requests[request_id], upstream, cause)
        self.group.feed(self.name, SlotReleased(release))


class RoutedGroup:
    """Control and entry hosts on one virtual clock.

    :param controls: names of the control hosts.
    :param entries: data centre by entry host name.
    :param seed: seed of all randomness.
    :param tick_ms: time between two ticks of each host.
    :param limits: limits that all hosts share.
    """

    def __init__(
        self,
        controls=("c1", "c2", "c3"),
        entries=None,
        seed=0,
        tick_ms=TICK_MS,
        limits=LIMITS,
    ):
        self.limits = limits
        self.random = random.Random(seed)
        self.tick_ms = tick_ms
        self.now_ms = 0
        self.seeds = SEEDS
        self.cuts = set()
        self.down = set()
        self.in_flight = []
        self.answers = {}
        self.granted_ms = {}
        self.operation_id = 0
        self.listed = ()
        self.sent = defaultdict(int)
        self.hosts = {}
        for name in controls:
            self.hosts[name] = ControlHost(self, name, is_first_start=True)
        data_centres = {"e1": "dc1", "e2": "dc2"} if entries is None else entries
        for name, data_centre in data_centres.items():
            self.hosts[name] = EntryHost(self, name, data_centre)

    @property
    def controls(self):
        return [h for h in self.hosts.values() if isinstance(h, ControlHost)]

    @property
    def entries(self):
        return [h for h in self.hosts.values() if isinstance(h, EntryHost)]

    def add_control(self, name, seeds=None):
        self.hosts[name] = ControlHost(self, name, is_first_start=False, seeds=seeds)

    def set_seeds(self, seeds):
        self.seeds = seeds
        for host in self.controls:
            host.raft.set_configured_hosts(seeds)
        for host in self.entries:
            self.feed(host.name, SeedsChanged(seeds))

    def restart(self, name, *, is_blank=False):
        host = self.hosts[name]
        self.down.discard(name)
        if is_blank:
            host.disk = Disk(self.random.getrandbits(62) or 1)
            host.may_bootstrap = False
        host.is_first_start = False
        host.start()

    def leader(self):
        leaders = [
            h
            for h in self.controls
            if h.name not in self.down
            and h.role.is_leading
            and h.raft.holds_quorum(self.now_ms)
        ]
        return leaders[0] if leaders else None

    def await_leader(self):
        self.run_until(self.leader, 10_000)
        return self.leader()

    def cut(self, first, second):
        self.cuts.add(frozenset((first, second)))

    def isolate(self, name):
        for peer in self.hosts:
            if peer != name:
                self.cut(name, peer)

    def heal(self):
        self.cuts.clear()

    def list_upstreams(self, *upstreams):
        """Set the platform's upstream list, which the leader reads every 200 ms."""
        self.listed = tuple(upstreams)

    def put(self, host, version, **fields):
        self.operation_id += 1
        text = content(version, **fields)
        proposal = ConfigProposal(f"p{self.operation_id}", 0, "operator", text, version)
        self.feed(host, OperatorProposal(self.operation_id, proposal))
        return self.operation_id

    def order_rollout(self, host, service, version, period_ms):
        self.operation_id += 1
        order = OperatorRollout(
            self.operation_id, f"o{self.operation_id}", service, version, period_ms
        )
        self.feed(host, order)
        return self.operation_id

    def read(self, host):
        self.operation_id += 1
        self.feed(host, OperatorStateQuery(self.operation_id))
        return self.operation_id

    def feed(self, name, event):
        if name in self.down:
            return
        host = self.hosts[name]
        for action in tuple(host.role.handle(event, self.now_ms)):
            if isinstance(action, Send):
                self._send(host, action)
            else:
                host.act(action)

    def _send(self, host, action):
        self.sent[type(action.message).__name__] += 1
        data = wire.to_proto(action.message).SerializeToString()
        message = wire.decode(type(action.message), data)
        received = Received(host.name, host.incarnation, message)
        due_ms = self.now_ms + DELAY_MS
        self.in_flight.append((due_ms, action.to_host, received))

    def _deliver(self):
        due = [message for message in self.in_flight if message[0] <= self.now_ms]
        self.in_flight = [
            message for message in self.in_flight if message[0] > self.now_ms
        ]
        for _, name, received in due:
            is_cut = frozenset((name, received.sender)) in self.cuts
            is_down = name in self.down or received.sender in self.down
            if name in self.hosts and not is_cut and not is_down:
                self.feed(name, received)

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 1
            self._deliver()
            if self.now_ms % self.tick_ms == 0:
                for name in tuple(self.hosts):
                    self.feed(name, Tick())
            if self.now_ms % 200 == 0:
                self._read_list()

    def _read_list(self):
        leader = self.leader()
        if leader is not None:
            self.feed(leader.name, UpstreamsListed(self.listed))
        for entry in self.entries:
            if entry.role.leaderless_ms(self.now_ms) >= LEADERLESS_LIST_AFTER_MS:
                self.feed(entry.name, UpstreamsListed(self.listed))

    def run_until(self, condition, limit_ms=5000):
        end_ms = self.now_ms + limit_ms
        while not condition():
            assert self.now_ms < end_ms, "the condition was never met"
            self.run(10)
