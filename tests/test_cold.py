"""What all nodes together send to a cold executor, in the experiment `size-cold`."""

from pathlib import Path

import msgspec
import pytest

from marlseam.experiment import file, measures, size_cold


@pytest.fixture
def play():
    """Return a player of `size-cold` with some of its table changed; it gives what was found."""
    measures.register()
    path = Path(__file__).parent.parent / "experiments" / "size-cold.toml"

    def run(tmp, **changes):
        experiment = file.load(path)
        table = msgspec.structs.replace(experiment.tables["size_cold"], **changes)
        experiment.tables["size_cold"] = table
        return size_cold.size_cold(experiment, tmp, lambda text: None)

    return run


def test_the_short_form_holds_its_bound_and_counts_alike_twice(play, tmp_path):
    first, second = (play(tmp_path, nodes=[20], seeds=1) for _ in range(2))
    counts = {k: v for k, v in first.figures.items() if not k.endswith("cpu_s")}
    assert counts == {k: v for k, v in second.figures.items() if not k.endswith("cpu_s")}
    assert counts["units"] > 1000 and counts["lives"] == 48
    assert counts["most"] <= 1.0 and counts["used"] > 0.2
