"""`marlseam experiment`: run, list and compare experiments.

docs/operators/bench.md explains the printed words to operators.
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
USAGE_EXIT_CODE = 2  # for an invalid file or command line
OUTCOMES = ("completed", "deferred", "aborted", "lost", "left", "unsent", "none")  # figures, in printed order
LATENCY_PERCENTILES = ("50", "90", "99", "99.9")  # as written in the names of the figures


@click.group()
def group() -> None:
    """Run, list and compare experiments."""


def fail(error: Exception) -> NoReturn:
    """Print an error of a file or a command line to standard error, and exit with 2."""
    for line in str(error).split("\n"):
        click.echo(f"marlseam: {line}", err=True)
    sys.exit(USAGE_EXIT_CODE)


@group.command()
@click.argument("path", metavar="FILE", type=FILE)
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    required=True,
    help="Folder for the results.",
)
@click.option("--virtual", is_flag=True, help="Play in virtual time, whatever driver the file names.")
@click.option("--seed", type=int, help="Seed to use in place of the file's.")
@click.option("--quiet", is_flag=True, help="Print only expectations and rules that do not hold.")
def run(path: Path, out: Path, virtual: bool, seed: int | None, quiet: bool) -> None:
    """Run an experiment.

    Exits with 0 if all expectations and rules hold, 1 if one does not or the run failed, 2 if the file is
    invalid.
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
    """Replace the driver and the seed of an experiment by the options of the command line, where given."""
    if virtual:
        experiment.head = msgspec.structs.replace(experiment.head, driver="virtual")
    if seed is not None:
        experiment.head = msgspec.structs.replace(experiment.head, seed=seed)


def summary_text(summary: "RunSummary") -> str:
    """Return a run's figures, rules, tables and expectations as text for a terminal."""
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
    """Return the lines that show the figures of a day."""
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
    """Return the line that shows the result of a rule's check."""
    verdict = "kept" if not rule.violation_count else f"BROKEN {rule.violation_count} times"
    return f"  rule {rule.name:<16} {verdict}, nearest {rule.margin:.3f} ({rule.means})"


def table_lines(titled: "Table") -> list[str]:
    """Return the lines of a table, indented below its title."""
    title, rows = titled
    return [f"  {title}", *(f"    {line}" for line in table(rows).split("\n"))]


def expectation_line(expectation: "ExpectationOutcome") -> str:
    """Return the line that shows whether a figure meets its expectation.

    The figure of something that never happened is infinite or not a number; both are shown as inf.
    """
    value = f"{expectation.value:.4g}" if isfinite(expectation.value) else "inf"
    verdict = "holds " if expectation.holds else "MISSED"
    return f"  {verdict} {expectation.figure}: {expectation.bound}, seen {value}"


@group.command("list")
@click.argument("folder", type=FOLDER, default=Path("experiments"))
def list_experiments(folder: Path) -> None:
    """List the experiment files of a folder with play, driver and description, or their first error."""
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

    Prints the differences of figures with bootstrapped intervals, and which of them are within noise.
    """
    from marlseam.experiment import compare

    try:
        click.echo(compare.text(first, second))
    except compare.IncomparableRunsError as error:
        fail(error)
