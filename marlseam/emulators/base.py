"""Former names of `http_listener` and `process`."""

from marlseam.emulators.http_listener import HttpListener, reply
from marlseam.emulators.process import EmulatorProcess as Stand
from marlseam.emulators.process import QuietLog as Quiet

__all__ = ["Door", "Quiet", "Stand", "reply"]


class Door(HttpListener):
    """A listener under its former name."""

    def shut(self) -> None:
        """Refuse new connections."""
        self.stop_listening()
