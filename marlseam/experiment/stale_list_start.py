"""The play `old_list`: all nodes start from an old saved endpoint list while discovery is down."""

import socket
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import numpy as np
from msgspec.structs import replace

from marlseam import records
from marlseam.experiment import file, plays
from marlseam.experiment.durable_state_run import SocketRun, run_on_sockets, state_path, store_settings
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.experiment.virtual import StaleListStart, VirtualDriver
from marlseam.records import RecordStreams
from marlseam.recovery import saved_list
from marlseam.simulation.model import Count, Day, Fault, NotNegative, Positive, Share, Strict, placed_servers
from marlseam.store.disk import Disk
from marlseam.store.file_format import ListStored, encode_record
from marlseam.store.state_directory import StateDirectory
from marlseam.verification.run_records import RunRecords

FIRST_GONE_CELL, FIRST_MOVED_CELL = 9000, 9500  # cells of list entries whose servers are not in the day
LIST_VERSION = 1
SOCKET_FIGURES = (
    "service",
    "late",
    "worst_10s",
    "latency_p99",
    "rules_broken",
    "margin_cold_spared",
    "waste",
)
VIRTUAL_HEAD = (
    "",
    "service",
    "late",
    "worst 10 s",
    "deferred",
    "cold margin, mean",
    "cold margin, most",
    "broken",
)

Figures = dict[str, float]


class StaleListSettings(Strict, frozen=True):
    """Table `old_list` of an experiment file: a saved list and an outage of discovery.

    Attributes:
        age_s: the age of the list, in seconds.
        gone: the share of list entries whose servers are gone.
        reused: the share of list entries whose addresses now belong to other servers.
        down_s: how long discovery is down from the start, in seconds.
        seeds: how many seeds are played in virtual time.
    """

    age_s: Positive = 86400.0
    gone: Share = 0.2
    reused: Share = 0.1
    down_s: NotNegative = 15.0
    seeds: Count = 20

    def entry_count(self, day: Day) -> float:
        """Return how many entries a list has that contains all servers of a day besides its stale entries."""
        return len(placed_servers(day)) / (1.0 - self.gone - self.reused)

    def with_outage(self, day: Day) -> Day:
        """Return a copy of a day in which discovery is down for the first `down_s` seconds."""
        outage = Fault(what="roster_outage", at_s=0.0, for_s=self.down_s)
        return replace(day, troubles=[*day.troubles, outage])


@register_play("old_list")
def old_list(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Start all nodes from an old list with discovery down, and play the same day with discovery up."""
    if experiment.head.driver == "virtual":
        return play_virtual(experiment, show_progress)
    return play_on_sockets(experiment, out, show_progress)


# The play on loopback sockets.


def closed_port() -> int:
    """Return a loopback TCP port on which no process listens; the port is not reserved."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def stale_entries(
    day: Day, addresses: dict[str, str], settings: StaleListSettings
) -> list[dict[str, object]]:
    """Return the entries of an old endpoint list, in discovery's format; `addresses` are by server name.

    The list has an entry for each server of the day, entries of servers that are gone and on whose addresses
    no process listens, and entries of servers that are gone and whose addresses now belong to other servers.
    """
    total = settings.entry_count(day)
    entries: list[dict[str, object]] = [
        {
            "host": server.name,
            "dial": addresses[server.name],
            "site": server.zone,
            "class": server.kind.name,
            "block": server.cell,
        }
        for server in placed_servers(day)
    ]
    live_count = len(entries)
    for i in range(round(total * settings.gone)):
        gone = {"host": f"gone-{i}", "dial": f"127.0.0.1:{closed_port()}", "block": FIRST_GONE_CELL + i}
        entries.append(entries[i % live_count] | gone)
    for i in range(round(total * settings.reused)):
        entries.append(entries[i % live_count] | {"host": f"moved-{i}", "block": FIRST_MOVED_CELL + i})
    return [entry | {"health": "active", "share": 1.0, "born_ms": 0} for entry in entries]


def save_list(path: Path, name: str, entries: list[dict[str, object]], age_s: float) -> None:
    """Create a node's state directory with an endpoint list that was confirmed `age_s` seconds ago."""
    path.mkdir(parents=True)
    now_ms = 1000.0 * time.time()
    stored = ListStored(LIST_VERSION, entries, now_ms - 1000.0 * age_s)
    directory = StateDirectory(Disk(path), name)
    directory.snapshot([encode_record(stored)], now_ms)
    directory.close()


def play_on_sockets(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Play the day with discovery up from the start, then from an old list with discovery down at first."""
    settings: StaleListSettings = experiment.tables["old_list"]
    seed, day = experiment.head.seed, experiment.day
    show_progress("discovery up")
    up = run_on_sockets(day, seed, out / "up")
    show_progress("discovery down, start from an old list")

    def prepare(name: str, addresses: dict[str, str]) -> None:
        entries = stale_entries(day, addresses, settings)
        save_list(state_path(out / "down", name), name, entries, settings.age_s)

    down = run_on_sockets(
        settings.with_outage(day),
        seed,
        out / "down",
        operator_settings=store_settings("durable"),
        before_first_start=prepare,
    )
    rows = [["", "roster up", "roster down, old list"]]
    for name in SOCKET_FIGURES:
        rows.append([name, f"{up.result.figures[name]:.3f}", f"{down.result.figures[name]:.3f}"])
    figures = down.result.figures | socket_figures(up, down, day, settings)
    return RunResult(figures, down.verdict, down.run_records, [("From an old list", rows)], "sockets")


def socket_figures(up: SocketRun, down: SocketRun, day: Day, settings: StaleListSettings) -> Figures:
    """Return the figures that compare the two runs, by the names used in experiment files."""
    up_figures, nodes = up.result.figures, day.fleet.nodes
    back_ms = 1000.0 * settings.down_s
    list_ms = first_list_ms(down.run_records, back_ms)
    return {
        "up_service": up_figures["service"],
        "up_rules_broken": up_figures["rules_broken"],
        "service_lost": up_figures["service"] - down.result.figures["service"],
        "ready_s": max(down.driver.ready_s),
        "list_s": max(list_ms.values()) / 1000.0 if len(list_ms) == nodes else float("inf"),
        "call_peak_a_node": float(peak_calls(down.run_records, back_ms)) / nodes,
    }


def first_list_ms(run_records: RunRecords, since_ms: float) -> dict[str, float]:
    """Return the time from `since_ms` until each node's first successful call of discovery, in ms by node."""
    taken_ms: dict[str, float] = {}
    for call in run_records.of_type(records.EndpointListCalled):
        if call.served and call.t >= since_ms:
            taken_ms.setdefault(call.node, call.t - since_ms)
    return taken_ms


def peak_calls(run_records: RunRecords, since_ms: float) -> int:
    """Return the largest number of calls of discovery in one second of the run, from `since_ms` on."""
    calls = run_records.of_type(records.EndpointListCalled)
    times_ms = [call.t for call in calls if call.t >= since_ms] or [since_ms]
    seconds = np.array(times_ms).astype(int) // 1000
    return int(max(np.bincount(seconds)))


# The play in virtual time.


def play_day(day: Day, seed: int, start: StaleListStart | None) -> Figures:
    """Play one day in virtual time, from an old list if `start` is given; return its figures."""
    streams = RecordStreams(None, "driver")
    VirtualDriver(day, seed, streams, stale_list=start).run()
    kept = (record for writer in streams.writers.values() for record in writer.records)
    return plays.judge_records(kept, [], "virtual").figures


def play_virtual(experiment: Experiment, show_progress: ShowProgress) -> RunResult:
    """Start all nodes of a cluster together, with discovery up and down, over many seeds.

    A list entry whose address now belongs to another server counts as gone.
    """
    settings: StaleListSettings = experiment.tables["old_list"]
    day, seed = experiment.day, experiment.head.seed
    start = stale_start(day, settings)
    down_day = settings.with_outage(day)
    rows = [list(VIRTUAL_HEAD)]
    all_figures: Figures = {}
    with ProcessPoolExecutor() as pool:
        seeds = range(seed, seed + settings.seeds)
        runs = {
            "up": [pool.submit(play_day, day, number, None) for number in seeds],
            "down": [pool.submit(play_day, down_day, number, start) for number in seeds],
        }
        for name, futures in runs.items():
            show_progress(f"virtual days with discovery {name}")
            figures = mean_figures(name, [future.result() for future in futures])
            rows.append(virtual_row(name, figures))
            all_figures |= figures
    all_figures["rules_broken"] = all_figures["up_rules_broken"] + all_figures["down_rules_broken"]
    all_figures["service_lost"] = all_figures["up_service"] - all_figures["down_service"]
    title = f"From an old list, {settings.seeds} seeds"
    return RunResult(all_figures, tables=[(title, rows)], driver="virtual")


def stale_start(day: Day, settings: StaleListSettings) -> StaleListStart:
    """Return how many entries of an old list are gone, and the doubt in each entry by the list's age."""
    gone = round(settings.entry_count(day) * (settings.gone + settings.reused))
    doubt = saved_list.entry_doubt(1000.0 * settings.age_s, saved_list.DepartureRate())
    return StaleListStart(gone, doubt)


def mean_figures(name: str, runs: list[Figures]) -> Figures:
    """Return the means of the runs' figures, the largest cold margin and the sum of broken rules.

    The names of the figures begin with `name` and an underscore.
    """
    figures = {f"{name}_{key}": float(np.mean([run[key] for run in runs])) for key in runs[0]}
    figures[f"{name}_cold_most"] = max(run["margin_cold_spared"] for run in runs)
    figures[f"{name}_rules_broken"] = sum(run["rules_broken"] for run in runs)
    return figures


def virtual_row(name: str, figures: Figures) -> list[str]:
    """Return the row of the runs with discovery up or down (`name`) in the report's table."""
    shares = [f"{figures[f'{name}_{key}']:.4f}" for key in ("service", "late", "worst_10s")]
    margins = [f"{figures[f'{name}_{key}']:.3f}" for key in ("margin_cold_spared", "cold_most")]
    counts = [f"{figures[f'{name}_{key}']:.0f}" for key in ("deferred", "rules_broken")]
    return [f"roster {name}", *shares, counts[0], *margins, counts[1]]


def register() -> None:
    """Register the table of this play for experiment files."""
    file.register("old_list", StaleListSettings)
