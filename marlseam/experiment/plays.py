"""What an experiment may play.

A registry of plays, each with what it returns: figures, a verdict, a report's parts.
"""

import platform
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from importlib import metadata
from pathlib import Path
from typing import Any

import msgspec

from marlseam import __version__, records
from marlseam.experiment import report
from marlseam.experiment.file import Experiment, FileError, nearest
from marlseam.experiment.slope import Slope
from marlseam.records import Record, RecordStreams
from marlseam.verification.book import RunRecords
from marlseam.verification.rules import judge
from marlseam.verification.service import figures, request_outcomes
from marlseam.verification.verdict import Verdict

DRIVERS = ("virtual", "sockets")
EXAMPLES = 5  # breaches shown of each rule
ShowProgress = Callable[[str], None]


@dataclass
class RunResult:
    """What a play came to."""

    figures: dict[str, float]
    verdict: Verdict | None = None
    book: RunRecords | None = None
    tables: list[tuple[str, list[list[str]]]] = field(default_factory=list)  # title, and rows with a head
    driver: str = ""
    slopes: list[Slope] = field(default_factory=list)  # drawn in the report, each with its bound


Play = Callable[[Experiment, Path, ShowProgress], RunResult]
PLAYS: dict[str, Play] = {}


def register_play(name: str) -> Callable[[Play], Play]:
    """Register a play under a name."""

    def note(call: Play) -> Play:
        PLAYS[name] = call
        return call

    return note


def judge_records(found: Iterable[Record], wrong: list[str], driver: str) -> RunResult:
    """Judge records and count their figures."""
    verdict, book = judge(list(found), wrong)
    counted = figures(book)
    counted["rules_broken"] = float(verdict.violation_count)
    for rule in verdict.rules:
        counted["margin_" + rule.name.replace(" ", "_")] = rule.margin
    return RunResult(counted, verdict, book, driver=driver)


def virtual(experiment: Experiment, out: Path, seed: int | None = None) -> RunResult:
    """Play an experiment's day in virtual time, with its records in the folder `records`."""
    from marlseam.experiment.virtual import VirtualDriver
    from marlseam.load.process import arrivals_of

    day, seed = experiment.day, experiment.head.seed if seed is None else seed
    folder = out / "records"
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.glob("*.jsonl"):
        old.unlink()
    (out / "day.json").write_bytes(msgspec.json.encode(day))
    began = time.perf_counter()
    driver = VirtualDriver(day, seed, RecordStreams(folder, "driver"))
    driver.run(arrivals_of(day, seed))
    wall = time.perf_counter() - began
    played = judge_records(*records.read_folder(folder), driver="virtual")
    played.figures |= {
        "wall_s": wall,
        "events": float(driver.events),
        "events_per_s": driver.events / wall,
        "speed": day.seconds / wall,
    }
    return played


def sockets(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Play an experiment's day on loopback."""
    from marlseam.experiment.sockets import SocketDriver
    from marlseam.load.process import arrivals_of
    from marlseam.load.verdict import merge

    day = experiment.day
    driver = SocketDriver(day, experiment.head.seed, out)
    arrivals = arrivals_of(day, experiment.head.seed)
    counts = driver.run(
        progress=lambda now: show_progress(f"{max(0.0, now) / 1000.0:.0f} s of {day.seconds:g}")
    )
    counted = merge(counts, len(arrivals))
    (out / "histograms.json").write_bytes(msgspec.json.encode(counts))
    played = judge_records(*records.read_folder(out / "records"), driver="sockets")
    played.figures |= {
        "generator_valid": float(counted.is_valid),
        "generator_lag_p99": counted.lag[99.0],
        "node_cpu_s": sum(driver.cpu_s.values()),
    }
    return played


@register_play("day")
def day(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Play one day in the driver that the file names."""
    if experiment.head.driver == "virtual":
        return virtual(experiment, out)
    return sockets(experiment, out, show_progress)


@register_play("agree")
def agree(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Play one day in both drivers, and set their figures side by side."""
    show_progress("virtual time")
    one = virtual(experiment, out / "virtual")
    two = sockets(experiment, out / "sockets", show_progress)
    shown = (
        "service",
        "late",
        "worst_type",
        "waste",
        "probes_per_try",
        "allocations_per_try",
        "latency_p50",
        "latency_p99",
    )
    rows = [["figure", "virtual", "sockets"]]
    rows += [[name, f"{one.figures[name]:.3f}", f"{two.figures[name]:.3f}"] for name in shown]
    seen = [
        [(t.kind, tuple(t.targets)) for t in played.book.of_type(records.FaultBegan)] for played in (one, two)
    ]
    verdict = Verdict(two.verdict.rules, one.verdict.gaps + two.verdict.gaps)
    found = {f"virtual_{name}": value for name, value in one.figures.items()}
    found |= two.figures | {
        "service_apart": abs(one.figures["service"] - two.figures["service"]),
        "rules_broken": one.figures["rules_broken"] + two.figures["rules_broken"],
        "rules_apart": float(
            sum(
                bool(a.violations) != bool(b.violations)
                for a, b in zip(one.verdict.rules, two.verdict.rules, strict=True)
            )
        ),
        "troubles_apart": float(sorted(seen[0]) != sorted(seen[1])),
    }
    return RunResult(found, verdict, two.book, [("Both drivers", rows)], "virtual and sockets")


def run(experiment: Experiment, out: Path, show_progress: ShowProgress) -> tuple[int, list[str]]:
    """Play an experiment, write its folder, and return the exit code and what was missed.

    0: all that it expects holds; 1: a rule is broken, the records have holes, or an expectation is missed.
    """
    head = experiment.head
    if head.play not in PLAYS:
        raise FileError(f"play: {head.play!r} is none{nearest(head.play, list(PLAYS))}")
    if head.driver not in DRIVERS:
        raise FileError(f"driver: {head.driver!r} is none{nearest(head.driver, list(DRIVERS))}")
    out.mkdir(parents=True, exist_ok=True)
    began = time.perf_counter()
    played = PLAYS[head.play](experiment, out, show_progress)
    took = time.perf_counter() - began
    unknown = [name for name in head.expect if name not in played.figures]
    if unknown:
        raise FileError(
            "\n".join(
                f"expect.{name}: no such figure{nearest(name, list(played.figures))}" for name in unknown
            )
        )
    missed, expected = [], []
    if played.verdict is not None:
        missed += [f"not judged: {hole}" for hole in played.verdict.gaps]
        for rule in played.verdict.rules:
            missed += [
                f"rule '{rule.name}' broken by {who}: {what}" for who, what in rule.violations[:EXAMPLES]
            ]
    for name, bound in head.expect.items():
        value = played.figures[name]
        expected.append({"figure": name, "expected": str(bound), "seen": value, "holds": bound.holds(value)})
        if not bound.holds(value):
            missed.append(f"{name}: expected {bound}, seen {value:.4g}")
    broken = played.figures.get("rules_broken", 0.0) > 0.0 and "rules_broken" not in head.expect
    code = int(bool(missed) or broken)
    summary = {
        "name": head.name,
        "about": head.about,
        "play": head.play,
        "driver": played.driver or head.driver,
        "seed": head.seed,
        "took_s": round(took, 2),
        "code": code,
        "missed": missed,
        "expected": expected,
        "figures": played.figures,
        "rules": rules_summary(played),
        "tables": played.tables,
        "slopes": played.slopes,
        "versions": versions(),
    }
    (out / "summary.json").write_bytes(msgspec.json.format(msgspec.json.encode(summary), indent=1))
    if played.book is not None:
        (out / "units.json").write_bytes(msgspec.json.encode(units(played.book)))
    (out / "report.html").write_text(report.page(summary, played.book, played.slopes), encoding="utf-8")
    return code, missed


def rules_summary(played: RunResult) -> list[dict[str, Any]]:
    """Return the rules as the summary holds them, with the whole story of the first breaches."""
    if played.verdict is None:
        return []
    found = []
    for rule in played.verdict.rules:
        examples = [
            {"who": who, "what": what, "story": played.book.timeline(first_of(played.book, who))}
            for who, what in rule.violations[:EXAMPLES]
        ]
        found.append(
            {
                "name": rule.name,
                "broken": len(rule.violations),
                "margin": rule.margin,
                "means": rule.means,
                "examples": examples,
            }
        )
    return found


def first_of(book: RunRecords, id: str) -> str:
    """Return the first try of a try."""
    return book.tries[id].first if id in book.tries else id


def units(book: RunRecords) -> list[tuple[str, float, float, float | None]]:
    """Return each work unit's first try, credit, credit earned in time, and turnaround in ms.

    For comparing runs.
    """
    return [
        (
            first.first,
            first.credit,
            first.credit if took is not None and took <= first.promised else 0.0,
            took,
        )
        for first, _, took in request_outcomes(book)
    ]


def versions() -> dict[str, str]:
    """Return what the figures were made with."""
    libraries = ("numpy", "msgspec", "hdrhistogram", "httptools", "h11")
    return {"marlseam": __version__, "python": platform.python_version()} | {
        name: metadata.version(name) for name in libraries
    }
