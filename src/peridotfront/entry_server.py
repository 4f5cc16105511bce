"""Carries out what the role of an entry host decides."""

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from . import logs
from .answers import Answer, AnswerStore
from .attachments import Attachments
from .calls import Call, Caller, Measures, ended_early
from .core.actions import Log, Received, Send, Tick
from .core.config_follower import ConfigActivated
from .core.dispatcher_events import (
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
from .core.entry_role import AnswerMessageReceived, EntryRole
from .core.fleet import UpstreamKind, UpstreamSpec
from .core.messages import Frame, Outcome, ReleaseCause, UpstreamReport
from .core.scheduler_events import FleetChanged
from .core.verdicts import Reason, Refusal, Verdict
from .engine_client import EngineClient
from .entry_metrics import EntryMetrics
from .exceptions import SettingsInvalid
from .fleet_config import parse_fleet
from .metrics import Metrics
from .polling import Poller
from .request_validator import Admission, RequestValidator
from .runtime import BackgroundTasks, now_ms

SendMessage = Callable[[str, Any], None]


class EntryServer:
    """Feeds events to the role and carries out its actions.

    :param role: decides.
    :param intake: is told of each configuration that comes into force.
    :param client: sends to upstreams.
    :param send: sends a message to another host.
    """

    def __init__(
        self,
        role: EntryRole,
        intake: RequestValidator,
        client: EngineClient,
        send: SendMessage,
        metrics: Metrics,
    ):
        self.role = role
        self.answers = AnswerStore()
        self._intake = intake
        self._send = send
        self._metrics = metrics
        self._meter = EntryMetrics(role, metrics)
        self._tasks = BackgroundTasks()
        self._caller = Caller(client, self.feed)
        self._attachments = Attachments(self.answers, self._send_any, self.feed)
        self._poller = Poller(client, self.on_report)
        self._polled_cells: frozenset[str] = frozenset()
        self._admissions: dict[str, Admission] = {}
        self._calls: dict[str, Call] = {}
        self._call_tasks: dict[str, asyncio.Task] = {}
        self._upstreams: dict[str, UpstreamSpec] = {}

    def on_frame(self, frame: Frame) -> None:
        """Feed the messages of one frame to the role."""
        for message in frame.messages:
            self.feed(Received(frame.sender, frame.incarnation, message))

    def tick(self) -> None:
        """Tell the role that time has passed."""
        self.feed(Tick())
        if self._polled_cells != self.role.schedulers.keys():
            self._watch_upstreams()

    def feed(self, event: Any) -> None:
        """Feed one event to the role and carry out what it decides."""
        self._meter.observe(event)
        for action in self.role.handle(event, now_ms()):
            self._run(action)

    def open(self, admission: Admission, refusal: Refusal | None = None) -> Answer:
        """Start the work on a request and return its answer, still empty.

        :param refusal: set if the request is to be refused unless its key is
            already in use.
        """
        request = admission.request
        standing = self.answers.find(request.key) if request.key else None
        if standing is not None and standing.outcome is not None:
            return self._reuse(standing, admission)
        answer = Answer(
            request.request_id,
            request.key,
            request.fingerprint,
            self.role.fleet.policy.answer_buffer_bytes,
        )
        self.answers.add(answer)
        self._admissions[request.request_id] = admission
        logs.write("request_received", tier=request.tier, model=request.model)
        self.feed(RequestArrived(request, refusal))
        return answer

    async def stop(self) -> None:
        """End all background work."""
        await self._poller.stop()
        await self._attachments.stop()
        await self._tasks.cancel()

    def _reuse(self, standing: Answer, admission: Admission) -> Answer:
        request = admission.request
        if standing.fingerprint == request.fingerprint:
            logs.write("answer_replayed")
            return standing
        answer = Answer(request.request_id, "", request.fingerprint, 0)
        answer.refuse(Refusal(Verdict.NOT_RUN, Reason.KEY_REUSED))
        return answer

    # -- actions -----------------------------------------------------------

    @singledispatchmethod
    def _run(self, action: Any) -> None:
        raise TypeError(f"unexpected action {action!r}")

    @_run.register
    def _(self, action: Send) -> None:
        self._send(action.to_host, action.message)

    @_run.register
    def _(self, action: Log) -> None:
        logs.write(action.event, **dict(action.fields))

    @_run.register
    def _(self, action: ConfigActivated) -> None:
        try:
            fleet = parse_fleet(action.content, action.version)
        except SettingsInvalid as error:
            logs.write("config_unreadable", version=action.version, detail=str(error))
            return
        self._upstreams = {one.name: one for one in fleet.upstreams}
        self._intake.use(fleet)
        self._metrics.set_config_version(fleet.version)
        logs.write("config_in_force", version=fleet.version)
        self.feed(FleetChanged(fleet))
        self._watch_upstreams()

    @_run.register
    def _(self, action: Dispatch) -> None:
        admission = self._admissions[action.request_id]
        key = admission.request.key
        claim_client = self.role.claim_client
        is_allowed = not key or claim_client.may_dispatch(key, action.epoch, now_ms())
        upstream = self._upstreams.get(action.upstream)
        if not is_allowed or upstream is None:
            self._end_unsent(action.request_id)
            return
        call = self._new_call(admission, upstream)
        self._metrics.count_dispatch(upstream.kind)
        self._meter.on_dispatch(action.request_id)
        self._start_call(call, self._caller.dispatch)

    @_run.register
    def _(self, action: ResumeAnswer) -> None:
        admission = self._admissions[action.request_id]
        upstream = self._upstreams.get(action.upstream)
        if upstream is None:
            outcome = Outcome(Verdict.MAY_HAVE_RUN, Reason.HOLDER_LOST)
            cause = ReleaseCause.UPSTREAM_DIED
            self.feed(DispatchEnded(action.request_id, cause, outcome))
            return
        logs.write("claim_taken_over", request_id=action.request_id)
        call = self._new_call(admission, upstream)
        self._start_call(call, self._caller.resume)

    @_run.register
    def _(self, action: CancelDispatch) -> None:
        call = self._calls.get(action.request_id)
        task = self._call_tasks.get(action.request_id)
        if call is None or task is None:
            return
        call.cancel_cause = action.cause
        task.cancel()

    @_run.register
    def _(self, action: Coalesce) -> None:
        holder = self.answers.get(action.leading_request_id)
        self._copy_local(action.request_id, holder)

    @_run.register
    def _(self, action: FollowAnswer) -> None:
        answer = self.answers.get(action.request_id)
        if answer is None:
            return
        if action.holder_host == self.role.host:
            self._copy_local(action.request_id, self.answers.find(action.key))
            return
        self._attachments.follow(answer, action.key, action.holder_host)

    @_run.register
    def _(self, action: ReplayOutcome) -> None:
        answer = self.answers.get(action.request_id)
        if answer is not None:
            logs.write("answer_replayed", request_id=action.request_id)
            self._tasks.start(self._replay(answer, action.outcome))

    @_run.register
    def _(self, action: SendRefusal) -> None:
        answer = self.answers.get(action.request_id)
        if answer is not None:
            answer.refuse(action.refusal)
            self._close(answer)

    @_run.register
    def _(self, action: RequestClosed) -> None:
        answer = self.answers.get(action.request_id)
        if answer is not None:
            answer.end(Outcome(Verdict.NOT_RUN, Reason.CALLER_GONE))
            self._close(answer)

    @_run.register
    def _(self, action: AnswerMessageReceived) -> None:
        self._attachments.received(action.sender, action.message)

    # -- calls -------------------------------------------------------------

    def _new_call(self, admission: Admission, upstream: UpstreamSpec) -> Call:
        answer = self.answers.get(admission.request.request_id)
        self.answers.hold(answer)
        return Call(admission, answer, upstream, Measures(started_ms=now_ms()))

    def _start_call(self, call: Call, method: Callable) -> None:
        request_id = call.admission.request.request_id
        self._calls[request_id] = call
        task = self._tasks.start(self._carry_out(call, method))
        self._call_tasks[request_id] = task

    async def _carry_out(self, call: Call, method: Callable) -> None:
        request_id = call.admission.request.request_id
        with logs.request_context(request_id):
            try:
                await method(call, self.role.fleet.policy)
            except asyncio.CancelledError:
                if call.cancel_cause is None:
                    raise
                self.feed(ended_early(call, call.cancel_cause))
                await self._caller.cancel(call)
            finally:
                if self._calls.get(request_id) is call:
                    del self._calls[request_id]
                    del self._call_tasks[request_id]
                if call.answer.outcome is not None:
                    self._close(call.answer)

    def _end_unsent(self, request_id: str) -> None:
        outcome = Outcome(Verdict.NOT_RUN, Reason.DEADLINE)
        self.feed(DispatchEnded(request_id, ReleaseCause.NOT_SENT, outcome))

    # -- answers -----------------------------------------------------------

    def _copy_local(self, request_id: str, holder: Answer | None) -> None:
        answer = self.answers.get(request_id)
        if answer is None:
            return
        if holder is None or holder is answer:
            self.feed(FollowedAnswerEnded(request_id, None))
            return
        holder.readers += 1
        self._tasks.start(self._copy(holder, answer))

    async def _copy(self, holder: Answer, answer: Answer) -> None:
        try:
            await holder.started()
            if holder.is_started:
                answer.start(holder.status_code, holder.headers)
                async for chunk in holder.chunks():
                    await answer.write(chunk)
            outcome = await holder.ended()
        finally:
            holder.readers -= 1
        if holder.refusal is not None:
            answer.refuse(holder.refusal)
        answer.end(outcome)
        self.feed(FollowedAnswerEnded(answer.request_id, outcome))
        self._close(answer)

    async def _replay(self, answer: Answer, outcome: Outcome) -> None:
        if outcome.verdict is Verdict.COMPLETED:
            answer.start(outcome.status_code, outcome.headers)
            await answer.write(outcome.body)
        answer.end(outcome)
        self._close(answer)

    def _close(self, answer: Answer) -> None:
        self.answers.finish(answer)
        self._admissions.pop(answer.request_id, None)

    # -- upstreams ---------------------------------------------------------

    def _send_any(self, to_host: str, message: Any) -> None:
        if to_host == self.role.host:
            self.feed(Received(to_host, self.role.incarnation, message))
            return
        self._send(to_host, message)

    def on_report(self, report: UpstreamReport) -> None:
        """Take what an upstream, or the platform, says of an upstream."""
        self.feed(Received(self.role.host, self.role.incarnation, report))

    def scheduled_upstreams(self) -> tuple[UpstreamSpec, ...]:
        """Return the upstreams whose cells this host schedules."""
        cells = self.role.schedulers.keys()
        return tuple([one for one in self.role.fleet.upstreams if one.cell in cells])

    def _watch_upstreams(self) -> None:
        self._polled_cells = frozenset(self.role.schedulers)
        upstreams = self.scheduled_upstreams()
        engines = [one for one in upstreams if one.kind is UpstreamKind.ENGINE]
        self._poller.watch(tuple(engines))
