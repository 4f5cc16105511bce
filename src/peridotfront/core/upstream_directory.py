"""The upstreams that the platform's list names, and what changed among them."""

from collections.abc import Iterable

from .messages import ListedUpstream, UpstreamsUpdate


class UpstreamDirectory:
    """Holds one version of the list; a leader makes them, others copy them.

    :param epoch: makes the versions of one leader higher than those before.
    """

    def __init__(self, epoch: int = 0):
        self.version = epoch
        self._upstreams: dict[str, ListedUpstream] = {}

    def __len__(self) -> int:
        return len(self._upstreams)

    @property
    def upstreams(self) -> tuple[ListedUpstream, ...]:
        """Return all upstreams by name."""
        return tuple([self._upstreams[name] for name in sorted(self._upstreams)])

    def replace(self, listed: Iterable[ListedUpstream]) -> UpstreamsUpdate | None:
        """Take in a whole new list.

        :return: what changed; None if nothing did.
        """
        new = {one.name: one for one in listed}
        changed = tuple(
            [one for name, one in new.items() if self._upstreams.get(name) != one]
        )
        gone = tuple([name for name in self._upstreams if name not in new])
        if not changed and not gone:
            return None
        base_version = self.version
        self.version += 1
        self._upstreams = new
        return UpstreamsUpdate(self.version, base_version, changed, gone)

    def full_update(self) -> UpstreamsUpdate:
        """Return the whole list as an update."""
        return UpstreamsUpdate(self.version, 0, self.upstreams)

    def apply(self, update: UpstreamsUpdate) -> bool:
        """Take in an update of a leader; false if it does not fit this version."""
        if update.version <= self.version:
            return False
        if update.base_version not in (0, self.version):
            return False
        if update.base_version == 0:
            self._upstreams = {}
        for one in update.changed:
            self._upstreams[one.name] = one
        for name in update.gone:
            self._upstreams.pop(name, None)
        self.version = update.version
        return True
