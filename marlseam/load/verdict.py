"""Whether generators kept up, and what they counted, over all their processes."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from marlseam.load.errors import ConnectionUnavailableError
from marlseam.load.tally import HISTOGRAM_NAMES, LAG_MS, HistogramName, TallySummary, new_histogram

MAX_LAGGED_SHARE = 0.01  # of sends in a valid run, that the generator's own lag delayed
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


@dataclass(frozen=True)
class Counted:
    """What generators counted together.

    Attributes:
        planned: how many sends the plan had.
        sent: how many tries were written to a connection, retries included.
        intended: latencies from the intended send in ms, by percentile.
        actual: latencies from the actual send in ms, by percentile.
        lag: the generators' own lag in ms, by percentile.
        lagged: the seconds in which a generator lagged.
        lagged_share: the share of the planned sends that such lag touched.
        refused: how many tries were not sent, by reason.
        histograms: the whole histograms of `intended`, `actual` and `lag`, in microseconds.
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
        """Return whether the load was what the plan says."""
        return (
            self.lagged_share <= MAX_LAGGED_SHARE
            and ConnectionUnavailableError.NO_DESCRIPTORS not in self.refused
        )

    def share_over(self, name: HistogramName, limit_ms: float) -> float:
        """Return the share of latencies, counted from `intended` or `actual` sends, that lie over a limit."""
        histogram = self.histograms[name]
        total = histogram.get_total_count()
        over = sum(
            row.count_added_in_this_iter_step
            for row in histogram.get_recorded_iterator()
            if row.value_iterated_to > limit_ms * 1000.0
        )
        return over / total if total else 0.0


def merge(counts: list[TallySummary], planned: int) -> Counted:
    """Add up the counts of several generators; `planned` is how many sends the plan had."""
    histograms = {name: new_histogram() for name in HISTOGRAM_NAMES}
    refused: dict[str, int] = {}
    for count in counts:
        for name, histogram in histograms.items():
            histogram.decode_and_add(count[name].encode())
        for why, number in count["refused"].items():
            refused[why] = refused.get(why, 0) + number
    latencies_ms = {name: _percentiles_ms(histogram) for name, histogram in histograms.items()}
    return Counted(
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
    """Return the latencies of a histogram in ms, by percentile."""
    return {p: histogram.get_value_at_percentile(p) / 1000.0 for p in PERCENTILES}


def table(counted: Counted) -> str:
    """Return what was counted, for people."""
    rows = [f"{counted.sent} sent of {counted.planned} planned (retries included)"]
    rows.append(
        f"{'latency, ms':<24}" + "".join(f"{f'p{p:g}' if p < 100.0 else 'most':>10}" for p in PERCENTILES)
    )
    for name, figures in (
        ("from the intended send", counted.intended),
        ("from the actual send", counted.actual),
        ("own lag", counted.lag),
    ):
        rows.append(f"{name:<24}" + "".join(f"{figures[p]:>10.2f}" for p in PERCENTILES))
    if counted.lagged:
        shown = ", ".join(str(second) for second in counted.lagged[:20])
        rows.append(f"own lag over {LAG_MS:g} ms in second {shown}: {counted.lagged_share:.2%} of the sends")
    rows += [f"not sent, {why}: {number}" for why, number in counted.refused.items()]
    if not counted.is_valid:
        rows.append("not valid: the generator itself was the bottleneck")
    return "\n".join(rows)
