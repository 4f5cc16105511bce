"""Which entry hosts reach which upstreams, by how their requests ended.

A failed connection doesn't tell whether the upstream or the host's links are at fault.
The reports of several hosts do: a host that fails at several upstreams while others are
served has lost its links, and its reports say nothing about the upstreams.
"""

from collections.abc import Iterable, Iterator, Set
from dataclasses import dataclass, field

from .actions import Log
from .messages import LinkReport, LinkState

# A host with failures at so many upstreams in a row may have lost its links.
MIN_FAILED_UPSTREAMS = 2
# An upstream that one host can't reach may be reached by others.
REPORTS_OF_OUTAGE = 2
# Hosts that have not failed at an upstream out of service may test it, until so many
# have reported it, one at a time and so long after each other.
MAX_REPORTERS = 5
TEST_INTERVAL_MS = 100
# A host tells when a link is back; this is for the loss of that message.
LOST_LINK_RETRY_MS = 10_000
# A slow upstream alone keeps a host without any answer for less.
MIN_SILENCE_MS = 1000
# An upstream that answers others so soon after a failure was not restarted between, and
# so late after it that their answers are no older than the failure.
MAX_PROOF_MS = 1000
MIN_PROOF_MS = 100
REFUSED_RELAY_MS = 2000


@dataclass(slots=True)
class _HostLinks:
    """Evidence on the links of one entry host.

    :param lost_ms: time by upstream at which the link was found to be lost.
    :param failing: upstreams at which it failed since it was last served anywhere.
    :param unconnected: those of them to which no connection held.
    :param failing_since_ms: time of the first of these failures.
    :param served_ms: time at which an upstream last answered it.
    :param is_cut_off: whether it has lost its links to most upstreams.
    :param is_leaving: whether it is about to stop.
    :param relays_refused_ms: time by entry host at which it was not reached as relay.
    """

    data_centre: str
    lost_ms: dict[str, int] = field(default_factory=dict)
    failing: set[str] = field(default_factory=set)
    unconnected: set[str] = field(default_factory=set)
    failing_since_ms: int = 0
    served_ms: int = -1
    is_cut_off: bool = False
    is_leaving: bool = False
    relays_refused_ms: dict[str, int] = field(default_factory=dict)


class HostReach:
    """Evidence on the links between entry hosts and upstreams.

    Hosts that have not joined are taken at their word, and reach all upstreams.

    :param has_relays: whether entry hosts can relay the requests of others.
    """

    def __init__(self, has_relays: bool = True):
        self._has_relays = has_relays
        self._hosts: dict[str, _HostLinks] = {}
        self._reporters: dict[str, dict[str, bool]] = {}
        self._broken_ms: dict[str, dict[str, int]] = {}
        self._tested_ms: dict[str, int] = {}
        self._doubtful: set[str] = set()
        self._reinstated: set[str] = set()
        self._logs: list[Log] = []
        self._turn = 0

    @property
    def hosts(self) -> Set[str]:
        """Return the entry hosts that have joined."""
        return self._hosts.keys()

    def join(self, host: str, data_centre: str) -> None:
        """Add an entry host, which may relay the requests of others."""
        self._hosts[host] = _HostLinks(data_centre)

    def set_leaving(self, host: str, is_leaving: bool) -> None:
        """Set whether an entry host is about to stop; it relays nothing then."""
        self._hosts[host].is_leaving = is_leaving

    def leave(self, host: str) -> None:
        """Remove an entry host and its reports."""
        self._hosts.pop(host, None)
        self._doubtful.discard(host)
        reported = [name for name, hosts in self._reporters.items() if host in hosts]
        self._withdraw_reports(host, reported)
        for broken_ms in self._broken_ms.values():
            broken_ms.pop(host, None)

    def data_centre(self, host: str) -> str:
        """Return the data centre of an entry host; empty if it is unknown."""
        links = self._hosts.get(host)
        return links.data_centre if links is not None else ""

    def is_cut_off(self, host: str) -> bool:
        """Return whether a host has lost its links while other hosts are served."""
        links = self._hosts.get(host)
        return links is not None and links.is_cut_off

    # Evidence

    def record_answer(self, host: str, upstream: str, now_ms: int) -> None:
        """Record that an upstream answered a host, in whatever way."""
        self._reporters.pop(upstream, None)
        self._attribute_to_links(host, upstream, now_ms)
        links = self._hosts.get(host)
        if links is None:
            return
        links.served_ms = now_ms
        links.lost_ms.pop(upstream, None)
        if links.failing:
            links.failing.clear()
            links.unconnected.clear()
            self._doubtful.discard(host)
            self._set_cut_off(host, links, False)
        for name in tuple(self._doubtful):
            self._judge(name, now_ms)

    def record_unreachable(self, host: str, upstream: str, now_ms: int) -> bool:
        """Record that a host could not open a connection to an upstream.

        :return: whether it is an outage of the upstream, and not of the link.
        """
        links = self._hosts.get(host)
        if links is None:
            return True
        links.unconnected.add(upstream)
        self._record_failure(host, links, upstream, now_ms, is_hard=True)
        if self._sound_hosts(REPORTS_OF_OUTAGE) < REPORTS_OF_OUTAGE:
            return not links.is_cut_off
        links.lost_ms[upstream] = now_ms
        # A host that was found cut off just now has withdrawn its reports.
        reporters = self._reporters.get(upstream, {})
        sound = [
            name
            for name, is_hard in reporters.items()
            if is_hard and not self.is_cut_off(name)
        ]
        return len(sound) >= REPORTS_OF_OUTAGE

    def record_broken(self, host: str, upstream: str, now_ms: int) -> bool:
        """Record that a connection to an upstream broke.

        A request may have crashed the upstream, so it says nothing of the link until
        the upstream has answered another host.

        :return: whether it may be the upstream's fault.
        """
        if host not in self._hosts:
            return True
        self._reporters.setdefault(upstream, {})[host] = True
        self._broken_ms.setdefault(upstream, {})[host] = now_ms
        return not self.is_cut_off(host)

    def record_silence(self, host: str, upstream: str, now_ms: int) -> bool:
        """Record that an upstream did not answer a host in time.

        :return: whether it may be the upstream's fault.
        """
        links = self._hosts.get(host)
        if links is None:
            return True
        self._record_failure(host, links, upstream, now_ms)
        return not links.is_cut_off

    def record_report(self, host: str, report: LinkReport, now_ms: int) -> None:
        """Record what a host found out about one of its links."""
        if report.state is LinkState.OPEN:
            self.record_answer(host, report.upstream, now_ms)
        elif report.state is LinkState.LOST:
            self.record_unreachable(host, report.upstream, now_ms)
        else:
            self.record_silence(host, report.upstream, now_ms)

    def record_refused_relay(self, host: str, relay: str, now_ms: int) -> None:
        """Record that a host could not relay a request through another one."""
        links = self._hosts.get(host)
        if links is not None:
            links.relays_refused_ms[relay] = now_ms

    def take_reinstated(self) -> set[str]:
        """Return the upstreams that only hosts without links had reported, once."""
        reinstated = self._reinstated
        if reinstated:
            self._reinstated = set()
        return reinstated

    def take_logs(self) -> Iterator[Log]:
        """Yield the log lines on hosts that lost or regained their links, once."""
        logs = self._logs
        if logs:
            self._logs = []
        yield from logs

    def retain(self, upstreams: set[str]) -> None:
        """Forget all upstreams but some."""
        for known in (self._reporters, self._broken_ms, self._tested_ms):
            for name in known.keys() - upstreams:
                del known[name]
        for links in self._hosts.values():
            for name in links.lost_ms.keys() - upstreams:
                del links.lost_ms[name]

    # Use

    def has_lost_links(self, host: str) -> bool:
        """Return whether a host has lost its link to any upstream, lately or not."""
        links = self._hosts.get(host)
        return links is not None and (links.is_cut_off or bool(links.lost_ms))

    def has_lost_link(self, host: str, upstream: str, now_ms: int) -> bool:
        """Return whether a host should not connect to an upstream by itself."""
        links = self._hosts.get(host)
        if links is None:
            return False
        if links.is_cut_off:
            return True
        lost_ms = links.lost_ms.get(upstream)
        return lost_ms is not None and now_ms - lost_ms < LOST_LINK_RETRY_MS

    def may_test(self, host: str, upstream: str, now_ms: int) -> bool:
        """Return whether a host may test an upstream that is out of service.

        The reports of hosts that lost their links must not keep it from the others.
        """
        reporters = self._reporters.get(upstream)
        if not reporters or host in reporters or len(reporters) >= MAX_REPORTERS:
            return False
        if host not in self._hosts or not any(reporters.values()):
            return False
        tested_ms = self._tested_ms.get(upstream, -TEST_INTERVAL_MS)
        return now_ms - tested_ms >= TEST_INTERVAL_MS

    def record_test(self, upstream: str, now_ms: int) -> None:
        """Record that a host tests an upstream that is out of service."""
        self._tested_ms[upstream] = now_ms

    def relay_for(self, host: str, upstream: str, data_centre: str, now_ms: int) -> str:
        """Return the entry host through which a host reaches an upstream.

        :param data_centre: data centre of the upstream.
        :return: its name; empty if the host should connect by itself.
        """
        if not (self._has_relays and self.has_lost_link(host, upstream, now_ms)):
            return ""
        relays = [
            name
            for name in self._hosts
            if self._may_relay(host, name, upstream, now_ms)
        ]
        if not relays:
            return ""
        self._turn += 1
        for near in (self.data_centre(host), data_centre):
            nearby = [name for name in relays if self.data_centre(name) == near]
            if nearby:
                return nearby[self._turn % len(nearby)]
        return relays[self._turn % len(relays)]

    def _may_relay(self, host: str, relay: str, upstream: str, now_ms: int) -> bool:
        if relay == host or self._hosts[relay].is_leaving:
            return False
        if self.has_lost_link(relay, upstream, now_ms):
            return False
        refused_ms = self._hosts[host].relays_refused_ms.get(relay)
        return refused_ms is None or now_ms - refused_ms >= REFUSED_RELAY_MS

    def _sound_hosts(self, limit: int) -> int:
        """Return the number of hosts with links, counted up to a limit."""
        count = 0
        for links in self._hosts.values():
            count += not links.is_cut_off
            if count == limit:
                break
        return count

    def _record_failure(
        self,
        host: str,
        links: _HostLinks,
        upstream: str,
        now_ms: int,
        is_hard: bool = False,
    ) -> None:
        self._reporters.setdefault(upstream, {})[host] = is_hard
        self._add_failure(host, links, upstream, now_ms)

    def _add_failure(
        self, host: str, links: _HostLinks, upstream: str, now_ms: int
    ) -> None:
        """Count an upstream as one that the host does not reach now."""
        if not links.failing:
            links.failing_since_ms = now_ms
        links.failing.add(upstream)
        if not links.is_cut_off and len(links.failing) >= MIN_FAILED_UPSTREAMS:
            self._doubtful.add(host)
            self._judge(host, now_ms)

    def _judge(self, host: str, now_ms: int) -> None:
        """Find a host cut off if others are served while it fails everywhere."""
        links = self._hosts[host]
        is_silent = now_ms - links.served_ms >= MIN_SILENCE_MS
        if not is_silent and len(links.unconnected) < MIN_FAILED_UPSTREAMS:
            return
        served_ms = max(
            [other.served_ms for name, other in self._hosts.items() if name != host],
            default=-1,
        )
        if served_ms > links.failing_since_ms:
            self._set_cut_off(host, links, True)

    def _attribute_to_links(self, host: str, upstream: str, now_ms: int) -> None:
        """Attribute connections that broke to their hosts' links.

        :param host: host that the upstream has answered, so that it lives.
        """
        broken_ms = self._broken_ms.get(upstream)
        if not broken_ms:
            return
        broken_ms.pop(host, None)
        for name, at_ms in tuple(broken_ms.items()):
            if now_ms - at_ms < MIN_PROOF_MS:
                continue
            del broken_ms[name]
            links = self._hosts.get(name)
            if links is not None and now_ms - at_ms <= MAX_PROOF_MS:
                links.lost_ms[upstream] = now_ms
                links.unconnected.add(upstream)
                self._add_failure(name, links, upstream, now_ms)

    def _set_cut_off(self, host: str, links: _HostLinks, is_cut_off: bool) -> None:
        if links.is_cut_off == is_cut_off:
            return
        links.is_cut_off = is_cut_off
        self._doubtful.discard(host)
        fields = (
            ("peer", host),
            ("is_cut_off", is_cut_off),
            ("upstreams", ",".join(sorted(links.failing))),
        )
        self._logs.append(Log("host_reach_changed", fields))
        if is_cut_off:
            broken = [name for name, hosts in self._broken_ms.items() if host in hosts]
            self._withdraw_reports(host, (*links.failing, *broken))

    def _withdraw_reports(self, host: str, upstreams: Iterable[str]) -> None:
        """Reinstate those of some upstreams that no host with links has reported."""
        for upstream in upstreams:
            reporters = self._reporters.get(upstream, {})
            reporters.pop(host, None)
            if all(self.is_cut_off(name) for name in reporters):
                self._reporters.pop(upstream, None)
                self._reinstated.add(upstream)
