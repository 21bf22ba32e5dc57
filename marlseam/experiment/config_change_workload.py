"""The workload of `size_changes`: settings that list teams with quotas, and changes of one team's quota."""

from typing import Any, NamedTuple

from marlseam.cluster.checking.replication_schedules import MAX_DISK_MS
from marlseam.experiment.sizing.loopback_nodes import node_config
from marlseam.random_source import number as random_number
from marlseam.simulation.model import Count, Positive, Strict

PLANNED_TEAMS = 640  # that a deployment is planned for
CLUSTER_NAME = "size"
PUBLISHER = "n0"
MAX_VOTERS = 7
WARM_UP_S = 5.0  # from the first version until counts begin
SETTLE_TIMEOUT_S = 120.0  # after which a change that has not reached all nodes counts as missed
FIRST_BURST_MARK = 1000  # of the changes in a burst; those before are marked from 0

JsonObject = dict[str, Any]


class ChangeSettings(Strict, frozen=True):
    """Table `size_changes` of an experiment file: sizes of the configuration, and how often it changes.

    Attributes:
        teams: numbers of teams to measure at.
        nodes: simulated nodes, at each size.
        full_nodes: simulated nodes of a further run at `PLANNED_TEAMS`, whose content lists them; 0: none.
        full_changes: changes in that run, and as many in its burst.
        disorder: teams of one further run in which datagrams overtake each other; 0: none.
        every_s: seconds between changes; by default 16,000 a day.
        changes: how many at that pace.
        burst: changes that follow each other as fast as they are agreed on.
        idle_s: seconds without changes, before the first.
        real: real nodes on loopback that run the same workload beside as many simulated ones; 0: none.
        real_teams: teams in that comparison.
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
    """How long a datagram, a write to the disk and the operator's next call take, in ms.

    Attributes:
        min_datagram_ms: the least time that a datagram takes.
        datagram_span_ms: by how much it may take longer.
        max_disk_ms: the most that a write takes.
        operator_ms: from when a version can be published until the operator's call comes.
        reorders: whether a datagram may overtake one that its sender sent to the same node before.
    """

    min_datagram_ms: float = 0.3
    datagram_span_ms: float = 2.0
    max_disk_ms: float = MAX_DISK_MS
    operator_ms: float = 20.0
    reorders: bool = False


LAN = Delays()
LOOPBACK = Delays(min_datagram_ms=0.02, datagram_span_ms=0.1, max_disk_ms=3.0)


def team_quotas(count: int) -> JsonObject:
    """Return the quotas of so many teams, by name."""
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


def change_one_team(settings: JsonObject, seed: int, mark: int) -> JsonObject:
    """Return settings in which one team, drawn by seed and mark, has another quota."""
    names = sorted(settings["teams"])
    name = names[random_number(b"change:%d:%d" % (seed, mark)) % len(names)]
    quota = settings["teams"][name] | {"accelerators": 1000 + mark}
    return settings | {"teams": settings["teams"] | {name: quota}}


def count_values(document: object) -> int:
    """Return how many single values a document holds."""
    if isinstance(document, dict):
        return sum(map(count_values, document.values()))
    if isinstance(document, list):
        return sum(map(count_values, document))
    return 1


def node_settings(nodes: int) -> JsonObject:
    """Return the settings of one node of a cluster of so many, without teams."""
    settings: JsonObject = node_config(PUBLISHER, "", nodes)["settings"]
    return settings


def shared_settings(nodes: int, teams: int) -> JsonObject:
    """Return the settings that all nodes of a cluster share, with so many teams."""
    shared = {key: value for key, value in node_settings(nodes).items() if key != "zone"}
    return shared | {"teams": team_quotas(teams)}
