"""`marlseam fleet`: membership and configuration versions of a cluster, its audit, and fault schedule search.

docs/operators/fleet.md explains the printed words and the keys of the nodes' JSON to operators.
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
ACCEPTED = 202  # HTTP status of a request that the node has accepted and carries out later
PUBLICATION_POLL_S = 0.1
SEEDS_PER_TASK = 4  # schedules sent to a worker process at once
CHECKING = "marlseam.cluster.checking"
FAULT_KEYS = ("unfit", "hand", "disk")  # of the status; their values are reasons for being out of service
MEMBER_COLUMNS = ["member", "standing", "since", "heard", "life", "incarnation", "suspected by"]
PEER_COLUMNS = ["member", "version", "acts on", "service", "code", "votes", "told"]


@click.group()
def group() -> None:
    """Show members of a fleet and the versions they act on; publish; audit; search fault schedules."""


group.add_command(audit)


def format_age(age_ms: float | None) -> str:
    """Return an age in ms as text in s, min or h; "never" for None."""
    if age_ms is None:
        return "never"
    seconds = age_ms / 1000.0
    if seconds < MINUTE_S:
        return f"{seconds:.1f} s"
    return f"{seconds / MINUTE_S:.0f} min" if seconds < HOUR_S else f"{seconds / HOUR_S:.1f} h"


@group.command()
@click.option("--at", "addresses", multiple=True, required=True, help="Admin address of a node; may repeat.")
@click.option("--json", "raw", is_flag=True, help="Print the nodes' JSON, one line per node.")
def status(addresses: tuple[str, ...], *, raw: bool) -> None:
    """Show the members of the fleet as each given node sees them.

    Exits with 1 if one of these nodes reports a member with a standing other than `here` (alive).
    """
    statuses = [fleet_status(address) for address in addresses]
    for node_status in statuses:
        if raw:
            click.echo(json.dumps(node_status))
        else:
            print_status(node_status)
    if any(member["standing"] != "here" for status in statuses for member in status["members"]):
        sys.exit(1)


def print_status(status: dict[str, Any]) -> None:
    """Print one node's view of the members, and of the versions if its cluster has any."""
    dropped = sum(status["letters"]["left_out"].values())
    click.echo(
        f"{status['fleet']} as seen by {status['by']}; local health {status['health']} (0 is healthy), "
        f"{dropped} datagrams dropped"
    )
    click.echo(table([MEMBER_COLUMNS, *(member_row(member) for member in status["members"])]))
    if "acting" in status:
        click.echo(versions_text(status["by"], status["acting"]))


def member_row(member: dict[str, Any]) -> list[str]:
    """Return the cells of a member's table row, in the order of MEMBER_COLUMNS."""
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
    """Return the text on the version that a node acts on, and the table of what its peers last reported."""
    if "version" not in versions:
        return f"versions: code={versions['code']}"
    proof_age_ms = versions["proof_age_ms"]
    proof = "not proved" if proof_age_ms is None else f"in force {format_age(proof_age_ms)} ago"
    text = f"\n{node} acts on version {versions['acting']} of {versions['version']}"
    text += f" for {format_age(versions['since_ms'])}, {proof}"
    if versions["local"]:
        text += ", with a local settings file"
    if not versions["serving"] or versions["code"]:
        text += f"; {'in' if versions['serving'] else 'out of'} service code={versions['code']}"
        text += "".join(f" ({versions[key]})" for key in FAULT_KEYS if versions[key])
    text += f"; voters {', '.join(versions['voters'])}"
    peers = [peer_row(name, peer) for name, peer in versions["peers"].items()]
    return "\n".join([text, table([PEER_COLUMNS, *peers])])


def peer_row(name: str, peer: dict[str, Any]) -> list[str]:
    """Return the cells of another node's table row, in the order of PEER_COLUMNS."""
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
    """Initialize FOLDER as the ledger of NODE, which has never run and has promised nothing.

    Without this an empty folder counts as one whose content was lost, and its node does not vote at first.
    """
    try:
        create_ledger(folder, node)
    except FileExistsError:
        raise click.ClickException(
            f"{folder}: there is a ledger already, expected a folder without one"
        ) from None
    except OSError as error:
        raise click.ClickException(f"{folder}: {code_of(error)}: {error.strerror}") from None
    click.echo(f"{folder} is ready for the first start of {node}")


@group.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False, exists=True))
@click.option("--at", "address", required=True, help="Admin address of a node.")
@click.option("--why", required=True, help="Reason for the version, up to 160 characters.")
@click.option(
    "--voters", help="Voters on the version after this one, separated by commas; unchanged by default."
)
@click.option(
    "--member", "added", multiple=True, help="Add a member as NAME=ADDRESS; a version may change one member."
)
@click.option("--remove", "removed", multiple=True, help="Name of a member to remove.")
@click.option("--wait", "wait_s", default=60.0, show_default=True, help="Seconds to wait for the result.")
def publish(
    file: Path,
    address: str,
    why: str,
    voters: str | None,
    added: tuple[str, ...],
    removed: tuple[str, ...],
    wait_s: float,
) -> None:
    """Publish the settings in FILE as the next version, and wait for the result.

    FILE is a node's configuration, or settings alone. Exits with 1 if they did not become a version.
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
    """Return the addresses of the members that a node lists, by name, with the changes applied.

    `added` are texts NAME=ADDRESS, `removed` are names.
    """
    members = dict(fleet_status(address)["addresses"])
    members |= dict(text.partition("=")[::2] for text in added)
    return {name: member_address for name, member_address in members.items() if name not in removed}


def wait_for_publication(address: str, wait_s: float) -> None:
    """Print the result of a publication and exit: with 0 if it became a version, else with 1.

    Raises ClickException if there is no result within `wait_s` seconds.
    """
    deadline_s = time.monotonic() + wait_s
    while time.monotonic() < deadline_s:
        result = fleet_status(address)["acting"]["publication"]
        if result != "open":
            click.echo(result)
            sys.exit(0 if result.startswith("version") else 1)
        time.sleep(PUBLICATION_POLL_S)
    raise click.ClickException(
        f"the publication has no result after {wait_s:g} s; `fleet status --json` shows the result later"
    )


def settings_in(file: Path) -> Any:  # noqa: ANN401 - any JSON of the file; the node checks it
    """Return the settings in a node's configuration, or in a file of settings alone.

    Raises ClickException where the file cannot be read or holds no JSON object.
    """
    try:
        given = json.loads(file.read_text(encoding="utf-8"))
        return given.get("settings", given)
    except (OSError, ValueError, AttributeError) as error:
        raise click.ClickException(f"{file}: expected a JSON object ({error})") from None


def post(address: str, path: str, body: bytes) -> str:
    """Send a command to a node and return its response; raise ClickException unless the status is 202."""
    status, answer = call(address, "POST", path, body)
    if status != ACCEPTED:
        raise click.ClickException(
            answer.decode(errors="replace").strip() or f"{address}: HTTP status {status}, expected 202"
        )
    return answer.decode()


def post_to_node(node: str, address: str, path: str, why: str) -> None:
    """Check that an address is that of `node`, send it a command with a reason, and print the response.

    Raises ClickException where the address is another node's, or the command is not accepted.
    """
    name = fleet_status(address)["by"]
    if name != node:
        raise click.ClickException(f"{address} is the admin address of {name}, expected that of {node}")
    click.echo(post(address, path, why.encode()).strip())


@group.command()
@click.argument("node")
@click.option("--at", "address", required=True, help="Admin address of NODE.")
@click.option("--why", required=True, help="Reason, up to 160 characters.")
def out(node: str, address: str, why: str) -> None:
    """Take NODE out of service until `fleet in`; restarts do not change that."""
    post_to_node(node, address, "/control/fleet/out", why)


@group.command("in")
@click.argument("node")
@click.option("--at", "address", required=True, help="Admin address of NODE.")
def back(node: str, address: str) -> None:
    """Return NODE to service after `fleet out`."""
    post_to_node(node, address, "/control/fleet/in", "")


@group.command()
@click.option(
    "--seeds", default=100, show_default=True, type=click.IntRange(1), help="Number of schedules to play."
)
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option(
    "--nodes", default=7, show_default=True, type=click.IntRange(3, 1000), help="Number of members."
)
@click.option(
    "--versions",
    "module_name",
    flag_value="replication_schedules",
    help="Play schedules of configuration versions in place of membership.",
)
@click.option(
    "--limits",
    "module_name",
    flag_value="quota_schedules",
    help="Play schedules of quota leasing in place of membership.",
)
def hunt(seeds: int, first: int, nodes: int, module_name: str | None) -> None:
    """Search for a fault schedule, played in virtual time, that breaks a bound; exits with 1 if one does.

    Prints for each bound the schedule that came nearest to it, and for each schedule that breaks one a
    minimal part that still does.
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
    """The seed of a fault schedule that was played, and the verdict of the module that played it."""

    seed: int
    verdict: Any


class NearestSchedule(NamedTuple):
    """The share of a bound that the nearest schedule reached, and that schedule's seed."""

    share: float
    seed: int


def play_seeds(module: ModuleType, nodes: int, seeds: range) -> list[PlayedSchedule]:
    """Play the fault schedules of some seeds in one worker process per core; return them in that order."""
    from concurrent.futures import ProcessPoolExecutor

    with ProcessPoolExecutor() as pool:
        verdicts = pool.map(module.play_seed, [nodes] * len(seeds), seeds, chunksize=SEEDS_PER_TASK)
        return [PlayedSchedule(seed, verdict) for seed, verdict in zip(seeds, verdicts, strict=True)]


def nearest_by_bound(played: list[PlayedSchedule]) -> dict[str, NearestSchedule]:
    """Return the schedule that came nearest to each bound, by the bound's name."""
    nearest: dict[str, NearestSchedule] = {}
    for seed, verdict in played:
        for bound, share in verdict.nearest.items():
            candidate = NearestSchedule(share, seed)
            nearest[bound] = max(nearest.get(bound, NearestSchedule(0.0, seed)), candidate)
    return nearest


def print_faults(faults: list[Any]) -> None:
    """Print a fault schedule, one fault per line."""
    from marlseam.cluster.checking.fault_schedules import describe_fault

    for fault in faults:
        click.echo(f"  {describe_fault(fault)}")


@group.command()
@click.option(
    "--depth", default=10, show_default=True, type=click.IntRange(1, 40), help="Largest number of steps."
)
@click.option(
    "--lending", is_flag=True, help="Explore quota leasing between three members in place of agreement."
)
def explore(depth: int, *, lending: bool) -> None:
    """Explore every interleaving of three voters, two operators and one quorum reader, or of quota leasing.

    Exits with 1 if two contents are chosen for one version number, a proof is wrong, or members together may
    use more than their limit. A step is one action of one process. The number of states triples per step.
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
    """Print the number of states found up to a depth."""
    click.echo(f"{depth} steps: {states} states")
