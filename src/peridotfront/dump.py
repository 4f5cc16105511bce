"""Turns the state of a process into bounded JSON for operators.

Whatever is left out is marked; values under a secret name are masked, and of
bytes only the size is shown, since they may be a caller's data. Of objects that
are neither data nor of this package only the type's name is shown.
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
CUT = "(left out)"
REPEATED = "(shown above)"
PACKAGE = __name__.partition(".")[0]
SEPARATORS_BYTES = 4
MARKERS_BYTES = 64 * MAX_DEPTH


@dataclass(slots=True)
class Limits:
    """Bounds a dump.

    :param max_items: of each list or mapping.
    :param size_bytes: that are left for the rest of the dump.
    :param parents: identities of the objects that the dump is inside of.
    """

    max_items: int = MAX_ITEMS
    size_bytes: int = MAX_SIZE_BYTES
    parents: list[int] = field(default_factory=list)

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
    return json.dumps(_simple(state, limits), separators=(",", ":")).encode()


def _simple(value: Any, limits: Limits) -> Any:
    if value is None or isinstance(value, bool | int | float | str | bytes | Enum):
        return _scalar(value, limits)
    if id(value) in limits.parents:
        return _scalar(REPEATED, limits)
    if len(limits.parents) >= MAX_DEPTH:
        return _scalar(CUT, limits)
    limits.parents.append(id(value))
    try:
        return _compound(value, limits)
    finally:
        limits.parents.pop()


def _compound(value: Any, limits: Limits) -> Any:
    if isinstance(value, Mapping):
        return _mapping(value.items(), limits)
    if is_dataclass(value) and not isinstance(value, type):
        return _mapping(_dataclass_items(value), limits)
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        return _mapping(_mask_header(value._asdict()), limits)
    if isinstance(value, Iterable) and hasattr(value, "__len__"):
        return _sequence(value, limits)
    if _is_own(value):
        return _mapping(vars(value).items(), limits)
    return _scalar(type(value).__name__, limits)


def _is_own(value: Any) -> bool:
    is_plain = hasattr(value, "__dict__") and not callable(value)
    return is_plain and type(value).__module__.partition(".")[0] == PACKAGE


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


def _mapping(items: Iterable[tuple[Any, Any]], limits: Limits) -> dict:
    items = list(items)
    shown: dict[str, Any] = {}
    for key, value in items[: limits.max_items]:
        name = _key_text(key)
        if not limits.spend(name):
            break
        if isinstance(key, str) and is_secret(key):
            value = MASK
        shown[name] = _simple(value, limits)
    if len(shown) < len(items):
        shown[CUT] = len(items) - len(shown)
    return shown


def _key_text(key: Any) -> str:
    text = str(key.value) if isinstance(key, Enum) else str(key)
    return text[:MAX_TEXT_CHARACTERS]


def _sequence(value: Iterable, limits: Limits) -> list:
    shown = []
    for item in islice(value, limits.max_items):
        if limits.size_bytes <= 0:
            break
        shown.append(_simple(item, limits))
    rest = len(value) - len(shown)
    if rest:
        shown.append(f"{CUT}: {rest} more")
    return shown
