"""Random sources: sequences of adjacent seeds and successive draws are independent and reproducible."""

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
SEEDS = range(1, 65)  # adjacent, as operators number nodes
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
    """Return the choices of a random walk among 128 steps at each state, scaled to [0, 1)."""

    def steps_from(at):
        return ((f"{choice:03}", at + 1) for choice in range(128))

    walk = random_walks(0, steps_from, lambda at: at == count, 1, count, seed)
    return [(int(name) + 0.5) / 128.0 for name in walk]


def draws_of(make):
    """Return a function that draws numbers from the random source of the object that `make` returns."""

    def draw(seed, count):
        owner = make(seed)
        return [owner.random() for _ in range(count)]

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
CELLS = dict.fromkeys(SOURCES, 10) | {"schedule": 8, "walk": 8}  # chi-square cells per dimension


def chi_square_deviations(rows, cells=10):
    """Return the deviation of the chi-square of rows of numbers from its mean, in standard deviations.

    The numbers are counted in `cells` cells per dimension.
    """
    counts = dict.fromkeys(product(range(cells), repeat=len(rows[0])), 0)
    for row in rows:
        counts[tuple(int(value * cells) for value in row)] += 1
    mean, degrees = len(rows) / len(counts), len(counts) - 1
    chi_square = sum((count - mean) ** 2 for count in counts.values()) / mean
    return (chi_square - degrees) / (2.0 * degrees) ** 0.5


@pytest.mark.parametrize("source", SOURCES)
def test_successive_draws_of_a_seed_are_independent(source):
    # Chi-square of pairs in cells of a tenth, 99 degrees of freedom; CRC-32 alone gives 295 and more per
    # degree.
    for seed in (1, 2, 64, 2**31):
        drawn = SOURCES[source](seed, 20_001)
        pairs = list(zip(drawn, drawn[1:], strict=False))
        assert abs(chi_square_deviations([(value,) for value in drawn], CELLS[source])) < MAX_DEVIATIONS
        assert abs(chi_square_deviations(pairs, CELLS[source])) < MAX_DEVIATIONS


@pytest.mark.parametrize("source", SOURCES)
def test_adjacent_seeds_draw_independently(source):
    drawn = {seed: SOURCES[source](seed, 2000) for seed in range(1, 10)}
    for seed in range(1, 9):
        pairs = list(zip(drawn[seed], drawn[seed + 1], strict=True))
        assert abs(chi_square_deviations(pairs, CELLS[source])) < MAX_DEVIATIONS


@pytest.mark.parametrize("source", SOURCES)
def test_the_first_draws_of_adjacent_seeds_are_uniformly_distributed(source):
    # For each of the first 40 draws, the chi-square of 64 seeds in cells of an eighth, seven degrees of
    # freedom; the bound is for the sum over the 40 draws.
    drawn = [SOURCES[source](seed, 40) for seed in SEEDS]
    deviations = [chi_square_deviations([(row[at],) for row in drawn], 8) for at in range(40)]
    assert abs(sum(deviations)) / 40.0**0.5 < MAX_DEVIATIONS


def test_nodes_with_adjacent_seeds_do_not_poll_discovery_at_the_same_times():
    # Seeds 1 to 64, polls that fail at once: each backoff is drawn from a half to one and a half of the
    # longest poll interval and cut to it. The variance of one draw is then 5 / 192 of the interval squared.
    ends_ms, polls = [], 12
    for seed in SEEDS:
        dispatcher = make_dispatcher(seed)
        dispatcher.backoff = dispatcher.settings.max_poll_interval_ms
        start_ms = dispatcher.port.clock
        for _ in range(polls):
            dispatcher.update_endpoints(ListUpdateKind.FAILED, [])
            dispatcher.port.clock = dispatcher.next_poll_ms
        ends_ms.append(dispatcher.port.clock - start_ms)
    mean_ms = sum(ends_ms) / len(ends_ms)
    deviation_ms = (sum((end_ms - mean_ms) ** 2 for end_ms in ends_ms) / len(ends_ms)) ** 0.5
    expected_ms = (polls * 5.0 / 192.0) ** 0.5 * dispatcher.settings.max_poll_interval_ms
    assert 0.7 * expected_ms < deviation_ms < 1.3 * expected_ms


def test_datagram_relays_with_adjacent_seeds_draw_independently():
    relays = [DatagramRelay({"a": "127.0.0.1:1"}, ClusterTable(), seed) for seed in (1, 2)]
    one, two = ([relay.random() for _ in range(2000)] for relay in relays)
    assert abs(chi_square_deviations(list(zip(one, two, strict=True)))) < MAX_DEVIATIONS
    assert abs(chi_square_deviations(list(zip(one, one[1:], strict=False)))) < MAX_DEVIATIONS


def test_the_finaliser_gives_the_published_values_of_murmurhash3():
    # MurmurHash3 of an empty input under the seeds 1 and 2**32 - 1, as published with its tests.
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
