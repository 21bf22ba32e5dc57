"""The play `fleet_cost`: CPU time and latency that membership, configuration versions and the ledger cost."""

import json
import shutil
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from marlseam import records
from marlseam.experiment import plays
from marlseam.experiment.cluster_relay import free_udp_address
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import RunResult, ShowProgress, register_play
from marlseam.experiment.sockets import NodeConfiguration, SocketDriver, SocketOptions
from marlseam.simulation.model import Count, Day, Positive, Strict, placed_nodes
from marlseam.store.ledger_writer import create_ledger

PLAY = "fleet_cost"
OFF, ON = "off", "on"
VOTERS = 3
TABLE_HEAD = ["pair", "off: CPU a job, ms", "p99, ms", "on: CPU a job, ms", "p99, ms", "CPU on over off"]


class CostTable(Strict, frozen=True):
    """Table `fleet_cost` of an experiment file: pairs of runs of the same load, with the cluster off and on.

    Attributes:
        pairs: how many pairs of runs are played; the mode that is played first alternates.
        period_ms: the protocol period of membership, in ms.
    """

    pairs: Count = 3
    period_ms: Positive = 1000.0


class CostSample(NamedTuple):
    """Figures of one played day, with the cluster on or off.

    Attributes:
        cpu_ms: CPU time of all nodes per completed request, in ms.
        p99_ms: the 99th percentile of latency, in ms.
        rules_broken: how many violations of rules were found in the records.
    """

    cpu_ms: float
    p99_ms: float
    rules_broken: float


class ClusterNodeSettings:
    """Provides the operator settings of a day's nodes, and creates their ledgers where the cluster is on."""

    def __init__(self, names: Sequence[str], period_ms: float, out: Path, is_on: bool) -> None:
        """Choose a free UDP address for each node; ledgers are created below `out`."""
        self._voters = json.dumps(names[:VOTERS])
        self._members = "\n".join(f'{name} = "{free_udp_address()}"' for name in names)
        self._period_ms, self._out, self._is_on = period_ms, out, is_on

    def settings(self, name: str) -> NodeConfiguration:
        """Return a node's operator settings, empty where the cluster is off; create its ledger if missing."""
        if not self._is_on:
            return NodeConfiguration({}, "")
        ledger = self._out / "ledgers" / name
        if not ledger.exists():
            create_ledger(ledger, name)
        cluster = f'[fleet]\nname = "cost"\nperiod_ms = {self._period_ms:g}\nfolder = "{ledger}"\n'
        return NodeConfiguration({}, f"{cluster}voters = {self._voters}\n[fleet.members]\n{self._members}\n")


def measure_day(day: Day, seed: int, out: Path, nodes: ClusterNodeSettings) -> CostSample:
    """Play a day on sockets, with the cluster on or off as `nodes` sets it, and return its figures."""
    driver = SocketDriver(day, seed, out, SocketOptions(node_configuration=nodes.settings))
    driver.run()
    figures = plays.judge_records(*records.read_folder(out / "records"), driver="sockets").figures
    cpu_ms = 1000.0 * sum(driver.cpu_s.values()) / max(1.0, figures["completed"])
    return CostSample(cpu_ms, figures["latency_p99"], figures["rules_broken"])


def cost_figures(pairs: list[dict[str, CostSample]]) -> dict[str, float]:
    """Return the figures of all pairs, by their names in reports."""
    ratios = sorted(pair[ON].cpu_ms / pair[OFF].cpu_ms for pair in pairs)
    figures = {"rules_broken": sum(sample.rules_broken for pair in pairs for sample in pair.values())}
    figures |= {f"{mode}_p99": sum(pair[mode].p99_ms / len(pairs) for pair in pairs) for mode in pairs[0]}
    figures |= {"cpu_ratio": ratios[len(ratios) // 2], "cpu_ratio_most": ratios[-1]}
    figures["p99_ratio"] = figures["on_p99"] / figures["off_p99"]
    return figures


def pair_row(number: int, pair: dict[str, CostSample]) -> list[str]:
    """Return the row of one pair in the report's table."""
    off, on = pair[OFF], pair[ON]
    ratio = f"{on.cpu_ms / off.cpu_ms:.3f}"
    return [
        str(number),
        f"{off.cpu_ms:.3f}",
        f"{off.p99_ms:.0f}",
        f"{on.cpu_ms:.3f}",
        f"{on.p99_ms:.0f}",
        ratio,
    ]


@register_play(PLAY)
def play_cost(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Measure CPU time per request and latency, in pairs of runs with the cluster off and on."""
    table: CostTable = experiment.tables[PLAY]
    day, seed = experiment.day, experiment.head.seed
    names = [name for name, _ in placed_nodes(day)]
    pairs: list[dict[str, CostSample]] = []
    for number in range(1, table.pairs + 1):
        pair: dict[str, CostSample] = {}
        for mode in (OFF, ON) if number % 2 else (ON, OFF):
            show_progress(f"pair {number}, cluster {mode}")
            folder = out / f"{mode}-{number}"
            shutil.rmtree(folder / "ledgers", ignore_errors=True)
            nodes = ClusterNodeSettings(names, table.period_ms, folder, mode == ON)
            pair[mode] = measure_day(day, seed, folder, nodes)
        pairs.append(pair)
    rows = [TABLE_HEAD, *(pair_row(number, pair) for number, pair in enumerate(pairs, 1))]
    return RunResult(cost_figures(pairs), tables=[("What membership costs", rows)], driver="sockets")
