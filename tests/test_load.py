"""The generator: intended times under a fake clock, its own lag, refusals, descriptors.

Traces; what was counted.
"""

import json
import time
from pathlib import Path

import pytest
from worlds import day, played

from marlseam.experiment.processes import ChildProcess
from marlseam.load import generator as generator_module
from marlseam.load import trace
from marlseam.load.errors import TraceError
from marlseam.load.generator import Generator
from marlseam.load.process import summary
from marlseam.load.verdict import merge, table
from marlseam.records import StreamEnded, StreamWriter, TryAnswered, TrySent
from marlseam.simulation import plan
from marlseam.simulation.chance import stream

ONE = {"fleet": {"zones": ["east"], "nodes": 1, "kinds": [{"name": "k", "executors": 1}]}}


def generator_of(held, arrivals, address="127.0.0.1:1", connections=0):
    return Generator(
        held, arrivals, {"n0": ("east", address)}, StreamWriter("c", "clients"), stream(1), connections
    )


@pytest.fixture
def clock(monkeypatch):
    """Return a clock in s that moves with each wait for sockets alone."""

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
def test_tries_go_out_at_their_intended_times_whatever_comes_back(monkeypatch):
    held = day(seconds=3.0, rate=100.0, **ONE)
    arrivals = plan.make(held, 1)
    sent = []
    monkeypatch.setattr(
        Generator, "send", lambda generator, pending: sent.append((generator.now_ms(), pending.intended_ms))
    )
    generator_of(held, arrivals).run(1000.0)
    assert len(sent) == len(arrivals)
    assert all(0.0 <= now - intended < 1.0 for now, intended in sent)


def test_a_burst_that_outruns_the_generator_is_marked_and_the_run_not_valid(clock, monkeypatch):
    load = {"rate": 20.0, "shape": "burst", "to_rate": 500.0, "burst_at_s": 1.0, "burst_for_s": 1.0}
    held = day(seconds=4.0, load=load, **ONE)
    arrivals = plan.make(held, 1)

    def send(_generator, _pending):
        clock.now += 0.004  # a generator that needs 4 ms a send sustains 250 a second

    monkeypatch.setattr(Generator, "send", send)
    counted = merge([summary(generator_of(held, arrivals).run(1000.0))], len(arrivals))
    assert {1, 2} <= set(counted.lagged)
    assert 0 not in counted.lagged
    assert not counted.is_valid
    assert counted.lag[100.0] > 900.0
    assert "not valid" in table(counted)


def test_refused_connections_are_counted_and_retried_and_the_run_ends():
    held = day(seconds=0.2, rate=100.0, clients={"tries": 2, "wait_ms": 1.0}, **ONE)
    arrivals = plan.make(held, 1)
    generator = generator_of(held, arrivals)
    counted = merge([summary(generator.run(time.monotonic()))], len(arrivals))
    rows = generator.writer.records
    assert counted.refused == {"refused": 2 * len(arrivals)}
    assert counted.sent == 0
    assert [r.how for r in rows if isinstance(r, TryAnswered)] == ["unsent"] * 2 * len(arrivals)
    firsts = {r.first for r in rows if isinstance(r, TrySent)}
    assert firsts == {arrival.id for arrival in arrivals}


def test_more_connections_than_descriptors_make_the_run_not_valid():
    held = day(seconds=0.1, rate=100.0, clients={"tries": 1}, **ONE)
    arrivals = plan.make(held, 1)
    generator = generator_of(held, arrivals)
    generator.max_descriptors = 0
    counted = merge([summary(generator.run(time.monotonic()))], len(arrivals))
    assert counted.refused == {"no descriptors": len(arrivals)}
    assert not counted.is_valid


@pytest.fixture
def echo(tmp_path):
    """Return a stand-in node that completes everything at once."""
    process = ChildProcess(["standin", "echo"], tmp_path / "log")
    yield process.read_json()["node"]
    process.end()


@pytest.mark.parametrize("connections", [0, 1])
def test_all_is_answered_and_counted_over_few_connections_or_many(echo, connections):
    held = day(seconds=0.3, rate=400.0, **ONE)
    arrivals = plan.make(held, 1)
    generator = generator_of(held, arrivals, echo, connections)
    counted = merge([summary(generator.run(time.monotonic()))], len(arrivals))
    assert counted.sent == len(arrivals) == counted.histograms["intended"].get_total_count()
    assert {r.how for r in generator.writer.records if isinstance(r, TryAnswered)} == {"completed"}
    assert isinstance(generator.writer.records[-1], StreamEnded)


# Traces.

ROWS = [
    {"t": 5.0, "id": "a", "type": "lookup", "zone": "east", "work": 10.0},
    {"t": 40.0, "id": "a.1", "type": "lookup", "zone": "east", "work": 10.0, "first": "a", "number": 1},
    {"t": 20.0, "id": "b", "type": "post", "zone": "west", "work": 20.0, "receipt": "r", "credit": 7.0},
]


def lines(*rows, head=None):
    return [json.dumps(row).encode() for row in ({"trace": 1} if head is None else head, *rows)]


def test_a_trace_with_retries_inside_is_replayed_as_it_is():
    held = day(clients={"tries": 3, "wait_ms": 1.0}, load={"time_scale": 2.0})
    found = trace.arrivals(trace.read_rows(lines(*ROWS), held), held)
    assert [(a.id, a.at, a.first, a.number) for a in found] == [
        ("a", 10.0, "a", 0),
        ("b", 40.0, "b", 0),
        ("a.1", 80.0, "a", 1),
    ]
    assert found[1].credit == 7.0
    assert found[0].credit == 1.0


def test_a_trace_is_cut_with_the_retries_of_what_was_cut_away():
    held = day(load={"from_s": 0.01})
    assert [a.id for a in trace.arrivals(trace.read_rows(lines(*ROWS), held), held)] == ["b"]


@pytest.mark.parametrize(
    ("row", "text"),
    [
        ({"type": "none"}, "no project type 'none'"),
        ({"zone": "n"}, "no zone"),
        ({"id": "a"}, "came before"),
        ({"t": -1.0}, "line 5"),
        ({"work": "x"}, "work"),
        ({"extra": 1}, "extra"),
        ({"first": "a"}, "both first"),
        ({"first": "zz", "number": 1}, "'zz' is not in the trace"),
        ({"type": "post"}, "without a receipt"),
    ],
)
def test_a_bad_line_is_named_and_nothing_is_read(row, text):
    bad = {"t": 50.0, "id": "z", "type": "lookup", "zone": "east", "work": 1.0} | row
    with pytest.raises(TraceError, match=text):
        trace.read_rows(lines(*ROWS, bad), day())


@pytest.mark.parametrize("head", [{"trace": 2}, {"other": 1}, ROWS[0]])
def test_a_trace_of_another_form_is_refused(head):
    with pytest.raises(TraceError, match="line 1"):
        trace.read_rows(lines(*ROWS, head=head), day())


def test_a_trace_written_from_records_reads_back(tmp_path):
    held = day(seconds=4.0, rate=40.0, clients={"tries": 3, "wait_ms": 20.0})
    arrived = plan.make(held, 1)
    found = played(held).records
    for retries in (False, True):
        path = Path(tmp_path / "t.jsonl")
        path.write_bytes(b"".join(trace.trace_lines(found, arrived, retries)))
        read_back = trace.load(path, held)
        tried = [r for r in found if isinstance(r, TrySent) and (retries or not r.number)]
        assert len(read_back) == len(tried)
        assert {a.first for a in read_back} <= {"", *(a.id for a in arrived)}
        assert [(a.work, a.slots) for a in read_back if not a.number] == [(a.work, a.slots) for a in arrived]
