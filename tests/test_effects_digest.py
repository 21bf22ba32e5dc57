"""The reducer returns the same effects, field by field and in the same order, as at commit 53bfa1a."""

import json
from pathlib import Path

import effects_digest
import pytest

RECORDED = json.loads((Path(__file__).parent / "data" / "effects.json").read_text())


def test_each_play_has_a_recorded_digest():
    plays = {f"day: {name}" for name in effects_digest.DAYS} | {
        f"walk: {name}" for name in effects_digest.WALKS
    }
    assert plays == set(RECORDED)


@pytest.mark.parametrize("name", effects_digest.DAYS)
def test_a_day_has_the_recorded_effects(name):
    assert effects_digest.day_digest(name) == RECORDED[f"day: {name}"]


@pytest.mark.parametrize("name", effects_digest.WALKS)
def test_a_walk_has_the_recorded_effects(name):
    assert effects_digest.walk_digest(name) == RECORDED[f"walk: {name}"]
