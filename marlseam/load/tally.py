"""What a load generator counts: latencies, its own lag, and tries that were not sent, by reason."""

from dataclasses import dataclass, field
from typing import Literal, TypedDict, get_args

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 600_000_000  # highest value of a histogram, 10 minutes
SIGNIFICANT_DIGITS = 3  # precision of a histogram, in decimal digits of a value
LAG_MS = 5.0  # a send later than this by the generator's own lag marks its second as lagged

HistogramName = Literal["intended", "actual", "lag"]
HISTOGRAM_NAMES: tuple[HistogramName, ...] = get_args(HistogramName)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass
class LaggedSecond:
    """A second with sends late by the generator's own lag: the largest lag, and the number of late sends."""

    max_lag_ms: float = 0.0
    sends: int = 0


@dataclass
class Tally:
    """The counts and latency histograms of one generator.

    Attributes:
        intended: latencies from the intended send, in microseconds.
        actual: latencies from the actual send, in microseconds.
        lag: how late the generator sent each arrival by its own lag, in microseconds.
        sent: the number of requests written to a connection; includes retries, and tries sent again on
            another connection.
        lagged: the seconds in which the generator lagged, by the second's number from the run's zero.
        refused: the number of tries that were not sent, by reason.
    """

    intended: HdrHistogram = field(default_factory=new_histogram)
    actual: HdrHistogram = field(default_factory=new_histogram)
    lag: HdrHistogram = field(default_factory=new_histogram)
    sent: int = 0
    lagged: dict[int, LaggedSecond] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)

    def record_lag(self, intended_ms: float, lag_ms: float) -> None:
        """Record by how much a send was late through the generator's own lag."""
        self.lag.record_value(_microseconds(lag_ms))
        if lag_ms > LAG_MS:
            second = self.lagged.setdefault(int(intended_ms // 1000.0), LaggedSecond())
            second.max_lag_ms = max(second.max_lag_ms, lag_ms)
            second.sends += 1

    def record_completed(self, from_intended_ms: float, from_actual_ms: float) -> None:
        """Record the latencies of a completed try, in ms."""
        self.intended.record_value(_microseconds(from_intended_ms))
        self.actual.record_value(_microseconds(from_actual_ms))

    def record_unsent(self, reason: str) -> None:
        """Count a try that was not sent, under its reason."""
        self.refused[reason] = self.refused.get(reason, 0) + 1


def _microseconds(latency_ms: float) -> int:
    """Return a latency in whole microseconds, at least 1, the lowest value of a histogram."""
    return max(1, int(latency_ms * 1000.0))


class TallySummary(TypedDict):
    """A tally as JSON, which a generator prints and an experiment stores.

    `intended`, `actual` and `lag` are histograms in HdrHistogram's encoding, `lagged` has the numbers of the
    lagged seconds, and `lagged_sends` is the number of late sends in them.
    """

    sent: int
    lagged: list[int]
    lagged_sends: int
    refused: dict[str, int]
    intended: str
    actual: str
    lag: str
