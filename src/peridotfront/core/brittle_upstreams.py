"""Upstreams that fall over if they reject too many requests in a second.

They name that number in their answers. Fewer requests than the list says may find room
there, so the slots in use follow what they accept.
"""

from collections.abc import Set
from dataclasses import dataclass

# Requests that are on their way when an upstream begins to reject come on top.
USED_SHARE = 0.25
MIN_REJECTIONS_PER_S = 0.5
RAISE_SLOTS_MS = 1000
MAX_RAISE_SLOTS_MS = 8000


@dataclass(slots=True)
class _Brittle:
    """State of one upstream.

    :param rejections_per_s: the number that it named.
    :param tokens: rejections that it may make now.
    :param slots: how many requests it seems to have room for; None if it has rejected
        none.
    :param raise_ms: time at which one more may be tried.
    :param raise_after_ms: time until then from a rejection on.
    """

    rejections_per_s: float
    tokens: float
    updated_ms: int
    slots: int | None = None
    raise_ms: int = 0
    raise_after_ms: int = RAISE_SLOTS_MS


class BrittleUpstreams:
    """Limits on the slots of upstreams that must not reject many requests.

    ``share`` is the share of the rejections that the requests of this scheduler may
    cause; hosts without a leader share them.
    """

    def __init__(self) -> None:
        self.share = 1.0
        self._upstreams: dict[str, _Brittle] = {}

    def __len__(self) -> int:
        return len(self._upstreams)

    def record_answer(
        self, upstream: str, rejections_per_s: float, now_ms: int
    ) -> None:
        """Record what an answer says.

        :param rejections_per_s: the number that it names; negative for none.
        """
        known = self._upstreams.get(upstream)
        if rejections_per_s < 0:
            self._upstreams.pop(upstream, None)
        elif known is None:
            tokens = self._capacity(rejections_per_s)
            self._upstreams[upstream] = _Brittle(rejections_per_s, tokens, now_ms)
        else:
            known.rejections_per_s = rejections_per_s

    def record_rejection(self, upstream: str, used_slots: int, now_ms: int) -> bool:
        """Record that an upstream rejected a request.

        :param used_slots: slots there that other requests hold.
        :return: whether it is brittle, so that it is no failure that it has no room.
        """
        known = self._upstreams.get(upstream)
        if known is None:
            return False
        self._refill(known, now_ms)
        known.tokens -= 1
        if known.slots is None:
            known.slots = max(1, used_slots)
        else:
            known.slots = max(1, min(known.slots, used_slots))
            known.raise_after_ms = min(MAX_RAISE_SLOTS_MS, known.raise_after_ms * 2)
        known.raise_ms = now_ms + known.raise_after_ms
        return True

    def usable_slots(self, upstream: str, slots: int, now_ms: int) -> int:
        """Return how many slots of an upstream may be in use.

        :param slots: slots that may be in use if it is not brittle.
        """
        known = self._upstreams.get(upstream)
        if known is None:
            return slots
        self._refill(known, now_ms)
        if known.slots is None:
            return slots
        # A single request may be rejected too, if other schedulers use the room.
        if known.tokens < (1 if known.slots == 1 else 0):
            return 0
        if now_ms >= known.raise_ms and known.tokens >= 1:
            known.slots += 1
            known.raise_ms = now_ms + known.raise_after_ms
        return min(slots, known.slots)

    def retain(self, upstreams: Set[str]) -> None:
        """Forget all upstreams but some."""
        for name in self._upstreams.keys() - upstreams:
            del self._upstreams[name]

    def _rate(self, rejections_per_s: float) -> float:
        return max(rejections_per_s, MIN_REJECTIONS_PER_S) * USED_SHARE * self.share

    def _capacity(self, rejections_per_s: float) -> float:
        return max(1.0, self._rate(rejections_per_s))

    def _refill(self, known: _Brittle, now_ms: int) -> None:
        elapsed_s = (now_ms - known.updated_ms) / 1000
        earned = self._rate(known.rejections_per_s) * elapsed_s
        capacity = self._capacity(known.rejections_per_s)
        known.tokens = min(capacity, known.tokens + earned)
        known.updated_ms = now_ms
