"""Runs a node that reports when each part of its start was over.

    python -m marlseam.experiment.startup_timing PARENT_PID ARGUMENTS

The arguments are those of `python -m marlseam`. Each report is a line `began PART SECONDS` on standard error,
by the system's monotonic clock, which all processes share. The node ends with its parent.
"""

import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, ParamSpec, TypeVar

if TYPE_CHECKING:
    from marlseam.net.discovery import Discovery

INTERPRETER_STARTED_S = time.monotonic()  # all other imports come later: they are a part of the start
Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


def report(part: str, at_s: float | None = None) -> None:
    """Write that a part of the start is over."""
    print(f"began {part} {time.monotonic() if at_s is None else at_s:.6f}", file=sys.stderr, flush=True)


def reported(part: str, call: Callable[Parameters, Result]) -> Callable[Parameters, Result]:
    """Return a call that reports each time that it is over."""

    def call_and_report(*arguments: Parameters.args, **options: Parameters.kwargs) -> Result:
        result = call(*arguments, **options)
        report(part)
        return result

    return call_and_report


def report_calls(owner: object, name: str, part: str) -> None:
    """Replace a function or class of a module by one that reports each call."""
    setattr(owner, name, reported(part, getattr(owner, name)))


def report_first_list(discovery: type["Discovery"]) -> None:
    """Have discovery report its first list that does not come from the disk, once it has arrived."""
    take = discovery.take
    has_reported = False

    def take_and_report(self: "Discovery", value: object, cached: bool = False, **options: object) -> bool:
        nonlocal has_reported
        if not cached and not has_reported:
            has_reported = True
            report("list")
        return take(self, value, cached, **options)  # type: ignore[arg-type]  # as the caller gave them

    discovery.take = take_and_report  # type: ignore[assignment]  # the same but for the options' types


def main() -> None:
    """Run a node, with the parent's process id taken off the arguments."""
    from marlseam.experiment.exit_with_parent import exit_with_parent

    exit_with_parent(int(sys.argv.pop(1)))
    from marlseam import __main__ as program
    from marlseam import configuration
    from marlseam.net import http
    from marlseam.net.discovery import Discovery

    report("interpreter", INTERPRETER_STARTED_S)
    report("import")
    report_calls(configuration, "load", "settings")
    report_calls(http, "bound", "socket")
    report_calls(program, "Node", "node")
    report_first_list(Discovery)
    program.main()


if __name__ == "__main__":
    main()
