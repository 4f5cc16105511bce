"""Requests with prompts in virtual time, before upstreams that some of them crash."""

from collections import Counter
from dataclasses import dataclass, field

from peridotfront.core.attempts import AttemptHistory
from peridotfront.core.gateway_events import SlotProgress, SlotReleased
from peridotfront.core.messages import ReleaseCause
from peridotfront.core.releases import build_release
from peridotfront.core.routes import RouteTable
from peridotfront.http_messages import Header, HttpRequest
from peridotfront.platform.requests import PlatformRequestCodec
from peridotfront.request_log import RequestLog
from peridotfront.routed_requests import AdmittedRequest
from peridotfront.slot_finder import SlotFinder

from .routed_group import RoutedGroup, listed
from .routed_upstreams import HOST, KEY, routing

SERVICE = "models"
CONTACT_MS = 3000
FIRST_CRASHES = 5
MAX_LATER_SENDS = 3
MIN_BEGUN_SHARE = 0.9
RESTART_MS = 3000
BEGIN_MS = 60
EVENT_MS = 40
EVENTS = 6
TOKENS_PER_EVENT = 6
DEADLINE_MS = 5000
CODEC = PlatformRequestCodec()
ROUTE = RouteTable(routing()).find_route(HOST, "/resumable/x")


def http_request(request_id, parts, body):
    """Return a request with the parts of its prompt, as a caller sends it."""
    headers = {
        "host": HOST,
        "x-attempt-id": request_id,
        "api-key": KEY,
        "x-token-count": f"{100 * len(parts)},{EVENTS * TOKENS_PER_EVENT}",
        "x-prefix-hash": ",".join(f"{part}:100" for part in parts),
    }
    if not parts:
        del headers["x-prefix-hash"]
    fields = tuple([Header(name, value) for name, value in headers.items()])
    return HttpRequest("POST", "/resumable/x", "/resumable/x", "", fields, body)


@dataclass
class PromptRequest:
    """One request of a caller, with its sends so far.

    :param is_sent: whether the slot of its current slot request is in use.
    :param has_begun: whether an upstream began to answer it.
    :param refusal: reason of the refusal with which it ended; empty if none.
    """

    parts: tuple
    host: str
    sent_ms: int
    finder: SlotFinder
    attempts: AttemptHistory
    slot_request: object = None
    sends: int = 0
    is_sent: bool = False
    has_begun: bool = False
    refusal: str = ""
    is_done: bool = False


@dataclass
class Run:
    """Execution of a request at an upstream."""

    request: PromptRequest
    began_ms: int
    events: int = 0


@dataclass
class PromptUpstream:
    """Upstream that some part of a prompt may crash.

    :param name: name without the number of its current run.
    """

    name: str
    restarts: int = 0
    up_at_ms: int = 0
    runs: list = field(default_factory=list)

    @property
    def instance(self):
        return f"{self.name}.{self.restarts}"


class PromptWorld:
    """Callers and upstreams around a routed group.

    ``guilty_parts`` are the parts that crash an upstream which begins to answer, with
    the number of events that such an answer has before the crash. If ``is_framed`` is
    not set, answers end with their connection, a crash between two events too.
    """

    def __init__(self, controls, entries, upstreams):
        data_centres = {f"e{n}": f"dc{1 + n % 3}" for n in range(1, entries + 1)}
        names = tuple(f"c{number}" for number in range(1, controls + 1))
        self.group = RoutedGroup(names, data_centres)
        self.upstreams = [PromptUpstream(f"m{n}") for n in range(1, upstreams + 1)]
        self.guilty_parts = {}
        self.is_framed = True
        self.random = self.group.random
        self.requests = {}
        self.crashes_ms = []
        self.guilty_sends = []
        self.disturbed_until_ms = Counter()
        self._list()
        group = self.group
        leader = group.await_leader()
        operation_id = group.put(leader.name, 7)
        group.run_until(lambda: operation_id in group.answers)
        group.run(1500)

    @property
    def now_ms(self):
        return self.group.now_ms

    def _list(self):
        self.group.list_upstreams(
            *[
                listed(u.instance, data_centre=f"dc{1 + n % 3}")
                for n, u in enumerate(self.upstreams)
                if u.up_at_ms <= self.group.now_ms
            ]
        )

    # Callers

    def send(self, parts, host="", body=""):
        """Send a request with the parts of its prompt to a host, or to any.

        :param body: its body, which is also a part that may crash upstreams.
        """
        running = [e for e in self.group.entries if e.name not in self.group.down]
        host = host or self.random.choice(running).name
        request_id = f"a{len(self.requests) + 1}"
        body = body or request_id
        http = http_request(request_id, parts, body.encode())
        request = CODEC.parse_request(http, DEADLINE_MS)
        attempts = AttemptHistory(ROUTE)
        admitted = AdmittedRequest(
            request, ROUTE, SERVICE, None, 0, 2**60, 1, TOKENS_PER_EVENT
        )
        finder = SlotFinder(None, admitted, attempts, RequestLog())
        parts = (*parts, body)
        prompt = PromptRequest(parts, host, self.now_ms, finder, attempts)
        self.requests[request_id] = prompt
        self._request_slot(prompt)
        return prompt

    def _request_slot(self, prompt):
        slot_request = prompt.finder._build_slot_request(prompt.sends, False)
        fields = {
            name: getattr(slot_request, name)
            for name in slot_request.__slots__
            if name not in ("request_id", "deadline_ms", "goal_ms")
        }
        entry = self.group.hosts[prompt.host]
        request_id = slot_request.request_id
        entry.request_slot(request_id, deadline_ms=DEADLINE_MS, **fields)
        prompt.slot_request = entry.slot_requests[request_id]
        prompt.is_sent = False

    def is_guilty(self, prompt):
        return self._crash_events(prompt) is not None

    def _crash_events(self, prompt):
        """Return how many events an answer has before its crash; None for no crash."""
        *shared, _, body = ("", *prompt.parts)
        events = [self.guilty_parts.get(part) for part in (*shared, body)]
        return min([number for number in events if number is not None], default=None)

    # Upstreams

    def _step(self):
        self._list()
        for prompt in list(self.requests.values()):
            if not prompt.is_done:
                self._follow(prompt)
        for upstream in self.upstreams:
            self._execute(upstream)

    def _follow(self, prompt):
        """Begin the run of a granted request; end a refused one."""
        entry = self.group.hosts[prompt.host]
        request_id = prompt.slot_request.request_id
        if refused := entry.refused.get(request_id):
            prompt.is_done = True
            prompt.refusal = refused.refusal.reason.value
            return
        granted = entry.granted.get(request_id)
        if granted is None or prompt.is_sent:
            return
        prompt.is_sent = True
        prompt.sends += 1
        instances = {u.instance: u for u in self.upstreams}
        upstream = instances.get(granted.grant.upstream)
        if upstream is None or upstream.up_at_ms > self.now_ms:
            self._end(prompt, ReleaseCause.UNREACHABLE)
            return
        if self.is_guilty(prompt):
            self.guilty_sends.append((self.now_ms, prompt.host))
        upstream.runs.append(Run(prompt, self.now_ms + BEGIN_MS))

    def _end(self, prompt, cause):
        """Release the slot of a request, and send it again if that is allowed."""
        if prompt.is_done:
            return
        entry = self.group.hosts[prompt.host]
        request_id = prompt.slot_request.request_id
        grant = entry.granted[request_id].grant
        release = build_release(
            prompt.slot_request,
            grant.upstream,
            cause,
            is_end_certain=self.is_framed,
        )
        self.group.feed(prompt.host, SlotReleased(release))
        if cause is ReleaseCause.COMPLETED:
            prompt.is_done = True
            return
        if prompt.attempts.allow_retry(grant.upstream, grant.address, cause):
            self._request_slot(prompt)
        else:
            prompt.is_done = True

    def _execute(self, upstream):
        for run in tuple(upstream.runs):
            prompt = run.request
            if prompt.is_done:
                upstream.runs.remove(run)
            if prompt.is_done or run.began_ms > self.now_ms:
                continue
            prompt.has_begun = True
            events = 1 + (self.now_ms - run.began_ms) // EVENT_MS
            crash_events = self._crash_events(prompt)
            if crash_events is not None:
                events = min(events, crash_events)
            if events > run.events:
                run.events = events
                request_id = prompt.slot_request.request_id
                progress = SlotProgress(request_id, events * TOKENS_PER_EVENT)
                self.group.feed(prompt.host, progress)
            if events == crash_events:
                if events and not self.is_framed:
                    # What its caller has ends between two events.
                    upstream.runs.remove(run)
                    self._end(prompt, ReleaseCause.COMPLETED)
                self.crash(upstream, is_by_part=True)
                return
            if events >= EVENTS:
                upstream.runs.remove(run)
                self._end(prompt, ReleaseCause.COMPLETED)

    def crash(self, upstream, *, is_by_part=False):
        """End an upstream and all that it executes; it comes back as another run."""
        if is_by_part:
            self.crashes_ms.append(self.now_ms)
        upstream.up_at_ms = self.now_ms + RESTART_MS
        upstream.restarts += 1
        runs, upstream.runs = upstream.runs, []
        for run in runs:
            self._end(run.request, ReleaseCause.UPSTREAM_DIED)

    # Hosts

    def take_down(self, *names):
        """Kill hosts, with all their requests."""
        self.group.down.update(names)
        for prompt in self.requests.values():
            prompt.is_done = prompt.is_done or prompt.host in names

    def bring_up(self, *names):
        """Start hosts again that were killed."""
        for name in names:
            self.group.restart(name)
        self.touch(*names)

    def touch(self, *names):
        """Note that hosts were disturbed until now; a control host disturbs all."""
        entries = [entry.name for entry in self.group.entries]
        is_core = any(name not in entries for name in names)
        for name in entries if is_core else names:
            self.disturbed_until_ms[name] = self.now_ms

    # Time

    def run(self, duration_ms):
        """Let time pass."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.group.run(10)
            self._step()

    def play(self, duration_ms, *loads):
        """Let time pass while requests come.

        :param loads: pairs of the time between two requests in milliseconds, and the
            function that sends one.
        """
        due = [(self.now_ms, gap_ms, send) for gap_ms, send in loads]
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            for number, (due_ms, gap_ms, send) in enumerate(due):
                if due_ms <= self.now_ms:
                    send()
                    due[number] = (due_ms + gap_ms, gap_ms, send)
            self.run(10)

    # What must hold

    def counted_crash_ms(self):
        """Return the time of the fifth crash, or of the last if there were fewer."""
        return self.crashes_ms[:FIRST_CRASHES][-1]

    def later_sends(self):
        """Return the guilty sends that are too late, from hosts in touch."""
        crash_ms = self.counted_crash_ms()
        return [
            (sent_ms, host)
            for sent_ms, host in self.guilty_sends
            if sent_ms > max(crash_ms, self.disturbed_until_ms[host]) + CONTACT_MS
        ]

    def begun_share(self, after_ms, condition):
        """Return the share of requests whose answers began at the first attempt."""
        chosen = [
            prompt
            for prompt in self.requests.values()
            if prompt.sent_ms >= after_ms and condition(prompt)
        ]
        assert len(chosen) >= 20, f"only {len(chosen)} requests"
        return sum(prompt.has_begun for prompt in chosen) / len(chosen)
