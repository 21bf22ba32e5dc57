"""Simulated clients: their retries, the front load balancer, and the times of arrivals."""

from collections import Counter

import numpy as np
import pytest
from worlds import day

from marlseam.simulation import plan
from marlseam.simulation.clients import Client, FrontLoadBalancer
from marlseam.simulation.model import Load
from marlseam.simulation.random_streams import random_stream


def make_client(effect, tries=3):
    """Return the client of a request whose class has this effect; it honours Retry-After."""
    settings = day(clients={"tries": tries, "wait_ms": 40, "honour": 1.0})
    request_type = next(request_type for request_type in settings.types if request_type.effect == effect)
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
    }
    return Client(plan.Arrival(**values), request_type, settings.clients)


@pytest.mark.parametrize(
    ("effect", "ending", "is_retried"),
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
def test_a_client_retries_only_without_risk_of_a_second_effect(effect, ending, is_retried):
    client = make_client(effect)
    assert client.begin() == "a"
    wait_ms = client.wait(10.0, ending, 500.0, random_stream(1))
    assert (wait_ms is not None) == is_retried
    assert wait_ms is None or wait_ms >= 500.0
    assert client.begin() == "a.1"


def test_a_client_stops_retrying_at_its_last_try_its_deadline_and_in_a_replay():
    client = make_client("rerunnable", tries=2)
    client.begin()
    assert client.wait(client.expires - 1.0, "deferred", 0.0, random_stream(1)) is None
    client.begin()
    assert client.wait(0.0, "deferred", 0.0, random_stream(1)) is None
    client = make_client("rerunnable")
    client.replayed = True
    client.begin()
    assert client.wait(0.0, "deferred", 0.0, random_stream(1)) is None


def test_a_load_balancer_picks_a_failed_node_until_it_detects_the_failure():
    balancer = FrontLoadBalancer({"east": ["a", "b"]}, 1000.0)
    balancer.mark_down("a", 0.0)
    assert Counter(balancer.pick_node("east", 500.0) for _ in range(4)) == {("a", False): 2, ("b", True): 2}
    assert {balancer.pick_node("east", 1500.0) for _ in range(4)} == {("b", True)}
    balancer.mark_up("a")
    assert {balancer.pick_node("east", 1500.0)[0] for _ in range(4)} == {"a", "b"}


@pytest.mark.parametrize(
    ("load", "arrivals_by_second"),
    [
        (Load(rate=10.0, arrivals="even"), [10, 10, 10, 10]),
        (Load(rate=10.0, shape="ramp", to_rate=30.0, arrivals="even"), [12, 18, 22, 28]),
        (
            Load(rate=10.0, shape="burst", to_rate=50.0, burst_at_s=1.0, burst_for_s=2.0, arrivals="even"),
            [10, 50, 50, 10],
        ),
    ],
)
def test_even_arrivals_follow_the_shape_of_the_load(load, arrivals_by_second):
    counts, _ = np.histogram(plan.arrival_times_ms(load, 4.0, 1), bins=[0, 1000, 2000, 3000, 4001])
    assert np.abs(counts - np.array(arrivals_by_second)).max() <= 1


def test_poisson_arrivals_have_the_mean_and_deviation_of_their_rate():
    gaps_ms = np.diff(plan.arrival_times_ms(Load(rate=200.0), 60.0, 3))
    assert gaps_ms.mean() == pytest.approx(5.0, rel=0.05)
    assert gaps_ms.std() == pytest.approx(5.0, rel=0.1)
