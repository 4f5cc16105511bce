"""Records of what a scheduler sees of crashes, for the crash guard."""

from collections.abc import Iterable, Iterator, Mapping

from .crash_guard import CrashGuard
from .messages import SlotRequest
from .uncertain_ends import UncertainEnds
from .upstream_capacity import Slot


class CrashRecorder:
    """Recorder of the crashes, complete answers and signs of life of upstreams.

    :param guard: filter of requests that crash upstreams.
    :param slots: slots that are held, by request id.
    """

    def __init__(self, guard: CrashGuard, slots: Mapping[str, Slot]):
        self._guard = guard
        self._slots = slots
        self._uncertain_ends = UncertainEnds()

    @property
    def is_idle(self) -> bool:
        """Return whether no requests are known to crash upstreams."""
        return self._guard.is_idle

    def would_crash(self, slot_request: SlotRequest, now_ms: int) -> bool:
        """Return whether a request would crash the upstream that answers it."""
        return self._guard.refuses(slot_request, _begun(self._slots.values()), now_ms)

    def record_crash(
        self, upstream: str, executed: list[SlotRequest], now_ms: int
    ) -> None:
        """Record that an upstream crashed, or does not accept connections any more.

        :param executed: slot requests that it may have begun to execute.
        """
        executed = [*executed, *self._uncertain_ends.take_broken(upstream, now_ms)]
        if not executed:
            return
        elsewhere = [slot for slot in self._slots.values() if slot.upstream != upstream]
        self._guard.record_crash(upstream, executed, _begun(elsewhere), now_ms)

    def record_end(self, slot: Slot, is_certain: bool, now_ms: int) -> None:
        """Record that an answer has ended.

        :param is_certain: whether the end was more than the end of its connection.
        """
        if is_certain:
            self._guard.record_completed(slot.slot_request, now_ms)
        else:
            self._uncertain_ends.add(slot.upstream, slot.slot_request, now_ms)
        self.record_life(slot.upstream, now_ms)

    def record_life(self, upstream: str, now_ms: int) -> None:
        """Record that an upstream lives, so that its last answers were complete."""
        for slot_request in self._uncertain_ends.take_confirmed(upstream, now_ms):
            self._guard.record_completed(slot_request, now_ms)


def _begun(slots: Iterable[Slot]) -> Iterator[SlotRequest]:
    """Yield the slot requests that upstreams have begun to answer."""
    for slot in slots:
        if slot.produced_tokens > 0:
            yield slot.slot_request
