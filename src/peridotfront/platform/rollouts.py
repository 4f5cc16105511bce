"""HTTP endpoint of the platform's operators for rollouts."""

from http import HTTPStatus
from typing import Annotated
from urllib.parse import unquote

from pydantic import AfterValidator, Field, ValidationError

from .. import logs
from ..core.messages import RolloutOrderStatus
from ..exchanges import Exchange
from ..replica_server import ReplicaServer
from .configuration import WireModel, parse_routing
from .upstream_list import Text

ROLLOUTS_PATH = "/peridotfront/rollouts"
JSON_HEADER = ("content-type", "application/json")
TEXT_HEADER = ("content-type", "text/plain")
RETRY_AFTER_HEADER = ("retry-after", "0.5")
MS_PER_S = 1000
MAX_PERIOD_S = 86_400.0
MAX_DETAIL_CHARACTERS = 500


def _check_not_blank(text: str) -> str:
    if not text.strip():
        raise ValueError("is empty")
    return text


Name = Annotated[Text, AfterValidator(_check_not_blank)]


class WireRollout(WireModel):
    """Order of a rollout.

    :param to: software version that the service is moved to.
    """

    model_config = WireModel.model_config | {"strict": True}

    service: Name
    to: Name
    period_s: float = Field(gt=0, le=MAX_PERIOD_S)


class WireRolloutState(WireModel):
    """State of a service's latest rollout."""

    # It is built by the names of its fields; orders are read by their keys only.
    model_config = WireModel.model_config | {"populate_by_name": True}

    state: str
    to: str


class RolloutEndpoint:
    """Orders and states of rollouts.

    :param server: server of the local replica.
    :param is_enabled: whether operators may order rollouts.
    """

    def __init__(self, server: ReplicaServer, is_enabled: bool):
        self._server = server
        self._is_enabled = is_enabled

    async def handle(self, exchange: Exchange) -> None:
        """Answer a request below ``ROLLOUTS_PATH``.

        :raises NotLeader: if this host is not the leader, or lost its quorum.
        """
        request = exchange.request
        service = unquote(request.path[len(ROLLOUTS_PATH) :].lstrip("/"))
        if not self._is_enabled:
            await exchange.respond(HTTPStatus.NOT_FOUND)
        elif not service and request.method == "POST":
            await self._order(exchange)
        elif service and request.method == "GET":
            await self._show(exchange, service)
        elif service and request.method != "POST":
            await exchange.respond(HTTPStatus.METHOD_NOT_ALLOWED)
        else:
            await exchange.respond(HTTPStatus.NOT_FOUND)

    async def _order(self, exchange: Exchange) -> None:
        try:
            order = WireRollout.model_validate_json(exchange.request.body)
        except ValidationError as error:
            detail = str(error.errors(include_input=False, include_url=False))
            await self._refuse(exchange, HTTPStatus.BAD_REQUEST, detail)
            return
        view = await self._server.read()
        if view.current.version == 0:
            await exchange.respond(HTTPStatus.SERVICE_UNAVAILABLE, [RETRY_AFTER_HEADER])
            return
        routing = parse_routing(view.current.content, view.current.version)
        if order.service not in {service.name for service in routing.services}:
            detail = f"there is no service {order.service!r}"
            await self._refuse(exchange, HTTPStatus.NOT_FOUND, detail)
            return
        period_ms = max(1, int(order.period_s * MS_PER_S))
        result = await self._server.start_rollout(order.service, order.to, period_ms)
        logs.write(
            "rollout_ordered",
            service=order.service,
            version=order.to,
            period_ms=period_ms,
            status=result.status,
            rollout=result.record.number,
        )
        if result.status is RolloutOrderStatus.IN_PROGRESS:
            detail = f"version {result.record.version!r} is being rolled out"
            await self._refuse(exchange, HTTPStatus.CONFLICT, detail)
            return
        await exchange.respond(HTTPStatus.OK, [JSON_HEADER], b"{}")

    async def _show(self, exchange: Exchange, service: str) -> None:
        view = await self._server.read()
        record = next((r for r in view.rollouts if r.service == service), None)
        if record is None:
            await exchange.respond(HTTPStatus.NOT_FOUND)
            return
        state = WireRolloutState(state=record.state.value, to=record.version)
        body = state.model_dump_json(by_alias=True).encode()
        await exchange.respond(HTTPStatus.OK, [JSON_HEADER], body)

    async def _refuse(
        self, exchange: Exchange, status: HTTPStatus, detail: str
    ) -> None:
        detail = detail[:MAX_DETAIL_CHARACTERS]
        logs.write("rollout_refused", status=int(status), detail=detail)
        await exchange.respond(status, [TEXT_HEADER], detail.encode())
