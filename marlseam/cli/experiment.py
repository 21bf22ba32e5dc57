"""`marlseam experiment`: run, list and compare experiments.

Words printed here are those that operators know; see docs/operators/bench.md.
"""

import sys
from math import isfinite
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click
import msgspec

from marlseam.cli import common
from marlseam.cli.tables import table

if TYPE_CHECKING:
    from marlseam.experiment.file import Experiment
    from marlseam.experiment.summary import ExpectationOutcome, RuleOutcome, RunSummary, Table

FILE = click.Path(path_type=Path, exists=True, dir_okay=False)
FOLDER = click.Path(path_type=Path, exists=True, file_okay=False)
USAGE_EXIT_CODE = 2  # of a file or a command line that is wrong
OUTCOMES = ("completed", "deferred", "aborted", "lost", "left", "unsent", "none")  # figures, in this order
LATENCY_PERCENTILES = ("50", "90", "99", "99.9")  # as in the names of figures


@click.group()
def group() -> None:
    """Run experiments, list and compare them."""


def fail(error: Exception) -> NoReturn:
    """Show what is wrong with a file or a command line, and end with 2."""
    for line in str(error).split("\n"):
        click.echo(f"marlseam: {line}", err=True)
    sys.exit(USAGE_EXIT_CODE)


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
    from marlseam.experiment import file, registered_plays, runner
    from marlseam.experiment.processes import RunFailedError
    from marlseam.load.errors import TraceError

    registered_plays.register()
    try:
        experiment = file.load(path)
        override_head(experiment, virtual, seed)
        summary = runner.run(experiment, out, common.show_progress)
    except (file.FileError, TraceError) as error:
        fail(error)
    except RunFailedError as error:
        click.echo(f"marlseam: {error}; logs are in {out / 'logs'}", err=True)
        sys.exit(1)
    common.show_progress("", end=True)
    if not quiet:
        click.echo(summary_text(summary))
        click.echo(f"report: {out / 'report.html'}")
    for line in summary.missed:
        click.echo(f"missed: {line}", err=True)
    sys.exit(summary.exit_code)


def override_head(experiment: "Experiment", virtual: bool, seed: int | None) -> None:
    """Put the options of the command line in the place of what the file says."""
    if virtual:
        experiment.head = msgspec.structs.replace(experiment.head, driver="virtual")
    if seed is not None:
        experiment.head = msgspec.structs.replace(experiment.head, seed=seed)


def summary_text(summary: "RunSummary") -> str:
    """Return a run's figures for a terminal."""
    heading = f"{summary.name} ({summary.driver}, seed {summary.seed}, {summary.duration_s:g} s)"
    lines = [heading]
    if "work_units" in summary.figures:
        lines += day_lines(summary.figures)
    lines += [rule_line(rule) for rule in summary.rules]
    for title, rows in summary.tables:
        lines += table_lines((title, rows))
    lines += [expectation_line(expectation) for expectation in summary.expectations]
    return "\n".join(lines)


def day_lines(figures: dict[str, float]) -> list[str]:
    """Return the figures of a day in lines."""
    ends = ", ".join(f"{figures[name]:.0f} {name}" for name in OUTCOMES if figures[name])
    latencies = "  ".join(
        f"p{percent} {figures[f'latency_p{percent}']:.0f}" for percent in LATENCY_PERCENTILES
    )
    return [
        f"  {figures['work_units']:.0f} work units in {figures['tries']:.0f} tries: {ends}",
        f"  service {figures['service']:.3f}, late {figures['late']:.3f}, "
        f"worst 10 s {figures['worst_10s']:.3f}, "
        f"worst type {figures['worst_type']:.3f}, waste {figures['waste']:.3f}, "
        f"probes {figures['probes_per_try']:.2f} a try",
        f"  latency from the intended send, ms: {latencies}  most {figures['latency_max']:.0f}",
    ]


def rule_line(rule: "RuleOutcome") -> str:
    """Return what the check of a rule found in a line."""
    verdict = "kept" if not rule.violation_count else f"BROKEN {rule.violation_count} times"
    return f"  rule {rule.name:<16} {verdict}, nearest {rule.margin:.3f} ({rule.means})"


def table_lines(titled: "Table") -> list[str]:
    """Return a table of a run, indented below its title."""
    title, rows = titled
    return [f"  {title}", *(f"    {line}" for line in table(rows).split("\n"))]


def expectation_line(expectation: "ExpectationOutcome") -> str:
    """Return whether a figure is as expected in a line; one of what never came is shown as inf."""
    value = f"{expectation.value:.4g}" if isfinite(expectation.value) else "inf"
    verdict = "holds " if expectation.holds else "MISSED"
    return f"  {verdict} {expectation.figure}: {expectation.bound}, seen {value}"


@group.command("list")
@click.argument("folder", type=FOLDER, default=Path("experiments"))
def list_experiments(folder: Path) -> None:
    """List the experiments of a folder."""
    from marlseam.experiment import file, registered_plays

    registered_plays.register()
    for path in sorted(folder.glob("*.toml")):
        try:
            head = file.load(path).head
            click.echo(f"{path.stem:<20} {head.play:<10} {head.driver:<8} {head.about}")
        except file.FileError as error:
            click.echo(f"{path.stem:<20} {str(error).splitlines()[0]}")


@group.command("compare")
@click.argument("first", metavar="A", type=FOLDER)
@click.argument("second", metavar="B", type=FOLDER)
def compare_runs(first: Path, second: Path) -> None:
    """Compare the runs in two folders.

    Differences with bootstrapped intervals, and which are within noise.
    """
    from marlseam.experiment import compare

    try:
        click.echo(compare.text(first, second))
    except compare.IncomparableRunsError as error:
        fail(error)
