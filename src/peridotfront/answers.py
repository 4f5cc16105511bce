"""Buffers for answers in progress and a bounded store of finished answers."""

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator

from .core.messages import Header, Outcome
from .core.verdicts import Reason, Refusal, Verdict
from .exceptions import AnswerDiscarded

MAX_FINISHED_BYTES = 16 * 1024 * 1024
MAX_FINISHED_ANSWERS = 1000


class Answer:
    """Buffer for one answer between its upstream and any number of readers.

    An answer with an idempotency key keeps all its bytes, so that a repeat of the
    request gets it from the first byte. An answer without one keeps only the bytes
    that its reader has not read yet.

    :param request_id: id of the request that is answered.
    :param key: idempotency key; empty if the caller gave none.
    :param fingerprint: hash of the request's content.
    :param buffer_bytes: number of unread bytes above which :meth:`write` waits.
    """

    def __init__(self, request_id: str, key: str, fingerprint: int, buffer_bytes: int):
        self.request_id = request_id
        self.key = key
        self.fingerprint = fingerprint
        self.buffer_bytes = buffer_bytes
        self.status_code = 0
        self.headers: tuple[Header, ...] = ()
        self.outcome: Outcome | None = None
        self.refusal: Refusal | None = None
        self.readers = 0
        self._data = bytearray()
        self._dropped_bytes = 0
        self._read_bytes = 0
        self._changed = asyncio.Event()

    @property
    def is_started(self) -> bool:
        """Return whether status and headers are known."""
        return self.status_code > 0

    @property
    def size_bytes(self) -> int:
        """Return the length of the body so far."""
        return self._dropped_bytes + len(self._data)

    def start(self, status_code: int, headers: tuple[Header, ...]) -> None:
        """Set status and headers."""
        self.status_code = status_code
        self.headers = headers
        self._notify()

    async def write(self, data: bytes) -> None:
        """Append to the body; wait while the unread bytes exceed the buffer size."""
        self._data += data
        self._notify()
        while self._unread_bytes() > self.buffer_bytes and self.outcome is None:
            await self._wait()

    def end(self, outcome: Outcome) -> None:
        """Set the outcome of the request; calls after the first have no effect."""
        if self.outcome is None:
            self.outcome = outcome
            self._notify()

    def refuse(self, refusal: Refusal) -> None:
        """End the answer with a refusal."""
        if self.outcome is None:
            self.refusal = refusal
            self.end(Outcome(refusal.verdict, refusal.reason))

    async def wait_started(self) -> None:
        """Wait for status and headers, or for the end of the answer."""
        while not self.is_started and self.outcome is None:
            await self._wait()

    async def wait_ended(self) -> Outcome:
        """Wait for the end of the answer and return the outcome of the request."""
        while self.outcome is None:
            await self._wait()
        return self.outcome

    async def chunks(self, offset_bytes: int = 0) -> AsyncIterator[bytes]:
        """Yield the body from an offset on, as it arrives, until the end.

        :param offset_bytes: number of bytes of the body to skip.
        :raises AnswerDiscarded: if the byte at the offset is no longer kept.
        """
        while True:
            if offset_bytes < self._dropped_bytes:
                raise AnswerDiscarded(self.request_id)
            start = offset_bytes - self._dropped_bytes
            data = bytes(self._data[start:])
            if data:
                offset_bytes += len(data)
                yield data
                self._mark_read(offset_bytes)
            elif self.outcome is not None:
                return
            else:
                await self._wait()

    def body(self) -> bytes:
        """Return the bytes of the body that are still kept."""
        return bytes(self._data)

    def _unread_bytes(self) -> int:
        return self.size_bytes - self._read_bytes

    def _mark_read(self, offset_bytes: int) -> None:
        self._read_bytes = max(self._read_bytes, offset_bytes)
        if not self.key and self.readers <= 1:
            del self._data[: offset_bytes - self._dropped_bytes]
            self._dropped_bytes = offset_bytes
        self._notify()

    def _notify(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def _wait(self) -> None:
        await self._changed.wait()


class AnswerStore:
    """Store of the answers in progress and of recent finished answers.

    :param max_finished_bytes: limit on the bodies of finished answers; the newest
        answer is kept even if it alone exceeds the limit.
    :param max_finished_answers: limit on the number of finished answers.
    """

    def __init__(
        self,
        max_finished_bytes: int = MAX_FINISHED_BYTES,
        max_finished_answers: int = MAX_FINISHED_ANSWERS,
    ):
        self._by_request: dict[str, Answer] = {}
        self._by_key: dict[str, Answer] = {}
        self._finished: OrderedDict[str, Answer] = OrderedDict()
        self._finished_bytes = 0
        self._max_bytes = max_finished_bytes
        self._max_answers = max_finished_answers

    def __len__(self) -> int:
        return len(self._by_request)

    def add(self, answer: Answer) -> None:
        """Add an answer that is in progress."""
        self._by_request[answer.request_id] = answer

    def register_by_key(self, answer: Answer) -> None:
        """Make an answer available under its key, since this host runs its request."""
        if answer.key:
            self._by_key[answer.key] = answer

    def get(self, request_id: str) -> Answer | None:
        """Return the answer in progress for a request id, or None."""
        return self._by_request.get(request_id)

    def find(self, key: str) -> Answer | None:
        """Return the answer for a key, in progress or completed, or None."""
        return self._by_key.get(key)

    def finish(self, answer: Answer) -> None:
        """Move an answer that has ended to the finished answers.

        Only completed answers with a key are kept. The oldest finished answers are
        evicted while the limits are exceeded.
        """
        self._by_request.pop(answer.request_id, None)
        outcome = answer.outcome or Outcome(Verdict.MAY_HAVE_RUN, Reason.HOLDER_LOST)
        if not answer.key or self._by_key.get(answer.key) is not answer:
            return
        if outcome.verdict is not Verdict.COMPLETED:
            del self._by_key[answer.key]
            return
        self._finished[answer.key] = answer
        self._finished_bytes += answer.size_bytes
        while self._exceeds_limits():
            key, oldest = self._finished.popitem(last=False)
            self._finished_bytes -= oldest.size_bytes
            if self._by_key.get(key) is oldest:
                del self._by_key[key]

    def _exceeds_limits(self) -> bool:
        if len(self._finished) > self._max_answers:
            return True
        return self._finished_bytes > self._max_bytes and len(self._finished) > 1
