"""`marlseam fleet audit`: who acted on which version, by nodes' ledgers."""

import json
import sys
import time
from collections.abc import Iterable
from html import escape
from pathlib import Path

import click

from marlseam.cli.door import ask
from marlseam.cli.tables import table
from marlseam.cluster import audit as auditing
from marlseam.store import ledger_audit as ledgers
from marlseam.store.state_directory import Disk, StateDirectory, code_of

FOLDER = click.Path(path_type=Path, file_okay=False, exists=True)
PAGE = """<!doctype html><meta charset=utf-8><title>Audit of the fleet</title>
<style>body{{font:14px sans-serif}}</style><h1>Who acted on what</h1>
<p>{first} to {last} (UTC). {key}. Pale: out of service; dashed: not proved to be in force.</p>
<svg width="1110" height="{height}">{bars}</svg><h2>Findings</h2><ul>{findings}</ul>
"""


def clock(ms: float | None) -> str:
    """Return a Unix time for people."""
    if ms is None or ms > 1e15:
        return "-"
    return time.strftime("%m-%d %H:%M:%S", time.gmtime(ms / 1000.0)) + f".{int(ms % 1000.0):03d}"


COLOURS = ("#9aa5b1", "#2f6f9f", "#c9622e", "#4f8a3c", "#8a4f8f", "#b59a2a", "#3c8a86", "#a83e52")


def timeline(rows: list[dict], wrong: list[str]) -> str:
    """Return a page with each node's time by version; what is not proved is hatched, out of service pale."""
    first = min(row["from_ms"] for row in rows)
    last = max(row["to_ms"] or row["from_ms"] for row in rows)
    scale = 1000.0 / max(1.0, last - first)
    names = sorted({row["node"] for row in rows})
    bars = []
    for row in rows:
        x, y = (row["from_ms"] - first) * scale, 24 * names.index(row["node"])
        width = max(1.0, ((row["to_ms"] or last) - row["from_ms"]) * scale)
        told = f"{row['node']} life {row['life']} interval {row['interval']}: version {row['number']}, list "
        told += f"{row['listed']}, {row['sent']} sent, {row['code'] or 'well'}, {clock(row['from_ms'])}"
        fill, pale = COLOURS[row["number"] % len(COLOURS)], 1.0 if row["serving"] else 0.3
        bars.append(
            f'<rect x="{100 + x:.1f}" y="{y + 2}" width="{width:.1f}" height="18" fill="{fill}" '
            f'opacity="{pale}"><title>{escape(told)}</title></rect>'
        )
        if not row["proved"]:
            bars.append(
                f'<line x1="{100 + x:.1f}" x2="{100 + x + width:.1f}" y1="{y + 11}" y2="{y + 11}" '
                'stroke="#fff" stroke-dasharray="3 3"/>'
            )
    labels = [f'<text x="0" y="{24 * i + 16}">{escape(name)}</text>' for i, name in enumerate(names)]
    versions = sorted({row["number"] for row in rows})
    key = " ".join(f'<b style="color:{COLOURS[v % len(COLOURS)]}">version {v}</b>' for v in versions)
    findings = "".join(f"<li>{escape(text)}</li>" for text in wrong) or "<li>nothing is wrong</li>"
    height, bars = 24 * len(names) + 10, "".join(labels + bars)
    return PAGE.format(
        first=clock(first), last=clock(last), key=key, height=height, bars=bars, findings=findings
    )


@click.command()
@click.argument("folders", nargs=-1, type=FOLDER)
@click.option("--at", "address", help="A node's operators' door: its own ledger, on this machine.")
@click.option("--node", help="Of this node alone.")
@click.option("--since", "since_s", type=float, help="Of the last so many seconds.")
@click.option("--unit", help="A work unit's key: who sent it, and on what that stood.")
@click.option(
    "--store", "stores", multiple=True, type=FOLDER, help="Nodes' state folders, for --unit; may repeat."
)
@click.option("--json", "raw", is_flag=True, help="Print a line of JSON for each interval.")
@click.option("--html", type=click.Path(path_type=Path, dir_okay=False), help="Write a timeline here.")
@click.option(
    "--error-ms", default=100.0, show_default=True, help="By which the machines' clocks may differ."
)
def audit(
    folders: tuple[Path, ...],
    address: str | None,
    node: str | None,
    since_s: float | None,
    unit: str | None,
    stores: tuple[Path, ...],
    raw: bool,
    html: Path | None,
    error_ms: float,
) -> None:
    """Say which node acted on which version, by the ledgers in FOLDERS.

    Ends with 1 and a list where an act stood on a version past the bound, a chain is broken, an interval is
    missing, or two processes acted under one name.
    """
    if address is not None:
        told = ask(address).get("acting", {}).get("ledger")
        if told is None or not Path(told).is_dir():
            raise click.ClickException(f"{address}: a node with a ledger on this machine was expected")
        folders = (*folders, Path(told))
    if not folders:
        raise click.ClickException("folders of ledgers, or --at, were expected")
    try:
        found = ledgers.read(folders, error_ms)
    except OSError as error:
        raise click.ClickException(f"{error.filename}: {code_of(error)}: {error.strerror}") from None
    since_ms = 1000.0 * (time.time() - since_s) if since_s is not None else 0.0
    rows = auditing.rows(found, since_ms, node)
    if raw:
        for row in rows:
            click.echo(json.dumps(row))
    elif unit is not None:
        unit_told(found, unit, stores)
    elif rows:
        head = "node,life,interval,from (UTC),program,version,list,proved,service,code"
        shown = [[*head.split(","), *auditing.ACTS]]
        for row in rows:
            on = [row["program"], f"{row['number']} {row['meaning'][:8]}", str(row["listed"])]
            how = ["yes" if row["proved"] else "no", "in" if row["serving"] else "out", row["code"]]
            which = [row["node"], str(row["life"]), str(row["interval"]), clock(row["from_ms"])]
            shown.append([*which, *on, *how, *(str(row[key]) for key in auditing.ACTS)])
        click.echo(table(shown))
    for name, lives in found.lives.items():
        for lived in lives if not raw and node in (None, name) else ():
            if lived.unknown is not None:
                a, b = lived.unknown
                killed = f"{name}: life {lived.life.life} was killed"
                click.echo(f"{killed}, its acts after {clock(a)} are not known, to {clock(b)} at most")
    if html is not None and rows:
        html.write_text(timeline(rows, found.wrong), encoding="utf-8")
    for text in found.wrong:
        click.echo(f"WRONG {text}", err=raw)
    sys.exit(1 if found.wrong else 0)


def unit_told(found: auditing.Audit, unit: str, stores: Iterable[Path]) -> None:
    """Print who sent a work unit under a key, and on what each sending stood."""
    rows = [["node", "sent (UTC)", "to", "version", "list", "proved", "interval"]]
    for path in stores:
        folder = StateDirectory(Disk(path), None)
        state = folder.load(0.0)
        for sent in state.sent.get(unit, ()):
            span = auditing.at(found, folder.of or "", sent.sent_ms)
            on = ["not known"] * 4
            if span is not None:
                a = span.acting
                on = [
                    f"{a.number} {a.meaning[:8]}",
                    str(a.listed),
                    "yes" if a.proved else "no",
                    str(a.interval),
                ]
            rows.append([folder.of or "?", clock(sent.sent_ms), sent.executor, *on])
    click.echo(table(rows) if len(rows) > 1 else f"nothing was sent under {unit}, as far as is kept")
