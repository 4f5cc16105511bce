"""HTTP endpoint for the metrics of a process."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

from .exchanges import Exchange
from .metrics import METRICS_TYPE, Metrics

METRICS_PATH = "/metrics"


def build_metrics_handler(metrics: Metrics) -> Callable[[Exchange], Awaitable[None]]:
    """Build a handler that serves the metrics of the process."""

    async def handle(exchange: Exchange) -> None:
        if exchange.request.path != METRICS_PATH:
            await exchange.respond(HTTPStatus.NOT_FOUND)
            return
        fields = [("content-type", METRICS_TYPE)]
        await exchange.respond(HTTPStatus.OK, fields, metrics.render())

    return handle
