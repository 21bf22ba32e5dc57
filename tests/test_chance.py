"""Random sources: neighbouring seeds and successive draws are independent, and all are repeatable."""

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
from marlseam.experiment.cluster_relay import DatagramRelay
from marlseam.experiment.cluster_tables import ClusterTable
from marlseam.random_source import RandomSource, number
from tests.conftest import SETTINGS, RecordingPort

NAMES = frozenset("abc")
SEEDS = range(1, 65)  # next to each other, as an operator numbers nodes
MAX_DEVIATIONS = 5.0  # standard deviations of a chi-square sum that chance alone exceeds once in a million


def make_dispatcher(seed):
    return Dispatcher(SETTINGS, seed, RecordingPort())


def make_membership(seed):
    return Membership("fleet", "a", NAMES, 1, seed, 1000.0, 0.0)


def make_replica(seed):
    settings = ReplicationSettings(NAMES, 1000.0, 15000.0, True, 10.0)
    return ConfigReplica("a", NAMES, settings, "a/1", seed, 0.0, RecoveredLog(begun=True))


def make_demand_estimator(seed):
    return DemandEstimator("a", NAMES, QuotaLeasing(1000.0), QuotaState(1.0, 1), 1000.0, seed, 0.0)


def make_simulation(seed):
    return MembershipSimulation(0, seed, [])


def draw_from_schedule(seed, count):
    draws = ScheduleDraws("hunt", seed)
    return [draws(1024) / 1024.0 + 0.0004 for _ in range(count)]


def draw_from_walk(seed, count):
    """Return the choices of a random walk, of 128 steps each time."""

    def steps_from(at):
        return ((f"{choice:03}", at + 1) for choice in range(128))

    walk = random_walks(0, steps_from, lambda at: at == count, 1, count, seed)
    return [(int(name) + 0.5) / 128.0 for name in walk]


def draws_of(make):
    """Return a function that draws from the random source of what is made."""

    def draw(seed, count):
        made = make(seed)
        return [made.random() for _ in range(count)]

    return draw


SOURCES = {
    "dispatcher": draws_of(make_dispatcher),
    "membership": draws_of(make_membership),
    "replica": draws_of(make_replica),
    "demand": draws_of(make_demand_estimator),
    "simulation": draws_of(make_simulation),
    "schedule": draw_from_schedule,
    "walk": draw_from_walk,
}
CELLS = dict.fromkeys(SOURCES, 10) | {"schedule": 8, "walk": 8}  # a side, in which numbers are counted


def chi_square_deviations(rows, cells=10):
    """Return by how many standard deviations the chi-square of rows of numbers, counted in cells, is off."""
    counts = dict.fromkeys(product(range(cells), repeat=len(rows[0])), 0)
    for row in rows:
        counts[tuple(int(value * cells) for value in row)] += 1
    mean, degrees = len(rows) / len(counts), len(counts) - 1
    chi_square = sum((count - mean) ** 2 for count in counts.values()) / mean
    return (chi_square - degrees) / (2.0 * degrees) ** 0.5


@pytest.mark.parametrize("source", SOURCES)
def test_successive_draws_of_a_seed_are_independent(source):
    # Chi-square of pairs of tenths, 99 degrees of freedom; with CRC-32 alone 295 a degree and more.
    for seed in (1, 2, 64, 2**31):
        drawn = SOURCES[source](seed, 20_001)
        pairs = list(zip(drawn, drawn[1:], strict=False))
        assert abs(chi_square_deviations([(value,) for value in drawn], CELLS[source])) < MAX_DEVIATIONS
        assert abs(chi_square_deviations(pairs, CELLS[source])) < MAX_DEVIATIONS


@pytest.mark.parametrize("source", SOURCES)
def test_seeds_next_to_each_other_draw_independently(source):
    drawn = {seed: SOURCES[source](seed, 2000) for seed in range(1, 10)}
    for seed in range(1, 9):
        pairs = list(zip(drawn[seed], drawn[seed + 1], strict=True))
        assert abs(chi_square_deviations(pairs, CELLS[source])) < MAX_DEVIATIONS


@pytest.mark.parametrize("source", SOURCES)
def test_the_first_draws_of_seeds_next_to_each_other_are_spread_as_by_chance(source):
    # By eighths over 64 seeds, seven degrees of freedom each time; of the sum over the first 40 draws.
    drawn = [SOURCES[source](seed, 40) for seed in SEEDS]
    deviations = [chi_square_deviations([(row[at],) for row in drawn], 8) for at in range(40)]
    assert abs(sum(deviations)) / 40.0**0.5 < MAX_DEVIATIONS


def test_nodes_with_seeds_next_to_each_other_do_not_poll_discovery_in_step():
    # Seeds 1 to 64, calls that fail at once: each back-off is drawn in a half to one and a half of the
    # longest, and at most that. One draw's variance is then 5 / 192 of its square.
    ends_ms, polls = [], 12
    for seed in SEEDS:
        dispatcher = make_dispatcher(seed)
        dispatcher.backoff = dispatcher.settings.max_poll_interval_ms
        began_ms = dispatcher.port.clock
        for _ in range(polls):
            dispatcher.update_endpoints(ListUpdateKind.FAILED, [])
            dispatcher.port.clock = dispatcher.next_poll_ms
        ends_ms.append(dispatcher.port.clock - began_ms)
    mean_ms = sum(ends_ms) / len(ends_ms)
    deviation_ms = (sum((end_ms - mean_ms) ** 2 for end_ms in ends_ms) / len(ends_ms)) ** 0.5
    by_chance_ms = (polls * 5.0 / 192.0) ** 0.5 * dispatcher.settings.max_poll_interval_ms
    assert 0.7 * by_chance_ms < deviation_ms < 1.3 * by_chance_ms


def test_a_datagram_relay_draws_by_its_own_seed():
    relays = [DatagramRelay({"a": "127.0.0.1:1"}, ClusterTable(), seed) for seed in (1, 2)]
    one, two = ([relay.random() for _ in range(2000)] for relay in relays)
    assert abs(chi_square_deviations(list(zip(one, two, strict=True)))) < MAX_DEVIATIONS
    assert abs(chi_square_deviations(list(zip(one, one[1:], strict=False)))) < MAX_DEVIATIONS


def test_the_finaliser_is_the_published_one():
    # MurmurHash3 of nothing under seeds 1 and 2**32 - 1, as published with its tests.
    assert (number(b"", 1), number(b"", 0xFFFFFFFF)) == (0x514E28B7, 0x81F16F39)
    assert number(b"", 0) == 0


def test_the_same_seed_draws_the_same_in_every_process():
    drawn = RandomSource(7)
    assert drawn() == number(b"7:1") / 2.0**32
    assert drawn() == number(b"7:2") / 2.0**32
    code = (
        "from marlseam.random_source import RandomSource; c = RandomSource(7); print([c() for _ in range(5)])"
    )
    printed = {
        subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True, env=env
        ).stdout
        for env in ({"PYTHONHASHSEED": "1"}, {"PYTHONHASHSEED": "2"})
    }
    again = RandomSource(7)
    assert printed == {f"{[again() for _ in range(5)]}\n"}
