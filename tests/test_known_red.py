"""The plugin scripts/known_red.py: only listed tests may fail, and the list must agree with the run."""

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
FAILING = "test_it.py::test_bad | loses an answer | issue 1"
BROKEN = "test_it.py::test_of_a_broken_fixture | no disk | issue 2"


def run_pytest(folder: Path, *lines: str, tests: str = TESTS, args: tuple[str, ...] = ()) -> tuple[int, str]:
    """Run pytest on `tests` with a list of known failures; return its exit status and its output."""
    (folder / "test_it.py").write_text(tests)
    (folder / "pytest.ini").write_text("[pytest]\n")
    if lines:
        (folder / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))
    command = [sys.executable, "-m", "pytest", "-q", "-p", "known_red", "-p", "no:cacheprovider", *args]
    result = subprocess.run(
        command, cwd=folder, env={"PYTHONPATH": str(SCRIPTS)}, capture_output=True, text=True
    )
    return result.returncode, result.stdout


def test_a_run_passes_if_all_failures_are_listed_and_prints_their_causes(tmp_path):
    status, output = run_pytest(tmp_path, FAILING, BROKEN)
    assert status == 0
    assert "known failure: test_it.py::test_bad: loses an answer (issue 1)" in output
    assert "1 passed" in output


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        ((), ""),
        ((FAILING,), ""),
        ((FAILING, BROKEN, "test_it.py::test_good | c | issue 3"), "test_good does not fail any more"),
        ((FAILING, BROKEN, "test_it.py::test_gone | c | issue 3"), "test_gone does not exist"),
        ((FAILING, BROKEN, "test_it.py::test_skipped | c | issue 3"), "test_skipped did not run"),
        ((FAILING, BROKEN, FAILING), "listed twice"),
        ((FAILING, BROKEN, *(f"test_it.py::test_{n} | c | i" for n in "ab")), "4 entries, at most 3"),
        ((FAILING, BROKEN, "test_it.py::test_good"), "malformed line"),
        ((FAILING, BROKEN, "test_it.py::test_good | | issue 3"), "malformed line"),
    ],
)
def test_a_run_fails_if_an_unlisted_test_fails_or_the_list_disagrees_with_it(tmp_path, lines, message):
    status, output = run_pytest(tmp_path, *lines)
    assert status == 1
    assert message in output


@pytest.mark.parametrize(
    ("body", "message"), [("pass", "known to fail at times, passed"), ("assert 0", "known failure")]
)
def test_a_run_passes_and_prints_a_listed_flaky_test_whether_it_passes_or_fails(tmp_path, body, message):
    line = "test_it.py::test_at_times | flaky: on busy cores | issue 4"
    status, output = run_pytest(tmp_path, line, tests=f"def test_at_times(): {body}")
    assert status == 0
    assert f"{message}: test_it.py::test_at_times: flaky: on busy cores (issue 4)" in output


def test_a_run_fails_if_a_listed_flaky_test_does_not_exist(tmp_path):
    status, output = run_pytest(
        tmp_path, "test_it.py::test_gone | flaky: at times | issue 4", tests="def test_good(): pass"
    )
    assert status == 1
    assert "test_gone does not exist" in output


def test_a_run_without_failures_fails_if_a_listed_test_passes(tmp_path):
    status, output = run_pytest(tmp_path, FAILING, tests="def test_bad(): pass")
    assert status == 1
    assert "does not fail any more" in output


def test_a_run_of_selected_tests_passes_without_the_listed_tests(tmp_path):
    assert run_pytest(tmp_path, FAILING, BROKEN, args=("-k", "good"))[0] == 0


def test_a_collection_error_keeps_its_exit_status(tmp_path):
    assert run_pytest(tmp_path, FAILING, tests="import nothing_of_this_name")[0] == 2
