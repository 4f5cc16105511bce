"""Answers under way and finished ones, kept until their callers have them."""

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator

from .core.messages import Header, Outcome
from .core.verdicts import Reason, Refusal, Verdict
from .exceptions import AnswerDiscarded

FINISHED_BYTES = 16 * 1024 * 1024
FINISHED_ANSWERS = 1000


class Answer:
    """Buffers one answer between its upstream and any number of readers.

    An answer with an idempotency key keeps all its bytes, so that a caller that
    comes back gets it from the first byte. An answer without one keeps only what
    its reader has not taken yet.

    :param request_id: of the request that runs.
    :param key: empty if the caller gave none.
    :param buffer_bytes: unread bytes above which the upstream is held back.
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
        """Tell whether status and headers are known."""
        return self.status_code > 0

    @property
    def size_bytes(self) -> int:
        """Return the length of the body so far."""
        return self._dropped_bytes + len(self._data)

    def start(self, status_code: int, headers: tuple[Header, ...]) -> None:
        """Set status and headers."""
        self.status_code = status_code
        self.headers = headers
        self._wake()

    async def write(self, data: bytes) -> None:
        """Append to the body; waits while readers are far behind."""
        self._data += data
        self._wake()
        while self._unread_bytes() > self.buffer_bytes and self.outcome is None:
            await self._wait()

    def end(self, outcome: Outcome) -> None:
        """Set how the request ended; only the first call counts."""
        if self.outcome is None:
            self.outcome = outcome
            self._wake()

    def refuse(self, refusal: Refusal) -> None:
        """End the answer with a refusal."""
        if self.outcome is None:
            self.refusal = refusal
            self.end(Outcome(refusal.verdict, refusal.reason))

    async def started(self) -> None:
        """Wait for status and headers, or for the end."""
        while not self.is_started and self.outcome is None:
            await self._wait()

    async def ended(self) -> Outcome:
        """Wait for the end and return how the request ended."""
        while self.outcome is None:
            await self._wait()
        return self.outcome

    async def chunks(self, offset_bytes: int = 0) -> AsyncIterator[bytes]:
        """Yield the body from an offset on, as it arrives, until the end.

        :raises AnswerLost: if bytes from the offset on are no longer kept.
        """
        while True:
            if offset_bytes < self._dropped_bytes:
                raise AnswerDiscarded(self.request_id)
            start = offset_bytes - self._dropped_bytes
            data = bytes(self._data[start:])
            if data:
                offset_bytes += len(data)
                yield data
                self._taken(offset_bytes)
            elif self.outcome is not None:
                return
            else:
                await self._wait()

    def body(self) -> bytes:
        """Return the bytes that are kept."""
        return bytes(self._data)

    def _unread_bytes(self) -> int:
        return self.size_bytes - self._read_bytes

    def _taken(self, offset_bytes: int) -> None:
        self._read_bytes = max(self._read_bytes, offset_bytes)
        if not self.key and self.readers <= 1:
            del self._data[: offset_bytes - self._dropped_bytes]
            self._dropped_bytes = offset_bytes
        self._wake()

    def _wake(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def _wait(self) -> None:
        await self._changed.wait()


class AnswerStore:
    """Holds the answers under way, and finished ones within a size bound."""

    def __init__(
        self,
        finished_bytes: int = FINISHED_BYTES,
        finished_answers: int = FINISHED_ANSWERS,
    ):
        self._by_request: dict[str, Answer] = {}
        self._by_key: dict[str, Answer] = {}
        self._finished: OrderedDict[str, Answer] = OrderedDict()
        self._finished_bytes = 0
        self._max_bytes = finished_bytes
        self._max_answers = finished_answers

    def __len__(self) -> int:
        return len(self._by_request)

    def add(self, answer: Answer) -> None:
        """Keep an answer that is under way."""
        self._by_request[answer.request_id] = answer

    def hold(self, answer: Answer) -> None:
        """Let an answer be found by its key, as this host runs its request."""
        if answer.key:
            self._by_key[answer.key] = answer

    def get(self, request_id: str) -> Answer | None:
        """Return the answer under way for a request."""
        return self._by_request.get(request_id)

    def find(self, key: str) -> Answer | None:
        """Return the answer for a key, under way or completed."""
        return self._by_key.get(key)

    def finish(self, answer: Answer) -> None:
        """Move an answer that has ended to the finished ones.

        Only completed answers with a key are kept.
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
        while self._is_over():
            key, oldest = self._finished.popitem(last=False)
            self._finished_bytes -= oldest.size_bytes
            if self._by_key.get(key) is oldest:
                del self._by_key[key]

    def _is_over(self) -> bool:
        if len(self._finished) > self._max_answers:
            return True
        return self._finished_bytes > self._max_bytes and len(self._finished) > 1
