"""Events about routes and upstreams, for control hosts and entry hosts."""

from dataclasses import dataclass

from .messages import ListedUpstream
from .routes import RoutingConfig


@dataclass(frozen=True, slots=True)
class RoutingChanged:
    """Event: a configuration of routes has become active."""

    routing: RoutingConfig


@dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """Event: the platform's list of upstreams was read.

    :param upstreams: its entries, of which several may have one name.
    """

    upstreams: tuple[ListedUpstream, ...]
