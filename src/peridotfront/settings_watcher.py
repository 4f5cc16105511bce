"""Reloading of a running process's settings file."""

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path

from . import logs
from .exceptions import SettingsInvalid
from .routed_settings import RoutedSettings, load_settings
from .signals import take_signal

SETTINGS_POLL_S = 1.0


class SettingsWatcher:
    """Watcher that reloads changed settings on SIGHUP and by polling.

    :param path: path of the settings file.
    :param settings: the settings in use.
    :param on_change: function called with the new settings if they differ.
    """

    def __init__(
        self,
        path: Path,
        settings: RoutedSettings,
        on_change: Callable[[RoutedSettings], None],
    ):
        self._settings = settings
        self._on_change = on_change
        self._path = path
        self._text = ""

    async def run(self) -> None:
        """Watch until cancelled.

        The file may have changed since the settings in use were read.
        """
        take_signal(asyncio.get_running_loop(), signal.SIGHUP, self._reload)
        self._reload()
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            self._reload()

    def _reload(self) -> None:
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
