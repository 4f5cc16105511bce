"""Choice of the upstreams that an entry host uses while it has no leader."""

import hashlib
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import replace
from math import ceil

from .messages import ListedUpstream

OVERBOOKING_RATIO = 1.5


def leaderless_upstreams(
    upstreams: Iterable[ListedUpstream], host: str, data_centre: str, entry_hosts: int
) -> tuple[ListedUpstream, ...]:
    """Return the upstreams, with reduced slots, that a leaderless entry host may use.

    Upstreams of the local data centre are preferred, since others may be unreachable.
    Each host ranks upstreams by a hash of both names, so that hosts choose different
    ones.

    :param host: name of the local host.
    :param data_centre: data centre of the local host.
    :param entry_hosts: number of entry hosts that share the upstreams, over all data
        centres.
    """
    by_service: dict[str, list[ListedUpstream]] = defaultdict(list)
    data_centres = set()
    for upstream in upstreams:
        by_service[upstream.service].append(upstream)
        data_centres.add(upstream.data_centre)
    sharing_hosts = max(1.0, entry_hosts / max(1, len(data_centres)))
    chosen: list[ListedUpstream] = []
    for service_upstreams in by_service.values():
        nearby = [
            upstream
            for upstream in service_upstreams
            if upstream.data_centre == data_centre
        ]
        ready = [upstream for upstream in nearby if not upstream.is_leaving]
        chosen.extend(
            _pick_upstreams(nearby if ready else service_upstreams, host, sharing_hosts)
        )
    return tuple(chosen)


def _pick_upstreams(
    service_upstreams: list[ListedUpstream], host: str, sharing_hosts: float
) -> Iterator[ListedUpstream]:
    ordered = sorted(service_upstreams, key=lambda upstream: _rank(host, upstream.name))
    total_slots = sum(upstream.slots for upstream in ordered)
    max_slots = ceil(total_slots * OVERBOOKING_RATIO / sharing_hosts)
    count = min(len(ordered), max_slots)
    for upstream in ordered[:count]:
        yield replace(
            upstream, slots=max(1, min(upstream.slots, ceil(max_slots / count)))
        )


def _rank(host: str, name: str) -> bytes:
    return hashlib.blake2b(f"{host}|{name}".encode(), digest_size=8).digest()
