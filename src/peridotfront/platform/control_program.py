"""Program of a control host on the platform."""

from ..http_client import HttpClient
from ..replica_server import open_storage
from ..routed_control import ControlAdapter, RoutedControl
from ..routed_settings import RoutedSettings
from ..runtime import run
from ..storage import Storage
from .configuration import parse_routing
from .operators import OperatorEndpoint
from .process import load_or_exit, settings_path
from .upstream_list import UpstreamListClient


async def _main(settings: RoutedSettings, storage: Storage) -> int:
    adapter = ControlAdapter(
        parse=parse_routing,
        list_client=lambda address: UpstreamListClient(HttpClient(), address),
        operators=lambda server, port: (
            OperatorEndpoint(
                server, port, allows_rollouts=settings.rollouts.share > 0
            ).handle
        ),
    )
    return await RoutedControl(settings, settings_path(), storage, adapter).run()


def run_program() -> None:
    """Run a control host."""
    settings = load_or_exit()
    storage = open_storage(
        settings.storage.data_folder, is_first_start=settings.group.is_first_start
    )
    raise SystemExit(run(_main(settings, storage)))
