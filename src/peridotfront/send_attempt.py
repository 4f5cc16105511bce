"""One attempt to send a routed request to an upstream."""

from dataclasses import dataclass

from .core.messages import Grant, SlotRequest
from .http_client import UpstreamAnswer
from .runtime import now_ms


@dataclass(slots=True)
class SendAttempt:
    """One attempt to send a request to an upstream.

    :param started_ms: start time, on the monotonic clock.
    :param first_ms: time until the first part of the answer; -1 if there is none.
    :param reported_ms: time of the last progress report, on the monotonic clock.
    :param is_answered: whether the caller has its final answer.
    :param rejections_per_s: rejections that the upstream says it bears in a second;
        negative if it names no number.
    """

    slot_request: SlotRequest
    grant: Grant
    started_ms: int
    answer: UpstreamAnswer | None = None
    first_ms: int = -1
    produced_tokens: int = 0
    reported_ms: int = 0
    is_answered: bool = False
    rejections_per_s: float = -1.0

    @property
    def silent_ms(self) -> int:
        """Return for how long bytes are awaited, or were in a wait that got none."""
        if self.answer is None:
            return now_ms() - self.started_ms
        return self.answer.silent_ms

    @property
    def is_awaited(self) -> bool:
        """Return whether the upstream's next bytes are awaited now."""
        return self.answer is None or self.answer.is_awaited

    def is_silent(self, timeout_ms: int) -> bool:
        """Return whether the next bytes have been awaited for at least a time."""
        return self.is_awaited and self.silent_ms >= timeout_ms

    def close(self) -> None:
        """Close the connection unless the answer was read completely."""
        if self.answer is not None:
            self.answer.cancel()
