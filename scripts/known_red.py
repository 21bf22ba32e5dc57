"""Pytest plugin, loaded by scripts/test: only tests listed in KNOWN-RED.txt may fail.

Each line of the file has the form `test id | cause | issue`. Listed tests are run too. The run fails if an
unlisted test fails, a listed test passes, does not run or does not exist, the file has more than MAX_ENTRIES
entries or lists a test twice, or a line is malformed. A test whose cause begins with `flaky:` fails only in
some runs, so that it may pass too; both results are printed.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MAX_ENTRIES = 3
SEPARATOR = " | "
FIELDS_OF_ENTRY = 3
FLAKY_PREFIX = "flaky:"  # prefix of the cause of a test that fails only in some runs


class MalformedEntryError(Exception):
    """A line of the file is not of the form `test id | cause | issue`.

    Attributes:
        line: the malformed line.
    """

    def __init__(self, line: str) -> None:
        super().__init__(line)
        self.line = line


@dataclass(frozen=True, slots=True)
class Entry:
    """A test that is known to fail.

    Attributes:
        test: the test's id in pytest.
        cause: why the test fails; begins with FLAKY_PREFIX if the test fails only in some runs.
        issue: the issue that tracks the failure.
    """

    test: str
    cause: str
    issue: str

    @property
    def is_flaky(self) -> bool:
        """Whether the test fails only in some runs, so that it may pass too."""
        return self.cause.startswith(FLAKY_PREFIX)


def parse_entry(line: str) -> Entry:
    """Parse one line of the file; raise MalformedEntryError if it is not of the required form."""
    fields = [text.strip() for text in line.split(SEPARATOR)]
    if len(fields) != FIELDS_OF_ENTRY or not all(fields):
        raise MalformedEntryError(line)
    return Entry(*fields)


class KnownFailures:
    """Observes one run of pytest and compares its failures with the list of known ones.

    Attributes:
        entries: the entries of the file by the test's id.
        problems: the problems of the file, each a line to print.
        collected: the ids of the collected tests.
        failed: the ids of the tests that failed in set-up, call or tear-down.
        ran: the ids of the tests whose call phase ran.
        is_whole_run: whether the run was started for all tests, without a selection.
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
        """Store the ids of the collected tests, and whether the run is for all tests."""
        config = session.config
        self.collected = {item.nodeid for item in session.items}
        has_filter = config.option.keyword or config.option.markexpr or config.option.deselect
        has_paths = config.args_source is pytest.Config.ArgsSource.ARGS
        self.is_whole_run = not (has_filter or has_paths or config.option.collectonly)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Store that a test ran, or that one of its phases failed."""
        if report.failed:
            self.failed.add(report.nodeid)
        if report.when == "call":
            self.ran.add(report.nodeid)

    @pytest.hookimpl(tryfirst=True)
    def pytest_sessionfinish(self, session: pytest.Session, exitstatus: int) -> None:
        """Set the exit status: a run passes if all its failures are listed and the list has no problem."""
        self.problems += self.find_disagreements()
        if self.problems and exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED
        elif (
            not self.problems
            and exitstatus == pytest.ExitCode.TESTS_FAILED
            and self.has_only_known_failures()
        ):
            session.exitstatus = pytest.ExitCode.OK

    def has_only_known_failures(self) -> bool:
        """Return whether at least one test failed and all failed tests are listed."""
        return bool(self.failed) and self.failed <= self.entries.keys()

    def find_disagreements(self) -> Iterator[str]:
        """Yield a line for each entry that does not agree with this run."""
        for test, entry in self.entries.items():
            if test in self.ran - self.failed and not entry.is_flaky:
                yield f"{FILE}: {test} does not fail any more: take it off"
            elif self.is_whole_run and test not in self.collected:
                yield f"{FILE}: {test} does not exist"
            elif self.is_whole_run and test not in self.ran | self.failed:
                yield f"{FILE}: {test} did not run"

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the known failures and passed flaky tests with their causes, then the file's problems."""
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
    """Read KNOWN-RED.txt in the root folder, if it exists, and register the plugin for the run."""
    path = Path(config.rootpath) / FILE
    entries: list[Entry] = []
    malformed: list[str] = []
    lines = path.read_text().splitlines() if path.exists() else []
    for line in filter(str.strip, lines):
        try:
            entries.append(parse_entry(line))
        except MalformedEntryError as error:
            malformed.append(error.line)
    config.pluginmanager.register(KnownFailures(entries, malformed), "known-red")
