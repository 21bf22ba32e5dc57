"""The play `fleet_cost`: what membership, versions and the ledger cost a node."""

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
    """The same load with the cluster off and on, in turn.

    Attributes:
        pairs: how often both are played; which is first alternates.
        period_ms: the protocol period of membership.
    """

    pairs: Count = 3
    period_ms: Positive = 1000.0


class CostSample(NamedTuple):
    """What one day cost.

    Attributes:
        cpu_ms: of all nodes, a completed request.
        p99_ms: the latency that one request in a hundred exceeds.
        rules_broken: how often a rule of service was broken.
    """

    cpu_ms: float
    p99_ms: float
    rules_broken: float


class ClusterNodeSettings:
    """Gives the nodes of one day their operators' settings, and each a ledger where the cluster is on."""

    def __init__(self, names: Sequence[str], period_ms: float, out: Path, is_on: bool) -> None:
        """Reserve an address for each node."""
        self._voters = json.dumps(names[:VOTERS])
        self._members = "\n".join(f'{name} = "{free_udp_address()}"' for name in names)
        self._period_ms, self._out, self._is_on = period_ms, out, is_on

    def settings(self, name: str) -> NodeConfiguration:
        """Return what is added to a node's configuration, and its operators' settings as TOML."""
        if not self._is_on:
            return NodeConfiguration({}, "")
        ledger = self._out / "ledgers" / name
        if not ledger.exists():
            create_ledger(ledger, name)
        own = f'[fleet]\nname = "cost"\nperiod_ms = {self._period_ms:g}\nfolder = "{ledger}"\n'
        return NodeConfiguration({}, f"{own}voters = {self._voters}\n[fleet.members]\n{self._members}\n")


def measure_day(day: Day, seed: int, out: Path, nodes: ClusterNodeSettings) -> CostSample:
    """Play a day, and return what it cost."""
    driver = SocketDriver(day, seed, out, SocketOptions(node_configuration=nodes.settings))
    driver.run()
    figures = plays.judge_records(*records.read_folder(out / "records"), driver="sockets").figures
    cpu_ms = 1000.0 * sum(driver.cpu_s.values()) / max(1.0, figures["completed"])
    return CostSample(cpu_ms, figures["latency_p99"], figures["rules_broken"])


def cost_figures(pairs: list[dict[str, CostSample]]) -> dict[str, float]:
    """Return the figures of all pairs under the keys of reports."""
    ratios = sorted(pair[ON].cpu_ms / pair[OFF].cpu_ms for pair in pairs)
    figures = {"rules_broken": sum(sample.rules_broken for pair in pairs for sample in pair.values())}
    figures |= {f"{mode}_p99": sum(pair[mode].p99_ms / len(pairs) for pair in pairs) for mode in pairs[0]}
    figures |= {"cpu_ratio": ratios[len(ratios) // 2], "cpu_ratio_most": ratios[-1]}
    figures["p99_ratio"] = figures["on_p99"] / figures["off_p99"]
    return figures


def pair_row(number: int, pair: dict[str, CostSample]) -> list[str]:
    """Return a pair as a row of the report."""
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
    """Measure CPU time a request and latency, in pairs."""
    table: CostTable = experiment.tables[PLAY]
    day, seed = experiment.day, experiment.head.seed
    names = [name for name, _ in placed_nodes(day)]
    pairs: list[dict[str, CostSample]] = []
    for number in range(1, table.pairs + 1):
        pair: dict[str, CostSample] = {}
        for mode in (OFF, ON) if number % 2 else (ON, OFF):
            show_progress(f"pair {number}, the fleet {mode}")
            folder = out / f"{mode}-{number}"
            shutil.rmtree(folder / "ledgers", ignore_errors=True)
            nodes = ClusterNodeSettings(names, table.period_ms, folder, mode == ON)
            pair[mode] = measure_day(day, seed, folder, nodes)
        pairs.append(pair)
    rows = [TABLE_HEAD, *(pair_row(number, pair) for number, pair in enumerate(pairs, 1))]
    return RunResult(cost_figures(pairs), tables=[("What membership costs", rows)], driver="sockets")
