"""How a figure grows with a size: points, a line through them, and a bound at the full size; pure."""

from typing import NamedTuple

import msgspec

SMALL = 0.01  # of the greatest value: what a miss is held against at least


class Fit(NamedTuple):
    """The line `a + b N`, and its largest miss as a share of the value that it misses."""

    a: float
    b: float
    miss: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.a + self.b * size


def fit(points: list[tuple[float, float]]) -> Fit:
    """Return the line whose misses, each as a share of its value, have the least sum of squares.

    Plain least squares would let the greatest sizes alone say what the smallest cost. Where all points have
    one size the line is flat.
    """
    if not points:
        raise ValueError("no points")
    most = max(abs(y) for _, y in points)
    if most == 0.0:
        return Fit(0.0, 0.0, 0.0)
    weights = [1.0 / max(abs(y), SMALL * most) ** 2 for _, y in points]
    total = sum(weights)
    mean_n = sum(w * n for w, (n, _) in zip(weights, points, strict=True)) / total
    mean_y = sum(w * y for w, (_, y) in zip(weights, points, strict=True)) / total
    spread = sum(w * (n - mean_n) ** 2 for w, (n, _) in zip(weights, points, strict=True))
    both = sum(w * (n - mean_n) * (y - mean_y) for w, (n, y) in zip(weights, points, strict=True))
    b = both / spread if spread > 0.0 else 0.0
    a = mean_y - b * mean_n
    miss = max(abs(a + b * n - y) / max(abs(y), SMALL * most) for n, y in points)
    return Fit(a, b, miss)


class Slope(msgspec.Struct):
    """One figure by size: its unit, how it was come by, its bound at the full size if it has one.

    `how`: counted (the same on every run), hollow (processor time or memory of pure machines and codecs),
    virtual (on a virtual clock), measured (real processes on loopback) or worked out.
    """

    name: str
    unit: str
    how: str
    points: list[tuple[float, float]]  # size and value
    full: float  # the size that is designed for
    bound: float | None = None
    by: str = "executors"  # what the size counts

    @property
    def fit(self) -> Fit:
        """The line through the points."""
        return fit(self.points)

    @property
    def value(self) -> float:
        """The value at the full size: as found there, else by the line."""
        found = [y for n, y in self.points if n == self.full]
        return found[0] if found else self.fit.at(self.full)

    @property
    def ratio(self) -> float | None:
        """The value at the full size over its bound."""
        return self.value / self.bound if self.bound else None


def figures(slopes: list[Slope]) -> dict[str, float]:
    """Return what an experiment file may expect of slopes: values by size, at full size and over bounds."""
    found: dict[str, float] = {}
    for slope in slopes:
        found |= {f"{slope.name}_{n:g}": y for n, y in slope.points}
        found |= {f"{slope.name}_a": slope.fit.a, f"{slope.name}_b": slope.fit.b}
        found |= {f"{slope.name}_miss": slope.fit.miss, f"{slope.name}_full": slope.value}
        if slope.ratio is not None:
            found[f"{slope.name}_over"] = slope.ratio
    return found


def rows(slopes: list[Slope]) -> list[list[str]]:
    """Return slopes as a table, its head first; the worst of those that have a bound first."""
    head = ["figure", "unit", "how", "a", "b", "largest miss", "at full size", "bound", "value over bound"]
    worst = sorted(slopes, key=lambda slope: -(slope.ratio or 0.0))
    return [head] + [
        [
            slope.name,
            slope.unit,
            slope.how,
            f"{slope.fit.a:.4g}",
            f"{slope.fit.b:.4g}",
            f"{slope.fit.miss:.0%}",
            f"{slope.value:.4g} at {slope.full:g} {slope.by}",
            f"{slope.bound:.4g}" if slope.bound else "-",
            f"{slope.ratio:.3g}" if slope.ratio is not None else "-",
        ]
        for slope in worst
    ]
