"""`marlseam load`: send a day's load to nodes that run, and write traces from records."""

import json
import time
from pathlib import Path

import click

from marlseam.cli import common

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
    help="A node's address; several are dealt to the zones in turn.",
)
@click.option("--seed", default=1, show_default=True, help="Seed of the arrivals.")
@click.option(
    "--connections", default=0, show_default=True, help="Most connections at once, 0 for as needed."
)
@click.option(
    "--records",
    type=click.Path(path_type=Path, file_okay=False),
    help="Folder for records, made if there is none.",
)
def run(day: Path, nodes: tuple[str, ...], seed: int, connections: int, records: Path | None) -> None:
    """Send a day's work units to nodes and print what was counted; ends with 1 where the run is not valid."""
    from marlseam.configuration import address_from
    from marlseam.load import process
    from marlseam.load.errors import TraceError
    from marlseam.load.generator import Generator
    from marlseam.load.tally import Tally
    from marlseam.load.verdict import merge, table
    from marlseam.records import Streams
    from marlseam.world.chance import stream

    for address in nodes:
        if address_from(address) is None:
            raise click.BadParameter(
                f"{address!r} is no address and port, as 127.0.0.1:8443", param_hint="--node"
            )
    held = common.day(day)
    zones = held.fleet.zones
    where = {f"n{i}": (zones[i % len(zones)], address) for i, address in enumerate(nodes)}
    try:
        arrivals = process.arrivals_of(held, seed)
    except TraceError as error:
        raise click.UsageError(str(error)) from None
    covered = {zone for zone, _ in where.values()}
    if any(arrival.zone not in covered for arrival in arrivals):
        raise click.UsageError(
            f"--node: {len(nodes)} given, expected one for each of {len(zones)} zones at least"
        )
    if records is not None:
        records.mkdir(parents=True, exist_ok=True)
    writer = Streams(records, "clients").of("clients")
    generator = Generator(held, arrivals, where, writer, stream(seed, "clients"), connections)

    def shown(now: float, tally: Tally) -> None:
        common.progress(
            f"{now / 1000.0:.0f} s of {held.seconds:g}: {tally.sent} sent, {generator.open_tries} out"
        )

    tally = generator.run(time.monotonic() + 0.2, shown)
    common.progress("", end=True)
    counted = merge([process.summary(tally)], len(arrivals))
    click.echo(table(counted))
    if not counted.is_valid:
        raise SystemExit(1)


@group.command()
@click.argument("run", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.argument("to", type=click.Path(path_type=Path, dir_okay=False))
@click.option(
    "--retries/--first-tries", default=False, show_default=True, help="Whether clients' retries go in."
)
def trace(run: Path, to: Path, retries: bool) -> None:
    """Write the trace of an experiment's RUN folder to a file."""
    from marlseam import records
    from marlseam.load.process import arrivals_of
    from marlseam.load.trace import trace_lines

    try:
        seed = json.loads((run / "summary.json").read_text())["seed"]
        held = common.day(run / "day.json")
    except (OSError, KeyError, ValueError) as error:
        raise click.UsageError(f"{run}: no run of an experiment ({error})") from None
    found, wrong = records.read_folder(run / "records")
    if wrong:
        raise click.UsageError("\n".join(wrong))
    with to.open("wb") as file:
        file.writelines(trace_lines(found, arrivals_of(held, seed), retries))
