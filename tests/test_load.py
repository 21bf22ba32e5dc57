"""The load generator and traces.

The generator: sends at intended times under a fake clock, own lag, refused connections, descriptors, counts.
Traces: read, replayed and written from records.
"""

import json
import time
from pathlib import Path

import pytest
from worlds import day, run_day

from marlseam.experiment.processes import ChildProcess
from marlseam.load import generator as generator_module
from marlseam.load import trace
from marlseam.load.errors import TraceError
from marlseam.load.generator import Generator
from marlseam.load.process import summary
from marlseam.load.verdict import merge, table
from marlseam.records import StreamEnded, StreamWriter, TryAnswered, TrySent
from marlseam.simulation import plan
from marlseam.simulation.random_streams import random_stream

ONE_SERVER = {"fleet": {"zones": ["east"], "nodes": 1, "kinds": [{"name": "k", "executors": 1}]}}


def make_generator(small_day, arrivals, address="127.0.0.1:1", connections=0):
    return Generator(
        small_day,
        arrivals,
        {"n0": ("east", address)},
        StreamWriter("c", "clients"),
        random_stream(1),
        connections,
    )


@pytest.fixture
def clock(monkeypatch):
    """Return a fake clock in seconds that only a wait for sockets advances."""

    class Clock:
        now = 1000.0

        def poll(self, pause, _max_events):
            self.now += max(pause, 0.0001)
            return []

    fake = Clock()
    monkeypatch.setattr(generator_module.time, "monotonic", lambda: fake.now)
    monkeypatch.setattr(generator_module.select, "epoll", lambda: fake)
    return fake


@pytest.mark.usefixtures("clock")
def test_without_answers_tries_are_sent_within_1_ms_of_their_intended_times(monkeypatch):
    small_day = day(seconds=3.0, rate=100.0, **ONE_SERVER)
    arrivals = plan.make_arrivals(small_day, 1)
    sent = []
    monkeypatch.setattr(
        Generator, "send", lambda generator, pending: sent.append((generator.now_ms(), pending.intended_ms))
    )
    make_generator(small_day, arrivals).run(1000.0)
    assert len(sent) == len(arrivals)
    assert all(0.0 <= now - intended < 1.0 for now, intended in sent)


def test_a_burst_over_capacity_marks_lagged_seconds_and_the_run_as_not_valid(clock, monkeypatch):
    load = {"rate": 20.0, "shape": "burst", "to_rate": 500.0, "burst_at_s": 1.0, "burst_for_s": 1.0}
    small_day = day(seconds=4.0, load=load, **ONE_SERVER)
    arrivals = plan.make_arrivals(small_day, 1)

    def send(_generator, _pending):
        clock.now += 0.004  # 4 ms a send: the generator sustains 250 sends a second

    monkeypatch.setattr(Generator, "send", send)
    counted = merge([summary(make_generator(small_day, arrivals).run(1000.0))], len(arrivals))
    assert {1, 2} <= set(counted.lagged)
    assert 0 not in counted.lagged
    assert not counted.is_valid
    assert counted.lag[100.0] > 900.0
    assert "not valid" in table(counted)


def test_tries_on_refused_connections_are_counted_as_unsent_and_retried_and_the_run_ends():
    small_day = day(seconds=0.2, rate=100.0, clients={"tries": 2, "wait_ms": 1.0}, **ONE_SERVER)
    arrivals = plan.make_arrivals(small_day, 1)
    generator = make_generator(small_day, arrivals)
    counted = merge([summary(generator.run(time.monotonic()))], len(arrivals))
    written = generator.writer.records
    assert counted.refused == {"refused": 2 * len(arrivals)}
    assert counted.sent == 0
    assert [r.how for r in written if isinstance(r, TryAnswered)] == ["unsent"] * 2 * len(arrivals)
    firsts = {r.first for r in written if isinstance(r, TrySent)}
    assert firsts == {arrival.id for arrival in arrivals}


def test_a_lack_of_descriptors_makes_the_run_not_valid():
    small_day = day(seconds=0.1, rate=100.0, clients={"tries": 1}, **ONE_SERVER)
    arrivals = plan.make_arrivals(small_day, 1)
    generator = make_generator(small_day, arrivals)
    generator.max_descriptors = 0
    counted = merge([summary(generator.run(time.monotonic()))], len(arrivals))
    assert counted.refused == {"no descriptors": len(arrivals)}
    assert not counted.is_valid


@pytest.fixture
def echo(tmp_path):
    """Return the address of an echo node, which completes every request at once."""
    process = ChildProcess(["standin", "echo"], tmp_path / "log")
    yield process.read_json()["node"]
    process.end()


@pytest.mark.parametrize("connections", [0, 1])
def test_all_tries_are_completed_and_counted_with_one_connection_or_without_limit(echo, connections):
    small_day = day(seconds=0.3, rate=400.0, **ONE_SERVER)
    arrivals = plan.make_arrivals(small_day, 1)
    generator = make_generator(small_day, arrivals, echo, connections)
    counted = merge([summary(generator.run(time.monotonic()))], len(arrivals))
    assert counted.sent == len(arrivals) == counted.histograms["intended"].get_total_count()
    assert {r.how for r in generator.writer.records if isinstance(r, TryAnswered)} == {"completed"}
    assert isinstance(generator.writer.records[-1], StreamEnded)


# Traces.

TRACE_ROWS = [
    {"t": 5.0, "id": "a", "type": "lookup", "zone": "east", "work": 10.0},
    {"t": 40.0, "id": "a.1", "type": "lookup", "zone": "east", "work": 10.0, "first": "a", "number": 1},
    {"t": 20.0, "id": "b", "type": "post", "zone": "west", "work": 20.0, "receipt": "r", "credit": 7.0},
]


def encoded_lines(*rows, head=None):
    return [json.dumps(row).encode() for row in ({"trace": 1} if head is None else head, *rows)]


def test_a_trace_with_retries_is_replayed_unchanged_with_scaled_times():
    small_day = day(clients={"tries": 3, "wait_ms": 1.0}, load={"time_scale": 2.0})
    replayed = trace.arrivals(trace.read_rows(encoded_lines(*TRACE_ROWS), small_day), small_day)
    assert [(a.id, a.at, a.first, a.number) for a in replayed] == [
        ("a", 10.0, "a", 0),
        ("b", 40.0, "b", 0),
        ("a.1", 80.0, "a", 1),
    ]
    assert replayed[1].credit == 7.0
    assert replayed[0].credit == 1.0


def test_a_retry_is_left_out_if_its_first_try_lies_before_the_replayed_part():
    small_day = day(load={"from_s": 0.01})
    assert [
        a.id for a in trace.arrivals(trace.read_rows(encoded_lines(*TRACE_ROWS), small_day), small_day)
    ] == ["b"]


@pytest.mark.parametrize(
    ("row", "problem"),
    [
        ({"type": "none"}, "'none' is no request class"),
        ({"zone": "n"}, "'n' is no zone"),
        ({"id": "a"}, "'a' is used by an earlier line"),
        ({"t": -1.0}, "line 5"),
        ({"work": "x"}, "work"),
        ({"extra": 1}, "extra"),
        ({"first": "a"}, "must have both"),
        ({"first": "zz", "number": 1}, "'zz' is not in the trace"),
        ({"type": "post"}, "receipt: missing"),
    ],
)
def test_an_invalid_line_raises_a_trace_error_with_its_problem(row, problem):
    invalid_row = {"t": 50.0, "id": "z", "type": "lookup", "zone": "east", "work": 1.0} | row
    with pytest.raises(TraceError, match=problem):
        trace.read_rows(encoded_lines(*TRACE_ROWS, invalid_row), day())


@pytest.mark.parametrize("head", [{"trace": 2}, {"other": 1}, TRACE_ROWS[0]])
def test_a_trace_without_a_head_of_the_supported_version_raises_a_trace_error(head):
    with pytest.raises(TraceError, match="line 1"):
        trace.read_rows(encoded_lines(*TRACE_ROWS, head=head), day())


def test_a_trace_written_from_records_can_be_loaded_with_all_its_tries(tmp_path):
    small_day = day(seconds=4.0, rate=40.0, clients={"tries": 3, "wait_ms": 20.0})
    arrivals = plan.make_arrivals(small_day, 1)
    run_records = run_day(small_day).records
    for retries in (False, True):
        path = Path(tmp_path / "t.jsonl")
        path.write_bytes(b"".join(trace.trace_lines(run_records, arrivals, retries)))
        loaded = trace.load(path, small_day)
        sent = [r for r in run_records if isinstance(r, TrySent) and (retries or not r.number)]
        assert len(loaded) == len(sent)
        assert {a.first for a in loaded} <= {"", *(a.id for a in arrivals)}
        assert [(a.work, a.slots) for a in loaded if not a.number] == [(a.work, a.slots) for a in arrivals]
