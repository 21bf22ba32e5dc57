"""What a play is: a function that carries out an experiment and returns figures, a verdict, tables.

A play is registered under the name that the key `play` of an experiment's file gives; `registered_plays`
imports all of them. A table that a play reads from the file is registered in `file`.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from marlseam.experiment.file import Experiment
from marlseam.experiment.slope import Slope
from marlseam.experiment.summary import Table
from marlseam.records import Record
from marlseam.verification.book import RunRecords
from marlseam.verification.rules import judge
from marlseam.verification.service import figures
from marlseam.verification.verdict import Verdict

ShowProgress = Callable[[str], None]


@dataclass
class RunResult:
    """What a play returns.

    Attributes:
        figures: figures by name, which the experiment's file may bound.
        verdict: what the check of the rules found, None where none was made.
        book: the records of the run, for the report, None where there are none.
        tables: tables for the report.
        driver: what the play ran on; empty for what the file says.
        slopes: figures by size, drawn in the report, each with its bound.
    """

    figures: dict[str, float]
    verdict: Verdict | None = None
    book: RunRecords | None = None
    tables: list[Table] = field(default_factory=list)
    driver: str = ""
    slopes: list[Slope] = field(default_factory=list)


@dataclass
class JudgedResult(RunResult):
    """The result of a run whose records were checked."""

    verdict: Verdict = field()
    book: RunRecords = field()


Play = Callable[[Experiment, Path, ShowProgress], RunResult]
PLAYS: dict[str, Play] = {}


def register_play(name: str) -> Callable[[Play], Play]:
    """Return a decorator that registers a play under a name."""

    def register(play: Play) -> Play:
        PLAYS[name] = play
        return play

    return register


def margin_figure(rule_name: str) -> str:
    """Return the name of the figure that holds a rule's margin."""
    return "margin_" + rule_name.replace(" ", "_")


def judge_records(found: Iterable[Record], wrong: list[str], driver: str) -> JudgedResult:
    """Check records and count their figures; `wrong` are the lines that could not be read."""
    verdict, book = judge(list(found), wrong)
    counted = figures(book)
    counted["rules_broken"] = float(verdict.violation_count)
    for rule in verdict.rules:
        counted[margin_figure(rule.name)] = rule.margin
    return JudgedResult(counted, verdict, book, driver=driver)
