"""Group in virtual time whose links to the entry hosts pass few bytes a second."""

import random
from collections import defaultdict
from dataclasses import replace

from peridotfront import wire
from peridotfront.core.actions import Received
from peridotfront.core.messages import ConfigQuery, ConfigUpdate, Heartbeat

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

    :param is_old_build: whether the entry hosts read no compressed configurations.

    ``most_waiting_bytes`` is the most that ever waited on one link, and
    ``config_bytes`` has what the configurations sent over each link took of it.
    """

    def __init__(self, entries, seed, *, is_old_build=False):
        super().__init__(entries=entries, seed=seed)
        self.is_old_build = is_old_build
        self.free_ms = defaultdict(float)
        self.config_bytes = defaultdict(list)
        self.most_waiting_bytes = 0

    def _send(self, host, action):
        if not isinstance(self.hosts.get(action.to_host), EntryHost):
            super()._send(host, self._without_new_fields(action))
            return
        name = action.to_host
        self.sent[type(action.message).__name__] += 1
        data = wire.to_proto(action.message).SerializeToString()
        if isinstance(action.message, ConfigUpdate):
            self.config_bytes[name].append(len(data))
        begin_ms = max(self.now_ms, self.free_ms[name])
        end_ms = begin_ms + 1000 * len(data) / LINK_BYTES_PER_S
        self.free_ms[name] = end_ms
        waiting_bytes = (end_ms - self.now_ms) * LINK_BYTES_PER_S / 1000
        self.most_waiting_bytes = max(self.most_waiting_bytes, waiting_bytes)
        message = wire.decode(type(action.message), data)
        received = Received(host.name, host.incarnation, message)
        self.in_flight.append((end_ms + DELAY_MS, name, received))

    def _without_new_fields(self, action):
        message = action.message
        if self.is_old_build and isinstance(message, Heartbeat):
            message = replace(message, reads_packed_config=False)
        elif self.is_old_build and isinstance(message, ConfigQuery):
            message = replace(message, reads_packed=False)
        return replace(action, message=message)
