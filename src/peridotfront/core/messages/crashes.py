"""Messages about requests that crash the upstreams that answer them.

A part of a request is a part of its prompt that other requests may share, or its
fingerprint, which stands for the whole request. Both are hashes.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Report that an upstream crashed while it executed requests.

    :param parts: parts of these requests, any of which may be the cause.
    :param age_ms: time since the crash.
    """

    service: str
    upstream: str
    parts: tuple[int, ...]
    age_ms: int = 0


@dataclass(frozen=True, slots=True)
class PartsCleared:
    """Report that an upstream completed a request with parts that were suspected."""

    service: str
    parts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class CrashBatch:
    """Command that records crashes, and clears parts of suspicion.

    :param time_ms: time on the clock of the crashes, which runs only under a leader.
    """

    time_ms: int
    crashes: tuple[CrashReport, ...] = ()
    cleared: tuple[PartsCleared, ...] = ()


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """Crash of an upstream with the parts that are still suspected.

    :param time_ms: time on the clock of the crashes.
    """

    service: str
    upstream: str
    time_ms: int
    parts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class CrashesSnapshot:
    """Complete state of the crashes, oldest first."""

    time_ms: int = 0
    records: tuple[CrashRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class CrashingGroup:
    """Parts that crash upstreams if a request has all of them.

    More than one part means that all crashes had all of them, so that it is unknown
    which of them is the cause.
    """

    service: str
    parts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class CrashingParts:
    """All groups of parts that crash upstreams, sent to entry hosts by the leader."""

    groups: tuple[CrashingGroup, ...]


CRASH_MESSAGES = (CrashReport, PartsCleared, CrashingParts)
