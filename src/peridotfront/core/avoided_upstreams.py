"""Upstreams to which an entry host sends no requests, as they have asked for it."""

from collections.abc import Callable
from dataclasses import dataclass

# An upstream that is unlisted for longer has ended; its name may be used again.
UNLISTED_RETENTION_MS = 10_000


@dataclass(slots=True)
class _Leaving:
    """Notice of an upstream that it leaves.

    :param lifetime: lifetime of the upstream that the list showed, at the lowest.
    :param listed_ms: time at which the upstream was last listed.
    """

    lifetime: int
    listed_ms: int


class AvoidedUpstreams:
    """Upstreams that are leaving, or that want no requests of this host for a time."""

    def __init__(self) -> None:
        self._leaving: dict[str, _Leaving] = {}
        self._busy_until_ms: dict[str, int] = {}

    def mark_leaving(self, upstream: str, lifetime: int | None, now_ms: int) -> None:
        """Avoid an upstream until it has started again or is no longer listed.

        :param lifetime: lifetime of the upstream in the list; None if it is unlisted.
        """
        self._leaving[upstream] = _Leaving(lifetime or 0, now_ms)

    def mark_busy(self, upstream: str, duration_ms: int, now_ms: int) -> None:
        """Avoid an upstream for some time."""
        until_ms = now_ms + duration_ms
        earlier_ms = self._busy_until_ms.get(upstream, 0)
        self._busy_until_ms[upstream] = max(until_ms, earlier_ms)

    def update(
        self, lifetime_of: Callable[[str], int | None], now_ms: int
    ) -> tuple[str, ...]:
        """Forget the upstreams that may be used again.

        :param lifetime_of: function that returns the lifetime of an upstream in the
            list; None if it is unlisted.
        :return: names of the upstreams that have started again.
        """
        restarted = []
        for upstream, notice in tuple(self._leaving.items()):
            lifetime = lifetime_of(upstream)
            if lifetime is None:
                if now_ms - notice.listed_ms >= UNLISTED_RETENTION_MS:
                    del self._leaving[upstream]
            elif lifetime > notice.lifetime:
                restarted.append(upstream)
                del self._leaving[upstream]
                self._busy_until_ms.pop(upstream, None)
            else:
                # Another reader of the list may have noticed fewer starts.
                notice.lifetime = lifetime
                notice.listed_ms = now_ms
        for upstream, until_ms in tuple(self._busy_until_ms.items()):
            if until_ms <= now_ms:
                del self._busy_until_ms[upstream]
        return tuple(restarted)

    def __bool__(self) -> bool:
        return bool(self._leaving or self._busy_until_ms)

    def __contains__(self, upstream: str) -> bool:
        return upstream in self._leaving or upstream in self._busy_until_ms

    def names(self) -> tuple[str, ...]:
        """Return the names of all upstreams to avoid, sorted."""
        return tuple(sorted(self._leaving.keys() | self._busy_until_ms))
