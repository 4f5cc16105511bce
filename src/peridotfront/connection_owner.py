"""Interface of a server as its connections use it."""

from collections import Counter
from typing import Protocol

from .exchanges import Exchange, HttpLimits
from .held_bytes import HeldBytes, Holder


class ConnectionOwner(Protocol):
    """Interface of the server as its connections use it."""

    limits: HttpLimits
    is_draining: bool
    buffered_body_bytes: int
    held: HeldBytes
    refusals: Counter[int]

    def admit(self, connection: Holder) -> bool:
        """Register a connection; return false if there are too many."""

    def can_refuse(self) -> bool:
        """Return whether a connection too many may be told so before it is closed."""

    def remove(self, connection: Holder) -> None:
        """Remove a closed connection."""

    def can_run(self) -> bool:
        """Return whether one more request may be in progress."""

    def run(self, exchange: Exchange) -> None:
        """Start the handler for a request."""

    def date(self) -> bytes:
        """Return the value of the Date header."""
