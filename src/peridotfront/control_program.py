"""Program ``peridotfront-control``: one replica of the control group."""

import random
import time

import fire
from fire.decorators import SetParseFn

from . import logs, wire
from .addresses import split_address
from .admin import AdminPages
from .control_server import ControlServer
from .core.control_types import ControlTiming
from .core.controller import Controller
from .core.messages import ControlSnapshot
from .core.orders import OrderPlanner
from .core.raft import Raft
from .core.raft_types import RaftTiming
from .http_server import HttpServer
from .metrics import Metrics
from .operators import OperatorPages
from .replica_server import open_storage, wait_for_shutdown
from .runtime import TICK_MS, StopSignal, Ticker, now_ms, run
from .settings import ControlSettings, load_control, load_file
from .storage import Storage
from .tls_config import admin_ssl_context, check_tls_files, peer_credentials
from .transport import Transport


class ControlProgram:
    """Process of a control host with all its components.

    :param settings: validated settings.
    :param storage: storage of the opened data folder.
    """

    def __init__(self, settings: ControlSettings, storage: Storage):
        self.settings = settings
        self.storage = storage
        host = settings.host
        metrics = Metrics(host.name, host.data_centre)
        self.transport = Transport(
            host.name,
            storage.incarnation,
            settings.peers,
            self._on_frame,
            peer_credentials(settings.tls),
        )
        controller = _build_controller(settings, storage)
        planner = OrderPlanner(
            settings.timing.election_timeout_ms,
            wall_clock_offset_ms=time.time_ns() // 1_000_000 - now_ms(),
        )
        self.server = ControlServer(
            controller, storage, self.transport.send, metrics, planner
        )
        pages = AdminPages(
            host.admin_token,
            lambda: controller.dump(now_ms()),
            metrics,
            lambda: bool(self.server.leader),
        )
        OperatorPages(self.server, host.data_centre).add_to(pages)
        self.admin_server = HttpServer(
            pages.handle, ssl_context=admin_ssl_context(settings.tls)
        )
        self.ticker = Ticker(self.server.tick, lambda: TICK_MS)

    async def run(self) -> int:
        """Serve until a stop signal arrives or the storage fails.

        :return: the exit code of the process.
        """
        logs.write("process_started", role="control")
        stop = StopSignal(lambda: logs.write("drain_signal_repeated"))
        stop.install()
        host = self.settings.host
        try:
            await self.transport.start(host.listen_address)
            await self.admin_server.start(*split_address(host.admin_address))
        except (OSError, RuntimeError) as error:
            logs.write("port_unavailable", detail=str(error))
            return 1
        self.ticker.start()
        logs.write("process_ready", port=self.admin_server.port)
        exit_code = await wait_for_shutdown(self.server, stop)
        self.ticker.stop()
        await self.server.orders.stop()
        await self.admin_server.close()
        await self.transport.stop()
        self.storage.close()
        stop.end()
        logs.write("process_stopped")
        return exit_code

    def _on_frame(self, frame) -> None:
        self.server.on_frame(frame)


def _build_controller(settings: ControlSettings, storage: Storage) -> Controller:
    timing = settings.timing
    host = settings.host.name
    replicas = [peer.name for peer in settings.peers if peer.role == "control"]
    configured_hosts = tuple(sorted({host, *replicas}))
    raft = Raft(
        host,
        storage.incarnation,
        configured_hosts,
        storage.state,
        RaftTiming(
            election_timeout_ms=timing.election_timeout_ms,
            heartbeat_ms=timing.leader_heartbeat_ms,
        ),
        random.random,
    )
    return Controller(
        host,
        raft,
        settings.host.data_centre,
        tuple([peer.name for peer in settings.peers]),
        wire.encode,
        lambda data: wire.decode(ControlSnapshot, data),
        ControlTiming(
            heartbeat_ms=timing.heartbeat_ms, host_timeout_ms=timing.host_timeout_ms
        ),
        wall_clock_offset_ms=time.time_ns() // 1_000_000 - now_ms(),
        entry_hosts=tuple([p.name for p in settings.peers if p.role == "entry"]),
    )


async def _main(settings: ControlSettings, storage: Storage) -> int:
    return await ControlProgram(settings, storage).run()


@SetParseFn(str)
def start(settings: str) -> None:
    """Run a control host.

    :param settings: path of the settings file.
    """
    loaded_settings = load_file(load_control, settings, check_tls_files)
    logs.configure(loaded_settings.log, loaded_settings.host.name)
    storage = open_storage(loaded_settings.storage.data_folder)
    raise SystemExit(run(_main(loaded_settings, storage)))


def run_program() -> None:
    """Parse the command line of ``peridotfront-control`` and run the program."""
    fire.Fire(start)
