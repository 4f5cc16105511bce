"""Requests and answers on the platform: its header fields and what they say."""

import hashlib
import re
from http import HTTPStatus

from ..core.routes import RoutedAccount
from ..exceptions import InvalidRequest
from ..http_client import UpstreamAnswer
from ..http_messages import Header, HttpRequest, find_header
from ..routed_requests import AnswerKind, RoutedRequest

ATTEMPT_ID = "x-attempt-id"
DEADLINE = "x-deadline-ms"
ACCOUNT_KEY = "api-key"
ACCOUNT = "x-tenant"
INSTANCE = "x-expect-instance"
TOKEN_COUNT = "x-token-count"
LENGTH_HINT = "x-length-hint"
PREFIX = "x-prefix-hash"
LAST_EVENT_ID = "last-event-id"
NOT_EXECUTED = "x-not-executed"
DIGEST = "x-response-sig"
EVENT_STREAM = "text/event-stream"
# Only the system may set these towards an upstream, whatever a caller sent.
SYSTEM_HEADERS = frozenset(
    (
        DEADLINE,
        ACCOUNT_KEY,
        ACCOUNT,
        INSTANCE,
        LAST_EVENT_ID,
        "x-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
    )
)
HASH_BYTES = 7
NUMBER = re.compile(r"([0-9]{1,15})(?:\.[0-9]*)?")


class PlatformRequestCodec:
    """Translates between the platform's HTTP and the product's types."""

    def request_id(self, http: HttpRequest) -> str:
        """Return the id that a caller gave its request; empty if none."""
        return http.header(ATTEMPT_ID)

    def parse_request(
        self, http: HttpRequest, default_deadline_ms: int
    ) -> RoutedRequest:
        """Decode a caller's request.

        :raises InvalidRequest: if it has no id, or a count that is no number.
        """
        request_id = self.request_id(http)
        if not request_id:
            raise InvalidRequest("the request has no X-Attempt-Id")
        prompt_tokens, most_output_tokens = _token_count(http)
        prefix = _prefix(http.header(PREFIX))
        counted = http.header(TOKEN_COUNT)
        return RoutedRequest(
            request_id=request_id,
            host=http.header("host"),
            key=http.header(ACCOUNT_KEY),
            deadline_ms=_number(http, DEADLINE, default_deadline_ms),
            prompt_tokens=prompt_tokens,
            output_tokens=_number(http, LENGTH_HINT, most_output_tokens),
            allowance_tokens=prompt_tokens + most_output_tokens if counted else None,
            prefix_hashes=tuple([part_hash for part_hash, _ in prefix]),
            prefix_tokens=tuple([tokens for _, tokens in prefix]),
            last_event_id=http.header(LAST_EVENT_ID),
            http=http,
        )

    def upstream_headers(
        self,
        request: RoutedRequest,
        account: RoutedAccount | None,
        upstream: str,
        remaining_ms: int,
        last_event_id: str,
    ) -> list[tuple[str, str]]:
        """Return the header fields for an upstream."""
        fields: list[tuple[str, str]] = [
            field for field in request.http.headers if field.name not in SYSTEM_HEADERS
        ]
        fields.append((DEADLINE, str(remaining_ms)))
        fields.append((INSTANCE, upstream))
        if account is not None:
            fields.append((ACCOUNT, account.name))
        if last_event_id:
            fields.append((LAST_EVENT_ID, last_event_id))
        return fields

    def classify_answer(
        self, request: RoutedRequest, answer: UpstreamAnswer
    ) -> AnswerKind:
        """Tell what an upstream's answer is."""
        if answer.status_code == HTTPStatus.MISDIRECTED_REQUEST:
            return AnswerKind.OTHER_UPSTREAM
        if answer.header(NOT_EXECUTED):
            return AnswerKind.REJECTED
        if answer.header(ATTEMPT_ID, request.request_id) != request.request_id:
            return AnswerKind.MISMATCHED
        if answer.header("content-encoding"):
            return AnswerKind.MISMATCHED
        if answer.status_code >= HTTPStatus.BAD_REQUEST:
            return AnswerKind.FAILURE
        if not answer.header(DIGEST):
            return AnswerKind.MISMATCHED
        if answer.header("content-type").startswith(EVENT_STREAM):
            return AnswerKind.EVENT_STREAM
        return AnswerKind.COMPLETE

    def retry_after_header(self, retry_after_ms: int) -> Header:
        """Return the header field that says when to come back, in seconds."""
        return Header("retry-after", f"{retry_after_ms / 1000:.3f}")


def _token_count(http: HttpRequest) -> tuple[int, int]:
    text = http.header(TOKEN_COUNT)
    if not text:
        return 0, 0
    first, _, second = text.partition(",")
    return _digits(first, TOKEN_COUNT), _digits(second or "0", TOKEN_COUNT)


def _prefix(text: str) -> list[tuple[int, int]]:
    """Decode ``ID:TOKENS`` entries; each hash stands for all parts up to its own."""
    parts = []
    digest = hashlib.blake2b(digest_size=HASH_BYTES)
    for entry in text.split(",") if text else ():
        part, _, tokens = entry.strip().partition(":")
        digest.update(f"{part},".encode())
        chained = int.from_bytes(digest.digest(), "big")
        parts.append((chained, _digits(tokens, PREFIX)))
    return parts


def _number(http: HttpRequest, name: str, default: int) -> int:
    text = find_header(http.headers, name)
    return _digits(text, name) if text else default


def _digits(text: str, name: str) -> int:
    found = NUMBER.fullmatch(text.strip())
    if found is None:
        raise InvalidRequest(f"{name} is not a number")
    return int(found[1])
