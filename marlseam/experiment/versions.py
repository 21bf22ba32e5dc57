"""Versions of a fleet on real nodes.

What executors saw, held against what the ledgers say, while faults strike.
"""

import time
from collections import defaultdict
from math import inf
from pathlib import Path

from msgspec.structs import replace

from marlseam import records
from marlseam.cluster.audit import SENT, Audit
from marlseam.experiment import file, plays
from marlseam.experiment.file import Experiment
from marlseam.experiment.fleet import Fleet, Rig, run
from marlseam.experiment.plays import Played, Say, play
from marlseam.judge.book import Book
from marlseam.judge.service import turnarounds
from marlseam.store import ledger_audit as ledgers
from marlseam.world.model import Count

ERROR_MS = 20.0  # one machine: by which a node's clock, read at its start, may be off
NONE_OF = ("two_contents", "audit_wrong", "past_bound", "rules_broken")  # none is expected anywhere
ON_ITS_WAY_MS = 300.0  # at most from a look at what an allocation stands on until its executor notes it


def alike(rig: Rig) -> list[str]:
    """Return which nodes do not act on the newest version, proved, but those that cannot."""
    said = {name: rig.ask(name) for name in rig.names}
    wrong = [f"{name} says nothing" for name, told in said.items() if told is None]
    if any(row[2] == "asked" for row in rig.published):
        wrong.append("a publication is under way")
    acting = {name: told.get("acting", {}) for name, told in said.items() if told is not None}
    newest = max((a.get("version", 0) for a in acting.values()), default=0)
    rig.contents = {name: a.get("contents", {}) for name, a in acting.items()}
    for name, a in acting.items():
        well = a.get("acting") == newest and a["serving"] and a["proved"]
        out = name in rig.table.older and a.get("code") == "unfit" and not a["serving"]
        if not (well or out):
            wrong.append(f"{name} acts on {a.get('acting')} of {newest}, {a.get('code')}")
    return wrong


class Truth:
    """What executors saw, and what the ledgers say of the same."""

    def __init__(self, rig: Rig, out: Path, all_records: list[records.Record], zero_unix_ms: float) -> None:
        self.audit: Audit = ledgers.read([rig.ledger(name) for name in rig.names], ERROR_MS)
        self.zero, self.rig = zero_unix_ms, rig
        self.times: dict[tuple[str, int, int], list[float]] = defaultdict(list)  # of what executors took
        self.took: list[tuple[float, str, int, bool]] = []
        self.bare = 0
        for record in all_records:
            if type(record) is records.Took:
                if not record.acting:
                    self.bare += 1
                    continue
                name, life, interval, number, proved = record.acting.split("/")
                self.times[name, int(life), int(interval)].append(record.t)
                self.took.append((record.t, name, int(number), proved == "1"))

    def since(self) -> dict[int, float]:
        """Return when each number was first held, in ms of the run."""
        return {n: min(ids.values()) - self.zero for n, ids in self.audit.first_held_ms.items()}

    def compared(self) -> dict[str, float]:
        """Return differences between both, and the acts that are told as unknown."""
        told, unknown_from = {}, {}
        for name, processes in self.audit.processes.items():
            for process in processes:
                life = process.started.process_number
                if process.unknown is not None:
                    unknown_from[name, life] = process.unknown.from_ms - self.zero - ERROR_MS
                for number, interval in process.intervals.items():
                    told[name, life, number] = interval.counts[SENT]
        differences = unknown = 0
        for key in told.keys() | self.times.keys():
            seen, said = len(self.times.get(key, ())), told.get(key, 0)
            known = seen
            if seen > said and key[:2] in unknown_from:
                # Only what came after the last mark of a killed life may be missing there.
                known = max(said, sum(t <= unknown_from[key[:2]] for t in self.times[key]))
            unknown += seen - known
            differences += abs(known - said)
        total = len(self.took)
        return {
            "allocations": float(total),
            "differences": float(differences + self.bare),
            "unknown": float(unknown),
            "unknown_share": unknown / max(1, total),
            "numbers": float(len(self.audit.first_held_ms)),
            "audit_wrong": float(len(self.audit.findings)),
            "two_contents": float(sum(len(ids) > 1 for ids in self.audit.first_held_ms.values())),
            "lives": float(sum(map(len, self.audit.processes.values()))),
        }

    def stale(self) -> dict[str, float]:
        """Return allocations past the bound, and how near the others came to it."""
        since, lease = self.since(), self.rig.table.lease_ms
        bound = lease + ON_ITS_WAY_MS
        past = nearest = unproved = 0.0
        for t, _, number, proved in self.took:
            after = min((at for n, at in since.items() if n > number), default=inf)
            if not proved:
                unproved += 1
            elif t > after:
                nearest = max(nearest, (t - after) / bound)
                past += t - after > bound
        return {
            "past_bound": past,
            "nearest_stale": nearest,
            "unproved_share": unproved / max(1, len(self.took)),
        }


def published(rig: Rig) -> list[list[str]]:
    """Return publications as rows."""
    rows = [["asked for at, s", "by", "what came of it"]]
    return rows + [[f"{t / 1000.0:.1f}", name, text.strip()] for t, name, text in rig.published]


def under_faults(
    experiment: Experiment, table: Fleet, seed: int, out: Path, say: Say
) -> tuple[Rig, Truth, Played, dict[str, float]]:
    """Play one day; return the rig, the truth, and what rules and versions came to."""
    rig, healed = run(experiment.day, seed, table, out, say, alike)
    zero = 1000.0 * (time.time() - time.monotonic() + rig.driver.zero)
    found, wrong = records.read_folder(out / "records")
    played = plays.judged(found, wrong, driver="sockets")
    truth = Truth(rig, out, found, zero)
    figures = played.figures | truth.compared() | truth.stale()
    figures |= {
        "faults": float(len(rig.spells)),
        "not_struck": float(len(rig.strikes)),
        "alike_s": healed[0] / 1000.0 if healed else inf,
    } | {
        f"came_{what}": float(sum(told.get(what, 0) for told in rig.contents.values()))
        for what in ("whole", "chains", "edits", "changes", "digest")
    }
    for text in truth.audit.findings:
        say(f"WRONG {text}")
    return rig, truth, played, figures


class Audits(Fleet):
    """Days under schedules of chance or named ones, one a seed."""

    seeds: Count = 1


@play("audit_truth")
def audit_truth(experiment: Experiment, out: Path, say: Say) -> Played:
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
        _, _, played, figures = under_faults(experiment, table, seed, out / f"{seed}", say)
        for key in sums:
            worst[key] = worst.get(key, 0.0) + figures[key]
        for key in most:
            worst[key] = max(worst.get(key, 0.0), figures[key])
        worst["numbers"] = min(worst.get("numbers", inf), figures["numbers"])
        worst["service"] = min(worst.get("service", inf), figures["service"])
        names = ("lives", "numbers", "allocations", "differences", "unknown", "past_bound")
        rows.append([str(seed), *(f"{figures[name]:.0f}" for name in names), f"{figures['alike_s']:.1f}"])
    worst["unknown_share"] = worst["unknown"] / max(1.0, worst["allocations"])
    return Played(worst, tables=[("What ledgers say, held against executors", rows)], driver="sockets")


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


def at_nodes(book: Book, names: set[str]) -> float:
    """Return the service of work that was first tried at some nodes."""
    rows = [(first, took) for first, _, took in turnarounds(book) if first.node in names]
    good = sum(first.credit for first, took in rows if took is not None and took <= first.promised)
    return good / (sum(first.credit for first, _ in rows) or 1.0)


@play("straggler")
def straggler(experiment: Experiment, out: Path, say: Say) -> Played:
    """Have some nodes miss a publication in different ways, beside the same day without them."""
    table: Fleet = experiment.tables["straggler"]
    plain = replace(table, faults=[fault for fault in table.faults if fault.fault == "publish"], older=[])
    seed = experiment.head.seed
    _, _, calm, _ = under_faults(experiment, plain, seed, out / "without", say)
    rig, truth, played, figures = under_faults(experiment, table, seed, out / "with", say)
    rows = [["node", "what", "until, s", "then", "after, s"]]
    slow, since = 0.0, truth.since()
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
    return Played(figures, played.verdict, played.book, tables, "sockets")


@play("versions_cut")
def versions_cut(experiment: Experiment, out: Path, say: Say) -> Played:
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
            rig, _, _, figures = under_faults(experiment, one, experiment.head.seed, where, say)
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
    return Played(worst, tables=[("Publications on all sides of a cut", rows)], driver="sockets")


class Cuts(Fleet):
    """Cuts, each played both ways; a fault `split` takes each cut's groups in turn."""

    cuts: list[str] = []


def register() -> None:
    """Make the tables of these plays known to experiment files."""
    file.register("audit_truth", Audits)
    file.register("straggler", Fleet)
    file.register("versions_cut", Cuts)
