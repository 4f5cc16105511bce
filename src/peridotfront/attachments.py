"""Transfer of answers in chunks from the entry host that holds them.

The follower requests a chunk at an offset. The holder replies with the bytes that
it has, or after a short wait with an empty chunk. Each request acknowledges all
bytes before its offset, so that at most one chunk is in flight.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from itertools import count
from typing import Any

from .answers import Answer, AnswerStore
from .core.dispatcher_events import FollowedAnswerEnded
from .core.messages import AnswerChunk, AttachRequest, Outcome
from .runtime import BackgroundTasks

CHUNK_BYTES = 64 * 1024
LONG_POLL_MS = 300
REPLY_TIMEOUT_MS = 800
MAX_REPLY_TIMEOUTS = 3

SendMessage = Callable[[str, Any], None]


class Attachments:
    """Server of this host's answers to other hosts, and client for theirs.

    :param answers: the answers that this host holds.
    :param send: function that sends a message to a host.
    :param feed: function that passes an event to the core.
    """

    def __init__(self, answers: AnswerStore, send: SendMessage, feed: Callable):
        self._answers = answers
        self._send = send
        self._feed = feed
        self._tasks = BackgroundTasks()
        self._reply_queues: dict[str, asyncio.Queue[AnswerChunk]] = {}
        self._copy_numbers = count(1)
        self._copy_ids: dict[str, str] = {}

    def on_message(self, sender: str, message: Any) -> None:
        """Handle a request for a chunk, or a chunk that this host has requested."""
        if isinstance(message, AttachRequest):
            self._tasks.start(self._serve(sender, message))
            return
        queue = self._reply_queues.get(message.request_id)
        if queue is not None:
            queue.put_nowait(message)

    def follow(self, answer: Answer, key: str, holder_host: str) -> None:
        """Start to copy an answer of another host into a local one.

        :param answer: the local answer, still empty.
        :param key: idempotency key of the answer.
        :param holder_host: name of the host that holds the answer.
        """
        self._tasks.start(self._follow(answer, key, holder_host))

    def give_up(self, request_id: str) -> None:
        """Give up the copy for a request: no more is written, and no end reported."""
        self._copy_ids.pop(request_id, None)

    async def stop(self) -> None:
        """Cancel all transfers."""
        await self._tasks.cancel()

    async def _serve(self, sender: str, request: AttachRequest) -> None:
        source = self._answers.find(request.key)
        if source is None:
            chunk = AnswerChunk(
                request.request_id, request.key, request.offset_bytes, b"", False
            )
            self._send(sender, chunk)
            return
        source.readers += 1
        try:
            data = await _read_chunk(source, request.offset_bytes)
        finally:
            source.readers -= 1
        end_bytes = request.offset_bytes + len(data)
        is_end = source.outcome is not None and end_bytes >= source.size_bytes
        chunk = AnswerChunk(
            request_id=request.request_id,
            key=request.key,
            offset_bytes=request.offset_bytes,
            data=data,
            outcome=replace(source.outcome, body=b"") if is_end else None,
            status_code=source.status_code,
            headers=source.headers,
        )
        self._send(sender, chunk)

    async def _follow(self, answer: Answer, key: str, holder_host: str) -> None:
        queue: asyncio.Queue[AnswerChunk] = asyncio.Queue()
        # A request may copy several answers in turn. Each copy needs its own id, or a
        # late chunk for an earlier one would be taken for a chunk of this one.
        copy_id = f"{answer.request_id}.{next(self._copy_numbers)}"
        self._reply_queues[copy_id] = queue
        self._copy_ids[answer.request_id] = copy_id
        try:
            outcome = await self._copy(copy_id, answer, key, holder_host, queue)
        finally:
            del self._reply_queues[copy_id]
        if self._copy_ids.get(answer.request_id) != copy_id:
            return
        del self._copy_ids[answer.request_id]
        if outcome is not None and outcome.status_code:
            answer.end(outcome)
        self._feed(FollowedAnswerEnded(answer.request_id, outcome))

    async def _copy(
        self,
        copy_id: str,
        answer: Answer,
        key: str,
        holder_host: str,
        queue: asyncio.Queue,
    ) -> Outcome | None:
        missed_replies = 0
        while missed_replies < MAX_REPLY_TIMEOUTS:
            request = AttachRequest(copy_id, key, answer.size_bytes)
            self._send(holder_host, request)
            chunk = await _wait_for_reply(queue)
            if self._copy_ids.get(answer.request_id) != copy_id:
                return None
            if chunk is None:
                missed_replies += 1
                continue
            missed_replies = 0
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


async def _wait_for_reply(queue: asyncio.Queue) -> AnswerChunk | None:
    try:
        return await asyncio.wait_for(queue.get(), REPLY_TIMEOUT_MS / 1000)
    except TimeoutError:
        return None


async def _read_chunk(source: Answer, offset_bytes: int) -> bytes:
    chunks = source.chunks(offset_bytes)
    try:
        async with asyncio.timeout(LONG_POLL_MS / 1000):
            return (await anext(chunks, b""))[:CHUNK_BYTES]
    except TimeoutError:
        return b""
    finally:
        await chunks.aclose()
