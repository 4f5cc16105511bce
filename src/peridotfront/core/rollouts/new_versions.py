"""Software versions that were listed only just now.

The upstreams of a rollout's new version are listed beside the others, maybe before the
operator's order has arrived. Until then nothing may go to them.
"""

from collections.abc import Iterable

from ..messages import ListedUpstream

# An order arrives within the time that operators wait for its acknowledgement.
HOLD_MS = 5000


def versions_by_service(upstreams: Iterable[ListedUpstream]) -> dict[str, set[str]]:
    """Return the software versions of each service's listed upstreams."""
    versions: dict[str, set[str]] = {}
    for upstream in upstreams:
        found = versions.setdefault(upstream.service, set())
        if upstream.software_version:
            found.add(upstream.software_version)
    return versions


class NewVersions:
    """Times at which the versions of services were first listed."""

    def __init__(self) -> None:
        self._first_ms: dict[tuple[str, str], int] = {}
        self._known_services: set[str] = set()

    def update(self, versions: dict[str, set[str]], now_ms: int) -> None:
        """Record the versions of a new list.

        The versions that are listed when a service appears are not new.
        """
        listed = {(s, version) for s, found in versions.items() for version in found}
        self._first_ms = {k: at for k, at in self._first_ms.items() if k in listed}
        for service, version in listed - self._first_ms.keys():
            is_first = service not in self._known_services
            self._first_ms[service, version] = now_ms - (HOLD_MS if is_first else 0)
        self._known_services.update(service for service, _ in listed)

    def newest_recent(self, service: str, now_ms: int) -> str:
        """Return the newest version of a service that is held back; empty for none.

        :param now_ms: time at which the version was new; later ones are new too.
        """
        recent = [
            (first_ms, version)
            for (name, version), first_ms in self._first_ms.items()
            if name == service and now_ms - first_ms < HOLD_MS
        ]
        return max(recent)[1] if recent else ""
