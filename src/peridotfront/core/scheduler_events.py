"""Events for the scheduler of a cell other than messages from peers."""

from dataclasses import dataclass

from .fleet import Fleet


@dataclass(frozen=True, slots=True)
class FleetChanged:
    """Activation of a new configuration."""

    fleet: Fleet


@dataclass(frozen=True, slots=True)
class StrikesChanged:
    """Change of the active strikes against a request's fingerprint."""

    fingerprint: int
    strikes: int


@dataclass(frozen=True, slots=True)
class HostLost:
    """Loss of an entry host, which is considered dead.

    :param is_restarted: whether its process has ended for certain, and with it all
        requests that it had sent to upstreams.
    """

    host: str
    is_restarted: bool = False
