"""The plays `receipts` and `receipts_disks`: nodes are killed while they work on keyed requests.

With a store that makes a node's records durable, no keyed request may take effect twice, whatever faults the
node's disk has.
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
from marlseam.simulation.model import Count, Day, Fault, NotNegative, Strict
from marlseam.simulation.random_streams import random_stream
from marlseam.store.disk import Disk
from marlseam.store.state_directory import StateDirectory
from marlseam.verification.run_records import RunRecords

DISK_MODULE = "marlseam.emulators.disk"  # the Python module of a node whose disk has faults
READ_DELAY_MS = 2000.0  # deducted from a server's memory: a state directory is read up to 2 s after a run
FIRST_KILL_SHARE, LAST_KILL_SHARE = 0.1, 0.95  # shares of the day between which nodes are killed
KILL_S = 1.0
DAMAGED_BIT = 0x10


class DiskCase(DiskFaults, frozen=True):
    """One disk of a node, with its faults.

    Attributes:
        name: the name of the case, with which the names of its figures begin.
        torn: a byte of the journal is damaged before every `torn`-th restart; 0 for never.
    """

    name: str = "quick"
    torn: int = 0


class KillSettings(Strict, frozen=True):
    """Table `receipts` of an experiment file: kills at random times.

    Attributes:
        kills: how many kills a day has.
        sync: when a record counts as durable: once it is synced (durable) or written.
        wait_ms: how long a request may wait until its record is durable, in ms; in `receipts_disks` only.
        disks: the disks on which `receipts_disks` plays the day.
        at_once: how many of these disks are played at the same time.
    """

    kills: Count = 10
    sync: Sync = "durable"
    wait_ms: NotNegative = WAIT_MS
    disks: list[DiskCase] = []
    at_once: Count = 4


def with_kills(experiment: Experiment, settings: KillSettings) -> Day:
    """Return the experiment's day with kills of all its nodes at times drawn from the seed."""
    day = experiment.day
    random = random_stream(experiment.head.seed, "kills")
    earliest_s, latest_s = FIRST_KILL_SHARE * day.seconds, LAST_KILL_SHARE * day.seconds
    times_s = np.sort(random.uniform(earliest_s, latest_s, settings.kills)).tolist()
    kills = [Fault(what="node_kill", at_s=at_s, for_s=KILL_S, share=1.0) for at_s in times_s]
    return replace(day, troubles=[*day.troubles, *kills])


# The play `receipts_disks`: nodes on disks with faults.


def damage_journal(path: Path) -> None:
    """Flip a bit in the middle of a state directory's newest journal, if there is one."""
    journals = sorted(path.glob("journal-*"))
    if journals:
        data = bytearray(journals[-1].read_bytes())
        data[len(data) // 2] ^= DAMAGED_BIT
        journals[-1].write_bytes(data)


def unrecorded_keys(run_records: RunRecords, day: Day, path: Path, name: str, now_ms: float) -> list[str]:
    """Return the keys that servers received and still remember, but that a node's state directory lacks.

    `now_ms` is the time of the run. The result is empty where the directory records a loss of history: the
    node's next process then treats every key as one that may have run.
    """
    state = StateDirectory(Disk(path), name).load(1000.0 * time.time())
    if state.lost_ms is not None:
        return []
    memory_ms = {
        request_type.name: request_type.memory_ms
        for request_type in day.types
        if request_type.effect == "receipted"
    }
    missing_keys = []
    for try_id, attempts in run_records.attempts.items():
        request = run_records.tries.get(try_id)
        if request is None or request.receipt is None or request.receipt in state.sent:
            continue
        if is_refused(run_records, try_id):
            continue
        remembered_ms = memory_ms.get(request.type, 0.0) - READ_DELAY_MS
        if any(now_ms - attempt.t < remembered_ms for attempt in attempts):
            missing_keys.append(request.receipt)
    return missing_keys


def is_refused(run_records: RunRecords, try_id: str) -> bool:
    """Return whether a server refused any attempt of a try, so that this attempt did not run."""
    ends = run_records.attempt_ends.get(try_id, ())
    return any(isinstance(end, records.AttemptRefused) for end in ends)


@dataclass(frozen=True)
class DiskFigures:
    """The figures of a day with kills on one disk.

    Attributes:
        repeats: the number of requests that took effect twice.
        missing: the number of keys that servers remember and the nodes' state directories lack.
        rules_broken: the number of violations of all rules.
        service: the service figure of the run.
        refused: the share of keyed tries that were deferred or aborted.
    """

    repeats: float
    missing: float
    rules_broken: float
    service: float
    refused: float

    def by_name(self, case_name: str) -> dict[str, float]:
        """Return the figures by the names used in experiment files."""
        return {
            f"{case_name}_repeats": self.repeats,
            f"{case_name}_missing": self.missing,
            f"{case_name}_refused": self.refused,
            f"{case_name}_service": self.service,
            f"{case_name}_rules_broken": self.rules_broken,
        }

    def row(self, case_name: str) -> list[str]:
        """Return the row of this disk in the report's table."""
        counts = (self.repeats, self.missing, self.rules_broken)
        return [
            case_name,
            *(f"{value:.0f}" for value in counts),
            f"{self.service:.3f}",
            f"{self.refused:.3f}",
        ]


def play_disk(experiment: Experiment, day: Day, case: DiskCase, out: Path) -> DiskFigures:
    """Play a day with kills on one disk, and return its figures."""
    settings: KillSettings = experiment.tables["receipts"]
    faults = {name: getattr(case, name) for name in DiskFaults.__struct_fields__}
    end_file = out / "over"  # disk calls that hang return once this file exists
    out.mkdir(parents=True, exist_ok=True)
    end_file.unlink(missing_ok=True)
    env = {FAULTS_VARIABLE: json.encode(faults).decode(), END_FILE_VARIABLE: str(end_file)}
    restarts = count(1)
    try:
        run = run_on_sockets(
            day,
            experiment.head.seed,
            out,
            operator_settings=store_settings(settings.sync, settings.wait_ms),
            node_module=lambda _name: DISK_MODULE,
            node_environment=lambda _name: env,
            before_restart=lambda name: damage_before_restart(state_path(out, name), restarts, case.torn),
        )
    finally:
        end_file.touch()
    return disk_figures(run, day, out)


def damage_before_restart(path: Path, restarts: Iterator[int], every: int) -> None:
    """Count a restart, and damage the journal in `path` before every `every`-th restart; 0 for never."""
    restart = next(restarts)
    if every and restart % every == 0:
        damage_journal(path)


def disk_figures(run: SocketRun, day: Day, out: Path) -> DiskFigures:
    """Return the figures of a run on one disk; reads the nodes' state directories in `out`."""
    run_records, now_ms = run.run_records, run.driver.recorder.now_ms()
    missing = [
        key
        for name in run.driver.node_processes.running
        for key in unrecorded_keys(run_records, day, state_path(out, name), name, now_ms)
    ]
    keyed = {request.id for request in run_records.tries.values() if request.receipt is not None}
    refused = sum(
        answer.how in ("deferred", "aborted") and answer.id in keyed
        for answer in run_records.of_type(records.TryAnswered)
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
    """Kill nodes at random times while they work on keyed requests, on each disk of the table."""
    settings: KillSettings = experiment.tables["receipts"]
    day = with_kills(experiment, settings)
    rows = [["disk", "two effects", "keys not on disk", "rules broken", "service", "keyed tries refused"]]
    all_figures: dict[str, float] = {}
    with ThreadPoolExecutor(settings.at_once) as pool:
        runs = [
            (case, pool.submit(play_disk, experiment, day, case, out / case.name)) for case in settings.disks
        ]
        for case, run in runs:
            figures = run.result()
            show_progress(f"kills on disk {case.name} played")
            rows.append(figures.row(case.name))
            all_figures |= figures.by_name(case.name)
    for name in ("repeats", "missing", "rules_broken"):
        all_figures[name] = sum(value for key, value in all_figures.items() if key.endswith(f"_{name}"))
    return RunResult(all_figures, tables=[(f"{settings.kills} kills on each disk", rows)], driver="sockets")


# The play `receipts`: nodes with a store and without one.


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
    return RunResult(figures, with_store.verdict, with_store.run_records, tables, "sockets")


def lost_tries(run: SocketRun) -> int:
    """Return how many sent tries were lost without an answer."""
    return sum(answer.how == "lost" for answer in run.run_records.of_type(records.TryAnswered))


def store_row(name: str, kills: int, run: SocketRun) -> list[str]:
    """Return the row of one run, with the store on or off, in the report's table."""
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
    """Return the figures of the runs by the names used in experiment files; `runs` are by `on` and `off`."""
    figures: dict[str, float] = {}
    for name, run in runs.items():
        figures[f"{name}_repeats"] = float(len(run.double_effects()))
        figures[f"{name}_lost"] = float(lost_tries(run))
        figures[f"{name}_service"] = run.result.figures["service"]
    return figures


def register() -> None:
    """Register the table of these plays for experiment files."""
    file.register("receipts", KillSettings)
