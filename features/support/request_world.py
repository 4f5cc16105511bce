"""Whole requests in virtual time: entry roles, control hosts and fake upstreams."""

from collections import Counter
from dataclasses import dataclass, field

from peridotfront.core.actions import Log, Send
from peridotfront.core.claim_client import ClaimClient
from peridotfront.core.config_follower import ConfigActivated, ConfigFollower
from peridotfront.core.dispatcher_events import (
    CallerDisconnected,
    CancelDispatch,
    Coalesce,
    Dispatch,
    DispatchEnded,
    FollowAnswer,
    FollowedAnswerEnded,
    ReplayOutcome,
    RequestArrived,
    RequestClosed,
    ResumeAnswer,
    SendRefusal,
)
from peridotfront.core.entry_role import AnswerMessageReceived, EntryRole
from peridotfront.core.fleet import Fleet, ServiceSpec, UpstreamKind, UpstreamSpec
from peridotfront.core.host_monitor import HostMonitor
from peridotfront.core.messages import Outcome, ReleaseCause
from peridotfront.core.requests import Request
from peridotfront.core.scheduler_events import FleetChanged
from peridotfront.core.verdicts import Reason, Verdict

from .control_group import CONTROL_HOSTS, ENTRY_HOSTS, ControlGroup

RUN_MS = 200
NETWORK_MS = 1
RESUME_CHECK_MS = 5
LOOKUP_MS = 500
KILLED = Outcome(Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_DIED)
UNREACHED = Outcome(Verdict.NOT_RUN, Reason.UPSTREAM_DIED)
LOST = Outcome(Verdict.MAY_HAVE_RUN, Reason.HOLDER_LOST)
FLEET = Fleet(
    version=1,
    upstreams=(
        UpstreamSpec("g1", UpstreamKind.ENGINE, "dc", "1:1", models=("m",)),
        UpstreamSpec("g2", UpstreamKind.ENGINE, "dc", "1:2", models=("m",)),
        UpstreamSpec("s1", UpstreamKind.SERVICE, "dc", "1:3", service="pay"),
        UpstreamSpec("s2", UpstreamKind.SERVICE, "dc", "1:4", service="pay"),
    ),
    services=(ServiceSpec("pay"),),
)


@dataclass
class Run:
    """Is one run of a request at an upstream."""

    name: str
    body: str
    ends_ms: int
    request_id: str
    is_cut: bool = False


@dataclass
class Upstream:
    """Runs whatever is sent to it; an engine can resume, a service cannot.

    :param dispatches: counts the requests sent to it by key or id.
    """

    spec: UpstreamSpec
    is_up: bool = True
    runs: dict = field(default_factory=dict)
    dispatches: Counter = field(default_factory=Counter)

    def kill(self):
        self.is_up = False
        self.runs = {}


@dataclass
class Attempt:
    """Is one arrival of a caller's request and the last word it got."""

    request: Request
    host: str
    verdict: Verdict | None = None
    reason: Reason = Reason.NONE
    body: str = ""
    ended_ms: int = 0
    is_lost: bool = False


class RoleHost:
    """An entry host's process: its role, and a fake of what carries it out."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.start()

    def start(self):
        self.incarnation = self.world.new_incarnation()
        self.claim_client = ClaimClient(self.name, self.incarnation)
        self.follower = ConfigFollower()
        peers = tuple(n for n in CONTROL_HOSTS + ENTRY_HOSTS if n != self.name)
        host_monitor = HostMonitor(self.name, "dc", peers, 150, 1500)
        self.role = EntryRole(host_monitor, self.follower, self.claim_client, 1)
        self.role.incarnation = self.incarnation
        self.role.dispatcher.incarnation = self.incarnation
        self.calls = {}
        self.joined = {}
        self.follows = {}
        self.requests = {}
        self.answers = {}

    def handle(self, event, now_ms):
        if not self.role.fleet.version:
            yield from self.role.handle(FleetChanged(FLEET), now_ms)
        yield from self.role.handle(event, now_ms)

    def feed(self, event):
        self.world.handle(self.name, event)

    def act(self, action, now_ms):
        method = getattr(self, f"_on_{type(action).__name__.lower()}", None)
        assert method is not None, action
        method(action, now_ms)

    def _on_configactivated(self, action: ConfigActivated, now_ms):
        self.world.oracle.in_force(self, action.version, action.content)

    def _on_log(self, action: Log, now_ms):
        pass

    def _on_answermessagereceived(self, action: AnswerMessageReceived, now_ms):
        pass

    def _on_requestclosed(self, action: RequestClosed, now_ms):
        self.requests.pop(action.request_id, None)

    def _on_dispatch(self, action: Dispatch, now_ms):
        request = self.requests[action.request_id]
        key = request.key
        if key and not self.claim_client.may_dispatch(key, action.epoch, now_ms):
            outcome = Outcome(Verdict.NOT_RUN, Reason.DEADLINE)
            self._end(action.request_id, ReleaseCause.NOT_SENT, outcome)
            return
        self.calls[action.request_id] = self.world.dispatch(
            self, request, action.upstream
        )

    def _on_resumeanswer(self, action: ResumeAnswer, now_ms):
        request = self.requests[action.request_id]
        run = self.world.resume(request, action.upstream)
        if run is None:
            self._end(action.request_id, ReleaseCause.UPSTREAM_DIED, LOST)
            return
        self.calls[action.request_id] = run

    def _on_canceldispatch(self, action: CancelDispatch, now_ms):
        run = self.calls.pop(action.request_id, None)
        if run is not None:
            run.is_cut = True
            outcome = Outcome(Verdict.MAY_HAVE_RUN, Reason.PREEMPTED)
            self._end(action.request_id, action.cause, outcome)

    def _on_coalesce(self, action: Coalesce, now_ms):
        self.joined.setdefault(action.leading_request_id, []).append(action.request_id)

    def _on_followanswer(self, action: FollowAnswer, now_ms):
        self.follows[action.request_id] = (action.key, action.holder_host, now_ms)

    def _on_replayoutcome(self, action: ReplayOutcome, now_ms):
        self._answer(action.request_id, action.outcome)

    def _on_sendrefusal(self, action: SendRefusal, now_ms):
        refusal = action.refusal
        outcome = Outcome(refusal.verdict, refusal.reason)
        self._answer(action.request_id, outcome)

    def tick(self):
        """End the calls that are due and look after followed answers."""
        for request_id, run in list(self.calls.items()):
            self._check_call(request_id, run)
        for request_id, followed in list(self.follows.items()):
            self._check_follow(request_id, *followed)

    def _check_call(self, request_id, run):
        upstream = self.world.upstreams[run.name]
        if not upstream.is_up:
            del self.calls[request_id]
            self._end(request_id, ReleaseCause.UPSTREAM_DIED, KILLED)
        elif self.world.now_ms >= run.ends_ms:
            del self.calls[request_id]
            self._complete(request_id, run)

    def _complete(self, request_id, run):
        outcome = Outcome(
            Verdict.COMPLETED, Reason.NONE, 200, (), run.body.encode(), True
        )
        request = self.requests[request_id]
        if request.key:
            self.answers[request.key] = outcome
        self._answer(request_id, outcome)
        self._end(request_id, ReleaseCause.COMPLETED, outcome)

    def _check_follow(self, request_id, key, holder, since_ms):
        outcome = self.world.held_answer(self.name, holder, key)
        is_known = self.world.knows(self.name, holder, key)
        if outcome is not None:
            del self.follows[request_id]
            self._answer(request_id, outcome)
            self.feed(FollowedAnswerEnded(request_id, outcome))
        elif not is_known and self.world.now_ms - since_ms > 2400:
            del self.follows[request_id]
            self.feed(FollowedAnswerEnded(request_id, None))

    def _end(self, request_id, cause, outcome):
        self.feed(DispatchEnded(request_id, cause, outcome, 0, 1, 10))

    def _answer(self, request_id, outcome):
        self.world.answered(self.name, request_id, outcome)
        for joined in self.joined.pop(request_id, []):
            self._answer(joined, outcome)


class RequestWorld(ControlGroup):
    """Callers, entry hosts, control hosts and upstreams on one virtual clock."""

    def __init__(self, seed=0):
        super().__init__(seed)
        self.hosts |= {name: RoleHost(self, name) for name in ENTRY_HOSTS}
        self.upstreams = {one.name: Upstream(one) for one in FLEET.upstreams}
        self.attempts = {}
        self.ran = Counter()
        self.ran_attempts = set()
        self.ran_ms = {}
        self.false_refusals = []
        self.bodies = {}
        self.unreachable = set()

    def kill(self, name):
        super().kill(name)
        for attempt in self.attempts.values():
            if attempt.host == name and attempt.verdict is None:
                attempt.is_lost = True

    # Callers

    def submit(self, host, key="", service="", attempt=1, deadline_ms=5000, tag=0):
        """Let a caller send a request; return its id."""
        self.sequence += 1
        request_id = f"r{self.sequence}"
        request = Request(
            request_id=request_id,
            key=key,
            fingerprint=1 + tag,
            client_account="a",
            tier=1,
            kind=UpstreamKind.SERVICE if service else UpstreamKind.ENGINE,
            service=service,
            model="" if service else "m",
            prompt_tokens=100,
            output_tokens=10,
            prefix_hashes=(),
            deadline_ms=deadline_ms,
            is_idempotent=not service,
            attempt=attempt,
        )
        self.attempts[request_id] = Attempt(request, host)
        if host in self.down:
            self.attempts[request_id].is_lost = True
        else:
            self.hosts[host].requests[request_id] = request
            self.handle(host, RequestArrived(request))
        return request_id

    def leave(self, request_id):
        """Let the caller of a request vanish."""
        attempt = self.attempts[request_id]
        attempt.is_lost = True
        self.handle(attempt.host, CallerDisconnected(request_id))

    def answered(self, host, request_id, outcome):
        attempt = self.attempts.get(request_id)
        if attempt is None or attempt.host != host or attempt.verdict is not None:
            return
        attempt.verdict = outcome.verdict
        attempt.reason = outcome.reason
        attempt.body = outcome.body.decode()
        attempt.ended_ms = self.now_ms
        key = attempt.request.key
        ran_ms = self.ran_ms.get(key, self.now_ms)
        if attempt.verdict is Verdict.NOT_RUN and self.now_ms - ran_ms > LOOKUP_MS:
            self.false_refusals.append(request_id)

    # Upstreams

    def dispatch(self, host, request, name):
        upstream = self.upstreams[name]
        if not upstream.is_up or (host.name, name) in self.unreachable:
            self.later(host, request.request_id, UNREACHED)
            return Run(name, "", 1 << 60, request.request_id)
        identity = request.key or request.request_id
        upstream.dispatches[identity] += 1
        self.ran[identity] += 1
        self.ran_ms.setdefault(request.key, self.now_ms)
        self.ran_attempts.add(request.request_id)
        body = f"{identity}#{self.ran[identity]}"
        run = Run(name, body, self.now_ms + RUN_MS, request.request_id)
        upstream.runs[identity] = run
        self.bodies[identity] = body
        return run

    def later(self, host, request_id, outcome):
        host.calls.pop(request_id, None)
        event = DispatchEnded(request_id, ReleaseCause.UNREACHABLE, outcome)
        due_ms = self.now_ms + NETWORK_MS
        self.sequence += 1
        self.in_flight.append((due_ms, self.sequence, host.name, _Local(event)))

    def resume(self, request, name):
        upstream = self.upstreams.get(name)
        if upstream is None or upstream.spec.kind is not UpstreamKind.ENGINE:
            return None
        run = upstream.runs.get(request.key) if upstream.is_up else None
        if run is None or run.is_cut:
            return None
        ends_ms = max(run.ends_ms, self.now_ms + RESUME_CHECK_MS)
        return Run(name, run.body, ends_ms, request.request_id)

    def _linked(self, one, other):
        if other in self.down or other in self.frozen:
            return False
        return (one, other) not in self.cuts and (other, one) not in self.cuts

    def held_answer(self, follower, holder, key):
        if not self._linked(follower, holder):
            return None
        return self.hosts[holder].answers.get(key)

    def knows(self, follower, holder, key):
        if not self._linked(follower, holder):
            return False
        calls = self.hosts[holder].calls
        requests = self.hosts[holder].requests
        return any(requests[one].key == key for one in calls if one in requests)

    # Time

    def run(self, host, action):
        if isinstance(host, RoleHost) and not isinstance(action, Send):
            host.act(action, self.clock(host.name))
            return
        super().run(host, action)

    def handle(self, name, event):
        if isinstance(event, _Local):
            event = event.event
        super().handle(name, event)

    def step(self):
        super().step()
        for name in ENTRY_HOSTS:
            if name not in self.down and name not in self.frozen:
                self.hosts[name].tick()

    def ready(self):
        """Run until the control group leads and every entry host knows it."""
        self.await_leader()
        self.run_until(
            lambda: all(
                self.hosts[n].claim_client.leader(self.clock(n)) for n in ENTRY_HOSTS
            ),
            what="the leader known everywhere",
        )
        self.run_for(600)
        return self

    # Promises

    def check_promises(self):
        """Check what must hold at all times."""
        twice = {k: n for k, n in self.ran.items() if n > 1}
        assert not twice, f"dispatched more than once: {twice}"
        assert not self.false_refusals, f"told not run: {self.false_refusals}"
        for request_id, attempt in self.attempts.items():
            identity = attempt.request.key or request_id
            if attempt.verdict is Verdict.COMPLETED:
                assert attempt.body == self.bodies[identity], f"{request_id}: wrong"
            if attempt.verdict is Verdict.NOT_RUN:
                assert request_id not in self.ran_attempts, f"{request_id} ran"

    def check_all_answered(self):
        """Check that every caller whose host lives got its last word."""
        silent = [
            request_id
            for request_id, attempt in self.attempts.items()
            if attempt.verdict is None and not attempt.is_lost
        ]
        assert not silent, f"no last word: {silent}"


class _Local:
    """Wraps an event of a host's own for the network's queue."""

    def __init__(self, event):
        self.event = event
        self.sender = "local"
