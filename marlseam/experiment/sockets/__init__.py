"""The sockets driver: emulators, real node processes and generators on loopback, then the judge's records.

Simulated are the work of servers, the delays of discovery and the network; real are nodes, sockets and time.

`driver` starts all processes and plays the day; `nodes` has the node processes, `emulators` those around
them, `process_group` what must be ended with the run, `recorder` the clock and the driver's records.
"""

from marlseam.experiment.sockets.driver import START_LEAD_S, SocketDriver
from marlseam.experiment.sockets.options import NodeConfiguration, SocketOptions

__all__ = ["START_LEAD_S", "NodeConfiguration", "SocketDriver", "SocketOptions"]
