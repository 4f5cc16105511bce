"""Votes: asking for them, counting them, and giving them."""

from collections.abc import Iterator

from .actions import Send
from .messages import MembershipChange, Replica, VoteReply, VoteRequest
from .raft_membership import quorum_size
from .raft_replica import LocalReplica


class Ballot:
    """Counts the answers to one request for votes.

    :param term: the term that the votes are for.
    :param is_pre_vote: whether it only asks who would vote.
    :param founders: the members of a group to be founded, which takes the votes of
        all of them; None for an election by the quorum of the voters.
    """

    def __init__(
        self,
        local: LocalReplica,
        term: int,
        is_pre_vote: bool,
        founders: MembershipChange | None = None,
    ) -> None:
        self._local = local
        self._term = term
        self._votes = {local.identity}
        self.is_pre_vote = is_pre_vote
        self.founders = founders

    def requests(self) -> Iterator[Send]:
        """Ask the other voters."""
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

    def add(self, sender: str, reply: VoteReply) -> None:
        """Take in a vote that was given."""
        kind = (reply.term, reply.is_pre_vote)
        if reply.is_granted and kind == (self._term, self.is_pre_vote):
            self._votes.add(Replica(sender, reply.voter_incarnation))

    @property
    def is_won(self) -> bool:
        """Tell whether the votes of voters suffice."""
        electorate = self._electorate()
        count = len(self._votes.intersection(electorate))
        needed = len(electorate) if self.founders else quorum_size(electorate)
        return count >= needed

    def _electorate(self) -> tuple[Replica, ...]:
        members = self.founders or self._local.log.membership
        return members.voters


def answer_pre_vote(
    local: LocalReplica, request: VoteRequest, is_leader_alive: bool
) -> VoteReply:
    """Answer whether a vote would be given."""
    is_granted = (
        request.term > local.term
        and not is_leader_alive
        and local.is_up_to_date(request)
    )
    return vote_reply(local, request, request.term if is_granted else None)


def may_vote(local: LocalReplica, candidate: Replica, request: VoteRequest) -> bool:
    """Tell whether the candidate may have the vote of the current term."""
    if request.term != local.term or not local.is_up_to_date(request):
        return False
    return local.hard_state.voted_for in (None, candidate)


def vote_reply(
    local: LocalReplica, request: VoteRequest, granted_term: int | None
) -> VoteReply:
    """Return the answer to a request for a vote.

    :param granted_term: the term in which the vote is given; None if it isn't.
    """
    return VoteReply(
        term=local.term if granted_term is None else granted_term,
        voter_incarnation=local.identity.incarnation,
        is_granted=granted_term is not None,
        is_pre_vote=request.is_pre_vote,
        candidate_incarnation=request.candidate_incarnation,
    )
