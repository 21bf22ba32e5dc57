"""Runs on loopback of nodes that may keep durable state and that start with empty state directories."""

import shutil
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Literal, TypedDict, Unpack, cast

from marlseam import records
from marlseam.experiment import plays
from marlseam.experiment.plays import RunResult
from marlseam.experiment.processes import RunFailedError
from marlseam.experiment.sockets import SocketDriver, SocketOptions
from marlseam.load.process import arrivals_of
from marlseam.load.tally import TallySummary
from marlseam.load.verdict import MergedCounts, merge
from marlseam.simulation.model import Day
from marlseam.store.state_directory import create_state
from marlseam.verification.run_records import RunRecords
from marlseam.verification.verdict import Verdict, Violation

ONE_EFFECT_RULE = "no effect twice"
WAIT_MS = 1000.0  # how long a request may wait until its record is durable

Sync = Literal["durable", "written"]


class DriverOptions(TypedDict, total=False):
    """The fields of `SocketOptions` that the plays of durable state set."""

    operator_settings: str
    before_first_start: Callable[[str, dict[str, str]], None]
    before_restart: Callable[[str], None]
    node_module: Callable[[str], str]
    node_environment: Callable[[str], dict[str, str]]
    connection_count: int
    uses_network: bool
    server_process_count: int


@dataclass(frozen=True)
class SocketRun:
    """A finished run on sockets.

    Attributes:
        result: the result of the run, with its figures.
        verdict: the verdict on the rules of service.
        run_records: all records of the run.
        counted: the counts and latencies of the load generators.
        driver: the driver that played the day.
    """

    result: RunResult
    verdict: Verdict
    run_records: RunRecords
    counted: MergedCounts
    driver: SocketDriver

    def double_effects(self) -> list[Violation]:
        """Return the violations of the rule that no request may take effect twice."""
        return [
            violation
            for rule in self.verdict.rules
            if rule.name == ONE_EFFECT_RULE
            for violation in rule.violations
        ]


def store_settings(sync: Sync, wait_ms: float = WAIT_MS) -> str:
    """Return the operator settings that turn a node's store on, as TOML; the driver fills in `{folder}`."""
    return f'[store]\nfolder = "{{folder}}"\nsync = "{sync}"\nwait_ms = {wait_ms:g}\n'


def state_path(out: Path, name: str) -> Path:
    """Return the path of a node's state directory in a run's folder."""
    return out / "state" / name


def run_on_sockets(day: Day, seed: int, out: Path, **options: Unpack[DriverOptions]) -> SocketRun:
    """Play a day on loopback; each node's state directory is empty unless `before_first_start` fills it.

    State directories of an earlier run in `out` are deleted. Raises RunFailedError where the records have no
    verdict.
    """
    shutil.rmtree(out / "state", ignore_errors=True)
    (out / "state").mkdir(parents=True)
    options.setdefault("before_first_start", lambda name, _: create_state(state_path(out, name), name))
    driver = SocketDriver(day, seed, out, SocketOptions(**options))
    tallies = cast(list[TallySummary], driver.run())
    counted = merge(tallies, len(arrivals_of(day, seed)))
    result = plays.judge_records(*records.read_folder(out / "records"), driver="sockets")
    if result.verdict is None or result.run_records is None:
        raise RunFailedError(
            f"the records of the run in {out} have no verdict, expected one from the check of the rules"
        )
    return SocketRun(result, result.verdict, result.run_records, counted, driver)
