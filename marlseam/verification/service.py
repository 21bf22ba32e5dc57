"""The service figures of a run: value earned in time over value asked for, and what it cost.

Client retries are counted with the request that they repeat. The names of the figures are written into
reports and compared by experiments.
"""

from collections import Counter, defaultdict
from collections.abc import Hashable, Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple, TypeVar

import numpy as np
from numpy.typing import NDArray

from marlseam.records import AttemptEnded, AttemptReceived, GeneratorLagged, ProbeAnswered, TrySent
from marlseam.verification.book import RunRecords

Key = TypeVar("Key", bound=Hashable)

WINDOW_MS = 10000.0
MIN_WINDOW_SHARE = 0.3  # of a mean window's weight, below which a window says too little to count
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
OUTCOMES = ("completed", "deferred", "aborted", "lost", "left", "unsent", "none")


class RequestOutcome(NamedTuple):
    """How a request ended.

    Attributes:
        first: its first try.
        how: one of OUTCOMES: its last try's answer, "left" where its client went, "none" where nothing came.
        turnaround_ms: from the intended send of the first try to the answer; None if it was not completed.
    """

    first: TrySent
    how: str
    turnaround_ms: float | None

    @property
    def credit_in_time(self) -> float:
        """Return the priority weight that was earned within the latency objective: all or nothing."""
        in_time = self.turnaround_ms is not None and self.turnaround_ms <= self.first.promised
        return self.first.credit if in_time else 0.0


@dataclass
class WeightShare:
    """Priority weight that was earned in time, of the weight that was asked for."""

    earned: float = 0.0
    asked: float = 0.0

    def add(self, earned: float, asked: float) -> None:
        """Count one request."""
        self.earned += earned
        self.asked += asked

    @property
    def share(self) -> float:
        """Return the earned share, in [0, 1]."""
        return self.earned / self.asked


def request_outcomes(run: RunRecords) -> list[RequestOutcome]:
    """Return how each request of a run ended, in the order of their first tries."""
    return [_request_outcome(run, tries) for tries in run.tries_by_first.values()]


def _request_outcome(run: RunRecords, tries: Sequence[TrySent]) -> RequestOutcome:
    """Return how a request ended that was sent with these tries."""
    first = min(tries, key=lambda tried: tried.number)
    how = "none"
    for tried in tries:
        final = run.final_answer(tried.id)
        if final is not None:
            how = final.how
            if how == "completed":
                return RequestOutcome(first, how, final.t - first.intended)
        elif run.answers.get(tried.id):
            how = run.answers[tried.id][0].how
        elif tried.id in run.quits:
            how = "left"
    return RequestOutcome(first, how, None)


def figures(run: RunRecords) -> dict[str, float]:
    """Return a run's figures by name; shares lie in [0, 1], latencies are in ms from the intended send."""
    outcomes = request_outcomes(run)
    by_class = _weight_by(outcomes, [outcome.first.type for outcome in outcomes])
    attempts = [attempt for of_try in run.attempts.values() for attempt in of_try]
    try_count = max(1, len(run.tries))
    lags = run.of_type(GeneratorLagged)
    latencies_ms = _completed_latencies_ms(outcomes)
    ended = Counter(outcome.how for outcome in outcomes)
    found = {
        "work_units": float(len(outcomes)),
        "tries": float(len(run.tries)),
        **_value_figures(outcomes),
        "worst_10s": _worst_window_share(outcomes),
        "worst_type": min((weight.share for weight in by_class.values()), default=0.0),
        "waste": _wasted_work_share(run),
        "crossings": _cross_zone_share(run, attempts),
        "probes_per_try": len(run.of_type(ProbeAnswered)) / try_count,
        "allocations_per_try": len(attempts) / try_count,
        "latency_max": float(latencies_ms.max()),
        "lag_max": max((lag.most for lag in lags), default=0.0),
        "lagged_seconds": float(len(lags)),
    }
    found |= {how: float(ended[how]) for how in OUTCOMES}
    found |= {f"latency_p{p:g}": float(np.percentile(latencies_ms, p)) for p in PERCENTILES}
    return found | {f"service_{name}": weight.share for name, weight in by_class.items()}


def _value_figures(outcomes: Sequence[RequestOutcome]) -> dict[str, float]:
    """Return the weight earned in time, late and both, as shares of the weight asked for."""
    asked = _asked_weight(outcomes)
    in_time = late = 0.0
    for outcome in outcomes:
        earned = outcome.credit_in_time
        in_time += earned
        if outcome.turnaround_ms is not None and not earned:
            late += outcome.first.late_credit * outcome.first.credit
    return {"service": in_time / asked, "late": late / asked, "value": (in_time + late) / asked}


def _asked_weight(outcomes: Iterable[RequestOutcome]) -> float:
    """Return the weight that all requests asked for, 1 where there is none, to divide by."""
    return sum(outcome.first.credit for outcome in outcomes) or 1.0


def _weight_by(outcomes: Sequence[RequestOutcome], keys: Sequence[Key]) -> dict[Key, WeightShare]:
    """Return the earned and asked weight of requests by a key of each."""
    weights: dict[Key, WeightShare] = defaultdict(WeightShare)
    for outcome, key in zip(outcomes, keys, strict=True):
        weights[key].add(outcome.credit_in_time, outcome.first.credit)
    return weights


def _worst_window_share(outcomes: Sequence[RequestOutcome]) -> float:
    """Return the lowest share that was earned in any window of the day, by intended sends.

    Guards against a few requests in a window at the day's end deciding the figure: such windows do not count.
    """
    windows = _weight_by(outcomes, [int(outcome.first.intended // WINDOW_MS) for outcome in outcomes])
    least_asked = MIN_WINDOW_SHARE * _asked_weight(outcomes) / max(1, len(windows))
    return min((window.share for window in windows.values() if window.asked >= least_asked), default=0.0)


def _wasted_work_share(run: RunRecords) -> float:
    """Return the share of the servers' work that went into no completed answer."""
    all_work = sum(end.work for end in run.of_type(AttemptEnded))
    useful_work = sum(
        _useful_work(run, tried.id) for tried in run.tries.values() if _is_completed(run, tried.id)
    )
    return 1.0 - useful_work / all_work if all_work else 0.0


def _is_completed(run: RunRecords, try_id: str) -> bool:
    """Return whether a try's final answer completed it."""
    final = run.final_answer(try_id)
    return final is not None and final.how == "completed"


def _useful_work(run: RunRecords, try_id: str) -> float:
    """Return the work of the one run that answered a try: the largest of those that were done."""
    done = (
        end for end in run.attempt_ends.get(try_id, ()) if isinstance(end, AttemptEnded) and end.how == "done"
    )
    return max((end.work for end in done), default=0.0)


def _cross_zone_share(run: RunRecords, attempts: Sequence[AttemptReceived]) -> float:
    """Return the share of attempts that went to a server of another zone than their client's."""
    zones: dict[str, str] = run.rules.get("zones", {})
    crossed = sum(
        zones.get(attempt.by, "") != run.tries[attempt.id].zone
        for attempt in attempts
        if attempt.id in run.tries
    )
    return crossed / max(1, len(attempts))


def _completed_latencies_ms(outcomes: Iterable[RequestOutcome]) -> NDArray[np.float64]:
    """Return the turnarounds of the completed requests, shape (n,); a single 0 where there is none."""
    latencies = [outcome.turnaround_ms for outcome in outcomes if outcome.turnaround_ms is not None]
    return np.array(latencies or [0.0])
