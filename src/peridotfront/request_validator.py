"""Checks a caller's HTTP request and turns it into a request of the core."""

import hashlib
import hmac
import json
from dataclasses import dataclass
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
    """Is one message of a chat."""

    model_config = ConfigDict(extra="allow")

    role: str
    content: str


class CompletionBody(BaseModel):
    """Is what the scheduler reads of a completion request."""

    model_config = ConfigDict(extra="allow")

    model: str = Field(min_length=1, max_length=200)
    prompt: str = ""
    messages: tuple[ChatMessage, ...] = ()
    max_tokens: int = Field(default=DEFAULT_OUTPUT_TOKENS, ge=1, le=MAX_OUTPUT_TOKENS)
    stream: bool = False

    @property
    def full_prompt(self) -> str:
        """Return the prompt that the model sees."""
        if not self.messages:
            return self.prompt
        return chat_prompt([(m.role, m.content) for m in self.messages])


@dataclass(frozen=True, slots=True)
class Admission:
    """Is a checked request and what is needed to send it on.

    :param account: who asks.
    :param target: path and query at the upstream.
    :param is_stream: whether the caller wants the tokens as they come.
    :param timeout_ms: for the call of a plain service.
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
    """Checks requests against the configuration in force.

    :param deadline_ms: how long a request may wait unless the caller says less.
    """

    def __init__(self, fleet: Fleet, deadline_ms: int):
        self.deadline_ms = deadline_ms
        self.use(fleet)

    def use(self, fleet: Fleet) -> None:
        """Check requests against a new configuration from now on."""
        self._accounts = {one.key_sha256: one for one in fleet.accounts}
        self._services = {one.name: one for one in fleet.services}
        self._models = {
            model for upstream in fleet.upstreams for model in upstream.models
        }

    def admit(self, http: HttpRequest, request_id: str) -> Admission:
        """Check one request.

        :raises RequestRefused: with the status and the refusal for the caller.
        """
        account = self._authenticate(http)
        if http.path in COMPLETION_PATHS:
            if http.method != "POST":
                raise _refused(HTTPStatus.METHOD_NOT_ALLOWED, Reason.INVALID_REQUEST)
            return self._admit_completion(http, account, request_id)
        if http.path.startswith(SERVICE_PREFIX):
            return self._admit_call(http, account, request_id)
        raise _refused(HTTPStatus.NOT_FOUND, Reason.NOT_FOUND, "no such path")

    def _authenticate(self, http: HttpRequest) -> AccountSpec:
        scheme, _, key = http.header("authorization").partition(" ")
        if scheme.lower() != "bearer" or not key:
            raise _refused(
                HTTPStatus.UNAUTHORIZED, Reason.UNAUTHENTICATED, "no bearer key"
            )
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        account = self._accounts.get(digest)
        if account is None or not hmac.compare_digest(account.key_sha256, digest):
            raise _refused(
                HTTPStatus.UNAUTHORIZED, Reason.UNAUTHENTICATED, "unknown key"
            )
        return account

    def _admit_completion(
        self, http: HttpRequest, account: AccountSpec, request_id: str
    ) -> Admission:
        content = _json(http)
        body = _checked_body(content)
        if body.model not in self._models:
            raise _refused(HTTPStatus.NOT_FOUND, Reason.NOT_FOUND, "unknown model")
        prompt = body.full_prompt
        canonical = json.dumps(content, sort_keys=True).encode()
        request = Request(
            request_id=request_id,
            key=_key(http, account, "model"),
            fingerprint=fingerprint(http.path.encode(), canonical),
            client_account=account.name,
            tier=_tier(http, account),
            kind=UpstreamKind.ENGINE,
            service="",
            model=body.model,
            prompt_tokens=count_tokens(prompt),
            output_tokens=body.max_tokens,
            prefix_hashes=block_hashes(prompt),
            deadline_ms=self._deadline_ms(http),
            is_idempotent=True,
            attempt=_attempt(http),
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

    def _admit_call(
        self, http: HttpRequest, account: AccountSpec, request_id: str
    ) -> Admission:
        name, separator, _ = http.path[len(SERVICE_PREFIX) :].partition("/")
        service = self._services.get(name)
        if service is None:
            raise _refused(HTTPStatus.NOT_FOUND, Reason.NOT_FOUND, "unknown service")
        target = http.target[len(SERVICE_PREFIX) + len(name) :] if separator else "/"
        is_idempotent = http.method not in service.non_idempotent_methods
        key = _key(http, account, f"service/{name}")
        if not is_idempotent and not key:
            detail = f"{http.method} calls of this service need an Idempotency-Key"
            raise _refused(HTTPStatus.BAD_REQUEST, Reason.KEY_REQUIRED, detail)
        request = self._call_request(http, account, service, request_id)
        return Admission(
            request=request,
            account=account,
            method=http.method,
            target=target,
            content_type=http.header("content-type", "application/octet-stream"),
            body=http.body,
            timeout_ms=service.timeout_ms,
        )

    def _call_request(
        self,
        http: HttpRequest,
        account: AccountSpec,
        service: ServiceSpec,
        request_id: str,
    ) -> Request:
        is_idempotent = http.method not in service.non_idempotent_methods
        key = "" if is_idempotent else _key(http, account, f"service/{service.name}")
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
            attempt=_attempt(http),
        )

    def _deadline_ms(self, http: HttpRequest) -> int:
        asked_ms = _number(http, DEADLINE_HEADER, self.deadline_ms)
        return min(asked_ms, self.deadline_ms)


def _json(http: HttpRequest) -> Any:
    try:
        return http.json()
    except InvalidRequest as error:
        raise _refused(
            HTTPStatus.BAD_REQUEST, Reason.INVALID_REQUEST, str(error)
        ) from error


def _checked_body(content: Any) -> CompletionBody:
    try:
        return CompletionBody.model_validate(content)
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        detail = f"{place}: {first['msg']}"
        raise _refused(
            HTTPStatus.UNPROCESSABLE_ENTITY, Reason.INVALID_REQUEST, detail
        ) from error


def _key(http: HttpRequest, account: AccountSpec, target: str) -> str:
    key = http.header(KEY_HEADER)
    if not key:
        return ""
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
        detail = f"Idempotency-Key must have at most {MAX_KEY_CHARACTERS} characters"
        raise _refused(HTTPStatus.BAD_REQUEST, Reason.INVALID_REQUEST, detail)
    return f"{account.name}/{target}/{key}"


def _tier(http: HttpRequest, account: AccountSpec) -> int:
    tier = _number(http, TIER_HEADER, account.highest_tier)
    if tier < account.highest_tier:
        detail = f"this account may ask for tier {account.highest_tier} at most"
        raise _refused(HTTPStatus.FORBIDDEN, Reason.FORBIDDEN, detail)
    return tier


def _attempt(http: HttpRequest) -> int:
    return _number(http, ATTEMPT_HEADER, 1)


def _number(http: HttpRequest, name: str, default: int) -> int:
    text = http.header(name)
    if not text:
        return default
    if not (text.isascii() and text.isdigit() and len(text) <= 9 and int(text) > 0):
        detail = f"{name} must be a whole number above 0"
        raise _refused(HTTPStatus.BAD_REQUEST, Reason.INVALID_REQUEST, detail)
    return int(text)


def _refused(status_code: int, reason: Reason, detail: str = "") -> RequestRefused:
    refusal = Refusal(Verdict.NOT_RUN, reason, detail=detail)
    return RequestRefused(status_code, refusal)
