"""Bootstrap of a new group from hosts whose data folders are all blank.

The configured host with the lowest name asks all other hosts whether they are blank
and then requests their votes. It bootstraps the group only with the votes of all of
them, in the term of these votes. Two hosts therefore never bootstrap the group in the
same term, and a group that exists on any answering host is never bootstrapped again.

A host that is killed during the first start comes back without the mark that its folder
is one of this start, like one that has lost its disk. A minority of such hosts may take
part if all others still run since the first start: had a group been formed, a majority
would hold a log, and one of the others would not be blank. They can't lead it.

A host that is no member asks the hosts that it knows to let it join. Those that don't
lead name the leader or else the voters, which it asks too. None of the hosts in its
settings needs to lead.
"""

from collections.abc import Iterator

from .actions import Log, Send
from .messages import (
    BootstrapQuery,
    BootstrapReply,
    JoinRequest,
    MembershipChange,
    Replica,
)
from .raft_replica import LocalReplica

REJOIN_SILENCE_MS = 1200
JOIN_REPORT_INTERVAL_MS = 2000


class Bootstrap:
    """Discovery of an existing group, or bootstrap of a new one.

    :param local: state of the local replica.
    """

    def __init__(self, local: LocalReplica) -> None:
        self._local = local
        self._blank_peers: dict[str, Replica] = {}
        self._unmarked_peers: dict[str, Replica] = {}
        self._named_hosts: dict[str, tuple[str, ...]] = {}
        self._group_exists = False
        self._query_due_ms = 0.0
        self._report_due_ms: float | None = None
        self._leader_seen_ms: float | None = None

    @property
    def can_bootstrap(self) -> bool:
        """Return whether this host may request the votes to bootstrap the group."""
        local = self._local
        if not local.is_blank or not local.policy.may_bootstrap or self._group_exists:
            return False
        peers = self._blank_peers.keys() | self._unmarked_peers.keys()
        if peers != set(local.peer_hosts):
            return False
        marked_hosts = {local.identity.host, *self._blank_peers}
        if self._unmarked_peers and not self._may_admit_unmarked(len(marked_hosts)):
            return False
        founders = marked_hosts.intersection(local.configured_hosts)
        return bool(founders) and local.identity.host == min(founders)

    def _may_admit_unmarked(self, marked_hosts: int) -> bool:
        hosts = len(self._local.configured_hosts)
        return self._local.policy.is_first_start and 2 * marked_hosts > hosts

    def initial_members(self) -> MembershipChange:
        """Return the initial members of a group bootstrapped now."""
        peers = self._blank_peers | self._unmarked_peers
        members = [self._local.identity, *peers.values()]
        return MembershipChange(tuple(sorted(members, key=lambda r: r.host)), ())

    def clear_replies(self) -> None:
        """Discard all replies, so that every peer is asked again."""
        self._blank_peers = {}
        self._unmarked_peers = {}

    def tick(self, leader: str, now_ms: float) -> Iterator[Log | Send]:
        """Send the bootstrap queries or join requests that are due."""
        local = self._local
        if leader or self._leader_seen_ms is None:
            self._leader_seen_ms = now_ms
            self._named_hosts.clear()
        if now_ms < self._query_due_ms:
            return
        if local.is_member and not self._may_be_removed(now_ms):
            self._report_due_ms = None
            return
        self._query_due_ms = now_ms + local.timing.heartbeat_ms
        if local.is_blank and not leader:
            query = BootstrapQuery(local.identity.incarnation)
            yield from [Send(host, query) for host in local.peer_hosts]
        if (
            leader
            or self._group_exists
            or not local.is_blank
            or not self._may_bootstrap
        ):
            request = JoinRequest(local.identity.incarnation)
            hosts = (leader,) if leader else self._known_hosts()
            yield from [Send(host, request) for host in hosts]
            yield from self._report_asked(hosts, now_ms)

    def _report_asked(self, hosts: tuple[str, ...], now_ms: float) -> Iterator[Log]:
        """Log now and then which hosts are asked in vain."""
        if self._report_due_ms is None:
            self._report_due_ms = now_ms + JOIN_REPORT_INTERVAL_MS
        if now_ms >= self._report_due_ms:
            self._report_due_ms = now_ms + JOIN_REPORT_INTERVAL_MS
            yield Log("raft_join_waiting", (("hosts", ",".join(hosts)),))

    @property
    def _may_bootstrap(self) -> bool:
        return self._local.policy.may_bootstrap

    def _may_be_removed(self, now_ms: float) -> bool:
        """Return whether the group may have replaced this member during its absence."""
        silent_ms = now_ms - self._leader_seen_ms
        return (
            self._local.policy.allows_unlisted_hosts and silent_ms >= REJOIN_SILENCE_MS
        )

    def _known_hosts(self) -> tuple[str, ...]:
        local = self._local
        voters = [voter.host for voter in local.log.membership.voters]
        named = [host for hosts in self._named_hosts.values() for host in hosts]
        hosts = dict.fromkeys((*local.peer_hosts, *voters, *named))
        hosts.pop(local.identity.host, None)
        return tuple(hosts)

    def on_query(self, sender: str, leader: str) -> Iterator[Send]:
        """Answer whether the local data folder is blank, and where the group is.

        :param leader: host name of the leader; empty if none is known.
        """
        local = self._local
        voters = tuple([voter.host for voter in local.log.membership.voters])
        reply = BootstrapReply(
            incarnation=local.identity.incarnation,
            is_blank=local.is_blank and self._may_bootstrap,
            group_hosts=(leader,) if leader else voters,
            is_empty=local.is_blank,
        )
        yield Send(sender, reply)

    def on_reply(self, sender: str, reply: BootstrapReply) -> None:
        """Record whether a peer is blank, and the hosts of the group that it names."""
        if sender in self._known_hosts():
            self._named_hosts[sender] = reply.group_hosts
        if sender not in self._local.peer_hosts:
            return
        self._blank_peers.pop(sender, None)
        self._unmarked_peers.pop(sender, None)
        replica = Replica(sender, reply.incarnation)
        if reply.is_blank:
            self._blank_peers[sender] = replica
        elif reply.is_empty:
            self._unmarked_peers[sender] = replica
        else:
            self._group_exists = True
