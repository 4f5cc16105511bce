"""HTTP pages of the admin address: state, metrics and health of one process."""

import hmac
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, unquote

from pydantic import BaseModel

from .admin_messages import ProblemBody
from .dump import MAX_ITEMS, dump
from .http_messages import Header
from .http_server import Exchange, HttpRequest
from .logs import write
from .metrics import METRICS_TYPE, Metrics

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
TEXT_TYPE = "text/plain; charset=utf-8"
BEARER = "bearer "
MAX_DUMP_ITEMS = 10_000


@dataclass(frozen=True, slots=True)
class AdminAnswer:
    """Complete HTTP response of an admin page."""

    status_code: int
    body: bytes
    content_type: str = JSON_TYPE
    headers: tuple[Header, ...] = ()


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """Request that passed the token check, or that needs no token.

    :param argument: the part of the path that matched ``{}`` in the route's path.
    """

    http: HttpRequest
    argument: str = ""

    def read_number(self, name: str, default: int) -> int | None:
        """Read a decimal number from the query string.

        :param default: value to return if the parameter is missing.
        :return: the number; None if the value is not a decimal number.
        """
        values = parse_qs(self.http.query).get(name)
        if values is None:
            return default
        return int(values[0]) if values[0].isdecimal() else None


PageHandler = Callable[[AdminRequest], Awaitable[AdminAnswer]]


@dataclass(frozen=True, slots=True)
class Route:
    """Mapping of a method and a path to a page handler.

    :param path: path of the page, in which ``{}`` matches one argument.
    :param is_public: whether the page is served without a token.
    """

    method: str
    path: str
    page: PageHandler
    is_public: bool = False
    pattern: re.Pattern = field(init=False)

    def __post_init__(self):
        pattern = re.escape(self.path).replace(r"\{\}", "([^/]+)")
        object.__setattr__(self, "pattern", re.compile(pattern))


def build_json_answer(body: BaseModel, status_code: int = HTTPStatus.OK) -> AdminAnswer:
    """Build a JSON response from a model."""
    return AdminAnswer(int(status_code), body.model_dump_json().encode())


def build_problem_answer(
    status_code: int,
    detail: str,
    *,
    leader: str = "",
    faults: tuple = (),
    headers: tuple[Header, ...] = (),
) -> AdminAnswer:
    """Build an error response of type ``application/problem+json``."""
    body = ProblemBody(
        title=HTTPStatus(status_code).phrase,
        status=int(status_code),
        detail=detail,
        leader=leader,
        faults=faults,
    )
    content = body.model_dump_json().encode()
    return AdminAnswer(int(status_code), content, PROBLEM_TYPE, headers)


class AdminPages:
    """Router of the admin address, used as a handler for ``HttpServer``.

    :param token: bearer token that operators must send.
    :param state: function that returns the state that ``/state`` dumps.
    :param metrics: metrics of the process.
    :param is_ready: function that returns whether the process accepts requests.

    Usage::

        pages = AdminPages(token, lambda: role, metrics, lambda: True)
        pages.add("GET", "/status", status_page)
        server = HttpServer(pages.handle)
    """

    def __init__(
        self,
        token: str,
        state: Callable[[], Any],
        metrics: Metrics,
        is_ready: Callable[[], bool],
    ):
        self._token = token.encode()
        self._state = state
        self._metrics = metrics
        self._is_ready = is_ready
        self._routes: list[Route] = []
        self.add("GET", "/healthz", self._show_health, is_public=True)
        self.add("GET", "/readyz", self._show_readiness, is_public=True)
        self.add("GET", "/state", self._show_state)
        self.add("GET", "/metrics", self._show_metrics)

    def add(
        self, method: str, path: str, page: PageHandler, is_public: bool = False
    ) -> None:
        """Add a page.

        :param path: path of the page, in which ``{}`` matches one argument.
        :param is_public: whether the page is served without a token.
        """
        self._routes.append(Route(method, path, page, is_public))

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request on its connection.

        :raises CallerGone: if the operator has closed the connection.
        """
        answer = await self.answer(exchange.request)
        headers = [Header("content-type", answer.content_type), *answer.headers]
        await exchange.respond(answer.status_code, headers, answer.body)

    async def answer(self, request: HttpRequest) -> AdminAnswer:
        """Route one request and return the response."""
        matching = [r for r in self._routes if r.pattern.fullmatch(request.path)]
        is_public = any(route.is_public for route in matching)
        if not is_public and not self._has_token(request):
            write("operator_refused", method=request.method, path=request.path)
            challenge = Header("www-authenticate", "Bearer")
            return build_problem_answer(
                HTTPStatus.UNAUTHORIZED,
                "a valid token is required",
                headers=(challenge,),
            )
        if not matching:
            return build_problem_answer(HTTPStatus.NOT_FOUND, "no such page")
        route = next((r for r in matching if r.method == request.method), None)
        if route is None:
            allowed = Header("allow", ", ".join(sorted({r.method for r in matching})))
            return build_problem_answer(
                HTTPStatus.METHOD_NOT_ALLOWED, "method not allowed", headers=(allowed,)
            )
        argument = "".join(route.pattern.fullmatch(request.path).groups())
        return await route.page(AdminRequest(request, unquote(argument)))

    def _has_token(self, request: HttpRequest) -> bool:
        value = request.header("authorization")
        if not value.lower().startswith(BEARER):
            return False
        presented = value[len(BEARER) :].strip().encode()
        return hmac.compare_digest(presented, self._token)

    async def _show_health(self, request: AdminRequest) -> AdminAnswer:
        return AdminAnswer(HTTPStatus.OK, b"ok\n", TEXT_TYPE)

    async def _show_readiness(self, request: AdminRequest) -> AdminAnswer:
        if self._is_ready():
            return AdminAnswer(HTTPStatus.OK, b"ready\n", TEXT_TYPE)
        return AdminAnswer(HTTPStatus.SERVICE_UNAVAILABLE, b"not ready\n", TEXT_TYPE)

    async def _show_state(self, request: AdminRequest) -> AdminAnswer:
        max_items = request.read_number("max_items", MAX_ITEMS)
        if max_items is None or not 1 <= max_items <= MAX_DUMP_ITEMS:
            detail = f"max_items must be a number from 1 to {MAX_DUMP_ITEMS}"
            return build_problem_answer(HTTPStatus.BAD_REQUEST, detail)
        write("state_dumped")
        return AdminAnswer(HTTPStatus.OK, dump(self._state(), max_items))

    async def _show_metrics(self, request: AdminRequest) -> AdminAnswer:
        return AdminAnswer(HTTPStatus.OK, self._metrics.render(), METRICS_TYPE)
