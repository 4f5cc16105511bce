"""Slow starts of the upstreams of one service."""

from collections.abc import Iterable, Iterator

from ..actions import Log
from .slow_start import SlowStart


class SlowStarts:
    """Slow starts of the upstreams of one service.

    The first pace is the share of the slots that equals the share of the upstreams
    that start: many that start together have the load of many to carry.
    """

    def __init__(self) -> None:
        self._starts: dict[str, SlowStart] = {}
        # Begin of the slow start by upstream, as far as it was logged.
        self._logged_ms: dict[str, int] = {}

    def add(self, name: str) -> SlowStart:
        """Return the slow start of an upstream, which isn't active if it is new."""
        return self._starts.setdefault(name, SlowStart())

    def apply_list(
        self,
        slots_by_name: dict[str, int],
        in_use: Iterable[str],
        has_known_others: bool,
        now_ms: int,
    ) -> None:
        """Begin the slow start of upstreams that are listed for the first time.

        :param slots_by_name: slots of all listed upstreams.
        :param in_use: upstreams with slots in use; they have not restarted if they
            are listed again.
        :param has_known_others: whether others were known; else their age isn't known.
        """
        listed = slots_by_name.keys()
        new = [name for name in listed if name not in self._starts]
        for name in self._starts.keys() - listed - set(in_use):
            del self._starts[name]
            self._logged_ms.pop(name, None)
        for name in new:
            self.add(name)
        if has_known_others:
            starting = {name: slots_by_name[name] for name in new}
            self._begin(starting, now_ms, is_newly_listed=True)
        else:
            for name in new:
                self._starts[name].watch(now_ms)

    def begin_recovered(self, name: str, slots: int, now_ms: int) -> None:
        """Begin the slow start of an upstream if it has just recovered."""
        start = self._starts.get(name)
        if start is not None and start.has_recovered:
            self._begin({name: slots}, now_ms, is_newly_listed=False)

    def take_logs(self, now_ms: int) -> Iterator[Log]:
        """Yield a log for each slow start that has begun or ended.

        The call lets the pace of upstreams that get no requests grow.
        """
        for name, start in self._starts.items():
            if start.is_active:
                start.limit(start.max_slots, False, now_ms)
            logged_ms = self._logged_ms.get(name)
            if start.pace is not None and logged_ms != start.began_ms:
                self._logged_ms[name] = start.began_ms
                fields = (("upstream", name), ("pace_slots", round(start.pace.slots)))
                yield Log("slow_start_began", fields)
            elif start.pace is None and logged_ms is not None:
                del self._logged_ms[name]
                fields = (("upstream", name), ("duration_ms", now_ms - logged_ms))
                yield Log("slow_start_ended", fields)

    def _begin(
        self, slots_by_name: dict[str, int], now_ms: int, *, is_newly_listed: bool
    ) -> None:
        share = self._starting_share(slots_by_name)
        for name, slots in slots_by_name.items():
            self._starts[name].begin(
                int(slots * share), slots, now_ms, is_newly_listed=is_newly_listed
            )

    def _starting_share(self, names: Iterable[str]) -> float:
        active = {name for name, start in self._starts.items() if start.is_active}
        return len(active.union(names)) / max(1, len(self._starts))
