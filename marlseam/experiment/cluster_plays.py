"""Registers the experiment file tables of the plays on clusters."""

from marlseam.experiment import cluster_cost, cluster_members, cluster_scale, file, replication_plays
from marlseam.experiment.cluster_tables import ClusterTable
from marlseam.simulation.model import Strict

TABLES: dict[str, type[Strict]] = {
    cluster_cost.PLAY: cluster_cost.CostTable,
    cluster_members.PLAY: ClusterTable,
    cluster_scale.PLAY: cluster_scale.ScaleTable,
    replication_plays.AUDIT_PLAY: replication_plays.AuditTable,
    replication_plays.STRAGGLER_PLAY: ClusterTable,
    replication_plays.CUT_PLAY: replication_plays.CutsTable,
}


def register() -> None:
    """Register the tables of these plays for experiment files; the import registers the plays themselves."""
    for play, table in TABLES.items():
        file.register(play, table)
