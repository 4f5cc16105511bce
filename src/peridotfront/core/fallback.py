"""The upstreams that an entry host uses by itself while no leader answers it."""

import hashlib
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import replace
from math import ceil

from .messages import ListedUpstream

SPARE_SHARE = 1.5


def own_share(
    upstreams: Iterable[ListedUpstream], host: str, data_centre: str, entry_hosts: int
) -> tuple[ListedUpstream, ...]:
    """Return the upstreams, with fewer slots, that one entry host may use alone.

    Those of the own data centre go first, since others may be out of reach. Hosts
    pick by a hash of their names, so that they don't all pick the same ones.

    :param entry_hosts: how many share the upstreams, over all data centres.
    """
    by_service: dict[str, list[ListedUpstream]] = defaultdict(list)
    places = set()
    for one in upstreams:
        by_service[one.service].append(one)
        places.add(one.data_centre)
    sharing = max(1.0, entry_hosts / max(1, len(places)))
    chosen: list[ListedUpstream] = []
    for members in by_service.values():
        near = [one for one in members if one.data_centre == data_centre]
        ready = [one for one in near if not one.is_leaving]
        chosen.extend(_picked(near if ready else members, host, sharing))
    return tuple(chosen)


def _picked(
    members: list[ListedUpstream], host: str, sharing: float
) -> Iterator[ListedUpstream]:
    ordered = sorted(members, key=lambda one: _rank(host, one.name))
    total = sum(one.slots for one in ordered)
    left = ceil(total * SPARE_SHARE / sharing)
    count = min(len(ordered), left)
    for one in ordered[:count]:
        yield replace(one, slots=max(1, min(one.slots, ceil(left / count))))


def _rank(host: str, name: str) -> bytes:
    return hashlib.blake2b(f"{host}|{name}".encode(), digest_size=8).digest()
