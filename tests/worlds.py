"""Small days for the tests of world, judge, load and experiments."""

import msgspec

from marlseam.experiment.virtual import VirtualDriver
from marlseam.records import RecordStreams
from marlseam.simulation.model import Day
from marlseam.verification.rules import judge
from marlseam.verification.service import figures

TYPES = [
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
KINDS = [
    {"name": "fast", "executors": 4, "speed": 1.8, "warm_s": 3.0},
    {"name": "slow", "executors": 4, "speed": 0.9, "warm_s": 3.0},
]


def day(seconds=12.0, rate=15.0, **changes):
    """Return a small day in two zones."""
    values = {
        "seconds": seconds,
        "fleet": {"zones": ["east", "west"], "nodes": 3, "kinds": KINDS, **changes.pop("fleet", {})},
        "types": TYPES,
        "load": {"rate": rate},
    }
    return msgspec.convert(values | changes, Day)


def played(held, seed=1, make_core=None):
    """Play a day in virtual time; return verdict, book, figures and records."""
    streams = RecordStreams(None, "driver")
    driver = VirtualDriver(held, seed, streams, *([make_core] if make_core else []))
    driver.run()
    found = [record for writer in streams.writers.values() for record in writer.kept]
    verdict, book = judge(found)
    return verdict, book, figures(book), found
