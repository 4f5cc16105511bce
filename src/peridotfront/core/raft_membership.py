"""Quorums, and the sequence of single-member changes of the membership."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from .messages import MembershipChange, Replica
from .raft_types import GroupPolicy


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """Leader's view of a member at one moment.

    :param contact_ms: time at which the latest round that the member answered was sent;
        until it has answered one, time at which the leader began to send to it.
    :param silent_ms: time since then.
    :param is_live: whether that is shorter than an election timeout.
    :param caught_up_ms: time at which the member first held all committed entries; None
        until then.
    :param is_caught_up: whether the member holds all committed entries now.
    """

    replica: Replica
    contact_ms: float
    silent_ms: float
    is_live: bool
    caught_up_ms: float | None
    is_caught_up: bool


Statuses = dict[Replica, MemberStatus]


def quorum_size(voters: Collection[Replica]) -> int:
    """Return the number of voters that form a majority."""
    return len(voters) // 2 + 1


def quorum_value(values: Iterable[int]) -> int:
    """Return the highest value reached by a majority, or 0 without values."""
    ordered = sorted(values, reverse=True)
    return ordered[len(ordered) // 2] if ordered else 0


def is_member(membership: MembershipChange, replica: Replica) -> bool:
    """Return whether a replica is a voter or learner."""
    return replica in membership.voters or replica in membership.learners


def is_superseded(membership: MembershipChange, replica: Replica) -> bool:
    """Return whether a voter's host has joined again with a new data folder."""
    hosts = {learner.host for learner in membership.learners}
    return replica in membership.voters and replica.host in hosts


def add_learner(membership: MembershipChange, joiner: Replica) -> MembershipChange:
    """Return the membership with a learner added, replacing any of the same host."""
    other_learners = [m for m in membership.learners if m.host != joiner.host]
    return MembershipChange(membership.voters, _ordered([*other_learners, joiner]))


def next_change(
    membership: MembershipChange,
    statuses: Iterable[MemberStatus],
    policy: GroupPolicy,
) -> MembershipChange | None:
    """Return the next single-member change that is due, or None.

    Once a learner has caught up, the silent voter with the same host name is removed,
    and a second change promotes the learner. While a voter of the same host answers,
    the learner replaces nothing, and is removed if it is silent itself.

    A learner on a new host replaces a silent voter in the same way if at least
    ``policy.min_voters`` remain, so that voters that are gone never add up. With fewer
    it is promoted first: the silent voter may still hold its disk, and the group can't
    spare it until the learner is a voter. Without silent voters the learner is promoted
    once all of them have answered after it had caught up.

    If no learner requires a change, a silent voter may be removed, if at least
    ``policy.min_voters`` remain. A voter that was removed joins again when it returns.

    :param statuses: views of all members but the leader.
    """
    statuses_by_replica = {status.replica: status for status in statuses}
    for learner in membership.learners:
        change = _change_for(membership, learner, statuses_by_replica, policy)
        if change is not None:
            return change
    if policy.replaces_voters:
        return _without_silent_voter(membership, statuses_by_replica, policy)
    return None


def _without_silent_voter(
    membership: MembershipChange, statuses: Statuses, policy: GroupPolicy
) -> MembershipChange | None:
    """Return the membership without the voter that is silent for longest, if due.

    With one voter less an even number of voters has a smaller quorum and bears one loss
    more. An odd number bears as many as before, so that a voter is removed from it only
    if all others are live and it is unlikely to return.
    """
    silent = _silent_voters(membership, statuses)
    if not silent or not _can_spare_voter(membership, policy):
        return None
    is_even = len(membership.voters) % 2 == 0
    limit_ms = policy.remove_voter_after_ms
    if is_even:
        limit_ms = policy.remove_spare_voter_after_ms
    if silent[0].silent_ms < limit_ms or not (is_even or len(silent) == 1):
        return None
    return _without_voter(membership, silent[0].replica)


def _can_spare_voter(membership: MembershipChange, policy: GroupPolicy) -> bool:
    return len(membership.voters) > policy.min_voters


def _silent_voters(
    membership: MembershipChange, statuses: Statuses
) -> list[MemberStatus]:
    """Return the views of the silent voters, of the longest silence first."""
    # The leader has no status for itself.
    voters = [statuses[voter] for voter in membership.voters if voter in statuses]
    silent = [voter for voter in voters if not voter.is_live]
    return sorted(silent, key=lambda voter: -voter.silent_ms)


def _change_for(
    membership: MembershipChange,
    learner: Replica,
    statuses: Statuses,
    policy: GroupPolicy,
) -> MembershipChange | None:
    status = statuses.get(learner)
    if status is None:
        return None
    predecessors = [v for v in membership.voters if v.host == learner.host]
    if any(_is_live(statuses.get(voter)) for voter in predecessors):
        return None if status.is_live else _without_learner(membership, learner)
    if not (status.is_live and status.is_caught_up):
        return None
    if predecessors:
        return _without_voter(membership, predecessors[0])
    if not policy.replaces_voters:
        return _with_promoted(membership, learner)
    silent = _silent_voters(membership, statuses)
    if silent and _can_spare_voter(membership, policy):
        return _without_voter(membership, silent[0].replica)
    voters = [statuses[voter] for voter in membership.voters if voter in statuses]
    live = [voter for voter in voters if voter.is_live]
    since_ms = status.caught_up_ms
    if since_ms is None or any(voter.contact_ms <= since_ms for voter in live):
        return None
    return _with_promoted(membership, learner)


def _is_live(status: MemberStatus | None) -> bool:
    return status is not None and status.is_live


def _without_voter(membership: MembershipChange, voter: Replica) -> MembershipChange:
    voters = tuple([v for v in membership.voters if v != voter])
    return MembershipChange(voters, membership.learners)


def _without_learner(
    membership: MembershipChange, learner: Replica
) -> MembershipChange:
    learners = tuple([m for m in membership.learners if m != learner])
    return MembershipChange(membership.voters, learners)


def _with_promoted(membership: MembershipChange, learner: Replica) -> MembershipChange:
    reduced = _without_learner(membership, learner)
    return MembershipChange(_ordered([*reduced.voters, learner]), reduced.learners)


def _ordered(replicas: Iterable[Replica]) -> tuple[Replica, ...]:
    return tuple(sorted(replicas, key=lambda r: (r.host, r.incarnation)))
