"""The plays `receipts` and `receipts_disks`: nodes are killed while they work on keyed requests.

No keyed request may have two effects, with a store that makes the node's records durable, on any disk.
"""

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from itertools import count
from pathlib import Path

import numpy as np
from msgspec import json
from msgspec.structs import replace

from marlseam import records
from marlseam.emulators.disk import END_FILE_VARIABLE, FAULTS_VARIABLE, DiskFaults
from marlseam.experiment import file
from marlseam.experiment.durable_state_run import (
    WAIT_MS,
    SocketRun,
    Sync,
    run_on_sockets,
    state_path,
    store_settings,
)
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.simulation.chance import stream
from marlseam.simulation.model import Count, Day, Fault, NotNegative, Strict
from marlseam.store.disk import Disk
from marlseam.store.state_directory import StateDirectory
from marlseam.verification.book import RunRecords

DISK_MODULE = "marlseam.emulators.disk"  # as which a node runs whose disk has faults
READ_DELAY_MS = 2000.0  # of a server's memory that may pass until a state directory is read after a run
FIRST_KILL_SHARE, LAST_KILL_SHARE = 0.1, 0.95  # of the day, between which nodes are killed
KILL_S = 1.0
DAMAGED_BIT = 0x10


class DiskCase(DiskFaults, frozen=True):
    """One disk under a node.

    Attributes:
        name: of the case, with which its figures' names begin.
        torn: before every so many-th start a byte of what the disk holds changes; 0: never.
    """

    name: str = "quick"
    torn: int = 0


class KillSettings(Strict, frozen=True):
    """Table `receipts` of an experiment file: kills at random times.

    Attributes:
        kills: how many.
        sync: when a record counts as durable.
        wait_ms: how long a request may wait for its record, in `receipts_disks`.
        disks: that are played in `receipts_disks`.
        at_once: how many of these at a time.
    """

    kills: Count = 10
    sync: Sync = "durable"
    wait_ms: NotNegative = WAIT_MS
    disks: list[DiskCase] = []
    at_once: Count = 4


def with_kills(experiment: Experiment, settings: KillSettings) -> Day:
    """Return the experiment's day with kills of its nodes."""
    day = experiment.day
    random = stream(experiment.head.seed, "kills")
    earliest_s, latest_s = FIRST_KILL_SHARE * day.seconds, LAST_KILL_SHARE * day.seconds
    times_s = np.sort(random.uniform(earliest_s, latest_s, settings.kills)).tolist()
    kills = [Fault(what="node_kill", at_s=at_s, for_s=KILL_S, share=1.0) for at_s in times_s]
    return replace(day, troubles=[*day.troubles, *kills])


# Disks with faults.


def damage_journal(path: Path) -> None:
    """Change a byte in the middle of a state directory's newest journal."""
    journals = sorted(path.glob("journal-*"))
    if journals:
        data = bytearray(journals[-1].read_bytes())
        data[len(data) // 2] ^= DAMAGED_BIT
        journals[-1].write_bytes(data)


def unrecorded_keys(book: RunRecords, day: Day, path: Path, name: str, now_ms: float) -> list[str]:
    """Return the keys that servers received and still know, of which a node's state directory knows nothing.

    Where the directory says that something was lost there are none: the node's next process takes any key as
    perhaps run.
    """
    state = StateDirectory(Disk(path), name).load(1000.0 * time.time())
    if state.lost_ms is not None:
        return []
    memory_ms = {
        request_type.name: request_type.memory_ms
        for request_type in day.types
        if request_type.effect == "receipted"
    }
    found = []
    for try_id, attempts in book.attempts.items():
        request = book.tries.get(try_id)
        if request is None or request.receipt is None or request.receipt in state.sent:
            continue
        if is_refused(book, try_id):
            continue
        known_ms = memory_ms.get(request.type, 0.0) - READ_DELAY_MS
        if any(now_ms - attempt.t < known_ms for attempt in attempts):
            found.append(request.receipt)
    return found


def is_refused(book: RunRecords, try_id: str) -> bool:
    """Return whether a server refused an attempt of a try."""
    ends = book.attempt_ends.get(try_id, ())
    return any(isinstance(end, records.AttemptRefused) for end in ends)


@dataclass(frozen=True)
class DiskFigures:
    """What came of the kills on one disk.

    Attributes:
        repeats: requests that had two effects.
        missing: keys that servers know and the node's state directory does not.
        rules_broken: violations of all rules.
        service: the service figure of the run.
        refused: the share of keyed tries that were answered without work.
    """

    repeats: float
    missing: float
    rules_broken: float
    service: float
    refused: float

    def by_name(self, case_name: str) -> dict[str, float]:
        """Return the figures by the names that experiment files expect them under."""
        return {
            f"{case_name}_repeats": self.repeats,
            f"{case_name}_missing": self.missing,
            f"{case_name}_refused": self.refused,
            f"{case_name}_service": self.service,
            f"{case_name}_rules_broken": self.rules_broken,
        }

    def row(self, case_name: str) -> list[str]:
        """Return the row of the report."""
        counts = (self.repeats, self.missing, self.rules_broken)
        return [
            case_name,
            *(f"{value:.0f}" for value in counts),
            f"{self.service:.3f}",
            f"{self.refused:.3f}",
        ]


def play_disk(experiment: Experiment, day: Day, case: DiskCase, out: Path) -> DiskFigures:
    """Play a day with kills on one disk."""
    settings: KillSettings = experiment.tables["receipts"]
    faults = {name: getattr(case, name) for name in DiskFaults.__struct_fields__}
    over = out / "over"  # a file whose presence ends calls that hang
    out.mkdir(parents=True, exist_ok=True)
    over.unlink(missing_ok=True)
    env = {FAULTS_VARIABLE: json.encode(faults).decode(), END_FILE_VARIABLE: str(over)}
    starts = count(1)
    try:
        run = run_on_sockets(
            day,
            experiment.head.seed,
            out,
            operator_settings=store_settings(settings.sync, settings.wait_ms),
            node_module=lambda _name: DISK_MODULE,
            node_environment=lambda _name: env,
            before_restart=lambda name: damage_at_start(state_path(out, name), starts, case.torn),
        )
    finally:
        over.touch()
    return disk_figures(run, day, out)


def damage_at_start(path: Path, starts: Iterator[int], every: int) -> None:
    """Count a start of a node, and damage its journal before every so many-th; 0: never."""
    start = next(starts)
    if every and start % every == 0:
        damage_journal(path)


def disk_figures(run: SocketRun, day: Day, out: Path) -> DiskFigures:
    """Return the figures of a run on one disk."""
    book, now_ms = run.book, run.driver.recorder.now_ms()
    missing = [
        key
        for name in run.driver.node_processes.running
        for key in unrecorded_keys(book, day, state_path(out, name), name, now_ms)
    ]
    keyed = {request.id for request in book.tries.values() if request.receipt is not None}
    refused = sum(
        answer.how in ("deferred", "aborted") and answer.id in keyed
        for answer in book.of_type(records.TryAnswered)
    )
    return DiskFigures(
        repeats=float(len(run.double_effects())),
        missing=float(len(missing)),
        rules_broken=run.result.figures["rules_broken"],
        service=run.result.figures["service"],
        refused=refused / max(1, len(keyed)),
    )


@register_play("receipts_disks")
def receipts_disks(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Kill a node at random times while it works on keyed requests, on each of some disks."""
    settings: KillSettings = experiment.tables["receipts"]
    day = with_kills(experiment, settings)
    rows = [["disk", "two effects", "keys not on disk", "rules broken", "service", "keyed tries refused"]]
    found: dict[str, float] = {}
    with ThreadPoolExecutor(settings.at_once) as pool:
        runs = [
            (case, pool.submit(play_disk, experiment, day, case, out / case.name)) for case in settings.disks
        ]
        for case, run in runs:
            figures = run.result()
            show_progress(f"{case.name} played")
            rows.append(figures.row(case.name))
            found |= figures.by_name(case.name)
    for name in ("repeats", "missing", "rules_broken"):
        found[name] = sum(value for key, value in found.items() if key.endswith(f"_{name}"))
    return RunResult(found, tables=[(f"{settings.kills} kills on each disk", rows)], driver="sockets")


# With a store and without.


@register_play("receipts")
def receipts(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Kill nodes at random times while they work on keyed requests, with a store and without one."""
    settings: KillSettings = experiment.tables["receipts"]
    seed, day = experiment.head.seed, with_kills(experiment, settings)
    show_progress("store on")
    with_store = run_on_sockets(day, seed, out / "store-on", operator_settings=store_settings(settings.sync))
    show_progress("store off")
    without_store = run_on_sockets(day, seed, out / "store-off", operator_settings="")
    runs = {"on": with_store, "off": without_store}
    head = ["store", "kills", "tries", "lost", "receipted work with two effects", "service"]
    rows = [head, *(store_row(name, settings.kills, run) for name, run in runs.items())]
    figures = with_store.result.figures | store_figures(runs)
    tables = [("Kills under receipted work", rows)]
    return RunResult(figures, with_store.verdict, with_store.book, tables, "sockets")


def lost_tries(run: SocketRun) -> int:
    """Return how many tries ended without an answer."""
    return sum(answer.how == "lost" for answer in run.book.of_type(records.TryAnswered))


def store_row(name: str, kills: int, run: SocketRun) -> list[str]:
    """Return the row of the report on a run with a store or without."""
    figures = run.result.figures
    return [
        name,
        str(kills),
        f"{figures['tries']:.0f}",
        str(lost_tries(run)),
        str(len(run.double_effects())),
        f"{figures['service']:.3f}",
    ]


def store_figures(runs: dict[str, SocketRun]) -> dict[str, float]:
    """Return the figures of runs by the names that experiment files expect them under."""
    found: dict[str, float] = {}
    for name, run in runs.items():
        found[f"{name}_repeats"] = float(len(run.double_effects()))
        found[f"{name}_lost"] = float(lost_tries(run))
        found[f"{name}_service"] = run.result.figures["service"]
    return found


def register() -> None:
    """Make the table of these plays known to experiment files."""
    file.register("receipts", KillSettings)
