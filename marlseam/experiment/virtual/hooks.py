"""The steps of the virtual driver that experiments override to measure them."""

from typing import Protocol

from marlseam.experiment.virtual.state import AttemptInFlight, SimulatedServer


class DriverHooks(Protocol):
    """Steps that the parts of the driver take by calling the driver, so that a subclass sees them."""

    def deliver(self, attempt: AttemptInFlight) -> None:
        """Hand an attempt to its server."""

    def crash(self, server: SimulatedServer) -> None:
        """End a server's process and break its connections."""

    def start_server(self, server: SimulatedServer) -> None:
        """Start a server's process, in slow start."""
