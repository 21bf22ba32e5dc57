"""The errors of the load generator and of traces."""

from collections.abc import Iterable


class LoadError(Exception):
    """Any error of this package."""


class TraceError(LoadError):
    """A trace cannot be read or replayed; none of its tries was sent.

    Attributes:
        problems: one line for each problem found; str() of the error joins them by newlines.
    """

    def __init__(self, problems: Iterable[str]) -> None:
        """Create the error from its problems, a line each."""
        self.problems = tuple(problems)
        super().__init__("\n".join(self.problems))


class ConnectionUnavailableError(LoadError):
    """No connection to a node could be opened, so that a try was not sent.

    Attributes:
        reason: NO_DESCRIPTORS, REFUSED, or the operating system's error text.
    """

    NO_DESCRIPTORS = "no descriptors"
    REFUSED = "refused"

    def __init__(self, reason: str) -> None:
        """Create the error from its reason."""
        self.reason = reason
        super().__init__(reason)
