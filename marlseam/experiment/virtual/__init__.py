"""The virtual driver: runs the real reducers of any number of nodes against a simulation, in virtual time.

Servers, discovery, the network and clients are simulated. So is the behaviour of a node's sockets: opening
and reuse of connections, and the timeouts of `marlseam.net.upstream`. The CPU time of a node is not
simulated. The same day and seed give the same records byte for byte.

`driver` connects the parts: `event_queue` is the clock; `world` and `state` hold the shared state; `nodes`,
`servers`, `attempts`, `probes`, `clients` and `discovery` simulate the parts they are named after;
`lifecycle` starts and ends nodes; `fault_injector` applies the schedule of faults.
"""

from marlseam.experiment.virtual.driver import VirtualDriver
from marlseam.experiment.virtual.state import AttemptInFlight, SimulatedNode, SimulatedServer, StaleListStart

__all__ = ["AttemptInFlight", "SimulatedNode", "SimulatedServer", "StaleListStart", "VirtualDriver"]
