"""Plain text tables for people."""

from collections.abc import Iterable, Sequence

GAP = "  "


def format_table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return rows under headings, in aligned columns.

    Control characters in cells are shown as question marks.

    Usage::

        table(("HOST", "STATE"), [("entry-1", "alive")])
    """
    lines = [list(headings)]
    lines.extend([[_cell(value) for value in row] for row in rows])
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join([_line(cells, widths) for cells in lines])


def _cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    text = str(value)
    if text.isprintable():
        return text or "-"
    return "".join(c if c.isprintable() else "?" for c in text)


def _line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
    return GAP.join(padded).rstrip()
