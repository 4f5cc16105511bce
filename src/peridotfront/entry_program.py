"""Program ``peridotfront-entry``: accepts callers' requests and dispatches them."""

import asyncio

import fire
from fire.decorators import SetParseFn

from . import logs
from .addresses import split_address
from .admin import AdminPages
from .core.claim_client import ClaimClient, ClaimClientTiming
from .core.config_follower import ConfigFollower, ConfigFollowerTiming
from .core.entry_role import BeginLeaving, EntryRole
from .core.fleet import Fleet
from .core.host_monitor import HostMonitor
from .engine_client import ClientLimits, EngineClient
from .entry_server import EntryServer
from .http_server import HttpLimits, HttpServer
from .metrics import Metrics
from .platform_host_list import PlatformHostList
from .request_handler import RequestHandler
from .request_validator import RequestValidator
from .runtime import (
    BUSY_TICK_MS,
    IDLE_TICK_MS,
    StopSignal,
    Ticker,
    new_incarnation,
    run,
)
from .settings import EntrySettings, load_entry, load_file
from .tls_config import (
    admin_ssl_context,
    caller_ssl_context,
    check_tls_files,
    peer_credentials,
)
from .transport import Transport
from .upstreams_endpoint import UpstreamsEndpoint

DRAIN_POLL_MS = 20
MAX_DRAIN_MS = 600_000
MAX_KEPT_ANSWER_BYTES = 8 * 1024 * 1024


class EntryProgram:
    """Process of an entry host with all its components.

    :param settings: validated settings.
    """

    def __init__(self, settings: EntrySettings):
        self.settings = settings
        host = settings.host
        incarnation = new_incarnation()
        self.metrics = Metrics(host.name, host.data_centre)
        limits = ClientLimits(max_kept_bytes=MAX_KEPT_ANSWER_BYTES)
        self.client = EngineClient(limits)
        validator = RequestValidator(Fleet(), settings.callers.request_deadline_ms)
        self.transport = Transport(
            host.name,
            incarnation,
            settings.peers,
            self._on_frame,
            peer_credentials(settings.tls),
        )
        self.role = _build_role(settings, incarnation)
        self.server = EntryServer(
            self.role, validator, self.client, self.transport.send, self.metrics
        )
        self.request_handler = RequestHandler(
            validator,
            self.server,
            self.server.feed,
            self.metrics,
            lambda: len(self.role.host_monitor.entry_hosts()),
        )
        self.caller_server = HttpServer(
            self.request_handler.handle,
            _build_http_limits(settings),
            caller_ssl_context(settings.tls),
        )
        pages = AdminPages(
            host.admin_token, self.role.dump, self.metrics, self.is_ready
        )
        UpstreamsEndpoint(host.name, lambda: self.role.dump().cells).add_to(pages)
        self.admin_server = HttpServer(
            pages.handle, ssl_context=admin_ssl_context(settings.tls)
        )
        self.ticker = Ticker(self.server.tick, self._tick_ms)
        self.platform_hosts = PlatformHostList(
            settings.platform.list_file,
            self.server.scheduled_upstreams,
            self.server.on_report,
        )

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new callers to this host."""
        return self.role.fleet.version > 0 and not self.role.host_monitor.is_leaving

    async def run(self) -> int:
        """Serve until a stop signal arrives, then let every request finish.

        :return: the exit code of the process.
        """
        logs.write("process_started", role="entry")
        stop = StopSignal(lambda: logs.write("drain_signal_repeated"))
        stop.install()
        settings = self.settings
        try:
            await self.transport.start(settings.host.listen_address)
            await self.admin_server.start(*split_address(settings.host.admin_address))
            await self.caller_server.start(
                *split_address(settings.callers.listen_address)
            )
        except (OSError, RuntimeError) as error:
            logs.write("port_unavailable", detail=str(error))
            return 1
        self.ticker.start()
        self.platform_hosts.start()
        logs.write("process_ready", port=self.caller_server.port)
        await stop.wait()
        await self._drain()
        stop.end()
        logs.write("process_stopped")
        return 0

    async def _drain(self) -> None:
        logs.write(
            "drain_started", in_progress=self.request_handler.requests_in_progress
        )
        self.server.feed(BeginLeaving())
        await asyncio.sleep(self.settings.callers.drain_grace_ms / 1000)
        await self.caller_server.drain(MAX_DRAIN_MS)
        self.caller_server.close_listener()
        while self.role.dispatcher.active_requests:
            await asyncio.sleep(DRAIN_POLL_MS / 1000)
        self.ticker.stop()
        self.platform_hosts.stop()
        await self.caller_server.close()
        await self.admin_server.close()
        await self.server.stop()
        await self.client.close()
        await self.transport.stop()

    def _tick_ms(self) -> int:
        return BUSY_TICK_MS if self.role.is_busy else IDLE_TICK_MS

    def _on_frame(self, frame) -> None:
        self.server.on_frame(frame)


def _build_role(settings: EntrySettings, incarnation: int) -> EntryRole:
    timing = settings.timing
    peer_names = [
        peer.name for peer in settings.peers if peer.name != settings.host.name
    ]
    host_monitor = HostMonitor(
        settings.host.name,
        settings.host.data_centre,
        tuple(peer_names),
        timing.heartbeat_ms,
        timing.host_timeout_ms,
    )
    follower = ConfigFollower(
        ConfigFollowerTiming(host_timeout_ms=timing.host_timeout_ms)
    )
    claim_client = ClaimClient(
        settings.host.name,
        incarnation,
        ClaimClientTiming(
            host_timeout_ms=timing.host_timeout_ms,
            claim_timeout_ms=timing.claim_timeout_ms,
        ),
    )
    return EntryRole(host_monitor, follower, claim_client, incarnation)


def _build_http_limits(settings: EntrySettings) -> HttpLimits:
    callers = settings.callers
    return HttpLimits(
        max_header_bytes=callers.max_header_bytes,
        max_body_bytes=callers.max_body_bytes,
        max_connections=callers.max_connections,
        idle_timeout_ms=callers.idle_timeout_ms,
        request_timeout_ms=callers.request_timeout_ms,
    )


async def _main(settings: EntrySettings) -> int:
    return await EntryProgram(settings).run()


@SetParseFn(str)
def start(settings: str) -> None:
    """Run an entry host.

    :param settings: path of the settings file.
    """
    loaded_settings = load_file(load_entry, settings, check_tls_files)
    logs.configure(loaded_settings.log, loaded_settings.host.name)
    raise SystemExit(run(_main(loaded_settings)))


def run_program() -> None:
    """Parse the command line of ``peridotfront-entry`` and run the program."""
    fire.Fire(start)
