"""Runs an experiment: runs its play, checks the expectations of its file, and writes the run's folder."""

import platform
import time
from importlib import metadata
from pathlib import Path
from typing import NamedTuple

import msgspec

from marlseam import __version__
from marlseam.experiment import report
from marlseam.experiment.file import Experiment, FileError, Head, nearest_name_hint
from marlseam.experiment.plays import PLAYS, RunResult, ShowProgress
from marlseam.experiment.summary import ExpectationOutcome, RuleOutcome, RunSummary, ViolationExample
from marlseam.verification.run_records import RunRecords
from marlseam.verification.service import request_outcomes
from marlseam.verification.verdict import Rule, Verdict

DRIVERS = ("virtual", "sockets")
MAX_EXAMPLES = 5  # violations shown per rule
LIBRARIES = ("numpy", "msgspec", "hdrhistogram", "httptools", "h11")  # versions listed in the summary


class RequestRow(NamedTuple):
    """A request as stored in `units.json` for comparisons of runs.

    Attributes:
        first_try: the id of the request's first try, equal in all runs of one day and seed.
        weight: the request's priority weight.
        earned_weight: the weight if the request was answered within its latency objective, else 0.
        turnaround_ms: the time from the intended send to the answer; None if the request was not completed.
    """

    first_try: str
    weight: float
    earned_weight: float
    turnaround_ms: float | None


def run(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunSummary:
    """Run an experiment and write `summary.json`, `units.json` and `report.html` into the folder `out`.

    The exit code in the summary is 1 if a rule is violated, the records have gaps, or an expectation does
    not hold. Raises FileError if the file names an unknown play, driver or figure.
    """
    head = experiment.head
    check_names(head)
    out.mkdir(parents=True, exist_ok=True)
    started_s = time.perf_counter()
    result = PLAYS[head.play](experiment, out, show_progress)
    duration_s = time.perf_counter() - started_s
    check_figures(head, result)
    summary = summarize(head, result, duration_s)
    write_folder(out, summary, result)
    return summary


def check_names(head: Head) -> None:
    """Raise FileError if an experiment file names an unknown play or driver."""
    if head.play not in PLAYS:
        raise FileError(f"play: no play named {head.play!r}{nearest_name_hint(head.play, list(PLAYS))}")
    if head.driver not in DRIVERS:
        raise FileError(
            f"driver: no driver named {head.driver!r}{nearest_name_hint(head.driver, list(DRIVERS))}"
        )


def check_figures(head: Head, result: RunResult) -> None:
    """Raise FileError if the file expects figures that its play does not return."""
    known = list(result.figures)
    unknown_figures = [
        f"expect.{name}: no such figure{nearest_name_hint(name, known)}"
        for name in head.expect
        if name not in known
    ]
    if unknown_figures:
        raise FileError(*unknown_figures)


def summarize(head: Head, result: RunResult, duration_s: float) -> RunSummary:
    """Return the summary of a run, with the exit code and all missed rules and expectations."""
    expectations = expectation_outcomes(head, result.figures)
    missed = missed_rules(result.verdict) if result.verdict is not None else []
    for expectation in expectations:
        if not expectation.holds:
            missed.append(f"{expectation.figure}: expected {expectation.bound}, seen {expectation.value:.4g}")
    has_violations = result.figures.get("rules_broken", 0.0) > 0.0 and "rules_broken" not in head.expect
    return RunSummary(
        name=head.name,
        about=head.about,
        play=head.play,
        driver=result.driver or head.driver,
        seed=head.seed,
        duration_s=round(duration_s, 2),
        exit_code=int(bool(missed) or has_violations),
        missed=missed,
        expectations=expectations,
        figures=result.figures,
        rules=rule_outcomes(result),
        tables=result.tables,
        slopes=result.slopes,
        versions=versions(),
    )


def expectation_outcomes(head: Head, figures: dict[str, float]) -> list[ExpectationOutcome]:
    """Return the outcome of each expectation of the file."""
    return [
        ExpectationOutcome(name, str(bound), figures[name], bound.holds(figures[name]))
        for name, bound in head.expect.items()
    ]


def missed_rules(verdict: Verdict) -> list[str]:
    """Return one line per gap in the records, and one per violation for the first violations of each rule."""
    missed = [f"rules not judged, records incomplete: {gap}" for gap in verdict.gaps]
    for rule in verdict.rules:
        for subject, text in rule.violations[:MAX_EXAMPLES]:
            missed.append(f"rule '{rule.name}' violated by {subject}: {text}")
    return missed


def rule_outcomes(result: RunResult) -> list[RuleOutcome]:
    """Return the outcome of each rule, with the timelines of its first violations."""
    if result.verdict is None:
        return []
    return [
        RuleOutcome(
            name=rule.name,
            violation_count=len(rule.violations),
            margin=rule.margin,
            means=rule.means,
            examples=violation_examples(rule, result.run_records),
        )
        for rule in result.verdict.rules
    ]


def violation_examples(rule: Rule, run_records: RunRecords | None) -> list[ViolationExample]:
    """Return the first violations of a rule, each with the timeline of the request concerned."""
    examples: list[ViolationExample] = []
    for subject, text in rule.violations[:MAX_EXAMPLES]:
        timeline = run_records.timeline(first_try_of(run_records, subject)) if run_records is not None else []
        examples.append(ViolationExample(subject, text, timeline))
    return examples


def first_try_of(run_records: RunRecords, subject: str) -> str:
    """Return the id of the first try of the request that `subject` is a try of; else `subject` unchanged."""
    return run_records.tries[subject].first if subject in run_records.tries else subject


def request_rows(run_records: RunRecords) -> list[RequestRow]:
    """Return one row per request of a run, as `units.json` stores them."""
    return [
        RequestRow(
            first_try=outcome.first.first,
            weight=outcome.first.credit,
            earned_weight=outcome.credit_in_time,
            turnaround_ms=outcome.turnaround_ms,
        )
        for outcome in request_outcomes(run_records)
    ]


def write_folder(out: Path, summary: RunSummary, result: RunResult) -> None:
    """Write `summary.json`, `report.html` and, if the run has records, `units.json`."""
    (out / "summary.json").write_bytes(msgspec.json.format(msgspec.json.encode(summary), indent=1))
    if result.run_records is not None:
        (out / "units.json").write_bytes(msgspec.json.encode(request_rows(result.run_records)))
    (out / "report.html").write_text(report.page(summary, result.run_records), encoding="utf-8")


def versions() -> dict[str, str]:
    """Return the versions of marlseam, Python and the libraries that produced the figures."""
    found = {"marlseam": __version__, "python": platform.python_version()}
    return found | {name: metadata.version(name) for name in LIBRARIES}
