"""Raft protocol for the replicated log of the control group, without I/O.

The caller passes events to :class:`Raft` and runs the actions that it yields. All
:class:`PersistAction` actions of a turn must be run and synced before any other
action of that turn.
"""

from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import singledispatchmethod
from typing import Any

from .actions import Received, Send, Tick
from .messages import (
    AppendReply,
    AppendRequest,
    BootstrapQuery,
    BootstrapReply,
    JoinRequest,
    MembershipChange,
    Message,
    Replica,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from .raft_bootstrap import Bootstrap
from .raft_election import Ballot, answer_pre_vote, build_vote_reply, may_grant_vote
from .raft_follower import Follower
from .raft_leader import Leadership
from .raft_replica import LocalReplica
from .raft_types import (
    AppendEntries,
    Committed,
    GroupPolicy,
    InstallSnapshot,
    PersistAction,
    ProposalDropped,
    Propose,
    RaftDump,
    RaftState,
    RaftTiming,
    Read,
    ReadFailed,
    ReadReady,
    Restore,
    Role,
    RoleChanged,
    SaveHardState,
    TruncateLog,
)

__all__ = [
    "AppendEntries",
    "Committed",
    "InstallSnapshot",
    "PersistAction",
    "ProposalDropped",
    "Propose",
    "Raft",
    "RaftDump",
    "RaftState",
    "RaftTiming",
    "Read",
    "ReadFailed",
    "ReadReady",
    "Restore",
    "Role",
    "RoleChanged",
    "SaveHardState",
    "TruncateLog",
]


class Raft:
    """Replica of the control group.

    :param host: local host name.
    :param incarnation: incarnation of the local data folder.
    :param configured_hosts: control hosts named in the settings.
    :param state: state loaded from storage at the start.
    :param timing: timeouts and size limits of the protocol.
    :param jitter: returns a random number from 0 to 1 at each call.
    :param policy: rules for bootstrapping, joining and replacing voters.

    Usage::

        raft = Raft("a", storage.incarnation, ("a", "b", "c"), storage.state,
                    RaftTiming(), random.random)
        actions = list(raft.handle(Tick(), now_ms))
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        configured_hosts: tuple[str, ...],
        state: RaftState,
        timing: RaftTiming,
        jitter: Callable[[], float],
        policy: GroupPolicy | None = None,
    ) -> None:
        identity = Replica(host, incarnation)
        local = LocalReplica(identity, configured_hosts, state, timing, jitter, policy)
        self._local = local
        self._bootstrap = Bootstrap(local)
        self._follower = Follower(local)
        self._role = Role.FOLLOWER
        self._leader = ""
        self._leadership: Leadership | None = None
        self._ballot: Ballot | None = None
        self._leader_seen_ms = 0.0
        self._election_due_ms = 0.0
        self._is_started = False
        self._leader_commit_index = 0
        self._now_ms = 0.0
        # Binding a single-dispatch method costs more than calling it.
        self._dispatch_event = self._on_event
        self._dispatch_message = self._on_message

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader."""
        return self._leadership is not None

    def holds_quorum(self, now_ms: float) -> bool:
        """Return whether this replica leads and a quorum answered recently.

        :param now_ms: local monotonic clock, read immediately before the call, so
            that a leader that was frozen detects it before it acts.
        """
        leadership = self._leadership
        return leadership is not None and leadership.has_quorum(now_ms)

    @property
    def is_settled(self) -> bool:
        """Return whether all entries committed before the current term are applied.

        After a start this requires a leader that has committed an entry of its own
        term. Until then the leader may not know that entries of earlier terms are
        committed.
        """
        local = self._local
        target_index = (
            local.commit_index if self.is_leader else self._leader_commit_index
        )
        if target_index == 0 or local.commit_index < target_index:
            return False
        return local.log.term_at(target_index) == local.term

    def set_configured_hosts(self, hosts: tuple[str, ...]) -> None:
        """Replace the configured control hosts after a change of the settings."""
        self._local.configured_hosts = hosts

    def set_tolerated_losses(self, count: int) -> None:
        """Replace the number of losses to tolerate after a change of the settings."""
        self._local.policy = replace(self._local.policy, tolerated_losses=count)

    @property
    def leader(self) -> str:
        """Return the leader's host name, or an empty string if none is known."""
        return self._leader

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._local.term

    @property
    def commit_index(self) -> int:
        """Return the index of the last entry known to be committed."""
        return self._local.commit_index

    @property
    def last_applied(self) -> int:
        """Return the index of the last entry yielded for application."""
        return self._local.commit_index

    @property
    def voters(self) -> tuple[Replica, ...]:
        """Return the voters of the latest membership in the log."""
        return self._local.log.membership.voters

    @property
    def learners(self) -> tuple[Replica, ...]:
        """Return the learners of the latest membership in the log."""
        return self._local.log.membership.learners

    def handle(self, event: Any, now_ms: float) -> Iterator[Any]:
        """Handle an event.

        :param event: a :class:`Tick`, :class:`Received`, :class:`Propose` or
            :class:`Read`.
        :param now_ms: local monotonic clock.
        :return: actions to run in order; the iterator must be exhausted before the
            next event is handled.
        :raises TypeError: if the event or message has an unsupported type.
        """
        self._now_ms = now_ms
        if not self._is_started:
            yield from self._start()
        if self._leadership and not self._leadership.has_quorum(now_ms):
            yield from self._become_follower("")
        yield from self._dispatch_event(event)

    def compact(self, index: int, data: bytes) -> Iterator[Any]:
        """Replace the log up to an applied entry with the state machine's snapshot.

        :param index: index of the last entry included in the snapshot.
        :param data: encoded state.
        :raises ValueError: if that entry is not applied yet.
        """
        if index > self._local.commit_index:
            raise ValueError(f"cannot compact up to entry {index}: not applied yet")
        if index > self._local.log.snapshot.last_index:
            yield from self._local.compact(index, data)

    def dump(self) -> RaftDump:
        """Return the state for diagnostics."""
        local = self._local
        log = local.log
        leadership = self._leadership
        return RaftDump(
            identity=local.identity,
            role=self._role,
            term=local.term,
            leader=self._leader,
            voted_for=local.hard_state.voted_for,
            membership=log.membership,
            is_membership_committed=log.membership_index <= local.commit_index,
            snapshot_index=log.snapshot.last_index,
            last_index=log.last_index,
            commit_index=local.commit_index,
            last_applied=local.commit_index,
            pending_reads=leadership.pending_reads if leadership else 0,
            peers=leadership.dump(self._now_ms) if leadership else (),
        )

    def _start(self) -> Iterator[Any]:
        self._is_started = True
        timing = self._local.timing
        # A short first timeout cannot disrupt a live leader: the pre-vote fails.
        timeout_ms = self._local.election_timeout_ms() * timing.first_timeout_ratio
        self._election_due_ms = self._now_ms + timeout_ms
        snapshot = self._local.log.snapshot
        if snapshot.last_index:
            yield Restore(snapshot.last_index, snapshot.data)

    @singledispatchmethod
    def _on_event(self, event: Any) -> Iterator[Any]:
        raise TypeError(f"unexpected event: {type(event).__name__}")

    @_on_event.register
    def _(self, event: Tick) -> Iterator[Any]:
        if self._leadership:
            yield from self._leadership.tick(self._now_ms)
            return
        if self._now_ms >= self._election_due_ms:
            yield from self._on_election_timeout()
        yield from self._bootstrap.tick(self._leader, self._now_ms)

    @_on_event.register
    def _(self, event: Received) -> Iterator[Any]:
        yield from self._dispatch_message(event.message, event.sender)

    @_on_event.register
    def _(self, event: Propose) -> Iterator[Any]:
        if not self._leadership or isinstance(event.command, MembershipChange):
            yield ProposalDropped(event.command)
            return
        yield from self._leadership.propose(event.command, self._now_ms)

    @_on_event.register
    def _(self, event: Read) -> Iterator[Any]:
        if not self._leadership:
            yield ReadFailed(event.read_id)
            return
        yield from self._leadership.read(event.read_id, self._now_ms)

    @singledispatchmethod
    def _on_message(self, message: Message, sender: str) -> Iterator[Any]:
        raise TypeError(f"unexpected message: {type(message).__name__}")

    @_on_message.register
    def _(self, message: BootstrapQuery, sender: str) -> Iterator[Any]:
        yield from self._bootstrap.on_query(sender, self._leader)

    @_on_message.register
    def _(self, message: BootstrapReply, sender: str) -> Iterator[Any]:
        self._bootstrap.on_reply(sender, message)
        yield from ()

    @_on_message.register
    def _(self, message: JoinRequest, sender: str) -> Iterator[Any]:
        if not self._leadership:
            yield from self._bootstrap.on_query(sender, self._leader)
            return
        joiner = Replica(sender, message.incarnation)
        yield from self._leadership.on_join(joiner, self._now_ms)

    @_on_message.register
    def _(self, message: VoteRequest, sender: str) -> Iterator[Any]:
        local = self._local
        if message.is_pre_vote:
            is_leader_alive = self._is_leader_alive()
            yield Send(sender, answer_pre_vote(local, message, is_leader_alive))
            return
        if self._is_leader_alive():
            return
        if message.term > self.term:
            yield from self._enter_term(message.term)
        candidate = Replica(sender, message.candidate_incarnation)
        is_granted = may_grant_vote(local, candidate, message)
        if is_granted:
            self._reset_election_timeout()
            yield from local.vote_for(candidate)
        yield Send(
            sender, build_vote_reply(local, message, self.term if is_granted else None)
        )

    @_on_message.register
    def _(self, message: VoteReply, sender: str) -> Iterator[Any]:
        if message.candidate_incarnation != self._local.identity.incarnation:
            return
        if message.term > self.term and not message.is_granted:
            yield from self._enter_term(message.term)
            return
        if self._ballot:
            self._ballot.add_reply(sender, message)
            yield from self._count_votes()

    @_on_message.register
    def _(self, message: AppendRequest, sender: str) -> Iterator[Any]:
        if message.term < self.term:
            yield self._follower.refuse(sender, message)
            return
        yield from self._on_leader_message(sender, message.term)
        self._leader_commit_index = max(self._leader_commit_index, message.commit_index)
        yield from self._follower.on_append(sender, message)

    @_on_message.register
    def _(self, message: SnapshotChunk, sender: str) -> Iterator[Any]:
        if message.term < self.term:
            yield self._follower.acknowledge(sender, message)
            return
        yield from self._on_leader_message(sender, message.term)
        yield from self._follower.on_chunk(sender, message)

    @_on_message.register
    def _(self, message: AppendReply, sender: str) -> Iterator[Any]:
        if message.term > self.term:
            yield from self._enter_term(message.term)
        if self._leadership and message.term == self.term:
            peer = Replica(sender, message.follower_incarnation)
            leadership = self._leadership
            yield from leadership.on_append_reply(peer, message, self._now_ms)

    @_on_message.register
    def _(self, message: SnapshotReply, sender: str) -> Iterator[Any]:
        if message.term > self.term:
            yield from self._enter_term(message.term)
        if self._leadership and message.term == self.term:
            peer = Replica(sender, message.follower_incarnation)
            leadership = self._leadership
            yield from leadership.on_snapshot_reply(peer, message, self._now_ms)

    def _on_election_timeout(self) -> Iterator[Any]:
        self._reset_election_timeout()
        if self._bootstrap.can_bootstrap:
            yield from self._request_votes(self._bootstrap.initial_members())
            self._bootstrap.clear_replies()
        elif self._local.is_voter:
            yield from self._request_pre_votes()
        else:
            yield from self._become_follower("")

    def _request_pre_votes(self) -> Iterator[Any]:
        yield from self._change_role(Role.PRE_CANDIDATE, "")
        self._ballot = Ballot(self._local, self.term + 1, is_pre_vote=True)
        yield from self._ballot.requests()
        yield from self._count_votes()

    def _request_votes(
        self, initial_members: MembershipChange | None = None
    ) -> Iterator[Any]:
        yield from self._local.enter_term(self.term + 1, self._local.identity)
        yield from self._change_role(Role.CANDIDATE, "")
        self._ballot = Ballot(self._local, self.term, False, initial_members)
        yield from self._ballot.requests()
        yield from self._count_votes()

    def _count_votes(self) -> Iterator[Any]:
        ballot = self._ballot
        if not ballot.is_won:
            return
        self._ballot = None
        if ballot.is_pre_vote:
            yield from self._request_votes()
        else:
            yield from self._become_leader(ballot.initial_members)

    def _become_leader(self, initial_members: MembershipChange | None) -> Iterator[Any]:
        leadership = Leadership(self._local, self._now_ms)
        self._leadership = leadership
        yield from self._change_role(Role.LEADER, self._local.identity.host)
        yield from leadership.begin(initial_members, self._now_ms)

    def _enter_term(self, term: int) -> Iterator[Any]:
        yield from self._local.enter_term(term)
        yield from self._become_follower("")

    def _on_leader_message(self, sender: str, term: int) -> Iterator[Any]:
        if term > self.term:
            yield from self._local.enter_term(term)
        self._leader_seen_ms = self._now_ms
        self._reset_election_timeout()
        yield from self._become_follower(sender)

    def _become_follower(self, leader: str) -> Iterator[Any]:
        leadership = self._leadership
        self._leadership = None
        self._ballot = None
        if leadership is not None:
            self._reset_election_timeout()
            yield from leadership.fail_reads()
        yield from self._change_role(Role.FOLLOWER, leader)

    def _change_role(self, role: Role, leader: str) -> Iterator[RoleChanged]:
        if (role, leader) == (self._role, self._leader):
            return
        self._role = role
        self._leader = leader
        yield RoleChanged(role, self.term, leader)

    def _reset_election_timeout(self) -> None:
        self._election_due_ms = self._now_ms + self._local.election_timeout_ms()

    def _is_leader_alive(self) -> bool:
        if self._leadership:
            return True
        silent_ms = self._now_ms - self._leader_seen_ms
        is_recent = silent_ms < self._local.timing.election_timeout_ms
        return bool(self._leader) and is_recent
