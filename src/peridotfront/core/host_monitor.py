"""Which hosts live, judged by the silence of their heartbeats."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from .actions import Received, Send, Tick
from .messages import Heartbeat
from .scheduler_events import HostLost


@dataclass(frozen=True, slots=True)
class LiveHostsChanged:
    """Reports that the set of live hosts, or of leaving ones, has changed."""


@dataclass(frozen=True, slots=True)
class HostView:
    """Is what this host knows of another one.

    :param heard_ms: when its last heartbeat came, on this host's clock.
    """

    name: str
    role: str
    data_centre: str
    incarnation: int
    heard_ms: int
    config_version: int
    is_leaving: bool
    leader: str
    is_alive: bool = True


class HostMonitor:
    """Sends the own heartbeat and watches those of the peers.

    :param name: the own host name.
    :param data_centre: the own data centre.
    :param peers: names of all other hosts of the deployment.
    :param heartbeat_ms: time between own heartbeats.
    :param host_timeout_ms: silence after which a host counts as lost.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        peers: tuple[str, ...],
        heartbeat_ms: int,
        host_timeout_ms: int,
    ):
        self.name = name
        self.data_centre = data_centre
        self.peers = peers
        self.heartbeat_ms = heartbeat_ms
        self.host_timeout_ms = host_timeout_ms
        self.is_leaving = False
        self.config_version = 0
        self.leader = ""
        self.hosts: dict[str, HostView] = {}
        self._sequence = 0
        self._next_beat_ms = 0
        self._checked_ms = 0

    def handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        """Take a tick or a received heartbeat, and yield what follows."""
        if isinstance(event, Tick):
            yield from self._tick(now_ms)
        elif isinstance(event, Received):
            yield from self._heard(event, now_ms)

    def entry_hosts(self, data_centre: str = "") -> list[str]:
        """Return the live entry hosts that are not leaving, own host included.

        :param data_centre: only those there; empty means everywhere.
        """
        names = [
            view.name
            for view in self.hosts.values()
            if view.role == "entry" and view.is_alive and not view.is_leaving
            if data_centre in ("", view.data_centre)
        ]
        if not self.is_leaving and data_centre in ("", self.data_centre):
            names.append(self.name)
        return names

    def is_alive(self, host: str) -> bool:
        """Tell whether a host's heartbeats arrive."""
        if host == self.name:
            return True
        view = self.hosts.get(host)
        return view is not None and view.is_alive

    def request_heartbeat(self) -> None:
        """Send the next heartbeat at the next tick."""
        self._next_beat_ms = 0

    def _tick(self, now_ms: int) -> Iterator[Any]:
        if now_ms >= self._next_beat_ms:
            self._next_beat_ms = now_ms + self.heartbeat_ms
            yield from self._beat()
        gap_ms = now_ms - self._checked_ms
        self._checked_ms = now_ms
        if gap_ms > self.host_timeout_ms // 2:
            # The own process was frozen: the silence says nothing of the peers.
            self._forgive(gap_ms)
            return
        yield from self._judge_silence(now_ms)

    def _beat(self) -> Iterator[Send]:
        self._sequence += 1
        beat = Heartbeat(
            data_centre=self.data_centre,
            role="entry",
            sequence=self._sequence,
            config_version=self.config_version,
            is_leaving=self.is_leaving,
            leader=self.leader,
        )
        for peer in self.peers:
            yield Send(peer, beat)

    def _forgive(self, gap_ms: int) -> None:
        for view in list(self.hosts.values()):
            self.hosts[view.name] = replace(view, heard_ms=view.heard_ms + gap_ms)

    def _judge_silence(self, now_ms: int) -> Iterator[Any]:
        for view in list(self.hosts.values()):
            if not view.is_alive or now_ms - view.heard_ms <= self.host_timeout_ms:
                continue
            self.hosts[view.name] = replace(view, is_alive=False)
            yield HostLost(view.name)
            yield LiveHostsChanged()

    def _heard(self, event: Received, now_ms: int) -> Iterator[Any]:
        beat = event.message
        known = self.hosts.get(event.sender)
        view = HostView(
            name=event.sender,
            role=beat.role,
            data_centre=beat.data_centre,
            incarnation=event.incarnation,
            heard_ms=now_ms,
            config_version=beat.config_version,
            is_leaving=beat.is_leaving,
            leader=beat.leader,
        )
        self.hosts[event.sender] = view
        if known is not None and known.incarnation != view.incarnation:
            yield HostLost(event.sender)
        if known is None or _standing(known) != _standing(view):
            yield LiveHostsChanged()


def _standing(view: HostView) -> tuple[bool, bool, int]:
    return view.is_alive, view.is_leaving, view.incarnation
