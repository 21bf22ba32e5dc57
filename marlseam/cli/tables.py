"""Tables for people."""

from collections.abc import Iterable


def table(rows: Iterable[list[str]]) -> str:
    """Return rows in columns."""
    rows = list(rows)
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = ("  ".join(cell.ljust(w) for cell, w in zip(row, widths, strict=True)).rstrip() for row in rows)
    return "\n".join(lines)
