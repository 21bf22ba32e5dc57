"""A simulated server: conserved work, first-in-first-out queue, memory of keys, slow start, reports."""

from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marlseam.simulation.job import GroupMemory, Job
from marlseam.simulation.model import ServerKind
from marlseam.simulation.random_streams import random_stream
from marlseam.simulation.server import FaultEffects, Server
from marlseam.simulation.server_settings import ReportSettings, ServerSettings

SETTINGS = ServerSettings(ReportSettings(50.0, 10.0, True), 2.5, 1000.0, 200.0, 100.0)


def make_server(started_ms=None, group_memory=None, **kind_values):
    """Return a server with three slots; `kind_values` override the settings of its kind."""
    group_memory = group_memory or GroupMemory()
    memories = {"all": group_memory, "zone": group_memory, "cell": group_memory}
    kind = ServerKind(**({"name": "k", "executors": 1, "slots": 3, "queue": 100} | kind_values))
    return Server("e", kind, memories, random_stream(1, "e"), SETTINGS, started_ms)


def started_ids(events):
    """Return the ids of started jobs, in the order of their starts."""
    return [event.id for event in events if event.what == "started"]


def make_job(number, work=100.0, slots=1.0, **values):
    return Job(id=f"{number}/0", try_id=str(number), class_name="t", work=work, slots=slots, **values)


OFFERS = st.lists(
    st.tuples(st.floats(0.0, 200.0), st.floats(1.0, 500.0), st.integers(1, 3)), min_size=1, max_size=30
)


@settings(max_examples=60, deadline=None)
@given(OFFERS, st.sampled_from([None, 0.0]), st.floats(1.0, 6.0), st.floats(0.2, 3.0))
def test_jobs_start_in_order_within_the_slots_and_their_work_is_conserved(
    offers, started_ms, slowdown, speed
):
    server = make_server(started_ms, speed=speed, cold_share=0.5, warm_s=2.0)
    events, accepted, now_ms = [], {}, 0.0
    server.fall_multiple = inf
    for i, (gap_ms, work, slots) in enumerate(offers):
        now_ms += gap_ms
        events += server.advance(now_ms)
        if i == len(offers) // 2:
            server.fault_effects = FaultEffects(slowdown=slowdown)
        if server.offer(now_ms, make_job(i, work, float(slots))):
            accepted[f"{i}/0"] = (work, slots)
    events += server.advance(1e9)
    assert started_ids(events) == list(accepted)
    slots_in_use, spent = 0.0, {}
    for event in events:
        if event.what == "started":
            slots_in_use += accepted[event.id][1]
        elif event.what == "done":
            slots_in_use -= accepted[event.id][1]
            spent[event.id] = event.value
        assert slots_in_use <= 3.0
    assert [event.t for event in events] == sorted(event.t for event in events)
    assert slots_in_use == 0.0
    for job_id, (work, slots) in accepted.items():
        assert spent[job_id] == pytest.approx(work * slots, rel=1e-6, abs=0.05)


@settings(max_examples=60, deadline=None)
@given(st.floats(0.0, 5000.0), st.floats(0.0, 5000.0), st.floats(0.05, 1.0))
def test_the_clock_of_standard_work_and_its_inverse_agree_in_slow_start(start_ms, work, initial_share):
    server = make_server(0.0, cold_share=initial_share, warm_s=3.0)
    server.advance(start_ms)
    end_ms = server.time_of(server.clock + work)
    assert server.work_between(start_ms, end_ms) == pytest.approx(work, rel=1e-6, abs=1e-6)


@given(st.floats(0.0, 20000.0))
def test_a_repeated_idempotency_key_has_an_effect_only_after_its_memory_span(gap_ms):
    server = make_server()
    server.offer(0.0, make_job(1, idempotency_key="r", key_memory_ms=9000.0))
    server.advance(5000.0)
    server.advance(5000.0 + gap_ms)
    server.offer(5000.0 + gap_ms, make_job(2, idempotency_key="r", key_memory_ms=9000.0))
    (started,) = [event for event in server.advance(5000.0 + gap_ms) if event.what == "started"]
    assert started.value == (0.0 if 5000.0 + gap_ms <= 9000.0 else 1.0)


def test_the_head_of_the_queue_blocks_until_it_fits():
    server = make_server()
    for i, slots in enumerate((2.0, 2.0, 1.0)):
        server.offer(0.0, make_job(i, 100.0, slots))
    assert started_ids(server.advance(50.0)) == ["0/0"]


def test_missing_memory_blocks_the_head_despite_a_free_slot():
    server = make_server(slots=3)
    server.kind, server.free_memory = ServerKind(name="k", executors=1, slots=3, memory=4.0), 4.0
    server.offer(0.0, make_job(0, memory=3.0))
    server.offer(0.0, make_job(1, memory=2.0))
    assert started_ids(server.advance(1.0)) == ["0/0"]


def test_a_server_in_slow_start_is_overloaded_only_past_its_bound():
    server = make_server(0.0, cold_share=0.2, warm_s=100.0)
    max_work = 2.5 * 3 * 0.2 * 1000.0
    server.advance(1.0)
    server.offer(1.0, make_job(0, max_work * 0.9))
    assert server.overload_share is None
    server.offer(1.0, make_job(1, max_work * 0.2))
    assert server.overload_share > 1.0


def test_a_restarted_job_continues_from_the_checkpoint_that_its_cell_saved():
    group_memory = GroupMemory()
    server = make_server(group_memory=group_memory)
    server.offer(0.0, make_job(1, 350.0))
    server.advance(230.0)
    server.crash()
    restarted = make_server(group_memory=group_memory)
    restarted.offer(0.0, make_job(1, 350.0))
    (done,) = [event for event in restarted.advance(1e6) if event.what == "done"]
    assert done.t == pytest.approx(150.0)


def test_load_reports_are_refreshed_periodically_and_available_after_their_delay():
    server = make_server()
    server.advance(95.0)
    server.offer(95.0, make_job(1, 1000.0))
    server.advance(105.0)
    assert server.report(105.0).free_slots == 3.0
    server.advance(111.0)
    assert server.report(111.0).free_slots == 2.0


def test_a_cancelled_job_leaves_the_queue_and_a_running_one_continues():
    server = make_server(slots=1)
    for i in range(2):
        server.offer(0.0, make_job(i))
    server.advance(1.0)
    assert server.cancel("1/0")
    assert not server.cancel("0/0")
    assert [event.id for event in server.advance(1e6) if event.what == "done"] == ["0/0"]
