"""What command groups share: a day read from either form of file, and progress on a terminal alone."""

import sys
from pathlib import Path

from marlseam.experiment import file
from marlseam.simulation.model import Day, read_day

CLEAR_LINE = "\r\x1b[K"


def load_day(path: Path) -> Day:
    """Return the day in an experiment file, or in the JSON that a driver writes."""
    return read_day(path.read_bytes()) if path.suffix == ".json" else file.load(path).day


def show_progress(text: str, end: bool = False) -> None:
    """Show a line of progress in the place of the last one; show nothing where no terminal is."""
    if sys.stderr.isatty():
        print(f"{CLEAR_LINE}{text}", end="\n" if end else "", file=sys.stderr, flush=True)
