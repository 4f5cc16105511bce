"""Control groups in virtual time whose hosts fail during the first start of all."""

import random

from peridotfront.routed_control import build_group_policy

from .raft_group import TICK_MS
from .replacements import WRITE_INTERVAL_MS, OpenGroup

MARKED_AFTER_MS = 100
TROUBLE_MS = 3000
RECOVERY_MS = 15_000


class StartingGroup(OpenGroup):
    """Replicas whose folders are marked some time after their first start."""

    def __init__(self, names, seed, tolerated):
        self.marked = set()
        self.first_life = set(names)
        super().__init__(names, seed, tolerated)

    def policy(self, name):
        return build_group_policy(
            name in self.marked,
            self.tolerated,
            is_first_start=name in self.first_life,
        )

    def mark(self, name):
        """Start the replica of a host whose folder is open and marked now."""
        if name in self.first_life and self.hosts[name].raft is None:
            self.marked.add(name)
            self.start(name)

    def restart(self, name):
        """Start a host again, after the first start of the deployment."""
        self.first_life.discard(name)
        self.start(name)

    def wipe(self, name):
        """Kill a host and take its disk, with the mark."""
        self.crash(name)
        self.marked.discard(name)
        self.first_life.discard(name)
        self.hosts[name].disk = self.blank_disk()


class FirstStart:
    """First start of one group, of which hosts are killed, cut off and wiped.

    :param seed: seed of the run.
    """

    def __init__(self, seed):
        self.seed = seed
        self.random = random.Random(seed)
        hosts = self.random.choice((3, 4, 5))
        names = tuple([f"c{number}" for number in range(hosts)])
        self.group = StartingGroup(names, seed, (hosts - 1) // 2)
        for name in names:
            self.group.crash(name)
        self.value = 0

    def play(self):
        """Play the start, and check that one group forms at most, and loses nothing."""
        group = self.group
        self.plan_faults()
        while group.now_ms < TROUBLE_MS:
            for name in group.names:
                self.apply_faults(name)
            if group.now_ms % WRITE_INTERVAL_MS == 0:
                self.propose()
            group.step()
        group.isolate_only(())
        for name in group.names:
            if group.hosts[name].raft is None:
                group.restart(name)
        group.run_for(RECOVERY_MS)
        self.check()

    def plan_faults(self):
        """Choose the times, in ms, at which hosts open folders, end and come back."""
        names = self.group.names
        self.opened_ms = {name: self.draw_ms(0, MARKED_AFTER_MS) for name in names}
        victims = self.random.sample(names, self.random.randint(0, 2))
        self.killed_ms = {name: self.draw_ms(0, TROUBLE_MS // 2) for name in victims}
        # A group of three, as it forms at first, bears one lost disk.
        wiped = self.random.sample(names, self.random.randint(0, 1))
        self.wiped_ms = {name: self.draw_ms(500, TROUBLE_MS - 10) for name in wiped}
        self.back_ms = {}
        self.group.isolate_only(self.random.sample(names, self.random.randint(0, 1)))

    def draw_ms(self, first_ms, last_ms):
        return TICK_MS * self.random.randint(first_ms // TICK_MS, last_ms // TICK_MS)

    def apply_faults(self, name):
        group = self.group
        now_ms = group.now_ms
        if self.opened_ms[name] <= now_ms and name not in self.back_ms:
            group.mark(name)
        if now_ms in (self.killed_ms.get(name), self.wiped_ms.get(name)):
            lose = group.wipe if now_ms == self.wiped_ms.get(name) else group.crash
            lose(name)
            self.back_ms[name] = now_ms + self.draw_ms(100, 1000)
        if self.back_ms.get(name) == now_ms:
            group.restart(name)

    def propose(self):
        for name in self.group.leader_names():
            self.value += 1
            self.group.propose(name, self.value)

    def check(self):
        group = self.group
        if group.leader() is None:
            assert not group.completed, "the group has not recovered"
            # Several hosts that are killed may leave no majority of the first start.
            is_excused = self.wiped_ms or len(self.killed_ms) > 1
            assert is_excused, "no group has formed"
            return
        self.value += 1
        group.write(self.value)
        read_id = group.read(group.await_leader().name)
        group.run_until(lambda: read_id in group.read_results)
        assert group.completed <= group.read_results[read_id], "a value is lost"
