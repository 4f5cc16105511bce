"""Messages between the replicas of the control group."""

from dataclasses import dataclass

from .control import Command, Replica


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Holds one entry of the replicated log."""

    index: int
    term: int
    command: Command


@dataclass(frozen=True, slots=True)
class BootstrapQuery:
    """Asks a configured control host whether its data folder is blank."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class BootstrapReply:
    """Answers a :class:`BootstrapQuery`."""

    incarnation: int
    is_blank: bool


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote, or with ``is_pre_vote`` whether one would be given."""

    term: int
    candidate_incarnation: int
    last_log_index: int
    last_log_term: int
    is_pre_vote: bool


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Answers a :class:`VoteRequest`.

    :param candidate_incarnation: of the request; an answer to a predecessor of
        the candidate on the same host must not count.
    """

    term: int
    voter_incarnation: int
    is_granted: bool
    is_pre_vote: bool
    candidate_incarnation: int = 0


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Replicates entries; with none it is the leader's heartbeat.

    :param round_number: grows with each heartbeat; confirms the leadership for
        reads that were asked before it.
    """

    term: int
    leader_incarnation: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round_number: int


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Answers an :class:`AppendRequest`.

    :param match_index: the last index known to match and synced to disk; after
        a refusal, the index from which the leader should try again.
    """

    term: int
    follower_incarnation: int
    is_success: bool
    match_index: int
    round_number: int


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Carries a piece of a snapshot to a replica that is far behind.

    :param voters: the group's voters as of the snapshot.
    :param learners: the group's learners as of the snapshot.
    """

    term: int
    last_index: int
    last_term: int
    offset_bytes: int
    total_bytes: int
    data: bytes
    voters: tuple[Replica, ...] = ()
    learners: tuple[Replica, ...] = ()


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Acknowledges the bytes of a snapshot received so far."""

    term: int
    follower_incarnation: int
    last_index: int
    received_bytes: int


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """Asks the leader to admit a replica with an empty data folder as learner."""

    incarnation: int


RAFT_MESSAGES = (
    BootstrapQuery,
    BootstrapReply,
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    JoinRequest,
)
