"""Settings of servers that apply to all servers of a day, whatever their kind."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ReportSettings:
    """How a server reports its load.

    Attributes:
        period_ms: how often a report is refreshed.
        delay_ms: the time from a refresh until the new report is available.
        includes_queue: whether a report states the queue's length.
    """

    period_ms: float
    delay_ms: float
    includes_queue: bool


@dataclass(frozen=True)
class ServerSettings:
    """Settings of a server that do not depend on its kind.

    Attributes:
        reports: how the server reports its load.
        fall_multiple: the overload bound in slow start, as a multiple of the work that the server can do in
            the window at its present speed.
        fall_ms: the window over which the received work is counted for that bound, in ms.
        progress_ms: the period in which a running job reports progress, in ms; 0: never.
        checkpoint_ms: the period in which a running job's work is saved, in ms of standard work; 0: never.
    """

    reports: ReportSettings
    fall_multiple: float
    fall_ms: float
    progress_ms: float = 0.0
    checkpoint_ms: float = 0.0
