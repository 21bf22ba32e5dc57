"""Plays that measure more than one day: pause, generator, capacity, scale, policies.

Each registers its own table.
"""

import json
import pstats
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated

import msgspec
import numpy as np
from msgspec import Meta

from marlseam import records
from marlseam.experiment import (
    compare,
    file,
    fleet,
    idempotency_kills,
    plays,
    ready,
    size_changes,
    size_cold,
    size_endpoint_list,
    size_members,
    soak,
    stale_list_start,
    store_cost,
    versions,
)
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.experiment.policies import POLICIES
from marlseam.experiment.processes import ChildProcess
from marlseam.experiment.sockets import LEAD_S, SocketDriver
from marlseam.experiment.virtual import VirtualDriver
from marlseam.load.process import arrivals_of
from marlseam.load.verdict import Counted, merge
from marlseam.records import RecordStreams
from marlseam.simulation.model import Count, Day, Positive, Share, Strict
from marlseam.verification.rules import judge
from marlseam.verification.service import figures

CPUS = 8  # runs side by side


# A generator against stand-in nodes that answer at once.


def against_echo(
    day: Day,
    seed: int,
    out: Path,
    generators: int,
    nodes: int,
    connections: int,
    stalls: list[tuple[float, float]],
) -> Counted:
    """Send a day to stand-in nodes, shared out among generators, and return what they counted."""
    for name in ("records", "logs"):
        (out / name).mkdir(parents=True, exist_ok=True)
    path, where = out / "day.json", out / "nodes.json"
    path.write_bytes(msgspec.json.encode(day))
    words = [word for at, length in stalls for word in ("--stall", str(at), str(length))]
    started = [ChildProcess(["standin", "echo", *words], out / "logs" / "echo.log") for _ in range(nodes)]
    try:
        zone = day.fleet.zones[0]
        addresses = {f"n{i}": (zone, process.line()["node"]) for i, process in enumerate(started)}
        where.write_text(json.dumps(addresses))
        players = []
        for i in range(generators):
            words = ["standin", "load", str(path), "--seed", str(seed), "--nodes", str(where)]
            words += ["--part", f"{i + 1}/{generators}", "--connections", str(connections)]
            words += ["--records", str(out / "records")]
            players.append(ChildProcess(words, out / "logs" / "load.log"))
        echoes, started = list(started), started + players
        for player in players:
            player.line(60.0)
        zero = time.monotonic() + LEAD_S
        for process in (*echoes, *players):
            process.begin(zero)
        limit = day.seconds + 60.0
        counts = [player.line(limit) for player in players]
    finally:
        for process in reversed(started):
            process.end()
    return merge(counts, len(arrivals_of(day, seed)))


class Pause(Strict):
    """A stall of the node in the middle of even sends."""

    at_s: Positive
    for_s: Positive
    over_ms: Positive = 1000.0  # the latency whose share is counted
    connections: Count = 16


@register_play("pause")
def pause(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Stall a stand-in node, and see what share of latencies shows it.

    From the intended and from the actual send.
    """
    table: Pause = experiment.tables["pause"]
    seed, day = experiment.head.seed, experiment.day
    show_progress(f"{day.seconds:g} s of sends")
    counted = against_echo(day, seed, out, 1, 1, table.connections, [(table.at_s, table.for_s)])
    begin, end = 1000.0 * table.at_s, 1000.0 * (table.at_s + table.for_s)
    at = np.array([arrival.at for arrival in arrivals_of(day, seed)])
    expected = float(((at >= begin) & (at < end - table.over_ms)).mean())
    seen, hidden = (counted.share_over(name, table.over_ms) for name in ("intended", "actual"))
    found = {
        "latency_max": counted.intended[100.0],
        "latency_p99": counted.intended[99.0],
        "share_over": seen,
        "share_expected": expected,
        "share_off": abs(seen / expected - 1.0),
        "share_over_actual": hidden,
        "latency_p99_actual": counted.actual[99.0],
        "generator_valid": float(counted.is_valid),
        "lag_p99": counted.lag[99.0],
        "sent": float(counted.sent),
    }
    rows = [["counted from", "p50", "p99", "most", f"share over {table.over_ms:g} ms"]]
    for name, share in (("intended", seen), ("actual", hidden)):
        row = getattr(counted, name)
        rows.append(
            [f"the {name} send", f"{row[50.0]:.1f}", f"{row[99.0]:.1f}", f"{row[100.0]:.1f}", f"{share:.2%}"]
        )
    rows.append(["arithmetic", "", "", f"{1000.0 * table.for_s:.0f}", f"{expected:.2%}"])
    return RunResult(found, tables=[("A stall of the node, ms", rows)], driver="sockets, stand-in node")


class Rates(Strict):
    """Rates to be tried, each in turn until one is not sustained."""

    rates: list[Positive]
    processes: list[Count] = []
    seconds: Positive = 5.0
    lag_ms: Positive = 1.0  # that the 99th percentile of the generator's own lag must stay under
    connections: Count = 32


@register_play("generator")
def generator(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Find the greatest rate that one generator process sustains, and that several do."""
    table: Rates = experiment.tables["generator"]
    rows, found = (
        [["processes", "rate a second", "lag p50, ms", "lag p99, ms", "lag most, ms", "sustained"]],
        {},
    )
    for processes in table.processes or [1]:
        best = 0.0
        for rate in table.rates:
            show_progress(f"{processes} processes at {rate * processes:g} a second")
            load = msgspec.structs.replace(experiment.day.load, rate=rate * processes)
            day = msgspec.structs.replace(experiment.day, seconds=table.seconds, load=load)
            counted = against_echo(
                day, experiment.head.seed, out, processes, processes, table.connections, []
            )
            good = counted.lag[99.0] < table.lag_ms and counted.is_valid
            rows.append(
                [
                    str(processes),
                    f"{rate * processes:g}",
                    *(f"{counted.lag[p]:.3f}" for p in (50.0, 99.0, 100.0)),
                    "yes" if good else "no",
                ]
            )
            if not good:
                break
            best = rate * processes
        found[f"rate_{processes}"] = best
    return RunResult(found, tables=[("What generators sustain", rows)], driver="sockets, stand-in nodes")


# Capacity of one node.


class Capacity(Strict):
    """A search for the greatest rate at which one node keeps its promises."""

    rates: list[Positive]
    seconds: Positive = 6.0
    in_time: Share = 0.99
    connections: Count = 32
    parts: Count = 3  # processes of executors
    profile: bool = True


@register_play("capacity")
def capacity(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Raise the rate step by step until one node on its core no longer keeps its promises.

    Then profile it.
    """
    table: Capacity = experiment.tables["capacity"]
    rows = [
        [
            "rate a second",
            "in time",
            "p50, ms",
            "p99, ms",
            "node's CPU",
            "CPU a job, ms",
            "generator lag p99, ms",
        ]
    ]
    best, found = 0.0, {}
    for rate in table.rates:
        show_progress(f"{rate:g} a second")
        played, counted, cpu = at_rate(experiment, table, rate, out / "steps")
        served, jobs = played.figures["service"], max(1.0, played.figures["completed"])
        rows.append(
            [
                f"{rate:g}",
                f"{served:.4f}",
                f"{counted.intended[50.0]:.2f}",
                f"{counted.intended[99.0]:.2f}",
                f"{cpu / table.seconds:.2f}",
                f"{1000.0 * cpu / jobs:.3f}",
                f"{counted.lag[99.0]:.2f}",
            ]
        )
        if served < table.in_time or not counted.is_valid:
            break
        best = rate
        found = {"cpu_ms_a_job": 1000.0 * cpu / jobs, "latency_p99": counted.intended[99.0]}
    tables = [("One node's capacity", rows)]
    if table.profile:
        show_progress("profile")
        path = out / "node.prof"
        played, _, _ = at_rate(experiment, table, max(50.0, best / 3.0), out / "profile", path)
        tables.append(
            ("Where a job's time goes, under the profiler", profile_rows(path, played.figures["completed"]))
        )
    return RunResult(found | {"rate": best}, tables=tables, driver="sockets")


def at_rate(
    experiment: Experiment, table: Capacity, rate: float, out: Path, profile: Path | None = None
) -> tuple[RunResult, Counted, float]:
    """Play the day at a rate; return its figures, what the generator counted, and the node's CPU seconds."""
    load = msgspec.structs.replace(experiment.day.load, rate=rate)
    day = msgspec.structs.replace(experiment.day, seconds=table.seconds, load=load)
    driver = SocketDriver(day, experiment.head.seed, out, 1, table.connections, False, table.parts, profile)
    counted = merge(driver.run(), len(arrivals_of(day, experiment.head.seed)))
    played = plays.judge_records(*records.read_folder(out / "records"), driver="sockets")
    return played, counted, sum(driver.cpu_s.values())


def profile_rows(path: Path, jobs: float) -> list[list[str]]:
    """Return own time by part of the program, in microseconds a job, and its dearest functions."""
    stats = pstats.Stats(str(path)).stats
    parts: dict[str, tuple[float, list[tuple[float, str]]]] = {}
    for (where, line, name), (_, _, own, _, _) in stats.items():
        part = part_of(where, name)
        total, rows = parts.get(part, (0.0, []))
        shown = f"{Path(where).name}:{line} {name}" if line else name
        parts[part] = (total + own, [*rows, (own, shown)])
    found = [["part", "own time a job, us", "dearest functions"]]
    for part, (total, rows) in sorted(parts.items(), key=lambda item: -item[1][0]):
        if total / jobs < 5e-6:
            continue
        top = ", ".join(f"{name} {1e6 * own / jobs:.0f}" for own, name in sorted(rows, reverse=True)[:4])
        found.append([part, f"{1e6 * total / jobs:.0f}", top])
    return found


def part_of(where: str, name: str) -> str:
    """Return which part of the program a function belongs to."""
    for part in (
        "decisions",
        "core",
        "net/loop",
        "net/connection",
        "net/downstream",
        "net/upstream",
        "net/protocol",
    ):
        if f"marlseam/{part}/" in where or f"marlseam/{part}.py" in where:
            return part
    if "h11" in where:
        return "h11"
    if "poll" in name:
        return "waiting for sockets"
    if any(word in name for word in ("'send' of '_socket", "recv_into", "accept", "connect")):
        return "socket calls"
    return "net, the rest" if "marlseam/net" in where else "Python's own"


# Scale, in virtual time.


class Scale(Strict):
    """How many times the day's fleet and load are played."""

    times: tuple[Count, ...] = (1,)


def times_over(day: Day, k: int) -> Day:
    """Return a day with k times its nodes, executors and load."""
    kinds = [msgspec.structs.replace(kind, executors=kind.executors * k) for kind in day.fleet.kinds]
    fleet = msgspec.structs.replace(day.fleet, kinds=kinds, nodes=day.fleet.nodes * k)
    roster = msgspec.structs.replace(day.roster, calls_per_s=day.roster.calls_per_s * k)
    load = msgspec.structs.replace(day.load, rate=day.load.rate * k)
    return msgspec.structs.replace(day, fleet=fleet, load=load, roster=roster)


@register_play("scale")
def scale(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Play the day at growing sizes in virtual time: rules, wall time, events a second, cost a work unit."""
    table: Scale = experiment.tables["scale"]
    rows = [
        [
            "times",
            "nodes",
            "executors",
            "work units",
            "service",
            "broken",
            "events",
            "wall, s",
            "events a s",
            "us a unit",
        ]
    ]
    found: dict[str, float] = {}
    first: RunResult | None = None
    for k in table.times:
        show_progress(f"{k} times the fleet")
        day = times_over(experiment.day, k)
        streams = RecordStreams(None, "driver")
        began = time.perf_counter()
        driver = VirtualDriver(day, experiment.head.seed, streams)
        driver.run()
        wall = time.perf_counter() - began
        played = plays.judge_records((r for w in streams.writers.values() for r in w.kept), [], "virtual")
        units = played.figures["work_units"]
        found |= {
            f"wall_s_{k}": wall,
            f"speed_{k}": day.seconds / wall,
            f"events_per_s_{k}": driver.events / wall,
            f"us_per_unit_{k}": 1e6 * wall / units,
            f"service_{k}": played.figures["service"],
            f"rules_broken_{k}": played.figures["rules_broken"],
        }
        rows.append(
            [
                str(k),
                str(day.fleet.nodes),
                str(len(driver.hosts)),
                f"{units:.0f}",
                f"{played.figures['service']:.4f}",
                f"{played.figures['rules_broken']:.0f}",
                str(driver.events),
                f"{wall:.1f}",
                f"{driver.events / wall:.0f}",
                f"{1e6 * wall / units:.0f}",
            ]
        )
        first = first or played
    figures_of = first.figures | found
    figures_of["rules_broken"] = sum(
        value for name, value in found.items() if name.startswith("rules_broken_")
    )
    return RunResult(
        figures_of, first.verdict, first.book, [("Growing fleets, virtual time", rows)], "virtual"
    )


# Policies side by side, in virtual time.


class Policies(Strict):
    """How many seeds each policy plays."""

    seeds: Count = 10
    names: list[Annotated[str, Meta(min_length=1)]] = []


def one_run(day: Day, seed: int, name: str) -> dict[str, float]:
    """Play one day by one policy; return its figures."""
    streams = RecordStreams(None, "driver")
    VirtualDriver(day, seed, streams, POLICIES[name]).run()
    verdict, book = judge([r for w in streams.writers.values() for r in w.kept])
    broken = {"rules_broken": float(verdict.violation_count), "judged": float(verdict.is_judged)}
    margins = {"margin_" + rule.name.replace(" ", "_"): rule.margin for rule in verdict.rules}
    return figures(book) | broken | margins


@register_play("policies")
def policies(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Play each policy over many seeds in the same worlds; differences are paired by seed."""
    table: Policies = experiment.tables["policies"]
    names = table.names or list(POLICIES)
    for name in names:
        if name not in POLICIES:
            raise file.FileError(f"policies.names: no policy {name!r}{file.nearest(name, list(POLICIES))}")
    day, seeds = experiment.day, range(experiment.head.seed, experiment.head.seed + table.seeds)
    with ProcessPoolExecutor(CPUS) as pool:
        runs = {name: [pool.submit(one_run, day, seed, name) for seed in seeds] for name in names}
        done = {}
        for name in names:
            show_progress(name)
            done[name] = [run.result() for run in runs[name]]
    columns = ("service", "worst_10s", "worst_type", "probes_per_try", "crossings", "waste")
    rows = [["policy", *columns, "latency p99", "broken", "service less marlseam's (95%)"]]
    found: dict[str, float] = {}
    base = np.array([run["service"] for run in done[names[0]]])
    for name in names:
        mean = {key: float(np.mean([run[key] for run in done[name]])) for key in done[name][0]}
        short = name.split(" (")[0].replace(" ", "_")
        apart, low, high = compare.interval(
            np.array([run["service"] for run in done[name]]) - base, experiment.head.seed
        )
        found |= {f"{short}_service": mean["service"], f"{short}_apart": apart, f"{short}_high": high}
        found[f"{short}_rules_broken"] = sum(run["rules_broken"] for run in done[name])
        shown = "" if name == names[0] else f"{apart:+.3f} [{low:+.3f}, {high:+.3f}]"
        broken = sum(run["rules_broken"] > 0 for run in done[name])
        rows.append(
            [
                name,
                *(f"{mean[c]:.3f}" for c in columns),
                f"{mean['latency_p99']:.0f}",
                f"{broken} of {len(seeds)}",
                shown,
            ]
        )
    own = done[names[0]]
    found |= {key: float(np.mean([run[key] for run in own])) for key in own[0]}
    found |= {key: max(run[key] for run in own) for key in own[0] if key.startswith("margin_")}
    found["rules_broken"] = sum(run["rules_broken"] for run in own)
    found["judged"] = min(run["judged"] for run in own)
    margins = [["rule", "nearest that marlseam came, over all seeds"]]
    margins += [
        [key.removeprefix("margin_").replace("_", " "), f"{found[key]:.3f}"]
        for key in own[0]
        if key.startswith("margin_")
    ]
    tables = [(f"Policies over {len(seeds)} seeds, virtual time", rows), ("Margins", margins)]
    return RunResult(found, tables=tables, driver="virtual")


def register() -> None:
    """Make the tables of these plays known to experiment files; the plays are from the import on."""
    for name, table in (
        ("pause", Pause),
        ("generator", Rates),
        ("capacity", Capacity),
        ("scale", Scale),
        ("policies", Policies),
    ):
        file.register(name, table)
    idempotency_kills.register()
    stale_list_start.register()
    store_cost.register()
    fleet.register()
    versions.register()
    size_endpoint_list.register()
    size_members.register()
    size_changes.register()
    ready.register()
    soak.register()
    size_cold.register()
