"""Upstreams to which an entry host sends no requests, as they have asked for it."""

from collections.abc import Container

# An upstream that is unlisted for longer has ended; its name may be used again.
UNLISTED_RETENTION_MS = 10_000


class AvoidedUpstreams:
    """Upstreams that are leaving, or that want no requests of this host for a time."""

    def __init__(self) -> None:
        self._leaving_listed_ms: dict[str, int] = {}
        self._busy_until_ms: dict[str, int] = {}

    def mark_leaving(self, upstream: str, now_ms: int) -> None:
        """Avoid an upstream until it is no longer listed."""
        self._leaving_listed_ms[upstream] = now_ms

    def mark_busy(self, upstream: str, duration_ms: int, now_ms: int) -> None:
        """Avoid an upstream for some time."""
        until_ms = now_ms + duration_ms
        earlier_ms = self._busy_until_ms.get(upstream, 0)
        self._busy_until_ms[upstream] = max(until_ms, earlier_ms)

    def update(self, listed: Container[str], now_ms: int) -> None:
        """Forget the upstreams that may be used again.

        :param listed: names of the upstreams that are listed now.
        """
        for upstream, listed_ms in tuple(self._leaving_listed_ms.items()):
            if upstream in listed:
                self._leaving_listed_ms[upstream] = now_ms
            elif now_ms - listed_ms >= UNLISTED_RETENTION_MS:
                del self._leaving_listed_ms[upstream]
        for upstream, until_ms in tuple(self._busy_until_ms.items()):
            if until_ms <= now_ms:
                del self._busy_until_ms[upstream]

    def __bool__(self) -> bool:
        return bool(self._leaving_listed_ms or self._busy_until_ms)

    def __contains__(self, upstream: str) -> bool:
        return upstream in self._leaving_listed_ms or upstream in self._busy_until_ms

    def names(self) -> tuple[str, ...]:
        """Return the names of all upstreams to avoid, sorted."""
        return tuple(sorted(self._leaving_listed_ms.keys() | self._busy_until_ms))
