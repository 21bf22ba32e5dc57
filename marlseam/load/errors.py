"""The errors of the load generator and of traces."""

from collections.abc import Iterable


class LoadError(Exception):
    """Any error of this package."""


class TraceError(LoadError):
    """A trace cannot be replayed; nothing of it was sent.

    Attributes:
        problems: each thing that is wrong, a line each; str() of the error joins them.
    """

    def __init__(self, problems: Iterable[str]) -> None:
        """Raise it for some problems."""
        self.problems = tuple(problems)
        super().__init__("\n".join(self.problems))


class ConnectionUnavailableError(LoadError):
    """No connection to a node could be opened, so a try was not sent.

    Attributes:
        reason: NO_DESCRIPTORS, REFUSED, or the operating system's text.
    """

    NO_DESCRIPTORS = "no descriptors"
    REFUSED = "refused"

    def __init__(self, reason: str) -> None:
        """Raise it for a reason."""
        self.reason = reason
        super().__init__(reason)
