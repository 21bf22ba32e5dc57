"""Makes the plays of a cluster known to experiment files, and keeps former names for other modules."""

from marlseam.experiment import cluster_cost, cluster_members, cluster_scale, file
from marlseam.experiment.cluster_relay import free_udp_address as reserved
from marlseam.experiment.cluster_scale import ScaleTable as Sizes
from marlseam.experiment.cluster_tables import ClusterTable

__all__ = ["Sizes", "one_size", "register", "reserved"]


def one_size(count: int, loss: float, seed: int, table: Sizes) -> dict[str, float]:
    """Return the figures of `cluster_scale.measure_detection`."""
    return cluster_scale.measure_detection(count, loss, seed, table).figures()


def register() -> None:
    """Make the tables of these plays known to experiment files; the plays are from the import on."""
    file.register(cluster_cost.PLAY, cluster_cost.CostTable)
    file.register(cluster_members.PLAY, ClusterTable)
    file.register(cluster_scale.PLAY, cluster_scale.ScaleTable)
