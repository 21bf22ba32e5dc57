"""Size experiments: resource limits, isolation, in-process nodes compared with real ones, short plays."""

import http.client
import itertools
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import pytest
from click.testing import CliRunner

from marlseam.__main__ import main
from marlseam.experiment.file import FileError
from marlseam.experiment.processes import RunFailedError
from marlseam.experiment.sizing import isolation
from marlseam.experiment.sizing.comparison import FigurePair, compare
from marlseam.experiment.sizing.cpu_clock import CpuClock
from marlseam.experiment.sizing.endpoint_list.discovery_server import DiscoveryServer
from marlseam.experiment.sizing.endpoint_list.source import EndpointListSource
from marlseam.experiment.sizing.membership.measurement import measure_status
from marlseam.experiment.sizing.membership.scripted_members import member_names
from marlseam.experiment.sizing.plan import PLANNED_SERVERS
from marlseam.experiment.sizing.process_usage import process_cpu_ms, resident_mb
from marlseam.experiment.sizing.resource_need import ResourceLimitError, ResourceNeed, check_resource_need
from marlseam.net import protocol

# Resource limits.


def need_of(count: int) -> ResourceNeed:
    return ResourceNeed(0.5 * count, 20)


def test_size_within_the_limits_is_allowed_and_a_larger_one_is_refused_with_the_largest_allowed():
    assert check_resource_need("x.sizes", [100, 24576], need_of) == ResourceNeed(12288.0, 20)
    text = r"x.sizes: 30000 needs 15000 MB and 20 processes, .*; 24576 would fit"
    with pytest.raises(ResourceLimitError, match=text) as refused:
        check_resource_need("x.sizes", [100, 30000], need_of)
    assert isinstance(refused.value, FileError)
    assert refused.value.largest_allowed == 24576


def test_need_of_too_many_processes_is_refused_at_any_size():
    with pytest.raises(ResourceLimitError, match="no size would fit, ask for fewer real nodes") as refused:
        check_resource_need("x.sizes", [100], lambda _count: ResourceNeed(1.0, 301))
    assert refused.value.largest_allowed == 0


# Isolation.


def test_run_past_its_time_limit_raises_and_restores_signal_handlers():
    before = signal.getsignal(signal.SIGTERM)
    with (
        pytest.raises(isolation.TimeLimitError, match="^run not finished within its time limit of 0.05 s$"),
        isolation.time_limit(0.05),
    ):
        signal.pause()
    assert issubclass(isolation.TimeLimitError, RunFailedError)
    assert signal.getsignal(signal.SIGTERM) is before


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_termination_signal_interrupts_a_run_and_removes_its_directory(tmp_path, number):
    def run_until_signalled():
        with isolation.time_limit(), isolation.working_directory(tmp_path) as directory:
            (directory / "x").write_text("x")
            os.kill(os.getpid(), number)
            signal.pause()

    with pytest.raises(KeyboardInterrupt):
        run_until_signalled()
    assert list(tmp_path.iterdir()) == []


def test_working_directory_is_kept_after_a_process_failed(tmp_path):
    def run_and_fail():
        with isolation.working_directory(tmp_path) as directory:
            (directory / "x").write_text("why")
            raise RunFailedError("x")

    with pytest.raises(RunFailedError):
        run_and_fail()
    assert (tmp_path / "band" / "x").read_text() == "why"


def test_call_in_a_child_process_returns_its_result_or_raises_an_error_for_its_failure():
    assert isolation.call_in_child_process(len, "abc") == 3
    with pytest.raises(isolation.ChildCallError, match="int: ValueError"):
        isolation.call_in_child_process(int, "x")
    with pytest.raises(
        isolation.ChildExitedError, match="exited before the call returned, exit code 3"
    ) as exited:
        isolation.call_in_child_process(os._exit, 3)
    assert exited.value.exit_code == 3
    for error in (isolation.ChildCallError, isolation.ChildExitedError):
        assert issubclass(error, RunFailedError)


HOLDER = """
import os, signal, sys, time
from pathlib import Path
from marlseam.experiment.sizing.isolation import call_in_child_process
from marlseam.experiment.sizing.loopback_nodes import LoopbackNodes, node_config
out = Path(sys.argv[1])
if __name__ == "__main__":
    if sys.argv[2] == "child":
        call_in_child_process(os.execv, sys.executable, [sys.executable, sys.argv[3], sys.argv[1]])
    nodes = LoopbackNodes(out)
    node = nodes.start("n0", node_config("n0", "127.0.0.1:9", 1))
    nodes.wait_until_listening()
    (out / "pid").write_text(str(node.process.pid))
    signal.pause()
"""
SLEEPER = """
import os, signal, sys
from pathlib import Path
Path(sys.argv[1], "pid").write_text(str(os.getpid()))
signal.pause()
"""


def has_ended(pid: int | str, within_s: float = 20.0) -> bool:
    """Return whether a process ends within `within_s` seconds; a zombie counts as ended."""
    end = time.monotonic() + within_s
    while time.monotonic() < end:
        try:
            if Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "Z":
                return True
        except OSError:
            return True
        time.sleep(0.02)
    return False


@pytest.mark.parametrize("process_kind", ["child", "nodes"])
def test_no_process_outlives_a_run_that_is_killed(tmp_path, process_kind):
    (tmp_path / "holder.py").write_text(HOLDER)
    (tmp_path / "sleeper.py").write_text(SLEEPER)
    command = [
        sys.executable,
        str(tmp_path / "holder.py"),
        str(tmp_path),
        process_kind,
        str(tmp_path / "sleeper.py"),
    ]
    env = os.environ | {"PYTHONPATH": str(Path(__file__).parent.parent)}
    holder = subprocess.Popen(command, env=env)
    try:
        end = time.monotonic() + 60.0
        while not (tmp_path / "pid").exists() or not (tmp_path / "pid").read_text():
            assert holder.poll() is None
            assert time.monotonic() < end
            time.sleep(0.02)
        pid = int((tmp_path / "pid").read_text())
        os.kill(pid, 0)
    finally:
        holder.kill()
        holder.wait()
    assert has_ended(pid)


# In-process nodes.


def test_virtual_clock_advances_by_processor_time_only():
    clock = CpuClock()
    clock.advance_to(100.0)
    assert clock.now_ms == clock.current_due_ms() == 100.0
    clock.run(time.sleep, 0.05)
    assert clock.now_ms < 140.0  # sleeping uses no processor time
    assert clock.run(sum, range(300000)) == sum(range(300000))
    spent = clock.cpu_ms
    assert clock.longest_turn_ms > 0.5
    assert clock.now_ms == pytest.approx(100.0 + spent)
    assert clock.turns == 2
    assert clock.begin_measurement() == spent
    assert clock.longest_turn_ms == 0.0


def test_turn_due_while_the_node_is_busy_counts_as_late_and_is_given_its_due_time():
    clock = CpuClock()
    clock.advance_to(100.0)
    clock.run(sum, range(300000))
    first = clock.max_late_ms
    clock.advance_to(100.0)  # due at the same time as the turn before
    clock.run(sum, range(300000))
    assert clock.current_due_ms() == 100.0
    assert clock.max_late_ms > first > 0.0
    assert clock.max_late_ms == pytest.approx(clock.cpu_ms)


def test_comparison_marks_figures_that_differ_by_more_than_the_tolerance():
    rows, ratios = compare({"one_ms_300": FigurePair(1.0, 1.2), "one_ms_21000": FigurePair(1.0, 2.0)})
    assert ratios == {"true_one_ms_300": pytest.approx(1 / 1.2), "true_one_ms_21000": 0.5}
    assert [row[-1] for row in rows[1:]] == ["", "off by over a quarter"]
    assert rows[2][:2] == ["one_ms", "21000"]


def test_processor_time_and_memory_of_a_process_are_read_from_the_system():
    before = process_cpu_ms(os.getpid())
    sum(range(2000000))
    assert process_cpu_ms(os.getpid()) - before > 1.0
    assert resident_mb() > 5.0


# Short runs of the plays; only counts are compared, never times.

ENDPOINT_LIST_EXPERIMENT = """
name = "size-roster"
play = "size_roster"
driver = "virtual"
seed = 47
[size_roster]
sizes = [300, 1000]
real = {real}
changes = 9
real_changes = 2
units = 200
real_units = 20
[expect]
whole_bytes_1000 = {{ most = 150000 }}
one_bytes_1000 = {{ most = 300 }}
touched_300 = {{ most = 300 }}
touched_1000 = {{ most = 1000 }}
reads_1000 = {{ most = 5100 }}
unit_sends_1000 = {{ least = 1, most = 1 }}
unit_probes_1000 = {{ most = 2 }}
"""
MEMBERSHIP_EXPERIMENT = """
name = "size-members"
play = "size_members"
driver = "virtual"
seed = 47
[size_members]
sizes = [300, 1000]
members = 2
seconds = 20
whole = [30]
watched_s = 30
[expect]
letter_most_1000 = { most = 1400 }
letters_1000 = { most = 4.9 }
bytes_s_1000 = { most = 6000 }
zone_letters_1000 = { most = 4.9 }
zone_bytes_s_1000 = { most = 6000 }
gone_bound_s_1000 = { most = 2100 }
whole_false_30 = { most = 0 }
"""


class CountedRun(NamedTuple):
    """The counts of a run, as points of size and value by figure, and its summary."""

    points: dict[str, list[list[float]]]
    summary: dict[str, Any]


@pytest.fixture
def run_experiment(tmp_path: Path) -> Callable[[str], CountedRun]:
    """Return a function that runs an experiment, given as the text of its file."""

    def run(text: str) -> CountedRun:
        path, out = tmp_path / "x.toml", tmp_path / f"out-{len(list(tmp_path.iterdir()))}"
        path.write_text(text)
        result = CliRunner().invoke(main, ["experiment", "run", str(path), "--out", str(out)])
        assert result.exit_code == 0, result.output
        summary = json.loads((out / "summary.json").read_text())
        points = {row["name"]: row["points"] for row in summary["slopes"] if row["how"] == "counted"}
        assert points
        assert not (out / "band").exists()
        assert "<svg" in (out / "report.html").read_text()
        return CountedRun(points, summary)

    return run


@pytest.mark.parametrize(
    "text", [ENDPOINT_LIST_EXPERIMENT.format(real=0), MEMBERSHIP_EXPERIMENT], ids=["endpoint-list", "members"]
)
def test_plays_meet_their_expectations_and_repeat_the_same_counts(run_experiment, text):
    assert run_experiment(text).points == run_experiment(text).points


def test_real_nodes_take_the_same_answers_and_are_compared_with_the_in_process_node(run_experiment):
    points, summary = run_experiment(ENDPOINT_LIST_EXPERIMENT.format(real=2))
    assert points["touched"] == [[300.0, 300.0], [1000.0, 1000.0]]
    figures = summary["figures"]
    assert figures["real_whole_ms_1000"] > 0.0
    assert figures["true_one_ms_300"] > 0.0
    assert [title for title, _ in summary["tables"]] == ["Slopes", "Hollow beside 2 real nodes"]


def test_list_above_the_memory_limit_is_refused_with_the_largest_allowed_size(tmp_path):
    path = tmp_path / "x.toml"
    path.write_text(
        ENDPOINT_LIST_EXPERIMENT.format(real=20).replace("sizes = [300, 1000]", "sizes = [300, 300000]")
    )
    result = CliRunner().invoke(main, ["experiment", "run", str(path), "--out", str(tmp_path / "out")])
    assert result.exit_code == 2
    assert "size_roster.sizes: 300000 needs" in result.output
    assert "would fit" in result.output
    assert not (tmp_path / "out" / "band").exists()


def test_whole_list_at_the_planned_size_is_below_the_length_limit_of_answers():
    source = EndpointListSource(PLANNED_SERVERS)
    source.list_all()
    assert len(source.answer(0, whole=True)) < protocol.MAX_LIST_BYTES


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_interrupted_run_leaves_no_process_and_no_directory(tmp_path, number):
    path, out = tmp_path / "x.toml", tmp_path / "out"
    path.write_text(
        ENDPOINT_LIST_EXPERIMENT.format(real=2).replace("real_changes = 2", "real_changes = 2000")
    )
    command = [sys.executable, "-m", "marlseam", "experiment", "run", str(path), "--out", str(out)]
    run = subprocess.Popen(
        command,
        stderr=subprocess.DEVNULL,
        cwd=Path(__file__).parent.parent,
        # Guards against an ignored SIGINT, which a suite started in the background by a shell passes on.
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )
    try:
        end, log = time.monotonic() + 60.0, out / "band" / "logs" / "n1.log"
        while not log.exists() or "listens on" not in log.read_text():
            assert run.poll() is None
            assert time.monotonic() < end
            time.sleep(0.02)
        children = Path(f"/proc/{run.pid}/task/{run.pid}/children").read_text().split()
        assert len(children) >= 2
        run.send_signal(number)
        assert run.wait(30.0) != 0
    finally:
        run.kill()
        run.wait()
    assert all(has_ended(pid) for pid in children)
    assert not (out / "band").exists()


def test_discovery_server_answers_a_watch_without_changes_at_the_end_of_its_timeout():
    source = EndpointListSource(3)
    source.change_next_entry()
    discovery = DiscoveryServer(source)
    try:
        call = http.client.HTTPConnection(discovery.address, timeout=10.0)
        call.request("GET", f"{protocol.LIST_PATH}?since=1&timeout_ms=50")
        answer = json.loads(call.getresponse().read())
        # A node treats any other answer as a failed watch, and requests the whole list.
        assert answer == {"seq": 1, "whole": False, "hosts": []}
        call.close()
    finally:
        discovery.close()


def test_length_of_the_status_does_not_depend_on_the_time_that_making_it_takes(monkeypatch):
    names, clock = member_names(40), itertools.count()
    monkeypatch.setattr("marlseam.net.loop.time.monotonic", lambda: 1e-3 * next(clock) ** 2)
    assert len({measure_status(names).status_bytes for _ in range(3)}) == 1
