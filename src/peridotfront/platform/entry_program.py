"""Program of an entry host on the platform."""

from ..http_client import HttpClient
from ..routed_entry import EntryAdapter, RoutedEntry
from ..routed_settings import RoutedSettings
from ..runtime import run
from .configuration import parse_routing
from .process import load_or_exit, settings_path
from .requests import PlatformRequestCodec
from .upstream_list import UpstreamListClient

READY_PATH = "/peridotfront/readyz"


async def _main(settings: RoutedSettings) -> int:
    adapter = EntryAdapter(
        codec=PlatformRequestCodec(),
        parse=parse_routing,
        list_client=lambda address: UpstreamListClient(HttpClient(), address),
        ready_path=READY_PATH,
    )
    return await RoutedEntry(settings, settings_path(), adapter).run()


def run_program() -> None:
    """Run an entry host."""
    raise SystemExit(run(_main(load_or_exit())))
