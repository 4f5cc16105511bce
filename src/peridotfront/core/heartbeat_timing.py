"""Time between two heartbeats of an entry host.

The leader answers each heartbeat of each entry host, so the interval grows with their
number once they are many. What the leader may spend of an allowance is known to a host
with its last heartbeat, so the interval has a limit.
"""

MIN_INTERVAL_MS = 200
MAX_INTERVAL_MS = 400
INTERVAL_MS_PER_HOST = 2


def heartbeat_interval_ms(entry_hosts: int) -> int:
    """Return the time between two heartbeats, for a number of entry hosts."""
    interval_ms = INTERVAL_MS_PER_HOST * entry_hosts
    return min(MAX_INTERVAL_MS, max(MIN_INTERVAL_MS, interval_ms))
