"""HTTP exchanges with callers: one request each, and its answer."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from .core.verdicts import Refusal
from .exceptions import CallerGone
from .http_messages import HttpRequest
from .problems import problem


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on the resources of one caller and of all callers together.

    :param max_header_bytes: size limit for the header of a request.
    :param max_body_bytes: size limit for the body of a request.
    :param max_total_body_bytes: limit on the request bodies of all callers that are
        in memory at one time.
    :param max_connections: limit on open connections.
    :param max_requests: limit on requests in progress.
    :param max_held_bytes: limit on the bytes in progress of all connections, unless
        the listeners of a process share one.
    :param idle_timeout_ms: time limit for an idle connection.
    :param request_timeout_ms: time limit from the first byte of a request to its
        last.
    :param write_timeout_ms: time limit for a caller that reads nothing while the
        write buffer is full.
    :param write_buffer_bytes: unsent bytes above which writers wait.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 8 * 1024 * 1024
    max_total_body_bytes: int = 256 * 1024 * 1024
    max_connections: int = 1000
    max_requests: int = 3000
    max_held_bytes: int = 320 * 1024 * 1024
    idle_timeout_ms: int = 60_000
    request_timeout_ms: int = 15_000
    write_timeout_ms: int = 30_000
    write_buffer_bytes: int = 64 * 1024


class AnswerChannel(Protocol):
    """Interface of the connection as its exchange uses it."""

    @property
    def slice_bytes(self) -> int:
        """Return the maximum number of bytes for one call of :meth:`send_data`."""

    @property
    def is_writable(self) -> bool:
        """Return whether the write buffer has room."""

    def begin_answer(self, status_code: int, headers) -> None:
        """Queue status and headers, to be sent together with the first data."""

    def flush_soon(self) -> None:
        """Send queued headers in the next loop iteration, if no data does earlier."""

    def send_data(self, data: bytes) -> None:
        """Write a chunk of the body to the transport."""

    def hold_answer(self, size_bytes: int) -> None:
        """Record the bytes of the answer that have yet to be passed on."""

    async def wait_writable(self) -> None:
        """Wait until the write buffer has room."""

    def end_answer(self) -> None:
        """End the answer; start the next request or close the connection."""

    def truncate(self) -> None:
        """Send the pending output and close without the end of the answer."""


class Exchange:
    """One request of a caller and the answer to it.

    Answer either by :meth:`respond`, or by :meth:`start`, any number of calls of
    :meth:`write`, and :meth:`finish`. Hop-by-hop header fields are dropped, so that
    the headers of an upstream can be passed on.

    :param request: the complete request.
    :param connection: the caller's connection.
    :param began_ms: arrival time of the first byte, on the monotonic clock.

    ``gone`` is set when the caller has disconnected. ``extra_headers`` are sent with
    any answer, also with that of a handler that fails.
    """

    def __init__(
        self, request: HttpRequest, connection: AnswerChannel, began_ms: int = 0
    ):
        self.request = request
        self.began_ms = began_ms
        self.gone = asyncio.Event()
        self.extra_headers: tuple[tuple[str, str], ...] = ()
        self.is_started = False
        self.is_finished = False
        self._connection = connection

    async def respond(
        self,
        status_code: int,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b"",
    ) -> None:
        """Send a complete answer.

        :raises CallerGone: if the caller's connection is closed.
        """
        fields = [(k, v) for k, v in headers if k.lower() != "content-length"]
        fields.append(("content-length", str(len(body))))
        self._begin(status_code, fields)
        if body:
            await self.write(body)
        await self.finish()

    async def refuse(
        self, status_code: int, refusal: Refusal, request_id: str = ""
    ) -> None:
        """Send a refusal as a problem answer.

        :raises CallerGone: if the caller's connection is closed.
        """
        await self.respond(status_code, *problem(status_code, refusal, request_id))

    async def start(
        self, status_code: int, headers: Iterable[tuple[str, str]] = ()
    ) -> None:
        """Send status and headers of an answer whose body follows in chunks.

        :raises CallerGone: if the caller's connection is closed.
        """
        self._begin(status_code, headers)
        self._connection.flush_soon()

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body; wait while the write buffer is full.

        :raises CallerGone: if the caller's connection is closed.
        """
        self._check_open()
        connection = self._connection
        if len(data) <= connection.slice_bytes:
            connection.send_data(data)
            if not connection.is_writable:
                await connection.wait_writable()
            return
        view = memoryview(data)
        try:
            for offset in range(0, len(data), connection.slice_bytes):
                connection.hold_answer(len(data) - offset)
                connection.send_data(view[offset : offset + connection.slice_bytes])
                await connection.wait_writable()
        finally:
            connection.hold_answer(0)

    async def finish(self) -> None:
        """End the answer, so that the connection can serve the next request.

        :raises CallerGone: if the caller's connection is closed.
        """
        self._check_open()
        self.is_finished = True
        self._connection.end_answer()

    def abort(self) -> None:
        """Close the connection so that the caller can detect the truncated answer."""
        if not self.is_finished:
            self.is_finished = True
            self._connection.truncate()

    def _begin(self, status_code: int, headers: Iterable[tuple[str, str]]) -> None:
        if self.is_started or self.is_finished:
            raise RuntimeError("the answer has already been started")
        self._connection.begin_answer(status_code, [*headers, *self.extra_headers])
        self.is_started = True

    def _check_open(self) -> None:
        if self.gone.is_set():
            raise CallerGone("the caller closed its connection")
        if self.is_finished or not self.is_started:
            raise RuntimeError("the answer has not been started, or is finished")
