"""The soak: days of real processes on loopback on which a seed lets two or three troubles and faults overlap.

Judged are the rules, by records of clients and servers; the run-time invariants, by the nodes' logs; and
whether a node ended by itself. A seed draws the same troubles and faults each time it is played.
"""

import random
from itertools import combinations
from pathlib import Path

import msgspec

from marlseam import records
from marlseam.emulators.faulty import FAULTS, Failure, Faults
from marlseam.experiment.file import Experiment
from marlseam.experiment.file import register as register_table
from marlseam.experiment.plays import RunResult, ShowProgress, judge_records, register_play
from marlseam.experiment.processes import RunFailedError
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
CALLS = {
    "recv_into": ("ENOMEM", "EINTR"),
    "send": ("ENOBUFS", "EINTR"),
    "accept": ("ENFILE", "ECONNABORTED"),
    "connect_ex": ("EADDRNOTAVAIL", "ENETUNREACH"),
    "poll": ("ENOMEM",),
    "epoll_ctl": ("ENOMEM", "ENOSPC"),
}
CLOCKS_S = (-3600.0, -5.0, 3600.0)
DECISIONS = ("AttemptEnded", "RequestArrived", "ProbeEnded", "AttemptStarted")
SPANS_S = (1.0, 3.0)  # how long a trouble lasts


class Soak(Strict):
    """Which seeds are played, from the experiment's own on."""

    seeds: Count = 3


class Drawn(msgspec.Struct):
    """What a seed draws: troubles of the day, and what fails in each node."""

    troubles: list[Fault]
    faults: Faults

    def names(self) -> list[str]:
        """Return what overlaps, in the matrix's words."""
        found = [trouble.what for trouble in self.troubles]
        found += sorted({f"call {failure.call}" for failure in self.faults.failures})
        found += ["clock"] if self.faults.clock_s else []
        return found + (["own error"] if self.faults.decision else [])


def drawn(seed: int, seconds: float) -> Drawn:
    """Draw two or three troubles that overlap, and at most three kinds of faults in the nodes."""
    chance = random.Random(seed)
    middle = chance.uniform(0.3, 0.6) * seconds
    troubles = []
    for what in chance.sample(FAULT_NAMES, chance.choice((2, 3))):
        at_s, for_s = middle - chance.uniform(0.0, 1.0), chance.uniform(*SPANS_S)
        size = 0.5 if what == "errors" else 2.0
        troubles.append(Fault(what=what, at_s=at_s, for_s=for_s, share=0.34, size=size))
    calls = chance.sample(sorted(CALLS), chance.choice((0, 1, 2)))
    failures = [Failure(call, chance.choice(CALLS[call]), chance.choice((0.02, 0.1))) for call in calls]
    clock_s = chance.choice(CLOCKS_S) if chance.random() < 0.3 else 0.0
    decision = chance.choice(DECISIONS) if chance.random() < 0.25 else ""
    return Drawn(troubles, Faults(seed, failures, clock_s=clock_s, decision=decision))


def findings(out: Path, planted: bool) -> list[str]:
    """Return what the nodes' logs say of broken invariants, and of errors that were not planted."""
    found = []
    for path in sorted((out / "logs").glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if "invariant violated" in line or ("Traceback" in line and not (planted and "planted" in line)):
                found.append(f"{path.stem}: {line[:300]}")
    return found


def one(day: Day, seed: int, out: Path) -> tuple[Drawn, list[str], Verdict | None]:
    """Play one seed; return what it drew, what it found, and the judge's verdict."""
    from marlseam.experiment.sockets import SocketDriver

    made = drawn(seed, day.seconds)
    day = msgspec.structs.replace(day, troubles=made.troubles)
    env = {FAULTS: msgspec.json.encode(made.faults).decode()}
    driver = SocketDriver(
        day, seed, out, module=lambda name: "marlseam.emulators.faulty", env=lambda name: env
    )
    try:
        driver.run()
    except RunFailedError as error:
        return made, [f"a process failed: {error}", *findings(out, bool(made.faults.decision))], None
    played = judge_records(*records.read_folder(out / "records"), driver="sockets")
    found = findings(out, bool(made.faults.decision))
    for rule in played.verdict.rules:
        found += [f"rule {rule.name}: {what}" for what in rule.violations[:3]]
    return made, found, played.verdict


@register_play("soak")
def soak(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Play seeds one after the other, and count crossings and finds."""
    table: Soak = experiment.tables.get("soak", Soak())
    crossings: dict[tuple[str, str], int] = {}
    rows, found_seeds = [["seed", "what overlapped", "found"]], 0
    for seed in range(experiment.head.seed, experiment.head.seed + table.seeds):
        made, found, _ = one(experiment.day, seed, out / str(seed))
        names = made.names()
        for pair in combinations(sorted(names), 2):
            crossings[pair] = crossings.get(pair, 0) + 1
        found_seeds += bool(found)
        text = "; ".join(found[:3])
        rows.append([str(seed), ", ".join(names), text or "nothing"])
        show_progress(f"seed {seed}: {', '.join(names)}: {text or 'nothing found'}")
    matrix = [["crossing", "seeds"], *([" x ".join(pair), str(n)] for pair, n in sorted(crossings.items()))]
    figures = {"seeds": float(table.seeds), "seeds_with_finds": float(found_seeds)}
    figures["crossings"] = float(len(crossings))
    return RunResult(figures, tables=[("seeds", rows), ("crossings", matrix)], driver="sockets")


def register() -> None:
    """Make this play's table known to experiment files."""
    register_table("soak", Soak)
