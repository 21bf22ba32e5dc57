"""The choice of a saved endpoint list, and the doubt of its entries."""

from math import exp

import pytest

from marlseam.recovery import saved_list
from marlseam.recovery.saved_list import DEFAULT_LIFETIME_MS, DepartureRate, SavedList


def make_list(version, entries=("r",), confirmed_ms=0.0):
    return SavedList(version, list(entries), confirmed_ms)


@pytest.mark.parametrize(
    ("stored", "configured", "chosen_version"),
    [
        (None, None, None),
        (make_list(3), None, 3),
        (None, make_list(2), 2),
        (make_list(3), make_list(3, confirmed_ms=None), 3),
        (make_list(3), make_list(4), 4),
        (make_list(5), make_list(4), 5),
        (make_list(1), make_list(9, ()), 1),
        (make_list(3, ()), make_list(2), 2),
    ],
)
def test_the_newer_list_is_chosen_and_never_an_empty_one(stored, configured, chosen_version):
    chosen = saved_list.choose_list(stored, configured)
    assert (chosen and chosen.version) == chosen_version


def test_doubt_grows_with_age_and_departures_and_is_1_if_the_age_is_unknown():
    calm, busy = DepartureRate(), DepartureRate(1000.0, 1000.0 * DEFAULT_LIFETIME_MS / 24.0)
    day_ms = 24.0 * 3600e3
    assert saved_list.entry_doubt(0.0, calm) == 0.0
    assert 0.0 < saved_list.entry_doubt(1000.0, calm) < saved_list.MAX_CERTAIN_DOUBT
    assert saved_list.entry_doubt(day_ms, calm) == pytest.approx(1.0 - exp(-1.0))
    assert saved_list.entry_doubt(day_ms, busy) > 0.99
    assert saved_list.entry_doubt(None, calm) == 1.0


def test_the_age_of_a_list_is_unknown_if_the_clock_was_set_back():
    assert saved_list.list_age_ms(make_list(1, confirmed_ms=5000.0), 1000.0) is None
    assert saved_list.list_age_ms(make_list(1, confirmed_ms=500.0), 1000.0) == 500.0
