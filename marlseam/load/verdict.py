"""The merged counts of all generators of a run, and whether the generators kept up with the plan."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from marlseam.load.errors import ConnectionUnavailableError
from marlseam.load.tally import HISTOGRAM_NAMES, LAG_MS, HistogramName, TallySummary, new_histogram

MAX_LAGGED_SHARE = 0.01  # largest share of planned sends delayed by own lag over LAG_MS in a valid run
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


@dataclass(frozen=True)
class MergedCounts:
    """The merged counts of all generators of a run.

    Attributes:
        planned: the number of sends in the plan.
        sent: the number of requests written to a connection; includes retries, and tries sent again on
            another connection.
        intended: latencies from the intended send in ms, by percentile.
        actual: latencies from the actual send in ms, by percentile.
        lag: the generators' own lag in ms, by percentile.
        lagged: the numbers of the seconds in which a generator lagged, counted from the run's zero.
        lagged_share: the number of sends late by own lag over LAG_MS, as a share of the planned sends.
        refused: the number of tries that were not sent, by reason.
        histograms: the full histograms of `intended`, `actual` and `lag`, in microseconds.
    """

    planned: int
    sent: int
    intended: dict[float, float]
    actual: dict[float, float]
    lag: dict[float, float]
    lagged: list[int]
    lagged_share: float
    refused: dict[str, int]
    histograms: dict[HistogramName, HdrHistogram]

    @property
    def is_valid(self) -> bool:
        """Whether the generators sent the planned load: little own lag, and no lack of descriptors."""
        return (
            self.lagged_share <= MAX_LAGGED_SHARE
            and ConnectionUnavailableError.NO_DESCRIPTORS not in self.refused
        )

    def share_over(self, name: HistogramName, limit_ms: float) -> float:
        """Return the share of latencies over a limit in ms in the histogram `name`; 0 if it is empty."""
        histogram = self.histograms[name]
        total = histogram.get_total_count()
        over = sum(
            row.count_added_in_this_iter_step
            for row in histogram.get_recorded_iterator()
            if row.value_iterated_to > limit_ms * 1000.0
        )
        return over / total if total else 0.0


def merge(counts: list[TallySummary], planned: int) -> MergedCounts:
    """Merge the counts of several generators; `planned` is the number of sends in the plan."""
    histograms = {name: new_histogram() for name in HISTOGRAM_NAMES}
    refused: dict[str, int] = {}
    for count in counts:
        for name, histogram in histograms.items():
            histogram.decode_and_add(count[name].encode())
        for reason, unsent in count["refused"].items():
            refused[reason] = refused.get(reason, 0) + unsent
    latencies_ms = {name: _percentiles_ms(histogram) for name, histogram in histograms.items()}
    return MergedCounts(
        planned=planned,
        sent=sum(count["sent"] for count in counts),
        intended=latencies_ms["intended"],
        actual=latencies_ms["actual"],
        lag=latencies_ms["lag"],
        lagged=sorted({second for count in counts for second in count["lagged"]}),
        lagged_share=sum(count["lagged_sends"] for count in counts) / max(1, planned),
        refused=refused,
        histograms=histograms,
    )


def _percentiles_ms(histogram: HdrHistogram) -> dict[float, float]:
    """Return a histogram's values at PERCENTILES in ms, by percentile."""
    return {p: histogram.get_value_at_percentile(p) / 1000.0 for p in PERCENTILES}


def table(counted: MergedCounts) -> str:
    """Return the counts as a text table for display."""
    rows = [f"{counted.sent} requests sent (retries included), {counted.planned} sends planned"]
    rows.append(
        f"{'latency, ms':<24}" + "".join(f"{f'p{p:g}' if p < 100.0 else 'max':>10}" for p in PERCENTILES)
    )
    for name, figures in (
        ("from the intended send", counted.intended),
        ("from the actual send", counted.actual),
        ("generator's own lag", counted.lag),
    ):
        rows.append(f"{name:<24}" + "".join(f"{figures[p]:>10.2f}" for p in PERCENTILES))
    if counted.lagged:
        shown = ", ".join(str(second) for second in counted.lagged[:20])
        rows.append(
            f"own lag over {LAG_MS:g} ms in seconds {shown} of the run: {counted.lagged_share:.2%} of the "
            "planned sends"
        )
    rows += [f"tries not sent, reason {reason}: {unsent}" for reason, unsent in counted.refused.items()]
    if not counted.is_valid:
        rows.append(
            "run not valid: the load generator was the bottleneck, by own lag or lack of file descriptors"
        )
    return "\n".join(rows)
