"""A generator as a process of its own, which an experiment starts and reads."""

import gc
import json
import sys
import time
from pathlib import Path

from marlseam.load import trace
from marlseam.load.generator import Generator, Tally
from marlseam.records import Streams
from marlseam.world import plan, troubles
from marlseam.world.chance import stream
from marlseam.world.model import Day

LEAD_S = 0.2


def arrivals_of(day: Day, seed: int) -> list[plan.Arrival]:
    """Return a day's arrivals: drawn from the seed, or read from the trace that it names."""
    if day.load.shape == "trace":
        return trace.load(Path(day.load.trace), day)
    return plan.make(day, seed, troubles.surges(troubles.schedule(day, seed)))


def summary(tally: Tally) -> dict:
    """Return what a generator counted, as JSON holds it; histograms are in HdrHistogram's own encoding."""
    return {
        "sent": tally.sent,
        "lagged": sorted(tally.lagged),
        "lagged_sends": sum(int(row[1]) for row in tally.lagged.values()),
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
    """Play one part of a day's arrivals; print an empty line when ready, then what was counted."""
    which, of = (int(number) for number in part.split("/"))
    arrivals = arrivals_of(day, seed)[which - 1 :: of]
    streams = Streams(folder, "clients")
    writer = streams.of(f"clients-{which}")
    where = {name: (zone, address) for name, (zone, address) in nodes.items()}
    generator = Generator(day, arrivals, where, writer, stream(seed, "clients", which), connections)
    print(json.dumps({}), flush=True)
    zero = time.monotonic() + LEAD_S if now else float(json.loads(sys.stdin.readline())["zero"])
    # Guards the intended times: a collection of all that a long plan holds stops the process for long.
    gc.collect()
    gc.freeze()
    gc.disable()
    tally = generator.run(zero)
    if writer.file is not None:
        writer.file.close()
    print(json.dumps(summary(tally)), flush=True)
