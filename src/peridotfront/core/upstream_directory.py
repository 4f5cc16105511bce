"""Versioned directory of the upstreams in the platform's list.

An upstream that was leaving and is listed as ready again has started again under its
name. Only the consecutive reads of one reader tell: a list that was read earlier may
arrive later. So the reader counts the lifetimes, and passes them on with the list.
"""

from collections.abc import Container, Iterable, Mapping, Set
from dataclasses import replace

from .messages import ListedUpstream, UpstreamsUpdate

MAX_ENDED_UPSTREAMS = 1000


class UpstreamDirectory:
    """One version of the upstream list; a leader creates versions, others copy them.

    :param epoch: initial version; it makes the versions of a leader higher than
        those of earlier leaders.
    """

    def __init__(self, epoch: int = 0):
        self.version = epoch
        self._upstreams: dict[str, ListedUpstream] = {}
        self._ended: dict[str, ListedUpstream] = {}

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

    def get(self, name: str) -> ListedUpstream | None:
        """Return the upstream of a name, or None."""
        return self._upstreams.get(name)

    def renewed(self, epoch: int) -> "UpstreamDirectory":
        """Return a directory of the same upstreams that begins at another version."""
        directory = UpstreamDirectory(epoch)
        directory._ended = dict(self._ended)
        directory.replace(self.upstreams)
        return directory

    def has_address(self, address: str) -> bool:
        """Return whether an upstream is listed with an address."""
        return any(upstream.address == address for upstream in self._upstreams.values())

    def replace(
        self, listed: Iterable[ListedUpstream], services: Container[str] = ()
    ) -> UpstreamsUpdate | None:
        """Replace the whole list.

        :param listed: entries of the list, of which several may have one name.
        :param services: names of the services that are configured.
        :return: update with the changes; None if nothing changed.
        """
        chosen = self._choose_entries(listed, services)
        new = {name: self._with_lifetime(entry) for name, entry in chosen.items()}
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
        self._set_upstreams(new)
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
        new = {} if update.base_version == 0 else dict(self._upstreams)
        new.update({upstream.name: upstream for upstream in update.changed})
        for name in update.gone:
            new.pop(name, None)
        self._set_upstreams(new)
        self.version = update.version
        return True

    def _choose_entries(
        self, listed: Iterable[ListedUpstream], services: Container[str]
    ) -> dict[str, ListedUpstream]:
        """Return one entry for each name, least likely that of another writer.

        An entry of a configured service counts before others, then one that fits what
        was listed before, then one that is leaving.
        """

        def rank(entry: ListedUpstream) -> tuple[bool, ...]:
            earlier = self._upstreams.get(entry.name, entry)
            is_same = (entry.service, entry.address) == (
                earlier.service,
                earlier.address,
            )
            return entry.service in services, is_same, entry.is_leaving

        chosen: dict[str, ListedUpstream] = {}
        for entry in listed:
            rival = chosen.get(entry.name)
            if rival is None or rank(entry) >= rank(rival):
                chosen[entry.name] = entry
        return chosen

    def _with_lifetime(self, upstream: ListedUpstream) -> ListedUpstream:
        """Return an entry of the list with the lifetime that it belongs to."""
        name = upstream.name
        earlier = self._upstreams.get(name) or self._ended.get(name)
        if earlier is None:
            return upstream
        has_restarted = earlier.is_leaving and not upstream.is_leaving
        lifetime = upstream.lifetime or earlier.lifetime + has_restarted
        if lifetime == upstream.lifetime:
            return upstream
        return replace(upstream, lifetime=lifetime)

    def _set_upstreams(self, new: Mapping[str, ListedUpstream]) -> None:
        """Replace the upstreams, and remember those that were leaving and are gone."""
        for name, upstream in self._upstreams.items():
            if upstream.is_leaving and name not in new:
                self._ended[name] = upstream
        for name in new.keys() & self._ended.keys():
            del self._ended[name]
        while len(self._ended) > MAX_ENDED_UPSTREAMS:
            del self._ended[next(iter(self._ended))]
        self._upstreams = dict(new)
