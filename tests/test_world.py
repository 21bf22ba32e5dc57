"""Laws of the model.

Work is conserved, queues are first in first out, slots hold one run, idempotency keys are forgotten in time.
"""

import os
import subprocess
import sys
from collections import Counter
from math import inf

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from worlds import day, played

from marlseam.core import EndpointEntry
from marlseam.decisions.types import EndpointState
from marlseam.records import ENCODER
from marlseam.simulation import faults, plan
from marlseam.simulation.chance import stream
from marlseam.simulation.clients import Client, FrontLoadBalancer
from marlseam.simulation.discovery import EndpointList
from marlseam.simulation.job import GroupMemory, Job
from marlseam.simulation.model import FAULT_NAMES, Fault, Load, ServerKind
from marlseam.simulation.server import FaultEffects, Server
from marlseam.simulation.server_settings import ReportSettings, ServerSettings

SETTINGS = ServerSettings(ReportSettings(50.0, 10.0, True), 2.5, 1000.0, 200.0, 100.0)


def make_server(born=None, memory=None, **kind):
    memory_of_group = memory or GroupMemory()
    memories = {"all": memory_of_group, "zone": memory_of_group, "cell": memory_of_group}
    made = ServerKind(**({"name": "k", "executors": 1, "slots": 3, "queue": 100} | kind))
    return Server("e", made, memories, stream(1, "e"), SETTINGS, born)


def job(i, work=100.0, slots=1.0, **more):
    return Job(id=f"{i}/0", try_id=str(i), class_name="t", work=work, slots=slots, **more)


OFFERS = st.lists(
    st.tuples(st.floats(0.0, 200.0), st.floats(1.0, 500.0), st.integers(1, 3)), min_size=1, max_size=30
)


@settings(max_examples=60, deadline=None)
@given(OFFERS, st.sampled_from([None, 0.0]), st.floats(1.0, 6.0), st.floats(0.2, 3.0))
def test_work_is_conserved_and_starts_first_in_first_out_within_its_slots(offers, born, slow, speed):
    server, events, offered, now = make_server(born, speed=speed, cold_share=0.5, warm_s=2.0), [], {}, 0.0
    server.fall_multiple = inf
    for i, (gap, work, slots) in enumerate(offers):
        now += gap
        events += server.advance(now)
        if i == len(offers) // 2:
            server.fault_effects = FaultEffects(slowdown=slow)
        if server.offer(now, job(i, work, float(slots))):
            offered[f"{i}/0"] = (work, slots)
    events += server.advance(1e9)
    starts = [event.id for event in events if event.what == "started"]
    assert starts == list(offered)
    held, spent = 0.0, {}
    for event in events:
        if event.what == "started":
            held += offered[event.id][1]
        elif event.what == "done":
            held -= offered[event.id][1]
            spent[event.id] = event.value
        assert held <= 3.0
    assert [event.t for event in events] == sorted(event.t for event in events)
    assert held == 0.0
    for id, (work, slots) in offered.items():
        assert spent[id] == pytest.approx(work * slots, rel=1e-6, abs=0.05)


@settings(max_examples=60, deadline=None)
@given(st.floats(0.0, 5000.0), st.floats(0.0, 5000.0), st.floats(0.05, 1.0))
def test_the_clock_of_standard_work_and_its_inverse_agree_in_slow_start(a, work, cold):
    server = make_server(0.0, cold_share=cold, warm_s=3.0)
    server.advance(a)
    there = server.time_of(server.clock + work)
    assert server.work_between(a, there) == pytest.approx(work, rel=1e-6, abs=1e-6)


@given(st.floats(0.0, 20000.0))
def test_an_idempotency_key_drops_repeats_while_it_is_remembered_and_not_after(gap):
    server = make_server()
    server.offer(0.0, job(1, idempotency_key="r", key_memory_ms=9000.0))
    server.advance(5000.0)
    server.advance(5000.0 + gap)
    server.offer(5000.0 + gap, job(2, idempotency_key="r", key_memory_ms=9000.0))
    (started,) = [event for event in server.advance(5000.0 + gap) if event.what == "started"]
    assert started.value == (0.0 if 5000.0 + gap <= 9000.0 else 1.0)


def test_the_head_of_the_queue_blocks_until_it_fits():
    server = make_server()
    for i, slots in enumerate((2.0, 2.0, 1.0)):
        server.offer(0.0, job(i, 100.0, slots))
    assert [event.id for event in server.advance(50.0) if event.what == "started"] == ["0/0"]


def test_missing_memory_blocks_the_head_beside_a_free_slot():
    server = make_server(memory=None, slots=3)
    server.kind, server.free_memory = ServerKind(name="k", executors=1, slots=3, memory=4.0), 4.0
    server.offer(0.0, job(0, memory=3.0))
    server.offer(0.0, job(1, memory=2.0))
    assert [event.id for event in server.advance(1.0) if event.what == "started"] == ["0/0"]


def test_a_server_in_slow_start_is_overloaded_only_past_its_bound():
    server = make_server(0.0, cold_share=0.2, warm_s=100.0)
    bound = 2.5 * 3 * 0.2 * 1000.0
    server.advance(1.0)
    server.offer(1.0, job(0, bound * 0.9))
    assert server.overload_share is None
    server.offer(1.0, job(1, bound * 0.2))
    assert server.overload_share > 1.0


def test_a_crash_keeps_the_checkpoints_that_the_cell_saved():
    memory_of_group = GroupMemory()
    server = make_server(memory=memory_of_group)
    server.offer(0.0, job(1, 350.0))
    server.advance(230.0)
    server.crash()
    restarted = make_server(memory=memory_of_group)
    restarted.offer(0.0, job(1, 350.0))
    (done,) = [event for event in restarted.advance(1e6) if event.what == "done"]
    assert done.t == pytest.approx(150.0)


def test_load_reports_are_refreshed_periodically_and_known_late():
    server = make_server()
    server.advance(95.0)
    server.offer(95.0, job(1, 1000.0))
    server.advance(105.0)
    assert server.report(105.0).free_slots == 3.0
    server.advance(111.0)
    assert server.report(111.0).free_slots == 2.0


def test_a_cancelled_job_leaves_the_queue_and_a_running_one_goes_on():
    server = make_server(slots=1)
    for i in range(2):
        server.offer(0.0, job(i))
    server.advance(1.0)
    assert server.cancel("1/0")
    assert not server.cancel("0/0")
    assert [event.id for event in server.advance(1e6) if event.what == "done"] == ["0/0"]


# Endpoint list, faults, clients, plan.


def entry(name, state=EndpointState.READY, born=None):
    return EndpointEntry(name, state, 0, 0, 0, born)


def test_the_endpoint_list_answers_with_the_whole_list_then_with_changes_alone():
    endpoint_list = EndpointList([entry("a"), entry("b")], 100.0, 50.0)
    version = endpoint_list.version()
    assert endpoint_list.answer_since(0) == (True, [entry("a"), entry("b")])
    assert endpoint_list.answer_since(version) == (False, [])
    endpoint_list.add_entry(entry("a", EndpointState.DRAINING))
    endpoint_list.add_entry(entry("a", EndpointState.GONE))
    assert endpoint_list.answer_since(version) == (False, [entry("a", EndpointState.GONE)])
    assert endpoint_list.answer_since(0) == (True, [entry("b")])


def test_an_overloaded_endpoint_list_serves_calls_in_order_and_fails_those_that_wait_too_long():
    endpoint_list = EndpointList([], 100.0, 50.0)
    assert [endpoint_list.take_call(0.0) for _ in range(6)] == [10.0, 20.0, 30.0, 40.0, 50.0, None]
    endpoint_list.outages.append((100.0, 200.0))
    assert endpoint_list.take_call(150.0) is None
    assert endpoint_list.take_call(200.0) is not None


def test_overlapping_faults_add_up_and_end():
    held = day(
        troubles=[
            {"what": "slow", "at_s": 1, "for_s": 4, "share": 1.0, "size": 2},
            {"what": "slow", "at_s": 3, "for_s": 4, "share": 1.0, "size": 3},
        ]
    )
    scheduled = faults.schedule(held, 1)
    assert [faults.fault_effects(scheduled, "fast-0", t * 1000.0).slowdown for t in (0, 2, 4, 6, 8)] == [
        1.0,
        2.0,
        6.0,
        3.0,
        1.0,
    ]


def test_the_endpoint_list_learns_late_and_a_restarted_server_is_listed_with_its_start():
    held = day(troubles=[{"what": "crash", "at_s": 2, "for_s": 3, "share": 0.1}])
    gone, back = faults.listings(held, faults.schedule(held, 1))
    assert (gone.at, gone.state) == (2800.0, EndpointState.GONE)
    assert (back.at, back.state, back.started_ms) == (5800.0, EndpointState.READY, 5000.0)


def client(effect, tries=3, **arrival):
    held = day(clients={"tries": tries, "wait_ms": 40, "honour": 1.0})
    type = {t.effect: t for t in held.types}[effect]
    values = {
        "at": 0.0,
        "id": "a",
        "type": 0,
        "zone": "east",
        "work": 1.0,
        "slots": 1.0,
        "memory": 0.0,
        "credit": 1.0,
        "receipt": None,
        "honours": True,
        "leaves": False,
    } | arrival
    return Client(plan.Arrival(**values), type, held.clients)


@pytest.mark.parametrize(
    ("effect", "how", "again"),
    [
        ("rerunnable", "deferred", True),
        ("rerunnable", "aborted", True),
        ("rerunnable", "lost", True),
        ("receipted", "deferred", True),
        ("receipted", "aborted", False),
        ("receipted", "lost", False),
        ("receipted", "unsent", True),
        ("rerunnable", "completed", False),
    ],
)
def test_a_client_retries_only_what_is_harmless(effect, how, again):
    caller = client(effect)
    assert caller.begin() == "a"
    wait = caller.wait(10.0, how, 500.0, stream(1))
    assert (wait is not None) == again
    assert wait is None or wait >= 500.0
    assert caller.begin() == "a.1"


def test_a_client_stops_retrying_at_its_last_try_its_deadline_and_in_a_replay():
    caller = client("rerunnable", tries=2)
    caller.begin()
    assert caller.wait(caller.expires - 1.0, "deferred", 0.0, stream(1)) is None
    caller.begin()
    assert caller.wait(0.0, "deferred", 0.0, stream(1)) is None
    caller = client("rerunnable")
    caller.replayed = True
    caller.begin()
    assert caller.wait(0.0, "deferred", 0.0, stream(1)) is None


def test_a_front_load_balancer_picks_a_failed_node_until_it_notices():
    front = FrontLoadBalancer({"east": ["a", "b"]}, 1000.0)
    front.mark_down("a", 0.0)
    assert Counter(front.pick_node("east", 500.0) for _ in range(4)) == {("a", False): 2, ("b", True): 2}
    assert {front.pick_node("east", 1500.0) for _ in range(4)} == {("b", True)}
    front.mark_up("a")
    assert {front.pick_node("east", 1500.0)[0] for _ in range(4)} == {"a", "b"}


@pytest.mark.parametrize(
    ("load", "counts"),
    [
        (Load(rate=10.0, arrivals="even"), [10, 10, 10, 10]),
        (Load(rate=10.0, shape="ramp", to_rate=30.0, arrivals="even"), [12, 18, 22, 28]),
        (
            Load(rate=10.0, shape="burst", to_rate=50.0, burst_at_s=1.0, burst_for_s=2.0, arrivals="even"),
            [10, 50, 50, 10],
        ),
    ],
)
def test_even_arrivals_follow_their_shape(load, counts):
    found, _ = np.histogram(plan.times(load, 4.0, 1), bins=[0, 1000, 2000, 3000, 4001])
    assert np.abs(found - np.array(counts)).max() <= 1


def test_poisson_arrivals_have_the_rate_and_spread_of_chance():
    steps = np.diff(plan.times(Load(rate=200.0), 60.0, 3))
    assert steps.mean() == pytest.approx(5.0, rel=0.05)
    assert steps.std() == pytest.approx(5.0, rel=0.1)


# Whole days.


@pytest.mark.parametrize("what", FAULT_NAMES)
def test_the_rules_hold_through_each_fault(what):
    size = {"errors": 0.8, "neighbour": 0.5, "late_reports": 2.0}.get(what, 3.0)
    held = day(troubles=[Fault(what=what, at_s=4.0, for_s=4.0, share=0.25, size=size)])
    verdict, book, figures, _ = played(held)
    assert verdict.is_judged and not verdict.violation_count, [rule.violations[:2] for rule in verdict.rules]
    assert figures["work_units"] > 150
    assert figures["service"] > (0.3 if what == "surge" else 0.9)
    assert figures["none"] == 0.0


def test_the_same_seed_gives_the_same_bytes_in_every_process():
    held = day(seconds=5.0, drawn={"count": 2})
    script = (
        "import sys; sys.path.insert(0, 'tests'); from worlds import day, played;"
        "from marlseam.records import ENCODER;"
        "sys.stdout.buffer.write(b'\\n'.join(ENCODER.encode(r) for r in played(day(seconds=5.0, "
        "drawn={'count': 2}), 4)[3]))"
    )
    here = b"\n".join(ENCODER.encode(r) for r in played(held, 4)[3])
    for salt in ("1", "2"):
        env = {**os.environ, "PYTHONHASHSEED": salt}
        there = subprocess.run(
            [sys.executable, "-c", script], capture_output=True, check=True, env=env
        ).stdout
        assert there == here
    assert b"\n".join(ENCODER.encode(r) for r in played(held, 5)[3]) != here
