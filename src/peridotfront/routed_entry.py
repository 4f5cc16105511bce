"""An entry host that serves routes: its parts, and how it starts and leaves."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path

from . import logs
from .addresses import split_address
from .core.gateway_events import SeedsChanged
from .core.gateway_role import GatewayRole
from .core.routes import CallerLimits, RoutingConfig
from .exchanges import Exchange
from .gateway import Gateway
from .gateway_server import GatewayServer, RoutingParser
from .http_client import ClientLimits, HttpClient
from .http_server import HttpLimits, HttpServer
from .metrics import Metrics
from .metrics_endpoint import metrics_page
from .routed_requests import RequestCodec
from .routed_settings import RoutedSettings
from .runtime import (
    BUSY_TICK_MS,
    IDLE_TICK_MS,
    BackgroundTasks,
    StopSignal,
    Ticker,
    new_incarnation,
    now_ms,
)
from .settings_watcher import SettingsWatcher
from .transport import Transport
from .upstream_list_poller import UpstreamListPoller, UpstreamListReader

OWN_LIST_AFTER_MS = 800
OWN_LIST_INTERVAL_MS = 1500
ROTATION_MS = 2500
EXIT_MARGIN_MS = 1000
KEPT_IDLE_MS = 4000
KEPT_CONNECTIONS = 8
REQUEST_MS = 15_000
MAX_CALLERS = 3000
ALL_BODIES_BYTES = 48 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class EntryAdapter:
    """Is what an entry host needs of a platform.

    :param codec: translates requests and answers.
    :param parse: turns the text of a configuration into routes.
    :param list_client: returns a reader of the list of upstreams at an address.
    :param ready_path: at which the balancer asks whether the host takes callers.
    """

    codec: RequestCodec
    parse: RoutingParser
    list_client: Callable[[str], UpstreamListReader]
    ready_path: str


class RoutedEntry:
    """Joins the parts of an entry host that serves routes.

    :param settings_path: of the file that ``settings`` were read from.
    """

    def __init__(
        self, settings: RoutedSettings, settings_path: Path, adapter: EntryAdapter
    ):
        self.settings = settings
        self._ready_path = adapter.ready_path
        host = settings.host
        incarnation = new_incarnation()
        metrics = Metrics(host.name, host.data_centre)
        self.is_leaving = False
        self.transport = Transport(
            settings.name, incarnation, (), self._on_frame, allow_unlisted_peers=True
        )
        self.role = GatewayRole(
            settings.name,
            incarnation,
            host.data_centre,
            settings.seed_hosts,
            settings.shared_limits,
        )
        self.server = GatewayServer(
            self.role, adapter.parse, self.transport.send, metrics
        )
        self.server.on_routing_changed = self._use_routing
        limits = ClientLimits(
            max_idle_connections=KEPT_CONNECTIONS, keep_alive_ms=KEPT_IDLE_MS
        )
        self.client = HttpClient(limits)
        self.gateway = Gateway(self.server, self.client, adapter.codec, metrics)
        self.callers = HttpServer(self.gateway.handle, _limits(CallerLimits()))
        self.readiness = HttpServer(self._answer_ready)
        self.metrics_server = HttpServer(metrics_page(metrics))
        self.poller = UpstreamListPoller(
            adapter.list_client(settings.upstream_list.address),
            self.server.feed,
            self._reads_list,
            self._list_interval_ms,
        )
        self.watch = SettingsWatcher(settings_path, settings, self._use_settings)
        self.ticker = Ticker(self.server.tick, self._tick_ms)
        self.tasks = BackgroundTasks()

    async def run(self) -> int:
        """Serve until a signal comes, then let the requests under way finish."""
        logs.write("process_started", role="entry")
        stop = StopSignal(lambda: logs.write("drain_signal_repeated"))
        stop.install()
        listen = self.settings.listen
        try:
            await self.transport.start(self.settings.peer_address)
            await self.callers.start(*split_address(listen.callers))
            await self.readiness.start(*split_address(listen.readiness))
            await self.metrics_server.start(*self.settings.metrics_address)
        except (OSError, RuntimeError) as error:
            logs.write("port_unavailable", detail=str(error))
            return 1
        self.ticker.start()
        self.tasks.start(self.poller.run())
        self.tasks.start(self.watch.run())
        logs.write("process_ready", port=self.callers.port)
        await stop.wait()
        await self._drain()
        logs.write("process_stopped")
        return 0

    async def _drain(self) -> None:
        logs.write("drain_started", in_progress=self.gateway.requests_in_progress)
        self.is_leaving = True
        grace_ms = self.settings.grace_ms
        await asyncio.sleep(ROTATION_MS / 1000)
        self.callers.close_listener()
        self.callers.is_draining = True
        self.callers.close_idle()
        await self.callers.drain(grace_ms - ROTATION_MS - EXIT_MARGIN_MS)

    def _use_routing(self, routing: RoutingConfig) -> None:
        self.callers.limits = _limits(routing.caller_limits)

    def _use_settings(self, settings: RoutedSettings) -> None:
        self.server.feed(SeedsChanged(settings.seed_hosts))

    def _reads_list(self) -> bool:
        return self.role.leaderless_ms(now_ms()) >= OWN_LIST_AFTER_MS

    def _list_interval_ms(self) -> int:
        """Return the interval at which all entry hosts together keep to the rate."""
        calls_per_s = self.settings.upstream_list.calls_per_s
        fair_ms = 2000 * self.role.entry_hosts / calls_per_s
        return max(OWN_LIST_INTERVAL_MS, int(fair_ms))

    async def _answer_ready(self, exchange: Exchange) -> None:
        is_ready = self.server.route_table.version > 0 and not self.is_leaving
        is_known = exchange.request.path == self._ready_path
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        await exchange.respond(status if is_known else HTTPStatus.NOT_FOUND)

    def _tick_ms(self) -> int:
        return BUSY_TICK_MS if self.role.is_busy else IDLE_TICK_MS

    def _on_frame(self, frame) -> None:
        self.server.on_frame(frame)


def _limits(caller_limits: CallerLimits) -> HttpLimits:
    return HttpLimits(
        max_header_bytes=caller_limits.max_header_bytes,
        max_body_bytes=caller_limits.max_body_bytes,
        max_total_body_bytes=ALL_BODIES_BYTES,
        max_connections=MAX_CALLERS,
        idle_timeout_ms=caller_limits.idle_timeout_ms,
        request_timeout_ms=max(caller_limits.header_timeout_ms, REQUEST_MS),
    )
