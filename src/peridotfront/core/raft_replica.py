"""State of the local replica, shared by all its roles."""

from collections.abc import Callable, Iterator
from dataclasses import replace

from ..exceptions import CommittedEntryConflict
from .messages import (
    AppendRequest,
    HardState,
    LogEntry,
    Replica,
    Snapshot,
    VoteRequest,
)
from .raft_log import RaftLog
from .raft_membership import is_member
from .raft_types import (
    AppendEntries,
    Committed,
    GroupPolicy,
    InstallSnapshot,
    RaftState,
    RaftTiming,
    Restore,
    SaveHardState,
    TruncateLog,
)

Jitter = Callable[[], float]


class LocalReplica:
    """Term, vote, log and commit index of the local replica.

    Its methods yield the actions that make each change durable, in order.

    :param identity: local host name and the incarnation of its data folder.
    :param configured_hosts: control hosts named in the settings.
    :param state: state loaded from storage.
    :param timing: timeouts and size limits of the protocol.
    :param jitter: returns a random number from 0 to 1 at each call.
    :param policy: rules for bootstrapping, joining and replacing voters.
    """

    def __init__(
        self,
        identity: Replica,
        configured_hosts: tuple[str, ...],
        state: RaftState,
        timing: RaftTiming,
        jitter: Jitter,
        policy: GroupPolicy | None = None,
    ) -> None:
        self.identity = identity
        self.policy = policy or GroupPolicy()
        self.configured_hosts = configured_hosts
        self.hard_state = state.hard_state
        self.log = RaftLog(state.snapshot, state.entries)
        self.timing = timing
        self.commit_index = state.snapshot.last_index
        self._jitter = jitter

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term

    @property
    def is_voter(self) -> bool:
        """Return whether the local replica is a voter."""
        return self.identity in self.log.membership.voters

    @property
    def is_member(self) -> bool:
        """Return whether the local replica is a voter or learner."""
        return is_member(self.log.membership, self.identity)

    @property
    def is_blank(self) -> bool:
        """Return whether the log has never held an entry."""
        return not self.hard_state.is_bootstrapped and self.log.last_index == 0

    @property
    def peer_hosts(self) -> tuple[str, ...]:
        """Return the configured hosts without the local one."""
        hosts = self.configured_hosts
        return tuple([host for host in hosts if host != self.identity.host])

    def election_timeout_ms(self) -> float:
        """Return a random election timeout, one to two times the configured one."""
        return self.timing.election_timeout_ms * (1 + self._jitter())

    def save(self, hard_state: HardState) -> Iterator[SaveHardState]:
        """Save the hard state if it has changed."""
        if hard_state != self.hard_state:
            self.hard_state = hard_state
            yield SaveHardState(hard_state)

    def enter_term(self, term: int, vote: Replica | None = None) -> Iterator:
        """Enter a higher term, with the vote given in it, if any."""
        yield from self.save(replace(self.hard_state, term=term, voted_for=vote))

    def vote_for(self, candidate: Replica) -> Iterator[SaveHardState]:
        """Vote for a candidate in the current term."""
        yield from self.save(replace(self.hard_state, voted_for=candidate))

    def append(self, entries: tuple[LogEntry, ...]) -> Iterator:
        """Append entries that directly follow the last one."""
        if not entries:
            return
        self.log.append(entries)
        yield AppendEntries(entries)
        yield from self._mark_bootstrapped()

    def _mark_bootstrapped(self) -> Iterator[SaveHardState]:
        if not self.hard_state.is_bootstrapped:
            yield from self.save(replace(self.hard_state, is_bootstrapped=True))

    def accept(self, request: AppendRequest) -> Iterator:
        """Append the entries of a leader whose log matches the entry before them.

        :raises CommittedEntryConflict: if they contradict a committed entry.
        """
        entries = request.entries
        for position, entry in enumerate(entries):
            if entry.index <= self.log.snapshot.last_index:
                continue
            term = self.log.term_at(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                yield from self._truncate(entry.index)
            yield from self.append(entries[position:])
            return

    def _truncate(self, from_index: int) -> Iterator[TruncateLog]:
        if from_index <= self.commit_index:
            raise CommittedEntryConflict(
                f"leader contradicts committed entry {from_index}"
            )
        self.log.truncate(from_index)
        yield TruncateLog(from_index)

    def commit_up_to(self, index: int) -> Iterator[Committed]:
        """Commit the entries up to an index; do nothing if it is committed already."""
        while self.commit_index < index:
            self.commit_index += 1
            yield Committed(self.log.entry(self.commit_index))

    def compact(self, index: int, data: bytes) -> Iterator[InstallSnapshot]:
        """Replace all entries up to a committed one with a snapshot."""
        timing = self.timing
        trailing_entries = self.log.count_before(
            index, timing.trailing_entries, timing.trailing_bytes
        )
        snapshot = self.log.compact(index, data, trailing_entries)
        yield InstallSnapshot(snapshot, self.log.entries(index + 1))

    def install(self, snapshot: Snapshot) -> Iterator:
        """Install a leader's snapshot that ends after the commit index."""
        kept_entries = self.log.install(snapshot)
        self.commit_index = snapshot.last_index
        yield InstallSnapshot(snapshot, kept_entries)
        yield from self._mark_bootstrapped()
        yield Restore(snapshot.last_index, snapshot.data)

    def is_up_to_date(self, request: VoteRequest) -> bool:
        """Return whether a candidate's log is at least as up to date as this one."""
        local_position = (self.log.last_term, self.log.last_index)
        return (request.last_log_term, request.last_log_index) >= local_position
