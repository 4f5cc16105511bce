"""Group in virtual time whose links to the entry hosts pass few bytes a second."""

import random
from collections import defaultdict

from peridotfront import wire
from peridotfront.core.actions import Received
from peridotfront.core.messages import ConfigUpdate

from .routed_group import DELAY_MS, EntryHost, RoutedGroup

LINK_BYTES_PER_S = 625_000
NAME_LETTERS = "bcdfghklmnprstvwxyzaeiou0123456789"


def random_routes(count, seed):
    """Return prefixes of routes whose names repeat no more than those of operators."""
    names = random.Random(seed)
    return tuple(
        [f"/{''.join(names.choices(NAME_LETTERS, k=14))}/" for _ in range(count)]
    )


class SlowLinks(RoutedGroup):
    """Group whose messages to an entry host queue on its link, each in its turn.

    ``most_waiting_bytes`` is the most that ever waited on one link, and
    ``config_bytes`` counts what configurations took of each link.
    """

    def __init__(self, entries, seed):
        super().__init__(entries=entries, seed=seed)
        self.free_ms = defaultdict(float)
        self.config_bytes = defaultdict(int)
        self.most_waiting_bytes = 0

    def _send(self, host, action):
        if not isinstance(self.hosts.get(action.to_host), EntryHost):
            super()._send(host, action)
            return
        name = action.to_host
        self.sent[type(action.message).__name__] += 1
        data = wire.to_proto(action.message).SerializeToString()
        if isinstance(action.message, ConfigUpdate):
            self.config_bytes[name] += len(data)
        begin_ms = max(self.now_ms, self.free_ms[name])
        end_ms = begin_ms + 1000 * len(data) / LINK_BYTES_PER_S
        self.free_ms[name] = end_ms
        waiting_bytes = (end_ms - self.now_ms) * LINK_BYTES_PER_S / 1000
        self.most_waiting_bytes = max(self.most_waiting_bytes, waiting_bytes)
        message = wire.decode(type(action.message), data)
        received = Received(host.name, host.incarnation, message)
        self.in_flight.append((end_ms + DELAY_MS, name, received))
