"""What a control host knows of the other hosts from their heartbeats."""

from collections.abc import Iterator
from dataclasses import dataclass

from .messages import Heartbeat, Replica

ENTRY_ROLE = "entry"
NEVER_MS = -(2**62)
FORGET_MS = 3_600_000


@dataclass(slots=True)
class HostState:
    """Is what is known of one host.

    :param first_heard_ms: of this incarnation.
    :param heard_back_ms: of its last heartbeat that names this host as leader, so
        that messages pass both ways; of the first heartbeat until then.
    :param update_sent_ms: when a configuration was last sent to it.
    :param update_version: the version that was sent then.
    :param strikes_sent: whether the standing strikes were sent to it.
    """

    host: str
    incarnation: int
    heartbeat: Heartbeat
    first_heard_ms: int
    last_heard_ms: int
    heard_back_ms: int
    update_sent_ms: int = NEVER_MS
    update_version: int = 0
    strikes_sent: bool = False


class HostTable:
    """Judges hosts by the silence since their last heartbeat.

    :param host: the own host name.
    :param host_timeout_ms: silence after which a host no longer counts as alive.
    """

    def __init__(self, host: str, host_timeout_ms: int):
        self._host = host
        self._host_timeout_ms = host_timeout_ms
        self._hosts: dict[str, HostState] = {}

    def record(
        self, host: str, incarnation: int, heartbeat: Heartbeat, now_ms: int
    ) -> HostState:
        """Record a heartbeat and return what is known of its sender."""
        state = self._hosts.get(host)
        if state is None or state.incarnation != incarnation:
            state = HostState(host, incarnation, heartbeat, now_ms, now_ms, now_ms)
            self._hosts[host] = state
            return state
        state.last_heard_ms = now_ms
        if heartbeat.leader == self._host:
            state.heard_back_ms = now_ms
        if heartbeat.sequence >= state.heartbeat.sequence:
            state.heartbeat = heartbeat
        return state

    def get(self, host: str) -> HostState | None:
        """Return what is known of a host, or None."""
        return self._hosts.get(host)

    def hosts(self) -> tuple[HostState, ...]:
        """Return all hosts that were ever heard, by name."""
        return tuple([self._hosts[name] for name in sorted(self._hosts)])

    def is_alive(self, state: HostState, now_ms: int) -> bool:
        """Return whether a host was heard within the time-out."""
        return now_ms - state.last_heard_ms < self._host_timeout_ms

    def live_entry_hosts(self, now_ms: int) -> Iterator[HostState]:
        """Yield the entry hosts that are alive."""
        for state in self._hosts.values():
            if state.heartbeat.role == ENTRY_ROLE and self.is_alive(state, now_ms):
                yield state

    def silent_ms(self, holder: Replica, since_ms: int, now_ms: int) -> int:
        """Return how long a holder has certainly been out of reach.

        A holder that is heard but does not hear this leader is out of reach too:
        it can neither learn of its grant nor end its claim.

        :param holder: host and incarnation of a claim's holder.
        :param since_ms: when the listening began.
        """
        state = self._hosts.get(holder.host)
        if state is None:
            return now_ms - since_ms
        if state.incarnation == holder.incarnation:
            return now_ms - max(since_ms, state.heard_back_ms)
        return now_ms - max(since_ms, state.first_heard_ms)

    def laggards(self, version: int, expected: frozenset[str]) -> tuple[str, ...]:
        """Return the entry hosts that have not confirmed a version, by name.

        Hosts that are silent are named too: they may still run with an old one.

        :param expected: the entry hosts that should be there; one that was never
            heard has confirmed nothing.
        """
        heard = [s for s in self._hosts.values() if s.heartbeat.role == ENTRY_ROLE]
        confirmed = {s.host for s in heard if s.heartbeat.config_version >= version}
        known = {s.host for s in heard}
        return tuple(sorted((known | expected) - confirmed))

    def remove_silent(self, now_ms: int) -> None:
        """Forget the hosts that were silent for ``FORGET_MS``."""
        oldest_ms = now_ms - FORGET_MS
        for host, state in list(self._hosts.items()):
            if state.last_heard_ms < oldest_ms:
                del self._hosts[host]
