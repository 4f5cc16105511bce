"""Events for the scheduler of a cell that are not messages of a peer."""

from dataclasses import dataclass

from .fleet import Fleet


@dataclass(frozen=True, slots=True)
class FleetChanged:
    """Tells that a new configuration is in force."""

    fleet: Fleet


@dataclass(frozen=True, slots=True)
class StrikesChanged:
    """Tells the strikes that stand against a request's fingerprint."""

    fingerprint: int
    strikes: int


@dataclass(frozen=True, slots=True)
class HostLost:
    """Tells that an entry host is judged dead.

    :param is_restarted: whether its process is known to have ended, and with it
        all that it had sent to upstreams.
    """

    host: str
    is_restarted: bool = False
