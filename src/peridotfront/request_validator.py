"""Validation of callers' HTTP requests and conversion to requests of the core."""

import hashlib
import hmac
import json
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .core.fleet import AccountSpec, Fleet, ServiceSpec, UpstreamKind
from .core.requests import Request
from .core.verdicts import Reason, Refusal, Verdict
from .exceptions import InvalidRequest, RequestRefused
from .http_messages import HttpRequest
from .prompts import block_hashes, chat_prompt, count_tokens, fingerprint

COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICE_PREFIX = "/services/"
KEY_HEADER = "idempotency-key"
TIER_HEADER = "peridotfront-tier"
ATTEMPT_HEADER = "peridotfront-attempt"
DEADLINE_HEADER = "peridotfront-deadline-ms"
MAX_KEY_CHARACTERS = 200
MAX_OUTPUT_TOKENS = 1_000_000
DEFAULT_OUTPUT_TOKENS = 256


class ChatMessage(BaseModel):
    """One message of a chat."""

    model_config = ConfigDict(extra="allow")

    role: str
    content: str


class CompletionBody(BaseModel):
    """Fields of a completion request that the scheduler reads."""

    model_config = ConfigDict(extra="allow")

    model: str = Field(min_length=1, max_length=200)
    prompt: str = ""
    messages: tuple[ChatMessage, ...] = ()
    max_tokens: int = Field(default=DEFAULT_OUTPUT_TOKENS, ge=1, le=MAX_OUTPUT_TOKENS)
    stream: bool = False

    @property
    def full_prompt(self) -> str:
        """Return the prompt, or the chat messages as one prompt."""
        if not self.messages:
            return self.prompt
        return chat_prompt([(m.role, m.content) for m in self.messages])


@dataclass(frozen=True, slots=True)
class Admission:
    """Validated request with the data to send it to an upstream.

    :param request: request of the core.
    :param account: account of the caller.
    :param method: HTTP method.
    :param target: path and query at the upstream.
    :param is_stream: whether the caller asks for a stream of tokens.
    :param timeout_ms: time limit for a call to a plain service.
    """

    request: Request
    account: AccountSpec
    method: str
    target: str
    content_type: str
    body: bytes
    is_stream: bool = False
    timeout_ms: int = 0


class RequestValidator:
    """Validator of requests against the current configuration.

    :param fleet: the first configuration.
    :param deadline_ms: time that a request may wait for its dispatch; callers can set
        a lower limit.
    """

    def __init__(self, fleet: Fleet, deadline_ms: int):
        self.deadline_ms = deadline_ms
        self.apply_fleet(fleet)

    def apply_fleet(self, fleet: Fleet) -> None:
        """Replace the configuration."""
        self._accounts = {account.key_sha256: account for account in fleet.accounts}
        self._services = {service.name: service for service in fleet.services}
        self._models = {
            model for upstream in fleet.upstreams for model in upstream.models
        }

    def admit(self, http: HttpRequest, request_id: str) -> Admission:
        """Validate one request.

        :raises RequestRefused: if the request is invalid, with the HTTP status and
            the refusal for the caller.
        """
        try:
            return self._admit(http, request_id)
        except RequestRefused as error:
            if not _is_marked_repeat(http):
                raise
            # An earlier attempt may have run, such as before the configuration changed.
            refusal = replace(error.refusal, verdict=Verdict.MAY_HAVE_RUN)
            raise RequestRefused(error.status_code, refusal) from error

    def _admit(self, http: HttpRequest, request_id: str) -> Admission:
        account = self._authenticate(http)
        if http.path in COMPLETION_PATHS:
            if http.method != "POST":
                raise _refusal_error(
                    HTTPStatus.METHOD_NOT_ALLOWED, Reason.INVALID_REQUEST
                )
            return self._admit_completion(http, account, request_id)
        if http.path.startswith(SERVICE_PREFIX):
            return self._admit_service_call(http, account, request_id)
        raise _refusal_error(HTTPStatus.NOT_FOUND, Reason.NOT_FOUND, "no such path")

    def _authenticate(self, http: HttpRequest) -> AccountSpec:
        scheme, _, key = http.header("authorization").partition(" ")
        if scheme.lower() != "bearer" or not key:
            raise _refusal_error(
                HTTPStatus.UNAUTHORIZED, Reason.UNAUTHENTICATED, "no bearer key"
            )
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        account = self._accounts.get(digest)
        if account is None or not hmac.compare_digest(account.key_sha256, digest):
            raise _refusal_error(
                HTTPStatus.UNAUTHORIZED, Reason.UNAUTHENTICATED, "unknown key"
            )
        return account

    def _admit_completion(
        self, http: HttpRequest, account: AccountSpec, request_id: str
    ) -> Admission:
        content = _parse_json_body(http)
        body = _validate_body(content)
        if body.model not in self._models:
            raise _refusal_error(
                HTTPStatus.NOT_FOUND, Reason.NOT_FOUND, "unknown model"
            )
        prompt = body.full_prompt
        canonical = json.dumps(content, sort_keys=True).encode()
        request = Request(
            request_id=request_id,
            key=_idempotency_key(http, account, "model"),
            fingerprint=fingerprint(http.path.encode(), canonical),
            client_account=account.name,
            tier=_requested_tier(http, account),
            kind=UpstreamKind.ENGINE,
            service="",
            model=body.model,
            prompt_tokens=count_tokens(prompt),
            output_tokens=body.max_tokens,
            prefix_hashes=block_hashes(prompt),
            deadline_ms=self._deadline_ms(http),
            is_idempotent=True,
            attempt=_attempt_number(http),
        )
        return Admission(
            request=request,
            account=account,
            method="POST",
            target=http.target,
            content_type="application/json",
            body=http.body,
            is_stream=body.stream,
        )

    def _admit_service_call(
        self, http: HttpRequest, account: AccountSpec, request_id: str
    ) -> Admission:
        name, separator, _ = http.path[len(SERVICE_PREFIX) :].partition("/")
        service = self._services.get(name)
        if service is None:
            raise _refusal_error(
                HTTPStatus.NOT_FOUND, Reason.NOT_FOUND, "unknown service"
            )
        target = http.target[len(SERVICE_PREFIX) + len(name) :] if separator else "/"
        is_idempotent = http.method not in service.non_idempotent_methods
        key = _idempotency_key(http, account, f"service/{name}")
        if not is_idempotent and not key:
            detail = f"{http.method} calls of this service need an Idempotency-Key"
            raise _refusal_error(HTTPStatus.BAD_REQUEST, Reason.KEY_REQUIRED, detail)
        request = self._build_service_request(http, account, service, request_id)
        return Admission(
            request=request,
            account=account,
            method=http.method,
            target=target,
            content_type=http.header("content-type", "application/octet-stream"),
            body=http.body,
            timeout_ms=service.timeout_ms,
        )

    def _build_service_request(
        self,
        http: HttpRequest,
        account: AccountSpec,
        service: ServiceSpec,
        request_id: str,
    ) -> Request:
        is_idempotent = http.method not in service.non_idempotent_methods
        key = (
            ""
            if is_idempotent
            else _idempotency_key(http, account, f"service/{service.name}")
        )
        parts = (http.method.encode(), http.target.encode(), http.body)
        return Request(
            request_id=request_id,
            key=key,
            fingerprint=fingerprint(*parts),
            client_account=account.name,
            tier=max(service.tier, account.highest_tier),
            kind=UpstreamKind.SERVICE,
            service=service.name,
            model="",
            prompt_tokens=0,
            output_tokens=0,
            prefix_hashes=(),
            deadline_ms=self._deadline_ms(http),
            is_idempotent=is_idempotent,
            is_repeatable=is_idempotent,
            attempt=_attempt_number(http),
        )

    def _deadline_ms(self, http: HttpRequest) -> int:
        requested_ms = _read_positive_integer(http, DEADLINE_HEADER, self.deadline_ms)
        return min(requested_ms, self.deadline_ms)


def _parse_json_body(http: HttpRequest) -> Any:
    try:
        return http.json()
    except InvalidRequest as error:
        raise _refusal_error(
            HTTPStatus.BAD_REQUEST, Reason.INVALID_REQUEST, str(error)
        ) from error


def _validate_body(content: Any) -> CompletionBody:
    try:
        return CompletionBody.model_validate(content)
    except ValidationError as error:
        first = error.errors()[0]
        location = ".".join(str(part) for part in first["loc"])
        detail = f"{location}: {first['msg']}"
        raise _refusal_error(
            HTTPStatus.UNPROCESSABLE_ENTITY, Reason.INVALID_REQUEST, detail
        ) from error


def _idempotency_key(http: HttpRequest, account: AccountSpec, target: str) -> str:
    key = http.header(KEY_HEADER)
    if not key:
        return ""
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
        detail = f"Idempotency-Key must have at most {MAX_KEY_CHARACTERS} characters"
        raise _refusal_error(HTTPStatus.BAD_REQUEST, Reason.INVALID_REQUEST, detail)
    return f"{account.name}/{target}/{key}"


def _requested_tier(http: HttpRequest, account: AccountSpec) -> int:
    tier = _read_positive_integer(http, TIER_HEADER, account.highest_tier)
    if tier < account.highest_tier:
        detail = f"this account may ask for tier {account.highest_tier} at most"
        raise _refusal_error(HTTPStatus.FORBIDDEN, Reason.FORBIDDEN, detail)
    return tier


def _is_marked_repeat(http: HttpRequest) -> bool:
    """Return whether a request has a key and is not marked as a first attempt."""
    has_key = bool(http.header(KEY_HEADER))
    return has_key and http.header(ATTEMPT_HEADER, "1") != "1"


def _attempt_number(http: HttpRequest) -> int:
    return _read_positive_integer(http, ATTEMPT_HEADER, 1)


def _read_positive_integer(http: HttpRequest, name: str, default: int) -> int:
    text = http.header(name)
    if not text:
        return default
    if not (text.isascii() and text.isdigit() and len(text) <= 9 and int(text) > 0):
        detail = f"{name} must be a whole number above 0"
        raise _refusal_error(HTTPStatus.BAD_REQUEST, Reason.INVALID_REQUEST, detail)
    return int(text)


def _refusal_error(
    status_code: int, reason: Reason, detail: str = ""
) -> RequestRefused:
    refusal = Refusal(Verdict.NOT_RUN, reason, detail=detail)
    return RequestRefused(status_code, refusal)
