"""Table of the hosts from which a control host has received heartbeats."""

from collections.abc import Iterator
from dataclasses import dataclass

from .messages import Heartbeat, Replica

ENTRY_ROLE = "entry"
NEVER_SENT_MS = -(2**62)
REMOVAL_TIMEOUT_MS = 3_600_000


@dataclass(slots=True)
class HostState:
    """State of one host.

    :param first_seen_ms: time of the first heartbeat of this incarnation.
    :param last_seen_ms: time of the last heartbeat.
    :param leader_confirmed_ms: time of its last heartbeat that names this host as
        leader, which shows that messages pass both ways; until then, time of the
        first heartbeat.
    :param update_sent_ms: time at which a configuration was last sent to it.
    :param update_version: version of that configuration.
    :param update_wait_ms: time after which the same version may be sent again.
    :param strikes_sent: whether the active strikes were sent to it.
    :param parts_digest: hash of the crashing parts that were last sent to it.
    :param parts_sent_ms: time at which they were sent.
    """

    host: str
    incarnation: int
    heartbeat: Heartbeat
    first_seen_ms: int
    last_seen_ms: int
    leader_confirmed_ms: int
    update_sent_ms: int = NEVER_SENT_MS
    update_version: int = 0
    update_wait_ms: int = 0
    strikes_sent: bool = False
    parts_digest: int = 0
    parts_sent_ms: int = NEVER_SENT_MS


class HostTable:
    """Table of hosts with their last heartbeats, which show whether they are alive.

    :param host: name of the local host.
    :param host_timeout_ms: time without heartbeats after which a host no longer counts
        as alive.
    """

    def __init__(self, host: str, host_timeout_ms: int):
        self._host = host
        self._host_timeout_ms = host_timeout_ms
        self._hosts: dict[str, HostState] = {}

    def record(
        self, host: str, incarnation: int, heartbeat: Heartbeat, now_ms: int
    ) -> HostState:
        """Record a heartbeat and return the state of its sender."""
        state = self._hosts.get(host)
        if state is None or state.incarnation != incarnation:
            state = HostState(host, incarnation, heartbeat, now_ms, now_ms, now_ms)
            self._hosts[host] = state
            return state
        state.last_seen_ms = now_ms
        if heartbeat.leader == self._host:
            state.leader_confirmed_ms = now_ms
        if heartbeat.sequence >= state.heartbeat.sequence:
            state.heartbeat = heartbeat
        return state

    def get(self, host: str) -> HostState | None:
        """Return the state of a host, or None if it has sent no heartbeat."""
        return self._hosts.get(host)

    def hosts(self) -> tuple[HostState, ...]:
        """Return all hosts in the table, ordered by name."""
        return tuple([self._hosts[name] for name in sorted(self._hosts)])

    def is_alive(self, state: HostState, now_ms: int) -> bool:
        """Return whether a heartbeat of a host was received within the timeout."""
        return now_ms - state.last_seen_ms < self._host_timeout_ms

    def live_entry_hosts(self, now_ms: int) -> Iterator[HostState]:
        """Yield the entry hosts that are alive."""
        for state in self._hosts.values():
            if state.heartbeat.role == ENTRY_ROLE and self.is_alive(state, now_ms):
                yield state

    def silent_ms(self, holder: Replica, since_ms: int, now_ms: int) -> int:
        """Return for how long a holder has certainly been unreachable.

        A holder whose heartbeats arrive but that does not receive those of this
        leader is unreachable too: it can neither learn of its grant nor end its
        claim.

        :param holder: host and incarnation of a claim's holder.
        :param since_ms: time since which this host has received heartbeats.
        """
        state = self._hosts.get(holder.host)
        if state is None:
            return now_ms - since_ms
        if state.incarnation == holder.incarnation:
            return now_ms - max(since_ms, state.leader_confirmed_ms)
        return now_ms - max(since_ms, state.first_seen_ms)

    def laggards(self, version: int, expected: frozenset[str]) -> tuple[str, ...]:
        """Return the names of the entry hosts that have not confirmed a version.

        Silent hosts are included, since they may still run with an old version.

        :param version: configuration version.
        :param expected: entry hosts that should exist; those that have sent no
            heartbeat have confirmed nothing.
        """
        entry_hosts = [
            state
            for state in self._hosts.values()
            if state.heartbeat.role == ENTRY_ROLE
        ]
        confirmed_hosts = {
            state.host
            for state in entry_hosts
            if state.heartbeat.config_version >= version
        }
        seen_hosts = {state.host for state in entry_hosts}
        return tuple(sorted((seen_hosts | expected) - confirmed_hosts))

    def remove_silent(self, now_ms: int) -> None:
        """Remove the hosts that were silent for ``REMOVAL_TIMEOUT_MS``."""
        oldest_ms = now_ms - REMOVAL_TIMEOUT_MS
        for host, state in list(self._hosts.items()):
            if state.last_seen_ms < oldest_ms:
                del self._hosts[host]
