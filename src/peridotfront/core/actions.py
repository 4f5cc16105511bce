"""Actions and events shared by all roles of the core."""

from dataclasses import dataclass
from typing import Any

from .messages import Message


@dataclass(frozen=True, slots=True)
class Tick:
    """Event: time has passed; sent every few milliseconds."""


@dataclass(frozen=True, slots=True)
class Received:
    """Event: a message of a peer has arrived.

    :param sender: the peer's host name.
    :param incarnation: the peer's incarnation, a new one for each process start.
    :param message: the received message.
    """

    sender: str
    incarnation: int
    message: Message


@dataclass(frozen=True, slots=True)
class Send:
    """Action: send a message to a peer; delivery is not guaranteed.

    :param to_host: the peer's host name; may be the local host.
    :param message: the message to send.
    """

    to_host: str
    message: Message


@dataclass(frozen=True, slots=True)
class Log:
    """Action: write a numbered log event.

    :param event: the name of the event in the catalogue of ``logs``.
    :param fields: names and values of the fields of the log line.
    """

    event: str
    fields: tuple[tuple[str, Any], ...] = ()
