"""The rig of the `size-*` experiments: what each part costs by the size of the fleet.

Hollow nodes share a process: the same pure machines, and the same bytes through the real codecs, without
sockets, on a virtual clock that goes on by the processor time used. A band of real nodes plays the same work
beside them. Before anything starts the need of memory and processes is reckoned, and a file that asks for
more than is allowed is refused with what would fit. A play ends by itself, and leaves nothing behind when it
is interrupted or killed.
"""

import contextlib
import json
import multiprocessing
import os
import resource
import shutil
import signal
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from multiprocessing.connection import Connection as Pipe
from pathlib import Path
from typing import Any, NamedTuple

from marlseam.experiment import tied
from marlseam.experiment.file import FileError
from marlseam.experiment.processes import ChildProcess, RunFailedError
from marlseam.experiment.slope import Slope
from marlseam.simulation.model import Day, Fleet, RequestType, ServerKind, node_settings

# What the operators plan for (docs/CAPACITY.md), and what one node may spend on control.
FULL = 21000  # workers
CORE_SHARE, MEMORY_MB, BYTES_S = 0.024, 256.0, 6000.0
TURN_MS = 100.0  # by which a loop may be late: one that is later acts for clients that have gone
FORCE_S = 13.0  # until a change is in force everywhere
CHANGES_S = 16000.0 / 86400.0  # of configuration
# What a play may use.
MOST_MB, MOST_PROCESSES, MOST_S = 12.0 * 1024.0, 300, 600.0
APART = 0.25  # by which hollow and real may differ without being told of
START_S = 60.0  # for a real node to start, on busy cores
LOOK_S = 0.02


# Whether it fits.


class Need(NamedTuple):
    """What a play needs at once."""

    memory_mb: float
    processes: int

    @property
    def fits(self) -> bool:
        """Whether that is allowed."""
        return self.memory_mb <= MOST_MB and self.processes <= MOST_PROCESSES


def afford(key: str, sizes: Sequence[int], need: Callable[[int], Need]) -> Need:
    """Return what the greatest of some sizes needs; raise FileError with what would fit if that is too much.

    `need` grows with the size.
    """
    size = max(sizes)
    most = need(size)
    if most.fits:
        return most
    low, high = 0, size  # fits, and does not
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if need(middle).fits else (low, middle)
    would = f"{low} would fit" if low else "no size would fit, ask for fewer real nodes"
    raise FileError(
        f"{key}: {size} needs {most.memory_mb:.0f} MB and {most.processes} processes, {MOST_MB:.0f} MB and "
        f"{MOST_PROCESSES} at most are allowed; {would}"
    )


# Its end.


@contextlib.contextmanager
def limited(seconds: float = MOST_S) -> Iterator[None]:
    """End what is inside once the time is over, and let a signal to end unwind it as an interrupt does."""
    if threading.current_thread() is not threading.main_thread():
        raise RuntimeError("a play that is limited runs in the main thread")

    def over(number: int, frame: object) -> None:
        raise RunFailedError(f"not over after {seconds:g} s")

    def told(number: int, frame: object) -> None:
        raise KeyboardInterrupt

    before = {number: signal.getsignal(number) for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGHUP)}
    signal.signal(signal.SIGALRM, over)
    signal.signal(signal.SIGTERM, told)
    signal.signal(signal.SIGHUP, told)
    signal.setitimer(signal.ITIMER_REAL, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        for number, handler in before.items():
            signal.signal(number, handler)


def inside(pipe: Pipe, parent: int, call: Callable[..., Any], words: tuple[Any, ...]) -> None:
    """Run a call in a process of its own, and send what it returns, or how it failed."""
    tied.tie(parent)
    resource.setrlimit(resource.RLIMIT_AS, (int(MOST_MB) << 20, int(MOST_MB) << 20))
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # who started it ends it
    try:
        pipe.send((True, call(*words)))
    except Exception as error:
        pipe.send((False, f"{type(error).__name__}: {error}"))


def apart(call: Callable[..., Any], *words: Any) -> Any:  # noqa: ANN401
    """Return what a call returns that is run in a process of its own, so that its memory is its own.

    The process ends with this one, however this one ends. Raises RunFailedError.
    """
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe(duplex=False)
    process = context.Process(target=inside, args=(theirs, os.getpid(), call, words), daemon=True)
    process.start()
    theirs.close()
    try:
        good, value = ours.recv()
    except EOFError:
        process.join()
        raise RunFailedError(f"{call.__name__} ended at once, code {process.exitcode}") from None
    finally:
        process.kill()
        process.join()
        ours.close()
    if not good:
        raise RunFailedError(f"{call.__name__}: {value}")
    return value


@contextlib.contextmanager
def scratch(out: Path) -> Iterator[Path]:
    """Give a folder for what is needed while a play runs; it is kept only where something in it failed."""
    folder = out / "band"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    try:
        yield folder
    except RunFailedError:
        raise  # its logs say why
    except BaseException:
        shutil.rmtree(folder, ignore_errors=True)
        raise
    else:
        shutil.rmtree(folder, ignore_errors=True)


# Hollow nodes.


class Charged:
    """A virtual clock, in ms, that goes on by the processor time used in what is done on it.

    One a hollow node: what is due while the node is busy waits, as it would in its loop, and how late it was
    is noted. Machines are told `due_ms`, not the time by this clock: what they do, and so every count, is
    then the same on every run.
    """

    def __init__(self) -> None:
        self.now_ms = self.due_ms = self.cpu_ms = self.longest_ms = self.late_ms = 0.0
        self.turns = 0

    def due(self) -> float:
        """Return when what is done now was due."""
        return self.due_ms

    def wait(self, due_ms: float) -> None:
        """Let the time come, if it has not."""
        self.due_ms = due_ms
        self.now_ms = max(self.now_ms, due_ms)

    def do(self, call: Callable[..., Any], *words: Any) -> Any:  # noqa: ANN401
        """Return what a call returns: one turn, charged with its processor time."""
        began = time.thread_time_ns()
        try:
            return call(*words)
        finally:
            spent = (time.thread_time_ns() - began) / 1e6
            self.now_ms += spent
            self.cpu_ms += spent
            self.longest_ms = max(self.longest_ms, spent)
            self.late_ms = max(self.late_ms, self.now_ms - self.due_ms)
            self.turns += 1

    def rest(self) -> None:
        """Let the node have done all that it had to do, and look anew for how late it is."""
        self.now_ms, self.late_ms = self.due_ms, 0.0

    def mark(self) -> float:
        """Return the processor time used so far, and let the longest turn be looked for anew."""
        self.longest_ms = 0.0
        return self.cpu_ms


def resident_mb(pid: int | None = None) -> float:
    """Return how much of a process's memory is in use, in MB; this process's own if none is named."""
    pages = int(Path(f"/proc/{pid or os.getpid()}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2.0**20


def cpu_ms(pid: int) -> float:
    """Return the processor time that a process has used, in ms and to the nanosecond."""
    return time.clock_gettime_ns((~pid << 3) | 2) / 1e6  # the clock that Linux has for each process


# Real nodes.

ZONES = [f"z{i:02}" for i in range(22)]
KINDS = ["plain", "one", "two"]  # executors without accelerators, with one, with two


def node_config(name: str, discovery: str, nodes: int, seed: int = 1) -> dict[str, Any]:
    """Return a node's configuration in a fleet of 22 zones, as hollow and real nodes have it."""
    day = Day(
        seconds=1.0,
        fleet=Fleet(zones=ZONES, nodes=nodes, kinds=[ServerKind(name=kind, executors=1) for kind in KINDS]),
        types=[
            RequestType(name="urgent", share=0.3, work_ms=400, promised_ms=200, limit_ms=5000),
            RequestType(name="task", share=0.5, work_ms=2000, promised_ms=1000, limit_ms=20000),
            RequestType(
                name="post", share=0.2, work_ms=800, promised_ms=600, limit_ms=10000, effect="receipted"
            ),
        ],
    )
    return {
        "name": name,
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": f"{seed:x}",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": {"seq": 0, "whole": True, "hosts": []},
        "settings": node_settings(day, ZONES[0]),
    }


class Band:
    """Real nodes on loopback: started, watched by their processor time and memory, and ended."""

    def __init__(self, out: Path) -> None:
        self.out = out
        self.nodes: dict[str, ChildProcess] = {}
        (out / "logs").mkdir(parents=True, exist_ok=True)

    def start(self, name: str, config: dict[str, Any], own: str = "") -> ChildProcess:
        """Start a node, with the operator's own settings; it ends with this process, however that ends."""
        path = self.out / f"{name}.json"
        path.write_text(json.dumps(config))
        words = [str(os.getpid()), "serve", "--config", str(path)]
        if own:
            owned = self.out / f"{name}.toml"
            owned.write_text(own)
            words += ["--settings", str(owned)]
        log = self.out / "logs" / f"{name}.log"
        log.write_bytes(b"")
        self.nodes[name] = ChildProcess(words, log, module="marlseam.experiment.tied")
        return self.nodes[name]

    def listens(self) -> None:
        """Wait until all have said that they listen."""
        end = time.monotonic() + START_S
        for name, process in self.nodes.items():
            while "listens on" not in process.log.read_text(errors="replace"):
                if process.process.poll() is not None or time.monotonic() > end:
                    raise RunFailedError(f"node {name} did not start: {process.tail()}")
                time.sleep(LOOK_S)

    def address(self, name: str) -> str:
        """Return where a node listens."""
        return self.nodes[name].log.read_text().partition("listens on ")[2].split()[0]

    def cpu_ms(self) -> dict[str, float]:
        """Return each node's processor time so far."""
        return {name: cpu_ms(process.process.pid) for name, process in self.nodes.items()}

    def resident_mb(self) -> dict[str, float]:
        """Return each node's memory in use."""
        return {name: resident_mb(process.process.pid) for name, process in self.nodes.items()}

    def turns_ms(self, count: int) -> list[float]:
        """Return the longest turn of each node's loop, which each tells as it ends; so many must have."""
        found = []
        for process in self.nodes.values():
            text = process.log.read_text(errors="replace")
            if "turns at most " in text:
                found.append(float(text.rpartition("turns at most ")[2].split()[0]))
        if len(found) < count:
            raise RunFailedError(f"{len(found)} of {count} nodes told their longest turn as they ended")
        return found

    def end(self) -> None:
        """End all, and close what is held of them."""
        for process in self.nodes.values():
            process.signal(signal.SIGTERM)
        for process in self.nodes.values():
            process.end()


def middle(values: Sequence[float]) -> float:
    """Return the median, the upper of two."""
    return sorted(values)[len(values) // 2]


def beside(pairs: dict[str, tuple[float, float]]) -> tuple[list[list[str]], dict[str, float]]:
    """Return hollow beside real as a table, and each ratio as a figure, of pairs by figure and size.

    Names are `FIGURE_SIZE`. What is off by over a quarter is said.
    """
    rows = [["figure", "size", "hollow", "real", "hollow over real", ""]]
    found: dict[str, float] = {}
    for name, (hollow, real) in pairs.items():
        ratio = hollow / real if real else 0.0
        off = not 1.0 / (1.0 + APART) <= ratio <= 1.0 + APART
        figure, _, size = name.rpartition("_")
        said = "off by over a quarter" if off else ""
        rows.append([figure, size, f"{hollow:.4g}", f"{real:.4g}", f"{ratio:.2f}", said])
        found[f"true_{name}"] = ratio
    return rows, found


__all__ = [
    "BYTES_S",
    "CHANGES_S",
    "CORE_SHARE",
    "FORCE_S",
    "FULL",
    "KINDS",
    "MEMORY_MB",
    "TURN_MS",
    "ZONES",
    "Band",
    "Charged",
    "Need",
    "Slope",
    "afford",
    "apart",
    "beside",
    "cpu_ms",
    "limited",
    "middle",
    "node_config",
    "resident_mb",
    "scratch",
]
