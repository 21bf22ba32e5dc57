"""One node, as `serve` runs it, that says when each part of its start was over: `python -m` this, PID, WORDS.

Each line is `began PART SECONDS` on standard error, by the system's monotonic clock, that all processes have.
"""

import sys
import time
from collections.abc import Callable
from typing import Any

STARTED = time.monotonic()  # the interpreter is up


def told(part: str, call: Callable[..., Any]) -> Callable[..., Any]:
    """Return a call that says when it is over."""

    def called(*words: Any, **named: Any) -> Any:  # noqa: ANN401
        found = call(*words, **named)
        show_progress(part)
        return found

    return called


def show_progress(part: str, at: float | None = None) -> None:
    """Show that a part of the start is over."""
    print(f"began {part} {time.monotonic() if at is None else at:.6f}", file=sys.stderr, flush=True)


def main() -> None:
    """Run a node."""
    from marlseam.experiment import tied

    tied.tie(int(sys.argv.pop(1)))
    from marlseam import __main__ as program
    from marlseam.net import http
    from marlseam.net.discovery import Discovery

    show_progress("interpreter", STARTED)
    show_progress("import")
    program.configuration.load = told("settings", program.configuration.load)
    http.bound = told("socket", http.bound)
    program.Node = told("node", program.Node)
    take, first = Discovery.take, [True]

    def taken(self: Discovery, value: object, cached: bool = False, **named: Any) -> bool:  # noqa: ANN401
        if not cached and first:
            first.clear()
            show_progress("list")
        return take(self, value, cached, **named)

    Discovery.take = taken
    program.main()


if __name__ == "__main__":
    main()
