"""Types of routed requests, and the interface to a platform's HTTP conventions."""

from dataclasses import dataclass
from typing import Protocol

from .core.routes import Route, RoutedAccount, RouteKind
from .core.upstream_answers import AnswerHead
from .http_client import UpstreamAnswer
from .http_messages import Header, HttpRequest

END_MARGIN_MS = 30


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """Decoded request of a caller to a route.

    :param request_id: the caller's id of this attempt.
    :param host: value of the caller's Host header.
    :param key: API key of the caller; empty if there is none.
    :param deadline_ms: time that the caller allows for the answer.
    :param prompt_tokens: length of the prompt; 0 if unknown.
    :param output_tokens: expected length of the answer.
    :param allowance_tokens: tokens charged to the account's allowance; None if the
        caller gave no count.
    :param prefix_hashes: hashes of the prompt's prefixes.
    :param prefix_tokens: lengths of the prompt's prefixes.
    :param last_event_id: id of the event after which to resume a stream; empty for
        a new stream.
    :param resumed_stream_id: id of the caller's attempt that began the stream to
        resume; empty for a new stream, or if the caller did not name it.
    :param http: the HTTP request.
    :param shared_parts: hashes of the parts of the prompt that other requests may
        have too, each by itself.
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
    resumed_stream_id: str
    http: HttpRequest
    shared_parts: tuple[int, ...] = ()

    @property
    def is_resumed(self) -> bool:
        """Return whether the caller says that it has events of the stream already."""
        return bool(self.last_event_id or self.resumed_stream_id)


@dataclass(frozen=True, slots=True)
class UpstreamNotice:
    """What an upstream says of itself in the header of an answer.

    :param is_leaving: whether it is leaving.
    :param retry_after_ms: time for which it wants no requests of this host; 0 if it
        doesn't say so.
    :param requests_per_s: requests a second that it takes from all hosts together;
        negative if it names no limit, None if what it names can't be read.
    :param rejections_per_s: rejections in a second at which it falls over if there are
        more; negative if it doesn't say so.
    """

    is_leaving: bool = False
    retry_after_ms: int = 0
    requests_per_s: float | None = None
    rejections_per_s: float = -1.0


class RequestCodec(Protocol):
    """Codec between a platform's HTTP conventions and this package's types."""

    def request_id(self, http: HttpRequest) -> str:
        """Return the caller's id of a request; empty if there is none."""

    def parse_request(
        self, http: HttpRequest, default_deadline_ms: int
    ) -> RoutedRequest:
        """Decode a caller's request.

        :param default_deadline_ms: time limit if the caller gives none.
        :raises InvalidRequest: if a header field or the body is invalid.
        """

    def upstream_headers(
        self,
        request: RoutedRequest,
        account: RoutedAccount | None,
        upstream: str,
        remaining_ms: int,
        last_event_id: str,
    ) -> list[tuple[str, str]]:
        """Return the header fields of a request to an upstream.

        :param upstream: name of the upstream.
        :param remaining_ms: time left until the caller's time limit.
        :param last_event_id: id of the event after which to resume a stream; empty
            for a new stream.
        """

    def read_head(self, request: RoutedRequest, answer: UpstreamAnswer) -> AnswerHead:
        """Return what the status and header fields of an answer say."""

    def read_notice(self, answer: UpstreamAnswer) -> UpstreamNotice:
        """Return what the upstream says of itself in an answer."""

    def retry_after_header(self, retry_after_ms: int) -> Header:
        """Return the header field with the time to wait before a retry."""


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """Decoded request with its route, service and account.

    :param account: account of the caller; None if the route needs none.
    :param began_ms: arrival time of the first byte, on the monotonic clock.
    :param end_ms: deadline for the answer, on the monotonic clock.
    :param tier: effective priority tier; 1 is the highest.
    :param tokens_per_event: tokens that an event of a stream counts for.
    """

    request: RoutedRequest
    route: Route
    service: str
    account: RoutedAccount | None
    began_ms: int
    end_ms: int
    tier: int
    tokens_per_event: int

    def remaining_ms(self, at_ms: int) -> int:
        """Return the time left for the answer, less a margin for passing it on.

        :param at_ms: time on the monotonic clock.
        """
        return self.end_ms - END_MARGIN_MS - at_ms

    @property
    def is_resumed(self) -> bool:
        """Return whether the caller has events of the requested stream already."""
        return self.route.kind is RouteKind.STREAMING and self.request.is_resumed

    @property
    def stream_id(self) -> str:
        """Return the id of the attempt that began the stream; empty if unknown.

        It is also empty if the request is no stream that may be resumed.
        """
        if self.is_resumed:
            return self.request.resumed_stream_id
        return self.request.request_id if self.route.is_resumable else ""
