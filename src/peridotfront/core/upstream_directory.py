"""Versioned directory of the upstreams in the platform's list."""

from collections.abc import Iterable, Set

from .messages import ListedUpstream, UpstreamsUpdate


class UpstreamDirectory:
    """One version of the upstream list; a leader creates versions, others copy them.

    :param epoch: initial version; it makes the versions of a leader higher than
        those of earlier leaders.
    """

    def __init__(self, epoch: int = 0):
        self.version = epoch
        self._upstreams: dict[str, ListedUpstream] = {}

    def __len__(self) -> int:
        return len(self._upstreams)

    @property
    def upstreams(self) -> tuple[ListedUpstream, ...]:
        """Return all upstreams, ordered by name."""
        return tuple([self._upstreams[name] for name in sorted(self._upstreams)])

    @property
    def names(self) -> Set[str]:
        """Return the names of all upstreams."""
        return self._upstreams.keys()

    def has_address(self, address: str) -> bool:
        """Return whether an upstream is listed with an address."""
        return any(upstream.address == address for upstream in self._upstreams.values())

    def replace(self, listed: Iterable[ListedUpstream]) -> UpstreamsUpdate | None:
        """Replace the whole list.

        :return: update with the changes; None if nothing changed.
        """
        new = {upstream.name: upstream for upstream in listed}
        changed = tuple(
            [
                upstream
                for name, upstream in new.items()
                if self._upstreams.get(name) != upstream
            ]
        )
        gone = tuple([name for name in self._upstreams if name not in new])
        if not changed and not gone:
            return None
        base_version = self.version
        self.version += 1
        self._upstreams = new
        return UpstreamsUpdate(self.version, base_version, changed, gone)

    def full_update(self) -> UpstreamsUpdate:
        """Return the whole list as an update that applies to any version."""
        return UpstreamsUpdate(self.version, 0, self.upstreams)

    def apply(self, update: UpstreamsUpdate) -> bool:
        """Apply an update of a leader.

        :return: False if the update does not apply to this version.
        """
        if update.version <= self.version:
            return False
        if update.base_version not in (0, self.version):
            return False
        if update.base_version == 0:
            self._upstreams = {}
        for upstream in update.changed:
            self._upstreams[upstream.name] = upstream
        for name in update.gone:
            self._upstreams.pop(name, None)
        self.version = update.version
        return True
