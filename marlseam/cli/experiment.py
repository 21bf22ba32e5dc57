"""`marlseam experiment`: run, list and compare experiments."""

import json
import sys
from pathlib import Path

import click
import msgspec

from marlseam.cli import common

FILE = click.Path(path_type=Path, exists=True, dir_okay=False)
FOLDER = click.Path(path_type=Path, exists=True, file_okay=False)


@click.group()
def group() -> None:
    """Run experiments, list and compare them."""


def fail(error: Exception) -> None:
    """Show what is wrong with a file or a command line, and end with 2."""
    for line in str(error).split("\n"):
        click.echo(f"marlseam: {line}", err=True)
    sys.exit(2)


@group.command()
@click.argument("path", metavar="FILE", type=FILE)
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    required=True,
    help="Folder for what comes of it.",
)
@click.option("--virtual", is_flag=True, help="Play the day in virtual time, whatever the file says.")
@click.option("--seed", type=int, help="Another seed than the file's.")
@click.option("--quiet", is_flag=True, help="Print only what was missed.")
def run(path: Path, out: Path, virtual: bool, seed: int | None, quiet: bool) -> None:
    """Run an experiment.

    Ends with 0 if all that it expects holds, 1 if a rule or an expectation does not, 2 if the file is wrong.
    """
    from marlseam.experiment import file, measures, plays
    from marlseam.experiment.processes import RunFailedError
    from marlseam.load.errors import TraceError

    measures.register()
    try:
        experiment = file.load(path)
        changes = {
            key: value
            for key, value in (("seed", seed), ("driver", "virtual" if virtual else None))
            if value is not None
        }
        experiment.head = msgspec.structs.replace(experiment.head, **changes)
        code, missed = plays.run(experiment, out, common.progress)
    except (file.FileError, TraceError) as error:
        fail(error)
    except RunFailedError as error:
        click.echo(f"marlseam: {error}; logs are in {out / 'logs'}", err=True)
        sys.exit(1)
    common.progress("", end=True)
    summary = json.loads((out / "summary.json").read_text())
    if not quiet:
        click.echo(text(summary))
        click.echo(f"report: {out / 'report.html'}")
    for line in missed:
        click.echo(f"missed: {line}", err=True)
    sys.exit(code)


def text(summary: dict) -> str:
    """Return a run's figures for a terminal."""
    figures = summary["figures"]
    rows = [f"{summary['name']} ({summary['driver']}, seed {summary['seed']}, {summary['took_s']:g} s)"]
    names = ("completed", "deferred", "aborted", "lost", "left", "unsent", "none")
    if "work_units" in figures:
        ends = ", ".join(f"{figures[name]:.0f} {name}" for name in names if figures[name])
        rows.append(f"  {figures['work_units']:.0f} work units in {figures['tries']:.0f} tries: {ends}")
        rows.append(
            f"  service {figures['service']:.3f}, late {figures['late']:.3f}, "
            f"worst 10 s {figures['worst_10s']:.3f}, "
            f"worst type {figures['worst_type']:.3f}, waste {figures['waste']:.3f}, "
            f"probes {figures['probes_per_try']:.2f} a try"
        )
        tail = "  ".join(f"p{p} {figures[f'latency_p{p}']:.0f}" for p in ("50", "90", "99", "99.9"))
        rows.append(f"  latency from the intended send, ms: {tail}  most {figures['latency_max']:.0f}")
    for rule in summary["rules"]:
        verdict = "kept" if not rule["broken"] else f"BROKEN {rule['broken']} times"
        rows.append(f"  rule {rule['name']:<16} {verdict}, nearest {rule['margin']:.3f} ({rule['means']})")
    for title, table in summary["tables"]:
        widths = [max(len(row[i]) for row in table) for i in range(len(table[0]))]
        rows.append(f"  {title}")
        rows += [
            "    " + "  ".join(cell.ljust(w) for cell, w in zip(row, widths, strict=True)).rstrip()
            for row in table
        ]
    for row in summary["expected"]:
        # What never came is inf, for which JSON has no word.
        seen = "inf" if row["seen"] is None else f"{row['seen']:.4g}"
        verdict = "holds " if row["holds"] else "MISSED"
        rows.append(f"  {verdict} {row['figure']}: {row['expected']}, seen {seen}")
    return "\n".join(rows)


@group.command()
@click.argument("folder", type=FOLDER, default=Path("experiments"))
def list(folder: Path) -> None:  # noqa: A001 - the command's name
    """List the experiments of a folder."""
    from marlseam.experiment import file, measures

    measures.register()
    for path in sorted(folder.glob("*.toml")):
        try:
            head = file.load(path).head
            click.echo(f"{path.stem:<20} {head.play:<10} {head.driver:<8} {head.about}")
        except file.FileError as error:
            click.echo(f"{path.stem:<20} {str(error).splitlines()[0]}")


@group.command()
@click.argument("a", type=FOLDER)
@click.argument("b", type=FOLDER)
def compare(a: Path, b: Path) -> None:
    """Compare the runs in two folders.

    Differences with bootstrapped intervals, and which are within noise.
    """
    from marlseam.experiment import compare as comparing

    try:
        click.echo(comparing.text(a, b))
    except comparing.Unlike as error:
        fail(error)
