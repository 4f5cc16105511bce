"""Serialization of the state of a process as bounded JSON for operators.

Omitted items are marked, and values under a secret name are masked. Of bytes only
the size is shown, since they may be a caller's data. Objects that are neither data
nor defined in this package are shown as the name of their type.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, fields, is_dataclass
from enum import Enum
from itertools import islice
from math import isfinite
from typing import Any

from .masking import MASK, is_secret

MAX_ITEMS = 100
MAX_SIZE_BYTES = 1_048_576
MAX_TEXT_CHARACTERS = 512
MAX_DEPTH = 16
OMITTED = "(left out)"
SHOWN_ABOVE = "(shown above)"
PACKAGE = __name__.partition(".")[0]
SEPARATORS_BYTES = 4
MARKERS_BYTES = 64 * MAX_DEPTH


@dataclass(slots=True)
class DumpBudget:
    """Size limits of a dump in progress.

    :param max_items: limit on the items shown of each list or mapping.
    :param size_bytes: remaining size of the dump.
    :param ancestors: ids of the objects that enclose the current one.
    """

    max_items: int = MAX_ITEMS
    size_bytes: int = MAX_SIZE_BYTES
    ancestors: list[int] = field(default_factory=list)

    def consume(self, text: str) -> bool:
        """Deduct the size of a text from the remaining size.

        After the first text that does not fit, nothing more is shown.

        :return: whether the text fits.
        """
        size_bytes = len(json.dumps(text)) + SEPARATORS_BYTES
        if size_bytes > self.size_bytes:
            self.size_bytes = 0
            return False
        self.size_bytes -= size_bytes
        return True


def dump(
    state: Any, max_items: int = MAX_ITEMS, max_size_bytes: int = MAX_SIZE_BYTES
) -> bytes:
    """Serialize any state as JSON.

    :param state: data classes, mappings, lists, enums and plain objects, nested.
    :param max_items: limit on the items shown of each list or mapping.
    :param max_size_bytes: limit on the size of the JSON; must be at least 2,048.
    :rtype: bytes

    Usage::

        body = dump(controller, max_items=50)
    """
    budget = DumpBudget(max_items, max(0, max_size_bytes - MARKERS_BYTES))
    return json.dumps(_convert(state, budget), separators=(",", ":")).encode()


def _convert(value: Any, budget: DumpBudget) -> Any:
    if value is None or isinstance(value, bool | int | float | str | bytes | Enum):
        return _convert_scalar(value, budget)
    if id(value) in budget.ancestors:
        return _convert_scalar(SHOWN_ABOVE, budget)
    if len(budget.ancestors) >= MAX_DEPTH:
        return _convert_scalar(OMITTED, budget)
    budget.ancestors.append(id(value))
    try:
        return _convert_compound(value, budget)
    finally:
        budget.ancestors.pop()


def _convert_compound(value: Any, budget: DumpBudget) -> Any:
    if isinstance(value, Mapping):
        return _convert_mapping(value.items(), budget)
    if is_dataclass(value) and not isinstance(value, type):
        return _convert_mapping(_list_dataclass_items(value), budget)
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        return _convert_mapping(_mask_header(value._asdict()), budget)
    if isinstance(value, Iterable) and hasattr(value, "__len__"):
        return _convert_sequence(value, budget)
    if _is_package_object(value):
        return _convert_mapping(vars(value).items(), budget)
    return _convert_scalar(type(value).__name__, budget)


def _is_package_object(value: Any) -> bool:
    is_plain = hasattr(value, "__dict__") and not callable(value)
    return is_plain and type(value).__module__.partition(".")[0] == PACKAGE


def _convert_scalar(value: Any, budget: DumpBudget) -> Any:
    if isinstance(value, Enum):
        value = value.value
    if isinstance(value, bytes):
        value = f"{len(value)} bytes"
    if isinstance(value, float) and not isfinite(value):
        value = str(value)
    if isinstance(value, str) and len(value) > MAX_TEXT_CHARACTERS:
        omitted = len(value) - MAX_TEXT_CHARACTERS
        value = f"{value[:MAX_TEXT_CHARACTERS]}... ({omitted} characters more)"
    return value if budget.consume(str(value)) else OMITTED


def _list_dataclass_items(value: Any) -> Iterable[tuple[str, Any]]:
    names = [field.name for field in fields(value)]
    return _mask_header({name: getattr(value, name, None) for name in names})


def _mask_header(values: dict[str, Any]) -> Iterable[tuple[str, Any]]:
    if values.keys() == {"name", "value"} and is_secret(str(values["name"])):
        return {**values, "value": MASK}.items()
    return values.items()


def _convert_mapping(items: Iterable[tuple[Any, Any]], budget: DumpBudget) -> dict:
    items = list(items)
    converted: dict[str, Any] = {}
    for key, value in items[: budget.max_items]:
        name = _format_key(key)
        if not budget.consume(name):
            break
        if isinstance(key, str) and is_secret(key):
            value = MASK
        converted[name] = _convert(value, budget)
    if len(converted) < len(items):
        converted[OMITTED] = len(items) - len(converted)
    return converted


def _format_key(key: Any) -> str:
    text = str(key.value) if isinstance(key, Enum) else str(key)
    return text[:MAX_TEXT_CHARACTERS]


def _convert_sequence(value: Iterable, budget: DumpBudget) -> list:
    converted = []
    for item in islice(value, budget.max_items):
        if budget.size_bytes <= 0:
            break
        converted.append(_convert(item, budget))
    omitted = len(value) - len(converted)
    if omitted:
        converted.append(f"{OMITTED}: {omitted} more")
    return converted
