"""Text tables for terminals."""

from collections.abc import Iterable


def table(rows: Iterable[list[str]]) -> str:
    """Return rows as text in aligned columns; raise ValueError if rows differ in their number of cells."""
    rows = list(rows)
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows
    )
    return "\n".join(lines)
