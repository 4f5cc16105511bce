"""Process of a control host for routed requests, with seeds to find its group."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from . import logs, wire
from .addresses import split_address
from .core.control_types import ConfigApplied, ControlTiming
from .core.controller import Controller
from .core.coordinator import Coordinator
from .core.messages import ControlSnapshot
from .core.raft import Raft
from .core.raft_types import DEFAULT_TOLERATED_LOSSES, GroupPolicy, RaftTiming
from .core.routing_events import RoutingChanged
from .exceptions import SettingsInvalid
from .gateway_server import RoutingParser
from .http_server import Handler
from .listeners import Listeners
from .metrics import Metrics
from .metrics_endpoint import build_metrics_handler
from .replica_server import ReplicaServer, wait_for_shutdown
from .routed_settings import RoutedSettings
from .runtime import TICK_MS, BackgroundTasks, StopSignal, Ticker, now_ms
from .settings_watcher import SettingsWatcher
from .storage import Storage
from .transport import Transport
from .upstream_list_poller import UpstreamListPoller, UpstreamListReader

LIST_INTERVAL_MS = 800
FIRST_TIMEOUT_RATIO = 0.25


@dataclass(frozen=True, slots=True)
class ControlAdapter:
    """Platform-specific functions of a control host.

    :param parse: function that parses the text of a configuration into routes.
    :param list_client: function that creates a reader of the list of upstreams at an
        address.
    :param operators: function that creates the handler of operators' requests from the
        local replica and the port at which every control host serves them.
    """

    parse: RoutingParser
    list_client: Callable[[str], UpstreamListReader]
    operators: Callable[[ReplicaServer, int], Handler]


class RoutedControl:
    """Process of a control host with all its components.

    :param settings: validated settings.
    :param settings_path: path of the file that ``settings`` were read from.
    :param storage: storage of the opened data folder.
    :param adapter: platform-specific functions.
    """

    def __init__(
        self,
        settings: RoutedSettings,
        settings_path: Path,
        storage: Storage,
        adapter: ControlAdapter,
    ):
        self.settings = settings
        self.storage = storage
        self._parse_routing = adapter.parse
        host = settings.host
        metrics = Metrics(host.name, host.data_centre)
        self.transport = Transport(
            settings.name,
            storage.incarnation,
            (),
            self._on_frame,
            allow_unlisted_peers=True,
        )
        self.raft = _build_raft(settings, storage)
        self.coordinator = Coordinator(
            settings.name,
            _build_controller(settings, self.raft),
            settings.shared_limits,
        )
        self.server = ReplicaServer(
            self.coordinator,
            storage,
            self.transport.send,
            metrics,
            {ConfigApplied: self._apply_config},
        )
        ip, port = split_address(settings.listen.operators)
        metrics.add_collector(lambda: self._collect_rollouts(metrics))
        listeners = Listeners(settings.connection_limits, metrics)
        self.operator_server = listeners.build(
            "operators",
            adapter.operators(self.server, port),
            listeners.operator_limits(),
        )
        self.operators_address = (ip, port)
        self.metrics_server = listeners.build(
            "metrics", build_metrics_handler(metrics), listeners.check_limits()
        )
        self.poller = UpstreamListPoller(
            adapter.list_client(settings.upstream_list.address),
            self.server.feed,
            lambda: self.coordinator.is_leading,
            lambda: LIST_INTERVAL_MS,
        )
        self.settings_watcher = SettingsWatcher(
            settings_path, settings, self._apply_settings
        )
        self.ticker = Ticker(self.server.tick, lambda: TICK_MS)
        self.tasks = BackgroundTasks()

    async def run(self) -> int:
        """Serve until a stop signal arrives or the storage fails.

        :return: the exit code of the process.
        """
        logs.write("process_started", role="control")
        stop = StopSignal(lambda: logs.write("drain_signal_repeated"))
        stop.install()
        try:
            await self.transport.start(self.settings.peer_address)
            await self.operator_server.start(*self.operators_address)
            await self.metrics_server.start(*self.settings.metrics_address)
        except (OSError, RuntimeError) as error:
            logs.write("port_unavailable", detail=str(error))
            return 1
        self.ticker.start()
        self.tasks.start(self.poller.run())
        self.tasks.start(self.settings_watcher.run())
        logs.write("process_ready", port=self.operator_server.port)
        exit_code = await wait_for_shutdown(self.server, stop)
        self.ticker.stop()
        await self.transport.stop()
        self.storage.close()
        stop.end()
        logs.write("process_stopped")
        return exit_code

    def _on_frame(self, frame) -> None:
        self.server.on_frame(frame)

    def _apply_config(self, action: ConfigApplied) -> None:
        try:
            routing = self._parse_routing(action.content, action.version)
        except SettingsInvalid as error:
            logs.write("config_unreadable", version=action.version, error=str(error))
            return
        self.server.feed(RoutingChanged(routing))

    def _collect_rollouts(self, metrics: Metrics) -> None:
        """Update the metrics of the rollouts that go on, which only a leader knows."""
        metrics.clear_rollouts()
        manager = self.coordinator.rollouts
        for rollout in manager.rollouts if manager else ():
            counts = {
                "all": rollout.exposure.requests,
                "exposed": rollout.exposure.exposed,
                "bad": rollout.bad_answers,
            }
            for kind, count in counts.items():
                metrics.set_rollout_requests(
                    rollout.record.service, rollout.stage.value, kind, count
                )

    def _apply_settings(self, settings: RoutedSettings) -> None:
        self.raft.set_configured_hosts(settings.seed_hosts)
        self.raft.set_tolerated_losses(settings.group.tolerated_losses)


def build_group_policy(
    may_bootstrap: bool,
    tolerated_losses: int = DEFAULT_TOLERATED_LOSSES,
    *,
    is_first_start: bool = False,
) -> GroupPolicy:
    """Return the rules of a control group whose hosts come and go.

    :param may_bootstrap: whether the local data folder may take part in a bootstrap.
    :param tolerated_losses: number of hosts whose disks may be lost at the same time.
    :param is_first_start: whether the whole deployment starts for the first time.
    """
    return GroupPolicy(
        may_bootstrap=may_bootstrap,
        allows_unlisted_hosts=True,
        replaces_voters=True,
        tolerated_losses=tolerated_losses,
        is_first_start=is_first_start,
    )


def _build_raft(settings: RoutedSettings, storage: Storage) -> Raft:
    return Raft(
        settings.name,
        storage.incarnation,
        settings.seed_hosts,
        storage.state,
        RaftTiming(first_timeout_ratio=FIRST_TIMEOUT_RATIO),
        random.random,
        build_group_policy(
            storage.may_bootstrap,
            settings.group.tolerated_losses,
            is_first_start=settings.group.is_first_start,
        ),
    )


def _build_controller(settings: RoutedSettings, raft: Raft) -> Controller:
    return Controller(
        settings.name,
        raft,
        settings.host.data_centre,
        (),
        wire.encode,
        lambda data: wire.decode(ControlSnapshot, data),
        ControlTiming(),
        wall_clock_offset_ms=time.time_ns() // 1_000_000 - now_ms(),
    )
