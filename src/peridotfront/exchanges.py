"""Exchanges: one request of a caller each, and the answer to it."""

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
    """Bounds what one caller, and all callers together, may use.

    :param max_total_body_bytes: of the request bodies of all callers at one time.
    :param idle_timeout_ms: how long a kept connection may wait for its next request.
    :param request_timeout_ms: from the first byte of a request to its last.
    :param write_timeout_ms: how long a caller may read nothing of a full write buffer.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 8 * 1024 * 1024
    max_total_body_bytes: int = 256 * 1024 * 1024
    max_connections: int = 1000
    idle_timeout_ms: int = 60_000
    request_timeout_ms: int = 15_000
    write_timeout_ms: int = 30_000
    write_buffer_bytes: int = 64 * 1024


class AnswerChannel(Protocol):
    """What an exchange needs of its connection."""

    @property
    def slice_bytes(self) -> int:
        """Return how much of a body may be handed over at once."""

    @property
    def is_writable(self) -> bool:
        """Tell whether the write buffer has room."""

    def begin_answer(self, status_code: int, headers) -> None:
        """Queue status and headers; they leave with the data that follows."""

    def flush_soon(self) -> None:
        """Send queued headers in the next turn, unless data takes them along."""

    def send_data(self, data: bytes) -> None:
        """Hand a piece of the body to the transport."""

    async def wait_writable(self) -> None:
        """Wait while the caller reads slowly."""

    def end_answer(self) -> None:
        """End the answer and go on with the next request, or close."""

    def cut(self) -> None:
        """Close after what was written, without the end of the answer."""


class Exchange:
    """Is one request of a caller and the answer to it.

    Answer either by :meth:`respond`, or by :meth:`start`, any number of
    :meth:`write` and :meth:`finish`. Header fields that belong to one connection
    only are dropped, so those of an upstream can be passed on.

    :param request: the whole request.
    :param began_ms: when its first byte arrived, on the monotonic clock.
    """

    def __init__(
        self, request: HttpRequest, connection: AnswerChannel, began_ms: int = 0
    ):
        self.request = request
        self.began_ms = began_ms
        self.gone = asyncio.Event()
        self.is_started = False
        self.is_finished = False
        self._connection = connection

    async def respond(
        self,
        status_code: int,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b"",
    ) -> None:
        """Send a whole answer.

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
        """Send a problem answer.

        :raises CallerGone: if the caller's connection is closed.
        """
        await self.respond(status_code, *problem(status_code, refusal, request_id))

    async def start(
        self, status_code: int, headers: Iterable[tuple[str, str]] = ()
    ) -> None:
        """Send status and headers of an answer in pieces.

        :raises CallerGone: if the caller's connection is closed.
        """
        self._begin(status_code, headers)
        self._connection.flush_soon()

    async def write(self, data: bytes) -> None:
        """Send a piece of the answer; waits while the caller reads slowly.

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
        for offset in range(0, len(data), connection.slice_bytes):
            connection.send_data(view[offset : offset + connection.slice_bytes])
            await connection.wait_writable()

    async def finish(self) -> None:
        """End the answer; the connection may then serve the next request.

        :raises CallerGone: if the caller's connection is closed.
        """
        self._check_open()
        self.is_finished = True
        self._connection.end_answer()

    def abort(self) -> None:
        """Cut the connection after what was written, so that the cut is seen."""
        if not self.is_finished:
            self.is_finished = True
            self._connection.cut()

    def _begin(self, status_code: int, headers: Iterable[tuple[str, str]]) -> None:
        if self.is_started or self.is_finished:
            raise RuntimeError("the answer has begun already")
        self._connection.begin_answer(status_code, headers)
        self.is_started = True

    def _check_open(self) -> None:
        if self.gone.is_set():
            raise CallerGone("the caller closed its connection")
        if self.is_finished or not self.is_started:
            raise RuntimeError("the answer has not begun or is finished")
