"""Routed requests as the gateway needs them, and the seam to a platform's HTTP."""

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from .core.routes import Route, RoutedAccount
from .http_client import UpstreamAnswer
from .http_messages import Header, HttpRequest


class AnswerKind(Enum):
    """Names what an upstream's answer is."""

    COMPLETE = auto()
    EVENT_STREAM = auto()
    FAILURE = auto()
    REJECTED = auto()
    OTHER_UPSTREAM = auto()
    MISMATCHED = auto()


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """Is a caller's request as the routes need it.

    :param request_id: the caller's id of this attempt.
    :param host: that the caller named.
    :param key: that the caller showed; empty if none.
    :param deadline_ms: how long the caller waits.
    :param output_tokens: that the answer is expected to have.
    :param allowance_tokens: what the request takes of an allowance in tokens; None
        if the caller gave no count.
    :param last_event_id: after which a stream is to go on; empty for a new one.
    """

    request_id: str
    host: str
    key: str
    deadline_ms: int
    prompt_tokens: int
    output_tokens: int
    allowance_tokens: int | None
    prefix_hashes: tuple[int, ...]
    prefix_tokens: tuple[int, ...]
    last_event_id: str
    http: HttpRequest


class RequestCodec(Protocol):
    """Translates between a platform's HTTP and the product's types."""

    def request_id(self, http: HttpRequest) -> str:
        """Return the id that a caller gave its request; empty if none."""

    def parse_request(
        self, http: HttpRequest, default_deadline_ms: int
    ) -> RoutedRequest:
        """Decode a caller's request.

        :raises InvalidRequest: if it can't be understood.
        """

    def upstream_headers(
        self,
        request: RoutedRequest,
        account: RoutedAccount | None,
        upstream: str,
        remaining_ms: int,
        last_event_id: str,
    ) -> list[tuple[str, str]]:
        """Return the header fields for an upstream."""

    def classify_answer(
        self, request: RoutedRequest, answer: UpstreamAnswer
    ) -> AnswerKind:
        """Tell what an upstream's answer is."""

    def retry_after_header(self, retry_after_ms: int) -> Header:
        """Return the header field that says when to come back."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """Is a request with its route, service and account.

    :param end_ms: when the caller must have its answer, on the monotonic clock.
    """

    request: RoutedRequest
    route: Route
    service: str
    account: RoutedAccount | None
    began_ms: int
    end_ms: int
    tier: int
    tokens_per_event: int
