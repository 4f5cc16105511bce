"""Settings that say how a process writes its logs."""

from typing import Literal

from .ini import Section


class LogSection(Section):
    """Chooses how logs are written.

    :param format: JSON for programs, console for people.
    :param level: the lowest level that is written.
    """

    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"
