"""The workload of the play `size_changes`: settings with the quotas of teams, and changes of one quota."""

from typing import Any, NamedTuple

from marlseam.cluster.checking.replication_schedules import MAX_DISK_MS
from marlseam.experiment.sizing.loopback_nodes import node_config
from marlseam.random_source import number as random_number
from marlseam.simulation.model import Count, Positive, Strict

PLANNED_TEAMS = 640  # number of teams that a deployment is planned for
CLUSTER_NAME = "size"
PUBLISHER = "n0"
MAX_VOTERS = 7
WARM_UP_S = 5.0  # time from when all nodes apply the first version until the measurement begins
SETTLE_TIMEOUT_S = 120.0  # after this time, a change that not all nodes have applied counts as missed
FIRST_BURST_INDEX = 1000  # index of a burst's first change; the paced changes before it count from 0

JsonObject = dict[str, Any]


class ChangeSettings(Strict, frozen=True):
    """Table `size_changes` of an experiment file: sizes of the configuration, and its rate of change.

    Attributes:
        teams: the numbers of teams to measure at.
        nodes: the number of simulated nodes, at each size.
        full_nodes: simulated nodes of a further run at `PLANNED_TEAMS`, whose content lists them as members;
            0: no such run.
        full_changes: the number of paced changes in that run, and the number in its burst.
        disorder: teams of a further run whose network reorders datagrams; 0: no such run.
        every_s: seconds between paced changes; the default makes 16,000 a day.
        changes: the number of paced changes.
        burst: the number of changes that are published as fast as the cluster agrees on them.
        idle_s: seconds without changes, before the first paced change.
        real: real nodes on loopback, compared with as many simulated ones; 0: no comparison.
        real_teams: the number of teams in the comparison.
    """

    teams: list[Count]
    nodes: Count = 60
    full_nodes: int = 0
    full_changes: int = 3
    disorder: int = 0
    every_s: Positive = 5.4
    changes: Count = 8
    burst: int = 10
    idle_s: Positive = 8.0
    real: int = 0
    real_teams: Count = PLANNED_TEAMS


class Delays(NamedTuple):
    """Delays of datagrams, of writes to the disk and of the operator's calls, in ms.

    Attributes:
        min_datagram_ms: the smallest delay of a datagram.
        datagram_span_ms: the largest delay of a datagram less the smallest.
        max_disk_ms: the longest time that a write takes.
        operator_ms: time from when a version can be published until the operator's call.
        reorders: whether a datagram may overtake an earlier one from the same sender to the same node.
    """

    min_datagram_ms: float = 0.3
    datagram_span_ms: float = 2.0
    max_disk_ms: float = MAX_DISK_MS
    operator_ms: float = 20.0
    reorders: bool = False


LAN = Delays()
LOOPBACK = Delays(min_datagram_ms=0.02, datagram_span_ms=0.1, max_disk_ms=3.0)


def team_quotas(count: int) -> JsonObject:
    """Return the quotas of `count` teams, by team name."""
    return {
        f"team-{i:03d}": {
            "accelerators": 20 + i % 80,
            "starts": 5 + i % 30,
            "borrow": i % 9,
            "urgent": i % 4 == 0,
            "region": f"r{i % 6}",
        }
        for i in range(count)
    }


def change_one_team(settings: JsonObject, seed: int, change_index: int) -> JsonObject:
    """Return settings in which one team has another quota; `seed` and `change_index` determine the team.

    The new quota of accelerators is 1000 plus `change_index`.
    """
    names = sorted(settings["teams"])
    name = names[random_number(b"change:%d:%d" % (seed, change_index)) % len(names)]
    quota = settings["teams"][name] | {"accelerators": 1000 + change_index}
    return settings | {"teams": settings["teams"] | {name: quota}}


def count_values(document: object) -> int:
    """Return the number of scalar values in a JSON document."""
    if isinstance(document, dict):
        return sum(map(count_values, document.values()))
    if isinstance(document, list):
        return sum(map(count_values, document))
    return 1


def node_settings(nodes: int) -> JsonObject:
    """Return the settings of one node of a cluster of `nodes` nodes, without teams."""
    settings: JsonObject = node_config(PUBLISHER, "", nodes)["settings"]
    return settings


def shared_settings(nodes: int, teams: int) -> JsonObject:
    """Return the settings that all nodes of a cluster share, with the quotas of `teams` teams."""
    shared = {key: value for key, value in node_settings(nodes).items() if key != "zone"}
    return shared | {"teams": team_quotas(teams)}
