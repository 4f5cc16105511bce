"""Reader of one page of the platform's list, entry by entry.

An entry may hold anything, also bytes that are no JSON. Such an entry is left out, and
must not make the others unreadable.
"""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from pydantic_core import from_json

# A string, or a mark that begins, ends or separates the parts of an object or array.
TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
MEMBER = re.compile(rb'\s*"\w*"\s*:')
ENTRIES_MEMBER = re.compile(rb'\s*"Instances"\s*:\s*(?=\[)')
TOKEN_MEMBER = re.compile(rb'"NextToken"\s*:\s*(null|"(?:[^"\\]|\\.)*")', re.DOTALL)
ENTRY_BEGIN = re.compile(r"[\[,]\s*(?=\{)")
BRACKETS = {b"[": b"]", b"{": b"}"}
MAX_UNCLOSED_ENTRIES = 100


@dataclass(frozen=True, slots=True)
class RawPage:
    """Page of the list before its entries are checked.

    :param entries: values of the readable entries.
    :param unreadable_entries: number of those that were left out.
    :param next_token: token of the following page; empty on the last page.
    """

    entries: tuple[Any, ...]
    unreadable_entries: int
    next_token: str


def read_page(body: bytes) -> RawPage:
    """Read a page.

    :raises ValueError: if the body is no page of the list.
    """
    try:
        page = from_json(body)
    except ValueError:
        return _read_parts(body)
    if not isinstance(page, dict) or not isinstance(page.get("Instances"), list):
        raise ValueError("has no entries")
    next_token = page.get("NextToken")
    if not isinstance(next_token, str):
        next_token = ""
    return RawPage(tuple(page["Instances"]), 0, next_token)


def _read_parts(body: bytes) -> RawPage:
    """Read a page of which some entries are no JSON."""
    parts = _split_entries(body)
    if parts:
        values = [_read_value(part) for part in parts]
    else:
        values = list(_read_unclosed(body))
    token_members = TOKEN_MEMBER.findall(body)
    if not token_members:
        raise ValueError("has no token of the next page")
    entries = tuple([value for value in values if value is not None])
    next_token = from_json(token_members[-1]) or ""
    return RawPage(entries, len(values) - len(entries), next_token)


def _split_entries(body: bytes) -> list[bytes]:
    """Return the texts of the entries; none if the brackets of the page don't match."""
    members = _split_parts(body)
    if not all(MEMBER.match(member) for member in members):
        return []
    for member in members:
        name = ENTRIES_MEMBER.match(member)
        if name:
            return _split_parts(member[name.end() :])
    return []


def _split_parts(text: bytes) -> list[bytes]:
    """Return the parts of an object or array; none if its brackets don't match."""
    parts = []
    ends: list[bytes] = []
    begin = 0
    for token in TOKENS.finditer(text):
        mark = token[0]
        if mark in BRACKETS:
            ends.append(BRACKETS[mark])
            begin = token.end() if len(ends) == 1 else begin
        elif mark == b"," and len(ends) == 1:
            parts.append(text[begin : token.start()])
            begin = token.end()
        elif mark in BRACKETS.values():
            if not ends or ends.pop() != mark:
                return []
            if not ends:
                rest = text[token.end() :]
                return [] if rest.strip() else [*parts, text[begin : token.start()]]
    return []


def _read_value(text: bytes) -> Any:
    """Return the value of a JSON text; None if it can't be read."""
    try:
        return from_json(text)
    except ValueError:
        return None


def _read_unclosed(body: bytes) -> Iterator[Any]:
    """Yield the entries of a page in which a string or bracket has no end.

    :raises ValueError: if too many entries are unreadable.
    """
    text = body.decode("utf-8", "surrogateescape")
    decoder = json.JSONDecoder()
    end = 0
    unreadable_entries = 0
    for begin in ENTRY_BEGIN.finditer(text):
        if begin.start() < end:
            continue
        try:
            _, end = decoder.raw_decode(text, begin.end())
        except (ValueError, RecursionError):
            unreadable_entries += 1
            if unreadable_entries > MAX_UNCLOSED_ENTRIES:
                raise ValueError("has too many unreadable entries") from None
            yield None
            continue
        entry = text[begin.end() : end]
        yield _read_value(entry.encode("utf-8", "surrogateescape"))
