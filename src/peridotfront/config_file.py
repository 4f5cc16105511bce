"""The configuration as a file that operators edit, with the version it came from."""

import re
from dataclasses import dataclass

from .admin_messages import ConfigAnswer

BASE_LINE = re.compile(r"# base_version = (\d+)\b.*\n?")


@dataclass(frozen=True, slots=True)
class ConfigFile:
    """Is a configuration as it was read from a file.

    :param base_version: the version it was made from; None if it does not say.
    """

    content: str
    base_version: int | None = None


def render_config_file(answer: ConfigAnswer) -> str:
    """Return a configuration with its version in the first line."""
    return f"# base_version = {answer.version}\n{answer.content}".rstrip("\n")


def parse_config_file(text: str) -> ConfigFile:
    """Take the first line, if it names the version, off the content."""
    match = BASE_LINE.match(text)
    if match is None:
        return ConfigFile(text)
    return ConfigFile(text[match.end() :], int(match[1]))
