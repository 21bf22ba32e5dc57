"""Two runs side by side.

Differences with bootstrapped intervals over work units, paired where both had the same ones.
"""

import json
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from marlseam.simulation.chance import stream

ROUNDS = 2000
INSIDE = (2.5, 97.5)  # percentiles of the interval


class Unlike(Exception):
    """Folders that cannot be compared."""


@dataclass(frozen=True)
class Difference:
    """B less A in one figure, and the interval in which it lies by the bootstrap."""

    name: str
    a: float
    b: float
    low: float
    high: float

    @property
    def noise(self) -> bool:
        """Whether the interval holds no difference at all."""
        return self.low <= 0.0 <= self.high


def interval(differences: np.ndarray, seed: int) -> tuple[float, float, float]:
    """Return the mean of some differences, shape (n,), and its bootstrapped interval."""
    chance = stream(seed, "bootstrap")
    picks = chance.integers(len(differences), size=(ROUNDS, len(differences)))
    low, high = np.percentile(differences[picks].mean(axis=1), INSIDE)
    return float(differences.mean()), float(low), float(high)


def units(folder: Path) -> dict[str, tuple[float, float, float]]:
    """Return credit, credit in time and turnaround of each work unit of a run."""
    try:
        rows = json.loads((folder / "units.json").read_text())
    except (OSError, ValueError):
        raise Unlike(f"{folder}: holds no units.json of a run") from None
    return {first: (credit, good, np.nan if took is None else took) for first, credit, good, took in rows}


def differences(a: Path, b: Path) -> tuple[list[Difference], bool]:
    """Return the differences of two runs, and whether their work units could be paired."""
    one, two = units(a), units(b)
    if not one or not two:
        raise Unlike("a run without work units cannot be compared")
    common = [first for first in one if first in two]
    paired = len(common) >= 0.9 * max(len(one), len(two))
    chance = stream(len(one), "bootstrap")
    sets = [np.array([table[f] for f in (common if paired else table)]) for table in (one, two)]
    picks = [chance.integers(len(rows), size=(ROUNDS, len(rows))) for rows in sets]
    if paired:
        picks[1] = picks[0]
    found = []
    for name, count in FIGURES.items():
        plain = [count(rows[None, :, :])[0] for rows in sets]
        spread = np.concatenate(
            [
                count(sets[1][picks[1][i : i + 50]]) - count(sets[0][picks[0][i : i + 50]])
                for i in range(0, ROUNDS, 50)
            ]
        )
        low, high = np.percentile(spread, INSIDE)
        found.append(Difference(name, float(plain[0]), float(plain[1]), float(low), float(high)))
    return found, paired


def service(rows: np.ndarray) -> np.ndarray:
    """Return credit in time over credit asked of samples, shape (samples, units, 3)."""
    return rows[:, :, 1].sum(axis=1) / rows[:, :, 0].sum(axis=1)


def answered(rows: np.ndarray) -> np.ndarray:
    """Return the share of work units that were completed."""
    return 1.0 - np.isnan(rows[:, :, 2]).mean(axis=1)


def percentile(p: float):  # noqa: ANN201
    """Return a function for a percentile of turnarounds in ms."""
    return lambda rows: np.nanpercentile(rows[:, :, 2], p, axis=1)


FIGURES = {
    "service": service,
    "completed": answered,
    "latency_p50": percentile(50.0),
    "latency_p90": percentile(90.0),
    "latency_p99": percentile(99.0),
}


def text(a: Path, b: Path) -> str:
    """Return the comparison of two runs' folders."""
    found, paired = differences(a, b)
    how = "the same work units, paired" if paired else "different work units, not paired"
    rows = [f"{b} against {a}: {how}; intervals hold 95%"]
    rows.append(f"  {'figure':<14}{'a':>10}{'b':>10}{'b - a':>10}  interval")
    for d in found:
        verdict = "within noise" if d.noise else "differs"
        rows.append(
            f"  {d.name:<14}{d.a:>10.4g}{d.b:>10.4g}{d.b - d.a:>+10.3g}  "
            f"[{d.low:+.3g}, {d.high:+.3g}]  {verdict}"
        )
    return "\n".join(rows)
