"""Answers to requests that are refused before any handler runs."""

import h11

from .core.verdicts import Refusal
from .http_messages import encode_headers
from .problems import problem


def build_refusal(
    http: h11.Connection,
    head: h11.Request | None,
    status_code: int,
    refusal: Refusal,
    date: bytes,
) -> bytes:
    """Return the bytes of a refusal, after which the connection is closed.

    :param http: state of the connection, which the answer advances.
    :param head: head of the request, if it was received.
    """
    headers, body = problem(status_code, refusal)
    length = ("content-length", str(len(body)))
    fields = encode_headers([*headers, length, ("connection", "close")])
    fields.append((b"date", date))
    parts = [http.send(h11.Response(status_code=status_code, headers=fields))]
    if head is None or head.method != b"HEAD":
        parts.append(http.send(h11.Data(data=body)))
    parts.append(http.send(h11.EndOfMessage()))
    return b"".join(parts)
