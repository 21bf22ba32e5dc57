"""Former names of `marlseam.experiment.sizing`, for `size_changes` alone."""

from marlseam.experiment.sizing.comparison import compare as beside
from marlseam.experiment.sizing.isolation import call_in_child_process as apart
from marlseam.experiment.sizing.isolation import time_limit as limited
from marlseam.experiment.sizing.isolation import working_directory as scratch
from marlseam.experiment.sizing.loopback_nodes import LoopbackNodes, node_config
from marlseam.experiment.sizing.plan import CHANGE_IN_FORCE_S as FORCE_S
from marlseam.experiment.sizing.plan import NODE_BYTES_PER_S as BYTES_S
from marlseam.experiment.sizing.plan import NODE_CORE_SHARE as CORE_SHARE
from marlseam.experiment.sizing.plan import NODE_MEMORY_MB as MEMORY_MB
from marlseam.experiment.sizing.process_usage import process_cpu_ms as cpu_ms
from marlseam.experiment.sizing.resource_need import ResourceNeed as Need
from marlseam.experiment.sizing.resource_need import check_resource_need as afford


class Band(LoopbackNodes):
    """`LoopbackNodes` with the former names of its methods."""

    listens = LoopbackNodes.wait_until_listening
    end = LoopbackNodes.stop


__all__ = [
    "BYTES_S",
    "CORE_SHARE",
    "FORCE_S",
    "MEMORY_MB",
    "Band",
    "Need",
    "afford",
    "apart",
    "beside",
    "cpu_ms",
    "limited",
    "node_config",
    "scratch",
]
