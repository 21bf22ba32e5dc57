"""Child processes of an experiment: their output, signals and the errors raised for failures."""

import signal
from pathlib import Path

import pytest

from marlseam.experiment.processes import (
    ChildProcess,
    NodeFailedError,
    ProcessEndedError,
    ProcessTimeoutError,
    RunFailedError,
)


def test_a_printed_line_is_read_as_json_and_end_terminates_the_process(tmp_path: Path) -> None:
    process = ChildProcess(["standin", "echo"], tmp_path / "log")
    assert process.read_json()["node"].startswith("127.0.0.1:")
    assert process.is_running()
    assert process.cpu_s() > 0.0
    process.end()
    assert not process.is_running()


def test_a_process_that_ends_without_a_line_raises_an_error_with_the_last_line_of_its_log(
    tmp_path: Path,
) -> None:
    process = ChildProcess(["no-such-command", "at", "all"], tmp_path / "log")
    with pytest.raises(
        ProcessEndedError, match="^no-such-command at ended before it printed a line; last line of its log: "
    ) as error:
        process.read_json()
    assert error.value.command == "no-such-command at"
    assert error.value.last_log_line == process.tail()
    assert "no-such-command" in process.tail()
    process.end()


def test_a_process_that_prints_no_line_in_time_raises_an_error_with_the_timeout(tmp_path: Path) -> None:
    process = ChildProcess(["standin", "echo"], tmp_path / "log")
    process.read_json()
    assert not process.has_output()
    with pytest.raises(ProcessTimeoutError, match="^standin echo printed no line within 0.01 s$") as error:
        process.read_json(0.01)
    assert (error.value.command, error.value.waited_s) == ("standin echo", 0.01)
    process.end()


def test_a_signal_to_an_ended_process_is_ignored(tmp_path: Path) -> None:
    process = ChildProcess(["standin", "echo"], tmp_path / "log")
    process.read_json()
    process.end()
    process.signal(signal.SIGTERM)


def test_errors_of_processes_and_nodes_are_run_failures_that_name_the_node_and_reason() -> None:
    error = NodeFailedError("n1", "was not ready within 20 s")
    assert isinstance(error, RunFailedError)
    assert (str(error), error.node, error.reason) == (
        "node n1 was not ready within 20 s",
        "n1",
        "was not ready within 20 s",
    )
    assert issubclass(ProcessEndedError, RunFailedError)
    assert issubclass(ProcessTimeoutError, RunFailedError)
