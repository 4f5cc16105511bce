"""Generates docs/LOGS.md and docs/SETTINGS.md from the code.

With ``--check`` it compares them with the files instead.
"""

import ast
import re
import sys
import typing
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from types import UnionType

from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from peridotfront import ctl_settings, fleet_config, settings, standin_settings
from peridotfront.core import fleet
from peridotfront.ini import Section
from peridotfront.log_events import EVENTS, EVENTS_BY_NAME, LogEvent

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ROOT / "src" / "peridotfront"
LOGS_FILE = ROOT / "docs" / "LOGS.md"
SETTINGS_FILE = ROOT / "docs" / "SETTINGS.md"
WRITERS = {
    "write",
    "logs.write",
    "logs.write_rate_limited",
    "self._log.write",
    "self._log.write_end",
    "Log",
}
NOTICE = "<!-- Made by tools/generate_docs.py; edit the code instead. -->"
RANGES = (
    (1, "Process"),
    (2, "Peers and transport"),
    (3, "Control group and storage"),
    (4, "Configuration"),
    (5, "Requests"),
    (6, "Upstreams"),
    (7, "Scheduling"),
    (8, "Operators"),
    (9, "Orders to engines"),
    (10, "Rollouts and slow start"),
)
UNITS = (
    ("_tokens_per_s", "tokens a second"),
    ("requests_per_s", "requests a second"),
    ("_ms", "milliseconds"),
    ("_bytes", "bytes"),
    ("_tokens", "tokens"),
    ("_requests", "requests"),
)
TYPE_WORDS = {int: "whole number", float: "number", bool: "true or false", str: "text"}
CONSTRAINTS = (
    ("gt", "above {}"),
    ("ge", "from {}"),
    ("le", "to {}"),
    ("min_length", "{}+ characters"),
)


@dataclass(frozen=True, slots=True)
class SectionPage:
    """Documentation of a section of a settings file.

    :param title: heading of the section, as in the file.
    :param model: pydantic model that validates the section.
    :param documented: further class whose docstring documents keys.
    """

    title: str
    model: type[Section]
    documented: type | None = None


@dataclass(frozen=True, slots=True)
class FilePage:
    """Documentation of a kind of settings file."""

    title: str
    text: str
    sections: tuple[SectionPage, ...]


SHARED_PAGES = (
    SectionPage("[tls]", settings.TlsSection),
    SectionPage("[log]", settings.LogSection),
    SectionPage("[timing]", settings.TimingSection),
    SectionPage("[peer NAME], one for each other process", settings.PeerSection),
)
FILE_PAGES = (
    FilePage(
        "peridotfront-entry",
        "Start-up settings of an entry host. A change needs a restart.",
        (
            SectionPage("[host]", settings.HostSection),
            SectionPage("[callers]", settings.CallersSection),
            *SHARED_PAGES,
        ),
    ),
    FilePage(
        "peridotfront-control",
        "Start-up settings of a control host. A change needs a restart.",
        (
            SectionPage("[host]", settings.HostSection),
            SectionPage("[storage]", settings.StorageSection),
            *SHARED_PAGES,
        ),
    ),
    FilePage(
        "Configuration",
        "The replicated configuration, changed with `peridotfrontctl config`; in"
        " force on all hosts without a restart.",
        (
            SectionPage("[policy]", fleet_config.PolicySection, fleet.Policy),
            SectionPage(
                "[upstream NAME]", fleet_config.UpstreamSection, fleet.UpstreamSpec
            ),
            SectionPage(
                "[client_account NAME]", fleet_config.AccountSection, fleet.AccountSpec
            ),
            SectionPage(
                "[service NAME]", fleet_config.ServiceSection, fleet.ServiceSpec
            ),
        ),
    ),
    FilePage(
        "peridotfrontctl",
        "Settings of the operators' command line.",
        (
            SectionPage("[operator]", ctl_settings.OperatorSection),
            SectionPage("[host NAME]", ctl_settings.AdminHostSection),
            SectionPage("[tls]", ctl_settings.CtlTlsSection),
            SectionPage("[timing]", ctl_settings.CtlTimingSection),
            SectionPage("[register]", ctl_settings.RegisterSection),
        ),
    ),
    FilePage(
        "peridotfront-standin",
        "Settings of the stand-in upstream, for demonstrations and tests only.",
        (
            SectionPage("[standin]", standin_settings.StandinSection),
            SectionPage("[engine]", standin_settings.EngineSection),
            SectionPage("[service]", standin_settings.ServiceSection),
        ),
    ),
)


def written_events() -> set[str]:
    """Return the names of the log events that the source code writes."""
    names: set[str] = set()
    for path in SOURCES.rglob("*.py"):
        names.update(_event_names(ast.parse(path.read_text(encoding="utf-8"))))
    return names


def _event_names(tree: ast.AST) -> Iterator[str]:
    for node in ast.walk(tree):
        if not (isinstance(node, ast.Call) and node.args):
            continue
        first = node.args[0]
        is_writer = ast.unparse(node.func) in WRITERS
        if is_writer and isinstance(first, ast.Constant):
            yield str(first.value)


def logs_page() -> str:
    """Render docs/LOGS.md."""
    written = written_events()
    lines = [
        "# Log events",
        "",
        NOTICE,
        "",
        "Each line on standard error has `number`, `name`, `host`, `request_id` (empty"
        " if it concerns no request), the text as `event`, and the event's fields."
        " Numbers never change. *Planned* marks events that no code writes yet.",
    ]
    for digit, title in RANGES:
        lines += ["", f"## {digit}xx: {title}", ""]
        lines += [
            "| Number | Name | Level | Text | Meaning |",
            "|---|---|---|---|---|",
        ]
        events = [event for event in EVENTS if event.number // 100 == digit]
        lines += [_event_line(event, event.name in written) for event in events]
    return "\n".join(lines) + "\n"


def _event_line(event: LogEvent, is_written: bool) -> str:
    name = f"`{event.name}`" if is_written else f"`{event.name}` (planned)"
    return (
        f"| {event.number} | {name} | {event.level.value} | {event.text} |"
        f" {event.meaning} |"
    )


def settings_page(undocumented: list[str]) -> str:
    """Render docs/SETTINGS.md.

    :param undocumented: list to which keys without a documented meaning are added.
    """
    lines = [
        "# Settings",
        "",
        NOTICE,
        "",
        "All files are INI. `peridotfrontctl settings check FILE` names every fault of"
        " a file. A key without a default must be given. Tier 1 is the highest.",
    ]
    for page in FILE_PAGES:
        lines += ["", f"## {page.title}", "", page.text]
        for section in page.sections:
            lines += ["", f"### {section.title}", ""]
            lines += [
                "| Key | Type | Unit | Default | Meaning |",
                "|---|---|---|---|---|",
            ]
            lines += _key_lines(section, undocumented)
    return "\n".join(lines) + "\n"


def _key_lines(section: SectionPage, undocumented: list[str]) -> Iterator[str]:
    meanings = param_docs(section.documented) | param_docs(section.model)
    is_per_name = "NAME" in section.title
    for key, field in section.model.model_fields.items():
        if is_per_name and key == "name":
            continue
        if key not in meanings and section.model is not ctl_settings.RegisterSection:
            undocumented.append(f"{section.model.__module__}: {section.title} {key}")
        meaning = meanings.get(key, f"Column that holds `{key}`.")
        meaning = meaning[:1].upper() + meaning[1:]
        yield (
            f"| `{key}` | {type_text(field)} | {unit_text(key)} |"
            f" {default_text(field)} | {meaning} |"
        )


def param_docs(documented: type | None) -> dict[str, str]:
    """Return the ``:param:`` texts of a class's docstring by name."""
    if documented is None:
        return {}
    parts = re.split(r":param (\w+):", documented.__doc__ or "")
    texts = [" ".join(text.split()) for text in parts[2::2]]
    return dict(zip(parts[1::2], texts, strict=True))


def unit_text(key: str) -> str:
    """Return the unit that the suffix of a key means, or an empty text."""
    return next((unit for suffix, unit in UNITS if key.endswith(suffix)), "")


def default_text(field: FieldInfo) -> str:
    """Return the default of a key in the syntax of the file."""
    value = field.default
    if value is PydanticUndefined:
        return "(required)"
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    if isinstance(value, tuple):
        value = ", ".join(value)
    return f"`{value}`" if value != "" else "(empty)"


def type_text(field: FieldInfo) -> str:
    """Return the type of a key with its constraints."""
    kind = field.annotation
    if typing.get_origin(kind) is typing.Literal:
        return "one of " + ", ".join([f"`{word}`" for word in typing.get_args(kind)])
    if typing.get_origin(kind) is tuple:
        return "words, separated by commas"
    if typing.get_origin(kind) in (typing.Union, UnionType):
        kind = typing.get_args(kind)[0]
    names = [getattr(m, "__name__", "") for m in _functions(field)]
    if "check_address" in names:
        return "IP:PORT"
    words = [TYPE_WORDS.get(kind, "path")]
    for name, text in CONSTRAINTS:
        bounds = [getattr(m, name, None) for m in field.metadata]
        words += [text.format(b) for b in bounds if b is not None]
    return ", ".join(words)


def _functions(field: FieldInfo) -> Iterator[object]:
    for item in field.metadata:
        if hasattr(item, "func"):
            yield item.func


def catalogue_faults() -> Iterator[str]:
    """Yield the faults of the catalogue of log events."""
    for name in sorted(written_events() - set(EVENTS_BY_NAME)):
        yield f"log event {name} is written but not in the catalogue"
    numbers = [event.number for event in EVENTS]
    for number in sorted({n for n in numbers if numbers.count(n) > 1}):
        yield f"log event number {number} is used twice"
    if len(EVENTS_BY_NAME) != len(EVENTS):
        yield "a log event name is used twice"


def main(arguments: list[str]) -> int:
    """Write the pages, or with ``--check`` compare them; return the exit code."""
    faults = list(catalogue_faults())
    undocumented: list[str] = []
    pages = {LOGS_FILE: logs_page(), SETTINGS_FILE: settings_page(undocumented)}
    faults += [f"no :param: documents {name}" for name in undocumented]
    for path, text in pages.items():
        if "--check" not in arguments:
            path.parent.mkdir(exist_ok=True)
            path.write_text(text, encoding="utf-8")
        elif not path.exists() or path.read_text(encoding="utf-8") != text:
            faults.append(f"{path.name} is not current: run tools/generate_docs.py")
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
