"""Run three emulated servers and their discovery, at 127.0.0.1:8500, for a node, until Ctrl-C.

    python examples/fleet.py

A request's body may set its standard work in ms, as {"work": 300}; the response names the server that ran it.
"""

from marlseam.emulators.discovery import DiscoveryService
from marlseam.emulators.process import EmulatorProcess
from marlseam.emulators.servers import EmulatedServer
from marlseam.simulation import fleet
from marlseam.simulation.model import Day, Fleet, RequestType, ServerKind

DISCOVERY_PORT = 8500
SEED = 1
ZONE = "here"
DAY = Day(
    seconds=1.0,
    fleet=Fleet(zones=[ZONE], nodes=1, kinds=[ServerKind(name="plain", executors=3, slots=2, queue=8)]),
    types=[
        RequestType(name="statement", share=1.0, work_ms=200.0, promised_ms=500.0, limit_ms=10000.0),
        RequestType(
            name="posting", share=1.0, work_ms=400.0, promised_ms=1000.0, limit_ms=20000.0, effect="exclusive"
        ),
    ],
)


def main() -> None:
    """Run the servers and the discovery until Ctrl-C; print their addresses as one line of JSON."""
    process = EmulatorProcess("fleet", None)
    simulated = fleet.build(DAY, SEED, [])
    servers = [EmulatedServer(process, server, DAY, nodelay=True) for server in simulated.values()]
    addresses = {server.name: server.listener.address for server in servers}
    discovery = DiscoveryService(process, DAY, [], {ZONE: addresses}, DISCOVERY_PORT)
    process.run({"roster": discovery.listeners["n0"].address, **addresses}, now=True)


if __name__ == "__main__":
    main()
