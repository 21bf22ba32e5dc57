"""The soak: short days of real processes on loopback, in which each seed lets two or three faults overlap.

Each seed also draws what fails inside the nodes: system calls, the wall clock, decisions. Judged are the
rules, by the records of clients and servers; the run-time invariants, by the nodes' logs; and whether a node
ended by itself. A seed draws the same each time it is played.
"""

import random
from collections import Counter
from itertools import combinations
from pathlib import Path
from typing import NamedTuple

import msgspec

from marlseam import records
from marlseam.emulators.faulty import FAULTS_VARIABLE, CallFailure, NodeFaults
from marlseam.experiment.file import Experiment
from marlseam.experiment.file import register as register_table
from marlseam.experiment.plays import RunResult, ShowProgress, judge_records, register_play
from marlseam.experiment.processes import RunFailedError
from marlseam.experiment.sockets.driver import SocketDriver
from marlseam.experiment.sockets.options import SocketOptions
from marlseam.simulation.model import Count, Day, Fault, Strict
from marlseam.verification.verdict import Verdict

FAULT_NAMES = (
    "node_roll",
    "node_reload",
    "node_kill",
    "roster_outage",
    "silent",
    "crash",
    "reset",
    "errors",
    "surge",
)
ERRORS_BY_CALL = {
    "recv_into": ("ENOMEM", "EINTR"),
    "send": ("ENOBUFS", "EINTR"),
    "accept": ("ENFILE", "ECONNABORTED"),
    "connect_ex": ("EADDRNOTAVAIL", "ENETUNREACH"),
    "poll": ("ENOMEM",),
    "epoll_ctl": ("ENOMEM", "ENOSPC"),
}
CLOCK_ERRORS_S = (-3600.0, -5.0, 3600.0)
FAILING_EVENTS = ("AttemptEnded", "RequestArrived", "ProbeEnded", "AttemptStarted")  # of the reducer
FAULT_COUNTS = (2, 3)  # faults of a day
FAILING_CALL_COUNTS = (0, 1, 2)
FAILING_CALL_SHARES = (0.02, 0.1)  # of the calls, while a burst of failures lasts
CLOCK_ERROR_CHANCE = 0.3
FAILING_EVENT_CHANCE = 0.25
MIN_MIDDLE_SHARE, MAX_MIDDLE_SHARE = 0.3, 0.6  # where in the day the faults overlap
MAX_LEAD_S = 1.0  # by which a fault begins before that
MIN_DURATION_S, MAX_DURATION_S = 1.0, 3.0  # of a fault
TARGET_SHARE = 0.34  # of the servers or nodes that a fault affects
ERROR_SHARE = 0.5  # of the attempts that fail during `errors`
DEFAULT_FAULT_SIZE = 2.0
INVARIANT_VIOLATED, TRACEBACK, PLANTED = "invariant violated", "Traceback", "planted"  # in nodes' logs
SHOWN_LINE_CHARACTERS = 300
SHOWN_VIOLATIONS = 3  # of a rule
SHOWN_PROBLEMS = 3  # of a seed


class Soak(Strict, frozen=True):
    """Which seeds are played, from the experiment's own on."""

    seeds: Count = 3


class DrawnFaults(msgspec.Struct):
    """What a seed draws.

    Attributes:
        day_faults: the faults of the day.
        node_faults: what fails in each node.
    """

    day_faults: list[Fault]
    node_faults: NodeFaults

    def names(self) -> list[str]:
        """Return the names of all that overlaps, as the report shows them."""
        names = [fault.what for fault in self.day_faults]
        names += sorted({f"call {failure.call}" for failure in self.node_faults.failures})
        names += ["clock"] if self.node_faults.clock_s else []
        return names + (["own error"] if self.node_faults.decision else [])


class SeedResult(NamedTuple):
    """What one seed came to.

    Attributes:
        drawn: what it drew.
        problems: what is wrong, a text each.
        verdict: the judge's verdict, None where a process failed.
    """

    drawn: DrawnFaults
    problems: list[str]
    verdict: Verdict | None


def draw_faults(seed: int, seconds: float) -> DrawnFaults:
    """Draw the faults of a day, which overlap, and what fails in its nodes.

    The order of the draws is part of what a seed means.
    """
    chance = random.Random(seed)
    day_faults = _draw_day_faults(chance, seconds)
    calls = chance.sample(sorted(ERRORS_BY_CALL), chance.choice(FAILING_CALL_COUNTS))
    failures = [
        CallFailure(call, chance.choice(ERRORS_BY_CALL[call]), chance.choice(FAILING_CALL_SHARES))
        for call in calls
    ]
    clock_s = chance.choice(CLOCK_ERRORS_S) if chance.random() < CLOCK_ERROR_CHANCE else 0.0
    event = chance.choice(FAILING_EVENTS) if chance.random() < FAILING_EVENT_CHANCE else ""
    return DrawnFaults(day_faults, NodeFaults(seed, failures, clock_s=clock_s, decision=event))


def _draw_day_faults(chance: random.Random, seconds: float) -> list[Fault]:
    """Draw faults that are all on at one time in the middle of the day."""
    middle_s = chance.uniform(MIN_MIDDLE_SHARE, MAX_MIDDLE_SHARE) * seconds
    found = []
    for name in chance.sample(FAULT_NAMES, chance.choice(FAULT_COUNTS)):
        at_s = middle_s - chance.uniform(0.0, MAX_LEAD_S)
        for_s = chance.uniform(MIN_DURATION_S, MAX_DURATION_S)
        size = ERROR_SHARE if name == "errors" else DEFAULT_FAULT_SIZE
        found.append(Fault(what=name, at_s=at_s, for_s=for_s, share=TARGET_SHARE, size=size))
    return found


def log_problems(out: Path, expects_planted_errors: bool) -> list[str]:
    """Return what the nodes' logs say of broken invariants, and of errors that were not planted."""
    return [
        f"{path.stem}: {line[:SHOWN_LINE_CHARACTERS]}"
        for path in sorted((out / "logs").glob("*.log"))
        for line in path.read_text(errors="replace").splitlines()
        if _is_problem(line, expects_planted_errors)
    ]


def _is_problem(line: str, expects_planted_errors: bool) -> bool:
    """Return whether a line of a log shows a broken invariant, or an error that was not planted."""
    is_planted = expects_planted_errors and PLANTED in line
    return INVARIANT_VIOLATED in line or (TRACEBACK in line and not is_planted)


def play_seed(day: Day, seed: int, out: Path) -> SeedResult:
    """Play one seed."""
    drawn = draw_faults(seed, day.seconds)
    day = msgspec.structs.replace(day, troubles=drawn.day_faults)
    environment = {FAULTS_VARIABLE: msgspec.json.encode(drawn.node_faults).decode()}
    options = SocketOptions(
        node_module=lambda _: "marlseam.emulators.faulty", node_environment=lambda _: environment
    )
    expects_planted_errors = bool(drawn.node_faults.decision)
    try:
        SocketDriver(day, seed, out, options).run()
    except RunFailedError as error:
        problems = [f"a process failed: {error}", *log_problems(out, expects_planted_errors)]
        return SeedResult(drawn, problems, None)
    verdict = judge_records(*records.read_folder(out / "records"), driver="sockets").verdict
    problems = log_problems(out, expects_planted_errors) + _rule_problems(verdict)
    return SeedResult(drawn, problems, verdict)


def _rule_problems(verdict: Verdict | None) -> list[str]:
    """Return the first violations of each rule."""
    return [
        f"rule {rule.name}: {violation}"
        for rule in (verdict.rules if verdict is not None else ())
        for violation in rule.violations[:SHOWN_VIOLATIONS]
    ]


@register_play("soak")
def soak(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Play seeds one after the other, and count which faults overlapped and where problems were found."""
    table: Soak = experiment.tables.get("soak", Soak())
    overlap_counts: Counter[tuple[str, str]] = Counter()
    rows = [["seed", "what overlapped", "found"]]
    problem_seed_count = 0
    for seed in range(experiment.head.seed, experiment.head.seed + table.seeds):
        result = play_seed(experiment.day, seed, out / str(seed))
        names = result.drawn.names()
        overlap_counts.update(combinations(sorted(names), 2))
        problem_seed_count += bool(result.problems)
        shown_names, shown_problems = ", ".join(names), "; ".join(result.problems[:SHOWN_PROBLEMS])
        rows.append([str(seed), shown_names, shown_problems or "nothing"])
        show_progress(f"seed {seed}: {shown_names}: {shown_problems or 'nothing found'}")
    figures = {
        "seeds": float(table.seeds),
        "seeds_with_finds": float(problem_seed_count),
        "crossings": float(len(overlap_counts)),
    }
    tables = [("seeds", rows), ("crossings", _overlap_rows(overlap_counts))]
    return RunResult(figures, tables=tables, driver="sockets")


def _overlap_rows(overlap_counts: Counter[tuple[str, str]]) -> list[list[str]]:
    """Return the table of the pairs that overlapped, and in how many seeds."""
    rows = [[" x ".join(pair), str(count)] for pair, count in sorted(overlap_counts.items())]
    return [["crossing", "seeds"], *rows]


def register() -> None:
    """Make this play's table known to experiment files."""
    register_table("soak", Soak)
