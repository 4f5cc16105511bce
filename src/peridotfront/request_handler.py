"""Handler of callers' HTTP requests at an entry host."""

import asyncio
import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol

from . import logs
from .answers import Answer
from .core.account_limits import AccountLimiter
from .core.dispatcher_events import CallerDisconnected
from .core.messages import Outcome
from .core.upstream_answers import PROMISE_STATUS_CODES
from .core.verdicts import Reason, Refusal, Verdict
from .exceptions import AnswerDiscarded, CallerGone, RequestRefused
from .http_messages import REQUEST_ID_HEADER
from .http_server import Exchange
from .metrics import Metrics
from .problems import problem, status_code_of
from .request_validator import Admission, RequestValidator
from .runtime import new_request_id, now_ms

STATUS_BY_REASON = {
    Reason.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.RATE_LIMITED: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.OVERLOADED: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.EVICTED: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.POISON: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.UPSTREAM_TIMEOUT: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.UPSTREAM_DIED: HTTPStatus.BAD_GATEWAY,
    Reason.UPSTREAM_ERROR: HTTPStatus.BAD_GATEWAY,
}


class Opener(Protocol):
    """Interface of the server that starts validated requests."""

    def open(self, admission: Admission, refusal: Refusal | None = None) -> Answer:
        """Start a request and return its answer, which is filled later.

        :param refusal: refusal for the request; None if it is admitted.
        """


class RequestHandler:
    """Handler of the requests of all callers of one entry host.

    :param validator: validator of requests.
    :param opener: server that starts validated requests.
    :param feed: function that passes an event to the core.
    :param metrics: metrics of this host.
    :param live_hosts: function that returns the number of entry hosts that share
        the accounts' limits.
    """

    def __init__(
        self,
        validator: RequestValidator,
        opener: Opener,
        feed: Callable[[Any], None],
        metrics: Metrics,
        live_hosts: Callable[[], int],
    ):
        self._validator = validator
        self._opener = opener
        self._feed = feed
        self._metrics = metrics
        self._live_hosts = live_hosts
        self._limits = AccountLimiter()
        self.requests_in_progress = 0

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request, as the handler of the callers' HTTP server."""
        request_id = new_request_id()
        with logs.request_context(request_id):
            try:
                admission = self._validator.admit(exchange.request, request_id)
            except RequestRefused as error:
                self._record_refusal(error.refusal)
                await _refuse(exchange, error.status_code, error.refusal, request_id)
                return
            await self._serve(exchange, admission)

    async def _serve(self, exchange: Exchange, admission: Admission) -> None:
        account = admission.account
        refusal = self._limits.admit(account, self._live_hosts(), now_ms())
        self.requests_in_progress += 1
        try:
            answer = self._opener.open(admission, refusal)
            await self._deliver_until_disconnect(exchange, admission, answer)
        finally:
            self.requests_in_progress -= 1
            if refusal is None:
                self._limits.finish(account.name)

    async def _deliver_until_disconnect(
        self, exchange: Exchange, admission: Admission, answer: Answer
    ) -> None:
        request_id = admission.request.request_id
        answer.readers += 1
        delivery = asyncio.ensure_future(self._deliver(exchange, admission, answer))
        gone = asyncio.ensure_future(exchange.gone.wait())
        try:
            await asyncio.wait((delivery, gone), return_when=asyncio.FIRST_COMPLETED)
            if not delivery.done():
                raise CallerGone
            delivery.result()
        except CallerGone:
            logs.write("caller_gone")
            if answer.readers <= 1:
                self._feed(CallerDisconnected(request_id))
        finally:
            answer.readers -= 1
            delivery.cancel()
            gone.cancel()

    async def _deliver(
        self, exchange: Exchange, admission: Admission, answer: Answer
    ) -> None:
        started_ms = now_ms()
        await answer.wait_started()
        if answer.status_code in PROMISE_STATUS_CODES:
            outcome = await self._withhold(exchange, admission, answer)
        elif answer.is_started and admission.is_stream:
            outcome = await self._stream(exchange, admission, answer)
        else:
            outcome = await self._respond(exchange, admission, answer)
        tier = admission.request.tier
        is_good = outcome.verdict is Verdict.COMPLETED
        self._metrics.count_answer(tier, outcome.verdict, outcome.reason, is_good)
        logs.write(
            "request_ended",
            tier=tier,
            verdict=outcome.verdict,
            reason=outcome.reason,
            duration_ms=now_ms() - started_ms,
        )

    async def _withhold(
        self, exchange: Exchange, admission: Admission, answer: Answer
    ) -> Outcome:
        """Refuse in place of an upstream's promise, for which there is no proof.

        Hosts of earlier versions record and hand over such answers.
        """
        refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_ERROR)
        status_code = status_code_of(refusal, STATUS_BY_REASON)
        request_id = admission.request.request_id
        await _refuse(exchange, status_code, refusal, request_id)
        return Outcome(refusal.verdict, refusal.reason)

    async def _stream(
        self, exchange: Exchange, admission: Admission, answer: Answer
    ) -> Outcome:
        request_id = admission.request.request_id
        await exchange.start(answer.status_code, _answer_headers(answer, request_id))
        try:
            async for chunk in answer.chunks():
                await exchange.write(chunk)
        except AnswerDiscarded:
            answer.end(Outcome(Verdict.MAY_HAVE_RUN, Reason.HOLDER_LOST))
        outcome = await answer.wait_ended()
        if outcome.verdict is Verdict.COMPLETED:
            await exchange.finish()
            return outcome
        await exchange.write(_error_event(outcome, request_id))
        exchange.abort()
        return outcome

    async def _respond(
        self, exchange: Exchange, admission: Admission, answer: Answer
    ) -> Outcome:
        request_id = admission.request.request_id
        body = bytearray()
        async for chunk in answer.chunks():
            body += chunk
        outcome = await answer.wait_ended()
        if outcome.verdict is Verdict.COMPLETED and answer.is_started:
            headers = _answer_headers(answer, request_id)
            await exchange.respond(answer.status_code, headers, bytes(body))
            return outcome
        refusal = answer.refusal or Refusal(outcome.verdict, outcome.reason)
        await _refuse(
            exchange, status_code_of(refusal, STATUS_BY_REASON), refusal, request_id
        )
        return outcome

    def _record_refusal(self, refusal: Refusal) -> None:
        self._metrics.count_answer(0, refusal.verdict, refusal.reason)
        logs.write("request_refused", reason=refusal.reason, detail=refusal.detail)


async def _refuse(
    exchange: Exchange, status_code: int, refusal: Refusal, request_id: str
) -> None:
    headers, body = problem(status_code, refusal, request_id)
    fields = [*headers, (REQUEST_ID_HEADER, request_id)]
    await exchange.respond(status_code, fields, body)


def _answer_headers(answer: Answer, request_id: str) -> list[tuple[str, str]]:
    headers = [(header.name, header.value) for header in answer.headers]
    return [*headers, (REQUEST_ID_HEADER, request_id)]


def _error_event(outcome: Outcome, request_id: str) -> bytes:
    content = {
        "verdict": outcome.verdict.value,
        "reason": outcome.reason.value,
        "request_id": request_id,
    }
    return b"event: error\ndata: " + json.dumps({"error": content}).encode() + b"\n\n"
