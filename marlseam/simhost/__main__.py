"""Runs the simulator's nodes: batches of events on standard input, one reply for each on standard output."""

import gc
import sys
import traceback
from collections.abc import Iterator

from marlseam.simhost import wire
from marlseam.simhost.instance import Instance


def handle(line: str, entries: list[str], clock: float, nodes: dict[str, Instance], out: list[str]) -> None:
    """Play one event, with the list entries that follow it."""
    name, values = wire.parse(line)
    node = wire.need(values, "node")
    parsed = [wire.parse(entry)[1] for entry in entries]
    try:
        if name == "provision":
            seed = wire.whole(values, "nonce64")
            nodes[node] = Instance(node, seed, wire.options_of(values), clock, out)
        elif name == "detach":
            nodes.pop(node, None)
        elif node in nodes:
            nodes[node].clock = clock
            nodes[node].on(name, values, parsed)
    except wire.MalformedLineError:
        raise
    except Exception as error:
        traceback.print_exc()
        out.append(f"give_in {node} {type(error).__name__}: {error}".replace("\n", " "))


def with_entries(events: list[str]) -> Iterator[tuple[str, list[str]]]:
    """Yield each event's line of a batch with the list entries that follow it."""
    i = 0
    while i < len(events):
        line = events[i]
        i += 1
        count = wire.whole(wire.parse(line)[1], "members") if line.startswith("directory_update ") else 0
        entries = events[i : i + count]
        if len(entries) < count or any(not entry.startswith(wire.ENTRY + " ") for entry in entries):
            raise wire.MalformedLineError(f"{count} entries should follow", line)
        i += count
        yield line, entries


def main() -> int:
    """Answer batches until the input ends."""
    gc.freeze()
    nodes: dict[str, Instance] = {}
    out: list[str] = []
    line = ""
    try:
        for clock, events in wire.batches(iter(sys.stdin.readline, "")):
            for line, entries in with_entries(events):
                handle(line, entries, clock, nodes, out)
            out.append(wire.ACK)
            sys.stdout.write("\n".join(out) + "\n")
            sys.stdout.flush()
            out.clear()
    except wire.MalformedLineError as error:
        shown = error.line or line
        print(f"marlseam: cannot read this line: {shown}\nmarlseam: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
