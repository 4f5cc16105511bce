"""Quorums, and the order of single steps by which members change."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from .messages import MembershipChange, Replica

MIN_VOTERS = 3


@dataclass(frozen=True, slots=True)
class Contact:
    """Tells the leader's view of a member at one moment.

    :param is_live: whether it answered within an election timeout.
    :param is_caught_up: whether it holds all that is committed.
    :param is_gone: whether it was silent for so long that a learner on another
        host may replace it.
    """

    replica: Replica
    is_live: bool
    is_caught_up: bool
    is_gone: bool = False


def quorum_size(voters: Collection[Replica]) -> int:
    """Return how many voters make a majority."""
    return len(voters) // 2 + 1


def quorum_value(values: Iterable[int]) -> int:
    """Return the highest value that a majority has reached, or 0 for none."""
    ordered = sorted(values, reverse=True)
    return ordered[len(ordered) // 2] if ordered else 0


def is_member(membership: MembershipChange, replica: Replica) -> bool:
    """Tell whether a replica is a voter or learner."""
    return replica in membership.voters or replica in membership.learners


def is_superseded(membership: MembershipChange, replica: Replica) -> bool:
    """Tell whether a voter's host came back with a new data folder."""
    hosts = {learner.host for learner in membership.learners}
    return replica in membership.voters and replica.host in hosts


def add_learner(membership: MembershipChange, joiner: Replica) -> MembershipChange:
    """Return the members with a learner more, in place of one of its host."""
    others = [m for m in membership.learners if m.host != joiner.host]
    return MembershipChange(membership.voters, _ordered([*others, joiner]))


def next_step(
    membership: MembershipChange, contacts: Iterable[Contact]
) -> MembershipChange | None:
    """Return the next single change that the learners call for, if any.

    A learner that caught up first has its silent predecessor removed from the
    voters and becomes a voter in a second step. While a voter of its host answers,
    a learner replaces nothing, and is removed if it is silent itself. A learner on
    a new host has a voter removed that is gone, if there is one. Without a learner a
    voter that is gone is removed too, as long as ``MIN_VOTERS`` stay; it joins again
    if it comes back.
    """
    known = {contact.replica: contact for contact in contacts}
    for learner in membership.learners:
        step = _step_for(membership, learner, known)
        if step is not None:
            return step
    return _without_gone(membership, known)


def _without_gone(
    membership: MembershipChange, known: dict[Replica, Contact]
) -> MembershipChange | None:
    """Return the members without a voter that is gone while all others are live."""
    # The leader itself has no contact.
    away = [v for v in membership.voters if v in known and not known[v].is_live]
    if len(away) != 1 or len(membership.voters) <= MIN_VOTERS:
        return None
    return _without_voter(membership, away[0]) if known[away[0]].is_gone else None


def _step_for(
    membership: MembershipChange, learner: Replica, known: dict[Replica, Contact]
) -> MembershipChange | None:
    contact = known.get(learner)
    if contact is None:
        return None
    predecessors = [v for v in membership.voters if v.host == learner.host]
    if any(_is_live(known.get(voter)) for voter in predecessors):
        return None if contact.is_live else _without_learner(membership, learner)
    if not (contact.is_live and contact.is_caught_up):
        return None
    if predecessors:
        return _without_voter(membership, predecessors[0])
    gone = [v for v in membership.voters if _is_gone(known.get(v))]
    if gone:
        return _without_voter(membership, gone[0])
    return _promoted(membership, learner)


def _is_live(contact: Contact | None) -> bool:
    return contact is not None and contact.is_live


def _is_gone(contact: Contact | None) -> bool:
    return contact is not None and contact.is_gone


def _without_voter(membership: MembershipChange, voter: Replica) -> MembershipChange:
    voters = tuple([v for v in membership.voters if v != voter])
    return MembershipChange(voters, membership.learners)


def _without_learner(
    membership: MembershipChange, learner: Replica
) -> MembershipChange:
    learners = tuple([m for m in membership.learners if m != learner])
    return MembershipChange(membership.voters, learners)


def _promoted(membership: MembershipChange, learner: Replica) -> MembershipChange:
    reduced = _without_learner(membership, learner)
    return MembershipChange(_ordered([*reduced.voters, learner]), reduced.learners)


def _ordered(replicas: Iterable[Replica]) -> tuple[Replica, ...]:
    return tuple(sorted(replicas, key=lambda r: (r.host, r.incarnation)))
