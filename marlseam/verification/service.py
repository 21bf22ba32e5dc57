"""The service figures of a run: the priority weight earned in time, latencies, and the cost.

Client retries count as part of the request that they repeat. Reports contain the names of the figures, and
experiments compare them. Among the outcomes `deferred` is a rejected request, `aborted` a failed one.
"""

from collections import Counter, defaultdict
from collections.abc import Hashable, Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple, TypeVar

import numpy as np
from numpy.typing import NDArray

from marlseam.records import AttemptEnded, AttemptReceived, GeneratorLagged, ProbeAnswered, TrySent
from marlseam.verification.run_records import RunRecords

Key = TypeVar("Key", bound=Hashable)

WINDOW_MS = 10000.0  # width of the windows of the figure `worst_10s`
MIN_WINDOW_SHARE = 0.3  # of the weight of a mean window; windows of less are ignored as not significant
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
OUTCOMES = ("completed", "deferred", "aborted", "lost", "left", "unsent", "none")


class RequestOutcome(NamedTuple):
    """How a request ended.

    Attributes:
        first: its first try.
        how: one of OUTCOMES: the answer to its last try, "left" if the client left it, "none" without either.
        turnaround_ms: from the intended send of the first try to the answer; None if it was not completed.
    """

    first: TrySent
    how: str
    turnaround_ms: float | None

    @property
    def credit_in_time(self) -> float:
        """Return the priority weight if the request was completed within its latency objective, else 0."""
        in_time = self.turnaround_ms is not None and self.turnaround_ms <= self.first.promised
        return self.first.credit if in_time else 0.0


@dataclass
class WeightShare:
    """The priority weight of some requests, and how much of it was earned within their latency objectives."""

    earned: float = 0.0
    asked: float = 0.0

    def add(self, earned: float, asked: float) -> None:
        """Add the earned and the asked weight of a request."""
        self.earned += earned
        self.asked += asked

    @property
    def share(self) -> float:
        """Return the earned share, in [0, 1]; `asked` must not be 0."""
        return self.earned / self.asked


def request_outcomes(run: RunRecords) -> list[RequestOutcome]:
    """Return the outcome of each request of a run, in the order of their first records."""
    return [_request_outcome(run, tries) for tries in run.tries_by_first.values()]


def _request_outcome(run: RunRecords, tries: Sequence[TrySent]) -> RequestOutcome:
    """Return the outcome of the request with these tries."""
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
    """Return a run's figures by name: shares in [0, 1], latencies and lags in ms, counts.

    Latencies are measured from the intended send of a request's first try.
    """
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
    """Return the weight earned in time, late, and in sum, as shares of the weight of all requests."""
    asked = _asked_weight(outcomes)
    in_time = late = 0.0
    for outcome in outcomes:
        earned = outcome.credit_in_time
        in_time += earned
        if outcome.turnaround_ms is not None and not earned:
            late += outcome.first.late_credit * outcome.first.credit
    return {"service": in_time / asked, "late": late / asked, "value": (in_time + late) / asked}


def _asked_weight(outcomes: Iterable[RequestOutcome]) -> float:
    """Return the weight of all requests; 1 if it is 0, as callers divide by it."""
    return sum(outcome.first.credit for outcome in outcomes) or 1.0


def _weight_by(outcomes: Sequence[RequestOutcome], keys: Sequence[Key]) -> dict[Key, WeightShare]:
    """Return the earned and asked weight by key; `keys` holds a key for each outcome."""
    weights: dict[Key, WeightShare] = defaultdict(WeightShare)
    for outcome, key in zip(outcomes, keys, strict=True):
        weights[key].add(outcome.credit_in_time, outcome.first.credit)
    return weights


def _worst_window_share(outcomes: Sequence[RequestOutcome]) -> float:
    """Return the lowest share earned in any window of WINDOW_MS, by the intended sends of requests.

    Guards against a few requests in the window at the day's end deciding the figure: windows of too little
    weight are ignored.
    """
    windows = _weight_by(outcomes, [int(outcome.first.intended // WINDOW_MS) for outcome in outcomes])
    least_asked = MIN_WINDOW_SHARE * _asked_weight(outcomes) / max(1, len(windows))
    return min((window.share for window in windows.values() if window.asked >= least_asked), default=0.0)


def _wasted_work_share(run: RunRecords) -> float:
    """Return the share of the servers' work that no completed answer came from."""
    all_work = sum(end.work for end in run.of_type(AttemptEnded))
    useful_work = sum(
        _useful_work(run, tried.id) for tried in run.tries.values() if _is_completed(run, tried.id)
    )
    return 1.0 - useful_work / all_work if all_work else 0.0


def _is_completed(run: RunRecords, try_id: str) -> bool:
    """Return whether a try's final answer is `completed`."""
    final = run.final_answer(try_id)
    return final is not None and final.how == "completed"


def _useful_work(run: RunRecords, try_id: str) -> float:
    """Return the work of the attempt that answered a try: the largest among its attempts that were done."""
    done = (
        end for end in run.attempt_ends.get(try_id, ()) if isinstance(end, AttemptEnded) and end.how == "done"
    )
    return max((end.work for end in done), default=0.0)


def _cross_zone_share(run: RunRecords, attempts: Sequence[AttemptReceived]) -> float:
    """Return the share of attempts that went to a server outside the zone of their client."""
    zones: dict[str, str] = run.rules.get("zones", {})
    crossed = sum(
        zones.get(attempt.by, "") != run.tries[attempt.id].zone
        for attempt in attempts
        if attempt.id in run.tries
    )
    return crossed / max(1, len(attempts))


def _completed_latencies_ms(outcomes: Iterable[RequestOutcome]) -> NDArray[np.float64]:
    """Return the latencies of the completed requests in ms, shape (n,); a single 0 if there are none."""
    latencies = [outcome.turnaround_ms for outcome in outcomes if outcome.turnaround_ms is not None]
    return np.array(latencies or [0.0])
