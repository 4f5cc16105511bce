"""Edits of INI text that leave comments, order and all other lines as they are."""

import configparser
import re
from dataclasses import dataclass

from .exceptions import EditFailed

HEADER = re.compile(r"\s*\[(?P<name>.+)\]")
OPTION = re.compile(r"\s*(?P<key>[^=:\s][^=:]*?)\s*[=:]")
COMMENT_STARTS = ("#", ";")


@dataclass(frozen=True, slots=True)
class _Option:
    key: str
    first: int
    last: int


@dataclass(slots=True)
class _Section:
    """Holds the line numbers of one section; its last line is the last value's."""

    name: str
    first: int
    last: int
    options: list[_Option]


def read_values(text: str, section: str) -> dict[str, str]:
    """Return the values of one section; empty if there is no such section."""
    parser = _parse(text)
    return dict(parser.items(section)) if parser.has_section(section) else {}


def set_value(text: str, section: str, key: str, value: str) -> str:
    """Set one value; a section that is missing is added at the end.

    :raises EditFailed: if the value cannot stand in INI text.
    """
    expected = _as_dict(text)
    expected.setdefault(section, {})[key.lower()] = value
    lines = text.splitlines()
    found = _find(lines, section)
    if found is None:
        return _checked(_append_section(lines, section, {key: value}), expected)
    option = next((o for o in found.options if o.key == key.lower()), None)
    line = f"{key} = {value}"
    if option is None:
        lines.insert(found.last + 1, line)
    else:
        lines[option.first : option.last + 1] = [line]
    return _checked(lines, expected)


def add_section(text: str, section: str, values: dict[str, str]) -> str:
    """Add a section at the end.

    :raises EditFailed: if the section exists or cannot stand in INI text.
    """
    expected = _as_dict(text)
    if section in expected:
        raise EditFailed(f"[{section}] exists")
    expected[section] = {key.lower(): value for key, value in values.items()}
    return _checked(_append_section(text.splitlines(), section, values), expected)


def remove_section(text: str, section: str) -> str:
    """Remove a section with the comments between its values.

    Comments above its header and after its last value stay.

    :raises EditFailed: if there is no such section.
    """
    expected = _as_dict(text)
    lines = text.splitlines()
    found = _find(lines, section)
    if found is None:
        raise EditFailed(f"there is no [{section}]")
    del expected[section]
    last = found.last + 1
    while last < len(lines) and not lines[last].strip():
        last += 1
    del lines[found.first : last]
    return _checked(lines, expected)


def _append_section(
    lines: list[str], section: str, values: dict[str, str]
) -> list[str]:
    while lines and not lines[-1].strip():
        lines.pop()
    if lines:
        lines.append("")
    lines.append(f"[{section}]")
    lines.extend([f"{key} = {value}" for key, value in values.items()])
    return lines


def _find(lines: list[str], name: str) -> _Section | None:
    return next((s for s in _sections(lines) if s.name == name), None)


def _sections(lines: list[str]) -> list[_Section]:
    sections: list[_Section] = []
    indent = 0
    for number, line in enumerate(lines):
        text = line.strip()
        if not text or text.startswith(COMMENT_STARTS):
            continue
        own_indent = len(line) - len(line.lstrip())
        if sections and sections[-1].options and own_indent > indent:
            _continue_value(sections[-1], number)
            continue
        indent = own_indent
        _take_line(sections, number, line)
    return sections


def _continue_value(section: _Section, number: int) -> None:
    option = section.options[-1]
    section.options[-1] = _Option(option.key, option.first, number)
    section.last = number


def _take_line(sections: list[_Section], number: int, line: str) -> None:
    if header := HEADER.match(line):
        sections.append(_Section(header["name"], number, number, []))
        return
    option = OPTION.match(line)
    if option and sections:
        key = option["key"].lower()
        sections[-1].options.append(_Option(key, number, number))
        sections[-1].last = number


def _parse(text: str) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise EditFailed(str(error).replace("\n", " ")) from error
    return parser


def _as_dict(text: str) -> dict[str, dict[str, str]]:
    parser = _parse(text)
    return {name: dict(parser.items(name)) for name in parser.sections()}


def _checked(lines: list[str], expected: dict[str, dict[str, str]]) -> str:
    text = "\n".join(lines) + "\n" if lines else ""
    if _as_dict(text) != expected:
        raise EditFailed("the value cannot be written as INI")
    return text
