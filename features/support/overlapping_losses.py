"""Control groups in virtual time that lose disks while further hosts are away."""

from .replacements import (
    LOSSES,
    MAX_DOWN_MS,
    SEED_LAG_MS,
    START_LIMIT_MS,
    Fleet,
    Losses,
)

FLEETS = tuple(
    [
        Fleet(hosts, tolerated, catch_up_ms=6000)
        for hosts in range(3, 9)
        for tolerated in range(1, (hosts - 1) // 2 + 1)
    ]
)
# Longer than the silence after which any voter is removed.
MAX_AWAY_MS = 14_000
RECOVERY_MS = 15_000
MAX_HOSTS = 8


class OverlappingLosses(Losses):
    """Life of one group that loses all tolerated disks while other hosts are away.

    Hosts that are cut off or frozen keep their disks, so that any number of them may be
    away beside the lost disks; the group may stop until they are back. Meanwhile a host
    may be replaced, whose disk is one of the lost ones, or one may be added.

    :param seed: seed of the run, which sets the fleet.
    """

    def __init__(self, seed):
        super().__init__(seed, (), fleet=FLEETS[seed % len(FLEETS)])

    def play(self):
        """Play the losses, and check after each that the group recovers."""
        self.group.run_until(self.has_all_voters, START_LIMIT_MS)
        self.run_for(SEED_LAG_MS)
        for _ in range(LOSSES // 2):
            self.lose_disks()
            self.run_for(RECOVERY_MS)
            assert self.group.leader() is not None, "the group has not recovered"
            self.check_nothing_lost()
            # Each loss counts until the group has all voters again.
            self.group.run_until(self.has_all_voters, START_LIMIT_MS)

    def lose_disks(self):
        """Lose all tolerated disks while further hosts are away, until all are back."""
        tolerated = self.fleet.tolerated
        away = self.random.sample(self.group.names, self.random.randint(1, tolerated))
        halt = self.random.choice((self.group.freeze, self.cut_off))
        for name in away:
            halt(name)
        change = self.random.choice(("none", "replace", "add"))
        if change == "replace":
            # The disk that goes with the old host is one of the lost ones.
            tolerated -= 1
            self.group.remove_host(self.random.choice(self.present_names(away)))
        if change != "none" and len(self.group.names) <= MAX_HOSTS:
            start_ms = self.group.now_ms + self.random.randint(100, MAX_DOWN_MS)
            self.at(start_ms, self.add_successor)
        self.run_for(self.random.randint(100, MAX_AWAY_MS))
        if self.random.random() < 0.5:
            self.await_member_change()
        present = self.present_names(away)
        lost = self.random.sample(present, min(tolerated, len(present)))
        for name in lost:
            self.group.lose_disk(name)
        self.run_for(self.random.randint(0, MAX_DOWN_MS))
        for name in lost:
            self.group.start(name)
        for name in away:
            self.group.thaw(name)
        self.group.isolate_only(())

    def cut_off(self, name):
        self.group.isolate_only(self.group.isolated | {name})

    def present_names(self, away):
        return [name for name in self.live_names() if name not in away]

    def has_all_voters(self):
        leader = self.group.leader()
        hosts = [voter.host for voter in leader.raft.voters] if leader else []
        return set(hosts) == set(self.group.names)

    def await_member_change(self):
        """Run until just after the next change of members, if one comes soon."""
        count = self.group.event_counts["member change"]
        for _ in range(MAX_DOWN_MS // 10):
            if self.group.event_counts["member change"] > count:
                break
            self.run_for(10)
        self.run_for(self.random.choice((0, 10, 30)))
