"""Child processes of an experiment.

Each child process has a pipe to its standard input, prints a line once it is ready, and is terminated
individually by its process id.
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

READY_TIMEOUT_S = 30.0  # a start takes a fraction of a second, and longer on a loaded machine
END_TIMEOUT_S = 10.0  # from SIGTERM until a process that has not exited is killed
READ_BYTES = 65536  # maximum per read from a pipe
SHOWN_ARGUMENTS = 2  # leading arguments of a process that error messages show
# Indices of the fields utime and stime in /proc/PID/stat, counted after the name of the program.
STAT_USER_TICKS, STAT_SYSTEM_TICKS = 11, 12


class RunFailedError(Exception):
    """A process of the experiment failed, which ends the run."""


class ProcessTimeoutError(RunFailedError):
    """A process printed no line within the timeout.

    Attributes:
        command: the first arguments of the process.
        waited_s: the timeout, in seconds.
    """

    def __init__(self, command: str, waited_s: float) -> None:
        super().__init__(f"{command} printed no line within {waited_s:g} s")
        self.command, self.waited_s = command, waited_s


class ProcessEndedError(RunFailedError):
    """A process exited or closed its output before it printed a line.

    Attributes:
        command: the first arguments of the process.
        last_log_line: the last line of its log.
    """

    def __init__(self, command: str, last_log_line: str) -> None:
        super().__init__(f"{command} ended before it printed a line; last line of its log: {last_log_line}")
        self.command, self.last_log_line = command, last_log_line


class NodeFailedError(RunFailedError):
    """A node did not start, was not ready in time, or exited unexpectedly.

    Attributes:
        node: the name of the node.
        reason: the failure, worded as a predicate of the node.
    """

    def __init__(self, node: str, reason: str) -> None:
        super().__init__(f"node {node} {reason}")
        self.node, self.reason = node, reason


class ChildProcess:
    """A Python child process with pipes to its standard input and output and a log for its standard error.

    Attributes:
        log: the path of the log, which may already contain lines of earlier processes.
        process: the underlying process.
    """

    def __init__(
        self,
        arguments: list[str],
        log: Path,
        env: dict[str, str] | None = None,
        profile: Path | None = None,
        module: str = "marlseam",
        inherited_descriptors: tuple[int, ...] = (),
    ) -> None:
        """Start the process.

        Args:
            arguments: the command line arguments of the module.
            log: the file that standard error is appended to.
            env: variables added to the inherited environment.
            profile: the file that cProfile writes its profile to, None to run without a profiler.
            module: the module that `python -m` runs.
            inherited_descriptors: file descriptors that the process inherits.
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
                pass_fds=inherited_descriptors,
            )

    @property
    def _input(self) -> IO[bytes]:
        """Return the pipe to the standard input of the process."""
        assert self.process.stdin is not None  # the process was started with stdin=PIPE
        return self.process.stdin

    @property
    def _output(self) -> IO[bytes]:
        """Return the pipe from the standard output of the process."""
        assert self.process.stdout is not None  # the process was started with stdout=PIPE
        return self.process.stdout

    def is_running(self) -> bool:
        """Return whether the process has not exited."""
        return self.process.poll() is None

    def has_output(self) -> bool:
        """Return whether the output of the process has unread data or is closed."""
        return bool(select.select([self._output], [], [], 0.0)[0])

    def read_json(self, timeout_s: float = READY_TIMEOUT_S) -> Any:  # noqa: ANN401 - any JSON value
        """Return the next line of the process's output, parsed as JSON.

        Raises ProcessTimeoutError if no line arrives within `timeout_s`, ProcessEndedError at end of output.
        """
        text, end_s = b"", time.monotonic() + timeout_s
        while not text.endswith(b"\n"):
            remaining_s = end_s - time.monotonic()
            if remaining_s <= 0.0 or not select.select([self._output], [], [], remaining_s)[0]:
                raise ProcessTimeoutError(self._command, timeout_s)
            chunk = os.read(self._output.fileno(), READ_BYTES)
            if not chunk:
                raise ProcessEndedError(self._command, self.tail())
            text += chunk
        return json.loads(text.splitlines()[-1])

    def tail(self) -> str:
        """Return the last line of the log, or a note that the log is empty."""
        lines = deque(self.log.read_text(errors="replace").splitlines(), 1)
        return lines[0] if lines else "(the log is empty)"

    def send_zero(self, zero_s: float) -> None:
        """Send the process the run's zero, in seconds of the monotonic clock."""
        self._input.write(json.dumps({"zero": zero_s}).encode() + b"\n")
        self._input.flush()

    def signal(self, number: int) -> None:
        """Send a signal to the process if it has not exited."""
        if self.is_running():
            self.process.send_signal(number)

    def end(self) -> int:
        """Terminate the process, kill it after `END_TIMEOUT_S`, close its pipes; return its exit code."""
        self.signal(signal.SIGTERM)
        try:
            exit_code = self.process.wait(END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            exit_code = self.process.wait()
        self._input.close()
        self._output.close()
        return exit_code

    def cpu_s(self) -> float:
        """Return the CPU time that the process has used so far, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[STAT_USER_TICKS]) + int(fields[STAT_SYSTEM_TICKS])
        return ticks / os.sysconf("SC_CLK_TCK")
