"""Requests in virtual time over entry roles, control hosts and fake upstreams."""

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
LOOKUP_TIME_MS = 500
DIED_OUTCOME = Outcome(Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_DIED)
UNREACHABLE_OUTCOME = Outcome(Verdict.NOT_RUN, Reason.UPSTREAM_DIED)
HOLDER_LOST_OUTCOME = Outcome(Verdict.MAY_HAVE_RUN, Reason.HOLDER_LOST)
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
    """One execution of a request at an upstream."""

    upstream: str
    body: str
    end_ms: int
    request_id: str
    is_cancelled: bool = False


@dataclass
class Upstream:
    """Fake upstream that executes all requests; only engines can resume answers.

    :param runs: executions by key or request id.
    :param dispatches: number of requests sent to it, by key or request id.
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
    """One arrival of a caller's request, with its final answer.

    :param is_abandoned: whether no caller waits for the answer, because the caller has
        disconnected or the entry host is down.
    """

    request: Request
    host: str
    verdict: Verdict | None = None
    reason: Reason = Reason.NONE
    body: str = ""
    answered_ms: int = 0
    is_abandoned: bool = False


class RoleHost:
    """Fake process of an entry host, which executes the actions of its role."""

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
        self.active_runs = {}
        self.coalesced = {}
        self.followed_answers = {}
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
        self.world.oracle.record_version(self, action.version, action.content)

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
        self.active_runs[action.request_id] = self.world.dispatch(
            self, request, action.upstream
        )

    def _on_resumeanswer(self, action: ResumeAnswer, now_ms):
        request = self.requests[action.request_id]
        run = self.world.resume(request, action.upstream)
        if run is None:
            self._end(
                action.request_id, ReleaseCause.UPSTREAM_DIED, HOLDER_LOST_OUTCOME
            )
            return
        self.active_runs[action.request_id] = run

    def _on_canceldispatch(self, action: CancelDispatch, now_ms):
        run = self.active_runs.pop(action.request_id, None)
        if run is not None:
            run.is_cancelled = True
            outcome = Outcome(Verdict.MAY_HAVE_RUN, Reason.PREEMPTED)
            self._end(action.request_id, action.cause, outcome)

    def _on_coalesce(self, action: Coalesce, now_ms):
        self.coalesced.setdefault(action.leading_request_id, []).append(
            action.request_id
        )

    def _on_followanswer(self, action: FollowAnswer, now_ms):
        self.followed_answers[action.request_id] = (
            action.key,
            action.holder_host,
            now_ms,
        )

    def _on_replayoutcome(self, action: ReplayOutcome, now_ms):
        self._answer(action.request_id, action.outcome)

    def _on_sendrefusal(self, action: SendRefusal, now_ms):
        refusal = action.refusal
        outcome = Outcome(refusal.verdict, refusal.reason)
        self._answer(action.request_id, outcome)

    def tick(self):
        """End the runs that are due and check the followed answers."""
        for request_id, run in list(self.active_runs.items()):
            self._check_run(request_id, run)
        for request_id, followed_answer in list(self.followed_answers.items()):
            self._check_followed_answer(request_id, *followed_answer)

    def _check_run(self, request_id, run):
        upstream = self.world.upstreams[run.upstream]
        if not upstream.is_up:
            del self.active_runs[request_id]
            self._end(request_id, ReleaseCause.UPSTREAM_DIED, DIED_OUTCOME)
        elif self.world.now_ms >= run.end_ms:
            del self.active_runs[request_id]
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

    def _check_followed_answer(self, request_id, key, holder, since_ms):
        outcome = self.world.find_answer(self.name, holder, key)
        is_known = self.world.is_running(self.name, holder, key)
        if outcome is not None:
            del self.followed_answers[request_id]
            self._answer(request_id, outcome)
            self.feed(FollowedAnswerEnded(request_id, outcome))
        elif not is_known and self.world.now_ms - since_ms > 2400:
            del self.followed_answers[request_id]
            self.feed(FollowedAnswerEnded(request_id, None))

    def _end(self, request_id, cause, outcome):
        self.feed(DispatchEnded(request_id, cause, outcome, 0, 1, 10))

    def _answer(self, request_id, outcome):
        self.world.record_answer(self.name, request_id, outcome)
        for coalesced_id in self.coalesced.pop(request_id, []):
            self._answer(coalesced_id, outcome)


class RequestWorld(ControlGroup):
    """Callers, entry hosts, control hosts and upstreams on one virtual clock."""

    def __init__(self, seed=0):
        super().__init__(seed)
        self.hosts |= {name: RoleHost(self, name) for name in ENTRY_HOSTS}
        self.upstreams = {spec.name: Upstream(spec) for spec in FLEET.upstreams}
        self.attempts = {}
        self.executions = Counter()
        self.executed_ids = set()
        self.first_executed_ms = {}
        self.false_refusals = []
        self.expected_bodies = {}
        self.unreachable = set()

    def kill(self, name):
        super().kill(name)
        for attempt in self.attempts.values():
            if attempt.host == name and attempt.verdict is None:
                attempt.is_abandoned = True

    # Callers

    def submit(self, host, key="", service="", attempt=1, deadline_ms=5000, tag=0):
        """Send a request of a caller and return its id."""
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
            self.attempts[request_id].is_abandoned = True
        else:
            self.hosts[host].requests[request_id] = request
            self.handle(host, RequestArrived(request))
        return request_id

    def disconnect_caller(self, request_id):
        """Disconnect the caller of a request."""
        attempt = self.attempts[request_id]
        attempt.is_abandoned = True
        self.handle(attempt.host, CallerDisconnected(request_id))

    def record_answer(self, host, request_id, outcome):
        attempt = self.attempts.get(request_id)
        if attempt is None or attempt.host != host or attempt.verdict is not None:
            return
        attempt.verdict = outcome.verdict
        attempt.reason = outcome.reason
        attempt.body = outcome.body.decode()
        attempt.answered_ms = self.now_ms
        key = attempt.request.key
        first_executed_ms = self.first_executed_ms.get(key, self.now_ms)
        if (
            attempt.verdict is Verdict.NOT_RUN
            and self.now_ms - first_executed_ms > LOOKUP_TIME_MS
        ):
            self.false_refusals.append(request_id)

    # Upstreams

    def dispatch(self, host, request, name):
        upstream = self.upstreams[name]
        if not upstream.is_up or (host.name, name) in self.unreachable:
            self._end_as_unreachable(host, request.request_id, UNREACHABLE_OUTCOME)
            return Run(name, "", 1 << 60, request.request_id)
        identity = request.key or request.request_id
        upstream.dispatches[identity] += 1
        self.executions[identity] += 1
        self.first_executed_ms.setdefault(request.key, self.now_ms)
        self.executed_ids.add(request.request_id)
        body = f"{identity}#{self.executions[identity]}"
        run = Run(name, body, self.now_ms + RUN_MS, request.request_id)
        upstream.runs[identity] = run
        self.expected_bodies[identity] = body
        return run

    def _end_as_unreachable(self, host, request_id, outcome):
        host.active_runs.pop(request_id, None)
        event = DispatchEnded(request_id, ReleaseCause.UNREACHABLE, outcome)
        due_ms = self.now_ms + NETWORK_MS
        self.sequence += 1
        self.in_flight.append((due_ms, self.sequence, host.name, _LocalEvent(event)))

    def resume(self, request, name):
        upstream = self.upstreams.get(name)
        if upstream is None or upstream.spec.kind is not UpstreamKind.ENGINE:
            return None
        run = upstream.runs.get(request.key) if upstream.is_up else None
        if run is None or run.is_cancelled:
            return None
        end_ms = max(run.end_ms, self.now_ms + RESUME_CHECK_MS)
        return Run(name, run.body, end_ms, request.request_id)

    def _is_reachable(self, follower, holder):
        if holder in self.down or holder in self.frozen:
            return False
        return (follower, holder) not in self.cuts and (
            holder,
            follower,
        ) not in self.cuts

    def find_answer(self, follower, holder, key):
        if not self._is_reachable(follower, holder):
            return None
        return self.hosts[holder].answers.get(key)

    def is_running(self, follower, holder, key):
        if not self._is_reachable(follower, holder):
            return False
        active_runs = self.hosts[holder].active_runs
        requests = self.hosts[holder].requests
        return any(
            requests[request_id].key == key
            for request_id in active_runs
            if request_id in requests
        )

    # Time

    def run(self, host, action):
        if isinstance(host, RoleHost) and not isinstance(action, Send):
            host.act(action, self.clock(host.name))
            return
        super().run(host, action)

    def handle(self, name, event):
        if isinstance(event, _LocalEvent):
            event = event.event
        super().handle(name, event)

    def step(self):
        super().step()
        for name in ENTRY_HOSTS:
            if name not in self.down and name not in self.frozen:
                self.hosts[name].tick()

    def ready(self):
        """Run until there is a control leader that every entry host knows."""
        self.await_leader()
        self.run_until(
            lambda: all(
                self.hosts[n].claim_client.leader(self.clock(n)) for n in ENTRY_HOSTS
            ),
            what="a leader that every entry host knows",
        )
        self.run_for(600)
        return self

    # Guarantees

    def check_promises(self):
        """Check the guarantees that must hold at all times."""
        repeated = {k: n for k, n in self.executions.items() if n > 1}
        assert not repeated, f"dispatched more than once: {repeated}"
        assert not self.false_refusals, f"refused as not run: {self.false_refusals}"
        for request_id, attempt in self.attempts.items():
            identity = attempt.request.key or request_id
            if attempt.verdict is Verdict.COMPLETED:
                assert attempt.body == self.expected_bodies[identity], (
                    f"{request_id}: wrong body"
                )
            if attempt.verdict is Verdict.NOT_RUN:
                assert request_id not in self.executed_ids, f"{request_id} was executed"

    def check_all_answered(self):
        """Check that every caller that still waits got its final answer."""
        unanswered = [
            request_id
            for request_id, attempt in self.attempts.items()
            if attempt.verdict is None and not attempt.is_abandoned
        ]
        assert not unanswered, f"no final answer: {unanswered}"


class _LocalEvent:
    """Wrapper of a host's local event in the queue of the network."""

    def __init__(self, event):
        self.event = event
        self.sender = "local"
