"""Limit on the slots in use of one upstream that follows its answers."""

GROWTH_INTERVAL_MS = 1000
GROWTH_RATIO = 1.25
GROWTH_SLOTS = 1
# The rest of the goal is left for the queue and the way to the caller.
GROWTH_SHARE_OF_GOAL = 0.6
BACKOFF_RATIO = 0.5
MIN_PACE_SLOTS = 0.125
# A pause is short against the wait of a caller for a usual answer.
MAX_PAUSE_MS = 1000
# Answers that were granted at all slots begin within this time.
CONFIRMATION_MS = 2000
# Time after a late answer in which a lack of other capacity doesn't raise the pace.
BACKOFF_HOLD_MS = 1000
NEEDED_SLOTS = 1


class Pace:
    """Slots that an upstream may have in use, as far as its answers show.

    An answer in time shows that the slots in use at its grant were not too many. It
    raises the pace above them, by as much as would leave the answer in time if its
    duration grew with the slots in use. A late answer or an error halves the pace.
    Below one slot the upstream gets one request at a time, with pauses between them.

    :param slots: initial pace.
    :param now_ms: time of the start.
    """

    def __init__(self, slots: float, now_ms: int):
        self.slots = slots
        self.backoffs = 0
        self._changed_ms = now_ms
        self._backed_off_ms = -1
        self._paused_until_ms = now_ms
        self._full_ms = now_ms

    def limit(self, max_slots: int, is_needed: bool, now_ms: int) -> int:
        """Return how many slots may be in use after a grant.

        :param is_needed: whether all other upstreams are full and callers wait.
        """
        slots = self.slots
        is_held = self.backoffs > 0 and now_ms - self._backed_off_ms < BACKOFF_HOLD_MS
        if is_needed and not is_held:
            return min(max_slots, int(max(1.0, slots)) + NEEDED_SLOTS)
        if slots < 1 and now_ms < self._paused_until_ms:
            return 0
        return min(max_slots, max(1, int(slots)))

    def is_confirmed(self, now_ms: int) -> bool:
        """Return whether all slots were allowed for long enough without a failure."""
        return now_ms - self._full_ms >= CONFIRMATION_MS

    def advance(self, max_slots: int, now_ms: int) -> None:
        """Raise the pace by the time without a change, to at most all slots."""
        intervals = (now_ms - self._changed_ms) // GROWTH_INTERVAL_MS
        if intervals > 0:
            self.slots = max(1.0, self.slots + intervals)
            self._changed_ms += intervals * GROWTH_INTERVAL_MS
        if self.slots < max_slots:
            self._full_ms = now_ms
        self.slots = min(self.slots, max_slots)

    def answered_in_time(
        self, granted_ms: int, used_slots: int, spare_ratio: float, now_ms: int
    ) -> None:
        """Record an answer that began in time.

        :param used_slots: slots in use after its grant.
        :param spare_ratio: ratio of the longest time in time to that of the answer.
        """
        if self.backoffs > 0 and granted_ms < self._backed_off_ms:
            return
        next_slots = used_slots * GROWTH_RATIO + GROWTH_SLOTS
        slots = min(next_slots, used_slots * spare_ratio * GROWTH_SHARE_OF_GOAL)
        if slots > self.slots:
            self.slots = slots
            self._changed_ms = now_ms

    def failed(self, granted_ms: int, now_ms: int) -> None:
        """Record a late answer or an error.

        Requests that were granted before the last such event cause no other.
        """
        self._changed_ms = now_ms
        if self.backoffs > 0 and granted_ms < self._backed_off_ms:
            return
        self.backoffs += 1
        self._backed_off_ms = now_ms
        self.slots = max(MIN_PACE_SLOTS, self.slots * BACKOFF_RATIO)
        if self.slots < 1:
            pause_ms = (now_ms - granted_ms) * (1 / self.slots - 1)
            self._paused_until_ms = now_ms + min(MAX_PAUSE_MS, int(pause_ms))
