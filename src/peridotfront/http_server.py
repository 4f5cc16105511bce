"""HTTP/1.1 server for callers."""

import asyncio
import contextlib
import logging
import socket
import ssl
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from email.utils import formatdate
from http import HTTPStatus

from .caller_connections import CallerConnection
from .core.verdicts import Reason, Refusal, Verdict
from .exceptions import CallerGone, InvalidRequest
from .exchanges import Exchange, HttpLimits
from .held_bytes import SEARCH_INTERVAL_S, HeldBytes, is_stalled
from .http_messages import Header, HttpRequest
from .problems import Problem, problem

__all__ = [
    "Exchange",
    "Header",
    "HttpLimits",
    "HttpRequest",
    "HttpServer",
    "Problem",
    "problem",
]

LISTEN_BACKLOG = 512
# Connections accepted at a time. Each takes a descriptor before it is counted.
ACCEPTS_PER_STEP = 4
SWEEP_INTERVAL_MS = 250
SWEEPS_PER_LIMIT = 4
DRAIN_POLL_MS = 20
DRAIN_IDLE_MS = 1000
# At the limit of connections this share of them is closed at once, as far as stalled.
EVICTED_RATIO = 1 / 16
# Connections beyond these are closed without an answer.
MAX_REFUSED_CONNECTIONS = 16

logger = logging.getLogger(__name__)

Handler = Callable[[Exchange], Awaitable[None]]


def log_failure(error: Exception) -> None:
    """Write an exception of a handler to the log."""
    logger.error("the handler of a request failed", exc_info=error)


class HttpServer:
    """HTTP/1.1 server for callers.

    :param handler: async function called once for each complete request.
    :param limits: limits on sizes, times and connections.
    :param ssl_context: TLS context; None serves plain TCP.
    :param report_failure: function called with each unhandled exception of a
        handler; the default writes it to the log.
    :param held: account of the bytes in progress, shared by the listeners of a
        process; the default is one of its own.

    ``refusals`` counts, by status code, the requests that were refused before
    any handler ran; these have no request id.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits | None = None,
        ssl_context: ssl.SSLContext | None = None,
        *,
        report_failure: Callable[[Exception], None] | None = None,
        held: HeldBytes | None = None,
    ):
        self.limits = limits or HttpLimits()
        self.held = held or HeldBytes(self.limits.max_held_bytes)
        self.is_draining = False
        self.buffered_body_bytes = 0
        self.refusals: Counter[int] = Counter()
        self._report_failure = report_failure or log_failure
        self._handler = handler
        self._ssl_context = ssl_context
        self._listener: asyncio.Server | None = None
        self._open: set[CallerConnection] = set()
        self._refused: set[CallerConnection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._sweeper: asyncio.TimerHandle | None = None
        self._date = (0, b"")
        self._next_eviction_s = 0.0

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._listener.sockets[0].getsockname()[1]

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    @property
    def requests_in_progress(self) -> int:
        """Return the number of requests whose handler has not returned."""
        return len(self._tasks)

    async def start(self, host_ip: str, port: int = 0) -> None:
        """Listen on an address.

        :param host_ip: IP address to bind.
        :param port: port to bind; 0 lets the kernel choose one.
        :raises OSError: if the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        handshake_s = (
            self.limits.request_timeout_ms / 1000 if self._ssl_context else None
        )
        family = socket.AF_INET6 if ":" in host_ip else socket.AF_INET
        sock = socket.create_server((host_ip, port), family=family)
        self._listener = await loop.create_server(
            lambda: CallerConnection(self),
            sock=sock,
            ssl=self._ssl_context,
            ssl_handshake_timeout=handshake_s,
            backlog=ACCEPTS_PER_STEP,
        )
        # The event loop takes its number of accepts from the same argument.
        sock.listen(LISTEN_BACKLOG)
        self._sweep()

    def close_listener(self) -> None:
        """Stop accepting connections."""
        if self._listener is not None:
            self._listener.close()

    async def drain(self, timeout_ms: int) -> bool:
        """Close each connection after its next answer; wait for requests to end.

        Returns early once no request is in progress and no idle connection was
        used within the last second, since its caller may be about to send.

        :param timeout_ms: maximum time to wait.
        :return: whether no request is in progress.
        :rtype: bool
        """
        self.is_draining = True
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_ms / 1000
        while loop.time() < deadline_s and not self._is_drained(loop.time()):
            await asyncio.sleep(DRAIN_POLL_MS / 1000)
        return not self._tasks

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in list(self._open):
            connection.close_if_idle()

    async def close(self) -> None:
        """Stop immediately: cancel all handlers and close all connections."""
        self.close_listener()
        if self._sweeper is not None:
            self._sweeper.cancel()
        tasks = set(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for connection in list(self._open):
            connection.abort()
        while self._open:
            await asyncio.sleep(0)

    def admit(self, connection: CallerConnection) -> bool:
        """Register a connection; return false if there are too many."""
        self._open.add(connection)
        if self._has_room():
            return True
        self._evict_stalled(connection)
        if self._has_room():
            return True
        self._refused.add(connection)
        return False

    def can_refuse(self) -> bool:
        """Return whether a connection too many may be told so before it is closed."""
        return len(self._refused) <= MAX_REFUSED_CONNECTIONS

    def can_run(self) -> bool:
        """Return whether one more request may be in progress."""
        return len(self._tasks) < self.limits.max_requests

    def _has_room(self) -> bool:
        return len(self._open) - len(self._refused) <= self.limits.max_connections

    def _evict_stalled(self, newest: CallerConnection) -> None:
        """Close connections without progress, first those that never had a request."""
        now_s = time.monotonic()
        if now_s < self._next_eviction_s:
            return
        self._next_eviction_s = now_s + SEARCH_INTERVAL_S
        stalled = [c for c in self._open - {newest} if is_stalled(c, now_s)]
        stalled.sort(key=lambda c: (c.has_request, c.progress_s))
        count = max(1, int(EVICTED_RATIO * self.limits.max_connections))
        for connection in stalled[:count]:
            self.held.close(connection, "connections")
            self.remove(connection)

    def remove(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self._open.discard(connection)
        self._refused.discard(connection)

    def run(self, exchange: Exchange) -> None:
        """Start the handler for a request."""
        task = asyncio.get_running_loop().create_task(self._handle(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def date(self) -> bytes:
        """Return the value of the Date header."""
        now_s = int(time.time())
        if self._date[0] != now_s:
            self._date = (now_s, formatdate(now_s, usegmt=True).encode())
        return self._date[1]

    async def _handle(self, exchange: Exchange) -> None:
        try:
            await self._handler(exchange)
        except CallerGone:
            pass
        except InvalidRequest as error:
            refusal = Refusal(error.verdict, error.reason, detail=str(error))
            await self._refuse(exchange, HTTPStatus.BAD_REQUEST, refusal)
        except asyncio.CancelledError:
            exchange.abort()
            raise
        except Exception as error:
            self._report_failure(error)
        finally:
            await self._complete(exchange)

    async def _complete(self, exchange: Exchange) -> None:
        if exchange.is_started:
            exchange.abort()
        refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.NONE, detail="internal error")
        await self._refuse(exchange, HTTPStatus.INTERNAL_SERVER_ERROR, refusal)

    @staticmethod
    async def _refuse(exchange: Exchange, status_code: int, refusal: Refusal) -> None:
        if exchange.is_started or exchange.is_finished:
            return
        with contextlib.suppress(CallerGone):
            await exchange.refuse(status_code, refusal)

    def _is_drained(self, now_s: float) -> bool:
        max_last_use_s = now_s - DRAIN_IDLE_MS / 1000
        return not self._tasks and all(
            (connection.is_idle and connection.idle_since_s <= max_last_use_s)
            or (connection.is_sending and is_stalled(connection, now_s))
            for connection in self._open - self._refused
        )

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        for connection in list(self._open):
            connection.check_deadlines(now_s)
        # Connections that were within the time for progress above may be stalled now.
        self.held.make_room()
        limits = self.limits
        shortest_ms = min(
            limits.idle_timeout_ms, limits.request_timeout_ms, limits.write_timeout_ms
        )
        interval_ms = min(SWEEP_INTERVAL_MS, 1 + shortest_ms / SWEEPS_PER_LIMIT)
        self._sweeper = loop.call_later(interval_ms / 1000, self._sweep)
