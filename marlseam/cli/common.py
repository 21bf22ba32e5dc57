"""Functions that command groups share: reading a day, and progress on a terminal."""

import sys
from pathlib import Path

from marlseam.experiment import file
from marlseam.simulation.model import Day, read_day

CLEAR_LINE = "\r\x1b[K"


def load_day(path: Path) -> Day:
    """Return the day of an experiment file, or of a `.json` file as a driver writes it."""
    return read_day(path.read_bytes()) if path.suffix == ".json" else file.load(path).day


def show_progress(text: str, end: bool = False) -> None:
    """Replace the last progress line on standard error by `text`; print nothing if it is no terminal.

    With `end` the line is final: what is printed next goes to a new line.
    """
    if sys.stderr.isatty():
        print(f"{CLEAR_LINE}{text}", end="\n" if end else "", file=sys.stderr, flush=True)
