"""How the platform hands a process its settings.

The platform fills ``deploy/process.ini`` in, before each start and whenever the
settings change, and names the file in an environment variable.
"""

import os
import sys
from pathlib import Path

from .. import logs
from ..exceptions import SettingsInvalid
from ..log_output import BoundedStream
from ..log_settings import LogSection
from ..routed_settings import RoutedSettings, load_settings

SETTINGS_VARIABLE = "PERIDOTFRONT_SETTINGS"


def settings_path() -> Path:
    """Return the path of the settings file that the platform names."""
    return Path(os.environ[SETTINGS_VARIABLE])


def load_or_exit() -> RoutedSettings:
    """Read the settings, or say what is wrong with them and exit."""
    try:
        settings = load_settings(settings_path())
    except SettingsInvalid as error:
        print(error, file=sys.stderr)
        raise SystemExit(error.exit_code) from error
    stream = BoundedStream(sys.stdout.fileno())
    logs.configure(LogSection(), settings.host.name, stream)
    return settings
