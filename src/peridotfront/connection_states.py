"""States of callers' connections, and what their sockets tell."""

import asyncio
import contextlib
import fcntl
import select
import socket
import struct
import termios
from enum import Enum, StrEnum, auto

DELIVERY_POLL_MS = 5
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Phase(Enum):
    """Phases of a connection.

    ``SENDING``: the next request waits until most of the last answer is sent.
    """

    IDLE = auto()
    READING = auto()
    RUNNING = auto()
    SENDING = auto()
    CLOSING = auto()


class CloseCause(StrEnum):
    """Reasons for which this host closes a caller's connection."""

    NONE = "none"
    IDLE = "idle"
    DRAINING = "draining"
    LAST_ANSWER = "last_answer"
    TRUNCATED = "truncated"
    REFUSED = "refused"
    PROTOCOL = "protocol"


def has_closed(transport) -> bool:
    """Return whether the other side has closed its sending side."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket"), select.POLLRDHUP)
    return bool(poll.poll(0))


def is_delivered(transport) -> bool:
    """Return whether the other side's system has acknowledged all output."""
    if transport.get_write_buffer_size():
        return False
    sock = transport.get_extra_info("socket")
    unacknowledged = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    return not any(unacknowledged)


def close_when_delivered(transport, loop: asyncio.AbstractEventLoop) -> None:
    """Close once the other side's system has acknowledged all output."""
    if transport.is_closing():
        return
    if is_delivered(transport):
        transport.close()
        return
    loop.call_later(DELIVERY_POLL_MS / 1000, close_when_delivered, transport, loop)


def reset_on_close(transport) -> None:
    """Let the close of a connection reset it."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def write_eof(transport) -> None:
    """Close the sending side, unless the caller has reset the connection."""
    with contextlib.suppress(OSError):
        transport.write_eof()
