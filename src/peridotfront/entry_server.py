"""Server of an entry host: executes the actions of its role."""

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from . import logs
from .answers import Answer, AnswerStore
from .attachments import Attachments
from .calls import Call, CallRunner, CallStats, build_early_end
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
from .polling import EnginePoller
from .request_validator import Admission, RequestValidator
from .runtime import BackgroundTasks, now_ms

SendMessage = Callable[[str, Any], None]


class EntryServer:
    """Server that feeds events to the role and executes its actions.

    :param role: role whose actions are executed.
    :param validator: request validator that gets each new configuration.
    :param client: client for the upstreams.
    :param send: function that sends a message to another host.
    :param metrics: metrics of this host.
    """

    def __init__(
        self,
        role: EntryRole,
        validator: RequestValidator,
        client: EngineClient,
        send: SendMessage,
        metrics: Metrics,
    ):
        self.role = role
        self.answers = AnswerStore()
        self._validator = validator
        self._send = send
        self._metrics = metrics
        self._entry_metrics = EntryMetrics(role, metrics)
        self._tasks = BackgroundTasks()
        self._call_runner = CallRunner(client, self.feed)
        self._attachments = Attachments(self.answers, self._send_or_deliver, self.feed)
        self._poller = EnginePoller(client, self.on_report)
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
        """Feed a tick to the role; update the polled engines if the cells changed."""
        self.feed(Tick())
        if self._polled_cells != self.role.schedulers.keys():
            self._update_polled_engines()

    def feed(self, event: Any) -> None:
        """Feed one event to the role and execute the actions that it returns."""
        self._entry_metrics.observe(event)
        for action in self.role.handle(event, now_ms()):
            self._run(action)

    def open(self, admission: Admission, refusal: Refusal | None = None) -> Answer:
        """Start a request and return its answer, or the finished answer for its key.

        :param refusal: refusal for the request, which applies unless its key is
            already in use; None if the request is admitted.
        """
        request = admission.request
        existing = self.answers.find(request.key) if request.key else None
        if existing is not None and existing.outcome is not None:
            return self._reuse_answer(existing, admission)
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
        """Cancel all background tasks."""
        await self._poller.stop()
        await self._attachments.stop()
        await self._tasks.cancel()

    def _reuse_answer(self, existing: Answer, admission: Admission) -> Answer:
        request = admission.request
        if existing.fingerprint == request.fingerprint:
            logs.write("answer_replayed")
            return existing
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
        self._upstreams = {upstream.name: upstream for upstream in fleet.upstreams}
        self._validator.apply_fleet(fleet)
        self._metrics.set_config_version(fleet.version)
        logs.write("config_in_force", version=fleet.version)
        self.feed(FleetChanged(fleet))
        self._update_polled_engines()

    @_run.register
    def _(self, action: Dispatch) -> None:
        admission = self._admissions[action.request_id]
        key = admission.request.key
        claim_client = self.role.claim_client
        is_allowed = not key or claim_client.may_dispatch(key, action.epoch, now_ms())
        upstream = self._upstreams.get(action.upstream)
        if not is_allowed or upstream is None:
            self._end_not_sent(action.request_id)
            return
        call = self._new_call(admission, upstream)
        self._metrics.count_dispatch(upstream.kind)
        self._entry_metrics.on_dispatch(action.request_id)
        self._start_call(call, self._call_runner.dispatch)

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
        self._attachments.give_up(action.request_id)
        call = self._new_call(admission, upstream)
        call.is_resumed = True
        self._start_call(call, self._call_runner.resume)

    @_run.register
    def _(self, action: CancelDispatch) -> None:
        call = self._calls.get(action.request_id)
        task = self._call_tasks.get(action.request_id)
        if call is None or task is None:
            return
        call.cancel_cause = action.cause
        task.cancel()
        if not call.is_started:
            # A task that is cancelled before its first step never runs, so that it
            # can't report the end.
            self._forget_call(call)
            self.feed(build_early_end(call, action.cause))

    @_run.register
    def _(self, action: Coalesce) -> None:
        source = self.answers.get(action.leading_request_id)
        self._copy_local(action.request_id, source)

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
            # Nothing is known here of whether the request was sent.
            answer.end(Outcome(Verdict.MAY_HAVE_RUN, Reason.CALLER_GONE))
            self._close(answer)

    @_run.register
    def _(self, action: AnswerMessageReceived) -> None:
        self._attachments.on_message(action.sender, action.message)

    # -- calls -------------------------------------------------------------

    def _new_call(self, admission: Admission, upstream: UpstreamSpec) -> Call:
        answer = self.answers.get(admission.request.request_id)
        self.answers.register_by_key(answer)
        return Call(admission, answer, upstream, CallStats(started_ms=now_ms()))

    def _start_call(self, call: Call, method: Callable) -> None:
        request_id = call.admission.request.request_id
        self._calls[request_id] = call
        task = self._tasks.start(self._run_call(call, method))
        self._call_tasks[request_id] = task

    async def _run_call(self, call: Call, method: Callable) -> None:
        call.is_started = True
        with logs.request_context(call.admission.request.request_id):
            try:
                await method(call, self.role.fleet.policy)
            except asyncio.CancelledError:
                if call.cancel_cause is None:
                    raise
                self.feed(build_early_end(call, call.cancel_cause))
                await self._call_runner.cancel(call)
            finally:
                self._forget_call(call)
                if call.answer.outcome is not None:
                    self._close(call.answer)

    def _forget_call(self, call: Call) -> None:
        request_id = call.admission.request.request_id
        if self._calls.get(request_id) is call:
            del self._calls[request_id]
            del self._call_tasks[request_id]

    def _end_not_sent(self, request_id: str) -> None:
        outcome = Outcome(Verdict.NOT_RUN, Reason.DEADLINE)
        self.feed(DispatchEnded(request_id, ReleaseCause.NOT_SENT, outcome))

    # -- answers -----------------------------------------------------------

    def _copy_local(self, request_id: str, source: Answer | None) -> None:
        answer = self.answers.get(request_id)
        if answer is None:
            return
        if source is None or source is answer:
            self.feed(FollowedAnswerEnded(request_id, None))
            return
        source.readers += 1
        self._tasks.start(self._copy(source, answer))

    async def _copy(self, source: Answer, answer: Answer) -> None:
        try:
            await source.wait_started()
            if source.is_started:
                answer.start(source.status_code, source.headers)
                async for chunk in source.chunks():
                    await answer.write(chunk)
            outcome = await source.wait_ended()
        finally:
            source.readers -= 1
        if source.refusal is not None:
            answer.refuse(source.refusal)
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

    def _send_or_deliver(self, to_host: str, message: Any) -> None:
        if to_host == self.role.host:
            self.feed(Received(to_host, self.role.incarnation, message))
            return
        self._send(to_host, message)

    def on_report(self, report: UpstreamReport) -> None:
        """Feed a report about an upstream to the role."""
        self.feed(Received(self.role.host, self.role.incarnation, report))

    def scheduled_upstreams(self) -> tuple[UpstreamSpec, ...]:
        """Return the upstreams whose cells this host schedules."""
        cells = self.role.schedulers.keys()
        return tuple(
            [
                upstream
                for upstream in self.role.fleet.upstreams
                if upstream.cell in cells
            ]
        )

    def _update_polled_engines(self) -> None:
        self._polled_cells = frozenset(self.role.schedulers)
        upstreams = self.scheduled_upstreams()
        engines = [
            upstream for upstream in upstreams if upstream.kind is UpstreamKind.ENGINE
        ]
        self._poller.watch(tuple(engines))
