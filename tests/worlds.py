"""Small days and their runs in virtual time, for tests of simulation, verification, load, experiments."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from marlseam.core import Reducer
from marlseam.experiment.virtual import VirtualDriver
from marlseam.records import Record, RecordStreams
from marlseam.simulation.model import Day
from marlseam.verification.rules import judge
from marlseam.verification.run_records import RunRecords
from marlseam.verification.service import figures
from marlseam.verification.verdict import Verdict

TYPES: list[dict[str, Any]] = [
    {"name": "lookup", "share": 0.5, "work_ms": 300, "promised_ms": 200, "limit_ms": 5000},
    {
        "name": "build",
        "share": 0.3,
        "work_ms": 600,
        "promised_ms": 600,
        "limit_ms": 8000,
        "slots": [0.7, 0.3],
    },
    {
        "name": "post",
        "share": 0.2,
        "work_ms": 900,
        "promised_ms": 800,
        "limit_ms": 9000,
        "effect": "receipted",
    },
]
KINDS: list[dict[str, Any]] = [
    {"name": "fast", "executors": 4, "speed": 1.8, "warm_s": 3.0},
    {"name": "slow", "executors": 4, "speed": 0.9, "warm_s": 3.0},
]


class DayResult(NamedTuple):
    """The result of a day in virtual time: the verdict and index of the verification, figures, records."""

    verdict: Verdict
    run_records: RunRecords
    figures: dict[str, float]
    records: list[Record]


def day(seconds: float = 12.0, rate: float = 15.0, **tables: Any) -> Day:
    """Return a small day in two zones; `tables` replace whole tables, but `fleet` only its given keys."""
    fleet = {"zones": ["east", "west"], "nodes": 3, "kinds": KINDS, **tables.pop("fleet", {})}
    standard = {"seconds": seconds, "fleet": fleet, "types": TYPES, "load": {"rate": rate}}
    return msgspec.convert(standard | tables, Day)


def run_day(day: Day, seed: int = 1, make_reducer: Callable[[], Reducer] = Reducer) -> DayResult:
    """Run a day in virtual time, with a reducer from `make_reducer` for each node; check its records."""
    streams = RecordStreams(None, "driver")
    VirtualDriver(day, seed, streams, make_reducer).run()
    records = [record for writer in streams.writers.values() for record in writer.records]
    verdict, run_records = judge(records)
    return DayResult(verdict, run_records, figures(run_records), records)
