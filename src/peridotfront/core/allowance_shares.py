"""Shares of an allowance that schedulers may spend while hosts may be cut off.

The leader counts for all hosts that reach it. A host that cannot reach it schedules
its own requests, and the sum of what all spend in one window must stay within the
limit. The shares are sized for an account that is at its limit while the leader is
lost or a data centre is cut off.
"""

TOTAL_SHARE = 0.97
LEADER_SHARE = 0.92
# Hosts that another leader served may not have reported their usage yet.
NEW_TERM_SHARE = 0.65
LEADERLESS_SHARE = 0.6
# The leader may spend this share without telling the hosts.
BASE_CEILING = TOTAL_SHARE - LEADERLESS_SHARE
MIN_REPORTED_SHARE = 0.2


def leader_share(present: int, lost: int, *, is_new_term: bool) -> float:
    """Return the share that the leader may spend.

    :param present: number of entry hosts that reach it.
    :param lost: number of entry hosts that reached it lately and may be leaderless.
    :param is_new_term: whether its term is younger than a window.
    """
    if is_new_term:
        return NEW_TERM_SHARE
    lost_share = lost / max(1, present + lost)
    return min(LEADER_SHARE, TOTAL_SHARE - LEADERLESS_SHARE * lost_share)


def leaderless_share(ceiling: float, entry_hosts: int) -> float:
    """Return the share that one leaderless host may spend.

    :param ceiling: share that the leader may have spent, by its last report.
    """
    remaining_share = max(0.0, TOTAL_SHARE - ceiling)
    return min(LEADERLESS_SHARE, remaining_share) / max(1, entry_hosts)
