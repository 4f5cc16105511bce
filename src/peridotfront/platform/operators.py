"""HTTP endpoint of the platform's operators: configuration and rollouts."""

from http import HTTPStatus

from .. import logs
from ..core.messages import ConfigProposal
from ..exceptions import NotLeader, SettingsInvalid
from ..exchanges import Exchange
from ..replica_server import ReplicaServer
from ..runtime import new_request_id
from .configuration import parse_configuration
from .rollouts import RETRY_AFTER_HEADER, ROLLOUTS_PATH, RolloutEndpoint

CONFIG_PATH = "/peridotfront/config"
JSON_HEADER = ("content-type", "application/json")
MAX_DETAIL_CHARACTERS = 500
AUTHOR = "operator"


class OperatorEndpoint:
    """Endpoint for operators' requests, used as a handler for ``HttpServer``.

    :param server: server of the local replica.
    :param port: port at which every control host serves this endpoint.
    :param allows_rollouts: whether operators may order rollouts.
    """

    def __init__(
        self, server: ReplicaServer, port: int, *, allows_rollouts: bool = False
    ):
        self._server = server
        self._port = port
        self._rollouts = RolloutEndpoint(server, allows_rollouts)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        path = exchange.request.path
        try:
            if path == CONFIG_PATH:
                await self._handle_config(exchange)
            elif path == ROLLOUTS_PATH or path.startswith(f"{ROLLOUTS_PATH}/"):
                await self._rollouts.handle(exchange)
            else:
                await exchange.respond(HTTPStatus.NOT_FOUND)
        except NotLeader as error:
            await self._redirect(exchange, error.leader)

    async def _handle_config(self, exchange: Exchange) -> None:
        method = exchange.request.method
        if method == "PUT":
            await self._put(exchange)
        elif method == "GET":
            await self._get(exchange)
        else:
            await exchange.respond(HTTPStatus.METHOD_NOT_ALLOWED)

    async def _put(self, exchange: Exchange) -> None:
        body = exchange.request.body
        try:
            routing = parse_configuration(body)
        except SettingsInvalid as error:
            detail = str(error)[:MAX_DETAIL_CHARACTERS]
            logs.write("config_refused", detail=detail)
            text = ("content-type", "text/plain")
            await exchange.respond(HTTPStatus.BAD_REQUEST, [text], detail.encode())
            return
        proposal = ConfigProposal(
            change_id=new_request_id(),
            base_version=0,
            author=AUTHOR,
            content=body.decode(),
            version=routing.version,
        )
        result = await self._server.propose(proposal)
        logs.write(
            "config_acknowledged",
            version=routing.version,
            status=result.status,
            held=result.version,
        )
        await exchange.respond(HTTPStatus.OK, [JSON_HEADER], b"{}")

    async def _get(self, exchange: Exchange) -> None:
        view = await self._server.read()
        if view.current.version == 0:
            await exchange.respond(HTTPStatus.SERVICE_UNAVAILABLE, [RETRY_AFTER_HEADER])
            return
        content = view.current.content.encode()
        await exchange.respond(HTTPStatus.OK, [JSON_HEADER], content)

    async def _redirect(self, exchange: Exchange, leader: str) -> None:
        """Redirect the operator to the leader; answer 503 if no leader is known."""
        if not leader:
            await exchange.respond(HTTPStatus.SERVICE_UNAVAILABLE, [RETRY_AFTER_HEADER])
            return
        ip = leader.rpartition(":")[0]
        location = f"http://{ip}:{self._port}{exchange.request.target}"
        status = HTTPStatus.TEMPORARY_REDIRECT
        await exchange.respond(status, [("location", location)])
