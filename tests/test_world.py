"""The model's laws.

Work is conserved, queues are first in first out, slots hold one run, receipts drop in time.
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
from marlseam.world import plan, troubles
from marlseam.world.chance import stream
from marlseam.world.clients import Client, Front
from marlseam.world.executor import FaultEffects, Server
from marlseam.world.job import GroupMemory, Job
from marlseam.world.model import TROUBLES, Kind, Load, Trouble
from marlseam.world.roster import EndpointList
from marlseam.world.server_settings import ReportSettings, ServerSettings

SETTINGS = ServerSettings(ReportSettings(50.0, 10.0, True), 2.5, 1000.0, 200.0, 100.0)


def executor(born=None, memory=None, **kind):
    shared = memory or GroupMemory()
    memories = {"all": shared, "zone": shared, "cell": shared}
    made = Kind(**({"name": "k", "executors": 1, "slots": 3, "queue": 100} | kind))
    return Server("e", made, memories, stream(1, "e"), SETTINGS, born)


def job(i, work=100.0, slots=1.0, **more):
    return Job(id=f"{i}/0", unit=str(i), type="t", work=work, slots=slots, **more)


OFFERS = st.lists(
    st.tuples(st.floats(0.0, 200.0), st.floats(1.0, 500.0), st.integers(1, 3)), min_size=1, max_size=30
)


@settings(max_examples=60, deadline=None)
@given(OFFERS, st.sampled_from([None, 0.0]), st.floats(1.0, 6.0), st.floats(0.2, 3.0))
def test_work_is_conserved_and_starts_first_in_first_out_within_its_slots(offers, born, slow, speed):
    e, happened, offered, now = executor(born, speed=speed, cold_share=0.5, warm_s=2.0), [], {}, 0.0
    e.fall_multiple = inf
    for i, (gap, work, slots) in enumerate(offers):
        now += gap
        happened += e.advance(now)
        if i == len(offers) // 2:
            e.ills = FaultEffects(slowdown=slow)
        if e.offer(now, job(i, work, float(slots))):
            offered[f"{i}/0"] = (work, slots)
    happened += e.advance(1e9)
    starts = [h.id for h in happened if h.what == "started"]
    assert starts == list(offered)
    held, spent = 0.0, {}
    for h in happened:
        if h.what == "started":
            held += offered[h.id][1]
        elif h.what == "done":
            held -= offered[h.id][1]
            spent[h.id] = h.value
        assert held <= 3.0
    assert [h.t for h in happened] == sorted(h.t for h in happened) and held == 0.0
    for id, (work, slots) in offered.items():
        assert spent[id] == pytest.approx(work * slots, rel=1e-6, abs=0.05)


@settings(max_examples=60, deadline=None)
@given(st.floats(0.0, 5000.0), st.floats(0.0, 5000.0), st.floats(0.05, 1.0))
def test_the_standard_clock_and_its_inverse_agree_while_it_warms(a, work, cold):
    e = executor(0.0, cold_share=cold, warm_s=3.0)
    e.advance(a)
    there = e.time_of(e.clock + work)
    assert e.work_between(a, there) == pytest.approx(work, rel=1e-6, abs=1e-6)


@given(st.floats(0.0, 20000.0))
def test_a_receipt_drops_repeats_within_its_memory_and_not_after(gap):
    e = executor()
    e.offer(0.0, job(1, receipt="r", memory_ms=9000.0))
    e.advance(5000.0)
    e.advance(5000.0 + gap)
    e.offer(5000.0 + gap, job(2, receipt="r", memory_ms=9000.0))
    (started,) = [h for h in e.advance(5000.0 + gap) if h.what == "started"]
    assert started.value == (0.0 if 5000.0 + gap <= 9000.0 else 1.0)


def test_the_head_of_the_queue_blocks_until_it_fits():
    e = executor()
    for i, slots in enumerate((2.0, 2.0, 1.0)):
        e.offer(0.0, job(i, 100.0, slots))
    assert [h.id for h in e.advance(50.0) if h.what == "started"] == ["0/0"]


def test_memory_blocks_the_head_beside_a_free_slot():
    e = executor(memory=None, slots=3)
    e.kind, e.free_memory = Kind(name="k", executors=1, slots=3, memory=4.0), 4.0
    e.offer(0.0, job(0, memory=3.0))
    e.offer(0.0, job(1, memory=2.0))
    assert [h.id for h in e.advance(1.0) if h.what == "started"] == ["0/0"]


def test_a_cold_server_falls_only_past_its_bound():
    e = executor(0.0, cold_share=0.2, warm_s=100.0)
    bound = 2.5 * 3 * 0.2 * 1000.0
    e.advance(1.0)
    e.offer(1.0, job(0, bound * 0.9))
    assert e.fallen is None
    e.offer(1.0, job(1, bound * 0.2))
    assert e.fallen > 1.0


def test_a_crash_keeps_what_the_cell_saved():
    shared = GroupMemory()
    e = executor(memory=shared)
    e.offer(0.0, job(1, 350.0))
    e.advance(230.0)
    e.crash()
    again = executor(memory=shared)
    again.offer(0.0, job(1, 350.0))
    (done,) = [h for h in again.advance(1e6) if h.what == "done"]
    assert done.t == pytest.approx(150.0)


def test_reports_are_refreshed_and_late():
    e = executor()
    e.advance(95.0)
    e.offer(95.0, job(1, 1000.0))
    e.advance(105.0)
    assert e.report(105.0).free_slots == 3.0
    e.advance(111.0)
    assert e.report(111.0).free_slots == 2.0


def test_a_withdrawn_job_leaves_the_queue_and_a_running_one_goes_on():
    e = executor(slots=1)
    for i in range(2):
        e.offer(0.0, job(i))
    e.advance(1.0)
    assert e.withdraw("1/0") and not e.withdraw("0/0")
    assert [h.id for h in e.advance(1e6) if h.what == "done"] == ["0/0"]


# Roster, troubles, clients, plan.


def row(name, state=EndpointState.READY, born=None):
    return EndpointEntry(name, state, 0, 0, 0, born)


def test_a_endpoint_list_tells_the_whole_list_then_changes_alone():
    r = EndpointList([row("a"), row("b")], 100.0, 50.0)
    version = r.version()
    assert r.news(0) == (True, [row("a"), row("b")]) and r.news(version) == (False, [])
    r.change(row("a", EndpointState.DRAINING))
    r.change(row("a", EndpointState.GONE))
    assert r.news(version) == (False, [row("a", EndpointState.GONE)])
    assert r.news(0) == (True, [row("b")])


def test_a_swamped_endpoint_list_serves_in_turn_and_fails_what_waits_too_long():
    r = EndpointList([], 100.0, 50.0)
    assert [r.call(0.0) for _ in range(6)] == [10.0, 20.0, 30.0, 40.0, 50.0, None]
    r.outages.append((100.0, 200.0))
    assert r.call(150.0) is None and r.call(200.0) is not None


def test_overlapping_troubles_add_up_and_end():
    held = day(
        troubles=[
            {"what": "slow", "at_s": 1, "for_s": 4, "share": 1.0, "size": 2},
            {"what": "slow", "at_s": 3, "for_s": 4, "share": 1.0, "size": 3},
        ]
    )
    met = troubles.schedule(held, 1)
    assert [troubles.fault_effects(met, "fast-0", t * 1000.0).slowdown for t in (0, 2, 4, 6, 8)] == [
        1.0,
        2.0,
        6.0,
        3.0,
        1.0,
    ]


def test_discovery_learns_late_and_a_server_that_rises_is_cold():
    held = day(troubles=[{"what": "crash", "at_s": 2, "for_s": 3, "share": 0.1}])
    gone, back = troubles.listings(held, troubles.schedule(held, 1))
    assert (gone.at, gone.state) == (2800.0, EndpointState.GONE)
    assert (back.at, back.state, back.born) == (5800.0, EndpointState.READY, 5000.0)


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
def test_a_client_tries_again_only_what_is_harmless(effect, how, again):
    c = client(effect)
    assert c.begin() == "a"
    wait = c.wait(10.0, how, 500.0, stream(1))
    assert (wait is not None) == again and (wait is None or wait >= 500.0)
    assert c.begin() == "a.1"


def test_a_client_stops_at_its_last_try_its_hard_limit_and_in_a_replay():
    c = client("rerunnable", tries=2)
    c.begin()
    assert c.wait(c.expires - 1.0, "deferred", 0.0, stream(1)) is None
    c.begin()
    assert c.wait(0.0, "deferred", 0.0, stream(1)) is None
    c = client("rerunnable")
    c.replayed = True
    c.begin()
    assert c.wait(0.0, "deferred", 0.0, stream(1)) is None


def test_a_front_deals_to_the_dead_until_it_notices():
    front = Front({"east": ["a", "b"]}, 1000.0)
    front.died("a", 0.0)
    assert Counter(front.deal("east", 500.0) for _ in range(4)) == {("a", False): 2, ("b", True): 2}
    assert {front.deal("east", 1500.0) for _ in range(4)} == {("b", True)}
    front.back("a")
    assert {front.deal("east", 1500.0)[0] for _ in range(4)} == {"a", "b"}


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
    assert steps.mean() == pytest.approx(5.0, rel=0.05) and steps.std() == pytest.approx(5.0, rel=0.1)


# Whole days.


@pytest.mark.parametrize("what", TROUBLES)
def test_the_rules_hold_through_each_trouble(what):
    size = {"errors": 0.8, "neighbour": 0.5, "late_reports": 2.0}.get(what, 3.0)
    held = day(troubles=[Trouble(what=what, at_s=4.0, for_s=4.0, share=0.25, size=size)])
    verdict, book, figures, _ = played(held)
    assert verdict.judged and not verdict.broken, [rule.broken[:2] for rule in verdict.rules]
    assert figures["work_units"] > 150 and figures["service"] > (0.3 if what == "surge" else 0.9)
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
