"""Time limit, child processes and working directory of a run, which are cleaned up however the run ends."""

import contextlib
import multiprocessing
import os
import resource
import shutil
import signal
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from multiprocessing.connection import Connection as Pipe
from pathlib import Path
from types import FrameType
from typing import Any, Generic, ParamSpec, TypeVar

from marlseam.experiment.exit_with_parent import exit_with_parent
from marlseam.experiment.processes import RunFailedError
from marlseam.experiment.sizing.resource_need import MAX_MEMORY_MB

MAX_RUN_S = 600.0
WORKING_DIRECTORY = "band"  # name of the directory for files of real nodes, inside the run's output directory

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


class TimeLimitError(RunFailedError):
    """A run exceeded its time limit.

    Attributes:
        limit_s: the time limit in seconds.
    """

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        super().__init__(f"run not finished within its time limit of {limit_s:g} s")


class ChildCallError(RunFailedError):
    """A call in a child process raised.

    Attributes:
        call_name: the name of the function that was called.
        description: type and text of its error.
    """

    def __init__(self, call_name: str, description: str) -> None:
        self.call_name, self.description = call_name, description
        super().__init__(f"{call_name}: {description}")


class ChildExitedError(RunFailedError):
    """A child process ended before its call returned.

    Attributes:
        call_name: the name of the function that was called.
        exit_code: the exit code of the process.
    """

    def __init__(self, call_name: str, exit_code: int | None) -> None:
        self.call_name, self.exit_code = call_name, exit_code
        super().__init__(
            f"child process of {call_name} exited before the call returned, exit code {exit_code}"
        )


@contextlib.contextmanager
def time_limit(limit_s: float = MAX_RUN_S) -> Iterator[None]:
    """Limit the time of a block, and restore the signal handlers after it; main thread only.

    Inside the block, TimeLimitError is raised after `limit_s`, and KeyboardInterrupt on SIGTERM or SIGHUP.
    """
    if threading.current_thread() is not threading.main_thread():
        raise RuntimeError(
            "time_limit must be entered in the main thread, which alone may set signal handlers"
        )

    def raise_time_limit(_number: int, _frame: FrameType | None) -> None:
        raise TimeLimitError(limit_s)

    def raise_interrupt(_number: int, _frame: FrameType | None) -> None:
        raise KeyboardInterrupt

    signal_numbers = (signal.SIGALRM, signal.SIGTERM, signal.SIGHUP)
    former = {number: signal.getsignal(number) for number in signal_numbers}
    signal.signal(signal.SIGALRM, raise_time_limit)
    signal.signal(signal.SIGTERM, raise_interrupt)
    signal.signal(signal.SIGHUP, raise_interrupt)
    signal.setitimer(signal.ITIMER_REAL, limit_s)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        for number, handler in former.items():
            signal.signal(number, handler)


@dataclass(frozen=True)
class Returned(Generic[Result]):
    """The result of a call in a child process."""

    value: Result


@dataclass(frozen=True)
class Raised:
    """The error that a call in a child process raised, as text."""

    description: str


def run_child(
    pipe: Pipe,
    parent_pid: int,
    call: Callable[..., object],
    arguments: tuple[Any, ...],
    options: dict[str, Any],
) -> None:
    """Make a call in this child process, and send its result or error to the parent through `pipe`.

    The address space of the process is limited to `MAX_MEMORY_MB`.
    """
    exit_with_parent(parent_pid)
    max_bytes = int(MAX_MEMORY_MB) << 20
    resource.setrlimit(resource.RLIMIT_AS, (max_bytes, max_bytes))
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent handles the interrupt and kills this process
    try:
        pipe.send(Returned(call(*arguments, **options)))
    except Exception as error:
        pipe.send(Raised(f"{type(error).__name__}: {error}"))


def call_in_child_process(
    call: Callable[Parameters, Result], *arguments: Parameters.args, **options: Parameters.kwargs
) -> Result:
    """Make a call in a child process, so that its memory is separate, and return its result.

    The child process ends when this process ends, also when this process is killed. Raises ChildCallError if
    the call raises, and ChildExitedError if the process exits before the call returns.
    """
    context = multiprocessing.get_context("spawn")
    receiver, sender = context.Pipe(duplex=False)
    process = context.Process(
        target=run_child, args=(sender, os.getpid(), call, arguments, options), daemon=True
    )
    process.start()
    sender.close()
    try:
        outcome: Returned[Result] | Raised = receiver.recv()
    except EOFError:
        process.join()
        raise ChildExitedError(call.__name__, process.exitcode) from None
    finally:
        process.kill()
        process.join()
        receiver.close()
    if isinstance(outcome, Raised):
        raise ChildCallError(call.__name__, outcome.description)
    return outcome.value


@contextlib.contextmanager
def working_directory(out: Path) -> Iterator[Path]:
    """Create an empty directory in `out` for the files of a run, and remove it at the end of the block.

    The directory is kept after a RunFailedError, because the logs in it show why a process failed.
    """
    directory = out / WORKING_DIRECTORY
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    try:
        yield directory
    except RunFailedError:
        raise
    except BaseException:
        shutil.rmtree(directory, ignore_errors=True)
        raise
    else:
        shutil.rmtree(directory, ignore_errors=True)
