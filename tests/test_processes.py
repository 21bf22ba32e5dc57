"""Processes of an experiment: what they print, and how their failures are told."""

import signal
from pathlib import Path

import pytest

from marlseam.experiment.processes import (
    ChildProcess,
    NodeFailedError,
    ProcessEndedError,
    ProcessSilentError,
    RunFailedError,
)


def test_a_line_is_read_as_json_and_the_process_ends_when_told(tmp_path: Path) -> None:
    process = ChildProcess(["standin", "echo"], tmp_path / "log")
    assert process.read_json()["node"].startswith("127.0.0.1:")
    assert process.is_running()
    assert process.cpu_s() > 0.0
    process.end()
    assert not process.is_running()


def test_a_process_that_ends_without_a_line_is_told_with_the_last_line_of_its_log(tmp_path: Path) -> None:
    process = ChildProcess(["no-such-command", "at", "all"], tmp_path / "log")
    with pytest.raises(ProcessEndedError, match="^no-such-command at ended at once: ") as error:
        process.read_json()
    assert error.value.command == "no-such-command at"
    assert error.value.last_log_line == process.tail()
    assert "no-such-command" in process.tail()
    process.end()


def test_a_process_that_prints_nothing_in_time_is_told_with_the_time(tmp_path: Path) -> None:
    process = ChildProcess(["standin", "echo"], tmp_path / "log")
    process.read_json()
    assert not process.has_output()
    with pytest.raises(ProcessSilentError, match="^standin echo said nothing for 0.01 s$") as error:
        process.read_json(0.01)
    assert (error.value.command, error.value.waited_s) == ("standin echo", 0.01)
    process.end()


def test_a_signal_to_a_process_that_has_ended_is_dropped(tmp_path: Path) -> None:
    process = ChildProcess(["standin", "echo"], tmp_path / "log")
    process.read_json()
    process.end()
    process.signal(signal.SIGTERM)


def test_failures_of_processes_and_nodes_are_failures_of_the_run() -> None:
    error = NodeFailedError("n1", "was not ready in 20 s")
    assert isinstance(error, RunFailedError)
    assert (str(error), error.node, error.reason) == (
        "node n1 was not ready in 20 s",
        "n1",
        "was not ready in 20 s",
    )
    assert issubclass(ProcessEndedError, RunFailedError)
    assert issubclass(ProcessSilentError, RunFailedError)
