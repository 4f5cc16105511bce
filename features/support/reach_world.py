"""Entry hosts in virtual time whose links to upstreams fail."""

from collections import Counter
from dataclasses import dataclass

from peridotfront.core.gateway_events import LinkChecked, SlotReleased
from peridotfront.core.health import HealthState
from peridotfront.core.messages import LinkState, ReleaseCause
from peridotfront.core.releases import build_release

from .routed_group import RoutedGroup, listed

ANSWER_MS = 40
STEP_MS = 10
MAX_SENDS = 4
OUT_OF_SERVICE = (HealthState.DOWN, HealthState.PROBING)
# What each way to fail takes until it is noticed.
FAILURE_MS = {
    ReleaseCause.UNREACHABLE: 300,
    ReleaseCause.UPSTREAM_DIED: 10,
    ReleaseCause.UPSTREAM_TIMEOUT: 600,
}


@dataclass
class Try:
    """Request of a caller, with the upstreams at which it has failed.

    :param asked_ms: time at which the caller sent it.
    """

    number: int
    host: str
    asked_ms: int
    failed: tuple = ()

    @property
    def slot_id(self):
        """Return the id of its current slot request."""
        return f"r{self.number}.{len(self.failed)}"


class ReachWorld:
    """Entry hosts with callers, upstreams, and links that fail.

    ``lost`` holds the pairs of host and upstream whose link fails, and ``down`` the
    upstreams that accept no connections. ``cause`` is how requests end that take such
    a link. ``served`` and ``failed`` count the requests by host, and
    ``out_of_service_ms`` the time for which the leader grants hardly any slots.
    """

    def __init__(self, entries, upstreams, data_centres=3):
        hosts = {f"e{n}": f"dc{1 + n % data_centres}" for n in range(1, entries + 1)}
        self.group = group = RoutedGroup(("c1", "c2", "c3"), hosts)
        self.names = [f"m{number}" for number in range(1, upstreams + 1)]
        self.hosts = list(hosts)
        self.lost = set()
        self.down = set()
        self.idle = set()
        self.cause = ReleaseCause.UNREACHABLE
        self.answer_ms = ANSWER_MS
        self.served = Counter()
        self.failed = Counter()
        self.out_of_service_ms = Counter()
        self._count = 0
        self._waiting = {}
        self._ends = []
        group.list_upstreams(*[listed(name) for name in self.names])
        leader = group.await_leader()
        operation_id = group.put(leader.name, 7)
        group.run_until(lambda: operation_id in group.answers)
        group.run(1500)

    def lose_links(self, hosts, upstreams=None):
        """Let the links of hosts fail, to some or all upstreams."""
        for host in hosts:
            self.lost.update((host, name) for name in upstreams or self.names)

    def reset(self):
        """Count from now on only."""
        for counter in (self.served, self.failed, self.out_of_service_ms):
            counter.clear()

    def run(self, duration_ms, gap_ms=100):
        """Let time pass; each host that isn't idle gets a request every ``gap_ms``."""
        group = self.group
        end_ms = group.now_ms + duration_ms
        while group.now_ms < end_ms:
            if group.now_ms % gap_ms < STEP_MS:
                for host in self.hosts:
                    if host not in self.idle:
                        self._count += 1
                        self._ask(Try(self._count, host, group.now_ms))
            group.run(STEP_MS)
            self._count_outages()
            self._take_answers()
            self._end_requests()

    def share_served(self, hosts):
        """Return the share of the requests of hosts that were served."""
        served = sum(self.served[host] for host in hosts)
        return served / max(1, served + sum(self.failed[host] for host in hosts))

    def _count_outages(self):
        """Count the time for which the leader keeps upstreams out of service."""
        leader = self.group.leader()
        if leader is None:
            return
        for scheduler in leader.role.service_schedulers.schedulers.values():
            for upstream in scheduler.dump().upstreams:
                if upstream.health in OUT_OF_SERVICE:
                    self.out_of_service_ms[upstream.name] += STEP_MS

    def _ask(self, request):
        self._waiting[request.slot_id] = request
        entry = self.group.hosts[request.host]
        entry.request_slot(
            request.slot_id,
            fingerprint=request.number,
            excluded=request.failed,
            deadline_ms=2000,
        )

    def _take_answers(self):
        for slot_id, request in tuple(self._waiting.items()):
            entry = self.group.hosts[request.host]
            if slot_id in entry.refused:
                del self._waiting[slot_id]
                self.failed[request.host] += 1
            elif slot_id in entry.granted:
                del self._waiting[slot_id]
                self._send(request, entry.granted[slot_id].grant)

    def _send(self, request, grant):
        relay = grant.relay
        own_link = (request.host, grant.upstream)
        if relay and own_link not in self.lost:
            checked = LinkChecked(grant.upstream, LinkState.OPEN)
            self.group.feed(request.host, checked)
        link = (relay or request.host, grant.upstream)
        cause, duration_ms = self._play(link, grant.upstream)
        end_ms = self.group.now_ms + duration_ms
        self._ends.append((end_ms, request, grant, cause))

    def _play(self, link, upstream):
        """Return how a request ends at an upstream, and after which time."""
        if upstream in self.down or link in self.lost:
            return self.cause, FAILURE_MS[self.cause]
        return ReleaseCause.COMPLETED, self.answer_ms

    def _build_release(self, slot_request, upstream, cause):
        return build_release(slot_request, upstream, cause)

    def _end_requests(self):
        now_ms = self.group.now_ms
        due = [end for end in self._ends if end[0] <= now_ms]
        self._ends = [end for end in self._ends if end[0] > now_ms]
        for _, request, grant, cause in due:
            entry = self.group.hosts[request.host]
            slot_request = entry.slot_requests[request.slot_id]
            release = self._build_release(slot_request, grant.upstream, cause)
            self.group.feed(entry.name, SlotReleased(release))
            if cause is ReleaseCause.COMPLETED:
                self.served[request.host] += 1
                continue
            request.failed = (*request.failed, grant.upstream)
            if len(request.failed) < MAX_SENDS:
                self._ask(request)
            else:
                self.failed[request.host] += 1
