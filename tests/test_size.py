"""The rig of the size experiments: lines through points, what is refused, its end, hollow beside real."""

import http.client
import itertools
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from marlseam.__main__ import main
from marlseam.experiment import report, size, size_members, size_roster, slope
from marlseam.experiment.file import FileError
from marlseam.experiment.processes import RunFailedError
from marlseam.net import protocol

# Lines and bounds.


def test_a_line_is_found_again_and_its_miss_is_none():
    found = slope.fit([(n, 3.0 + 0.25 * n) for n in (300, 1000, 3000, 10000, 21000)])
    assert found.a == pytest.approx(3.0)
    assert found.b == pytest.approx(0.25)
    assert found.miss == pytest.approx(0.0, abs=1e-9)


def test_the_smallest_sizes_count_as_much_as_the_greatest():
    points = [(n, 1.0 + 0.001 * n) for n in (10, 100, 1000)] + [(10000, 22.0)]
    found = slope.fit(points)
    assert abs(found.at(10) - 1.01) < 0.2  # plain least squares would follow the last point alone
    assert found.miss > 0.1


def test_a_curve_shows_as_a_miss():
    assert slope.fit([(n, float(n * n)) for n in (100, 300, 1000, 3000, 10000)]).miss > 0.5


def test_points_of_one_size_and_all_zero_are_flat():
    assert slope.fit([(5, 2.0), (5, 2.0)]) == (2.0, 0.0, 0.0)
    assert slope.fit([(5, 0.0), (50, 0.0)]) == (0.0, 0.0, 0.0)
    with pytest.raises(ValueError):
        slope.fit([])


def made(bound=None, full=1000.0):
    return slope.Slope("turn_ms", "ms", "hollow", [(10.0, 1.0), (100.0, 2.0), (1000.0, 12.0)], full, bound)


def test_what_was_found_at_the_full_size_goes_before_the_line():
    assert made().value == 12.0
    assert made().ratio is None
    assert made(6.0).ratio == 2.0
    assert made(full=10000.0).value == pytest.approx(made().fit.at(10000.0))


def test_slopes_become_figures_and_rows_with_the_worst_first():
    found = slope.figures([made(6.0)])
    assert found["turn_ms_10"] == 1.0
    assert found["turn_ms_over"] == 2.0
    assert found["turn_ms_full"] == 12.0
    rows = slope.rows([made(), made(24.0), made(6.0)])
    assert [row[-1] for row in rows[1:]] == ["2", "0.5", "-"]


def test_the_report_draws_points_line_and_bound():
    drawn = report.slope_chart(made(6.0))
    assert drawn.count("<circle") == 3
    assert "bound 6" in drawn
    assert "largest miss" in drawn
    assert "bound" not in report.slope_chart(made())
    assert "<svg" in report.slope_chart(made())
    nothing = slope.Slope("none", "ms", "hollow", [(10.0, 0.0)], 100.0)
    assert report.slope_chart(nothing) == ""


# What is refused.


def need(count):
    return size.Need(0.5 * count, 20)


def test_what_fits_is_played_and_what_does_not_is_refused_with_what_would():
    assert size.afford("x.sizes", [100, 24576], need) == size.Need(12288.0, 20)
    with pytest.raises(
        FileError, match=r"x.sizes: 30000 needs 15000 MB and 20 processes, .*; 24576 would fit"
    ):
        size.afford("x.sizes", [100, 30000], need)


def test_too_many_processes_are_refused_whatever_the_size():
    with pytest.raises(FileError, match="no size would fit, ask for fewer real nodes"):
        size.afford("x.sizes", [100], lambda count: size.Need(1.0, 301))


# Its end.


def test_a_play_that_is_not_over_in_time_fails():
    before = signal.getsignal(signal.SIGTERM)
    with pytest.raises(RunFailedError, match="not over after 0.05 s"), size.limited(0.05):
        signal.pause()
    assert signal.getsignal(signal.SIGTERM) is before


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_a_signal_to_end_unwinds_a_play_and_takes_its_folder_along(tmp_path, number):
    with pytest.raises(KeyboardInterrupt), size.limited(), size.scratch(tmp_path) as folder:
        (folder / "x").write_text("x")
        os.kill(os.getpid(), number)
        signal.pause()
    assert list(tmp_path.iterdir()) == []


def test_the_folder_stays_where_something_failed(tmp_path):
    with pytest.raises(RunFailedError), size.scratch(tmp_path) as folder:
        (folder / "x").write_text("why")
        raise RunFailedError("x")
    assert (tmp_path / "band" / "x").read_text() == "why"


def test_a_call_apart_returns_and_its_failure_is_told():
    assert size.apart(len, "abc") == 3
    with pytest.raises(RunFailedError, match="int: ValueError"):
        size.apart(int, "x")
    with pytest.raises(RunFailedError, match="ended at once"):
        size.apart(os._exit, 3)


HOLDER = """
import os, signal, sys, time
from pathlib import Path
from marlseam.experiment import size
out = Path(sys.argv[1])
if __name__ == "__main__":
    if sys.argv[2] == "apart":
        size.apart(os.execv, sys.executable, [sys.executable, sys.argv[3], sys.argv[1]])
    band = size.Band(out)
    node = band.start("n0", size.node_config("n0", "127.0.0.1:9", 1))
    band.listens()
    (out / "pid").write_text(str(node.process.pid))
    signal.pause()
"""
SLEEPER = """
import os, signal, sys
from pathlib import Path
Path(sys.argv[1], "pid").write_text(str(os.getpid()))
signal.pause()
"""


def gone(pid, within_s=20.0):
    """Return whether a process ends; one that is dead and not yet collected counts as ended."""
    end = time.monotonic() + within_s
    while time.monotonic() < end:
        try:
            if Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "Z":
                return True
        except OSError:
            return True
        time.sleep(0.02)
    return False


@pytest.mark.parametrize("what", ["apart", "band"])
def test_nothing_outlives_a_play_that_is_killed(tmp_path, what):
    (tmp_path / "holder.py").write_text(HOLDER)
    (tmp_path / "sleeper.py").write_text(SLEEPER)
    words = [sys.executable, str(tmp_path / "holder.py"), str(tmp_path), what, str(tmp_path / "sleeper.py")]
    env = os.environ | {"PYTHONPATH": str(Path(__file__).parent.parent)}
    holder = subprocess.Popen(words, env=env)
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
    assert gone(pid)


# Hollow nodes.


def test_the_virtual_clock_goes_on_by_processor_time_alone():
    clock = size.Charged()
    clock.wait(100.0)
    assert clock.now_ms == clock.due() == 100.0
    clock.do(time.sleep, 0.05)
    assert clock.now_ms < 140.0  # what sleeps uses none
    assert clock.do(sum, range(300000)) == sum(range(300000))
    spent = clock.cpu_ms
    assert clock.longest_ms > 0.5
    assert clock.now_ms == pytest.approx(100.0 + spent)
    assert clock.turns == 2
    assert clock.mark() == spent
    assert clock.longest_ms == 0.0


def test_what_is_due_while_a_hollow_node_is_busy_is_late_and_told_its_due_time():
    clock = size.Charged()
    clock.wait(100.0)
    clock.do(sum, range(300000))
    first = clock.late_ms
    clock.wait(100.0)  # due at the same time as what went before it
    clock.do(sum, range(300000))
    assert clock.due() == 100.0
    assert clock.late_ms > first > 0.0
    assert clock.late_ms == pytest.approx(clock.cpu_ms)


def test_hollow_beside_real_tells_what_is_off():
    rows, found = size.beside({"one_ms_300": (1.0, 1.2), "one_ms_21000": (1.0, 2.0)})
    assert found == {"true_one_ms_300": pytest.approx(1 / 1.2), "true_one_ms_21000": 0.5}
    assert [row[-1] for row in rows[1:]] == ["", "off by over a quarter"]
    assert rows[2][:2] == ["one_ms", "21000"]


def test_a_process_is_read_by_its_own_clock():
    before = size.cpu_ms(os.getpid())
    sum(range(2000000))
    assert size.cpu_ms(os.getpid()) - before > 1.0
    assert size.resident_mb() > 5.0


# The plays, in a short form: what is counted, never times.

ROSTER = """
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
MEMBERS = """
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


@pytest.fixture
def counted(tmp_path):
    """Return a function that runs an experiment file and returns what it counted, and its summary."""

    def run(text):
        path, out = tmp_path / "x.toml", tmp_path / f"out-{len(list(tmp_path.iterdir()))}"
        path.write_text(text)
        result = CliRunner().invoke(main, ["experiment", "run", str(path), "--out", str(out)])
        assert result.exit_code == 0, result.output
        summary = json.loads((out / "summary.json").read_text())
        slopes = {row["name"]: row["points"] for row in summary["slopes"] if row["how"] == "counted"}
        assert slopes
        assert not (out / "band").exists()
        assert "<svg" in (out / "report.html").read_text()
        return slopes, summary

    return run


@pytest.mark.parametrize("text", [ROSTER.format(real=0), MEMBERS], ids=["roster", "members"])
def test_the_short_forms_hold_and_count_the_same_twice(counted, text):
    assert counted(text)[0] == counted(text)[0]


def test_real_nodes_take_in_what_hollow_ones_do_and_both_are_set_side_by_side(counted):
    slopes, summary = counted(ROSTER.format(real=2))
    assert slopes["touched"] == [[300.0, 300.0], [1000.0, 1000.0]]
    figures = summary["figures"]
    assert figures["real_whole_ms_1000"] > 0.0
    assert figures["true_one_ms_300"] > 0.0
    assert [title for title, _ in summary["tables"]] == ["Slopes", "Hollow beside 2 real nodes"]


def test_a_list_that_would_not_fit_is_refused_with_what_would(tmp_path):
    path = tmp_path / "x.toml"
    path.write_text(ROSTER.format(real=20).replace("sizes = [300, 1000]", "sizes = [300, 300000]"))
    result = CliRunner().invoke(main, ["experiment", "run", str(path), "--out", str(tmp_path / "out")])
    assert result.exit_code == 2
    assert "size_roster.sizes: 300000 needs" in result.output
    assert "would fit" in result.output
    assert not (tmp_path / "out" / "band").exists()


def test_a_whole_list_at_the_full_size_fits_what_a_node_takes():
    listing = size_roster.Listing(size.FULL)
    listing.fill()
    assert len(listing.answer(0, True)) < protocol.MAX_LIST_BYTES


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_play_that_is_interrupted_leaves_no_process_and_no_folder(tmp_path, number):
    path, out = tmp_path / "x.toml", tmp_path / "out"
    path.write_text(ROSTER.format(real=2).replace("real_changes = 2", "real_changes = 2000"))
    words = [sys.executable, "-m", "marlseam", "experiment", "run", str(path), "--out", str(out)]
    run = subprocess.Popen(
        words,
        stderr=subprocess.DEVNULL,
        cwd=Path(__file__).parent.parent,
        # A suite that a shell runs in the background was started with interrupts ignored, and hands that on.
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
    assert all(gone(pid) for pid in children)
    assert not (out / "band").exists()


def test_the_service_ends_a_watch_without_news_in_the_time_asked_for():
    listing = size_roster.Listing(3)
    listing.change()
    service = size_roster.Service(listing)
    try:
        call = http.client.HTTPConnection(service.address, timeout=10.0)
        call.request("GET", f"{protocol.LIST_PATH}?since=1&timeout_ms=50")
        answer = json.loads(call.getresponse().read())
        assert answer == {
            "seq": 1,
            "whole": False,
            "hosts": [],
        }  # a node would give the watch up, and ask anew
        call.close()
    finally:
        service.close()


def test_the_door_tells_as_many_bytes_however_long_it_takes(monkeypatch):
    names, clock = size_members.Cohort(40, 1, 1).names, itertools.count()
    monkeypatch.setattr("marlseam.net.loop.time.monotonic", lambda: 1e-3 * next(clock) ** 2)
    assert len({size_members.door(names)["door_bytes"] for _ in range(3)}) == 1
