"""`marlseam fleet audit`: who acted on which version, by nodes' ledgers."""

import json
import sys
import time
from collections.abc import Iterable
from html import escape
from pathlib import Path
from typing import Any, NamedTuple

import click

from marlseam.cli.control_client import fleet_status
from marlseam.cli.tables import table
from marlseam.cluster import audit as auditing
from marlseam.cluster.audit_log import ACTS, IntervalBegun
from marlseam.store import ledger_audit
from marlseam.store.disk import Disk
from marlseam.store.errors import code_of
from marlseam.store.state_directory import StateDirectory

Row = dict[str, Any]  # an interval, by the keys of `auditing.rows`

FOLDER = click.Path(path_type=Path, file_okay=False, exists=True)
PAGE = """<!doctype html><meta charset=utf-8><title>Audit of the fleet</title>
<style>body{{font:14px sans-serif}}</style><h1>Who acted on what</h1>
<p>{first} to {last} (UTC). {key}. Pale: out of service; dashed: not proved to be in force.</p>
<svg width="1110" height="{height}">{bars}</svg><h2>Findings</h2><ul>{findings}</ul>
"""
COLOURS = ("#9aa5b1", "#2f6f9f", "#c9622e", "#4f8a3c", "#8a4f8f", "#b59a2a", "#3c8a86", "#a83e52")
LABEL_PX, TIMELINE_PX, ROW_PX = 100, 1000.0, 24  # widths of names and of the time shown, height of a node
MAX_SHOWN_MS = 1e15  # Unix time; what is later never comes
BASIS_HEADINGS = ("program", "version", "list", "proved", "service", "code")
HEADINGS = ("node", "life", "interval", "from (UTC)", *BASIS_HEADINGS)


def time_text(unix_ms: float | None) -> str:
    """Return a Unix time for people."""
    if unix_ms is None or unix_ms > MAX_SHOWN_MS:
        return "-"
    return time.strftime("%m-%d %H:%M:%S", time.gmtime(unix_ms / 1000.0)) + f".{int(unix_ms % 1000.0):03d}"


def colour_of(version: int) -> str:
    """Return the colour of a version."""
    return COLOURS[version % len(COLOURS)]


# The timeline.


class Bar(NamedTuple):
    """Where an interval is drawn, in pixels."""

    left: float
    top: int
    width: float

    def rectangle(self, row: Row) -> str:
        """Return the interval's rectangle; pale where the node is out of service."""
        text = f"{row['node']} life {row['life']} interval {row['interval']}: version {row['number']}, list "
        text += f"{row['listed']}, {row['sent']} sent, {row['code'] or 'well'}, {time_text(row['from_ms'])}"
        opacity = 1.0 if row["serving"] else 0.3
        return (
            f'<rect x="{self.left:.1f}" y="{self.top + 2}" width="{self.width:.1f}" height="18" '
            f'fill="{colour_of(row["number"])}" opacity="{opacity}"><title>{escape(text)}</title></rect>'
        )

    def dashes(self) -> str:
        """Return the line that marks an interval whose version is not proven."""
        return (
            f'<line x1="{self.left:.1f}" x2="{self.left + self.width:.1f}" y1="{self.top + 11}" '
            f'y2="{self.top + 11}" stroke="#fff" stroke-dasharray="3 3"/>'
        )


def timeline(rows: list[Row], findings: list[str]) -> str:
    """Return a page with each node's time by version; what is not proven is dashed, out of service pale."""
    first_ms = min(row["from_ms"] for row in rows)
    last_ms = max(row["to_ms"] or row["from_ms"] for row in rows)
    scale = TIMELINE_PX / max(1.0, last_ms - first_ms)
    names = sorted({row["node"] for row in rows})
    shapes = [f'<text x="0" y="{ROW_PX * i + 16}">{escape(name)}</text>' for i, name in enumerate(names)]
    for row in rows:
        left = LABEL_PX + (row["from_ms"] - first_ms) * scale
        width = max(1.0, ((row["to_ms"] or last_ms) - row["from_ms"]) * scale)
        bar = Bar(left, ROW_PX * names.index(row["node"]), width)
        shapes.append(bar.rectangle(row))
        if not row["proved"]:
            shapes.append(bar.dashes())
    versions = sorted({row["number"] for row in rows})
    return PAGE.format(
        first=time_text(first_ms),
        last=time_text(last_ms),
        key=" ".join(f'<b style="color:{colour_of(number)}">version {number}</b>' for number in versions),
        height=ROW_PX * len(names) + 10,
        bars="".join(shapes),
        findings="".join(f"<li>{escape(text)}</li>" for text in findings) or "<li>nothing is wrong</li>",
    )


# The command.


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
def audit(  # noqa: PLR0913 - one parameter an option
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
    found = read_ledgers(folders, address, error_ms)
    since_ms = 1000.0 * (time.time() - since_s) if since_s is not None else 0.0
    rows = auditing.rows(found, since_ms, node)
    if raw:
        for row in rows:
            click.echo(json.dumps(row))
    elif unit is not None:
        print_attempts(found, unit, stores)
    elif rows:
        click.echo(table([[*HEADINGS, *ACTS], *map(table_row, rows)]))
    if not raw:
        print_unknown(found, node)
    if html is not None and rows:
        html.write_text(timeline(rows, found.findings), encoding="utf-8")
    for text in found.findings:
        click.echo(f"WRONG {text}", err=raw)
    sys.exit(1 if found.findings else 0)


def read_ledgers(folders: tuple[Path, ...], address: str | None, error_ms: float) -> auditing.Audit:
    """Return the audit of some folders, and of the ledger of the node at an address."""
    if address is not None:
        folder = fleet_status(address).get("acting", {}).get("ledger")
        if folder is None or not Path(folder).is_dir():
            raise click.ClickException(f"{address}: a node with a ledger on this machine was expected")
        folders = (*folders, Path(folder))
    if not folders:
        raise click.ClickException("folders of ledgers, or --at, were expected")
    try:
        return ledger_audit.read(folders, error_ms)
    except OSError as error:
        raise click.ClickException(f"{error.filename}: {code_of(error)}: {error.strerror}") from None


def table_row(row: Row) -> list[str]:
    """Return an interval as a row of the table."""
    return [
        row["node"],
        str(row["life"]),
        str(row["interval"]),
        time_text(row["from_ms"]),
        row["program"],
        f"{row['number']} {row['meaning'][:8]}",
        str(row["listed"]),
        "yes" if row["proved"] else "no",
        "in" if row["serving"] else "out",
        row["code"],
        *(str(row[name]) for name in ACTS),
    ]


def print_unknown(found: auditing.Audit, node: str | None) -> None:
    """Print which processes were killed, and when their actions are not known."""
    for name, processes in found.processes.items():
        if node not in (None, name):
            continue
        for process in processes:
            if process.unknown is not None:
                first, last = map(time_text, process.unknown)
                killed = f"{name}: life {process.started.generation} was killed"
                click.echo(f"{killed}, its acts after {first} are not known, to {last} at most")


def print_attempts(found: auditing.Audit, key: str, stores: Iterable[Path]) -> None:
    """Print who sent a request with an idempotency key, and on what each attempt stood."""
    rows = [["node", "sent (UTC)", "to", "version", "list", "proved", "interval"]]
    for path in stores:
        folder = StateDirectory(Disk(path), None)
        state = folder.load(0.0)
        for sent in state.sent.get(key, ()):
            interval = auditing.interval_at(found, folder.owner or "", sent.sent_ms)
            basis = basis_cells(interval.begun) if interval is not None else ["not known"] * 4
            rows.append([folder.owner or "?", time_text(sent.sent_ms), sent.server, *basis])
    click.echo(table(rows) if len(rows) > 1 else f"nothing was sent under {key}, as far as is kept")


def basis_cells(begun: IntervalBegun) -> list[str]:
    """Return what the attempts of an interval stood on, as cells of the table."""
    version = f"{begun.number} {begun.settings_digest[:8]}"
    return [version, str(begun.endpoint_list_version), "yes" if begun.proved else "no", str(begun.interval)]
