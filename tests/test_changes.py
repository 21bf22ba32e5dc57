"""What changes of a fleet's configuration cost: counts of hollow nodes."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from marlseam.__main__ import main
from marlseam.experiment import file, measures, plays
from marlseam.experiment.size_changes import changed, counted, teams

SHORT = Path(__file__).parent.parent / "experiments" / "size-changes-short.toml"


def test_the_short_form_holds_and_gives_the_same_counts_on_two_runs(tmp_path):
    measures.register()
    experiment = file.load(SHORT)
    code, missed = plays.run(experiment, tmp_path / "one", lambda text: None)
    assert code == 0, missed
    runs = [plays.PLAYS["size_changes"](experiment, tmp_path / name, lambda text: None) for name in "ab"]
    counts = [{key: value for key, value in run.figures.items() if counted(key)} for run in runs]
    assert counts[0] == counts[1] and len(counts[0]) > 30


def test_what_asks_for_more_than_is_allowed_is_refused_with_what_would_fit(tmp_path):
    path = tmp_path / "big.toml"
    path.write_text(SHORT.read_text().replace("nodes = 12", "nodes = 60000"))
    result = CliRunner().invoke(main, ["experiment", "run", str(path), "--out", str(tmp_path / "out")])
    assert result.exit_code == 2 and "would fit" in result.output and not (tmp_path / "out" / "band").exists()


@pytest.mark.parametrize("mark", [0, 1, 1000])
def test_a_change_is_of_one_team(mark):
    before = {"teams": teams(10)}
    after = changed(before, 7, mark)
    assert sum(before["teams"][name] != after["teams"][name] for name in before["teams"]) == 1
