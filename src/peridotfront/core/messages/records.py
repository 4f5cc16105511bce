"""Records in the data folder of a control host."""

from dataclasses import dataclass

from .control import Replica
from .raft import LogEntry


@dataclass(frozen=True, slots=True)
class HardState:
    """Holds what a replica must not forget besides its log.

    :param voted_for: whom it gave its vote in ``term``.
    :param is_bootstrapped: whether its log has ever held an entry.
    """

    term: int = 0
    voted_for: Replica | None = None
    is_bootstrapped: bool = False


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Holds the state machine's state after an entry, and the group's members.

    :param data: the state, as the state machine encoded it.
    """

    last_index: int = 0
    last_term: int = 0
    voters: tuple[Replica, ...] = ()
    learners: tuple[Replica, ...] = ()
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Truncation:
    """Removes all entries from an index on."""

    from_index: int


@dataclass(frozen=True, slots=True)
class LogStart:
    """Opens a segment that follows a snapshot; earlier segments are void."""

    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True)
class StorageRecord:
    """Holds exactly one change of the data folder."""

    hard_state: HardState | None = None
    entry: LogEntry | None = None
    truncation: Truncation | None = None
    log_start: LogStart | None = None
    snapshot: Snapshot | None = None
