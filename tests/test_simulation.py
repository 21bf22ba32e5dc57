"""Simulated discovery and faults, and whole days in virtual time whose records are checked."""

import os
import subprocess
import sys

import pytest
from worlds import day, run_day

from marlseam.core import EndpointEntry
from marlseam.decisions.types import EndpointState
from marlseam.records import ENCODER
from marlseam.simulation import faults
from marlseam.simulation.discovery import EndpointList
from marlseam.simulation.model import FAULT_NAMES, Fault


def make_entry(name, state=EndpointState.READY):
    return EndpointEntry(name, state, 0, 0, 0, None)


def test_discovery_answers_with_the_full_list_and_then_with_changes():
    endpoint_list = EndpointList([make_entry("a"), make_entry("b")], 100.0, 50.0)
    version = endpoint_list.version()
    assert endpoint_list.answer_since(0) == (True, [make_entry("a"), make_entry("b")])
    assert endpoint_list.answer_since(version) == (False, [])
    endpoint_list.add_entry(make_entry("a", EndpointState.DRAINING))
    endpoint_list.add_entry(make_entry("a", EndpointState.GONE))
    assert endpoint_list.answer_since(version) == (False, [make_entry("a", EndpointState.GONE)])
    assert endpoint_list.answer_since(0) == (True, [make_entry("b")])


def test_overloaded_discovery_answers_calls_in_order_and_fails_those_that_wait_too_long():
    endpoint_list = EndpointList([], 100.0, 50.0)
    assert [endpoint_list.take_call(0.0) for _ in range(6)] == [10.0, 20.0, 30.0, 40.0, 50.0, None]
    endpoint_list.outages.append((100.0, 200.0))
    assert endpoint_list.take_call(150.0) is None
    assert endpoint_list.take_call(200.0) is not None


def test_overlapping_slowdowns_multiply_and_end():
    settings = day(
        troubles=[
            {"what": "slow", "at_s": 1, "for_s": 4, "share": 1.0, "size": 2},
            {"what": "slow", "at_s": 3, "for_s": 4, "share": 1.0, "size": 3},
        ]
    )
    scheduled = faults.schedule(settings, 1)
    effects = [faults.fault_effects(scheduled, "fast-0", at_s * 1000.0) for at_s in (0, 2, 4, 6, 8)]
    assert [effect.slowdown for effect in effects] == [1.0, 2.0, 6.0, 3.0, 1.0]


def test_discovery_lists_a_crash_and_a_restart_with_its_start_time_after_its_lag():
    settings = day(troubles=[{"what": "crash", "at_s": 2, "for_s": 3, "share": 0.1}])
    removed, relisted = faults.listings(settings, faults.schedule(settings, 1))
    assert (removed.at, removed.state) == (2800.0, EndpointState.GONE)
    assert (relisted.at, relisted.state, relisted.started_ms) == (5800.0, EndpointState.READY, 5000.0)


@pytest.mark.parametrize("fault", FAULT_NAMES)
def test_no_rule_is_violated_on_a_day_with_any_one_fault(fault):
    size = {"errors": 0.8, "neighbour": 0.5, "late_reports": 2.0}.get(fault, 3.0)
    settings = day(troubles=[Fault(what=fault, at_s=4.0, for_s=4.0, share=0.25, size=size)])
    verdict, _, figures, _ = run_day(settings)
    violations = [rule.violations[:2] for rule in verdict.rules]
    assert verdict.is_judged, violations
    assert not verdict.violation_count, violations
    assert figures["work_units"] > 150
    assert figures["service"] > (0.3 if fault == "surge" else 0.9)
    assert figures["none"] == 0.0


def encoded_records(settings, seed):
    """Play a day in virtual time; return all its records as lines of JSON."""
    *_, records = run_day(settings, seed)
    return b"\n".join(ENCODER.encode(record) for record in records)


def test_the_same_seed_gives_the_same_bytes_in_every_process():
    settings = day(seconds=5.0, drawn={"count": 2})
    script = (
        "import sys; sys.path.insert(0, 'tests'); from worlds import day, run_day;"
        "from marlseam.records import ENCODER;"
        "*_, records = run_day(day(seconds=5.0, drawn={'count': 2}), 4);"
        "sys.stdout.buffer.write(b'\\n'.join(ENCODER.encode(record) for record in records))"
    )
    own_bytes = encoded_records(settings, 4)
    for hash_seed in ("1", "2"):
        environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
        command = [sys.executable, "-c", script]
        process = subprocess.run(command, capture_output=True, check=True, env=environment)
        assert process.stdout == own_bytes
    assert encoded_records(settings, 5) != own_bytes
