"""Edits of INI text that preserve comments, order and all other lines."""

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
    first_line: int
    last_line: int


@dataclass(slots=True)
class _Section:
    """Line numbers of one section; its last line is that of its last value."""

    name: str
    first_line: int
    last_line: int
    options: list[_Option]


def read_values(text: str, section: str) -> dict[str, str]:
    """Read the values of one section; empty if there is no such section."""
    parser = _parse(text)
    return dict(parser.items(section)) if parser.has_section(section) else {}


def set_value(text: str, section: str, key: str, value: str) -> str:
    """Set one value; a missing section is added at the end.

    :raises EditFailed: if the text is not valid INI, or the value cannot be written
        as INI.
    """
    expected = _to_dict(text)
    expected.setdefault(section, {})[key.lower()] = value
    lines = text.splitlines()
    target = _find_section(lines, section)
    if target is None:
        return _render_checked(_append_section(lines, section, {key: value}), expected)
    option = next((o for o in target.options if o.key == key.lower()), None)
    line = f"{key} = {value}"
    if option is None:
        lines.insert(target.last_line + 1, line)
    else:
        lines[option.first_line : option.last_line + 1] = [line]
    return _render_checked(lines, expected)


def add_section(text: str, section: str, values: dict[str, str]) -> str:
    """Add a section at the end.

    :raises EditFailed: if the text is not valid INI, or the section exists already or
        cannot be written as INI.
    """
    expected = _to_dict(text)
    if section in expected:
        raise EditFailed(f"[{section}] exists already")
    expected[section] = {key.lower(): value for key, value in values.items()}
    return _render_checked(
        _append_section(text.splitlines(), section, values), expected
    )


def remove_section(text: str, section: str) -> str:
    """Remove a section and the comments between its values.

    Comments above its header and after its last value are preserved.

    :raises EditFailed: if the text is not valid INI, or there is no such section.
    """
    expected = _to_dict(text)
    lines = text.splitlines()
    target = _find_section(lines, section)
    if target is None:
        raise EditFailed(f"there is no section [{section}]")
    del expected[section]
    last_line = target.last_line + 1
    while last_line < len(lines) and not lines[last_line].strip():
        last_line += 1
    del lines[target.first_line : last_line]
    return _render_checked(lines, expected)


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


def _find_section(lines: list[str], name: str) -> _Section | None:
    return next((s for s in _scan_sections(lines) if s.name == name), None)


def _scan_sections(lines: list[str]) -> list[_Section]:
    sections: list[_Section] = []
    indent = 0
    for number, line in enumerate(lines):
        text = line.strip()
        if not text or text.startswith(COMMENT_STARTS):
            continue
        line_indent = len(line) - len(line.lstrip())
        if sections and sections[-1].options and line_indent > indent:
            _extend_value(sections[-1], number)
            continue
        indent = line_indent
        _scan_line(sections, number, line)
    return sections


def _extend_value(section: _Section, number: int) -> None:
    option = section.options[-1]
    section.options[-1] = _Option(option.key, option.first_line, number)
    section.last_line = number


def _scan_line(sections: list[_Section], number: int, line: str) -> None:
    if header := HEADER.match(line):
        sections.append(_Section(header["name"], number, number, []))
        return
    option = OPTION.match(line)
    if option and sections:
        key = option["key"].lower()
        sections[-1].options.append(_Option(key, number, number))
        sections[-1].last_line = number


def _parse(text: str) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise EditFailed(str(error).replace("\n", " ")) from error
    return parser


def _to_dict(text: str) -> dict[str, dict[str, str]]:
    parser = _parse(text)
    return {name: dict(parser.items(name)) for name in parser.sections()}


def _render_checked(lines: list[str], expected: dict[str, dict[str, str]]) -> str:
    text = "\n".join(lines) + "\n" if lines else ""
    if _to_dict(text) != expected:
        raise EditFailed("the value cannot be written as INI")
    return text
