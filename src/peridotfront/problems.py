"""Problem answers: refusals as ``application/problem+json``."""

import json
import math
from http import HTTPStatus
from typing import NamedTuple

from .core.verdicts import Refusal
from .http_messages import Header


class Problem(NamedTuple):
    """Holds a problem answer in the form that ``Exchange.respond`` takes."""

    headers: tuple[Header, ...]
    body: bytes


def problem(status_code: int, refusal: Refusal, request_id: str = "") -> Problem:
    """Describe a refusal as ``application/problem+json``.

    :param status_code: HTTP status of the answer.
    :param refusal: verdict, reason and when coming back makes sense.
    :param request_id: id of the request; empty if it got none.
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
