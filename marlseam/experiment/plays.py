"""Plays: functions that run an experiment and return figures, a verdict and tables.

A play is registered under the name that the key `play` of an experiment file selects; `registered_plays`
imports all plays. The tables that a play reads from the file are registered in `file`.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from marlseam.experiment.file import Experiment
from marlseam.experiment.slope import Slope
from marlseam.experiment.summary import Table
from marlseam.records import Record
from marlseam.verification.rules import judge
from marlseam.verification.run_records import RunRecords
from marlseam.verification.service import figures
from marlseam.verification.verdict import Verdict

ShowProgress = Callable[[str], None]


@dataclass
class RunResult:
    """The result of a play.

    Attributes:
        figures: figures by name; the experiment file may bound each of them.
        verdict: the outcome of the rule check, None if the play checks no rules.
        run_records: the records of the run, for the report; None if the play has no records.
        tables: tables for the report.
        driver: the driver that the play ran on; empty if it is the driver named in the file.
        slopes: figures by size, each with its bound, drawn in the report.
    """

    figures: dict[str, float]
    verdict: Verdict | None = None
    run_records: RunRecords | None = None
    tables: list[Table] = field(default_factory=list)
    driver: str = ""
    slopes: list[Slope] = field(default_factory=list)


@dataclass
class JudgedResult(RunResult):
    """The result of a run whose records were checked against the rules."""

    verdict: Verdict = field()
    run_records: RunRecords = field()


Play = Callable[[Experiment, Path, ShowProgress], RunResult]
PLAYS: dict[str, Play] = {}


def register_play(name: str) -> Callable[[Play], Play]:
    """Return a decorator that registers a play in `PLAYS` under a name."""

    def register(play: Play) -> Play:
        PLAYS[name] = play
        return play

    return register


def margin_figure(rule_name: str) -> str:
    """Return the name of the figure that holds a rule's margin."""
    return "margin_" + rule_name.replace(" ", "_")


def judge_records(all_records: Iterable[Record], read_errors: list[str], driver: str) -> JudgedResult:
    """Check records against the rules and compute figures; with `read_errors` the verdict has gaps only."""
    verdict, run_records = judge(list(all_records), read_errors)
    run_figures = figures(run_records)
    run_figures["rules_broken"] = float(verdict.violation_count)
    for rule in verdict.rules:
        run_figures[margin_figure(rule.name)] = rule.margin
    return JudgedResult(run_figures, verdict, run_records, driver=driver)
