"""The configuration in force at an entry host, which never steps back."""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from .actions import Received, Send, Tick
from .messages import ConfigQuery, ConfigUpdate, Heartbeat

CONTROL_ROLE = "control"


@dataclass(frozen=True, slots=True)
class ConfigInForce:
    """Action: a newer configuration is in force from now on."""

    version: int
    content: str


@dataclass(frozen=True, slots=True)
class FollowerTiming:
    """Holds the times of a follower.

    :param host_timeout_ms: silence after which a peer no longer counts.
    :param query_interval_ms: between two queries; also how long a newer version
        may be known before it is asked for, since the leader sends it unasked.
    :param reply_interval_ms: between two configurations sent to one peer.
    """

    host_timeout_ms: int = 1500
    query_interval_ms: int = 300
    reply_interval_ms: int = 200


@dataclass(frozen=True, slots=True)
class _Source:
    version: int
    is_control: bool
    heard_ms: int


@dataclass(frozen=True, slots=True)
class FollowerDump:
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
    """

    def __init__(self, timing: FollowerTiming | None = None):
        self._timing = timing or FollowerTiming()
        self._current = ConfigUpdate(version=0, change_id="", author="", content="")
        self._sources: dict[str, _Source] = {}
        self._sent_ms: dict[str, int] = {}
        self._asked: dict[str, int] = {}
        self._query_due_ms: int | None = None

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

    def dump(self, now_ms: int) -> FollowerDump:
        """Return what operators may want to know."""
        versions = [s.version for s in self._sources.values()]
        return FollowerDump(
            version=self._current.version,
            change_id=self._current.change_id,
            author=self._current.author,
            newest_version=max([self.version, *versions]),
            control_silent_ms=self._control_silent_ms(now_ms),
        )

    @singledispatchmethod
    def handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        """Handle one event; those that are not for a follower are ignored.

        :param now_ms: monotonic clock of this host.
        :return: actions: ``Send`` and ``ConfigInForce``.
        """
        yield from ()

    @handle.register
    def _(self, event: Tick, now_ms: int) -> Iterator[Any]:
        if self._query_due_ms is not None and now_ms >= self._query_due_ms:
            yield from self._query(now_ms)

    @handle.register
    def _(self, event: Received, now_ms: int) -> Iterator[Any]:
        yield from self._receive(event.message, event.sender, now_ms)

    @singledispatchmethod
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
            yield from self.handle(Tick(), now_ms)

    @_receive.register
    def _(self, message: ConfigUpdate, sender: str, now_ms: int) -> Iterator[Any]:
        if message.version <= self.version:
            return
        self._current = message
        self._asked.clear()
        self._query_due_ms = None
        yield ConfigInForce(message.version, message.content)

    @_receive.register
    def _(self, message: ConfigQuery, sender: str, now_ms: int) -> Iterator[Any]:
        if self.version <= message.version:
            return
        sent_ms = self._sent_ms.get(sender)
        if sent_ms is not None and now_ms - sent_ms < self._timing.reply_interval_ms:
            return
        self._sent_ms[sender] = now_ms
        yield Send(sender, self._current)

    def _query(self, now_ms: int) -> Iterator[Any]:
        self._query_due_ms = None
        source = self._next_source(now_ms)
        if source is None:
            return
        self._asked[source] = now_ms
        self._query_due_ms = now_ms + self._timing.query_interval_ms
        yield Send(source, ConfigQuery(self.version))

    def _next_source(self, now_ms: int) -> str | None:
        """Return the source asked longest ago; of these the newest, peers first."""
        oldest_ms = now_ms - self._timing.host_timeout_ms
        newer = [
            (self._asked.get(host, -1), -source.version, source.is_control, host)
            for host, source in self._sources.items()
            if source.version > self.version and source.heard_ms > oldest_ms
        ]
        return min(newer)[-1] if newer else None

    def _control_silent_ms(self, now_ms: int) -> int | None:
        heard = [s.heard_ms for s in self._sources.values() if s.is_control]
        return now_ms - max(heard) if heard else None
