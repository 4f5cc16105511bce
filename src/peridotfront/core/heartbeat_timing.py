"""Times of the heartbeats between entry hosts and the leader.

The leader answers each heartbeat of each entry host, so the interval grows with their
number once they are many. What the leader has spent of an allowance is known to a host
with its last heartbeat, so the interval has a limit.
"""

from dataclasses import dataclass

MIN_INTERVAL_MS = 200
MAX_INTERVAL_MS = 400
INTERVAL_MS_PER_HOST = 2
LEADER_TIMEOUT_INTERVALS = 2.75


@dataclass(frozen=True, slots=True)
class HeartbeatTiming:
    """Times of the heartbeats of one entry host.

    :param interval_ms: time between two heartbeats.
    :param leader_timeout_ms: silence after which an entry host has no leader.
    """

    interval_ms: int
    leader_timeout_ms: int


def heartbeat_timing(entry_hosts: int) -> HeartbeatTiming:
    """Return the times for a number of entry hosts."""
    interval_ms = INTERVAL_MS_PER_HOST * entry_hosts
    interval_ms = min(MAX_INTERVAL_MS, max(MIN_INTERVAL_MS, interval_ms))
    return HeartbeatTiming(interval_ms, int(interval_ms * LEADER_TIMEOUT_INTERVALS))
