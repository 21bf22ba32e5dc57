"""What command groups share: a day read from either form of file, and progress on a terminal alone."""

import sys
from pathlib import Path

from marlseam.experiment import file
from marlseam.simulation.model import Day, read_day


def day(path: Path) -> Day:
    """Read a day out of an experiment file, or out of the JSON that a driver writes."""
    return read_day(path.read_bytes()) if path.suffix == ".json" else file.load(path).day


def progress(text: str, end: bool = False) -> None:
    """Show a line of progress on a terminal; say nothing in a pipe."""
    if sys.stderr.isatty():
        print(f"\r\x1b[K{text}", end="\n" if end else "", file=sys.stderr, flush=True)
