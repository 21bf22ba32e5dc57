"""The play `soak`: short days of real processes on loopback with two or three overlapping faults per seed.

Each seed also draws failures inside the nodes: of system calls, of the wall clock and of decisions. Three
things are checked: the rules, in the records of clients and servers; the run-time invariants, in the nodes'
logs; and that no node exits unexpectedly. A seed draws the same faults each time that it is played.
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
FAILING_EVENTS = ("AttemptEnded", "RequestArrived", "ProbeEnded", "AttemptStarted")  # reducer events
FAULT_COUNTS = (2, 3)  # faults per day
FAILING_CALL_COUNTS = (0, 1, 2)
FAILING_CALL_SHARES = (0.02, 0.1)  # share of calls that fail during a burst of failures
CLOCK_ERROR_CHANCE = 0.3
FAILING_EVENT_CHANCE = 0.25
MIN_MIDDLE_SHARE, MAX_MIDDLE_SHARE = 0.3, 0.6  # when all faults overlap, as a share of the day
MAX_LEAD_S = 1.0  # the longest time from the start of a fault to the overlap
MIN_DURATION_S, MAX_DURATION_S = 1.0, 3.0  # duration of a fault
TARGET_SHARE = 0.34  # share of servers or nodes that a fault affects
ERROR_SHARE = 0.5  # share of attempts that fail during the fault `errors`
DEFAULT_FAULT_SIZE = 2.0
INVARIANT_VIOLATED, TRACEBACK, INJECTED = "invariant violated", "Traceback", "planted"  # texts in nodes' logs
SHOWN_LINE_CHARACTERS = 300
SHOWN_VIOLATIONS = 3  # per rule
SHOWN_PROBLEMS = 3  # per seed


class Soak(Strict, frozen=True):
    """Table `soak` of an experiment file: the number of seeds to play, from the experiment's seed on."""

    seeds: Count = 3


class DrawnFaults(msgspec.Struct):
    """The faults drawn from one seed.

    Attributes:
        day_faults: the faults of the day.
        node_faults: the failures inside each node.
    """

    day_faults: list[Fault]
    node_faults: NodeFaults

    def names(self) -> list[str]:
        """Return the names of all overlapping faults and failures, as shown in the report."""
        names = [fault.what for fault in self.day_faults]
        names += sorted({f"call {failure.call}" for failure in self.node_faults.failures})
        names += ["clock"] if self.node_faults.clock_s else []
        return names + (["own error"] if self.node_faults.decision else [])


class SeedResult(NamedTuple):
    """The result of one seed.

    Attributes:
        drawn: the faults drawn from the seed.
        problems: one text per problem.
        verdict: the outcome of the rule check, None if a process failed.
    """

    drawn: DrawnFaults
    problems: list[str]
    verdict: Verdict | None


def draw_faults(seed: int, seconds: float) -> DrawnFaults:
    """Draw the overlapping faults of a day of `seconds` seconds, and the failures inside its nodes.

    The order of the draws must not change: it determines which faults a seed stands for.
    """
    rng = random.Random(seed)
    day_faults = _draw_day_faults(rng, seconds)
    calls = rng.sample(sorted(ERRORS_BY_CALL), rng.choice(FAILING_CALL_COUNTS))
    failures = [
        CallFailure(call, rng.choice(ERRORS_BY_CALL[call]), rng.choice(FAILING_CALL_SHARES)) for call in calls
    ]
    clock_s = rng.choice(CLOCK_ERRORS_S) if rng.random() < CLOCK_ERROR_CHANCE else 0.0
    event = rng.choice(FAILING_EVENTS) if rng.random() < FAILING_EVENT_CHANCE else ""
    return DrawnFaults(day_faults, NodeFaults(seed, failures, clock_s=clock_s, decision=event))


def _draw_day_faults(rng: random.Random, seconds: float) -> list[Fault]:
    """Draw faults that are all active at one instant in the middle of the day."""
    middle_s = rng.uniform(MIN_MIDDLE_SHARE, MAX_MIDDLE_SHARE) * seconds
    faults = []
    for name in rng.sample(FAULT_NAMES, rng.choice(FAULT_COUNTS)):
        at_s = middle_s - rng.uniform(0.0, MAX_LEAD_S)
        for_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        size = ERROR_SHARE if name == "errors" else DEFAULT_FAULT_SIZE
        faults.append(Fault(what=name, at_s=at_s, for_s=for_s, share=TARGET_SHARE, size=size))
    return faults


def log_problems(out: Path, expects_injected_errors: bool) -> list[str]:
    """Return the lines of the nodes' logs that show violated invariants or errors that were not injected."""
    return [
        f"{path.stem}: {line[:SHOWN_LINE_CHARACTERS]}"
        for path in sorted((out / "logs").glob("*.log"))
        for line in path.read_text(errors="replace").splitlines()
        if _is_problem(line, expects_injected_errors)
    ]


def _is_problem(line: str, expects_injected_errors: bool) -> bool:
    """Return whether a log line shows a violated invariant or a traceback that was not injected."""
    is_injected = expects_injected_errors and INJECTED in line
    return INVARIANT_VIOLATED in line or (TRACEBACK in line and not is_injected)


def play_seed(day: Day, seed: int, out: Path) -> SeedResult:
    """Play the day with the faults of one seed on sockets and return the problems found."""
    drawn = draw_faults(seed, day.seconds)
    day = msgspec.structs.replace(day, troubles=drawn.day_faults)
    environment = {FAULTS_VARIABLE: msgspec.json.encode(drawn.node_faults).decode()}
    options = SocketOptions(
        node_module=lambda _: "marlseam.emulators.faulty", node_environment=lambda _: environment
    )
    expects_injected_errors = bool(drawn.node_faults.decision)
    try:
        SocketDriver(day, seed, out, options).run()
    except RunFailedError as error:
        problems = [f"a process failed: {error}", *log_problems(out, expects_injected_errors)]
        return SeedResult(drawn, problems, None)
    verdict = judge_records(*records.read_folder(out / "records"), driver="sockets").verdict
    problems = log_problems(out, expects_injected_errors) + _rule_problems(verdict)
    return SeedResult(drawn, problems, verdict)


def _rule_problems(verdict: Verdict | None) -> list[str]:
    """Return a text for each of the first violations of each rule."""
    return [
        f"rule {rule.name}: {violation}"
        for rule in (verdict.rules if verdict is not None else ())
        for violation in rule.violations[:SHOWN_VIOLATIONS]
    ]


@register_play("soak")
def soak(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Play seeds in sequence; count the pairs of faults that overlapped and the seeds with problems."""
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
    """Return table rows of the pairs of faults that overlapped and the number of seeds of each pair."""
    rows = [[" x ".join(pair), str(count)] for pair, count in sorted(overlap_counts.items())]
    return [["crossing", "seeds"], *rows]


def register() -> None:
    """Register the table of this play for experiment files."""
    register_table("soak", Soak)
