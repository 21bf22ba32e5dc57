"""Processes of an experiment.

Each is started with a pipe to its standard input, prints a line once it is ready, and is ended by
its own id.
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
from typing import IO, Any

READY_TIMEOUT_S = 30.0  # a start takes a fraction of a second, and longer on loaded machines
END_TIMEOUT_S = 10.0  # after which a process that was told to end is killed
READ_BYTES = 65536
SHOWN_ARGUMENTS = 2  # of a process, in the text of an error
STAT_USER_TICKS, STAT_SYSTEM_TICKS = 11, 12  # fields of /proc/PID/stat after the name of the program


class RunFailedError(Exception):
    """A process of the experiment did not do its part."""


class ProcessSilentError(RunFailedError):
    """A process printed no line in time.

    Attributes:
        command: the first arguments of the process.
        waited_s: how long it was waited for, in seconds.
    """

    def __init__(self, command: str, waited_s: float) -> None:
        super().__init__(f"{command} said nothing for {waited_s:g} s")
        self.command, self.waited_s = command, waited_s


class ProcessEndedError(RunFailedError):
    """A process ended before it printed a line.

    Attributes:
        command: the first arguments of the process.
        last_log_line: the last line of its log.
    """

    def __init__(self, command: str, last_log_line: str) -> None:
        super().__init__(f"{command} ended at once: {last_log_line}")
        self.command, self.last_log_line = command, last_log_line


class NodeFailedError(RunFailedError):
    """A node did not start, was not ready in time, or ended by itself.

    Attributes:
        node: its name.
        reason: what went wrong, as a predicate.
    """

    def __init__(self, node: str, reason: str) -> None:
        super().__init__(f"node {node} {reason}")
        self.node, self.reason = node, reason


class ChildProcess:
    """A Python process with pipes to its standard input and output; its standard error goes to a log.

    Attributes:
        log: the path of the log, which earlier processes may have written to.
        process: the process itself.
    """

    def __init__(
        self,
        arguments: list[str],
        log: Path,
        env: dict[str, str] | None = None,
        profile: Path | None = None,
        module: str = "marlseam",
        keep: tuple[int, ...] = (),
    ) -> None:
        """Start one.

        Args:
            arguments: those of the module.
            log: the file that its standard error is appended to.
            env: variables that are added to its environment.
            profile: where cProfile writes its profile, None to run without.
            module: what `python -m` runs.
            keep: file descriptors that it inherits.
        """
        self.log = log
        self._command = " ".join(arguments[:SHOWN_ARGUMENTS])
        python = [sys.executable, "-m"]
        if profile is not None:
            python += ["cProfile", "-o", str(profile), "-m"]
        with log.open("ab") as log_file:
            self.process = subprocess.Popen(
                [*python, module, *arguments],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log_file,
                env={**os.environ, **(env or {})},
                pass_fds=keep,
            )

    @property
    def _input(self) -> IO[bytes]:
        """Return the pipe to its standard input."""
        assert self.process.stdin is not None  # as it was started with a pipe
        return self.process.stdin

    @property
    def _output(self) -> IO[bytes]:
        """Return the pipe from its standard output."""
        assert self.process.stdout is not None  # as it was started with a pipe
        return self.process.stdout

    def is_running(self) -> bool:
        """Return whether it has not ended."""
        return self.process.poll() is None

    def has_output(self) -> bool:
        """Return whether it has printed something that was not read, or has closed its output."""
        return bool(select.select([self._output], [], [], 0.0)[0])

    def read_json(self, timeout_s: float = READY_TIMEOUT_S) -> Any:  # noqa: ANN401 - any JSON value
        """Return the next line that it prints, as JSON.

        Raises ProcessSilentError where none comes in time, ProcessEndedError where none will.
        """
        text, end_s = b"", time.monotonic() + timeout_s
        while not text.endswith(b"\n"):
            left_s = end_s - time.monotonic()
            if left_s <= 0.0 or not select.select([self._output], [], [], left_s)[0]:
                raise ProcessSilentError(self._command, timeout_s)
            more = os.read(self._output.fileno(), READ_BYTES)
            if not more:
                raise ProcessEndedError(self._command, self.tail())
            text += more
        return json.loads(text.splitlines()[-1])

    def tail(self) -> str:
        """Return the last line of its log."""
        lines = deque(self.log.read_text(errors="replace").splitlines(), 1)
        return lines[0] if lines else "no word in its log"

    def send_zero(self, zero_s: float) -> None:
        """Tell it the run's zero, in seconds of the monotonic clock."""
        self._input.write(json.dumps({"zero": zero_s}).encode() + b"\n")
        self._input.flush()

    def signal(self, number: int) -> None:
        """Send it a signal, if it runs."""
        if self.is_running():
            self.process.send_signal(number)

    def end(self) -> int:
        """Tell it to end, and return its exit code; one that does not is killed."""
        self.signal(signal.SIGTERM)
        try:
            code = self.process.wait(END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            code = self.process.wait()
        self._input.close()
        self._output.close()
        return code

    def cpu_s(self) -> float:
        """Return the CPU time that it has used, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[STAT_USER_TICKS]) + int(fields[STAT_SYSTEM_TICKS])
        return ticks / os.sysconf("SC_CLK_TCK")
