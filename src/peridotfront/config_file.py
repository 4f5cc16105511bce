"""Configuration file that operators edit, with its base version in the first line."""

import re
from dataclasses import dataclass

from .admin_messages import ConfigAnswer

BASE_VERSION_LINE = re.compile(r"# base_version = (\d+)\b.*\n?")


@dataclass(frozen=True, slots=True)
class ConfigFile:
    """Configuration read from a file.

    :param base_version: the version that was edited; None if the file names none.
    """

    content: str
    base_version: int | None = None


def render_config_file(answer: ConfigAnswer) -> str:
    """Render a configuration with its version in the first line."""
    return f"# base_version = {answer.version}\n{answer.content}".rstrip("\n")


def parse_config_file(text: str) -> ConfigFile:
    """Split the first line off the content if it names the base version."""
    match = BASE_VERSION_LINE.match(text)
    if match is None:
        return ConfigFile(text)
    return ConfigFile(text[match.end() :], int(match[1]))
