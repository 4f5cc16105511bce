"""Plain text tables."""

from collections.abc import Iterable, Sequence

GAP = "  "


def format_table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Format rows under headings, in aligned columns.

    Control characters in cells are replaced by question marks.

    Usage::

        format_table(("HOST", "STATE"), [("entry-1", "alive")])
    """
    lines = [list(headings)]
    lines.extend([[_format_cell(value) for value in row] for row in rows])
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join([_format_line(cells, widths) for cells in lines])


def _format_cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    text = str(value)
    if text.isprintable():
        return text or "-"
    return "".join(c if c.isprintable() else "?" for c in text)


def _format_line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
    return GAP.join(padded).rstrip()
