"""Makes the plays of configuration versions known to experiment files."""

from marlseam.experiment import file, replication_plays
from marlseam.experiment.cluster_tables import ClusterTable


def register() -> None:
    """Make the tables of these plays known to experiment files; the plays are from the import on."""
    file.register(replication_plays.AUDIT_PLAY, replication_plays.AuditTable)
    file.register(replication_plays.STRAGGLER_PLAY, ClusterTable)
    file.register(replication_plays.CUT_PLAY, replication_plays.CutsTable)
