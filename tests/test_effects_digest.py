"""The reducer asks for the same effects as 53bfa1a did, field by field, in the order in which it did."""

import json
from pathlib import Path

import effects_digest
import pytest

KEPT = json.loads((Path(__file__).parent / "data" / "effects.json").read_text())


def test_each_play_is_kept():
    plays = {f"day: {name}" for name in effects_digest.DAYS} | {
        f"walk: {name}" for name in effects_digest.WALKS
    }
    assert plays == set(KEPT)


@pytest.mark.parametrize("name", effects_digest.DAYS)
def test_a_day_has_the_same_effects(name):
    assert effects_digest.played_day(name) == KEPT[f"day: {name}"]


@pytest.mark.parametrize("name", effects_digest.WALKS)
def test_a_walk_has_the_same_effects(name):
    assert effects_digest.played_walk(name) == KEPT[f"walk: {name}"]
