"""Process of an entry host that serves routes, with seeds to find its group."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path

from . import logs
from .addresses import split_address
from .core.gateway_events import DrainStarted, SeedsChanged
from .core.gateway_role import GatewayRole
from .core.routes import CallerLimits, RoutingConfig
from .exchanges import Exchange
from .gateway import Gateway
from .gateway_server import GatewayServer, RoutingParser
from .http_client import ClientLimits
from .link_checker import LinkChecker
from .listeners import Listeners, build_http_limits
from .metrics import Metrics
from .metrics_endpoint import build_metrics_handler
from .relay_client import UpstreamClients
from .relay_server import RelayServer
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

# Without a leader this host schedules its own requests, in much shorter steps.
FOLLOWING_TICK_MS = 100
LEADERLESS_LIST_AFTER_MS = 800
MIN_LIST_INTERVAL_MS = 1500
DEREGISTRATION_MS = 2500
EXIT_MARGIN_MS = 1000
RELAY_POLL_MS = 50
KEEP_ALIVE_MS = 4000
MAX_IDLE_CONNECTIONS = 8
MAX_KEPT_ANSWER_BYTES = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class EntryAdapter:
    """Platform-specific functions of an entry host.

    :param codec: codec for requests and answers.
    :param parse: function that parses the text of a configuration into routes.
    :param list_client: function that creates a reader of the list of upstreams at an
        address.
    :param ready_path: path at which the load balancer checks readiness.
    """

    codec: RequestCodec
    parse: RoutingParser
    list_client: Callable[[str], UpstreamListReader]
    ready_path: str


class RoutedEntry:
    """Process of an entry host that serves routes, with all its components.

    :param settings: validated settings.
    :param settings_path: path of the file that ``settings`` were read from.
    :param adapter: platform-specific functions.
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
        self.relay_server = RelayServer(self._may_relay_to)
        self.transport = Transport(
            settings.name,
            incarnation,
            (),
            self._on_frame,
            allow_unlisted_peers=True,
            relay=self.relay_server.relay,
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
        self.server.on_routing_changed = self._apply_routing
        limits = ClientLimits(
            max_idle_connections=MAX_IDLE_CONNECTIONS,
            keep_alive_ms=KEEP_ALIVE_MS,
            max_kept_bytes=MAX_KEPT_ANSWER_BYTES,
        )
        self.clients = UpstreamClients(limits)
        self.link_checker = LinkChecker(self.clients.direct, self.server.feed)
        self.gateway = Gateway(
            self.server, self.clients, self.link_checker, adapter.codec, metrics
        )
        self.listeners = listeners = Listeners(settings.connection_limits, metrics)
        self.caller_server = listeners.build(
            "callers",
            self.gateway.handle,
            build_http_limits(CallerLimits(), listeners.limits),
        )
        check_limits = listeners.check_limits()
        self.readiness_server = listeners.build(
            "readiness", self._answer_ready, check_limits
        )
        self.metrics_server = listeners.build(
            "metrics", build_metrics_handler(metrics), check_limits
        )
        self.poller = UpstreamListPoller(
            adapter.list_client(settings.upstream_list.address),
            self.server.feed,
            self._should_read_list,
            self._list_interval_ms,
        )
        self.settings_watcher = SettingsWatcher(
            settings_path, settings, self._apply_settings
        )
        self.ticker = Ticker(self.server.tick, self._tick_ms)
        self.tasks = BackgroundTasks()

    async def run(self) -> int:
        """Serve until a stop signal arrives, then let requests in progress finish.

        :return: the exit code of the process.
        """
        logs.write("process_started", role="entry")
        stop = StopSignal(lambda: logs.write("drain_signal_repeated"))
        stop.install()
        listen = self.settings.listen
        try:
            await self.transport.start(self.settings.peer_address)
            await self.caller_server.start(*split_address(listen.callers))
            await self.readiness_server.start(*split_address(listen.readiness))
            await self.metrics_server.start(*self.settings.metrics_address)
        except (OSError, RuntimeError) as error:
            logs.write("port_unavailable", detail=str(error))
            return 1
        self.ticker.start()
        self.tasks.start(self.poller.run())
        self.tasks.start(self.settings_watcher.run())
        logs.write("process_ready", port=self.caller_server.port)
        await stop.wait()
        await self._drain()
        self.ticker.stop()
        await self.transport.stop()
        stop.end()
        logs.write("process_stopped")
        return 0

    async def _drain(self) -> None:
        logs.write("drain_started", in_progress=self.gateway.requests_in_progress)
        self.is_leaving = True
        self.server.feed(DrainStarted())
        grace_ms = self.settings.grace_ms
        await asyncio.sleep(DEREGISTRATION_MS / 1000)
        self.caller_server.close_listener()
        self.caller_server.is_draining = True
        self.caller_server.close_idle()
        drain_ms = grace_ms - DEREGISTRATION_MS - EXIT_MARGIN_MS
        end_ms = now_ms() + drain_ms
        await self.caller_server.drain(drain_ms)
        while self.relay_server.connections and now_ms() < end_ms:
            await asyncio.sleep(RELAY_POLL_MS / 1000)
        logs.write(
            "drain_ended",
            in_progress=self.gateway.requests_in_progress,
            relayed=self.relay_server.connections,
        )

    def _may_relay_to(self, address: str) -> bool:
        return not self.is_leaving and self.role.directory.has_address(address)

    def _apply_routing(self, routing: RoutingConfig) -> None:
        self.caller_server.limits = build_http_limits(
            routing.caller_limits, self.listeners.limits
        )

    def _apply_settings(self, settings: RoutedSettings) -> None:
        self.server.feed(SeedsChanged(settings.seed_hosts))

    def _should_read_list(self) -> bool:
        return self.role.leaderless_ms(now_ms()) >= LEADERLESS_LIST_AFTER_MS

    def _list_interval_ms(self) -> int:
        """Return the interval between two reads of the list.

        With one call for each read, all entry hosts together then make at most half
        of the allowed calls.
        """
        calls_per_s = self.settings.upstream_list.calls_per_s
        fair_interval_ms = 2000 * self.role.entry_hosts / calls_per_s
        return max(MIN_LIST_INTERVAL_MS, int(fair_interval_ms))

    async def _answer_ready(self, exchange: Exchange) -> None:
        is_ready = self.server.route_table.version > 0 and not self.is_leaving
        is_known = exchange.request.path == self._ready_path
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        await exchange.respond(status if is_known else HTTPStatus.NOT_FOUND)

    def _tick_ms(self) -> int:
        if self.role.leader:
            return FOLLOWING_TICK_MS
        return BUSY_TICK_MS if self.role.is_busy else IDLE_TICK_MS

    def _on_frame(self, frame) -> None:
        self.server.on_frame(frame)
