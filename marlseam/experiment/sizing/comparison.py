"""Comparison of the figures of in-process nodes, called `hollow` in reports, with those of real nodes."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

TOLERANCE = 0.25  # largest relative difference that the report does not mark
TABLE_HEAD = ("figure", "size", "hollow", "real", "hollow over real", "")


class FigurePair(NamedTuple):
    """The values of one figure for in-process and for real nodes."""

    in_process: float
    real: float

    @property
    def ratio(self) -> float:
        """The in-process value over the real value; 0 if the real value is 0."""
        return self.in_process / self.real if self.real else 0.0

    @property
    def is_within_tolerance(self) -> bool:
        """Whether the ratio is at most 1 + `TOLERANCE` and at least its inverse."""
        return 1.0 / (1.0 + TOLERANCE) <= self.ratio <= 1.0 + TOLERANCE


class Comparison(NamedTuple):
    """The result of a comparison.

    Attributes:
        rows: a table for the report, header row first.
        ratios: in-process value over real value, by `true_FIGURE_SIZE`.
    """

    rows: list[list[str]]
    ratios: dict[str, float]


def upper_median(values: Sequence[float]) -> float:
    """Return the median; for an even number of values, the upper of the two middle ones."""
    return sorted(values)[len(values) // 2]


def compare(pairs: Mapping[str, tuple[float, float]]) -> Comparison:
    """Compare pairs of an in-process and a real value, given by `FIGURE_SIZE`."""
    rows = [list(TABLE_HEAD)]
    ratios: dict[str, float] = {}
    for name, values in pairs.items():
        pair = FigurePair(*values)
        figure, _, size = name.rpartition("_")
        remark = "" if pair.is_within_tolerance else "off by over a quarter"
        rows.append([figure, size, f"{pair.in_process:.4g}", f"{pair.real:.4g}", f"{pair.ratio:.2f}", remark])
        ratios[f"true_{name}"] = pair.ratio
    return Comparison(rows, ratios)
