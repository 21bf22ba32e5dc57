"""Plays of durable state.

Receipts through kills, an old list with the roster down, and what the store costs.
"""

import shutil
import socket
import time
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from pathlib import Path
from typing import Literal

import msgspec
import numpy as np

from marlseam import records
from marlseam.emulators.disk import FAULTS, OVER, Faults
from marlseam.experiment import file, plays
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.experiment.sockets import SocketDriver
from marlseam.experiment.virtual import StaleListStart, VirtualDriver
from marlseam.load.process import arrivals_of
from marlseam.load.verdict import Counted, merge
from marlseam.records import RecordStreams
from marlseam.recovery import saved_list
from marlseam.simulation.chance import stream
from marlseam.simulation.model import (
    Count,
    Day,
    Fault,
    NotNegative,
    Positive,
    Share,
    Strict,
    placed_servers,
)
from marlseam.store import file_format as form
from marlseam.store.disk import Disk
from marlseam.store.state_directory import StateDirectory, create_state
from marlseam.verification.book import RunRecords

STORE = '[store]\nfolder = "{{folder}}"\nsync = "{sync}"\nwait_ms = 1000\n'
EFFECTS = "no effect twice"
READING_MS = 2000.0  # of a pod's memory that may pass until a folder is read after a run


def on_sockets(day: Day, seed: int, out: Path, **options: object) -> tuple[RunResult, Counted, SocketDriver]:
    """Play a day on loopback from empty state folders; return its figures, the generator's and the driver."""
    shutil.rmtree(out / "state", ignore_errors=True)
    (out / "state").mkdir(parents=True)
    options.setdefault("prepare", lambda name, _: create_state(out / "state" / name, name))
    driver = SocketDriver(day, seed, out, **options)
    counted = merge(driver.run(), len(arrivals_of(day, seed)))
    return plays.judge_records(*records.read_folder(out / "records"), driver="sockets"), counted, driver


class DiskCase(Faults):
    """A disk under a node, by name; `torn`: a byte of what it holds changes before every so many-th start."""

    name: str = "quick"
    torn: int = 0


class Receipts(Strict):
    """Kills at chance moments, on each of some disks, several side by side."""

    kills: Count = 10
    sync: Literal["durable", "written"] = "durable"
    wait_ms: NotNegative = 1000.0
    disks: list[DiskCase] = []
    at_once: Count = 4


def damage(path: Path, starts: int, every: int) -> None:
    """Change a byte in the middle of a folder's newest journal, before some starts."""
    journals = sorted(path.glob("journal-*"))
    if every and starts % every == 0 and journals:
        data = bytearray(journals[-1].read_bytes())
        data[len(data) // 2] ^= 0x10
        journals[-1].write_bytes(data)


def not_on_record(book: RunRecords, day: Day, path: Path, name: str, now: float) -> list[str]:
    """Return the keys that executors took, and still know, of which the node's folder knows nothing.

    What the folder says is lost is no such key: the next life takes it as perhaps run.
    """
    state = StateDirectory(Disk(path), name).load(1000.0 * time.time())
    if state.lost_ms is not None:
        return []
    memory = {type.name: type.memory_ms for type in day.types if type.effect == "receipted"}
    found = []
    for id, sends in book.attempts.items():
        tried = book.tries.get(id)
        if tried is None or tried.receipt is None or tried.receipt in state.sent:
            continue
        ran = [
            t
            for t in sends
            if not any(isinstance(e, records.AttemptRefused) for e in book.attempt_ends.get(id, ()))
        ]
        if any(now - t.t < memory.get(tried.type, 0.0) - READING_MS for t in ran):
            found.append(tried.receipt)
    return found


def on_disk(
    experiment: Experiment, day: Day, case: DiskCase, out: Path
) -> tuple[dict[str, float], list[str]]:
    """Play kills on one disk; return its figures and its row of the table."""
    table, starts = experiment.tables["receipts"], iter(range(1, 1 << 30))
    own = STORE.format(sync=table.sync).replace("wait_ms = 1000", f"wait_ms = {table.wait_ms:g}")
    faults = {name: getattr(case, name) for name in Faults.__struct_fields__}
    over = out / "over"
    out.mkdir(parents=True, exist_ok=True)
    over.unlink(missing_ok=True)
    env = {FAULTS: msgspec.json.encode(faults).decode(), OVER: str(over)}
    try:
        played, _, driver = on_sockets(
            day,
            experiment.head.seed,
            out,
            own=own,
            module=lambda name: "marlseam.emulators.disk",
            env=lambda name: env,
            between=lambda name: damage(out / "state" / name, next(starts), case.torn),
        )
    finally:
        over.touch()
    book, now = played.book, driver.now()
    missing = [
        key for name in driver.nodes for key in not_on_record(book, day, out / "state" / name, name, now)
    ]
    twice = [what for rule in played.verdict.rules if rule.name == EFFECTS for what in rule.violations]
    keyed = {tried.id for tried in book.tries.values() if tried.receipt is not None}
    refused = sum(
        r.how in ("deferred", "aborted") and r.id in keyed for r in book.of_type(records.TryAnswered)
    )
    found = {
        "repeats": float(len(twice)),
        "missing": float(len(missing)),
        "refused": refused / max(1, len(keyed)),
        "service": played.figures["service"],
        "rules_broken": played.figures["rules_broken"],
    }
    row = [case.name, *(f"{found[name]:.0f}" for name in ("repeats", "missing", "rules_broken"))]
    return found, [*row, f"{found['service']:.3f}", f"{found['refused']:.3f}"]


@register_play("receipts_disks")
def receipts_disks(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Kill a node at chance moments under work with receipts, on each of some disks."""
    table: Receipts = experiment.tables["receipts"]
    day = with_kills(experiment, table)
    rows = [["disk", "two effects", "keys not on disk", "rules broken", "service", "keyed tries refused"]]
    found: dict[str, float] = {}
    with ThreadPoolExecutor(table.at_once) as pool:
        runs = [(case, pool.submit(on_disk, experiment, day, case, out / case.name)) for case in table.disks]
        for case, run in runs:
            figures, row = run.result()
            show_progress(f"{case.name} played")
            rows.append(row)
            found |= {f"{case.name}_{name}": value for name, value in figures.items()}
    for name in ("repeats", "missing", "rules_broken"):
        found[name] = sum(value for key, value in found.items() if key.endswith(f"_{name}"))
    return RunResult(found, tables=[(f"{table.kills} kills on each disk", rows)], driver="sockets")


def with_kills(experiment: Experiment, table: Receipts) -> Day:
    """Return the day with its kills."""
    head, day = experiment.head, experiment.day
    chance = stream(head.seed, "kills")
    at = np.sort(chance.uniform(0.1 * day.seconds, 0.95 * day.seconds, table.kills)).tolist()
    kills = [Fault(what="node_kill", at_s=t, for_s=1.0, share=1.0) for t in at]
    return msgspec.structs.replace(day, troubles=[*day.troubles, *kills])


@register_play("receipts")
def receipts(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Kill nodes at chance moments under work with receipts, with the store and without it."""
    table: Receipts = experiment.tables["receipts"]
    head, day = experiment.head, with_kills(experiment, table)
    found: dict[str, float] = {}
    rows = [["store", "kills", "tries", "lost", "receipted work with two effects", "service"]]
    kept: RunResult | None = None
    for name, own in (("on", STORE.format(sync=table.sync)), ("off", "")):
        show_progress(f"store {name}")
        played, _, _ = on_sockets(day, head.seed, out / f"store-{name}", own=own)
        twice = [what for rule in played.verdict.rules if rule.name == EFFECTS for what in rule.violations]
        lost = sum(r.how == "lost" for r in played.book.of_type(records.TryAnswered))
        found |= {f"{name}_repeats": float(len(twice)), f"{name}_lost": float(lost)}
        found[f"{name}_service"] = played.figures["service"]
        rows.append(
            [
                name,
                str(table.kills),
                f"{played.figures['tries']:.0f}",
                str(lost),
                str(len(twice)),
                f"{played.figures['service']:.3f}",
            ]
        )
        kept = kept or played
    return RunResult(
        kept.figures | found, kept.verdict, kept.book, [("Kills under receipted work", rows)], "sockets"
    )


class OldList(Strict):
    """A saved list as old as that, with entries that are gone and addresses that others have now."""

    age_s: Positive = 86400.0
    gone: Share = 0.2
    reused: Share = 0.1
    down_s: NotNegative = 15.0
    seeds: Count = 20  # in virtual time


def closed_port() -> int:
    """Return a port on which nobody listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def old_rows(day: Day, dials: dict[str, str], table: OldList) -> list[dict]:
    """Return the rows of an old list.

    Those that live, some that are gone, and some whose address is another's now.
    """
    live = placed_servers(day)
    total = len(live) / (1.0 - table.gone - table.reused)
    rows = []
    for name, kind, _, zone, cell in live:
        rows.append({"host": name, "dial": dials[name], "site": zone, "class": kind.name, "block": cell})
    for i in range(round(total * table.gone)):
        row = rows[i % len(live)] | {
            "host": f"gone-{i}",
            "dial": f"127.0.0.1:{closed_port()}",
            "block": 9000 + i,
        }
        rows.append(row)
    for i in range(round(total * table.reused)):
        rows.append(rows[i % len(live)] | {"host": f"moved-{i}", "block": 9500 + i})
    return [row | {"health": "active", "share": 1.0, "born_ms": 0} for row in rows]


@register_play("old_list")
def old_list(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Start all nodes together from an old list with the roster down, and the same day with the roster up."""
    table: OldList = experiment.tables["old_list"]
    head, day = experiment.head, experiment.day
    down = Fault(what="roster_outage", at_s=0.0, for_s=table.down_s)
    if head.driver == "virtual":
        return old_list_virtual(experiment, table, down, show_progress)

    def prepare(name: str, dials: dict[str, str]) -> None:
        path = out / "down" / "state" / name
        path.mkdir(parents=True)
        now = time.time() * 1000.0
        listed = form.ListStored(1, old_rows(day, dials, table), now - 1000.0 * table.age_s)
        folder = StateDirectory(Disk(path), name)
        folder.snapshot([form.encode_record(listed)], now)
        folder.close()

    show_progress("the roster up")
    up, _, _ = on_sockets(day, head.seed, out / "up")
    show_progress("the roster down, from an old list")
    troubled = msgspec.structs.replace(day, troubles=[*day.troubles, down])
    own = STORE.format(sync="durable")
    played, _, driver = on_sockets(troubled, head.seed, out / "down", own=own, prepare=prepare)
    back = 1000.0 * table.down_s
    calls = played.book.of_type(records.EndpointListCalled)
    after = {}
    for call in calls:
        if call.served and call.t >= back:
            after.setdefault(call.node, call.t - back)
    peak = max(np.bincount(np.array([c.t for c in calls if c.t >= back] or [back]).astype(int) // 1000))
    found = played.figures | {
        "up_service": up.figures["service"],
        "up_rules_broken": up.figures["rules_broken"],
        "service_lost": up.figures["service"] - played.figures["service"],
        "ready_s": max(driver.ready_s),
        "list_s": max(after.values()) / 1000.0 if len(after) == day.fleet.nodes else float("inf"),
        "call_peak_a_node": float(peak) / day.fleet.nodes,
    }
    rows = [["", "roster up", "roster down, old list"]]
    for name in (
        "service",
        "late",
        "worst_10s",
        "latency_p99",
        "rules_broken",
        "margin_cold_spared",
        "waste",
    ):
        rows.append([name, f"{up.figures[name]:.3f}", f"{played.figures[name]:.3f}"])
    return RunResult(found, played.verdict, played.book, [("From an old list", rows)], "sockets")


def one_start(day: Day, seed: int, old: StaleListStart | None) -> dict[str, float]:
    """Play one day in virtual time from an old list; return its figures."""
    streams = RecordStreams(None, "driver")
    VirtualDriver(day, seed, streams, old=old).run()
    return plays.judge_records((r for w in streams.writers.values() for r in w.kept), [], "virtual").figures


def old_list_virtual(
    experiment: Experiment, table: OldList, down: Fault, show_progress: ShowProgress
) -> RunResult:
    """Start all nodes of a fleet together, over many seeds.

    An address that is another's now counts as gone.
    """
    day, seed = experiment.day, experiment.head.seed
    total = len(placed_servers(day)) / (1.0 - table.gone - table.reused)
    old = StaleListStart(
        round(total * (table.gone + table.reused)),
        saved_list.entry_doubt(1000.0 * table.age_s, saved_list.DepartureRate()),
    )
    troubled = msgspec.structs.replace(day, troubles=[*day.troubles, down])
    rows = [
        ["", "service", "late", "worst 10 s", "deferred", "cold margin, mean", "cold margin, most", "broken"]
    ]
    found: dict[str, float] = {}
    with ProcessPoolExecutor() as pool:
        sets = {
            "up": [pool.submit(one_start, day, seed + i, None) for i in range(table.seeds)],
            "down": [pool.submit(one_start, troubled, seed + i, old) for i in range(table.seeds)],
        }
        for name, runs in sets.items():
            show_progress(f"the roster {name}")
            done = [run.result() for run in runs]
            mean = {key: float(np.mean([run[key] for run in done])) for key in done[0]}
            margins = [run["margin_cold_spared"] for run in done]
            found |= {f"{name}_{key}": value for key, value in mean.items()}
            found |= {
                f"{name}_cold_most": max(margins),
                f"{name}_rules_broken": sum(r["rules_broken"] for r in done),
            }
            shown = [f"{mean[key]:.4f}" for key in ("service", "late", "worst_10s")]
            shown += [f"{mean['deferred']:.0f}", f"{np.mean(margins):.3f}", f"{max(margins):.3f}"]
            rows.append([f"roster {name}", *shown, f"{found[f'{name}_rules_broken']:.0f}"])
    found["rules_broken"] = found["up_rules_broken"] + found["down_rules_broken"]
    found["service_lost"] = found["up_service"] - found["down_service"]
    return RunResult(found, tables=[(f"From an old list, {table.seeds} seeds", rows)], driver="virtual")


class Cost(Strict):
    """What keeping state costs a node, at some rate of work with receipts."""

    rate: Positive = 200.0
    seconds: Positive = 6.0
    connections: Count = 32


@register_play("store_cost")
def store_cost(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Play the same load without a store and with each way of syncing it, in turn.

    And set the figures side by side.
    """
    table: Cost = experiment.tables["store_cost"]
    load = msgspec.structs.replace(experiment.day.load, rate=table.rate)
    day = msgspec.structs.replace(experiment.day, seconds=table.seconds, load=load)
    rows = [["store", "p50, ms", "p99, ms", "CPU a job, ms", "bytes a job", "service"]]
    found: dict[str, float] = {}
    for sync in ("off", "written", "durable"):
        show_progress(f"store {sync}")
        own = "" if sync == "off" else STORE.format(sync=sync)
        where = out / sync
        played, counted, driver = on_sockets(
            day, experiment.head.seed, where, own=own, connections=table.connections, proxied=False, parts=3
        )
        jobs = max(1.0, played.figures["completed"])
        size = sum(path.stat().st_size for path in (where / "state").rglob("journal-*")) / jobs
        cpu = 1000.0 * sum(driver.cpu_s.values()) / jobs
        found |= {
            f"{sync}_p50": counted.intended[50.0],
            f"{sync}_p99": counted.intended[99.0],
            f"{sync}_cpu_ms": cpu,
            f"{sync}_bytes": size,
            f"{sync}_service": played.figures["service"],
        }
        rows.append(
            [
                sync,
                f"{counted.intended[50.0]:.2f}",
                f"{counted.intended[99.0]:.2f}",
                f"{cpu:.3f}",
                f"{size:.0f}",
                f"{played.figures['service']:.3f}",
            ]
        )
    for sync in ("written", "durable"):
        for name in ("p50", "p99", "cpu_ms"):
            found[f"{sync}_{name}_ratio"] = found[f"{sync}_{name}"] / max(1e-9, found[f"off_{name}"])
    return RunResult(found, tables=[("What the store costs", rows)], driver="sockets")


def register() -> None:
    """Make the tables of these plays known to experiment files."""
    for name, table in (("receipts", Receipts), ("old_list", OldList), ("store_cost", Cost)):
        file.register(name, table)
