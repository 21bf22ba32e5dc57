"""The service figures.

Credit in time over credit asked, and what it cost, with retries counted with their first try.
"""

from collections import Counter, defaultdict

import numpy as np

from marlseam.judge.book import Book
from marlseam.records import Asked, Ended, Lagged, Tried

WINDOW_MS = 10000.0
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def turnarounds(book: Book) -> list[tuple[Tried, str, float | None]]:
    """Return each work unit's first try, its last answer.

    And its turnaround in ms from the intended send if completed.
    """
    found = []
    for tries in book.chains.values():
        first = min(tries, key=lambda t: t.number)
        how, took = "none", None
        for t in tries:
            final = book.final(t.id)
            if final is not None:
                how = final.how
                if how == "completed":
                    took = final.t - first.intended
                    break
            elif book.answers.get(t.id):
                how = book.answers[t.id][0].how
            elif t.id in book.quits:
                how = "left"
        found.append((first, how, took))
    return found


def figures(book: Book) -> dict[str, float]:
    """Return a run's figures by name; shares lie in [0, 1], latencies are in ms from the intended send."""
    rows = turnarounds(book)
    asked = sum(first.credit for first, _, _ in rows) or 1.0
    in_time = late = 0.0
    windows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    types: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for first, _, took in rows:
        good = first.credit if took is not None and took <= first.promised else 0.0
        in_time += good
        if took is not None and not good:
            late += first.late_credit * first.credit
        for table, key in ((windows, int(first.intended // WINDOW_MS)), (types, first.type)):
            table[key][0] += good
            table[key][1] += first.credit
    ends = Counter(how for _, how, _ in rows)
    work = sum(e.work for e in book.of(Ended))
    useful = sum(
        max(
            (e.work for e in book.ends.get(t.id, ()) if isinstance(e, Ended) and e.how == "done"), default=0.0
        )
        for t in book.tries.values()
        if (final := book.final(t.id)) is not None and final.how == "completed"
    )
    sends = [t for rows in book.took.values() for t in rows]
    zones = book.rules.get("zones", {})
    crossed = sum(zones.get(t.by, "") != book.tries[t.id].zone for t in sends if t.id in book.tries)
    completed = np.array([took for _, _, took in rows if took is not None] or [0.0])
    # A window at the day's end that holds little says little.
    full = [good / all for good, all in windows.values() if all >= 0.3 * asked / max(1, len(windows))]
    found = {
        "work_units": float(len(rows)),
        "tries": float(len(book.tries)),
        "service": in_time / asked,
        "late": late / asked,
        "value": (in_time + late) / asked,
        "worst_10s": min(full, default=0.0),
        "worst_type": min((good / all for good, all in types.values()), default=0.0),
        "waste": 1.0 - useful / work if work else 0.0,
        "crossings": crossed / max(1, len(sends)),
        "probes_per_try": len(book.of(Asked)) / max(1, len(book.tries)),
        "allocations_per_try": len(sends) / max(1, len(book.tries)),
        "latency_max": float(completed.max()),
        "lag_max": max((r.most for r in book.of(Lagged)), default=0.0),
        "lagged_seconds": float(len(book.of(Lagged))),
    }
    for how in ("completed", "deferred", "aborted", "lost", "left", "unsent", "none"):
        found[how] = float(ends[how])
    for p in PERCENTILES:
        found[f"latency_p{p:g}"] = float(np.percentile(completed, p))
    for name, (good, all) in types.items():
        found[f"service_{name}"] = good / all
    return found
