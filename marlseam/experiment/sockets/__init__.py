"""The sockets driver: plays a day with real node processes, emulators and load generators on loopback.

The work of servers, the delays of discovery and the network are simulated; nodes, sockets and time are real.
The run leaves the records that the rules are checked against.

`driver` starts all processes and plays the day; `nodes` manages the node processes and `emulators` the
processes around them; `process_group` ends processes and closes sockets after the run; `recorder` provides
the run's clock and writes the driver's records.
"""

from marlseam.experiment.sockets.driver import START_LEAD_S, SocketDriver
from marlseam.experiment.sockets.options import NodeConfiguration, SocketOptions

__all__ = ["START_LEAD_S", "NodeConfiguration", "SocketDriver", "SocketOptions"]
