"""Import of upstreams from an asset register into the configuration.

Values of the register override those of the configuration. Keys without a column,
such as limits set by operators, are preserved, as are comments and all other
sections. An empty cell leaves its key unchanged.
"""

import csv
import io
import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from .exceptions import SettingsInvalid
from .fleet_config import UpstreamSection
from .ini import Fault, Ini, split_words
from .ini_editor import add_section, read_values, remove_section, set_value

UPSTREAM_KEYS = tuple(UpstreamSection.model_fields)
DELIMITERS = (",", ";", "\t")
TRUE_WORDS = frozenset({"1", "on", "t", "true", "y", "yes"})
SECTION_KIND = "upstream"
EXTRA_CELLS = "(extra cells)"


@dataclass(frozen=True, slots=True)
class Column:
    """Mapping of a column of the register to a key of an upstream."""

    name: str
    key: str


DEFAULT_COLUMNS = tuple([Column(key, key) for key in UPSTREAM_KEYS])


@dataclass(frozen=True, slots=True)
class Value:
    """Value of a non-empty cell of the register."""

    key: str
    text: str


@dataclass(frozen=True, slots=True)
class Entry:
    """Upstream of the register."""

    name: str
    values: tuple[Value, ...]


@dataclass(frozen=True, slots=True)
class Register:
    """Parsed asset register.

    :param ignored_columns: columns that are mapped to no key of an upstream.
    """

    entries: tuple[Entry, ...]
    ignored_columns: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class KeyChange:
    """Value that the register changes; an empty old value means that it was not set."""

    upstream: str
    key: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class ImportPlan:
    """Upstreams and values that an import adds, changes and removes.

    :param content: the new configuration as INI text.
    """

    additions: tuple[Entry, ...]
    changes: tuple[KeyChange, ...]
    removals: tuple[str, ...]
    content: str

    @property
    def is_empty(self) -> bool:
        """Return whether the register and the configuration agree."""
        return not (self.additions or self.changes or self.removals)


def read_register(
    text: str, source: str, columns: tuple[Column, ...] = DEFAULT_COLUMNS
) -> Register:
    """Parse an asset register in CSV or JSON.

    CSV has a header line; the delimiter is a comma, semicolon or tab. JSON is a
    list of objects, or an object that contains the list as ``upstreams``.

    :param source: the file's name, for messages; the extension ``.json`` selects JSON.
    :param columns: mapping of columns to keys.
    :raises SettingsInvalid: with all faults.
    """
    if source.lower().endswith(".json"):
        rows = _read_json_rows(text, source)
    else:
        rows = _read_csv_rows(text)
    keys = {column.name: column.key for column in columns}
    faults: list[Fault] = []
    entries = list(_parse_entries(rows, keys, faults))
    faults.extend(_find_duplicate_names(entries))
    if not entries and not faults:
        faults.append(Fault("register", "", "", "has no upstreams"))
    if faults:
        raise SettingsInvalid(source, tuple(faults))
    names = dict.fromkeys(name for row in rows for name in row)
    ignored = tuple([name for name in names if name not in keys])
    return Register(tuple(entries), ignored)


def plan_import(content: str, register: Register) -> ImportPlan:
    """Compare a register with a configuration.

    :param content: the configuration in force.
    :raises EditFailed: if a value cannot be written as INI.
    :raises SettingsInvalid: if the content is not valid INI.
    """
    sections = upstream_sections(content)
    additions, changes = [], []
    new_content = content
    for entry in register.entries:
        section = sections.pop(entry.name, None)
        if section is None:
            additions.append(entry)
            new_content = _add_upstream(new_content, entry)
            continue
        for change in _diff_entry(entry, read_values(content, section)):
            changes.append(change)
            new_content = set_value(new_content, section, change.key, change.new)
    for section in sections.values():
        new_content = remove_section(new_content, section)
    return ImportPlan(tuple(additions), tuple(changes), tuple(sections), new_content)


def upstream_sections(content: str) -> dict[str, str]:
    """Return the section of each upstream of a configuration, by name.

    :raises SettingsInvalid: if it is not valid INI.
    """
    ini = Ini.parse(content, "configuration")
    return {name: section for section, name in ini.sections(SECTION_KIND)}


def _add_upstream(content: str, entry: Entry) -> str:
    values = {value.key: value.text for value in entry.values}
    return add_section(content, f"{SECTION_KIND} {entry.name}", values)


def _read_csv_rows(text: str) -> list[dict[str, Any]]:
    text = text.removeprefix("\ufeff")
    header = text.partition("\n")[0]
    delimiter = max(DELIMITERS, key=header.count)
    reader = csv.DictReader(io.StringIO(text), delimiter=delimiter, restkey=EXTRA_CELLS)
    return [{key.strip(): cell for key, cell in row.items()} for row in reader]


def _read_json_rows(text: str, source: str) -> list[dict[str, Any]]:
    try:
        content = json.loads(text)
    except ValueError as error:
        raise SettingsInvalid(source, (Fault("", "", "", str(error)),)) from error
    if isinstance(content, dict):
        content = content.get("upstreams")
    if isinstance(content, list) and all(isinstance(row, dict) for row in content):
        return content
    reason = "must be a list of objects, or an object with such a list as 'upstreams'"
    raise SettingsInvalid(source, (Fault("", "", "", reason),))


def _parse_entries(
    rows: Iterable[dict[str, Any]], keys: dict[str, str], faults: list[Fault]
) -> Iterator[Entry]:
    for number, row in enumerate(rows, start=1):
        location = f"row {number}"
        if EXTRA_CELLS in row:
            extra = str(row[EXTRA_CELLS])
            faults.append(Fault(location, "", extra, "more cells than the header has"))
        values = list(_parse_values(row, keys, location, faults))
        name = next((v.text for v in values if v.key == "name"), "")
        if not name:
            faults.append(Fault(location, "name", "", "is missing"))
            continue
        yield Entry(name, tuple([v for v in values if v.key != "name"]))


def _parse_values(
    row: dict[str, Any], keys: dict[str, str], location: str, faults: list[Fault]
) -> Iterator[Value]:
    for column, cell in row.items():
        key = keys.get(column)
        if key is None or cell is None:
            continue
        text = _format_cell(cell)
        if text is None:
            faults.append(
                Fault(location, column, str(cell), "must be text, not nested")
            )
        elif text:
            yield Value(key, text)


def _format_cell(cell: Any) -> str | None:
    if isinstance(cell, bool):
        return "true" if cell else "false"
    if isinstance(cell, list) and all(isinstance(word, str) for word in cell):
        return ", ".join(cell)
    if isinstance(cell, str | int | float):
        return str(cell).strip()
    return None


def _find_duplicate_names(entries: list[Entry]) -> Iterator[Fault]:
    seen = set()
    for entry in entries:
        if entry.name in seen:
            yield Fault("register", "name", entry.name, "occurs in two rows")
        seen.add(entry.name)


def _diff_entry(entry: Entry, old: dict[str, str]) -> Iterator[KeyChange]:
    for value in entry.values:
        old_text = old.get(value.key, "")
        if _normalize(value.key, old_text) != _normalize(value.key, value.text):
            yield KeyChange(entry.name, value.key, old_text, value.text)


def _normalize(key: str, text: str) -> Any:
    if key == "models":
        return split_words(text)
    if key == "is_leaving":
        return text.lower() in TRUE_WORDS
    return text
