"""Reads what nodes log about cluster members, versions and their own service, while the logs are written."""

import re
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

MEMBER_LINE = re.compile(r"member (\S+) (here|suspect|gone|left) life=(\d+)")
SERVICE_LINE = re.compile(r"acts on version (\d+)|(in service)$|fleet code=(\S+): out of service")
GONE = "gone"  # the status of a member that is considered dead, in logs
IN_SERVICE = "in"  # the `ServiceReport.state` of a node that is in service


class MemberReport(NamedTuple):
    """A line of a node's log about the status of a member.

    Attributes:
        at_ms: when the line was read, in ms of the run.
        reporter: the node whose log it is.
        member: the name of the member that the line is about.
        status: here, suspect, gone or left.
        generation: the generation of the member's process.
    """

    at_ms: float
    reporter: str
    member: str
    status: str
    generation: int


class ServiceReport(NamedTuple):
    """A line of a node's log about the version that the node acts on, or whether the node is in service.

    Attributes:
        at_ms: when the line was read, in ms of the run.
        node: the node whose log it is.
        state: the number of a version, `IN_SERVICE`, or the reason code of a node that is out of service.
    """

    at_ms: float
    node: str
    state: str

    @property
    def version(self) -> int | None:
        """The version that the node acts on, or None where the line is about being in or out of service."""
        return int(self.state) if self.state.isdecimal() else None


class LogReader:
    """Reads what is appended to the logs of nodes after the reader is constructed.

    Attributes:
        member_reports: lines about members, in the order in which they were read.
        service_reports: lines about versions and service, in the order in which they were read.
    """

    def __init__(self, names: Iterable[str], folder: Path) -> None:
        """Start at the present ends of the logs, as `folder` may hold the logs of an earlier run."""
        self._paths = {name: folder / f"{name}.log" for name in names}
        self._offsets = {
            name: path.stat().st_size if path.exists() else 0 for name, path in self._paths.items()
        }
        self.member_reports: list[MemberReport] = []
        self.service_reports: list[ServiceReport] = []

    def read(self, now_ms: float) -> None:
        """Parse the lines that nodes have logged since the last call; `now_ms` becomes their `at_ms`."""
        for name in self._paths:
            for line in self._new_lines(name):
                self._parse_line(now_ms, name, line)

    def _new_lines(self, name: str) -> list[str]:
        """Return the complete lines that were appended to a node's log since the last call."""
        path = self._paths[name]
        if not path.exists():
            return []
        with path.open("rb") as log:
            log.seek(self._offsets[name])
            data = log.read()
        complete = data[: data.rfind(b"\n") + 1]
        self._offsets[name] += len(complete)
        return complete.decode(errors="replace").splitlines()

    def _parse_line(self, now_ms: float, name: str, line: str) -> None:
        if found := MEMBER_LINE.search(line):
            self.member_reports.append(MemberReport(now_ms, name, found[1], found[2], int(found[3])))
        elif found := SERVICE_LINE.search(line):
            self.service_reports.append(ServiceReport(now_ms, name, found[1] or found[3] or IN_SERVICE))
