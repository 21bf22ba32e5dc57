"""`marlseam standin`: emulators on loopback and load generators, started by experiments or by hand.

Operators know the names of commands and options and the printed texts, which therefore stay. Experiments
start the commands by name and parse their ready lines.
"""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from marlseam.cli import common

DAY = click.argument("day", type=click.Path(path_type=Path, exists=True, dir_okay=False))
SEED = click.option("--seed", default=1, show_default=True, help="Seed of all random draws.")
RECORDS = click.option(
    "--records", type=click.Path(path_type=Path, file_okay=False, exists=True), help="Folder for records."
)
NOW = click.option(
    "--now", is_flag=True, help="Begin at once, without reading the run's start from standard input."
)


Decorator = Callable[[Callable[..., Any]], Callable[..., Any]]


def emulator_options(*further: Decorator) -> Decorator:
    """Return a decorator that adds the arguments common to all emulators, and `further` ones."""

    def decorate(command: Callable[..., Any]) -> Callable[..., Any]:
        for option in (*reversed(further), NOW, RECORDS, SEED, DAY):
            command = option(command)
        return command

    return decorate


@click.group()
def group() -> None:
    """Run emulators on loopback: executors, roster, network, echo; and the load generator."""


@group.command("executors")
@emulator_options(
    click.option("--part", default="1/1", show_default=True, help="Run part NUMBER/COUNT of the executors."),
    click.option(
        "--nodelay/--nagle", default=True, show_default=True, help="Whether to disable Nagle's algorithm."
    ),
)
def run_servers(day: Path, seed: int, records: Path | None, now: bool, part: str, nodelay: bool) -> None:
    """Run a day's executors (servers); the ready line holds their addresses."""
    from marlseam.emulators.servers import serve

    serve(common.load_day(day), seed, records, now, nodelay, part)


@group.command("roster")
@emulator_options(
    click.option(
        "--dials",
        type=click.Path(path_type=Path, exists=True),
        required=True,
        help="JSON file of addresses to dial, by zone and executor.",
    )
)
def run_discovery(day: Path, seed: int, records: Path | None, now: bool, dials: Path) -> None:
    """Run a day's roster (discovery); the ready line holds an address for each node."""
    from marlseam.emulators.discovery import serve

    serve(common.load_day(day), seed, json.loads(dials.read_text()), records, now)


@group.command("network")
@emulator_options(
    click.option(
        "--addresses",
        type=click.Path(path_type=Path, exists=True),
        required=True,
        help="JSON file of the executors' addresses.",
    )
)
def run_network(day: Path, seed: int, records: Path | None, now: bool, addresses: Path) -> None:
    """Run the network between zones and executors; the ready line holds the addresses to dial, by zone."""
    from marlseam.emulators.network import serve

    serve(common.load_day(day), seed, json.loads(addresses.read_text()), records, now)


@group.command("load")
@emulator_options(
    click.option(
        "--nodes",
        type=click.Path(path_type=Path, exists=True),
        required=True,
        help="JSON file of zone and address by node.",
    ),
    click.option("--part", default="1/1", show_default=True, help="Send part NUMBER/COUNT of the arrivals."),
    click.option(
        "--connections",
        default=0,
        show_default=True,
        help="Largest number of connections at once; 0: no limit.",
    ),
)
def run_load(
    day: Path, seed: int, records: Path | None, now: bool, nodes: Path, part: str, connections: int
) -> None:
    """Send a day's work units (requests) as its clients.

    The ready line is an empty JSON object; the last line holds the counts as JSON.
    """
    from marlseam.load.process import serve

    serve(common.load_day(day), seed, json.loads(nodes.read_text()), records, now, part, connections)


@group.command("echo")
@click.option(
    "--stall",
    "stalls",
    type=(float, float),
    multiple=True,
    help="Stall the process: start and duration in seconds; may repeat.",
)
def run_echo(stalls: list[tuple[float, float]]) -> None:
    """Run a node that completes each request at once; the ready line holds its address."""
    from marlseam.emulators.echo import Stall, serve

    serve([Stall(*stall) for stall in stalls])
