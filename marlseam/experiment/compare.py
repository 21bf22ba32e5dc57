"""Two runs side by side: differences of figures, each with an interval by the bootstrap over requests.

Requests are paired where both runs had the same ones.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

import numpy as np

from marlseam.simulation.chance import stream

RESAMPLES = 2000
RESAMPLES_AT_ONCE = 50  # which bounds the memory that they take
INTERVAL_PERCENTILES = (2.5, 97.5)
MIN_COMMON_SHARE = 0.9  # of the requests of the longer run, that both have where requests are paired
WEIGHT, EARNED_WEIGHT, TURNAROUND_MS = 0, 1, 2  # columns of a run's requests

Requests = dict[str, tuple[float, float, float]]  # by the id of the first try, the columns above
Figure = Callable[[np.ndarray], np.ndarray]  # of resamples, shape (resamples, requests, 3)


class IncomparableRunsError(Exception):
    """Two folders whose runs cannot be compared.

    Attributes:
        folder: the folder that is at fault, None where the runs do not fit each other.
    """

    def __init__(self, text: str, folder: Path | None = None) -> None:
        super().__init__(text if folder is None else f"{folder}: {text}")
        self.folder = folder


@dataclass(frozen=True)
class Difference:
    """The difference of two runs in one figure.

    Attributes:
        name: the figure's name.
        first: its value in the first run.
        second: its value in the second run.
        low: the lower end of the interval of the second less the first.
        high: its upper end.
    """

    name: str
    first: float
    second: float
    low: float
    high: float

    @property
    def is_noise(self) -> bool:
        """Whether the interval holds 0."""
        return self.low <= 0.0 <= self.high


class Differences(NamedTuple):
    """The differences of two runs, and whether their requests were paired."""

    differences: list[Difference]
    is_paired: bool


class Interval(NamedTuple):
    """A mean and its interval by the bootstrap."""

    mean: float
    low: float
    high: float


def interval(values: np.ndarray, seed: int) -> Interval:
    """Return the mean of some values, shape (n,), and its interval."""
    random = stream(seed, "bootstrap")
    resamples = random.integers(len(values), size=(RESAMPLES, len(values)))
    low, high = np.percentile(values[resamples].mean(axis=1), INTERVAL_PERCENTILES)
    return Interval(float(values.mean()), float(low), float(high))


def read_requests(folder: Path) -> Requests:
    """Return the requests of a run; the turnaround of one that was not completed is NaN."""
    try:
        rows = json.loads((folder / "units.json").read_text())
    except (OSError, ValueError):
        raise IncomparableRunsError("holds no units.json of a run", folder) from None
    return {
        first_try: (weight, earned, np.nan if turnaround_ms is None else turnaround_ms)
        for first_try, weight, earned, turnaround_ms in rows
    }


def differences(first_folder: Path, second_folder: Path) -> Differences:
    """Return the differences of two runs."""
    runs = (read_requests(first_folder), read_requests(second_folder))
    if not all(runs):
        raise IncomparableRunsError("a run without work units cannot be compared")
    first, second = runs
    common = [first_try for first_try in first if first_try in second]
    is_paired = len(common) >= MIN_COMMON_SHARE * max(len(first), len(second))
    tables = [np.array([run[first_try] for first_try in (common if is_paired else run)]) for run in runs]
    random = stream(len(first), "bootstrap")
    resamples = [random.integers(len(table), size=(RESAMPLES, len(table))) for table in tables]
    if is_paired:
        resamples[1] = resamples[0]
    found = [difference(name, figure, tables, resamples) for name, figure in FIGURES.items()]
    return Differences(found, is_paired)


def difference(
    name: str, figure: Figure, tables: list[np.ndarray], resamples: list[np.ndarray]
) -> Difference:
    """Return the difference of two runs in one figure; `tables` hold their requests, shape (requests, 3)."""
    first, second = (float(figure(table[None, :, :])[0]) for table in tables)
    spread = np.concatenate(
        [
            figure(tables[1][resamples[1][i : i + RESAMPLES_AT_ONCE]])
            - figure(tables[0][resamples[0][i : i + RESAMPLES_AT_ONCE]])
            for i in range(0, RESAMPLES, RESAMPLES_AT_ONCE)
        ]
    )
    low, high = np.percentile(spread, INTERVAL_PERCENTILES)
    return Difference(name, first, second, float(low), float(high))


def earned_share(requests: np.ndarray) -> np.ndarray:
    """Return the weight earned in time, as a share of all weight."""
    earned: np.ndarray = requests[:, :, EARNED_WEIGHT].sum(axis=1) / requests[:, :, WEIGHT].sum(axis=1)
    return earned


def completed_share(requests: np.ndarray) -> np.ndarray:
    """Return the share of requests that were completed."""
    share: np.ndarray = 1.0 - np.isnan(requests[:, :, TURNAROUND_MS]).mean(axis=1)
    return share


def turnaround_percentile(percent: float) -> Figure:
    """Return a function for a percentile of the turnarounds of completed requests, in ms."""

    def figure(requests: np.ndarray) -> np.ndarray:
        found: np.ndarray = np.nanpercentile(requests[:, :, TURNAROUND_MS], percent, axis=1)
        return found

    return figure


FIGURES: dict[str, Figure] = {
    "service": earned_share,
    "completed": completed_share,
    "latency_p50": turnaround_percentile(50.0),
    "latency_p90": turnaround_percentile(90.0),
    "latency_p99": turnaround_percentile(99.0),
}


def text(first_folder: Path, second_folder: Path) -> str:
    """Return the comparison of two runs, for people."""
    found, is_paired = differences(first_folder, second_folder)
    how = "the same work units, paired" if is_paired else "different work units, not paired"
    lines = [f"{second_folder} against {first_folder}: {how}; intervals hold 95%"]
    lines.append(f"  {'figure':<14}{'a':>10}{'b':>10}{'b - a':>10}  interval")
    for row in found:
        verdict = "within noise" if row.is_noise else "differs"
        lines.append(
            f"  {row.name:<14}{row.first:>10.4g}{row.second:>10.4g}{row.second - row.first:>+10.3g}  "
            f"[{row.low:+.3g}, {row.high:+.3g}]  {verdict}"
        )
    return "\n".join(lines)
