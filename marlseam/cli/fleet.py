"""`marlseam fleet`: who of a fleet is there and acts on what, versions, the audit.

Searches for what breaks bounds.
"""

import importlib
import json
import sys
import time
from pathlib import Path

import click

from marlseam.cli.audit import audit
from marlseam.cli.door import ask, call
from marlseam.cli.tables import table
from marlseam.store.ledger_writer import first_life
from marlseam.store.state_directory import code_of

AGE_S = (60.0, 3600.0)


@click.group()
def group() -> None:
    """See who of a fleet is there and acts on what; publish versions; search for what breaks its bounds."""


group.add_command(audit)


def aged(ms: float | None) -> str:
    """Return an age for people."""
    if ms is None:
        return "never"
    seconds = ms / 1000.0
    if seconds < AGE_S[0]:
        return f"{seconds:.1f} s"
    return f"{seconds / 60.0:.0f} min" if seconds < AGE_S[1] else f"{seconds / 3600.0:.1f} h"


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
                rows.append(
                    [
                        m["name"],
                        m["standing"],
                        aged(m["since_ms"]),
                        aged(m["heard_ms"]),
                        life,
                        incarnation,
                        ", ".join(m["suspected_by"]),
                    ]
                )
            left_out = sum(row["letters"]["left_out"].values())
            click.echo(
                f"{row['fleet']} as {row['by']} holds it; doubts itself {row['health']}, "
                f"{left_out} letters left out"
            )
            click.echo(table(rows))
            if "acting" in row:
                click.echo(acting_told(row["by"], row["acting"]))
    if any(m["standing"] != "here" for row in told for m in row["members"]):
        sys.exit(1)


def acting_told(by: str, acting: dict) -> str:
    """Return what a node acts on, and what others last told it, for people."""
    if "version" not in acting:
        return f"versions: code={acting['code']}"
    proof = (
        f"in force {aged(acting['proof_age_ms'])} ago" if acting["proof_age_ms"] is not None else "not proved"
    )
    what = f"\n{by} acts on version {acting['acting']} of {acting['version']} for {aged(acting['since_ms'])}"
    what += f", {proof}"
    if acting["local"]:
        what += ", with a file of its own"
    if not acting["serving"] or acting["code"]:
        what += f"; {'in' if acting['serving'] else 'out of'} service code={acting['code']}"
        what += "".join(f" ({acting[key]})" for key in ("unfit", "hand", "disk") if acting[key])
    lines = [what + f"; voters {', '.join(acting['voters'])}"]
    rows = [["member", "version", "acts on", "service", "code", "votes", "told"]]
    for name, peer in acting["peers"].items():
        held = [name, str(peer["version"]), str(peer["acting"]), "in" if peer["serving"] else "out"]
        rows.append([*held, peer["code"], "yes" if peer["votes"] else "no", aged(peer["told_ms"])])
    return "\n".join([*lines, table(rows)])


@group.command()
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
@click.argument("node")
def begin(folder: Path, node: str) -> None:
    """Say that NODE has promised nothing yet: its ledger's FOLDER is empty as it has not lived.

    Without this an empty folder counts as one whose content is lost, and its node does not vote at first.
    """
    try:
        first_life(folder, node)
    except FileExistsError:
        raise click.ClickException(f"{folder}: there is a ledger already") from None
    except OSError as error:
        raise click.ClickException(f"{folder}: {code_of(error)}: {error.strerror}") from None
    click.echo(f"{folder} is ready for the first life of {node}")


@group.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False, exists=True))
@click.option("--at", "address", required=True, help="A node's operators' door.")
@click.option("--why", required=True, help="What it is for, in up to 160 characters.")
@click.option("--voters", help="Who votes on the next one, by commas; else as before.")
@click.option("--member", "added", multiple=True, help="A member more, as NAME=ADDRESS; one step at a time.")
@click.option("--remove", "removed", multiple=True, help="A member less.")
@click.option(
    "--wait", "wait_s", default=60.0, show_default=True, help="Seconds to wait for what comes of it."
)
def publish(
    file: Path,
    address: str,
    why: str,
    voters: str | None,
    added: tuple[str, ...],
    removed: tuple[str, ...],
    wait_s: float,
) -> None:
    """Have the settings in FILE, a node's configuration or its settings alone.

    Agreed on as the next version.
    """
    try:
        given = json.loads(file.read_text(encoding="utf-8"))
        settings = given.get("settings", given)
    except (OSError, ValueError, AttributeError) as error:
        raise click.ClickException(f"{file}: a JSON object was expected ({error})") from None
    body = {"settings": settings, "why": why, "voters": voters.split(",") if voters else None}
    if added or removed:
        members = dict(ask(address)["addresses"])
        members |= dict(text.partition("=")[::2] for text in added)
        body["members"] = {name: at for name, at in members.items() if name not in removed}
    status, text = call(address, "POST", "/control/fleet/publish", json.dumps(body).encode())
    if status != 202:
        raise click.ClickException(text.decode(errors="replace").strip() or f"{address}: {status}")
    end = time.monotonic() + wait_s
    while time.monotonic() < end:
        result = ask(address)["acting"]["publication"]
        if result != "open":
            click.echo(result)
            sys.exit(0 if result.startswith("version") else 1)
        time.sleep(0.1)
    raise click.ClickException(f"nothing came of it in {wait_s:g} s; `fleet status` goes on telling")


def by_hand(node: str, address: str, path: str, why: str) -> None:
    """Have a node shut out or brought back."""
    told = ask(address)
    if told["by"] != node:
        raise click.ClickException(f"{address} is the door of {told['by']}, {node}'s was expected")
    status, text = call(address, "POST", path, why.encode())
    if status != 202:
        raise click.ClickException(text.decode(errors="replace").strip() or f"{address}: {status}")
    click.echo(text.decode().strip())


@group.command()
@click.argument("node")
@click.option("--at", "address", required=True, help="That node's operators' door.")
@click.option("--why", required=True, help="Why, in up to 160 characters.")
def out(node: str, address: str, why: str) -> None:
    """Shut NODE out of service, across restarts, until `fleet in`."""
    by_hand(node, address, "/control/fleet/out", why)


@group.command("in")
@click.argument("node")
@click.option("--at", "address", required=True, help="That node's operators' door.")
def back(node: str, address: str) -> None:
    """Bring NODE back that `fleet out` shut out."""
    by_hand(node, address, "/control/fleet/in", "")


@group.command()
@click.option("--seeds", default=100, show_default=True, type=click.IntRange(1), help="Schedules to play.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--nodes", default=7, show_default=True, type=click.IntRange(3, 1000), help="Members.")
@click.option(
    "--versions", "of", flag_value="replication_schedules", help="Of versions, in place of membership."
)
@click.option("--limits", "of", flag_value="quota_schedules", help="Of a limit shared by lending, likewise.")
def hunt(seeds: int, first: int, nodes: int, of: str | None) -> None:
    """Search schedules of faults, in virtual time, for one that breaks a bound; ends with 1 if one does.

    Prints the schedule that came nearest to each bound, and a shortest one of each that breaks.
    """
    from concurrent.futures import ProcessPoolExecutor

    from marlseam.cluster.checking import membership_schedules as world

    nearest: dict[str, tuple[float, int]] = {}
    broken = []
    kind = importlib.import_module(f"marlseam.cluster.checking.{of or 'membership_schedules'}")
    with ProcessPoolExecutor() as pool:
        for seed, found in zip(
            range(first, first + seeds),
            pool.map(kind.hunted, [nodes] * seeds, range(first, first + seeds), chunksize=4),
            strict=True,
        ):
            for bound, share in found.nearest.items():
                nearest[bound] = max(nearest.get(bound, (0.0, seed)), (share, seed))
            if found.broken:
                broken.append((seed, found))
    for bound, (share, seed) in sorted(nearest.items()):
        click.echo(f"{bound}: nearest {share:.3f} of its bound, seed {seed}")
        for strike in kind.schedule(nodes, seed):
            click.echo(f"  {world.told(strike)}")
    for seed, found in broken:
        click.echo(f"BROKEN by seed {seed}: {found.broken[0]}")
        for strike in world.shrunk(nodes, seed, kind.schedule(nodes, seed), play=kind.play):
            click.echo(f"  {world.told(strike)}")
    click.echo(f"{seeds} schedules of {nodes} members, {len(broken)} break a bound")
    sys.exit(1 if broken else 0)


@group.command()
@click.option("--depth", default=10, show_default=True, type=click.IntRange(1, 40), help="Steps, at most.")
@click.option("--lending", is_flag=True, help="Of a limit lent between three members, in place of agreement.")
def explore(depth: int, lending: bool) -> None:
    """Look at every interleaving of three voters, two operators and one that asks, or of lending.

    Ends with 1 if a number gets two contents, a proof says what is not so, or members may use more than their
    limit. A step is one process's. States grow threefold a step.
    """
    from marlseam.cluster.checking import explore_leasing
    from marlseam.cluster.checking import explore_paxos as agreement

    search = explore_leasing if lending else agreement
    found = search.explore(depth, tell=lambda level, states: click.echo(f"{level} steps: {states} states"))
    for name in found.way:
        click.echo(f"  {name}")
    click.echo(f"{found.states} states, all up to {found.depth} steps" + (": BROKEN" if found.way else ""))
    sys.exit(1 if found.way else 0)
