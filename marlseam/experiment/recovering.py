"""Plays of durable state.

Receipts through kills, an old list with the roster down, and what the store costs.
"""

import shutil
import socket
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Literal

import msgspec
import numpy as np

from marlseam import records
from marlseam.experiment import file, plays
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import Played, Say, play
from marlseam.experiment.sockets import Sockets
from marlseam.experiment.virtual import Old, Virtual
from marlseam.load.process import arrivals_of
from marlseam.load.verdict import Counted, merge
from marlseam.records import Streams
from marlseam.recovery import lists
from marlseam.store import format as form
from marlseam.store.folder import Disk, Folder
from marlseam.world.chance import stream
from marlseam.world.model import Count, Day, NotNegative, Positive, Share, Strict, Trouble, executors

STORE = '[store]\nfolder = "{{folder}}"\nsync = "{sync}"\nwait_ms = 1000\n'
EFFECTS = "no effect twice"


def on_sockets(day: Day, seed: int, out: Path, **options: object) -> tuple[Played, Counted, Sockets]:
    """Play a day on loopback from empty state folders; return its figures, the generator's and the driver."""
    shutil.rmtree(out / "state", ignore_errors=True)
    (out / "state").mkdir(parents=True)
    driver = Sockets(day, seed, out, **options)
    counted = merge(driver.run(), len(arrivals_of(day, seed)))
    return plays.judged(*records.read_folder(out / "records"), driver="sockets"), counted, driver


class Receipts(Strict):
    """Kills at chance moments."""

    kills: Count = 10
    sync: Literal["durable", "written"] = "durable"


@play("receipts")
def receipts(experiment: Experiment, out: Path, say: Say) -> Played:
    """Kill nodes at chance moments under work with receipts, with the store and without it."""
    table: Receipts = experiment.tables["receipts"]
    head, day = experiment.head, experiment.day
    chance = stream(head.seed, "kills")
    at = np.sort(chance.uniform(0.1 * day.seconds, 0.95 * day.seconds, table.kills)).tolist()
    kills = [Trouble(what="node_kill", at_s=t, for_s=1.0, share=1.0) for t in at]
    day = msgspec.structs.replace(day, troubles=[*day.troubles, *kills])
    found: dict[str, float] = {}
    rows = [["store", "kills", "tries", "lost", "receipted work with two effects", "service"]]
    kept: Played | None = None
    for name, own in (("on", STORE.format(sync=table.sync)), ("off", "")):
        say(f"store {name}")
        played, _, _ = on_sockets(day, head.seed, out / f"store-{name}", own=own)
        twice = [what for rule in played.verdict.rules if rule.name == EFFECTS for what in rule.broken]
        lost = sum(r.how == "lost" for r in played.book.of(records.Answered))
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
    return Played(
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
    live = executors(day)
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


@play("old_list")
def old_list(experiment: Experiment, out: Path, say: Say) -> Played:
    """Start all nodes together from an old list with the roster down, and the same day with the roster up."""
    table: OldList = experiment.tables["old_list"]
    head, day = experiment.head, experiment.day
    down = Trouble(what="roster_outage", at_s=0.0, for_s=table.down_s)
    if head.driver == "virtual":
        return old_list_virtual(experiment, table, down, say)

    def prepare(name: str, dials: dict[str, str]) -> None:
        path = out / "down" / "state" / name
        path.mkdir(parents=True)
        now = time.time() * 1000.0
        listed = form.Listed(1, old_rows(day, dials, table), now - 1000.0 * table.age_s)
        folder = Folder(Disk(path), name)
        folder.snapshot([form.frame(listed)], now)
        folder.close()

    say("the roster up")
    up, _, _ = on_sockets(day, head.seed, out / "up")
    say("the roster down, from an old list")
    troubled = msgspec.structs.replace(day, troubles=[*day.troubles, down])
    own = STORE.format(sync="durable")
    played, _, driver = on_sockets(troubled, head.seed, out / "down", own=own, prepare=prepare)
    back = 1000.0 * table.down_s
    calls = played.book.of(records.Called)
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
    return Played(found, played.verdict, played.book, [("From an old list", rows)], "sockets")


def one_start(day: Day, seed: int, old: Old | None) -> dict[str, float]:
    """Play one day in virtual time from an old list; return its figures."""
    streams = Streams(None, "driver")
    Virtual(day, seed, streams, old=old).run()
    return plays.judged((r for w in streams.writers.values() for r in w.kept), [], "virtual").figures


def old_list_virtual(experiment: Experiment, table: OldList, down: Trouble, say: Say) -> Played:
    """Start all nodes of a fleet together, over many seeds.

    An address that is another's now counts as gone.
    """
    day, seed = experiment.day, experiment.head.seed
    total = len(executors(day)) / (1.0 - table.gone - table.reused)
    old = Old(round(total * (table.gone + table.reused)), lists.doubt(1000.0 * table.age_s, lists.Turnover()))
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
            say(f"the roster {name}")
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
    return Played(found, tables=[(f"From an old list, {table.seeds} seeds", rows)], driver="virtual")


class Cost(Strict):
    """What keeping state costs a node, at some rate of work with receipts."""

    rate: Positive = 200.0
    seconds: Positive = 6.0
    connections: Count = 32


@play("store_cost")
def store_cost(experiment: Experiment, out: Path, say: Say) -> Played:
    """Play the same load without a store and with each way of syncing it, in turn.

    And set the figures side by side.
    """
    table: Cost = experiment.tables["store_cost"]
    load = msgspec.structs.replace(experiment.day.load, rate=table.rate)
    day = msgspec.structs.replace(experiment.day, seconds=table.seconds, load=load)
    rows = [["store", "p50, ms", "p99, ms", "CPU a job, ms", "bytes a job", "service"]]
    found: dict[str, float] = {}
    for sync in ("off", "written", "durable"):
        say(f"store {sync}")
        own = "" if sync == "off" else STORE.format(sync=sync)
        where = out / sync
        played, counted, driver = on_sockets(
            day, experiment.head.seed, where, own=own, connections=table.connections, proxied=False, parts=3
        )
        jobs = max(1.0, played.figures["completed"])
        size = sum(path.stat().st_size for path in (where / "state").rglob("journal-*")) / jobs
        cpu = 1000.0 * sum(driver.cpu_s.values()) / jobs
        found |= {
            f"{sync}_p50": counted.intended[50.0], f"{sync}_p99": counted.intended[99.0],
            f"{sync}_cpu_ms": cpu, f"{sync}_bytes": size, f"{sync}_service": played.figures["service"],
        }  # fmt: skip
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
    return Played(found, tables=[("What the store costs", rows)], driver="sockets")


def register() -> None:
    """Make the tables of these plays known to experiment files."""
    for name, table in (("receipts", Receipts), ("old_list", OldList), ("store_cost", Cost)):
        file.register(name, table)
