"""Limit on the bytes of all answers together that readers keep in memory."""

from typing import Protocol

MIN_GIVEN_UP_BYTES = 256 * 1024


class HeldAnswer(Protocol):
    """Interface of an answer as its budget uses it."""

    @property
    def is_in_progress(self) -> bool:
        """Return whether more of the answer is to come, so that it can be given up."""

    def give_up(self) -> None:
        """Fail the answer as too large and drop its bytes."""


class AnswerBudget:
    """Limit on the bytes of all answers together that readers keep in memory.

    Beyond the limit the largest answer in progress is given up: an answer without end
    outgrows all others. Smaller ones go on, even if slow callers of complete answers
    alone exceed the limit.

    :param max_bytes: limit on the bytes of all answers.
    """

    def __init__(self, max_bytes: int):
        self.held_bytes = 0
        self._max_bytes = max_bytes
        self._sizes: dict[HeldAnswer, int] = {}

    def hold(self, answer: HeldAnswer, size_bytes: int) -> None:
        """Set the number of bytes that are kept of an answer; 0 when it has ended."""
        self.held_bytes += size_bytes - self._sizes.pop(answer, 0)
        if size_bytes:
            self._sizes[answer] = size_bytes
        if self.held_bytes > self._max_bytes:
            self._give_up_largest()

    def _give_up_largest(self) -> None:
        candidates = [
            answer
            for answer, size_bytes in self._sizes.items()
            if size_bytes >= MIN_GIVEN_UP_BYTES and answer.is_in_progress
        ]
        if not candidates:
            return
        largest = max(candidates, key=self._sizes.__getitem__)
        self.held_bytes -= self._sizes.pop(largest)
        largest.give_up()
