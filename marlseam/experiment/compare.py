"""Compares two runs: differences of figures, each with a bootstrap confidence interval over requests.

Requests are paired if the runs have at least `MIN_COMMON_SHARE` of their requests in common.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

import numpy as np

from marlseam.simulation.random_streams import random_stream

RESAMPLES = 2000  # bootstrap samples per interval
RESAMPLES_AT_ONCE = 50  # bounds the memory of the resampled tables
INTERVAL_PERCENTILES = (2.5, 97.5)  # of a 95% interval
MIN_COMMON_SHARE = 0.9  # share of the larger run's requests that both runs must have to be paired
WEIGHT, EARNED_WEIGHT, TURNAROUND_MS = 0, 1, 2  # columns of a table of requests

Requests = dict[str, tuple[float, float, float]]  # the columns above, by the id of the first try
Figure = Callable[[np.ndarray], np.ndarray]  # takes resamples of shape (resamples, requests, 3)


class IncomparableRunsError(Exception):
    """Two runs that cannot be compared.

    Attributes:
        folder: the folder without a readable run, None if a run has no requests.
    """

    def __init__(self, text: str, folder: Path | None = None) -> None:
        super().__init__(text if folder is None else f"{folder}: {text}")
        self.folder = folder


@dataclass(frozen=True)
class Difference:
    """The difference of two runs in one figure.

    Attributes:
        name: the figure's name.
        first: the figure in the first run.
        second: the figure in the second run.
        low: the lower end of the 95% interval of `second - first`.
        high: the upper end of that interval.
    """

    name: str
    first: float
    second: float
    low: float
    high: float

    @property
    def is_noise(self) -> bool:
        """Whether the interval contains 0, so that the difference is within noise."""
        return self.low <= 0.0 <= self.high


class Differences(NamedTuple):
    """The differences of two runs, and whether their requests were paired."""

    differences: list[Difference]
    is_paired: bool


class Interval(NamedTuple):
    """A mean and its 95% bootstrap interval."""

    mean: float
    low: float
    high: float


def interval(values: np.ndarray, seed: int) -> Interval:
    """Return the mean of values of shape (n,) and its 95% bootstrap interval."""
    random = random_stream(seed, "bootstrap")
    resamples = random.integers(len(values), size=(RESAMPLES, len(values)))
    low, high = np.percentile(values[resamples].mean(axis=1), INTERVAL_PERCENTILES)
    return Interval(float(values.mean()), float(low), float(high))


def read_requests(folder: Path) -> Requests:
    """Return the requests of a run, with NaN as the turnaround of requests that were not completed.

    Raises IncomparableRunsError if the folder has no readable `units.json`.
    """
    try:
        rows = json.loads((folder / "units.json").read_text())
    except (OSError, ValueError):
        raise IncomparableRunsError("contains no readable units.json of a run", folder) from None
    return {
        first_try: (weight, earned, np.nan if turnaround_ms is None else turnaround_ms)
        for first_try, weight, earned, turnaround_ms in rows
    }


def differences(first_folder: Path, second_folder: Path) -> Differences:
    """Return the differences of two runs in all figures of `FIGURES`.

    Raises IncomparableRunsError if a run cannot be read or has no requests.
    """
    runs = (read_requests(first_folder), read_requests(second_folder))
    if not all(runs):
        raise IncomparableRunsError("cannot compare a run whose units.json contains no work units")
    first, second = runs
    common = [first_try for first_try in first if first_try in second]
    is_paired = len(common) >= MIN_COMMON_SHARE * max(len(first), len(second))
    tables = [np.array([run[first_try] for first_try in (common if is_paired else run)]) for run in runs]
    random = random_stream(len(first), "bootstrap")
    resamples = [random.integers(len(table), size=(RESAMPLES, len(table))) for table in tables]
    if is_paired:
        resamples[1] = resamples[0]
    found = [difference(name, figure, tables, resamples) for name, figure in FIGURES.items()]
    return Differences(found, is_paired)


def difference(
    name: str, figure: Figure, tables: list[np.ndarray], resamples: list[np.ndarray]
) -> Difference:
    """Return the difference of two runs in one figure.

    `tables` are the requests of each run, shape (requests, 3); `resamples` are row indices into them.
    """
    first, second = (float(figure(table[None, :, :])[0]) for table in tables)
    resampled_differences = np.concatenate(
        [
            figure(tables[1][resamples[1][i : i + RESAMPLES_AT_ONCE]])
            - figure(tables[0][resamples[0][i : i + RESAMPLES_AT_ONCE]])
            for i in range(0, RESAMPLES, RESAMPLES_AT_ONCE)
        ]
    )
    low, high = np.percentile(resampled_differences, INTERVAL_PERCENTILES)
    return Difference(name, first, second, float(low), float(high))


def earned_share(requests: np.ndarray) -> np.ndarray:
    """Return the share of the priority weight that was earned in time, shape (resamples,)."""
    earned: np.ndarray = requests[:, :, EARNED_WEIGHT].sum(axis=1) / requests[:, :, WEIGHT].sum(axis=1)
    return earned


def completed_share(requests: np.ndarray) -> np.ndarray:
    """Return the share of completed requests, shape (resamples,)."""
    share: np.ndarray = 1.0 - np.isnan(requests[:, :, TURNAROUND_MS]).mean(axis=1)
    return share


def turnaround_percentile(percent: float) -> Figure:
    """Return a figure: a percentile of the turnarounds of completed requests, in ms."""

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
    """Return the comparison of two runs as text for a terminal."""
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
