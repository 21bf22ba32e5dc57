"""Runs the simulator's nodes: reads batches of events from standard input, writes one reply per batch."""

import gc
import sys
import traceback
from collections.abc import Iterator

from marlseam.simhost import wire
from marlseam.simhost.instance import Instance


def handle(line: str, entries: list[str], now_ms: float, nodes: dict[str, Instance], out: list[str]) -> None:
    """Process one event line with its list entries; an exception of the node becomes a line `give_in`."""
    name, values = wire.parse(line)
    node = wire.required(values, "node")
    parsed = [wire.parse(entry)[1] for entry in entries]
    try:
        if name == "provision":
            seed = wire.integer(values, "nonce64")
            nodes[node] = Instance(node, seed, wire.parse_options(values), now_ms, out)
        elif name == "detach":
            nodes.pop(node, None)
        elif node in nodes:
            nodes[node].now_ms = now_ms
            nodes[node].handle_event(name, values, parsed)
    except wire.MalformedLineError:
        raise
    except Exception as error:
        traceback.print_exc()
        out.append(f"give_in {node} {type(error).__name__}: {error}".replace("\n", " "))


def with_entries(events: list[str]) -> Iterator[tuple[str, list[str]]]:
    """Yield each event line of a batch with the list entries that follow; raises MalformedLineError."""
    i = 0
    while i < len(events):
        line = events[i]
        i += 1
        count = wire.integer(wire.parse(line)[1], "members") if line.startswith("directory_update ") else 0
        entries = events[i : i + count]
        if len(entries) < count or any(not entry.startswith(wire.ENTRY + " ") for entry in entries):
            raise wire.MalformedLineError(f"directory_update: expected {count} entries after it", line)
        i += count
        yield line, entries


def main() -> int:
    """Answer batches until the input ends; return the exit status, 2 after a malformed line."""
    gc.freeze()
    nodes: dict[str, Instance] = {}
    out: list[str] = []
    line = ""
    try:
        for now_ms, events in wire.batches(iter(sys.stdin.readline, "")):
            for line, entries in with_entries(events):
                handle(line, entries, now_ms, nodes, out)
            out.append(wire.ACK)
            sys.stdout.write("\n".join(out) + "\n")
            sys.stdout.flush()
            out.clear()
    except wire.MalformedLineError as error:
        shown = error.line or line
        print(f"marlseam: malformed input line: {shown}\nmarlseam: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
