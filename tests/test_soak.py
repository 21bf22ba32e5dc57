"""The play `soak`: draws of a seed, injected call failures, problems in logs, one seed on real processes."""

import errno
import os
import select
import socket
import tomllib
from pathlib import Path

import msgspec
import pytest

from marlseam.emulators.faulty import CallFailure, CallWrapper, NodeFaults
from marlseam.experiment import soak
from marlseam.experiment.file import read

FILE = Path(__file__).parent.parent / "experiments" / "soak.toml"


def test_a_seed_always_draws_the_same_faults_and_seeds_differ() -> None:
    drawn = [msgspec.json.encode(soak.draw_faults(seed, 8.0)) for seed in range(50)]
    assert drawn == [msgspec.json.encode(soak.draw_faults(seed, 8.0)) for seed in range(50)]
    assert len(set(drawn)) == 50


def test_the_faults_of_a_seed_overlap_and_each_fault_is_drawn_by_some_seed() -> None:
    all_drawn = [soak.draw_faults(seed, 8.0) for seed in range(200)]
    for drawn in all_drawn:
        last_begin_s = max(fault.at_s for fault in drawn.day_faults)
        assert last_begin_s < min(fault.at_s + fault.for_s for fault in drawn.day_faults)
    names = {name for drawn in all_drawn for name in drawn.names()}
    calls = {f"call {call}" for call in soak.ERRORS_BY_CALL}
    assert names == {*soak.FAULT_NAMES, *calls, "clock", "own error"}


def test_an_injected_failure_raises_during_a_burst_only_and_for_its_call_only() -> None:
    wrapper = CallWrapper(NodeFaults(1, [CallFailure("send", "ENOBUFS", 1.0)], every_s=10.0, for_s=5.0))
    send = wrapper.failing_call("send", lambda data: len(data))
    with pytest.raises(OSError, match=os.strerror(errno.ENOBUFS)) as error:
        send(b"x")
    assert error.value.errno == errno.ENOBUFS
    assert wrapper.failing_call("recv", lambda: b"y")() == b"y"
    wrapper.first_burst_s -= 6.0
    assert send(b"x") == 1


def test_an_injected_failure_of_connect_ex_is_returned_as_an_error_number() -> None:
    wrapper = CallWrapper(NodeFaults(1, [CallFailure("connect_ex", "ENETUNREACH", 1.0)]))
    connect = wrapper.returning_errno(wrapper.failing_call("connect_ex", lambda: 0))
    assert connect() == errno.ENETUNREACH
    wrapper.first_burst_s -= 1.0
    assert connect() == 0


def test_a_method_of_an_object_from_a_wrapped_factory_fails_during_a_burst() -> None:
    wrapper = CallWrapper(NodeFaults(1, [CallFailure("poll", "ENOMEM", 1.0)]))
    poller = wrapper.failing_factory(select.poll, {"poll": "poll"})()
    one, other = socket.socketpair()
    poller.register(one, select.POLLOUT)
    with pytest.raises(OSError, match=os.strerror(errno.ENOMEM)) as error:
        poller.poll(0)
    assert error.value.errno == errno.ENOMEM
    wrapper.first_burst_s -= 1.0  # now after the end of the burst
    assert poller.poll(0)
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
def test_logs_with_violated_invariants_or_tracebacks_that_were_not_injected_are_problems(
    tmp_path: Path, line: str, planted: bool, found: bool
) -> None:
    (tmp_path / "logs").mkdir()
    (tmp_path / "logs" / "n1.log").write_text(line + "\n")
    assert bool(soak.log_problems(tmp_path, planted)) is found


def test_a_short_day_of_one_seed_on_real_processes_has_no_problems(tmp_path: Path) -> None:
    soak.register()
    day = read(tomllib.loads(FILE.read_text())).day
    day = msgspec.structs.replace(day, seconds=4.0)
    result = soak.play_seed(day, 2, tmp_path)
    assert result.drawn.node_faults.decision
    assert result.problems == []
    assert result.verdict is not None
    assert not result.verdict.violation_count
