"""Client for the API of model engines."""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from urllib.parse import quote

from pydantic import ValidationError

from .engine_messages import EngineOrder, EngineReport, OrderResult
from .exceptions import AnswerMalformed, AnswerTruncated
from .http_client import ClientLimits, HttpClient, UpstreamAnswer, UpstreamTimeouts
from .http_messages import REQUEST_ID_HEADER, Header, find_header
from .runtime import new_request_id

__all__ = [
    "ClientLimits",
    "EngineClient",
    "HttpClient",
    "UpstreamAnswer",
    "UpstreamTimeouts",
]

MAX_REPORT_BYTES = 1024 * 1024
MAX_RESULT_BYTES = 64 * 1024
MAX_EXPORT_BYTES = 16 * 1024 * 1024


class EngineClient(HttpClient):
    """Client for the API of model engines, and for calls to plain services.

    Each call has an ``X-Request-Id``, which the upstream repeats in its answer. An
    answer with another id is that of another call. One without an id is accepted only
    from the first call of a connection, which is then closed, so that a late answer of
    an earlier call is never taken for that of a later one.
    """

    async def call(
        self,
        address: str,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b"",
        *,
        timeouts: UpstreamTimeouts | None = None,
        before_send: Callable[[], None] | None = None,
    ) -> UpstreamAnswer:
        """Send one request and wait for the head of its own answer.

        :param headers: as for :meth:`HttpClient.send`; a new id is added if they have
            none.
        :raises AnswerMalformed: if the answer belongs to another call, or may do so.
        :raises UpstreamError: as :meth:`HttpClient.send` does.
        """
        headers = list(headers)
        request_id = find_header(headers, REQUEST_ID_HEADER)
        if not request_id:
            request_id = new_request_id()
            headers.append(Header(REQUEST_ID_HEADER, request_id))
        answer = await self.send(
            address,
            method,
            target,
            headers,
            body,
            timeouts=timeouts,
            before_send=before_send,
        )
        _check_identity(answer, request_id)
        return answer

    async def complete(
        self,
        address: str,
        target: str,
        body: bytes,
        request_id: str,
        *,
        key: str = "",
        timeouts: UpstreamTimeouts | None = None,
    ) -> UpstreamAnswer:
        """Start a completion that can be resumed under its request id.

        :param target: path and query of the completion.
        :param key: idempotency key; empty if there is none.
        :raises UpstreamError: as :meth:`call` does.
        """
        headers = [
            Header("content-type", "application/json"),
            Header(REQUEST_ID_HEADER, request_id),
            Header("x-resumable", "1"),
        ]
        if key:
            headers.append(Header("idempotency-key", key))
        return await self.call(
            address, "POST", target, headers, body, timeouts=timeouts
        )

    async def resume(
        self,
        address: str,
        request_id: str,
        offset_bytes: int,
        *,
        timeouts: UpstreamTimeouts | None = None,
    ) -> UpstreamAnswer:
        """Resume the body of an answer at an offset.

        The answer has status 404 if the engine does not have the request.
        """
        target = f"/resume/{quote(request_id, safe='')}?offset={offset_bytes}"
        return await self.call(address, "GET", target, timeouts=timeouts)

    async def cancel(
        self,
        address: str,
        request_id: str,
        *,
        timeouts: UpstreamTimeouts | None = None,
    ) -> bool:
        """Cancel a request; return false if the engine does not run it."""
        target = f"/cancel/{quote(request_id, safe='')}"
        answer = await self.call(address, "POST", target, timeouts=timeouts)
        await answer.read(MAX_RESULT_BYTES)
        return answer.status_code == HTTPStatus.OK

    async def report(
        self,
        address: str,
        since: int = 0,
        *,
        timeouts: UpstreamTimeouts | None = None,
    ) -> EngineReport:
        """Return the load, the leaving state and the cache events of an engine.

        :param since: sequence number after which cache events are returned.
        :raises AnswerMalformed: if the status or the report is invalid.
        """
        target = f"/report?since={since}"
        answer = await self.call(address, "GET", target, timeouts=timeouts)
        body = await answer.read(MAX_REPORT_BYTES)
        return _parse_answer(EngineReport, address, answer, body)

    async def export_kv(
        self,
        address: str,
        request_id: str,
        *,
        timeouts: UpstreamTimeouts | None = None,
    ) -> bytes | None:
        """Export a request with its KV cache; return None if it can't be exported.

        :raises AnswerTruncated: if the export has neither a length nor chunks, so that
            a part of it can't be told from the whole.
        """
        target = f"/kv/export/{quote(request_id, safe='')}"
        answer = await self.call(address, "POST", target, timeouts=timeouts)
        if not answer.is_framed:
            answer.cancel()
            raise AnswerTruncated("the export has no length", address)
        body = await answer.read(MAX_EXPORT_BYTES)
        return body if answer.status_code == HTTPStatus.OK else None

    async def import_kv(
        self,
        address: str,
        exported: bytes,
        *,
        timeouts: UpstreamTimeouts | None = None,
    ) -> bool:
        """Import an exported request; return false if the engine has no room.

        The answer can then be read by :meth:`resume`.
        """
        answer = await self.call(
            address, "POST", "/kv/import", body=exported, timeouts=timeouts
        )
        await answer.read(MAX_RESULT_BYTES)
        return answer.status_code == HTTPStatus.OK

    async def order(
        self,
        address: str,
        order: EngineOrder,
        *,
        timeouts: UpstreamTimeouts | None = None,
        before_send: Callable[[], None] | None = None,
    ) -> OrderResult:
        """Send an order with its fencing token.

        :param before_send: as for :meth:`call`.
        :raises AnswerMalformed: if the status or the result is invalid.
        """
        body = order.model_dump_json().encode()
        answer = await self.call(
            address,
            "POST",
            "/orders",
            body=body,
            timeouts=timeouts,
            before_send=before_send,
        )
        expected = (HTTPStatus.OK, HTTPStatus.CONFLICT)
        result = await answer.read(MAX_RESULT_BYTES)
        return _parse_answer(OrderResult, address, answer, result, expected)


def _check_identity(answer: UpstreamAnswer, request_id: str) -> None:
    ids = {value for name, value in answer.headers if name == REQUEST_ID_HEADER}
    if ids == {request_id}:
        return
    if ids or answer.call_number > 1:
        address = answer.address
        answer.cancel()
        raise AnswerMalformed("the answer does not belong to this request", address)
    answer.close_after()


def _parse_answer(model, address, answer, body, expected=(HTTPStatus.OK,)):
    if answer.status_code not in expected:
        raise AnswerMalformed(f"unexpected status {answer.status_code}", address)
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        raise AnswerMalformed(
            f"the answer has {error.error_count()} invalid fields", address
        ) from error
