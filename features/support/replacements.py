"""Control groups in virtual time whose machines are lost and replaced one by one."""

import random
from dataclasses import dataclass

from peridotfront.core.messages import Replica
from peridotfront.core.raft import RaftTiming
from peridotfront.routed_control import FIRST_TIMEOUT_RATIO, build_group_policy

from .raft_group import Group, Host

WRITE_INTERVAL_MS = 250
START_LIMIT_MS = 20_000
# An operator's list of hosts lags, so that seeds may name hosts that are gone.
SEED_LAG_MS = 3000
SEEDS = 3
MAX_DOWN_MS = 2000
LOSSES = 6
MAX_HALT_MS = 7000


@dataclass(frozen=True)
class Fleet:
    """Size of a control group and the losses that it has to bear.

    :param tolerated: hosts that may be lost at the same time.
    :param catch_up_ms: time for which a host counts as lost after it is back.
    """

    hosts: int
    tolerated: int
    catch_up_ms: int


FLEETS = (Fleet(3, 1, 4000), Fleet(4, 1, 4000), Fleet(5, 2, 6000), Fleet(8, 2, 6000))
WAYS = ("leader", "follower", "oldest", "drawn")
KINDS = ("replacement", "planned_replacement", "lost_disk", "kill", "freeze", "cut")


class OpenGroup(Group):
    """Replicas that hosts join and leave, each with seeds of its own."""

    def __init__(self, names, seed, tolerated):
        self.tolerated = tolerated
        self.seeds = {}
        self.joined_ms = {}
        self.gone_ms = {}
        self.is_first_start = True
        self.isolated = set()
        timing = RaftTiming(first_timeout_ratio=FIRST_TIMEOUT_RATIO)
        super().__init__(names, seed, timing)
        self.is_first_start = False

    def start(self, name):
        self.joined_ms.setdefault(name, self.now_ms)
        super().start(name)

    def configured_hosts(self, name):
        return self.seeds.setdefault(name, self.names[:SEEDS])

    def policy(self, name):
        return build_group_policy(self.is_first_start, self.tolerated)

    def remove_host(self, name):
        """Take a host away for ever, with its disk."""
        self.crash(name)
        self.gone_ms[name] = self.now_ms
        del self.hosts[name]
        self.names = tuple([other for other in self.names if other != name])

    def add_host(self, name, seeds):
        """Start a host with an empty disk."""
        self.names = (*self.names, name)
        self.seeds[name] = seeds
        self.hosts[name] = Host(name, self.blank_disk())
        self.isolate_only(self.isolated)
        self.start(name)

    def handle(self, name, event):
        """Let a host handle an event, unless it was taken away."""
        if name in self.hosts:
            super().handle(name, event)

    def listed_hosts(self):
        """Return the hosts of the operator's list, which lags."""
        due_ms = self.now_ms - SEED_LAG_MS
        names = [name for name, ms in self.joined_ms.items() if ms <= due_ms]
        return [name for name in names if self.gone_ms.get(name, due_ms) >= due_ms]

    def spare_voters(self):
        """Return how many more live voters the group can lose."""
        voters = self.await_leader().raft.voters
        return sum(map(self.is_live, voters)) - (len(voters) // 2 + 1)

    def is_live(self, replica):
        host = self.hosts.get(replica.host)
        if host is None or host.raft is None or host.is_frozen:
            return False
        identity = Replica(host.name, host.disk.incarnation)
        return identity == replica and host.name not in self.isolated

    def isolate_only(self, names):
        """Cut some hosts off from all others, and connect the rest."""
        self.isolated = set(names)
        self.heal()
        for name in names:
            self.isolate(name)


class Losses:
    """Life of one group whose hosts are lost in turn, as many as it has to bear.

    :param seed: seed of the run; without other arguments it sets the fleet and the way.
    :param kinds: how hosts are lost, some of ``KINDS``.
    :param fleet: size of the group.
    :param way: which hosts are lost, one of ``WAYS``.
    :param gap_ms: least time between the begins of two losses; None for a random one.
    """

    def __init__(self, seed, kinds, *, fleet=None, way="", gap_ms=None):
        self.seed = seed
        self.random = random.Random(seed)
        self.fleet = fleet = fleet or FLEETS[seed % len(FLEETS)]
        self.way = way or WAYS[seed // len(FLEETS) % len(WAYS)]
        self.kinds = kinds
        self.gap_ms = gap_ms
        names = tuple([f"c{number}" for number in range(fleet.hosts)])
        self.group = OpenGroup(names, seed, fleet.tolerated)
        self.value = 0
        self.added_hosts = 0
        self.write_due_ms = 0
        self.events = []
        self.counting_until_ms = []

    def play(self):
        """Play the losses, and check before each that the group can bear it."""
        group = self.group
        group.run_until(self.has_all_voters, START_LIMIT_MS)
        self.run_for(SEED_LAG_MS)
        for _ in range(LOSSES):
            self.lose_next()
        self.run_for(self.fleet.catch_up_ms + MAX_HALT_MS)
        self.check_spare()
        self.check_nothing_lost()

    def has_all_voters(self):
        leader = self.group.leader()
        return leader is not None and len(leader.raft.voters) == self.fleet.hosts

    def lose_next(self):
        began_ms = self.group.now_ms
        victim = getattr(self, f"_{self.way}")()
        getattr(self, f"_lose_by_{self.random.choice(self.kinds)}")(victim)
        gap_ms = self.gap_ms or self.random.randint(5000, 12_000)
        self.run_for(began_ms + gap_ms - self.group.now_ms)
        while len(self.still_counting()) >= self.fleet.tolerated:
            self.run_for(10)
        self.check_spare()

    def still_counting(self):
        """Return the ends of the losses that count still."""
        now_ms = self.group.now_ms
        return [until for until in self.counting_until_ms if until > now_ms]

    def count_loss(self, back_ms):
        """Count a host as lost until the time to catch up after it is back."""
        self.counting_until_ms.append(back_ms + self.fleet.catch_up_ms)

    def at(self, time_ms, action, *arguments):
        self.events.append((time_ms, len(self.events), action, arguments))

    def run_for(self, duration_ms):
        """Run the group with regular writes and the events that are due."""
        group = self.group
        end_ms = group.now_ms + duration_ms
        while group.now_ms < end_ms:
            for event in sorted(e for e in self.events if e[0] <= group.now_ms):
                self.events.remove(event)
                event[2](*event[3])
            if group.now_ms >= self.write_due_ms:
                self.write_due_ms = group.now_ms + WRITE_INTERVAL_MS
                self.propose()
            group.step()

    def propose(self):
        for name in self.group.leader_names():
            self.value += 1
            self.group.propose(name, self.value)

    def check_spare(self):
        spare = self.group.spare_voters()
        needed = self.fleet.tolerated - len(self.still_counting())
        assert spare >= needed, f"{spare} voters may be lost instead of {needed}"

    def check_nothing_lost(self):
        group = self.group
        self.value += 1
        group.write(self.value)
        read_id = group.read(group.await_leader().name)
        group.run_until(lambda: read_id in group.read_results)
        assert group.completed <= group.read_results[read_id]

    # Which host is lost.

    def _leader(self):
        return self.group.await_leader().name

    def _follower(self):
        leader = self._leader()
        live = [name for name in self.live_names() if name != leader]
        return self.random.choice(live)

    def _oldest(self):
        return self.live_names()[0]

    def _drawn(self):
        return self.random.choice(self.live_names())

    def live_names(self):
        group = self.group
        identities = {
            name: Replica(name, host.disk.incarnation)
            for name, host in group.hosts.items()
        }
        return [
            name for name, identity in identities.items() if group.is_live(identity)
        ]

    # How it is lost.

    def _lose_by_replacement(self, victim):
        self.group.remove_host(victim)
        start_ms = self.group.now_ms + self.random.randint(100, MAX_DOWN_MS)
        self.at(start_ms, self.add_successor)
        self.count_loss(start_ms)

    def _lose_by_planned_replacement(self, victim):
        self.add_successor()
        self.run_for(self.fleet.catch_up_ms)
        self.group.remove_host(victim)
        # The group can't see that it is gone before it is.
        self.count_loss(self.group.now_ms)

    def _lose_by_lost_disk(self, victim):
        self.group.lose_disk(victim)
        self.restart_later(victim)

    def _lose_by_kill(self, victim):
        self.group.crash(victim)
        self.restart_later(victim)

    def restart_later(self, victim):
        start_ms = self.group.now_ms + self.random.randint(100, MAX_DOWN_MS)
        self.at(start_ms, self.group.start, victim)
        self.count_loss(start_ms)

    def _lose_by_freeze(self, victim):
        back_ms = self.group.now_ms + self.random.randint(100, MAX_HALT_MS)
        self.group.freeze(victim)
        self.at(back_ms, self.group.thaw, victim)
        self.count_loss(back_ms)

    def _lose_by_cut(self, victim):
        back_ms = self.group.now_ms + self.random.randint(100, MAX_HALT_MS)
        self.group.isolate_only(self.group.isolated | {victim})
        self.at(back_ms, self.reconnect, victim)
        self.count_loss(back_ms)

    def reconnect(self, name):
        self.group.isolate_only(self.group.isolated - {name})

    def add_successor(self):
        group = self.group
        self.added_hosts += 1
        listed = group.listed_hosts()
        leader = group.leader()
        if leader is not None and self.random.random() < 0.5:
            listed = [name for name in listed if name != leader.name]
        seeds = self.random.sample(listed, min(SEEDS, len(listed)))
        group.add_host(f"n{self.added_hosts}", tuple(seeds))
