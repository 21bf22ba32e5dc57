"""The report: one HTML file without outside parts, readable in dark and light."""

from collections.abc import Sequence
from html import escape
from math import log10

import numpy as np

from marlseam.experiment.slope import Slope
from marlseam.records import AttemptReceived, FaultBegan
from marlseam.verification.book import RunRecords
from marlseam.verification.service import request_outcomes

WIDTH, HEIGHT, LEFT, BOTTOM, TOP = 940, 270, 64, 26, 52
LANES = 4  # of the names of troubles, above a chart
STYLE = """
:root { color-scheme: light dark; --ink:#1d2430; --dim:#667085; --line:#d7dce5; --bg:#fbfcfe; --card:#fff;
  --a:#2563eb; --b:#d97706; --c:#dc2626; --d:#059669; --band:#f59e0b33; }
@media (prefers-color-scheme: dark) { :root { --ink:#e6e9f0; --dim:#98a2b3; --line:#344054; --bg:#0f141c;
  --card:#171e29;
  --a:#7aa5ff; --b:#fbbf24; --c:#f87171; --d:#34d399; --band:#fbbf2426; } }
body { font: 15px/1.5 system-ui, sans-serif; color: var(--ink); background: var(--bg); margin: 0 auto;
  max-width: 1000px;
  padding: 24px; }
h1 { font-size: 24px; margin: 0; } h2 { font-size: 17px; margin: 28px 0 6px; }
p { color: var(--dim); margin: 2px 0 8px; }
svg { background: var(--card); border: 1px solid var(--line); border-radius: 6px; width: 100%; height: auto; }
text { fill: var(--dim); font: 11px system-ui, sans-serif; } .grid { stroke: var(--line); }
table { border-collapse: collapse; background: var(--card); font-variant-numeric: tabular-nums; }
td, th { border: 1px solid var(--line); padding: 3px 10px; text-align: right; }
th { color: var(--dim); font-weight: 600; }
td:first-child, th:first-child { text-align: left; }
.ok { color: var(--d); font-weight: 600; } .bad { color: var(--c); font-weight: 600; }
pre { background: var(--card); border: 1px solid var(--line); padding: 8px; overflow-x: auto;
  font-size: 12px; }
.key i { display: inline-block; width: 12px; height: 3px; margin: 0 4px 3px 14px; vertical-align: middle; }
"""


class Chart:
    """Lines over a day's seconds, with its troubles as bands; the y axis plain or logarithmic."""

    def __init__(self, seconds: float, low: float, high: float, log: bool = False) -> None:
        self.seconds, self.log = max(seconds, 1e-9), log
        if log:
            self.low, self.high = float(np.floor(log10(low))), float(np.ceil(log10(max(high, 2.0 * low))))
        else:
            self.low, self.high = low, max(high, low + 1e-9)
        self.parts: list[str] = []
        self.axes()

    def x(self, t: float) -> float:
        """Return the place of a second."""
        return LEFT + (WIDTH - LEFT - 10) * min(max(t, 0.0), self.seconds) / self.seconds

    def y(self, value: float) -> float:
        """Return the place of a value."""
        at = log10(max(value, 1e-9)) if self.log else value
        share = min(max((at - self.low) / (self.high - self.low), 0.0), 1.0)
        return HEIGHT - BOTTOM - (HEIGHT - BOTTOM - TOP) * share

    def axes(self) -> None:
        """Draw the grid and its figures."""
        if self.log:
            marks = [10.0**p for p in range(int(self.low), int(self.high) + 1)]
        else:
            marks = [self.low + (self.high - self.low) * i / 4.0 for i in range(5)]
        for mark in marks:
            y = self.y(mark)
            self.parts.append(f'<line class="grid" x1="{LEFT}" x2="{WIDTH - 10}" y1="{y:.1f}" y2="{y:.1f}"/>')
            self.parts.append(f'<text x="{LEFT - 6}" y="{y + 4:.1f}" text-anchor="end">{mark:g}</text>')
        step = max(1.0, round(self.seconds / 10.0))
        for t in np.arange(0.0, self.seconds + 1e-9, step):
            self.parts.append(
                f'<text x="{self.x(t):.1f}" y="{HEIGHT - 8}" text-anchor="middle">{t:g} s</text>'
            )

    def bands(self, troubles: list[FaultBegan]) -> None:
        """Draw troubles."""
        for i, trouble in enumerate(troubles):
            a, b = self.x(trouble.t / 1000.0), self.x(trouble.until / 1000.0)
            name = trouble.kind.replace("_", " ")
            shown = escape(f"{name} {', '.join(trouble.targets)}".strip())
            self.parts.append(
                f'<rect x="{a:.1f}" y="{TOP}" width="{max(2.0, b - a):.1f}" height="{HEIGHT - BOTTOM - TOP}" '
                f'fill="var(--band)"><title>{shown}</title></rect>'
                f'<text x="{a:.1f}" y="{12 + 12 * (i % LANES)}">{escape(name)}<title>{shown}</title></text>'
            )

    def line(self, xs: np.ndarray, ys: np.ndarray, colour: str) -> None:
        """Draw a line; values that are none break it."""
        points, open_path = [], False
        for x, y in zip(xs, ys, strict=True):
            if np.isnan(y):
                open_path = False
                continue
            points.append(f"{'L' if open_path else 'M'}{self.x(x):.1f},{self.y(y):.1f}")
            open_path = True
        self.parts.append(
            f'<path d="{" ".join(points)}" fill="none" stroke="var(--{colour})" stroke-width="1.6"/>'
        )

    def svg(self, title: str) -> str:
        """Return the drawing."""
        return drawing(HEIGHT, title, self.parts)


def drawing(height: float, title: str, parts: list[str]) -> str:
    """Return a drawing of some height."""
    head = f'<svg viewBox="0 0 {WIDTH} {height}" role="img" aria-label="{escape(title)}">'
    return head + "".join(parts) + "</svg>"


def key(*rows: tuple[str, str]) -> str:
    """Return what a chart's colours mean."""
    return (
        '<p class="key">'
        + "".join(f'<i style="background:var(--{c})"></i>{escape(t)}' for c, t in rows)
        + "</p>"
    )


def per_second(times: list[float], seconds: int) -> np.ndarray:
    """Return how many times, in ms, fall into each second, shape (seconds,)."""
    return np.bincount(
        np.clip(np.array(times, dtype=float) // 1000.0, 0, seconds - 1).astype(int), minlength=seconds
    )


def charts(book: RunRecords) -> str:
    """Draw arrivals and answers, latencies, and each executor's work."""
    rows, troubles = request_outcomes(book), book.of_type(FaultBegan)
    if not rows:
        return ""
    last = max([first.intended for first, _, _ in rows] + [t.until for t in troubles])
    seconds = max(1, int(last / 1000.0) + 1)
    xs = np.arange(seconds) + 0.5
    counts = {
        how: per_second([first.intended + (took or 0.0) for first, end, took in rows if end == how], seconds)
        for how in ("completed", "deferred", "aborted")
    }
    arrived = per_second([first.intended for first, _, _ in rows], seconds)
    chart = Chart(seconds, 0.0, float(max(arrived.max(), counts["completed"].max(), 1)))
    chart.bands(troubles)
    chart.line(xs, arrived.astype(float), "a")
    for how, colour in (("completed", "d"), ("deferred", "b"), ("aborted", "c")):
        chart.line(xs, counts[how].astype(float), colour)
    parts = ["<h2>Arrivals and answers a second</h2>"]
    parts.append(key(("a", "arrived"), ("d", "completed"), ("b", "deferred"), ("c", "aborted")))
    parts.append(chart.svg("arrivals and answers"))
    by_second: list[list[float]] = [[] for _ in range(seconds)]
    for first, _, took in rows:
        if took is not None:
            by_second[min(seconds - 1, int(first.intended // 1000.0))].append(max(took, 0.1))
    most = max((max(row) for row in by_second if row), default=10.0)
    least = min((min(row) for row in by_second if row), default=1.0)
    chart = Chart(seconds, max(0.1, least), most * 1.2, log=True)
    chart.bands(troubles)
    for p, colour in ((50.0, "a"), (90.0, "d"), (99.0, "b"), (100.0, "c")):
        ys = np.array([np.percentile(row, p) if row else np.nan for row in by_second])
        chart.line(xs, ys, colour)
    parts.append("<h2>Latency from the intended send, ms, by the second of that send</h2>")
    parts.append(key(("a", "p50"), ("d", "p90"), ("b", "p99"), ("c", "most")))
    parts.append(chart.svg("latency") + work(book, seconds))
    return "\n".join(parts)


def work(book: RunRecords, seconds: int) -> str:
    """Draw what each executor took: a row each, darker where more came."""
    took = book.of_type(AttemptReceived)
    names = sorted({row.by for row in took})[:120]
    if not names:
        return ""
    row_px, columns = 14, min(seconds, 240)
    grid = {name: np.zeros(columns) for name in names}
    for row in took:
        if row.by in grid and row.t >= 0.0:
            grid[row.by][min(columns - 1, int(row.t / 1000.0 / seconds * columns))] += 1
    most = max(cells.max() for cells in grid.values()) or 1.0
    width = (WIDTH - 130) / columns
    parts = []
    for i, name in enumerate(names):
        parts.append(f'<text x="120" y="{i * row_px + 11}" text-anchor="end">{escape(name)}</text>')
        for c, cell in enumerate(grid[name]):
            if cell:
                parts.append(
                    f'<rect x="{126 + c * width:.1f}" y="{i * row_px + 1}" '
                    f'width="{width:.2f}" height="{row_px - 2}" fill="var(--a)" '
                    f'opacity="{0.15 + 0.85 * cell / most:.2f}"/>'
                )
    svg = drawing(len(names) * row_px + 6, "work", parts)
    return f"<h2>Allocations that each executor got</h2><p>Most in a cell: {most:g}.</p>{svg}"


def table(rows: list[list[str]], marks: bool = False) -> str:
    """Return a table whose first row is its head; with `marks`, the last column is a verdict."""
    out = ["<table><tr>" + "".join(f"<th>{escape(cell)}</th>" for cell in rows[0]) + "</tr>"]
    for row in rows[1:]:
        cells = [f"<td>{escape(cell)}</td>" for cell in row]
        if marks:
            good = row[-1] in ("kept", "holds")
            cells[-1] = f'<td class="{"ok" if good else "bad"}">{escape(row[-1])}</td>'
        out.append("<tr>" + "".join(cells) + "</tr>")
    return "".join(out) + "</table>"


def slope_chart(slope: Slope) -> str:
    """Draw a figure by size, both axes logarithmic: its points, the line through them, and its bound."""
    sizes = [n for n, _ in slope.points] + [slope.full]
    values = [y for _, y in slope.points if y > 0.0] + ([slope.bound] if slope.bound else [])
    if not values or min(sizes) <= 0.0:
        return ""
    lefts, rights = log10(min(sizes)), log10(max(sizes))
    low, high = float(np.floor(log10(min(values)))), float(np.ceil(log10(max(values)) + 1e-9))
    high = max(high, low + 1.0)

    def x(n: float) -> float:
        return LEFT + 20.0 + (WIDTH - LEFT - 60.0) * (log10(n) - lefts) / max(rights - lefts, 1e-9)

    def y(value: float) -> float:
        share = min(max((log10(max(value, 1e-30)) - low) / (high - low), 0.0), 1.0)
        return HEIGHT - BOTTOM - (HEIGHT - BOTTOM - TOP) * share

    parts = []
    for p in range(int(low), int(high) + 1):
        at = y(10.0**p)
        parts.append(f'<line class="grid" x1="{LEFT}" x2="{WIDTH - 10}" y1="{at:.1f}" y2="{at:.1f}"/>')
        parts.append(f'<text x="{LEFT - 6}" y="{at + 4:.1f}" text-anchor="end">{10.0**p:g}</text>')
    for n in sorted(set(sizes)):
        parts.append(f'<text x="{x(n):.1f}" y="{HEIGHT - 8}" text-anchor="middle">{n:g}</text>')
    if slope.bound:
        at = y(slope.bound)
        parts.append(
            f'<line x1="{LEFT}" x2="{WIDTH - 10}" y1="{at:.1f}" y2="{at:.1f}" stroke="var(--c)" '
            f'stroke-dasharray="6 4"/><text x="{LEFT + 4}" y="{at - 5:.1f}">bound {slope.bound:g}</text>'
        )
    line = [(n, slope.fit.at(n)) for n in 10.0 ** np.linspace(lefts, rights, 60)]
    path = " L".join(f"{x(n):.1f},{y(value):.1f}" for n, value in line if value > 0.0)
    parts.append(f'<path d="M{path}" fill="none" stroke="var(--a)" stroke-width="1.6"/>' if path else "")
    parts += [
        f'<circle cx="{x(n):.1f}" cy="{y(value):.1f}" r="4" fill="var(--d)"><title>{n:g}: {value:.4g}</title>'
        "</circle>"
        for n, value in slope.points
        if value > 0.0
    ]
    line_is = f"{slope.fit.a:.4g} + {slope.fit.b:.4g} N, largest miss {slope.fit.miss:.0%}"
    title = f"{slope.name}, {slope.unit}, by {slope.by} ({slope.how})"
    colours = [("d", "found"), ("a", line_is), ("c", "bound")]
    shown = key(*colours[: 3 if slope.bound else 2])
    return f"<h2>{escape(title)}</h2>{shown}{drawing(HEIGHT, title, parts)}"


def page(summary: dict, book: RunRecords | None, slopes: Sequence[Slope] = ()) -> str:
    """Return the whole report of a run."""
    good = summary["code"] == 0
    word = "all that was expected holds" if good else "something was missed"
    parts = [f"<h1>{escape(summary['name'])}</h1>", f"<p>{escape(summary['about'])}</p>"]
    parts.append(
        f'<p><span class="{"ok" if good else "bad"}">{word}</span>, {escape(summary["driver"])}, seed '
        f"{summary['seed']}, {summary['took_s']:g} s</p>"
    )
    parts += [f'<p class="bad">{escape(line)}</p>' for line in summary["missed"]]
    if summary["expected"]:
        rows = [["expected of", "bound", "seen", ""]]
        for row in summary["expected"]:
            holds = "holds" if row["holds"] else "missed"
            rows.append([row["figure"], row["expected"], f"{row['seen']:.4g}", holds])
        parts.append(table(rows, marks=True))
    if summary["rules"]:
        rows = [["rule", "nearest", "which is the", "broken", ""]]
        for rule in summary["rules"]:
            kept = "kept" if not rule["broken"] else "broken"
            rows.append([rule["name"], f"{rule['margin']:.3f}", rule["means"], str(rule["broken"]), kept])
        parts.append("<h2>The rules</h2>" + table(rows, marks=True))
        for rule in summary["rules"]:
            for example in rule["examples"]:
                parts.append(f"<p>{escape(example['who'])}: {escape(example['what'])}</p>")
                parts.append("<pre>" + escape("\n".join(example["story"])) + "</pre>")
    if book is not None:
        parts.append(charts(book))
    for title, rows in summary["tables"]:
        parts.append(f"<h2>{escape(title)}</h2>" + table(rows))
    parts += [slope_chart(slope) for slope in slopes]
    rows = [["figure", "value"]] + [[name, f"{value:.4g}"] for name, value in summary["figures"].items()]
    parts.append("<h2>Figures</h2>" + table(rows))
    shown = ", ".join(f"{name} {version}" for name, version in summary["versions"].items())
    parts.append(f"<p>{escape(shown)}</p>")
    head = f'<meta charset="utf-8"><title>{escape(summary["name"])}</title><style>{STYLE}</style>'
    return f'<!doctype html><html lang="en"><head>{head}</head><body>{"".join(parts)}</body></html>\n'
