"""Chance: neighbouring seeds draw apart, successive draws of one seed do too, and all can be played again."""

import subprocess
import sys
from itertools import product

import pytest

from marlseam.cluster.audit_log import RecoveredLog
from marlseam.cluster.checking.fault_schedules import ScheduleDraws
from marlseam.cluster.checking.membership_schedules import MembershipSimulation
from marlseam.cluster.checking.search import random_walks
from marlseam.cluster.membership import Membership
from marlseam.cluster.quota.demand import DemandEstimator
from marlseam.cluster.quota.leasing import QuotaLeasing, QuotaState
from marlseam.cluster.replication.replica import ConfigReplica, ReplicationSettings
from marlseam.decisions.dispatcher import Dispatcher
from marlseam.decisions.types import ListUpdateKind
from marlseam.experiment.fleet import Fault, Fleet, Rig
from tests.conftest import SETTINGS, RecordingPort

NAMES = frozenset("abc")
SEEDS = range(1, 65)  # of neighbours, as an operator numbers nodes
FAR = 5.0  # standard deviations of a chi-square sum that chance alone passes once in a million


def node(seed):
    return Dispatcher(SETTINGS, seed, RecordingPort())


def members(seed):
    return Membership("fleet", "a", NAMES, 1, seed, 1000.0, 0.0)


def versions(seed):
    return ConfigReplica(
        "a",
        NAMES,
        ReplicationSettings(NAMES, 1000.0, 15000.0, True, 10.0),
        "a/1",
        seed,
        0.0,
        RecoveredLog(begun=True),
    )


def room(seed):
    return DemandEstimator("a", NAMES, QuotaLeasing(1000.0), QuotaState(1.0, 1), 1000.0, seed, 0.0)


def world(seed):
    return MembershipSimulation(0, seed, [])


def rig(seed, tmp):
    return Rig(["a"], Fleet(faults=[Fault(node="a", step="sends ping 1", fault="kill")]), seed, tmp)


def numbers(of, seed, count):
    """Return so many successive numbers in [0, 1) of whatever draws by a seed."""
    if of == "draws":
        draws = ScheduleDraws("hunt", seed)
        return [draws(1024) / 1024.0 + 0.0004 for _ in range(count)]
    if of == "ways":
        # Where a way goes in a square without end tells what was drawn.
        steps = lambda at: ((f"{i:03}", at + 1) for i in range(128))  # noqa: E731
        way = random_walks(0, steps, lambda at: at == count, 1, count, seed)
        return [(int(name) + 0.5) / 128.0 for name in way]
    chance = {"node": node, "members": members, "versions": versions, "room": room, "world": world}[of](seed)
    return [chance.random() for _ in range(count)]


ALL = ("node", "members", "versions", "room", "world", "draws", "ways")
CELLS = dict.fromkeys(ALL, 10) | {"draws": 8, "ways": 8}  # in which numbers are counted, a side


def apart(rows, cells=10):
    """Return by how many standard deviations a chi-square of rows of numbers, in cells, is off."""
    counts = dict.fromkeys(product(range(cells), repeat=len(rows[0])), 0)
    for row in rows:
        counts[tuple(int(x * cells) for x in row)] += 1
    mean, free = len(rows) / len(counts), len(counts) - 1
    return (sum((n - mean) ** 2 for n in counts.values()) / mean - free) / (2.0 * free) ** 0.5


@pytest.mark.parametrize("of", ALL)
def test_successive_draws_of_a_seed_do_not_tell_of_each_other(of):
    # Chi-square of pairs of tenths, 99 degrees of freedom; with CRC-32 alone 295 a degree and more.
    for seed in (1, 2, 64, 2**31):
        drawn = numbers(of, seed, 20_001)
        assert abs(apart([(x,) for x in drawn], CELLS[of])) < FAR
        assert abs(apart(list(zip(drawn, drawn[1:], strict=False)), CELLS[of])) < FAR


@pytest.mark.parametrize("of", ALL)
def test_neighbouring_seeds_draw_apart(of):
    drawn = {seed: numbers(of, seed, 2000) for seed in range(1, 10)}
    for seed in range(1, 9):
        assert abs(apart(list(zip(drawn[seed], drawn[seed + 1], strict=True)), CELLS[of])) < FAR


@pytest.mark.parametrize("of", ALL)
def test_what_all_neighbours_draw_first_is_spread_as_by_chance(of):
    # By eighths over 64 seeds, seven degrees of freedom each time; of the sum over the first 40 draws.
    drawn = [numbers(of, seed, 40) for seed in SEEDS]
    apart_each = [apart([(row[at],) for row in drawn], 8) for at in range(40)]
    assert abs(sum(apart_each)) / 40.0**0.5 < FAR


def test_nodes_with_neighbouring_seeds_do_not_come_back_as_a_herd():
    # Seeds 1 to 64, calls that fail at once: each rest is drawn in a half to one and a half of the longest,
    # and at most that. One draw's variance is then 5 / 192 of its square.
    ends = []
    for seed in SEEDS:
        made = node(seed)
        made.backoff, began, rests = made.settings.max_poll_interval_ms, made.port.clock, 12
        for _ in range(rests):
            made.update_endpoints(ListUpdateKind.FAILED, [])
            made.port.clock = made.next_poll_ms
        ends.append(made.port.clock - began)
    mean = sum(ends) / len(ends)
    spread = (sum((x - mean) ** 2 for x in ends) / len(ends)) ** 0.5
    by_chance = (rests * 5.0 / 192.0) ** 0.5 * made.settings.max_poll_interval_ms
    assert 0.7 * by_chance < spread < 1.3 * by_chance


def test_a_rig_draws_by_its_own_seed(tmp_path):
    one, two = ([r.chance() for _ in range(2000)] for r in (rig(1, tmp_path), rig(2, tmp_path)))
    assert abs(apart(list(zip(one, two, strict=True)))) < FAR
    assert abs(apart(list(zip(one, one[1:], strict=False)))) < FAR


def test_the_finaliser_is_the_published_one():
    from marlseam.random_source import number

    # MurmurHash3 of nothing under seeds 1 and 2**32 - 1, as published with its tests.
    assert (number(b"", 1), number(b"", 0xFFFFFFFF)) == (0x514E28B7, 0x81F16F39)
    assert number(b"", 0) == 0


def test_the_same_seed_draws_the_same_in_every_process():
    from marlseam.random_source import RandomSource, number

    drawn = RandomSource(7)
    assert drawn() == number(b"7:1") / 2.0**32
    assert drawn() == number(b"7:2") / 2.0**32
    code = (
        "from marlseam.random_source import RandomSource; c = RandomSource(7); print([c() for _ in range(5)])"
    )
    said = {
        subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True, env=env
        ).stdout
        for env in ({"PYTHONHASHSEED": "1"}, {"PYTHONHASHSEED": "2"})
    }
    again = RandomSource(7)
    assert said == {f"{[again() for _ in range(5)]}\n"}
