"""Quorums, and the sequence of single-member changes of the membership."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from .messages import MembershipChange, Replica

MIN_VOTERS = 3


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """Leader's view of a member at one moment.

    :param is_live: whether the member answered within an election timeout.
    :param is_caught_up: whether the member holds all committed entries.
    :param is_replaceable: whether the member has been silent for so long that a
        learner on another host may replace it.
    """

    replica: Replica
    is_live: bool
    is_caught_up: bool
    is_replaceable: bool = False


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
    membership: MembershipChange, statuses: Iterable[MemberStatus]
) -> MembershipChange | None:
    """Return the next single-member change that is due, or None.

    Once a learner has caught up, the silent voter with the same host name is removed,
    and a second change promotes the learner. While a voter of the same host answers,
    the learner replaces nothing, and is removed if it is silent itself. For a learner
    on a new host a replaceable voter is removed first, if there is one. If no learner
    requires a change, the only silent voter is removed once it is replaceable and if
    at least ``MIN_VOTERS`` remain; it joins again if it returns.
    """
    statuses_by_replica = {status.replica: status for status in statuses}
    for learner in membership.learners:
        change = _change_for(membership, learner, statuses_by_replica)
        if change is not None:
            return change
    return _without_silent_voter(membership, statuses_by_replica)


def _without_silent_voter(
    membership: MembershipChange, statuses_by_replica: dict[Replica, MemberStatus]
) -> MembershipChange | None:
    """Return the membership without a replaceable voter if all others are live."""
    # The leader has no status for itself.
    silent_voters = [
        v
        for v in membership.voters
        if v in statuses_by_replica and not statuses_by_replica[v].is_live
    ]
    if len(silent_voters) != 1 or len(membership.voters) <= MIN_VOTERS:
        return None
    return (
        _without_voter(membership, silent_voters[0])
        if statuses_by_replica[silent_voters[0]].is_replaceable
        else None
    )


def _change_for(
    membership: MembershipChange,
    learner: Replica,
    statuses_by_replica: dict[Replica, MemberStatus],
) -> MembershipChange | None:
    status = statuses_by_replica.get(learner)
    if status is None:
        return None
    predecessors = [v for v in membership.voters if v.host == learner.host]
    if any(_is_live(statuses_by_replica.get(voter)) for voter in predecessors):
        return None if status.is_live else _without_learner(membership, learner)
    if not (status.is_live and status.is_caught_up):
        return None
    if predecessors:
        return _without_voter(membership, predecessors[0])
    gone = [v for v in membership.voters if _is_replaceable(statuses_by_replica.get(v))]
    if gone:
        return _without_voter(membership, gone[0])
    return _with_promoted(membership, learner)


def _is_live(status: MemberStatus | None) -> bool:
    return status is not None and status.is_live


def _is_replaceable(status: MemberStatus | None) -> bool:
    return status is not None and status.is_replaceable


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
