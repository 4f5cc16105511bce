"""Slow start of one upstream."""

from dataclasses import dataclass

from ..health import HealthState
from ..messages import ReleaseCause, SlotRequest
from .evidence import FAILED_CAUSES
from .pace import Pace

MAX_DURATION_MS = 15_000
WATCH_MS = 5000
WATCHED_START_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class _Sent:
    """Request that was granted and whose answer has not begun.

    :param used_slots: slots in use after the grant.
    :param prompt_tokens: size of its prompt; 0 for a plain service.
    """

    granted_ms: int
    due_ms: int
    used_slots: int
    prompt_tokens: int


class SlowStart:
    """Slow start of an upstream, from its start or recovery to its full pace.

    Reports on the upstream play no part: only grants, answers and ends do.

    ``pace`` is None while the upstream may use all of its slots, ``max_slots``.
    """

    def __init__(self) -> None:
        self.pace: Pace | None = None
        self.began_ms = 0
        self.max_slots = 0
        self._watched_until_ms = -1
        self._sent: dict[str, _Sent] = {}
        self._is_newly_listed = False
        self._has_failed = False
        self._may_begin = False
        self._max_prompt_tokens = 0

    @property
    def is_active(self) -> bool:
        """Return whether the upstream is in its slow start."""
        return self.pace is not None

    @property
    def has_recovered(self) -> bool:
        """Return whether the upstream has recovered, and its slow start must begin."""
        return self._may_begin

    def begin(
        self,
        slots: float,
        max_slots: int,
        now_ms: int,
        *,
        is_newly_listed: bool = False,
    ) -> None:
        """Begin the slow start, also anew.

        :param slots: initial pace.
        :param max_slots: slots of the upstream.
        :param is_newly_listed: whether only the list shows that it has started.
        """
        self._is_newly_listed = is_newly_listed
        self.max_slots = max_slots
        self.pace = Pace(max(1.0, slots), now_ms)
        self.began_ms = now_ms
        self._may_begin = False
        self._max_prompt_tokens = 0
        self._sent.clear()

    def end(self) -> None:
        """End the slow start."""
        self.pace = None
        self._is_newly_listed = False
        self._sent.clear()

    def adopted(self, now_ms: int) -> None:
        """Record a slot that another scheduler granted, so that it isn't new."""
        if self._is_newly_listed:
            self.end()
            self.watch(now_ms)

    def watch(self, now_ms: int) -> None:
        """Watch an upstream whose age isn't known: a late answer begins its start."""
        self._watched_until_ms = now_ms + WATCH_MS

    def limit(self, max_slots: int, is_needed: bool, now_ms: int) -> int:
        """Return how many slots may be in use after a grant.

        :param is_needed: whether all other upstreams are full and callers wait.
        """
        self.max_slots = max_slots
        self._check_due(now_ms)
        if self.pace is None:
            return max_slots
        self.pace.advance(max_slots, now_ms)
        is_over = now_ms - self.began_ms >= MAX_DURATION_MS
        if is_over or self.pace.is_confirmed(now_ms):
            self.end()
            return max_slots
        return self.pace.limit(max_slots, is_needed, now_ms)

    def granted(
        self,
        slot_request: SlotRequest,
        max_answer_ms: int,
        used_slots: int,
        now_ms: int,
    ) -> None:
        """Record a grant.

        :param max_answer_ms: time in which the answer must begin.
        :param used_slots: slots in use, with this one.
        """
        if self.pace is None and now_ms >= self._watched_until_ms:
            return
        prompt_tokens = slot_request.prompt_tokens
        self._max_prompt_tokens = max(self._max_prompt_tokens, prompt_tokens)
        self._sent[slot_request.request_id] = _Sent(
            now_ms, now_ms + max_answer_ms, used_slots, prompt_tokens
        )

    def answered(self, request_id: str, answer_ms: int, now_ms: int) -> None:
        """Record the begin of an answer.

        :param answer_ms: time from the grant to the begin.
        """
        sent = self._sent.pop(request_id, None)
        if sent is None:
            return
        max_answer_ms = sent.due_ms - sent.granted_ms
        if answer_ms > max_answer_ms:
            self._fail(sent, now_ms)
        elif self.pace is not None:
            spare_ratio = max_answer_ms / max(1, answer_ms)
            # A short prompt that is answered quickly says less of long ones.
            if self._max_prompt_tokens > 0:
                spare_ratio *= sent.prompt_tokens / self._max_prompt_tokens
            self.pace.answered_in_time(
                sent.granted_ms, sent.used_slots, spare_ratio, now_ms
            )

    def ended(self, request_id: str, cause: ReleaseCause, now_ms: int) -> None:
        """Record the end of a request whose answer may not have begun."""
        sent = self._sent.pop(request_id, None)
        if sent is not None and cause in FAILED_CAUSES:
            self._fail(sent, now_ms)

    def forget(self, request_id: str) -> None:
        """Drop a request whose end is not known, as that of a lost host."""
        self._sent.pop(request_id, None)

    def observe_health(
        self, earlier: HealthState, state: HealthState, cause: ReleaseCause | None
    ) -> None:
        """Record a state of the circuit after an end or a sign of progress.

        A circuit that a report or a silence has opened says nothing of a restart.

        :param cause: cause of the end; None for progress.
        """
        if state is HealthState.DOWN:
            self._has_failed = self._has_failed or cause in FAILED_CAUSES
        elif state is HealthState.RAMPING and earlier is HealthState.PROBING:
            self._may_begin = self._has_failed
            self._has_failed = False
        elif state is HealthState.HEALTHY:
            self._has_failed = False

    def _check_due(self, now_ms: int) -> None:
        """Count answers that are overdue as late."""
        if not self._sent:
            return
        overdue = [key for key, sent in self._sent.items() if sent.due_ms < now_ms]
        for request_id in overdue:
            self._fail(self._sent.pop(request_id), now_ms)

    def _fail(self, sent: _Sent, now_ms: int) -> None:
        if self.pace is not None:
            self.pace.failed(sent.granted_ms, now_ms)
        elif now_ms < self._watched_until_ms:
            self._watched_until_ms = -1
            self.pace = Pace(max(1.0, sent.used_slots * WATCHED_START_RATIO), now_ms)
            self.began_ms = now_ms
