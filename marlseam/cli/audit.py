"""`marlseam fleet audit`: which node acted on which configuration version, read from the nodes' ledgers."""

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
from marlseam.cluster.audit_log import ACTION_KINDS, IntervalBegun
from marlseam.store import ledger_audit
from marlseam.store.disk import Disk
from marlseam.store.errors import code_of
from marlseam.store.state_directory import StateDirectory

Row = dict[str, Any]  # an interval as `marlseam.cluster.audit.interval_rows` returns it

FOLDER = click.Path(path_type=Path, file_okay=False, exists=True)
PAGE = """<!doctype html><meta charset=utf-8><title>Audit of the fleet</title>
<style>body{{font:14px sans-serif}}</style><h1>Versions that nodes acted on</h1>
<p>{first} to {last} (UTC). {key}. Pale: out of service; dashed: version not proved to be in force.</p>
<svg width="1110" height="{height}">{bars}</svg><h2>Findings</h2><ul>{findings}</ul>
"""
COLOURS = ("#9aa5b1", "#2f6f9f", "#c9622e", "#4f8a3c", "#8a4f8f", "#b59a2a", "#3c8a86", "#a83e52")
LABEL_PX, TIMELINE_PX, ROW_PX = 100, 1000.0, 24  # widths of names and time axis, height of a row
MAX_SHOWN_MS = 1e15  # Unix time; a later one stands for "never" and is shown as "-"
BASIS_HEADINGS = ("program", "version", "list", "proved", "service", "code")
HEADINGS = ("node", "life", "interval", "from (UTC)", *BASIS_HEADINGS)


def time_text(unix_ms: float | None) -> str:
    """Return a Unix time in ms as month, day and UTC time of day; "-" for None and from MAX_SHOWN_MS on."""
    if unix_ms is None or unix_ms > MAX_SHOWN_MS:
        return "-"
    return time.strftime("%m-%d %H:%M:%S", time.gmtime(unix_ms / 1000.0)) + f".{int(unix_ms % 1000.0):03d}"


def colour_of(version: int) -> str:
    """Return the colour of a version in the timeline; versions repeat the colours in turn."""
    return COLOURS[version % len(COLOURS)]


# The timeline.


class Bar(NamedTuple):
    """The position and width of an interval in the timeline, in pixels."""

    left: float
    top: int
    width: float

    def rectangle(self, row: Row) -> str:
        """Return the interval's SVG rectangle with its tooltip; pale where the node is out of service."""
        text = f"{row['node']} life {row['life']} interval {row['interval']}: version {row['number']}, list "
        text += (
            f"{row['listed']}, {row['sent']} sent, {row['code'] or 'no fault'}, {time_text(row['from_ms'])}"
        )
        opacity = 1.0 if row["serving"] else 0.3
        return (
            f'<rect x="{self.left:.1f}" y="{self.top + 2}" width="{self.width:.1f}" height="18" '
            f'fill="{colour_of(row["number"])}" opacity="{opacity}"><title>{escape(text)}</title></rect>'
        )

    def dashes(self) -> str:
        """Return the dashed SVG line that marks an interval whose version is not proven to be in force."""
        return (
            f'<line x1="{self.left:.1f}" x2="{self.left + self.width:.1f}" y1="{self.top + 11}" '
            f'y2="{self.top + 11}" stroke="#fff" stroke-dasharray="3 3"/>'
        )


def timeline(rows: list[Row], findings: list[str]) -> str:
    """Return an HTML page that shows each node's intervals over time, coloured by version, and the findings.

    Intervals out of service are pale, those whose version is not proven have a dashed line. `rows` must not
    be empty.
    """
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
        findings="".join(f"<li>{escape(text)}</li>" for text in findings) or "<li>none</li>",
    )


# The command.


@click.command()
@click.argument("folders", nargs=-1, type=FOLDER)
@click.option("--at", "address", help="Admin address of a node on this machine: also read its ledger.")
@click.option("--node", help="Show this node only.")
@click.option(
    "--since", "since_s", type=float, help="Show only intervals that reach into the last so many seconds."
)
@click.option(
    "--unit", help="Idempotency key of a work unit: show who sent it, to which server and on which version."
)
@click.option(
    "--store", "stores", multiple=True, type=FOLDER, help="State folder of a node, for --unit; may repeat."
)
@click.option("--json", "raw", is_flag=True, help="Print one line of JSON per interval.")
@click.option(
    "--html", type=click.Path(path_type=Path, dir_okay=False), help="Write a timeline to this file."
)
@click.option(
    "--error-ms", default=100.0, show_default=True, help="Largest difference of the machines' clocks, in ms."
)
def audit(  # noqa: PLR0913 - one parameter per option
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
    """Show which node acted on which configuration version, as recorded in the ledgers in FOLDERS.

    Exits with 1 and lists what is wrong if a node acted on a version as proven for longer than its lease
    after a newer one was first held, a chain of records is broken, an interval is missing, or two processes
    acted under one name.
    """
    found = read_ledgers(folders, address, error_ms)
    since_ms = 1000.0 * (time.time() - since_s) if since_s is not None else 0.0
    rows = auditing.interval_rows(found, since_ms, node)
    if raw:
        for row in rows:
            click.echo(json.dumps(row))
    elif unit is not None:
        print_attempts(found, unit, stores)
    elif rows:
        click.echo(table([[*HEADINGS, *ACTION_KINDS], *map(table_row, rows)]))
    if not raw:
        print_unknown(found, node)
    if html is not None and rows:
        html.write_text(timeline(rows, found.findings), encoding="utf-8")
    for text in found.findings:
        click.echo(f"WRONG {text}", err=raw)
    sys.exit(1 if found.findings else 0)


def read_ledgers(folders: tuple[Path, ...], address: str | None, error_ms: float) -> auditing.Audit:
    """Return the audit of ledger folders and, with `address`, of the ledger of the node at it.

    Raises ClickException where there is no ledger to read, or reading one fails.
    """
    if address is not None:
        folder = fleet_status(address).get("acting", {}).get("ledger")
        if folder is None or not Path(folder).is_dir():
            raise click.ClickException(f"{address}: expected a node whose ledger is a folder on this machine")
        folders = (*folders, Path(folder))
    if not folders:
        raise click.ClickException(
            "no ledger given: expected folders of ledgers as arguments, or --at with the admin address of a "
            "node on this machine"
        )
    try:
        return ledger_audit.read(folders, error_ms)
    except OSError as error:
        raise click.ClickException(f"{error.filename}: {code_of(error)}: {error.strerror}") from None


def table_row(row: Row) -> list[str]:
    """Return the cells of an interval's table row, in the order of HEADINGS and ACTION_KINDS."""
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
        *(str(row[name]) for name in ACTION_KINDS),
    ]


def print_unknown(found: auditing.Audit, node: str | None) -> None:
    """Print which processes were killed, and the time for which their actions are not recorded."""
    for name, processes in found.processes.items():
        if node not in (None, name):
            continue
        for process in processes:
            if process.unknown is not None:
                first, last = map(time_text, process.unknown)
                killed = f"{name}: life {process.started.generation} was killed"
                click.echo(
                    f"{killed}, its actions from {first} to {last} (UTC; -: no end known) are not recorded"
                )


def print_attempts(found: auditing.Audit, key: str, stores: Iterable[Path]) -> None:
    """Print who sent a request with an idempotency key, and on which version each attempt was sent.

    `stores` are the nodes' state folders, which hold the attempts.
    """
    rows = [["node", "sent (UTC)", "to", "version", "list", "proved", "interval"]]
    for path in stores:
        folder = StateDirectory(Disk(path), None)
        state = folder.load(0.0)
        for sent in state.sent.get(key, ()):
            interval = auditing.interval_at(found, folder.owner or "", sent.sent_ms)
            basis = basis_cells(interval.begun) if interval is not None else ["not known"] * 4
            rows.append([folder.owner or "?", time_text(sent.sent_ms), sent.server, *basis])
    click.echo(
        table(rows)
        if len(rows) > 1
        else f"nothing was sent under {key}, according to the state folders given by --store"
    )


def basis_cells(begun: IntervalBegun) -> list[str]:
    """Return the version, endpoint list version, proof and number of an interval as table cells."""
    version = f"{begun.number} {begun.settings_digest[:8]}"
    return [version, str(begun.endpoint_list_version), "yes" if begun.proved else "no", str(begun.interval)]
