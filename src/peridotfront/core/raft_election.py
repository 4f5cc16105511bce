"""Elections: requesting, counting and granting votes."""

from collections.abc import Iterator

from .actions import Send
from .messages import MembershipChange, Replica, VoteReply, VoteRequest
from .raft_membership import quorum_size
from .raft_replica import LocalReplica


class Ballot:
    """Vote count of one election or pre-vote.

    :param local: state of the local replica.
    :param term: term that the votes are for.
    :param is_pre_vote: whether voters are only asked whether they would vote.
    :param initial_members: members of a group to bootstrap, which requires the votes of
        all of them; None for an election by a quorum of the voters.
    """

    def __init__(
        self,
        local: LocalReplica,
        term: int,
        is_pre_vote: bool,
        initial_members: MembershipChange | None = None,
    ) -> None:
        self._local = local
        self._term = term
        self._votes = {local.identity}
        self.is_pre_vote = is_pre_vote
        self.initial_members = initial_members

    def requests(self) -> Iterator[Send]:
        """Yield the vote requests to the other voters."""
        log = self._local.log
        request = VoteRequest(
            term=self._term,
            candidate_incarnation=self._local.identity.incarnation,
            last_log_index=log.last_index,
            last_log_term=log.last_term,
            is_pre_vote=self.is_pre_vote,
        )
        for voter in self._electorate():
            if voter != self._local.identity:
                yield Send(voter.host, request)

    def add_reply(self, sender: str, reply: VoteReply) -> None:
        """Count a reply if it grants a vote of this ballot."""
        kind = (reply.term, reply.is_pre_vote)
        if reply.is_granted and kind == (self._term, self.is_pre_vote):
            self._votes.add(Replica(sender, reply.voter_incarnation))

    @property
    def is_won(self) -> bool:
        """Return whether enough voters have granted their vote."""
        electorate = self._electorate()
        count = len(self._votes.intersection(electorate))
        required = len(electorate) if self.initial_members else quorum_size(electorate)
        return count >= required

    def _electorate(self) -> tuple[Replica, ...]:
        members = self.initial_members or self._local.log.membership
        return members.voters


def answer_pre_vote(
    local: LocalReplica, request: VoteRequest, is_leader_alive: bool
) -> VoteReply:
    """Return the reply to a pre-vote request: whether a vote would be granted."""
    is_granted = (
        request.term > local.term
        and not is_leader_alive
        and local.is_up_to_date(request)
    )
    return build_vote_reply(local, request, request.term if is_granted else None)


def may_grant_vote(
    local: LocalReplica, candidate: Replica, request: VoteRequest
) -> bool:
    """Return whether the candidate may get the local vote in the current term."""
    if request.term != local.term or not local.is_up_to_date(request):
        return False
    return local.hard_state.voted_for in (None, candidate)


def build_vote_reply(
    local: LocalReplica, request: VoteRequest, granted_term: int | None
) -> VoteReply:
    """Return the reply to a vote request.

    :param granted_term: term in which the vote is granted; None if it is refused.
    """
    return VoteReply(
        term=local.term if granted_term is None else granted_term,
        voter_incarnation=local.identity.incarnation,
        is_granted=granted_term is not None,
        is_pre_vote=request.is_pre_vote,
        candidate_incarnation=request.candidate_incarnation,
    )
