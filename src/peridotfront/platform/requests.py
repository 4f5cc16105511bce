"""Codec for the header fields of the platform's requests and answers."""

import hashlib
import re
from http import HTTPStatus
from math import ceil

from ..core.routes import RoutedAccount
from ..core.upstream_answers import AnswerHead, AnswerOwner, ExecutionMark
from ..core.upstream_limits import NO_LIMIT
from ..exceptions import InvalidRequest
from ..http_client import UpstreamAnswer
from ..http_messages import Header, HttpRequest, find_header, is_event_stream
from ..routed_requests import RoutedRequest, UpstreamNotice

ATTEMPT_ID = "x-attempt-id"
DEADLINE = "x-deadline-ms"
ACCOUNT_KEY = "api-key"
ACCOUNT = "x-tenant"
INSTANCE = "x-expect-instance"
TOKEN_COUNT = "x-token-count"
LENGTH_HINT = "x-length-hint"
PREFIX = "x-prefix-hash"
LAST_EVENT_ID = "last-event-id"
RESUMES = "resumes"
LEAVING = "server-leaving"
LIMIT = "server-limit"
BRITTLE = "server-brittle"
RETRY_AFTER = "retry-after"
NOT_EXECUTED = "x-not-executed"
DIGEST = "x-response-sig"
POSITIVE_MARKS = frozenset(("1", "true"))
# Header fields of a caller that are not forwarded: only peridotfront may set them
# in a request to an upstream.
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
SECONDS = re.compile(r"[0-9]{1,9}(?:\.[0-9]*)?")
DECIMAL = re.compile(r"(?:[0-9]{1,9}(?:\.[0-9]*)?|\.[0-9]+)")
NUMBER = re.compile(r"([0-9]{1,15})(?:\.[0-9]*)?")


class PlatformRequestCodec:
    """Translator between the platform's HTTP and peridotfront's types."""

    def request_id(self, http: HttpRequest) -> str:
        """Return the id that the caller gave its request; empty if it gave none."""
        return http.header(ATTEMPT_ID)

    def parse_request(
        self, http: HttpRequest, default_deadline_ms: int
    ) -> RoutedRequest:
        """Parse a caller's request.

        :param default_deadline_ms: deadline of a request that states none.
        :raises InvalidRequest: if it has no id, or a value that is not a number.
        """
        request_id = self.request_id(http)
        if not request_id:
            raise InvalidRequest("the request has no X-Attempt-Id")
        prompt_tokens, max_output_tokens = _parse_token_counts(http)
        prefix = _parse_prefix(http.header(PREFIX))
        token_count = http.header(TOKEN_COUNT)
        return RoutedRequest(
            request_id=request_id,
            host=http.header("host"),
            key=http.header(ACCOUNT_KEY),
            deadline_ms=_read_number(http, DEADLINE, default_deadline_ms),
            prompt_tokens=prompt_tokens,
            output_tokens=_read_number(http, LENGTH_HINT, max_output_tokens),
            allowance_tokens=prompt_tokens + max_output_tokens if token_count else None,
            prefix_hashes=tuple([segment_hash for segment_hash, _ in prefix]),
            prefix_tokens=tuple([tokens for _, tokens in prefix]),
            last_event_id=http.header(LAST_EVENT_ID),
            resumed_stream_id=http.header(RESUMES),
            http=http,
            shared_parts=_parse_shared_parts(http.header(PREFIX)),
        )

    def upstream_headers(
        self,
        request: RoutedRequest,
        account: RoutedAccount | None,
        upstream: str,
        remaining_ms: int,
        last_event_id: str,
    ) -> list[tuple[str, str]]:
        """Build the header fields of a request to an upstream.

        :param remaining_ms: time left until the deadline.
        :param last_event_id: event after which a stream resumes; empty for none.
        """
        fields: list[tuple[str, str]] = [
            field for field in request.http.headers if field.name not in SYSTEM_HEADERS
        ]
        fields.append((DEADLINE, str(remaining_ms)))
        fields.append((INSTANCE, upstream))
        if account is not None:
            fields.append((ACCOUNT, _as_utf8(account.name)))
        if last_event_id:
            fields.append((LAST_EVENT_ID, last_event_id))
        return fields

    def read_head(self, request: RoutedRequest, answer: UpstreamAnswer) -> AnswerHead:
        """Return what the status and header fields of an answer say."""
        return AnswerHead(
            status_code=answer.status_code,
            owner=_owner(request, answer),
            mark=_read_mark(answer),
            has_digest=any(_values(answer, DIGEST)),
            is_encoded=any(_values(answer, "content-encoding")),
            is_event_stream=is_event_stream(answer.headers),
        )

    def read_notice(self, answer: UpstreamAnswer) -> UpstreamNotice:
        """Return what the upstream says of itself in an answer."""
        retry_after_ms = 0
        if answer.status_code == HTTPStatus.SERVICE_UNAVAILABLE:
            retry_after_ms = _parse_seconds(answer.header(RETRY_AFTER))
        is_leaving = answer.header(LEAVING) == "1"
        rejections_per_s = _parse_lowest(answer, BRITTLE)
        return UpstreamNotice(
            is_leaving,
            retry_after_ms,
            _parse_lowest(answer, LIMIT),
            NO_LIMIT if rejections_per_s is None else rejections_per_s,
        )

    def retry_after_header(self, retry_after_ms: int) -> Header:
        """Build the header field with the time to wait before a retry, in seconds."""
        return Header(RETRY_AFTER, f"{retry_after_ms / 1000:.3f}")


def _as_utf8(text: str) -> str:
    """Return a text for a header field: its UTF-8 bytes as Latin-1 characters."""
    return text.encode().decode("latin-1")


def _owner(request: RoutedRequest, answer: UpstreamAnswer) -> AnswerOwner:
    ids = _values(answer, ATTEMPT_ID)
    if not ids:
        return AnswerOwner.NOBODY
    if len(ids) > 1:
        return AnswerOwner.AMBIGUOUS
    return AnswerOwner.REQUEST if ids[0] == request.request_id else AnswerOwner.OTHER


def _read_mark(answer: UpstreamAnswer) -> ExecutionMark:
    fields = _values(answer, NOT_EXECUTED)
    if not fields:
        return ExecutionMark.NONE
    marks = {mark.strip().lower() for field in fields for mark in field.split(",")}
    is_clear = marks <= POSITIVE_MARKS
    return ExecutionMark.NOT_EXECUTED if is_clear else ExecutionMark.UNCLEAR


def _values(answer: UpstreamAnswer, name: str) -> list[str]:
    """Return the values of all header fields with a name in lower case."""
    return [field.value for field in answer.headers if field.name == name]


def _parse_token_counts(http: HttpRequest) -> tuple[int, int]:
    text = http.header(TOKEN_COUNT)
    if not text:
        return 0, 0
    first, _, second = text.partition(",")
    return _parse_number(first, TOKEN_COUNT), _parse_number(second or "0", TOKEN_COUNT)


def _parse_prefix(text: str) -> list[tuple[int, int]]:
    """Parse ``ID:TOKENS`` entries into chained hashes and token counts.

    Each hash covers all segments up to and including its own.
    """
    segments = []
    digest = hashlib.blake2b(digest_size=HASH_BYTES)
    for entry in text.split(",") if text else ():
        segment, _, tokens = entry.strip().partition(":")
        digest.update(f"{segment},".encode())
        chained_hash = int.from_bytes(digest.digest(), "big")
        segments.append((chained_hash, _parse_number(tokens, PREFIX)))
    return segments


def _parse_shared_parts(text: str) -> tuple[int, ...]:
    """Return a hash of each part's ID, but of the last part, which is not shared."""
    ids = [entry.strip().partition(":")[0].lower() for entry in text.split(",")]
    digests = [
        hashlib.blake2b(part_id.encode(), digest_size=HASH_BYTES).digest()
        for part_id in dict.fromkeys(ids[:-1])
    ]
    return tuple([int.from_bytes(digest, "big") for digest in digests])


def _parse_lowest(answer: UpstreamAnswer, name: str) -> float | None:
    """Return the lowest number of a second that a header field of an answer names.

    :return: ``NO_LIMIT`` if it names none; None if one can't be read.
    """
    texts = [text.strip() for text in _values(answer, name)]
    if not all(DECIMAL.fullmatch(text) for text in texts):
        return None
    return min([float(text) for text in texts], default=NO_LIMIT)


def _parse_seconds(text: str) -> int:
    """Return a number of seconds in milliseconds; 0 if it is none, such as a date."""
    match = SECONDS.fullmatch(text.strip())
    return ceil(float(match[0]) * 1000) if match else 0


def _read_number(http: HttpRequest, name: str, default: int) -> int:
    text = find_header(http.headers, name)
    return _parse_number(text, name) if text else default


def _parse_number(text: str, name: str) -> int:
    match = NUMBER.fullmatch(text.strip())
    if match is None:
        raise InvalidRequest(f"{name} is not a number")
    return int(match[1])
