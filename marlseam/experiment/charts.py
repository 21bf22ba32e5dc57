"""SVG charts of a report: lines over the time of a day, and a grid of the attempts each server received."""

from collections.abc import Iterable, Sequence
from html import escape
from math import log10
from typing import NamedTuple

import numpy as np

from marlseam.records import AttemptReceived, FaultBegan
from marlseam.verification.run_records import RunRecords
from marlseam.verification.service import RequestOutcome, request_outcomes

# Size of a drawing, and margins around its plot, in pixels.
WIDTH, HEIGHT = 940, 270
LEFT, RIGHT, TOP, BOTTOM = 64, 10, 52, 26
FAULT_NAME_ROWS = 4  # rows above a chart that the names of successive faults cycle through
FAULT_NAME_ROW_PX = 12
Y_INTERVALS = 4  # between the grid lines of a linear axis
MIN_LATENCY_MS = 0.1  # smaller latencies are drawn at this value
# The grid of attempts received: limits of rows and columns, sizes in pixels, least opacity of a cell.
MAX_SERVER_ROWS, MAX_TIME_COLUMNS = 120, 240
SERVER_ROW_PX, SERVER_NAME_PX, SERVER_GRID_LEFT_PX = 14, 120, 126
MIN_OPACITY = 0.15


class LegendEntry(NamedTuple):
    """An entry of a chart's legend; the colour is the name of a CSS variable of the report's style."""

    colour: str
    text: str


ANSWER_COLOURS = (LegendEntry("d", "completed"), LegendEntry("b", "deferred"), LegendEntry("c", "aborted"))


class Percentile(NamedTuple):
    """A percentile to draw, its colour and its name in the legend."""

    percent: float
    colour: str
    name: str


LATENCY_PERCENTILES = (
    Percentile(50.0, "a", "p50"),
    Percentile(90.0, "d", "p90"),
    Percentile(99.0, "b", "p99"),
    Percentile(100.0, "c", "most"),
)


class Chart:
    """A line chart over the seconds of a day, with faults as bands; the y axis is linear or logarithmic.

    Attributes:
        seconds: the length of the day.
        low: the lower end of the y axis; its decimal logarithm if the axis is logarithmic.
        high: the upper end of the y axis; its decimal logarithm if the axis is logarithmic.
        parts: the SVG elements drawn so far.
    """

    def __init__(self, seconds: float, low: float, high: float, log: bool = False) -> None:
        """Create a chart with axes only; its y axis covers at least the range from `low` to `high`."""
        self.seconds, self.log = max(seconds, 1e-9), log
        if log:
            self.low, self.high = float(np.floor(log10(low))), float(np.ceil(log10(max(high, 2.0 * low))))
        else:
            self.low, self.high = low, max(high, low + 1e-9)
        self.parts: list[str] = []
        self._draw_axes()

    def x_px(self, at_s: float) -> float:
        """Return the x coordinate of a time in pixels; times outside the day are clamped."""
        return LEFT + (WIDTH - LEFT - RIGHT) * min(max(at_s, 0.0), self.seconds) / self.seconds

    def y_px(self, value: float) -> float:
        """Return the y coordinate of a value in pixels; values outside the axis are clamped."""
        position = log10(max(value, 1e-9)) if self.log else value
        share = min(max((position - self.low) / (self.high - self.low), 0.0), 1.0)
        return HEIGHT - BOTTOM - (HEIGHT - BOTTOM - TOP) * share

    def _draw_axes(self) -> None:
        """Draw the grid lines and the labels of both axes."""
        if self.log:
            marks = [10.0**power for power in range(int(self.low), int(self.high) + 1)]
        else:
            marks = [self.low + (self.high - self.low) * i / Y_INTERVALS for i in range(Y_INTERVALS + 1)]
        for mark in marks:
            self.parts += grid_line(self.y_px(mark), f"{mark:g}")
        step_s = max(1.0, round(self.seconds / 10.0))
        for at_s in np.arange(0.0, self.seconds + 1e-9, step_s):
            self.parts.append(x_axis_label(self.x_px(at_s), f"{at_s:g} s"))

    def draw_faults(self, faults: Iterable[FaultBegan]) -> None:
        """Draw each fault as a band with its name; a tooltip lists the targets."""
        for number, fault in enumerate(faults):
            left, right = self.x_px(fault.t / 1000.0), self.x_px(fault.until / 1000.0)
            name = fault.kind.replace("_", " ")
            title = escape(f"{name} {', '.join(fault.targets)}".strip())
            name_y = FAULT_NAME_ROW_PX * (1 + number % FAULT_NAME_ROWS)
            self.parts.append(
                f'<rect x="{left:.1f}" y="{TOP}" width="{max(2.0, right - left):.1f}" '
                f'height="{HEIGHT - BOTTOM - TOP}" fill="var(--band)"><title>{title}</title></rect>'
                f'<text x="{left:.1f}" y="{name_y}">{escape(name)}<title>{title}</title></text>'
            )

    def draw_line(self, seconds: np.ndarray, values: np.ndarray, colour: str) -> None:
        """Draw a line in a colour of the report's style; NaN values leave gaps."""
        points: list[str] = []
        has_point = False
        for at_s, value in zip(seconds, values, strict=True):
            if np.isnan(value):
                has_point = False
                continue
            points.append(f"{'L' if has_point else 'M'}{self.x_px(at_s):.1f},{self.y_px(value):.1f}")
            has_point = True
        self.parts.append(
            f'<path d="{" ".join(points)}" fill="none" stroke="var(--{colour})" stroke-width="1.6"/>'
        )

    def svg(self, title: str) -> str:
        """Return the chart as an SVG element."""
        return drawing(HEIGHT, title, self.parts)


def drawing(height: float, title: str, parts: Iterable[str]) -> str:
    """Return an SVG element of the given height in pixels that contains `parts`."""
    head = f'<svg viewBox="0 0 {WIDTH} {height}" role="img" aria-label="{escape(title)}">'
    return head + "".join(parts) + "</svg>"


def grid_line(y_px: float, label: str) -> list[str]:
    """Return a horizontal grid line and its label on the y axis."""
    return [
        f'<line class="grid" x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{y_px:.1f}" y2="{y_px:.1f}"/>',
        f'<text x="{LEFT - 6}" y="{y_px + 4:.1f}" text-anchor="end">{label}</text>',
    ]


def x_axis_label(x_px: float, label: str) -> str:
    """Return a label on the x axis."""
    return f'<text x="{x_px:.1f}" y="{HEIGHT - 8}" text-anchor="middle">{label}</text>'


def legend(*entries: LegendEntry) -> str:
    """Return a chart's legend as an HTML paragraph."""
    marks = (f'<i style="background:var(--{entry.colour})"></i>{escape(entry.text)}' for entry in entries)
    return f'<p class="key">{"".join(marks)}</p>'


def day_charts(run_records: RunRecords) -> str:
    """Return the charts of a run as HTML: arrivals and answers, latencies, attempts received per server."""
    outcomes, faults = request_outcomes(run_records), run_records.of_type(FaultBegan)
    if not outcomes:
        return ""
    last_ms = max([outcome.first.intended for outcome in outcomes] + [fault.until for fault in faults])
    seconds = max(1, int(last_ms / 1000.0) + 1)
    parts = answers_chart(outcomes, faults, seconds)
    parts += latency_chart(outcomes, faults, seconds)
    return "\n".join(parts) + attempts_chart(run_records, seconds)


def answers_chart(
    outcomes: Sequence[RequestOutcome], faults: Sequence[FaultBegan], seconds: int
) -> list[str]:
    """Draw the numbers of requests that arrived and that ended in each second."""
    midpoints = np.arange(seconds) + 0.5
    arrived = count_per_second([outcome.first.intended for outcome in outcomes], seconds)
    counts = {how: answered_per_second(outcomes, how, seconds) for _, how in ANSWER_COLOURS}
    chart = Chart(seconds, 0.0, float(max(arrived.max(), counts["completed"].max(), 1)))
    chart.draw_faults(faults)
    chart.draw_line(midpoints, arrived.astype(float), "a")
    for colour, how in ANSWER_COLOURS:
        chart.draw_line(midpoints, counts[how].astype(float), colour)
    return [
        "<h2>Arrivals and answers a second</h2>",
        legend(LegendEntry("a", "arrived"), *ANSWER_COLOURS),
        chart.svg("arrivals and answers"),
    ]


def count_per_second(times_ms: Sequence[float], seconds: int) -> np.ndarray:
    """Return the number of given times in each second, shape (seconds,)."""
    numbers = np.clip(np.array(times_ms, dtype=float) // 1000.0, 0, seconds - 1).astype(int)
    return np.bincount(numbers, minlength=seconds)


def answered_per_second(outcomes: Sequence[RequestOutcome], how: str, seconds: int) -> np.ndarray:
    """Return the number of requests with the outcome `how` in each second, shape (seconds,).

    A request that was not completed counts in the second of its intended send.
    """
    ended = [outcome for outcome in outcomes if outcome.how == how]
    times_ms = [outcome.first.intended + (outcome.turnaround_ms or 0.0) for outcome in ended]
    return count_per_second(times_ms, seconds)


def latency_chart(
    outcomes: Sequence[RequestOutcome], faults: Sequence[FaultBegan], seconds: int
) -> list[str]:
    """Draw latency percentiles by the second of the intended send."""
    by_second = latencies_by_second(outcomes, seconds)
    max_ms = max((max(row) for row in by_second if row), default=10.0)
    min_ms = min((min(row) for row in by_second if row), default=1.0)
    chart = Chart(seconds, max(MIN_LATENCY_MS, min_ms), max_ms * 1.2, log=True)
    chart.draw_faults(faults)
    for percent, colour, _ in LATENCY_PERCENTILES:
        values = np.array([np.percentile(row, percent) if row else np.nan for row in by_second])
        chart.draw_line(np.arange(seconds) + 0.5, values, colour)
    return [
        "<h2>Latency from the intended send, ms, by the second of that send</h2>",
        legend(*(LegendEntry(colour, name) for _, colour, name in LATENCY_PERCENTILES)),
        chart.svg("latency"),
    ]


def latencies_by_second(outcomes: Sequence[RequestOutcome], seconds: int) -> list[list[float]]:
    """Return the latencies in ms of completed requests, by the second of the intended send."""
    by_second: list[list[float]] = [[] for _ in range(seconds)]
    for outcome in outcomes:
        if outcome.turnaround_ms is not None:
            second = min(seconds - 1, int(outcome.first.intended // 1000.0))
            by_second[second].append(max(outcome.turnaround_ms, MIN_LATENCY_MS))
    return by_second


def attempts_chart(run_records: RunRecords, seconds: int) -> str:
    """Draw the attempts received: one row per server, one cell per interval, darker for more attempts."""
    received = run_records.of_type(AttemptReceived)
    servers = sorted({record.by for record in received})[:MAX_SERVER_ROWS]
    if not servers:
        return ""
    columns = min(seconds, MAX_TIME_COLUMNS)
    counts = {server: np.zeros(columns) for server in servers}
    for record in received:
        if record.by in counts and record.t >= 0.0:
            column = min(columns - 1, int(record.t / 1000.0 / seconds * columns))
            counts[record.by][column] += 1
    max_count = max(row.max() for row in counts.values()) or 1.0
    parts: list[str] = []
    for number, server in enumerate(servers):
        parts += server_row(number, server, counts[server], max_count)
    svg = drawing(len(servers) * SERVER_ROW_PX + 6, "attempts by server", parts)
    return f"<h2>Allocations received by each executor</h2><p>Maximum in a cell: {max_count:g}.</p>{svg}"


def server_row(number: int, server: str, counts: np.ndarray, max_count: float) -> list[str]:
    """Return a server's name and a cell for each time interval in which the server received attempts."""
    top = number * SERVER_ROW_PX
    cell_px = (WIDTH - SERVER_GRID_LEFT_PX - 4) / len(counts)
    parts = [f'<text x="{SERVER_NAME_PX}" y="{top + 11}" text-anchor="end">{escape(server)}</text>']
    for column, count in enumerate(counts):
        if count:
            opacity = MIN_OPACITY + (1.0 - MIN_OPACITY) * count / max_count
            parts.append(
                f'<rect x="{SERVER_GRID_LEFT_PX + column * cell_px:.1f}" y="{top + 1}" '
                f'width="{cell_px:.2f}" height="{SERVER_ROW_PX - 2}" fill="var(--a)" '
                f'opacity="{opacity:.2f}"/>'
            )
    return parts
