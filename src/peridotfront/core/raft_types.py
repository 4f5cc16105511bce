"""Data types of the replicated log: durable state, events, actions and timing."""

from dataclasses import dataclass, field
from enum import StrEnum

from .messages import Command, HardState, LogEntry, MembershipChange, Replica, Snapshot

ELECTION_TIMEOUT_MS = 600
HEARTBEAT_MS = 150
MAX_ENTRIES_PER_APPEND = 256
MAX_CHUNK_BYTES = 256 * 1024
MAX_APPEND_BYTES = 1024 * 1024
TRAILING_ENTRIES = 256
TRAILING_BYTES = 4 * MAX_APPEND_BYTES
REMOVE_SPARE_VOTER_AFTER_MS = 1500
REMOVE_VOTER_AFTER_MS = 8000
DEFAULT_TOLERATED_LOSSES = 1
MIN_VOTERS = 3


class Role(StrEnum):
    """Role of a replica in its group."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class GroupPolicy:
    """Rules for bootstrapping the group, joining it, and replacing voters.

    :param may_bootstrap: whether a blank local data folder may take part in a
        bootstrap.
    :param allows_unlisted_hosts: whether hosts that the settings do not name may join.
    :param replaces_voters: whether a caught-up learner on another host replaces a
        voter that is silent, and silent voters that nothing replaces are removed.
    :param remove_spare_voter_after_ms: silence after which a voter is removed from an
        even number of them, which bears no fewer losses without it.
    :param remove_voter_after_ms: silence after which the only silent voter of an odd
        number is removed.
    :param tolerated_losses: number of voters whose disks may be lost at the same time.
    :param is_first_start: whether this process began with the whole deployment. It may
        then bootstrap with a minority of hosts whose folders are blank, but not known
        to be those of the first start.
    """

    may_bootstrap: bool = True
    allows_unlisted_hosts: bool = False
    replaces_voters: bool = False
    remove_spare_voter_after_ms: int = REMOVE_SPARE_VOTER_AFTER_MS
    remove_voter_after_ms: int = REMOVE_VOTER_AFTER_MS
    tolerated_losses: int = DEFAULT_TOLERATED_LOSSES
    is_first_start: bool = False

    @property
    def min_voters(self) -> int:
        """Return the number of voters at which a silent one is not removed any more.

        With one voter less the tolerated losses would leave no quorum.
        """
        return max(MIN_VOTERS, 2 * self.tolerated_losses + 1)


@dataclass(frozen=True, slots=True)
class RaftTiming:
    """Timeouts and size limits of the protocol.

    :param election_timeout_ms: minimum silence of the leader after which a voter
        starts an election; also how long a leader continues without a quorum.
    :param heartbeat_ms: time between two heartbeats of the leader.
    :param max_entries_per_append: maximum number of entries in one request.
    :param max_chunk_bytes: maximum size of one snapshot chunk.
    :param trailing_entries: number of entries up to a snapshot that stay in memory,
        so that a peer that is slightly behind needs no snapshot.
    :param trailing_bytes: maximum estimated size of these entries, so that a peer that
        is far behind gets the snapshot in place of many large entries.
    :param max_append_bytes: maximum estimated size of the entries in one request; a
        single entry may be larger.
    :param first_timeout_ratio: fraction of the election timeout that a voter waits
        for a leader after its start.
    """

    election_timeout_ms: int = ELECTION_TIMEOUT_MS
    heartbeat_ms: int = HEARTBEAT_MS
    max_entries_per_append: int = MAX_ENTRIES_PER_APPEND
    max_chunk_bytes: int = MAX_CHUNK_BYTES
    trailing_entries: int = TRAILING_ENTRIES
    trailing_bytes: int = TRAILING_BYTES
    max_append_bytes: int = MAX_APPEND_BYTES
    first_timeout_ratio: float = 1.0


@dataclass(frozen=True, slots=True)
class RaftState:
    """Durable state loaded from storage when the process started."""

    hard_state: HardState = field(default_factory=HardState)
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Propose:
    """Event: request to append a command, served only by the leader."""

    command: Command


@dataclass(frozen=True, slots=True)
class Read:
    """Event: request to serve a read from the local state machine.

    :param read_id: identifier returned with the result.
    """

    read_id: int


@dataclass(frozen=True, slots=True)
class PersistAction:
    """Base class of the actions that change the data folder.

    They are run and synced before any other action of the same turn.
    """


@dataclass(frozen=True, slots=True)
class SaveHardState(PersistAction):
    """Action: write term and vote."""

    hard_state: HardState


@dataclass(frozen=True, slots=True)
class AppendEntries(PersistAction):
    """Action: write entries to the end of the log."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class TruncateLog(PersistAction):
    """Action: remove all entries from an index on."""

    from_index: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot(PersistAction):
    """Action: write a snapshot and replace the log with the entries after it.

    :param entries: entries after the snapshot that are kept.
    """

    snapshot: Snapshot
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """Action: apply a committed entry to the state machine."""

    entry: LogEntry


@dataclass(frozen=True, slots=True)
class Restore:
    """Action: replace the state machine's state with a snapshot."""

    last_index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ReadReady:
    """Action: serve the read from the local state machine now."""

    read_id: int


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Action: report that this replica cannot serve the read."""

    read_id: int


@dataclass(frozen=True, slots=True)
class ProposalDropped:
    """Action: report that a command was not appended to the log.

    This replica is not the leader, or the command changes the membership, which only
    the leader itself proposes.
    """

    command: Command


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """Action: report a change of the role or the known leader.

    :param leader: host name of the leader; empty if none is known.
    """

    role: Role
    term: int
    leader: str


@dataclass(frozen=True, slots=True)
class PeerDump:
    """Diagnostic view of a peer, as seen by the leader."""

    replica: Replica
    match_index: int
    next_index: int
    silent_ms: int
    snapshot_bytes_sent: int


@dataclass(frozen=True, slots=True)
class RaftDump:
    """Diagnostic view of a replica."""

    identity: Replica
    role: Role
    term: int
    leader: str
    voted_for: Replica | None
    membership: MembershipChange
    is_membership_committed: bool
    snapshot_index: int
    last_index: int
    commit_index: int
    last_applied: int
    pending_reads: int
    peers: tuple[PeerDump, ...]
