"""Turns the state of a process into bounded JSON for operators.

Whatever is left out is marked; values under a secret name are masked, and of
bytes only the size is shown, since they may be a caller's data.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from itertools import islice
from math import isfinite
from typing import Any

from .masking import MASK, is_secret

MAX_ITEMS = 100
MAX_SIZE_BYTES = 1_048_576
MAX_TEXT_CHARACTERS = 512
MAX_DEPTH = 16
CUT = "(left out)"
SEPARATORS_BYTES = 4
MARKERS_BYTES = 64 * MAX_DEPTH


@dataclass(slots=True)
class Limits:
    """Bounds a dump.

    :param max_items: of each list or mapping.
    :param size_bytes: that are left for the rest of the dump.
    """

    max_items: int = MAX_ITEMS
    size_bytes: int = MAX_SIZE_BYTES

    def spend(self, text: str) -> bool:
        """Take the size of a text off what is left; tell whether it fitted.

        After the first text that did not fit nothing more is shown.
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
    """Return any state as JSON.

    :param state: data classes, mappings, lists, enums, plain objects, nested.
    :param max_items: bound on the items shown of each list or mapping.
    :param max_size_bytes: bound on the JSON as a whole, from 2,048 up.
    :rtype: bytes

    Usage::

        body = dump(controller, max_items=50)
    """
    limits = Limits(max_items, max(0, max_size_bytes - MARKERS_BYTES))
    return json.dumps(_simple(state, limits, 0), separators=(",", ":")).encode()


def _simple(value: Any, limits: Limits, depth: int) -> Any:
    if value is None or isinstance(value, bool | int | float | str | bytes | Enum):
        return _scalar(value, limits)
    if depth >= MAX_DEPTH:
        return _scalar(CUT, limits)
    if isinstance(value, Mapping):
        return _mapping(value.items(), limits, depth)
    if is_dataclass(value) and not isinstance(value, type):
        return _mapping(_dataclass_items(value), limits, depth)
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        return _mapping(_mask_header(value._asdict()), limits, depth)
    if isinstance(value, Iterable) and hasattr(value, "__len__"):
        return _sequence(value, limits, depth)
    if callable(value) or not hasattr(value, "__dict__"):
        return _scalar(type(value).__name__, limits)
    return _mapping(vars(value).items(), limits, depth)


def _scalar(value: Any, limits: Limits) -> Any:
    if isinstance(value, Enum):
        value = value.value
    if isinstance(value, bytes):
        value = f"{len(value)} bytes"
    if isinstance(value, float) and not isfinite(value):
        value = str(value)
    if isinstance(value, str) and len(value) > MAX_TEXT_CHARACTERS:
        rest = len(value) - MAX_TEXT_CHARACTERS
        value = f"{value[:MAX_TEXT_CHARACTERS]}... ({rest} characters more)"
    return value if limits.spend(str(value)) else CUT


def _dataclass_items(value: Any) -> Iterable[tuple[str, Any]]:
    names = [field.name for field in fields(value)]
    return _mask_header({name: getattr(value, name, None) for name in names})


def _mask_header(values: dict[str, Any]) -> Iterable[tuple[str, Any]]:
    if values.keys() == {"name", "value"} and is_secret(str(values["name"])):
        return {**values, "value": MASK}.items()
    return values.items()


def _mapping(items: Iterable[tuple[Any, Any]], limits: Limits, depth: int) -> dict:
    items = list(items)
    shown: dict[str, Any] = {}
    for key, value in items[: limits.max_items]:
        name = _key_text(key)
        if not limits.spend(name):
            break
        if isinstance(key, str) and is_secret(key):
            value = MASK
        shown[name] = _simple(value, limits, depth + 1)
    if len(shown) < len(items):
        shown[CUT] = len(items) - len(shown)
    return shown


def _key_text(key: Any) -> str:
    text = str(key.value) if isinstance(key, Enum) else str(key)
    return text[:MAX_TEXT_CHARACTERS]


def _sequence(value: Iterable, limits: Limits, depth: int) -> list:
    shown = []
    for item in islice(value, limits.max_items):
        if limits.size_bytes <= 0:
            break
        shown.append(_simple(item, limits, depth + 1))
    rest = len(value) - len(shown)
    if rest:
        shown.append(f"{CUT}: {rest} more")
    return shown
