"""What both programs on the platform share: settings, metrics page and log form."""

import asyncio
import signal
import sys
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path

from .. import logs
from ..admin import METRICS_TYPE
from ..exceptions import SettingsInvalid
from ..exchanges import Exchange
from ..log_output import BoundedStream
from ..metrics import Metrics
from ..settings import LogSection
from .settings import PlatformSettings, load_settings, settings_path

SETTINGS_POLL_S = 1.0
METRICS_PATH = "/metrics"
EXIT_SETTINGS = 2


def load_or_exit() -> PlatformSettings:
    """Read the settings, or say what is wrong with them and exit."""
    try:
        settings = load_settings(settings_path())
    except SettingsInvalid as error:
        print(error, file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS) from error
    stream = BoundedStream(sys.stdout.fileno())
    logs.configure(LogSection(), settings.host.name, stream)
    return settings


class SettingsWatch:
    """Tells of changed settings, on SIGHUP and without any signal.

    :param on_change: gets the settings that were read again.
    """

    def __init__(
        self, settings: PlatformSettings, on_change: Callable[[PlatformSettings], None]
    ):
        self._settings = settings
        self._on_change = on_change
        self._path: Path = settings_path()
        self._text = self._path.read_text(encoding="utf-8")

    async def run(self) -> None:
        """Watch until cancelled."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self._look)
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            self._look()

    def _look(self) -> None:
        try:
            text = self._path.read_text(encoding="utf-8")
            if text == self._text:
                return
            self._text = text
            settings = load_settings(self._path)
        except (OSError, UnicodeDecodeError, SettingsInvalid) as error:
            logs.write("settings_unreadable", detail=str(error))
            return
        if settings != self._settings:
            self._settings = settings
            logs.write("settings_changed", seeds=",".join(settings.group.seeds))
            self._on_change(settings)


def metrics_page(metrics: Metrics):
    """Return a handler that answers with the metrics of the process."""

    async def handle(exchange: Exchange) -> None:
        if exchange.request.path != METRICS_PATH:
            await exchange.respond(HTTPStatus.NOT_FOUND)
            return
        fields = [("content-type", METRICS_TYPE)]
        await exchange.respond(HTTPStatus.OK, fields, metrics.render())

    return handle
