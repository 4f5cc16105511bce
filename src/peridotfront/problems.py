"""Problem answers: refusals as ``application/problem+json``."""

import json
import math
from http import HTTPStatus
from typing import NamedTuple

from .core.verdicts import Refusal
from .http_messages import Header


class Problem(NamedTuple):
    """Headers and body of a problem answer, as ``Exchange.respond`` takes them."""

    headers: tuple[Header, ...]
    body: bytes


def problem(status_code: int, refusal: Refusal, request_id: str = "") -> Problem:
    """Build a problem answer for a refusal.

    ``Retry-After`` is rounded up to whole seconds.

    :param status_code: HTTP status of the answer.
    :param refusal: verdict, reason, detail and time to wait before a retry.
    :param request_id: id of the request; empty if it has none.
    :return: headers and body for ``Exchange.respond``.
    :rtype: Problem
    """
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
    headers = [Header("content-type", "application/problem+json")]
    if refusal.retry_after_ms > 0:
        retry_after_s = math.ceil(refusal.retry_after_ms / 1000)
        headers.append(Header("retry-after", str(retry_after_s)))
    return Problem(tuple(headers), json.dumps(content).encode())
