"""Answers fetched from the entry host that holds them, piece by piece.

The follower asks for a piece at an offset; the holder answers with what it has,
or after a short wait with an empty piece. Each request acknowledges what came
before it, so that at most one piece is under way.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from .answers import Answer, AnswerStore
from .core.dispatcher_events import FollowedAnswerEnded
from .core.messages import AnswerChunk, AttachRequest, Outcome
from .runtime import BackgroundTasks

PIECE_BYTES = 64 * 1024
HOLD_MS = 300
REPLY_TIMEOUT_MS = 800
MAX_SILENT_REPLIES = 3

SendMessage = Callable[[str, Any], None]


class Attachments:
    """Serves answers to other hosts and follows theirs.

    :param answers: what this host holds.
    :param send: sends a message to a host.
    :param feed: takes the events of the core.
    """

    def __init__(self, answers: AnswerStore, send: SendMessage, feed: Callable):
        self._answers = answers
        self._send = send
        self._feed = feed
        self._tasks = BackgroundTasks()
        self._replies: dict[str, asyncio.Queue[AnswerChunk]] = {}

    def received(self, sender: str, message: Any) -> None:
        """Take a message about an answer."""
        if isinstance(message, AttachRequest):
            self._tasks.start(self._serve(sender, message))
            return
        queue = self._replies.get(message.request_id)
        if queue is not None:
            queue.put_nowait(message)

    def follow(self, answer: Answer, key: str, holder_host: str) -> None:
        """Copy the answer of another host into a local one."""
        self._tasks.start(self._follow(answer, key, holder_host))

    async def stop(self) -> None:
        """End all copies."""
        await self._tasks.cancel()

    async def _serve(self, sender: str, request: AttachRequest) -> None:
        held = self._answers.find(request.key)
        if held is None:
            chunk = AnswerChunk(
                request.request_id, request.key, request.offset_bytes, b"", False
            )
            self._send(sender, chunk)
            return
        held.readers += 1
        try:
            data = await _next_piece(held, request.offset_bytes)
        finally:
            held.readers -= 1
        end_bytes = request.offset_bytes + len(data)
        is_end = held.outcome is not None and end_bytes >= held.size_bytes
        chunk = AnswerChunk(
            request_id=request.request_id,
            key=request.key,
            offset_bytes=request.offset_bytes,
            data=data,
            outcome=replace(held.outcome, body=b"") if is_end else None,
            status_code=held.status_code,
            headers=held.headers,
        )
        self._send(sender, chunk)

    async def _follow(self, answer: Answer, key: str, holder_host: str) -> None:
        queue: asyncio.Queue[AnswerChunk] = asyncio.Queue()
        self._replies[answer.request_id] = queue
        try:
            outcome = await self._copy(answer, key, holder_host, queue)
        finally:
            del self._replies[answer.request_id]
        if outcome is not None and outcome.status_code:
            answer.end(outcome)
        self._feed(FollowedAnswerEnded(answer.request_id, outcome))

    async def _copy(
        self, answer: Answer, key: str, holder_host: str, queue: asyncio.Queue
    ) -> Outcome | None:
        silent = 0
        while silent < MAX_SILENT_REPLIES:
            request = AttachRequest(answer.request_id, key, answer.size_bytes)
            self._send(holder_host, request)
            chunk = await _reply(queue)
            if chunk is None:
                silent += 1
                continue
            silent = 0
            if not chunk.is_known:
                return None
            if chunk.offset_bytes != answer.size_bytes:
                continue
            if chunk.status_code and not answer.is_started:
                answer.start(chunk.status_code, chunk.headers)
            if chunk.data:
                await answer.write(chunk.data)
            if chunk.outcome is not None:
                return chunk.outcome
        return None


async def _reply(queue: asyncio.Queue) -> AnswerChunk | None:
    try:
        return await asyncio.wait_for(queue.get(), REPLY_TIMEOUT_MS / 1000)
    except TimeoutError:
        return None


async def _next_piece(held: Answer, offset_bytes: int) -> bytes:
    chunks = held.chunks(offset_bytes)
    try:
        async with asyncio.timeout(HOLD_MS / 1000):
            return (await anext(chunks, b""))[:PIECE_BYTES]
    except TimeoutError:
        return b""
    finally:
        await chunks.aclose()
