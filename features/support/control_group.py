"""Control and entry hosts in virtual time, with an oracle that checks invariants."""

import random
from collections import Counter
from functools import singledispatchmethod

from peridotfront import wire
from peridotfront.core.actions import Received, Send, Tick
from peridotfront.core.claim_client import (
    AcquireClaim,
    ClaimClient,
    ClaimResolved,
    ClaimUnresolved,
    OutcomeAcknowledged,
    ReportOutcome,
)
from peridotfront.core.config_follower import ConfigActivated, ConfigFollower
from peridotfront.core.control_types import (
    ConfigApplied,
    ControlTiming,
    OperatorClaimQuery,
    OperatorClaimResult,
    OperatorProposal,
    OperatorProposalResult,
    OperatorStateQuery,
    OperatorStateResult,
    OperatorUnavailable,
)
from peridotfront.core.controller import Controller
from peridotfront.core.messages import (
    ChangeStatus,
    Claim,
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
    ConfigProposal,
    ControlSnapshot,
    Heartbeat,
    Outcome,
    StrikeUpdate,
)
from peridotfront.core.raft import PersistAction, Raft, RaftTiming
from peridotfront.core.verdicts import Reason, Verdict

from .raft_group import Disk

TICK_MS = 10
HEARTBEAT_MS = 150
RUN_MS = 60
CONTROL_HOSTS = ("c1", "c2", "c3")
ENTRY_HOSTS = ("e1", "e2", "e3")
TIMING = ControlTiming(snapshot_entries=20, snapshot_slice_records=7)
DONE = Outcome(Verdict.COMPLETED, Reason.NONE, 200, (), b"done", True)
NOT_RUN = Outcome(Verdict.NOT_RUN, Reason.DEADLINE)


def decode(data):
    return wire.decode(ControlSnapshot, data)


class ControlHost:
    """Process of a control host with its disk."""

    def __init__(self, group, name):
        self.group = group
        self.name = name
        self.disk = Disk(group.new_incarnation())
        self.start()

    def start(self):
        raft = Raft(
            self.name,
            self.disk.incarnation,
            CONTROL_HOSTS,
            self.disk.load(),
            RaftTiming(),
            self.group.random.random,
        )
        peers = CONTROL_HOSTS + ENTRY_HOSTS
        self.incarnation = self.group.new_incarnation()
        self.role = Controller(
            self.name,
            raft,
            "dc",
            peers,
            wire.encode,
            decode,
            TIMING,
            entry_hosts=ENTRY_HOSTS,
        )
        self.raft = raft

    def lose_disk(self):
        self.disk = Disk(self.group.new_incarnation())

    def handle(self, event, now_ms):
        actions = list(self.role.handle(event, now_ms))
        for action in actions:
            if isinstance(action, PersistAction):
                self.disk.run(action)
        yield from actions


class EntryHost:
    """Process of an entry host: claims keys, runs requests and reports outcomes."""

    def __init__(self, group, name):
        self.group = group
        self.name = name
        self.start()

    def start(self):
        self.incarnation = self.group.new_incarnation()
        self.claim_client = ClaimClient(self.name, self.incarnation)
        self.follower = ConfigFollower()
        self.sequence = 0
        self.heartbeat_due_ms = 0
        self.running = {}
        self.claim_replies = {}
        self.unresolved = set()
        self.strikes = []

    def handle(self, event, now_ms):
        message = getattr(event, "message", None)
        if isinstance(message, StrikeUpdate):
            self.strikes.append(message)
        yield from self.claim_client.handle(event, now_ms)
        yield from self.follower.handle(event, now_ms)
        if isinstance(event, Tick):
            yield from self._tick(now_ms)

    def _tick(self, now_ms):
        if now_ms >= self.heartbeat_due_ms:
            self.heartbeat_due_ms = now_ms + HEARTBEAT_MS
            self.sequence += 1
            version = self.follower.version
            leader = self.claim_client.leader(now_ms)
            heartbeat = Heartbeat("dc", "entry", self.sequence, version, False, leader)
            yield from [
                Send(p, heartbeat)
                for p in CONTROL_HOSTS + ENTRY_HOSTS
                if p != self.name
            ]
        for claim in [c for c, due_ms in self.running.items() if now_ms >= due_ms]:
            del self.running[claim]
            event = ReportOutcome(claim.key, claim.epoch, DONE)
            yield from self.claim_client.handle(event, now_ms)

    @singledispatchmethod
    def act(self, action, now_ms):
        """Run one action that is not a message."""

    @act.register
    def _(self, action: ClaimResolved, now_ms):
        self.claim_replies[action.request_id] = action.reply
        if action.reply.status is ClaimStatus.GRANTED:
            assert action.request_id not in self.unresolved, (
                "granted after the claim was given up"
            )
            self._granted(action.reply.claim, now_ms)

    @act.register
    def _(self, action: ClaimUnresolved, now_ms):
        self.unresolved.add(action.request_id)

    @act.register
    def _(self, action: OutcomeAcknowledged, now_ms):
        if not action.is_superseded:
            self.group.oracle.record_outcome(action.key, action.epoch)

    @act.register
    def _(self, action: ConfigActivated, now_ms):
        self.group.oracle.record_version(self, action.version, action.content)

    def _granted(self, claim, now_ms):
        if self.claim_client.may_dispatch(claim.key, claim.epoch, now_ms):
            self.group.oracle.runs[claim.key] += 1
            self.running[claim] = now_ms + self.group.run_ms
            return
        outcome = Outcome(Verdict.MAY_HAVE_RUN, Reason.HOLDER_LOST)
        if not claim.is_resume_only:
            outcome = NOT_RUN
        event = ReportOutcome(claim.key, claim.epoch, outcome)
        self.group.handle(self.name, event)


class Oracle:
    """Record of grants, outcomes, versions and runs, with checks of the invariants."""

    def __init__(self):
        self.runs = Counter()
        self.grants = {}
        self.outcomes = set()
        self.versions = {}
        self.content = {}
        self.results = {}

    def record_grant(self, reply):
        claim = reply.claim
        holder = (claim.holder_host, claim.holder_incarnation, reply.request_id)
        recorded = self.grants.setdefault((claim.key, claim.epoch), holder)
        assert recorded == holder, f"{claim.key}: two holders in epoch {claim.epoch}"

    def record_outcome(self, key, epoch):
        self.outcomes.add((key, epoch))

    def record_version(self, entry, version, content):
        last = self.versions.get(entry.name, 0)
        assert version >= last, f"{entry.name}: version {version} after {last}"
        self.versions[entry.name] = version
        recorded = self.content.setdefault(version, content)
        assert recorded == content, f"two contents for version {version}"

    def record_result(self, result):
        if result.status is ChangeStatus.UNAVAILABLE:
            return
        recorded = self.results.setdefault(result.change_id, result)
        assert recorded == result, f"two outcomes of change {result.change_id}"

    def check_runs(self):
        """Check that no key ran more than once."""
        repeated_runs = {key: count for key, count in self.runs.items() if count > 1}
        assert not repeated_runs, f"ran more than once: {repeated_runs}"


class ControlGroup:
    """Control and entry hosts on one virtual clock, with a network that fails.

    :param seed: seed of all randomness.
    """

    def __init__(self, seed=0):
        self.random = random.Random(seed)
        self.now_ms = 0
        self.loss = 0.0
        self.doubling = 0.0
        self.delay_ms = (1, 5)
        self.cuts = set()
        self.in_flight = []
        self.sequence = 0
        self.oracle = Oracle()
        self.answers = {}
        self.applied = []
        self.sent = Counter()
        self.down = set()
        self.frozen = {}
        self.clock_rates = {}
        self.clock_offsets_ms = {}
        self.run_ms = RUN_MS
        self.hosts = {name: ControlHost(self, name) for name in CONTROL_HOSTS}
        self.hosts |= {name: EntryHost(self, name) for name in ENTRY_HOSTS}

    def new_incarnation(self):
        return self.random.getrandbits(62) or 1

    # Faults

    def kill(self, name):
        self.down.add(name)
        self.frozen.pop(name, None)

    def restart(self, name):
        self.down.discard(name)
        self.hosts[name].start()

    def freeze(self, name):
        self.frozen[name] = []

    def thaw(self, name):
        for event in self.frozen.pop(name):
            self.handle(name, event)

    def isolate(self, name):
        for peer in self.hosts:
            self.cuts |= {(name, peer), (peer, name)}

    def drop_outbound(self, name):
        self.cuts |= {(name, peer) for peer in self.hosts}

    def drop_inbound(self, name):
        self.cuts |= {(peer, name) for peer in self.hosts}

    def heal(self):
        self.cuts = set()
        for name in list(self.frozen):
            self.thaw(name)
        for name in list(self.down):
            self.restart(name)

    # Time and messages

    def clock(self, name):
        rate = self.clock_rates.get(name, 1.0)
        return int(self.now_ms * rate) + self.clock_offsets_ms.get(name, 0)

    def handle(self, name, event):
        if name in self.down:
            return
        if name in self.frozen:
            self.frozen[name].append(event)
            return
        host = self.hosts[name]
        for action in list(host.handle(event, self.clock(name))):
            self.run(host, action)

    def run(self, host, action):
        if isinstance(action, Send):
            self.send(host, action)
        elif isinstance(host, EntryHost):
            host.act(action, self.clock(host.name))
        elif isinstance(action, OperatorProposalResult):
            self.oracle.record_result(action.result)
            self.answers[action.operation_id] = action
        elif isinstance(
            action, (OperatorStateResult, OperatorClaimResult, OperatorUnavailable)
        ):
            self.answers[action.operation_id] = action
        elif isinstance(action, ConfigApplied):
            self.applied.append((host.name, action.version))

    def send(self, host, action):
        message = action.message
        self.sent[type(message).__name__] += 1
        is_grant = isinstance(message, ClaimReply)
        if is_grant and message.status is ClaimStatus.GRANTED:
            self.oracle.record_grant(message)
        copies = 2 if self.random.random() < self.doubling else 1
        if self.random.random() < self.loss:
            copies = 0
        for _ in range(copies):
            due_ms = self.now_ms + self.random.randint(*self.delay_ms)
            self.sequence += 1
            event = Received(host.name, host.incarnation, message)
            self.in_flight.append((due_ms, self.sequence, action.to_host, event))

    def step(self):
        self.now_ms += TICK_MS
        due = sorted(m for m in self.in_flight if m[0] <= self.now_ms)
        self.in_flight = [m for m in self.in_flight if m[0] > self.now_ms]
        for _, _, to_host, event in due:
            if (event.sender, to_host) not in self.cuts:
                self.handle(to_host, event)
        for name in [n for n in self.hosts if n not in self.frozen]:
            self.handle(name, Tick())

    def run_for(self, duration_ms):
        for _ in range(duration_ms // TICK_MS):
            self.step()

    def run_until(self, condition, limit_ms=30_000, what="the condition"):
        end_ms = self.now_ms + limit_ms
        while not condition():
            assert self.now_ms < end_ms, f"not reached: {what}"
            self.step()

    # Operators and callers

    def leader(self):
        """Return the working leader's name, or None."""
        working = [
            n for n in CONTROL_HOSTS if n not in self.down and n not in self.frozen
        ]
        leading = [self.hosts[n] for n in working if self.hosts[n].raft.is_leader]
        highest = max(leading, key=lambda host: host.raft.term, default=None)
        return highest.name if highest else None

    def await_leader(self):
        self.run_until(lambda: self.leader() is not None, what="a leader")
        return self.leader()

    def ask(self, name, make_event):
        """Pass an operator's event to a control host; return its operation id."""
        self.sequence += 1
        operation_id = self.sequence
        self.handle(name, make_event(operation_id))
        return operation_id

    def ask_until(self, make_event, is_answer, limit_ms=30_000):
        """Repeat an operator's event at the current leader until it is answered."""
        end_ms = self.now_ms + limit_ms
        while self.now_ms < end_ms:
            operation_id = self.ask(self.await_leader(), make_event)
            self.run_for(300)
            answer = self.answers.get(operation_id)
            if answer is not None and is_answer(answer):
                return answer
        raise AssertionError("no answer to an operator")

    def change(self, proposal):
        """Propose a change until it has a result, like an operator with retries."""
        return self.ask_until(
            lambda operation_id: OperatorProposal(operation_id, proposal),
            lambda a: a.result.status is not ChangeStatus.UNAVAILABLE,
        ).result

    def view(self):
        return self.ask_until(
            OperatorStateQuery, lambda a: isinstance(a, OperatorStateResult)
        ).view

    def lookup(self, key):
        return self.ask_until(
            lambda operation_id: OperatorClaimQuery(operation_id, key),
            lambda a: isinstance(a, OperatorClaimResult),
        ).record

    def request_claim(self, name, key, request_id, epoch=1):
        """Let an entry host request a claim."""
        host = self.hosts[name]
        claim = Claim(key, 1, epoch, name, host.incarnation, "service", False)
        self.handle(name, AcquireClaim(ClaimRequest(request_id, claim)))

    def settle(self, name, key, limit_ms=30_000):
        """Repeat a request at a host until it has an outcome, and return that."""
        end_ms = self.now_ms + limit_ms
        epoch = 1
        while self.now_ms < end_ms:
            self.sequence += 1
            request_id = f"settle-{self.sequence}"
            self.request_claim(name, key, request_id, epoch)
            self.run_for(500)
            reply = self.hosts[name].claim_replies.get(request_id)
            epoch = 1
            if reply is None:
                continue
            if reply.status is ClaimStatus.ENDED:
                if reply.outcome.verdict is not Verdict.NOT_RUN:
                    return reply.outcome
            elif reply.status is ClaimStatus.HELD:
                epoch = reply.claim.epoch + 1
        raise AssertionError(f"{key} got no final outcome")

    def proposal(self, change_id, base_version):
        return ConfigProposal(change_id, base_version, "ann", f"content {change_id}")

    def all_in_force(self, version):
        return all(self.hosts[n].follower.version == version for n in ENTRY_HOSTS)

    def check(self):
        """Check that replicas and hosts agree once all faults are repaired."""
        self.run_until(self.replicas_agree, what="agreement of the replicas")
        self.oracle.check_runs()
        states = [self.hosts[n].role.state.snapshot() for n in CONTROL_HOSTS]
        assert states[0] == states[1] == states[2], "replicas differ"
        version = states[0].configuration.history[-1:]
        if version:
            newest = version[0].version
            self.run_until(lambda: self.all_in_force(newest), what="all in force")
        for key, epoch in sorted(self.oracle.outcomes):
            record = self.lookup(key)
            is_kept = record.claim.epoch > epoch or record.outcome is not None
            assert is_kept, f"the outcome of {key} in epoch {epoch} is lost"

    def replicas_agree(self):
        rafts = [self.hosts[n].raft for n in CONTROL_HOSTS]
        return self.leader() and len({r.last_applied for r in rafts}) == 1
