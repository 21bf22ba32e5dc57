"""What nodes log of each other and of their own service, read as it is written."""

import re
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

MEMBER_LINE = re.compile(r"member (\S+) (here|suspect|gone|left) life=(\d+)")
SERVICE_LINE = re.compile(r"acts on version (\d+)|(in service)$|fleet code=(\S+): out of service")
GONE = "gone"  # how a log calls a member that is held as dead
IN_SERVICE = "in"


class MemberReport(NamedTuple):
    """A node's log says what it holds of a member.

    Attributes:
        at_ms: when the line was read, in ms of the run.
        reporter: the node whose log it is.
        member: the member.
        status: here, suspect, gone or left.
        generation: of the member's process.
    """

    at_ms: float
    reporter: str
    member: str
    status: str
    generation: int


class ServiceReport(NamedTuple):
    """A node's log says on which version it acts, or whether it serves.

    Attributes:
        at_ms: when the line was read, in ms of the run.
        node: the node whose log it is.
        state: the number of a version, `IN_SERVICE`, or the code for which the node is out of service.
    """

    at_ms: float
    node: str
    state: str

    @property
    def version(self) -> int | None:
        """The version that the node acts on, where the line is about that."""
        return int(self.state) if self.state.isdecimal() else None


class LogReader:
    """Reads the logs of nodes from where they ended when the reader was made.

    Attributes:
        member_reports: lines about members, in the order read.
        service_reports: lines about versions and service, in the order read.
    """

    def __init__(self, names: Iterable[str], folder: Path) -> None:
        """Begin at the ends of the logs: the folder may hold those of an earlier run."""
        self._paths = {name: folder / f"{name}.log" for name in names}
        self._offsets = {
            name: path.stat().st_size if path.exists() else 0 for name, path in self._paths.items()
        }
        self.member_reports: list[MemberReport] = []
        self.service_reports: list[ServiceReport] = []

    def read(self, now_ms: float) -> None:
        """Take in what nodes have logged since the last call."""
        for name in self._paths:
            for line in self._new_lines(name):
                self._take_line(now_ms, name, line)

    def _new_lines(self, name: str) -> list[str]:
        """Return the whole lines that a node has added to its log."""
        path = self._paths[name]
        if not path.exists():
            return []
        with path.open("rb") as log:
            log.seek(self._offsets[name])
            data = log.read()
        whole = data[: data.rfind(b"\n") + 1]
        self._offsets[name] += len(whole)
        return whole.decode(errors="replace").splitlines()

    def _take_line(self, now_ms: float, name: str, line: str) -> None:
        if found := MEMBER_LINE.search(line):
            self.member_reports.append(MemberReport(now_ms, name, found[1], found[2], int(found[3])))
        elif found := SERVICE_LINE.search(line):
            self.service_reports.append(ServiceReport(now_ms, name, found[1] or found[3] or IN_SERVICE))
