"""The soak's own parts: what a seed draws, what a shim makes fail, and that a defect is found."""

import errno
import select
import socket
import tomllib
from pathlib import Path

import msgspec
import pytest

from marlseam.emulators.faulty import Failure, Faults, Shim
from marlseam.experiment import soak
from marlseam.experiment.file import read

FILE = Path(__file__).parent.parent / "experiments" / "soak.toml"


def test_a_seed_draws_the_same_again_and_others_differ():
    found = [msgspec.json.encode(soak.drawn(seed, 8.0)) for seed in range(50)]
    assert found == [msgspec.json.encode(soak.drawn(seed, 8.0)) for seed in range(50)]
    assert len(set(found)) == 50


def test_troubles_overlap_and_everything_is_drawn_at_some_time():
    drawn = [soak.drawn(seed, 8.0) for seed in range(200)]
    for made in drawn:
        begin = max(trouble.at_s for trouble in made.troubles)
        assert begin < min(trouble.at_s + trouble.for_s for trouble in made.troubles)
    names = {name for made in drawn for name in made.names()}
    assert names == {*soak.FAULT_NAMES, *(f"call {call}" for call in soak.CALLS), "clock", "own error"}


def test_a_call_fails_in_bursts_alone():
    shim = Shim(Faults(1, [Failure("send", "ENOBUFS", 1.0)], every_s=10.0, for_s=5.0))
    send = shim.wrapped("send", lambda data: len(data))
    with pytest.raises(OSError) as error:
        send(b"x")
    assert error.value.errno == errno.ENOBUFS
    assert shim.wrapped("recv", lambda: b"y")() == b"y"
    shim.began -= 6.0
    assert send(b"x") == 1


def test_connect_ex_returns_its_error():
    shim = Shim(Faults(1, [Failure("connect_ex", "ENETUNREACH", 1.0)]))
    connect = shim.returned(shim.wrapped("connect_ex", lambda: 0))
    assert connect() == errno.ENETUNREACH
    shim.began -= 1.0
    assert connect() == 0


def test_objects_of_the_system_are_wrapped():
    shim = Shim(Faults(1, [Failure("poll", "ENOMEM", 1.0)]))
    look = shim.made(select.poll, {"poll": "poll"})()
    one, other = socket.socketpair()
    look.register(one, select.POLLOUT)
    with pytest.raises(OSError):
        look.poll(0)
    shim.began -= 1.0  # the burst is over
    assert look.poll(0)
    one.close()
    other.close()


@pytest.mark.parametrize(
    ("line", "planted", "found"),
    [
        ("marlseam n1: invariant violated: slow_start_budget ref=1", False, True),
        ("marlseam n1: Traceback (most recent call last): | KeyError", False, True),
        ("marlseam n1: Traceback (most recent call last): | KeyError", True, True),
        ("marlseam n1: Traceback (most recent call last): | RuntimeError: planted by the soak", True, False),
        ("marlseam n1: client ended code=done messages=1", False, False),
    ],
)
def test_logs_are_searched(tmp_path, line, planted, found):
    (tmp_path / "logs").mkdir()
    (tmp_path / "logs" / "n1.log").write_text(line + "\n")
    assert bool(soak.findings(tmp_path, planted)) is found


def test_one_short_seed_holds_on_real_processes(tmp_path):
    soak.register()
    day = read(tomllib.loads(FILE.read_text())).day
    day = msgspec.structs.replace(day, seconds=4.0)
    made, found, verdict = soak.one(day, 2, tmp_path)
    assert made.faults.decision
    assert found == []
    assert verdict is not None
    assert not verdict.violation_count
