"""Control group on data folders whose hosts lose power at the same moment."""

import random

from peridotfront.core.messages import Replica
from peridotfront.core.raft import PersistAction
from peridotfront.exceptions import StorageFailed
from peridotfront.routed_control import build_group_policy
from peridotfront.storage import Storage

from .power_loss import DiskFolders, PowerDisk
from .raft_group import Disk, Group, Host, is_membership

MAX_STEPS_LEFT = 8
RECOVERY_LIMIT_MS = 60_000
HARMS = ("write", "compact", "kill", "power", "disk", "replace", "add", "wait")
MAX_ADDED_HOSTS = 2


class PowerGroup(Group):
    """Replicas with the real storage, on disks that lose what was not synced.

    :param folder: empty folder for the disks.
    """

    def __init__(self, names, seed, folder):
        self.folders = DiskFolders(folder)
        self.disk_random = random.Random(seed + 1)
        self.disks = {}
        self.storages = {}
        self.is_first_start = True
        self.configured = tuple(names)
        super().__init__(names, seed)
        self.is_first_start = False

    def start(self, name):
        if name not in self.disks:
            root = self.folders.new_path()
            root.mkdir()
            self.disks[name] = PowerDisk(root, self.disk_random)
        disk = self.disks[name]
        storage = Storage.open(
            disk.data, disk.write, disk.sync, is_first_start=self.is_first_start
        )
        self.storages[name] = storage
        state = storage.state
        host = self.hosts[name]
        host.disk = Disk(
            storage.incarnation, state.hard_state, state.snapshot, list(state.entries)
        )
        super().start(name)

    def configured_hosts(self, name):
        return self.configured

    def policy(self, name):
        return build_group_policy(self.storages[name].may_bootstrap)

    def run(self, host, actions):
        """Sync the writes, then run all other actions, as a replica's server does."""
        writes = [a for a in actions if isinstance(a, PersistAction)]
        if writes:
            try:
                self.storages[host.name].apply_changes(writes)
            except StorageFailed:
                self.crash(host.name)
                return
        for write in writes:
            self.write_change(host, write)
        for action in actions:
            self.run_action(host, action)

    def crash(self, name):
        """Kill the process of a host, which keeps what it has written."""
        super().crash(name)
        storage = self.storages.pop(name, None)
        if storage is not None:
            storage.close()

    def lose_power(self, name):
        """Let a host lose power."""
        self.crash(name)
        self.disks[name] = self.disks[name].lose_power(self.folders.new_path())

    def lose_disk(self, name):
        self.crash(name)
        self.disks.pop(name).discard()
        self.hosts[name].disk = self.blank_disk()

    def remove_host(self, name):
        """Take a host away for ever, with its disk."""
        self.crash(name)
        self.disks.pop(name).discard()
        del self.hosts[name]
        self.names = tuple([other for other in self.names if other != name])

    def add_host(self, name):
        """Start a host with an empty disk that the settings don't name."""
        self.names = (*self.names, name)
        self.hosts[name] = Host(name, self.blank_disk())
        self.start(name)

    def handle(self, name, event):
        """Let a host handle an event, unless it was taken away."""
        if name in self.hosts:
            super().handle(name, event)

    def is_intact(self, replica):
        return replica.host in self.hosts and super().is_intact(replica)

    def has_recovered(self):
        """Return whether all hosts are voters with one log.

        Voters that were taken away may still be members: nobody can tell that two hosts
        which fell silent within a short time don't return.
        """
        rafts = [host.raft for host in self.hosts.values()]
        identities = {
            Replica(host.name, host.disk.incarnation) for host in self.hosts.values()
        }
        last_indexes = {host.applied_index for host in self.hosts.values()}
        last_indexes |= {raft.dump().last_index for raft in rafts}
        is_member = all(identities <= set(raft.voters) for raft in rafts)
        return self.leader() is not None and is_member and len(last_indexes) == 1

    def close(self):
        """End all processes and delete all disks."""
        for name in self.names:
            self.crash(name)
            disk = self.disks.pop(name, None)
            if disk is not None:
                disk.discard()

    def lose_power_soon(self, name):
        """Let a host lose power within one of its next writes and syncs."""
        self.disks[name].steps_left = self.disk_random.randint(0, MAX_STEPS_LEFT)

    def survives(self, lost):
        """Return whether each membership that may be current keeps a quorum."""
        committed = max((i for i, e in self.log.items() if is_membership(e)), default=0)
        if not committed:
            # A blank disk takes no part in the bootstrap of a group.
            return False
        memberships = [self.log[committed].command]
        for host in self.hosts.values():
            later = [e for e in host.disk.entries if e.index > committed]
            memberships += [e.command for e in later if is_membership(e)]
        return all(self.keeps_quorum(m.voters, lost) for m in memberships)

    def keeps_quorum(self, voters, lost):
        intact = [v for v in voters if self.is_intact(v) and v.host not in lost]
        return len(intact) >= len(voters) // 2 + 1


class FinalFault:
    """Life of one group that ends with a loss of power and of disks.

    :param seed: seed of the run.
    :param folder: empty folder for the disks.

    ``lost_disks`` is the number of disks that the final fault took, and ``learners``
    the number of hosts that were no voters then. ``is_read_back`` tells whether a read
    after it returned all that was acknowledged.
    """

    def __init__(self, seed, folder):
        self.random = random.Random(seed)
        count = self.random.choice([3, 3, 5])
        self.tolerated = count // 2
        self.group = PowerGroup("abcde"[:count], seed, folder)
        self.value = 0
        self.added_hosts = 0
        self.lost_disks = 0
        self.learners = 0
        self.is_read_back = False

    def play(self):
        """Play all faults, and check that nothing acknowledged is lost."""
        try:
            self._play()
        finally:
            self.group.close()

    def _play(self):
        group = self.group
        if self.random.random() < 0.7:
            group.run_until(group.is_settled)
        for _ in range(self.random.randint(0, 4)):
            self._harm(self.random.choice(HARMS))
        self._write_until_acknowledged()
        self._final_fault()
        self._check()

    def _harm(self, kind):
        group = self.group
        name = self.random.choice(group.names)
        if kind == "write":
            self._propose(self.random.randint(1, 12))
        elif kind == "compact":
            self._compact()
        elif kind == "kill":
            group.crash(name)
            self._start([name])
        elif kind == "power":
            self._lose_power()
        elif kind == "disk" and group.survives({name}):
            group.lose_disk(name)
            self._start([name])
        elif kind == "replace" and group.survives({name}):
            group.remove_host(name)
            self._add_host()
        elif kind == "add" and self.added_hosts < MAX_ADDED_HOSTS:
            self._add_host()
        # A host that lost its disk may be blank, a learner or a voter by now.
        group.run_for(self.random.choice([10, 100, 1000, 3000]))

    def _add_host(self):
        self.added_hosts += 1
        self.group.add_host(f"n{self.added_hosts}")

    def _propose(self, count):
        for name in self.group.leader_names():
            for _ in range(count):
                self.value += 1
                self.group.propose(name, self.value)

    def _compact(self):
        for name, host in self.group.hosts.items():
            if host.raft is not None:
                self.group.compact(name)

    def _write_until_acknowledged(self):
        self.value += 1
        self.group.write(self.value)

    def _final_fault(self):
        """Lose all power, and up to as many disks as may be lost, at one moment."""
        group = self.group
        if self.random.random() < 0.5:
            # Some changes are sent and some files are written at the moment.
            self._propose(self.random.randint(1, 12))
            if self.random.random() < 0.3:
                self._compact()
            group.run_for(10 * self.random.randint(0, 3))
        lost = set()
        for name in self.random.sample(group.names, self.tolerated):
            if group.survives(lost | {name}):
                lost.add(name)
        self.lost_disks = len(lost)
        leader = group.leader()
        voters = leader.raft.voters if leader is not None else ()
        self.learners = len(group.names) - len(voters)
        self._lose_power(lost)

    def _lose_power(self, lost=frozenset()):
        group = self.group
        if self.random.random() < 0.5:
            for name in group.names:
                group.lose_power_soon(name)
            self._propose(3)
            if self.random.random() < 0.5:
                self._compact()
            group.run_for(10 * self.random.randint(1, 30))
        group.in_flight = []
        for name in group.names:
            if name in lost:
                group.lose_disk(name)
            else:
                group.lose_power(name)
        self._start(self.random.sample(group.names, len(group.names)))

    def _start(self, names):
        for name in names:
            self.group.start(name)
            self.group.run_for(10 * self.random.randint(0, 30))

    def _check(self):
        group = self.group
        acknowledged = set(group.completed)
        group.run_until(group.has_recovered, RECOVERY_LIMIT_MS)
        for host in group.hosts.values():
            lost = acknowledged - set(host.applied)
            assert not lost, f"host {host.name} misses the acknowledged {lost}"
        read_id = group.read(group.await_leader().name)
        group.run_until(lambda: read_id in group.read_results)
        self.is_read_back = acknowledged <= group.read_results[read_id]
