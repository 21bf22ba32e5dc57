"""Processes of an experiment.

Started with a pipe to their standard input, ready by a line, ended by their own id.
"""

import json
import os
import select
import signal
import subprocess
import sys
import time
from collections import deque
from pathlib import Path

READY_S = 30.0  # a start takes a fraction of a second; loaded machines take longer
END_S = 10.0


class RunFailedError(Exception):
    """A process of the experiment did not do its part."""


class ChildProcess:
    """One process; `words` are the arguments of `python -m marlseam`."""

    def __init__(
        self,
        words: list[str],
        log: Path,
        env: dict[str, str] | None = None,
        profile: Path | None = None,
        module: str = "marlseam",
        keep: tuple[int, ...] = (),
    ) -> None:
        self.words, self.log = words, log
        python = [sys.executable, "-m"]
        python += ["cProfile", "-o", str(profile), "-m", module] if profile else [module]
        with log.open("ab") as err:
            self.process = subprocess.Popen(
                [*python, *words],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=err,
                env={**os.environ, **(env or {})},
                pass_fds=keep,
            )

    def line(self, within_s: float = READY_S) -> dict:
        """Return the next line that it prints, as JSON."""
        out, text, end = self.process.stdout, b"", time.monotonic() + within_s
        while not text.endswith(b"\n"):
            left = end - time.monotonic()
            if left <= 0.0 or not select.select([out], [], [], left)[0]:
                raise RunFailedError(f"{' '.join(self.words[:2])} said nothing for {within_s:g} s")
            more = os.read(out.fileno(), 65536)
            if not more:
                raise RunFailedError(f"{' '.join(self.words[:2])} ended at once: {self.tail()}")
            text += more
        return json.loads(text.splitlines()[-1])

    def tail(self) -> str:
        """Return the last line of its log."""
        lines = deque(self.log.read_text(errors="replace").splitlines(), 1)
        return lines[0] if lines else "no word in its log"

    def begin(self, zero: float) -> None:
        """Tell it the run's zero."""
        self.process.stdin.write(json.dumps({"zero": zero}).encode() + b"\n")
        self.process.stdin.flush()

    def signal(self, number: int) -> None:
        """Send it a signal, if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> int:
        """Tell it to end, and return its exit code; one that does not is killed."""
        self.signal(signal.SIGTERM)
        try:
            code = self.process.wait(END_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            code = self.process.wait()
        for pipe in (self.process.stdin, self.process.stdout):
            pipe.close()
        return code

    def cpu_s(self) -> float:
        """Return the CPU time that it has used, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
