"""Leader of the control group, derived from the replicas' heartbeats."""

from dataclasses import dataclass

from .messages import Heartbeat

CONTROL_ROLE = "control"


@dataclass(frozen=True, slots=True)
class LeaderHint:
    """Leader and term in the last heartbeat of one replica."""

    term: int
    leader: str
    received_ms: int


class LeaderHints:
    """Leader hints of all replicas.

    The hint with the highest term wins; of those with the same term, one that names a
    leader wins over one that names none.

    :param host_timeout_ms: age after which a hint is stale.
    """

    def __init__(self, host_timeout_ms: int):
        self._host_timeout_ms = host_timeout_ms
        self._hints: dict[str, LeaderHint] = {}
        self._leader_seen_ms: int | None = None

    def record(self, sender: str, heartbeat: Heartbeat, now_ms: int) -> None:
        """Record the heartbeat of a control host; ignore other hosts."""
        if heartbeat.role == CONTROL_ROLE:
            hint = LeaderHint(heartbeat.term, heartbeat.leader, now_ms)
            self._hints[sender] = hint

    def leader(self, now_ms: int) -> str:
        """Return the leader's host name; empty if none is known."""
        oldest_ms = now_ms - self._host_timeout_ms
        current_hints = [h for h in self._hints.values() if h.received_ms > oldest_ms]
        newest = max(
            current_hints, key=lambda h: (h.term, bool(h.leader)), default=None
        )
        if newest is None or not newest.leader:
            return ""
        self._leader_seen_ms = now_ms
        return newest.leader

    def leaderless_ms(self, now_ms: int) -> int:
        """Return how long no leader has been known.

        It counts from the first call if no leader was ever known.
        """
        if self._leader_seen_ms is None:
            self._leader_seen_ms = now_ms
        if self.leader(now_ms):
            return 0
        return now_ms - self._leader_seen_ms
