"""Events that tell control hosts and entry hosts of routes and upstreams."""

from dataclasses import dataclass

from .messages import ListedUpstream
from .routes import RoutingConfig


@dataclass(frozen=True, slots=True)
class RoutingChanged:
    """Event: a configuration of routes is in force."""

    routing: RoutingConfig


@dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """Event: the platform's list was read."""

    upstreams: tuple[ListedUpstream, ...]
