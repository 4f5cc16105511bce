"""Shares of an allowance that schedulers may spend while hosts may be cut off.

The leader counts for all hosts that reach it. Whoever does not reach it schedules for
itself, and what all spend in one window has to stay within the bound. The load that
this answers is an account at its limit while the leader is lost or a data centre cut.
"""

TOTAL_SHARE = 0.97
LEADER_SHARE = 0.92
# Hosts that another leader served may not have told yet what they spent.
NEW_TERM_SHARE = 0.65
LEADERLESS_SHARE = 0.6
MIN_REPORTED_SHARE = 0.2


def leader_share(present: int, lost: int, *, is_new_term: bool) -> float:
    """Return the share that the leader may spend.

    :param present: entry hosts that reach it.
    :param lost: entry hosts that did so lately and may go on without it.
    :param is_new_term: whether its term is younger than a window.
    """
    if is_new_term:
        return NEW_TERM_SHARE
    lost_share = lost / max(1, present + lost)
    return min(LEADER_SHARE, TOTAL_SHARE - LEADERLESS_SHARE * lost_share)


def leaderless_share(spent_share: float, entry_hosts: int) -> float:
    """Return the share that one host may spend while no leader answers it.

    :param spent_share: what the leader said to be spent when it was last heard.
    """
    left = max(0.0, TOTAL_SHARE - spent_share)
    return min(LEADERLESS_SHARE, left) / max(1, entry_hosts)
