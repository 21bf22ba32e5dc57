"""`marlseam state`: initialize, show, verify and export a node's state folder."""

import json
import time
from pathlib import Path
from typing import NamedTuple

import click
import msgspec

from marlseam.store.disk import Disk
from marlseam.store.errors import Finding, code_of
from marlseam.store.file_format import AttemptSent, DepartureRateStored, HistoryLost, ListStored
from marlseam.store.node_state import NodeState
from marlseam.store.state_directory import StateDirectory, create_state

MS_PER_HOUR = 3.6e6
FOLDER = click.argument("folder", type=click.Path(path_type=Path, file_okay=False))

# The names of entries and fields in exported JSON, by the type of record; independent of the names in code.
EXPORTED: dict[type, tuple[str, tuple[str, ...]]] = {
    DepartureRateStored: ("turned", ("departures", "lived_ms")),
    ListStored: ("listed", ("version", "rows", "heard_ms")),
    HistoryLost: ("lost", ("since_ms",)),
    AttemptSent: ("sent", ("key", "executor", "zone", "cell", "sent_ms", "until_ms")),
}


@click.group()
def group() -> None:
    """Show, verify and export a node's state folder without changing it; or initialize a new one."""


class ReadState(NamedTuple):
    """The state read from a folder, and a finding for each part of the folder that could not be used."""

    state: NodeState
    findings: list[Finding]


def read(folder: Path) -> ReadState:
    """Read the state folder of any node; raise ClickException if the operating system reports an error."""
    directory = StateDirectory(Disk(folder), None)
    try:
        return ReadState(directory.load(time.time() * 1000.0), directory.findings)
    except OSError as error:
        raise click.ClickException(f"{folder}: {code_of(error)}: {error.strerror}") from None


@group.command()
@FOLDER
@click.argument("node")
def begin(folder: Path, node: str) -> None:
    """Initialize FOLDER for NODE, which has never run.

    Without this an empty folder counts as one whose content was lost. Exits with 1 if FOLDER holds a state.
    """
    try:
        create_state(folder, node)
    except FileExistsError:
        raise click.ClickException(
            f"{folder}: there is a state already, expected a folder without one"
        ) from None
    except OSError as error:
        raise click.ClickException(f"{folder}: {code_of(error)}: {error.strerror}") from None
    click.echo(f"{folder} is ready for the first start of {node}")


@group.command()
@FOLDER
def show(folder: Path) -> None:
    """Show a summary of the state."""
    state, findings = read(folder)
    now_ms = time.time() * 1000.0
    for line in state_lines(state, now_ms):
        click.echo(line)
    print_findings(folder, findings)


def state_lines(state: NodeState, now_ms: float) -> list[str]:
    """Return the lines that summarize a state at `now_ms` (Unix ms)."""
    lines = []
    if state.listed is None:
        lines.append("no saved list of servers")
    else:
        listed = state.listed
        age_s = (now_ms - listed.confirmed_ms) / 1000.0
        lines.append(
            f"saved list: {len(listed.rows)} servers, version {listed.version}, confirmed {age_s:.0f} s ago"
        )
    last_ms = max((attempt.until_ms for sent in state.sent.values() for attempt in sent), default=now_ms)
    left_s = max(0.0, last_ms - now_ms) / 1000.0
    lines.append(f"{len(state.sent)} keys of requests that may have run, the last expires in {left_s:.0f} s")
    if state.lost_ms is not None:
        lost_s = (now_ms - state.lost_ms) / 1000.0
        lines.append(f"which requests may have run before {lost_s:.0f} s ago is not known: records were lost")
    hours = state.departure_rate.lived_ms / MS_PER_HOUR
    lines.append(f"{state.departure_rate.departures:.0f} departures of servers in {hours:.1f} server hours")
    return lines


def print_findings(folder: Path, findings: list[Finding]) -> None:
    """Print one line for each part of a folder that could not be used."""
    for finding in findings:
        click.echo(f"{finding.name or folder} code={finding.code}: {finding.text}")


@group.command()
@FOLDER
def verify(folder: Path) -> None:
    """Read the whole folder; exits with 1 if a part of it could not be used."""
    _, findings = read(folder)
    print_findings(folder, findings)
    if findings:
        raise SystemExit(1)
    click.echo("all parts of the state folder can be read")


@group.command()
@FOLDER
def export(folder: Path) -> None:
    """Print the state as JSON, one entry per line."""
    state, _ = read(folder)
    for entry in state.entries():
        name, fields = EXPORTED[type(entry)]
        row = dict(zip(fields, msgspec.structs.astuple(entry), strict=True))
        click.echo(json.dumps({"entry": name, **row}))
