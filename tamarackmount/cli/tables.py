"""Plain-text tables."""

from collections.abc import Sequence

COLUMN_SEPARATOR = "  "
"""Text between two columns."""


def format_table(titles: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return rows under titles, with columns as wide as their widest cell."""
    lines = [titles, *rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(titles))]
    return "\n".join(_format_line(line, widths) for line in lines)


def _format_line(line: Sequence[str], widths: Sequence[int]) -> str:
    cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
    return COLUMN_SEPARATOR.join(cells).rstrip()
