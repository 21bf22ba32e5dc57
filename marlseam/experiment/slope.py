"""How a figure grows with a size: points, a line through them, and a bound at the planned size; pure."""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

# A miss is held against at least this share of the greatest value: values near 0 would count for too much.
MIN_VALUE_SHARE = 0.01
TABLE_HEAD = ("figure", "unit", "how", "a", "b", "largest miss", "at full size", "bound", "value over bound")
NONE = "-"  # in a table, for what a figure has not


class Point(NamedTuple):
    """A figure's value at a size."""

    size: float
    value: float


class Fit(NamedTuple):
    """A line `a + b N` through points.

    Attributes:
        a: its value at size 0.
        b: its growth by one of the size.
        miss: its largest miss of a point, as a share of the point's value.
    """

    a: float
    b: float
    miss: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.a + self.b * size


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """Return the line whose misses, each as a share of its value, have the least sum of squares.

    Plain least squares would let the greatest sizes alone say what the smallest cost. Where all points have
    one size the line is flat. Raises ValueError where there are no points.
    """
    if not points:
        raise ValueError("no points")
    greatest = max(abs(value) for _, value in points)
    if greatest == 0.0:
        return Fit(0.0, 0.0, 0.0)
    scales = [max(abs(value), MIN_VALUE_SHARE * greatest) for _, value in points]
    a, b = weighted_line(points, [1.0 / scale**2 for scale in scales])
    misses = [abs(a + b * size - value) / scale for (size, value), scale in zip(points, scales, strict=True)]
    return Fit(a, b, max(misses))


class Line(NamedTuple):
    """A line `intercept + gradient N`."""

    intercept: float
    gradient: float


def weighted_line(points: Sequence[tuple[float, float]], weights: Sequence[float]) -> Line:
    """Return the line of weighted least squares through points."""
    weighted = list(zip(weights, points, strict=True))
    total = sum(weights)
    mean_size = sum(weight * size for weight, (size, _) in weighted) / total
    mean_value = sum(weight * value for weight, (_, value) in weighted) / total
    variance = sum(weight * (size - mean_size) ** 2 for weight, (size, _) in weighted)
    covariance = sum(weight * (size - mean_size) * (value - mean_value) for weight, (size, value) in weighted)
    gradient = covariance / variance if variance > 0.0 else 0.0
    return Line(mean_value - gradient * mean_size, gradient)


class Slope(msgspec.Struct):
    """One figure by size. The fields' names are keys of a run's summary.

    Attributes:
        name, unit: of the figure.
        how: where it comes from. `counted`: the same on every run; `hollow`: processor time or memory of an
            in-process node; `virtual`: on a virtual clock; `measured`: of real processes on loopback;
            `worked out`: calculated.
        points: the values, by size.
        full: the planned size.
        bound: of the value at that size, None where it has none.
        by: what the size counts.
    """

    name: str
    unit: str
    how: str
    points: Sequence[tuple[float, float]]
    full: float
    bound: float | None = None
    by: str = "executors"

    @property
    def fit(self) -> Fit:
        """The line through the points."""
        return fit(self.points)

    @property
    def value(self) -> float:
        """The value at the planned size: as found there, else by the line."""
        found = [value for size, value in self.points if size == self.full]
        return found[0] if found else self.fit.at(self.full)

    @property
    def ratio(self) -> float | None:
        """The value at the planned size over its bound."""
        return self.value / self.bound if self.bound else None


def figures(slopes: Sequence[Slope]) -> dict[str, float]:
    """Return what an experiment file may expect of slopes: values by size, at full size and over bounds."""
    found: dict[str, float] = {}
    for slope in slopes:
        found |= {f"{slope.name}_{size:g}": value for size, value in slope.points}
        found |= {f"{slope.name}_a": slope.fit.a, f"{slope.name}_b": slope.fit.b}
        found |= {f"{slope.name}_miss": slope.fit.miss, f"{slope.name}_full": slope.value}
        if slope.ratio is not None:
            found[f"{slope.name}_over"] = slope.ratio
    return found


def rows(slopes: Sequence[Slope]) -> list[list[str]]:
    """Return slopes as a table, its head first; those that are nearest to their bounds go first."""
    by_ratio = sorted(slopes, key=lambda slope: -(slope.ratio or 0.0))
    return [list(TABLE_HEAD), *(row(slope) for slope in by_ratio)]


def row(slope: Slope) -> list[str]:
    """Return a slope as a row of a table."""
    line = slope.fit
    return [
        slope.name,
        slope.unit,
        slope.how,
        f"{line.a:.4g}",
        f"{line.b:.4g}",
        f"{line.miss:.0%}",
        f"{slope.value:.4g} at {slope.full:g} {slope.by}",
        f"{slope.bound:.4g}" if slope.bound else NONE,
        f"{slope.ratio:.3g}" if slope.ratio is not None else NONE,
    ]
