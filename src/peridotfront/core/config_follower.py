"""The configuration in force at an entry host, which never steps back."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from .actions import Log, Received, Send, Tick
from .messages import ConfigQuery, ConfigUpdate, Heartbeat
from .single_dispatch import dispatchmethod

CONTROL_ROLE = "control"


@dataclass(frozen=True, slots=True)
class ConfigActivated:
    """Action: a newer configuration is in force from now on."""

    version: int
    content: str


@dataclass(frozen=True, slots=True)
class ConfigFollowerTiming:
    """Holds the times of a follower.

    :param host_timeout_ms: silence after which a peer no longer counts.
    :param query_interval_ms: between two queries; also how long a newer version
        may be known before it is asked for, since the leader sends it unasked.
    :param reply_interval_ms: between two configurations sent to one peer.
    :param min_discovery_ms: how long a blank follower listens at least.
    :param max_discovery_ms: how long it looks for the newest version at most.
    """

    host_timeout_ms: int = 1500
    query_interval_ms: int = 300
    reply_interval_ms: int = 200
    min_discovery_ms: int = 500
    max_discovery_ms: int = 3000


@dataclass(frozen=True, slots=True)
class _Source:
    version: int
    is_control: bool
    heard_ms: int


@dataclass(frozen=True, slots=True)
class ConfigFollowerDump:
    """Describes a follower to operators.

    :param newest_version: the highest that any peer named.
    :param control_silent_ms: since the last heartbeat of a control host; None if
        none was heard.
    """

    version: int
    change_id: str
    author: str
    newest_version: int
    control_silent_ms: int | None


class ConfigFollower:
    """Takes configurations from control hosts and peers, newest version only.

    It starts blank, with version 0, and asks whoever names a newer version in a
    heartbeat. Cut off, it goes on with what it has; see :meth:`is_cut_off`.

    So that a restart is no step back, a blank follower first listens, and then
    takes no version older than the newest that a live host names. Only if nobody
    has brought that one within ``max_discovery_ms`` it takes the newest it got, and
    says so with the log event ``configuration_may_be_old``. A host that restarts
    while all hosts in its reach have an older version than it had cannot know of it.
    """

    def __init__(self, timing: ConfigFollowerTiming | None = None):
        self._timing = timing or ConfigFollowerTiming()
        self._current = ConfigUpdate(version=0, change_id="", author="", content="")
        self._sources: dict[str, _Source] = {}
        self._sent_ms: dict[str, int] = {}
        self._asked: dict[str, int] = {}
        self._query_due_ms: int | None = None
        self._started_ms: int | None = None
        self._candidate = self._current

    @property
    def version(self) -> int:
        """Return the version in force; 0 if there is none yet."""
        return self._current.version

    @property
    def content(self) -> str:
        """Return the configuration in force as text."""
        return self._current.content

    def is_cut_off(self, now_ms: int) -> bool:
        """Return whether no control host was heard within the time-out."""
        silent_ms = self._control_silent_ms(now_ms)
        return silent_ms is None or silent_ms >= self._timing.host_timeout_ms

    def dump(self, now_ms: int) -> ConfigFollowerDump:
        """Return what operators may want to know."""
        versions = [s.version for s in self._sources.values()]
        return ConfigFollowerDump(
            version=self._current.version,
            change_id=self._current.change_id,
            author=self._current.author,
            newest_version=max([self.version, *versions]),
            control_silent_ms=self._control_silent_ms(now_ms),
        )

    def handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        """Handle one event; those that are not for a follower are ignored.

        :param now_ms: monotonic clock of this host.
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
            yield from self._leave_blank(now_ms)
        if self._query_due_ms is not None and now_ms >= self._query_due_ms:
            yield from self._query(now_ms)

    @_handle.register
    def _(self, event: Received, now_ms: int) -> Iterator[Any]:
        yield from self._receive(event.message, event.sender, now_ms)

    @dispatchmethod
    def _receive(self, message: Any, sender: str, now_ms: int) -> Iterator[Any]:
        yield from ()

    @_receive.register
    def _(self, message: Heartbeat, sender: str, now_ms: int) -> Iterator[Any]:
        is_control = message.role == CONTROL_ROLE
        self._sources[sender] = _Source(message.config_version, is_control, now_ms)
        is_behind = message.config_version > self.version
        if is_behind and self._query_due_ms is None:
            wait_ms = self._timing.query_interval_ms if self.version else 0
            self._query_due_ms = now_ms + wait_ms
            yield from self._handle(Tick(), now_ms)

    @_receive.register
    def _(self, message: ConfigUpdate, sender: str, now_ms: int) -> Iterator[Any]:
        if message.version <= max(self.version, self._candidate.version):
            return
        self._candidate = message
        if self.version:
            yield from self._put_in_force()
        else:
            yield from self._leave_blank(now_ms)

    @_receive.register
    def _(self, message: ConfigQuery, sender: str, now_ms: int) -> Iterator[Any]:
        if self.version <= message.version:
            return
        sent_ms = self._sent_ms.get(sender)
        if sent_ms is not None and now_ms - sent_ms < self._timing.reply_interval_ms:
            return
        self._sent_ms[sender] = now_ms
        yield Send(sender, self._current)

    def _leave_blank(self, now_ms: int) -> Iterator[Any]:
        waited_ms = now_ms - self._started_ms
        if waited_ms < self._timing.min_discovery_ms:
            return
        newest = max([s.version for s in self._fresh(now_ms).values()], default=0)
        if self._candidate.version < newest:
            if waited_ms < self._timing.max_discovery_ms:
                return
            fields = (("version", self._candidate.version), ("newest", newest))
            yield Log("configuration_may_be_old", fields)
        yield from self._put_in_force()

    def _put_in_force(self) -> Iterator[Any]:
        self._current = self._candidate
        self._asked.clear()
        self._query_due_ms = None
        yield ConfigActivated(self._current.version, self._current.content)

    def _fresh(self, now_ms: int) -> dict[str, _Source]:
        oldest_ms = now_ms - self._timing.host_timeout_ms
        return {h: s for h, s in self._sources.items() if s.heard_ms > oldest_ms}

    def _query(self, now_ms: int) -> Iterator[Any]:
        self._query_due_ms = None
        source = self._next_source(now_ms)
        if source is None:
            return
        self._asked[source] = now_ms
        self._query_due_ms = now_ms + self._timing.query_interval_ms
        known = max(self.version, self._candidate.version)
        yield Send(source, ConfigQuery(known))

    def _next_source(self, now_ms: int) -> str | None:
        """Return the source asked longest ago; of these the newest, peers first."""
        known = max(self.version, self._candidate.version)
        newer = [
            (self._asked.get(host, -1), -source.version, source.is_control, host)
            for host, source in self._fresh(now_ms).items()
            if source.version > known
        ]
        return min(newer)[-1] if newer else None

    def _control_silent_ms(self, now_ms: int) -> int | None:
        heard = [s.heard_ms for s in self._sources.values() if s.is_control]
        return now_ms - max(heard) if heard else None
