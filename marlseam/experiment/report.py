"""The report of a run: one self-contained HTML file with a light and a dark colour scheme."""

from html import escape

from marlseam.experiment.charts import day_charts
from marlseam.experiment.slope_chart import slope_chart
from marlseam.experiment.summary import ExpectationOutcome, RuleOutcome, RunSummary
from marlseam.verification.run_records import RunRecords

GOOD_VERDICTS = ("kept", "holds")
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


def page(summary: RunSummary, run_records: RunRecords | None) -> str:
    """Return the HTML page of a run's report; `run_records` holds the run's records, None if it has none."""
    parts = heading(summary)
    if summary.expectations:
        parts.append(table(expectation_rows(summary.expectations), marks_verdicts=True))
    if summary.rules:
        parts += rules_section(summary.rules)
    if run_records is not None:
        parts.append(day_charts(run_records))
    for title, rows in summary.tables:
        parts.append(f"<h2>{escape(title)}</h2>" + table(rows))
    parts += [slope_chart(slope) for slope in summary.slopes]
    parts.append("<h2>Figures</h2>" + table(figure_rows(summary.figures)))
    versions = ", ".join(f"{name} {version}" for name, version in summary.versions.items())
    parts.append(f"<p>{escape(versions)}</p>")
    head = f'<meta charset="utf-8"><title>{escape(summary.name)}</title><style>{STYLE}</style>'
    return f'<!doctype html><html lang="en"><head>{head}</head><body>{"".join(parts)}</body></html>\n'


def heading(summary: RunSummary) -> list[str]:
    """Return the experiment's name, the outcome of the run, and each missed rule or expectation."""
    is_good = summary.exit_code == 0
    verdict = "all rules and expectations hold" if is_good else "a rule or an expectation does not hold"
    parts = [f"<h1>{escape(summary.name)}</h1>", f"<p>{escape(summary.about)}</p>"]
    parts.append(
        f'<p><span class="{"ok" if is_good else "bad"}">{verdict}</span>, {escape(summary.driver)}, seed '
        f"{summary.seed}, {summary.duration_s:g} s</p>"
    )
    return parts + [f'<p class="bad">{escape(line)}</p>' for line in summary.missed]


def expectation_rows(expectations: list[ExpectationOutcome]) -> list[list[str]]:
    """Return the outcomes of the expectations as table rows."""
    rows = [["expected of", "bound", "seen", ""]]
    for expectation in expectations:
        verdict = "holds" if expectation.holds else "missed"
        rows.append([expectation.figure, expectation.bound, f"{expectation.value:.4g}", verdict])
    return rows


def rules_section(rules: list[RuleOutcome]) -> list[str]:
    """Return the outcomes of the rules as a table, and the timelines of their first violations."""
    rows = [["rule", "nearest", "which is the", "broken", ""]]
    for rule in rules:
        verdict = "kept" if not rule.violation_count else "broken"
        rows.append([rule.name, f"{rule.margin:.3f}", rule.means, str(rule.violation_count), verdict])
    parts = ["<h2>Rules</h2>" + table(rows, marks_verdicts=True)]
    for rule in rules:
        for example in rule.examples:
            parts.append(f"<p>{escape(example.subject)}: {escape(example.text)}</p>")
            parts.append("<pre>" + escape("\n".join(example.timeline)) + "</pre>")
    return parts


def figure_rows(figures: dict[str, float]) -> list[list[str]]:
    """Return all figures as table rows."""
    return [["figure", "value"], *([name, f"{value:.4g}"] for name, value in figures.items())]


def table(rows: list[list[str]], marks_verdicts: bool = False) -> str:
    """Return an HTML table whose first row is the header.

    With `marks_verdicts` the last column is coloured by whether its text is one of `GOOD_VERDICTS`.
    """
    parts = ["<table><tr>" + "".join(f"<th>{escape(cell)}</th>" for cell in rows[0]) + "</tr>"]
    for row in rows[1:]:
        cells = [f"<td>{escape(cell)}</td>" for cell in row]
        if marks_verdicts:
            colour = "ok" if row[-1] in GOOD_VERDICTS else "bad"
            cells[-1] = f'<td class="{colour}">{escape(row[-1])}</td>'
        parts.append("<tr>" + "".join(cells) + "</tr>")
    return "".join(parts) + "</table>"
