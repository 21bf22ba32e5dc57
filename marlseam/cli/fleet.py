"""`marlseam fleet`: who of a fleet is there, and a search for what breaks its bounds."""

import http.client
import json
import sys
from collections.abc import Iterable

import click

AGE_S = (60.0, 3600.0)


@click.group()
def group() -> None:
    """See who of a fleet is there; search for what breaks its bounds."""


def ask(address: str) -> dict:
    """Return what a node says at its operators' door."""
    host, _, port = address.rpartition(":")
    try:
        call = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=3.0)
        call.request("GET", "/control/fleet")
        answer = call.getresponse()
        body = answer.read()
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise click.ClickException(f"{address}: {error}") from None
    if answer.status != 200:
        raise click.ClickException(f"{address}: {answer.status}, a node with a door and a fleet was expected")
    return json.loads(body)


def aged(ms: float | None) -> str:
    """Return an age for people."""
    if ms is None:
        return "never"
    seconds = ms / 1000.0
    if seconds < AGE_S[0]:
        return f"{seconds:.1f} s"
    return f"{seconds / 60.0:.0f} min" if seconds < AGE_S[1] else f"{seconds / 3600.0:.1f} h"


def table(rows: Iterable[list[str]]) -> str:
    """Return rows in columns."""
    rows = list(rows)
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = ("  ".join(cell.ljust(w) for cell, w in zip(row, widths, strict=True)).rstrip() for row in rows)
    return "\n".join(lines)


@group.command()
@click.option("--at", "addresses", multiple=True, required=True, help="A node's operators' door; may repeat.")
@click.option("--json", "raw", is_flag=True, help="Print what the nodes say, a line each.")
def status(addresses: tuple[str, ...], raw: bool) -> None:
    """Say who is there, as one node holds it or several do; ends with 1 where any holds one as not here."""
    told = [ask(address) for address in addresses]
    if raw:
        for row in told:
            click.echo(json.dumps(row))
    else:
        for row in told:
            rows = [["member", "standing", "since", "heard", "life", "incarnation", "suspected by"]]
            for m in row["members"]:
                life = "-" if m["life"] is None else str(m["life"])
                if m["former_life"] is not None:
                    life += f" (after {m['former_life']})"
                incarnation = "-" if m["incarnation"] is None else str(m["incarnation"])
                rows.append([m["name"], m["standing"], aged(m["since_ms"]), aged(m["heard_ms"]), life,
                             incarnation, ", ".join(m["suspected_by"])])  # fmt: skip
            left_out = sum(row["letters"]["left_out"].values())
            click.echo(f"{row['fleet']} as {row['by']} holds it; doubts itself {row['health']}, "
                       f"{left_out} letters left out")  # fmt: skip
            click.echo(table(rows))
    if any(m["standing"] != "here" for row in told for m in row["members"]):
        sys.exit(1)


@group.command()
@click.option("--seeds", default=100, show_default=True, type=click.IntRange(1), help="Schedules to play.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--nodes", default=7, show_default=True, type=click.IntRange(3, 1000), help="Members.")
def hunt(seeds: int, first: int, nodes: int) -> None:
    """Search schedules of faults, in virtual time, for one that breaks a bound; ends with 1 if one does.

    Prints the schedule that came nearest to each bound, and a shortest one of each that breaks.
    """
    from concurrent.futures import ProcessPoolExecutor

    from marlseam.fleet import hunt as world

    nearest: dict[str, tuple[float, int]] = {}
    broken = []
    with ProcessPoolExecutor() as pool:
        for seed, found in zip(
            range(first, first + seeds),
            pool.map(world.hunted, [nodes] * seeds, range(first, first + seeds), chunksize=4),
            strict=True,
        ):
            for bound, share in found.nearest.items():
                nearest[bound] = max(nearest.get(bound, (0.0, seed)), (share, seed))
            if found.broken:
                broken.append((seed, found))
    for bound, (share, seed) in sorted(nearest.items()):
        click.echo(f"{bound}: nearest {share:.3f} of its bound, seed {seed}")
        for strike in world.schedule(nodes, seed):
            click.echo(f"  {world.told(strike)}")
    for seed, found in broken:
        click.echo(f"BROKEN by seed {seed}: {found.broken[0]}")
        for strike in world.shrunk(nodes, seed, world.schedule(nodes, seed)):
            click.echo(f"  {world.told(strike)}")
    click.echo(f"{seeds} schedules of {nodes} members, {len(broken)} break a bound")
    sys.exit(1 if broken else 0)


@group.command()
@click.option("--depth", default=10, show_default=True, type=click.IntRange(1, 40), help="Steps, at most.")
def explore(depth: int) -> None:
    """Look at every interleaving of three voters and two operators.

    Ends with 1 if a number gets two contents. A step is one process's: hear a message, begin, take some
    promises, restart. States grow threefold a step.
    """
    from marlseam.fleet import explore as search

    found = search.explore(depth, tell=lambda level, states: click.echo(f"{level} steps: {states} states"))
    for name in found.way:
        click.echo(f"  {name}")
    click.echo(f"{found.states} states, all up to {found.depth} steps" + (": BROKEN" if found.way else ""))
    sys.exit(1 if found.way else 0)
