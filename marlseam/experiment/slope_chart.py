"""Chart of a figure by size: its points, the fitted line, and its bound."""

from html import escape
from math import log10

import numpy as np

from marlseam.experiment.charts import (
    BOTTOM,
    HEIGHT,
    LEFT,
    RIGHT,
    TOP,
    WIDTH,
    LegendEntry,
    drawing,
    grid_line,
    legend,
    x_axis_label,
)
from marlseam.experiment.slope import Slope

X_MARGIN_PX = 20.0  # distance between the y axis and the smallest size
LINE_POINTS = 60  # points of the drawn line, which is a curve on logarithmic axes
POINT_RADIUS_PX = 4


class LogScales:
    """Pixel positions of sizes and values on logarithmic axes; the y axis covers whole powers of ten.

    Attributes:
        min_power: the exponent of ten at the lower end of the y axis.
        max_power: the exponent of ten at its upper end.
        min_size_log: the decimal logarithm of the smallest size.
        max_size_log: the decimal logarithm of the largest size.
    """

    def __init__(self, sizes: list[float], values: list[float]) -> None:
        """Make scales that cover the given sizes and values, all above 0."""
        self.min_size_log, self.max_size_log = log10(min(sizes)), log10(max(sizes))
        self.min_power = float(np.floor(log10(min(values))))
        self.max_power = max(float(np.ceil(log10(max(values)) + 1e-9)), self.min_power + 1.0)

    def x_px(self, size: float) -> float:
        """Return the x position of a size in px."""
        share = (log10(size) - self.min_size_log) / max(self.max_size_log - self.min_size_log, 1e-9)
        return LEFT + X_MARGIN_PX + (WIDTH - LEFT - 3.0 * X_MARGIN_PX) * share

    def y_px(self, value: float) -> float:
        """Return the y position of a value in px; a value off the axis is placed at its end."""
        share = (log10(max(value, 1e-30)) - self.min_power) / (self.max_power - self.min_power)
        return HEIGHT - BOTTOM - (HEIGHT - BOTTOM - TOP) * min(max(share, 0.0), 1.0)


def slope_chart(slope: Slope) -> str:
    """Return the chart of a figure as HTML, or an empty string if logarithmic axes cannot show it.

    The string is empty if neither a value nor the bound is above 0, or if a size is not above 0.
    """
    sizes = [size for size, _ in slope.points] + [slope.full]
    values = [value for _, value in slope.points if value > 0.0]
    if slope.bound:
        values.append(slope.bound)
    if not values or min(sizes) <= 0.0:
        return ""
    scales = LogScales(sizes, values)
    parts = axes(scales, sizes)
    if slope.bound:
        parts.append(bound_line(scales, slope.bound))
    parts.append(fitted_line(scales, slope))
    parts += points(scales, slope)
    title = f"{slope.name}, {slope.unit}, by {slope.by} ({slope.how})"
    return f"<h2>{escape(title)}</h2>{slope_legend(slope)}{drawing(HEIGHT, title, parts)}"


def axes(scales: LogScales, sizes: list[float]) -> list[str]:
    """Return the grid lines, one for each power of ten, and the labels of the sizes on the x axis."""
    parts: list[str] = []
    for power in range(int(scales.min_power), int(scales.max_power) + 1):
        parts += grid_line(scales.y_px(10.0**power), f"{10.0**power:g}")
    parts += [x_axis_label(scales.x_px(size), f"{size:g}") for size in sorted(set(sizes))]
    return parts


def bound_line(scales: LogScales, bound: float) -> str:
    """Return the line and the label of the bound."""
    y_px = scales.y_px(bound)
    return (
        f'<line x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{y_px:.1f}" y2="{y_px:.1f}" stroke="var(--c)" '
        f'stroke-dasharray="6 4"/><text x="{LEFT + 4}" y="{y_px - 5:.1f}">bound {bound:g}</text>'
    )


def fitted_line(scales: LogScales, slope: Slope) -> str:
    """Return the fitted line where its values are above 0; empty if none is."""
    sizes = 10.0 ** np.linspace(scales.min_size_log, scales.max_size_log, LINE_POINTS)
    line = [(size, slope.fit.at(size)) for size in sizes]
    path = " L".join(
        f"{scales.x_px(size):.1f},{scales.y_px(value):.1f}" for size, value in line if value > 0.0
    )
    return f'<path d="M{path}" fill="none" stroke="var(--a)" stroke-width="1.6"/>' if path else ""


def points(scales: LogScales, slope: Slope) -> list[str]:
    """Return the points whose values are above 0."""
    return [
        f'<circle cx="{scales.x_px(size):.1f}" cy="{scales.y_px(value):.1f}" r="{POINT_RADIUS_PX}" '
        f'fill="var(--d)"><title>{size:g}: {value:.4g}</title></circle>'
        for size, value in slope.points
        if value > 0.0
    ]


def slope_legend(slope: Slope) -> str:
    """Return the legend of the chart as an HTML paragraph."""
    fit = slope.fit
    entries = [
        LegendEntry("d", "found"),
        LegendEntry("a", f"{fit.a:.4g} + {fit.b:.4g} N, largest miss {fit.max_relative_error:.0%}"),
    ]
    if slope.bound:
        entries.append(LegendEntry("c", "bound"))
    return legend(*entries)
