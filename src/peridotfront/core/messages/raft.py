"""Messages between the replicas of the control group."""

from dataclasses import dataclass

from .control import Command, Replica


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Entry of the replicated log."""

    index: int
    term: int
    command: Command


@dataclass(frozen=True, slots=True)
class BootstrapQuery:
    """Query to a configured control host whether its data folder is blank."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class BootstrapReply:
    """Reply to a :class:`BootstrapQuery`, or to a :class:`JoinRequest` elsewhere.

    :param is_blank: whether the data folder is blank and may take part in a bootstrap.
    :param group_hosts: hosts to send a join request to: the leader or, if none is
        known, the voters; empty if no group is known.
    :param is_empty: whether the data folder is blank, also if it is not known to be
        one of the deployment's first start.
    """

    incarnation: int
    is_blank: bool
    group_hosts: tuple[str, ...] = ()
    is_empty: bool = False


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Request for a vote, or with ``is_pre_vote`` whether it would be granted."""

    term: int
    candidate_incarnation: int
    last_log_index: int
    last_log_term: int
    is_pre_vote: bool


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Reply to a :class:`VoteRequest`.

    :param candidate_incarnation: incarnation in the request; a reply to an earlier
        incarnation of the candidate on the same host must not count.
    """

    term: int
    voter_incarnation: int
    is_granted: bool
    is_pre_vote: bool
    candidate_incarnation: int = 0


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Request to append log entries; without entries it is the leader's heartbeat.

    :param round_number: number of the current heartbeat round; replies to it confirm
        the leadership for reads that were requested before the round.
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
    """Reply to an :class:`AppendRequest`.

    :param match_index: last index that is known to match and synced to disk; after a
        refusal, the index from which the leader should retry.
    """

    term: int
    follower_incarnation: int
    is_success: bool
    match_index: int
    round_number: int


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Part of a snapshot, for a replica that is far behind.

    :param voters: voters of the group at the snapshot.
    :param learners: learners of the group at the snapshot.
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
    """Acknowledgement of the bytes of a snapshot received so far."""

    term: int
    follower_incarnation: int
    last_index: int
    received_bytes: int


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """Request to the leader to admit a replica with an empty data folder as learner.

    Any other replica answers it with a :class:`BootstrapReply`.
    """

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
