"""Entry hosts in virtual time before upstreams that name limits."""

from peridotfront.core.gateway_events import SlotReleased, UpstreamLimitRead
from peridotfront.core.messages import ReleaseCause
from peridotfront.core.releases import build_release

from .prompt_world import CONTACT_MS
from .routed_group import RoutedGroup, listed

ANSWER_MS = 20
STEP_MS = 10
WINDOW_MS = 4000
OVER_RATIO = 1.5
OVER_REQUESTS = 5


class LimitWorld:
    """Entry hosts that send requests to upstreams without a pause.

    ``limits`` are the limits that upstreams name now, by name, and ``named`` all limits
    that they named, with times. ``accepted`` are the times of the requests that were
    not rejected. An upstream that ``rejects`` takes no more than its limit in any
    second, or nothing at all if it ``is_full``, and names the limit in rejections only
    if it ``names_in_rejections``.
    """

    def __init__(self, controls, entries, upstreams):
        data_centres = {f"e{n}": f"dc{1 + n % 3}" for n in range(1, entries + 1)}
        names = tuple(f"c{number}" for number in range(1, controls + 1))
        self.group = group = RoutedGroup(names, data_centres)
        self.names = [f"m{number}" for number in range(1, upstreams + 1)]
        self.limits = {}
        self.named = {name: [] for name in self.names}
        self.arrivals = {name: [] for name in self.names}
        self.accepted = {name: [] for name in self.names}
        self.rejects = False
        self.is_full = False
        self.names_in_rejections = False
        self.asked = 0
        self._answers = []
        self._seen = set()
        group.list_upstreams(*[listed(name) for name in self.names])
        leader = group.await_leader()
        operation_id = group.put(leader.name, 7)
        group.run_until(lambda: operation_id in group.answers)
        group.run(1500)

    def name_limit(self, upstream, requests_per_s):
        """Name a limit in all answers from now on; None takes it back."""
        self.named[upstream].append((self.group.now_ms, requests_per_s))
        if requests_per_s is None:
            self.limits.pop(upstream, None)
        else:
            self.limits[upstream] = requests_per_s

    def run(self, duration_ms, gap_ms=40):
        """Let time pass; each host asks for a slot every ``gap_ms``."""
        group = self.group
        end_ms = group.now_ms + duration_ms
        while group.now_ms < end_ms:
            if group.now_ms % gap_ms < STEP_MS:
                self._ask()
            group.run(STEP_MS)
            self._take_grants()
            self._answer()

    def _ask(self):
        for entry in self.group.entries:
            if entry.name not in self.group.down:
                self.asked += 1
                entry.request_slot(f"r{self.asked}", fingerprint=self.asked)

    def _take_grants(self):
        for entry in self.group.entries:
            for request_id, granted in entry.granted.items():
                if (entry.incarnation, request_id) in self._seen:
                    continue
                self._seen.add((entry.incarnation, request_id))
                upstream = granted.grant.upstream
                self.arrivals[upstream].append(self.group.now_ms)
                due_ms = self.group.now_ms + ANSWER_MS
                answer = (due_ms, entry, entry.incarnation, request_id, upstream)
                self._answers.append(answer)

    def _answer(self):
        now_ms = self.group.now_ms
        due = [answer for answer in self._answers if answer[0] <= now_ms]
        self._answers = [answer for answer in self._answers if answer[0] > now_ms]
        for due_ms, entry, incarnation, request_id, upstream in due:
            if incarnation != entry.incarnation or entry.name in self.group.down:
                continue
            cause = self._accept(upstream)
            limit = self._named_limit(upstream, cause)
            read = UpstreamLimitRead(upstream, limit, due_ms - ANSWER_MS)
            self.group.feed(entry.name, read)
            slot_request = entry.slot_requests[request_id]
            release = build_release(slot_request, upstream, cause)
            self.group.feed(entry.name, SlotReleased(release))

    def _accept(self, upstream):
        """Return how an upstream ends a request: completed or rejected."""
        now_ms = self.group.now_ms
        limit = self.limits.get(upstream)
        accepted = self.accepted[upstream]
        if self.rejects and limit is not None:
            recent = sum(at_ms > now_ms - 1000 for at_ms in accepted)
            if self.is_full or recent + 1 > limit:
                return ReleaseCause.REJECTED
        accepted.append(now_ms)
        return ReleaseCause.COMPLETED

    def _named_limit(self, upstream, cause):
        if self.names_in_rejections and cause is not ReleaseCause.REJECTED:
            return -1.0
        return self.limits.get(upstream, -1.0)

    def excess(self, upstream):
        """Return the requests over what the limits allow, in the worst window."""
        arrivals = self.arrivals[upstream]
        worst = 0.0
        for start_ms in arrivals:
            limits = self._limits_within(upstream, start_ms)
            if None in limits:
                continue
            got = sum(start_ms <= at_ms < start_ms + WINDOW_MS for at_ms in arrivals)
            allowed = OVER_RATIO * max(limits) * WINDOW_MS / 1000 + OVER_REQUESTS
            worst = max(worst, got - allowed)
        return worst

    def _limits_within(self, upstream, start_ms):
        """Return the limits that may count in a window; None for a time without."""
        first_ms = start_ms - CONTACT_MS
        before = [limit for at_ms, limit in self.named[upstream] if at_ms <= first_ms]
        within = [
            limit
            for at_ms, limit in self.named[upstream]
            if first_ms < at_ms < start_ms + WINDOW_MS
        ]
        return [*(before[-1:] or [None]), *within]

    def rate(self, upstream, span_ms):
        """Return the requests a second that an upstream got at the end."""
        return self._rate_of(self.arrivals[upstream], span_ms)

    def accepted_rate(self, upstream, span_ms):
        """Return the requests a second that an upstream accepted at the end."""
        return self._rate_of(self.accepted[upstream], span_ms)

    def _rate_of(self, times_ms, span_ms):
        since_ms = self.group.now_ms - span_ms
        return sum(at_ms > since_ms for at_ms in times_ms) / span_ms * 1000
