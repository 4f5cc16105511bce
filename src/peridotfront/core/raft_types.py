"""Data of the replicated log: durable state, events, actions and timing."""

from dataclasses import dataclass, field
from enum import StrEnum

from .messages import Command, HardState, LogEntry, MembershipChange, Replica, Snapshot

ELECTION_TIMEOUT_MS = 600
HEARTBEAT_MS = 150
MAX_ENTRIES_PER_APPEND = 256
MAX_CHUNK_BYTES = 256 * 1024
MAX_APPEND_BYTES = 1024 * 1024
TRAILING_ENTRIES = 256


class Role(StrEnum):
    """Names the part that a replica plays in its group."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class GroupPolicy:
    """Says who may found the group, join it, and replace a voter.

    :param may_bootstrap: whether the own blank data folder may take part in a founding.
    :param allows_unlisted_hosts: whether hosts that the settings don't name may join.
    :param replace_silent_voter_after_ms: silence after which a voter may be replaced
        by a learner on another host; None if that never happens.
    """

    may_bootstrap: bool = True
    allows_unlisted_hosts: bool = False
    replace_silent_voter_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class RaftTiming:
    """Holds the times and sizes of the protocol.

    :param election_timeout_ms: silence of the leader after which a voter asks
        for an election; also how long a leader goes on without a quorum.
    :param heartbeat_ms: time between two heartbeats of the leader.
    :param max_entries_per_append: entries in one request at most.
    :param max_chunk_bytes: size of one piece of a snapshot at most.
    :param trailing_entries: entries before a snapshot that stay in memory, so
        that a peer that is a little behind needs no snapshot.
    :param max_append_bytes: size of the entries in one request at most, by
        estimate; a single entry may be larger.
    :param first_timeout_ratio: of the election timeout, that a voter waits for a
        leader after its start.
    """

    election_timeout_ms: int = ELECTION_TIMEOUT_MS
    heartbeat_ms: int = HEARTBEAT_MS
    max_entries_per_append: int = MAX_ENTRIES_PER_APPEND
    max_chunk_bytes: int = MAX_CHUNK_BYTES
    trailing_entries: int = TRAILING_ENTRIES
    max_append_bytes: int = MAX_APPEND_BYTES
    first_timeout_ratio: float = 1.0


@dataclass(frozen=True, slots=True)
class RaftState:
    """Holds what storage loaded when the process started."""

    hard_state: HardState = field(default_factory=HardState)
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Propose:
    """Event: asks the leader to append a command."""

    command: Command


@dataclass(frozen=True, slots=True)
class Read:
    """Event: asks whether a read may be served from the local state machine.

    :param read_id: returned with the answer.
    """

    read_id: int


@dataclass(frozen=True, slots=True)
class PersistAction:
    """Base of the actions that change the data folder.

    They are synced before any later action of the same turn is run.
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
    """Action: write a snapshot and replace the log by what follows it.

    :param entries: the entries after the snapshot that stay.
    """

    snapshot: Snapshot
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """Action: apply a committed entry to the state machine."""

    entry: LogEntry


@dataclass(frozen=True, slots=True)
class Restore:
    """Action: replace the state machine's state by a snapshot."""

    last_index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ReadReady:
    """Action: the read may be served from the local state machine now."""

    read_id: int


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Action: this replica can't serve the read."""

    read_id: int


@dataclass(frozen=True, slots=True)
class ProposalDropped:
    """Action: the command was not appended, since this is not the leader."""

    command: Command


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """Action: role, term or the known leader changed.

    :param leader: host name of the leader; empty if none is known.
    """

    role: Role
    term: int
    leader: str


@dataclass(frozen=True, slots=True)
class PeerDump:
    """Describes what a leader knows of a peer."""

    replica: Replica
    match_index: int
    next_index: int
    silent_ms: int
    snapshot_bytes_sent: int


@dataclass(frozen=True, slots=True)
class RaftDump:
    """Describes the state of a replica for operators."""

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
