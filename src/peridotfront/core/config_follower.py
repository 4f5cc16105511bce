"""Current configuration of an entry host, whose version never decreases."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from .actions import Log, Received, Send, Tick
from .config_packing import UpdatePacker, transfer_ms, unpack
from .messages import ConfigQuery, ConfigUpdate, Heartbeat
from .single_dispatch import dispatchmethod

CONTROL_ROLE = "control"


@dataclass(frozen=True, slots=True)
class ConfigActivated:
    """Action: report that a newer configuration has become current."""

    version: int
    content: str


@dataclass(frozen=True, slots=True)
class ConfigFollowerTiming:
    """Timeouts and intervals of a configuration follower.

    :param host_timeout_ms: silence after which a peer is ignored.
    :param query_interval_ms: time between the first two queries; also the delay
        before the first query for a newer version, since the leader sends it unasked.
    :param max_query_interval_ms: longest time between two queries, to which it grows
        while no answer arrives.
    :param reply_interval_ms: minimum time between two configurations sent to a peer.
    :param min_discovery_ms: minimum time that a blank follower listens for versions.
    :param max_discovery_ms: maximum time that it waits for the newest version.
    """

    host_timeout_ms: int = 1500
    query_interval_ms: int = 300
    max_query_interval_ms: int = 2400
    reply_interval_ms: int = 200
    min_discovery_ms: int = 500
    max_discovery_ms: int = 3000


@dataclass(frozen=True, slots=True)
class _Source:
    version: int
    is_control: bool
    received_ms: int


@dataclass(frozen=True, slots=True)
class ConfigFollowerDump:
    """Diagnostic view of a configuration follower.

    :param newest_version: highest version that is current here or at any peer.
    :param control_silent_ms: time since the last heartbeat of a control host; None if
        there was none.
    """

    version: int
    change_id: str
    author: str
    newest_version: int
    control_silent_ms: int | None


class ConfigFollower:
    """Follower that takes the newest configuration from control hosts and peers.

    It starts blank, with version 0, and queries the hosts whose heartbeats name a
    newer version. Without contact to control hosts it keeps its configuration; see
    :meth:`is_cut_off`.

    So that a restart does not activate an older version, a blank follower first
    listens, and then takes no version older than the newest that a live host names.
    If it does not receive that version within ``max_discovery_ms``, it takes the newest
    one received and logs the event ``configuration_may_be_old``. A host that restarts
    while all reachable hosts have an older version than it had cannot detect that.

    :param timing: timeouts and intervals.
    """

    def __init__(self, timing: ConfigFollowerTiming | None = None):
        self._timing = timing or ConfigFollowerTiming()
        self._current = ConfigUpdate(version=0, change_id="", author="", content="")
        self._sources: dict[str, _Source] = {}
        self._replied_ms: dict[str, int] = {}
        self._queried_ms: dict[str, int] = {}
        self._query_due_ms: int | None = None
        self._query_interval_ms = self._timing.query_interval_ms
        self._packer = UpdatePacker()
        self._started_ms: int | None = None
        self._candidate = self._current

    @property
    def version(self) -> int:
        """Return the current version; 0 if there is none yet."""
        return self._current.version

    @property
    def content(self) -> str:
        """Return the current configuration as text."""
        return self._current.content

    def is_cut_off(self, now_ms: int) -> bool:
        """Return whether no heartbeat of a control host arrived within the timeout."""
        silent_ms = self._control_silent_ms(now_ms)
        return silent_ms is None or silent_ms >= self._timing.host_timeout_ms

    def dump(self, now_ms: int) -> ConfigFollowerDump:
        """Return the diagnostic view."""
        versions = [s.version for s in self._sources.values()]
        return ConfigFollowerDump(
            version=self._current.version,
            change_id=self._current.change_id,
            author=self._current.author,
            newest_version=max([self.version, *versions]),
            control_silent_ms=self._control_silent_ms(now_ms),
        )

    def handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        """Handle one event; events for other components are ignored.

        :param now_ms: local monotonic clock.
        :return: actions: ``Send``, ``ConfigActivated`` and ``Log``.
        """
        if self._started_ms is None:
            self._started_ms = now_ms
        yield from self._handle(event, now_ms)

    @dispatchmethod
    def _handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        yield from ()

    @_handle.register
    def _(self, event: Tick, now_ms: int) -> Iterator[Any]:
        if not self.version and self._candidate.version:
            yield from self._activate_first(now_ms)
        if self._query_due_ms is not None and now_ms >= self._query_due_ms:
            yield from self._query(now_ms)

    @_handle.register
    def _(self, event: Received, now_ms: int) -> Iterator[Any]:
        yield from self._on_message(event.message, event.sender, now_ms)

    @dispatchmethod
    def _on_message(self, message: Any, sender: str, now_ms: int) -> Iterator[Any]:
        yield from ()

    @_on_message.register
    def _(self, message: Heartbeat, sender: str, now_ms: int) -> Iterator[Any]:
        is_control = message.role == CONTROL_ROLE
        self._sources[sender] = _Source(message.config_version, is_control, now_ms)
        is_behind = message.config_version > self.version
        if is_behind and self._query_due_ms is None:
            self._query_interval_ms = self._timing.query_interval_ms
            wait_ms = self._timing.query_interval_ms if self.version else 0
            self._query_due_ms = now_ms + wait_ms
            yield from self._handle(Tick(), now_ms)

    @_on_message.register
    def _(self, message: ConfigUpdate, sender: str, now_ms: int) -> Iterator[Any]:
        if message.version <= max(self.version, self._candidate.version):
            return
        try:
            self._candidate = unpack(message)
        except ValueError as error:
            fields = (("version", message.version), ("error", str(error)))
            yield Log("config_unreadable", fields)
            return
        if self.version:
            yield from self._activate_candidate()
        else:
            yield from self._activate_first(now_ms)

    @_on_message.register
    def _(self, message: ConfigQuery, sender: str, now_ms: int) -> Iterator[Any]:
        if self.version <= message.version:
            return
        update = self._current
        if message.reads_packed:
            update = self._packer.pack(update)
        sent_ms = self._replied_ms.get(sender)
        wait_ms = max(self._timing.reply_interval_ms, transfer_ms(update))
        if sent_ms is not None and now_ms - sent_ms < wait_ms:
            return
        self._replied_ms[sender] = now_ms
        yield Send(sender, update)

    def _activate_first(self, now_ms: int) -> Iterator[Any]:
        waited_ms = now_ms - self._started_ms
        if waited_ms < self._timing.min_discovery_ms:
            return
        newest = max(
            [s.version for s in self._live_sources(now_ms).values()], default=0
        )
        if self._candidate.version < newest:
            if waited_ms < self._timing.max_discovery_ms:
                return
            fields = (("version", self._candidate.version), ("newest", newest))
            yield Log("configuration_may_be_old", fields)
        yield from self._activate_candidate()

    def _activate_candidate(self) -> Iterator[Any]:
        self._current = self._candidate
        self._queried_ms.clear()
        self._query_due_ms = None
        yield ConfigActivated(self._current.version, self._current.content)

    def _live_sources(self, now_ms: int) -> dict[str, _Source]:
        oldest_ms = now_ms - self._timing.host_timeout_ms
        return {h: s for h, s in self._sources.items() if s.received_ms > oldest_ms}

    def _query(self, now_ms: int) -> Iterator[Any]:
        self._query_due_ms = None
        source = self._next_source(now_ms)
        if source is None:
            return
        self._queried_ms[source] = now_ms
        self._query_due_ms = now_ms + self._query_interval_ms
        self._query_interval_ms = min(
            2 * self._query_interval_ms, self._timing.max_query_interval_ms
        )
        held_version = max(self.version, self._candidate.version)
        yield Send(source, ConfigQuery(held_version, reads_packed=True))

    def _next_source(self, now_ms: int) -> str | None:
        """Return the least recently queried source with a newer version.

        Ties are resolved by the newest version, then by peers before control hosts.
        """
        held_version = max(self.version, self._candidate.version)
        newer = [
            (self._queried_ms.get(host, -1), -source.version, source.is_control, host)
            for host, source in self._live_sources(now_ms).items()
            if source.version > held_version
        ]
        return min(newer)[-1] if newer else None

    def _control_silent_ms(self, now_ms: int) -> int | None:
        times_ms = [s.received_ms for s in self._sources.values() if s.is_control]
        return now_ms - max(times_ms) if times_ms else None
