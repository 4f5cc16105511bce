"""A group of Raft replicas in virtual time, with a network and disks that fail."""

import random
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field

from peridotfront.core.actions import Log, Received, Send, Tick
from peridotfront.core.messages import (
    HardState,
    MembershipChange,
    Replica,
    Snapshot,
    StrikeBatch,
)
from peridotfront.core.raft import (
    AppendEntries,
    Committed,
    InstallSnapshot,
    PersistAction,
    ProposalDropped,
    Propose,
    Raft,
    RaftState,
    RaftTiming,
    Read,
    ReadFailed,
    ReadReady,
    Restore,
    RoleChanged,
    SaveHardState,
    TruncateLog,
)

TICK_MS = 10
MAX_KEPT_MESSAGES = 2000
TIMING = RaftTiming(max_entries_per_append=8, max_chunk_bytes=16, trailing_entries=2)


@dataclass
class Disk:
    """Synced state of a data folder, as storage would load it."""

    incarnation: int
    hard_state: HardState = field(default_factory=HardState)
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list = field(default_factory=list)

    def run(self, persist):
        if isinstance(persist, SaveHardState):
            self.hard_state = persist.hard_state
        elif isinstance(persist, AppendEntries):
            expected = self.snapshot.last_index + len(self.entries) + 1
            assert persist.entries[0].index == expected, "a gap in the log"
            self.entries += persist.entries
        elif isinstance(persist, TruncateLog):
            del self.entries[persist.from_index - self.snapshot.last_index - 1 :]
        elif isinstance(persist, InstallSnapshot):
            self.snapshot = persist.snapshot
            self.entries = list(persist.entries)

    def load(self):
        return RaftState(self.hard_state, self.snapshot, tuple(self.entries))


class Host:
    """Control host: a replica, its disk, its clock and a state machine."""

    def __init__(self, name, disk, clock_rate=1.0):
        self.name = name
        self.disk = disk
        self.clock_rate = clock_rate
        self.clock_ms = 0.0
        self.raft = None
        self.is_frozen = False
        self.writes_left = None
        self.inbox = []
        self.applied = []
        self.applied_index = 0


class Group:
    """Replicas on a shared virtual clock, with a simulated network.

    :param names: host names.
    :param seed: seed of all randomness: jitter, delays, loss and incarnations.
    :param timing: timeouts and size limits of the protocol.
    """

    def __init__(self, names="abc", seed=0, timing=TIMING):
        self.names = tuple(names)
        self.timing = timing
        self.random = random.Random(seed)
        self.now_ms = 0
        self.loss = 0.0
        self.doubling = 0.0
        self.delay_ms = (1, 5)
        self.cuts = set()
        self.in_flight = []
        self.leaders = {}
        self.log = {}
        self.logged = Counter()
        self.completed = set()
        self.dropped = []
        self.reads = {}
        self.read_results = {}
        self.delivered = deque(maxlen=MAX_KEPT_MESSAGES)
        self.sent = deque(maxlen=MAX_KEPT_MESSAGES)
        self.votes = defaultdict(set)
        self.event_counts = Counter()
        self.written = {}
        self.read_id = 0
        self.sequence = 0
        self.hosts = {name: Host(name, self.blank_disk()) for name in self.names}
        for name in self.names:
            self.start(name)

    def blank_disk(self):
        return Disk(self.random.getrandbits(62) or 1)

    def start(self, name):
        host = self.hosts[name]
        host.raft = self.build_raft(name, host.disk.load())
        host.is_frozen = False
        host.inbox = []
        host.applied = []
        host.applied_index = 0

    def build_raft(self, name, state):
        """Return the replica of a host with the state that it has loaded."""
        return Raft(
            name,
            self.hosts[name].disk.incarnation,
            self.configured_hosts(name),
            state,
            self.timing,
            self.random.random,
            self.policy(name),
        )

    def configured_hosts(self, name):
        """Return the hosts that the settings of a host name."""
        return self.names

    def policy(self, name):
        """Return the rules of the group for a host; None for those of a fixed group."""
        return

    def crash(self, name):
        self.hosts[name].raft = None

    def lose_disk(self, name):
        self.crash(name)
        self.hosts[name].disk = self.blank_disk()

    def lose_power(self, name, writes_left):
        """Make a host lose power after the given number of further writes."""
        self.hosts[name].writes_left = writes_left

    def freeze(self, name):
        self.hosts[name].is_frozen = True

    def thaw(self, name):
        host = self.hosts[name]
        host.is_frozen = False
        inbox, host.inbox = host.inbox, []
        for event in inbox:
            self.handle(name, event)

    def cut(self, sender, receiver):
        self.cuts.add((sender, receiver))

    def isolate(self, name):
        for peer in self.names:
            self.cuts |= {(name, peer), (peer, name)}

    def split(self, pattern):
        """Partition the hosts into two sides by the bits of a number."""
        sides = {name: pattern >> i & 1 for i, name in enumerate(self.names)}
        self.cuts |= {
            (sender, receiver)
            for sender in self.names
            for receiver in self.names
            if sides[sender] != sides[receiver]
        }

    def heal(self):
        self.cuts = set()

    def handle(self, name, event):
        """Let a host handle an event in one turn, or queue it while it is frozen."""
        host = self.hosts[name]
        if host.raft is None:
            return
        if host.is_frozen:
            host.inbox.append(event)
            return
        self.run(host, list(host.raft.handle(event, host.clock_ms)))

    def run(self, host, actions):
        """Run the writes, then all other actions; a power loss ends the turn."""
        writes = [a for a in actions if isinstance(a, PersistAction)]
        for write in writes:
            self.write_change(host, write)
            if host.writes_left is not None:
                host.writes_left -= 1
                if host.writes_left == 0:
                    host.writes_left = None
                    self.crash(host.name)
                    return
        for action in actions:
            self.run_action(host, action)

    def write_change(self, host, write):
        host.disk.run(write)
        self.event_counts["truncation"] += isinstance(write, TruncateLog)
        identity = Replica(host.name, host.disk.incarnation)
        if isinstance(write, SaveHardState) and write.hard_state.voted_for is not None:
            self.votes[write.hard_state.term, write.hard_state.voted_for].add(identity)
        if isinstance(write, AppendEntries):
            for entry in write.entries:
                recorded = self.written.setdefault((entry.index, entry.term), entry)
                assert recorded == entry, f"two entries {entry.index} of one term"

    def check_election(self, host, term):
        """Check that a new leader is the only one and had a quorum of votes."""
        identity = Replica(host.name, host.disk.incarnation)
        recorded = self.leaders.setdefault(term, identity)
        assert recorded == identity, f"two leaders in term {term}"
        votes = self.votes[term, identity].intersection(host.raft.voters)
        needed = len(host.raft.voters) // 2 + 1
        assert len(votes) >= needed, f"{len(votes)} votes in term {term}"

    def run_action(self, host, action):
        if isinstance(action, Send):
            self.send(host, action)
        elif isinstance(action, Committed):
            self.apply(host, action.entry)
        elif isinstance(action, Restore):
            self.event_counts["snapshot"] += bool(host.applied_index)
            host.applied = decode_state(action.data)
            host.applied_index = action.last_index
        elif isinstance(action, RoleChanged) and action.role == "leader":
            self.check_election(host, action.term)
        elif isinstance(action, ReadReady):
            self.finish_read(host, action.read_id)
        elif isinstance(action, ReadFailed):
            self.read_results[action.read_id] = None
        elif isinstance(action, ProposalDropped):
            self.dropped.append(action.command)
        elif isinstance(action, Log):
            self.logged[action.event] += 1
            self.event_counts["member change"] += action.event == "raft_members_changed"

    def apply(self, host, entry):
        assert entry.index == host.applied_index + 1, "applied out of order"
        recorded = self.log.setdefault(entry.index, entry)
        assert recorded == entry, f"replicas disagree on entry {entry.index}"
        host.applied_index = entry.index
        if isinstance(entry.command, StrikeBatch):
            host.applied.append(entry.command.time_ms)
            if host.raft.is_leader:
                self.completed.add(entry.command.time_ms)

    def compact(self, name):
        host = self.hosts[name]
        data = encode_state(host.applied)
        self.run(host, list(host.raft.compact(host.applied_index, data)))

    def send(self, host, action):
        self.sent.append(action)
        copies = 2 if self.random.random() < self.doubling else 1
        if self.random.random() < self.loss:
            copies = 0
        event = Received(host.name, 0, action.message)
        for _ in range(copies):
            due_ms = self.now_ms + self.random.randint(*self.delay_ms)
            self.sequence += 1
            self.in_flight.append((due_ms, self.sequence, action.to_host, event))

    def step(self):
        """Advance by one tick: deliver the messages due, then tick all hosts."""
        self.now_ms += TICK_MS
        for host in self.hosts.values():
            host.clock_ms += TICK_MS * host.clock_rate
        due = sorted([m for m in self.in_flight if m[0] <= self.now_ms])
        self.in_flight = [m for m in self.in_flight if m[0] > self.now_ms]
        for _, _, to_host, event in due:
            if (event.sender, to_host) not in self.cuts:
                self.delivered.append(event)
                self.handle(to_host, event)
        for name in self.names:
            if not self.hosts[name].is_frozen:
                self.handle(name, Tick())

    def run_for(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.step()

    def run_until(self, condition, limit_ms=60_000):
        end_ms = self.now_ms + limit_ms
        while not condition():
            assert self.now_ms < end_ms, "the condition was never met"
            self.step()

    def leader(self):
        """Return the running leader with the highest term, or None."""
        leading = [
            host
            for host in self.hosts.values()
            if host.raft is not None and host.raft.is_leader and not host.is_frozen
        ]
        return max(leading, key=lambda host: host.raft.term, default=None)

    def leader_names(self):
        """Return the names of all hosts that consider themselves leader."""
        hosts = self.hosts.values()
        return [h.name for h in hosts if h.raft is not None and h.raft.is_leader]

    def counts(self):
        """Return the number of events of each type."""
        return {
            "write": len(self.completed),
            "read": len([r for r in self.read_results.values() if r is not None]),
            "election": len(self.leaders),
            **self.event_counts,
        }

    def await_leader(self, limit_ms=60_000):
        self.run_until(
            lambda: (
                self.leader() is not None
                and self.log.get(self.leader().raft.commit_index) is not None
            ),
            limit_ms,
        )
        return self.leader()

    def propose(self, name, value):
        command = StrikeBatch(time_ms=value, reports=())
        self.handle(name, Propose(command))

    def write(self, value, limit_ms=60_000):
        """Propose a value until it is committed, like a client with retries."""
        end_ms = self.now_ms + limit_ms
        while value not in self.completed:
            assert self.now_ms < end_ms, f"value {value} was never committed"
            leader = self.await_leader(limit_ms)
            self.propose(leader.name, value)
            self.run_for(300)

    def read(self, name):
        """Start a read; its result is stored in ``read_results``."""
        self.read_id += 1
        self.reads[self.read_id] = frozenset(self.completed)
        self.handle(name, Read(self.read_id))
        return self.read_id

    def finish_read(self, host, read_id):
        seen = frozenset(host.applied)
        missing = self.reads[read_id] - seen
        assert not missing, f"a read misses the completed writes {missing}"
        self.read_results[read_id] = seen

    def memberships(self):
        """Return the committed memberships in order."""
        commands = [self.log[index].command for index in sorted(self.log)]
        return [c for c in commands if isinstance(c, MembershipChange)]

    def may_lose_disk(self, name):
        """Return whether every membership that may be current survives the loss."""
        committed = max((i for i, e in self.log.items() if is_membership(e)), default=0)
        memberships = [self.log[committed].command] if committed else []
        for host in self.hosts.values():
            later_entries = [e for e in host.disk.entries if e.index > committed]
            memberships += [e.command for e in later_entries if is_membership(e)]
        return all(self.survives_loss(m.voters, name) for m in memberships)

    def survives_loss(self, voters, name):
        intact = [v for v in voters if self.is_intact(v) and v.host != name]
        return len(intact) >= len(voters) // 2 + 1

    def is_intact(self, replica):
        return self.hosts[replica.host].disk.incarnation == replica.incarnation

    def recover(self):
        """End all faults and start every host."""
        self.heal()
        self.loss = 0.0
        self.doubling = 0.0
        self.delay_ms = (1, 5)
        for name in self.names:
            host = self.hosts[name]
            host.writes_left = None
            if host.is_frozen:
                self.thaw(name)
            if host.raft is None:
                self.start(name)

    def is_settled(self):
        """Return whether all hosts are voters and hold the same log."""
        rafts = [host.raft for host in self.hosts.values()]
        if any(raft is None for raft in rafts) or self.leader() is None:
            return False
        expected_voters = {(h.name, h.disk.incarnation) for h in self.hosts.values()}
        members = {
            tuple(sorted((v.host, v.incarnation) for v in r.voters)) for r in rafts
        }
        last_indexes = {host.applied_index for host in self.hosts.values()}
        last_indexes |= {raft.dump().last_index for raft in rafts}
        return members == {tuple(sorted(expected_voters))} and len(last_indexes) == 1


def is_membership(entry):
    return isinstance(entry.command, MembershipChange)


def encode_state(values):
    return ",".join(map(str, values)).encode()


def decode_state(data):
    return [int(value) for value in data.decode().split(",") if value]
