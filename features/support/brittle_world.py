"""Entry hosts in virtual time before upstreams that fall over if they reject much."""

from collections import Counter

from peridotfront.core.messages import ReleaseCause
from peridotfront.core.releases import build_release

from .prompt_world import CONTACT_MS
from .reach_world import ReachWorld

ANSWER_MS = 250
REJECTION_MS = 5
RESTART_MS = 3000
WINDOW_MS = 1000


class BrittleWorld(ReachWorld):
    """Upstreams that have little room, and fall over if they reject too many in 1 s.

    ``allowed`` is the number of rejections in a second that they name, and ``room`` how
    many requests each takes at the same time. ``falls`` counts how often each fell,
    from ``CONTACT_MS`` after it had named the number. ``told_by_older`` is how the
    leader reads a release of an older build, which reports every second one.
    """

    def __init__(self, entries, upstreams):
        super().__init__(entries, upstreams)
        self.answer_ms = ANSWER_MS
        self.allowed = None
        self.room = None
        self.named_ms = 0
        self.falls = Counter()
        self.rejections_ms = {name: [] for name in self.names}
        self.told_by_older = None
        self._is_older = False
        self._in_progress = {name: [] for name in self.names}
        self._back_ms = {}

    def name_number(self, allowed):
        """Let all upstreams name a number of rejections; None takes it back."""
        self.allowed = allowed
        self.named_ms = self.group.now_ms

    def _play(self, link, upstream):
        now_ms = self.group.now_ms
        if now_ms < self._back_ms.get(upstream, 0):
            return ReleaseCause.UNREACHABLE, REJECTION_MS
        running = [end_ms for end_ms in self._in_progress[upstream] if end_ms > now_ms]
        if self.room is not None and len(running) >= self.room:
            self._reject(upstream)
            return ReleaseCause.REJECTED, REJECTION_MS
        self._in_progress[upstream] = [*running, now_ms + self.answer_ms]
        return super()._play(link, upstream)

    def _reject(self, upstream):
        now_ms = self.group.now_ms
        times_ms = self.rejections_ms[upstream]
        times_ms.append(now_ms)
        recent = sum(at_ms > now_ms - WINDOW_MS for at_ms in times_ms)
        is_bound = self.allowed is not None and now_ms >= self.named_ms + CONTACT_MS
        if is_bound and recent > self.allowed:
            self.falls[upstream] += 1
            self._back_ms[upstream] = now_ms + RESTART_MS
            times_ms.clear()

    def _build_release(self, slot_request, upstream, cause):
        allowed = -1 if self.allowed is None else self.allowed
        release = build_release(
            slot_request, upstream, cause, rejections_per_s=float(allowed)
        )
        if self.told_by_older is None:
            return release
        self._is_older = not self._is_older
        return self.told_by_older(release) if self._is_older else release
