"""How the servers of a day behave, whatever their kind."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ReportSettings:
    """How a server reports its load: how often a report is refreshed, its age, whether it tells the queue."""

    period_ms: float
    delay_ms: float
    includes_queue: bool


@dataclass(frozen=True)
class ServerSettings:
    """How servers of a day behave, whatever their kind.

    Attributes:
        reports: how they report their load.
        fall_multiple: how many times what it can do a server in slow start bears before it is overloaded.
        fall_ms: the window over which that is counted.
        progress_ms: how often a running job shows progress, 0 for never.
        checkpoint_ms: how often a running job's state is saved, 0 for never.
    """

    reports: ReportSettings
    fall_multiple: float
    fall_ms: float
    progress_ms: float = 0.0
    checkpoint_ms: float = 0.0
