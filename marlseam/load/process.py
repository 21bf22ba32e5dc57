"""A generator as a process of its own, which an experiment starts and reads."""

import gc
import json
import sys
import time
from pathlib import Path

from marlseam.load import trace
from marlseam.load.generator import Generator, NodePlace
from marlseam.load.tally import Tally, TallySummary
from marlseam.records import RecordStreams
from marlseam.simulation import faults, plan
from marlseam.simulation.chance import stream
from marlseam.simulation.model import Day

START_DELAY_S = 0.2  # from the ready line to the run's zero, where no zero is handed in


def arrivals_of(day: Day, seed: int) -> list[plan.Arrival]:
    """Return a day's arrivals: drawn from the seed, or read from the trace that it names."""
    if day.load.shape == "trace":
        return trace.load(Path(day.load.trace), day)
    return plan.make(day, seed, faults.surges(faults.schedule(day, seed)))


def summary(tally: Tally) -> TallySummary:
    """Return what a generator counted, as JSON holds it."""
    return {
        "sent": tally.sent,
        "lagged": sorted(tally.lagged),
        "lagged_sends": sum(second.sends for second in tally.lagged.values()),
        "refused": tally.refused,
        "intended": tally.intended.encode().decode(),
        "actual": tally.actual.encode().decode(),
        "lag": tally.lag.encode().decode(),
    }


def serve(
    day: Day,
    seed: int,
    nodes: dict[str, list[str]],
    folder: Path | None,
    now: bool,
    part: str,
    connections: int,
) -> None:
    """Play one part of a day's arrivals; print an empty line when ready, then what was counted.

    `nodes` holds zone and address by name, `folder` takes the records (None: they are dropped), `part` is
    NUMBER/COUNT. The run's zero is shortly after with `now`, else read from standard input.
    """
    number, count = (int(word) for word in part.split("/"))
    arrivals = arrivals_of(day, seed)[number - 1 :: count]
    streams = RecordStreams(folder, "clients")
    writer = streams.of(f"clients-{number}")
    places = {name: NodePlace(zone, address) for name, (zone, address) in nodes.items()}
    generator = Generator(day, arrivals, places, writer, stream(seed, "clients", number), connections)
    print(json.dumps({}), flush=True)
    zero_s = time.monotonic() + START_DELAY_S if now else float(json.loads(sys.stdin.readline())["zero"])
    # Guards against a late send: a collection of all that a long plan holds stops the process for long.
    gc.collect()
    gc.freeze()
    gc.disable()
    tally = generator.run(zero_s)
    if writer.file is not None:
        writer.file.close()
    print(json.dumps(summary(tally)), flush=True)
