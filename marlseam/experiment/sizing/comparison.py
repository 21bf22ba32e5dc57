"""Figures of in-process nodes, which reports call hollow, beside those of real ones."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

TOLERANCE = 0.25  # by which they may differ before the report says so
TABLE_HEAD = ("figure", "size", "hollow", "real", "hollow over real", "")


class FigurePair(NamedTuple):
    """One figure of in-process and of real nodes."""

    in_process: float
    real: float

    @property
    def ratio(self) -> float:
        """The first over the second, 0 where the second is 0."""
        return self.in_process / self.real if self.real else 0.0

    @property
    def is_within_tolerance(self) -> bool:
        """Whether both agree as far as they have to."""
        return 1.0 / (1.0 + TOLERANCE) <= self.ratio <= 1.0 + TOLERANCE


class Comparison(NamedTuple):
    """What a comparison shows.

    Attributes:
        rows: a table, its head first.
        ratios: of in-process over real, by the name of a figure of the report.
    """

    rows: list[list[str]]
    ratios: dict[str, float]


def upper_median(values: Sequence[float]) -> float:
    """Return the median, the upper of two."""
    return sorted(values)[len(values) // 2]


def compare(pairs: Mapping[str, tuple[float, float]]) -> Comparison:
    """Compare pairs of an in-process and a real figure; their names are `FIGURE_SIZE`."""
    rows = [list(TABLE_HEAD)]
    ratios: dict[str, float] = {}
    for name, values in pairs.items():
        pair = FigurePair(*values)
        figure, _, size = name.rpartition("_")
        remark = "" if pair.is_within_tolerance else "off by over a quarter"
        rows.append([figure, size, f"{pair.in_process:.4g}", f"{pair.real:.4g}", f"{pair.ratio:.2f}", remark])
        ratios[f"true_{name}"] = pair.ratio
    return Comparison(rows, ratios)
