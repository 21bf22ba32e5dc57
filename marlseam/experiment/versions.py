"""Versions of a cluster on real nodes: what servers saw compared with what ledgers say, under faults."""

import time
from collections import defaultdict
from math import inf
from pathlib import Path
from typing import NamedTuple

from msgspec.structs import replace

from marlseam import records
from marlseam.cluster.action_stamp import ActionStamp
from marlseam.cluster.audit import SENT, Audit
from marlseam.experiment import file, plays
from marlseam.experiment.file import Experiment
from marlseam.experiment.fleet import Fleet, Rig, run
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.simulation.model import Count
from marlseam.store import ledger_audit as ledgers
from marlseam.verification.book import RunRecords
from marlseam.verification.service import request_outcomes

ERROR_MS = 20.0  # one machine: by which a node's clock, read at its start, may be off
NONE_OF = ("two_contents", "audit_wrong", "past_bound", "rules_broken")  # none is expected anywhere
MAX_TRANSIT_MS = 300.0  # from the stamp of an attempt until its server records it


def lagging_nodes(rig: Rig) -> list[str]:
    """Return which nodes do not act on the newest version as proven, but those that cannot."""
    answers = {name: rig.ask(name) for name in rig.names}
    lagging = [f"{name} says nothing" for name, answer in answers.items() if answer is None]
    if any(row[2] == "asked" for row in rig.published):
        lagging.append("a publication is under way")
    statuses = {name: answer.get("acting", {}) for name, answer in answers.items() if answer is not None}
    newest = max((status.get("version", 0) for status in statuses.values()), default=0)
    rig.contents = {name: status.get("contents", {}) for name, status in statuses.items()}
    for name, status in statuses.items():
        is_current = status.get("acting") == newest and status["serving"] and status["proved"]
        is_unable = name in rig.table.older and status.get("code") == "unfit" and not status["serving"]
        if not (is_current or is_unable):
            lagging.append(f"{name} acts on {status.get('acting')} of {newest}, {status.get('code')}")
    return lagging


class AttemptSeen(NamedTuple):
    """An attempt that a server took, in ms of the run, and the stamp that it carried."""

    at_ms: float
    stamp: ActionStamp


IntervalKey = tuple[str, int, int]  # node, process, interval


class LedgerComparison:
    """What servers saw, compared with what the ledgers say.

    Attributes:
        audit: what the ledgers say.
        zero_ms: the Unix time of the run's begin.
        attempts: what servers took.
        times: of the same, by interval.
        without_stamp: how many attempts carried none.

    """

    def __init__(self, rig: Rig, all_records: list[records.Record], zero_ms: float) -> None:
        """Read the ledgers of a run, and its records."""
        self.audit: Audit = ledgers.read([rig.ledger(name) for name in rig.names], ERROR_MS)
        self.zero_ms, self.rig = zero_ms, rig
        self.attempts: list[AttemptSeen] = []
        self.times: dict[IntervalKey, list[float]] = defaultdict(list)
        self.without_stamp = 0
        for record in all_records:
            if isinstance(record, records.AttemptReceived):
                self.note_taken(record)

    def note_taken(self, record: records.AttemptReceived) -> None:
        """Take in that a server took an attempt."""
        if not record.acting:
            self.without_stamp += 1
            return
        stamp = ActionStamp.parse(record.acting)
        self.times[stamp.node, stamp.generation, stamp.interval].append(record.t)
        self.attempts.append(AttemptSeen(record.t, stamp))

    def first_held_ms(self) -> dict[int, float]:
        """Return when each number was first held, in ms of the run."""
        return {n: min(ids.values()) - self.zero_ms for n, ids in self.audit.first_held_ms.items()}

    def counts_in_ledgers(self) -> dict[IntervalKey, int]:
        """Return the attempts sent in each interval, by the ledgers."""
        return {
            (node, process.started.generation, number): interval.counts[SENT]
            for node, processes in self.audit.processes.items()
            for process in processes
            for number, interval in process.intervals.items()
        }

    def unknown_since_ms(self) -> dict[tuple[str, int], float]:
        """Return since when the actions of killed processes may be missing, in ms of the run."""
        return {
            (node, process.started.generation): process.unknown.from_ms - self.zero_ms - ERROR_MS
            for node, processes in self.audit.processes.items()
            for process in processes
            if process.unknown is not None
        }

    def differences(self) -> dict[str, float]:
        """Return differences between both, and the attempts that the ledgers declare as unknown."""
        counted, unknown_since_ms = self.counts_in_ledgers(), self.unknown_since_ms()
        differences = unknown = 0
        for key in counted.keys() | self.times.keys():
            seen, in_ledger = len(self.times.get(key, ())), counted.get(key, 0)
            known = seen
            if seen > in_ledger and key[:2] in unknown_since_ms:
                # Only what came after the last counts of a killed process may be missing there.
                since_ms = unknown_since_ms[key[:2]]
                known = max(in_ledger, sum(at_ms <= since_ms for at_ms in self.times[key]))
            unknown += seen - known
            differences += abs(known - in_ledger)
        total = len(self.attempts)
        return {
            "allocations": float(total),
            "differences": float(differences + self.without_stamp),
            "unknown": float(unknown),
            "unknown_share": unknown / max(1, total),
            "numbers": float(len(self.audit.first_held_ms)),
            "audit_wrong": float(len(self.audit.findings)),
            "two_contents": float(sum(len(ids) > 1 for ids in self.audit.first_held_ms.values())),
            "lives": float(sum(map(len, self.audit.processes.values()))),
        }

    def staleness(self) -> dict[str, float]:
        """Return attempts past the bound, and how near the others came to it."""
        first_held_ms, lease_ms = self.first_held_ms(), self.rig.table.lease_ms
        bound_ms = lease_ms + MAX_TRANSIT_MS
        past = nearest = unproven = 0.0
        for attempt in self.attempts:
            newer_ms = min((at for n, at in first_held_ms.items() if n > attempt.stamp.number), default=inf)
            if not attempt.stamp.is_proven:
                unproven += 1
            elif attempt.at_ms > newer_ms:
                nearest = max(nearest, (attempt.at_ms - newer_ms) / bound_ms)
                past += attempt.at_ms - newer_ms > bound_ms
        return {
            "past_bound": past,
            "nearest_stale": nearest,
            "unproved_share": unproven / max(1, len(self.attempts)),
        }


def published(rig: Rig) -> list[list[str]]:
    """Return publications as rows."""
    rows = [["asked for at, s", "by", "what came of it"]]
    return rows + [[f"{t / 1000.0:.1f}", name, text.strip()] for t, name, text in rig.published]


def under_faults(
    experiment: Experiment, table: Fleet, seed: int, out: Path, show_progress: ShowProgress
) -> tuple[Rig, LedgerComparison, RunResult, dict[str, float]]:
    """Play one day; return the rig, the comparison, the play, and its figures."""
    rig, healed = run(experiment.day, seed, table, out, show_progress, lagging_nodes)
    zero = 1000.0 * (time.time() - time.monotonic() + rig.driver.zero)
    found, wrong = records.read_folder(out / "records")
    played = plays.judge_records(found, wrong, driver="sockets")
    comparison = LedgerComparison(rig, found, zero)
    figures = played.figures | comparison.differences() | comparison.staleness()
    figures |= {
        "faults": float(len(rig.spells)),
        "not_struck": float(len(rig.strikes)),
        "alike_s": healed[0] / 1000.0 if healed else inf,
    } | {
        f"came_{what}": float(sum(told.get(what, 0) for told in rig.contents.values()))
        for what in ("whole", "chains", "edits", "changes", "digest")
    }
    for text in comparison.audit.findings:
        show_progress(f"WRONG {text}")
    return rig, comparison, played, figures


class Audits(Fleet):
    """Days under schedules of chance or named ones, one a seed."""

    seeds: Count = 1


@register_play("audit_truth")
def audit_truth(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Hold what the ledgers say against what executors saw, under publications and faults.

    Seed after seed.
    """
    table: Audits = experiment.tables["audit_truth"]
    rows = [
        [
            "seed",
            "lives",
            "numbers",
            "allocations",
            "differences",
            "unknown",
            "past the bound",
            "alike after, s",
        ]
    ]
    worst: dict[str, float] = {}
    sums = ("allocations", "differences", "unknown", "came_chains", "came_whole", "came_changes", *NONE_OF)
    most = ("alike_s", "nearest_stale", "not_struck")
    for seed in range(experiment.head.seed, experiment.head.seed + table.seeds):
        _, _, played, figures = under_faults(experiment, table, seed, out / f"{seed}", show_progress)
        for key in sums:
            worst[key] = worst.get(key, 0.0) + figures[key]
        for key in most:
            worst[key] = max(worst.get(key, 0.0), figures[key])
        worst["numbers"] = min(worst.get("numbers", inf), figures["numbers"])
        worst["service"] = min(worst.get("service", inf), figures["service"])
        names = ("lives", "numbers", "allocations", "differences", "unknown", "past_bound")
        rows.append([str(seed), *(f"{figures[name]:.0f}" for name in names), f"{figures['alike_s']:.1f}"])
    worst["unknown_share"] = worst["unknown"] / max(1.0, worst["allocations"])
    return RunResult(worst, tables=[("What ledgers say, held against executors", rows)], driver="sockets")


def up_after(rig: Rig, name: str, until: float, since: dict[int, float]) -> float:
    """Return how long after its way back a node acted on the newest version, in service; inf for never."""
    newest = max((number for number, at in since.items() if at <= until), default=0)
    acting, serving = 0, True
    for t, who, what in rig.acted:
        if who != name:
            continue
        if t >= until and acting >= newest and serving:
            return 0.0  # it was up before: what is said later is other news
        acting = int(what) if what.isdecimal() else acting
        serving = serving if what.isdecimal() else what == "in"
        if t >= until and acting >= newest and serving:
            return t - until
    # Nothing more was said of it: it was up all along.
    return 0.0 if acting >= newest and serving else inf


def at_nodes(book: RunRecords, names: set[str]) -> float:
    """Return the service of work that was first tried at some nodes."""
    rows = [(first, took) for first, _, took in request_outcomes(book) if first.node in names]
    good = sum(first.credit for first, took in rows if took is not None and took <= first.promised)
    return good / (sum(first.credit for first, _ in rows) or 1.0)


@register_play("straggler")
def straggler(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Have some nodes miss a publication in different ways, beside the same day without them."""
    table: Fleet = experiment.tables["straggler"]
    plain = replace(table, faults=[fault for fault in table.faults if fault.fault == "publish"], older=[])
    seed = experiment.head.seed
    _, _, calm, _ = under_faults(experiment, plain, seed, out / "without", show_progress)
    rig, comparison, played, figures = under_faults(experiment, table, seed, out / "with", show_progress)
    rows = [["node", "what", "until, s", "then", "after, s"]]
    slow, since = 0.0, comparison.first_held_ms()
    for name, what, _, until in rig.spells:
        took = up_after(rig, name, until, since)
        slow = max(slow, took)
        rows.append([name, what, f"{until / 1000.0:.1f}", "up", f"{took / 1000.0:.2f}"])
    for name in table.older:
        code = next((what for _, n, what in reversed(rig.acted) if n == name), "?")
        slow = max(slow, 0.0 if code == "unfit" else inf)
        rows.append([name, "older", "-", f"out, code={code}", "-"])
    ill = {name for name, *_ in rig.spells} | set(table.older)
    figures |= {
        "slowest_up_s": slow / 1000.0,
        "rest_service": at_nodes(played.book, set(rig.names) - ill),
        "rest_without": at_nodes(calm.book, set(rig.names) - ill),
    }
    figures["rest_lost"] = figures["rest_without"] - figures["rest_service"]
    tables = [("Stragglers", rows), ("Publications", published(rig))]
    return RunResult(figures, played.verdict, played.book, tables, "sockets")


@register_play("versions_cut")
def versions_cut(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Publish on all sides of a cut at once, in both ways of going on without a proof, then heal it."""
    table: Cuts = experiment.tables["versions_cut"]
    rows = [
        ["cut", "past the lease", "numbers", "two contents", "unproved", "past the bound", "alike after, s"]
    ]
    worst: dict[str, float] = {}
    for cut in table.cuts:
        for mode in ("strict", "serve"):
            faults = [replace(f, other=cut if f.fault == "split" else f.other) for f in table.faults]
            one = replace(table, faults=faults, past_lease=mode)
            where = out / f"{mode}-{table.cuts.index(cut)}"
            rig, _, _, figures = under_faults(experiment, one, experiment.head.seed, where, show_progress)
            for key in ("differences", "not_struck", *NONE_OF):
                worst[key] = worst.get(key, 0.0) + figures[key]
            worst["alike_s"] = max(worst.get("alike_s", 0.0), figures["alike_s"])
            worst[f"{mode}_unproved"] = max(worst.get(f"{mode}_unproved", 0.0), figures["unproved_share"])
            worst[f"{mode}_service"] = min(worst.get(f"{mode}_service", inf), figures["service"])
            worst["numbers"] = min(worst.get("numbers", inf), figures["numbers"])
            rows.append(
                [
                    cut,
                    mode,
                    f"{figures['numbers']:.0f}",
                    f"{figures['two_contents']:.0f}",
                    f"{figures['unproved_share']:.3f}",
                    f"{figures['past_bound']:.0f}",
                    f"{figures['alike_s']:.1f}",
                ]
            )
    return RunResult(worst, tables=[("Publications on all sides of a cut", rows)], driver="sockets")


class Cuts(Fleet):
    """Cuts, each played both ways; a fault `split` takes each cut's groups in turn."""

    cuts: list[str] = []


def register() -> None:
    """Make the tables of these plays known to experiment files."""
    file.register("audit_truth", Audits)
    file.register("straggler", Fleet)
    file.register("versions_cut", Cuts)
