"""Whether generators kept up, and what they counted, over all their processes."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from marlseam.load.generator import DIGITS, HDR_MOST_US, LAG_MS

LAGGED_MOST = 0.01  # share of sends that a generator's own lag may touch in a valid run
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


@dataclass(frozen=True)
class Counted:
    """What generators counted together: latencies in ms by percentile, the seconds in which they lagged."""

    planned: int
    sent: int
    intended: dict[float, float]
    actual: dict[float, float]
    lag: dict[float, float]
    lagged: list[int]
    lagged_share: float
    refused: dict[str, int]
    histograms: dict[str, HdrHistogram]

    @property
    def valid(self) -> bool:
        """Whether the load was what the plan says."""
        return self.lagged_share <= LAGGED_MOST and "no descriptors" not in self.refused

    def share_over(self, name: str, ms: float) -> float:
        """Return the share of latencies counted from `intended` or `actual` sends that lie over some ms."""
        histogram = self.histograms[name]
        total = histogram.get_total_count()
        over = sum(
            row.count_added_in_this_iter_step
            for row in histogram.get_recorded_iterator()
            if row.value_iterated_to > ms * 1000.0
        )
        return over / total if total else 0.0


def merge(counts: list[dict], planned: int) -> Counted:
    """Put the counts of several generators together; `planned` is how many sends the plan had."""
    whole = {name: HdrHistogram(1, HDR_MOST_US, DIGITS) for name in ("intended", "actual", "lag")}
    refused: dict[str, int] = {}
    for count in counts:
        for name, histogram in whole.items():
            histogram.decode_and_add(count[name].encode())
        for why, number in count["refused"].items():
            refused[why] = refused.get(why, 0) + number
    figures = {
        name: {p: histogram.get_value_at_percentile(p) / 1000.0 for p in PERCENTILES}
        for name, histogram in whole.items()
    }
    return Counted(
        planned=planned,
        sent=sum(count["sent"] for count in counts),
        **figures,
        lagged=sorted({second for count in counts for second in count["lagged"]}),
        lagged_share=sum(count["lagged_sends"] for count in counts) / max(1, planned),
        refused=refused,
        histograms=whole,
    )


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
    if not counted.valid:
        rows.append("not valid: the generator itself was the bottleneck")
    return "\n".join(rows)
