"""Which host leads the control group, as the replicas' heartbeats say."""

from dataclasses import dataclass

from .messages import Heartbeat

CONTROL_ROLE = "control"


@dataclass(frozen=True, slots=True)
class LeaderHint:
    """Is what one replica said last."""

    term: int
    leader: str
    heard_ms: int


class LeaderHints:
    """Finds the leader among the hints of the replicas.

    The hint with the highest term stands; a replica whose term is as high but
    that knows no leader does not count against one that knows it.

    :param host_timeout_ms: after which a hint is stale.
    """

    def __init__(self, host_timeout_ms: int):
        self._host_timeout_ms = host_timeout_ms
        self._hints: dict[str, LeaderHint] = {}
        self._led_ms: int | None = None

    def record(self, sender: str, heartbeat: Heartbeat, now_ms: int) -> None:
        """Record the heartbeat of a control host; ignore all others."""
        if heartbeat.role == CONTROL_ROLE:
            hint = LeaderHint(heartbeat.term, heartbeat.leader, now_ms)
            self._hints[sender] = hint

    def leader(self, now_ms: int) -> str:
        """Return the leader's host name; empty if none is known."""
        oldest_ms = now_ms - self._host_timeout_ms
        fresh = [h for h in self._hints.values() if h.heard_ms > oldest_ms]
        best = max(fresh, key=lambda h: (h.term, bool(h.leader)), default=None)
        if best is None or not best.leader:
            return ""
        self._led_ms = now_ms
        return best.leader

    def leaderless_ms(self, now_ms: int) -> int:
        """Return for how long no leader has been known; from the start at first."""
        if self._led_ms is None:
            self._led_ms = now_ms
        if self.leader(now_ms):
            return 0
        return now_ms - self._led_ms
