"""The virtual driver: the real reducers of any number of nodes against the simulation, in virtual time.

Servers, discovery, the network and clients are simulated, and with them what a node's sockets do:
connections that are kept open and opened, and the timeouts of `marlseam.net.upstream`. The CPU time of a node
is not. The same day and seed give the same records byte for byte.

`driver` joins the parts: `event_queue` is the clock; `world` and `state` hold what the parts share; `nodes`,
`servers`, `attempts`, `probes`, `clients` and `discovery` each simulate one of them; `lifecycle` starts and
ends nodes; `fault_injector` plays the schedule of faults.
"""

from marlseam.experiment.virtual.driver import VirtualDriver
from marlseam.experiment.virtual.state import AttemptInFlight, SimulatedNode, SimulatedServer, StaleListStart

__all__ = ["AttemptInFlight", "SimulatedNode", "SimulatedServer", "StaleListStart", "VirtualDriver"]
