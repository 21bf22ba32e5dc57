"""The process of one load generator, which an experiment starts and whose standard output it reads."""

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
from marlseam.simulation.model import Day
from marlseam.simulation.random_streams import random_stream

START_DELAY_S = 0.2  # from the ready line to the run's zero, if the parent sends no zero


def arrivals_of(day: Day, seed: int) -> list[plan.Arrival]:
    """Return a day's arrivals, drawn from the seed or read from the day's trace; raise TraceError."""
    if day.load.shape == "trace":
        return trace.load(Path(day.load.trace), day)
    return plan.make_arrivals(day, seed, faults.surges(faults.schedule(day, seed)))


def summary(tally: Tally) -> TallySummary:
    """Return a tally in the form that is written as JSON."""
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
    """Send one part of a day's arrivals; print an empty JSON object when ready, then the tally as JSON.

    `nodes` maps a node's name to its zone and its address HOST:PORT. `folder` is where records are written
    (None: they are dropped). `part` is NUMBER/COUNT: every COUNT-th arrival, from NUMBER on. With `now` the
    run's zero is START_DELAY_S after the ready line, else a JSON line on standard input has the zero.
    """
    number, count = (int(word) for word in part.split("/"))
    arrivals = arrivals_of(day, seed)[number - 1 :: count]
    streams = RecordStreams(folder, "clients")
    writer = streams.of(f"clients-{number}")
    places = {name: NodePlace(zone, address) for name, (zone, address) in nodes.items()}
    generator = Generator(day, arrivals, places, writer, random_stream(seed, "clients", number), connections)
    print(json.dumps({}), flush=True)
    zero_s = time.monotonic() + START_DELAY_S if now else float(json.loads(sys.stdin.readline())["zero"])
    # Guards against late sends: a garbage collection over all objects of a long plan is a long pause.
    gc.collect()
    gc.freeze()
    gc.disable()
    tally = generator.run(zero_s)
    if writer.file is not None:
        writer.file.close()
    print(json.dumps(summary(tally)), flush=True)
