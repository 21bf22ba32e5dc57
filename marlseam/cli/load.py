"""`marlseam load`: send a day's load to running nodes, and write traces from records."""

import json
import time
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import click

from marlseam.cli import common

if TYPE_CHECKING:
    from marlseam.load.generator import NodePlace
    from marlseam.simulation.model import Day
    from marlseam.simulation.plan import Arrival

FILE = click.Path(path_type=Path, exists=True, dir_okay=False)


@click.group()
def group() -> None:
    """Send open-loop load to nodes, and write traces from records."""


@group.command()
@click.argument("day", type=FILE)
@click.option(
    "--node",
    "nodes",
    multiple=True,
    required=True,
    help="Address of a node; may repeat: nodes are assigned to the zones in turn.",
)
@click.option("--seed", default=1, show_default=True, help="Seed of the arrivals and of the clients' waits.")
@click.option(
    "--connections", default=0, show_default=True, help="Largest number of connections at once; 0: no limit."
)
@click.option(
    "--records",
    type=click.Path(path_type=Path, file_okay=False),
    help="Folder for records, created if missing.",
)
def run(day: Path, nodes: tuple[str, ...], seed: int, connections: int, records: Path | None) -> None:
    """Send a day's work units (requests) to nodes and print counts and latencies.

    Exits with 1 if the run is not valid because the generator itself was the bottleneck: it sent too late, or
    had no file descriptors left.
    """
    from marlseam.load import process
    from marlseam.load.generator import Generator, NodePlace
    from marlseam.load.tally import Tally
    from marlseam.load.verdict import merge, table
    from marlseam.records import RecordStreams
    from marlseam.simulation.random_streams import random_stream

    _check_addresses(nodes)
    played_day = common.load_day(day)
    zones = played_day.fleet.zones
    places = {f"n{i}": NodePlace(zones[i % len(zones)], address) for i, address in enumerate(nodes)}
    arrivals = _arrivals(played_day, seed, places)
    if records is not None:
        records.mkdir(parents=True, exist_ok=True)
    writer = RecordStreams(records, "clients").of("clients")
    generator = Generator(played_day, arrivals, places, writer, random_stream(seed, "clients"), connections)

    def show_progress(now_ms: float, tally: Tally) -> None:
        sent, open_tries = tally.sent, generator.open_tries
        common.show_progress(
            f"{now_ms / 1000.0:.0f} s of {played_day.seconds:g} s: {sent} sent, {open_tries} unanswered"
        )

    tally = generator.run(time.monotonic() + process.START_DELAY_S, show_progress)
    common.show_progress("", end=True)
    counted = merge([process.summary(tally)], len(arrivals))
    click.echo(table(counted))
    if not counted.is_valid:
        raise SystemExit(1)


def _check_addresses(addresses: Sequence[str]) -> None:
    """Raise BadParameter for the first text that is not HOST:PORT."""
    from marlseam.configuration import address_from

    for address in addresses:
        if address_from(address) is None:
            raise click.BadParameter(
                f"{address!r}: expected HOST:PORT, for example 127.0.0.1:8443", param_hint="--node"
            )


def _arrivals(day: "Day", seed: int, places: "dict[str, NodePlace]") -> "list[Arrival]":
    """Return a day's arrivals; raise UsageError for an invalid trace, or a zone that has no node."""
    from marlseam.load.errors import TraceError
    from marlseam.load.process import arrivals_of

    try:
        arrivals = arrivals_of(day, seed)
    except TraceError as error:
        raise click.UsageError(str(error)) from None
    covered_zones = {place.zone for place in places.values()}
    if any(arrival.zone not in covered_zones for arrival in arrivals):
        zone_count = len(day.fleet.zones)
        raise click.UsageError(
            f"--node: {len(places)} addresses given, expected at least one for each of {zone_count} zones"
        )
    return arrivals


@group.command()
@click.argument("run", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.argument("to", type=click.Path(path_type=Path, dir_okay=False))
@click.option(
    "--retries/--first-tries", default=False, show_default=True, help="Include the clients' retries."
)
def trace(run: Path, to: Path, retries: bool) -> None:
    """Write the trace of the experiment run in folder RUN to the file TO."""
    from marlseam import records
    from marlseam.load.process import arrivals_of
    from marlseam.load.trace import trace_lines

    try:
        seed = json.loads((run / "summary.json").read_text())["seed"]
        played_day = common.load_day(run / "day.json")
    except (OSError, KeyError, ValueError) as error:
        raise click.UsageError(f"{run}: expected the folder of an experiment run ({error})") from None
    found, problems = records.read_folder(run / "records")
    if problems:
        raise click.UsageError("\n".join(problems))
    with to.open("wb") as file:
        file.writelines(trace_lines(found, arrivals_of(played_day, seed), retries))
