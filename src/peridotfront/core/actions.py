"""Actions and events that every role of the core shares."""

from dataclasses import dataclass
from typing import Any

from .messages import Message


@dataclass(frozen=True, slots=True)
class Tick:
    """Tells a role that time has passed; sent every few milliseconds."""


@dataclass(frozen=True, slots=True)
class Received:
    """Delivers one message of a peer.

    :param sender: the peer's host name.
    :param incarnation: the peer's incarnation, drawn anew at each start.
    :param message: the message itself.
    """

    sender: str
    incarnation: int
    message: Message


@dataclass(frozen=True, slots=True)
class Send:
    """Asks the program to send a message; delivery is not promised.

    :param to_host: the peer's host name; may be the own one.
    :param message: the message to send.
    """

    to_host: str
    message: Message


@dataclass(frozen=True, slots=True)
class Log:
    """Asks the program to write a numbered log event.

    :param event: the name of the event in the catalogue of ``logs``.
    :param fields: the values that go with it.
    """

    event: str
    fields: tuple[tuple[str, Any], ...] = ()
