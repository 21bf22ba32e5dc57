"""`marlseam fleet`: membership and configuration versions of a cluster, its audit, and fault schedule search.

Words printed here and keys of the nodes' JSON are those that operators know; see docs/operators/fleet.md.
"""

import importlib
import json
import sys
import time
from pathlib import Path
from types import ModuleType
from typing import Any, NamedTuple

import click

from marlseam.cli.audit import audit
from marlseam.cli.control_client import call, fleet_status
from marlseam.cli.tables import table
from marlseam.store.errors import code_of
from marlseam.store.ledger_writer import create_ledger

MINUTE_S, HOUR_S = 60.0, 3600.0
ACCEPTED = 202  # HTTP status of a request that is carried out later
PUBLICATION_POLL_S = 0.1
SEEDS_PER_TASK = 4  # schedules that a process of the search is handed at once
CHECKING = "marlseam.cluster.checking"
FAULT_CODES = ("unfit", "hand", "disk")  # keys that say why a node is out of service
MEMBER_COLUMNS = ["member", "standing", "since", "heard", "life", "incarnation", "suspected by"]
PEER_COLUMNS = ["member", "version", "acts on", "service", "code", "votes", "told"]


@click.group()
def group() -> None:
    """See who of a fleet is there and acts on what; publish versions; search for what breaks its bounds."""


group.add_command(audit)


def format_age(age_ms: float | None) -> str:
    """Return an age as people read it."""
    if age_ms is None:
        return "never"
    seconds = age_ms / 1000.0
    if seconds < MINUTE_S:
        return f"{seconds:.1f} s"
    return f"{seconds / MINUTE_S:.0f} min" if seconds < HOUR_S else f"{seconds / HOUR_S:.1f} h"


@group.command()
@click.option("--at", "addresses", multiple=True, required=True, help="A node's operators' door; may repeat.")
@click.option("--json", "raw", is_flag=True, help="Print what the nodes say, a line each.")
def status(addresses: tuple[str, ...], *, raw: bool) -> None:
    """Say who is there, as one node holds it or several do; ends with 1 where any holds one as not here."""
    statuses = [fleet_status(address) for address in addresses]
    for node_status in statuses:
        if raw:
            click.echo(json.dumps(node_status))
        else:
            print_status(node_status)
    if any(member["standing"] != "here" for status in statuses for member in status["members"]):
        sys.exit(1)


def print_status(status: dict[str, Any]) -> None:
    """Print one node's status."""
    dropped = sum(status["letters"]["left_out"].values())
    click.echo(
        f"{status['fleet']} as {status['by']} holds it; doubts itself {status['health']}, "
        f"{dropped} letters left out"
    )
    click.echo(table([MEMBER_COLUMNS, *(member_row(member) for member in status["members"])]))
    if "acting" in status:
        click.echo(versions_text(status["by"], status["acting"]))


def member_row(member: dict[str, Any]) -> list[str]:
    """Return a member's row of the table."""
    generation = "-" if member["life"] is None else str(member["life"])
    if member["former_life"] is not None:
        generation += f" (after {member['former_life']})"
    return [
        member["name"],
        member["standing"],
        format_age(member["since_ms"]),
        format_age(member["heard_ms"]),
        generation,
        "-" if member["incarnation"] is None else str(member["incarnation"]),
        ", ".join(member["suspected_by"]),
    ]


def versions_text(node: str, versions: dict[str, Any]) -> str:
    """Return what a node acts on, and what others last told it, as people read it."""
    if "version" not in versions:
        return f"versions: code={versions['code']}"
    proof_age_ms = versions["proof_age_ms"]
    proof = "not proved" if proof_age_ms is None else f"in force {format_age(proof_age_ms)} ago"
    text = f"\n{node} acts on version {versions['acting']} of {versions['version']}"
    text += f" for {format_age(versions['since_ms'])}, {proof}"
    if versions["local"]:
        text += ", with a file of its own"
    if not versions["serving"] or versions["code"]:
        text += f"; {'in' if versions['serving'] else 'out of'} service code={versions['code']}"
        text += "".join(f" ({versions[key]})" for key in FAULT_CODES if versions[key])
    text += f"; voters {', '.join(versions['voters'])}"
    peers = [peer_row(name, peer) for name, peer in versions["peers"].items()]
    return "\n".join([text, table([PEER_COLUMNS, *peers])])


def peer_row(name: str, peer: dict[str, Any]) -> list[str]:
    """Return another node's row of the table of versions."""
    return [
        name,
        str(peer["version"]),
        str(peer["acting"]),
        "in" if peer["serving"] else "out",
        peer["code"],
        "yes" if peer["votes"] else "no",
        format_age(peer["told_ms"]),
    ]


@group.command()
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
@click.argument("node")
def begin(folder: Path, node: str) -> None:
    """Say that NODE has promised nothing yet: its ledger's FOLDER is empty as it has not lived.

    Without this an empty folder counts as one whose content is lost, and its node does not vote at first.
    """
    try:
        create_ledger(folder, node)
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
    body: dict[str, Any] = {
        "settings": settings_in(file),
        "why": why,
        "voters": voters.split(",") if voters else None,
    }
    if added or removed:
        body["members"] = changed_members(address, added, removed)
    post(address, "/control/fleet/publish", json.dumps(body).encode())
    wait_for_publication(address, wait_s)


def changed_members(address: str, added: tuple[str, ...], removed: tuple[str, ...]) -> dict[str, str]:
    """Return the members that a node knows, by name with their addresses, after a change."""
    members = dict(fleet_status(address)["addresses"])
    members |= dict(text.partition("=")[::2] for text in added)
    return {name: member_address for name, member_address in members.items() if name not in removed}


def wait_for_publication(address: str, wait_s: float) -> None:
    """Print what came of a publication, and end with 1 where it is no version."""
    deadline_s = time.monotonic() + wait_s
    while time.monotonic() < deadline_s:
        result = fleet_status(address)["acting"]["publication"]
        if result != "open":
            click.echo(result)
            sys.exit(0 if result.startswith("version") else 1)
        time.sleep(PUBLICATION_POLL_S)
    raise click.ClickException(f"nothing came of it in {wait_s:g} s; `fleet status` goes on telling")


def settings_in(file: Path) -> Any:  # noqa: ANN401 - whatever JSON the file holds; the node checks it
    """Return the settings in a node's configuration, or in a file of settings alone."""
    try:
        given = json.loads(file.read_text(encoding="utf-8"))
        return given.get("settings", given)
    except (OSError, ValueError, AttributeError) as error:
        raise click.ClickException(f"{file}: a JSON object was expected ({error})") from None


def post(address: str, path: str, body: bytes) -> str:
    """Send a command to a node; return its answer. Raises ClickException where it does not accept it."""
    status, answer = call(address, "POST", path, body)
    if status != ACCEPTED:
        raise click.ClickException(answer.decode(errors="replace").strip() or f"{address}: {status}")
    return answer.decode()


def post_to_node(node: str, address: str, path: str, why: str) -> None:
    """Send a command to a node, after a check that the address is its own, and print the answer."""
    name = fleet_status(address)["by"]
    if name != node:
        raise click.ClickException(f"{address} is the door of {name}, {node}'s was expected")
    click.echo(post(address, path, why.encode()).strip())


@group.command()
@click.argument("node")
@click.option("--at", "address", required=True, help="That node's operators' door.")
@click.option("--why", required=True, help="Why, in up to 160 characters.")
def out(node: str, address: str, why: str) -> None:
    """Shut NODE out of service, across restarts, until `fleet in`."""
    post_to_node(node, address, "/control/fleet/out", why)


@group.command("in")
@click.argument("node")
@click.option("--at", "address", required=True, help="That node's operators' door.")
def back(node: str, address: str) -> None:
    """Bring NODE back that `fleet out` shut out."""
    post_to_node(node, address, "/control/fleet/in", "")


@group.command()
@click.option("--seeds", default=100, show_default=True, type=click.IntRange(1), help="Schedules to play.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--nodes", default=7, show_default=True, type=click.IntRange(3, 1000), help="Members.")
@click.option(
    "--versions",
    "module_name",
    flag_value="replication_schedules",
    help="Of versions, in place of membership.",
)
@click.option(
    "--limits", "module_name", flag_value="quota_schedules", help="Of a limit shared by lending, likewise."
)
def hunt(seeds: int, first: int, nodes: int, module_name: str | None) -> None:
    """Search schedules of faults, in virtual time, for one that breaks a bound; ends with 1 if one does.

    Prints the schedule that came nearest to each bound, and a shortest one of each that breaks.
    """
    from marlseam.cluster.checking.fault_schedules import shrink

    module = importlib.import_module(f"{CHECKING}.{module_name or 'membership_schedules'}")
    played = play_seeds(module, nodes, range(first, first + seeds))
    for bound, nearest in sorted(nearest_by_bound(played).items()):
        click.echo(f"{bound}: nearest {nearest.share:.3f} of its bound, seed {nearest.seed}")
        print_faults(module.schedule(nodes, nearest.seed))
    violating = [schedule for schedule in played if schedule.verdict.violations]
    for seed, verdict in violating:
        click.echo(f"BROKEN by seed {seed}: {verdict.violations[0]}")
        print_faults(shrink(nodes, seed, module.schedule(nodes, seed), play=module.play))
    click.echo(f"{seeds} schedules of {nodes} members, {len(violating)} break a bound")
    sys.exit(1 if violating else 0)


class PlayedSchedule(NamedTuple):
    """A schedule of faults that was played: its seed, and the verdict of the module that played it."""

    seed: int
    verdict: Any


class NearestSchedule(NamedTuple):
    """The schedule that came nearest to a bound: the share of the bound, and its seed."""

    share: float
    seed: int


def play_seeds(module: ModuleType, nodes: int, seeds: range) -> list[PlayedSchedule]:
    """Play the schedules of seeds on all cores."""
    from concurrent.futures import ProcessPoolExecutor

    with ProcessPoolExecutor() as pool:
        verdicts = pool.map(module.play_seed, [nodes] * len(seeds), seeds, chunksize=SEEDS_PER_TASK)
        return [PlayedSchedule(seed, verdict) for seed, verdict in zip(seeds, verdicts, strict=True)]


def nearest_by_bound(played: list[PlayedSchedule]) -> dict[str, NearestSchedule]:
    """Return for each bound the schedule that came nearest to it."""
    nearest: dict[str, NearestSchedule] = {}
    for seed, verdict in played:
        for bound, share in verdict.nearest.items():
            candidate = NearestSchedule(share, seed)
            nearest[bound] = max(nearest.get(bound, NearestSchedule(0.0, seed)), candidate)
    return nearest


def print_faults(faults: list[Any]) -> None:
    """Print a schedule, a fault a line."""
    from marlseam.cluster.checking.fault_schedules import describe_fault

    for fault in faults:
        click.echo(f"  {describe_fault(fault)}")


@group.command()
@click.option("--depth", default=10, show_default=True, type=click.IntRange(1, 40), help="Steps, at most.")
@click.option("--lending", is_flag=True, help="Of a limit lent between three members, in place of agreement.")
def explore(depth: int, *, lending: bool) -> None:
    """Look at every interleaving of three voters, two operators and one that asks, or of lending.

    Ends with 1 if a number gets two contents, a proof says what is not so, or members may use more than their
    limit. A step is one process's. States grow threefold a step.
    """
    from marlseam.cluster.checking import explore_leasing, explore_paxos

    if lending:
        found = explore_leasing.explore(depth, report=print_level)
    else:
        found = explore_paxos.explore(depth, report=print_level)
    for name in found.path:
        click.echo(f"  {name}")
    click.echo(f"{found.states} states, all up to {found.depth} steps" + (": BROKEN" if found.path else ""))
    sys.exit(1 if found.path else 0)


def print_level(depth: int, states: int) -> None:
    """Print how far a search is."""
    click.echo(f"{depth} steps: {states} states")
