"""Settings and logging of a process that the platform starts.

The platform fills in ``deploy/process.ini`` before each start and whenever the
settings change, and passes the file's path in an environment variable.
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
    """Return the path of the settings file from the environment variable."""
    return Path(os.environ[SETTINGS_VARIABLE])


def load_or_exit() -> RoutedSettings:
    """Read the settings and configure the log, or print the faults and exit."""
    try:
        settings = load_settings(settings_path())
    except SettingsInvalid as error:
        print(error, file=sys.stderr)
        raise SystemExit(error.exit_code) from error
    stream = BoundedStream(sys.stdout.fileno())
    logs.configure(LogSection(), settings.host.name, stream)
    return settings
