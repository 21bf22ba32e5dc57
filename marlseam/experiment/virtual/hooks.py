"""The steps of the virtual driver that experiments override for measurements."""

from typing import Protocol

from marlseam.experiment.virtual.state import AttemptInFlight, SimulatedServer


class DriverHooks(Protocol):
    """Steps that the parts of the driver run through the driver, so that a subclass can override them."""

    def deliver(self, attempt: AttemptInFlight) -> None:
        """Deliver an attempt to its server."""

    def crash(self, server: SimulatedServer) -> None:
        """Crash a server's process and break its connections."""

    def start_server(self, server: SimulatedServer) -> None:
        """Start a server's process, which begins in slow start."""
