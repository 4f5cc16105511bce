"""Which leader an entry host follows, by heartbeats, and what that one last told it."""

from collections.abc import Iterator

from .heartbeat_timing import MAX_INTERVAL_MS, heartbeat_interval_ms
from .leader_hints import LeaderHints
from .messages import AllowanceShare, Heartbeat

HINT_TIMEOUT_MS = 1500
LEADER_TIMEOUT_INTERVALS = 2.75
HOST_COUNT_LIFETIME_MS = 10_000
ASSUMED_HOST_COUNT = 1000


class LeaderFollower:
    """State of an entry host towards the control hosts.

    :param seeds: control hosts named in the settings.

    ``leader`` is the leader's host name, empty if there is none, and ``term`` the last
    term that a leader told. ``entry_hosts`` is the number of entry hosts, at least 1.
    ``ceilings`` are the shares that the leader may spend of allowances, of the version
    ``shares_version``.
    """

    def __init__(self, seeds: tuple[str, ...]):
        self.seeds = seeds
        self.leader = ""
        self.term = 0
        self.entry_hosts = 1
        self.ceilings: tuple[AllowanceShare, ...] = ()
        self.shares_version = 0
        self._has_host_count = False
        self._host_count_ms = 0
        self._control_hosts: tuple[str, ...] = ()
        self._hints = LeaderHints(HINT_TIMEOUT_MS)
        self._leader_seen_ms: dict[str, int] = {}
        self._heartbeat_sent_ms: int | None = None
        self._unanswered_rounds = 0

    @property
    def sharing_host_count(self) -> int:
        """Return the number of hosts that share the allowances and retry budgets.

        It is ``ASSUMED_HOST_COUNT`` until a leader has reported the number.
        """
        return self.entry_hosts if self._has_host_count else ASSUMED_HOST_COUNT

    def record(self, sender: str, heartbeat: Heartbeat, now_ms: int) -> bool:
        """Record a heartbeat and return whether it is one of its sender as leader."""
        self._hints.record(sender, heartbeat, now_ms)
        if heartbeat.control_hosts:
            self._control_hosts = heartbeat.control_hosts
        if heartbeat.leader != sender:
            return False
        self._leader_seen_ms[sender] = now_ms
        self.term = heartbeat.term
        self._update_host_count(heartbeat.entry_hosts, now_ms)
        self.ceilings = heartbeat.ceilings
        self.shares_version = heartbeat.shares_version
        return True

    def update_leader(self, now_ms: int) -> bool:
        """Update the leader and return whether it has changed."""
        leader = self._hints.leader(now_ms)
        if leader and self._is_silent(leader, now_ms):
            leader = ""
        if leader == self.leader:
            return False
        self.leader = leader
        if leader:
            self._unanswered_rounds = 0
        return True

    def is_heartbeat_due(self, now_ms: int) -> bool:
        """Return whether to send heartbeats now.

        While the host does not know how many hosts there are, its rounds become rarer,
        as all hosts may ask for a leader at the same time.
        """
        if self._heartbeat_sent_ms is None:
            return True
        interval_ms = heartbeat_interval_ms(self.entry_hosts)
        if self._unanswered_rounds > 1 and not self._has_host_count:
            interval_ms = min(MAX_INTERVAL_MS, interval_ms * self._unanswered_rounds)
        return now_ms - self._heartbeat_sent_ms >= interval_ms

    def begin_round(self, now_ms: int) -> Iterator[str]:
        """Record that heartbeats are sent now, and yield the hosts that get one."""
        self._heartbeat_sent_ms = now_ms
        if self.leader:
            yield self.leader
            return
        self._unanswered_rounds += 1
        yield from dict.fromkeys((*self.seeds, *self._control_hosts))

    def _is_silent(self, leader: str, now_ms: int) -> bool:
        seen_ms = self._leader_seen_ms.get(leader)
        if seen_ms is None:
            return True
        interval_ms = heartbeat_interval_ms(self.entry_hosts)
        return now_ms - seen_ms >= int(interval_ms * LEADER_TIMEOUT_INTERVALS)

    def _update_host_count(self, entry_hosts: int, now_ms: int) -> None:
        """Update the host count to the largest recent value.

        Hosts may join a new leader with a delay, so that its first counts are low.
        """
        if entry_hosts == 0:
            return
        is_outdated = now_ms - self._host_count_ms >= HOST_COUNT_LIFETIME_MS
        if entry_hosts >= self.entry_hosts or is_outdated or not self._has_host_count:
            self.entry_hosts = entry_hosts
            self._host_count_ms = now_ms
        self._has_host_count = True
