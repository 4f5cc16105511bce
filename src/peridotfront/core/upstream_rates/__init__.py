"""Learned speeds of upstreams, and the costs of placements that follow from them."""

from .costs import PlacementCosts, Wait
from .loads import ServiceLoads
from .memory import HeldMemory, cautious_tokens
from .rates import UpstreamRates
from .speeds import Speed, Speeds

__all__ = [
    "HeldMemory",
    "PlacementCosts",
    "ServiceLoads",
    "Speed",
    "Speeds",
    "UpstreamRates",
    "Wait",
    "cautious_tokens",
]
