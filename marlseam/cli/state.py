"""`marlseam state`: what a node's state folder holds."""

import json
import time
from pathlib import Path

import click
import msgspec

from marlseam.store.disk import Disk
from marlseam.store.errors import Finding, code_of
from marlseam.store.file_format import AttemptSent, DepartureRateStored, HistoryLost, ListStored
from marlseam.store.node_state import NodeState
from marlseam.store.state_directory import StateDirectory, create_state

FOLDER = click.argument("folder", type=click.Path(path_type=Path, file_okay=False))

# The names that operators are shown of each record and its fields, whatever these are called in the code.
EXPORTED: dict[type, tuple[str, tuple[str, ...]]] = {
    DepartureRateStored: ("turned", ("departures", "lived_ms")),
    ListStored: ("listed", ("version", "rows", "heard_ms")),
    HistoryLost: ("lost", ("since_ms",)),
    AttemptSent: ("sent", ("key", "executor", "zone", "cell", "sent_ms", "until_ms")),
}


@click.group()
def group() -> None:
    """Show, verify and export a node's state folder, which changes nothing in it; or begin a first one."""


def read(folder: Path) -> tuple[NodeState, list[Finding]]:
    """Read a folder, of whatever node it is."""
    held = StateDirectory(Disk(folder), None)
    try:
        return held.load(time.time() * 1000.0), held.findings
    except OSError as error:
        raise click.ClickException(f"{folder}: {code_of(error)}: {error.strerror}") from None


@group.command()
@FOLDER
@click.argument("node")
def begin(folder: Path, node: str) -> None:
    """Say that nothing ran before under NODE: its folder is empty as it has not lived yet.

    Without this an empty folder counts as one whose content is lost. Ends with 1 where there is a state.
    """
    try:
        create_state(folder, node)
    except FileExistsError:
        raise click.ClickException(f"{folder}: there is a state already") from None
    except OSError as error:
        raise click.ClickException(f"{folder}: {code_of(error)}: {error.strerror}") from None
    click.echo(f"{folder} is ready for the first life of {node}")


@group.command()
@FOLDER
def show(folder: Path) -> None:
    """Say what is there, in a few lines."""
    state, findings = read(folder)
    now = time.time() * 1000.0
    if state.listed is None:
        click.echo("no list of servers")
    else:
        age = (now - state.listed.confirmed_ms) / 1000.0
        click.echo(
            f"{len(state.listed.rows)} servers, version {state.listed.version}, confirmed {age:.0f} s ago"
        )
    last = max((row.until_ms for rows in state.sent.values() for row in rows), default=now)
    left = max(0.0, last - now) / 1000.0
    click.echo(f"{len(state.sent)} keys that may have run, the last forgotten in {left:.0f} s")
    if state.lost_ms is not None:
        click.echo(f"what may have run before {(now - state.lost_ms) / 1000.0:.0f} s ago is not known")
    hours = state.departure_rate.lived_ms / 3.6e6
    click.echo(f"{state.departure_rate.departures:.0f} departures in {hours:.1f} server hours")
    for finding in findings:
        click.echo(f"{finding.name or folder} code={finding.code}: {finding.text}")


@group.command()
@FOLDER
def verify(folder: Path) -> None:
    """Read everything; ends with 1 if anything could not be used."""
    _, findings = read(folder)
    for finding in findings:
        click.echo(f"{finding.name or folder} code={finding.code}: {finding.text}")
    if findings:
        raise SystemExit(1)
    click.echo("all of it can be read")


@group.command()
@FOLDER
def export(folder: Path) -> None:
    """Print the state as JSON, one entry a line."""
    state, _ = read(folder)
    for entry in state.entries():
        name, fields = EXPORTED[type(entry)]
        row = dict(zip(fields, msgspec.structs.astuple(entry), strict=True))
        click.echo(json.dumps({"entry": name, **row}))
