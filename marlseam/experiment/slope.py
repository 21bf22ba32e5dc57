"""Growth of a figure with a size: points, the line fitted to them, and a bound at the planned size; pure."""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

# Errors are relative to at least this share of the largest value: values near 0 would weigh too much.
MIN_VALUE_SHARE = 0.01
TABLE_HEAD = ("figure", "unit", "how", "a", "b", "largest miss", "at full size", "bound", "value over bound")
NO_VALUE = "-"  # in a table, for a value that a figure does not have


class Point(NamedTuple):
    """The value of a figure at a size."""

    size: float
    value: float


class Fit(NamedTuple):
    """A line `a + b N` fitted to points, where N is the size.

    Attributes:
        a: the value at size 0.
        b: the increase of the value per unit of size.
        max_relative_error: the largest error at a point, relative to the point's value.
    """

    a: float
    b: float
    max_relative_error: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.a + self.b * size


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """Return the line with the least sum of squared errors, each relative to its point's value.

    Unweighted least squares would let the largest sizes alone determine the line at the smallest ones. If all
    points have the same size, the line is flat. Raises ValueError if there are no points.
    """
    if not points:
        raise ValueError("cannot fit a line: no points")
    max_value = max(abs(value) for _, value in points)
    if max_value == 0.0:
        return Fit(0.0, 0.0, 0.0)
    scales = [max(abs(value), MIN_VALUE_SHARE * max_value) for _, value in points]
    a, b = weighted_line(points, [1.0 / scale**2 for scale in scales])
    relative_errors = [
        abs(a + b * size - value) / scale for (size, value), scale in zip(points, scales, strict=True)
    ]
    return Fit(a, b, max(relative_errors))


class Line(NamedTuple):
    """A line `intercept + gradient N`, where N is the size."""

    intercept: float
    gradient: float


def weighted_line(points: Sequence[tuple[float, float]], weights: Sequence[float]) -> Line:
    """Return the line fitted to points by weighted least squares; flat if all sizes are equal."""
    weighted = list(zip(weights, points, strict=True))
    total = sum(weights)
    mean_size = sum(weight * size for weight, (size, _) in weighted) / total
    mean_value = sum(weight * value for weight, (_, value) in weighted) / total
    variance = sum(weight * (size - mean_size) ** 2 for weight, (size, _) in weighted)
    covariance = sum(weight * (size - mean_size) * (value - mean_value) for weight, (size, value) in weighted)
    gradient = covariance / variance if variance > 0.0 else 0.0
    return Line(mean_value - gradient * mean_size, gradient)


class Slope(msgspec.Struct):
    """One figure by size; the names of the fields are keys of a run's summary.

    Attributes:
        name, unit: the name and the unit of the figure.
        how: how the figure is measured. `counted`: a count that is the same on every run; `hollow`: processor
            time or memory of an in-process node; `virtual`: on a virtual clock; `measured`: of real processes
            on loopback; `worked out`: calculated.
        points: pairs of size and value.
        full: the planned size.
        bound: the upper bound of the value at the planned size; None if it has none.
        by: the items that the size counts, as a plural noun.
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
        """The line fitted to the points."""
        return fit(self.points)

    @property
    def value(self) -> float:
        """The value at the planned size: the measured one if there is one, else the fitted one."""
        found = [value for size, value in self.points if size == self.full]
        return found[0] if found else self.fit.at(self.full)

    @property
    def ratio(self) -> float | None:
        """The value at the planned size over its bound; None if it has no bound."""
        return self.value / self.bound if self.bound else None


def figures(slopes: Sequence[Slope]) -> dict[str, float]:
    """Return the figures of slopes for experiment files, by name.

    The figures are the values by size, the fitted line, its error, and the value at the planned size, also
    over its bound.
    """
    found: dict[str, float] = {}
    for slope in slopes:
        found |= {f"{slope.name}_{size:g}": value for size, value in slope.points}
        found |= {f"{slope.name}_a": slope.fit.a, f"{slope.name}_b": slope.fit.b}
        found |= {f"{slope.name}_miss": slope.fit.max_relative_error, f"{slope.name}_full": slope.value}
        if slope.ratio is not None:
            found[f"{slope.name}_over"] = slope.ratio
    return found


def rows(slopes: Sequence[Slope]) -> list[list[str]]:
    """Return slopes as a table: the header row, then the slopes by descending ratio to their bounds."""
    by_ratio = sorted(slopes, key=lambda slope: -(slope.ratio or 0.0))
    return [list(TABLE_HEAD), *(row(slope) for slope in by_ratio)]


def row(slope: Slope) -> list[str]:
    """Return a slope as a row of the table of `TABLE_HEAD`."""
    line = slope.fit
    return [
        slope.name,
        slope.unit,
        slope.how,
        f"{line.a:.4g}",
        f"{line.b:.4g}",
        f"{line.max_relative_error:.0%}",
        f"{slope.value:.4g} at {slope.full:g} {slope.by}",
        f"{slope.bound:.4g}" if slope.bound else NO_VALUE,
        f"{slope.ratio:.3g}" if slope.ratio is not None else NO_VALUE,
    ]
