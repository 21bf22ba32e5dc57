"""Pytest plugin: tests listed in KNOWN-RED.txt may fail, and only they; loaded by scripts/test.

Each line of the file reads `test id | cause | issue`. All tests run. The run fails where an unlisted test
fails, a listed test passes or does not exist, the file holds over MAX_ENTRIES, or a line is malformed.
A test whose cause begins with `flaky:` fails in some runs alone, so it may pass too; either is printed.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MAX_ENTRIES = 3
SEPARATOR = " | "
FIELDS_OF_ENTRY = 3
FLAKY = "flaky:"  # how the cause of a test begins that fails in some runs alone


class MalformedEntryError(Exception):
    """A line of the file does not hold a test, a cause and an issue.

    Attributes:
        line: the line.
    """

    def __init__(self, line: str) -> None:
        super().__init__(line)
        self.line = line


@dataclass(frozen=True, slots=True)
class Entry:
    """A test that is known to fail.

    Attributes:
        test: its id.
        cause: why it fails; it begins with FLAKY where it fails in some runs alone.
        issue: the issue that tracks it.
    """

    test: str
    cause: str
    issue: str

    @property
    def is_flaky(self) -> bool:
        """Return whether the test may pass too."""
        return self.cause.startswith(FLAKY)


def entry_from(line: str) -> Entry:
    """Read one line of the file; raises MalformedEntryError."""
    fields = [text.strip() for text in line.split(SEPARATOR)]
    if len(fields) != FIELDS_OF_ENTRY or not all(fields):
        raise MalformedEntryError(line)
    return Entry(*fields)


class KnownRed:
    """Follows one run of pytest and decides whether its failures are the known ones.

    Attributes:
        entries: the entries of the file by the test's id.
        problems: what is wrong with the file, a line each.
        collected: the tests that were found.
        failed: the tests of which a phase failed.
        ran: the tests that ran.
        is_whole_run: whether the run was asked for all tests.
    """

    def __init__(self, entries: list[Entry], malformed: list[str]) -> None:
        self.entries = {entry.test: entry for entry in entries}
        self.problems = [f"{FILE}: malformed line: {line}" for line in malformed]
        if len(entries) > MAX_ENTRIES:
            self.problems.append(f"{FILE}: {len(entries)} entries, at most {MAX_ENTRIES} are allowed")
        if len(self.entries) < len(entries):
            self.problems.append(f"{FILE}: a test is listed twice")
        self.collected: set[str] = set()
        self.failed: set[str] = set()
        self.ran: set[str] = set()
        self.is_whole_run = False

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        """Note which tests were found."""
        config = session.config
        self.collected = {item.nodeid for item in session.items}
        narrowed = config.option.keyword or config.option.markexpr or config.option.deselect
        named = config.args_source is pytest.Config.ArgsSource.ARGS
        self.is_whole_run = not (narrowed or named or config.option.collectonly)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note a phase of a test that failed, and that a test ran."""
        if report.failed:
            self.failed.add(report.nodeid)
        if report.when == "call":
            self.ran.add(report.nodeid)

    @pytest.hookimpl(tryfirst=True)
    def pytest_sessionfinish(self, session: pytest.Session, exitstatus: int) -> None:
        """Decide the exit status: only a run whose failures are all listed is passed over."""
        self.problems += self.contradictions()
        if self.problems and exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED
        elif (
            not self.problems
            and exitstatus == pytest.ExitCode.TESTS_FAILED
            and self.has_only_known_failures()
        ):
            session.exitstatus = pytest.ExitCode.OK

    def has_only_known_failures(self) -> bool:
        """Return whether tests failed, all of them listed."""
        return bool(self.failed) and self.failed <= self.entries.keys()

    def contradictions(self) -> Iterator[str]:
        """Yield each way in which the file is not true of this run."""
        for test, entry in self.entries.items():
            if test in self.ran - self.failed and not entry.is_flaky:
                yield f"{FILE}: {test} does not fail any more: take it off"
            elif self.is_whole_run and test not in self.collected:
                yield f"{FILE}: {test} does not exist"
            elif self.is_whole_run and test not in self.ran | self.failed:
                yield f"{FILE}: {test} did not run"

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the known failures with their causes, then what is wrong with the file."""
        for test in sorted(self.failed & self.entries.keys()):
            entry = self.entries[test]
            terminalreporter.write_line(f"known failure: {test}: {entry.cause} ({entry.issue})")
        for test, entry in self.entries.items():
            if entry.is_flaky and test in self.ran - self.failed:
                terminalreporter.write_line(
                    f"known to fail at times, passed: {test}: {entry.cause} ({entry.issue})"
                )
        for problem in self.problems:
            terminalreporter.write_line(problem, red=True)


def pytest_configure(config: pytest.Config) -> None:
    """Read the list of known failures, if there is one, and follow the run."""
    path = Path(config.rootpath) / FILE
    entries: list[Entry] = []
    malformed: list[str] = []
    lines = path.read_text().splitlines() if path.exists() else []
    for line in filter(str.strip, lines):
        try:
            entries.append(entry_from(line))
        except MalformedEntryError as error:
            malformed.append(error.line)
    config.pluginmanager.register(KnownRed(entries, malformed), "known-red")
