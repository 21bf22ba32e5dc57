"""Only listed tests may fail, and the list has to be true of the run (scripts/known_red.py)."""

import subprocess
import sys
from pathlib import Path

import pytest

SCRIPTS = Path(__file__).parent.parent / "scripts"
TESTS = """
import pytest
def test_good(): pass
def test_bad(): assert False
@pytest.fixture
def broken(): raise OSError
def test_of_a_broken_fixture(broken): pass
@pytest.mark.skipif("True", reason="never")
def test_skipped(): pass
"""
BAD = "test_it.py::test_bad | loses an answer | issue 1"
BROKEN = "test_it.py::test_of_a_broken_fixture | no disk | issue 2"


def play(folder: Path, *lines: str, tests: str = TESTS, args: tuple[str, ...] = ()) -> tuple[int, str]:
    """Run pytest in a folder with such a list; return its exit status and what it printed."""
    (folder / "test_it.py").write_text(tests)
    (folder / "pytest.ini").write_text("[pytest]\n")
    if lines:
        (folder / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))
    command = [sys.executable, "-m", "pytest", "-q", "-p", "known_red", "-p", "no:cacheprovider", *args]
    ended = subprocess.run(
        command, cwd=folder, env={"PYTHONPATH": str(SCRIPTS)}, capture_output=True, text=True
    )
    return ended.returncode, ended.stdout


def test_listed_failures_pass_and_are_printed_with_their_cause(tmp_path):
    status, printed = play(tmp_path, BAD, BROKEN)
    assert status == 0
    assert "known failure: test_it.py::test_bad: loses an answer (issue 1)" in printed
    assert "1 passed" in printed


@pytest.mark.parametrize(
    ("lines", "says"),
    [
        ((), ""),
        ((BAD,), ""),
        ((BAD, BROKEN, "test_it.py::test_good | c | issue 3"), "test_good does not fail any more"),
        ((BAD, BROKEN, "test_it.py::test_gone | c | issue 3"), "test_gone does not exist"),
        ((BAD, BROKEN, "test_it.py::test_skipped | c | issue 3"), "test_skipped did not run"),
        ((BAD, BROKEN, BAD), "listed twice"),
        ((BAD, BROKEN, *(f"test_it.py::test_{n} | c | i" for n in "ab")), "4 entries, at most 3"),
        ((BAD, BROKEN, "test_it.py::test_good"), "malformed line"),
        ((BAD, BROKEN, "test_it.py::test_good | | issue 3"), "malformed line"),
    ],
)
def test_the_run_fails_where_the_list_is_not_true(tmp_path, lines, says):
    status, printed = play(tmp_path, *lines)
    assert status == 1
    assert says in printed


@pytest.mark.parametrize(
    ("body", "says"), [("pass", "known to fail at times, passed"), ("assert 0", "known failure")]
)
def test_a_flaky_test_that_is_listed_may_pass_or_fail_and_is_printed(tmp_path, body, says):
    line = "test_it.py::test_at_times | flaky: on busy cores | issue 4"
    status, printed = play(tmp_path, line, tests=f"def test_at_times(): {body}")
    assert status == 0
    assert f"{says}: test_it.py::test_at_times: flaky: on busy cores (issue 4)" in printed


def test_a_flaky_test_that_is_gone_fails_the_run(tmp_path):
    status, printed = play(
        tmp_path, "test_it.py::test_gone | flaky: at times | issue 4", tests="def test_good(): pass"
    )
    assert status == 1
    assert "test_gone does not exist" in printed


def test_a_list_without_failures_fails_a_run_that_passes(tmp_path):
    status, printed = play(tmp_path, BAD, tests="def test_bad(): pass")
    assert status == 1
    assert "does not fail any more" in printed


def test_part_of_the_tests_can_be_run_without_the_listed_ones(tmp_path):
    assert play(tmp_path, BAD, BROKEN, args=("-k", "good"))[0] == 0


def test_a_run_that_cannot_collect_its_tests_is_never_passed_over(tmp_path):
    assert play(tmp_path, BAD, tests="import nothing_of_this_name")[0] == 2
