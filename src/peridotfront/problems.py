"""Problem answers: refusals as ``application/problem+json``."""

import json
import math
from collections.abc import Mapping
from http import HTTPStatus
from typing import NamedTuple

from .core.upstream_answers import PROMISE_STATUS_CODES
from .core.verdicts import Reason, Refusal, Verdict
from .http_messages import Header

PROBLEM_TYPE = "application/problem+json"
TIMEOUT_REASONS = (Reason.UPSTREAM_TIMEOUT, Reason.DEADLINE)


class Problem(NamedTuple):
    """Headers and body of a problem answer, as ``Exchange.respond`` takes them."""

    headers: tuple[Header, ...]
    body: bytes


def status_code_of(
    refusal: Refusal, statuses: Mapping[Reason, HTTPStatus]
) -> HTTPStatus:
    """Return an HTTP status that claims no more than the verdict of a refusal.

    :param statuses: statuses of refused requests that did not run, by reason; 503 for
        the others. A request that may have run gets one only for ``Reason.POISON``.
    """
    if refusal.verdict is Verdict.NOT_RUN:
        return statuses.get(refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    if refusal.verdict is Verdict.COMPLETED:
        return HTTPStatus.CONFLICT
    if refusal.reason in TIMEOUT_REASONS:
        return HTTPStatus.GATEWAY_TIMEOUT
    if refusal.reason is Reason.POISON:
        # It tells the caller not to send it again, and nothing of whether it ran.
        return statuses.get(refusal.reason, HTTPStatus.BAD_GATEWAY)
    return HTTPStatus.BAD_GATEWAY


def problem(status_code: int, refusal: Refusal, request_id: str = "") -> Problem:
    """Build a problem answer for a refusal.

    ``Retry-After`` is rounded up to whole seconds.

    :param status_code: HTTP status of the answer.
    :param refusal: verdict, reason, detail and time to wait before a retry.
    :param request_id: id of the request; empty if it has none.
    :return: headers and body for ``Exchange.respond``.
    :rtype: Problem
    :raises ValueError: if the status promises that the request did not run, and the
        verdict doesn't.
    """
    is_promise = status_code in PROMISE_STATUS_CODES
    if is_promise and refusal.verdict is not Verdict.NOT_RUN:
        raise ValueError(f"status {status_code} for a request that may have run")
    content = {
        "type": "about:blank",
        "title": HTTPStatus(status_code).phrase,
        "status": status_code,
        "verdict": refusal.verdict.value,
        "reason": refusal.reason.value,
        "request_id": request_id,
        "retry_after_ms": refusal.retry_after_ms,
        "detail": refusal.detail,
    }
    headers = [Header("content-type", PROBLEM_TYPE)]
    if refusal.retry_after_ms > 0:
        retry_after_s = math.ceil(refusal.retry_after_ms / 1000)
        headers.append(Header("retry-after", str(retry_after_s)))
    return Problem(tuple(headers), json.dumps(content).encode())
