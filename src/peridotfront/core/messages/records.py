"""Records in the data folder of a control host."""

from dataclasses import dataclass

from .control import Replica
from .raft import LogEntry


@dataclass(frozen=True, slots=True)
class HardState:
    """Durable state of a replica besides its log.

    :param voted_for: candidate that it voted for in ``term``.
    :param is_bootstrapped: whether its log has ever held an entry.
    """

    term: int = 0
    voted_for: Replica | None = None
    is_bootstrapped: bool = False


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Snapshot of the state machine after an entry, with the members of the group.

    :param data: state, as encoded by the state machine.
    """

    last_index: int = 0
    last_term: int = 0
    voters: tuple[Replica, ...] = ()
    learners: tuple[Replica, ...] = ()
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Truncation:
    """Removal of all log entries from an index onwards."""

    from_index: int


@dataclass(frozen=True, slots=True)
class LogStart:
    """Start of a segment after a snapshot; earlier segments are obsolete."""

    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True)
class StorageRecord:
    """Record with exactly one change of the data folder."""

    hard_state: HardState | None = None
    entry: LogEntry | None = None
    truncation: Truncation | None = None
    log_start: LogStart | None = None
    snapshot: Snapshot | None = None
