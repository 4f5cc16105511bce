"""The program of a control host on the platform."""

import random
import time

from .. import logs, wire
from ..callers import HttpLimits, HttpServer
from ..core.control_types import ConfigApplied, ControlTiming
from ..core.controller import Controller
from ..core.coordinator import Coordinator, RoutingChanged
from ..core.messages import ControlSnapshot
from ..core.raft import Raft
from ..core.raft_types import GroupPolicy, RaftTiming
from ..exceptions import FolderInUse, SettingsInvalid, StorageDamaged, StorageFailed
from ..http_client import HttpClient
from ..metrics import Metrics
from ..replica_server import EXIT_STORAGE, ReplicaServer, wait_for_end
from ..runtime import TICK_MS, StopSignal, Tasks, Ticker, now_ms, run
from ..settings import split_address
from ..storage import Storage
from ..transport import Transport
from ..upstream_poller import UpstreamPoller
from .configuration import parse_routing
from .operators import OperatorCalls
from .process import SettingsWatch, load_or_exit, metrics_page
from .settings import PlatformSettings
from .upstream_list import UpstreamListClient

LIST_INTERVAL_MS = 800
REPLACE_AFTER_MS = 8000
MAX_CONFIG_BYTES = 16 * 1024 * 1024


class ControlProcess:
    """Joins the parts of a control host.

    :param storage: the opened data folder.
    """

    def __init__(self, settings: PlatformSettings, storage: Storage):
        self.settings = settings
        self.storage = storage
        host = settings.host
        metrics = Metrics(host.name, host.data_centre)
        self.transport = Transport(
            settings.name, storage.incarnation, (), self._on_frame, is_open=True
        )
        self.raft = _raft(settings, storage)
        self.coordinator = Coordinator(
            settings.name, _controller(settings, self.raft), settings.bounds
        )
        self.server = ReplicaServer(
            self.coordinator,
            storage,
            self.transport.send,
            metrics,
            {ConfigApplied: self._use_config},
        )
        ip, port = split_address(settings.listen.operators)
        self.operators = HttpServer(
            OperatorCalls(self.server, port).handle,
            HttpLimits(body_bytes=MAX_CONFIG_BYTES),
        )
        self.operators_address = (ip, port)
        self.metrics_server = HttpServer(metrics_page(metrics))
        upstreams = UpstreamListClient(HttpClient(), settings.upstream_list.address)
        self.poller = UpstreamPoller(
            upstreams,
            self.server.feed,
            lambda: self.coordinator.is_leading,
            lambda: LIST_INTERVAL_MS,
        )
        self.watch = SettingsWatch(settings, self._use_settings)
        self.ticker = Ticker(self.server.tick, lambda: TICK_MS)
        self.tasks = Tasks()

    async def run(self) -> int:
        """Serve until a signal comes or the storage fails."""
        logs.write("process_started", role="control")
        stop = StopSignal(lambda: logs.write("drain_signal_repeated"))
        stop.install()
        listen = self.settings.listen
        try:
            await self.transport.start(self.settings.peer_address)
            await self.operators.start(*self.operators_address)
            await self.metrics_server.start(self.settings.host.ip, listen.metrics_port)
        except (OSError, RuntimeError) as error:
            logs.write("port_unavailable", detail=str(error))
            return 1
        self.ticker.start()
        self.tasks.start(self.poller.run())
        self.tasks.start(self.watch.run())
        logs.write("process_ready", port=self.operators.port)
        exit_code = await wait_for_end(self.server, stop)
        self.ticker.stop()
        self.storage.close()
        logs.write("process_stopped")
        return exit_code

    def _on_frame(self, frame) -> None:
        self.server.on_frame(frame)

    def _use_config(self, action: ConfigApplied) -> None:
        try:
            routing = parse_routing(action.content, action.version)
        except SettingsInvalid as error:
            logs.write("config_unreadable", version=action.version, error=str(error))
            return
        self.server.feed(RoutingChanged(routing))

    def _use_settings(self, settings: PlatformSettings) -> None:
        self.raft.use_configured_hosts(settings.seed_hosts)


def _raft(settings: PlatformSettings, storage: Storage) -> Raft:
    policy = GroupPolicy(
        may_found=storage.may_found,
        is_open=True,
        replace_after_ms=REPLACE_AFTER_MS,
    )
    return Raft(
        settings.name,
        storage.incarnation,
        settings.seed_hosts,
        storage.state,
        RaftTiming(),
        random.random,
        policy,
    )


def _controller(settings: PlatformSettings, raft: Raft) -> Controller:
    return Controller(
        settings.name,
        raft,
        settings.host.data_centre,
        (),
        wire.encode,
        lambda data: wire.decode(ControlSnapshot, data),
        ControlTiming(),
        wall_offset_ms=time.time_ns() // 1_000_000 - now_ms(),
    )


async def _main(settings: PlatformSettings, storage: Storage) -> int:
    return await ControlProcess(settings, storage).run()


def main() -> None:
    """Run a control host."""
    settings = load_or_exit()
    try:
        storage = Storage.open(
            settings.storage.data_folder, is_first_start=settings.group.is_first_start
        )
    except (FolderInUse, StorageDamaged, StorageFailed, OSError) as error:
        logs.write("storage_damaged", detail=str(error))
        raise SystemExit(EXIT_STORAGE) from error
    logs.write("storage_opened", incarnation=storage.incarnation)
    raise SystemExit(run(_main(settings, storage)))


if __name__ == "__main__":
    main()
