"""Runs a node that reports when each phase of its start was completed.

    python -m marlseam.experiment.startup_timing PARENT_PID ARGUMENTS

The arguments are those of `python -m marlseam`. Each report is a line `began PART SECONDS` on standard error,
with the time on the system's monotonic clock, which all processes share. The node is killed when its parent
ends.
"""

import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, ParamSpec, TypeVar

if TYPE_CHECKING:
    from marlseam.net.discovery import Discovery

INTERPRETER_STARTED_S = time.monotonic()  # taken before all other imports, which are part of the start
Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


def report_phase(phase: str, at_s: float | None = None) -> None:
    """Write a line that reports the completion of a phase, now or at the given monotonic time in seconds."""
    print(f"began {phase} {time.monotonic() if at_s is None else at_s:.6f}", file=sys.stderr, flush=True)


def reporting_phase(phase: str, call: Callable[Parameters, Result]) -> Callable[Parameters, Result]:
    """Return a wrapper of `call` that reports a phase after each call."""

    def call_and_report_phase(*arguments: Parameters.args, **options: Parameters.kwargs) -> Result:
        result = call(*arguments, **options)
        report_phase(phase)
        return result

    return call_and_report_phase


def report_calls(owner: object, name: str, phase: str) -> None:
    """Replace a function or class of a module by a wrapper that reports a phase after each call."""
    setattr(owner, name, reporting_phase(phase, getattr(owner, name)))


def report_first_list(discovery: type["Discovery"]) -> None:
    """Make discovery report the arrival of its first list that does not come from the disk."""
    apply_list = discovery.apply_list
    has_reported = False

    def apply_and_report(self: "Discovery", value: object, cached: bool = False, **options: object) -> bool:
        nonlocal has_reported
        if not cached and not has_reported:
            has_reported = True
            report_phase("list")
        return apply_list(self, value, cached, **options)  # type: ignore[arg-type]  # passed on unchanged

    discovery.apply_list = apply_and_report  # type: ignore[assignment]  # differs only in the types of the options


def main() -> None:
    """Remove the parent's process id from the arguments and run a node with the rest."""
    from marlseam.experiment.exit_with_parent import exit_with_parent

    exit_with_parent(int(sys.argv.pop(1)))
    from marlseam import __main__ as program
    from marlseam import configuration
    from marlseam.net import http
    from marlseam.net.discovery import Discovery

    report_phase("interpreter", INTERPRETER_STARTED_S)
    report_phase("import")
    report_calls(configuration, "load", "settings")
    report_calls(http, "bound_socket", "socket")
    report_calls(program, "Node", "node")
    report_first_list(Discovery)
    program.main()


if __name__ == "__main__":
    main()
