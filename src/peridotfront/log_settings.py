"""Settings of a process's log output."""

from typing import Literal

from .ini import Section


class LogSection(Section):
    """Format and level of the log.

    :param format: JSON for programs, console for people.
    :param level: lowest level that is written.
    """

    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"
