"""A small fleet to try a node with: three stand-in executors, their roster at 127.0.0.1:8500, until Ctrl-C.

    python examples/fleet.py

Each work unit's body may say what it costs, as {"work": 300} in ms; the answer names who ran it.
"""

from marlseam.emulators.base import Stand
from marlseam.emulators.discovery import Directory
from marlseam.emulators.servers import EmulatedServer
from marlseam.simulation import fleet
from marlseam.simulation.model import Day, Fleet, RequestType, ServerKind

LIST_PORT = 8500
DAY = Day(
    seconds=1.0,
    fleet=Fleet(zones=["here"], nodes=1, kinds=[ServerKind(name="plain", executors=3, slots=2, queue=8)]),
    types=[
        RequestType(name="statement", share=1.0, work_ms=200.0, promised_ms=500.0, limit_ms=10000.0),
        RequestType(
            name="posting", share=1.0, work_ms=400.0, promised_ms=1000.0, limit_ms=20000.0, effect="exclusive"
        ),
    ],
)


def main() -> None:
    """Run the fleet."""
    stand = Stand("fleet", None)
    hosts = {
        name: EmulatedServer(stand, executor, DAY, True) for name, executor in fleet.build(DAY, 1, []).items()
    }
    dials = {"here": {name: host.door.address for name, host in hosts.items()}}
    directory = Directory(stand, DAY, [], dials, LIST_PORT)
    stand.run({"roster": directory.doors["n0"].address, **dials["here"]}, now=True)


if __name__ == "__main__":
    main()
