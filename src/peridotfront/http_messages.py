"""Parts of HTTP messages that the server and the client share."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from .exceptions import InvalidRequest

MAX_JSON_INTEGER_DIGITS = 19
EVENT_STREAM = "text/event-stream"
REQUEST_ID_HEADER = "x-request-id"
HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class Header(NamedTuple):
    """One header field; the name is in lower case."""

    name: str
    value: str


def find_header(headers: Iterable[Header], name: str, default: str = "") -> str:
    """Return the value of the first header field with a name.

    :param name: name in lower case.
    :param default: value to return if no field has that name.
    """
    return next((value for key, value in headers if key == name), default)


def is_event_stream(headers: Iterable[Header]) -> bool:
    """Return whether the body is a stream of server-sent events."""
    return find_header(headers, "content-type").lower().startswith(EVENT_STREAM)


def decode_headers(raw: Iterable[tuple[bytes, bytes]]) -> tuple[Header, ...]:
    """Decode header fields from Latin-1."""
    return tuple(Header(k.decode("latin-1"), v.decode("latin-1")) for k, v in raw)


def encode_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Encode header fields as Latin-1.

    :raises UnicodeEncodeError: if a character is not in Latin-1.
    """
    return [(k.encode("latin-1"), v.encode("latin-1")) for k, v in headers]


def without_hop_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the header fields without the hop-by-hop fields."""
    return [(k, v) for k, v in headers if k.lower() not in HOP_HEADERS]


def origin_target(target: str) -> str:
    """Return path and query of a request target; empty if it is invalid.

    The target may be in origin form, in absolute form or ``*``.
    """
    if target.startswith("/") or target == "*":
        return target
    scheme, _, after_scheme = target.partition("://")
    if scheme.lower() not in ("http", "https") or not after_scheme:
        return ""
    _, slash, path = after_scheme.partition("/")
    return slash + path if slash else "/"


def _parse_integer(digits: str) -> int:
    if len(digits) > MAX_JSON_INTEGER_DIGITS:
        raise ValueError("an integer has too many digits")
    return int(digits)


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def parse_json(data: bytes) -> Any:
    """Parse strict JSON in UTF-8.

    :raises InvalidRequest: on invalid UTF-8, invalid JSON, an integer of more than
        19 digits or deep nesting.
    """
    try:
        return json.loads(
            data.decode("utf-8"),
            parse_int=_parse_integer,
            parse_constant=_refuse_constant,
        )
    except UnicodeDecodeError as error:
        raise InvalidRequest("the body is not valid UTF-8") from error
    except RecursionError as error:
        raise InvalidRequest("the body is nested too deeply") from error
    except ValueError as error:
        raise InvalidRequest("the body is not valid JSON") from error


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One complete request of a caller.

    :param target: path and query as sent, percent-encoded.
    :param path: path as sent, percent-encoded.
    :param query: query as sent, without the question mark.
    :param client_certificate: always None, since callers present no certificate.
    """

    method: str
    target: str
    path: str
    query: str
    headers: tuple[Header, ...] = ()
    body: bytes = field(default=b"", repr=False)
    client_certificate: None = None

    def header(self, name: str, default: str = "") -> str:
        """Return the value of the first header field with a name in lower case."""
        return find_header(self.headers, name, default)

    def json(self) -> Any:
        """Parse the body as strict JSON.

        :raises InvalidRequest: if the body is not valid strict JSON.
        """
        return parse_json(self.body)
