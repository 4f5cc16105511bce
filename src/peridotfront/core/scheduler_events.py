"""Events for the scheduler of a cell, except messages from peers."""

from dataclasses import dataclass

from .fleet import Fleet


@dataclass(frozen=True, slots=True)
class FleetChanged:
    """Event: a new configuration has become active."""

    fleet: Fleet


@dataclass(frozen=True, slots=True)
class StrikesChanged:
    """Event: the number of active strikes against a fingerprint has changed."""

    fingerprint: int
    strikes: int


@dataclass(frozen=True, slots=True)
class CrashesChanged:
    """Event: other parts of requests than before are known to crash upstreams."""


@dataclass(frozen=True, slots=True)
class HostLost:
    """Event: an entry host is considered dead.

    :param is_restarted: whether its slots are released, since its process has ended for
        certain and with it all requests that it had sent to upstreams.
    """

    host: str
    is_restarted: bool = False
