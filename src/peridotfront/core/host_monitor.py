"""Liveness of hosts, detected by their heartbeats."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from .actions import Received, Send, Tick
from .messages import Heartbeat
from .scheduler_events import HostLost


@dataclass(frozen=True, slots=True)
class LiveHostsChanged:
    """Action: report a change in which hosts are alive, leaving or restarted."""


@dataclass(frozen=True, slots=True)
class HostView:
    """Local view of another host, from its last heartbeat.

    :param heard_ms: arrival time of its last heartbeat, on the local clock.
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
    """Sender of the local heartbeat and monitor of the peers' heartbeats.

    :param name: local host name.
    :param data_centre: local data centre.
    :param peers: names of all other hosts of the deployment.
    :param heartbeat_ms: time between two local heartbeats.
    :param host_timeout_ms: silence after which a host is considered lost.
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
        self._next_heartbeat_ms = 0
        self._checked_ms = 0

    def handle(self, event: Any, now_ms: int) -> Iterator[Any]:
        """Handle a tick or a received heartbeat, and yield the resulting actions."""
        if isinstance(event, Tick):
            yield from self._tick(now_ms)
        elif isinstance(event, Received):
            yield from self._on_heartbeat(event, now_ms)

    def entry_hosts(self, data_centre: str = "") -> list[str]:
        """Return the live entry hosts that are not leaving, including the local one.

        :param data_centre: data centre of the hosts; empty for all data centres.
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
        """Return whether a host is alive; the local one always is."""
        if host == self.name:
            return True
        view = self.hosts.get(host)
        return view is not None and view.is_alive

    def request_heartbeat(self) -> None:
        """Schedule a heartbeat for the next tick."""
        self._next_heartbeat_ms = 0

    def _tick(self, now_ms: int) -> Iterator[Any]:
        if now_ms >= self._next_heartbeat_ms:
            self._next_heartbeat_ms = now_ms + self.heartbeat_ms
            yield from self._send_heartbeats()
        gap_ms = now_ms - self._checked_ms
        self._checked_ms = now_ms
        if gap_ms > self.host_timeout_ms // 2:
            # The local process was frozen, so the silence does not mean lost peers.
            self._discount_gap(gap_ms)
            return
        yield from self._detect_lost_hosts(now_ms)

    def _send_heartbeats(self) -> Iterator[Send]:
        self._sequence += 1
        heartbeat = Heartbeat(
            data_centre=self.data_centre,
            role="entry",
            sequence=self._sequence,
            config_version=self.config_version,
            is_leaving=self.is_leaving,
            leader=self.leader,
            reads_packed_config=True,
        )
        for peer in self.peers:
            yield Send(peer, heartbeat)

    def _discount_gap(self, gap_ms: int) -> None:
        for view in list(self.hosts.values()):
            self.hosts[view.name] = replace(view, heard_ms=view.heard_ms + gap_ms)

    def _detect_lost_hosts(self, now_ms: int) -> Iterator[Any]:
        for view in list(self.hosts.values()):
            if not view.is_alive or now_ms - view.heard_ms <= self.host_timeout_ms:
                continue
            self.hosts[view.name] = replace(view, is_alive=False)
            yield HostLost(view.name)
            yield LiveHostsChanged()

    def _on_heartbeat(self, event: Received, now_ms: int) -> Iterator[Any]:
        heartbeat = event.message
        previous = self.hosts.get(event.sender)
        view = HostView(
            name=event.sender,
            role=heartbeat.role,
            data_centre=heartbeat.data_centre,
            incarnation=event.incarnation,
            heard_ms=now_ms,
            config_version=heartbeat.config_version,
            is_leaving=heartbeat.is_leaving,
            leader=heartbeat.leader,
        )
        self.hosts[event.sender] = view
        if previous is not None and previous.incarnation != view.incarnation:
            yield HostLost(event.sender)
        if previous is None or _liveness(previous) != _liveness(view):
            yield LiveHostsChanged()


def _liveness(view: HostView) -> tuple[bool, bool, int]:
    return view.is_alive, view.is_leaving, view.incarnation
